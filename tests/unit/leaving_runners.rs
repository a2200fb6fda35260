//! Dispatches of an entry while runners leave, checked against a simple model.

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
/// Two missed heartbeats: the runner gets no new tasks.
const SILENT_AFTER_MS: u32 = HEARTBEAT_MS * 5 / 2;

#[derive(Clone, Copy, Debug)]
enum Step {
    Submit,
    /// A runner sends a heartbeat, which stays in transit until delivered.
    SendHeartbeat(usize),
    /// Any dispatch arrives at its runner, and the reply is in transit.
    DeliverDispatch(usize),
    /// Any message arrives at the entry, and stays in transit unless `is_last`.
    Deliver {
        at: usize,
        is_last: bool,
    },
    /// A runner is told to stop.
    Leave(usize),
    /// A runner is replaced by its next incarnation.
    Replace(usize),
    Wait {
        ms: u64,
    },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let runner = 0..RUNNERS;
    let step = prop_oneof![
        8 => Just(Step::Submit),
        8 => runner.clone().prop_map(Step::SendHeartbeat),
        6 => (0_usize..4).prop_map(Step::DeliverDispatch),
        14 => (0_usize..4, any::<bool>()).prop_map(|(at, is_last)| Step::Deliver { at, is_last }),
        2 => runner.clone().prop_map(Step::Leave),
        1 => runner.prop_map(Step::Replace),
        4 => (1_u64..300).prop_map(|ms| Step::Wait { ms }),
    ];
    collection::vec(step, 1..150)
}

/// One incarnation of one runner.
type RunnerKey = (usize, u64);

#[derive(Clone, Debug)]
enum Message {
    Heartbeat {
        key: RunnerKey,
        heartbeat: Box<wire::Heartbeat>,
    },
    Reply {
        key: RunnerKey,
        reply: Box<wire::DispatchReply>,
    },
}

#[derive(Clone, Copy)]
struct Actual {
    incarnation_number: u64,
    is_leaving: bool,
}

struct World {
    entry: entry::core::Core,
    now_ms: u64,
    actual: [Actual; RUNNERS],
    messages: Vec<Message>,
    dispatches: Vec<(RunnerKey, ids::Attempt)>,
    sequence: u64,
    /// The model: incarnations known to leave, when each was last seen, and the attempts in
    /// flight.
    known_leaving: collections::BTreeSet<RunnerKey>,
    last_seen_ms: collections::BTreeMap<RunnerKey, u64>,
    in_flight: collections::BTreeMap<u64, RunnerKey>,
    waiting: usize,
}

fn name(at: usize) -> SmolStr {
    smol_str::format_smolstr!("{at}")
}

