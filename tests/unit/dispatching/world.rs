//! An entry and its runners with a network between them that can do anything.

use std::collections;
use std::sync;

use bulrushtiller::api;
use bulrushtiller::codes;
use bulrushtiller::entry;
use bulrushtiller::entry::attempts;
use bulrushtiller::entry::calls;
use bulrushtiller::ids;
use bulrushtiller::runner;
use bulrushtiller::settings;
use bulrushtiller::wire;
use rand::Rng as _;
use rand::SeedableRng as _;
use smol_str::SmolStr;

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
    /// Per thousand steps, each: a process is frozen, a runner is replaced.
    pub frozen: u32,
    pub replaced: u32,
}

pub enum Message {
    Dispatch(usize, Box<wire::Dispatch>),
    DispatchReply(Box<wire::DispatchReply>),
    DispatchFailed(ids::Attempt, attempts::Fault),
    Fence(usize, wire::Fence),
    FenceReply(wire::Fence, Box<wire::FenceReply>),
    TaskEnded(usize, ids::Incarnation, ids::Attempt, runner::core::End),
}

struct Runner {
    core: runner::core::Core,
    incarnation: u64,
    frozen_until_ms: u64,
}

pub struct World {
    rng: rand_chacha::ChaCha8Rng,
    trouble: Trouble,
    pub now_ms: u64,
    settings: sync::Arc<settings::Settings>,
    pub entry: entry::core::Core,
    entry_frozen_until_ms: u64,
    runners: Vec<Runner>,
    pub messages: collections::BTreeMap<(u64, u64), Message>,
    sent: u64,
    /// The life that a dispatch reached first.
    reached: collections::BTreeMap<ids::Attempt, u64>,
    started: collections::BTreeMap<(SmolStr, u32), usize>,
    pub answers: collections::BTreeMap<SmolStr, api::Answer>,
    pub submitted: collections::BTreeMap<SmolStr, (bool, usize)>,
    pub refused: usize,
}

