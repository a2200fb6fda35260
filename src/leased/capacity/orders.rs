//! How a runner handles orders: each run is refused, started or queued.

use crate::ids;
use crate::leased::capacity;
use crate::leased::capacity::leases;
use crate::leased::capacity::wait_queue;
use crate::leased::messages;
use crate::wire;

/// Where a run comes from.
#[derive(Clone, Copy, Debug)]
struct Source {
    entry: ids::Incarnation,
    /// Number of the order.
    number: u64,
    /// Time at which the entry, and whoever it orders this for, was alive.
    alive_at_ms: u64,
}

impl capacity::CapacityManager {
    /// Handles an order; returns the reply and the calls to make.
    pub fn order(
        &mut self,
        now_ms: u64,
        order: messages::Order,
    ) -> (messages::OrderReply, Vec<capacity::Action>) {
        let mut actions = self.tick(now_ms);
        let mut refused = Vec::new();
        let is_late = order.runner != self.me || order.valid_until_ms < now_ms;
        let owner = self.owners.entry(order.entry).or_default();
        let is_repeat = owner.record_order(now_ms, order.number);
        let source = Source {
            entry: order.entry,
            number: order.number,
            alive_at_ms: order.alive_at_ms.min(now_ms),
        };
        let withdrawn = self.withdraw(order.entry, &order.stops);
        if !is_late {
            let owner = self.owners.entry(order.entry).or_default();
            owner.renew(now_ms, order.alive_at_ms);
            self.renew_runs(now_ms, order.entry, order.number, order.alive_at_ms);
        }
        for start in order.starts {
            if self.is_accepted(order.entry, &start.id) {
                continue;
            }
            let id = start.id.clone();
            let refusal = if is_repeat {
                Some(messages::Refusal::Unwanted)
            } else if is_late {
                Some(messages::Refusal::Late)
            } else {
                self.refusal(now_ms, order.entry, order.number, &start)
            };
            match refusal {
                Some(why) => refused.push((id, why)),
                None => actions.extend(self.accept(now_ms, &source, start)),
            }
        }
        for id in withdrawn {
            actions.extend(self.stop(now_ms, &id, "withdrawn"));
        }
        self.sequence += 1;
        let reply = messages::OrderReply {
            version: wire::VERSION,
            runner: self.me,
            clock_ms: now_ms,
            sequence: self.sequence,
            load: self.load(now_ms),
            refused,
        };
        (reply, actions)
    }

    /// Returns whether the entry's run is already held, or has ended and awaits acknowledgement.
    ///
    /// An entry that receives no answer resends its order. If such a run were reported as refused,
    /// the entry would start the task elsewhere.
    fn is_accepted(&self, entry: ids::Incarnation, id: &messages::RunId) -> bool {
        let is_held = self.runs.get(id).is_some_and(|run| run.owner == entry);
        let owner = self.owners.get(&entry);
        is_held || owner.is_some_and(|owner| owner.has_end(id))
    }

    fn refusal(
        &self,
        now_ms: u64,
        entry: ids::Incarnation,
        number: u64,
        start: &messages::Start,
    ) -> Option<messages::Refusal> {
        let owner = self.owners.get(&entry)?;
        if owner.alive_at_ms() + capacity::OWNER_TIMEOUT_MS < now_ms {
            return Some(messages::Refusal::Late);
        }
        if owner.is_withdrawn(number, &start.id) {
            return Some(messages::Refusal::Unwanted);
        }
        if self.readiness(now_ms) != messages::Readiness::Ready {
            return Some(messages::Refusal::NotReady);
        }
        let backend = self.backend.as_ref()?;
        if self.latest.is_zone_out(&backend.zone) {
            return Some(messages::Refusal::ZoneOut);
        }
        let has_label = |label| backend.labels.contains(label);
        if !start.label.as_ref().is_none_or(has_label) {
            return Some(messages::Refusal::Label);
        }
        // A task has one run at a time, even if the caller resends the job to another entry.
        let mut runs = self.runs.iter();
        if let Some((held, run)) = runs.find(|(held, _)| held.is_same_task(&start.id)) {
            log::info!(event = "order.held", run:% = start.id, owner:% = entry, held:% = held, held_owner:% = run.owner, demand:? = run.demand, wanted_ms = now_ms.saturating_sub(run.alive_at_ms); "refusing the run: another run of its task is held");
            return Some(messages::Refusal::Unwanted);
        }
        let free = backend.size.minus(&self.used);
        let has_capacity =
            start.need.fits_in(&free) || self.may_queue(now_ms, start, &backend.size);
        (!has_capacity).then_some(messages::Refusal::Room)
    }

    fn accept(
        &mut self,
        now_ms: u64,
        source: &Source,
        start: messages::Start,
    ) -> Option<capacity::Action> {
        let size = self.backend.as_ref()?.size;
        let (id, need) = (start.id.clone(), start.need);
        self.wait_queue.add(start.wait.class, need.cpu_milli);
        let run = capacity::Run {
            owner: source.entry,
            order_number: source.number,
            alive_at_ms: source.alive_at_ms,
            need,
            expected_ms: start.expected_ms,
            ordered_at_ms: now_ms,
            queued: Some(wait_queue::QueuedStart::new(now_ms, start)),
            unanswered_start: None,
            has_lost_start: false,
            was_listed: false,
            must_stop: false,
            demand: leases::Demand::Wanted,
            settled_at_ms: None,
            stop: None,
        };
        self.runs.insert(id.clone(), run);
        if need.fits_in(&size.minus(&self.used)) {
            return self.start_run(now_ms, &id);
        }
        log::info!(event = "run.wait", run:% = id, owner:% = source.entry, cpu_milli = need.cpu_milli, used_milli = self.used.cpu_milli, line_milli = self.wait_queue.total_milli(); "queued until capacity is free");
        self.trim_queue(now_ms, &size);
        None
    }
}
