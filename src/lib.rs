//! bulrushtiller, a dispatcher for sub-second tasks: the processes between callers
//! and backend servers.
//!
//! Each module has one responsibility, with its own state, messages and decision logic
//! that can be tested without a network. `docs/DESIGN.md` describes how they interact.

#[macro_use]
extern crate quick_error;

pub mod admission;
pub mod api;
pub mod audit;
pub mod claims;
pub mod cli;
pub mod client;
pub mod clock;
pub mod closing;
pub mod cmd;
pub mod codes;
pub mod config;
pub mod control;
pub mod daemon;
pub mod entry;
pub mod epoch_window;
pub mod freshness;
pub mod hangup;
pub mod health;
pub mod heartbeats;
pub mod ids;
pub mod incoming;
pub mod jobs;
pub mod leading;
pub mod learning;
pub mod leased;
pub mod membership;
pub mod metrics;
pub mod open_connections;
pub mod open_requests;
pub mod operators;
pub mod outgoing;
pub mod placement;
pub mod queue;
pub mod ramp;
pub mod receiving;
pub mod retry;
pub mod runner;
pub mod settings;
pub mod settings_replica;
pub mod starts;
pub mod streams;
pub mod telemetry;
pub mod time_limit;
pub mod wire;
