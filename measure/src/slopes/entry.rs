//! Costs of an entry's control thread.

use smol_str::SmolStr;

use bulrushtiller::entry::core;
use bulrushtiller::wire;

use crate::slopes;
use crate::slopes::fixtures;

/// Measures the time for one task from submission to answer, by number of known
/// runners.
pub fn tasks(runners: u64) -> slopes::Point {
    let mut entry = fixtures::entry(runners);
    let team = SmolStr::new_static(fixtures::TEAM);
    let cost = slopes::mean_time_ns(2_000, |at| {
        let now_ms = fixtures::NOW_MS + at / 1_000;
        let (_, actions) = entry.submit(now_ms, &team, fixtures::submission(1));
        complete_all(&mut entry, now_ms, actions, at);
    });
    slopes::Point {
        name: "entry: one task, by runners known",
        size: runners,
        cost,
        unit: "ns",
    }
}

/// Measures the time per task of a job, by job size, with 100 known runners.
pub fn jobs(tasks: usize) -> slopes::Point {
    let mut entry = fixtures::entry(100);
    let team = SmolStr::new_static(fixtures::TEAM);
    let cost = slopes::mean_time_ns(100, |at| {
        let now_ms = fixtures::NOW_MS + at;
        let (_, actions) = entry.submit(now_ms, &team, fixtures::submission(tasks));
        complete_all(&mut entry, now_ms, actions, at * 1_000);
    });
    slopes::Point {
        name: "entry: one task of a job, by the job's size",
        size: tasks as u64,
        cost: cost / tasks as f64,
        unit: "ns",
    }
}

/// Answers all dispatches with success, including those that follow from the answers.
fn complete_all(entry: &mut core::Core, now_ms: u64, actions: Vec<core::Action>, sequence: u64) {
    let mut open = actions;
    let mut sequence = sequence + 2;
    while let Some(action) = open.pop() {
        let core::Action::Dispatch { dispatch, .. } = action else {
            continue;
        };
        sequence += 1;
        let reply = wire::DispatchReply {
            version: wire::VERSION,
            attempt: dispatch.attempt,
            outcome: wire::Outcome::Ended {
                code: bulrushtiller::codes::Code::Complete,
                output: "ok".to_owned(),
                run_ms: 120,
                peak: wire::Resources::default(),
            },
            load: fixtures::load(sequence, 0),
        };
        open.extend(entry.dispatch_answered(now_ms, reply));
    }
}

/// Measures the time for one heartbeat of a runner, by number of known runners.
pub fn heartbeats(runners: u64) -> slopes::Point {
    let mut entry = fixtures::entry(runners);
    let cost = slopes::mean_time_ns(20_000, |at| {
        let heartbeat = fixtures::heartbeat(at % runners, at + 2, 0);
        entry.heartbeat(fixtures::NOW_MS, &heartbeat);
    });
    slopes::Point {
        name: "entry: one heartbeat, by runners known",
        size: runners,
        cost,
        unit: "ns",
    }
}

/// Measures the time for one tick, by number of waiting or running tasks.
///
/// # Panics
///
/// If not all tasks were accepted, since the time would be that of fewer tasks.
pub fn ticks(tasks: u64) -> slopes::Point {
    // The runners are added after the tasks: with known runners, admission would refuse
    // a backlog whose predicted answer is too late, and a shorter queue would be
    // measured.
    let mut entry = with_waiting(tasks);
    for at in 0..100 {
        entry.heartbeat(fixtures::NOW_MS, &fixtures::heartbeat(at, 1, 0));
    }
    assert_eq!((entry.queued() + entry.dispatched()) as u64, tasks);
    let cost = slopes::mean_time_ns(100, |at| {
        entry.tick(fixtures::NOW_MS + at);
    });
    slopes::Point {
        name: "entry: one tick, by tasks open",
        size: tasks,
        cost,
        unit: "ns",
    }
}

/// Returns an entry that remembers the given number of ended submissions with the given
/// number of tasks each.
pub fn with_remembered(submissions: u64, tasks: usize) -> core::Core {
    let mut entry = fixtures::entry(10);
    let team = SmolStr::new_static(fixtures::TEAM);
    for at in 0..submissions {
        let (_, actions) = entry.submit(fixtures::NOW_MS, &team, fixtures::submission(tasks));
        complete_all(&mut entry, fixtures::NOW_MS, actions, at * 10);
    }
    entry
}

/// Returns the same entry after the retention time for whole answers, when only
/// summaries remain.
pub fn with_summaries(submissions: u64, tasks: usize) -> core::Core {
    /// Interval between ticks, short enough that the entry does not take itself for
    /// suspended.
    const STEP_MS: usize = 1_000;
    let mut entry = with_remembered(submissions, tasks);
    let whole_ms = u64::from(entry.settings().timeouts.retain_ms);
    for passed_ms in (0..=whole_ms).step_by(STEP_MS) {
        entry.tick(fixtures::NOW_MS + passed_ms);
    }
    entry
}

/// Returns an entry with the given number of waiting tasks, in submissions of 100.
pub fn with_waiting(tasks: u64) -> core::Core {
    let mut entry = fixtures::entry(0);
    let team = SmolStr::new_static(fixtures::TEAM);
    for _ in 0..tasks / 100 {
        entry.submit(fixtures::NOW_MS, &team, fixtures::submission(100));
    }
    entry
}
