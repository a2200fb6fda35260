//! Starts of tasks whose callers have left, before the entry has heard that they did.

use std::rc;

use bulrushtiller::leased::dispatch;
use bulrushtiller::leased::dispatch::callers;
use bulrushtiller::leased::dispatch::runners;
use bulrushtiller::leased::messages;
use rstest::rstest;

use super::fixtures;
use super::fixtures::START_MS;

/// A connection that the test closes.
#[derive(Clone, Debug, Default)]
struct Connection {
    is_closed: rc::Rc<std::cell::Cell<bool>>,
}

impl callers::Connection for Connection {
    fn is_closed(&self) -> bool {
        self.is_closed.get()
    }
}

/// Returns an entry with a job of one task that needs all of the only runner, and the connection of
/// its caller.
fn entry_with_job() -> (dispatch::Dispatcher, runners::RunnerKey, Connection) {
    let (mut entry, key) = fixtures::entry();
    let connection = Connection::default();
    entry.callers().insert(1, Box::new(connection.clone()));
    let job = fixtures::job(1, 1, 16_000, 60);
    let actions = entry.submit(START_MS, job, &fixtures::queue(), Some(9_000), 1);
    assert_eq!(fixtures::orders(&actions).len(), 1);
    (entry, key, connection)
}

/// Returns the report that the first run of the job was stopped.
fn stopped_report() -> messages::Report {
    let end = messages::End {
        number: 1,
        id: fixtures::run_id(1, 0, 1),
        how: messages::RunOutcome::Stopped,
        ran_ms: 500,
    };
    messages::Report {
        ends: vec![end],
        ..fixtures::report(2, 0, &[])
    }
}

fn starts(actions: &[dispatch::Action]) -> usize {
    let orders = fixtures::orders(actions).into_iter();
    orders.map(|order| order.starts.len()).sum()
}

/// Guards against two runs of a task at a time: an entry that stood still reads that a run was stopped
/// before it hears that the caller has left, who is served by another entry by now.
#[rstest]
#[case::caller_has_left(true, 0, 0)]
#[case::caller_waits(false, 1, 1)]
fn task_is_started_again_only_for_a_caller_that_waits(
    #[case] has_left: bool,
    #[case] expected_starts: usize,
    #[case] expected_jobs: usize,
) {
    let (mut entry, key, connection) = entry_with_job();
    connection.is_closed.set(has_left);

    let actions = entry.report_received(START_MS + 20, key, stopped_report());

    assert_eq!(starts(&actions), expected_starts, "{actions:?}");
    assert_eq!(entry.open_jobs(), expected_jobs);
}

/// Guards against the same with a task that has not run: capacity becomes free before the entry hears
/// that the caller of the next job has left.
#[test]
fn waiting_task_of_a_caller_that_has_left_is_not_started() {
    let (mut entry, key, _connection) = entry_with_job();
    let next = Connection::default();
    entry.callers().insert(2, Box::new(next.clone()));
    let job = fixtures::job(2, 1, 16_000, 60);
    let waiting = entry.submit(START_MS + 1, job, &fixtures::queue(), Some(9_000), 2);
    next.is_closed.set(true);

    let end = messages::End {
        how: messages::RunOutcome::Done,
        ..stopped_report().ends.remove(0)
    };
    let report = messages::Report {
        ends: vec![end],
        ..stopped_report()
    };
    let actions = entry.report_received(START_MS + 20, key, report);

    assert_eq!(starts(&waiting) + starts(&actions), 0, "{actions:?}");
    assert_eq!(entry.open_jobs(), 0);
}

/// Guards against a caller that is left without an answer: the job goes on while any caller waits.
#[test]
fn job_with_another_caller_is_started_again() {
    let (mut entry, key, connection) = entry_with_job();
    let job = fixtures::job(1, 1, 16_000, 60);
    entry.submit(START_MS + 1, job, &fixtures::queue(), Some(9_000), 2);
    connection.is_closed.set(true);

    let actions = entry.report_received(START_MS + 20, key, stopped_report());

    assert_eq!(starts(&actions), 1, "{actions:?}");
}

/// Guards against connections that are kept for ever: nothing is asked of a caller that was removed.
#[test]
fn removed_caller_counts_as_present() {
    let (mut entry, _key, connection) = entry_with_job();
    connection.is_closed.set(true);

    let before = entry.callers().has_left(1);
    entry.callers().remove(1);

    assert!(before);
    assert!(!entry.callers().has_left(1));
}
