//! Scheduling of queued tasks on runners.

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

/// Maximum number of tasks per round that are skipped because they cannot be placed now.
const MAX_SKIPPED: usize = 16;

/// Slack that a task needs to serve as a first probe, in multiples of its expected run time.
///
/// With this slack a backend server that is four times slower delays no job.
const PROBE_FACTOR: u64 = 3;

impl core::Core {
    /// Dispatches queued tasks while runners can take them.
    pub(crate) fn dispatch_queued(&mut self, now_ms: u64) -> Vec<core::Action> {
        let mut actions = Vec::new();
        if self.queue.is_empty() {
            return actions;
        }
        let mut round = Round {
            pool: placement::Pool::new(self.candidates(now_ms)),
            spread: placement::RackSpread::default(),
        };
        let mut skipped = Vec::new();
        while skipped.len() < MAX_SKIPPED {
            let Some(item) = self.queue.pop() else {
                break;
            };
            match self.place(now_ms, &item, &mut round) {
                Placed::Sent(action) => {
                    self.queue.started(&item);
                    actions.push(action);
                }
                Placed::Ended(more) => {
                    self.queue.refund(&item);
                    actions.extend(more);
                }
                Placed::Skipped => skipped.push(item),
            }
            if !skipped.is_empty() && round.pool.is_full(&self.placement_policy()) {
                break;
            }
        }
        for item in skipped.into_iter().rev() {
            self.queue.put_back(item);
        }
        actions
    }

    fn place(&mut self, now_ms: u64, item: &queue::Item, round: &mut Round) -> Placed {
        let Some(need) = self.need(item.task) else {
            return Placed::Ended(Vec::new());
        };
        self.count_spread(item.task.submission, &mut round.spread);
        let draw = self.rng.next_u64();
        let policy = self.placement_policy();
        let spare_ms = item.rank_ms.saturating_sub(now_ms);
        round.pool.has_slack = spare_ms >= item.expected_ms * PROBE_FACTOR;
        let choice = round.pool.choose(&need, &round.spread, &policy, draw);
        match choice {
            placement::Choice::Send(at) => self.send_to(now_ms, item, need, round, at),
            placement::Choice::NeverFits if !self.fits_any_known(&need) => {
                let decided = jobs::Decided::not_run(codes::Code::NeverFits);
                Placed::Ended(self.decide(now_ms, item.task, decided))
            }
            _ => Placed::Skipped,
        }
    }

    fn send_to(
        &mut self,
        now_ms: u64,
        item: &queue::Item,
        need: wire::Resources,
        round: &mut Round,
        at: usize,
    ) -> Placed {
        let Some(candidate) = round.pool.candidate_at(at).copied() else {
            return Placed::Skipped;
        };
        let Some(action) = self.send(now_ms, item, candidate.key, need) else {
            return Placed::Skipped;
        };
        round.pool.sent(at, &need);
        round.spread.add(candidate.rack);
        Placed::Sent(action)
    }

    /// Returns whether any known worker is large enough, in service or not.
    ///
    /// The task then waits: "no worker is large enough" would be wrong while such a worker
    /// is only out of service.
    fn fits_any_known(&self, need: &wire::Resources) -> bool {
        let mut known = self.members.runners();
        known.any(|(_, runner)| need.fits_in(&runner.load.size))
    }

    /// Counts the dispatched tasks of a submission by rack, unless already counted.
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
            let pending = self.in_flight.get(attempt.number);
            let runner = pending.and_then(|pending| self.members.runner(pending.runner));
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

    /// Returns the runners that can be sent tasks now.
    pub(crate) fn candidates(&self, now_ms: u64) -> Vec<placement::Candidate> {
        let usable = self.usable(now_ms);
        usable
            .filter_map(|(key, runner)| self.candidate(now_ms, key, runner))
            .collect()
    }

    /// Returns the runners in service that were last seen recently.
    ///
    /// A runner that misses two heartbeats gets no new tasks, long before it counts as
    /// dead: a task sent to a suspended runner is lost and must not be started again.
    pub(crate) fn usable(
        &self,
        now_ms: u64,
    ) -> impl Iterator<Item = (membership::RunnerKey, &membership::Runner)> {
        let silent_after = self.silent_after_ms();
        // Looked up once and not per runner: thousands of runners share a few zones, and
        // usually no zone is out.
        let zones_out = self.settings.zones_out();
        self.members.runners().filter(move |(_, runner)| {
            !runner.is_leaving
                && runner.backoff_until_ms <= now_ms
                && runner.last_seen_ms.saturating_add(silent_after) > now_ms
                && !zones_out.contains(&runner.peer.zone)
        })
    }

    /// Returns the time without a heartbeat after which a process counts as silent.
    ///
    /// It spans two missed heartbeats and ends long before the process counts as dead.
    pub(crate) fn silent_after_ms(&self) -> u64 {
        let timeouts = &self.settings.timeouts;
        let two_missed_ms = u64::from(timeouts.heartbeat_ms) * 5 / 2;
        two_missed_ms.min(timeouts.dead_after_ms.into())
    }

    fn candidate(
        &self,
        now_ms: u64,
        key: membership::RunnerKey,
        runner: &membership::Runner,
    ) -> Option<placement::Candidate> {
        let allowance = self.health.allowance(now_ms, key);
        // An ejected runner is no candidate. A runner without free capacity stays in the
        // list: if it were the last one in service, an empty list would mean that no
        // runner exists, and submissions would be refused for lack of capacity.
        if allowance.max_tasks == Some(0) {
            return None;
        }
        // Warnings of other entries are ignored while this entry probes the runner, since
        // those entries wait for the outcome of their own probes.
        let is_probed = allowance.max_tasks.is_some();
        let is_warned = !is_probed && self.warnings.is_reported(runner.peer.incarnation);
        let free_slots = runner.free_slots();
        let ramp = self.ramp_capacity(now_ms, runner, free_slots);
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

    /// Returns how many more tasks a runner in a returning zone can be sent, or `None` if
    /// the ramp does not limit it.
    fn ramp_capacity(
        &self,
        now_ms: u64,
        runner: &membership::Runner,
        free_slots: i64,
    ) -> Option<u32> {
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
        let attempt = self.new_attempt();
        let open = self.jobs.open_mut(item.task.submission)?;
        let task = open.task(item.task.index)?.clone();
        let runner = self.members.runner_mut(key)?;
        let had_free_slot = runner.free_slots() > 0;
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
        let query_delay_ms = item.expected_ms + u64::from(timeouts.query_after_ms);
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
            had_free_slot,
            query_at_ms: now_ms.saturating_add(query_delay_ms),
            is_reply_lost: false,
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

/// State of one scheduling round.
struct Round {
    pool: placement::Pool,
    spread: placement::RackSpread,
}

enum Placed {
    Sent(core::Action),
    Ended(Vec<core::Action>),
    Skipped,
}
