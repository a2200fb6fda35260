//! Entries and their runners with a network between them that can do anything.

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
/// Length of the troubled part, after which the network and all processes are well.
const TROUBLE_MS: u64 = 12_000;
/// Everything is over by then.
const END_MS: u64 = 40_000;

/// How bad a schedule is, in percent of messages or steps.
#[derive(Clone, Copy, Debug)]
pub struct Trouble {
    pub lost: u32,
    pub repeated: u32,
    pub late: u32,
    /// Per thousand steps, each: a process is frozen, a runner is replaced, or an entry
    /// where there are two.
    pub frozen: u32,
    pub replaced: u32,
}

pub enum Message {
    Dispatch(usize, Box<wire::Dispatch>),
    DispatchReply(Box<wire::DispatchReply>),
    DispatchFailed(ids::Attempt, attempts::DispatchError),
    Fence(usize, wire::Fence),
    FenceReply(wire::Fence, Box<wire::FenceReply>),
    TaskEnded(usize, ids::Incarnation, ids::Attempt, runner::core::End),
    /// From one entry to another.
    Heartbeat(usize, Box<wire::Heartbeat>),
    HeartbeatReply(ids::Incarnation, u64, Box<wire::HeartbeatReply>),
    Call(Box<callers::Passed>),
    /// To the life of the entry that passed a call on; none: it was not connected to.
    CallReply(Box<callers::Passed>, Option<Box<api::Answer>>),
    /// That life has waited for long enough.
    CallSilent(Box<callers::Passed>),
}

pub struct Entry {
    pub core: entry::core::Core,
    pub incarnation: ids::Incarnation,
    pub frozen_until_ms: u64,
}

struct Runner {
    core: runner::core::Core,
    incarnation: u64,
    frozen_until_ms: u64,
}

pub struct World {
    pub rng: rand_chacha::ChaCha8Rng,
    pub trouble: Trouble,
    pub now_ms: u64,
    settings: sync::Arc<settings::Settings>,
    pub entries: Vec<Entry>,
    lives: u64,
    runners: Vec<Runner>,
    pub messages: collections::BTreeMap<(u64, u64), Message>,
    sent: u64,
    /// The life that a dispatch reached first.
    reached: collections::BTreeMap<ids::Attempt, u64>,
    /// By the caller's number and the task's.
    pub started: collections::BTreeMap<(usize, u32), usize>,
    pub callers: Vec<callers::Caller>,
    pub waiters: collections::HashMap<(ids::Incarnation, jobs::Key), Vec<usize>>,
    answered: collections::HashSet<(ids::Incarnation, jobs::Key)>,
    /// Calls passed on by an entry that are not settled.
    pub passed: collections::BTreeMap<u64, callers::Stage>,
    pub passed_on: u64,
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
    life: u64,
    now_ms: u64,
    settings: &sync::Arc<settings::Settings>,
) -> runner::core::Core {
    let parts = runner::core::Parts {
        me: peer(wire::Role::Runner, &at.to_string(), life),
        slots: 3,
        size: wire::Resources::default(),
    };
    runner::core::Core::new(parts, sync::Arc::clone(settings), now_ms)
}

impl World {
    /// One entry by itself.
    pub fn new(seed: u64, trouble: Trouble) -> Self {
        Self::with_entries(1, seed, trouble)
    }

    /// So many entries, all of which pass everything on to the one that leads.
    pub fn with_entries(entries: usize, seed: u64, trouble: Trouble) -> Self {
        let settings = sync::Arc::new(settings(1.0));
        let runner = |at| Runner {
            core: runner_core(at, 1, 0, &settings),
            incarnation: 1,
            frozen_until_ms: 0,
        };
        let mut world = Self {
            rng: rand_chacha::ChaCha8Rng::seed_from_u64(seed),
            trouble,
            now_ms: 0,
            entries: Vec::new(),
            lives: 0,
            runners: (0..RUNNERS).map(runner).collect(),
            settings,
            messages: collections::BTreeMap::new(),
            sent: 0,
            reached: collections::BTreeMap::new(),
            started: collections::BTreeMap::new(),
            callers: Vec::new(),
            waiters: collections::HashMap::new(),
            answered: collections::HashSet::new(),
            passed: collections::BTreeMap::new(),
            passed_on: 0,
        };
        for at in 0..entries {
            let entry = world.next_life(at, seed);
            world.entries.push(entry);
        }
        world
    }

