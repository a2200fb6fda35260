//! What a runner's control thread pays.

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

/// Time for one task from dispatch to end, by how many attempts are remembered.
pub fn tasks(remembered: u64) -> slopes::Point {
    let mut runner = remember(remembered);
    let each = slopes::time_each(5_000, |at| run_one(&mut runner, remembered + at));
    slopes::Point {
        what: "runner: one task, by attempts remembered",
        size: remembered,
        each,
        unit: "ns",
    }
}

/// Time for one load to be put together, by how many tasks run.
pub fn loads(running: u64) -> slopes::Point {
    let mut runner = fixtures::runner();
    for number in 0..running {
        runner.dispatch(fixtures::NOW_MS, fixtures::dispatch(number));
    }
    let owner = fixtures::dispatch(0).attempt.owner;
    let each = slopes::time_each(100_000, |_| {
        runner.load_for(owner);
    });
    slopes::Point {
        what: "runner: one load, by tasks running",
        size: running,
        each,
        unit: "ns",
    }
}

/// A runner that remembers so many ended attempts.
pub fn remember(attempts: u64) -> core::Core {
    let mut runner = fixtures::runner();
    for number in 0..attempts {
        run_one(&mut runner, number);
    }
    runner
}
