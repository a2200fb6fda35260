//! Admission, queueing and learned run times at an entry.

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

/// Expected run time of a task that declares none, in milliseconds.
///
/// It is the geometric mean of the usual range of 50 ms to one second.
pub const DEFAULT_RUN_MS: u64 = 220;

/// Default of `policy.park_per_runner`.
///
/// [`core::Core::placement_policy`] lowers settings up to this value to keep the queue order.
const DEFAULT_PARK_PER_RUNNER: u32 = 1;

/// The reason for refusing a submission, and when to retry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// The result code.
    pub code: codes::Code,
    /// Retry delay in milliseconds, or `None` if waiting does not help.
    pub retry_after_ms: Option<u64>,
}

impl core::Core {
    /// Returns why a submission has to be refused, or `None` if it is acceptable.
    pub(crate) fn refusal(
        &mut self,
        now_ms: u64,
        team: &SmolStr,
        id: &ids::SubmissionId,
        submission: &api::Submission,
    ) -> Option<Refusal> {
        let leaving_code = self.is_leaving.then_some(codes::Code::Leaving);
        if let Some(code) = self.unusable_code(team, id).or(leaving_code) {
            return Some(Refusal {
                code,
                retry_after_ms: None,
            });
        }
        let job_demand = self.job_demand(team, submission);
        let view = self.load_view(now_ms, team);
        let code = self.admission_code(team, submission, &job_demand, &view)?;
        let retry_after_ms = self.retry_after_ms(now_ms, team, code, &job_demand, &view);
        Some(Refusal {
            code,
            retry_after_ms,
        })
    }

