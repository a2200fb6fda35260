//! Cancels whose callers have not been answered yet.

use std::collections;

use smol_str::SmolStr;

use crate::leased::cancels;

/// Longest time that a caller waits for the answers of other entries, in milliseconds.
pub const ANSWER_LIMIT_MS: u64 = 500;

/// A cancel whose callers wait for the answer.
#[derive(Clone, Debug)]
pub struct OpenCancel {
    /// The job's id.
    pub id: SmolStr,
    /// Time of the first caller's cancel.
    pub since_ms: u64,
    /// Addresses of the entries that have not answered.
    pub awaited: collections::BTreeSet<SmolStr>,
    /// The callers.
    pub waiters: Vec<cancels::Waiter>,
}

/// All cancels whose callers wait, by job.
#[derive(Debug, Default)]
pub struct OpenCancels {
    by_id: collections::HashMap<SmolStr, OpenCancel>,
    /// Jobs in the order of their cancels, also those that have been answered meanwhile.
    by_age: collections::VecDeque<(u64, SmolStr)>,
    /// Whether the list of entries has been received. Before that, no job can be called unknown.
    is_list_known: bool,
}

impl OpenCancels {
    /// Returns whether no caller waits and nothing is left to clear up.
    pub fn is_empty(&self) -> bool {
        self.by_age.is_empty()
    }

    /// Returns whether a caller waits.
    pub fn has_waiting(&self) -> bool {
        !self.by_id.is_empty()
    }

    /// Adds a caller; returns the cancel if no answer of another entry has to be awaited.
    pub fn add(
        &mut self,
        now_ms: u64,
        id: &SmolStr,
        waiter: cancels::Waiter,
        awaited: collections::BTreeSet<SmolStr>,
    ) -> Option<OpenCancel> {
        if let Some(open) = self.by_id.get_mut(id) {
            open.waiters.push(waiter);
            return None;
        }
        let open = OpenCancel {
            id: id.clone(),
            since_ms: now_ms,
            awaited,
            waiters: vec![waiter],
        };
        if self.is_list_known && open.awaited.is_empty() {
            return Some(open);
        }
        self.by_age.push_back((now_ms, id.clone()));
        self.by_id.insert(id.clone(), open);
        None
    }

    /// Removes a cancel that has been decided.
    pub fn remove(&mut self, id: &str) -> Option<OpenCancel> {
        self.by_id.remove(id)
    }

    /// Adds an entry whose answer has to be awaited.
    pub fn await_peer(&mut self, id: &str, address: &SmolStr) {
        if let Some(open) = self.by_id.get_mut(id) {
            open.awaited.insert(address.clone());
        }
    }

    /// Notes that an entry does not hold a job; returns the cancel if that was the last one.
    pub fn remove_awaited(&mut self, id: &str, address: &str) -> Option<OpenCancel> {
        let open = self.by_id.get_mut(id)?;
        open.awaited.remove(address);
        if !self.is_list_known || !open.awaited.is_empty() {
            return None;
        }
        self.by_id.remove(id)
    }

    /// Stops waiting for an entry; returns the cancels for which it was the last one.
    pub fn remove_peer(&mut self, address: &str) -> Vec<OpenCancel> {
        let ids: Vec<_> = self.by_id.keys().cloned().collect();
        let decided = ids.iter().filter_map(|id| self.remove_awaited(id, address));
        decided.collect()
    }

    /// Notes that the list of entries is known; returns the cancels that waited for it only.
    pub fn set_list_known(&mut self) -> Vec<OpenCancel> {
        self.is_list_known = true;
        let ready = self.by_id.values().filter(|open| open.awaited.is_empty());
        let ready: Vec<_> = ready.map(|open| open.id.clone()).collect();
        ready.iter().filter_map(|id| self.remove(id)).collect()
    }

    /// Removes and returns the cancels whose callers have waited for [`ANSWER_LIMIT_MS`].
    pub fn expire(&mut self, now_ms: u64) -> Vec<OpenCancel> {
        let mut expired = Vec::new();
        while let Some((since_ms, id)) = self.by_age.front()
            && since_ms + ANSWER_LIMIT_MS <= now_ms
        {
            // The job may have been cancelled again after the first cancel was answered.
            let is_same = |open: &OpenCancel| open.since_ms == *since_ms;
            if self.by_id.get(id).is_some_and(is_same) {
                expired.extend(self.by_id.remove(id));
            }
            self.by_age.pop_front();
        }
        expired
    }
}
