//! Runs that wait at a runner for capacity.

use bulrushtiller::leased::capacity;
use bulrushtiller::leased::messages;
use bulrushtiller::leased::ports;
use rstest::rstest;

use super::fixtures;
use super::fixtures::ENTRY;
use super::fixtures::OTHER;
use super::fixtures::START_MS;

/// Returns a runner whose capacity is used up by ten runs of a third entry.
fn full_manager() -> (capacity::CapacityManager, Vec<messages::RunId>) {
    let mut manager = fixtures::ready_manager();
    let runs: Vec<_> = (0..10).map(|at| fixtures::run_id(9, at, 1)).collect();
    let starts: Vec<_> = runs.iter().map(|id| (id.clone(), 1_600)).collect();
    let third = bulrushtiller::ids::Incarnation(3);
    manager.order(START_MS, fixtures::order(third, 1, START_MS, &starts));
    for id in &runs {
        manager.start_answered(START_MS + 1, id, ports::StartAnswer::Started);
    }
    manager.watch(
        START_MS + 2,
        &fixtures::watch(third, START_MS + 2, 1, &runs),
    );
    (manager, runs)
}

/// Returns an order of one run that may wait.
fn waiting_order(
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

fn end_first(
    manager: &mut capacity::CapacityManager,
    now_ms: u64,
    runs: &[messages::RunId],
) -> Vec<capacity::Action> {
    let (ended, left) = runs.split_first().expect("a run");
    let ports::ListAnswer::Listed(mut listing) = fixtures::listing(5_010, left) else {
        panic!("the fixture is a listing");
    };
    listing.ended = vec![ports::Ended {
        number: 1,
        id: ended.clone(),
        how: messages::RunOutcome::Done,
    }];
    manager.listed(now_ms, now_ms - 1, ports::ListAnswer::Listed(listing))
}

/// Two entries order runs at a full backend server. Without the queue, each would learn of freed
/// capacity one watch later and compete for it; the more urgent run has to start as soon as
/// another one ends, whichever entry ordered it.
#[test]
fn most_urgent_queued_run_starts_when_capacity_is_freed() {
    let (mut manager, runs) = full_manager();
    let (relaxed, urgent) = (fixtures::run_id(1, 0, 1), fixtures::run_id(2, 0, 1));
    let (first, started_first) = manager.order(START_MS + 2, waiting_order(ENTRY, &relaxed, 80));
    let (second, _) = manager.order(START_MS + 3, waiting_order(OTHER, &urgent, 20));
    let waiting_milli = manager.load(START_MS + 3).line.total_milli();

    let actions = end_first(&mut manager, START_MS + 10, &runs);

    assert!(first.refused.is_empty() && second.refused.is_empty());
    assert!(fixtures::started(&started_first).is_empty());
    assert_eq!(waiting_milli, 3_200);
    let started_ids: Vec<_> = fixtures::started(&actions)
        .into_iter()
        .map(|call| call.start.id)
        .collect();
    assert_eq!(started_ids, [urgent]);
    assert_eq!(manager.load(START_MS + 10).line.total_milli(), 1_600);
    assert_eq!(manager.load(START_MS + 10).used.cpu_milli, 16_000);
}

/// The wait queues of all runners are full of runs with time to spare, so that the last task of
/// an urgent job would not be accepted anywhere. It displaces the least urgent run, which is
/// reported to its entry as not started.
#[test]
fn urgent_run_displaces_the_least_urgent_queued_run() {
    let (mut manager, _) = full_manager();
    let relaxed = [fixtures::run_id(1, 0, 1), fixtures::run_id(1, 1, 1)];
    for (id, number) in relaxed.iter().zip(1..) {
        let mut order = waiting_order(ENTRY, id, 50 + number);
        order.number = number;
        order.starts[0].wait.class = 2;
        manager.order(START_MS + 2, order);
    }
    manager.report(START_MS + 2, ENTRY);
    let (urgent, more) = (fixtures::run_id(2, 0, 1), fixtures::run_id(3, 0, 1));

    let (accepted, _) = manager.order(START_MS + 3, waiting_order(OTHER, &urgent, 80));
    let mut least_urgent = waiting_order(OTHER, &more, 90);
    least_urgent.number = 2;
    least_urgent.starts[0].wait.class = 2;
    let (refused, _) = manager.order(START_MS + 4, least_urgent);
    let report = manager.report(START_MS + 4, ENTRY);

    assert!(accepted.refused.is_empty());
    assert_eq!(refused.refused, [(more, messages::Refusal::Room)]);
    assert_eq!(report.ends.len(), 1, "{report:?}");
    assert_eq!(report.ends[0].id, relaxed[1]);
    assert_eq!(report.ends[0].how, messages::RunOutcome::NotStarted);
    assert_eq!(manager.load(START_MS + 4).line.total_milli(), 3_200);
}

/// A run that has waited too long would be late. It is returned as not started, so that its entry
/// can place it elsewhere or answer its caller correctly.
#[test]
fn run_that_waited_too_long_is_returned_as_not_started() {
    let (mut manager, _) = full_manager();
    let id = fixtures::run_id(1, 0, 1);
    manager.order(START_MS + 2, waiting_order(ENTRY, &id, 80));

    manager.tick(START_MS + 102);
    let in_time = manager.report(START_MS + 102, ENTRY);
    manager.tick(START_MS + 103);
    let late = manager.report(START_MS + 103, ENTRY);

    assert_eq!((in_time.waiting.len(), in_time.ends.len()), (1, 0));
    assert_eq!(late.ends.len(), 1);
    assert_eq!(late.ends[0].how, messages::RunOutcome::NotStarted);
    assert_eq!(manager.load(START_MS + 103).line.total_milli(), 0);
}

/// Why queued runs may not start any more.
#[derive(Clone, Copy, Debug)]
enum Cause {
    RunnerLeaves,
    BackendLeaves,
    ZoneOut,
    Unwanted,
}

/// While a run is queued, its runner or backend server starts to stop, its availability zone is
/// taken out of service, or its caller disconnects. Capacity freed later must not start the run.
#[rstest]
#[case::runner_leaves(Cause::RunnerLeaves)]
#[case::backend_leaves(Cause::BackendLeaves)]
#[case::zone_out(Cause::ZoneOut)]
#[case::unwanted(Cause::Unwanted)]
fn queued_run_that_may_not_start_is_returned(#[case] cause: Cause) {
    let (mut manager, runs) = full_manager();
    let id = fixtures::run_id(1, 0, 1);
    manager.order(START_MS + 2, waiting_order(ENTRY, &id, 80));

    let mut watch = fixtures::watch(ENTRY, START_MS + 4, 1, std::slice::from_ref(&id));
    match cause {
        Cause::RunnerLeaves => manager.leave(START_MS + 4),
        Cause::BackendLeaves => {
            let mut leaving = fixtures::announcement(100, 2);
            leaving.is_leaving = true;
            manager.announced(START_MS + 4, leaving);
        }
        Cause::ZoneOut => {
            watch.notice = Some(fixtures::notice(4, "bento"));
        }
        Cause::Unwanted => watch.wanted.clear(),
    }
    manager.watch(START_MS + 4, &watch);
    let actions = end_first(&mut manager, START_MS + 10, &runs);
    let report = manager.report(START_MS + 11, ENTRY);

    assert!(fixtures::started(&actions).is_empty());
    assert!(fixtures::stopped(&actions).is_empty());
    assert_eq!(report.ends.len(), 1, "{report:?}");
    assert_eq!(report.ends[0].how, messages::RunOutcome::NotStarted);
}

/// Returns a watch of an entry whose waiting jobs need this much free capacity.
fn watch_that_wants(wanted_milli: u32) -> messages::Watch {
    messages::Watch {
        wants_room: true,
        wanted_milli,
        ..fixtures::watch(OTHER, START_MS + 3, 0, &[])
    }
}

/// Guards against reports to every waiting entry whenever a run ends under overload.
#[rstest]
#[case::too_little(1_601, false)]
#[case::enough(1_600, true)]
#[case::space_in_the_queue_counts(0, true)]
fn waiting_entry_gets_a_report_of_capacity_that_it_can_use(
    #[case] wanted_milli: u32,
    #[case] expected: bool,
) {
    let (mut manager, runs) = full_manager();
    manager.watch(START_MS + 3, &watch_that_wants(wanted_milli));
    manager.report(START_MS + 3, OTHER);

    end_first(&mut manager, START_MS + 10, &runs);

    assert_eq!(manager.has_update(OTHER), expected);
}

/// Guards against reports of capacity that a queued run takes at once.
#[test]
fn capacity_taken_by_a_queued_run_is_not_reported() {
    let (mut manager, runs) = full_manager();
    let queued = fixtures::run_id(1, 0, 1);
    manager.order(START_MS + 2, waiting_order(ENTRY, &queued, 80));
    manager.watch(START_MS + 3, &watch_that_wants(1_600));
    manager.report(START_MS + 3, OTHER);

    end_first(&mut manager, START_MS + 10, &runs);

    assert!(!manager.has_update(OTHER));
}

/// Guards against an entry of an earlier release whose watches say nothing of the capacity that it
/// wants, during a rolling restart.
#[test]
fn watch_without_wanted_capacity_is_answered_at_each_end() {
    let mut fields = serde_json::to_value(watch_that_wants(1_600)).expect("a watch");
    fields
        .as_object_mut()
        .expect("an object")
        .remove("wanted_milli");
    let watch: messages::Watch = serde_json::from_value(fields).expect("a watch");
    let (mut manager, runs) = full_manager();
    manager.watch(START_MS + 3, &watch);
    manager.report(START_MS + 3, OTHER);

    end_first(&mut manager, START_MS + 10, &runs);

    assert!(manager.has_update(OTHER));
}

/// Guards against a run that is refused because another entry's order took the capacity a
/// millisecond before, while a run ends a few milliseconds later.
#[test]
fn run_that_finds_its_capacity_taken_waits_briefly() {
    let (mut manager, runs) = full_manager();
    let id = fixtures::run_id(1, 0, 1);
    let mut order = waiting_order(ENTRY, &id, 80);
    order.starts[0].wait = order.starts[0].wait.briefly();

    let (reply, _) = manager.order(START_MS + 2, order);
    let started = end_first(&mut manager, START_MS + 10, &runs);

    assert!(reply.refused.is_empty(), "{reply:?}");
    assert_eq!(fixtures::started(&started).len(), 1);
}
