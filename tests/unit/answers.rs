//! Answers reach the right caller complete, checked against a simple model.

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
/// Number of client-chosen ids and tickets; all teams use each of them.
const IDS: usize = 4;
/// Enough for all tasks at once, so that no task is queued.
const SLOTS: u32 = 1_000;
const INCARNATION: ids::Incarnation = ids::Incarnation(7);

#[derive(Clone, Copy, Debug)]
enum Step {
    /// A team submits this many tasks with this content under an id.
    Submit {
        team: usize,
        id: usize,
        content: usize,
        tasks: usize,
    },
    /// A team fetches the answer.
    Fetch { team: usize, id: usize },
    /// Any dispatch is answered, possibly late or again.
    Outcome {
        at: usize,
        succeeds: bool,
        is_for_earlier_incarnation: bool,
    },
    /// The entry reads the claims stream.
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
        (0_usize..40, 0_u32..12, 0_u32..6).prop_map(|(at, failure_draw, incarnation_draw)| {
            Step::Outcome {
                at,
                succeeds: failure_draw > 0,
                is_for_earlier_incarnation: incarnation_draw == 0,
            }
        });
    prop_oneof![
        5 => submit,
        3 => name.prop_map(|(team, id)| Step::Fetch { team, id }),
        14 => outcome,
        3 => Just(Step::Read),
    ]
}

type Name = (usize, usize);

/// Model of a submission: the payloads of the first request and the task outcomes.
struct Model {
    payloads: Vec<String>,
    /// Whether each task succeeded, once it has ended.
    outcomes: Vec<Option<bool>>,
}

impl Model {
    fn has_ended(&self) -> bool {
        self.outcomes.iter().all(Option::is_some)
    }

