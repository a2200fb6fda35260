//! Entries, runners and the faulty network between them.

use std::collections;
use std::sync;

use bulrushtiller::api;
use bulrushtiller::codes;
use bulrushtiller::entry;
use bulrushtiller::entry::attempts;
use bulrushtiller::ids;
use bulrushtiller::jobs;
use bulrushtiller::runner;
use bulrushtiller::settings;
use bulrushtiller::wire;
use rand::Rng as _;
use rand::SeedableRng as _;

use crate::dispatching::callers;

const STEP_MS: u64 = 20;
const HEARTBEAT_MS: u64 = 100;
const RUNNERS: usize = 2;
/// Time after which no more faults are injected.
const FAULTS_END_MS: u64 = 12_000;
/// End of the simulation; every submission has ended by then.
const END_MS: u64 = 40_000;

/// Fault rates of a schedule, in percent of messages unless noted.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    pub lost: u32,
    pub repeated: u32,
    pub delayed: u32,
    /// Rate at which each process is suspended, per thousand steps.
    pub suspended: u32,
    /// Rate at which each runner is replaced, and each entry if there are two, per thousand
    /// steps.
    pub replaced: u32,
}

pub enum Message {
    Dispatch(usize, Box<wire::Dispatch>),
    DispatchReply(Box<wire::DispatchReply>),
    DispatchFailed(ids::Attempt, attempts::DispatchError),
    Fence(usize, wire::Fence),
    FenceReply(wire::Fence, Box<wire::FenceReply>),
    TaskEnded(usize, ids::Incarnation, ids::Attempt, runner::core::End),
    /// A heartbeat from one entry to another.
    Heartbeat(usize, Box<wire::Heartbeat>),
    HeartbeatReply(ids::Incarnation, u64, Box<wire::HeartbeatReply>),
    Call(Box<callers::Forwarded>),
    /// The reply to the entry that forwarded a call, or `None` if the connection failed.
    CallReply(Box<callers::Forwarded>, Option<Box<api::Answer>>),
    /// The forwarding entry has waited for the time-out of the call.
    CallTimedOut(Box<callers::Forwarded>),
}

pub struct Entry {
    pub core: entry::core::Core,
    pub incarnation: ids::Incarnation,
    pub suspended_until_ms: u64,
}

struct Runner {
    core: runner::core::Core,
    incarnation: u64,
    suspended_until_ms: u64,
}

pub struct World {
    pub rng: rand_chacha::ChaCha8Rng,
    pub faults: Faults,
    pub now_ms: u64,
    settings: sync::Arc<settings::Settings>,
    pub entries: Vec<Entry>,
    last_incarnation: u64,
    runners: Vec<Runner>,
    pub messages: collections::BTreeMap<(u64, u64), Message>,
    sent: u64,
    /// The runner incarnation that each dispatch reached first.
    first_reached: collections::BTreeMap<ids::Attempt, u64>,
    /// Number of starts by caller number and task index.
    pub started: collections::BTreeMap<(usize, u32), usize>,
    pub callers: Vec<callers::Caller>,
    pub waiters: collections::HashMap<(ids::Incarnation, jobs::Key), Vec<usize>>,
    answered: collections::HashSet<(ids::Incarnation, jobs::Key)>,
    /// Forwarded calls that are not settled, by number.
    pub forwarded: collections::BTreeMap<u64, callers::Stage>,
    pub forward_count: u64,
}

fn settings(pass_on_below: f64) -> settings::Settings {
    let mut settings = settings::Settings {
        timeouts: settings::Timeouts {
            heartbeat_ms: 100,
            dead_after_ms: 1_000,
            park_ms: 200,
            run_limit_ms: 800,
            query_after_ms: 100,
            retain_ms: 2_100,
            ..settings::Timeouts::default()
        },
        policy: settings::Policy {
            pass_on_below,
            ..settings::Policy::default()
        },
        ..settings::Settings::default()
    };
    settings
        .teams
        .insert(callers::TEAM, settings::Team::default());
    settings
}

