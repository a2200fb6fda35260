//! bulrushtiller, a dispatcher for sub-second tasks: the processes between callers
//! and backend servers.
//!
//! One slice a duty; each has its state, its messages and its decisions, which need
//! no network to be read or tested. `docs/DESIGN.md` tells how they act together.

#[macro_use]
extern crate quick_error;

pub mod api;
pub mod audit;
pub mod cli;
pub mod client;
pub mod cmd;
pub mod codes;
pub mod ids;
pub mod settings;
pub mod wire;
