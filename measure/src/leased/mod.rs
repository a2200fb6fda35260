//! Second simulated world: jobs under leases, with the decisions of entries and runners in steps
//! of a millisecond.
//!
//! The decisions are those of the production code; links, backend servers and callers are
//! simulated. Processor time, connections and the store are not, so nothing here shows their cost.

pub mod backends;
pub mod faults;
pub mod network;
pub mod runner;
pub mod scenario;
pub mod site;
pub mod tally;
pub mod workload;
pub mod world;

/// A time well after the start of every clock, in milliseconds.
pub const START_MS: u64 = 1_000_000;
