//! Incarnations of the backend server beside a runner.

use bulrushtiller::leased::capacity;
use bulrushtiller::leased::messages;
use bulrushtiller::leased::ports;
use rstest::rstest;

use super::fixtures;
use super::fixtures::ENTRY;
use super::fixtures::START_MS;

/// Returns the leave of the backend server.
fn leave(started_at_ms: Option<u64>) -> ports::BackendLeft {
    ports::BackendLeft {
        name: fixtures::announcement(100, 1).incarnation.name,
        started_at_ms,
    }
}

/// Returns the heartbeat of a backend server that is leaving.
fn leaving_announcement(started_at_ms: u64, sequence: u64) -> ports::Announcement {
    ports::Announcement {
        is_leaving: true,
        ..fixtures::announcement(started_at_ms, sequence)
    }
}

/// Returns the listing of the incarnation of the backend server that started at 900 ms.
fn listing_of_next_incarnation(running: &[messages::RunId]) -> ports::ListAnswer {
    let ports::ListAnswer::Listed(mut listing) = fixtures::listing(60, running) else {
        panic!("the fixture is a listing");
    };
    listing.started_at_ms = 900;
    ports::ListAnswer::Listed(listing)
}

/// Guards against runs that stay open after their backend server has crashed, and against a late
/// heartbeat that restores the former incarnation.
#[test]
fn new_backend_incarnation_ends_the_runs_of_the_former_one() {
    let (mut manager, id) = fixtures::manager_with_run();
    let running = fixtures::listing(5_010, std::slice::from_ref(&id));
    manager.listed(START_MS + 10, START_MS + 5, running);

    manager.announced(START_MS + 50, fixtures::announcement(900, 1));
    let announced = manager.report(START_MS + 51, ENTRY);
    manager.next_list(START_MS + 52);
    manager.listed(
        START_MS + 54,
        START_MS + 52,
        listing_of_next_incarnation(&[]),
    );
    let is_latest = manager.announced(START_MS + 60, fixtures::announcement(100, 40));

    let report = manager.report(START_MS + 61, ENTRY);
    assert!(!is_latest);
    assert!(announced.ends.is_empty(), "{:?}", announced.ends);
    assert_eq!(report.ends.len(), 1);
    assert_eq!(
        (&report.ends[0].id, report.ends[0].how),
        (&id, messages::RunOutcome::Stopped)
    );
}

/// The backend server crashes and restarts with the same name and address, and then executes a
/// start that was meant for its former incarnation. Its heartbeat must not end that run at the
/// runner, or the task would be started elsewhere beside it.
#[test]
fn unlisted_run_is_stopped_at_the_new_backend_incarnation() {
    let (mut manager, id) = fixtures::manager_with_run();

    manager.announced(START_MS + 50, fixtures::announcement(900, 1));
    let listed = listing_of_next_incarnation(&[]);
    let actions = manager.listed(START_MS + 52, START_MS + 51, listed);
    let before_listing = manager.report(START_MS + 52, ENTRY);
    manager.stop_answered(START_MS + 53, &id, ports::StopAnswer::Acknowledged);
    let listed = listing_of_next_incarnation(&[]);
    manager.listed(START_MS + 60, START_MS + 55, listed);
    let after_listing = manager.report(START_MS + 61, ENTRY);

    assert_eq!(fixtures::stopped(&actions), std::slice::from_ref(&id));
    assert_eq!(
        (before_listing.runs, before_listing.ends.len()),
        (vec![id.clone()], 0)
    );
    assert_eq!(after_listing.ends.len(), 1);
    assert_eq!(
        (&after_listing.ends[0].id, after_listing.ends[0].how),
        (&id, messages::RunOutcome::Stopped)
    );
}

