//! Ids of cancelled jobs, kept so that a job that arrives later starts nothing.

use std::collections;

use smol_str::SmolStr;

/// Largest number of kept ids; with their indexes they take under 2 MiB.
pub const MAX_KEPT: usize = 10_000;

/// How an entry learned of a cancel.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Origin {
    /// From a caller: this entry notifies the others.
    Here,
    /// From another entry.
    Peer,
}

#[derive(Clone, Copy, Debug)]
struct KeptId {
    since_ms: u64,
    number: u64,
    origin: Origin,
    was_held: bool,
}

/// Ids of cancelled jobs, at most [`MAX_KEPT`].
#[derive(Debug)]
pub struct KeptIds {
    keep_ms: u64,
    by_id: collections::HashMap<SmolStr, KeptId>,
    /// All ids, by the time since which they are kept.
    by_age: collections::BTreeMap<(u64, u64), SmolStr>,
    last_number: u64,
}

impl KeptIds {
    /// Creates an empty collection that keeps each id for `keep_ms`.
    pub fn new(keep_ms: u64) -> Self {
        Self {
            keep_ms,
            by_id: collections::HashMap::new(),
            by_age: collections::BTreeMap::new(),
            last_number: 0,
        }
    }

    /// Returns the number of ids.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Returns whether there are no ids.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// Returns whether the id is kept and an entry is known to have cancelled its job.
    pub fn was_held(&self, id: &str) -> bool {
        self.by_id.get(id).is_some_and(|kept| kept.was_held)
    }

    /// Returns the time since the cancel in milliseconds, or `None` if the id is not kept.
    pub fn age_ms(&self, now_ms: u64, id: &str) -> Option<u64> {
        let kept = self.by_id.get(id)?;
        let age_ms = now_ms.saturating_sub(kept.since_ms);
        (age_ms < self.keep_ms).then_some(age_ms)
    }

    /// Returns the ids that callers have cancelled at this entry, with their times.
    pub fn cancelled_here(&self) -> impl Iterator<Item = (&SmolStr, u64)> {
        let here = self
            .by_id
            .iter()
            .filter(|(_, kept)| kept.origin == Origin::Here);
        here.map(|(id, kept)| (id, kept.since_ms))
    }

    /// Notes that an entry has cancelled the job.
    pub fn mark_held(&mut self, id: &str) {
        if let Some(kept) = self.by_id.get_mut(id) {
            kept.was_held = true;
        }
    }

    /// Keeps an id from now on; returns the oldest one if it had to be dropped.
    pub fn keep(
        &mut self,
        now_ms: u64,
        id: SmolStr,
        origin: Origin,
        is_held: bool,
    ) -> Option<SmolStr> {
        self.last_number += 1;
        let former = self.by_id.remove(&id);
        if let Some(former) = former {
            self.by_age.remove(&(former.since_ms, former.number));
        }
        let kept = KeptId {
            since_ms: now_ms,
            number: self.last_number,
            origin,
            was_held: is_held || former.is_some_and(|former| former.was_held),
        };
        self.by_age.insert((now_ms, kept.number), id.clone());
        self.by_id.insert(id, kept);
        if self.by_id.len() <= MAX_KEPT {
            return None;
        }
        self.remove_oldest()
    }

    fn remove_oldest(&mut self) -> Option<SmolStr> {
        let (_, id) = self.by_age.pop_first()?;
        self.by_id.remove(&id);
        Some(id)
    }

    /// Removes the ids whose time is over.
    pub fn expire(&mut self, now_ms: u64) {
        while let Some(((since_ms, _), _)) = self.by_age.first_key_value()
            && since_ms + self.keep_ms <= now_ms
        {
            self.remove_oldest();
        }
    }
}
