//! Capacity, leases and stops of a runner.

use bulrushtiller::leased::capacity;
use bulrushtiller::leased::messages;
use bulrushtiller::leased::ports;
use rstest::rstest;

use super::fixtures;
use super::fixtures::ENTRY;
use super::fixtures::OTHER;
use super::fixtures::START_MS;

/// Returns a runner with one started run of the entry.
fn manager_with_run() -> (capacity::CapacityManager, messages::RunId) {
    let mut manager = fixtures::ready_manager();
    let id = fixtures::run_id(1, 0, 1);
    let (reply, actions) = manager.order(
        START_MS,
        fixtures::order(ENTRY, 1, START_MS, &[(id.clone(), 1_600)]),
    );
    assert!(reply.refused.is_empty());
    assert_eq!(fixtures::started(&actions).len(), 1);
    manager.start_answered(START_MS + 1, &id, ports::StartAnswer::Started);
    (manager, id)
}

/// Returns the leave of the backend server.
fn leave(started_at_ms: Option<u64>) -> ports::BackendLeft {
    ports::BackendLeft {
        name: fixtures::announcement(100, 1).incarnation.name,
        started_at_ms,
    }
}

/// Two entries see the same free capacity, and each orders as much as fits. The backend server
/// would start all of it and slow down every task, so the second order has to be refused.
#[test]
fn order_beyond_free_capacity_of_another_entry_is_refused() {
    let mut manager = fixtures::ready_manager();
    let first: Vec<_> = (0..10)
        .map(|at| (fixtures::run_id(1, at, 1), 1_600))
        .collect();
    let second = [(fixtures::run_id(2, 0, 1), 100)];

    let (accepted, _) = manager.order(START_MS, fixtures::order(ENTRY, 1, START_MS, &first));
    let (refused, _) = manager.order(START_MS, fixtures::order(OTHER, 1, START_MS, &second));

    assert!(accepted.refused.is_empty());
    assert_eq!(
        refused.refused,
        [(second[0].0.clone(), messages::Refusal::Room)]
    );
    assert_eq!(refused.load.used.cpu_milli, 16_000);
}

/// A stopped run occupies capacity until its end is listed. Otherwise the next run would start
/// beside it and overload the backend server.
#[test]
fn stopping_run_occupies_capacity_until_its_end_is_listed() {
    let (mut manager, id) = manager_with_run();

    let actions = manager.watch(
        START_MS + 10,
        &fixtures::watch(ENTRY, START_MS + 10, 1, &[]),
    );
    manager.stop_answered(START_MS + 12, &id, true);
    let while_stopping = manager.load(START_MS + 12).used.cpu_milli;
    manager.listed(
        START_MS + 20,
        START_MS + 5,
        fixtures::listing_with_end(5_020, 1, id.clone(), messages::RunOutcome::Stopped),
    );

    assert_eq!(fixtures::stopped(&actions), [id]);
    assert_eq!(while_stopping, 1_600);
    assert_eq!(manager.load(START_MS + 20).used.cpu_milli, 0);
}

/// An entry loses power while its tasks run. Its callers resend their jobs to another entry 1.3 s
/// later, and a task would run twice at a time unless the runner stops the runs of the silent
/// entry.
#[test]
fn runs_of_a_silent_entry_are_stopped() {
    let (mut manager, id) = manager_with_run();
    manager.watch(
        START_MS + 100,
        &fixtures::watch(ENTRY, START_MS + 100, 1, std::slice::from_ref(&id)),
    );

    let before_timeout = manager.tick(START_MS + 100 + capacity::OWNER_TIMEOUT_MS);
    let after_timeout = manager.tick(START_MS + 101 + capacity::OWNER_TIMEOUT_MS);

    assert!(fixtures::stopped(&before_timeout).is_empty());
    assert_eq!(fixtures::stopped(&after_timeout), [id]);
}

