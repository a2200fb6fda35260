//! The runner's ledger, against a naive one that never forgets.

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
    /// An entry stamps an attempt with the epoch that it last heard.
    Mint,
    /// A dispatch arrives: the first time, again, or late.
    Dispatch(usize),
    /// A task starts, if it waits.
    Start(usize),
    /// A task ends, if it runs.
    End(usize),
    /// An entry has it barred.
    Bar(usize),
    /// Time passes.
    Wait(u64),
}

#[derive(Default)]
struct Naive {
    minted: Vec<u64>,
    admitted: collections::BTreeSet<usize>,
    barred: collections::BTreeSet<usize>,
}

fn any_step() -> impl Strategy<Value = Step> {
    let at = 0_usize..12;
    prop_oneof![
        3 => proptest::strategy::Just(Step::Mint),
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
    let mut naive = Naive::default();
    for step in steps {
        match *step {
            Step::Mint => naive.minted.push(ledger.epoch()),
            Step::Wait(ms) => {
                now_ms += ms;
                ledger.advance(now_ms, LENGTH_MS);
            }
            Step::Dispatch(at) if at < naive.minted.len() => {
                let is_new = !naive.admitted.contains(&at) && !naive.barred.contains(&at);
                let admission = ledger.admit(attempt(at), naive.minted[at]);
                let is_recent = naive.minted[at] + 1 >= ledger.epoch();
                match admission {
                    starts::Admission::New => {
                        prop_assert!(is_new, "admitted twice, or after it was barred");
                        naive.admitted.insert(at);
                    }
                    starts::Admission::Known(_) => prop_assert!(!is_new),
                    starts::Admission::Refused(code) => {
                        prop_assert!(code == codes::Code::StaleDispatch && !is_recent);
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
                let entry = ledger.get(attempt(at));
                if matches!(entry, Some(starts::AttemptState::Running { .. })) {
                    ledger.set(attempt(at), ended());
                }
            }
            Step::Bar(at) if at < naive.minted.len() && ledger.get(attempt(at)).is_none() => {
                ledger.bar(attempt(at));
                prop_assert!(ledger.get(attempt(at)).is_some(), "a promise is remembered");
                naive.barred.insert(at);
            }
            Step::Dispatch(_) | Step::Bar(_) => {}
        }
    }
    Ok(())
}

// Dispatches come twice, late and after they were barred, while the ledger forgets to stay
// small. What a user would see if it forgot too much: a family that is charged twice.
#[test]
fn ledger_admits_what_the_naive_one_admits_and_never_more() {
    let mut runner = fixtures::fixed_runner(2_000);
    let steps = proptest::collection::vec(any_step(), 1..80);

    let result = runner.run(&steps, |steps| run(&steps));

    assert_eq!(result, Ok(()));
}

#[test]
fn memory_is_bounded_by_the_window() {
    let mut ledger = starts::Ledger::new(0);

    for round in 0..100 {
        for at in 0..10 {
            ledger.bar(attempt(round * 10 + at));
        }
        ledger.advance(round as u64 * LENGTH_MS, LENGTH_MS);
    }

    assert!(ledger.len() <= 20, "{} are remembered", ledger.len());
}

// A runner has been asked about, or handed, as many attempts as it may remember. What it
// could not remember it must not take in, since a copy would start a second time; and an
// entry must not be told that an attempt is barred which would be taken in later.
#[test]
fn full_ledger_takes_nothing_in_and_promises_nothing() {
    let mut ledger = starts::Ledger::new(0);
    (0..starts::MAX_RECORDS).for_each(|at| ledger.bar(attempt(at)));
    let next = attempt(starts::MAX_RECORDS);

    let taken_in = ledger.admit(next, ledger.epoch());
    ledger.bar(next);
    let promise = ledger.get(next).cloned();
    let first = ledger.admit(attempt(0), ledger.epoch());
    ledger.advance(LENGTH_MS, LENGTH_MS);
    ledger.advance(2 * LENGTH_MS, LENGTH_MS);
    let later = ledger.admit(next, ledger.epoch());

    let full = starts::Admission::Refused(codes::Code::RunnerFull);
    let barred = starts::AttemptState::Barred(codes::Code::Fenced);
    assert_eq!(taken_in, full);
    assert_eq!(promise, None);
    assert_eq!(first, starts::Admission::Known(barred));
    assert_eq!(later, starts::Admission::New, "there is room again");
}
