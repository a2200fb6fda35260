//! Settings: merging, validation, the state machine over the log, and the log reader.

mod check;
pub(crate) mod fixtures;
mod merge;
mod pages;
mod reader;
mod replicas;
mod state;