/// A watch is delayed by a cut link while its entry crashes, and arrives seconds later. It shows
/// when the entry was alive, not that it is alive now.
#[test]
fn delayed_watch_does_not_renew_the_lease() {
    let (mut manager, id) = manager_with_run();
    let now_ms = START_MS + 51 + capacity::OWNER_TIMEOUT_MS;

    let actions = manager.watch(
        now_ms,
        &fixtures::watch(ENTRY, START_MS + 50, 1, std::slice::from_ref(&id)),
    );

    assert_eq!(fixtures::stopped(&actions), [id]);
}

/// The runner is partitioned together with the entry, so that nothing can stop the tasks. The
/// lease at the backend server has to expire before the caller resends the job, so no renewal may
/// extend it beyond the bound after the entry was last seen.
#[test]
fn lease_is_bounded_by_when_the_entry_was_last_seen() {
    let (mut manager, id) = manager_with_run();
    let silent_ms = capacity::OWNER_TIMEOUT_MS - 1;
    let now_ms = START_MS + silent_ms;
    manager.listed(
        now_ms,
        now_ms - 5,
        fixtures::listing(5_000 + silent_ms, &[id]),
    );

    let call = manager.next_list(now_ms);

    let until_ms = call.lease_until_ms.expect("renewed");
    assert_eq!(until_ms, 5_000 + capacity::OWNER_LEASE_MS);
}

/// A run whose start is unanswered may be running, or may start seconds later. The runner sends
/// stops until one is acknowledged, and keeps the capacity reserved meanwhile.
#[test]
fn unanswered_start_is_stopped_until_acknowledged() {
    let mut manager = fixtures::ready_manager();
    let id = fixtures::run_id(1, 0, 1);
    manager.order(
        START_MS,
        fixtures::order(ENTRY, 1, START_MS, &[(id.clone(), 1_600)]),
    );

    let first = manager.start_answered(START_MS + 250, &id, ports::StartAnswer::Lost);
    manager.stop_answered(START_MS + 340, &id, false);
    let retry = manager.tick(START_MS + 351);
    manager.stop_answered(START_MS + 360, &id, true);
    let used_milli = manager.load(START_MS + 361).used.cpu_milli;
    manager.listed(
        START_MS + 400,
        START_MS + 380,
        fixtures::listing(5_400, &[]),
    );

    assert_eq!(fixtures::stopped(&first), std::slice::from_ref(&id));
    assert_eq!(fixtures::stopped(&retry), [id]);
    assert_eq!(used_milli, 1_600);
    assert_eq!(manager.runs(), 0);
}

/// A listing that was requested before a run started does not contain it. The run must not count
/// as ended, or its task would be started a second time beside it.
#[test]
fn listing_requested_before_the_start_does_not_end_the_run() {
    let (mut manager, _id) = manager_with_run();

    manager.listed(START_MS + 5, START_MS - 10, fixtures::listing(5_005, &[]));

    assert_eq!(manager.runs(), 1);
}

/// The runner is killed and restarted while its backend server continues. It must not accept runs
/// before all runs of its former incarnation have ended.
#[test]
fn restarted_runner_stops_the_runs_of_its_former_incarnation() {
    let mut manager = capacity::CapacityManager::new(fixtures::RUNNER, 10);
    let leftover = fixtures::run_id(9, 0, 1);
    manager.announced(START_MS, fixtures::announcement(100, 1));

    let actions = manager.listed(
        START_MS + 2,
        START_MS + 1,
        fixtures::listing(5_000, std::slice::from_ref(&leftover)),
    );
    let before = manager.readiness(START_MS + 2);
    manager.listed(START_MS + 60, START_MS + 50, fixtures::listing(5_060, &[]));

    assert_eq!(fixtures::stopped(&actions), [leftover]);
    assert_eq!(before, messages::Readiness::Starting);
    assert_eq!(manager.readiness(START_MS + 60), messages::Readiness::Ready);
}

