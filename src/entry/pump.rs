//! Handing out what waits.

use rand::RngCore as _;

use crate::codes;
use crate::entry::core;
use crate::health;
use crate::jobs;
use crate::membership;
use crate::placement;
use crate::queue;
use crate::ramp;
use crate::wire;

/// How many tasks that can't be placed now one round looks past.
const MAX_PASSED_OVER: usize = 16;

/// A task has time to spare for a first probe if it would start in time even so many
/// times its expected run time later: a server four times slower then harms no job.
const PROBE_FACTOR: u64 = 3;

impl core::Core {
    /// Hands out waiting tasks while there is somewhere to send them.
    pub(crate) fn pump(&mut self, now_ms: u64) -> Vec<core::Action> {
        let mut actions = Vec::new();
        if self.queue.is_empty() {
            return actions;
        }
        let mut view = View {
            pool: placement::Pool::new(self.candidates(now_ms)),
            spread: placement::RackSpread::default(),
        };
        let mut passed_over = Vec::new();
        while passed_over.len() < MAX_PASSED_OVER {
            let Some(item) = self.queue.pop() else {
                break;
            };
            match self.place(now_ms, &item, &mut view) {
                Placed::Sent(action) => {
                    self.queue.started(&item);
                    actions.push(action);
                }
                Placed::Ended(more) => {
                    self.queue.refund(&item);
                    actions.extend(more);
                }
                Placed::Waits => passed_over.push(item),
            }
            if !passed_over.is_empty() && view.pool.is_full(&self.placement_policy()) {
                break;
            }
        }
        for item in passed_over.into_iter().rev() {
            self.queue.put_back(item);
        }
        actions
    }

    fn place(&mut self, now_ms: u64, item: &queue::Item, view: &mut View) -> Placed {
        let Some(need) = self.need(item.task) else {
            return Placed::Ended(Vec::new());
        };
        self.count_spread(item.task.submission, &mut view.spread);
        let draw = self.rng.next_u64();
        let policy = self.placement_policy();
        let spare_ms = item.rank_ms.saturating_sub(now_ms);
        view.pool.has_slack = spare_ms >= item.expected_ms * PROBE_FACTOR;
        let choice = view.pool.choose(&need, &view.spread, &policy, draw);
        match choice {
            placement::Choice::Send(at) => self.send_to(now_ms, item, need, view, at),
            placement::Choice::NeverFits if !self.fits_any(&need) => {
                let decided = jobs::Decided::not_run(codes::Code::NeverFits);
                Placed::Ended(self.decide(now_ms, item.task, decided))
            }
            _ => Placed::Waits,
        }
    }

    fn send_to(
        &mut self,
        now_ms: u64,
        item: &queue::Item,
        need: wire::Resources,
        view: &mut View,
        at: usize,
    ) -> Placed {
        let Some(candidate) = view.pool.candidate_at(at).copied() else {
            return Placed::Waits;
        };
        let Some(action) = self.send(now_ms, item, candidate.key, need) else {
            return Placed::Waits;
        };
        view.pool.sent(at, &need);
        view.spread.add(candidate.rack);
        Placed::Sent(action)
    }

    /// Whether a worker that is out at the moment is large enough: the task then
    /// waits, since "no worker is large enough" would not be true.
    fn fits_any(&self, need: &wire::Resources) -> bool {
        let mut known = self.members.runners();
        known.any(|(_, runner)| need.fits_in(&runner.load.size))
    }

    /// Counts where the tasks of a submission are, unless they are counted already.
    fn count_spread(&self, submission: jobs::Key, spread: &mut placement::RackSpread) {
        if spread.is_of(submission) {
            return;
        }
        spread.restart(submission);
        let Some(open) = self.jobs.open_at(submission) else {
            return;
        };
        for (_, progress) in open.iter_progress() {
            let jobs::Progress::Dispatched(attempt) = progress else {
                continue;
            };
            let flight = self.in_flight.get(attempt.number);
            let runner = flight.and_then(|flight| self.members.runner(flight.runner));
            if let Some(runner) = runner {
                spread.add(runner.rack);
            }
        }
    }

    fn need(&self, task: jobs::TaskKey) -> Option<wire::Resources> {
        let open = self.jobs.open_at(task.submission)?;
        let declared = open.task(task.index)?;
        Some(self.need_of(&open.header.team, declared))
    }

    /// Runners that may be sent something now.
    pub(crate) fn candidates(&self, now_ms: u64) -> Vec<placement::Candidate> {
        let usable = self.usable(now_ms);
        usable
            .filter_map(|(key, runner)| self.candidate(now_ms, key, runner))
            .collect()
    }

    /// Runners in service that were heard of lately.
    ///
    /// A runner that misses two heartbeats gets nothing new long before it counts as
    /// dead: what is sent to a frozen one is lost, and nobody may start it again.
    pub(crate) fn usable(
        &self,
        now_ms: u64,
    ) -> impl Iterator<Item = (membership::RunnerKey, &membership::Runner)> {
        let silent_after = self.silent_after_ms();
        // Looked up once and not for each runner: of thousands of runners most are in
        // the same few zones, and mostly none is out.
        let zones_out = self.settings.zones_out();
        self.members.runners().filter(move |(_, runner)| {
            !runner.is_leaving
                && runner.backoff_until_ms <= now_ms
                && runner.last_seen_ms.saturating_add(silent_after) > now_ms
                && !zones_out.contains(&runner.peer.zone)
        })
    }