fn peer(role: wire::Role, name: &str, incarnation: u64) -> wire::Peer {
    wire::Peer {
        role,
        name: name.into(),
        incarnation: ids::Incarnation(incarnation),
        zone: "caxias".into(),
        rack: name.into(),
        address: name.into(),
    }
}

fn runner_core(
    at: usize,
    runner_incarnation: u64,
    now_ms: u64,
    settings: &sync::Arc<settings::Settings>,
) -> runner::core::Core {
    let parts = runner::core::Parts {
        me: peer(wire::Role::Runner, &at.to_string(), runner_incarnation),
        slots: 3,
        size: wire::Resources::default(),
    };
    runner::core::Core::new(parts, sync::Arc::clone(settings), now_ms)
}

impl World {
    /// Creates a simulation with a single entry.
    pub fn new(seed: u64, faults: Faults) -> Self {
        Self::with_entries(1, seed, faults)
    }

    /// Creates a simulation with several entries that pass all submissions on to the leader.
    pub fn with_entries(entries: usize, seed: u64, faults: Faults) -> Self {
        let settings = sync::Arc::new(settings(1.0));
        let runner = |at| Runner {
            core: runner_core(at, 1, 0, &settings),
            incarnation: 1,
            suspended_until_ms: 0,
        };
        let mut world = Self {
            rng: rand_chacha::ChaCha8Rng::seed_from_u64(seed),
            faults,
            now_ms: 0,
            entries: Vec::new(),
            last_incarnation: 0,
            runners: (0..RUNNERS).map(runner).collect(),
            settings,
            messages: collections::BTreeMap::new(),
            sent: 0,
            first_reached: collections::BTreeMap::new(),
            started: collections::BTreeMap::new(),
            callers: Vec::new(),
            waiters: collections::HashMap::new(),
            answered: collections::HashSet::new(),
            forwarded: collections::BTreeMap::new(),
            forward_count: 0,
        };
        for at in 0..entries {
            let entry = world.next_incarnation(at, seed);
            world.entries.push(entry);
        }
        world
    }

    fn next_incarnation(&mut self, at: usize, seed: u64) -> Entry {
        self.last_incarnation += 1;
        let settings = sync::Arc::clone(&self.settings);
        let me = peer(
            wire::Role::Entry,
            &format!("entry-{at}"),
            self.last_incarnation,
        );
        Entry {
            incarnation: me.incarnation,
            core: entry::core::Core::new(me, settings, self.now_ms, seed),
            suspended_until_ms: 0,
        }
    }

    /// Returns the index of an entry incarnation if it still runs.
    pub fn entry_of(&self, entry_incarnation: ids::Incarnation) -> Option<usize> {
        let mut entries = self.entries.iter();
        entries.position(|entry| entry.incarnation == entry_incarnation)
    }

    pub fn is_running(&self, entry: usize) -> bool {
        self.entries[entry].suspended_until_ms <= self.now_ms
    }

    pub fn has_faults(&self) -> bool {
        self.now_ms < FAULTS_END_MS
    }

    pub fn happens(&mut self, percent: u32) -> bool {
        self.has_faults() && self.rng.random_range(0..100) < percent
    }

    fn happens_permille(&mut self, permille: u32) -> bool {
        self.has_faults() && self.rng.random_range(0..1_000) < permille
    }

    fn delay_ms(&mut self) -> u64 {
        if self.happens(self.faults.delayed) {
            return self.rng.random_range(50..6_000);
        }
        self.rng.random_range(1..5)
    }

    pub fn post(&mut self, after_ms: u64, message: Message) {
        self.sent += 1;
        self.messages
            .insert((self.now_ms + after_ms, self.sent), message);
    }

    pub fn send(&mut self, message: Message) {
        let after_ms = self.delay_ms();
        self.post(after_ms, message);
    }

