//! The runner's ledger, compared with one that never drops an attempt.

use std::collections;

use bulrushtiller::codes;
use bulrushtiller::ids;
use bulrushtiller::starts;
use bulrushtiller::wire;
use proptest::prelude::Strategy;
use proptest::prop_assert;
use proptest::prop_oneof;
use proptest::test_runner;

use crate::settings::fixtures;

const LENGTH_MS: u64 = 100;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Step {
    /// An entry creates an attempt with the current epoch of the runner.
    Create,
    /// A dispatch arrives for the first time, again or late.
    Dispatch(usize),
    /// A parked task starts.
    Start(usize),
    /// A running task ends.
    End(usize),
    /// An entry bars an attempt.
    Bar(usize),
    /// Time passes.
    Wait(u64),
}

#[derive(Default)]
struct Model {
    /// Epochs of the created attempts.
    created: Vec<u64>,
    admitted: collections::BTreeSet<usize>,
    barred: collections::BTreeSet<usize>,
}

fn any_step() -> impl Strategy<Value = Step> {
    let at = 0_usize..12;
    prop_oneof![
        3 => proptest::strategy::Just(Step::Create),
        6 => at.clone().prop_map(Step::Dispatch),
        3 => at.clone().prop_map(Step::Start),
        3 => at.clone().prop_map(Step::End),
        3 => at.prop_map(Step::Bar),
        3 => (0_u64..150).prop_map(Step::Wait),
    ]
}

fn attempt(at: usize) -> ids::Attempt {
    ids::Attempt {
        owner: ids::Incarnation(1),
        number: at as u64,
    }
}

fn ended() -> starts::AttemptState {
    starts::AttemptState::Ended(wire::Outcome::Ended {
        code: codes::Code::Complete,
        output: String::new(),
        run_ms: 1,
        peak: wire::Resources::default(),
    })
}

fn run(steps: &[Step]) -> Result<(), test_runner::TestCaseError> {
    let mut now_ms = 0;
    let mut ledger = starts::Ledger::new(now_ms);
    let mut model = Model::default();
    for step in steps {
        match *step {
            Step::Create => model.created.push(ledger.epoch()),
            Step::Wait(ms) => {
                now_ms += ms;
                ledger.advance(now_ms, LENGTH_MS);
            }
            Step::Dispatch(at) if at < model.created.len() => {
                let is_new = !model.admitted.contains(&at) && !model.barred.contains(&at);
                let admission = ledger.admit(attempt(at), model.created[at]);
                let is_in_window = model.created[at] + 1 >= ledger.epoch();
                match admission {
                    starts::Admission::New => {
                        prop_assert!(is_new, "admitted twice or after it was barred");
                        model.admitted.insert(at);
                    }
                    starts::Admission::Known(_) => prop_assert!(!is_new),
                    starts::Admission::Refused(code) => {
                        prop_assert!(code == codes::Code::StaleDispatch && !is_in_window);
                    }
                }
            }
            Step::Start(at) => {
                if ledger.get(attempt(at)) == Some(&starts::AttemptState::Parked) {
                    let running = starts::AttemptState::Running { since_ms: now_ms };
                    ledger.set(attempt(at), running);
                }
            }
            Step::End(at) => {
                let state = ledger.get(attempt(at));
                if matches!(state, Some(starts::AttemptState::Running { .. })) {
                    ledger.set(attempt(at), ended());
                }
            }
            Step::Bar(at) if at < model.created.len() && ledger.get(attempt(at)).is_none() => {
                ledger.bar(attempt(at));
                prop_assert!(
                    ledger.get(attempt(at)).is_some(),
                    "a barred attempt is unknown"
                );
                model.barred.insert(at);
            }
            Step::Dispatch(_) | Step::Bar(_) => {}
        }
    }
    Ok(())
}

// A ledger that drops an attempt too early starts its task twice. Here dispatches arrive twice,
// late and after they were barred, while old attempts are dropped.
#[test]
fn ledger_admits_each_attempt_at_most_once_and_none_that_is_barred() {
    let mut runner = fixtures::fixed_runner(2_000);
    let steps = proptest::collection::vec(any_step(), 1..80);

    let result = runner.run(&steps, |steps| run(&steps));

    assert_eq!(result, Ok(()));
}

#[test]
fn settled_attempts_are_dropped_after_two_epochs() {
    let mut ledger = starts::Ledger::new(0);

    for round in 0..100 {
        for at in 0..10 {
            ledger.bar(attempt(round * 10 + at));
        }
        ledger.advance(round as u64 * LENGTH_MS, LENGTH_MS);
    }

    assert!(ledger.len() <= 20, "{} are remembered", ledger.len());
}

// An attempt that is admitted without a record would start again with the next copy of its
// dispatch, and one that is reported as barred without a record could be admitted later.
#[test]
fn full_ledger_admits_and_bars_nothing() {
    let mut ledger = starts::Ledger::new(0);
    (0..starts::MAX_RECORDS).for_each(|at| ledger.bar(attempt(at)));
    let next = attempt(starts::MAX_RECORDS);

    let refused = ledger.admit(next, ledger.epoch());
    ledger.bar(next);
    let barred_state = ledger.get(next).cloned();
    let first = ledger.admit(attempt(0), ledger.epoch());
    ledger.advance(LENGTH_MS, LENGTH_MS);
    ledger.advance(2 * LENGTH_MS, LENGTH_MS);
    let later = ledger.admit(next, ledger.epoch());

    let full = starts::Admission::Refused(codes::Code::RunnerFull);
    let barred = starts::AttemptState::Barred(codes::Code::Fenced);
    assert_eq!(refused, full);
    assert_eq!(barred_state, None);
    assert_eq!(first, starts::Admission::Known(barred));
    assert_eq!(
        later,
        starts::Admission::New,
        "the ledger has free capacity again"
    );
}
