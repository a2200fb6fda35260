//! Runners and their backend servers.

use bulrushtiller::codes;
use bulrushtiller::entry::attempts;
use bulrushtiller::ids;
use bulrushtiller::runner::core as runner;
use bulrushtiller::wire;

use crate::sim;
use crate::sim::events;
use crate::sim::workers;
use crate::sim::world;

/// Time after which a start in a zone taken out of service counts as late.
const LATE_START_US: u64 = 3_000_000;

/// Run time of a task at a server that fails every task immediately, milliseconds.
const FAIL_MS: u32 = 1;

impl world::World<'_> {
    pub(super) fn receive_at_runner(
        &mut self,
        index: usize,
        entry: usize,
        message: events::ToRunner,
    ) {
        if self.crashed[index] {
            self.refuse_connection(index, message);
            return;
        }
        if self.suspended[index] {
            return;
        }
        let now_ms = self.now_ms();
        match message {
            events::ToRunner::Dispatch(dispatch) => {
                let actions = self.runners[index].dispatch(now_ms, dispatch);
                self.perform_runner_actions(index, actions);
            }
            events::ToRunner::Fence(fence) => {
                let (outcomes, actions) = self.runners[index].fence(now_ms, &fence);
                self.perform_runner_actions(index, actions);
                let owner = self.entries[entry].me().incarnation;
                let reply = wire::FenceReply {
                    version: wire::VERSION,
                    incarnation: self.runners[index].me().incarnation,
                    outcomes,
                    load: self.runners[index].load_for(owner),
                };
                self.reply(index, entry, events::ToEntry::Fenced(fence, reply));
            }
        }
    }

    /// Fails a dispatch as not sent, so that the entry places it elsewhere. A fence
    /// needs no reply, since the entry repeats it.
    fn refuse_connection(&mut self, index: usize, message: events::ToRunner) {
        if let events::ToRunner::Dispatch(dispatch) = message {
            self.fail_dispatch(index, dispatch.attempt, attempts::DispatchError::NotSent);
        }
    }

    pub(super) fn owner_of(&self, attempt: ids::Attempt) -> Option<usize> {
        let mut entries = self.entries.iter();
        entries.position(|candidate| candidate.me().incarnation == attempt.owner)
    }

    pub(super) fn reply(&mut self, runner: usize, entry: usize, message: events::ToEntry) {
        let at_us = self.now_us + self.site.latency_us(entry, runner);
        self.schedule(at_us, events::Event::ToEntry { entry, message });
    }

    pub(super) fn perform_runner_actions(&mut self, index: usize, actions: Vec<runner::Action>) {
        for action in actions {
            match action {
                runner::Action::Start(dispatch) => self.start(index, &dispatch),
                runner::Action::Stop(attempt) => {
                    let event = events::Event::Stopped {
                        runner: index,
                        attempt,
                    };
                    self.schedule(self.now_us + self.site.within_zone_us, event);
                }
                runner::Action::Answer(attempt, outcome) => self.answer(index, attempt, outcome),
                runner::Action::SendHeartbeats => self.send_heartbeats(index),
            }
        }
    }

    pub(super) fn start(&mut self, index: usize, dispatch: &wire::Dispatch) {
        self.outcome.started += 1;
        let zone = &self.runners[index].me().zone;
        let is_late = |since: &u64| self.now_us > since + LATE_START_US;
        self.outcome.late_starts +=
            u64::from(self.zone_out_since_us.get(zone).is_some_and(is_late));
        let (job, run_ms) = parse_payload(&dispatch.payload);
        self.count_start(job, dispatch);
        if self.stuck[index] {
            return;
        }
        let is_failed = self.fails_all[index];
        let run_ms = if is_failed { FAIL_MS } else { run_ms };
        let task = workers::Task {
            attempt: dispatch.attempt,
            service_us: world::micros(f64::from(run_ms) * self.slowdowns[index]),
            memory_mib: self.jobs[job].memory.real_mib,
            run_ms,
            is_failed,
        };
        let ends = self.workers[index].start(self.now_us, task);
        self.schedule_ends(index, ends);
    }

    fn count_start(&mut self, job: usize, dispatch: &wire::Dispatch) {
        let task = (dispatch.submission.clone(), dispatch.index);
        let is_first = self.started_tasks.insert(task);
        let is_idempotent = self.jobs[job].is_idempotent;
        self.outcome.double_starts += u64::from(!is_first && !is_idempotent);
        self.has_started[job] = true;
    }

    fn schedule_ends(&mut self, runner: usize, ends: Vec<workers::End>) {
        for end in ends {
            self.schedule(end.at_us, events::Event::TaskEnd { runner, end });
        }
    }

    pub(super) fn answer(&mut self, index: usize, attempt: ids::Attempt, outcome: wire::Outcome) {
        let Some(entry) = self.owner_of(attempt) else {
            return;
        };
        let load = self.runners[index].load_for(attempt.owner);
        let reply = wire::DispatchReply {
            version: wire::VERSION,
            attempt,
            outcome,
            load,
        };
        self.reply(index, entry, events::ToEntry::Reply(reply));
    }

    pub(super) fn task_end(&mut self, index: usize, end: &workers::End) {
        let is_current = self.workers[index].is_current_end(end.attempt, end.prediction);
        if self.suspended[index] || !is_current {
            return;
        }
        let code = if end.is_failed {
            codes::Code::TaskFailed
        } else {
            codes::Code::Complete
        };
        let was_running = self.end_task(index, end.attempt, code);
        // A task that was stopped before its end did no useful work.
        if !end.is_failed && was_running {
            let at_us = self.now_us - world::START_US;
            self.outcome.work.push(sim::Work {
                job: 0,
                runner: index,
                at_us,
                run_ms: end.run_ms,
            });
        }
    }

    pub(super) fn stopped(&mut self, index: usize, attempt: ids::Attempt) {
        if !self.suspended[index] {
            self.end_task(index, attempt, codes::Code::Cancelled);
        }
    }

    /// Ends a task. Returns whether the runner was still waiting for it.
    fn end_task(&mut self, index: usize, attempt: ids::Attempt, code: codes::Code) -> bool {
        let (memory_mib, ends) = self.workers[index].remove(self.now_us, attempt);
        self.schedule_ends(index, ends);
        let peak = wire::Resources {
            memory_mib,
            ..wire::Resources::default()
        };
        let end = runner::End::Ended {
            code,
            output: String::new(),
            peak,
        };
        let now_ms = self.now_ms();
        let actions = self.runners[index].ended(now_ms, attempt, end);
        let was_running = !actions.is_empty();
        self.perform_runner_actions(index, actions);
        was_running
    }
}

/// Parses the job index and the run time from a task's payload.
fn parse_payload(payload: &str) -> (usize, u32) {
    let (job, run_ms) = payload
        .split_once(' ')
        .unwrap_or_else(|| unreachable!("malformed task payload: {payload}"));
    let job = job.parse().unwrap_or_else(|e| unreachable!("{e}"));
    let run_ms = run_ms.parse().unwrap_or_else(|e| unreachable!("{e}"));
    (job, run_ms)
}
