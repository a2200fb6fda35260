//! Settings: merging, checking, the state machine over the log, following the log.

mod check;
pub(crate) mod fixtures;
mod merge;
mod pages;
mod reader;
mod replicas;
mod state;