    /// Returns the outputs that the answer must carry: all or none.
    fn outputs(&self) -> Vec<Option<String>> {
        let is_complete = self
            .outcomes
            .iter()
            .all(|succeeded| *succeeded == Some(true));
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
    model: collections::BTreeMap<Name, Model>,
    keys: collections::HashMap<jobs::Key, Name>,
    answered: collections::BTreeSet<Name>,
    /// Calls that wait for a claim, in order of arrival.
    waiting_calls: Vec<(Name, api::Submission)>,
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
        let me = peer(wire::Role::Entry, "entry", INCARNATION);
        let mut entry = entry::core::Core::new(me, sync::Arc::new(settings), 0, 1);
        entry.heartbeat(0, &heartbeat());
        let own_id = |at| ids::SubmissionId::Own(smol_str::format_smolstr!("id-{at}"));
        let mut ids: Vec<_> = (TICKETS..IDS).map(own_id).collect();
        ids.extend((0..TICKETS).map(|_| entry.ticket()));
        Self {
            entry,
            ids,
            now_ms: 0,
            model: collections::BTreeMap::new(),
            keys: collections::HashMap::new(),
            answered: collections::BTreeSet::new(),
            waiting_calls: Vec::new(),
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
                self.model.entry(name).or_insert_with(|| Model {
                    payloads: payloads.collect(),
                    outcomes: vec![None; tasks],
                });
                self.submit(name, submission)
            }
            Step::Fetch { team, id } => self.fetch((team, id)),
            Step::Outcome {
                at,
                succeeds,
                is_for_earlier_incarnation,
            } => self.outcome(at, succeeds, is_for_earlier_incarnation),
            Step::Read => self.read(),
        }
    }

    fn submit(&mut self, name: Name, submission: api::Submission) -> Result<(), TestCaseError> {
        let request = submission.clone();
        let (reply, actions) = self
            .entry
            .submit(self.now_ms, &Self::team(name), submission);
        match reply {
            calls::Reply::Claiming(_) => self.waiting_calls.push((name, request)),
            calls::Reply::Open(key) => self.check_key(name, key)?,
            calls::Reply::Answer(answer) => {
                let payloads = request.tasks.iter().map(|task| &task.payload);
                let is_repeat = payloads.eq(&self.model[&name].payloads);
                if is_repeat {
                    self.check(name, &answer)?;
                } else {
                    prop_assert_eq!(answer.code, codes::Code::ContentConflict);
                    prop_assert!(answer.tasks.is_empty());
                }
            }
            calls::Reply::Forward { .. } => prop_assert!(false, "forwarded without another entry"),
        }
        self.act(actions)
    }

    /// Checks that calls for different submissions wait under different keys.
    fn check_key(&mut self, name: Name, key: jobs::Key) -> Result<(), TestCaseError> {
        let known = *self.keys.entry(key).or_insert(name);
        prop_assert_eq!(
            known,
            name,
            "caller waits for the answer to another submission"
        );
        Ok(())
    }

    fn check(&self, name: Name, answer: &api::Answer) -> Result<(), TestCaseError> {
        let model = &self.model[&name];
        prop_assert!(
            model.has_ended(),
            "answered before all tasks ended: {answer:?}"
        );
        prop_assert_eq!(answer.submission.as_ref(), Some(&self.ids[name.1]));
        let outputs: Vec<_> = answer
            .tasks
            .iter()
            .map(|task| task.output.clone())
            .collect();
        prop_assert_eq!(outputs, model.outputs());
        Ok(())
    }

    fn fetch(&mut self, name: Name) -> Result<(), TestCaseError> {
        let id = &self.ids[name.1];
        let reply = self.entry.fetch(self.now_ms, &Self::team(name), id);
        let Some(model) = self.model.get(&name) else {
            let calls::Reply::Answer(answer) = reply else {
                prop_assert!(false, "{reply:?} for an id without a submission");
                return Ok(());
            };
            prop_assert_eq!(answer.code, codes::Code::UnknownSubmission);
            return Ok(());
        };
        match reply {
            calls::Reply::Answer(answer) => self.check(name, &answer),
            calls::Reply::Open(key) => {
                prop_assert!(!model.has_ended(), "no answer though all tasks have ended");
                self.check_key(name, key)
            }
            calls::Reply::Claiming(_) => Ok(()),
            calls::Reply::Forward { .. } => {
                prop_assert!(false, "forwarded without another entry");
                Ok(())
            }
        }
    }

    fn outcome(
        &mut self,
        at: usize,
        succeeds: bool,
        is_for_earlier_incarnation: bool,
    ) -> Result<(), TestCaseError> {
        let Some(dispatch) = self.dispatches.get(at) else {
            return Ok(());
        };
        let payload = dispatch.payload.clone();
        let mut attempt = dispatch.attempt;
        if is_for_earlier_incarnation {
            attempt.owner = ids::Incarnation(INCARNATION.0 - 1);
        } else if self.settled.insert(at) {
            self.record_outcome(&payload, succeeds);
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

    fn record_outcome(&mut self, payload: &str, succeeds: bool) {
        for model in self.model.values_mut() {
            let at = model.payloads.iter().position(|other| other == payload);
            if let Some(at) = at {
                model.outcomes[at] = Some(succeeds);
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
                entry::core::Action::ClaimSettled(claimed) => self.repeat_calls(&claimed)?,
                entry::core::Action::Answer { submission, answer } => {
                    let name = self.keys.get(&submission).copied();
                    let name = name.expect("a call was given this key");
                    self.check(name, &answer)?;
                    prop_assert!(self.answered.insert(name), "submission answered twice");
                }
                entry::core::Action::Fence { .. } => {}
            }
        }
        Ok(())
    }

    fn repeat_calls(&mut self, claimed: &claims::ScopedId) -> Result<(), TestCaseError> {
        let waiting_calls = std::mem::take(&mut self.waiting_calls);
        let is_claimed = |name: Name| {
            let is_team = Self::team(name) == claimed.0;
            is_team && self.ids[name.1].to_string() == claimed.1
        };
        let (ready, others) = waiting_calls
            .into_iter()
            .partition(|(name, _)| is_claimed(*name));
        self.waiting_calls = others;
        let ready: Vec<(Name, api::Submission)> = ready;
        for (name, submission) in ready {
            self.submit(name, submission)?;
        }
        Ok(())
    }

    /// Checks that exactly the ended submissions were answered.
    fn check_answered(&self) -> Result<(), TestCaseError> {
        let ended = self.model.iter().filter(|(_, model)| model.has_ended());
        let ended: collections::BTreeSet<_> = ended.map(|(name, _)| *name).collect();
        prop_assert_eq!(&self.answered, &ended);
        Ok(())
    }
}

// Three teams use the same ids for different jobs at the same time. Outcomes arrive out of
// order, late and repeated, and some are addressed to an earlier incarnation of the entry.
// Guards against answers of another team, outputs of another task and partial answers.
#[test]
fn callers_get_complete_answers_to_their_own_submissions() {
    let mut runner = fixtures::fixed_runner(CASES);

    let result = runner.run(&collection::vec(any_step(), 1..120), |steps| {
        let mut world = World::new();
        for step in steps {
            world.step(step)?;
            world.check_answered()?;
        }
        Ok(())
    });

    result.unwrap();
}
