//! A runner that is told to stop.

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

/// What happens to a runner.
#[derive(Clone, Copy, Debug)]
enum RunnerStep {
    /// An entry hands over the next task, or one that it handed over before.
    Dispatch {
        again: Option<usize>,
    },
    /// One of those that run ends at the backend server.
    End(usize),
    Tick,
    Leave,
}

fn runner_steps() -> impl Strategy<Value = Vec<RunnerStep>> {
    let again = proptest::option::weighted(0.2, 0_usize..20);
    let step = prop_oneof![
        8 => again.prop_map(|again| RunnerStep::Dispatch { again }),
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

/// What a runner may say or do, in the words of the naive list.
#[derive(Clone, Debug, PartialEq)]
enum Said {
    Starts(usize),
    Answers(usize, codes::Code),
}

fn said(action: &runner::core::Action) -> Said {
    let number = |attempt: ids::Attempt| usize::try_from(attempt.number).expect("few");
    match action {
        runner::core::Action::Start(dispatch) => Said::Starts(number(dispatch.attempt)),
        runner::core::Action::Stop(attempt) => unreachable!("{attempt} is stopped"),
        runner::core::Action::SendHeartbeats => unreachable!("no zone comes back"),
        runner::core::Action::Answer(attempt, outcome) => match outcome {
            wire::Outcome::NotStarted { code } | wire::Outcome::Ended { code, .. } => {
                Said::Answers(number(*attempt), *code)
            }
            outcome => unreachable!("{outcome:?} is no end"),
        },
    }
}

/// A runner as three plain lists.
#[derive(Default)]
struct NaiveRunner {
    waiting: collections::VecDeque<usize>,
    running: Vec<usize>,
    answered: collections::BTreeMap<usize, codes::Code>,
    is_leaving: bool,
}

impl NaiveRunner {
    fn answer(&mut self, number: usize, code: codes::Code) -> Said {
        self.answered.insert(number, code);
        Said::Answers(number, code)
    }

    fn fill(&mut self) -> Vec<Said> {
        let mut said = Vec::new();
        while self.running.len() < stops::SLOTS && !self.is_leaving {
            let Some(number) = self.waiting.pop_front() else {
                break;
            };
            self.running.push(number);
            said.push(Said::Starts(number));
        }
        said
    }

    fn dispatch(&mut self, number: usize) -> Vec<Said> {
        if let Some(code) = self.answered.get(&number) {
            return vec![Said::Answers(number, *code)];
        }
        if self.waiting.contains(&number) || self.running.contains(&number) {
            return Vec::new();
        }
        if self.is_leaving {
            return vec![self.answer(number, codes::Code::Leaving)];
        }
        if self.waiting.len() >= stops::SLOTS {
            return vec![self.answer(number, codes::Code::RunnerFull)];
        }
        self.waiting.push_back(number);
        self.fill()
    }

    fn end(&mut self, at: usize) -> Option<(usize, Vec<Said>)> {
        (at < self.running.len()).then(|| {
            let number = self.running.remove(at);
            let mut said = vec![self.answer(number, codes::Code::Complete)];
            said.extend(self.fill());
            (number, said)
        })
    }

    fn leave(&mut self) -> Vec<Said> {
        self.is_leaving = true;
        let out = std::mem::take(&mut self.waiting);
        out.into_iter()
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
    let mut naive = NaiveRunner::default();
    let (mut now_ms, mut next) = (0, 0);
    for step in steps {
        now_ms += stops::TICK_MS;
        core.freshness().record_log_read(now_ms);
        let (actions, expected) = match *step {
            RunnerStep::Dispatch { again } => {
                let number = again.filter(|number| *number < next).unwrap_or(next);
                next = next.max(number + 1);
                let actions = core.dispatch(now_ms, dispatch(number));
                (actions, naive.dispatch(number))
            }
            RunnerStep::End(at) => {
                let Some((number, expected)) = naive.end(at) else {
                    continue;
                };
                prop_assert!(core.may_start(now_ms, attempt(number)) != naive.is_leaving);
                let end = runner::core::End::Ended {
                    code: codes::Code::Complete,
                    output: String::new(),
                    peak: stops::ZERO,
                };
                (core.ended(now_ms, attempt(number), end), expected)
            }
            RunnerStep::Tick => (core.tick(now_ms), Vec::new()),
            RunnerStep::Leave => (core.leave(), naive.leave()),
        };
        let actions: Vec<_> = actions.iter().map(said).collect();
        prop_assert_eq!(actions, expected);
        prop_assert_eq!(core.running(), naive.running.len());
        prop_assert_eq!(core.waiting(), naive.waiting.len());
    }
    Ok(())
}

// A runner is told to stop at any moment, with tasks that run and others that wait there,
// while entries hand over more, some a second time. What runs goes on to its own end and is
// answered, what waits is handed back at once as not run, and nothing starts any more.
#[test]
fn stopping_runner_equals_three_naive_lists() {
    let mut cases = fixtures::fixed_runner(stops::CASES);

    let verdict = cases.run(&runner_steps(), |steps| run_runner(&steps));

    verdict.unwrap();
}
