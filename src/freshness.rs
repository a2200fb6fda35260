//! Evidence that the settings in force on this process are current.
//!
//! A process may start work only while it has recent evidence that a settings change
//! would have reached it: it has read the log to its end, or it has received a reply
//! from a process in another availability zone. Without this limit, a process that is
//! partitioned or was suspended would keep starting tasks in a zone that operators took
//! out of service. A reply counts from the time its request was *sent*, so a process
//! that was suspended in between does not treat an old reply as new. A reply with a
//! later revision than the local one is no evidence until that revision is in force
//! here; the caller must ensure this.

use crate::wire;

/// Times of the latest evidence, in milliseconds of the process's monotonic clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct Freshness {
    log_read_ms: Option<u64>,
    foreign_reply_ms: Option<u64>,
}

impl Freshness {
    /// Records that a request sent at `sent_at_ms` read the log to its end.
    pub fn record_log_read(&mut self, sent_at_ms: u64) {
        self.log_read_ms = self.log_read_ms.max(Some(sent_at_ms));
    }

    /// Records a peer's reply to a request sent at `sent_at_ms`.
    ///
    /// A peer without any evidence started while the log was down and has never received
    /// settings. Its reply does not count; otherwise, if all processes were replaced at
    /// once, they would confirm the default settings to each other and start work in
    /// zones that are out of service.
    pub fn record_peer_reply(
        &mut self,
        sent_at_ms: u64,
        is_foreign: bool,
        evidence: wire::Evidence,
    ) {
        if evidence.log_age_ms.is_none() && evidence.foreign_age_ms.is_none() {
            return;
        }
        let at = |age: Option<u64>| age.and_then(|age| sent_at_ms.checked_sub(age));
        self.log_read_ms = self.log_read_ms.max(at(evidence.log_age_ms));
        let foreign = if is_foreign {
            Some(sent_at_ms)
        } else {
            at(evidence.foreign_age_ms)
        };
        self.foreign_reply_ms = self.foreign_reply_ms.max(foreign);
    }

    /// Returns whether there ever was evidence, so the settings are not just defaults.
    pub const fn has_evidence(&self) -> bool {
        self.log_read_ms.is_some() || self.foreign_reply_ms.is_some()
    }

    /// Returns whether the evidence is recent enough to start work.
    pub fn is_fresh(&self, now_ms: u64, max_age_ms: u64) -> bool {
        self.age_ms(now_ms).is_some_and(|age| age <= max_age_ms)
    }

    /// Returns the age of the latest evidence, in milliseconds.
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        self.log_read_ms
            .max(self.foreign_reply_ms)
            .map(|at| now_ms.saturating_sub(at))
    }

    /// Returns the evidence to report to other processes.
    pub fn evidence(&self, now_ms: u64) -> wire::Evidence {
        let age = |at: Option<u64>| at.map(|at| now_ms.saturating_sub(at));
        wire::Evidence {
            log_age_ms: age(self.log_read_ms),
            foreign_age_ms: age(self.foreign_reply_ms),
        }
    }
}
