//! Whom to tell of a slot that came free.
//!
//! Load pattern answered: a burst at one entry while other entries' tasks hold the
//! slots. An entry hears of a runner's load with the answers to its own dispatches and
//! with heartbeats; a slot that another entry's task leaves stays idle until the next
//! heartbeat, while tasks wait at the entry that does not know of it. So entries say
//! with each dispatch and each answer to a heartbeat how much waits there, and a runner
//! with a free slot, nothing waiting at itself, sends one of them its heartbeat early.
//!
//! The entry whose task ended hears of the slot by the answer; if it has work waiting
//! nobody else is told, since two would send for one slot. Each telling takes one off
//! what the entry is thought to have waiting, so that a word that is out of date costs
//! at most so many messages.

use crate::ids;

/// One entry that has work waiting.
#[derive(Clone, Copy, Debug)]
struct Waiter {
    entry: ids::Incarnation,
    waiting: u32,
}

/// The entries that have work waiting, the one told longest ago first.
#[derive(Debug, Default)]
pub struct Waiters {
    waiters: Vec<Waiter>,
}

impl Waiters {
    /// An entry said how many tasks wait there.
    pub fn hear(&mut self, entry: ids::Incarnation, waiting: u32) {
        let known = self.waiters.iter_mut().find(|one| one.entry == entry);
        match known {
            Some(known) => known.waiting = waiting,
            None => self.waiters.push(Waiter { entry, waiting }),
        }
        self.waiters.retain(|one| one.waiting > 0);
    }

    /// The entry to tell of a slot that a task of `owner` left, if any.
    pub fn next(&mut self, owner: ids::Incarnation) -> Option<ids::Incarnation> {
        if self.waiters.iter().any(|one| one.entry == owner) || self.waiters.is_empty() {
            return None;
        }
        let mut told = self.waiters.remove(0);
        told.waiting -= 1;
        if told.waiting > 0 {
            self.waiters.push(told);
        }
        Some(told.entry)
    }
}
