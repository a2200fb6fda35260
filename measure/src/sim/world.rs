//! Runs a workload through entries and runners in a made-up clock.

use std::cmp;
use std::collections;
use std::sync;

use rand::Rng as _;
use rand::SeedableRng as _;
use smol_str::SmolStr;

use bulrushtiller::api;
use bulrushtiller::entry::calls;
use bulrushtiller::entry::core as entry;
use bulrushtiller::ids;
use bulrushtiller::jobs;
use bulrushtiller::runner::core as runner;
use bulrushtiller::settings;
use bulrushtiller::wire;

use crate::sim;
use crate::workload;

/// Where the clock begins, so that ages can be taken from the first moment on.
const START_US: u64 = 10_000_000_000;
/// How often each process looks at the time.
const TICK_US: u64 = 20_000;
/// How long after the last arrival a run may go on.
const TAIL_US: u64 = 120_000_000;
/// How long a settings change takes to be in force, at most: heartbeat and fetch.
const SETTINGS_US: u64 = 600_000;
/// Starts in a zone are late so long after it was taken out.
const ZONE_BOUND_US: u64 = 3_000_000;
/// Run time at a server that fails everything at once, milliseconds.
const FAIL_MS: u32 = 1;

#[derive(Debug)]
enum Event {
    Arrive(usize),
    Cancel(usize),
    Tick,
    Heartbeats,
    Fault(sim::Fault),
    ApplySettings {
        target: Target,
        settings: sync::Arc<settings::Settings>,
        revision: u64,
    },
    ToRunner {
        runner: usize,
        entry: usize,
        message: ToRunner,
    },
    ToEntry {
        entry: usize,
        message: ToEntry,
    },
    TaskEnd {
        runner: usize,
        attempt: ids::Attempt,
        run_ms: u32,
        is_failed: bool,
    },
}

#[derive(Clone, Copy, Debug)]
enum Target {
    Entry(usize),
    Runner(usize),
}

#[derive(Debug)]
enum ToRunner {
    Dispatch(wire::Dispatch),
    Fence(wire::Fence),
}

#[derive(Debug)]
enum ToEntry {
    Reply(wire::DispatchReply),
    Fenced(wire::Fence, wire::FenceReply),
    Heartbeat(wire::Heartbeat),
}

struct Timed {
    at_us: u64,
    number: u64,
    event: Event,
}

impl PartialEq for Timed {
    fn eq(&self, other: &Self) -> bool {
        (self.at_us, self.number) == (other.at_us, other.number)
    }
}

impl Eq for Timed {}

impl PartialOrd for Timed {
    fn partial_cmp(&self, other: &Self) -> Option<cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Timed {
    /// The earliest is the greatest, for the heap.
    fn cmp(&self, other: &Self) -> cmp::Ordering {
        (other.at_us, other.number).cmp(&(self.at_us, self.number))
    }
}

struct World<'a> {
    site: &'a sim::Site,
    jobs: &'a [workload::Job],
    settings: settings::Settings,
    revision: u64,
    now_us: u64,
    number: u64,
    events: collections::BinaryHeap<Timed>,
    entries: Vec<entry::Core>,
    runners: Vec<runner::Core>,
    speeds: Vec<f64>,
    fails_all: Vec<bool>,
    frozen: Vec<bool>,
    stuck: Vec<bool>,
    applied: Vec<u64>,
    out_since: collections::HashMap<SmolStr, u64>,
    submitted: collections::HashMap<(usize, jobs::Key), usize>,
    placed: Vec<Option<(usize, jobs::Key)>>,
    open: usize,
    starts: collections::HashSet<(SmolStr, u32)>,
    rng: rand_chacha::ChaCha8Rng,
    outcome: sim::Outcome,
}

