//! An entry that is told to stop.

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

/// What happens to an entry.
#[derive(Clone, Copy, Debug)]
enum EntryStep {
    /// A caller submits so many tasks.
    Submit(usize),
    /// A caller repeats a submission.
    Repeat(usize),
    /// One of the tasks that are handed out ends.
    End(usize),
    Tick,
    Leave,
}

fn entry_steps() -> impl Strategy<Value = Vec<EntryStep>> {
    let step = prop_oneof![
        6 => (1_usize..4).prop_map(EntryStep::Submit),
        2 => (0_usize..10).prop_map(EntryStep::Repeat),
        6 => (0_usize..stops::SLOTS).prop_map(EntryStep::End),
        4 => Just(EntryStep::Tick),
        1 => Just(EntryStep::Leave),
    ];
    collection::vec(step, 1..60)
}

/// A submission that was taken in: its tasks that have not ended yet.
struct Taken {
    id: ids::SubmissionId,
    tasks: usize,
    left: usize,
}

struct EntryWorld {
    core: entry::core::Core,
    now_ms: u64,
    taken: Vec<Taken>,
    handed_out: Vec<wire::Dispatch>,
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

impl EntryWorld {
    fn new() -> Self {
        let me = stops::peer(wire::Role::Entry, "entry", stops::ENTRY_INCARNATION);
        let mut world = Self {
            core: entry::core::Core::new(me, stops::settings(), 0, 1),
            now_ms: 0,
            taken: Vec::new(),
            handed_out: Vec::new(),
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
                entry::core::Action::Dispatch { dispatch, .. } => self.handed_out.push(*dispatch),
                entry::core::Action::Answer { answer, .. } => {
                    let id = SmolStr::from(answer.submission.clone().expect("an id"));
                    let before = self.answered.insert(id, *answer);
                    assert_eq!(before, None, "two last words");
                }
                _ => {}
            }
        }
    }

    fn step(&mut self, step: EntryStep) -> Result<(), TestCaseError> {
        match step {
            EntryStep::Submit(tasks) => self.submit(tasks)?,
            EntryStep::Repeat(at) => self.repeat(at)?,
            EntryStep::End(at) => self.end(at),
            EntryStep::Tick => self.tick(),
            EntryStep::Leave => {
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
                let left = tasks;
                self.taken.push(Taken { id, tasks, left });
                prop_assert!(!self.is_leaving, "taken in while it stops");
            }
            calls::Reply::Answer(answer) => {
                prop_assert!(self.is_leaving, "refused though it does not stop");
                prop_assert_eq!(answer.code, codes::Code::Leaving);
                prop_assert!(answer.is_final);
            }
            reply => prop_assert!(false, "{reply:?}"),
        }
        self.act(actions);
        Ok(())
    }

    /// A repeat is served from what is known, also while the entry stops.
    fn repeat(&mut self, at: usize) -> Result<(), TestCaseError> {
        let Some(Taken { id, tasks, left }) = self.taken.get(at) else {
            return Ok(());
        };
        let repeated = submission(id, *tasks);
        let (reply, actions) = self.core.submit(self.now_ms, &stops::TEAM, repeated);
        match reply {
            calls::Reply::Open(_) => prop_assert!(*left > 0),
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

    fn end(&mut self, at: usize) {
        if at >= self.handed_out.len() {
            return;
        }
        let dispatch = self.handed_out.remove(at);
        let is_of = |taken: &&mut Taken| SmolStr::from(taken.id.clone()) == dispatch.submission;
        let taken = self.taken.iter_mut().find(is_of);
        taken.expect("only what was taken in is handed out").left -= 1;
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
        let over = self.taken.iter().filter(|taken| taken.left == 0);
        let over: collections::BTreeSet<_> = over.map(|taken| taken.id.to_string()).collect();
        let answered = self.answered.iter();
        let is_complete = |answer: &api::Answer| answer.code == codes::Code::Complete;
        let complete = answered.filter(|(_, answer)| is_complete(answer));
        let complete: collections::BTreeSet<_> = complete.map(|(id, _)| id.to_string()).collect();
        prop_assert_eq!(complete, over);
        let open = self.taken.iter().filter(|taken| taken.left > 0).count();
        prop_assert_eq!(self.core.open(), open, "what it waits for before it ends");
        Ok(())
    }
}

// An entry is told to stop at any moment, with tasks handed out and others that wait in
// its queue. Every job that it took in comes back complete, also those whose tasks had not
// been handed out; whoever comes later is told "not run", and a repeat gets its answer.
#[test]
fn stopping_entry_brings_all_that_it_took_in_to_an_end() {
    let mut cases = fixtures::fixed_runner(stops::CASES);

    let verdict = cases.run(&entry_steps(), |steps| {
        let mut world = EntryWorld::new();
        for step in steps {
            world.step(step)?;
        }
        world.step(EntryStep::Leave)?;
        while !world.handed_out.is_empty() {
            world.step(EntryStep::End(0))?;
            world.step(EntryStep::Tick)?;
        }
        prop_assert_eq!(world.core.open(), 0, "something was left behind");
        Ok(())
    });

    verdict.unwrap();
}

// An entry that stops is told a second time, or its deadline is over. Every open job gets
// its last answer at once: what was handed out may have run, and the rest did not.
#[test]
fn abandoned_entry_tells_what_may_have_run() {
    let mut cases = fixtures::fixed_runner(stops::CASES);

    let verdict = cases.run(&entry_steps(), |steps| {
        let mut world = EntryWorld::new();
        for step in steps {
            world.step(step)?;
        }
        let handed_out: collections::BTreeSet<_> = world
            .handed_out
            .iter()
            .map(|dispatch| (dispatch.submission.to_string(), dispatch.index))
            .collect();
        let actions = world.core.abandon(world.now_ms);
        world.act(actions);
        for taken in world.taken.iter().filter(|taken| taken.left > 0) {
            let id = taken.id.to_string();
            let answer = &world.answered[id.as_str()];
            prop_assert!(answer.is_final);
            let fates: Vec<_> = answer.tasks.iter().map(|task| task.fate).collect();
            let out = handed_out.iter().filter(|(of, _)| *of == id).count();
            let count = |fate| fates.iter().filter(|one| **one == fate).count();
            prop_assert_eq!(count(api::TaskOutcome::MayHaveRun), out);
            prop_assert_eq!(count(api::TaskOutcome::Ran), taken.tasks - taken.left);
            prop_assert_eq!(count(api::TaskOutcome::NotRun), taken.left - out);
        }
        prop_assert_eq!(world.core.open(), 0);
        Ok(())
    });

    verdict.unwrap();
}
