//! Whose answer a caller gets, against a naive map.

use std::collections;
use std::sync;

use bulrushtiller::api;
use bulrushtiller::claims;
use bulrushtiller::codes;
use bulrushtiller::entry;
use bulrushtiller::entry::calls;
use bulrushtiller::ids;
use bulrushtiller::jobs;
use bulrushtiller::settings;
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

const CASES: u32 = 512;
const TEAMS: [&str; 3] = ["escola", "oficina", "parque"];
const TICKETS: usize = 2;
/// Own ids and tickets, each of which all teams use.
const IDS: usize = 4;
/// Enough for all tasks at once: what waits is not at issue here.
const SLOTS: u32 = 1_000;
const LIFE: ids::Incarnation = ids::Incarnation(7);

#[derive(Clone, Copy, Debug)]
enum Step {
    /// A team submits under an id: so many tasks of this content.
    Submit {
        team: usize,
        id: usize,
        content: usize,
        tasks: usize,
    },
    /// A team asks for the answer.
    Fetch { team: usize, id: usize },
    /// A dispatch is answered, whichever, however late, perhaps again.
    Outcome {
        at: usize,
        succeeds: bool,
        is_of_earlier_life: bool,
    },
    /// The log's claims are read.
    Read,
}

fn any_step() -> impl Strategy<Value = Step> {
    let name = (0..TEAMS.len(), 0..IDS);
    let submit = (name.clone(), 0_usize..2, 1_usize..4).prop_map(|((team, id), content, tasks)| {
        Step::Submit {
            team,
            id,
            content,
            tasks,
        }
    });
    let outcome =
        (0_usize..40, 0_u32..12, 0_u32..6).prop_map(|(at, fails, earlier)| Step::Outcome {
            at,
            succeeds: fails > 0,
            is_of_earlier_life: earlier == 0,
        });
    prop_oneof![
        5 => submit,
        3 => name.prop_map(|(team, id)| Step::Fetch { team, id }),
        14 => outcome,
        3 => Just(Step::Read),
    ]
}

type Name = (usize, usize);

/// A submission as a plain map knows it: what was asked first, and what came of it.
struct Naive {
    payloads: Vec<String>,
    /// Of each task, once it ended: whether it succeeded.
    ends: Vec<Option<bool>>,
}

impl Naive {
    fn is_over(&self) -> bool {
        self.ends.iter().all(Option::is_some)
    }

    /// The outputs that the answer must carry: all or none.
    fn outputs(&self) -> Vec<Option<String>> {
        let is_complete = self.ends.iter().all(|end| *end == Some(true));
        let output = |payload: &String| is_complete.then(|| output(payload));
        self.payloads.iter().map(output).collect()
    }
}

fn output(payload: &str) -> String {
    format!("output of {payload}")
}

struct World {
    entry: entry::core::Core,
    ids: Vec<ids::SubmissionId>,
    now_ms: u64,
    naive: collections::BTreeMap<Name, Naive>,
    keys: collections::HashMap<jobs::Key, Name>,
    answered: collections::BTreeSet<Name>,
    /// Calls that wait for a claim, in the order in which they came.
    waiting: Vec<(Name, api::Submission)>,
    log: Vec<claims::Record>,
    dispatches: Vec<wire::Dispatch>,
    settled: collections::BTreeSet<usize>,
}

fn peer(role: wire::Role, name: &str, incarnation: ids::Incarnation) -> wire::Peer {
    wire::Peer {
        role,
        name: SmolStr::new(name),
        incarnation,
        zone: SmolStr::new_static("caxias"),
        rack: SmolStr::new_static("rack"),
        address: SmolStr::new(name),
    }
}

fn load() -> wire::Load {
    wire::Load {
        slots: SLOTS,
        epoch: 1,
        sequence: 1,
        ..wire::Load::default()
    }
}

fn heartbeat() -> wire::Heartbeat {
    wire::Heartbeat {
        load: Some(load()),
        ..wire::Heartbeat::new(peer(wire::Role::Runner, "runner", ids::Incarnation(1)))
    }
}

fn submission(name: Name, id: &ids::SubmissionId, content: usize, tasks: usize) -> api::Submission {
    let task = |index| api::Task {
        payload: format!("{}/{}/{content}/{index}", name.0, name.1),
        ..api::Task::default()
    };
    api::Submission {
        submission: Some(id.clone()),
        deadline_ms: Some(60_000),
        wait_ms: 0,
        idempotent: false,
        tasks: (0..tasks).map(task).collect(),
    }
}

