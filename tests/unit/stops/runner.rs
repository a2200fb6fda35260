//! A runner that is asked to stop.

use std::collections;

use bulrushtiller::codes;
use bulrushtiller::ids;
use bulrushtiller::runner;
use bulrushtiller::wire;
use proptest::collection;
use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::prop_oneof;
use proptest::test_runner::TestCaseError;

use crate::settings::fixtures;
use crate::stops;

/// Event at a runner.
#[derive(Clone, Copy, Debug)]
enum RunnerStep {
    /// An entry sends the next task, or repeats an earlier one.
    Dispatch {
        repeated: Option<usize>,
    },
    /// A running task, chosen by its index, ends at the backend server.
    End(usize),
    Tick,
    Leave,
}

fn runner_steps() -> impl Strategy<Value = Vec<RunnerStep>> {
    let repeated = proptest::option::weighted(0.2, 0_usize..20);
    let step = prop_oneof![
        8 => repeated.prop_map(|repeated| RunnerStep::Dispatch { repeated }),
        6 => (0_usize..stops::SLOTS).prop_map(RunnerStep::End),
        4 => Just(RunnerStep::Tick),
        1 => Just(RunnerStep::Leave),
    ];
    collection::vec(step, 1..80)
}

fn attempt(number: usize) -> ids::Attempt {
    ids::Attempt {
        owner: stops::ENTRY_INCARNATION,
        number: number as u64,
    }
}

fn dispatch(number: usize) -> wire::Dispatch {
    wire::Dispatch {
        version: wire::VERSION,
        attempt: attempt(number),
        incarnation: stops::RUNNER_INCARNATION,
        epoch: 1,
        entry: "entry".into(),
        team: stops::TEAM,
        kind: "fit".into(),
        payload: String::new(),
        resources: stops::ZERO,
        wait_ms: 60_000,
        slack_ms: 0,
        limit_ms: 60_000,
        submission: "s".into(),
        index: 0,
    }
}

/// Action of a runner in the terms of the reference model.
#[derive(Clone, Debug, PartialEq)]
enum ModelAction {
    Started(usize),
    Answered(usize, codes::Code),
}

fn model_action(action: &runner::core::Action) -> ModelAction {
    let number =
        |attempt: ids::Attempt| usize::try_from(attempt.number).expect("the number fits in usize");
    match action {
        runner::core::Action::Start(dispatch) => ModelAction::Started(number(dispatch.attempt)),
        runner::core::Action::Stop(attempt) => unreachable!("unexpected stop of {attempt}"),
        runner::core::Action::SendHeartbeats => unreachable!("unexpected heartbeats"),
        runner::core::Action::Answer(attempt, outcome) => match outcome {
            wire::Outcome::NotStarted { code } | wire::Outcome::Ended { code, .. } => {
                ModelAction::Answered(number(*attempt), *code)
            }
            outcome => unreachable!("outcome is not final: {outcome:?}"),
        },
    }
}

/// Reference model of a runner: lists of waiting, running and answered tasks.
#[derive(Default)]
struct RunnerModel {
    queued: collections::VecDeque<usize>,
    running: Vec<usize>,
    answered: collections::BTreeMap<usize, codes::Code>,
    is_leaving: bool,
}

impl RunnerModel {
    fn answer(&mut self, number: usize, code: codes::Code) -> ModelAction {
        self.answered.insert(number, code);
        ModelAction::Answered(number, code)
    }

    fn start_queued(&mut self) -> Vec<ModelAction> {
        let mut model_actions = Vec::new();
        while self.running.len() < stops::SLOTS && !self.is_leaving {
            let Some(number) = self.queued.pop_front() else {
                break;
            };
            self.running.push(number);
            model_actions.push(ModelAction::Started(number));
        }
        model_actions
    }

    fn dispatch(&mut self, number: usize) -> Vec<ModelAction> {
        if let Some(code) = self.answered.get(&number) {
            return vec![ModelAction::Answered(number, *code)];
        }
        if self.queued.contains(&number) || self.running.contains(&number) {
            return Vec::new();
        }
        if self.is_leaving {
            return vec![self.answer(number, codes::Code::Leaving)];
        }
        if self.queued.len() >= stops::SLOTS {
            return vec![self.answer(number, codes::Code::RunnerFull)];
        }
        self.queued.push_back(number);
        self.start_queued()
    }

    fn end(&mut self, at: usize) -> Option<(usize, Vec<ModelAction>)> {
        (at < self.running.len()).then(|| {
            let number = self.running.remove(at);
            let mut model_actions = vec![self.answer(number, codes::Code::Complete)];
            model_actions.extend(self.start_queued());
            (number, model_actions)
        })
    }

    fn leave(&mut self) -> Vec<ModelAction> {
        self.is_leaving = true;
        let returned = std::mem::take(&mut self.queued);
        returned
            .into_iter()
            .map(|number| self.answer(number, codes::Code::Leaving))
            .collect()
    }
}

fn runner_core() -> runner::core::Core {
    let parts = runner::core::Parts {
        me: stops::peer(wire::Role::Runner, "runner", stops::RUNNER_INCARNATION),
        slots: 2,
        size: stops::ZERO,
    };
    runner::core::Core::new(parts, stops::settings(), 0)
}

fn run_runner(steps: &[RunnerStep]) -> Result<(), TestCaseError> {
    let mut core = runner_core();
    let mut model = RunnerModel::default();
    let (mut now_ms, mut next) = (0, 0);
    for step in steps {
        now_ms += stops::TICK_MS;
        core.freshness().record_log_read(now_ms);
        let (actions, expected) = match *step {
            RunnerStep::Dispatch { repeated } => {
                let number = repeated.filter(|number| *number < next).unwrap_or(next);
                next = next.max(number + 1);
                let actions = core.dispatch(now_ms, dispatch(number));
                (actions, model.dispatch(number))
            }
            RunnerStep::End(at) => {
                let Some((number, expected)) = model.end(at) else {
                    continue;
                };
                prop_assert!(core.may_start(now_ms, attempt(number)) != model.is_leaving);
                let end = runner::core::End::Ended {
                    code: codes::Code::Complete,
                    output: String::new(),
                    peak: stops::ZERO,
                };
                (core.ended(now_ms, attempt(number), end), expected)
            }
            RunnerStep::Tick => (core.tick(now_ms), Vec::new()),
            RunnerStep::Leave => (core.leave(), model.leave()),
        };
        let actions: Vec<_> = actions.iter().map(model_action).collect();
        prop_assert_eq!(actions, expected);
        prop_assert_eq!(core.running(), model.running.len());
        prop_assert_eq!(core.waiting(), model.queued.len());
    }
    Ok(())
}

// A runner is asked to stop while tasks run and wait, and entries go on sending tasks, some of
// them twice. Running tasks must end normally and be answered, waiting ones must be returned at
// once as not started, and no further task may start.
#[test]
fn stopping_runner_matches_the_reference_model() {
    let mut cases = fixtures::fixed_runner(stops::CASES);

    let verdict = cases.run(&runner_steps(), |steps| run_runner(&steps));

    verdict.unwrap();
}
