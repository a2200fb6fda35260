//! Detects that this process was suspended, or had no processor time, for a while, and whether the whole
//! instance was.
//!
//! Right after a suspension every peer seems to have been silent, while its messages wait in the
//! sockets of this process. Whatever is decided by silence has to wait until they are read.

/// Shortest gap between two readings of the clock that counts as a suspension, in milliseconds:
/// ten times the interval of the slower timer.
const MIN_GAP_MS: u64 = 200;

/// Time to read the messages that arrived during a suspension and to exchange new ones, in
/// milliseconds: a pause before the retry of a call, a new connection and an answer.
const SETTLE_MS: u64 = 150;

/// Watches the gaps between readings of the clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct Detector {
    last_ms: Option<u64>,
}

impl Detector {
    /// Records a reading of the clock; returns the time until which silence proves nothing if
    /// this process was suspended since the last one.
    pub fn record(&mut self, now_ms: u64) -> Option<u64> {
        let last_ms = self.last_ms.replace(now_ms)?;
        let gap_ms = now_ms.saturating_sub(last_ms);
        if gap_ms < MIN_GAP_MS {
            return None;
        }
        log::warn!(event = "process.resumed", gap_ms = gap_ms, settle_ms = SETTLE_MS; "this process did not run for a while; reading what arrived before acting on the silence of others");
        Some(now_ms + SETTLE_MS)
    }
}

/// Shortest growth of the suspended time that counts, in milliseconds: the two clocks from which it is
/// taken are read one after the other.
const MIN_SUSPENDED_MS: u64 = 10;

/// Detects that the whole instance was suspended, by the time that only one of its clocks counts.
#[derive(Clone, Copy, Debug, Default)]
pub struct InstanceDetector {
    last_ms: Option<u64>,
}

impl InstanceDetector {
    /// Records for how long the instance was suspended in all; returns for how long it was since the
    /// last call, if it was.
    pub fn record(&mut self, total_ms: u64) -> Option<u64> {
        let last_ms = *self.last_ms.get_or_insert(total_ms);
        let suspended_ms = total_ms.saturating_sub(last_ms);
        if suspended_ms < MIN_SUSPENDED_MS {
            return None;
        }
        self.last_ms = Some(total_ms);
        log::warn!(event = "instance.resumed", suspended_ms = suspended_ms; "the instance was suspended for a while");
        Some(suspended_ms)
    }
}