fn settings() -> settings::Settings {
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
        ..settings::Settings::default()
    };
    settings
        .teams
        .insert("escola".into(), settings::Team::default());
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
    pub fn new(seed: u64, trouble: Trouble) -> Self {
        let settings = sync::Arc::new(settings());
        let me = peer(wire::Role::Entry, "entry-0", 1);
        let runner = |at| Runner {
            core: runner_core(at, 1, 0, &settings),
            incarnation: 1,
            frozen_until_ms: 0,
        };
        Self {
            rng: rand_chacha::ChaCha8Rng::seed_from_u64(seed),
            trouble,
            now_ms: 0,
            entry: entry::core::Core::new(me, sync::Arc::clone(&settings), 0, seed),
            entry_frozen_until_ms: 0,
            runners: (0..RUNNERS).map(runner).collect(),
            settings,
            messages: collections::BTreeMap::new(),
            sent: 0,
            reached: collections::BTreeMap::new(),
            started: collections::BTreeMap::new(),
            answers: collections::BTreeMap::new(),
            submitted: collections::BTreeMap::new(),
            refused: 0,
        }
    }

    fn is_troubled(&self) -> bool {
        self.now_ms < TROUBLE_MS
    }

    fn happens(&mut self, percent: u32) -> bool {
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

    fn post(&mut self, after_ms: u64, message: Message) {
        self.sent += 1;
        self.messages
            .insert((self.now_ms + after_ms, self.sent), message);
    }

    fn send(&mut self, message: Message) {
        let after_ms = self.delay_ms();
        self.post(after_ms, message);
    }

    fn act_for_entry(&mut self, actions: Vec<entry::core::Action>) {
        for action in actions {
            match action {
                entry::core::Action::Dispatch { address, dispatch } => {
                    self.send_dispatch(address.parse().expect("an index"), *dispatch);
                }
                entry::core::Action::Fence { address, fence } => {
                    self.send_fence(address.parse().expect("an index"), fence);
                }
                entry::core::Action::Answer { answer, .. } => self.hear(*answer),
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
            let fault = Message::DispatchFailed(attempt, attempts::Fault::NotSent);
            self.send(fault);
            return;
        }
        if self.happens(self.trouble.lost) {
            let after_ms = self.rng.random_range(1..3_000);
            let fault = Message::DispatchFailed(attempt, attempts::Fault::Lost);
            self.post(after_ms, fault);
        }
        if self.happens(self.trouble.repeated) {
            self.send(Message::Dispatch(runner, Box::new(dispatch.clone())));
        }
        if !self.happens(self.trouble.lost) {
            self.send(Message::Dispatch(runner, Box::new(dispatch)));
        }
    }

    fn hear(&mut self, answer: api::Answer) {
        let id = answer.submission.as_ref().expect("an id").to_string();
        let before = self.answers.insert(id.into(), answer);
        assert_eq!(before, None, "two last words");
    }

    fn act_for_runner(&mut self, at: usize, actions: Vec<runner::core::Action>) {
        for action in actions {
            match action {
                runner::core::Action::Start(dispatch) => self.start(at, &dispatch),
                runner::core::Action::Stop(_) => {}
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
            let end = runner::core::End::NotReached;
            self.post(5, Message::TaskEnded(at, life, attempt, end));
            return;
        }
        let key = (dispatch.submission.clone(), dispatch.index);
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
                let reply = wire::FenceReply {
                    version: wire::VERSION,
                    incarnation: ids::Incarnation(runner.incarnation),
                    outcomes,
                    load: runner.core.load_for(ids::Incarnation(1)),
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
            Message::DispatchReply(reply) => {
                let actions = self.entry.dispatch_answered(now_ms, *reply);
                self.act_for_entry(actions);
            }
            Message::DispatchFailed(attempt, fault) => {
                let actions = self.entry.dispatch_failed(now_ms, attempt, fault);
                self.act_for_entry(actions);
            }
            Message::FenceReply(fence, reply) => {
                let actions = self.entry.fence_answered(now_ms, &fence, *reply);
                self.act_for_entry(actions);
            }
        }
    }

    /// When the process that a message goes to is awake; a frozen one gets it later.
    fn awake_at_ms(&self, message: &Message) -> u64 {
        match message {
            Message::Dispatch(at, _) | Message::Fence(at, _) | Message::TaskEnded(at, ..) => {
                self.runners[*at].frozen_until_ms
            }
            _ => self.entry_frozen_until_ms,
        }
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
        if self.entry_frozen_until_ms <= self.now_ms {
            let actions = self.entry.tick(self.now_ms);
            self.act_for_entry(actions);
        }
    }

    fn disturb(&mut self) {
        if self.happens_in_thousand(self.trouble.frozen) {
            self.entry_frozen_until_ms = self.now_ms + self.rng.random_range(100..8_000);
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
        core.freshness().hear_log(now_ms);
        let actions = core.tick(now_ms);
        self.act_for_runner(at, actions);
        let is_heard = now_ms.is_multiple_of(HEARTBEAT_MS) && !self.happens(self.trouble.lost);
        if is_heard && self.entry_frozen_until_ms <= now_ms {
            let core = &mut self.runners[at].core;
            let heartbeat = wire::Heartbeat {
                version: wire::VERSION,
                sender: core.me().clone(),
                leaving: false,
                revision: None,
                evidence: wire::Evidence::default(),
                load: Some(core.load_for(ids::Incarnation(1))),
                slots: 0,
                tickets: 0,
                entries_held: None,
            };
            let (_, actions) = self.entry.heartbeat(now_ms, &heartbeat);
            self.act_for_entry(actions);
        }
    }

    pub fn submit(&mut self, number: usize) {
        if self.entry_frozen_until_ms > self.now_ms {
            return;
        }
        let ticket = self
            .entry
            .tickets(self.now_ms, &api::TicketOrder { count: 1 })
            .tickets
            .remove(0);
        let tasks = self.rng.random_range(1..5);
        let submission = api::Submission {
            submission: Some(ticket.clone()),
            deadline_ms: Some(self.rng.random_range(300..10_000)),
            wait_ms: 0,
            idempotent: number.is_multiple_of(3),
            tasks: vec![api::Task::default(); tasks],
        };
        let id = SmolStr::from(ticket.to_string());
        self.submitted.insert(id, (submission.idempotent, tasks));
        let (reply, actions) = self.entry.submit(self.now_ms, &"escola".into(), submission);
        if let calls::Reply::Answer(refusal) = reply {
            assert_eq!(refusal.code.class(), codes::Class::NotRun, "{refusal:?}");
            self.refused += 1;
            self.hear(*refusal);
        }
        self.act_for_entry(actions);
    }

    pub fn run(mut self) -> Self {
        let mut number = 0;
        while self.now_ms < END_MS {
            self.step();
            if self.is_troubled() && self.rng.random_range(0..8) == 0 {
                self.submit(number);
                number += 1;
            }
        }
        self
    }

    pub fn check(&self) {
        for (id, (is_idempotent, tasks)) in &self.submitted {
            let answer = self.answers.get(id).expect("an answer to every submission");
            let begun = |index| self.started.get(&(id.clone(), index)).copied().unwrap_or(0);
            if answer.tasks.is_empty() {
                let is_started = (0..10).any(|index| begun(index) > 0);
                assert_eq!(answer.code.class(), codes::Class::NotRun, "{answer:?}");
                assert!(!is_started, "{id} was refused and started");
                continue;
            }
            assert_eq!(answer.tasks.len(), *tasks, "{answer:?}");
            for (index, task) in (0..).zip(&answer.tasks) {
                let count = begun(index);
                assert!(
                    *is_idempotent || count <= 1,
                    "{id} {index} started {count} times"
                );
                let is_true = match task.fate {
                    api::Fate::Ran | api::Fate::Failed => count > 0,
                    api::Fate::NotRun => count == 0,
                    api::Fate::MayHaveRun => true,
                    api::Fate::Pending => false,
                };
                assert!(
                    is_true,
                    "{id} {index} started {count} times, answered {task:?}"
                );
            }
            let has_run = answer.tasks.iter().all(|task| task.fate == api::Fate::Ran);
            assert_eq!(answer.code == codes::Code::Complete, has_run);
        }
    }
}
