//! Outcomes of the attempts that were sent to runners.
//!
//! A task is dispatched again only when it is *known* that the previous attempt did not
//! start and never will: the connection was not made, the runner reported it, or the
//! runner guaranteed it when queried on a fresh connection. In all other cases the outcome
//! is "may have run".

use rand::RngCore as _;

use crate::api;
use crate::codes;
use crate::entry::core;
use crate::ids;
use crate::jobs;
use crate::membership;
use crate::queue;
use crate::wire;

/// The reason why a dispatch got no reply.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DispatchError {
    /// The connection was not made; nothing was sent.
    NotSent,
    /// The request was sent at least in part; its outcome is unknown.
    Lost,
}

/// Time without dispatches to a runner that reported that it is full, in milliseconds.
///
/// One of eight slots comes free in this time when tasks take about 200 ms.
const FULL_RUNNER_PAUSE_MS: u64 = 25;

/// Interval between two queries about the same attempt, in milliseconds.
const QUERY_INTERVAL_MS: u64 = 500;

impl core::Core {
    /// Handles a runner's reply to a dispatch.
    ///
    /// Replies may arrive late or more than once.
    pub fn dispatch_answered(
        &mut self,
        now_ms: u64,
        reply: wire::DispatchReply,
    ) -> Vec<core::Action> {
        let mut actions = self.catch_up(now_ms);
        let number = reply.attempt.number;
        let is_ours = reply.attempt.owner == self.me.incarnation;
        let Some(pending) = self.in_flight.get(number).filter(|_| is_ours) else {
            self.counts.wasted += 1;
            return actions;
        };
        let may_be_forgotten = may_be_forgotten(pending, &reply.outcome, reply.load.epoch);
        self.record_load(pending.runner, now_ms, reply.load);
        if may_be_forgotten {
            actions.extend(self.end_forgotten(now_ms, number));
        } else {
            actions.extend(self.apply_outcome(now_ms, number, reply.outcome));
        }
        actions.extend(self.dispatch_queued(now_ms));
        actions
    }

    fn record_load(&mut self, key: membership::RunnerKey, now_ms: u64, load: wire::Load) {
        if let Some(runner) = self.members.runner_mut(key) {
            runner.last_seen_ms = runner.last_seen_ms.max(now_ms);
            runner.update_load(load);
        }
    }

    /// Handles a dispatch that got no reply.
    pub fn dispatch_failed(
        &mut self,
        now_ms: u64,
        attempt: ids::Attempt,
        error: DispatchError,
    ) -> Vec<core::Action> {
        let mut actions = self.catch_up(now_ms);
        if self.in_flight.get(attempt.number).is_none() {
            return actions;
        }
        match error {
            DispatchError::NotSent => {
                let code = codes::Code::BackendUnreachable;
                actions.extend(self.not_started(now_ms, attempt.number, code));
                actions.extend(self.dispatch_queued(now_ms));
            }
            DispatchError::Lost => {
                self.mark_reply_lost(now_ms, attempt.number);
                actions.extend(self.query_runner(now_ms, attempt.number));
            }
        }
        actions
    }

    /// Pauses dispatches to a runner, or to its zone, after a refusal that would be
    /// repeated at once.
    fn pause_dispatch(&mut self, now_ms: u64, key: membership::RunnerKey, code: codes::Code) {
        let heartbeat_ms = u64::from(self.settings.timeouts.heartbeat_ms);
        let Some(runner) = self.members.runner_mut(key) else {
            return;
        };
        if code == codes::Code::ZoneOut {
            let zone = runner.peer.zone.clone();
            self.members.back_off_zone(&zone, now_ms + heartbeat_ms);
            return;
        }
        let pause_ms = match code {
            codes::Code::Leaving => {
                runner.is_leaving = true;
                return;
            }
            codes::Code::RunnerFull | codes::Code::WaitedTooLong => FULL_RUNNER_PAUSE_MS,
            codes::Code::Fenced | codes::Code::NeverFits => return,
            _ => heartbeat_ms,
        };
        runner.backoff_until_ms = now_ms + pause_ms;
    }

    /// Handles a runner's reply to a fence.
    pub fn fence_answered(
        &mut self,
        now_ms: u64,
        fence: &wire::Fence,
        reply: wire::FenceReply,
    ) -> Vec<core::Action> {
        let mut actions = self.catch_up(now_ms);
        let is_same_incarnation = reply.incarnation == fence.incarnation;
        for (attempt, outcome) in fence.attempts.iter().zip(reply.outcomes) {
            let Some(pending) = self.in_flight.get(attempt.number) else {
                continue;
            };
            let runner = pending.runner;
            match outcome {
                Some(outcome)
                    if is_same_incarnation
                        && may_be_forgotten(pending, &outcome, reply.load.epoch) =>
                {
                    actions.extend(self.end_forgotten(now_ms, attempt.number));
                }
                Some(outcome) if is_same_incarnation => {
                    self.record_load(runner, now_ms, reply.load);
                    actions.extend(self.apply_outcome(now_ms, attempt.number, outcome));
                }
                // The dispatch did not arrive and its connection may be dead; the next
                // query bars the attempt.
                None if is_same_incarnation => self.mark_reply_lost(now_ms, attempt.number),
                _ => actions.extend(self.runner_lost(now_ms, runner)),
            }
        }
        actions.extend(self.dispatch_queued(now_ms));
        actions
    }