    fn job_demand(&self, team: &SmolStr, submission: &api::Submission) -> admission::Demand {
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
        job_demand: &admission::Demand,
        view: &admission::LoadSnapshot,
    ) -> Option<codes::Code> {
        let needs = submission.tasks.iter();
        let needs: Vec<_> = needs.map(|task| self.need_of(team, task)).collect();
        if admission::never_fits(&needs, &self.worker_sizes()) {
            return Some(codes::Code::NeverFits);
        }
        if self.jobs.len() >= self.settings.limits.max_submissions as usize {
            return Some(codes::Code::EntryQueueFull);
        }
        let quota = self.settings.teams.get(team)?;
        admission::refusal(job_demand, view, quota, &self.settings)
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

    /// Returns for how long no runner has been in service; 0 if there is one.
    ///
    /// Ticks record the time without runners. A runner may have appeared since the last
    /// tick, by a heartbeat or by a settings change that brought its zone back. Callers
    /// that have seen it must not be refused for lack of runners, so the candidates are
    /// checked again.
    fn no_runner_ms(&self, now_ms: u64) -> u64 {
        let Some(since_ms) = self.no_runner_since_ms else {
            return 0;
        };
        if !self.candidates(now_ms).is_empty() {
            return 0;
        }
        now_ms.saturating_sub(since_ms).max(1)
    }

    /// Returns the retry delay for a refusal, or `None` if waiting does not help.
    fn retry_after_ms(
        &mut self,
        now_ms: u64,
        team: &SmolStr,
        code: codes::Code,
        job_demand: &admission::Demand,
        view: &admission::LoadSnapshot,
    ) -> Option<u64> {
        if matches!(code, codes::Code::NeverFits | codes::Code::OverQuota) {
            return None;
        }
        let key = self.queue.team_key(team);
        let allowed_ms = f64::from(self.settings.policy.max_queue_wait_ms);
        let allowed_ms = allowed_ms.min(job_demand.deadline_ms as f64);
        let excess_ms = view.wait_ms(0) - allowed_ms;
        let rate = view.drain_rate * view.share;
        let draw = self.rng.next_u64();
        let delay_ms = self.refused_work.retry_after_ms(
            now_ms,
            key,
            job_demand.work_ms,
            rate,
            excess_ms,
            draw,
        );
        Some(delay_ms)
    }

    /// Queues all tasks of a submission that was just accepted.
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
            slots: whole_slots(self.drain.slots()),
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

    /// Returns the resources that a task is accounted for on a worker.
    pub(crate) fn need_of(&self, team: &SmolStr, task: &api::Task) -> wire::Resources {
        let declared = wire::Resources::from(task);
        self.learned
            .need(team, &task.kind, declared, || self.largest_worker())
    }

    fn largest_worker(&self) -> wire::Resources {
        let worker_sizes = self.worker_sizes().into_iter();
        worker_sizes.fold(wire::Resources::default(), |most, size| most.max(size))
    }

    fn worker_sizes(&self) -> Vec<wire::Resources> {
        let runners = self.members.runners();
        runners.map(|(_, runner)| runner.load.size).collect()
    }

    /// Returns the number of slots that this entry uses or could use.
    ///
    /// Slots used by other entries do not count, but the result is at least the fair
    /// share: runners serve entries in turns, so an entry that is new to full runners
    /// soon gets its share.
    fn usable_slots(&self, candidates: &[placement::Candidate], fair_share: f64) -> f64 {
        let free: i64 = candidates.iter().map(|one| one.free_slots.max(0)).sum();
        let parked: u64 = candidates.iter().map(|one| u64::from(one.parked)).sum();
        let running = (self.in_flight.len() as u64).saturating_sub(parked);
        (running as f64 + free as f64).max(fair_share)
    }

    /// Returns the policy for choosing runners now.
    ///
    /// While the entry uses more than its fair share of the slots, no task is parked at a
    /// runner: parked tasks are not shared between teams, so a task of another team, or a
    /// shorter one, would wait behind them. An entry below its share parks tasks, since it
    /// learns of freed slots only from the replies to its own dispatches. A setting above
    /// [`DEFAULT_PARK_PER_RUNNER`] asks for busy slots rather than queue order and is kept.
    pub(crate) fn placement_policy(&self) -> settings::Policy {
        let mut policy = self.settings.policy;
        let is_raised = policy.park_per_runner > DEFAULT_PARK_PER_RUNNER;
        if !is_raised && self.in_flight.len() as f64 > self.fair_share {
            policy.park_per_runner = 0;
        }
        policy
    }

    /// Records the end of a task at its backend server.
    pub(crate) fn learn(
        &mut self,
        number: u64,
        code: codes::Code,
        run_ms: u64,
        peak: wire::Resources,
    ) {
        let Some(pending) = self.in_flight.get(number) else {
            return;
        };
        let (team, expected_ms) = (pending.team, pending.expected_ms);
        self.drain.task_ended(expected_ms);
        self.queue.adjust_charge(team, expected_ms, run_ms.max(1));
        // Only complete tasks count: a backend server that fails every task at once would
        // otherwise make the learned run times short.
        if code != codes::Code::Complete {
            return;
        }
        let Some(open) = self.jobs.open_at(pending.task.submission) else {
            return;
        };
        let Some(task) = open.task(pending.task.index) else {
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
        self.fair_share = f64::from(self.slots) / (self.live_entries(now_ms).len() + 1) as f64;
        let slots = self.usable_slots(&candidates, self.fair_share);
        self.drain.tick(now_ms, slots, !self.queue.is_empty());
        let has_no_runner = candidates.is_empty();
        self.no_runner_since_ms = has_no_runner.then(|| self.no_runner_since_ms.unwrap_or(now_ms));
    }

    /// Gives up queued submissions that can no longer meet their deadline, without
    /// waiting for the deadline to pass.
    ///
    /// Only submissions of which no task has been dispatched are given up.
    pub(crate) fn end_infeasible(&mut self, now_ms: u64) -> Vec<core::Action> {
        let learned_ms = |team: &SmolStr, kind: &SmolStr, declared_ms| {
            let estimate = self
                .learned
                .run_time(team, kind, declared_ms, DEFAULT_RUN_MS);
            estimate.is_learned.then_some(estimate.run_ms)
        };
        let at_risk = self
            .jobs
            .due()
            .near_deadline(now_ms, learned_ms)
            .into_iter();
        let infeasible = at_risk.filter(|key| self.is_infeasible(now_ms, *key));
        let infeasible: Vec<_> = infeasible.collect();
        let code = codes::Code::DeadlineNotRun;
        infeasible
            .into_iter()
            .flat_map(|key| self.give_up(now_ms, key, code))
            .collect()
    }

    fn is_infeasible(&self, now_ms: u64, key: jobs::Key) -> bool {
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
        let longest_learned = longest.filter(|longest| longest.is_learned);
        admission::is_infeasible(left_ms, longest_learned.map(|slowest| slowest.run_ms))
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the number of slots is small and not negative"
)]
const fn whole_slots(slots: f64) -> u64 {
    slots as u64
}
