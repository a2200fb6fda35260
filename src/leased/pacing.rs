//! Decides when a process may call again what all processes of a site share: the store, and the
//! few entries that others are referred to.
//!
//! The calls of each process are bounded over time, however many records other processes write
//! and however many calls fail. Otherwise a store that is slow for a moment receives more calls
//! than before, and stays slow.

use std::time;

use backon::BackoffBuilder as _;
use rand::Rng as _;
use rand::SeedableRng as _;

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

    /// Counts a failure and returns the delay before the next call.
    pub fn next_delay(&mut self) -> time::Duration {
        self.failures = self.failures.saturating_add(1);
        self.delays.next().unwrap_or_default()
    }

    /// Starts again with the shortest delay, after a success.
    pub fn reset(&mut self) {
        if self.failures > 0 {
            self.failures = 0;
            self.delays = self.builder.build();
        }
    }
}

/// Minimum interval between the reads of one topic.
///
/// A read is answered as soon as there is a record. Without the interval, each of N records that
/// are written one after the other would be read alone, by each of M processes.
#[derive(Debug)]
pub struct ReadPace {
    interval: time::Duration,
    rng: rand::rngs::StdRng,
    next_at: Option<time::Duration>,
}

impl ReadPace {
    /// Creates a pace; each interval is drawn from half of `interval` to half as much again.
    pub fn new(interval: time::Duration, seed: u64) -> Self {
        Self {
            interval,
            rng: rand::rngs::StdRng::seed_from_u64(seed),
            next_at: None,
        }
    }

    /// Returns the delay before the next read; `now` is the time since any fixed moment.
    ///
    /// The read counts as sent after that delay.
    pub fn delay(&mut self, now: time::Duration) -> time::Duration {
        let sent_at = self.next_at.map_or(now, |next_at| next_at.max(now));
        let interval = self.interval.mul_f64(self.rng.random_range(0.5..1.5));
        self.next_at = Some(sent_at + interval);
        sent_at.saturating_sub(now)
    }
}