    fn apply_outcome(
        &mut self,
        now_ms: u64,
        number: u64,
        outcome: wire::Outcome,
    ) -> Vec<core::Action> {
        match outcome {
            wire::Outcome::Parked => Vec::new(),
            wire::Outcome::Running { run_ms } => {
                self.report_running(now_ms, number, run_ms);
                let query_at_ms = now_ms + u64::from(self.settings.timeouts.query_after_ms);
                self.in_flight
                    .change(number, |pending| pending.query_at_ms = query_at_ms);
                Vec::new()
            }
            wire::Outcome::NotStarted { code } => {
                self.counts.wasted += 1;
                self.not_started(now_ms, number, code)
            }
            wire::Outcome::Ended {
                code,
                output,
                run_ms,
                peak,
            } => {
                self.learn(number, code, run_ms, peak);
                self.ended(now_ms, number, code, output, run_ms)
            }
        }
    }

    /// Handles an attempt that will never start; its task can be dispatched again.
    fn not_started(&mut self, now_ms: u64, number: u64, code: codes::Code) -> Vec<core::Action> {
        let Some(pending) = self.take_in_flight(number) else {
            return Vec::new();
        };
        self.queue
            .adjust_charge(pending.team, pending.expected_ms, 0);
        self.pause_dispatch(now_ms, pending.runner, code);
        let Some(open) = self.jobs.open_mut(pending.task.submission) else {
            return Vec::new();
        };
        let reason = open.give_up_reason();
        if reason.is_some() || code == codes::Code::NeverFits {
            let code = reason.map_or(code, |reason| reason.code);
            return self.decide(now_ms, pending.task, jobs::Decided::not_run(code));
        }
        open.requeued(pending.task.index);
        self.requeue(pending.item());
        Vec::new()
    }

    /// Handles a "will not start" reply from a runner that no longer remembers attempts
    /// as old as this one.
    ///
    /// This happens after this process was suspended for minutes, or when a second copy
    /// of a dispatch arrives that late: the task ran, its reply was lost, and the runner
    /// has forgotten it. "Not run" would be wrong and would start the task a second time.
    /// The runner's epoch reveals this: a runner remembers every attempt whose dispatch
    /// carried its current or previous epoch.
    fn end_forgotten(&mut self, now_ms: u64, number: u64) -> Vec<core::Action> {
        let Some(pending) = self.take_in_flight(number) else {
            return Vec::new();
        };
        self.attempt_lost(now_ms, &pending, codes::Code::RunnerLost)
    }

    /// Requeues a task at its previous rank if it still waits to run.
    pub(crate) fn requeue(&mut self, item: queue::Item) {
        let Some(open) = self.jobs.open_at(item.task.submission) else {
            return;
        };
        let progress = open.progress(item.task.index);
        let is_waiting = matches!(progress, Some(jobs::Progress::Queued));
        if is_waiting && open.give_up_reason().is_none() {
            self.queue.push(item);
        }
    }

    fn ended(
        &mut self,
        now_ms: u64,
        number: u64,
        code: codes::Code,
        output: String,
        run_ms: u64,
    ) -> Vec<core::Action> {
        let Some(pending) = self.take_in_flight(number) else {
            return Vec::new();
        };
        self.counts.started += 1;
        self.report_end(now_ms, number, &pending, run_ms, code);
        let place = self.place_of(pending.runner);
        let task_outcome = match code.class() {
            codes::Class::Complete => api::TaskOutcome::Ran,
            codes::Class::MayHaveRun => return self.attempt_lost(now_ms, &pending, code),
            _ => api::TaskOutcome::Failed,
        };
        let code = self.cause_of(pending.task, code);
        let decided = jobs::Decided {
            task_outcome,
            code,
            output,
            run_ms,
            place,
        };
        self.decide(now_ms, pending.task, decided)
    }

    /// Returns the result code of an ended task.
    ///
    /// A task that was stopped because of the deadline fails with the code of the deadline.
    fn cause_of(&self, task: jobs::TaskKey, code: codes::Code) -> codes::Code {
        let open = self.jobs.open_at(task.submission);
        let reason = open
            .and_then(jobs::Open::give_up_reason)
            .map(|reason| reason.code);
        match (code, reason) {
            (codes::Code::Cancelled, Some(codes::Code::DeadlineNotRun)) => {
                codes::Code::DeadlinePassed
            }
            _ => code,
        }
    }

