//! Tests of the whole path as separate processes, under failure.
//!
//! The programs of the whole workspace must be built first: `./test` does it.

mod answers;
mod check;
mod idempotence;
mod path;
mod rig;
mod starts;
mod truth;
