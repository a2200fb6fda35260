//! The entry: the thin process that callers talk to.

pub mod attempts;
pub mod calls;
pub mod core;
pub mod pump;
pub mod report;
pub mod tick;
