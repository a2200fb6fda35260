//! The runner: the small process beside one backend server.

pub mod core;
pub mod parked;
