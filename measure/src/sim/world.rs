//! Runs a workload through entries and runners in a made-up clock.

use std::collections;
use std::sync;

use rand::SeedableRng as _;
use smol_str::SmolStr;

use bulrushtiller::entry::core as entry;
use bulrushtiller::ids;
use bulrushtiller::jobs;
use bulrushtiller::runner::core as runner;
use bulrushtiller::settings;
use bulrushtiller::wire;

use crate::sim;
use crate::sim::callers;
use crate::sim::events;
use crate::sim::lives;
use crate::sim::workers;
use crate::workload;

/// Where the clock begins, so that ages can be taken from the first moment on.
pub(super) const START_US: u64 = 10_000_000_000;
/// How long the processes have been in touch before the first arrival.
const WARM_US: u64 = 2_000_000;
/// How often each process looks at the time.
const TICK_US: u64 = 20_000;
/// How long after the last arrival a run may go on.
const TAIL_US: u64 = 120_000_000;

pub(super) struct World<'a> {
    pub(super) site: &'a sim::Site,
    pub(super) jobs: &'a [workload::Job],
    pub(super) settings: settings::Settings,
    pub(super) revision: u64,
    pub(super) now_us: u64,
    pub(super) number: u64,
    pub(super) events: collections::BinaryHeap<events::Timed>,
    pub(super) entries: Vec<entry::Core>,
    pub(super) runners: Vec<runner::Core>,
    pub(super) lives: Vec<lives::Life>,
    pub(super) workers: Vec<workers::Worker>,
    pub(super) speeds: Vec<f64>,
    pub(super) fails_all: Vec<bool>,
    pub(super) frozen: Vec<bool>,
    pub(super) died: Vec<bool>,
    pub(super) stuck: Vec<bool>,
    pub(super) applied: Vec<u64>,
    pub(super) out_since: collections::HashMap<SmolStr, u64>,
    pub(super) submitted: collections::HashMap<(usize, jobs::Key), usize>,
    pub(super) placed: Vec<Option<(usize, jobs::Key)>>,
    /// The entry that holds the connection of each job's caller.
    pub(super) called: Vec<Option<usize>>,
    pub(super) heard: Vec<callers::Heard>,
    pub(super) open: usize,
    /// One way of each job between its caller and the entry that owns it.
    pub(super) ways_us: Vec<u64>,
    pub(super) returns: Vec<u32>,
    pub(super) sent_us: Vec<u64>,
    pub(super) has_started: Vec<bool>,
    pub(super) starts: collections::HashSet<(SmolStr, u32)>,
    pub(super) rng: rand_chacha::ChaCha8Rng,
    pub(super) outcome: sim::Outcome,
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
        address: match role {
            wire::Role::Entry => smol_str::format_smolstr!("{name}-{index}"),
            wire::Role::Runner => smol_str::format_smolstr!("{index}"),
        },
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
        let start_ms = (START_US - WARM_US) / 1_000;
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
                    memory_mib: workers::MEMORY_MIB,
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
            now_us: START_US - WARM_US,
            number: 0,
            events: collections::BinaryHeap::new(),
            entries: (0..site.entries).map(entry).collect(),
            runners: (0..site.runners).map(runner).collect(),
            lives: vec![lives::Life::Up; site.entries],
            workers: (0..site.runners).map(|_| workers::Worker::new()).collect(),
            speeds: vec![1.0; site.runners],
            fails_all: vec![false; site.runners],
            frozen: vec![false; site.runners],
            died: vec![false; site.runners],
            stuck: vec![false; site.runners],
            applied: vec![0; site.runners],
            out_since: collections::HashMap::new(),
            submitted: collections::HashMap::new(),
            placed: vec![None; jobs.len()],
            called: vec![None; jobs.len()],
            heard: vec![callers::Heard::Nothing; jobs.len()],
            open: jobs.len(),
            ways_us: vec![site.to_caller_us; jobs.len()],
            returns: jobs.iter().map(|job| job.returns).collect(),
            sent_us: jobs.iter().map(|job| job.at_us).collect(),
            has_started: vec![false; jobs.len()],
            starts: collections::HashSet::new(),
            rng: rand_chacha::ChaCha8Rng::seed_from_u64(seed),
            outcome: sim::Outcome::default(),
        }
    }

    fn schedule_all(&mut self, faults: &[sim::Fault]) {
        self.at(START_US - WARM_US, events::Event::Heartbeats);
        self.at(START_US - WARM_US + 1, events::Event::Tick);
        for (index, job) in self.jobs.iter().enumerate() {
            let arrives = START_US + job.at_us + self.site.to_caller_us;
            self.at(arrives, events::Event::Arrive(index));
            if let Some(cancel_us) = job.cancel_us {
                self.at(
                    START_US + cancel_us + self.site.to_caller_us,
                    events::Event::Cancel(index),
                );
            }
        }
        for fault in faults {
            self.at(
                START_US + fault.at_ms() * 1_000,
                events::Event::Fault(fault.clone()),
            );
        }
    }

    pub(super) fn at(&mut self, at_us: u64, event: events::Event) {
        self.number += 1;
        self.events.push(events::Timed {
            at_us,
            number: self.number,
            event,
        });
    }

    pub(super) const fn now_ms(&self) -> u64 {
        self.now_us / 1_000
    }

    fn run(&mut self) {
        let last = self.jobs.last().map_or(0, |job| job.at_us);
        let end_us = START_US + last + TAIL_US;
        while self.open > 0 {
            let Some(events::Timed { at_us, event, .. }) = self.events.pop() else {
                return;
            };
            if at_us > end_us {
                return;
            }
            self.now_us = at_us;
            self.happen(event);
        }
    }

    fn happen(&mut self, event: events::Event) {
        match event {
            events::Event::Arrive(job) => self.arrive(job),
            events::Event::Submit(call) => self.submit(call),
            events::Event::PassedOn { from, call } => self.passed_on(from, call),
            events::Event::Keep { job, entry } => self.keep(job, entry),
            events::Event::Silent(job) => self.silent(job),
            events::Event::Thaw(entry) => self.thaw(entry),
            events::Event::Cancel(job) => self.cancel(job),
            events::Event::Tick => self.tick(),
            events::Event::Heartbeats => self.heartbeats(),
            events::Event::Fault(fault) => self.fault(fault),
            events::Event::ApplySettings {
                target,
                settings,
                revision,
            } => {
                self.apply(target, settings, revision);
            }
            events::Event::ToRunner {
                runner,
                entry,
                message,
            } => self.at_runner(runner, entry, message),
            events::Event::ToEntry { entry, message } => self.at_entry(entry, message),
            events::Event::TaskEnd { runner, end } => self.task_end(runner, &end),
            events::Event::Stopped { runner, attempt } => self.stopped(runner, attempt),
        }
    }

    pub(super) fn act(&mut self, entry: usize, actions: Vec<entry::Action>) {
        for action in actions {
            match action {
                entry::Action::Dispatch { address, dispatch } => {
                    self.send(entry, &address, events::ToRunner::Dispatch(*dispatch));
                }
                entry::Action::Fence { address, fence } => {
                    self.send(entry, &address, events::ToRunner::Fence(fence));
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

    fn send(&mut self, entry: usize, address: &str, message: events::ToRunner) {
        let Ok(runner) = address.parse::<usize>() else {
            return;
        };
        let at_us = self.now_us + self.site.latency_us(entry, runner);
        self.at(
            at_us,
            events::Event::ToRunner {
                runner,
                entry,
                message,
            },
        );
    }

    fn at_entry(&mut self, entry: usize, message: events::ToEntry) {
        let Some(message) = self.read(entry, message) else {
            return;
        };
        let now_ms = self.now_ms();
        let core = &mut self.entries[entry];
        let actions = match message {
            events::ToEntry::Reply(reply) => core.dispatch_answered(now_ms, reply),
            events::ToEntry::Failed(attempt, fault) => core.dispatch_failed(now_ms, attempt, fault),
            events::ToEntry::Fenced(fence, reply) => core.fence_answered(now_ms, &fence, reply),
            events::ToEntry::Heartbeat(heartbeat) => {
                let (reply, actions) = core.heartbeat(now_ms, &heartbeat);
                if let Some(to) = self.entry_at(&heartbeat.sender.address) {
                    self.between(entry, to, events::ToEntry::HeartbeatReply(reply));
                }
                actions
            }
            events::ToEntry::HeartbeatReply(reply) => {
                core.heartbeat_answered(now_ms, now_ms, &reply);
                Vec::new()
            }
        };
        self.act(entry, actions);
    }

    pub(super) fn entry_at(&self, address: &str) -> Option<usize> {
        let mut entries = self.entries.iter();
        entries.position(|one| one.me().address == address)
    }

    fn between(&mut self, from: usize, to: usize, message: events::ToEntry) {
        let at_us = self.now_us + self.site.latency_us(from, to);
        let event = events::Event::ToEntry { entry: to, message };
        self.at(at_us, event);
    }

    fn tick(&mut self) {
        let now_ms = self.now_ms();
        for entry in 0..self.entries.len() {
            if !self.lives[entry].is_up() {
                continue;
            }
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
        self.at(self.now_us + TICK_US, events::Event::Tick);
    }

    fn heartbeats(&mut self) {
        let now_ms = self.now_ms();
        for index in 0..self.runners.len() {
            if self.frozen[index] {
                continue;
            }
            self.runners[index].freshness().record_log_read(now_ms);
            self.tell_entries(index);
        }
        self.entry_heartbeats(now_ms);
        let pause_us = u64::from(self.settings.timeouts.heartbeat_ms) * 1_000;
        self.at(self.now_us + pause_us, events::Event::Heartbeats);
    }

    /// A runner sends its heartbeat to all entries.
    pub(super) fn tell_entries(&mut self, index: usize) {
        for entry in 0..self.entries.len() {
            let owner = self.entries[entry].me().incarnation;
            let runner = &mut self.runners[index];
            let heartbeat = wire::Heartbeat {
                revision: Some(self.applied[index]),
                load: Some(runner.load_for(owner)),
                ..wire::Heartbeat::new(runner.me().clone())
            };
            self.reply(index, entry, events::ToEntry::Heartbeat(heartbeat));
        }
    }

    fn entry_heartbeats(&mut self, now_ms: u64) {
        for sender in 0..self.entries.len() {
            if !self.lives[sender].is_up() {
                continue;
            }
            for entry in (0..self.entries.len()).filter(|entry| *entry != sender) {
                let to = Some(self.entries[entry].me().incarnation);
                let heartbeat = self.entries[sender].heartbeat_to_send(now_ms, to);
                self.between(sender, entry, events::ToEntry::Heartbeat(heartbeat));
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
