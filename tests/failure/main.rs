//! Tests of the whole path as separate processes, under failure.
//!
//! The programs of the whole workspace must be built first: `./test` does it.

mod cuts;
mod leaving;
mod path;
mod rig;
mod settings;
mod stops;
mod watch;
mod zones;
