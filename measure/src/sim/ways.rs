//! Ways of placing tasks, over a plain model of queues, slots and service times.
//!
//! Here the ways that the program does not have can be weighed: what stands in the
//! program is measured through its own modules, see [`crate::patterns::placement`].

use std::cmp;
use std::collections;

use rand::Rng as _;
use rand::SeedableRng as _;

use bulrushtiller::api;
use bulrushtiller::codes;

use crate::sim;
use crate::workload;

/// A way of placing tasks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Way {
    /// One queue before all slots, known everywhere at once: the bound of all ways.
    Shared,
    /// Two random runners are asked how many wait there; the task goes to the one
    /// with fewer.
    TwoChoices,
    /// Two reservations a task at random runners; a runner whose turn it is asks the
    /// entry for a task, its slot idle meanwhile.
    LateBinding,
    /// Each entry has its own part of the slots.
    LentSlots,
    /// A runner tells one entry after the other of a freed slot until one has work.
    Offers,
}

/// All ways, with their names.
pub const WAYS: &[(Way, &str)] = &[
    (Way::Shared, "model: one shared queue"),
    (Way::TwoChoices, "model: two random choices"),
    (Way::LateBinding, "model: probes, late binding"),
    (Way::LentSlots, "model: slots lent to entries"),
    (Way::Offers, "model: freed slots offered"),
];

/// A message that moved nothing forward is counted by these.
const PROBES_A_TASK: usize = 2;

#[derive(Clone, Copy, Debug)]
struct Task {
    job: usize,
    run_ms: u32,
    at_us: u64,
}

/// A slot comes free, or a task comes to its entry: whichever is first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Free { runner: usize, slot: usize },
    Come { task: usize },
}

struct Model<'a> {
    site: &'a sim::Site,
    tasks: Vec<Task>,
    entry_of: Vec<usize>,
    events: collections::BinaryHeap<cmp::Reverse<(u64, Event)>>,
    idle: Vec<Vec<usize>>,
    lines: Vec<collections::VecDeque<usize>>,
    pending: Vec<collections::VecDeque<usize>>,
    busy: Vec<usize>,
    rng: rand_chacha::ChaCha8Rng,
    last_us: Vec<u64>,
    outcome: sim::Outcome,
}

/// Runs a workload to its end.
pub fn run(site: &sim::Site, jobs: &[workload::Job], way: Way, seed: u64) -> sim::Outcome {
    let mut model = Model::new(site, jobs, seed);
    while let Some(cmp::Reverse((now_us, event))) = model.events.pop() {
        match event {
            Event::Come { task } => model.come(now_us, task, way),
            Event::Free { runner, slot } => {
                model.idle[runner].push(slot);
                model.busy[runner] -= 1;
                model.free(now_us, runner, way);
            }
        }
    }
    model.end(jobs)
}

