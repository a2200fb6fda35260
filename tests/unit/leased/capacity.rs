//! A runner's room, leases and stops.

use bulrushtiller::leased::capacity;
use bulrushtiller::leased::messages;
use bulrushtiller::leased::ports;
use rstest::rstest;

use super::fixtures;
use super::fixtures::ENTRY;
use super::fixtures::OTHER;
use super::fixtures::START_MS;

/// A room in which one run of the entry was started.
fn room_with_run() -> (capacity::CapacityManager, messages::RunId) {
    let mut room = fixtures::ready_manager();
    let id = fixtures::run_id(1, 0, 1);
    let (reply, actions) = room.order(
        START_MS,
        fixtures::order(ENTRY, 1, START_MS, &[(id.clone(), 1_600)]),
    );
    assert!(reply.refused.is_empty());
    assert_eq!(fixtures::started(&actions).len(), 1);
    room.start_answered(START_MS + 1, &id, ports::StartAnswer::Started);
    (room, id)
}

/// Two entries see the same free room and both send as much as fits. The backend server
/// would start all of it and every task would slow down; the second order is refused.
#[test]
fn two_entries_can_not_overfill_a_backend_server() {
    let mut room = fixtures::ready_manager();
    let first: Vec<_> = (0..10)
        .map(|at| (fixtures::run_id(1, at, 1), 1_600))
        .collect();
    let second = [(fixtures::run_id(2, 0, 1), 100)];

    let (taken, _) = room.order(START_MS, fixtures::order(ENTRY, 1, START_MS, &first));
    let (refused, _) = room.order(START_MS, fixtures::order(OTHER, 1, START_MS, &second));

    assert!(taken.refused.is_empty());
    assert_eq!(
        refused.refused,
        [(second[0].0.clone(), messages::Refusal::Room)]
    );
    assert_eq!(refused.load.used.cpu_milli, 16_000);
}

/// A task is stopped, and its end is not listed yet. Its room counts until then, or the
/// next start would run beside it and bring the backend server over its size.
#[test]
fn what_is_being_stopped_still_takes_room() {
    let (mut room, id) = room_with_run();

    let actions = room.watch(
        START_MS + 10,
        &fixtures::watch(ENTRY, START_MS + 10, 1, &[]),
    );
    room.stop_answered(START_MS + 12, &id, true);
    let while_stopping = room.load(START_MS + 12).used.cpu_milli;
    room.listed(
        START_MS + 20,
        START_MS + 5,
        fixtures::listing_with_end(5_020, 1, id.clone(), messages::RunOutcome::Stopped),
    );

    assert_eq!(fixtures::stopped(&actions), [id]);
    assert_eq!(while_stopping, 1_600);
    assert_eq!(room.load(START_MS + 20).used.cpu_milli, 0);
}

/// An entry loses power while its tasks run. Its callers send their jobs again 1.3 s later
/// through another entry, and a task would run twice at once: the runner stops what the
/// silent entry started.
#[test]
fn runs_of_a_silent_entry_are_stopped() {
    let (mut room, id) = room_with_run();
    room.watch(
        START_MS + 100,
        &fixtures::watch(ENTRY, START_MS + 100, 1, std::slice::from_ref(&id)),
    );

    let in_time = room.tick(START_MS + 100 + capacity::OWNER_TIMEOUT_MS);
    let too_late = room.tick(START_MS + 101 + capacity::OWNER_TIMEOUT_MS);

    assert!(fixtures::stopped(&in_time).is_empty());
    assert_eq!(fixtures::stopped(&too_late), [id]);
}

/// An entry's watch lies in a cut link while the entry dies, and arrives seconds later. It
/// tells when the entry lived, not that it lives.
#[test]
fn a_late_watch_is_no_sign_of_life() {
    let (mut room, id) = room_with_run();
    let now_ms = START_MS + 51 + capacity::OWNER_TIMEOUT_MS;

    let actions = room.watch(
        now_ms,
        &fixtures::watch(ENTRY, START_MS + 50, 1, std::slice::from_ref(&id)),
    );

    assert_eq!(fixtures::stopped(&actions), [id]);
}

