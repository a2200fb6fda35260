//! Limits how often an entry appends claims.
//!
//! The log takes several hundred appends per second from all entries together. If each of 164
//! entries appended as soon as its last append ended, they would ask for thousands. Claims
//! that arrive during the pause go into one record, so none waits longer than the pause.

/// Largest number of entries that append without a pause.
///
/// With one append of about 5 ms at a time each, they make several hundred per second.
pub const MAX_UNPACED_ENTRIES: u64 = 3;

/// Pause between appends for each entry beyond [`MAX_UNPACED_ENTRIES`], in milliseconds.
///
/// 164 entries then make about 340 appends per second together, and each at least one every
/// half second.
pub const PAUSE_PER_ENTRY_MS: u64 = 3;

/// Earliest time of the next append.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    next_ms: u64,
}

impl Pace {
    /// Whether an append may start now.
    pub const fn is_due(self, now_ms: u64) -> bool {
        now_ms >= self.next_ms
    }

    /// Records the start of an append; `entries` is the number of all entries.
    pub const fn append_started(&mut self, now_ms: u64, entries: u64) {
        let pause_ms = entries
            .saturating_sub(MAX_UNPACED_ENTRIES)
            .saturating_mul(PAUSE_PER_ENTRY_MS);
        self.next_ms = now_ms.saturating_add(pause_ms);
    }
}
