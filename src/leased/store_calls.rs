//! Decides when a process may call the store again.
//!
//! All processes of a site share the limits of one store. The calls of each process are bounded
//! over time, however many records other processes write and however many calls fail: otherwise
//! a store that is slow for a moment receives more calls than before, and stays slow.

use std::time;

use backon::BackoffBuilder as _;

/// Delays after failed calls.
///
/// They double with each failure, and a random part of up to as much again keeps processes whose
/// calls failed at the same time from returning together.
#[derive(Debug)]
pub struct Backoff {
    builder: backon::ExponentialBuilder,
    delays: backon::ExponentialBackoff,
    failures: u32,
}

impl Backoff {
    /// Creates delays that start at `min` and double up to `max`.
    pub fn new(min: time::Duration, max: time::Duration, seed: u64) -> Self {
        let builder = backon::ExponentialBuilder::new()
            .with_min_delay(min)
            .with_max_delay(max)
            .with_factor(2.0)
            .without_max_times()
            .with_jitter()
            .with_jitter_seed(seed);
        Self {
            builder,
            delays: builder.build(),
            failures: 0,
        }
    }

    /// Returns the number of failures since the last success.
    pub const fn failures(&self) -> u32 {
        self.failures
    }

    /// Notes a failure and returns the delay before the next call.
    pub fn fail(&mut self) -> time::Duration {
        self.failures = self.failures.saturating_add(1);
        self.delays.next().unwrap_or_default()
    }

    /// Notes a success.
    pub fn succeed(&mut self) {
        if self.failures > 0 {
            self.failures = 0;
            self.delays = self.builder.build();
        }
    }
}