/// All instances lose power and restart while the backend servers continue. Heartbeats arrive every
/// 1.5 s, and until then no caller would be served. A runner restores the announcement that its
/// former incarnation stored, once a listing shows the same incarnation of the backend server.
#[test]
fn restarted_runner_is_ready_before_the_first_heartbeat() {
    let mut manager = capacity::CapacityManager::new(fixtures::RUNNER, 10);
    manager.restore_backend(fixtures::announcement(100, 40));
    let before = manager.readiness(START_MS);

    manager.listed(START_MS + 2, START_MS + 1, fixtures::listing(5_000, &[]));
    let after = manager.readiness(START_MS + 2);
    let is_newer = manager.announced(START_MS + 900, fixtures::announcement(100, 41));

    assert_eq!(before, messages::Readiness::Starting);
    assert_eq!(after, messages::Readiness::Ready);
    assert!(is_newer);
}

/// The stored announcement is of an incarnation that has ended since. A listing of the present
/// incarnation, which has the same name, must not confirm it.
#[test]
fn stored_announcement_of_another_incarnation_is_not_used() {
    let mut manager = capacity::CapacityManager::new(fixtures::RUNNER, 10);
    manager.restore_backend(fixtures::announcement(50, 40));

    manager.listed(START_MS + 2, START_MS + 1, fixtures::listing(5_000, &[]));

    assert_eq!(
        manager.readiness(START_MS + 2),
        messages::Readiness::Starting
    );
}

/// Guards against a task that runs twice at a time because the leave of a former incarnation, held
/// up in a partition, ends the runs of the present one.
#[rstest]
#[case::without_incarnation(None)]
#[case::naming_the_former_incarnation(Some(50))]
fn late_leave_changes_nothing_at_the_next_incarnation(#[case] started_at_ms: Option<u64>) {
    let (mut manager, id) = fixtures::manager_with_run();

    manager.backend_left(START_MS + 10, &leave(started_at_ms));

    let report = manager.report(START_MS + 11, ENTRY);
    assert_eq!((report.runs, report.ends.len()), (vec![id], 0));
    assert_eq!(report.load.readiness, messages::Readiness::Ready);
}

/// Guards against a task that runs twice at a time because its backend server leaves while it still
/// runs: only a listing shows that it has ended.
#[rstest]
#[case::announced(true, None)]
#[case::naming_its_incarnation(false, Some(100))]
fn leave_of_the_present_incarnation_blocks_new_work_and_ends_no_run(
    #[case] is_announced: bool,
    #[case] started_at_ms: Option<u64>,
) {
    let (mut manager, id) = fixtures::manager_with_run();
    if is_announced {
        manager.announced(START_MS + 5, leaving_announcement(100, 2));
    }

    manager.backend_left(START_MS + 10, &leave(started_at_ms));
    // A heartbeat that was sent before the leave arrives after it.
    manager.announced(START_MS + 11, fixtures::announcement(100, 3));
    let while_running = manager.report(START_MS + 12, ENTRY);
    let listed_incarnation = manager.next_list(START_MS + 13).incarnation;
    let ended = fixtures::listing_with_end(5_020, 1, id.clone(), messages::RunOutcome::Done);
    manager.listed(START_MS + 20, START_MS + 13, ended);
    let after_end = manager.report(START_MS + 21, ENTRY);

    assert_eq!(while_running.load.readiness, messages::Readiness::Leaving);
    assert_eq!(
        (while_running.runs, while_running.ends.len()),
        (vec![id], 0)
    );
    assert_eq!(listed_incarnation.map(|one| one.started_at_ms), Some(100));
    assert_eq!(after_end.ends[0].how, messages::RunOutcome::Done);
}

/// Guards against a runner that polls for ever a backend server that has gone, and against one
/// that stays blocked when the next incarnation announces itself.
#[test]
fn left_backend_server_is_listed_again_in_its_next_incarnation() {
    let mut manager = fixtures::ready_manager();
    manager.announced(START_MS + 5, leaving_announcement(100, 2));

    manager.backend_left(START_MS + 10, &leave(None));
    let after_leave = manager.next_list(START_MS + 11).incarnation;
    manager.announced(START_MS + 500, fixtures::announcement(900, 1));
    let next = manager.next_list(START_MS + 501).incarnation;

    assert_eq!(after_leave, None);
    assert_eq!(next.map(|one| one.started_at_ms), Some(900));
    assert_eq!(
        manager.readiness(START_MS + 501),
        messages::Readiness::Starting
    );
}