    pub fn act_for_entry(&mut self, entry: usize, actions: Vec<entry::core::Action>) {
        let entry_incarnation = self.entries[entry].incarnation;
        for action in actions {
            match action {
                entry::core::Action::Dispatch { address, dispatch } => {
                    self.send_dispatch(
                        address.parse().expect("address is a runner index"),
                        *dispatch,
                    );
                }
                entry::core::Action::Fence { address, fence } => {
                    self.send_fence(address.parse().expect("address is a runner index"), fence);
                }
                entry::core::Action::Answer { submission, answer } => {
                    let is_first = self.answered.insert((entry_incarnation, submission));
                    assert!(is_first, "submission answered twice");
                    let waiters = self.waiters.remove(&(entry_incarnation, submission));
                    for caller in waiters.unwrap_or_default() {
                        self.receive_answer(caller, (*answer).clone());
                    }
                }
                _ => {}
            }
        }
    }

    fn send_fence(&mut self, runner: usize, fence: wire::Fence) {
        if !self.happens(self.faults.lost) {
            self.send(Message::Fence(runner, fence));
        }
    }

    /// Sends a dispatch; it or its reply may be lost, and it may be delivered twice.
    fn send_dispatch(&mut self, runner: usize, dispatch: wire::Dispatch) {
        let attempt = dispatch.attempt;
        if self.happens(self.faults.lost) {
            let failure = Message::DispatchFailed(attempt, attempts::DispatchError::NotSent);
            self.send(failure);
            return;
        }
        if self.happens(self.faults.lost) {
            let after_ms = self.rng.random_range(1..3_000);
            let failure = Message::DispatchFailed(attempt, attempts::DispatchError::Lost);
            self.post(after_ms, failure);
        }
        if self.happens(self.faults.repeated) {
            self.send(Message::Dispatch(runner, Box::new(dispatch.clone())));
        }
        if !self.happens(self.faults.lost) {
            self.send(Message::Dispatch(runner, Box::new(dispatch)));
        }
    }

    fn act_for_runner(&mut self, at: usize, actions: Vec<runner::core::Action>) {
        for action in actions {
            match action {
                runner::core::Action::Start(dispatch) => self.start(at, &dispatch),
                runner::core::Action::Stop(_) | runner::core::Action::SendHeartbeats => {}
                runner::core::Action::Answer(attempt, outcome) => {
                    let load = self.runners[at].core.load_for(attempt.owner);
                    let reply = wire::DispatchReply {
                        version: wire::VERSION,
                        attempt,
                        outcome,
                        load,
                    };
                    let copies = 1 + usize::from(self.happens(self.faults.repeated));
                    for _ in 0..copies {
                        if !self.happens(self.faults.lost) {
                            self.send(Message::DispatchReply(Box::new(reply.clone())));
                        }
                    }
                }
            }
        }
    }

    fn start(&mut self, at: usize, dispatch: &wire::Dispatch) {
        let runner_incarnation = ids::Incarnation(self.runners[at].incarnation);
        let attempt = dispatch.attempt;
        if self.happens(self.faults.lost) {
            let end = runner::core::End::Unreachable;
            self.post(5, Message::TaskEnded(at, runner_incarnation, attempt, end));
            return;
        }
        let caller = dispatch
            .payload
            .parse()
            .expect("payload is a caller number");
        let key = (caller, dispatch.index);
        *self.started.entry(key).or_insert(0) += 1;
        let code = match self.rng.random_range(0..40) {
            0 => codes::Code::TaskFailed,
            1 => codes::Code::BackendLost,
            _ => codes::Code::Complete,
        };
        let end = runner::core::End::Ended {
            code,
            output: String::new(),
            peak: wire::Resources::default(),
        };
        let run_ms = self.rng.random_range(10..400);
        self.post(
            run_ms,
            Message::TaskEnded(at, runner_incarnation, attempt, end),
        );
    }