/// A former incarnation of the runner had a greater fence, because the wall clock has been set
/// back since. When the backend server refuses the fence, the runner raises it.
#[test]
fn refused_fence_is_raised() {
    let mut manager = capacity::CapacityManager::new(fixtures::RUNNER, 10);
    manager.announced(START_MS, fixtures::announcement(100, 1));
    let before = manager.next_list(START_MS).fence;

    manager.listed(START_MS + 2, START_MS + 1, ports::ListAnswer::Fenced);

    assert!(manager.next_list(START_MS + 3).fence > before + 5_000);
}

/// The backend server crashes and a new incarnation announces itself immediately. The runs of the
/// former incarnation have ended, and a delayed heartbeat must not restore it.
#[test]
fn new_backend_incarnation_ends_the_runs_of_the_former_one() {
    let (mut manager, id) = manager_with_run();
    let running = fixtures::listing(5_010, std::slice::from_ref(&id));
    manager.listed(START_MS + 10, START_MS + 5, running);

    manager.announced(START_MS + 50, fixtures::announcement(900, 1));
    let is_latest = manager.announced(START_MS + 60, fixtures::announcement(100, 40));

    let report = manager.report(START_MS + 61, ENTRY);
    assert!(!is_latest);
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
    let (mut manager, id) = manager_with_run();

    manager.announced(START_MS + 50, fixtures::announcement(900, 1));
    let actions = manager.tick(START_MS + 51);
    let before_listing = manager.report(START_MS + 51, ENTRY);
    manager.stop_answered(START_MS + 53, &id, true);
    let ports::ListAnswer::Listed(mut listing) = fixtures::listing(60, &[]) else {
        panic!("the fixture is a listing");
    };
    listing.started_at_ms = 900;
    manager.listed(
        START_MS + 60,
        START_MS + 55,
        ports::ListAnswer::Listed(listing),
    );
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

/// Connections to a partitioned backend server are refused, but it continues to run its tasks. Its
/// runs count as ended only when every lease has expired on its clock, which may be slow.
#[test]
fn runs_of_unreachable_backend_server_end_when_leases_have_expired() {
    let (mut manager, id) = manager_with_run();
    for at_ms in [100, 200, 300] {
        manager.watch(
            START_MS + at_ms,
            &fixtures::watch(ENTRY, START_MS + at_ms, 1, std::slice::from_ref(&id)),
        );
        manager.listed(
            START_MS + at_ms,
            START_MS + at_ms - 20,
            ports::ListAnswer::NoConnection,
        );
    }

    manager.tick(START_MS + capacity::LEASE_MS);
    let runs_before = manager.runs();
    manager.tick(START_MS + capacity::LEASE_MS + 30);

    assert_eq!(runs_before, 1);
    assert_eq!(manager.runs(), 0);
}

/// An order waits in the socket of a suspended runner until its job has been given up and resent
/// by its caller. It must start nothing after its expiry.
#[test]
fn expired_order_is_refused() {
    let mut manager = fixtures::ready_manager();
    let id = fixtures::run_id(1, 0, 1);
    let order = fixtures::order(ENTRY, 1, START_MS, &[(id.clone(), 1_600)]);

    let (reply, actions) = manager.order(START_MS + 301, order);

    assert_eq!(reply.refused, [(id, messages::Refusal::Late)]);
    assert!(fixtures::started(&actions).is_empty());
}

/// The caller disconnects after an order was sent, and the watch that withdraws the run overtakes
/// the order. The run must not start, as no later message would stop it.
#[test]
fn order_of_a_withdrawn_run_is_refused() {
    let mut manager = fixtures::ready_manager();
    let id = fixtures::run_id(1, 0, 1);
    manager.watch(START_MS, &fixtures::watch(ENTRY, START_MS, 1, &[]));

    let (reply, _) = manager.order(
        START_MS + 1,
        fixtures::order(ENTRY, 1, START_MS, &[(id.clone(), 1_600)]),
    );

    assert_eq!(reply.refused, [(id, messages::Refusal::Unwanted)]);
}

/// A caller resends its job to another entry while a run of the first attempt continues. The runner
/// that holds this run must refuse a second one of the same task.
#[test]
fn second_run_of_a_held_task_is_refused() {
    let (mut manager, _id) = manager_with_run();
    let second = fixtures::run_id(1, 0, 2);

    let (reply, _) = manager.order(
        START_MS + 5,
        fixtures::order(OTHER, 1, START_MS + 5, &[(second.clone(), 1_600)]),
    );

    assert_eq!(reply.refused, [(second, messages::Refusal::Unwanted)]);
}

/// Operators take an availability zone out of service while an entry can't reach the store. The
/// runner, which another entry has notified, refuses the order and notifies the first entry.
#[test]
fn order_in_a_zone_out_of_service_is_refused_with_a_notice() {
    let mut manager = fixtures::ready_manager();
    let mut notifying = fixtures::watch(OTHER, START_MS, 0, &[]);
    let notice = fixtures::notice(5, "bento");
    notifying.notice = Some(notice.clone());
    manager.watch(START_MS, &notifying);
    manager.watch(START_MS, &fixtures::watch(ENTRY, START_MS, 0, &[]));

    let id = fixtures::run_id(1, 0, 1);
    let (reply, _) = manager.order(
        START_MS + 1,
        fixtures::order(ENTRY, 1, START_MS, &[(id.clone(), 1_600)]),
    );
    let report = manager.report(START_MS + 1, ENTRY);

    assert_eq!(reply.refused, [(id, messages::Refusal::ZoneOut)]);
    assert_eq!(report.notice, Some(notice));
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

/// The connection breaks after an order was sent, and the entry resends it on a new one. The first
/// copy has arrived, and its run is running or has ended. If the second copy counted as a new
/// order, the run would be refused as a duplicate, or start a second time.
#[rstest]
#[case::still_running(false)]
#[case::ended_before_resend(true)]
fn resent_order_starts_its_runs_once(#[case] has_ended: bool) {
    let (mut manager, id) = manager_with_run();
    if has_ended {
        let listed = fixtures::listing_with_end(5_020, 1, id.clone(), messages::RunOutcome::Done);
        manager.listed(START_MS + 20, START_MS + 5, listed);
    }

    let resent = fixtures::order(ENTRY, 1, START_MS + 30, &[(id.clone(), 1_600)]);
    let (reply, actions) = manager.order(START_MS + 30, resent);
    let report = manager.report(START_MS + 31, ENTRY);

    assert!(reply.refused.is_empty(), "{:?}", reply.refused);
    assert!(fixtures::started(&actions).is_empty());
    assert_eq!(report.ends.len(), usize::from(has_ended));
}

/// An order arrives a second time after the entry has acknowledged the end of its run. The watch
/// with the acknowledgement has withdrawn the run, so the order must start nothing.
#[test]
fn resent_order_of_an_acknowledged_end_is_refused() {
    let (mut manager, id) = manager_with_run();
    let listed = fixtures::listing_with_end(5_020, 1, id.clone(), messages::RunOutcome::Done);
    manager.listed(START_MS + 20, START_MS + 5, listed);
    manager.report(START_MS + 21, ENTRY);
    let mut watch = fixtures::watch(ENTRY, START_MS + 25, 1, &[]);
    watch.acked = 1;
    manager.watch(START_MS + 25, &watch);

    let resent = fixtures::order(ENTRY, 1, START_MS + 30, &[(id.clone(), 1_600)]);
    let (reply, actions) = manager.order(START_MS + 30, resent);

    assert_eq!(reply.refused, [(id, messages::Refusal::Unwanted)]);
    assert!(fixtures::started(&actions).is_empty());
}

/// An order is delayed on a slow connection. The entry resends it, the resent copy is refused for
/// lack of capacity, and the task is placed elsewhere. The original then arrives when capacity is
/// free, and must not start a task that runs elsewhere.
#[test]
fn delayed_order_is_refused_after_its_resent_copy_was_refused() {
    let mut manager = fixtures::ready_manager();
    let other_run = fixtures::run_id(1, 0, 1);
    let id = fixtures::run_id(2, 0, 1);
    manager.order(
        START_MS,
        fixtures::order(OTHER, 1, START_MS, &[(other_run.clone(), 16_000)]),
    );
    manager.start_answered(START_MS + 1, &other_run, ports::StartAnswer::Started);
    let copy = fixtures::order(ENTRY, 1, START_MS + 2, &[(id.clone(), 1_600)]);

    let (resent_reply, _) = manager.order(START_MS + 10, copy.clone());
    let listed = fixtures::listing_with_end(5_020, 1, other_run, messages::RunOutcome::Done);
    manager.listed(START_MS + 20, START_MS + 5, listed);
    let (delayed_reply, actions) = manager.order(START_MS + 30, copy);

    assert_eq!(
        resent_reply.refused,
        [(id.clone(), messages::Refusal::Room)]
    );
    assert_eq!(delayed_reply.refused, [(id, messages::Refusal::Unwanted)]);
    assert!(fixtures::started(&actions).is_empty());
}

/// An entry is suspended after it has sent an order. The task completes, and seconds later the
/// entry, which has received no reply, resends the order. If the runner refused the order as late,
/// the entry would answer its caller that nothing had run.
#[test]
fn resent_order_of_a_completed_run_is_not_refused_as_late() {
    let (mut manager, id) = manager_with_run();
    let listed = fixtures::listing_with_end(5_020, 1, id.clone(), messages::RunOutcome::Done);
    manager.listed(START_MS + 20, START_MS + 5, listed);

    let resent = fixtures::order(ENTRY, 1, START_MS, &[(id, 1_600)]);
    let (reply, _) = manager.order(START_MS + 3_000, resent);
    let report = manager.report(START_MS + 3_001, ENTRY);

    assert!(reply.refused.is_empty(), "{:?}", reply.refused);
    assert_eq!(report.ends.len(), 1);
}

/// A backend server leaves a start unanswered and acknowledges the stop of the run. The task can be
/// placed elsewhere only when a listing shows that it is not running, so the next listing must not
/// wait long for other ends.
#[test]
fn acknowledged_stop_is_confirmed_by_a_prompt_listing() {
    let (mut manager, id) = manager_with_run();
    let usual_wait_ms = manager.next_list(START_MS + 2).wait_ms;

    manager.start_answered(START_MS + 50, &id, ports::StartAnswer::Lost);
    manager.stop_answered(START_MS + 52, &id, true);
    let settling_wait_ms = manager.next_list(START_MS + 53).wait_ms;
    manager.listed(START_MS + 55, START_MS + 53, fixtures::listing(5_055, &[]));
    let report = manager.report(START_MS + 56, ENTRY);

    assert!(
        settling_wait_ms < usual_wait_ms / 10,
        "{settling_wait_ms} {usual_wait_ms}"
    );
    assert_eq!(report.ends.len(), 1);
}

/// Returns the heartbeat of a backend server that is leaving.
fn leaving_announcement(started_at_ms: u64, sequence: u64) -> ports::Announcement {
    ports::Announcement {
        is_leaving: true,
        ..fixtures::announcement(started_at_ms, sequence)
    }
}

/// Guards against a task that runs twice at a time because the leave of a former incarnation, held
/// up in a partition, ends the runs of the present one.
#[rstest]
#[case::without_incarnation(None)]
#[case::naming_the_former_incarnation(Some(50))]
fn late_leave_changes_nothing_at_the_next_incarnation(#[case] started_at_ms: Option<u64>) {
    let (mut manager, id) = manager_with_run();

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
    let (mut manager, id) = manager_with_run();
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

/// Guards against a flood of stops while the backend server takes its time to stop the runs of a
/// former incarnation: one for each run with every listing, and listings at once one after the
/// other, were over a thousand in 40 ms.
#[rstest]
#[case::acknowledged(true, 2)]
#[case::unacknowledged(false, 4)]
fn runs_of_a_former_incarnation_are_not_stopped_with_every_listing(
    #[case] is_acknowledged: bool,
    #[case] expected_stops: usize,
) {
    let mut manager = capacity::CapacityManager::new(fixtures::RUNNER, 10);
    let leftovers = [fixtures::run_id(9, 0, 1), fixtures::run_id(9, 1, 1)];
    manager.announced(START_MS, fixtures::announcement(100, 1));

    let mut stops = Vec::new();
    let mut waits_ms = Vec::new();
    for at_ms in (0..60).step_by(4) {
        let now_ms = START_MS + at_ms;
        let listed = fixtures::listing(5_000 + at_ms, &leftovers);
        let actions = manager.listed(now_ms, now_ms.saturating_sub(1), listed);
        stops.extend(fixtures::stopped(&actions));
        for id in &leftovers {
            manager.stop_answered(now_ms + 1, id, is_acknowledged);
        }
        waits_ms.push(manager.next_list(now_ms + 1).wait_ms);
    }

    assert_eq!(stops.len(), expected_stops);
    assert!(waits_ms.iter().all(|wait_ms| *wait_ms > 0), "{waits_ms:?}");
}

/// Returns the listing of the incarnation of the backend server that started at 900 ms.
fn listing_of_next_incarnation(running: &[messages::RunId]) -> ports::ListAnswer {
    let ports::ListAnswer::Listed(mut listing) = fixtures::listing(60, running) else {
        panic!("the fixture is a listing");
    };
    listing.started_at_ms = 900;
    ports::ListAnswer::Listed(listing)
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
    let actions = manager.tick(START_MS + 51);
    let before_listing = manager.report(START_MS + 51, ENTRY);
    manager.stop_answered(START_MS + 53, &id, true);
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
    let (mut manager, _id) = manager_with_run();
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
    let (mut manager, _id) = manager_with_run();
    manager.announced(START_MS + 50, fixtures::announcement(900, 1));
    let before = manager.next_list(START_MS + 51);

    manager.listed(START_MS + 52, START_MS + 40, answer);

    let after = manager.next_list(START_MS + 53);
    assert_eq!(
        (after.incarnation, after.fence),
        (before.incarnation, before.fence)
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

    manager.listed(START_MS + 55, START_MS + 45, fixtures::listing(5_045, &[]));
    let is_latest = manager.announced(START_MS + 60, fixtures::announcement(100, 40));

    assert!(!is_latest);
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
    let (mut manager, id) = manager_with_run();
    manager.announced(START_MS + 50, fixtures::announcement(900, 1));

    let running = listing_of_next_incarnation(std::slice::from_ref(&id));
    let actions = manager.listed(START_MS + 52, START_MS + 51, running);
    manager.next_list(START_MS + 53);
    manager.listed(START_MS + 80, START_MS + 53, ports::ListAnswer::Lost);
    manager.listed(START_MS + 110, START_MS + 81, ports::ListAnswer::Lost);
    let repeated = manager.tick(START_MS + 2_000);
    let unanswered = manager.report(START_MS + 2_001, ENTRY);
    manager.stop_answered(START_MS + 2_002, &id, true);
    let listed = listing_of_next_incarnation(&[]);
    manager.listed(START_MS + 2_010, START_MS + 2_005, listed);
    let stopped = manager.report(START_MS + 2_011, ENTRY);

    assert_eq!(fixtures::stopped(&actions), std::slice::from_ref(&id));
    assert_eq!(fixtures::stopped(&repeated), std::slice::from_ref(&id));
    assert!(unanswered.ends.is_empty(), "{:?}", unanswered.ends);
    assert_eq!(stopped.ends.len(), 1);
    assert_eq!(stopped.load.used, fixtures::cores(0));
}
