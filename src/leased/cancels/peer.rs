//! What one other entry still has to be notified of.

use std::collections;

use smol_str::SmolStr;

use crate::leased::cancels;

/// Time without any answer after which an entry counts as gone, in milliseconds.
pub const GONE_MS: u64 = 30_000;

/// Times by which an entry is notified of a cancel.
#[derive(Clone, Copy, Debug)]
pub struct Times {
    /// When it should know of it.
    pub limit_ms: u64,
    /// Until when it is notified.
    pub until_ms: u64,
}

/// Another entry, and the cancelled ids that it has not acknowledged.
#[derive(Clone, Debug)]
pub struct Peer {
    zone: SmolStr,
    /// Ids of which the entry may still be notified in time.
    undelivered: collections::BTreeMap<SmolStr, Times>,
    /// Ids of which it was not notified in time.
    late: collections::BTreeMap<SmolStr, Times>,
    /// The earliest time at which one of them changes, or an earlier one.
    expires_ms: u64,
    /// When the next call is due; absent if there is nothing to tell.
    due_ms: Option<u64>,
    /// When the open call was sent.
    called_ms: Option<u64>,
    /// Number of calls in a row without an answer.
    tries: u32,
    /// When the first and the last of these calls were given up.
    lost_ms: Option<(u64, u64)>,
}

impl Peer {
    /// Creates a peer that has been notified of everything.
    pub const fn new(zone: SmolStr) -> Self {
        Self {
            zone,
            undelivered: collections::BTreeMap::new(),
            late: collections::BTreeMap::new(),
            expires_ms: u64::MAX,
            due_ms: None,
            called_ms: None,
            tries: 0,
            lost_ms: None,
        }
    }

    /// Returns the availability zone of the peer.
    pub const fn zone(&self) -> &SmolStr {
        &self.zone
    }

    /// Returns the number of calls in a row without an answer.
    pub const fn tries(&self) -> u32 {
        self.tries
    }

    /// Returns whether the peer has not answered anything for [`GONE_MS`].
    ///
    /// The time counts between calls: a peer that was not called cannot answer.
    pub fn is_gone(&self) -> bool {
        self.lost_ms
            .is_some_and(|(first_ms, last_ms)| last_ms - first_ms >= GONE_MS)
    }

    /// Returns whether the peer may still be notified of something in time.
    pub fn has_undelivered(&self) -> bool {
        !self.undelivered.is_empty()
    }

    fn is_notified(&self) -> bool {
        self.undelivered.is_empty() && self.late.is_empty()
    }

    /// Adds an id of which the peer is notified.
    pub fn add(&mut self, now_ms: u64, id: SmolStr, times: Times) {
        self.late.remove(&id);
        self.undelivered.insert(id, times);
        self.expires_ms = self.expires_ms.min(times.limit_ms);
        self.due_ms.get_or_insert(now_ms + cancels::COLLECT_MS);
    }

    /// Returns whether a call has to be made now.
    pub fn is_due(&self, now_ms: u64) -> bool {
        self.called_ms.is_none() && self.due_ms.is_some_and(|due_ms| due_ms <= now_ms)
    }

    /// Notes that a call is being made, and returns up to `max` ids for it.
    pub fn start_call(&mut self, now_ms: u64, max: usize) -> Vec<SmolStr> {
        self.called_ms = Some(now_ms);
        let ids = self.undelivered.keys().chain(self.late.keys());
        ids.take(max).cloned().collect()
    }

    /// Notes that the open call has been answered.
    pub const fn call_ended(&mut self) {
        self.called_ms = None;
    }

    /// Notes that the peer has acknowledged ids, directly or through a relaying entry.
    pub fn acknowledged(&mut self, now_ms: u64, ids: &[SmolStr]) {
        self.tries = 0;
        self.lost_ms = None;
        for id in ids {
            self.undelivered.remove(id);
            self.late.remove(id);
        }
        self.due_ms = (!self.is_notified()).then_some(now_ms + cancels::COLLECT_MS);
    }

    /// Notes that the open call had no answer.
    pub fn lost(&mut self, now_ms: u64) {
        let called_ms = self.called_ms.take().unwrap_or(now_ms);
        self.tries += 1;
        let (first_ms, _) = self.lost_ms.unwrap_or((now_ms, now_ms));
        self.lost_ms = Some((first_ms, now_ms));
        let pause_ms = if self.has_undelivered() {
            cancels::RETRY_MS
        } else {
            cancels::LATE_RETRY_MS
        };
        let retry_ms = now_ms.max(called_ms + pause_ms);
        self.due_ms = (!self.is_notified()).then_some(retry_ms);
    }

    /// Stops notifying the peer of an id.
    pub fn forget(&mut self, id: &str) {
        self.undelivered.remove(id);
        self.late.remove(id);
        self.clear_due();
    }

    /// Returns the ids that the peer should know of by now, and forgets those of which it is no longer
    /// notified.
    pub fn expire(&mut self, now_ms: u64) -> Vec<SmolStr> {
        if now_ms < self.expires_ms {
            return Vec::new();
        }
        let (expired, in_time): (collections::BTreeMap<_, _>, _) =
            std::mem::take(&mut self.undelivered)
                .into_iter()
                .partition(|(_, times)| times.limit_ms <= now_ms);
        self.undelivered = in_time;
        self.late
            .extend(expired.iter().map(|(id, times)| (id.clone(), *times)));
        self.late.retain(|_, times| times.until_ms > now_ms);
        let limits = self.undelivered.values().map(|times| times.limit_ms);
        let ends = self.late.values().map(|times| times.until_ms);
        self.expires_ms = limits.chain(ends).min().unwrap_or(u64::MAX);
        self.clear_due();
        expired.into_keys().collect()
    }

    fn clear_due(&mut self) {
        if self.is_notified() {
            self.due_ms = None;
        }
    }
}