fn peer(role: wire::Role, name: SmolStr, incarnation_number: u64) -> wire::Peer {
    wire::Peer {
        role,
        name: name.clone(),
        incarnation: ids::Incarnation(incarnation_number),
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
                incarnation_number: 1,
                is_leaving: false,
            }; RUNNERS],
            messages: Vec::new(),
            dispatches: Vec::new(),
            sequence: 0,
            known_leaving: collections::BTreeSet::new(),
            last_seen_ms: collections::BTreeMap::new(),
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
            Step::SendHeartbeat(at) => self.send_heartbeat(at),
            Step::DeliverDispatch(at) => self.deliver_dispatch(at),
            Step::Deliver { at, is_last } => self.deliver(at, is_last)?,
            Step::Leave(at) => self.actual[at].is_leaving = true,
            Step::Replace(at) => {
                self.actual[at].incarnation_number += 1;
                self.actual[at].is_leaving = false;
            }
            Step::Wait { ms } => self.now_ms += ms,
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

    fn send_heartbeat(&mut self, at: usize) {
        let Actual {
            incarnation_number,
            is_leaving,
        } = self.actual[at];
        let heartbeat = wire::Heartbeat {
            leaving: is_leaving,
            load: Some(self.load()),
            ..wire::Heartbeat::new(peer(wire::Role::Runner, name(at), incarnation_number))
        };
        let heartbeat = Box::new(heartbeat);
        let key = (at, incarnation_number);
        self.messages.push(Message::Heartbeat { key, heartbeat });
    }

    /// Delivers a dispatch: the runner completes the task, or refuses it while leaving.
    ///
    /// A dispatch to an earlier incarnation gets no reply.
    fn deliver_dispatch(&mut self, at: usize) {
        if at >= self.dispatches.len() {
            return;
        }
        let (key, attempt) = self.dispatches.remove(at);
        let actual = self.actual[key.0];
        if actual.incarnation_number != key.1 {
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
        self.messages.push(Message::Reply { key, reply });
    }

    fn deliver(&mut self, at: usize, is_last: bool) -> Result<(), TestCaseError> {
        let Some(message) = self.messages.get(at).cloned() else {
            return Ok(());
        };
        if is_last {
            self.messages.remove(at);
        }
        match message {
            Message::Heartbeat { key, heartbeat } => {
                self.record_heartbeat_in_model(key, heartbeat.leaving);
                let (_, actions) = self.entry.heartbeat(self.now_ms, &heartbeat);
                self.act(actions)
            }
            Message::Reply { key, reply } => {
                self.record_reply_in_model(key, &reply);
                let actions = self.entry.dispatch_answered(self.now_ms, *reply);
                self.act(actions)
            }
        }
    }

    fn record_heartbeat_in_model(&mut self, key: RunnerKey, is_leaving: bool) {
        if is_leaving {
            self.known_leaving.insert(key);
        }
        if self
            .latest_incarnation(key.0)
            .is_some_and(|latest_incarnation| latest_incarnation > key.1)
        {
            return;
        }
        self.last_seen_ms.insert(key, self.now_ms);
        self.in_flight
            .retain(|_, at| at.0 != key.0 || at.1 == key.1);
    }

    fn record_reply_in_model(&mut self, key: RunnerKey, reply: &wire::DispatchReply) {
        if self.in_flight.remove(&reply.attempt.number).is_none() {
            return;
        }
        self.last_seen_ms.insert(key, self.now_ms);
        if matches!(reply.outcome, wire::Outcome::NotStarted { .. }) {
            self.known_leaving.insert(key);
            self.waiting += 1;
        }
    }

    /// Returns the latest incarnation seen of a runner.
    fn latest_incarnation(&self, at: usize) -> Option<u64> {
        let incarnations = self.last_seen_ms.keys().filter(|key| key.0 == at);
        incarnations.map(|key| key.1).max()
    }

    fn act(&mut self, actions: Vec<entry::core::Action>) -> Result<(), TestCaseError> {
        for action in actions {
            let entry::core::Action::Dispatch { address, dispatch } = action else {
                continue;
            };
            let at: usize = address.parse().expect("address is a runner index");
            let key = (at, dispatch.incarnation.0);
            prop_assert!(
                !self.known_leaving.contains(&key),
                "dispatch to a leaving runner"
            );
            prop_assert!(
                self.latest_incarnation(at) == Some(key.1),
                "dispatch to a past incarnation"
            );
            prop_assert!(!self.is_silent(key), "dispatch to a silent runner");
            self.in_flight.insert(dispatch.attempt.number, key);
            self.dispatches.push((key, dispatch.attempt));
            self.waiting -= 1;
        }
        Ok(())
    }

    fn is_silent(&self, key: RunnerKey) -> bool {
        self.last_seen_ms[&key] + u64::from(SILENT_AFTER_MS) <= self.now_ms
    }

    fn tick(&mut self) -> Result<(), TestCaseError> {
        let last_seen_ms = &self.last_seen_ms;
        let now_ms = self.now_ms;
        self.in_flight
            .retain(|_, key| last_seen_ms[key] + u64::from(DEAD_AFTER_MS) > now_ms);
        let actions = self.entry.tick(now_ms);
        self.act(actions)?;
        let free = (0..RUNNERS).find(|at| self.is_free(*at));
        prop_assert!(
            self.waiting == 0 || free.is_none(),
            "tasks are queued though runner {free:?} has free slots"
        );
        Ok(())
    }

    fn is_free(&self, at: usize) -> bool {
        let Some(incarnation_number) = self.latest_incarnation(at) else {
            return false;
        };
        let key = (at, incarnation_number);
        let in_use = self
            .in_flight
            .values()
            .filter(|used_by| **used_by == key)
            .count();
        in_use < SLOTS as usize && !self.known_leaving.contains(&key) && !self.is_silent(key)
    }
}

// Runners are told to stop and are replaced by new incarnations. Heartbeats and replies come
// late, out of order and repeated, for example one sent before the stop after one that
// announced it, or a refusal from a past incarnation. An incarnation known to leave gets no
// new tasks; its successor and all other runners get them as soon as they have free slots.
#[test]
fn only_runners_not_known_to_leave_get_new_tasks() {
    let mut runner = fixtures::fixed_runner(CASES);

    let result = runner.run(&steps(), |steps| {
        let mut world = World::new();
        steps.into_iter().try_for_each(|step| world.step(step))
    });

    result.unwrap();
}
