//! What an entry under load asks of the queue, admission and learning.

use rand::RngCore as _;
use smol_str::SmolStr;

use crate::admission;
use crate::api;
use crate::codes;
use crate::entry::core;
use crate::ids;
use crate::jobs;
use crate::learning;
use crate::placement;
use crate::queue;
use crate::queue::order;
use crate::settings;
use crate::wire;

/// Run time expected of a task that declares none, in milliseconds: the middle of
/// the brief's "50 ms to a second", on a log scale.
pub const DEFAULT_RUN_MS: u64 = 220;

/// Greatest `policy.park_per_runner`, its default, that gives way to order.
const SPARE_PARK: u32 = 1;

/// Why a submission is not taken in, and when to come back.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// The reason.
    pub code: codes::Code,
    /// Milliseconds, where time mends it.
    pub retry_after_ms: Option<u64>,
}

impl core::Core {
    /// Why a submission is not taken in, if so.
    pub(crate) fn refusal(
        &mut self,
        now_ms: u64,
        team: &SmolStr,
        id: &ids::SubmissionId,
        submission: &api::Submission,
    ) -> Option<Refusal> {
        let closed = self.is_leaving.then_some(codes::Code::Leaving);
        if let Some(code) = self.past_use(team, id).or(closed) {
            return Some(Refusal {
                code,
                retry_after_ms: None,
            });
        }
        let asked = self.asked(team, submission);
        let view = self.load_view(now_ms, team);
        let code = self.admission_code(team, submission, &asked, &view)?;
        let retry_after_ms = self.retry_after_ms(now_ms, team, code, &asked, &view);
        Some(Refusal {
            code,
            retry_after_ms,
        })
    }

    fn asked(&self, team: &SmolStr, submission: &api::Submission) -> admission::Demand {
        let estimate = |task: &api::Task| {
            let estimate = self.estimate(team, task);
            (estimate.run_ms, estimate.is_learned)
        };
        let expected: Vec<_> = submission.tasks.iter().map(estimate).collect();
        let deadline_ms = submission.deadline_ms;
        let deadline_ms = deadline_ms.unwrap_or_else(|| self.settings.timeouts.deadline_ms.into());
        admission::demand_of(&submission.tasks, &expected, deadline_ms)
    }

    fn admission_code(
        &self,
        team: &SmolStr,
        submission: &api::Submission,
        asked: &admission::Demand,
        view: &admission::LoadSnapshot,
    ) -> Option<codes::Code> {
        let needs = submission.tasks.iter();
        let needs: Vec<_> = needs.map(|task| self.need_of(team, task)).collect();
        if admission::never_fits(&needs, &self.sizes()) {
            return Some(codes::Code::NeverFits);
        }
        if self.jobs.len() >= self.settings.limits.max_submissions as usize {
            return Some(codes::Code::EntryQueueFull);
        }
        let quota = self.settings.teams.get(team)?;
        admission::refusal(asked, view, quota, &self.settings)
    }

    fn load_view(&self, now_ms: u64, team: &SmolStr) -> admission::LoadSnapshot {
        let teams = self.queue.teams();
        let own = teams.find(team);
        admission::LoadSnapshot {
            queued: self.queue.len(),
            team_queued: own.map_or(0, |own| own.waiting),
            backlog_ms: self.queue.backlog_ms(),
            team_backlog_ms: own.map_or(0, |own| own.backlog_ms),
            share: teams.share(team),
            drain_rate: self.drain.rate(),
            no_runner_ms: self.no_runner_ms(now_ms),
        }
    }

    /// For how long there was no runner in service; 0: there is one.
    ///
    /// A tick notes when there was none. One may have come since, with a heartbeat or with
    /// the change that brought its zone back, and callers who saw it come must not be told
    /// that none is there: so a refusal looks again.
    fn no_runner_ms(&self, now_ms: u64) -> u64 {
        let Some(since_ms) = self.no_runner_since_ms else {
            return 0;
        };
        if !self.candidates(now_ms).is_empty() {
            return 0;
        }
        now_ms.saturating_sub(since_ms).max(1)
    }