/// The runner is cut off together with the entry, so nobody can stop the tasks. The lease
/// at the backend server ends before the caller's next try: no renewal reaches further
/// than the entry's last sign of life allows.
#[test]
fn no_lease_outlasts_the_entry_by_more_than_its_bound() {
    let (mut room, id) = room_with_run();
    room.listed(START_MS + 10, START_MS + 5, fixtures::listing(5_010, &[id]));
    let silent_ms = capacity::OWNER_TIMEOUT_MS - 1;

    let call = room.next_list(START_MS + silent_ms);

    let until_ms = call.lease_until_ms.expect("renewed");
    assert_eq!(until_ms, 5_000 + capacity::OWNER_LEASE_MS);
}

/// A start has no answer: it may run now, or seconds later. The runner has it stopped,
/// keeps its room, and sends the stop again until it is noted.
#[test]
fn an_unanswered_start_is_stopped_until_noted() {
    let mut room = fixtures::ready_manager();
    let id = fixtures::run_id(1, 0, 1);
    room.order(
        START_MS,
        fixtures::order(ENTRY, 1, START_MS, &[(id.clone(), 1_600)]),
    );

    let first = room.start_answered(START_MS + 250, &id, ports::StartAnswer::Lost);
    room.stop_answered(START_MS + 340, &id, false);
    let again = room.tick(START_MS + 351);
    room.stop_answered(START_MS + 360, &id, true);
    let before = room.load(START_MS + 361).used.cpu_milli;
    room.listed(
        START_MS + 400,
        START_MS + 380,
        fixtures::listing(5_400, &[]),
    );

    assert_eq!(fixtures::stopped(&first), std::slice::from_ref(&id));
    assert_eq!(fixtures::stopped(&again), [id]);
    assert_eq!(before, 1_600);
    assert_eq!(room.runs(), 0);
}

/// A list is asked for, a task starts, and the list comes back without it: it was written
/// before. The run must not be taken for lost, or its task would be started again beside it.
#[test]
fn a_list_from_before_the_start_ends_nothing() {
    let (mut room, _id) = room_with_run();

    room.listed(START_MS + 5, START_MS - 10, fixtures::listing(5_005, &[]));

    assert_eq!(room.runs(), 1);
}

/// The runner's process is killed and starts again while the backend server works on. It
/// takes nothing in before all that its former life started is gone.
#[test]
fn a_restarted_runner_clears_what_its_former_life_started() {
    let mut room = capacity::CapacityManager::new(fixtures::RUNNER, 10);
    let left = fixtures::run_id(9, 0, 1);
    room.announced(START_MS, fixtures::announcement(100, 1));

    let actions = room.listed(
        START_MS + 2,
        START_MS + 1,
        fixtures::listing(5_000, std::slice::from_ref(&left)),
    );
    let before = room.readiness(START_MS + 2);
    room.listed(START_MS + 60, START_MS + 50, fixtures::listing(5_060, &[]));

    assert_eq!(fixtures::stopped(&actions), [left]);
    assert_eq!(before, messages::Readiness::Starting);
    assert_eq!(room.readiness(START_MS + 60), messages::Readiness::Ready);
}

/// A former life of the runner had a greater fence, as the time of day was set back since.
/// The backend server refuses; the runner takes a greater one.
#[test]
fn a_refused_fence_is_raised() {
    let mut room = capacity::CapacityManager::new(fixtures::RUNNER, 10);
    room.announced(START_MS, fixtures::announcement(100, 1));
    let before = room.next_list(START_MS).fence;

    room.listed(START_MS + 2, START_MS + 1, ports::ListAnswer::Fenced);

    assert!(room.next_list(START_MS + 3).fence > before + 5_000);
}

