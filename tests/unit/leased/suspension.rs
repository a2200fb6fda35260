//! What entries and runners decide by silence right after they were suspended.

use bulrushtiller::leased::capacity;
use bulrushtiller::leased::dispatch;
use bulrushtiller::leased::dispatch::runners;
use bulrushtiller::leased::messages;
use bulrushtiller::leased::ports;
use bulrushtiller::leased::suspension;

use super::fixtures;
use super::fixtures::ENTRY;
use super::fixtures::START_MS;

/// When the process resumes, long after every lease and order has expired.
const RESUMED_MS: u64 = START_MS + 3_000;

/// When silence counts again.
const SETTLED_MS: u64 = RESUMED_MS + 150;

/// Returns an entry that was suspended right after it ordered one run, and that run.
fn resumed_entry() -> (dispatch::Dispatcher, runners::RunnerKey, messages::Order) {
    let (mut entry, key) = fixtures::entry();
    let job = fixtures::job(1, 1, 1_600, 60);
    let actions = entry.submit(START_MS, job, &fixtures::queue(), Some(9_000), 1);
    let order = fixtures::orders(&actions).remove(0);
    entry.resume(SETTLED_MS);
    (entry, key, order)
}

/// Guards against a completed task that runs again because its entry counts it as lost before it
/// reads the report of its end.
#[test]
fn run_is_not_lost_before_a_resumed_entry_has_read_the_report() {
    let (mut entry, key, order) = resumed_entry();
    entry.order_answered(RESUMED_MS, key, &order, fixtures::reply(2, 1_600));

    let ticked = entry.tick(RESUMED_MS + 1);
    let end = messages::End {
        number: 1,
        id: order.starts[0].id.clone(),
        how: messages::RunOutcome::Done,
        ran_ms: 60,
    };
    let report = messages::Report {
        ends: vec![end],
        ..fixtures::report(3, 0, &[])
    };
    let reported = entry.report_received(RESUMED_MS + 2, key, report);

    assert!(fixtures::orders(&ticked).is_empty(), "{ticked:?}");
    assert!(
        reported.iter().any(|action| matches!(
            action,
            dispatch::Action::Answer(_, dispatch::Outcome::Completed)
        )),
        "{reported:?}"
    );
}

/// Guards against a task that runs twice because a report written before its order arrived is
/// read long after the order has expired.
#[test]
fn old_report_read_by_a_resumed_entry_ends_no_run() {
    let (mut entry, key, order) = resumed_entry();

    let early = entry.report_received(RESUMED_MS, key, fixtures::report(2, 0, &[]));
    let settled = entry.report_received(SETTLED_MS, key, fixtures::report(3, 0, &[]));
    let recent = messages::Report {
        clock_ms: order.valid_until_ms + 1,
        ..fixtures::report(4, 0, &[])
    };
    let late = entry.report_received(SETTLED_MS + 1, key, recent);

    assert!(fixtures::orders(&early).is_empty(), "{early:?}");
    assert!(fixtures::orders(&settled).is_empty(), "{settled:?}");
    assert_eq!(
        fixtures::orders(&late)[0].starts[0].id,
        fixtures::run_id(1, 0, 2)
    );
}

/// Submits a job that can wait for less than 100 ms to an entry that resumes.
fn submit_at_resume() -> (dispatch::Dispatcher, runners::RunnerKey) {
    let (mut entry, key) = fixtures::entry();
    let job = fixtures::job(2, 1, 1_600, 20);
    let actions = entry.submit(RESUMED_MS, job, &fixtures::queue(), Some(4_000), 1);
    assert!(fixtures::orders(&actions).is_empty(), "{actions:?}");
    entry.resume(SETTLED_MS);
    (entry, key)
}

fn is_refused(actions: &[dispatch::Action]) -> bool {
    let mut actions = actions.iter();
    actions.any(|action| {
        matches!(
            action,
            dispatch::Action::Answer(_, dispatch::Outcome::NotRun { .. })
        )
    })
}

