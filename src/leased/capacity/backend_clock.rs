//! The runner's estimate of the backend server's clock, on which leases are granted.

use crate::leased::clock_estimate;

/// Estimate of the backend server's clock, and the latest end of a lease on it.
#[derive(Clone, Copy, Debug, Default)]
pub struct BackendClock {
    /// Best estimate, on which leases are granted; absent until a reading has been received.
    estimate: Option<clock_estimate::ClockEstimate>,
    /// Time that the last reading proves, which may be behind the estimate.
    proven: Option<clock_estimate::ClockEstimate>,
    /// Absent until a lease has been granted.
    latest_until_ms: Option<u64>,
}

impl BackendClock {
    /// Records a reading of the backend server's clock.
    pub fn record(&mut self, reading: &clock_estimate::Reading) {
        let before_ms = self.estimate_ms(reading.received_at_ms);
        self.estimate
            .get_or_insert(clock_estimate::ClockEstimate::new(reading))
            .record(reading);
        self.proven = Some(clock_estimate::ClockEstimate::new(reading));
        let ahead_ms = before_ms.saturating_sub(self.estimate_ms(reading.received_at_ms));
        if ahead_ms > 0 {
            log::warn!(event = "backend.clock_ahead", ahead_ms = ahead_ms, clock_ms = reading.clock_ms; "the estimate of the backend server's clock was ahead of it; setting it back");
        }
    }

    /// Notes that this process did not run for a while: until the next reading, nothing shows that
    /// the clock advanced meanwhile.
    pub const fn resume(&mut self, now_ms: u64) {
        if let Some(proven) = &mut self.proven {
            proven.discount(now_ms, u64::MAX);
        }
    }

    /// Notes that the instance was suspended, so that the clock stood still.
    pub const fn instance_suspended(&mut self, now_ms: u64, suspended_ms: u64) {
        if let Some(estimate) = &mut self.estimate {
            estimate.discount(now_ms, suspended_ms);
        }
    }

    /// Returns whether a reading has been received.
    pub const fn is_known(&self) -> bool {
        self.estimate.is_some()
    }

    /// Returns a reading that the clock has reached, even if it runs as slow as allowed; 0 if none
    /// has been received. It decreases only where a reading shows that it was ahead.
    pub fn estimate_ms(&self, now_ms: u64) -> u64 {
        self.estimate.map_or(0, |estimate| estimate.at_ms(now_ms))
    }

    /// Grants a lease for `lease_ms` and returns its end on the backend server's clock.
    pub fn grant(&mut self, now_ms: u64, lease_ms: u64) -> u64 {
        let until_ms = self.estimate_ms(now_ms).saturating_add(lease_ms);
        self.latest_until_ms = self.latest_until_ms.max(Some(until_ms));
        until_ms
    }

    /// Returns whether leases have been granted and all of them have expired, even if the backend
    /// server's clock runs as slow as allowed.
    ///
    /// An unreachable backend server may continue to run tasks, and a refused connection does
    /// not prove otherwise. Only the end of the lease does, on the clock as the last reading proves
    /// it: a lease that was granted while the estimate was ahead ends later than it was meant to.
    pub fn has_expired(&self, now_ms: u64) -> bool {
        let proven_ms = self.proven.map(|proven| proven.at_ms(now_ms));
        proven_ms > self.latest_until_ms && self.latest_until_ms.is_some()
    }
}
