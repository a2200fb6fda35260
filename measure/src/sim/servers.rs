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

/// Starts in a zone are late so long after it was taken out.
const ZONE_BOUND_US: u64 = 3_000_000;

/// Run time at a server that fails everything at once, milliseconds.
const FAIL_MS: u32 = 1;

impl world::World<'_> {
    pub(super) fn at_runner(&mut self, index: usize, entry: usize, message: events::ToRunner) {
        if self.died[index] {
            self.refused_connection(index, message);
            return;
        }
        if self.frozen[index] {
            return;
        }
        let now_ms = self.now_ms();
        match message {
            events::ToRunner::Dispatch(dispatch) => {
                let actions = self.runners[index].dispatch(now_ms, dispatch);
                self.runner_acts(index, actions);
            }
            events::ToRunner::Fence(fence) => {
                let (outcomes, actions) = self.runners[index].fence(now_ms, &fence);
                self.runner_acts(index, actions);
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

    /// A dispatch that was not sent goes elsewhere; a question is asked again.
    fn refused_connection(&mut self, index: usize, message: events::ToRunner) {
        if let events::ToRunner::Dispatch(dispatch) = message {
            self.call_fails(index, dispatch.attempt, attempts::DispatchError::NotSent);
        }
    }

    pub(super) fn owner_of(&self, attempt: ids::Attempt) -> Option<usize> {
        let mut entries = self.entries.iter();
        entries.position(|one| one.me().incarnation == attempt.owner)
    }

    pub(super) fn reply(&mut self, runner: usize, entry: usize, message: events::ToEntry) {
        let at_us = self.now_us + self.site.latency_us(entry, runner);
        self.at(at_us, events::Event::ToEntry { entry, message });
    }

    pub(super) fn runner_acts(&mut self, index: usize, actions: Vec<runner::Action>) {
        for action in actions {
            match action {
                runner::Action::Start(dispatch) => self.start(index, &dispatch),
                runner::Action::Stop(attempt) => {
                    let event = events::Event::Stopped {
                        runner: index,
                        attempt,
                    };
                    self.at(self.now_us + self.site.within_zone_us, event);
                }
                runner::Action::Answer(attempt, outcome) => self.answer(index, attempt, outcome),
                runner::Action::SendHeartbeats => self.tell_entries(index),
            }
        }
    }

    pub(super) fn start(&mut self, index: usize, dispatch: &wire::Dispatch) {
        self.outcome.started += 1;
        let zone = &self.runners[index].me().zone;
        let is_late = |since: &u64| self.now_us > since + ZONE_BOUND_US;
        self.outcome.late_starts += u64::from(self.out_since.get(zone).is_some_and(is_late));
        let (job, run_ms) = read(&dispatch.payload);
        self.count_start(job, dispatch);
        if self.stuck[index] {
            return;
        }
        let is_failed = self.fails_all[index];
        let run_ms = if is_failed { FAIL_MS } else { run_ms };
        let task = workers::Task {
            attempt: dispatch.attempt,
            needs_us: world::micros(f64::from(run_ms) * self.speeds[index]),
            memory_mib: self.jobs[job].memory.real_mib,
            run_ms,
            is_failed,
        };
        let ends = self.workers[index].start(self.now_us, task);
        self.foresee(index, ends);
    }

    fn count_start(&mut self, job: usize, dispatch: &wire::Dispatch) {
        let task = (dispatch.submission.clone(), dispatch.index);
        let is_first = self.starts.insert(task);
        let is_idempotent = self.jobs[job].is_idempotent;
        self.outcome.double_starts += u64::from(!is_first && !is_idempotent);
        self.has_started[job] = true;
    }

    fn foresee(&mut self, runner: usize, ends: Vec<workers::End>) {
        for end in ends {
            self.at(end.at_us, events::Event::TaskEnd { runner, end });
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
        let is_last = self.workers[index].is_end(end.attempt, end.foreseen);
        if self.frozen[index] || !is_last {
            return;
        }
        let code = if end.is_failed {
            codes::Code::TaskFailed
        } else {
            codes::Code::Complete
        };
        let is_told = self.ends(index, end.attempt, code);
        // Nothing comes of a task that was stopped before.
        if !end.is_failed && is_told {
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
        if !self.frozen[index] {
            self.ends(index, attempt, codes::Code::Cancelled);
        }
    }

    /// A task is over; says whether the runner still waited for it.
    fn ends(&mut self, index: usize, attempt: ids::Attempt, code: codes::Code) -> bool {
        let (memory_mib, ends) = self.workers[index].remove(self.now_us, attempt);
        self.foresee(index, ends);
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
        let is_told = !actions.is_empty();
        self.runner_acts(index, actions);
        is_told
    }
}

/// The job and the run time that the payload of a task names.
fn read(payload: &str) -> (usize, u32) {
    let (job, run_ms) = payload
        .split_once(' ')
        .unwrap_or_else(|| unreachable!("no payload of the driver: {payload}"));
    let job = job.parse().unwrap_or_else(|e| unreachable!("{e}"));
    let run_ms = run_ms.parse().unwrap_or_else(|e| unreachable!("{e}"));
    (job, run_ms)
}
