//! Messages at a runner that another backend server than its own has sent.

use bulrushtiller::leased::capacity;
use bulrushtiller::leased::messages;
use bulrushtiller::leased::ports;
use smol_str::SmolStr;

use super::fixtures;
use super::fixtures::ENTRY;
use super::fixtures::START_MS;

/// Returns a heartbeat of another backend server that started later.
fn other_announcement() -> ports::Announcement {
    let announcement = fixtures::announcement(900, 1);
    ports::Announcement {
        incarnation: ports::BackendIncarnation {
            name: SmolStr::new("backend-2"),
            ..announcement.incarnation
        },
        ..announcement
    }
}

/// Returns a runner with a run that was started, and the run.
fn manager_with_run() -> (capacity::CapacityManager, messages::RunId) {
    let mut manager = fixtures::ready_manager();
    let id = fixtures::run_id(1, 0, 1);
    let order = fixtures::order(ENTRY, 1, START_MS, &[(id.clone(), 1_600)]);
    manager.order(START_MS, order);
    manager.start_answered(START_MS + 1, &id, ports::StartAnswer::Started);
    (manager, id)
}

/// Guards against a task that runs twice at a time because the heartbeat of another backend server
/// ends the run that the runner's own one goes on with.
#[test]
fn heartbeat_of_another_backend_server_ends_no_listed_run() {
    let (mut manager, id) = manager_with_run();
    let running = fixtures::listing(5_010, std::slice::from_ref(&id));
    manager.listed(START_MS + 10, START_MS + 5, running);

    manager.announced(START_MS + 50, other_announcement());

    let report = manager.report(START_MS + 51, ENTRY);
    assert!(report.ends.is_empty(), "{:?}", report.ends);
    assert_eq!(report.runs, [id]);
}

/// Guards against a task that runs twice at a time because the runner asks its backend server for
/// the listing of another one, and takes the refusal for the end of all runs.
#[test]
fn refused_listing_of_another_backend_server_ends_no_run() {
    let (mut manager, id) = manager_with_run();
    manager.announced(START_MS + 50, other_announcement());

    manager.next_list(START_MS + 51);
    let refused = ports::ListAnswer::OtherIncarnation;
    manager.listed(START_MS + 53, START_MS + 51, refused);

    let report = manager.report(START_MS + 54, ENTRY);
    assert!(report.ends.is_empty(), "{:?}", report.ends);
    assert_eq!(report.runs, [id]);
}

/// Guards against a backend server whose leases aren't renewed, and whose ends aren't received,
/// until its next heartbeat because another one has announced itself to the runner.
#[test]
fn heartbeat_of_another_backend_server_leaves_the_listings_going() {
    let (mut manager, id) = manager_with_run();
    let running = fixtures::listing(5_010, std::slice::from_ref(&id));
    manager.listed(START_MS + 10, START_MS + 5, running);
    manager.announced(START_MS + 50, other_announcement());
    manager.next_list(START_MS + 51);
    let refused = ports::ListAnswer::OtherIncarnation;
    manager.listed(START_MS + 53, START_MS + 51, refused);

    let call = manager.next_list(START_MS + 54);

    let own = fixtures::announcement(100, 1).incarnation;
    assert_eq!(call.incarnation, Some(own));
}