    fn deliver(&mut self, message: Message) {
        let now_ms = self.now_ms;
        match message {
            Message::Dispatch(at, dispatch) => {
                let runner_incarnation = self.runners[at].incarnation;
                if *self
                    .first_reached
                    .entry(dispatch.attempt)
                    .or_insert(runner_incarnation)
                    == runner_incarnation
                {
                    let actions = self.runners[at].core.dispatch(now_ms, *dispatch);
                    self.act_for_runner(at, actions);
                }
            }
            Message::Fence(at, fence) => {
                let runner = &mut self.runners[at];
                let (outcomes, actions) = runner.core.fence(now_ms, &fence);
                let requester = fence.attempts[0].owner;
                let reply = wire::FenceReply {
                    version: wire::VERSION,
                    incarnation: ids::Incarnation(runner.incarnation),
                    outcomes,
                    load: runner.core.load_for(requester),
                };
                self.act_for_runner(at, actions);
                if !self.happens(self.faults.lost) {
                    self.send(Message::FenceReply(fence, Box::new(reply)));
                }
            }
            Message::TaskEnded(at, runner_incarnation, attempt, end) => {
                if self.runners[at].incarnation == runner_incarnation.0 {
                    let actions = self.runners[at].core.ended(now_ms, attempt, end);
                    self.act_for_runner(at, actions);
                }
            }
            Message::DispatchReply(reply) => self.with_entry(reply.attempt.owner, |entry| {
                entry.core.dispatch_answered(now_ms, *reply)
            }),
            Message::DispatchFailed(attempt, failure) => self.with_entry(attempt.owner, |entry| {
                entry.core.dispatch_failed(now_ms, attempt, failure)
            }),
            Message::FenceReply(fence, reply) => {
                self.with_entry(fence.attempts[0].owner, |entry| {
                    entry.core.fence_answered(now_ms, &fence, *reply)
                });
            }
            Message::Heartbeat(at, heartbeat) => self.receive_heartbeat(at, &heartbeat),
            Message::HeartbeatReply(dest, sent_ms, reply) => self.with_entry(dest, |entry| {
                entry.core.heartbeat_answered(now_ms, sent_ms, &reply);
                Vec::new()
            }),
            Message::Call(forwarded) => self.call_arrives(&forwarded),
            Message::CallReply(forwarded, answer) => self.call_answered(&forwarded, answer),
            Message::CallTimedOut(forwarded) => self.call_timed_out(*forwarded),
        }
    }

    /// Runs `handle` on an entry incarnation, unless it has been replaced.
    fn with_entry(
        &mut self,
        entry_incarnation: ids::Incarnation,
        handle: impl FnOnce(&mut Entry) -> Vec<entry::core::Action>,
    ) {
        if let Some(at) = self.entry_of(entry_incarnation) {
            let actions = handle(&mut self.entries[at]);
            self.act_for_entry(at, actions);
        }
    }

    fn receive_heartbeat(&mut self, at: usize, heartbeat: &wire::Heartbeat) {
        let (reply, actions) = self.entries[at].core.heartbeat(self.now_ms, heartbeat);
        self.act_for_entry(at, actions);
        if heartbeat.sender.role == wire::Role::Entry && !self.happens(self.faults.lost) {
            // The age of evidence is not tested here, so the heartbeat counts as just sent.
            let to = heartbeat.sender.incarnation;
            self.send(Message::HeartbeatReply(to, self.now_ms, Box::new(reply)));
        }
    }

    fn send_heartbeats(&mut self, from: usize) {
        for to in (0..self.entries.len()).filter(|to| *to != from) {
            let entry_incarnation = self.entries[to].incarnation;
            let core = &mut self.entries[from].core;
            let heartbeat = Box::new(core.heartbeat_to_send(self.now_ms, Some(entry_incarnation)));
            if !self.happens(self.faults.lost) {
                self.send(Message::Heartbeat(to, heartbeat));
            }
        }
    }

