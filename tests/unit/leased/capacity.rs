//! Capacity, leases and stops of a runner.

use bulrushtiller::leased::capacity;
use bulrushtiller::leased::messages;
use bulrushtiller::leased::ports;
use rstest::rstest;

use super::fixtures;
use super::fixtures::ENTRY;
use super::fixtures::OTHER;
use super::fixtures::START_MS;

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
    let (mut manager, id) = fixtures::manager_with_run();

    let actions = manager.watch(
        START_MS + 10,
        &fixtures::watch(ENTRY, START_MS + 10, 1, &[]),
    );
    manager.stop_answered(START_MS + 12, &id, ports::StopAnswer::Acknowledged);
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
    let (mut manager, id) = fixtures::manager_with_run();
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
    let (mut manager, id) = fixtures::manager_with_run();
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
    let (mut manager, id) = fixtures::manager_with_run();
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
    manager.stop_answered(START_MS + 340, &id, ports::StopAnswer::Lost);
    let retry = manager.tick(START_MS + 351);
    manager.stop_answered(START_MS + 360, &id, ports::StopAnswer::Acknowledged);
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
    let (mut manager, _id) = fixtures::manager_with_run();

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

/// Connections to a partitioned backend server are refused, but it continues to run its tasks. Its
/// runs count as ended only when every lease has expired on its clock, which may be slow.
#[test]
fn runs_of_unreachable_backend_server_end_when_leases_have_expired() {
    let (mut manager, id) = fixtures::manager_with_run();
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
    let (mut manager, _id) = fixtures::manager_with_run();
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

/// The connection breaks after an order was sent, and the entry resends it on a new one. The first
/// copy has arrived, and its run is running or has ended. If the second copy counted as a new
/// order, the run would be refused as a duplicate, or start a second time.
#[rstest]
#[case::still_running(false)]
#[case::ended_before_resend(true)]
fn resent_order_starts_its_runs_once(#[case] has_ended: bool) {
    let (mut manager, id) = fixtures::manager_with_run();
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
    let (mut manager, id) = fixtures::manager_with_run();
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
    let (mut manager, id) = fixtures::manager_with_run();
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
    let (mut manager, id) = fixtures::manager_with_run();
    let usual_wait_ms = manager.next_list(START_MS + 2).wait_ms;

    manager.start_answered(START_MS + 50, &id, ports::StartAnswer::Lost);
    manager.stop_answered(START_MS + 52, &id, ports::StopAnswer::Acknowledged);
    let settling_wait_ms = manager.next_list(START_MS + 53).wait_ms;
    manager.listed(START_MS + 55, START_MS + 53, fixtures::listing(5_055, &[]));
    let report = manager.report(START_MS + 56, ENTRY);

    assert!(
        settling_wait_ms < usual_wait_ms / 10,
        "{settling_wait_ms} {usual_wait_ms}"
    );
    assert_eq!(report.ends.len(), 1);
}

/// Guards against a flood of stops while the backend server takes its time to stop the runs of a
/// former incarnation: one for each run with every listing, and listings at once one after the
/// other, were over a thousand in 40 ms.
#[rstest]
#[case::acknowledged(ports::StopAnswer::Acknowledged, 2)]
#[case::unacknowledged(ports::StopAnswer::Lost, 4)]
fn runs_of_a_former_incarnation_are_not_stopped_with_every_listing(
    #[case] answer: ports::StopAnswer,
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
            manager.stop_answered(now_ms + 1, id, answer);
        }
        waits_ms.push(manager.next_list(now_ms + 1).wait_ms);
    }

    assert_eq!(stops.len(), expected_stops);
    assert!(waits_ms.iter().all(|wait_ms| *wait_ms > 0), "{waits_ms:?}");
}
