//! Decisions of an entry on its latest view of runners, settings and peers.

use std::sync;

use bulrushtiller::api;
use bulrushtiller::codes;
use bulrushtiller::entry;
use bulrushtiller::entry::calls;
use bulrushtiller::entry::pass_on;
use bulrushtiller::ids;
use bulrushtiller::jobs;
use bulrushtiller::settings;
use bulrushtiller::wire;
use rstest::rstest;
use smol_str::SmolStr;

const TEAM: SmolStr = SmolStr::new_static("escola");
const ZONE: &str = "bento";
const TICK_MS: u64 = 20;

fn peer(role: wire::Role, name: &str) -> wire::Peer {
    wire::Peer {
        role,
        name: SmolStr::new(name),
        incarnation: ids::Incarnation(1),
        zone: SmolStr::new(ZONE),
        rack: SmolStr::new("a"),
        address: SmolStr::new(name),
    }
}

fn heartbeat() -> wire::Heartbeat {
    wire::Heartbeat {
        load: Some(wire::Load {
            slots: 8,
            sequence: 1,
            ..wire::Load::default()
        }),
        ..wire::Heartbeat::new(peer(wire::Role::Runner, "runner"))
    }
}

fn settings(zones_out: &[&str]) -> sync::Arc<settings::Settings> {
    let mut settings = settings::Settings::default();
    settings.teams.insert(TEAM, settings::Team::default());
    for zone in zones_out {
        let out = settings::Zone { out: true };
        settings.zones.insert(SmolStr::new(zone), out);
    }
    sync::Arc::new(settings)
}

/// Returns an entry that has been without a runner long enough to refuse submissions, and
/// the current time.
fn entry_without_runner(settings: sync::Arc<settings::Settings>) -> (entry::core::Core, u64) {
    let end_ms = u64::from(settings.timeouts.dead_after_ms) * 2;
    let mut entry = entry::core::Core::new(peer(wire::Role::Entry, "entry"), settings, 0, 1);
    let ticks = (0..=end_ms).step_by(TICK_MS.try_into().unwrap());
    ticks.for_each(|now_ms| drop(entry.tick(now_ms)));
    (entry, end_ms)
}

fn submit(entry: &mut entry::core::Core, now_ms: u64) -> Option<codes::Code> {
    let submission = api::Submission {
        submission: None,
        deadline_ms: None,
        wait_ms: 0,
        idempotent: false,
        tasks: vec![api::Task::default()],
    };
    match entry.submit(now_ms, &TEAM, submission).0 {
        calls::Reply::Answer(answer) => Some(answer.code),
        _ => None,
    }
}

// Runners contact a replaced entry only after a while. A caller that sees them on `/status`
// and submits at once must not be refused for lack of backend servers, which happens if the
// entry decides on the state of its last tick.
#[test]
fn submission_is_accepted_after_first_runner_heartbeat() {
    let (mut entry, now_ms) = entry_without_runner(settings(&[]));
    let refused_before = submit(&mut entry, now_ms);

    entry.heartbeat(now_ms, &heartbeat());
    let refused_after = submit(&mut entry, now_ms);

    assert_eq!(refused_before, Some(codes::Code::NoCapacity));
    assert_eq!(refused_after, None);
}

// The only zone returns to service after a long time, and a submission arrives before the
// next tick of the entry.
#[rstest]
#[case::zone_still_out(&[ZONE], Some(codes::Code::NoCapacity))]
#[case::zone_back(&[], None)]
fn submission_is_refused_until_settings_bring_zone_back(
    #[case] out: &[&str],
    #[case] refused: Option<codes::Code>,
) {
    let (mut entry, now_ms) = entry_without_runner(settings(&[ZONE]));
    entry.heartbeat(now_ms, &heartbeat());

    entry.set_settings(now_ms, settings(out), None);

    assert_eq!(submit(&mut entry, now_ms), refused);
}

