//! Settings: merging, checking, the state machine over the log, following the log.

mod check;
