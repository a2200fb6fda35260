//! Attempts that were handed to runners and are not settled.

use std::collections;

use crate::entry::core;
use crate::membership;

/// The attempts by number, and by when to ask about them, so that a tick costs only
/// what is to be asked.
#[derive(Debug, Default)]
pub struct Flights {
    by_number: collections::BTreeMap<u64, core::InFlight>,
    by_ask: collections::BTreeSet<(u64, u64)>,
}

impl Flights {
    /// How many there are.
    pub fn len(&self) -> usize {
        self.by_number.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.by_number.is_empty()
    }

    /// All of them, in the order of sending.
    pub fn iter(&self) -> impl Iterator<Item = (u64, &core::InFlight)> {
        self.by_number
            .iter()
            .map(|(number, flight)| (*number, flight))
    }

    /// Looks at one.
    pub fn get(&self, number: u64) -> Option<&core::InFlight> {
        self.by_number.get(&number)
    }

    /// Adds one.
    pub fn insert(&mut self, number: u64, flight: core::InFlight) {
        self.by_ask.insert((flight.ask_ms, number));
        self.by_number.insert(number, flight);
    }

    /// Takes one out.
    pub fn remove(&mut self, number: u64) -> Option<core::InFlight> {
        let flight = self.by_number.remove(&number)?;
        self.by_ask.remove(&(flight.ask_ms, number));
        Some(flight)
    }

    /// Changes one.
    pub fn change(&mut self, number: u64, change: impl FnOnce(&mut core::InFlight)) {
        let Some(flight) = self.by_number.get_mut(&number) else {
            return;
        };
        let before_ms = flight.ask_ms;
        change(flight);
        if flight.ask_ms != before_ms {
            self.by_ask.remove(&(before_ms, number));
            self.by_ask.insert((flight.ask_ms, number));
        }
    }

    /// Numbers of those to be asked about by now.
    pub fn to_ask(&self, now_ms: u64) -> Vec<u64> {
        let due = self.by_ask.iter();
        let due = due.take_while(|(ask_ms, _)| *ask_ms <= now_ms);
        due.map(|(_, number)| *number).collect()
    }

    /// Numbers of those at one life of a runner.
    pub fn at(&self, runner: membership::RunnerKey) -> Vec<u64> {
        let all = self.by_number.iter();
        let there = all.filter(|(_, flight)| flight.runner == runner);
        there.map(|(number, _)| *number).collect()
    }
}
