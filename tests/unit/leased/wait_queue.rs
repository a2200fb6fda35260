//! Runs that wait at a runner for room.

use bulrushtiller::leased::capacity;
use bulrushtiller::leased::messages;
use bulrushtiller::leased::ports;
use rstest::rstest;

use super::fixtures;
use super::fixtures::ENTRY;
use super::fixtures::OTHER;
use super::fixtures::START_MS;

/// A room that is full with ten runs of another entry.
fn full_room() -> (capacity::CapacityManager, Vec<messages::RunId>) {
    let mut room = fixtures::ready_manager();
    let runs: Vec<_> = (0..10).map(|at| fixtures::run_id(9, at, 1)).collect();
    let starts: Vec<_> = runs.iter().map(|id| (id.clone(), 1_600)).collect();
    let third = bulrushtiller::ids::Incarnation(3);
    room.order(START_MS, fixtures::order(third, 1, START_MS, &starts));
    for id in &runs {
        room.start_answered(START_MS + 1, id, ports::StartAnswer::Started);
    }
    room.watch(
        START_MS + 2,
        &fixtures::watch(third, START_MS + 2, 1, &runs),
    );
    (room, runs)
}

/// An order of one run that may wait.
fn patient(
    entry: bulrushtiller::ids::Incarnation,
    id: &messages::RunId,
    start_within_ms: u64,
) -> messages::Order {
    let mut order = fixtures::order(entry, 1, START_MS + 2, &[(id.clone(), 1_600)]);
    order.starts[0].wait = messages::Wait {
        most_ms: 100,
        class: 1,
        start_within_ms,
    };
    order
}

fn end_one(
    room: &mut capacity::CapacityManager,
    now_ms: u64,
    runs: &[messages::RunId],
) -> Vec<capacity::Action> {
    let (ended, left) = runs.split_first().expect("a run");
    let ports::ListAnswer::Listed(mut listing) = fixtures::listing(5_010, left) else {
        panic!("a list");
    };
    listing.ended = vec![ports::Ended {
        number: 1,
        id: ended.clone(),
        how: messages::RunOutcome::Done,
    }];
    room.listed(now_ms, now_ms - 1, ports::ListAnswer::Listed(listing))
}

/// A backend server is full and two entries have work for it. Each would hear of free room
/// a watch later and race for it; in the line the more urgent run starts in the moment in which
/// another ends, whichever entry's it is.
#[test]
fn the_most_urgent_run_in_line_starts_as_room_comes_free() {
    let (mut room, runs) = full_room();
    let (calm, urgent) = (fixtures::run_id(1, 0, 1), fixtures::run_id(2, 0, 1));
    let (first, started_first) = room.order(START_MS + 2, patient(ENTRY, &calm, 80));
    let (second, _) = room.order(START_MS + 3, patient(OTHER, &urgent, 20));
    let line_milli = room.load(START_MS + 3).line.total_milli();

    let actions = end_one(&mut room, START_MS + 10, &runs);

    assert!(first.refused.is_empty() && second.refused.is_empty());
    assert!(fixtures::started(&started_first).is_empty());
    assert_eq!(line_milli, 3_200);
    let begun: Vec<_> = fixtures::started(&actions)
        .into_iter()
        .map(|call| call.start.id)
        .collect();
    assert_eq!(begun, [urgent]);
    assert_eq!(room.load(START_MS + 10).line.total_milli(), 1_600);
    assert_eq!(room.load(START_MS + 10).used.cpu_milli, 16_000);
}

