//! Uses the results of other entries' tasks to end an ejection early.
//!
//! An ejection grows with each failed probe, as every probe costs a caller time. A backend server
//! that recovers right after such a probe would stay unused for many seconds, also while callers
//! are refused for lack of capacity. A runner counts the results of all entries, so one entry's
//! probe serves all of them.

use crate::wire;

/// Number of sound results in a row that show that a backend server has recovered. One that fails
/// some of its tasks rarely completes so many in a row.
const MIN_SOUND: u64 = 4;

/// Results that a runner has reported, as last seen by this entry.
#[derive(Clone, Copy, Debug, Default)]
pub struct SharedResults {
    last: wire::ResultCounts,
    /// Sound results since the last unsound one, or since the last ejection.
    sound_in_row: u64,
    /// When the last unsound result was reported, monotonic milliseconds.
    unsound_at_ms: u64,
}

/// What a report says about a backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Evidence {
    /// Too few runs have ended to tell.
    Unclear,
    /// Enough runs in a row were sound.
    Sound,
    /// A run failed or was slow.
    Unsound,
}

impl SharedResults {
    /// Takes over the counts of a report.
    ///
    /// Counts below those of the last report come from another incarnation of the runner, and only
    /// serve for the next comparison.
    pub fn update(&mut self, now_ms: u64, counts: wire::ResultCounts) -> Evidence {
        let last = std::mem::replace(&mut self.last, counts);
        if counts.sound < last.sound || counts.unsound < last.unsound {
            return Evidence::Unclear;
        }
        if counts.unsound > last.unsound {
            self.unsound_at_ms = now_ms;
            self.sound_in_row = 0;
            return Evidence::Unsound;
        }
        self.sound_in_row += counts.sound - last.sound;
        if self.sound_in_row >= MIN_SOUND {
            return Evidence::Sound;
        }
        Evidence::Unclear
    }

    /// Starts to count sound results anew, as the runner is ejected now.
    pub const fn restart(&mut self) {
        self.sound_in_row = 0;
    }

    /// Returns when the last unsound result was reported, monotonic milliseconds; 0 if none was.
    pub const fn unsound_at_ms(&self) -> u64 {
        self.unsound_at_ms
    }
}
