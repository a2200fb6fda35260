//! Planned stop of an entry.

use std::collections;

use bulrushtiller::api;
use bulrushtiller::codes;
use bulrushtiller::entry;
use bulrushtiller::entry::calls;
use bulrushtiller::ids;
use bulrushtiller::wire;
use proptest::collection;
use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::prop_oneof;
use proptest::test_runner::TestCaseError;
use smol_str::SmolStr;

use crate::settings::fixtures;
use crate::stops;

/// An event at the entry.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// A caller submits a job with this many tasks.
    Submit(usize),
    /// A caller repeats an earlier submission.
    Repeat(usize),
    /// One of the dispatched tasks ends.
    End(usize),
    Tick,
    Leave,
}

fn any_steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        6 => (1_usize..4).prop_map(Step::Submit),
        2 => (0_usize..10).prop_map(Step::Repeat),
        6 => (0_usize..stops::SLOTS).prop_map(Step::End),
        4 => Just(Step::Tick),
        1 => Just(Step::Leave),
    ];
    collection::vec(step, 1..60)
}

/// An accepted submission and the number of its tasks that have not ended yet.
struct Accepted {
    id: ids::SubmissionId,
    tasks: usize,
    unfinished: usize,
}

struct World {
    core: entry::core::Core,
    now_ms: u64,
    accepted: Vec<Accepted>,
    dispatched: Vec<wire::Dispatch>,
    answered: collections::BTreeMap<SmolStr, api::Answer>,
    is_leaving: bool,
}

fn submission(id: &ids::SubmissionId, tasks: usize) -> api::Submission {
    api::Submission {
        submission: Some(id.clone()),
        deadline_ms: Some(60_000),
        wait_ms: 0,
        idempotent: false,
        tasks: vec![api::Task::default(); tasks],
    }
}

impl World {
    fn new() -> Self {
        let me = stops::peer(wire::Role::Entry, "entry", stops::ENTRY_INCARNATION);
        let mut world = Self {
            core: entry::core::Core::new(me, stops::settings(), 0, 1),
            now_ms: 0,
            accepted: Vec::new(),
            dispatched: Vec::new(),
            answered: collections::BTreeMap::new(),
            is_leaving: false,
        };
        world.tick();
        world
    }

    fn load(&self) -> wire::Load {
        wire::Load {
            slots: 2,
            epoch: 1,
            sequence: self.now_ms,
            ..wire::Load::default()
        }
    }

    fn tick(&mut self) {
        self.now_ms += stops::TICK_MS;
        let heartbeat = wire::Heartbeat {
            load: Some(self.load()),
            ..wire::Heartbeat::new(stops::peer(
                wire::Role::Runner,
                "runner",
                stops::RUNNER_INCARNATION,
            ))
        };
        let (_, mut actions) = self.core.heartbeat(self.now_ms, &heartbeat);
        actions.extend(self.core.tick(self.now_ms));
        self.act(actions);
    }

    fn act(&mut self, actions: Vec<entry::core::Action>) {
        for action in actions {
            match action {
                entry::core::Action::Dispatch { dispatch, .. } => self.dispatched.push(*dispatch),
                entry::core::Action::Answer { answer, .. } => {
                    let id = SmolStr::from(
                        answer
                            .submission
                            .clone()
                            .expect("answer has a submission id"),
                    );
                    let previous = self.answered.insert(id, *answer);
                    assert_eq!(previous, None, "submission answered twice");
                }
                _ => {}
            }
        }
    }

    fn step(&mut self, step: Step) -> Result<(), TestCaseError> {
        match step {
            Step::Submit(tasks) => self.submit(tasks)?,
            Step::Repeat(position) => self.repeat(position)?,
            Step::End(position) => self.end(position),
            Step::Tick => self.tick(),
            Step::Leave => {
                self.core.leave();
                self.is_leaving = true;
            }
        }
        self.check()
    }

    fn submit(&mut self, tasks: usize) -> Result<(), TestCaseError> {
        let id = self.core.ticket();
        let (reply, actions) = self
            .core
            .submit(self.now_ms, &stops::TEAM, submission(&id, tasks));
        match reply {
            calls::Reply::Open(_) => {
                let unfinished = tasks;
                self.accepted.push(Accepted {
                    id,
                    tasks,
                    unfinished,
                });
                prop_assert!(!self.is_leaving, "leaving entry accepted a submission");
            }
            calls::Reply::Answer(answer) => {
                prop_assert!(self.is_leaving, "running entry refused a submission");
                prop_assert_eq!(answer.code, codes::Code::Leaving);
                prop_assert!(answer.is_final);
            }
            reply => prop_assert!(false, "{reply:?}"),
        }
        self.act(actions);
        Ok(())
    }

