//! What becomes of a task that was handed to a runner.
//!
//! A task is handed out again only when it is *known* that the attempt before did
//! not start and never will: the connection was never made, the runner said so,
//! or it promised so when asked on a fresh connection. Where none of these can be
//! had, the truth is "may have run".

use rand::RngCore as _;

use crate::api;
use crate::codes;
use crate::entry::core;
use crate::ids;
use crate::jobs;
use crate::membership;
use crate::queue;
use crate::wire;

/// Why a dispatch brought no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DispatchError {
    /// The connection was not made: nothing was sent.
    NotSent,
    /// Something was sent; what came of it is not known.
    Lost,
}

/// Pause after a runner said that it is full, in milliseconds: the time in which
/// one of eight slots comes free when tasks take about 200 ms.
const FULL_PAUSE_MS: u64 = 25;

/// Time between two questions about the same attempt, in milliseconds.
const ASK_AGAIN_MS: u64 = 500;

impl core::Core {
    /// A runner answered a dispatch, perhaps late or twice.
    pub fn dispatch_answered(
        &mut self,
        now_ms: u64,
        reply: wire::DispatchReply,
    ) -> Vec<core::Action> {
        let mut actions = self.wake(now_ms);
        let number = reply.attempt.number;
        let is_ours = reply.attempt.owner == self.me.incarnation;
        let Some(flight) = self.in_flight.get(number).filter(|_| is_ours) else {
            self.counts.wasted += 1;
            return actions;
        };
        let is_unsure = is_unsure(flight, &reply.outcome, reply.load.epoch);
        self.hear_load(flight.runner, now_ms, reply.load);
        if is_unsure {
            actions.extend(self.forgotten(now_ms, number));
        } else {
            actions.extend(self.outcome(now_ms, number, reply.outcome));
        }
        actions.extend(self.pump(now_ms));
        actions
    }

    fn hear_load(&mut self, key: membership::RunnerKey, now_ms: u64, load: wire::Load) {
        if let Some(runner) = self.members.runner_mut(key) {
            runner.last_seen_ms = runner.last_seen_ms.max(now_ms);
            runner.update_load(load);
        }
    }

    /// A dispatch brought no answer.
    pub fn dispatch_failed(
        &mut self,
        now_ms: u64,
        attempt: ids::Attempt,
        fault: DispatchError,
    ) -> Vec<core::Action> {
        let mut actions = self.wake(now_ms);
        if self.in_flight.get(attempt.number).is_none() {
            return actions;
        }
        match fault {
            DispatchError::NotSent => {
                let code = codes::Code::BackendUnreachable;
                actions.extend(self.not_started(now_ms, attempt.number, code));
                actions.extend(self.pump(now_ms));
            }
            DispatchError::Lost => {
                self.mark_lost(now_ms, attempt.number);
                actions.extend(self.ask(now_ms, attempt.number));
            }
        }
        actions
    }

