//! Properties and faults of a backend server that a test sets.

use std::time;

use rand::Rng as _;

/// Properties of a backend server.
#[derive(Clone, Copy, Debug)]
pub struct Profile {
    /// Rate of the monotonic clock; 1 is real time.
    pub clock_rate: f64,
    /// Capacity, in thousandths of a core.
    pub cpu_milli: u32,
    /// Longest time from a stop to the end of its run.
    pub max_stop: time::Duration,
    /// Number of runs beyond which starts are refused, if there is a limit.
    pub max_runs: Option<usize>,
}

impl Default for Profile {
    fn default() -> Self {
        Self {
            clock_rate: 1.0,
            cpu_milli: 16_000,
            max_stop: time::Duration::ZERO,
            max_runs: None,
        }
    }
}

/// Calls that get no answer and are carried out later.
#[derive(Clone, Copy, Debug)]
pub struct LateOrders {
    /// Fraction of the starts and stops.
    pub fraction: f64,
    /// Fraction of the `/hold` calls.
    pub hold_fraction: f64,
    /// Shortest delay, in milliseconds.
    pub min_ms: u64,
    /// Longest delay, in milliseconds.
    pub max_ms: u64,
}

impl LateOrders {
    /// Returns the delay of a call, if it is one of the given fraction.
    pub(super) fn draw(&self, fraction: f64) -> Option<time::Duration> {
        let mut rng = rand::rng();
        let delay_ms = rng.random_range(self.min_ms..=self.max_ms);
        rng.random_bool(fraction)
            .then(|| time::Duration::from_millis(delay_ms))
    }
}
