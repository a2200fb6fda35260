//! Runners and their backend servers.

use bulrushtiller::codes;
use bulrushtiller::ids;
use bulrushtiller::runner::core as runner;
use bulrushtiller::wire;

use crate::sim;
use crate::sim::events;
use crate::sim::world;

/// Starts in a zone are late so long after it was taken out.
const ZONE_BOUND_US: u64 = 3_000_000;

/// Run time at a server that fails everything at once, milliseconds.
const FAIL_MS: u32 = 1;

impl world::World<'_> {
    pub(super) fn at_runner(&mut self, index: usize, entry: usize, message: events::ToRunner) {
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

    pub(super) fn reply(&mut self, runner: usize, entry: usize, message: events::ToEntry) {
        let at_us = self.now_us + self.site.latency_us(entry, runner);
        self.at(at_us, events::Event::ToEntry { entry, message });
    }

    pub(super) fn runner_acts(&mut self, index: usize, actions: Vec<runner::Action>) {
        for action in actions {
            match action {
                runner::Action::Start(dispatch) => self.start(index, &dispatch),
                runner::Action::Stop(attempt) => {
                    let event = events::Event::TaskEnd {
                        runner: index,
                        attempt,
                        run_ms: 0,
                        is_failed: true,
                    };
                    self.at(self.now_us + self.site.within_zone_us, event);
                }
                runner::Action::Answer(attempt, outcome) => self.answer(index, attempt, outcome),
                runner::Action::TellEntries => self.tell_entries(index),
            }
        }
    }

    pub(super) fn start(&mut self, index: usize, dispatch: &wire::Dispatch) {
        self.outcome.started += 1;
        let is_first = self
            .starts
            .insert((dispatch.submission.clone(), dispatch.index));
        self.outcome.double_starts += u64::from(!is_first);
        let zone = &self.runners[index].me().zone;
        let is_late = |since: &u64| self.now_us > since + ZONE_BOUND_US;
        self.outcome.late_starts += u64::from(self.out_since.get(zone).is_some_and(is_late));
        let words: Vec<&str> = dispatch.payload.split(' ').collect();
        let job: Option<usize> = words.first().and_then(|word| word.parse().ok());
        if let Some(has_started) = job.and_then(|job| self.has_started.get_mut(job)) {
            *has_started = true;
        }
        let run_ms: u32 = words.get(1).and_then(|word| word.parse().ok()).unwrap_or(1);
        if self.stuck[index] {
            return;
        }
        let is_failed = self.fails_all[index];
        let run_ms = if is_failed { FAIL_MS } else { run_ms };
        let real_us = world::micros(f64::from(run_ms) * self.speeds[index]);
        let event = events::Event::TaskEnd {
            runner: index,
            attempt: dispatch.attempt,
            run_ms,
            is_failed,
        };
        self.at(self.now_us + real_us, event);
    }

    pub(super) fn answer(&mut self, index: usize, attempt: ids::Attempt, outcome: wire::Outcome) {
        let owner = self
            .entries
            .iter()
            .position(|one| one.me().incarnation == attempt.owner);
        let Some(entry) = owner else { return };
        let load = self.runners[index].load_for(attempt.owner);
        let reply = wire::DispatchReply {
            version: wire::VERSION,
            attempt,
            outcome,
            load,
        };
        self.reply(index, entry, events::ToEntry::Reply(reply));
    }

    pub(super) fn task_end(
        &mut self,
        index: usize,
        attempt: ids::Attempt,
        run_ms: u32,
        is_failed: bool,
    ) {
        if self.frozen[index] {
            return;
        }
        let now_ms = self.now_ms();
        let code = match (is_failed, run_ms) {
            (true, 0) => codes::Code::Cancelled,
            (true, _) => codes::Code::TaskFailed,
            (false, _) => codes::Code::Complete,
        };
        let peak = wire::Resources::default();
        let end = runner::End::Ended {
            code,
            output: String::new(),
            peak,
        };
        let actions = self.runners[index].ended(now_ms, attempt, end);
        // Nothing comes of a task that was stopped before.
        if !is_failed && !actions.is_empty() {
            let at_us = self.now_us - world::START_US;
            self.outcome.work.push(sim::Work {
                job: 0,
                runner: index,
                at_us,
                run_ms,
            });
        }
        self.runner_acts(index, actions);
    }
}
