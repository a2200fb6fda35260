//! Attempts that were sent to runners and have no known outcome yet.

use std::collections;

use crate::entry::core;
use crate::membership;

/// Attempts in flight, indexed by number and by query time.
///
/// The second index keeps the cost of a tick proportional to the due queries.
#[derive(Debug, Default)]
pub struct Attempts {
    by_number: collections::BTreeMap<u64, core::InFlight>,
    by_query_time: collections::BTreeSet<(u64, u64)>,
}

impl Attempts {
    /// Returns the number of attempts in flight.
    pub fn len(&self) -> usize {
        self.by_number.len()
    }

    /// Returns whether no attempt is in flight.
    pub fn is_empty(&self) -> bool {
        self.by_number.is_empty()
    }

    /// Iterates over all attempts in the order in which they were sent.
    pub fn iter(&self) -> impl Iterator<Item = (u64, &core::InFlight)> {
        self.by_number
            .iter()
            .map(|(number, pending)| (*number, pending))
    }

    /// Returns the attempt with this number.
    pub fn get(&self, number: u64) -> Option<&core::InFlight> {
        self.by_number.get(&number)
    }

    /// Inserts an attempt.
    pub fn insert(&mut self, number: u64, pending: core::InFlight) {
        self.by_query_time.insert((pending.query_at_ms, number));
        self.by_number.insert(number, pending);
    }

    /// Removes an attempt and returns it.
    pub fn remove(&mut self, number: u64) -> Option<core::InFlight> {
        let pending = self.by_number.remove(&number)?;
        self.by_query_time.remove(&(pending.query_at_ms, number));
        Some(pending)
    }

    /// Applies `change` to an attempt and updates the index by query time.
    pub fn change(&mut self, number: u64, change: impl FnOnce(&mut core::InFlight)) {
        let Some(pending) = self.by_number.get_mut(&number) else {
            return;
        };
        let old_query_ms = pending.query_at_ms;
        change(pending);
        if pending.query_at_ms != old_query_ms {
            self.by_query_time.remove(&(old_query_ms, number));
            self.by_query_time.insert((pending.query_at_ms, number));
        }
    }

    /// Returns the numbers of the attempts whose query time has come.
    pub fn due_queries(&self, now_ms: u64) -> Vec<u64> {
        let due = self.by_query_time.iter();
        let due = due.take_while(|(query_at_ms, _)| *query_at_ms <= now_ms);
        due.map(|(_, number)| *number).collect()
    }

    /// Returns the numbers of the attempts at one incarnation of a runner.
    pub fn at(&self, runner: membership::RunnerKey) -> Vec<u64> {
        let all = self.by_number.iter();
        let matching = all.filter(|(_, pending)| pending.runner == runner);
        matching.map(|(number, _)| *number).collect()
    }
}
