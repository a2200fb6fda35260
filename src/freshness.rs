//! Whether this process can still know that an availability zone was taken out.
//!
//! A process may start work only while it has recent evidence that a change of
//! the settings would have reached it: it has read the log to its end, or it has
//! had an answer from a process of another availability zone. Without the bound,
//! a process that is cut off (or was frozen) would go on starting tasks in a zone
//! that operators took out long ago. An answer counts from the time its question
//! was *sent*, so that a process that was frozen in between does not take an old
//! answer for a new one. An answer that names a later revision than ours is no
//! evidence until that revision is in force here; the caller sees to that.

use crate::wire;

/// What this process last heard, in its own monotonic milliseconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct Freshness {
    log_at_ms: Option<u64>,
    foreign_at_ms: Option<u64>,
}

impl Freshness {
    /// The log was read to its end by a question sent at `sent_at_ms`.
    pub fn record_log_read(&mut self, sent_at_ms: u64) {
        self.log_at_ms = self.log_at_ms.max(Some(sent_at_ms));
    }

    /// A process answered a question sent at `sent_at_ms`.
    ///
    /// A process without any evidence has never had settings: it started while the
    /// log was down. Were its answer to count, all processes replaced at once would
    /// assure each other of default settings and start work in zones that are out.
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
        self.log_at_ms = self.log_at_ms.max(at(evidence.log_age_ms));
        let foreign = if is_foreign {
            Some(sent_at_ms)
        } else {
            at(evidence.foreign_age_ms)
        };
        self.foreign_at_ms = self.foreign_at_ms.max(foreign);
    }

    /// Whether there ever was evidence, so that the settings are not mere defaults.
    pub const fn has_evidence(&self) -> bool {
        self.log_at_ms.is_some() || self.foreign_at_ms.is_some()
    }

    /// Whether work may be started on what was heard.
    pub fn is_fresh(&self, now_ms: u64, bound_ms: u64) -> bool {
        self.age_ms(now_ms).is_some_and(|age| age <= bound_ms)
    }

    /// Age of the best evidence.
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        self.log_at_ms
            .max(self.foreign_at_ms)
            .map(|at| now_ms.saturating_sub(at))
    }

    /// What to tell others.
    pub fn evidence(&self, now_ms: u64) -> wire::Evidence {
        let age = |at: Option<u64>| at.map(|at| now_ms.saturating_sub(at));
        wire::Evidence {
            log_age_ms: age(self.log_at_ms),
            foreign_age_ms: age(self.foreign_at_ms),
        }
    }
}