    /// Repeats a submission; the entry answers from its state, also while it is leaving.
    fn repeat(&mut self, position: usize) -> Result<(), TestCaseError> {
        let Some(Accepted {
            id,
            tasks,
            unfinished,
        }) = self.accepted.get(position)
        else {
            return Ok(());
        };
        let repeated = submission(id, *tasks);
        let (reply, actions) = self.core.submit(self.now_ms, &stops::TEAM, repeated);
        match reply {
            calls::Reply::Open(_) => prop_assert!(*unfinished > 0),
            calls::Reply::Answer(answer) => {
                prop_assert_eq!(
                    Some(&*answer),
                    self.answered.get(&SmolStr::from(id.clone()))
                );
            }
            reply => prop_assert!(false, "{reply:?}"),
        }
        self.act(actions);
        Ok(())
    }

    fn end(&mut self, position: usize) {
        if position >= self.dispatched.len() {
            return;
        }
        let dispatch = self.dispatched.remove(position);
        let is_same_submission =
            |accepted: &&mut Accepted| SmolStr::from(accepted.id.clone()) == dispatch.submission;
        let accepted = self.accepted.iter_mut().find(is_same_submission);
        accepted
            .expect("dispatched task belongs to an accepted submission")
            .unfinished -= 1;
        let reply = wire::DispatchReply {
            version: wire::VERSION,
            attempt: dispatch.attempt,
            outcome: stops::complete(String::new()),
            load: self.load(),
        };
        let actions = self.core.dispatch_answered(self.now_ms, reply);
        self.act(actions);
    }

    fn check(&self) -> Result<(), TestCaseError> {
        let finished = self
            .accepted
            .iter()
            .filter(|accepted| accepted.unfinished == 0);
        let finished: collections::BTreeSet<_> =
            finished.map(|accepted| accepted.id.to_string()).collect();
        let answered = self.answered.iter();
        let is_complete = |answer: &api::Answer| answer.code == codes::Code::Complete;
        let complete = answered.filter(|(_, answer)| is_complete(answer));
        let complete: collections::BTreeSet<_> = complete.map(|(id, _)| id.to_string()).collect();
        prop_assert_eq!(complete, finished);
        let open = self
            .accepted
            .iter()
            .filter(|accepted| accepted.unfinished > 0)
            .count();
        prop_assert_eq!(
            self.core.open(),
            open,
            "open submissions that delay the stop"
        );
        Ok(())
    }
}

// An entry is told to stop at any moment, with dispatched and queued tasks. Every accepted
// job completes, including tasks still queued at that moment. Later submissions are refused
// as not run, and repeats get the answer of the first submission.
#[test]
fn leaving_entry_completes_all_accepted_jobs() {
    let mut cases = fixtures::fixed_runner(stops::CASES);

    let result = cases.run(&any_steps(), |steps| {
        let mut world = World::new();
        for step in steps {
            world.step(step)?;
        }
        world.step(Step::Leave)?;
        while !world.dispatched.is_empty() {
            world.step(Step::End(0))?;
            world.step(Step::Tick)?;
        }
        prop_assert_eq!(
            world.core.open(),
            0,
            "submissions still open after all tasks ended"
        );
        Ok(())
    });

    result.unwrap();
}

// A leaving entry is told to stop again, or its drain time ends. Every open job is answered
// at once: dispatched tasks as may have run, queued ones as not run.
#[test]
fn abandoned_entry_answers_dispatched_tasks_as_may_have_run() {
    let mut cases = fixtures::fixed_runner(stops::CASES);

    let result = cases.run(&any_steps(), |steps| {
        let mut world = World::new();
        for step in steps {
            world.step(step)?;
        }
        let dispatched: collections::BTreeSet<_> = world
            .dispatched
            .iter()
            .map(|dispatch| (dispatch.submission.to_string(), dispatch.index))
            .collect();
        let actions = world.core.abandon(world.now_ms);
        world.act(actions);
        for accepted in world
            .accepted
            .iter()
            .filter(|accepted| accepted.unfinished > 0)
        {
            let id = accepted.id.to_string();
            let answer = &world.answered[id.as_str()];
            prop_assert!(answer.is_final);
            let outcomes: Vec<_> = answer.tasks.iter().map(|task| task.fate).collect();
            let dispatched_tasks = dispatched.iter().filter(|(of, _)| *of == id).count();
            let count = |outcome| outcomes.iter().filter(|other| **other == outcome).count();
            prop_assert_eq!(count(api::TaskOutcome::MayHaveRun), dispatched_tasks);
            prop_assert_eq!(
                count(api::TaskOutcome::Ran),
                accepted.tasks - accepted.unfinished
            );
            prop_assert_eq!(
                count(api::TaskOutcome::NotRun),
                accepted.unfinished - dispatched_tasks
            );
        }
        prop_assert_eq!(world.core.open(), 0);
        Ok(())
    });

    result.unwrap();
}