impl World {
    fn new() -> Self {
        let mut settings = settings::Settings::default();
        for team in TEAMS {
            let quota = settings::Team::default();
            settings.teams.insert(SmolStr::new_static(team), quota);
        }
        let me = peer(wire::Role::Entry, "entry", LIFE);
        let mut entry = entry::core::Core::new(me, sync::Arc::new(settings), 0, 1);
        entry.heartbeat(0, &heartbeat());
        let own = |at| ids::SubmissionId::Own(smol_str::format_smolstr!("id-{at}"));
        let mut ids: Vec<_> = (TICKETS..IDS).map(own).collect();
        ids.extend((0..TICKETS).map(|_| entry.ticket()));
        Self {
            entry,
            ids,
            now_ms: 0,
            naive: collections::BTreeMap::new(),
            keys: collections::HashMap::new(),
            answered: collections::BTreeSet::new(),
            waiting: Vec::new(),
            log: Vec::new(),
            dispatches: Vec::new(),
            settled: collections::BTreeSet::new(),
        }
    }

    fn team(name: Name) -> SmolStr {
        SmolStr::new_static(TEAMS[name.0])
    }

    fn step(&mut self, step: Step) -> Result<(), TestCaseError> {
        self.now_ms += 1;
        match step {
            Step::Submit {
                team,
                id,
                content,
                tasks,
            } => {
                let name = (team, id);
                let submission = submission(name, &self.ids[id], content, tasks);
                let payloads = submission.tasks.iter().map(|task| task.payload.clone());
                self.naive.entry(name).or_insert_with(|| Naive {
                    payloads: payloads.collect(),
                    ends: vec![None; tasks],
                });
                self.submit(name, submission)
            }
            Step::Fetch { team, id } => self.fetch((team, id)),
            Step::Outcome {
                at,
                succeeds,
                is_of_earlier_life,
            } => self.outcome(at, succeeds, is_of_earlier_life),
            Step::Read => self.read(),
        }
    }

    fn submit(&mut self, name: Name, submission: api::Submission) -> Result<(), TestCaseError> {
        let asked = submission.clone();
        let (reply, actions) = self
            .entry
            .submit(self.now_ms, &Self::team(name), submission);
        match reply {
            calls::Reply::Claiming(_) => self.waiting.push((name, asked)),
            calls::Reply::Open(key) => self.opened(name, key)?,
            calls::Reply::Answer(answer) => {
                let payloads = asked.tasks.iter().map(|task| &task.payload);
                let is_repeat = payloads.eq(&self.naive[&name].payloads);
                if is_repeat {
                    self.check(name, &answer)?;
                } else {
                    prop_assert_eq!(answer.code, codes::Code::ContentConflict);
                    prop_assert!(answer.tasks.is_empty());
                }
            }
            calls::Reply::Forward { .. } => prop_assert!(false, "there is no other entry"),
        }
        self.act(actions)
    }

    /// A call waits under this key: nobody else's may have the same.
    fn opened(&mut self, name: Name, key: jobs::Key) -> Result<(), TestCaseError> {
        let known = *self.keys.entry(key).or_insert(name);
        prop_assert_eq!(known, name, "a caller waits for another's answer");
        Ok(())
    }

    fn check(&self, name: Name, answer: &api::Answer) -> Result<(), TestCaseError> {
        let naive = &self.naive[&name];
        prop_assert!(naive.is_over(), "answered before the end: {answer:?}");
        prop_assert_eq!(answer.submission.as_ref(), Some(&self.ids[name.1]));
        let outputs: Vec<_> = answer
            .tasks
            .iter()
            .map(|task| task.output.clone())
            .collect();
        prop_assert_eq!(outputs, naive.outputs());
        Ok(())
    }

    fn fetch(&mut self, name: Name) -> Result<(), TestCaseError> {
        let id = &self.ids[name.1];
        let reply = self.entry.fetch(self.now_ms, &Self::team(name), id);
        let Some(naive) = self.naive.get(&name) else {
            let calls::Reply::Answer(answer) = reply else {
                prop_assert!(false, "{reply:?} of what was never submitted");
                return Ok(());
            };
            prop_assert_eq!(answer.code, codes::Code::UnknownSubmission);
            return Ok(());
        };
        match reply {
            calls::Reply::Answer(answer) => self.check(name, &answer),
            calls::Reply::Open(key) => {
                prop_assert!(!naive.is_over(), "no answer though all has ended");
                self.opened(name, key)
            }
            calls::Reply::Claiming(_) => Ok(()),
            calls::Reply::Forward { .. } => {
                prop_assert!(false, "there is no other entry");
                Ok(())
            }
        }
    }

