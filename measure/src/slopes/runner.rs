//! Costs of a runner's control thread.

use bulrushtiller::codes;
use bulrushtiller::runner::core;
use bulrushtiller::wire;

use crate::slopes;
use crate::slopes::fixtures;

fn run_one(runner: &mut core::Core, number: u64) {
    let dispatch = fixtures::dispatch(number);
    let attempt = dispatch.attempt;
    runner.dispatch(fixtures::NOW_MS, dispatch);
    let end = core::End::Ended {
        code: codes::Code::Complete,
        output: "ok".to_owned(),
        peak: wire::Resources::default(),
    };
    runner.ended(fixtures::NOW_MS, attempt, end);
}

/// Measures the time for one task from dispatch to end, by number of remembered
/// attempts.
pub fn tasks(remembered: u64) -> slopes::Point {
    let mut runner = with_remembered(remembered);
    let cost = slopes::mean_time_ns(5_000, |at| run_one(&mut runner, remembered + at));
    slopes::Point {
        name: "runner: one task, by attempts remembered",
        size: remembered,
        cost,
        unit: "ns",
    }
}

/// Measures the time to compute one load report, by number of running tasks.
pub fn loads(running: u64) -> slopes::Point {
    let mut runner = fixtures::runner();
    for number in 0..running {
        runner.dispatch(fixtures::NOW_MS, fixtures::dispatch(number));
    }
    let owner = fixtures::dispatch(0).attempt.owner;
    let cost = slopes::mean_time_ns(100_000, |_| {
        runner.load_for(owner);
    });
    slopes::Point {
        name: "runner: one load, by tasks running",
        size: running,
        cost,
        unit: "ns",
    }
}

/// Returns a runner that remembers the given number of ended attempts.
pub fn with_remembered(attempts: u64) -> core::Core {
    let mut runner = fixtures::runner();
    for number in 0..attempts {
        run_one(&mut runner, number);
    }
    runner
}