/// The lines of all runners are full of runs with time in hand, and the last task of a job
/// that can wait for no one finds no place. It takes the place of the least urgent run, whose
/// entry is told at once that it never started.
#[test]
fn a_more_urgent_run_takes_the_place_of_the_least_urgent() {
    let (mut room, _) = full_room();
    let calm = [fixtures::run_id(1, 0, 1), fixtures::run_id(1, 1, 1)];
    for (id, number) in calm.iter().zip(1..) {
        let mut order = patient(ENTRY, id, 50 + number);
        order.number = number;
        order.starts[0].wait.class = 2;
        room.order(START_MS + 2, order);
    }
    room.report(START_MS + 2, ENTRY);
    let (urgent, more) = (fixtures::run_id(2, 0, 1), fixtures::run_id(3, 0, 1));

    let (taken, _) = room.order(START_MS + 3, patient(OTHER, &urgent, 80));
    let mut calmest = patient(OTHER, &more, 90);
    calmest.number = 2;
    calmest.starts[0].wait.class = 2;
    let (refused, _) = room.order(START_MS + 4, calmest);
    let told = room.report(START_MS + 4, ENTRY);

    assert!(taken.refused.is_empty());
    assert_eq!(refused.refused, [(more, messages::Refusal::Room)]);
    assert_eq!(told.ends.len(), 1, "{told:?}");
    assert_eq!(told.ends[0].id, calm[1]);
    assert_eq!(told.ends[0].how, messages::RunOutcome::NotStarted);
    assert_eq!(room.load(START_MS + 4).line.total_milli(), 3_200);
}

/// What waits beyond its time would be late. It is given back, as never started, so that its
/// entry can place it elsewhere or tell its caller the truth.
#[test]
fn what_waits_too_long_is_given_back_as_not_started() {
    let (mut room, _) = full_room();
    let id = fixtures::run_id(1, 0, 1);
    room.order(START_MS + 2, patient(ENTRY, &id, 80));

    room.tick(START_MS + 102);
    let in_time = room.report(START_MS + 102, ENTRY);
    room.tick(START_MS + 103);
    let late = room.report(START_MS + 103, ENTRY);

    assert_eq!((in_time.waiting.len(), in_time.ends.len()), (1, 0));
    assert_eq!(late.ends.len(), 1);
    assert_eq!(late.ends[0].how, messages::RunOutcome::NotStarted);
    assert_eq!(room.load(START_MS + 103).line.total_milli(), 0);
}

/// Why nothing of the line may start any more.
#[derive(Clone, Copy, Debug)]
enum Closing {
    RunnerLeaves,
    BackendLeaves,
    ZoneOut,
    Unwanted,
}

/// A run waits in line while its runner or backend server begins to leave, its availability
/// zone is taken out, or its caller goes. Room that comes free later must not start it.
#[rstest]
#[case::runner_leaves(Closing::RunnerLeaves)]
#[case::backend_leaves(Closing::BackendLeaves)]
#[case::zone_out(Closing::ZoneOut)]
#[case::unwanted(Closing::Unwanted)]
fn what_may_not_start_any_more_leaves_the_line(#[case] why: Closing) {
    let (mut room, runs) = full_room();
    let id = fixtures::run_id(1, 0, 1);
    room.order(START_MS + 2, patient(ENTRY, &id, 80));

    let mut watch = fixtures::watch(ENTRY, START_MS + 4, 1, std::slice::from_ref(&id));
    match why {
        Closing::RunnerLeaves => room.leave(START_MS + 4),
        Closing::BackendLeaves => {
            let mut leaving = fixtures::announcement(100, 2);
            leaving.is_leaving = true;
            room.announced(START_MS + 4, leaving);
        }
        Closing::ZoneOut => {
            watch.notice = Some(fixtures::notice(4, "bento"));
        }
        Closing::Unwanted => watch.wanted.clear(),
    }
    room.watch(START_MS + 4, &watch);
    let actions = end_one(&mut room, START_MS + 10, &runs);
    let report = room.report(START_MS + 11, ENTRY);

    assert!(fixtures::started(&actions).is_empty());
    assert!(fixtures::stopped(&actions).is_empty());
    assert_eq!(report.ends.len(), 1, "{report:?}");
    assert_eq!(report.ends[0].how, messages::RunOutcome::NotStarted);
}
