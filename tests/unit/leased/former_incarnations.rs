//! Late messages of and for former incarnations of a backend server.

use bulrushtiller::leased::capacity;
use bulrushtiller::leased::messages;
use bulrushtiller::leased::ports;
use rstest::rstest;
use smol_str::SmolStr;

use super::fixtures;
use super::fixtures::ENTRY;
use super::fixtures::START_MS;

/// Start time of the former incarnation, whose clock was ahead.
const FORMER_MS: u64 = 900;

/// Returns a heartbeat of the former incarnation.
fn former(sequence: u64) -> ports::Announcement {
    let announcement = fixtures::announcement(FORMER_MS, sequence);
    ports::Announcement {
        incarnation: ports::BackendIncarnation {
            name: SmolStr::new("backend-0"),
            ..announcement.incarnation
        },
        ..announcement
    }
}

/// How the runner knows the former incarnation.
#[derive(Clone, Copy, Debug)]
enum Source {
    Heartbeat,
    Store,
}

/// Returns a runner with a run at the present incarnation, which answered a listing call for the
/// former one before it announced itself.
fn manager_with_run(source: Source) -> (capacity::CapacityManager, messages::RunId) {
    let mut manager = capacity::CapacityManager::new(fixtures::RUNNER, 10);
    match source {
        Source::Heartbeat => {
            manager.announced(START_MS - 200, former(1));
        }
        Source::Store => manager.restore_backend(former(0)),
    }
    manager.listed(
        START_MS - 150,
        START_MS - 160,
        ports::ListAnswer::OtherIncarnation,
    );
    manager.announced(START_MS - 100, fixtures::announcement(100, 1));
    manager.next_list(START_MS - 50);
    manager.listed(START_MS, START_MS - 50, fixtures::listing(5_000, &[]));
    let id = fixtures::run_id(1, 0, 1);
    let order = fixtures::order(ENTRY, 1, START_MS, &[(id.clone(), 1_600)]);
    manager.order(START_MS, order);
    manager.start_answered(START_MS + 1, &id, ports::StartAnswer::Started);
    let listing = fixtures::listing(5_010, std::slice::from_ref(&id));
    manager.listed(START_MS + 10, START_MS + 5, listing);
    (manager, id)
}

/// Guards against running tasks that start elsewhere because of a late heartbeat of an incarnation
/// whose end a 421 has shown, and whose clock was ahead.
#[rstest]
#[case::announced(Source::Heartbeat)]
#[case::stored(Source::Store)]
fn late_heartbeat_of_an_incarnation_that_is_over_ends_no_run(#[case] source: Source) {
    let (mut manager, id) = manager_with_run(source);

    let is_latest = manager.announced(START_MS + 100, former(2));

    assert!(!is_latest);
    assert_eq!(manager.report(START_MS + 101, ENTRY).runs, [id]);
}

/// Guards against a backend server that is forgotten until its next heartbeat because of the answer
/// to a listing call that was built in the millisecond in which it announced itself, but before.
#[test]
fn answer_to_a_listing_call_of_the_same_millisecond_changes_nothing() {
    let mut manager = fixtures::ready_manager();
    let present = fixtures::announcement(FORMER_MS, 1);
    manager.next_list(START_MS + 50);
    manager.announced(START_MS + 50, present.clone());

    manager.listed(
        START_MS + 52,
        START_MS + 50,
        ports::ListAnswer::OtherIncarnation,
    );

    let next = manager.next_list(START_MS + 53);
    assert_eq!(next.incarnation, Some(present.incarnation));
}
