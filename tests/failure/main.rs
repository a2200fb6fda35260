//! Tests of the whole path as separate processes, under failure.
//!
//! The programs of the whole workspace must be built first: `./test` does it.

mod answers;
mod at_most_once;
mod background;
mod check;
mod graceful_stop;
mod happy_path;
mod idempotence;
mod input;
mod leaving;
mod logs;
mod pass_on;
mod peer_connections;
mod permits;
mod raw;
mod relays;
mod reported_outcomes;
mod rig;
mod settings;
mod zones;