/// Guards against a task that runs twice at a time: the first copy of its start is unanswered, the
/// second one starts the run, the backend server crashes after a listing has shown the run, and its
/// next incarnation executes the first copy.
#[test]
fn listed_run_with_an_unanswered_start_is_stopped_at_the_new_backend_incarnation() {
    let mut manager = fixtures::ready_manager();
    let id = fixtures::run_id(1, 0, 1);
    let order = fixtures::order(ENTRY, 1, START_MS, &[(id.clone(), 1_600)]);
    manager.order(START_MS, order);
    manager.start_answered(START_MS + 20, &id, ports::StartAnswer::Lost);
    manager.start_answered(START_MS + 22, &id, ports::StartAnswer::Started);
    let running = fixtures::listing(5_030, std::slice::from_ref(&id));
    manager.listed(START_MS + 30, START_MS + 25, running);

    manager.announced(START_MS + 50, fixtures::announcement(900, 1));
    let listed = listing_of_next_incarnation(&[]);
    let actions = manager.listed(START_MS + 52, START_MS + 51, listed);
    let before_listing = manager.report(START_MS + 52, ENTRY);
    manager.stop_answered(START_MS + 53, &id, ports::StopAnswer::Acknowledged);
    let listed = listing_of_next_incarnation(&[]);
    manager.listed(START_MS + 60, START_MS + 55, listed);
    let after_listing = manager.report(START_MS + 61, ENTRY);

    assert_eq!(fixtures::stopped(&actions), std::slice::from_ref(&id));
    assert_eq!(
        (before_listing.runs, before_listing.ends.len()),
        (vec![id], 0)
    );
    assert_eq!(after_listing.ends.len(), 1);
}

/// Guards against a run that has ended and is started again by a start that the next incarnation of
/// the backend server executes late: it has seen no fence, so a greater one has to reach it.
#[test]
fn fence_is_raised_for_a_new_backend_incarnation() {
    let (mut manager, _id) = fixtures::manager_with_run();
    let before = manager.next_list(START_MS + 10).fence;

    manager.announced(START_MS + 50, fixtures::announcement(900, 1));
    let after = manager.next_list(START_MS + 51).fence;

    assert!(after > before, "{after} {before}");
}

/// Guards against a new incarnation of the backend server that is forgotten, or whose fence is
/// raised by a minute, because of the answer to a listing call that was sent before it announced
/// itself.
#[rstest]
#[case::other_incarnation(ports::ListAnswer::OtherIncarnation)]
#[case::fenced(ports::ListAnswer::Fenced)]
fn answer_to_a_listing_call_for_the_former_incarnation_changes_nothing(
    #[case] answer: ports::ListAnswer,
) {
    let (mut manager, _id) = fixtures::manager_with_run();
    let former = manager.next_list(START_MS + 40);

    manager.announced(START_MS + 50, fixtures::announcement(900, 1));
    manager.listed(START_MS + 52, START_MS + 40, answer);
    let after = manager.next_list(START_MS + 53);

    let next = fixtures::announcement(900, 1).incarnation;
    assert_eq!(
        (after.incarnation, after.fence),
        (Some(next), former.fence + 1)
    );
}

