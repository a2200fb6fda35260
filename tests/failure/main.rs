//! Tests of the whole path as separate processes, under failure.
//!
//! The programs of the whole workspace must be built first: `./test` does it.

mod cuts;
mod input;
mod leaving;
mod logs;
mod path;
mod raw;
mod rig;
mod settings;
mod stops;
mod traffic;
mod turns;
mod watch;
mod zones;
