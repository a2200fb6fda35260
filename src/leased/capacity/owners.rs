//! State that a runner keeps for each entry: lease, wanted runs and unacknowledged ends.

use std::collections;

use crate::leased::capacity;
use crate::leased::dispatch::runners;
use crate::leased::messages;

/// How long the number of an order is remembered, in milliseconds: twice as long as the order is
/// valid.
const ORDER_RETENTION_MS: u64 = 2 * runners::ORDER_VALID_MS;

/// Time for a report and the next watch of its entry, in milliseconds.
const RENEWAL_MARGIN_MS: u64 = 50;

/// An entry that owns runs at this runner, or did recently.
#[derive(Clone, Debug, Default)]
pub struct Owner {
    alive_at_ms: u64,
    /// Number of the last order that the entry had sent when it sent its last watch.
    last_order: u64,
    /// Numbers of the orders received lately, each with its time of arrival.
    recent_orders: collections::VecDeque<(u64, u64)>,
    wanted: collections::HashSet<messages::RunId>,
    ends: collections::VecDeque<messages::End>,
    last_end: u64,
    /// Whether the entry waits for free capacity.
    wants_capacity: bool,
    /// Least free capacity that is of use to it, in thousandths of a core.
    wanted_milli: u32,
    /// Least free capacity since the last report, in thousandths of a core.
    least_free_milli: u32,
    /// Position of the latest directives known to the entry when it sent its last watch.
    pub directives_position: u64,
    /// Version of the complete configuration that the entry had then.
    pub configuration: u64,
    /// Whether there is an update to report immediately.
    pub has_update: bool,
    /// When the last report was sent.
    pub reported_at_ms: u64,
}

impl Owner {
    /// Applies a watch from the entry.
    ///
    /// The lease is renewed from the time that the entry computed, not from the arrival of the
    /// message: a watch that was delayed by a partitioned link or in the buffer of a suspended
    /// process does not show that the entry is alive now. A time ahead of this runner's clock,
    /// which is possible after this process was suspended, counts as now.
    pub fn apply_watch(&mut self, now_ms: u64, watch: &messages::Watch) {
        let alive_at_ms = watch.alive_at_ms.unwrap_or(0).min(now_ms);
        self.alive_at_ms = self.alive_at_ms.max(alive_at_ms);
        self.wants_capacity = watch.wants_room;
        self.wanted_milli = watch.wanted_milli;
        self.directives_position = watch.directives_position;
        self.configuration = watch.configuration;
        self.ends.retain(|end| end.number > watch.acked);
        // The last report was lost, for example because the entry had given up its watch.
        self.has_update |= !self.ends.is_empty();
        // An entry that returns after it was removed ignores numbers that it has acknowledged.
        self.last_end = self.last_end.max(watch.acked);
        if watch.ordered >= self.last_order {
            self.last_order = watch.ordered;
            self.wanted = watch.wanted.iter().cloned().collect();
        }
    }

    /// Records the arrival of an order; returns whether it is a repeat.
    ///
    /// Only the copy that arrives first counts. The resent copy may be refused for lack of
    /// capacity, and its runs placed elsewhere, while the original is delayed on a slow
    /// connection. Accepted later, the original would start tasks that run elsewhere.
    pub fn record_order(&mut self, now_ms: u64, number: u64) -> bool {
        let is_old = |&(_, at_ms): &(u64, u64)| now_ms > at_ms + ORDER_RETENTION_MS;
        while self.recent_orders.front().is_some_and(is_old) {
            self.recent_orders.pop_front();
        }
        let is_repeat = self.recent_orders.iter().any(|(known, _)| *known == number);
        if !is_repeat {
            self.recent_orders.push_back((number, now_ms));
        }
        is_repeat
    }

    /// Renews the lease by the time in an order at which the entry was alive.
    pub fn renew(&mut self, now_ms: u64, alive_at_ms: u64) {
        self.alive_at_ms = self.alive_at_ms.max(alive_at_ms.min(now_ms));
    }

    /// Returns the latest time at which the entry is known to have been alive.
    pub const fn alive_at_ms(&self) -> u64 {
        self.alive_at_ms
    }

    /// Returns whether the entry would count as silent if its watch were answered after the wait.
    ///
    /// A watch that arrived while this process was suspended shows that the entry was alive long
    /// ago, or nothing if the entry took this runner for silent. The next one renews the lease.
    pub const fn is_renewal_urgent(&self, now_ms: u64, wait_ms: u64) -> bool {
        now_ms
            .saturating_add(wait_ms)
            .saturating_add(RENEWAL_MARGIN_MS)
            > self.alive_at_ms + capacity::OWNER_TIMEOUT_MS
    }

    /// Returns whether the entry has withdrawn a run of the order with this number.
    pub fn is_withdrawn(&self, order: u64, id: &messages::RunId) -> bool {
        order <= self.last_order && !self.wanted.contains(id)
    }

    /// Records that a report with this free capacity is sent.
    pub const fn reported(&mut self, now_ms: u64, free_milli: u32) {
        self.has_update = false;
        self.reported_at_ms = now_ms;
        self.least_free_milli = free_milli;
    }

    /// Records that a run has ended or has left the wait queue.
    pub const fn run_ended(&mut self) {
        self.has_update |= self.wants_capacity && self.wanted_milli == 0;
    }

    /// Records that capacity was taken.
    pub fn capacity_taken(&mut self, free_milli: u32) {
        self.least_free_milli = self.least_free_milli.min(free_milli);
    }

    /// Returns whether capacity became free that the entry waits for.
    ///
    /// Under overload a run ends every few milliseconds, and what it frees is mostly taken by the
    /// next one in the wait queue. Reports of each such end to every entry that waits would take
    /// more of the entries' processor time than their callers.
    pub const fn has_wanted_capacity(&self, free_milli: u32) -> bool {
        self.wants_capacity
            && self.wanted_milli > 0
            && free_milli >= self.wanted_milli
            && free_milli > self.least_free_milli
    }

    /// Adds the end of a run to the next report.
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

    /// Returns whether the end of a run awaits acknowledgement.
    pub fn has_end(&self, id: &messages::RunId) -> bool {
        self.ends.iter().any(|end| end.id == *id)
    }

    /// Returns the ends that the entry has not acknowledged.
    pub fn ends(&self) -> Vec<messages::End> {
        self.ends.iter().cloned().collect()
    }
}