    /// Refusals that time does not mend carry no time to come back.
    fn retry_after_ms(
        &mut self,
        now_ms: u64,
        team: &SmolStr,
        code: codes::Code,
        asked: &admission::Demand,
        view: &admission::LoadSnapshot,
    ) -> Option<u64> {
        if matches!(code, codes::Code::NeverFits | codes::Code::OverQuota) {
            return None;
        }
        let key = self.queue.team_key(team);
        let allowed = f64::from(self.settings.policy.max_queue_wait_ms);
        let allowed = allowed.min(asked.deadline_ms as f64);
        let excess_ms = view.wait_ms(0) - allowed;
        let rate = view.drain_rate * view.share;
        let draw = self.rng.next_u64();
        let after =
            self.returning
                .retry_after_ms(now_ms, key, asked.work_ms, rate, excess_ms, draw);
        Some(after)
    }

    /// Puts all tasks of a submission just taken in into the queue.
    pub(crate) fn enqueue_all(&mut self, now_ms: u64, key: jobs::Key) {
        let Some(open) = self.jobs.open_at(key) else {
            return;
        };
        let name = open.header.team.clone();
        let expected = |task| {
            let estimate = self.estimate(&name, task);
            order::TaskEstimate {
                run_ms: estimate.run_ms,
                error_ms: estimate.error_ms,
            }
        };
        let expected: Vec<_> = open.tasks.iter().map(expected).collect();
        let shape = order::JobEstimate {
            longest_ms: order::longest_ms(&expected),
            work_ms: expected.iter().map(|one| one.run_ms).sum(),
            slots: slots_whole(self.drain.slots()),
        };
        let age_ms = u64::from(self.settings.policy.age_ms);
        let team = self.queue.team_key(&name);
        let runs = expected.iter().map(|one| one.run_ms);
        for (index, expected_ms) in (0..).zip(runs) {
            self.queue.push(queue::Item {
                task: jobs::TaskKey {
                    submission: key,
                    index,
                },
                team,
                expected_ms,
                rank_ms: order::rank_ms(now_ms, &shape, expected_ms, age_ms),
            });
        }
    }

    fn estimate(&self, team: &SmolStr, task: &api::Task) -> learning::Estimate {
        let declared_ms = task.run_ms.into();
        self.learned
            .run_time(team, &task.kind, declared_ms, DEFAULT_RUN_MS)
    }

    /// What is accounted for on workers for a task.
    pub(crate) fn need_of(&self, team: &SmolStr, task: &api::Task) -> wire::Resources {
        let declared = wire::Resources::from(task);
        self.learned
            .need(team, &task.kind, declared, || self.largest())
    }

    fn largest(&self) -> wire::Resources {
        let sizes = self.sizes().into_iter();
        sizes.fold(wire::Resources::default(), |most, size| most.max(size))
    }

    fn sizes(&self) -> Vec<wire::Resources> {
        let runners = self.members.runners();
        runners.map(|(_, runner)| runner.load.size).collect()
    }

    /// Slots that this entry has in use or could have.
    ///
    /// Those taken by others don't count, but for an equal part of all: runners serve
    /// entries in turns, so an entry that comes new to full runners soon has its part.
    fn usable_slots(&self, candidates: &[placement::Candidate], part: f64) -> f64 {
        let free: i64 = candidates.iter().map(|one| one.free_slots.max(0)).sum();
        let parked: u64 = candidates.iter().map(|one| u64::from(one.parked)).sum();
        let running = (self.in_flight.len() as u64).saturating_sub(parked);
        (running as f64 + free as f64).max(part)
    }