impl<'a> Model<'a> {
    fn new(site: &'a sim::Site, jobs: &[workload::Job], seed: u64) -> Self {
        let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
        let mut tasks = Vec::new();
        let mut events = collections::BinaryHeap::new();
        let entry_of = jobs.iter().map(|_| rng.random_range(0..site.entries));
        let entry_of = entry_of.collect();
        for (job, one) in jobs.iter().enumerate() {
            for run_ms in &one.run_ms {
                let at_us = one.at_us + site.to_caller_us;
                events.push(cmp::Reverse((at_us, Event::Come { task: tasks.len() })));
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
            lines: vec![collections::VecDeque::new(); site.runners],
            pending: vec![collections::VecDeque::new(); jobs.len().max(site.entries)],
            busy: vec![0; site.runners],
            rng,
            last_us: vec![0; jobs.len()],
            outcome: sim::Outcome::default(),
        }
    }

    fn come(&mut self, now_us: u64, task: usize, way: Way) {
        let entry = self.entry_of[self.tasks[task].job];
        match way {
            Way::Shared | Way::Offers => self.come_shared(now_us, task, entry, way),
            Way::LentSlots => self.come_lent(now_us, task, entry),
            Way::TwoChoices => self.come_two(now_us, task),
            Way::LateBinding => self.come_late(now_us, task),
        }
    }

    fn come_shared(&mut self, now_us: u64, task: usize, entry: usize, way: Way) {
        let most = (0..self.site.runners).max_by_key(|runner| self.idle[*runner].len());
        match most.filter(|runner| !self.idle[*runner].is_empty()) {
            Some(runner) => self.start(now_us, runner, task, 0),
            None if way == Way::Shared => self.pending[0].push_back(task),
            None => self.pending[entry].push_back(task),
        }
    }

    fn come_lent(&mut self, now_us: u64, task: usize, entry: usize) {
        let entries = self.site.entries;
        let lent = |slot: &usize| slot % entries == entry;
        let free = |runner: &usize| self.idle[*runner].iter().filter(|slot| lent(slot)).count();
        let best = (0..self.site.runners).max_by_key(|runner| free(runner));
        let Some(runner) = best.filter(|runner| free(runner) > 0) else {
            self.pending[entry].push_back(task);
            return;
        };
        if let Some(at) = self.idle[runner].iter().position(lent) {
            let last = self.idle[runner].len() - 1;
            self.idle[runner].swap(at, last);
        }
        self.start(now_us, runner, task, 0);
    }

    fn come_two(&mut self, now_us: u64, task: usize) {
        let (a, b) = self.two();
        self.outcome.wasted += 1;
        let load = |runner: usize| self.busy[runner] + self.lines[runner].len();
        let runner = if load(a) <= load(b) { a } else { b };
        if self.idle[runner].is_empty() {
            self.lines[runner].push_back(task);
        } else {
            let ask_us = 2 * self.hop_us(runner, task);
            self.start(now_us, runner, task, ask_us);
        }
    }

    fn come_late(&mut self, now_us: u64, task: usize) {
        let job = self.tasks[task].job;
        self.pending[job].push_back(task);
        let (a, b) = self.two();
        for runner in [a, b].into_iter().take(PROBES_A_TASK) {
            self.lines[runner].push_back(task);
            self.free(now_us, runner, Way::LateBinding);
        }
    }

    fn two(&mut self) -> (usize, usize) {
        let a = self.rng.random_range(0..self.site.runners);
        let b = self.rng.random_range(0..self.site.runners - 1);
        (a, if b >= a { b + 1 } else { b })
    }

    fn hop_us(&self, runner: usize, task: usize) -> u64 {
        let entry = self.entry_of[self.tasks[task].job];
        self.site.latency_us(entry, runner)
    }

    /// A slot is free: the next task, by the way's own rule.
    fn free(&mut self, now_us: u64, runner: usize, way: Way) {
        if self.idle[runner].is_empty() {
            return;
        }
        match way {
            Way::Shared => {
                if let Some(task) = self.pending[0].pop_front() {
                    self.start(now_us, runner, task, 0);
                }
            }
            Way::TwoChoices => {
                if let Some(task) = self.lines[runner].pop_front() {
                    self.start(now_us, runner, task, 0);
                }
            }
            Way::LateBinding => self.free_late(now_us, runner),
            Way::LentSlots => self.free_lent(now_us, runner),
            Way::Offers => self.free_offer(now_us, runner),
        }
    }

    fn free_late(&mut self, now_us: u64, runner: usize) {
        while let Some(reserved) = self.lines[runner].pop_front() {
            let job = self.tasks[reserved].job;
            if let Some(task) = self.pending[job].pop_front() {
                let ask_us = 2 * self.hop_us(runner, task);
                self.start(now_us, runner, task, ask_us);
                return;
            }
            self.outcome.wasted += 1;
        }
    }

    fn free_lent(&mut self, now_us: u64, runner: usize) {
        let Some(slot) = self.idle[runner].last() else {
            return;
        };
        let entry = slot % self.site.entries;
        if let Some(task) = self.pending[entry].pop_front() {
            self.start(now_us, runner, task, 0);
        }
    }

    fn free_offer(&mut self, now_us: u64, runner: usize) {
        let first = self.rng.random_range(0..self.site.entries);
        let mut way_us = 0;
        for offset in 0..self.site.entries {
            let entry = (first + offset) % self.site.entries;
            way_us += 2 * self.site.latency_us(entry, runner);
            if let Some(task) = self.pending[entry].pop_front() {
                self.start(now_us, runner, task, way_us);
                return;
            }
            self.outcome.wasted += 1;
        }
    }

    fn start(&mut self, now_us: u64, runner: usize, task: usize, more_us: u64) {
        let Some(slot) = self.idle[runner].pop() else {
            return;
        };
        let Task { job, run_ms, at_us } = self.tasks[task];
        let hop_us = self.hop_us(runner, task);
        // Work that waited at its runner or was asked for has its way behind it.
        let way_us = if now_us == at_us { hop_us } else { 0 };
        let end_us = now_us + more_us + way_us + u64::from(run_ms) * 1_000;
        self.busy[runner] += 1;
        self.outcome.started += 1;
        self.outcome.work.push(sim::Work {
            job,
            runner,
            at_us: end_us,
            run_ms,
        });
        self.last_us[job] = self.last_us[job].max(end_us + hop_us);
        let event = Event::Free { runner, slot };
        self.events.push(cmp::Reverse((end_us, event)));
    }

    fn end(mut self, jobs: &[workload::Job]) -> sim::Outcome {
        for (job, last_us) in self.last_us.iter().enumerate() {
            self.outcome.received.push(sim::Received {
                job,
                at_us: last_us + self.site.to_caller_us,
                sent_us: jobs[job].at_us,
                code: codes::Code::Complete,
                fates: vec![api::TaskOutcome::Ran; jobs[job].run_ms.len()],
                retry_after_ms: None,
            });
        }
        self.outcome
    }
}
