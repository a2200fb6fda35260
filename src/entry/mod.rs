//! The entry: the process that callers connect to.

pub mod attempts;
pub mod calls;
mod claim_handlers;
pub mod claiming;
mod completion;
pub mod control;
pub mod core;
mod dispatching;
mod forwarding;
mod health_reports;
pub mod http;
pub mod inflight;
pub mod load;
pub mod messages;
mod operator_queries;
pub mod pass_on;
pub mod scheduling;
pub mod status;
pub mod tick;
mod updates;
mod waiters;
