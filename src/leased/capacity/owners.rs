//! What a runner knows of each entry: its lease, what it still wants, what it is owed.

use std::collections;

use crate::leased::dispatch::runners;
use crate::leased::messages;

/// How long an order's number is remembered, in milliseconds: twice as long as the order
/// itself is good for.
const REMEMBER_ORDERS_MS: u64 = 2 * runners::ORDER_VALID_MS;

/// One entry that has runs here, or had.
#[derive(Clone, Debug, Default)]
pub struct Owner {
    alive_at_ms: u64,
    ordered: u64,
    orders: collections::VecDeque<(u64, u64)>,
    wanted: collections::HashSet<messages::RunId>,
    ends: collections::VecDeque<messages::End>,
    last_end: u64,
    /// Whether the entry waits for room.
    pub wants_room: bool,
    /// Position up to which the entry was told what operators ask for when it last asked.
    pub directives_position: u64,
    /// Version of the configuration that it had whole then.
    pub configuration: u64,
    /// Whether there is something to tell at once.
    pub has_update: bool,
    /// When a report last went out.
    pub told_ms: u64,
}

impl Owner {
    /// The entry has asked.
    ///
    /// The moment at which it lived is the one it worked out, and not the one at which
    /// the message came in: a watch that lay in a cut link or in the buffer of a frozen
    /// process says nothing of the present. A moment ahead of this clock (which stood
    /// still in between) is worth no more than now.
    pub fn hear(&mut self, now_ms: u64, watch: &messages::Watch) {
        let alive_at_ms = watch.alive_at_ms.unwrap_or(0).min(now_ms);
        self.alive_at_ms = self.alive_at_ms.max(alive_at_ms);
        self.wants_room = watch.wants_room;
        self.directives_position = watch.directives_position;
        self.configuration = watch.configuration;
        self.ends.retain(|end| end.number > watch.acked);
        // An entry that comes back after it was forgotten passes over numbers that it has heard.
        self.last_end = self.last_end.max(watch.acked);
        if watch.ordered >= self.ordered {
            self.ordered = watch.ordered;
            self.wanted = watch.wanted.iter().cloned().collect();
        }
    }

    /// An order so numbered came in; whether it had come before.
    ///
    /// Only the first copy counts. The second may be refused for room and its runs placed
    /// elsewhere while the first still lies in a slow connection; taken then, it would
    /// start tasks that run elsewhere by now.
    pub fn note_order(&mut self, now_ms: u64, number: u64) -> bool {
        let is_old = |&(_, at_ms): &(u64, u64)| now_ms > at_ms + REMEMBER_ORDERS_MS;
        while self.orders.front().is_some_and(is_old) {
            self.orders.pop_front();
        }
        let is_repeat = self.orders.iter().any(|(known, _)| *known == number);
        if !is_repeat {
            self.orders.push_back((number, now_ms));
        }
        is_repeat
    }

    /// An order is a sign of life as well.
    pub fn hear_order(&mut self, now_ms: u64, alive_at_ms: u64) {
        self.alive_at_ms = self.alive_at_ms.max(alive_at_ms.min(now_ms));
    }

    /// The last moment at which the entry is known to have lived.
    pub const fn alive_at_ms(&self) -> u64 {
        self.alive_at_ms
    }

    /// Whether the entry has taken a run back, which came with the order so numbered.
    pub fn is_unwanted(&self, order: u64, id: &messages::RunId) -> bool {
        order <= self.ordered && !self.wanted.contains(id)
    }

    /// Notes the end of a run, to be told.
    pub fn push_end(&mut self, id: messages::RunId, how: messages::RunOutcome, ran_ms: u64) {
        self.last_end += 1;
        self.ends.push_back(messages::End {
            number: self.last_end,
            id,
            how,
            ran_ms,
        });
        self.has_update = true;
    }

    /// Whether a run's end has not been acknowledged yet.
    pub fn has_end(&self, id: &messages::RunId) -> bool {
        self.ends.iter().any(|end| end.id == *id)
    }

    /// Ends that the entry has not acknowledged.
    pub fn ends(&self) -> Vec<messages::End> {
        self.ends.iter().cloned().collect()
    }
}
