//! The clocks: one that only goes forward, for decisions, and the wall's, for people.

use std::time;

/// A monotonic clock in milliseconds since it was made.
///
/// It keeps running while the process is frozen and while the whole instance is
/// suspended, which is how a process that wakes up finds out. The usual monotonic clock
/// stands still in a suspended instance.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin_ms: u64,
}

/// Where the clock begins, so that ages can be taken from the first moment on.
const HEAD_START_MS: u64 = 1_000_000;

impl Clock {
    /// Starts the clock.
    pub fn start() -> Self {
        Self {
            origin_ms: boot_ms(),
        }
    }

    /// Milliseconds, never fewer than before.
    pub fn now_ms(self) -> u64 {
        boot_ms()
            .saturating_sub(self.origin_ms)
            .saturating_add(HEAD_START_MS)
    }
}

/// Milliseconds since the instance was started, suspensions included.
fn boot_ms() -> u64 {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    let seconds = u64::try_from(now.tv_sec).unwrap_or(0);
    let nanos = u64::try_from(now.tv_nsec).unwrap_or(0);
    seconds * 1_000 + nanos / 1_000_000
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
