//! Backend servers that leave, as an entry hears of it, against a naive rule.

use std::collections;
use std::sync;

use bulrushtiller::api;
use bulrushtiller::codes;
use bulrushtiller::entry;
use bulrushtiller::ids;
use bulrushtiller::settings;
use bulrushtiller::wire;
use proptest::collection;
use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prop_assert;
use proptest::prop_oneof;
use proptest::test_runner::TestCaseError;
use smol_str::SmolStr;

use crate::settings::fixtures;

const CASES: u32 = 512;
const TEAM: SmolStr = SmolStr::new_static("escola");
const RUNNERS: usize = 3;
const SLOTS: u32 = 2;
const HEARTBEAT_MS: u32 = 500;
const DEAD_AFTER_MS: u32 = 2_500;
/// Two heartbeats are missed: nothing new goes there.
const SILENT_AFTER_MS: u32 = HEARTBEAT_MS * 5 / 2;

#[derive(Clone, Copy, Debug)]
enum Step {
    Submit,
    /// A runner sends a heartbeat, which is on its way from then on.
    Beat(usize),
    /// A dispatch arrives, whichever, and its answer is on its way from then on.
    Arrive(usize),
    /// A message comes to the entry, whichever, and perhaps once more later.
    Deliver {
        at: usize,
        is_last: bool,
    },
    /// A runner is told to stop.
    Leave(usize),
    /// A runner's next life begins.
    Replace(usize),
    Pass {
        ms: u64,
    },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let runner = 0..RUNNERS;
    let step = prop_oneof![
        8 => Just(Step::Submit),
        8 => runner.clone().prop_map(Step::Beat),
        6 => (0_usize..4).prop_map(Step::Arrive),
        14 => (0_usize..4, any::<bool>()).prop_map(|(at, is_last)| Step::Deliver { at, is_last }),
        2 => runner.clone().prop_map(Step::Leave),
        1 => runner.prop_map(Step::Replace),
        4 => (1_u64..300).prop_map(|ms| Step::Pass { ms }),
    ];
    collection::vec(step, 1..150)
}

/// One life of one runner.
type Life = (usize, u64);

#[derive(Clone, Debug)]
enum Message {
    Heartbeat {
        of: Life,
        heartbeat: Box<wire::Heartbeat>,
    },
    Reply {
        of: Life,
        reply: Box<wire::DispatchReply>,
    },
}

#[derive(Clone, Copy)]
struct Actual {
    life: u64,
    is_leaving: bool,
}

struct World {
    entry: entry::core::Core,
    now_ms: u64,
    actual: [Actual; RUNNERS],
    messages: Vec<Message>,
    arriving: Vec<(Life, ids::Attempt)>,
    sequence: u64,
    /// What the naive rule knows: who was heard to be leaving, when each was heard last,
    /// and what is out there.
    gone: collections::BTreeSet<Life>,
    heard: collections::BTreeMap<Life, u64>,
    in_flight: collections::BTreeMap<u64, Life>,
    waiting: usize,
}

fn name(at: usize) -> SmolStr {
    smol_str::format_smolstr!("{at}")
}

fn peer(role: wire::Role, name: SmolStr, life: u64) -> wire::Peer {
    wire::Peer {
        role,
        name: name.clone(),
        incarnation: ids::Incarnation(life),
        zone: SmolStr::new_static("caxias"),
        rack: name.clone(),
        address: name,
    }
}

impl World {
    fn new() -> Self {
        let mut settings = settings::Settings {
            timeouts: settings::Timeouts {
                heartbeat_ms: HEARTBEAT_MS,
                dead_after_ms: DEAD_AFTER_MS,
                ..settings::Timeouts::default()
            },
            ..settings::Settings::default()
        };
        settings.teams.insert(TEAM, settings::Team::default());
        let me = peer(wire::Role::Entry, SmolStr::new_static("entry"), 1);
        Self {
            entry: entry::core::Core::new(me, sync::Arc::new(settings), 0, 1),
            now_ms: 0,
            actual: [Actual {
                life: 1,
                is_leaving: false,
            }; RUNNERS],
            messages: Vec::new(),
            arriving: Vec::new(),
            sequence: 0,
            gone: collections::BTreeSet::new(),
            heard: collections::BTreeMap::new(),
            in_flight: collections::BTreeMap::new(),
            waiting: 0,
        }
    }

    fn load(&mut self) -> wire::Load {
        self.sequence += 1;
        wire::Load {
            slots: SLOTS,
            epoch: 1,
            sequence: self.sequence,
            ..wire::Load::default()
        }
    }

    fn step(&mut self, step: Step) -> Result<(), TestCaseError> {
        match step {
            Step::Submit => self.submit()?,
            Step::Beat(at) => self.beat(at),
            Step::Arrive(at) => self.arrive(at),
            Step::Deliver { at, is_last } => self.deliver(at, is_last)?,
            Step::Leave(at) => self.actual[at].is_leaving = true,
            Step::Replace(at) => {
                self.actual[at].life += 1;
                self.actual[at].is_leaving = false;
            }
            Step::Pass { ms } => self.now_ms += ms,
        }
        self.tick()
    }

    fn submit(&mut self) -> Result<(), TestCaseError> {
        let submission = api::Submission {
            submission: None,
            deadline_ms: Some(600_000),
            wait_ms: 0,
            idempotent: false,
            tasks: vec![api::Task::default()],
        };
        let (reply, actions) = self.entry.submit(self.now_ms, &TEAM, submission);
        if matches!(reply, entry::calls::Reply::Open(_)) {
            self.waiting += 1;
        }
        self.act(actions)
    }

