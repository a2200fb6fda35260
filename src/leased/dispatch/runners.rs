//! An entry's view of one runner.

mod run_ends;
pub mod runs;

use std::collections;
use std::hash;
use std::hash::Hash as _;
use std::hash::Hasher as _;

use smol_str::SmolStr;

use crate::ids;
use crate::leased::capacity;
use crate::leased::capacity::wait_queue;
use crate::leased::clock_estimate;
use crate::leased::dispatch::watching;
use crate::leased::messages;
use crate::leased::ports;
use crate::wire;

pub use crate::membership::RunnerKey;

/// Time during which an order may start runs, in milliseconds.
///
/// It allows one retransmission of a lost packet, and is short enough that a lost order doesn't
/// hold up its tasks.
pub const ORDER_VALID_MS: u64 = 300;

/// Silence after which a runner receives no more work, in milliseconds: one watch of 150 ms and
/// its timeout.
pub const SILENT_MS: u64 = 450;

/// Time after the last lease renewal until all runs at a runner have certainly ended, in
/// milliseconds: the entry's lease, 2 % of it for a slow clock, and 100 ms for the stop and the
/// latency.
pub const RUN_EXPIRY_MS: u64 = capacity::OWNER_LEASE_MS + capacity::OWNER_LEASE_MS / 50 + 100;

/// Silence after which a runner that the store doesn't list is removed, in milliseconds.
const REMOVE_AFTER_MS: u64 = 60_000;

/// Number of former incarnations of a runner whose late messages are recognised. A message is late
/// by a second at most, and a process does not start this often in that time.
const MAX_FORMER_INCARNATIONS: usize = 8;

/// Returns the hash of a runner that determines its position in the entry's own order.
///
/// The order differs between entries, so that entries with the same view choose different
/// runners.
fn preference(entry: ids::Incarnation, address: &str) -> u64 {
    let mut hasher = hash::DefaultHasher::new();
    (entry.0, address).hash(&mut hasher);
    hasher.finish()
}

/// Status of a runner in the store's list.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Listing {
    /// Another entry reported the runner, and no list has been read since.
    #[default]
    Unknown,
    /// The list contains the runner.
    Listed,
    /// The list doesn't contain the runner.
    Unlisted,
}

/// Runner known to an entry.
#[derive(Clone, Debug)]
pub struct Runner {
    /// Address, zone and service, as reported by the runner, else as listed.
    pub member: ports::Member,
    /// Status in the store's list.
    pub listing: Listing,
    /// State of the entry's watch.
    pub watch: watching::Watch,
    /// Position in the entry's own order of runners; the lowest comes first.
    pub preference: u64,
    /// Last reported load.
    pub load: messages::Load,
    /// Position in the store up to which the runner knows the directives.
    pub directives_position: u64,
    incarnation: Option<ids::Incarnation>,
    /// Incarnation that was known when the last watch was built; absent at the first contact.
    watched: Option<ids::Incarnation>,
    /// Former incarnations, the last one at the end.
    former: collections::VecDeque<ids::Incarnation>,
    /// Estimate of the runner's clock; absent until a reading has been received.
    clock: Option<clock_estimate::ClockEstimate>,
    /// When the last watch was built.
    watch_built_ms: u64,
    /// Sequence number of the newest message.
    sequence: u64,
    /// Number of orders sent.
    orders: u64,
    /// Number of the last end received.
    acked: u64,
    last_seen_ms: Option<u64>,
    /// Time of the last lease renewal.
    renewed_ms: u64,
    /// Time of the last lease renewal at a former incarnation.
    former_renewed_ms: u64,
    added_ms: u64,
    placed: collections::BTreeMap<messages::RunId, runs::PlacedRun>,
    /// Runs whose stop the runner has not confirmed.
    unconfirmed_stops: Vec<messages::RunId>,
}

impl Runner {
    /// Creates a runner that has not reported yet.
    pub fn new(entry: ids::Incarnation, member: ports::Member, now_ms: u64) -> Self {
        Self {
            preference: preference(entry, &member.address),
            member,
            listing: Listing::default(),
            watch: watching::Watch::default(),
            load: messages::Load::default(),
            directives_position: 0,
            incarnation: None,
            watched: None,
            former: collections::VecDeque::new(),
            clock: None,
            watch_built_ms: 0,
            sequence: 0,
            orders: 0,
            acked: 0,
            last_seen_ms: None,
            renewed_ms: now_ms,
            former_renewed_ms: now_ms,
            added_ms: now_ms,
            placed: collections::BTreeMap::new(),
            unconfirmed_stops: Vec::new(),
        }
    }

