//! Tests of the whole path as separate processes, under failure.
//!
//! The programs of the whole workspace must be built first: `./test` does it.

mod input;
mod logs;
mod path;
mod raw;
mod rig;
mod traffic;
mod turns;