/// The backend server crashes and a new life announces itself at once. What the old one ran
/// is over, and a heartbeat of the old life that was held up doesn't bring it back.
#[test]
fn a_later_life_ends_the_runs_of_the_former() {
    let (mut room, id) = room_with_run();
    let running = fixtures::listing(5_010, std::slice::from_ref(&id));
    room.listed(START_MS + 10, START_MS + 5, running);

    room.announced(START_MS + 50, fixtures::announcement(900, 1));
    let is_taken = room.announced(START_MS + 60, fixtures::announcement(100, 40));

    let report = room.report(START_MS + 61, ENTRY);
    assert!(!is_taken);
    assert_eq!(report.ends.len(), 1);
    assert_eq!(
        (&report.ends[0].id, report.ends[0].how),
        (&id, messages::RunOutcome::Stopped)
    );
}

/// The backend server crashes and is back under its name and address when a start comes that
/// was meant for the former life: the new one carries it out. The new life's heartbeat must not
/// be taken for the end of that run, or its task starts elsewhere beside it.
#[test]
fn a_run_that_no_list_has_shown_may_go_on_in_the_next_life() {
    let (mut room, id) = room_with_run();

    room.announced(START_MS + 50, fixtures::announcement(900, 1));
    let actions = room.tick(START_MS + 51);
    let still_held = room.report(START_MS + 51, ENTRY);
    room.stop_answered(START_MS + 53, &id, true);
    let ports::ListAnswer::Listed(mut listing) = fixtures::listing(60, &[]) else {
        panic!("a list");
    };
    listing.started_at_ms = 900;
    room.listed(
        START_MS + 60,
        START_MS + 55,
        ports::ListAnswer::Listed(listing),
    );
    let over = room.report(START_MS + 61, ENTRY);

    assert_eq!(fixtures::stopped(&actions), std::slice::from_ref(&id));
    assert_eq!(
        (still_held.runs, still_held.ends.len()),
        (vec![id.clone()], 0)
    );
    assert_eq!(over.ends.len(), 1);
    assert_eq!(
        (&over.ends[0].id, over.ends[0].how),
        (&id, messages::RunOutcome::Stopped)
    );
}

/// The backend server refuses connections behind a cut, and works on. Its runs count as
/// over only when every lease has surely lapsed by its clock, which may be slow.
#[test]
fn an_unreachable_backend_server_keeps_its_runs_until_the_lease_is_over() {
    let (mut room, id) = room_with_run();
    for at_ms in [100, 200, 300] {
        room.watch(
            START_MS + at_ms,
            &fixtures::watch(ENTRY, START_MS + at_ms, 1, std::slice::from_ref(&id)),
        );
        room.listed(
            START_MS + at_ms,
            START_MS + at_ms - 20,
            ports::ListAnswer::NoConnection,
        );
    }

    room.tick(START_MS + capacity::LEASE_MS);
    let before = room.runs();
    room.tick(START_MS + capacity::LEASE_MS + 30);

    assert_eq!(before, 1);
    assert_eq!(room.runs(), 0);
}

/// An order lies in the socket of a frozen runner until the job was given up and its caller
/// has sent it again. The order names the moment after which it starts nothing.
#[test]
fn an_order_after_its_time_starts_nothing() {
    let mut room = fixtures::ready_manager();
    let id = fixtures::run_id(1, 0, 1);
    let order = fixtures::order(ENTRY, 1, START_MS, &[(id.clone(), 1_600)]);

    let (reply, actions) = room.order(START_MS + 301, order);

    assert_eq!(reply.refused, [(id, messages::Refusal::Late)]);
    assert!(fixtures::started(&actions).is_empty());
}

/// An order is overtaken by the watch that no longer wants its run, as the caller left in
/// between. The run must not start: nobody would stop it.
#[test]
fn an_order_overtaken_by_its_taking_back_starts_nothing() {
    let mut room = fixtures::ready_manager();
    let id = fixtures::run_id(1, 0, 1);
    room.watch(START_MS, &fixtures::watch(ENTRY, START_MS, 1, &[]));

    let (reply, _) = room.order(
        START_MS + 1,
        fixtures::order(ENTRY, 1, START_MS, &[(id.clone(), 1_600)]),
    );

    assert_eq!(reply.refused, [(id, messages::Refusal::Unwanted)]);
}

