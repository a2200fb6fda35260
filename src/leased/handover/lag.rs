//! Lag of an entry's own work, and the share of its jobs that it hands over because of it.
//!
//! The lag is the lateness of the control thread's timer, or the time for which calls wait for the
//! control thread and the answer for the thread of the callers, whichever is longer. Where several
//! threads share a small part of a core, the timer alone may be in time while calls queue up.

use std::sync::atomic;
use std::time;

/// Time constant of the smoothing, in milliseconds.
const SMOOTHING_MS: f64 = 200.0;

/// Largest lateness that a single reading counts with, in milliseconds.
///
/// An instance that gets a small part of a core is often denied the processor for most of a period
/// of 100 ms. A longer gap is a suspension, which says nothing about the time after it.
const MAX_LATENESS_MS: u64 = 100;

/// Largest share of jobs that is handed over.
///
/// The rest shows by its lag whether the entry can serve callers itself again.
const MAX_SHARE: f64 = 0.95;

/// Divisor of the lag with the largest share that gives the lag at which the share is 0.
const NO_SHARE_DIVISOR: f64 = 2.0;

/// Round trips of calls between the callers' threads and the control thread.
#[derive(Debug, Default)]
pub struct RoundTrips {
    total_us: atomic::AtomicU64,
    count: atomic::AtomicU64,
}

impl RoundTrips {
    /// Records a round trip.
    pub fn record(&self, elapsed: time::Duration) {
        let elapsed_us = u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX);
        self.total_us
            .fetch_add(elapsed_us, atomic::Ordering::Relaxed);
        self.count.fetch_add(1, atomic::Ordering::Relaxed);
    }

    /// Returns the mean of the round trips since the last call, in milliseconds; 0 if there were
    /// none.
    pub fn take_mean_ms(&self) -> u64 {
        let total_us = self.total_us.swap(0, atomic::Ordering::Relaxed);
        let count = self.count.swap(0, atomic::Ordering::Relaxed);
        total_us.checked_div(count).unwrap_or(0) / 1_000
    }
}

/// Smoothed lateness of an entry's own work.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lag {
    smoothed_ms: f64,
}

impl Lag {
    /// Records that work was `late_ms` late in a period of `elapsed_ms`.
    pub fn record(&mut self, elapsed_ms: u64, late_ms: u64) {
        let weight = (elapsed_ms as f64 / SMOOTHING_MS).min(1.0);
        let late_ms = late_ms.min(MAX_LATENESS_MS) as f64;
        self.smoothed_ms += (late_ms - self.smoothed_ms) * weight;
    }

    /// Returns the smoothed lag in whole milliseconds.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "between 0 and the largest lateness"
    )]
    pub const fn ms(self) -> u32 {
        self.smoothed_ms as u32
    }

    /// Returns the share of jobs to hand over, which is largest from a lag of `full_ms` on.
    pub fn share(self, full_ms: u64) -> f64 {
        let full_ms = full_ms as f64;
        let from_ms = full_ms / NO_SHARE_DIVISOR;
        if self.smoothed_ms >= full_ms {
            return MAX_SHARE;
        }
        (MAX_SHARE * (self.smoothed_ms - from_ms) / (full_ms - from_ms)).max(0.0)
    }
}

/// Selects a share of the jobs, evenly spread.
#[derive(Clone, Copy, Debug, Default)]
pub struct Selection {
    credit: f64,
}

impl Selection {
    /// Returns whether the next job belongs to the share.
    pub fn is_next_selected(&mut self, share: f64) -> bool {
        self.credit += share;
        if self.credit < 1.0 {
            return false;
        }
        self.credit -= 1.0;
        true
    }
}
