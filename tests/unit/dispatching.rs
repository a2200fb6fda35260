//! Simulation of entries and two runners in a network that loses, repeats, delays and
//! reorders messages.
//!
//! A dispatch is sent once, over one connection: a second copy of it never reaches another
//! incarnation of its runner than the first. The simulation runs in one thread with a
//! virtual clock, and every schedule is determined by a seed.

mod callers;
mod world;

use bulrushtiller::codes;
use rstest::rstest;

// Messages between an entry and its runners are lost, repeated, delayed and reordered,
// processes are suspended and runners are replaced, all at random. Guards against tasks that
// start twice and against tasks that ran but are answered as not run.
#[rstest]
#[case::loss(world::Faults { lost: 15, repeated: 0, delayed: 0, suspended: 0, replaced: 0 })]
#[case::repeats_and_delays(world::Faults { lost: 0, repeated: 20, delayed: 20, suspended: 0, replaced: 0 })]
#[case::suspensions(world::Faults { lost: 5, repeated: 5, delayed: 5, suspended: 4, replaced: 0 })]
#[case::all(world::Faults { lost: 10, repeated: 10, delayed: 10, suspended: 3, replaced: 3 })]
fn tasks_start_once_and_answers_match_outcomes(#[case] faults: world::Faults) {
    let mut submitted = 0;
    for seed in 0..100 {
        let world = world::World::new(seed, faults);

        let world = world.run();

        world.check();
        submitted += world.count_accepted();
    }
    assert!(
        submitted > 2_000,
        "expected more accepted submissions, got {submitted}"
    );
}

// Of two entries one leads, and the other passes its submissions on to it. Messages between
// them are lost and delayed, and either is suspended or replaced. Callers come with and
// without a ticket and repeat calls at any entry. Guards against tasks that start at both
// entries, tasks that ran but are answered as not run, and callers that get no answer.
#[rstest]
#[case::loss(world::Faults { lost: 15, repeated: 0, delayed: 0, suspended: 0, replaced: 0 })]
#[case::repeats_and_delays(world::Faults { lost: 0, repeated: 20, delayed: 20, suspended: 0, replaced: 0 })]
#[case::suspensions(world::Faults { lost: 5, repeated: 5, delayed: 5, suspended: 4, replaced: 0 })]
#[case::all(world::Faults { lost: 10, repeated: 10, delayed: 10, suspended: 3, replaced: 3 })]
fn tasks_start_once_when_submissions_are_passed_on(#[case] faults: world::Faults) {
    let (mut submitted, mut forward_count) = (0, 0);
    for seed in 0..50 {
        let world = world::World::with_entries(2, seed, faults);

        let world = world.run();

        world.check();
        submitted += world.count_accepted();
        forward_count += world.forward_count;
    }
    assert!(
        submitted > 1_000,
        "expected more accepted submissions, got {submitted}"
    );
    assert!(
        forward_count > 500,
        "expected more forwarded calls, got {forward_count}"
    );
}

// An entry is suspended while the deadline of a queued task passes. The first event after it
// resumes is a runner's heartbeat, before its own tick. The task must not be dispatched on
// the stale state.
#[test]
fn deadline_passed_during_suspension_is_checked_before_heartbeat_is_handled() {
    let mut world = world::World::new(
        0,
        world::Faults {
            lost: 0,
            repeated: 0,
            delayed: 0,
            suspended: 0,
            replaced: 0,
        },
    );
    world.submit();
    let queued_before = world.entries[0].core.queued();
    world.now_ms = 20_000;

    world.tick_runner(0);

    assert!(queued_before > 0);
    assert_eq!(world.entries[0].core.queued(), 0);
    assert!(world.messages.is_empty(), "dispatched after its deadline");
    let answer = world.callers[0]
        .answer
        .as_ref()
        .expect("the caller was answered");
    assert_eq!(answer.code, codes::Code::DeadlineNotRun);
}
