//! How often an entry appends claims.
//!
//! Load pattern answered: many entries whose callers choose their own ids. The log takes
//! several hundred appends a second from all of them; without a pace each entry appends
//! as soon as its last append ended, and 164 of them ask for thousands. Claims that come
//! within the pause go into one record, so nothing waits for longer than a pause.

/// So many entries append without a pause: with one append of some 5 ms under way at a
/// time each, they come to several hundred a second.
pub const FREE_ENTRIES: u64 = 3;

/// Pause for each entry beyond these, in milliseconds: 164 entries append some 340 times
/// a second together, and each within half a second.
pub const PAUSE_MS: u64 = 3;

/// When the next append may begin.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    next_ms: u64,
}

impl Pace {
    /// Whether an append may begin now.
    pub const fn is_due(self, now_ms: u64) -> bool {
        now_ms >= self.next_ms
    }

    /// An append begins, beside so many entries in all.
    pub const fn append_started(&mut self, now_ms: u64, entries: u64) {
        let pause_ms = entries
            .saturating_sub(FREE_ENTRIES)
            .saturating_mul(PAUSE_MS);
        self.next_ms = now_ms.saturating_add(pause_ms);
    }
}