/// Guards against a job that is refused although there is capacity, because its entry has not yet
/// read the reports that arrived while it was suspended.
#[test]
fn job_is_not_refused_before_a_resumed_entry_has_read_the_reports() {
    let (mut entry, key) = submit_at_resume();

    let ticked = entry.tick(SETTLED_MS - 1);
    let reported = entry.report_received(SETTLED_MS - 1, key, fixtures::report(2, 0, &[]));
    let placed = entry.tick(SETTLED_MS);

    assert!(!is_refused(&ticked), "{ticked:?}");
    let orders = fixtures::orders(&[reported, placed].concat());
    assert_eq!(orders.len(), 1);
}

/// Guards against a job that waits until its deadline because its entry was suspended once.
#[test]
fn job_without_capacity_is_refused_once_a_resumed_entry_has_settled() {
    let (mut entry, _) = submit_at_resume();

    let ticked = entry.tick(SETTLED_MS);

    assert!(is_refused(&ticked), "{ticked:?}");
}

/// Guards against a runner that refuses work because it has not yet read the answer of its backend
/// server that arrived while it was suspended.
#[test]
fn backend_server_is_not_unreachable_before_a_resumed_runner_has_settled() {
    let mut manager = fixtures::ready_manager();
    manager.resume(RESUMED_MS, SETTLED_MS);

    let before = manager.readiness(SETTLED_MS - 1);
    let after = manager.readiness(SETTLED_MS);

    assert_eq!(before, messages::Readiness::Ready);
    assert_eq!(after, messages::Readiness::Unreachable);
}

/// Returns a runner that was suspended for 600 ms while it had one run of an entry.
fn resumed_runner() -> (capacity::CapacityManager, messages::RunId, u64) {
    let mut manager = fixtures::ready_manager();
    let id = fixtures::run_id(1, 0, 1);
    let order = fixtures::order(ENTRY, 1, START_MS, &[(id.clone(), 1_600)]);
    manager.order(START_MS, order);
    manager.start_answered(START_MS + 1, &id, ports::StartAnswer::Started);
    let resumed_ms = START_MS + 600;
    manager.resume(resumed_ms, resumed_ms + 150);
    (manager, id, resumed_ms)
}

/// Guards against a task that is stopped although its entry is alive, because the runner has not
/// read the watches of the entry yet.
#[test]
fn run_of_a_live_entry_goes_on_when_the_runner_resumes() {
    let (mut manager, id, resumed_ms) = resumed_runner();

    let first = manager.tick(resumed_ms);
    let watch = fixtures::watch(ENTRY, resumed_ms + 5, 1, std::slice::from_ref(&id));
    manager.watch(resumed_ms + 5, &watch);
    let settled = manager.tick(resumed_ms + 150);

    assert!(fixtures::stopped(&first).is_empty());
    assert!(fixtures::stopped(&settled).is_empty());
}

/// Guards against a task that goes on for an entry that crashed while the runner was suspended.
#[test]
fn run_of_a_silent_entry_is_stopped_once_the_runner_has_settled() {
    let (mut manager, id, resumed_ms) = resumed_runner();

    let call = manager.next_list(resumed_ms + 1);
    let settled = manager.tick(resumed_ms + 150);

    assert!(call.lease_until_ms <= Some(5_000 + capacity::OWNER_LEASE_MS));
    assert_eq!(fixtures::stopped(&settled), [id]);
}

/// Guards against a busy process that counts as suspended, and against a suspension that is missed.
#[test]
fn only_a_long_gap_counts_as_a_suspension() {
    let mut detector = suspension::Detector::default();

    let first = detector.record(START_MS);
    let usual = detector.record(START_MS + 199);
    let resumed = detector.record(START_MS + 399);
    let next = detector.record(START_MS + 409);

    assert_eq!((first, usual, next), (None, None, None));
    assert!(resumed.is_some_and(|settles_at_ms| settles_at_ms > START_MS + 399));
}

/// Guards against a suspension of the instance that is missed, or counted twice, and against clocks
/// that are read one after the other.
#[test]
fn only_new_suspended_time_counts() {
    let mut detector = suspension::InstanceDetector::default();

    let first = detector.record(40_000);
    let jitter = detector.record(40_001);
    let suspended = detector.record(44_000);
    let next = detector.record(44_001);

    assert_eq!(
        (first, jitter, suspended, next),
        (None, None, Some(4_000), None)
    );
}
