//! What a runner reports of runs whose leases expired while it was suspended.

use bulrushtiller::leased::capacity;
use bulrushtiller::leased::messages;
use bulrushtiller::leased::ports;
use rstest::rstest;

use super::fixtures;
use super::fixtures::ENTRY;
use super::fixtures::START_MS;

/// When the runner resumes, long after its last lease.
const RESUMED_MS: u64 = START_MS + 2_000;

/// Returns a runner that was suspended for two seconds while it had one run.
fn resumed_manager() -> (capacity::CapacityManager, messages::RunId) {
    let mut manager = fixtures::ready_manager();
    let id = fixtures::run_id(1, 0, 1);
    let order = fixtures::order(ENTRY, 1, START_MS, &[(id.clone(), 1_600)]);
    manager.order(START_MS, order);
    manager.start_answered(START_MS + 1, &id, ports::StartAnswer::Started);
    manager.next_list(START_MS + 2);
    manager.tick(RESUMED_MS);
    (manager, id)
}

fn reported(manager: &mut capacity::CapacityManager) -> Vec<messages::RunOutcome> {
    let report = manager.report(RESUMED_MS + 100, ENTRY);
    report.ends.into_iter().map(|end| end.how).collect()
}

/// Guards against a completed task that runs again because the runner does not ask how it ended.
#[rstest]
#[case::in_the_listing_requested_before(START_MS + 2)]
#[case::in_the_listing_requested_after(RESUMED_MS + 3)]
fn completed_run_is_reported_as_completed(#[case] sent_at_ms: u64) {
    let (mut manager, id) = resumed_manager();

    let before = reported(&mut manager);
    let listed = fixtures::listing_with_end(7_003, 1, id, messages::RunOutcome::Done);
    manager.listed(RESUMED_MS + 4, sent_at_ms, listed);

    assert!(before.is_empty(), "{before:?}");
    assert_eq!(reported(&mut manager), [messages::RunOutcome::Done]);
    assert_eq!(manager.runs(), 0);
}

/// Guards against a run that is held for ever because the backend server has no end of it.
#[test]
fn run_without_an_end_is_reported_as_stopped() {
    let (mut manager, _id) = resumed_manager();

    manager.listed(
        RESUMED_MS + 4,
        RESUMED_MS + 3,
        fixtures::listing(7_003, &[]),
    );

    assert_eq!(reported(&mut manager), [messages::RunOutcome::Stopped]);
    assert_eq!(
        manager.readiness(RESUMED_MS + 5),
        messages::Readiness::Ready
    );
}

/// Guards against a caller that waits for a task of a backend server that does not answer.
#[test]
fn run_is_reported_as_stopped_when_two_listings_are_unanswered() {
    let (mut manager, _id) = resumed_manager();

    manager.listed(RESUMED_MS + 1, START_MS + 2, ports::ListAnswer::Lost);
    let after_one = reported(&mut manager);
    manager.listed(RESUMED_MS + 25, RESUMED_MS + 3, ports::ListAnswer::Lost);

    assert!(after_one.is_empty(), "{after_one:?}");
    assert_eq!(reported(&mut manager), [messages::RunOutcome::Stopped]);
}

/// Guards against runs that are accepted beside a late end, or kept alive by a new lease.
#[test]
fn runner_takes_no_work_and_renews_no_lease_until_the_ends_are_listed() {
    let (mut manager, _id) = resumed_manager();

    let call = manager.next_list(RESUMED_MS + 1);

    assert_eq!((call.lease_until_ms, call.wait_ms), (None, 0));
    assert_eq!(
        manager.readiness(RESUMED_MS + 1),
        messages::Readiness::Starting
    );
}

/// Guards against a run that is ended with the leases of former ones: a listing that was requested
/// before these expired made the runner take work again.
#[test]
fn run_does_not_end_with_leases_that_expired_before_it_was_ordered() {
    let (mut manager, former) = resumed_manager();
    let listed = fixtures::listing_with_end(7_003, 1, former, messages::RunOutcome::Done);
    manager.listed(RESUMED_MS + 4, START_MS + 2, listed);
    let before = manager.readiness(RESUMED_MS + 5);

    let id = fixtures::run_id(2, 0, 1);
    let order = fixtures::order(ENTRY, 2, RESUMED_MS + 5, &[(id.clone(), 1_600)]);
    let (reply, _) = manager.order(RESUMED_MS + 5, order);
    manager.start_answered(RESUMED_MS + 6, &id, ports::StartAnswer::Started);
    manager.listed(RESUMED_MS + 20, RESUMED_MS + 7, ports::ListAnswer::Lost);
    manager.listed(RESUMED_MS + 40, RESUMED_MS + 21, ports::ListAnswer::Lost);
    let ends = reported(&mut manager);
    let listed = fixtures::listing(7_050, &[]);
    manager.listed(RESUMED_MS + 50, RESUMED_MS + 41, listed);

    assert_eq!(before, messages::Readiness::Starting);
    assert_eq!(reply.refused, [(id, messages::Refusal::NotReady)]);
    assert_eq!(ends, [messages::RunOutcome::Done]);
    assert_eq!(
        manager.readiness(RESUMED_MS + 51),
        messages::Readiness::Ready
    );
}
