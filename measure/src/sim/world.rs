//! Discrete-event simulation of a workload over real entry and runner state machines.

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
use crate::sim::entry_faults;
use crate::sim::events;
use crate::sim::workers;
use crate::workload;

/// Start of the simulated clock; above zero so that ages can be computed from the first
/// event on.
pub(super) const START_US: u64 = 10_000_000_000;
/// Time before the first arrival in which the processes exchange heartbeats.
const WARM_UP_US: u64 = 2_000_000;
/// Interval between ticks of each process.
const TICK_US: u64 = 20_000;
/// Maximum time that a run continues after the last arrival.
const MAX_TAIL_US: u64 = 120_000_000;

pub(super) struct World<'a> {
    pub(super) site: &'a sim::Site,
    pub(super) jobs: &'a [workload::Job],
    pub(super) settings: settings::Settings,
    pub(super) revision: u64,
    pub(super) now_us: u64,
    pub(super) sequence: u64,
    pub(super) events: collections::BinaryHeap<events::ScheduledEvent>,
    pub(super) entries: Vec<entry::Core>,
    pub(super) runners: Vec<runner::Core>,
    pub(super) entry_states: Vec<entry_faults::State>,
    pub(super) workers: Vec<workers::Worker>,
    pub(super) slowdowns: Vec<f64>,
    pub(super) fails_all: Vec<bool>,
    pub(super) suspended: Vec<bool>,
    pub(super) crashed: Vec<bool>,
    pub(super) stuck: Vec<bool>,
    pub(super) applied_revisions: Vec<u64>,
    pub(super) zone_out_since_us: collections::HashMap<SmolStr, u64>,
    pub(super) submitted: collections::HashMap<(usize, jobs::Key), usize>,
    pub(super) accepted_by: Vec<Option<(usize, jobs::Key)>>,
    /// Entry that holds the connection of each job's caller.
    pub(super) connected_to: Vec<Option<usize>>,
    pub(super) caller_states: Vec<callers::CallerState>,
    pub(super) unanswered_jobs: usize,
    /// One-way latency between each job's caller and the entry that owns the job.
    pub(super) caller_latency_us: Vec<u64>,
    pub(super) resubmissions: Vec<u32>,
    pub(super) sent_us: Vec<u64>,
    pub(super) has_started: Vec<bool>,
    pub(super) started_tasks: collections::HashSet<(SmolStr, u32)>,
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
        let start_ms = (START_US - WARM_UP_US) / 1_000;
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
            now_us: START_US - WARM_UP_US,
            sequence: 0,
            events: collections::BinaryHeap::new(),
            entries: (0..site.entries).map(entry).collect(),
            runners: (0..site.runners).map(runner).collect(),
            entry_states: vec![entry_faults::State::Up; site.entries],
            workers: (0..site.runners).map(|_| workers::Worker::new()).collect(),
            slowdowns: vec![1.0; site.runners],
            fails_all: vec![false; site.runners],
            suspended: vec![false; site.runners],
            crashed: vec![false; site.runners],
            stuck: vec![false; site.runners],
            applied_revisions: vec![0; site.runners],
            zone_out_since_us: collections::HashMap::new(),
            submitted: collections::HashMap::new(),
            accepted_by: vec![None; jobs.len()],
            connected_to: vec![None; jobs.len()],
            caller_states: vec![callers::CallerState::Waiting; jobs.len()],
            unanswered_jobs: jobs.len(),
            caller_latency_us: vec![site.to_caller_us; jobs.len()],
            resubmissions: jobs.iter().map(|job| job.resubmissions).collect(),
            sent_us: jobs.iter().map(|job| job.at_us).collect(),
            has_started: vec![false; jobs.len()],
            started_tasks: collections::HashSet::new(),
            rng: rand_chacha::ChaCha8Rng::seed_from_u64(seed),
            outcome: sim::Outcome::default(),
        }
    }

    fn schedule_all(&mut self, faults: &[sim::Fault]) {
        self.schedule(START_US - WARM_UP_US, events::Event::Heartbeats);
        self.schedule(START_US - WARM_UP_US + 1, events::Event::Tick);
        for (index, job) in self.jobs.iter().enumerate() {
            let arrives = START_US + job.at_us + self.site.to_caller_us;
            self.schedule(arrives, events::Event::Arrive(index));
            if let Some(cancel_us) = job.cancel_us {
                self.schedule(
                    START_US + cancel_us + self.site.to_caller_us,
                    events::Event::Cancel(index),
                );
            }
        }
        for fault in faults {
            self.schedule(
                START_US + fault.at_ms() * 1_000,
                events::Event::Fault(fault.clone()),
            );
        }
    }

    pub(super) fn schedule(&mut self, at_us: u64, event: events::Event) {
        self.sequence += 1;
        self.events.push(events::ScheduledEvent {
            at_us,
            sequence: self.sequence,
            event,
        });
    }

    pub(super) const fn now_ms(&self) -> u64 {
        self.now_us / 1_000
    }

    fn run(&mut self) {
        let last = self.jobs.last().map_or(0, |job| job.at_us);
        let end_us = START_US + last + MAX_TAIL_US;
        while self.unanswered_jobs > 0 {
            let Some(events::ScheduledEvent { at_us, event, .. }) = self.events.pop() else {
                return;
            };
            if at_us > end_us {
                return;
            }
            self.now_us = at_us;
            self.handle(event);
        }
    }

    fn handle(&mut self, event: events::Event) {
        match event {
            events::Event::Arrive(job) => self.arrive(job),
            events::Event::Submit(call) => self.submit(call),
            events::Event::Forwarded { from, call } => self.forwarded(from, call),
            events::Event::ForwardRefused { job, entry } => self.forward_refused(job, entry),
            events::Event::ForwardTimedOut(job) => self.forward_timed_out(job),
            events::Event::Resume(entry) => self.resume(entry),
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
            } => self.receive_at_runner(runner, entry, message),
            events::Event::ToEntry { entry, message } => self.receive_at_entry(entry, message),
            events::Event::TaskEnd { runner, end } => self.task_end(runner, &end),
            events::Event::Stopped { runner, attempt } => self.stopped(runner, attempt),
        }
    }

    pub(super) fn perform(&mut self, entry: usize, actions: Vec<entry::Action>) {
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
        self.schedule(
            at_us,
            events::Event::ToRunner {
                runner,
                entry,
                message,
            },
        );
    }

    fn receive_at_entry(&mut self, entry: usize, message: events::ToEntry) {
        let Some(message) = self.read_message(entry, message) else {
            return;
        };
        let now_ms = self.now_ms();
        let core = &mut self.entries[entry];
        let actions = match message {
            events::ToEntry::Reply(reply) => core.dispatch_answered(now_ms, reply),
            events::ToEntry::Failed(attempt, error) => core.dispatch_failed(now_ms, attempt, error),
            events::ToEntry::Fenced(fence, reply) => core.fence_answered(now_ms, &fence, reply),
            events::ToEntry::Heartbeat(heartbeat) => {
                let (reply, actions) = core.heartbeat(now_ms, &heartbeat);
                if let Some(to) = self.entry_at(&heartbeat.sender.address) {
                    self.send_to_entry(entry, to, events::ToEntry::HeartbeatReply(reply));
                }
                actions
            }
            events::ToEntry::HeartbeatReply(reply) => {
                core.heartbeat_answered(now_ms, now_ms, &reply);
                Vec::new()
            }
        };
        self.perform(entry, actions);
    }

    pub(super) fn entry_at(&self, address: &str) -> Option<usize> {
        let mut entries = self.entries.iter();
        entries.position(|candidate| candidate.me().address == address)
    }

    fn send_to_entry(&mut self, from: usize, to: usize, message: events::ToEntry) {
        let at_us = self.now_us + self.site.latency_us(from, to);
        let event = events::Event::ToEntry { entry: to, message };
        self.schedule(at_us, event);
    }

    fn tick(&mut self) {
        let now_ms = self.now_ms();
        for entry in 0..self.entries.len() {
            if !self.entry_states[entry].is_up() {
                continue;
            }
            let actions = self.entries[entry].tick(now_ms);
            self.perform(entry, actions);
        }
        for index in 0..self.runners.len() {
            if self.suspended[index] {
                continue;
            }
            let actions = self.runners[index].tick(now_ms);
            self.perform_runner_actions(index, actions);
        }
        self.schedule(self.now_us + TICK_US, events::Event::Tick);
    }

    fn heartbeats(&mut self) {
        let now_ms = self.now_ms();
        for index in 0..self.runners.len() {
            if self.suspended[index] {
                continue;
            }
            self.runners[index].freshness().record_log_read(now_ms);
            self.send_heartbeats(index);
        }
        self.entry_heartbeats(now_ms);
        let pause_us = u64::from(self.settings.timeouts.heartbeat_ms) * 1_000;
        self.schedule(self.now_us + pause_us, events::Event::Heartbeats);
    }

    /// Sends a runner's heartbeat to all entries.
    pub(super) fn send_heartbeats(&mut self, index: usize) {
        for entry in 0..self.entries.len() {
            let owner = self.entries[entry].me().incarnation;
            let runner = &mut self.runners[index];
            let heartbeat = wire::Heartbeat {
                revision: Some(self.applied_revisions[index]),
                load: Some(runner.load_for(owner)),
                ..wire::Heartbeat::new(runner.me().clone())
            };
            self.reply(index, entry, events::ToEntry::Heartbeat(heartbeat));
        }
    }

    fn entry_heartbeats(&mut self, now_ms: u64) {
        for sender in 0..self.entries.len() {
            if !self.entry_states[sender].is_up() {
                continue;
            }
            for entry in (0..self.entries.len()).filter(|entry| *entry != sender) {
                let to = Some(self.entries[entry].me().incarnation);
                let heartbeat = self.entries[sender].heartbeat_to_send(now_ms, to);
                self.send_to_entry(sender, entry, events::ToEntry::Heartbeat(heartbeat));
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