/// Runs a workload to its end.
pub fn run(
    site: &sim::Site,
    settings: &settings::Settings,
    jobs: &[workload::Job],
    faults: &[sim::Fault],
    seed: u64,
) -> sim::Outcome {
    let mut world = World::new(site, settings, jobs, seed);
    world.schedule_all(faults);
    world.run();
    world.outcome.wasted = world
        .entries
        .iter()
        .map(|entry| entry.counts().wasted)
        .sum();
    world.outcome.ejections = world
        .entries
        .iter()
        .map(|entry| entry.health().ejections())
        .sum();
    world.outcome
}

fn peer(role: wire::Role, name: &str, index: usize, site: &sim::Site) -> wire::Peer {
    wire::Peer {
        role,
        name: smol_str::format_smolstr!("{name}-{index}"),
        incarnation: ids::Incarnation(1_000 + index as u64),
        zone: site.zone(index).clone(),
        rack: smol_str::format_smolstr!("rack-{}", index / 3),
        address: smol_str::format_smolstr!("{index}"),
    }
}

impl<'a> World<'a> {
    fn new(
        site: &'a sim::Site,
        settings: &settings::Settings,
        jobs: &'a [workload::Job],
        seed: u64,
    ) -> Self {
        let shared = sync::Arc::new(settings.clone());
        let start_ms = START_US / 1_000;
        let entry = |index: usize| {
            let me = peer(wire::Role::Entry, "entry", index, site);
            entry::Core::new(me, sync::Arc::clone(&shared), start_ms, seed + index as u64)
        };
        let runner = |index: usize| {
            let parts = runner::Parts {
                me: peer(wire::Role::Runner, "runner", index, site),
                slots: site.slots,
                size: wire::Resources {
                    cpu_milli: 16_000,
                    memory_mib: 32_768,
                    accelerators: 0,
                },
            };
            runner::Core::new(parts, sync::Arc::clone(&shared), start_ms)
        };
        Self {
            site,
            jobs,
            settings: settings.clone(),
            revision: 0,
            now_us: START_US,
            number: 0,
            events: collections::BinaryHeap::new(),
            entries: (0..site.entries).map(entry).collect(),
            runners: (0..site.runners).map(runner).collect(),
            speeds: vec![1.0; site.runners],
            fails_all: vec![false; site.runners],
            frozen: vec![false; site.runners],
            stuck: vec![false; site.runners],
            applied: vec![0; site.runners],
            out_since: collections::HashMap::new(),
            submitted: collections::HashMap::new(),
            placed: vec![None; jobs.len()],
            open: jobs.len(),
            starts: collections::HashSet::new(),
            rng: rand_chacha::ChaCha8Rng::seed_from_u64(seed),
            outcome: sim::Outcome::default(),
        }
    }

    fn schedule_all(&mut self, faults: &[sim::Fault]) {
        self.at(START_US, Event::Heartbeats);
        self.at(START_US + 1, Event::Tick);
        for (index, job) in self.jobs.iter().enumerate() {
            let arrives = START_US + job.at_us + self.site.to_caller_us;
            self.at(arrives, Event::Arrive(index));
            if let Some(cancel_us) = job.cancel_us {
                self.at(
                    START_US + cancel_us + self.site.to_caller_us,
                    Event::Cancel(index),
                );
            }
        }
        for fault in faults {
            self.at(
                START_US + fault.at_ms() * 1_000,
                Event::Fault(fault.clone()),
            );
        }
    }

    fn at(&mut self, at_us: u64, event: Event) {
        self.number += 1;
        self.events.push(Timed {
            at_us,
            number: self.number,
            event,
        });
    }

    const fn now_ms(&self) -> u64 {
        self.now_us / 1_000
    }