    fn next_life(&mut self, at: usize, seed: u64) -> Entry {
        self.lives += 1;
        let settings = sync::Arc::clone(&self.settings);
        let me = peer(wire::Role::Entry, &format!("entry-{at}"), self.lives);
        Entry {
            incarnation: me.incarnation,
            core: entry::core::Core::new(me, settings, self.now_ms, seed),
            frozen_until_ms: 0,
        }
    }

    /// Where a life of an entry is to be found, if it still lives.
    pub fn entry_of(&self, life: ids::Incarnation) -> Option<usize> {
        let mut entries = self.entries.iter();
        entries.position(|entry| entry.incarnation == life)
    }

    pub fn is_awake(&self, entry: usize) -> bool {
        self.entries[entry].frozen_until_ms <= self.now_ms
    }

    pub fn is_troubled(&self) -> bool {
        self.now_ms < TROUBLE_MS
    }

    pub fn happens(&mut self, percent: u32) -> bool {
        self.is_troubled() && self.rng.random_range(0..100) < percent
    }

    fn happens_in_thousand(&mut self, times: u32) -> bool {
        self.is_troubled() && self.rng.random_range(0..1_000) < times
    }

    fn delay_ms(&mut self) -> u64 {
        if self.happens(self.trouble.late) {
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
        let life = self.entries[entry].incarnation;
        for action in actions {
            match action {
                entry::core::Action::Dispatch { address, dispatch } => {
                    self.send_dispatch(address.parse().expect("an index"), *dispatch);
                }
                entry::core::Action::Fence { address, fence } => {
                    self.send_fence(address.parse().expect("an index"), fence);
                }
                entry::core::Action::Answer { submission, answer } => {
                    let is_first = self.answered.insert((life, submission));
                    assert!(is_first, "two last words");
                    let waiters = self.waiters.remove(&(life, submission));
                    for caller in waiters.unwrap_or_default() {
                        self.told(caller, (*answer).clone());
                    }
                }
                _ => {}
            }
        }
    }

    fn send_fence(&mut self, runner: usize, fence: wire::Fence) {
        if !self.happens(self.trouble.lost) {
            self.send(Message::Fence(runner, fence));
        }
    }

    /// A dispatch is lost on its way, or its answer is, or both come, or come twice.
    fn send_dispatch(&mut self, runner: usize, dispatch: wire::Dispatch) {
        let attempt = dispatch.attempt;
        if self.happens(self.trouble.lost) {
            let fault = Message::DispatchFailed(attempt, attempts::DispatchError::NotSent);
            self.send(fault);
            return;
        }
        if self.happens(self.trouble.lost) {
            let after_ms = self.rng.random_range(1..3_000);
            let fault = Message::DispatchFailed(attempt, attempts::DispatchError::Lost);
            self.post(after_ms, fault);
        }
        if self.happens(self.trouble.repeated) {
            self.send(Message::Dispatch(runner, Box::new(dispatch.clone())));
        }
        if !self.happens(self.trouble.lost) {
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
                    let copies = 1 + usize::from(self.happens(self.trouble.repeated));
                    for _ in 0..copies {
                        if !self.happens(self.trouble.lost) {
                            self.send(Message::DispatchReply(Box::new(reply.clone())));
                        }
                    }
                }
            }
        }
    }

    fn start(&mut self, at: usize, dispatch: &wire::Dispatch) {
        let life = ids::Incarnation(self.runners[at].incarnation);
        let attempt = dispatch.attempt;
        if self.happens(self.trouble.lost) {
            let end = runner::core::End::Unreachable;
            self.post(5, Message::TaskEnded(at, life, attempt, end));
            return;
        }
        let caller = dispatch.payload.parse().expect("a caller's number");
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
        self.post(run_ms, Message::TaskEnded(at, life, attempt, end));
    }

    fn deliver(&mut self, message: Message) {
        let now_ms = self.now_ms;
        match message {
            Message::Dispatch(at, dispatch) => {
                let life = self.runners[at].incarnation;
                if *self.reached.entry(dispatch.attempt).or_insert(life) == life {
                    let actions = self.runners[at].core.dispatch(now_ms, *dispatch);
                    self.act_for_runner(at, actions);
                }
            }
            Message::Fence(at, fence) => {
                let runner = &mut self.runners[at];
                let (outcomes, actions) = runner.core.fence(now_ms, &fence);
                let asker = fence.attempts[0].owner;
                let reply = wire::FenceReply {
                    version: wire::VERSION,
                    incarnation: ids::Incarnation(runner.incarnation),
                    outcomes,
                    load: runner.core.load_for(asker),
                };
                self.act_for_runner(at, actions);
                if !self.happens(self.trouble.lost) {
                    self.send(Message::FenceReply(fence, Box::new(reply)));
                }
            }
            Message::TaskEnded(at, life, attempt, end) => {
                if self.runners[at].incarnation == life.0 {
                    let actions = self.runners[at].core.ended(now_ms, attempt, end);
                    self.act_for_runner(at, actions);
                }
            }
            Message::DispatchReply(reply) => self.with_life(reply.attempt.owner, |entry| {
                entry.core.dispatch_answered(now_ms, *reply)
            }),
            Message::DispatchFailed(attempt, fault) => self.with_life(attempt.owner, |entry| {
                entry.core.dispatch_failed(now_ms, attempt, fault)
            }),
            Message::FenceReply(fence, reply) => {
                self.with_life(fence.attempts[0].owner, |entry| {
                    entry.core.fence_answered(now_ms, &fence, *reply)
                });
            }
            Message::Heartbeat(at, heartbeat) => self.heard(at, &heartbeat),
            Message::HeartbeatReply(life, asked_ms, reply) => self.with_life(life, |entry| {
                entry.core.heartbeat_answered(now_ms, asked_ms, &reply);
                Vec::new()
            }),
            Message::Call(passed) => self.call_arrives(&passed),
            Message::CallReply(passed, answer) => self.call_answered(&passed, answer),
            Message::CallSilent(passed) => self.call_silent(*passed),
        }
    }

    /// Has a life of an entry do something; a past one does nothing.
    fn with_life(
        &mut self,
        life: ids::Incarnation,
        what: impl FnOnce(&mut Entry) -> Vec<entry::core::Action>,
    ) {
        if let Some(at) = self.entry_of(life) {
            let actions = what(&mut self.entries[at]);
            self.act_for_entry(at, actions);
        }
    }

    fn heard(&mut self, at: usize, heartbeat: &wire::Heartbeat) {
        let (reply, actions) = self.entries[at].core.heartbeat(self.now_ms, heartbeat);
        self.act_for_entry(at, actions);
        if heartbeat.sender.role == wire::Role::Entry && !self.happens(self.trouble.lost) {
            // The age of evidence is not at issue here: the question counts as just sent.
            let to = heartbeat.sender.incarnation;
            self.send(Message::HeartbeatReply(to, self.now_ms, Box::new(reply)));
        }
    }

    fn send_heartbeats(&mut self, from: usize) {
        for to in (0..self.entries.len()).filter(|to| *to != from) {
            let life = self.entries[to].incarnation;
            let core = &mut self.entries[from].core;
            let heartbeat = Box::new(core.heartbeat_to_send(self.now_ms, Some(life)));
            if !self.happens(self.trouble.lost) {
                self.send(Message::Heartbeat(to, heartbeat));
            }
        }
    }

    /// When the process that a message goes to is awake; a frozen one gets it later.
    fn awake_at_ms(&self, message: &Message) -> u64 {
        match message {
            Message::Dispatch(at, _) | Message::Fence(at, _) | Message::TaskEnded(at, ..) => {
                self.runners[*at].frozen_until_ms
            }
            Message::DispatchReply(reply) => self.life_awake_at_ms(reply.attempt.owner),
            Message::DispatchFailed(attempt, _) => self.life_awake_at_ms(attempt.owner),
            Message::FenceReply(fence, _) => self.life_awake_at_ms(fence.attempts[0].owner),
            Message::Heartbeat(at, _) => self.entries[*at].frozen_until_ms,
            Message::HeartbeatReply(life, ..) => self.life_awake_at_ms(*life),
            Message::Call(passed) => self.entries[passed.to_entry].frozen_until_ms,
            Message::CallReply(passed, _) | Message::CallSilent(passed) => {
                self.life_awake_at_ms(passed.from)
            }
        }
    }

    fn life_awake_at_ms(&self, life: ids::Incarnation) -> u64 {
        let entry = self.entry_of(life);
        entry.map_or(0, |at| self.entries[at].frozen_until_ms)
    }

    fn step(&mut self) {
        self.now_ms += STEP_MS;
        let later = self.messages.split_off(&(self.now_ms, 0));
        let due = std::mem::replace(&mut self.messages, later);
        for ((_, order), message) in due {
            let awake_ms = self.awake_at_ms(&message);
            if awake_ms > self.now_ms {
                self.messages.insert((awake_ms, order), message);
            } else {
                self.deliver(message);
            }
        }
        self.disturb();
        for at in 0..RUNNERS {
            self.tick_runner(at);
        }
        for at in 0..self.entries.len() {
            self.tick_entry(at);
        }
    }

    fn tick_entry(&mut self, at: usize) {
        if !self.is_awake(at) {
            return;
        }
        let actions = self.entries[at].core.tick(self.now_ms);
        self.act_for_entry(at, actions);
        if self.now_ms.is_multiple_of(HEARTBEAT_MS) {
            self.send_heartbeats(at);
        }
    }

    fn disturb(&mut self) {
        for at in 0..self.entries.len() {
            if self.happens_in_thousand(self.trouble.frozen) {
                let until_ms = self.now_ms + self.rng.random_range(100..8_000);
                self.entries[at].frozen_until_ms = until_ms;
            }
            if self.entries.len() > 1 && self.happens_in_thousand(self.trouble.replaced) {
                self.entries[at] = self.next_life(at, self.now_ms);
            }
        }
        for at in 0..RUNNERS {
            if self.happens_in_thousand(self.trouble.frozen) {
                let until_ms = self.now_ms + self.rng.random_range(100..4_000);
                self.runners[at].frozen_until_ms = until_ms;
            }
            if self.happens_in_thousand(self.trouble.replaced) {
                let life = self.runners[at].incarnation + 1;
                let core = runner_core(at, life, self.now_ms, &self.settings);
                self.runners[at].core = core;
                self.runners[at].incarnation = life;
            }
        }
    }

    pub fn tick_runner(&mut self, at: usize) {
        let now_ms = self.now_ms;
        if self.runners[at].frozen_until_ms > now_ms {
            return;
        }
        let core = &mut self.runners[at].core;
        core.freshness().record_log_read(now_ms);
        let actions = core.tick(now_ms);
        self.act_for_runner(at, actions);
        for entry in 0..self.entries.len() {
            let is_heard = now_ms.is_multiple_of(HEARTBEAT_MS) && !self.happens(self.trouble.lost);
            if is_heard && self.is_awake(entry) {
                let core = &mut self.runners[at].core;
                let heartbeat = wire::Heartbeat {
                    load: Some(core.load_for(self.entries[entry].incarnation)),
                    ..wire::Heartbeat::new(core.me().clone())
                };
                self.heard(entry, &heartbeat);
            }
        }
    }

    pub fn run(mut self) -> Self {
        while self.now_ms < END_MS {
            self.step();
            self.ask_again();
            if self.is_troubled() && self.rng.random_range(0..8) == 0 {
                self.submit();
            }
        }
        self
    }
}