    fn beat(&mut self, at: usize) {
        let Actual { life, is_leaving } = self.actual[at];
        let heartbeat = wire::Heartbeat {
            leaving: is_leaving,
            load: Some(self.load()),
            ..wire::Heartbeat::new(peer(wire::Role::Runner, name(at), life))
        };
        let heartbeat = Box::new(heartbeat);
        let of = (at, life);
        self.messages.push(Message::Heartbeat { of, heartbeat });
    }

    /// A runner that is there takes a task in and ends it, or refuses it as leaving; of
    /// what was meant for an earlier life nothing is heard.
    fn arrive(&mut self, at: usize) {
        if at >= self.arriving.len() {
            return;
        }
        let (of, attempt) = self.arriving.remove(at);
        let actual = self.actual[of.0];
        if actual.life != of.1 {
            return;
        }
        let outcome = if actual.is_leaving {
            wire::Outcome::NotStarted {
                code: codes::Code::Leaving,
            }
        } else {
            wire::Outcome::Ended {
                code: codes::Code::Complete,
                output: String::new(),
                run_ms: 1,
                peak: wire::Resources::default(),
            }
        };
        let reply = Box::new(wire::DispatchReply {
            version: wire::VERSION,
            attempt,
            outcome,
            load: self.load(),
        });
        self.messages.push(Message::Reply { of, reply });
    }

    fn deliver(&mut self, at: usize, is_last: bool) -> Result<(), TestCaseError> {
        let Some(message) = self.messages.get(at).cloned() else {
            return Ok(());
        };
        if is_last {
            self.messages.remove(at);
        }
        match message {
            Message::Heartbeat { of, heartbeat } => {
                self.note_heartbeat(of, heartbeat.leaving);
                let (_, actions) = self.entry.heartbeat(self.now_ms, &heartbeat);
                self.act(actions)
            }
            Message::Reply { of, reply } => {
                self.note_reply(of, &reply);
                let actions = self.entry.dispatch_answered(self.now_ms, *reply);
                self.act(actions)
            }
        }
    }

    fn note_heartbeat(&mut self, of: Life, is_leaving: bool) {
        if is_leaving {
            self.gone.insert(of);
        }
        if self.latest(of.0).is_some_and(|latest| latest > of.1) {
            return;
        }
        self.heard.insert(of, self.now_ms);
        self.in_flight.retain(|_, at| at.0 != of.0 || at.1 == of.1);
    }

    fn note_reply(&mut self, of: Life, reply: &wire::DispatchReply) {
        if self.in_flight.remove(&reply.attempt.number).is_none() {
            return;
        }
        self.heard.insert(of, self.now_ms);
        if matches!(reply.outcome, wire::Outcome::NotStarted { .. }) {
            self.gone.insert(of);
            self.waiting += 1;
        }
    }

    /// The latest life heard of.
    fn latest(&self, at: usize) -> Option<u64> {
        let lives = self.heard.keys().filter(|of| of.0 == at);
        lives.map(|of| of.1).max()
    }

    fn act(&mut self, actions: Vec<entry::core::Action>) -> Result<(), TestCaseError> {
        for action in actions {
            let entry::core::Action::Dispatch { address, dispatch } = action else {
                continue;
            };
            let at: usize = address.parse().expect("an index");
            let of = (at, dispatch.incarnation.0);
            prop_assert!(!self.gone.contains(&of), "new work for one that leaves");
            prop_assert!(self.latest(at) == Some(of.1), "new work for a past life");
            prop_assert!(!self.is_silent(of), "new work for a silent one");
            self.in_flight.insert(dispatch.attempt.number, of);
            self.arriving.push((of, dispatch.attempt));
            self.waiting -= 1;
        }
        Ok(())
    }

    fn is_silent(&self, of: Life) -> bool {
        self.heard[&of] + u64::from(SILENT_AFTER_MS) <= self.now_ms
    }

    fn tick(&mut self) -> Result<(), TestCaseError> {
        let heard = &self.heard;
        let now_ms = self.now_ms;
        self.in_flight
            .retain(|_, of| heard[of] + u64::from(DEAD_AFTER_MS) > now_ms);
        let actions = self.entry.tick(now_ms);
        self.act(actions)?;
        let free = (0..RUNNERS).find(|at| self.is_free(*at));
        prop_assert!(
            self.waiting == 0 || free.is_none(),
            "work waits though {free:?} is free"
        );
        Ok(())
    }

    fn is_free(&self, at: usize) -> bool {
        let Some(life) = self.latest(at) else {
            return false;
        };
        let of = (at, life);
        let taken = self.in_flight.values().filter(|on| **on == of).count();
        taken < SLOTS as usize && !self.gone.contains(&of) && !self.is_silent(of)
    }
}

// Runners are told to stop and are replaced by new lives. Heartbeats and answers come late,
// crossed and twice: one sent before the stop after one that told of it, a refusal from a
// past life. Once an entry has heard that a life leaves, by either, that life gets nothing
// new, and its successor and all others go on getting work as soon as they have room.
#[test]
fn who_was_heard_to_leave_gets_no_new_work_and_others_do() {
    let mut runner = fixtures::fixed_runner(CASES);

    let verdict = runner.run(&steps(), |steps| {
        let mut world = World::new();
        steps.into_iter().try_for_each(|step| world.step(step))
    });

    verdict.unwrap();
}