    /// Returns when the receiver of a message runs; a suspended one gets it on resuming.
    fn running_at_ms(&self, message: &Message) -> u64 {
        match message {
            Message::Dispatch(at, _) | Message::Fence(at, _) | Message::TaskEnded(at, ..) => {
                self.runners[*at].suspended_until_ms
            }
            Message::DispatchReply(reply) => self.entry_running_at_ms(reply.attempt.owner),
            Message::DispatchFailed(attempt, _) => self.entry_running_at_ms(attempt.owner),
            Message::FenceReply(fence, _) => self.entry_running_at_ms(fence.attempts[0].owner),
            Message::Heartbeat(at, _) => self.entries[*at].suspended_until_ms,
            Message::HeartbeatReply(dest, ..) => self.entry_running_at_ms(*dest),
            Message::Call(forwarded) => self.entries[forwarded.to_entry].suspended_until_ms,
            Message::CallReply(forwarded, _) | Message::CallTimedOut(forwarded) => {
                self.entry_running_at_ms(forwarded.from)
            }
        }
    }

    fn entry_running_at_ms(&self, entry_incarnation: ids::Incarnation) -> u64 {
        let entry = self.entry_of(entry_incarnation);
        entry.map_or(0, |at| self.entries[at].suspended_until_ms)
    }

    fn step(&mut self) {
        self.now_ms += STEP_MS;
        let later = self.messages.split_off(&(self.now_ms, 0));
        let due = std::mem::replace(&mut self.messages, later);
        for ((_, order), message) in due {
            let resume_ms = self.running_at_ms(&message);
            if resume_ms > self.now_ms {
                self.messages.insert((resume_ms, order), message);
            } else {
                self.deliver(message);
            }
        }
        self.inject_faults();
        for at in 0..RUNNERS {
            self.tick_runner(at);
        }
        for at in 0..self.entries.len() {
            self.tick_entry(at);
        }
    }

    fn tick_entry(&mut self, at: usize) {
        if !self.is_running(at) {
            return;
        }
        let actions = self.entries[at].core.tick(self.now_ms);
        self.act_for_entry(at, actions);
        if self.now_ms.is_multiple_of(HEARTBEAT_MS) {
            self.send_heartbeats(at);
        }
    }

    fn inject_faults(&mut self) {
        for at in 0..self.entries.len() {
            if self.happens_permille(self.faults.suspended) {
                let until_ms = self.now_ms + self.rng.random_range(100..8_000);
                self.entries[at].suspended_until_ms = until_ms;
            }
            if self.entries.len() > 1 && self.happens_permille(self.faults.replaced) {
                self.entries[at] = self.next_incarnation(at, self.now_ms);
            }
        }
        for at in 0..RUNNERS {
            if self.happens_permille(self.faults.suspended) {
                let until_ms = self.now_ms + self.rng.random_range(100..4_000);
                self.runners[at].suspended_until_ms = until_ms;
            }
            if self.happens_permille(self.faults.replaced) {
                let runner_incarnation = self.runners[at].incarnation + 1;
                let core = runner_core(at, runner_incarnation, self.now_ms, &self.settings);
                self.runners[at].core = core;
                self.runners[at].incarnation = runner_incarnation;
            }
        }
    }

    pub fn tick_runner(&mut self, at: usize) {
        let now_ms = self.now_ms;
        if self.runners[at].suspended_until_ms > now_ms {
            return;
        }
        let core = &mut self.runners[at].core;
        core.freshness().record_log_read(now_ms);
        let actions = core.tick(now_ms);
        self.act_for_runner(at, actions);
        for entry in 0..self.entries.len() {
            let is_delivered =
                now_ms.is_multiple_of(HEARTBEAT_MS) && !self.happens(self.faults.lost);
            if is_delivered && self.is_running(entry) {
                let core = &mut self.runners[at].core;
                let heartbeat = wire::Heartbeat {
                    load: Some(core.load_for(self.entries[entry].incarnation)),
                    ..wire::Heartbeat::new(core.me().clone())
                };
                self.receive_heartbeat(entry, &heartbeat);
            }
        }
    }

    pub fn run(mut self) -> Self {
        while self.now_ms < END_MS {
            self.step();
            self.repeat_calls();
            if self.has_faults() && self.rng.random_range(0..8) == 0 {
                self.submit();
            }
        }
        self
    }
}
