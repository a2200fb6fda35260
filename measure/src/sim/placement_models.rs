//! Placement policies on a simplified model of queues, slots and service times.
//!
//! These are policies that the dispatcher does not implement. Those it does implement
//! are measured on its own modules, see [`crate::patterns::placement`].

use std::cmp;
use std::collections;

use rand::Rng as _;
use rand::SeedableRng as _;

use bulrushtiller::api;
use bulrushtiller::codes;

use crate::sim;
use crate::workload;

/// Placement policy.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Policy {
    /// One queue for all slots, visible everywhere without delay: the upper bound of
    /// all policies.
    Shared,
    /// Compares the queue lengths of two random runners and sends the task to the
    /// shorter.
    TwoChoices,
    /// Queues two reservations per task at random runners. A runner that reaches a
    /// reservation requests a task from the entry, and its slot idles meanwhile.
    LateBinding,
    /// Each entry owns a fixed part of the slots.
    PartitionedSlots,
    /// A runner offers a freed slot to one entry after the other until one has a task.
    SlotOffers,
}

/// All policies with their names.
pub const ALL: &[(Policy, &str)] = &[
    (Policy::Shared, "model: one shared queue"),
    (Policy::TwoChoices, "model: two random choices"),
    (Policy::LateBinding, "model: probes, late binding"),
    (Policy::PartitionedSlots, "model: slots lent to entries"),
    (Policy::SlotOffers, "model: freed slots offered"),
];

/// Number of runners probed per task. A reservation that finds no task left counts as a
/// wasted message.
const PROBES_PER_TASK: usize = 2;

#[derive(Clone, Copy, Debug)]
struct Task {
    job: usize,
    run_ms: u32,
    at_us: u64,
}

/// Model events, in order of processing at the same time: freed slots before arrivals.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    SlotFreed { runner: usize, slot: usize },
    Arrive { task: usize },
}

struct Model<'a> {
    site: &'a sim::Site,
    tasks: Vec<Task>,
    entry_of: Vec<usize>,
    events: collections::BinaryHeap<cmp::Reverse<(u64, Event)>>,
    idle: Vec<Vec<usize>>,
    queues: Vec<collections::VecDeque<usize>>,
    pending: Vec<collections::VecDeque<usize>>,
    busy: Vec<usize>,
    rng: rand_chacha::ChaCha8Rng,
    last_answer_us: Vec<u64>,
    outcome: sim::Outcome,
}

/// Runs a workload to its end.
pub fn run(site: &sim::Site, jobs: &[workload::Job], policy: Policy, seed: u64) -> sim::Outcome {
    let mut model = Model::new(site, jobs, seed);
    while let Some(cmp::Reverse((now_us, event))) = model.events.pop() {
        match event {
            Event::Arrive { task } => model.arrive(now_us, task, policy),
            Event::SlotFreed { runner, slot } => {
                model.idle[runner].push(slot);
                model.busy[runner] -= 1;
                model.serve_next(now_us, runner, policy);
            }
        }
    }
    model.finish(jobs)
}

impl<'a> Model<'a> {
    fn new(site: &'a sim::Site, jobs: &[workload::Job], seed: u64) -> Self {
        let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
        let mut tasks = Vec::new();
        let mut events = collections::BinaryHeap::new();
        let entry_of = jobs.iter().map(|_| rng.random_range(0..site.entries));
        let entry_of = entry_of.collect();
        for (job, spec) in jobs.iter().enumerate() {
            for run_ms in &spec.run_ms {
                let at_us = spec.at_us + site.to_caller_us;
                events.push(cmp::Reverse((at_us, Event::Arrive { task: tasks.len() })));
                tasks.push(Task {
                    job,
                    run_ms: *run_ms,
                    at_us,
                });
            }
        }
        let slots = 0..site.slots as usize;
        Self {
            site,
            tasks,
            entry_of,
            events,
            idle: vec![slots.collect(); site.runners],
            queues: vec![collections::VecDeque::new(); site.runners],
            pending: vec![collections::VecDeque::new(); jobs.len().max(site.entries)],
            busy: vec![0; site.runners],
            rng,
            last_answer_us: vec![0; jobs.len()],
            outcome: sim::Outcome::default(),
        }
    }

    fn arrive(&mut self, now_us: u64, task: usize, policy: Policy) {
        let entry = self.entry_of[self.tasks[task].job];
        match policy {
            Policy::Shared | Policy::SlotOffers => self.arrive_shared(now_us, task, entry, policy),
            Policy::PartitionedSlots => self.arrive_partitioned(now_us, task, entry),
            Policy::TwoChoices => self.arrive_two_choices(now_us, task),
            Policy::LateBinding => self.arrive_late_binding(now_us, task),
        }
    }

    fn arrive_shared(&mut self, now_us: u64, task: usize, entry: usize, policy: Policy) {
        let most_idle = (0..self.site.runners).max_by_key(|runner| self.idle[*runner].len());
        match most_idle.filter(|runner| !self.idle[*runner].is_empty()) {
            Some(runner) => self.start(now_us, runner, task, 0),
            None if policy == Policy::Shared => self.pending[0].push_back(task),
            None => self.pending[entry].push_back(task),
        }
    }

