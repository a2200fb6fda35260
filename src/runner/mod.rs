//! The runner: the process beside one backend server, which starts tasks there.

pub mod backend;
pub mod control;
pub mod core;
pub mod http;
pub mod messages;
mod operator_requests;
mod updates;
pub mod wait_queue;
