//! The runner's estimate of the backend server's clock, on which leases are granted.

use crate::leased::clock_estimate;

/// Estimate of the backend server's clock, and the latest end of a lease on it.
#[derive(Clone, Copy, Debug, Default)]
pub struct BackendClock {
    /// Absent until a reading has been received.
    estimate: Option<clock_estimate::ClockEstimate>,
    /// Absent until a lease has been granted.
    latest_until_ms: Option<u64>,
}

impl BackendClock {
    /// Records a reading of the backend server's clock.
    pub fn record(&mut self, reading_ms: u64, now_ms: u64) {
        self.estimate
            .get_or_insert(clock_estimate::ClockEstimate::new(reading_ms, now_ms))
            .record(reading_ms, now_ms);
    }

    /// Returns whether a reading has been received.
    pub const fn is_known(&self) -> bool {
        self.estimate.is_some()
    }

    /// Returns a reading that the clock has reached, even if it runs as slow as allowed; 0 if none
    /// has been received. It never decreases.
    pub fn estimate_ms(&self, now_ms: u64) -> u64 {
        self.estimate.map_or(0, |estimate| estimate.at_ms(now_ms))
    }

    /// Grants a lease for `lease_ms` and returns its end on the backend server's clock.
    pub fn grant(&mut self, now_ms: u64, lease_ms: u64) -> u64 {
        let until_ms = self.estimate_ms(now_ms) + lease_ms;
        self.latest_until_ms = self.latest_until_ms.max(Some(until_ms));
        until_ms
    }

    /// Returns whether leases have been granted and all of them have expired, even if the backend
    /// server's clock runs as slow as allowed.
    ///
    /// An unreachable backend server may continue to run tasks, and a refused connection does
    /// not prove otherwise. Only the end of the lease does.
    pub fn has_expired(&self, now_ms: u64) -> bool {
        let latest_until_ms = self.latest_until_ms;
        self.is_known()
            && latest_until_ms.is_some_and(|until_ms| self.estimate_ms(now_ms) > until_ms)
    }
}
