//! Backend servers of the simulated site: how they start, run and stop tasks, with their speeds
//! and faults.

use bulrushtiller::leased::capacity;
use bulrushtiller::leased::messages;
use bulrushtiller::leased::ports;
use rand::Rng as _;

use crate::leased::START_MS;
use crate::leased::faults;
use crate::leased::network;
use crate::leased::workload;
use crate::leased::world;

/// Run time of a task that a faulty backend server fails at once, in milliseconds.
const FAIL_MS: u64 = 1;

/// Run time of a task that never ends, in milliseconds.
const ENDLESS_MS: u64 = 1_000_000;

/// Timer interval of runners, in milliseconds.
const RUNNER_TICK_INTERVAL_MS: u64 = 20;

impl world::World {
    /// Returns whether ready backend servers have room for all tasks of a call at once.
    pub(super) fn has_room(&self, call: &world::Call) -> bool {
        let fitting = self.runners.iter().map(|runner| {
            let load = runner.capacity.load(self.now_ms);
            let is_ready = load.readiness == messages::Readiness::Ready;
            let free_milli = load.size.minus(&load.used).cpu_milli;
            u32::from(is_ready) * (free_milli / call.task_milli.max(1))
        });
        fitting.sum::<u32>() >= call.tasks
    }

    fn server_fault(&self, at: usize) -> Option<faults::ServerFault> {
        let elapsed_ms = self.now_ms - START_MS;
        let mut faults = self.faults.iter();
        faults.find_map(|fault| fault.of_server(elapsed_ms, at))
    }

    /// Starts a run at a backend server, with its speed and its fault.
    fn start_run(&mut self, at: usize, start: &messages::Start) {
        let id = &start.id;
        let task_ms = self.run_ms[&id.job][id.index as usize] as f64 / self.site.speed(at);
        let run_ms = match self.server_fault(at) {
            Some(faults::ServerFault::Slow(factor)) => workload::whole_ms(task_ms * factor),
            Some(faults::ServerFault::Fails) => FAIL_MS,
            Some(faults::ServerFault::Hangs) => ENDLESS_MS,
            Some(faults::ServerFault::Leaves) | None => workload::whole_ms(task_ms),
        };
        let runner = &mut self.runners[at];
        if run_ms == FAIL_MS {
            runner.failing.insert(id.clone());
        }
        runner.running.insert(id.clone(), self.now_ms + run_ms);
        runner.started.insert(id.clone(), self.now_ms);
    }

    /// Stops a run at a backend server.
    fn stop_run(&mut self, at: usize, id: &messages::RunId) {
        let runner = &mut self.runners[at];
        if runner.running.remove(id).is_none() {
            return;
        }
        let started_ms = runner.started.remove(id).unwrap_or(self.now_ms);
        runner.failing.remove(id);
        runner.end(id.clone(), messages::RunOutcome::Stopped);
        let held = self
            .arrivals
            .iter()
            .rev()
            .find(|arrival| arrival.job.id == id.job);
        let task_milli = held.map_or(0, |arrival| arrival.job.steps[0].need.cpu_milli);
        self.wasted_core_s += f64::from(task_milli) * (self.now_ms - started_ms) as f64 / 1e6;
    }

    fn draw_unanswered(&mut self) -> bool {
        self.rng
            .random_ratio(self.site.unanswered_in_thousand, 1_000)
    }

    /// Calls a backend server, which does not execute the calls that it leaves unanswered.
    pub(super) fn call_backend(&mut self, at: usize, actions: Vec<capacity::Action>) {
        for action in actions {
            let is_lost = self.draw_unanswered();
            let now_ms = self.now_ms;
            match action {
                capacity::Action::Start(call) => {
                    let answer = if is_lost {
                        (
                            now_ms + call.timeout_ms,
                            call.start.id,
                            ports::StartAnswer::Lost,
                        )
                    } else {
                        self.start_run(at, &call.start);
                        (now_ms + 1, call.start.id, ports::StartAnswer::Started)
                    };
                    self.runners[at].start_answers.push(answer);
                }
                capacity::Action::Stop(call) if !is_lost => {
                    self.stop_run(at, &call.id);
                    self.runners[at].stop_answers.push((now_ms + 1, call.id));
                }
                capacity::Action::Stop(_) => {}
            }
        }
    }

    pub(super) fn step_runner(&mut self, at: usize) {
        let now_ms = self.now_ms;
        self.runners[at].end_due(now_ms);
        let mut actions = self.runners[at].receive_answers(now_ms);
        if let Some(listing_answer) = self.runners[at].list_answer(now_ms) {
            let sent_at_ms = self.runners[at].list_call.sent_at_ms;
            actions.extend(
                self.runners[at]
                    .capacity
                    .listed(now_ms, sent_at_ms, listing_answer),
            );
            let is_lost = self.draw_unanswered();
            self.runners[at].send_list_call(now_ms, is_lost);
        }
        if now_ms.is_multiple_of(RUNNER_TICK_INTERVAL_MS) {
            actions.extend(self.runners[at].capacity.tick(now_ms));
        }
        self.call_backend(at, actions);
        for entry in 0..self.site.entries {
            let me = self.entries[entry].me;
            if let Some((report, number)) = self.runners[at].due_report(now_ms, me) {
                self.send(entry, at, network::Message::WatchAnswer(report, number));
            }
        }
    }
}
