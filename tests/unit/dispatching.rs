//! Entries and two runners in a network that loses, repeats, delays and re-orders.
//!
//! A dispatch goes over one connection, once: a second copy of it never reaches another
//! life of its runner than the first. All of it in one thread and in a clock of its own; every schedule follows from a seed.

mod callers;
mod world;

use bulrushtiller::codes;
use rstest::rstest;

// Messages between an entry and its runners are lost, come twice, late and out of order,
// processes stand still and runners are replaced, all at random. What a user would see if
// this went wrong: a task that starts twice, or one answered as not run that did run.
#[rstest]
#[case::loss(world::Trouble { lost: 15, repeated: 0, late: 0, frozen: 0, replaced: 0 })]
#[case::repeats_and_delays(world::Trouble { lost: 0, repeated: 20, late: 20, frozen: 0, replaced: 0 })]
#[case::pauses(world::Trouble { lost: 5, repeated: 5, late: 5, frozen: 4, replaced: 0 })]
#[case::all(world::Trouble { lost: 10, repeated: 10, late: 10, frozen: 3, replaced: 3 })]
fn tasks_start_once_and_answers_are_true(#[case] trouble: world::Trouble) {
    let mut submitted = 0;
    for seed in 0..100 {
        let world = world::World::new(seed, trouble);

        let world = world.run();

        world.check();
        submitted += world.taken_in();
    }
    assert!(submitted > 2_000, "too little happened: {submitted}");
}

// Two entries, of which the one that lives longer decides for both: what comes to the other
// is passed on. The messages between them are lost, late and answered late, either stands
// still or is replaced. Callers come with and without a ticket and ask again at whichever.
// What a user would see if this went wrong: a task that starts at both entries, one answered
// as not run that did run, or a caller who is never told.
#[rstest]
#[case::loss(world::Trouble { lost: 15, repeated: 0, late: 0, frozen: 0, replaced: 0 })]
#[case::repeats_and_delays(world::Trouble { lost: 0, repeated: 20, late: 20, frozen: 0, replaced: 0 })]
#[case::pauses(world::Trouble { lost: 5, repeated: 5, late: 5, frozen: 4, replaced: 0 })]
#[case::all(world::Trouble { lost: 10, repeated: 10, late: 10, frozen: 3, replaced: 3 })]
fn tasks_start_once_though_one_entry_passes_on_to_another(#[case] trouble: world::Trouble) {
    let (mut submitted, mut passed_on) = (0, 0);
    for seed in 0..50 {
        let world = world::World::with_entries(2, seed, trouble);

        let world = world.run();

        world.check();
        submitted += world.taken_in();
        passed_on += world.passed_on;
    }
    assert!(submitted > 1_000, "too little happened: {submitted}");
    assert!(passed_on > 500, "too little was passed on: {passed_on}");
}

// An entry stands still with a task waiting, whose deadline passes meanwhile. What thaws it
// is a runner's heartbeat, before its own clock has ticked. The caller gave up long ago: the
// task must not be handed to the runner on the strength of what the entry still holds.
#[test]
fn pause_is_noticed_before_the_message_that_ends_it_is_acted_upon() {
    let mut world = world::World::new(
        0,
        world::Trouble {
            lost: 0,
            repeated: 0,
            late: 0,
            frozen: 0,
            replaced: 0,
        },
    );
    world.submit();
    let waiting = world.entries[0].core.queued();
    world.now_ms = 20_000;

    world.tick_runner(0);

    assert!(waiting > 0);
    assert_eq!(world.entries[0].core.queued(), 0);
    assert!(world.messages.is_empty(), "handed out after its deadline");
    let answer = world.callers[0].answer.as_ref().expect("an answer");
    assert_eq!(answer.code, codes::Code::DeadlineNotRun);
}