    fn run(&mut self) {
        let last = self.jobs.last().map_or(0, |job| job.at_us);
        let end_us = START_US + last + TAIL_US;
        while self.open > 0 {
            let Some(Timed { at_us, event, .. }) = self.events.pop() else {
                return;
            };
            if at_us > end_us {
                return;
            }
            self.now_us = at_us;
            self.happen(event);
        }
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Arrive(job) => self.arrive(job),
            Event::Cancel(job) => self.cancel(job),
            Event::Tick => self.tick(),
            Event::Heartbeats => self.heartbeats(),
            Event::Fault(fault) => self.fault(fault),
            Event::ApplySettings {
                target,
                settings,
                revision,
            } => {
                self.apply(target, settings, revision);
            }
            Event::ToRunner {
                runner,
                entry,
                message,
            } => self.at_runner(runner, entry, message),
            Event::ToEntry { entry, message } => self.at_entry(entry, message),
            Event::TaskEnd {
                runner,
                attempt,
                run_ms,
                is_failed,
            } => {
                self.task_end(runner, attempt, run_ms, is_failed);
            }
        }
    }

    /// The balancer sends each call to an entry at random.
    fn arrive(&mut self, index: usize) {
        let job = &self.jobs[index];
        let entry = self.rng.random_range(0..self.entries.len());
        let task = |(run_ms, declared_ms): (&u32, &u32)| api::Task {
            kind: job.kind.clone(),
            payload: format!("{index} {run_ms}"),
            run_ms: *declared_ms,
            ..api::Task::default()
        };
        let submission = api::Submission {
            submission: None,
            deadline_ms: job.deadline_ms,
            wait_ms: 0,
            idempotent: job.is_idempotent,
            tasks: job.run_ms.iter().zip(&job.declared_ms).map(task).collect(),
        };
        let now_ms = self.now_ms();
        let (reply, actions) = self.entries[entry].submit(now_ms, &job.team, submission);
        match reply {
            calls::Reply::Answer(answer) => self.receive(index, &answer),
            calls::Reply::Open(key) => {
                self.submitted.insert((entry, key), index);
                self.placed[index] = Some((entry, key));
            }
            calls::Reply::Forward { .. } | calls::Reply::Claiming(_) => {}
        }
        self.act(entry, actions);
    }

    fn cancel(&mut self, index: usize) {
        let Some((entry, key)) = self.placed[index] else {
            return;
        };
        let now_ms = self.now_ms();
        let Some(pending) = self.entries[entry].pending(now_ms, key) else {
            return;
        };
        let Some(id) = pending.submission else { return };
        let team = self.jobs[index].team.clone();
        let (_, actions) = self.entries[entry].cancel(now_ms, &team, &id);
        self.act(entry, actions);
    }

    fn receive(&mut self, job: usize, answer: &api::Answer) {
        self.open -= 1;
        self.outcome.received.push(sim::Received {
            job,
            at_us: self.now_us - START_US + self.site.to_caller_us,
            code: answer.code,
            fates: answer.tasks.iter().map(|task| task.fate).collect(),
            retry_after_ms: answer.retry_after_ms,
        });
    }

    fn act(&mut self, entry: usize, actions: Vec<entry::Action>) {
        for action in actions {
            match action {
                entry::Action::Dispatch { address, dispatch } => {
                    self.send(entry, &address, ToRunner::Dispatch(*dispatch));
                }
                entry::Action::Fence { address, fence } => {
                    self.send(entry, &address, ToRunner::Fence(fence));
                }
                entry::Action::Answer { submission, answer } => {
                    if let Some(job) = self.submitted.remove(&(entry, submission)) {
                        self.receive(job, &answer);
                    }
                }
                entry::Action::AppendClaims(_) | entry::Action::ClaimSettled(_) => {}
            }
        }
    }

    fn send(&mut self, entry: usize, address: &str, message: ToRunner) {
        let Ok(runner) = address.parse::<usize>() else {
            return;
        };
        let at_us = self.now_us + self.site.latency_us(entry, runner);
        self.at(
            at_us,
            Event::ToRunner {
                runner,
                entry,
                message,
            },
        );
    }

    fn at_runner(&mut self, index: usize, entry: usize, message: ToRunner) {
        if self.frozen[index] {
            return;
        }
        let now_ms = self.now_ms();
        match message {
            ToRunner::Dispatch(dispatch) => {
                let actions = self.runners[index].dispatch(now_ms, dispatch);
                self.runner_acts(index, actions);
            }
            ToRunner::Fence(fence) => {
                let (outcomes, actions) = self.runners[index].fence(now_ms, &fence);
                self.runner_acts(index, actions);
                let owner = self.entries[entry].me().incarnation;
                let reply = wire::FenceReply {
                    version: wire::VERSION,
                    incarnation: self.runners[index].me().incarnation,
                    outcomes,
                    load: self.runners[index].load_for(owner),
                };
                self.reply(index, entry, ToEntry::Fenced(fence, reply));
            }
        }
    }

    fn reply(&mut self, runner: usize, entry: usize, message: ToEntry) {
        let at_us = self.now_us + self.site.latency_us(entry, runner);
        self.at(at_us, Event::ToEntry { entry, message });
    }

    fn runner_acts(&mut self, index: usize, actions: Vec<runner::Action>) {
        for action in actions {
            match action {
                runner::Action::Start(dispatch) => self.start(index, &dispatch),
                runner::Action::Stop(attempt) => {
                    let event = Event::TaskEnd {
                        runner: index,
                        attempt,
                        run_ms: 0,
                        is_failed: true,
                    };
                    self.at(self.now_us + self.site.within_zone_us, event);
                }
                runner::Action::Answer(attempt, outcome) => self.answer(index, attempt, outcome),
            }
        }
    }

    fn start(&mut self, index: usize, dispatch: &wire::Dispatch) {
        self.outcome.started += 1;
        let is_first = self
            .starts
            .insert((dispatch.submission.clone(), dispatch.index));
        self.outcome.double_starts += u64::from(!is_first);
        let zone = &self.runners[index].me().zone;
        let is_late = |since: &u64| self.now_us > since + ZONE_BOUND_US;
        self.outcome.late_starts += u64::from(self.out_since.get(zone).is_some_and(is_late));
        let words: Vec<&str> = dispatch.payload.split(' ').collect();
        let run_ms: u32 = words.get(1).and_then(|word| word.parse().ok()).unwrap_or(1);
        if self.stuck[index] {
            return;
        }
        let is_failed = self.fails_all[index];
        let run_ms = if is_failed { FAIL_MS } else { run_ms };
        let real_us = micros(f64::from(run_ms) * self.speeds[index]);
        let event = Event::TaskEnd {
            runner: index,
            attempt: dispatch.attempt,
            run_ms,
            is_failed,
        };
        self.at(self.now_us + real_us, event);
    }

    fn answer(&mut self, index: usize, attempt: ids::Attempt, outcome: wire::Outcome) {
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
        self.reply(index, entry, ToEntry::Reply(reply));
    }

    fn at_entry(&mut self, entry: usize, message: ToEntry) {
        let now_ms = self.now_ms();
        let core = &mut self.entries[entry];
        let actions = match message {
            ToEntry::Reply(reply) => core.dispatch_answered(now_ms, reply),
            ToEntry::Fenced(fence, reply) => core.fence_answered(now_ms, &fence, reply),
            ToEntry::Heartbeat(heartbeat) => core.heartbeat(now_ms, &heartbeat).1,
        };
        self.act(entry, actions);
    }

    fn task_end(&mut self, index: usize, attempt: ids::Attempt, run_ms: u32, is_failed: bool) {
        if self.frozen[index] {
            return;
        }
        let now_ms = self.now_ms();
        let code = match (is_failed, run_ms) {
            (true, 0) => bulrushtiller::codes::Code::Cancelled,
            (true, _) => bulrushtiller::codes::Code::TaskFailed,
            (false, _) => bulrushtiller::codes::Code::Complete,
        };
        let before = self.runners[index].running();
        let peak = wire::Resources::default();
        let end = runner::End::Ended {
            code,
            output: String::new(),
            peak,
        };
        let actions = self.runners[index].ended(now_ms, attempt, end);
        if !is_failed && before > 0 {
            let at_us = self.now_us - START_US;
            self.outcome.work.push(sim::Work {
                job: 0,
                runner: index,
                at_us,
                run_ms,
            });
        }
        self.runner_acts(index, actions);
    }

    fn tick(&mut self) {
        let now_ms = self.now_ms();
        for entry in 0..self.entries.len() {
            let actions = self.entries[entry].tick(now_ms);
            self.act(entry, actions);
        }
        for index in 0..self.runners.len() {
            if self.frozen[index] {
                continue;
            }
            let actions = self.runners[index].tick(now_ms);
            self.runner_acts(index, actions);
        }
        self.at(self.now_us + TICK_US, Event::Tick);
    }

    fn heartbeats(&mut self) {
        let now_ms = self.now_ms();
        for index in 0..self.runners.len() {
            if self.frozen[index] {
                continue;
            }
            self.runners[index].freshness().hear_log(now_ms);
            for entry in 0..self.entries.len() {
                let owner = self.entries[entry].me().incarnation;
                let runner = &mut self.runners[index];
                let heartbeat = wire::Heartbeat {
                    version: wire::VERSION,
                    sender: runner.me().clone(),
                    leaving: false,
                    revision: Some(self.applied[index]),
                    evidence: wire::Evidence::default(),
                    load: Some(runner.load_for(owner)),
                };
                self.reply(index, entry, ToEntry::Heartbeat(heartbeat));
            }
        }
        let pause_us = u64::from(self.settings.timeouts.heartbeat_ms) * 1_000;
        self.at(self.now_us + pause_us, Event::Heartbeats);
    }

    fn fault(&mut self, fault: sim::Fault) {
        match fault {
            sim::Fault::Slow { runner, factor, .. } => self.speeds[runner] = factor,
            sim::Fault::FailsAll { runner, .. } => self.fails_all[runner] = true,
            sim::Fault::Frozen { runner, .. } => self.frozen[runner] = true,
            sim::Fault::Stuck { runner, .. } => self.stuck[runner] = true,
            sim::Fault::Well { runner, .. } => {
                self.speeds[runner] = 1.0;
                self.fails_all[runner] = false;
                self.stuck[runner] = false;
            }
            sim::Fault::ZoneOut { zone, .. } => {
                self.out_since.insert(zone.clone(), self.now_us);
                self.change_zone(zone, true);
            }
            sim::Fault::ZoneIn { zone, .. } => {
                self.out_since.remove(&zone);
                self.change_zone(zone, false);
            }
        }
    }

    /// Each process hears of the change at its own time.
    fn change_zone(&mut self, zone: SmolStr, out: bool) {
        self.settings.zones.insert(zone, settings::Zone { out });
        self.revision += 1;
        let settings = sync::Arc::new(self.settings.clone());
        let entries = (0..self.entries.len()).map(Target::Entry);
        let targets: Vec<_> = entries
            .chain((0..self.runners.len()).map(Target::Runner))
            .collect();
        for target in targets {
            let at_us = self.now_us + self.rng.random_range(0..SETTINGS_US);
            let settings = sync::Arc::clone(&settings);
            let revision = self.revision;
            self.at(
                at_us,
                Event::ApplySettings {
                    target,
                    settings,
                    revision,
                },
            );
        }
    }

    fn apply(&mut self, target: Target, settings: sync::Arc<settings::Settings>, revision: u64) {
        let now_ms = self.now_ms();
        match target {
            Target::Entry(entry) => {
                let actions = self.entries[entry].set_settings(now_ms, settings, Some(revision));
                self.act(entry, actions);
            }
            Target::Runner(index) => {
                self.applied[index] = revision;
                let actions = self.runners[index].set_settings(settings);
                self.runner_acts(index, actions);
            }
        }
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "run times are small and not negative"
)]
pub(crate) fn micros(ms: f64) -> u64 {
    (ms * 1_000.0).round() as u64
}