    /// Keeps work from a runner for a while, so that a refusal that will be
    /// repeated is not asked for again and again.
    fn close(&mut self, now_ms: u64, key: membership::RunnerKey, code: codes::Code) {
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
            codes::Code::RunnerFull | codes::Code::WaitedTooLong => FULL_PAUSE_MS,
            codes::Code::Fenced | codes::Code::NeverFits => return,
            _ => heartbeat_ms,
        };
        runner.backoff_until_ms = now_ms + pause_ms;
    }

    /// A runner answered a question.
    pub fn fence_answered(
        &mut self,
        now_ms: u64,
        fence: &wire::Fence,
        reply: wire::FenceReply,
    ) -> Vec<core::Action> {
        let mut actions = self.wake(now_ms);
        let is_same_life = reply.incarnation == fence.incarnation;
        for (attempt, outcome) in fence.attempts.iter().zip(reply.outcomes) {
            let Some(flight) = self.in_flight.get(attempt.number) else {
                continue;
            };
            let runner = flight.runner;
            match outcome {
                Some(outcome) if is_same_life && is_unsure(flight, &outcome, reply.load.epoch) => {
                    actions.extend(self.forgotten(now_ms, attempt.number));
                }
                Some(outcome) if is_same_life => {
                    self.hear_load(runner, now_ms, reply.load);
                    actions.extend(self.outcome(now_ms, attempt.number, outcome));
                }
                // The dispatch got lost on its way, and its connection may be silent for
                // good; from now on the attempt is barred when asked about.
                None if is_same_life => self.mark_lost(now_ms, attempt.number),
                _ => actions.extend(self.runner_over(now_ms, runner)),
            }
        }
        actions.extend(self.pump(now_ms));
        actions
    }

    fn outcome(&mut self, now_ms: u64, number: u64, outcome: wire::Outcome) -> Vec<core::Action> {
        match outcome {
            wire::Outcome::Parked => Vec::new(),
            wire::Outcome::Running { run_ms } => {
                self.judge_running(now_ms, number, run_ms);
                let ask_ms = now_ms + u64::from(self.settings.timeouts.query_after_ms);
                self.in_flight
                    .change(number, |flight| flight.ask_ms = ask_ms);
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

    /// The attempt will never start: the task may be handed out again.
    fn not_started(&mut self, now_ms: u64, number: u64, code: codes::Code) -> Vec<core::Action> {
        let Some(flight) = self.take(number) else {
            return Vec::new();
        };
        self.queue.adjust_charge(flight.team, flight.expected_ms, 0);
        self.close(now_ms, flight.runner, code);
        let Some(open) = self.jobs.open_mut(flight.task.submission) else {
            return Vec::new();
        };
        let verdict = open.give_up_reason();
        if verdict.is_some() || code == codes::Code::NeverFits {
            let code = verdict.map_or(code, |verdict| verdict.code);
            return self.decide(now_ms, flight.task, jobs::Decided::not_run(code));
        }
        open.requeued(flight.task.index);
        self.requeue(flight.item());
        Vec::new()
    }

    /// The runner promises that the attempt will not start, but it no longer
    /// remembers attempts as old as this one.
    ///
    /// It shows after this process was frozen for minutes, or when a second copy of a
    /// dispatch arrives that late: the task ran, its answer went unheard, and the
    /// runner has forgotten it. "Not run" would be untrue and
    /// would have the task started a second time. The runner's epoch tells: it
    /// forgets nothing whose dispatch carried its current or previous one.
    fn forgotten(&mut self, now_ms: u64, number: u64) -> Vec<core::Action> {
        let Some(flight) = self.take(number) else {
            return Vec::new();
        };
        self.lost(now_ms, &flight, codes::Code::RunnerLost)
    }

    /// Puts a task that came back into its place in the queue.
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
        let Some(flight) = self.take(number) else {
            return Vec::new();
        };
        self.counts.started += 1;
        self.judge_end(now_ms, number, &flight, run_ms, code);
        let place = self.place_of(flight.runner);
        let fate = match code.class() {
            codes::Class::Complete => api::TaskOutcome::Ran,
            codes::Class::MayHaveRun => return self.lost(now_ms, &flight, code),
            _ => api::TaskOutcome::Failed,
        };
        let code = self.cause_of(flight.task, code);
        let decided = jobs::Decided {
            fate,
            code,
            output,
            run_ms,
            place,
        };
        self.decide(now_ms, flight.task, decided)
    }

    /// A task that was stopped for the deadline failed for the deadline.
    fn cause_of(&self, task: jobs::TaskKey, code: codes::Code) -> codes::Code {
        let open = self.jobs.open_at(task.submission);
        let verdict = open
            .and_then(jobs::Open::give_up_reason)
            .map(|verdict| verdict.code);
        match (code, verdict) {
            (codes::Code::Cancelled, Some(codes::Code::DeadlineNotRun)) => {
                codes::Code::DeadlinePassed
            }
            _ => code,
        }
    }

    /// The attempt may have started and nothing more will be heard of it.
    fn lost(
        &mut self,
        now_ms: u64,
        flight: &core::InFlight,
        code: codes::Code,
    ) -> Vec<core::Action> {
        let place = self.place_of(flight.runner);
        if self.start_again(now_ms, flight, code, place.as_ref()) {
            return Vec::new();
        }
        self.decide(
            now_ms,
            flight.task,
            jobs::Decided::may_have_run(code, place),
        )
    }

    /// Has an idempotent task started again elsewhere, within the budget and the
    /// deadline; says whether it will be.
    fn start_again(
        &mut self,
        now_ms: u64,
        flight: &core::InFlight,
        code: codes::Code,
        place: Option<&jobs::Place>,
    ) -> bool {
        let seed = self.rng.next_u64();
        let Some(open) = self.jobs.open_mut(flight.task.submission) else {
            return false;
        };
        if !open.header.is_idempotent || open.give_up_reason().is_some() {
            return false;
        }
        let deadline_ms = open.header.deadline_ms;
        if !self
            .retries
            .schedule(now_ms, deadline_ms, flight.item(), seed)
        {
            return false;
        }
        open.lost(flight.task.index, code, place.cloned());
        self.counts.retries += 1;
        self.close(now_ms, flight.runner, code);
        true
    }

    fn place_of(&self, key: membership::RunnerKey) -> Option<jobs::Place> {
        let peer = &self.members.runner(key)?.peer;
        Some(jobs::Place {
            runner: peer.name.clone(),
            zone: peer.zone.clone(),
        })
    }

    /// Takes an attempt off the books.
    fn take(&mut self, number: u64) -> Option<core::InFlight> {
        let flight = self.in_flight.remove(number)?;
        if let Some(runner) = self.members.runner_mut(flight.runner) {
            runner.remove_in_flight(&flight.need);
        }
        self.queue.released(flight.team);
        Some(flight)
    }

    /// A life of a runner is over: what it may have been running is lost.
    pub(crate) fn runner_over(
        &mut self,
        now_ms: u64,
        key: membership::RunnerKey,
    ) -> Vec<core::Action> {
        let numbers = self.in_flight.at(key);
        self.health.remove_runner(key);
        let mut actions = Vec::new();
        for number in numbers {
            let Some(flight) = self.take(number) else {
                continue;
            };
            actions.extend(self.lost(now_ms, &flight, codes::Code::RunnerLost));
        }
        actions
    }

    /// Has an attempt stopped, or barred if it has not started.
    pub(crate) fn stop(&mut self, now_ms: u64, attempt: ids::Attempt) -> Option<core::Action> {
        let flight = self.in_flight.get(attempt.number)?;
        if flight.is_stopping {
            return None;
        }
        self.in_flight
            .change(attempt.number, |flight| flight.is_stopping = true);
        self.ask(now_ms, attempt.number)
    }

    /// The answer to the dispatch can't come any more.
    fn mark_lost(&mut self, now_ms: u64, number: u64) {
        self.in_flight.change(number, |flight| {
            flight.is_lost = true;
            flight.ask_ms = now_ms;
        });
    }

    /// Asks the runner about an attempt, on a fresh connection.
    ///
    /// The answer to a dispatch that went silent tells nothing; the question has
    /// the attempt barred if it never started, so "not run" is true from then on.
    pub(crate) fn ask(&mut self, now_ms: u64, number: u64) -> Option<core::Action> {
        let ask_ms = now_ms + ASK_AGAIN_MS;
        self.in_flight
            .change(number, |flight| flight.ask_ms = ask_ms);
        let flight = self.in_flight.get(number)?;
        let peer = &self.members.runner(flight.runner)?.peer;
        let fence = wire::Fence {
            version: wire::VERSION,
            incarnation: peer.incarnation,
            attempts: vec![ids::Attempt {
                owner: self.me.incarnation,
                number,
            }],
            bar: flight.is_lost || flight.is_stopping,
            stop: flight.is_stopping,
        };
        self.counts.wasted += 1;
        Some(core::Action::Fence {
            address: peer.address.clone(),
            fence,
        })
    }
}

/// Whether "it did not and will not start" is said by a runner that may have
/// forgotten that it did.
const fn is_unsure(flight: &core::InFlight, outcome: &wire::Outcome, epoch: u64) -> bool {
    let is_promise = matches!(
        outcome,
        wire::Outcome::NotStarted {
            code: codes::Code::Fenced | codes::Code::StaleDispatch
        }
    );
    is_promise && flight.epoch.saturating_add(1) < epoch
}