/// A caller's second try comes through another entry while the first one's run goes on. The
/// second is refused by the runner that still has the first.
#[test]
fn a_task_has_one_run_at_a_time_at_a_runner() {
    let (mut room, _id) = room_with_run();
    let second = fixtures::run_id(1, 0, 2);

    let (reply, _) = room.order(
        START_MS + 5,
        fixtures::order(OTHER, 1, START_MS + 5, &[(second.clone(), 1_600)]),
    );

    assert_eq!(reply.refused, [(second, messages::Refusal::Unwanted)]);
}

/// Operators take an availability zone out while an entry can't reach the store. The runner
/// has heard of it from another entry, refuses the order, and tells the first.
#[test]
fn a_zone_that_is_out_is_refused_by_whoever_knows() {
    let mut room = fixtures::ready_manager();
    let mut heard = fixtures::watch(OTHER, START_MS, 0, &[]);
    let notice = fixtures::notice(5, "bento");
    heard.notice = Some(notice.clone());
    room.watch(START_MS, &heard);
    room.watch(START_MS, &fixtures::watch(ENTRY, START_MS, 0, &[]));

    let id = fixtures::run_id(1, 0, 1);
    let (reply, _) = room.order(
        START_MS + 1,
        fixtures::order(ENTRY, 1, START_MS, &[(id.clone(), 1_600)]),
    );
    let report = room.report(START_MS + 1, ENTRY);

    assert_eq!(reply.refused, [(id, messages::Refusal::ZoneOut)]);
    assert_eq!(report.notice, Some(notice));
}

/// All instances lose power and come back while the backend servers run on. Their heartbeats
/// come every 1.5 s, and as long no caller would be served: a runner takes up what its
/// former life wrote to the store, once the backend server's list shows the same life.
#[test]
fn a_restarted_runner_needs_no_heartbeat_of_a_life_that_it_knew() {
    let mut room = capacity::CapacityManager::new(fixtures::RUNNER, 10);
    room.restore_backend(fixtures::announcement(100, 40));
    let before = room.readiness(START_MS);

    room.listed(START_MS + 2, START_MS + 1, fixtures::listing(5_000, &[]));
    let after = room.readiness(START_MS + 2);
    let is_news = room.announced(START_MS + 900, fixtures::announcement(100, 41));

    assert_eq!(before, messages::Readiness::Starting);
    assert_eq!(after, messages::Readiness::Ready);
    assert!(is_news);
}

/// What was known is of a life that has ended since, under the same name. The list of the
/// present life is not taken for its own.
#[test]
fn what_was_known_of_another_life_is_not_used() {
    let mut room = capacity::CapacityManager::new(fixtures::RUNNER, 10);
    room.restore_backend(fixtures::announcement(50, 40));

    room.listed(START_MS + 2, START_MS + 1, fixtures::listing(5_000, &[]));

    assert_eq!(room.readiness(START_MS + 2), messages::Readiness::Starting);
}

/// The connection breaks after an order went out, and the entry sends it again on a new one.
/// The first had arrived: its run goes on, or has ended already. Taken as new, the task would
/// be refused as its own double, or run a second time.
#[rstest]
#[case::runs_on(false)]
#[case::ended_in_between(true)]
fn an_order_that_comes_twice_starts_its_runs_once(#[case] has_ended: bool) {
    let (mut room, id) = room_with_run();
    if has_ended {
        let listed = fixtures::listing_with_end(5_020, 1, id.clone(), messages::RunOutcome::Done);
        room.listed(START_MS + 20, START_MS + 5, listed);
    }

    let again = fixtures::order(ENTRY, 1, START_MS + 30, &[(id.clone(), 1_600)]);
    let (reply, actions) = room.order(START_MS + 30, again);
    let report = room.report(START_MS + 31, ENTRY);

    assert!(reply.refused.is_empty(), "{:?}", reply.refused);
    assert!(fixtures::started(&actions).is_empty());
    assert_eq!(report.ends.len(), usize::from(has_ended));
}