    /// Silence of two heartbeats, long before a process counts as dead.
    pub(crate) fn silent_after_ms(&self) -> u64 {
        let timeouts = &self.settings.timeouts;
        let two_missed = u64::from(timeouts.heartbeat_ms) * 5 / 2;
        two_missed.min(timeouts.dead_after_ms.into())
    }

    fn candidate(
        &self,
        now_ms: u64,
        key: membership::RunnerKey,
        runner: &membership::Runner,
    ) -> Option<placement::Candidate> {
        let allowance = self.health.allowance(now_ms, key);
        // An ejected runner is none at all. One that has no room at the moment stays in
        // the list: left out, the last one in service would look like none being there,
        // and submissions would be refused for want of capacity.
        if allowance.max_tasks == Some(0) {
            return None;
        }
        // Where a probe is due the warnings of others, who wait for theirs, do not count.
        let is_probed = allowance.max_tasks.is_some();
        let is_warned = !is_probed && self.warnings.is_reported(runner.peer.incarnation);
        let free_slots = runner.free_slots();
        let ramp = self.ramp_room(now_ms, runner, free_slots);
        let probe = allowance
            .max_tasks
            .map(|most| most.saturating_sub(runner.in_flight));
        let send_limit = ramp.into_iter().chain(probe).min();
        let waiting = u32::try_from(-free_slots.min(0)).unwrap_or(u32::MAX);
        Some(placement::Candidate {
            key,
            is_near: runner.peer.zone == self.me.zone,
            is_suspect: allowance.is_suspect,
            trust: if is_warned {
                health::Trust::SuspectedSlow
            } else {
                allowance.trust
            },
            rack: runner.rack,
            free_slots,
            parked: waiting.min(runner.in_flight),
            send_limit,
            free: runner.free_resources(),
            size: runner.load.size,
        })
    }

    /// How many more tasks a runner in a returning zone may be sent.
    fn ramp_room(&self, now_ms: u64, runner: &membership::Runner, free_slots: i64) -> Option<u32> {
        let slots = runner.load.slots;
        let zone = &runner.peer.zone;
        let ramp_ms = self.settings.policy.ramp_ms;
        let share = self
            .ramps
            .share(now_ms, zone, slots, runner.revision, ramp_ms);
        let ramp::Share::Slots(share) = share else {
            return None;
        };
        let taken = i64::from(slots) - free_slots;
        Some(u32::try_from(i64::from(share) - taken).unwrap_or(0))
    }

    fn send(
        &mut self,
        now_ms: u64,
        item: &queue::Item,
        key: membership::RunnerKey,
        need: wire::Resources,
    ) -> Option<core::Action> {
        let attempt = self.attempt();
        let open = self.jobs.open_mut(item.task.submission)?;
        let task = open.task(item.task.index)?.clone();
        let runner = self.members.runner_mut(key)?;
        let had_slot = runner.free_slots() > 0;
        open.dispatched(item.task.index, attempt);
        runner.add_in_flight(&need);
        let timeouts = &self.settings.timeouts;
        let dispatch = wire::Dispatch {
            version: wire::VERSION,
            attempt,
            incarnation: runner.peer.incarnation,
            epoch: runner.load.epoch,
            entry: self.me.name.clone(),
            team: open.header.team.clone(),
            kind: task.kind,
            payload: task.payload,
            resources: need,
            wait_ms: u64::from(timeouts.park_ms)
                .min(open.header.deadline_ms.saturating_sub(now_ms)),
            slack_ms: item.rank_ms.saturating_sub(now_ms),
            limit_ms: timeouts.run_limit_ms.into(),
            submission: smol_str::format_smolstr!("{}", open.header.id),
            index: item.task.index,
        };
        let address = runner.peer.address.clone();
        let expected = item.expected_ms + u64::from(timeouts.query_after_ms);
        let kind = self.health.intern_kind(&dispatch.team, &dispatch.kind);
        let in_flight = core::InFlight {
            task: item.task,
            runner: key,
            epoch: runner.load.epoch,
            team: item.team,
            need,
            kind,
            expected_ms: item.expected_ms,
            rank_ms: item.rank_ms,
            sent_ms: now_ms,
            had_slot,
            ask_ms: now_ms.saturating_add(expected),
            is_lost: false,
            is_stopping: false,
        };
        self.in_flight.insert(attempt.number, in_flight);
        self.counts.dispatches += 1;
        Some(core::Action::Dispatch {
            address,
            dispatch: Box::new(dispatch),
        })
    }
}

/// What one round of handing out sees.
struct View {
    pool: placement::Pool,
    spread: placement::RackSpread,
}

enum Placed {
    Sent(core::Action),
    Ended(Vec<core::Action>),
    Waits,
}
