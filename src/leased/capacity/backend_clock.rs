//! The backend server's clock as seen from its runner, and the lease on that clock.

/// How slow a backend server's clock may be, in percent; the platform's bound is 2.
const SLOW_PERCENT: u64 = 2;

/// A reading of the backend server's clock and the ends of leases given by it.
#[derive(Clone, Copy, Debug, Default)]
pub struct BackendClock {
    reading_ms: u64,
    heard_ms: u64,
    is_known: bool,
    latest_until_ms: u64,
}

impl BackendClock {
    /// The backend server has told its clock.
    pub const fn hear(&mut self, reading_ms: u64, now_ms: u64) {
        if self.is_known && reading_ms < self.reading_ms {
            return;
        }
        self.reading_ms = reading_ms;
        self.heard_ms = now_ms;
        self.is_known = true;
    }

    /// Whether anything was heard.
    pub const fn is_known(&self) -> bool {
        self.is_known
    }

    /// A lease of so many milliseconds from now on, on the backend server's clock.
    pub fn grant(&mut self, now_ms: u64, lease_ms: u64) -> u64 {
        let until_ms = self.reading_ms + now_ms.saturating_sub(self.heard_ms) + lease_ms;
        self.latest_until_ms = self.latest_until_ms.max(until_ms);
        until_ms
    }

    /// Whether every lease that was ever sent is over, however slow its clock is.
    ///
    /// A backend server that can't be reached may well run on; a refused connection is
    /// no proof that it doesn't. Only the end of the lease is.
    pub const fn has_lapsed(&self, now_ms: u64) -> bool {
        let elapsed_ms = now_ms.saturating_sub(self.heard_ms);
        let at_least_ms = self.reading_ms + elapsed_ms - elapsed_ms * SLOW_PERCENT / 100;
        self.is_known && at_least_ms > self.latest_until_ms
    }
}