    fn outcome(
        &mut self,
        at: usize,
        succeeds: bool,
        is_of_earlier_life: bool,
    ) -> Result<(), TestCaseError> {
        let Some(dispatch) = self.dispatches.get(at) else {
            return Ok(());
        };
        let payload = dispatch.payload.clone();
        let mut attempt = dispatch.attempt;
        if is_of_earlier_life {
            attempt.owner = ids::Incarnation(LIFE.0 - 1);
        } else if self.settled.insert(at) {
            self.note_end(&payload, succeeds);
        }
        let code = if succeeds {
            codes::Code::Complete
        } else {
            codes::Code::TaskFailed
        };
        let outcome = wire::Outcome::Ended {
            code,
            output: output(&payload),
            run_ms: 1,
            peak: wire::Resources::default(),
        };
        let reply = wire::DispatchReply {
            version: wire::VERSION,
            attempt,
            outcome,
            load: load(),
        };
        let actions = self.entry.dispatch_answered(self.now_ms, reply);
        self.act(actions)
    }

    fn note_end(&mut self, payload: &str, succeeds: bool) {
        for naive in self.naive.values_mut() {
            let at = naive.payloads.iter().position(|one| one == payload);
            if let Some(at) = at {
                naive.ends[at] = Some(succeeds);
            }
        }
    }

    fn read(&mut self) -> Result<(), TestCaseError> {
        let from = self.entry.claims_position();
        let records = (0..).zip(self.log.iter().cloned().map(Some));
        let page = claims::Page {
            first: 0,
            records: records.filter(|(offset, _)| *offset >= from).collect(),
        };
        let mut actions = self.entry.claims_read(self.now_ms, Some(&page));
        actions.extend(self.entry.claims_appended(self.now_ms));
        self.act(actions)
    }

    fn act(&mut self, actions: Vec<entry::core::Action>) -> Result<(), TestCaseError> {
        for action in actions {
            match action {
                entry::core::Action::Dispatch { dispatch, .. } => self.dispatches.push(*dispatch),
                entry::core::Action::AppendClaims(record) => self.log.push(record),
                entry::core::Action::ClaimSettled(claimed) => self.call_again(&claimed)?,
                entry::core::Action::Answer { submission, answer } => {
                    let name = self.keys.get(&submission).copied();
                    let name = name.expect("somebody was told this key");
                    self.check(name, &answer)?;
                    prop_assert!(self.answered.insert(name), "answered twice");
                }
                entry::core::Action::Fence { .. } => {}
            }
        }
        Ok(())
    }

    fn call_again(&mut self, claimed: &claims::ScopedId) -> Result<(), TestCaseError> {
        let waiting = std::mem::take(&mut self.waiting);
        let is_of = |name: Name| {
            let is_team = Self::team(name) == claimed.0;
            is_team && self.ids[name.1].to_string() == claimed.1
        };
        let (again, others) = waiting.into_iter().partition(|(name, _)| is_of(*name));
        self.waiting = others;
        let again: Vec<(Name, api::Submission)> = again;
        for (name, submission) in again {
            self.submit(name, submission)?;
        }
        Ok(())
    }

    /// What has ended was answered, and nothing else.
    fn check_answered(&self) -> Result<(), TestCaseError> {
        let over = self.naive.iter().filter(|(_, naive)| naive.is_over());
        let over: collections::BTreeSet<_> = over.map(|(name, _)| *name).collect();
        prop_assert_eq!(&self.answered, &over);
        Ok(())
    }
}

// Three schools use the same ids for different jobs at the same time; outcomes come crossed,
// late, twice, and one is meant for an earlier life of the entry. What a caller would see
// if this went wrong: another school's answer, another task's output, or part of its own.
#[test]
fn every_caller_gets_the_whole_answer_to_its_own_request() {
    let mut runner = fixtures::fixed_runner(CASES);

    let verdict = runner.run(&collection::vec(any_step(), 1..120), |steps| {
        let mut world = World::new();
        for step in steps {
            world.step(step)?;
            world.check_answered()?;
        }
        Ok(())
    });

    verdict.unwrap();
}
