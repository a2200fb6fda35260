//! Dispatches accepted by a runner that wait for a slot.
//!
//! They are ordered by the time at which they should start, so that a short task does not
//! wait for long ones that were sent to this runner before it. Several entries share a
//! runner's slots. Each has its own queue here, and no queue may get ahead of another by
//! more than [`MAX_LEAD`] starts: by start times alone, an entry with much overdue work
//! would keep the others waiting.

use std::collections;

use smol_str::SmolStr;

use crate::ids;
use crate::wire;

/// Number of times that smaller tasks may overtake a task that does not fit.
///
/// Without the limit a large task would starve behind a stream of small ones; without
/// overtaking one large task would leave the other slots idle.
pub const MAX_PASSES: u32 = 8;

/// Number of starts by which one queue may get ahead of another that has tasks waiting.
pub const MAX_LEAD: u64 = 2;

/// One waiting dispatch.
#[derive(Clone, Debug)]
pub struct Waiting {
    /// The dispatch.
    pub dispatch: wire::Dispatch,
    /// When it is returned to its entry as not started, monotonic milliseconds.
    pub until_ms: u64,
    start_by_ms: u64,
    passes: u32,
}

/// Waiting dispatches of one entry, the most urgent first.
#[derive(Debug, Default)]
struct EntryQueue {
    entry: SmolStr,
    waiting: collections::VecDeque<Waiting>,
    starts: u64,
}

/// All waiting dispatches, in one queue per entry.
#[derive(Debug, Default)]
pub struct WaitQueue {
    queues: Vec<EntryQueue>,
    len: usize,
}

impl WaitQueue {
    /// Number of waiting dispatches.
    pub const fn len(&self) -> usize {
        self.len
    }

    /// Returns whether no dispatch waits.
    pub const fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Number of waiting dispatches of one incarnation of an entry.
    pub fn len_of(&self, entry: ids::Incarnation) -> usize {
        let all = self.queues.iter().flat_map(|queue| &queue.waiting);
        all.filter(|waiting| waiting.dispatch.attempt.owner == entry)
            .count()
    }

    /// Adds a dispatch to the queue of its entry.
    pub fn push(&mut self, dispatch: wire::Dispatch, now_ms: u64) {
        let waiting = Waiting {
            until_ms: now_ms.saturating_add(dispatch.wait_ms),
            start_by_ms: now_ms.saturating_add(dispatch.slack_ms),
            passes: 0,
            dispatch,
        };
        self.len += 1;
        let queue = self.queue_of(&waiting.dispatch.entry);
        let is_before = |other: &Waiting| other.start_by_ms <= waiting.start_by_ms;
        let at = queue.waiting.partition_point(is_before);
        queue.waiting.insert(at, waiting);
    }

    /// Returns the queue of an entry; a new one begins with the fewest starts of all queues.
    fn queue_of(&mut self, entry: &SmolStr) -> &mut EntryQueue {
        let known = self.queues.iter().position(|queue| queue.entry == *entry);
        let at = known.unwrap_or_else(|| {
            let starts = self.min_starts();
            self.queues.push(EntryQueue {
                entry: entry.clone(),
                starts,
                ..EntryQueue::default()
            });
            self.queues.len() - 1
        });
        &mut self.queues[at]
    }

    fn min_starts(&self) -> u64 {
        let starts = self.queues.iter().map(|queue| queue.starts);
        starts.min().unwrap_or(0)
    }

    /// Removes and returns the next dispatch whose resource needs satisfy `fits`.
    pub fn pop(&mut self, fits: impl Fn(&wire::Resources) -> bool) -> Option<wire::Dispatch> {
        for at in self.order() {
            let front = self.queues.get_mut(at)?.waiting.front_mut()?;
            if fits(&front.dispatch.resources) {
                return self.take_front(at);
            }
            front.passes += 1;
            if front.passes > MAX_PASSES {
                return None;
            }
        }
        None
    }

    /// Returns the indexes of the queues in the order in which they are served.
    fn order(&self) -> Vec<usize> {
        let fewest = self.min_starts();
        let rank = |at: &usize| {
            let queue = &self.queues[*at];
            let is_ahead = queue.starts >= fewest + MAX_LEAD;
            let start_by_ms = queue.waiting.front().map(|waiting| waiting.start_by_ms);
            (is_ahead, start_by_ms)
        };
        let mut order: Vec<usize> = (0..self.queues.len()).collect();
        order.sort_by_key(rank);
        order
    }

    fn take_front(&mut self, at: usize) -> Option<wire::Dispatch> {
        let queue = self.queues.get_mut(at)?;
        let waiting = queue.waiting.pop_front()?;
        queue.starts += 1;
        self.len -= 1;
        if queue.waiting.is_empty() {
            self.queues.remove(at);
        }
        Some(waiting.dispatch)
    }

    /// Removes and returns the dispatches for which `is_removed` holds.
    pub fn remove(&mut self, mut is_removed: impl FnMut(&Waiting) -> bool) -> Vec<wire::Dispatch> {
        let mut removed = Vec::new();
        for queue in &mut self.queues {
            let all = queue.waiting.drain(..);
            let (leaving, kept): (Vec<_>, Vec<_>) =
                all.partition(|candidate| is_removed(candidate));
            queue.waiting = kept.into();
            removed.extend(leaving.into_iter().map(|waiting| waiting.dispatch));
        }
        self.queues.retain(|queue| !queue.waiting.is_empty());
        self.len -= removed.len();
        removed
    }

    /// Removes the dispatch of an attempt; returns whether there was one.
    pub fn remove_attempt(&mut self, attempt: ids::Attempt) -> bool {
        !self
            .remove(|waiting| waiting.dispatch.attempt == attempt)
            .is_empty()
    }
}
