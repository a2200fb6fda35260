//! How fast an entry's work is really done.
//!
//! The rate is expected slot time completed in a millisecond, so run times that are
//! expected too long or too short cancel out of the foreseen wait. Without a backlog
//! the rate done is only the rate asked for, so it counts only over windows in which
//! work waited all the time; else the slots that the entry could use stand for it.

/// Length of a window, in milliseconds: some tens of tasks of 0.3 s end on 88 slots
/// shared by three entries.
pub const WINDOW_MS: u64 = 500;

/// Weight of the newest window: smoothing over about four, 2 s.
const NEWEST: f64 = 0.25;

/// The drain rate of one entry.
#[derive(Clone, Copy, Debug)]
pub struct DrainRate {
    rate: f64,
    slots: f64,
    began_ms: u64,
    done_ms: u64,
    is_backlogged: bool,
}

impl DrainRate {
    /// Starts with nothing measured.
    pub const fn new(now_ms: u64) -> Self {
        Self {
            rate: 0.0,
            slots: 0.0,
            began_ms: now_ms,
            done_ms: 0,
            is_backlogged: false,
        }
    }

    /// A task ended that was expected to take so long.
    pub const fn task_ended(&mut self, expected_ms: u64) {
        self.done_ms += expected_ms;
    }

    /// Time passes: `slots` could be used now, and perhaps work waits.
    pub fn tick(&mut self, now_ms: u64, slots: f64, is_backlogged: bool) {
        self.is_backlogged &= is_backlogged;
        self.slots = slots;
        let elapsed = now_ms.saturating_sub(self.began_ms);
        if elapsed < WINDOW_MS {
            return;
        }
        if self.is_backlogged && self.rate > 0.0 {
            let seen = self.done_ms as f64 / elapsed as f64;
            self.rate += NEWEST * (seen - self.rate);
        } else {
            self.rate = slots;
        }
        self.began_ms = now_ms;
        self.done_ms = 0;
        self.is_backlogged = is_backlogged;
    }

    /// Slot time done in a millisecond; without a backlog, what the slots could do.
    pub const fn rate(&self) -> f64 {
        if self.is_backlogged && self.rate > 0.0 {
            self.rate
        } else {
            self.slots
        }
    }

    /// Slots that could be used when the time was last looked at.
    pub const fn slots(&self) -> f64 {
        self.slots
    }
}
