//! The entry: the thin process that callers talk to.

pub mod attempts;
pub mod calls;
mod claim_calls;
pub mod claiming;
pub mod control;
pub mod core;
pub mod http;
pub mod load;
pub mod messages;
pub mod pump;
pub mod report;
pub mod tick;
