//! The runner's estimate of the backend server's clock, on which leases are granted.

/// Largest rate error of a backend server's clock, in percent, as bounded by the platform.
const MAX_SLOWNESS_PERCENT: u64 = 2;

/// Last reading of the backend server's clock, and the latest end of a lease on it.
#[derive(Clone, Copy, Debug, Default)]
pub struct BackendClock {
    reading_ms: u64,
    /// When the reading was received, on the runner's clock.
    received_at_ms: u64,
    is_known: bool,
    latest_until_ms: u64,
}

impl BackendClock {
    /// Records a reading of the backend server's clock.
    pub const fn record(&mut self, reading_ms: u64, now_ms: u64) {
        if self.is_known && reading_ms < self.reading_ms {
            return;
        }
        self.reading_ms = reading_ms;
        self.received_at_ms = now_ms;
        self.is_known = true;
    }

    /// Returns whether a reading has been received.
    pub const fn is_known(&self) -> bool {
        self.is_known
    }

    /// Grants a lease for `lease_ms` and returns its end on the backend server's clock.
    pub fn grant(&mut self, now_ms: u64, lease_ms: u64) -> u64 {
        let until_ms = self.reading_ms + now_ms.saturating_sub(self.received_at_ms) + lease_ms;
        self.latest_until_ms = self.latest_until_ms.max(until_ms);
        until_ms
    }

    /// Returns whether every granted lease has expired, even if the backend server's clock runs
    /// as slow as allowed.
    ///
    /// An unreachable backend server may continue to run tasks, and a refused connection does
    /// not prove otherwise. Only the end of the lease does.
    pub const fn has_expired(&self, now_ms: u64) -> bool {
        let elapsed_ms = now_ms.saturating_sub(self.received_at_ms);
        let at_least_ms = self.reading_ms + elapsed_ms - elapsed_ms * MAX_SLOWNESS_PERCENT / 100;
        self.is_known && at_least_ms > self.latest_until_ms
    }
}