    /// Returns whether the runner may receive work.
    pub fn is_usable(&self, now_ms: u64) -> bool {
        self.load.readiness == messages::Readiness::Ready && self.silence_ms(now_ms) <= SILENT_MS
    }

    /// Returns the time since the runner was last seen, in milliseconds.
    pub fn silence_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.last_seen_ms.unwrap_or(self.added_ms))
    }

    /// Returns the address at which the runner serves requests.
    pub const fn address(&self) -> &SmolStr {
        &self.member.address
    }

    /// Returns whether the runner was ever seen.
    pub const fn was_seen(&self) -> bool {
        self.last_seen_ms.is_some()
    }

    /// Returns whether the runner was seen at or after `since_ms`.
    pub fn was_seen_since(&self, since_ms: u64) -> bool {
        self.last_seen_ms
            .is_some_and(|last_seen_ms| last_seen_ms >= since_ms)
    }

    /// Returns whether the runner can be removed: it holds no runs and has been silent for long.
    ///
    /// A listed runner is never removed. For a runner that only another entry reported, silence
    /// counts only while a watch is open.
    pub fn is_removable(&self, now_ms: u64) -> bool {
        let is_silent = self.silence_ms(now_ms) >= REMOVE_AFTER_MS;
        let since_ms = self.watch.opened_ms.unwrap_or(now_ms);
        let may_remove = match self.listing {
            Listing::Listed => false,
            Listing::Unlisted => true,
            Listing::Unknown => now_ms >= since_ms + REMOVE_AFTER_MS,
        };
        may_remove && is_silent && self.placed.is_empty()
    }

    /// Returns the number of this entry's runs that the runner holds or may hold.
    pub fn placed(&self) -> usize {
        self.placed.len()
    }

    /// Returns this entry's runs that the runner holds or may hold.
    pub fn placed_runs(&self) -> impl Iterator<Item = (&messages::RunId, &runs::PlacedRun)> {
        self.placed.iter()
    }

    /// Returns the free capacity, less this entry's orders that the last report didn't include.
    pub fn free(&self) -> wire::Resources {
        let in_flight = self
            .placed
            .values()
            .filter(|placed| placed.first_sequence.is_none() && !placed.waits);
        let in_flight = in_flight.fold(wire::Resources::default(), |sum, placed| {
            sum.plus(&placed.need)
        });
        self.load.size.minus(&self.load.used).minus(&in_flight)
    }

    /// Returns the free space in the runner's wait queue for each class, in thousandths of a core.
    ///
    /// This entry's orders that the last report didn't include count as taken.
    pub fn queue_free_milli(&self) -> [u32; messages::URGENCY_CLASSES] {
        let in_flight = self
            .placed
            .values()
            .filter(|placed| placed.first_sequence.is_none() && placed.waits);
        let in_flight = in_flight.map(|placed| placed.need.cpu_milli);
        let in_flight = in_flight.fold(0, u32::saturating_add);
        let limit_milli = self.load.size.cpu_milli / wait_queue::WAIT_QUEUE_CPU_DIVISOR;
        [0, 1, 2, 3, 4].map(|class| {
            limit_milli
                .saturating_sub(self.load.line.milli_up_to(class))
                .saturating_sub(in_flight)
        })
    }

    /// Returns an estimate of the runner's clock that is never ahead of it.
    fn clock_ms(&self, now_ms: u64) -> Option<u64> {
        Some(self.clock?.at_ms(now_ms))
    }

    /// Returns the time on the runner's clock with which this entry renews its lease, or `None`
    /// while the runner is silent.
    ///
    /// `alive_ms` is the time at which all entries whose jobs are here were alive.
    ///
    /// If only the link from the runner is broken, renewals would still reach the runner. It would
    /// keep runs alive that this entry considers lost and starts elsewhere.
    fn lease_renewal_ms(&mut self, now_ms: u64, alive_ms: u64) -> Option<u64> {
        if self.silence_ms(now_ms) > SILENT_MS {
            return None;
        }
        let clock_ms = self.clock_ms(now_ms)?;
        self.renewed_ms = self.renewed_ms.max(alive_ms);
        Some(clock_ms.saturating_sub(now_ms.saturating_sub(alive_ms)))
    }

    /// Adds runs to a new order; returns `None` if the runner was never seen.
    ///
    /// The order repeats all stops that are not confirmed. A message that renews the lease must not
    /// overtake the only one that ends a run, or the run would go on if the link then broke.
    pub fn build_order(
        &mut self,
        now_ms: u64,
        alive_ms: u64,
        entry: ids::Incarnation,
        starts: Vec<runs::PlannedRun>,
        stops: Vec<messages::RunId>,
    ) -> Option<messages::Order> {
        let incarnation = self.incarnation?;
        let clock_ms = self.clock_ms(now_ms)?;
        self.orders += 1;
        let alive_at_ms = self.lease_renewal_ms(now_ms, alive_ms).unwrap_or(0);
        self.unconfirmed_stops
            .retain(|id| self.placed.contains_key(id));
        self.unconfirmed_stops.extend(stops);
        let valid_until_ms = clock_ms.saturating_add(ORDER_VALID_MS);
        for planned in &starts {
            let placed = runs::PlacedRun {
                job: planned.job,
                task: planned.task,
                need: planned.start.need,
                incarnation,
                waits: planned.waits,
                valid_until_ms,
                is_resent: false,
                first_sequence: None,
                ordered_ms: now_ms,
                expected_ms: planned.expected_ms,
                kind: planned.kind,
                number: planned.number,
            };
            self.placed.insert(planned.start.id.clone(), placed);
        }
        Some(messages::Order {
            version: wire::VERSION,
            entry,
            runner: incarnation,
            number: self.orders,
            alive_at_ms,
            valid_until_ms,
            starts: starts.into_iter().map(|planned| planned.start).collect(),
            stops: self.unconfirmed_stops.clone(),
        })
    }

    /// Builds the next watch; `wanted` selects the runs that should continue.
    pub fn build_watch(
        &mut self,
        now_ms: u64,
        alive_ms: u64,
        entry: ids::Incarnation,
        wanted: impl Fn(&runs::PlacedRun) -> bool,
    ) -> messages::Watch {
        let alive_at_ms = self.lease_renewal_ms(now_ms, alive_ms);
        self.watched = self.incarnation;
        self.watch_built_ms = now_ms;
        let wanted = self.placed.iter().filter(|(_, placed)| wanted(placed));
        messages::Watch {
            version: wire::VERSION,
            entry,
            runner: self.incarnation,
            alive_at_ms,
            acked: self.acked,
            ordered: self.orders,
            wanted: wanted.map(|(id, _)| id.clone()).collect(),
            wants_room: false,
            wanted_milli: 0,
            wait_ms: 0,
            address: None,
            directives_position: 0,
            configuration: 0,
            notice: None,
        }
    }

    /// Returns whether a message is from an incarnation that the present one has replaced.
    ///
    /// The last answer of a killed incarnation may be retransmitted, or wait in the socket of this
    /// process while it is suspended, and be read after the next incarnation has answered. The answer
    /// to a request doesn't replace an incarnation that became known after the request was built;
    /// `asked` is the one that was known then.
    fn is_replaced(&self, sender: ids::Incarnation, asked: Option<ids::Incarnation>) -> bool {
        let is_outdated = asked.is_some() && asked != self.incarnation;
        self.former.contains(&sender) || (is_outdated && self.incarnation != Some(sender))
    }

    /// Records a message from the runner; returns whether it is newer than all earlier ones.
    fn receive(
        &mut self,
        incarnation: ids::Incarnation,
        reading: &clock_estimate::Reading,
        sequence: u64,
    ) -> bool {
        let is_new_incarnation = self.incarnation != Some(incarnation);
        if is_new_incarnation {
            self.supersede_incarnation();
            self.incarnation = Some(incarnation);
            self.clock = None;
            self.sequence = 0;
            self.acked = 0;
        }
        self.last_seen_ms = Some(reading.received_at_ms);
        if sequence <= self.sequence {
            return false;
        }
        self.sequence = sequence;
        self.clock
            .get_or_insert(clock_estimate::ClockEstimate::new(reading))
            .record(reading);
        true
    }

    /// Records that another incarnation than the known one has answered.
    fn supersede_incarnation(&mut self) {
        let Some(known) = self.incarnation.take() else {
            return;
        };
        self.former_renewed_ms = self.renewed_ms;
        if self.former.len() == MAX_FORMER_INCARNATIONS {
            self.former.pop_front();
        }
        self.former.push_back(known);
    }

    /// Records that an order was sent a second time.
    pub fn order_resent(&mut self, order: &messages::Order) {
        for start in &order.starts {
            if let Some(placed) = self.placed.get_mut(&start.id) {
                placed.is_resent = true;
            }
        }
    }

    /// Returns whether a refusal by `incarnation` proves that a run of the order never starts.
    ///
    /// The incarnation that the order was meant for may have accepted the first copy before it was
    /// killed and the next one refused the second copy. Such a run stays placed until the next
    /// incarnation is ready or its leases have expired.
    fn is_refusal_proof(&self, id: &messages::RunId, incarnation: ids::Incarnation) -> bool {
        let placed = self.placed.get(id);
        placed.is_none_or(|placed| !placed.is_resent || placed.incarnation == incarnation)
    }

    /// Processes the answer to an order and returns the runs that certainly never start.
    pub fn order_answered(
        &mut self,
        now_ms: u64,
        order: &messages::Order,
        reply: messages::OrderReply,
    ) -> Vec<runs::EndedRun> {
        let reading = clock_estimate::Reading {
            clock_ms: reply.clock_ms,
            sent_at_ms: 0,
            received_at_ms: now_ms,
        };
        if !self.is_replaced(reply.runner, Some(order.runner))
            && self.receive(reply.runner, &reading, reply.sequence)
        {
            self.load = reply.load;
        }
        if reply.runner == order.runner {
            self.unconfirmed_stops
                .retain(|id| !order.stops.contains(id));
            for start in &order.starts {
                if let Some(placed) = self.placed.get_mut(&start.id) {
                    placed.first_sequence.get_or_insert(reply.sequence);
                }
            }
        }
        let mut ended = Vec::new();
        for (id, _) in reply.refused {
            if self.is_refusal_proof(&id, reply.runner) {
                ended.extend(self.end_not_started(&id, runs::Evidence::Refused));
            } else {
                log::info!(event = "order.unproven", job = id.job.as_str(), run:% = id, runner = self.address().as_str(); "another incarnation of the runner refused the resent order; keeping the run placed");
            }
        }
        ended
    }

    /// Returns the runs of an order that was certainly not sent.
    pub fn order_unsent(&mut self, order: &messages::Order) -> Vec<runs::EndedRun> {
        let starts = order.starts.iter();
        starts
            .filter_map(|start| self.end_not_started(&start.id, runs::Evidence::Unsent))
            .collect()
    }

    /// Processes the answer to a watch and returns the runs that have ended.
    pub fn report_received(
        &mut self,
        now_ms: u64,
        report: messages::Report,
    ) -> Vec<runs::EndedRun> {
        if self.is_replaced(report.runner, self.watched) {
            return Vec::new();
        }
        let reading = clock_estimate::Reading {
            clock_ms: report.clock_ms,
            sent_at_ms: self.watch_built_ms,
            received_at_ms: now_ms,
        };
        let is_newer = self.receive(report.runner, &reading, report.sequence);
        self.directives_position = report.directives_position;
        let mut ended = Vec::new();
        for end in report.ends {
            if end.number > self.acked {
                self.acked = end.number;
                ended.extend(self.end_run(&end.id, end.how, end.ran_ms, runs::Evidence::Reported));
            }
        }
        if is_newer {
            self.load = report.load;
            self.update_waiting(now_ms, &report.runs, &report.waiting);
            ended.extend(self.reconcile(report.clock_ms, report.sequence, &report.runs));
        }
        ended
    }

    /// Updates which of the held runs wait and which run.
    ///
    /// Time in the wait queue says nothing about the speed of the backend server.
    fn update_waiting(
        &mut self,
        now_ms: u64,
        held: &[messages::RunId],
        waiting: &[messages::RunId],
    ) {
        for id in held {
            let Some(placed) = self.placed.get_mut(id) else {
                continue;
            };
            let waits = waiting.contains(id);
            if placed.waits && !waits {
                placed.ordered_ms = now_ms;
            }
            placed.waits = waits;
        }
    }
}