    /// The policy by which runners are chosen now.
    ///
    /// Nothing is sent to wait at a runner while the entry has more than its part of
    /// the slots: what waits there is not shared between teams, so a task of another
    /// team, or a shorter one, would wait behind it. An entry with less has its tasks
    /// wait at runners, since it hears of slots that come free only through the
    /// answers to its own dispatches. Operators who set more than [`SPARE_PARK`] want
    /// no slot idle before all else, and have it.
    pub(crate) fn placement_policy(&self) -> settings::Policy {
        let mut policy = self.settings.policy;
        let is_asked_for = policy.park_per_runner > SPARE_PARK;
        if !is_asked_for && self.in_flight.len() as f64 > self.part {
            policy.park_per_runner = 0;
        }
        policy
    }

    /// A task ended at its backend server.
    pub(crate) fn learn(
        &mut self,
        number: u64,
        code: codes::Code,
        run_ms: u64,
        peak: wire::Resources,
    ) {
        let Some(flight) = self.in_flight.get(number) else {
            return;
        };
        let (team, expected_ms) = (flight.team, flight.expected_ms);
        self.drain.task_ended(expected_ms);
        self.queue.adjust_charge(team, expected_ms, run_ms.max(1));
        // A task that failed or was stopped tells nothing of how long such tasks take:
        // a server that fails everything at once would teach that all are short.
        if code != codes::Code::Complete {
            return;
        }
        let Some(open) = self.jobs.open_at(flight.task.submission) else {
            return;
        };
        let Some(task) = open.task(flight.task.index) else {
            return;
        };
        let sample = learning::Sample {
            declared_ms: task.run_ms.into(),
            run_ms,
            peak,
        };
        self.learned.observe(&open.header.team, &task.kind, &sample);
    }

    pub(crate) fn tick_load(&mut self, now_ms: u64) {
        let candidates = self.candidates(now_ms);
        let runners = candidates.iter().map(|one| self.members.runner(one.key));
        let slots = runners.flatten().map(|runner| runner.load.slots);
        self.slots = slots.fold(0, u32::saturating_add);
        self.part = f64::from(self.slots) / (self.live_entries(now_ms).len() + 1) as f64;
        let slots = self.usable_slots(&candidates, self.part);
        self.drain.tick(now_ms, slots, !self.queue.is_empty());
        let is_none = candidates.is_empty();
        self.no_runner_since_ms = is_none.then(|| self.no_runner_since_ms.unwrap_or(now_ms));
    }

    /// A submission that waits, nothing of it started, and can't meet its deadline any
    /// more is told so now and not when the deadline is over.
    pub(crate) fn end_hopeless(&mut self, now_ms: u64) -> Vec<core::Action> {
        let learned_ms = |team: &SmolStr, kind: &SmolStr, declared_ms| {
            let estimate = self
                .learned
                .run_time(team, kind, declared_ms, DEFAULT_RUN_MS);
            estimate.is_learned.then_some(estimate.run_ms)
        };
        let nearing = self
            .jobs
            .due()
            .near_deadline(now_ms, learned_ms)
            .into_iter();
        let hopeless = nearing.filter(|key| self.is_hopeless(now_ms, *key));
        let hopeless: Vec<_> = hopeless.collect();
        let code = codes::Code::DeadlineNotRun;
        hopeless
            .into_iter()
            .flat_map(|key| self.give_up(now_ms, key, code))
            .collect()
    }

    fn is_hopeless(&self, now_ms: u64, key: jobs::Key) -> bool {
        let Some(open) = self.jobs.open_at(key) else {
            return false;
        };
        let is_waiting =
            |(_, progress): (u32, &jobs::Progress)| matches!(progress, jobs::Progress::Queued);
        if open.give_up_reason().is_some() || !open.iter_progress().all(is_waiting) {
            return false;
        }
        let left_ms = open.header.deadline_ms.saturating_sub(now_ms);
        let estimates = open.tasks.iter();
        let estimates = estimates.map(|task| self.estimate(&open.header.team, task));
        let longest = estimates.max_by_key(|estimate| estimate.run_ms);
        let known = longest.filter(|longest| longest.is_learned);
        admission::is_infeasible(left_ms, known.map(|known| known.run_ms))
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a count of slots"
)]
const fn slots_whole(slots: f64) -> u64 {
    slots as u64
}
