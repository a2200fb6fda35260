//! End-to-end tests under failure, with every part in a process of its own.
//!
//! They need the binaries of the whole workspace; `./test` builds them first.

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
