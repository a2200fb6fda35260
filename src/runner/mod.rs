//! The runner: the small process beside one backend server.

pub mod backend;
pub mod control;
pub mod core;
mod hearing;
pub mod http;
pub mod messages;
mod report;
pub mod wait_queue;