/// Guards against a backend server that gets no work until its runner starts again: it has come
/// back under its name with its clock set back. Late heartbeats must not be taken for such a one.
#[test]
fn backend_server_with_an_earlier_start_time_is_taken_up_once_a_listing_shows_it() {
    let mut manager = capacity::CapacityManager::new(fixtures::RUNNER, 10);
    manager.announced(START_MS, fixtures::announcement(900, 1));
    manager.listed(START_MS + 2, START_MS + 1, listing_of_next_incarnation(&[]));

    let before_listing = manager.announced(START_MS + 50, fixtures::announcement(100, 1));
    manager.listed(START_MS + 60, START_MS + 55, fixtures::listing(60, &[]));
    let other_late = manager.announced(START_MS + 61, fixtures::announcement(50, 1));
    let after_listing = manager.announced(START_MS + 62, fixtures::announcement(100, 2));
    let former_late = manager.announced(START_MS + 63, fixtures::announcement(900, 2));
    manager.listed(START_MS + 70, START_MS + 65, fixtures::listing(70, &[]));

    assert!(!before_listing);
    assert!(!other_late);
    assert!(after_listing);
    assert!(!former_late);
    assert_eq!(manager.readiness(START_MS + 71), messages::Readiness::Ready);
}

/// Guards against a late heartbeat that brings a former incarnation back because a listing that was
/// requested before the present one announced itself still shows the former one.
#[test]
fn listing_requested_before_the_announcement_does_not_bring_a_former_incarnation_back() {
    let mut manager = fixtures::ready_manager();
    manager.announced(START_MS + 50, fixtures::announcement(900, 1));
    manager.next_list(START_MS + 50);
    manager.listed(
        START_MS + 52,
        START_MS + 50,
        listing_of_next_incarnation(&[]),
    );

    manager.listed(START_MS + 55, START_MS + 45, fixtures::listing(5_045, &[]));
    let is_latest = manager.announced(START_MS + 60, fixtures::announcement(100, 40));

    let listed = manager.listed(
        START_MS + 62,
        START_MS + 61,
        listing_of_next_incarnation(&[]),
    );
    assert!(!is_latest);
    assert!(listed.is_empty());
    assert_eq!(manager.readiness(START_MS + 63), messages::Readiness::Ready);
}

/// Guards against a backend server that gets no work until its runner starts again: it has left and
/// come back with its clock set back, and a runner without runs does not list one that has left.
#[test]
fn backend_server_that_left_is_listed_when_another_incarnation_announces_itself() {
    let mut manager = fixtures::ready_manager();
    manager.announced(START_MS + 5, leaving_announcement(100, 2));
    manager.backend_left(START_MS + 10, &leave(None));
    let before = manager.next_list(START_MS + 11).incarnation;

    manager.announced(START_MS + 500, fixtures::announcement(50, 1));
    let contested = manager.next_list(START_MS + 501).incarnation;

    assert_eq!(before, None);
    assert!(contested.is_some());
}

/// Guards against a task that runs twice at a time: the next incarnation of the backend server has
/// executed its start, under a lease that the runner did not grant there, and answers no listings.
#[test]
fn run_at_the_new_backend_incarnation_is_not_ended_by_expired_leases() {
    let (mut manager, id) = fixtures::manager_with_run();
    manager.announced(START_MS + 50, fixtures::announcement(900, 1));

    let running = listing_of_next_incarnation(std::slice::from_ref(&id));
    let actions = manager.listed(START_MS + 52, START_MS + 51, running);
    manager.next_list(START_MS + 53);
    manager.listed(START_MS + 80, START_MS + 53, ports::ListAnswer::Lost);
    manager.listed(START_MS + 110, START_MS + 81, ports::ListAnswer::Lost);
    let repeated = manager.tick(START_MS + 2_000);
    let unanswered = manager.report(START_MS + 2_001, ENTRY);
    manager.stop_answered(START_MS + 2_002, &id, ports::StopAnswer::Acknowledged);
    let listed = listing_of_next_incarnation(&[]);
    manager.listed(START_MS + 2_010, START_MS + 2_005, listed);
    let stopped = manager.report(START_MS + 2_011, ENTRY);

    assert_eq!(fixtures::stopped(&actions), std::slice::from_ref(&id));
    assert_eq!(fixtures::stopped(&repeated), std::slice::from_ref(&id));
    assert!(unanswered.ends.is_empty(), "{:?}", unanswered.ends);
    assert_eq!(stopped.ends.len(), 1);
    assert_eq!(stopped.load.used, fixtures::cores(0));
}
