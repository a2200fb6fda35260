//! Messages and answers at a runner that don't come from its own backend server.

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

/// Guards against a task that runs twice at a time because the heartbeat of another backend server
/// ends the run that the runner's own one goes on with.
#[test]
fn heartbeat_of_another_backend_server_ends_no_listed_run() {
    let (mut manager, id) = fixtures::manager_with_run();
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
    let (mut manager, id) = fixtures::manager_with_run();
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
    let (mut manager, id) = fixtures::manager_with_run();
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

/// Guards against runs that are reported as ended while they work on, because a heartbeat came that is
/// not of the backend server at the runner's address.
#[test]
fn heartbeat_of_another_backend_server_ends_no_run() {
    let (mut manager, id) = fixtures::manager_with_run();

    manager.announced(START_MS + 50, other_announcement());
    let asked = manager.next_list(START_MS + 51);
    let answer = ports::ListAnswer::OtherIncarnation;
    manager.listed(START_MS + 52, START_MS + 51, answer);
    let report = manager.report(START_MS + 53, ENTRY);
    let next = manager.next_list(START_MS + 53);

    assert_eq!(asked.incarnation, Some(other_announcement().incarnation));
    assert_eq!((asked.lease_until_ms, asked.acked), (None, 0));
    assert_eq!((report.runs, report.ends.len()), (vec![id], 0));
    assert_eq!(report.load.readiness, messages::Readiness::Ready);
    assert_eq!(next.incarnation.map(|one| one.started_at_ms), Some(100));
    assert!(next.lease_until_ms.is_some());
}

/// Guards against leases that lapse while a runner asks an incarnation that never answers.
#[test]
fn leases_are_renewed_while_an_announced_incarnation_does_not_answer() {
    let (mut manager, _id) = fixtures::manager_with_run();
    manager.announced(START_MS + 50, other_announcement());

    manager.next_list(START_MS + 51);
    manager.listed(START_MS + 60, START_MS + 51, ports::ListAnswer::Lost);
    let known = manager.next_list(START_MS + 61);
    manager.listed(START_MS + 70, START_MS + 61, fixtures::listing(5_070, &[]));
    let repeated = manager.next_list(START_MS + 71);

    assert_eq!(known.incarnation.map(|one| one.started_at_ms), Some(100));
    assert!(known.lease_until_ms.is_some());
    assert_eq!(repeated.incarnation.map(|one| one.started_at_ms), Some(900));
}

/// Guards against runs that are reported as ended while they work on, because something else answered
/// one call at the address of their backend server.
#[test]
fn answer_of_another_incarnation_ends_no_run() {
    let (mut manager, id) = fixtures::manager_with_run();

    manager.listed(
        START_MS + 50,
        START_MS + 45,
        ports::ListAnswer::OtherIncarnation,
    );
    let absent = manager.report(START_MS + 51, ENTRY);
    let next = manager.next_list(START_MS + 52);
    let ended = fixtures::listing_with_end(5_060, 1, id.clone(), messages::RunOutcome::Done);
    manager.listed(START_MS + 60, START_MS + 52, ended);
    let back = manager.report(START_MS + 61, ENTRY);

    assert_eq!((absent.runs, absent.ends.len()), (vec![id], 0));
    assert_eq!(absent.load.readiness, messages::Readiness::Starting);
    assert_eq!(next.incarnation.map(|one| one.started_at_ms), Some(100));
    assert_eq!(back.ends[0].how, messages::RunOutcome::Done);
    assert_eq!(back.load.readiness, messages::Readiness::Ready);
}

/// Guards against runs that stay open for ever after their backend server was replaced by one that
/// never announces itself.
#[test]
fn runs_end_with_their_leases_if_only_another_incarnation_answers() {
    let (mut manager, id) = fixtures::manager_with_run();
    for at_ms in [100, 200, 300] {
        let now_ms = START_MS + at_ms;
        let wanted = std::slice::from_ref(&id);
        manager.watch(now_ms, &fixtures::watch(ENTRY, now_ms, 1, wanted));
        let answer = ports::ListAnswer::OtherIncarnation;
        manager.listed(now_ms, now_ms - 20, answer);
    }

    manager.tick(START_MS + capacity::LEASE_MS);
    let runs_before = manager.runs();
    manager.tick(START_MS + capacity::LEASE_MS + 30);

    assert_eq!((runs_before, manager.runs()), (1, 0));
}
