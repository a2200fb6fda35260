//! What an entry decides from what it heard last.

use std::sync;

use bulrushtiller::api;
use bulrushtiller::codes;
use bulrushtiller::entry;
use bulrushtiller::entry::calls;
use bulrushtiller::entry::passing;
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

/// An entry that has run for long enough without a runner to refuse for want of one.
fn lonely_entry(settings: sync::Arc<settings::Settings>) -> (entry::core::Core, u64) {
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

// Entries are replaced and the runners find the new ones only after a while. A caller who
// sees on `/status` that runners are there submits at once, and is told that no backend
// server is in service. The entry had kept what its last tick saw.
#[test]
fn runner_counts_from_its_first_heartbeat_on() {
    let (mut entry, now_ms) = lonely_entry(settings(&[]));
    let before = submit(&mut entry, now_ms);

    entry.heartbeat(now_ms, &heartbeat());
    let after = submit(&mut entry, now_ms);

    assert_eq!(before, Some(codes::Code::NoCapacity));
    assert_eq!(after, None);
}

// The only zone comes back after a long time out, and a caller submits before the entry's
// clock has ticked once more.
#[rstest]
#[case::still_out(&[ZONE], Some(codes::Code::NoCapacity))]
#[case::back(&[], None)]
fn zone_counts_from_the_change_that_brings_it_back(
    #[case] out: &[&str],
    #[case] refused: Option<codes::Code>,
) {
    let (mut entry, now_ms) = lonely_entry(settings(&[ZONE]));
    entry.heartbeat(now_ms, &heartbeat());

    entry.set_settings(now_ms, settings(out), None);

    assert_eq!(submit(&mut entry, now_ms), refused);
}

// A caller whose submission lies in a silent connection, or in the buffer of an entry that
// stands still, asks for its answer; after the thaw the question is read first. It must not
// be told for good that nothing is known: the submission is read next, and starts.
#[test]
fn question_that_overtakes_its_submission_has_not_the_last_word() {
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

    let overtaking = entry.fetch(0, &TEAM, &ticket);
    let (late, _) = entry.submit(0, &TEAM, submission);

    let calls::Reply::Answer(answer) = overtaking else {
        panic!("{overtaking:?}");
    };
    assert_eq!(answer.code, codes::Code::UnknownSubmission);
    assert!(!answer.is_final);
    assert!(matches!(late, calls::Reply::Open(_)));
}

fn answer(code: codes::Code, is_final: bool) -> api::Answer {
    jobs::answer::bare(None, code, is_final)
}

// A submission was passed on and lies in a silent connection; its second copy is refused.
// Whoever keeps it then starts it, and if the first copy arrives where the refusal was not
// remembered, it starts once more.
#[rstest]
#[case::stops(codes::Code::Leaving, true, true, true)]
#[case::sees_no_runner(codes::Code::NoCapacity, true, true, true)]
#[case::has_no_room(codes::Code::EntryQueueFull, true, true, true)]
#[case::could_not_remember(codes::Code::EntryQueueFull, false, false, false)]
#[case::has_no_settings(codes::Code::NotFresh, true, true, false)]
#[case::is_another_life(codes::Code::OwnerGone, true, true, false)]
#[case::does_not_know_the_ticket(codes::Code::BadTicket, true, true, false)]
#[case::refuses_for_load(codes::Code::TeamQueueFull, true, false, false)]
#[case::took_it_in(codes::Code::Pending, false, false, false)]
fn passed_submission_is_kept_where_it_never_starts_elsewhere(
    #[case] code: codes::Code,
    #[case] is_final: bool,
    #[case] after_first: bool,
    #[case] after_second: bool,
) {
    let is_kept = |passed| passed == passing::Passed::Declined;

    assert_eq!(
        is_kept(passing::first_word(answer(code, is_final))),
        after_first
    );
    assert_eq!(
        is_kept(passing::second_word(answer(code, is_final))),
        after_second
    );
}

/// Appends that an entry makes in a second in which a claim comes every five milliseconds
/// and the log answers at once, and the ids in them.
fn claims_of_a_second(entries: u64) -> (usize, usize) {
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

// Callers of 164 entries choose their own ids. With one append for each the log, which
// takes several hundred a second, would answer late, and the calls be refused.
#[rstest]
#[case::three(3, 200, 200)]
#[case::many(164, 3, 195)]
fn claims_share_an_append_where_entries_are_many(
    #[case] entries: u64,
    #[case] appends: usize,
    #[case] ids: usize,
) {
    assert_eq!(claims_of_a_second(entries), (appends, ids));
}
