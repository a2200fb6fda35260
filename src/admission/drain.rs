//! Rate at which an entry works off its backlog.
//!
//! The rate is the expected slot time of the tasks that end per millisecond. The backlog is
//! measured in expected slot time too, so estimates that are off by a factor cancel out of
//! the predicted wait. Without a backlog the completion rate only reflects the arrival rate,
//! so the rate is measured only over windows in which work waited all the time. Otherwise
//! the number of slots that the entry can use takes its place.

/// Length of a measurement window, in milliseconds.
///
/// On 88 slots shared by three entries, some tens of tasks of 0.3 s end within a window.
pub const WINDOW_MS: u64 = 500;

/// Weight of the newest window, which smooths over about four windows, or 2 s.
const NEWEST_WEIGHT: f64 = 0.25;

/// Drain rate of one entry.
#[derive(Clone, Copy, Debug)]
pub struct DrainRate {
    rate: f64,
    slots: f64,
    window_start_ms: u64,
    /// Expected slot time of the tasks that ended in the window.
    done_ms: u64,
    is_backlogged: bool,
}

impl DrainRate {
    /// Creates a rate without measurements.
    pub const fn new(now_ms: u64) -> Self {
        Self {
            rate: 0.0,
            slots: 0.0,
            window_start_ms: now_ms,
            done_ms: 0,
            is_backlogged: false,
        }
    }

    /// Records the end of a task with this expected slot time.
    pub const fn task_ended(&mut self, expected_ms: u64) {
        self.done_ms += expected_ms;
    }

    /// Updates the rate once per window; `slots` is the number of slots that the entry can use now.
    pub fn tick(&mut self, now_ms: u64, slots: f64, is_backlogged: bool) {
        self.is_backlogged &= is_backlogged;
        self.slots = slots;
        let elapsed = now_ms.saturating_sub(self.window_start_ms);
        if elapsed < WINDOW_MS {
            return;
        }
        if self.is_backlogged && self.rate > 0.0 {
            let measured = self.done_ms as f64 / elapsed as f64;
            self.rate += NEWEST_WEIGHT * (measured - self.rate);
        } else {
            self.rate = slots;
        }
        self.window_start_ms = now_ms;
        self.done_ms = 0;
        self.is_backlogged = is_backlogged;
    }

    /// Returns the slot time completed per millisecond; without a backlog, the usable slots.
    pub const fn rate(&self) -> f64 {
        if self.is_backlogged && self.rate > 0.0 {
            self.rate
        } else {
            self.slots
        }
    }

    /// Returns the number of usable slots at the last tick.
    pub const fn slots(&self) -> f64 {
        self.slots
    }
}
