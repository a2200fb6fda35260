//! Starts that the backend server leaves unanswered.

use bulrushtiller::leased::capacity;
use bulrushtiller::leased::messages;
use bulrushtiller::leased::ports;
use rstest::rstest;

use super::fixtures;
use super::fixtures::ENTRY;
use super::fixtures::OTHER;
use super::fixtures::START_MS;

/// When the first call counts as unanswered.
const UNANSWERED_MS: u64 = START_MS + 20;

/// Returns a runner that has told its backend server to start a run.
fn manager_with_start() -> (capacity::CapacityManager, messages::RunId) {
    let mut manager = fixtures::ready_manager();
    let id = fixtures::run_id(1, 0, 1);
    let order = fixtures::order(ENTRY, 1, START_MS, &[(id.clone(), 1_600)]);
    manager.order(START_MS, order);
    (manager, id)
}

/// Returns the same after the first call was unanswered and the start was sent again.
fn manager_with_second_start() -> (capacity::CapacityManager, messages::RunId) {
    let (mut manager, id) = manager_with_start();
    let actions = manager.start_answered(UNANSWERED_MS, &id, ports::StartAnswer::Lost);
    assert_eq!(fixtures::started(&actions).len(), 1);
    (manager, id)
}

/// Guards against a run that is stopped, and its task run again, because one answer was late.
#[test]
fn unanswered_start_is_sent_again_once() {
    let (mut manager, id) = manager_with_start();

    let first = manager.start_answered(UNANSWERED_MS, &id, ports::StartAnswer::Lost);
    let second = manager.start_answered(UNANSWERED_MS + 40, &id, ports::StartAnswer::Lost);

    assert_eq!(fixtures::started(&first)[0].start.id, id);
    assert!(fixtures::stopped(&first).is_empty());
    assert!(fixtures::started(&second).is_empty());
    assert_eq!(fixtures::stopped(&second), [id]);
    assert_eq!(manager.load(UNANSWERED_MS + 41).used.cpu_milli, 1_600);
}

/// Guards against a completed task that runs again: the second start finds a run that the first
/// one started and that has ended.
#[rstest]
#[case::listed_as_completed(true, messages::RunOutcome::Done)]
#[case::not_listed(false, messages::RunOutcome::Stopped)]
fn run_that_ended_before_its_second_start_is_reported_as_listed(
    #[case] is_listed: bool,
    #[case] expected: messages::RunOutcome,
) {
    let (mut manager, id) = manager_with_second_start();
    let refused = ports::StartAnswer::Refused(ports::StartRefusal::OldRun);

    let actions = manager.start_answered(UNANSWERED_MS + 5, &id, refused);
    let held = manager.runs();
    let listing = if is_listed {
        fixtures::listing_with_end(5_030, 1, id, messages::RunOutcome::Done)
    } else {
        fixtures::listing(5_030, &[])
    };
    manager.listed(UNANSWERED_MS + 10, UNANSWERED_MS + 6, listing);

    let report = manager.report(UNANSWERED_MS + 11, ENTRY);
    assert!(actions.is_empty(), "{actions:?}");
    assert_eq!(held, 1);
    assert_eq!(report.ends[0].how, expected);
}

/// Guards against a task that runs twice at once: the second start is refused, but the first may
/// still be carried out, so the run must not count as not started.
#[rstest]
#[case::unwell(ports::StartRefusal::Unwell)]
#[case::no_capacity(ports::StartRefusal::Room)]
#[case::late(ports::StartRefusal::Late)]
fn run_whose_second_start_is_refused_is_stopped(#[case] why: ports::StartRefusal) {
    let (mut manager, id) = manager_with_second_start();

    let refused = ports::StartAnswer::Refused(why);
    let actions = manager.start_answered(UNANSWERED_MS + 5, &id, refused);

    assert_eq!(fixtures::stopped(&actions), [id]);
    assert!(manager.report(UNANSWERED_MS + 6, ENTRY).ends.is_empty());
}

/// Guards against a start in an availability zone that was taken out of service meanwhile.
#[test]
fn unanswered_start_is_stopped_in_a_zone_out_of_service() {
    let (mut manager, id) = manager_with_start();
    let mut watch = fixtures::watch(OTHER, START_MS + 10, 0, &[]);
    watch.notice = Some(fixtures::notice(5, "bento"));
    manager.watch(START_MS + 10, &watch);

    let actions = manager.start_answered(UNANSWERED_MS, &id, ports::StartAnswer::Lost);

    assert!(fixtures::started(&actions).is_empty());
    assert_eq!(fixtures::stopped(&actions), [id]);
}

/// Guards against a start at a backend server that has announced that it is leaving.
#[test]
fn unanswered_start_is_stopped_at_a_leaving_backend_server() {
    let (mut manager, id) = manager_with_start();
    let mut leaving = fixtures::announcement(100, 2);
    leaving.is_leaving = true;
    manager.announced(START_MS + 10, leaving);

    let actions = manager.start_answered(UNANSWERED_MS, &id, ports::StartAnswer::Lost);

    assert!(fixtures::started(&actions).is_empty());
    assert_eq!(fixtures::stopped(&actions), [id]);
}
