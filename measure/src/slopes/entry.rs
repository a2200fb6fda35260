//! What an entry's control thread pays.

use smol_str::SmolStr;

use bulrushtiller::entry::core;
use bulrushtiller::wire;

use crate::slopes;
use crate::slopes::fixtures;

/// Time for one task from submission to the answer, by how many runners are known.
pub fn tasks(runners: u64) -> slopes::Point {
    let mut entry = fixtures::entry(runners);
    let team = SmolStr::new_static(fixtures::TEAM);
    let each = slopes::time_each(2_000, |at| {
        let now_ms = fixtures::NOW_MS + at / 1_000;
        let (_, actions) = entry.submit(now_ms, &team, fixtures::submission(1));
        answer_all(&mut entry, now_ms, actions, at);
    });
    slopes::Point {
        what: "entry: one task, by runners known",
        size: runners,
        each,
        unit: "ns",
    }
}

/// Time for one task of a job, by the job's size; 100 runners are known.
pub fn jobs(tasks: usize) -> slopes::Point {
    let mut entry = fixtures::entry(100);
    let team = SmolStr::new_static(fixtures::TEAM);
    let each = slopes::time_each(100, |at| {
        let now_ms = fixtures::NOW_MS + at;
        let (_, actions) = entry.submit(now_ms, &team, fixtures::submission(tasks));
        answer_all(&mut entry, now_ms, actions, at * 1_000);
    });
    slopes::Point {
        what: "entry: one task of a job, by the job's size",
        size: tasks as u64,
        each: each / tasks as f64,
        unit: "ns",
    }
}

/// Answers every dispatch with success, and those that follow from it.
fn answer_all(entry: &mut core::Core, now_ms: u64, actions: Vec<core::Action>, sequence: u64) {
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

/// Time for one heartbeat of a runner, by how many runners are known.
pub fn heartbeats(runners: u64) -> slopes::Point {
    let mut entry = fixtures::entry(runners);
    let each = slopes::time_each(20_000, |at| {
        let heartbeat = fixtures::heartbeat(at % runners, at + 2, 0);
        entry.heartbeat(fixtures::NOW_MS, &heartbeat);
    });
    slopes::Point {
        what: "entry: one heartbeat, by runners known",
        size: runners,
        each,
        unit: "ns",
    }
}

/// Time for one look at the time, by how many tasks wait or run.
///
/// # Panics
///
/// Where not all tasks were taken in: the time would be that of fewer.
pub fn ticks(tasks: u64) -> slopes::Point {
    // The runners come after the tasks: admission would refuse a backlog that an entry
    // with runners foresees to be answered late, and a shorter queue be measured.
    let mut entry = hold(tasks);
    for at in 0..100 {
        entry.heartbeat(fixtures::NOW_MS, &fixtures::heartbeat(at, 1, 0));
    }
    assert_eq!((entry.queued() + entry.dispatched()) as u64, tasks);
    let each = slopes::time_each(100, |at| {
        entry.tick(fixtures::NOW_MS + at);
    });
    slopes::Point {
        what: "entry: one tick, by tasks open",
        size: tasks,
        each,
        unit: "ns",
    }
}

/// An entry that remembers so many ended submissions of so many tasks.
pub fn remember(submissions: u64, tasks: usize) -> core::Core {
    let mut entry = fixtures::entry(10);
    let team = SmolStr::new_static(fixtures::TEAM);
    for at in 0..submissions {
        let (_, actions) = entry.submit(fixtures::NOW_MS, &team, fixtures::submission(tasks));
        answer_all(&mut entry, fixtures::NOW_MS, actions, at * 10);
    }
    entry
}

/// The same after the time for which answers are kept whole.
pub fn remember_long(submissions: u64, tasks: usize) -> core::Core {
    /// No gap between two ticks may look as if the process had stood still.
    const STEP_MS: usize = 1_000;
    let mut entry = remember(submissions, tasks);
    let whole_ms = u64::from(entry.settings().timeouts.retain_ms);
    for passed_ms in (0..=whole_ms).step_by(STEP_MS) {
        entry.tick(fixtures::NOW_MS + passed_ms);
    }
    entry
}

/// An entry that has one submission with so many tasks waiting.
pub fn hold(tasks: u64) -> core::Core {
    let mut entry = fixtures::entry(0);
    let team = SmolStr::new_static(fixtures::TEAM);
    for _ in 0..tasks / 100 {
        entry.submit(fixtures::NOW_MS, &team, fixtures::submission(100));
    }
    entry
}