    fn arrive_partitioned(&mut self, now_us: u64, task: usize, entry: usize) {
        let entries = self.site.entries;
        let is_of_entry = |slot: &usize| slot % entries == entry;
        let free = |runner: &usize| {
            self.idle[*runner]
                .iter()
                .filter(|slot| is_of_entry(slot))
                .count()
        };
        let best = (0..self.site.runners).max_by_key(|runner| free(runner));
        let Some(runner) = best.filter(|runner| free(runner) > 0) else {
            self.pending[entry].push_back(task);
            return;
        };
        if let Some(at) = self.idle[runner].iter().position(is_of_entry) {
            let last = self.idle[runner].len() - 1;
            self.idle[runner].swap(at, last);
        }
        self.start(now_us, runner, task, 0);
    }

    fn arrive_two_choices(&mut self, now_us: u64, task: usize) {
        let (a, b) = self.two_random_runners();
        self.outcome.wasted += 1;
        let load = |runner: usize| self.busy[runner] + self.queues[runner].len();
        let runner = if load(a) <= load(b) { a } else { b };
        if self.idle[runner].is_empty() {
            self.queues[runner].push_back(task);
        } else {
            let round_trip_us = 2 * self.entry_latency_us(runner, task);
            self.start(now_us, runner, task, round_trip_us);
        }
    }

    fn arrive_late_binding(&mut self, now_us: u64, task: usize) {
        let job = self.tasks[task].job;
        self.pending[job].push_back(task);
        let (a, b) = self.two_random_runners();
        for runner in [a, b].into_iter().take(PROBES_PER_TASK) {
            self.queues[runner].push_back(task);
            self.serve_next(now_us, runner, Policy::LateBinding);
        }
    }

    fn two_random_runners(&mut self) -> (usize, usize) {
        let a = self.rng.random_range(0..self.site.runners);
        let b = self.rng.random_range(0..self.site.runners - 1);
        (a, if b >= a { b + 1 } else { b })
    }

    fn entry_latency_us(&self, runner: usize, task: usize) -> u64 {
        let entry = self.entry_of[self.tasks[task].job];
        self.site.latency_us(entry, runner)
    }

    /// Starts the next task on a freed slot, by the rule of the placement policy.
    fn serve_next(&mut self, now_us: u64, runner: usize, policy: Policy) {
        if self.idle[runner].is_empty() {
            return;
        }
        match policy {
            Policy::Shared => {
                if let Some(task) = self.pending[0].pop_front() {
                    self.start(now_us, runner, task, 0);
                }
            }
            Policy::TwoChoices => {
                if let Some(task) = self.queues[runner].pop_front() {
                    self.start(now_us, runner, task, 0);
                }
            }
            Policy::LateBinding => self.serve_late_binding(now_us, runner),
            Policy::PartitionedSlots => self.serve_partitioned(now_us, runner),
            Policy::SlotOffers => self.serve_by_offers(now_us, runner),
        }
    }

    fn serve_late_binding(&mut self, now_us: u64, runner: usize) {
        while let Some(reserved) = self.queues[runner].pop_front() {
            let job = self.tasks[reserved].job;
            if let Some(task) = self.pending[job].pop_front() {
                let round_trip_us = 2 * self.entry_latency_us(runner, task);
                self.start(now_us, runner, task, round_trip_us);
                return;
            }
            self.outcome.wasted += 1;
        }
    }

    fn serve_partitioned(&mut self, now_us: u64, runner: usize) {
        let Some(slot) = self.idle[runner].last() else {
            return;
        };
        let entry = slot % self.site.entries;
        if let Some(task) = self.pending[entry].pop_front() {
            self.start(now_us, runner, task, 0);
        }
    }

    fn serve_by_offers(&mut self, now_us: u64, runner: usize) {
        let first = self.rng.random_range(0..self.site.entries);
        let mut elapsed_us = 0;
        for offset in 0..self.site.entries {
            let entry = (first + offset) % self.site.entries;
            elapsed_us += 2 * self.site.latency_us(entry, runner);
            if let Some(task) = self.pending[entry].pop_front() {
                self.start(now_us, runner, task, elapsed_us);
                return;
            }
            self.outcome.wasted += 1;
        }
    }

    fn start(&mut self, now_us: u64, runner: usize, task: usize, delay_us: u64) {
        let Some(slot) = self.idle[runner].pop() else {
            return;
        };
        let Task { job, run_ms, at_us } = self.tasks[task];
        let one_way_us = self.entry_latency_us(runner, task);
        // A task that waited at its runner, or was requested by it, needs no further
        // transfer.
        let transfer_us = if now_us == at_us { one_way_us } else { 0 };
        let end_us = now_us + delay_us + transfer_us + u64::from(run_ms) * 1_000;
        self.busy[runner] += 1;
        self.outcome.started += 1;
        self.outcome.work.push(sim::Work {
            job,
            runner,
            at_us: end_us,
            run_ms,
        });
        self.last_answer_us[job] = self.last_answer_us[job].max(end_us + one_way_us);
        let event = Event::SlotFreed { runner, slot };
        self.events.push(cmp::Reverse((end_us, event)));
    }

    fn finish(mut self, jobs: &[workload::Job]) -> sim::Outcome {
        for (job, last_answer_us) in self.last_answer_us.iter().enumerate() {
            self.outcome.received.push(sim::Received {
                job,
                at_us: last_answer_us + self.site.to_caller_us,
                sent_us: jobs[job].at_us,
                code: codes::Code::Complete,
                outcomes: vec![api::TaskOutcome::Ran; jobs[job].run_ms.len()],
                retry_after_ms: None,
            });
        }
        self.outcome
    }
}
