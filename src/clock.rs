//! The clocks: one that only goes forward, for decisions, and the wall's, for people.

use std::time;

/// A monotonic clock in milliseconds since it was made.
///
/// It keeps running while the process is frozen, which is how a thawed process
/// finds out.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: time::Instant,
}

/// Where the clock begins, so that ages can be taken from the first moment on.
const HEAD_START_MS: u64 = 1_000_000;

impl Clock {
    /// Starts the clock.
    pub fn start() -> Self {
        Self {
            origin: time::Instant::now(),
        }
    }

    /// Milliseconds, never fewer than before.
    pub fn now_ms(&self) -> u64 {
        let elapsed = u64::try_from(self.origin.elapsed().as_millis()).unwrap_or(u64::MAX);
        elapsed.saturating_add(HEAD_START_MS)
    }
}

/// Microseconds since 1970 by the wall's clock.
pub fn unix_micros() -> u64 {
    let since = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
    since.map_or(0, |since| {
        u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
    })
}

/// Milliseconds since 1970 by the wall's clock.
pub fn unix_ms() -> u64 {
    unix_micros() / 1_000
}