/// An order comes a second time after the entry has acknowledged the end of its run. The
/// watch that acknowledged it no longer wants the run, so the order starts nothing.
#[test]
fn an_order_that_comes_again_after_its_end_was_acknowledged_starts_nothing() {
    let (mut room, id) = room_with_run();
    let listed = fixtures::listing_with_end(5_020, 1, id.clone(), messages::RunOutcome::Done);
    room.listed(START_MS + 20, START_MS + 5, listed);
    room.report(START_MS + 21, ENTRY);
    let mut watch = fixtures::watch(ENTRY, START_MS + 25, 1, &[]);
    watch.acked = 1;
    room.watch(START_MS + 25, &watch);

    let again = fixtures::order(ENTRY, 1, START_MS + 30, &[(id.clone(), 1_600)]);
    let (reply, actions) = room.order(START_MS + 30, again);

    assert_eq!(reply.refused, [(id, messages::Refusal::Unwanted)]);
    assert!(fixtures::started(&actions).is_empty());
}

/// An order lies in a slow connection. The entry sends it again, this copy is refused for want of
/// room, and the task is placed elsewhere. Then the first copy arrives and there is room: it
/// must not start what runs elsewhere by now.
#[test]
fn the_first_copy_of_an_order_starts_nothing_after_the_second_was_refused() {
    let mut room = fixtures::ready_manager();
    let all = fixtures::run_id(1, 0, 1);
    let id = fixtures::run_id(2, 0, 1);
    room.order(
        START_MS,
        fixtures::order(OTHER, 1, START_MS, &[(all.clone(), 16_000)]),
    );
    room.start_answered(START_MS + 1, &all, ports::StartAnswer::Started);
    let copy = fixtures::order(ENTRY, 1, START_MS + 2, &[(id.clone(), 1_600)]);

    let (second, _) = room.order(START_MS + 10, copy.clone());
    let listed = fixtures::listing_with_end(5_020, 1, all, messages::RunOutcome::Done);
    room.listed(START_MS + 20, START_MS + 5, listed);
    let (first, actions) = room.order(START_MS + 30, copy);

    assert_eq!(second.refused, [(id.clone(), messages::Refusal::Room)]);
    assert_eq!(first.refused, [(id, messages::Refusal::Unwanted)]);
    assert!(fixtures::started(&actions).is_empty());
}

/// An entry stands still after its order went out. The task runs to its end, and seconds later
/// the entry, which had no answer, sends the order again. Called too late, the entry would
/// tell its caller that nothing had run.
#[test]
fn an_order_that_comes_again_long_after_it_was_carried_out_is_not_called_late() {
    let (mut room, id) = room_with_run();
    let listed = fixtures::listing_with_end(5_020, 1, id.clone(), messages::RunOutcome::Done);
    room.listed(START_MS + 20, START_MS + 5, listed);

    let again = fixtures::order(ENTRY, 1, START_MS, &[(id, 1_600)]);
    let (reply, _) = room.order(START_MS + 3_000, again);
    let report = room.report(START_MS + 3_001, ENTRY);

    assert!(reply.refused.is_empty(), "{:?}", reply.refused);
    assert_eq!(report.ends.len(), 1);
}

/// A backend server leaves a start unanswered. The run is stopped, and its task can only go
/// elsewhere once a list shows that it doesn't run: the list is asked for at once, and not
/// after the longest wait for other ends.
#[test]
fn a_noted_stop_is_looked_for_in_the_lists_at_once() {
    let (mut room, id) = room_with_run();
    let at_ease = room.next_list(START_MS + 2).wait_ms;

    room.start_answered(START_MS + 50, &id, ports::StartAnswer::Lost);
    room.stop_answered(START_MS + 52, &id, true);
    let settling = room.next_list(START_MS + 53).wait_ms;
    room.listed(START_MS + 55, START_MS + 53, fixtures::listing(5_055, &[]));
    let report = room.report(START_MS + 56, ENTRY);

    assert!(settling < at_ease / 10, "{settling} {at_ease}");
    assert_eq!(report.ends.len(), 1);
}
