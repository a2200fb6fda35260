//! Properties and faults of a backend server that a test sets.

use std::time;

/// Properties of a backend server.
#[derive(Clone, Copy, Debug)]
pub struct Profile {
    /// Rate of the monotonic clock; 1 is real time.
    pub clock_rate: f64,
    /// Capacity, in thousandths of a core.
    pub cpu_milli: u32,
    /// Longest time from a stop to the end of its run.
    pub max_stop: time::Duration,
}

impl Default for Profile {
    fn default() -> Self {
        Self {
            clock_rate: 1.0,
            cpu_milli: 16_000,
            max_stop: time::Duration::ZERO,
        }
    }
}

/// Starts and stops that get no answer and are carried out later.
#[derive(Clone, Copy, Debug)]
pub struct LateOrders {
    /// Fraction of the orders.
    pub fraction: f64,
    /// Shortest delay, in milliseconds.
    pub min_ms: u64,
    /// Longest delay, in milliseconds.
    pub max_ms: u64,
}
