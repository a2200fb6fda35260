//! Clocks: a monotonic one for decisions, and the wall clock for timestamps.

use std::time;

/// A monotonic clock in milliseconds.
///
/// It advances while the process or the whole instance is suspended, so a process can
/// detect a suspension when it resumes. `CLOCK_MONOTONIC` stops while the instance is
/// suspended; this clock uses `CLOCK_BOOTTIME`.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin_ms: u64,
}

/// Initial reading of the clock, which lets times before the start be represented.
const INITIAL_MS: u64 = 1_000_000;

impl Clock {
    /// Starts the clock.
    pub fn start() -> Self {
        Self {
            origin_ms: boot_ms(),
        }
    }

    /// Returns the current reading in milliseconds, which never decreases.
    pub fn now_ms(self) -> u64 {
        boot_ms()
            .saturating_sub(self.origin_ms)
            .saturating_add(INITIAL_MS)
    }
}

/// Returns the milliseconds since the instance booted, including suspended time.
pub fn boot_ms() -> u64 {
    read_ms(rustix::time::ClockId::Boottime)
}

/// Returns the milliseconds for which the instance was suspended since it booted, to about a
/// millisecond.
pub fn suspended_ms() -> u64 {
    let running_ms = read_ms(rustix::time::ClockId::Monotonic);
    boot_ms().saturating_sub(running_ms)
}

fn read_ms(clock: rustix::time::ClockId) -> u64 {
    let now = rustix::time::clock_gettime(clock);
    let seconds = u64::try_from(now.tv_sec).unwrap_or(0);
    let nanos = u64::try_from(now.tv_nsec).unwrap_or(0);
    seconds * 1_000 + nanos / 1_000_000
}

/// Returns the microseconds since 1970 by the wall clock.
pub fn unix_micros() -> u64 {
    let since = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
    since.map_or(0, |since| {
        u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
    })
}

/// Returns the milliseconds since 1970 by the wall clock.
pub fn unix_ms() -> u64 {
    unix_micros() / 1_000
}
