//! A runner that was suspended while its backend server ran tasks.

use bulrushtiller::leased::capacity;
use bulrushtiller::leased::messages;
use bulrushtiller::leased::ports;
use rstest::rstest;

use super::fixtures;
use super::fixtures::ENTRY;
use super::fixtures::START_MS;

/// When the runner resumes, in milliseconds after the start of the run.
const PAUSE_MS: u64 = 600;

/// Time after a resume in which the silence of an entry proves nothing, in milliseconds.
const SETTLE_MS: u64 = 150;

/// When the runner resumes.
const RESUMED_MS: u64 = START_MS + PAUSE_MS;

/// Returns a runner with one run and an open listing call.
fn manager_with_run() -> (capacity::CapacityManager, messages::RunId) {
    let mut manager = fixtures::ready_manager();
    let id = fixtures::run_id(1, 0, 1);
    let order = fixtures::order(ENTRY, 1, START_MS, &[(id.clone(), 1_600)]);
    manager.order(START_MS, order);
    manager.start_answered(START_MS + 1, &id, ports::StartAnswer::Started);
    manager.next_list(START_MS + 2);
    (manager, id)
}

/// Returns the same runner after a pause in which the listing waited in its socket; the entry has
/// been told everything.
fn resumed_manager() -> (capacity::CapacityManager, messages::RunId) {
    let (mut manager, id) = manager_with_run();
    manager.report(START_MS + 3, ENTRY);
    manager.resume(RESUMED_MS, RESUMED_MS + SETTLE_MS);
    let listing = fixtures::listing(5_052, std::slice::from_ref(&id));
    manager.listed(RESUMED_MS, START_MS + 2, listing);
    (manager, id)
}

fn watch(id: &messages::RunId, alive_at_ms: Option<u64>) -> messages::Watch {
    let watch = fixtures::watch(ENTRY, 0, 1, std::slice::from_ref(id));
    messages::Watch {
        alive_at_ms,
        ..watch
    }
}

/// Guards against runs that are stopped because their entry seems silent: an entry that took the
/// runner for silent renews its lease only in the watch after the next report.
#[rstest]
#[case::without_renewal(None, true)]
#[case::sent_long_before(Some(START_MS + 200), true)]
#[case::sent_now(Some(RESUMED_MS - 2), false)]
fn watch_is_answered_at_once_if_the_lease_needs_renewal(
    #[case] alive_at_ms: Option<u64>,
    #[case] is_answered: bool,
) {
    let (mut manager, id) = resumed_manager();

    let actions = manager.watch(RESUMED_MS, &watch(&id, alive_at_ms));

    assert!(fixtures::stopped(&actions).is_empty(), "{actions:?}");
    assert_eq!(manager.has_update(ENTRY), is_answered);
}

/// Guards against an entry that is answered at once, and so sends watch after watch, although it
/// has no runs at the runner.
#[test]
fn watch_of_an_entry_without_runs_waits() {
    let mut manager = fixtures::ready_manager();
    manager.listed(RESUMED_MS, RESUMED_MS - 1, fixtures::listing(5_600, &[]));
    manager.report(RESUMED_MS, ENTRY);

    manager.watch(RESUMED_MS, &watch(&fixtures::run_id(1, 0, 1), None));

    assert!(!manager.has_update(ENTRY));
}

/// Guards against leases that end too early because the answer to a listing waited in a socket
/// while the runner was suspended.
#[test]
fn late_listing_does_not_shorten_the_leases() {
    let (mut manager, id) = resumed_manager();
    manager.watch(RESUMED_MS, &watch(&id, Some(RESUMED_MS - 2)));

    let call = manager.next_list(RESUMED_MS);

    // 600 ms on a clock that is 2 % slow are 588 ms.
    assert_eq!(call.lease_until_ms, Some(5_588 + capacity::LEASE_MS));
}

/// Guards against a lease that is first renewed 200 ms after its start, when the call that was
/// open then is answered.
#[rstest]
#[case::soon_after_a_start(900, 50)]
#[case::idle_for_long(1_100, 200)]
fn listing_waits_briefly_while_starts_are_likely(#[case] after_ms: u64, #[case] wait_ms: u64) {
    let (mut manager, id) = manager_with_run();
    let done = fixtures::listing_with_end(5_060, 1, id, messages::RunOutcome::Done);
    manager.listed(START_MS + 60, START_MS + 2, done);

    let call = manager.next_list(START_MS + after_ms);

    assert_eq!(call.wait_ms, wait_ms);
}

/// Guards against completed tasks that run again: the report of their ends is lost with a watch
/// that its entry has given up, and the next watch is answered later than its entry waits.
#[rstest]
#[case::report_lost(0, true)]
#[case::report_received(1, false)]
fn watch_is_answered_at_once_until_the_ends_are_acknowledged(
    #[case] acked: u64,
    #[case] is_answered: bool,
) {
    let (mut manager, id) = manager_with_run();
    let done = fixtures::listing_with_end(5_060, 1, id, messages::RunOutcome::Done);
    manager.listed(START_MS + 60, START_MS + 2, done);
    manager.report(START_MS + 61, ENTRY);

    let watch = fixtures::watch(ENTRY, START_MS + 62, 1, &[]);
    manager.watch(START_MS + 63, &messages::Watch { acked, ..watch });

    assert_eq!(manager.has_update(ENTRY), is_answered);
}

/// Guards against two runs of a task at a time: a runner that was suspended starts what it had queued for
/// an entry whose callers are served by others by now.
#[rstest]
#[case::entry_not_heard_yet(None, 0)]
#[case::entry_heard(Some(RESUMED_MS - 2), 1)]
fn queued_run_starts_only_once_its_entry_is_heard(
    #[case] alive_at_ms: Option<u64>,
    #[case] expected_starts: usize,
) {
    let mut manager = fixtures::ready_manager();
    let (running, queued) = (fixtures::run_id(1, 0, 1), fixtures::run_id(2, 0, 1));
    let runs = [(running.clone(), 16_000), (queued.clone(), 1_600)];
    let mut order = fixtures::order(ENTRY, 1, START_MS, &runs);
    order.starts[1].wait.most_ms = 5_000;
    manager.order(START_MS, order);
    manager.start_answered(START_MS + 1, &running, ports::StartAnswer::Started);
    manager.next_list(START_MS + 2);
    manager.resume(RESUMED_MS, RESUMED_MS + SETTLE_MS);

    let done = messages::RunOutcome::Done;
    let ends = fixtures::listing_with_end(5_052, 1, running.clone(), done);
    let mut actions = manager.listed(RESUMED_MS, START_MS + 2, ends);
    if let Some(alive_at_ms) = alive_at_ms {
        let wanted = [running, queued];
        let watch = fixtures::watch(ENTRY, alive_at_ms, 1, &wanted);
        actions.extend(manager.watch(RESUMED_MS, &watch));
        actions.extend(manager.tick(RESUMED_MS + 1));
    }

    assert_eq!(fixtures::started(&actions).len(), expected_starts);
}
