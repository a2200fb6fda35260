//! Settings: merging, validation, the state machine over the log, and the log reader.

mod check;
mod documentation;
pub(crate) mod fixtures;
mod merge;
mod reader;
mod replicas;
mod state;
