//! Tests of the whole path as separate processes, under failure.
//!
//! The programs of the whole workspace must be built first: `./test` does it.

mod answers;
mod check;
mod cuts;
mod idempotence;
mod input;
mod leaving;
mod logs;
mod passing;
mod path;
mod raw;
mod rig;
mod settings;
mod starts;
mod stops;
mod traffic;
mod truth;
mod turns;
mod watch;
mod zones;