    /// Handles an attempt that may have started and whose outcome will not be known.
    fn attempt_lost(
        &mut self,
        now_ms: u64,
        pending: &core::InFlight,
        code: codes::Code,
    ) -> Vec<core::Action> {
        let place = self.place_of(pending.runner);
        if self.plan_retry(now_ms, pending, code, place.as_ref()) {
            return Vec::new();
        }
        self.decide(
            now_ms,
            pending.task,
            jobs::Decided::may_have_run(code, place),
        )
    }

    /// Schedules a retry of an idempotent task within the retry budget and the deadline.
    ///
    /// Returns whether a retry was scheduled.
    fn plan_retry(
        &mut self,
        now_ms: u64,
        pending: &core::InFlight,
        code: codes::Code,
        place: Option<&jobs::Place>,
    ) -> bool {
        let seed = self.rng.next_u64();
        let Some(open) = self.jobs.open_mut(pending.task.submission) else {
            return false;
        };
        if !open.header.is_idempotent || open.give_up_reason().is_some() {
            return false;
        }
        let deadline_ms = open.header.deadline_ms;
        if !self
            .retries
            .schedule(now_ms, deadline_ms, pending.item(), seed)
        {
            return false;
        }
        open.lost(pending.task.index, code, place.cloned());
        self.counts.retries += 1;
        self.pause_dispatch(now_ms, pending.runner, code);
        true
    }

    fn place_of(&self, key: membership::RunnerKey) -> Option<jobs::Place> {
        let peer = &self.members.runner(key)?.peer;
        Some(jobs::Place {
            runner: peer.name.clone(),
            zone: peer.zone.clone(),
        })
    }

    /// Removes an attempt and releases its resources and slot.
    fn take_in_flight(&mut self, number: u64) -> Option<core::InFlight> {
        let pending = self.in_flight.remove(number)?;
        if let Some(runner) = self.members.runner_mut(pending.runner) {
            runner.remove_in_flight(&pending.need);
        }
        self.queue.released(pending.team);
        Some(pending)
    }

    /// Handles the end of a runner incarnation: all its attempts in flight are lost.
    pub(crate) fn runner_lost(
        &mut self,
        now_ms: u64,
        key: membership::RunnerKey,
    ) -> Vec<core::Action> {
        let numbers = self.in_flight.at(key);
        self.health.remove_runner(key);
        let mut actions = Vec::new();
        for number in numbers {
            let Some(pending) = self.take_in_flight(number) else {
                continue;
            };
            actions.extend(self.attempt_lost(now_ms, &pending, codes::Code::RunnerLost));
        }
        actions
    }

    /// Stops an attempt, or bars it if it has not started.
    pub(crate) fn stop(&mut self, now_ms: u64, attempt: ids::Attempt) -> Option<core::Action> {
        let pending = self.in_flight.get(attempt.number)?;
        if pending.is_stopping {
            return None;
        }
        self.in_flight
            .change(attempt.number, |pending| pending.is_stopping = true);
        self.query_runner(now_ms, attempt.number)
    }

    /// Records that the reply to a dispatch can no longer arrive, and makes the query due.
    fn mark_reply_lost(&mut self, now_ms: u64, number: u64) {
        self.in_flight.change(number, |pending| {
            pending.is_reply_lost = true;
            pending.query_at_ms = now_ms;
        });
    }

    /// Queries the runner about an attempt, on a fresh connection.
    ///
    /// Without a reply to the dispatch its outcome is unknown. The query bars an attempt
    /// that has not started, so "not run" is true from then on.
    pub(crate) fn query_runner(&mut self, now_ms: u64, number: u64) -> Option<core::Action> {
        let query_at_ms = now_ms + QUERY_INTERVAL_MS;
        self.in_flight
            .change(number, |pending| pending.query_at_ms = query_at_ms);
        let pending = self.in_flight.get(number)?;
        let peer = &self.members.runner(pending.runner)?.peer;
        let fence = wire::Fence {
            version: wire::VERSION,
            incarnation: peer.incarnation,
            attempts: vec![ids::Attempt {
                owner: self.me.incarnation,
                number,
            }],
            bar: pending.is_reply_lost || pending.is_stopping,
            stop: pending.is_stopping,
        };
        self.counts.wasted += 1;
        Some(core::Action::Fence {
            address: peer.address.clone(),
            fence,
        })
    }
}

/// Returns whether a "will not start" reply comes from a runner that may have forgotten
/// that the attempt started.
const fn may_be_forgotten(pending: &core::InFlight, outcome: &wire::Outcome, epoch: u64) -> bool {
    let is_not_started = matches!(
        outcome,
        wire::Outcome::NotStarted {
            code: codes::Code::Fenced | codes::Code::StaleDispatch
        }
    );
    is_not_started && pending.epoch.saturating_add(1) < epoch
}