// A submission is delayed in a stalled connection or in the receive buffer of a suspended
// entry, and a fetch for it is read first. "Unknown" must not be final: the submission is
// read next and starts.
#[test]
fn fetch_before_its_submission_is_not_final() {
    let mut entry = entry::core::Core::new(peer(wire::Role::Entry, "entry"), settings(&[]), 0, 1);
    entry.heartbeat(0, &heartbeat());
    let ticket = entry.ticket();
    let submission = api::Submission {
        submission: Some(ticket.clone()),
        deadline_ms: None,
        wait_ms: 0,
        idempotent: false,
        tasks: vec![api::Task::default()],
    };

    let early_fetch = entry.fetch(0, &TEAM, &ticket);
    let (late_submit, _) = entry.submit(0, &TEAM, submission);

    let calls::Reply::Answer(answer) = early_fetch else {
        panic!("expected an answer, got {early_fetch:?}");
    };
    assert_eq!(answer.code, codes::Code::UnknownSubmission);
    assert!(!answer.is_final);
    assert!(matches!(late_submit, calls::Reply::Open(_)));
}

fn answer(code: codes::Code, is_final: bool) -> api::Answer {
    jobs::answer::bare(None, code, is_final)
}

// The first copy of a submission that was passed on is delayed and the second is refused. If
// the sender then places the submission itself, and the first copy arrives at an entry that
// does not remember the refusal, the tasks start twice.
#[rstest]
#[case::entry_leaving(codes::Code::Leaving, true, true, true)]
#[case::no_capacity(codes::Code::NoCapacity, true, true, true)]
#[case::queue_full(codes::Code::EntryQueueFull, true, true, true)]
#[case::queue_full_not_remembered(codes::Code::EntryQueueFull, false, false, false)]
#[case::no_settings(codes::Code::NotFresh, true, true, false)]
#[case::other_incarnation(codes::Code::OwnerGone, true, true, false)]
#[case::unknown_ticket(codes::Code::BadTicket, true, true, false)]
#[case::team_queue_full(codes::Code::TeamQueueFull, true, false, false)]
#[case::accepted(codes::Code::Pending, false, false, false)]
fn declined_submission_is_kept_only_if_it_cannot_start_elsewhere(
    #[case] code: codes::Code,
    #[case] is_final: bool,
    #[case] after_first: bool,
    #[case] after_second: bool,
) {
    let is_declined = |outcome| outcome == pass_on::Outcome::Declined;

    assert_eq!(
        is_declined(pass_on::first_copy_outcome(answer(code, is_final))),
        after_first
    );
    assert_eq!(
        is_declined(pass_on::second_copy_outcome(answer(code, is_final))),
        after_second
    );
}

/// Returns the number of appends by one entry in a second, and of the ids in them, with a
/// claim every five milliseconds and a log that answers at once.
fn appends_in_one_second(entries: u64) -> (usize, usize) {
    let mut entry = entry::core::Core::new(peer(wire::Role::Entry, "entry"), settings(&[]), 0, 1);
    for at in 1..entries {
        let sender = peer(wire::Role::Entry, &format!("entry-{at}"));
        let heartbeat = wire::Heartbeat {
            sender,
            load: None,
            ..heartbeat()
        };
        entry.heartbeat(0, &heartbeat);
    }
    let (mut appends, mut ids) = (0, 0);
    for now_ms in (0_u64..1_000).step_by(5) {
        let id = ids::SubmissionId::Own(smol_str::format_smolstr!("own-{now_ms}"));
        let submission = api::Submission {
            submission: Some(id),
            deadline_ms: None,
            wait_ms: 0,
            idempotent: false,
            tasks: vec![api::Task::default()],
        };
        let (_, mut actions) = entry.submit(now_ms, &TEAM, submission);
        actions.extend(entry.tick(now_ms));
        for action in actions {
            if let entry::core::Action::AppendClaims(record) = action {
                appends += 1;
                ids += record.claims.len();
                entry.claims_appended(now_ms);
            }
        }
    }
    (appends, ids)
}

// The callers of 164 entries choose their own ids. One append per id would exceed the few
// hundred appends per second that the log accepts, and calls would be refused for its latency.
#[rstest]
#[case::few_entries(3, 200, 200)]
#[case::many_entries(164, 3, 195)]
fn claims_are_batched_when_entries_are_many(
    #[case] entries: u64,
    #[case] appends: usize,
    #[case] ids: usize,
) {
    assert_eq!(appends_in_one_second(entries), (appends, ids));
}
