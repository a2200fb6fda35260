//! Submissions that one entry passes on to the leading one.

use std::thread;
use std::time;

use bulrushtiller::api;
use bulrushtiller::codes;
use bulrushtiller::ids;
use bulrushtiller::wire;
use bulrushtiller_standins::processes;
use bulrushtiller_standins::relay;
use bulrushtiller_standins::site;
use rstest::rstest;
use smol_str::SmolStr;

use crate::background;
use crate::check;
use crate::logs;
use crate::relays;
use crate::rig;

/// Has everything passed on, however many slots are free.
const ALWAYS: &str = "[policy]\npass_on_below = 1.0\n";

/// Longest time until a caller is told that a leading entry is silent: on a kept
/// connection and on a fresh one, and as much again for a busy machine.
const TOLD: time::Duration = time::Duration::from_secs(5);

fn owner(answer: &api::Answer) -> Option<SmolStr> {
    match answer.submission.as_ref()? {
        ids::SubmissionId::Ticket(ticket) => Some(ticket.entry.clone()),
        ids::SubmissionId::Own(_) => None,
    }
}

/// Two entries, the second of which passes on to the first, and two runners.
fn passing_rig() -> rig::Rig {
    let rig = rig::Rig::start(&rig::Plan {
        runners: vec!["caxias", "bento"],
        settings: ALWAYS.to_owned(),
        ..rig::Plan::default()
    });
    wait_until_passing(&rig, 1);
    rig
}

fn wait_until_passing(rig: &rig::Rig, entry: usize) {
    let probe = rig::job(&[rig::sleep(1, "probe")]);
    rig::wait_until("submissions are passed on", || {
        let answer = rig.submit(entry, &probe).expect("an answer");
        owner(&answer).as_deref() == Some("entry-0")
    });
}

fn told(mark: &str, ms: u64) -> check::Told {
    check::Told::sleeping(None, ms, &[mark])
}

/// Asks an entry until it has the last word.
fn final_answer(rig: &rig::Rig, entry: usize, id: &ids::SubmissionId) -> api::Answer {
    rig::wait_until("the last word", || {
        let answer = rig.fetch(entry, id, 1_000);
        answer.is_some_and(|answer| answer.is_final)
    });
    rig.fetch(entry, id, 0).expect("an answer")
}

// Callers at one entry whose submissions are passed on, when the leading entry dies. What
// it had taken in may have run and is not started again. Submissions that come later are
// not sent into the void: the connection is refused, so they are kept, and complete.
#[test]
fn leading_entry_killed_others_keep_what_comes() {
    let rig = &mut passing_rig();
    let before = told("before", 2_000).waiting(0);
    let taken = before.submit(rig, 1).expect("an answer");
    let id = taken.submission.clone().expect("a ticket");
    rig::wait_until("it runs", || rig.starts_of(before.payload(0)) == 1);

    rig.entries[0].kill().expect("it is killed");
    let after = told("after", 20);
    let kept = after.submit(rig, 1).expect("an answer");
    let lost = before
        .hear(Some(final_answer(rig, 1, &id)))
        .expect("an answer");

    assert_eq!(owner(&taken).as_deref(), Some("entry-0"));
    assert_eq!(kept.code, codes::Code::Complete);
    assert_eq!(owner(&kept).as_deref(), Some("entry-1"));
    assert_eq!(lost.code, codes::Code::OwnerGone);
    rig.entries.remove(0);
    check::check(rig, &[&before, &after]);
}

// The leading entry stands still. A caller at the other one, whose submission was passed
// on, is told soon that nothing is known, under an id by which it can ask: it may have been
// taken in. After the thaw the id has the true answer, and the task started at most once.
#[test]
fn leading_entry_frozen_callers_are_told_soon_and_ask_later() {
    let mut rig = passing_rig();
    let passed = told("frozen", 20);

    rig.entries[0].suspend().expect("it is frozen");
    let since = time::Instant::now();
    let silent = passed.submit(&rig, 1).expect("an answer");
    let told_after = since.elapsed();
    rig::wait_until("submissions are kept", || {
        let answer = rig.submit(1, &rig::job(&[rig::sleep(1, "later")]));
        answer.is_some_and(|answer| answer.code == codes::Code::Complete)
    });
    rig.entries[0].resume().expect("it is thawed");
    let id = silent.submission.clone().expect("an id to ask by");
    rig::wait_until("the true answer", || {
        let answer = passed.hear(rig.fetch(1, &id, 1_000));
        answer.is_some_and(|answer| answer.code == codes::Code::Complete)
    });

    assert_eq!(
        (silent.code, silent.is_final),
        (codes::Code::OwnerSilent, false)
    );
    assert!(told_after < TOLD, "told after {told_after:?}");
    assert_eq!(rig.starts_of(passed.payload(0)), 1);
    check::check(&rig, &[&passed]);
}

// The kept connections between two entries go silent for good, while new ones work. A
// submission passed on vanishes in one of them, or its answer does. It is repeated on a new
// connection under the same ticket: the caller has its answer, and nothing starts twice.
#[rstest]
#[case::both_ways(relay::Behaviour::SilentExisting)]
#[case::answers_only(relay::Behaviour::Silent { direction: relay::Direction::FromTarget, new_too: false })]
#[case::requests_only(relay::Behaviour::Silent { direction: relay::Direction::ToTarget, new_too: false })]
fn connections_between_entries_go_silent(#[case] behaviour: relay::Behaviour) {
    let mut rig = relays::bare(ALWAYS);
    let mut links = rig.links.clone();
    let (relay, direct) = relays::entry_behind_relay(&mut rig, "entry-0", "caxias", &links);
    links.entries.push(relay.address());
    let place = site::Location::new("entry-1", "bento");
    let second = rig.site.entry(&place, &links).expect("an entry starts");
    let peers = second.wait_for_address("peers").expect("a peers port");
    rig.entries.push(second);
    rig.links.entries = vec![direct, peers];
    rig.add_runner("runner-0", "caxias", &[]);
    rig.add_runner("runner-1", "bento", &[]);
    rig.wait_until_serving(2);
    wait_until_passing(&rig, 1);
    let passed: Vec<_> = (0..4).map(|at| told(&format!("job-{at}"), 50)).collect();

    relay.set(&behaviour);
    let answers: Vec<_> = passed.iter().map(|one| one.submit(&rig, 1)).collect();

    for answer in answers {
        assert_eq!(answer.expect("an answer").code, codes::Code::Complete);
    }
    check::check(&rig, &passed.iter().collect::<Vec<_>>());
}

// The leading entry remembers what ended for minutes and has no room for more, while slots
// are free everywhere. Callers of the other entry are not refused for that: it keeps what
// comes until it has no room itself.
#[test]
fn leading_entry_without_room_others_keep_what_comes() {
    let rig = rig::Rig::start(&rig::Plan {
        settings: format!("{ALWAYS}[limits]\nmax_submissions = 20\n"),
        ..rig::Plan::default()
    });
    wait_until_passing(&rig, 1);
    let jobs: Vec<_> = (0..20).map(|at| told(&format!("job-{at}"), 1)).collect();

    let answers: Vec<_> = jobs.iter().map(|one| one.submit(&rig, 1)).collect();

    let answers: Vec<_> = answers
        .into_iter()
        .map(|one| one.expect("an answer"))
        .collect();
    assert!(answers.iter().all(|one| one.code == codes::Code::Complete));
    let owners: Vec<_> = answers.iter().filter_map(owner).collect();
    assert_eq!(owners.first().map(SmolStr::as_str), Some("entry-0"));
    assert_eq!(owners.last().map(SmolStr::as_str), Some("entry-1"));
    check::check(&rig, &jobs.iter().collect::<Vec<_>>());
}

// Settings may allow callers larger bodies than the processes' messages may have. Such a job
// can't be passed on; its caller must not be told for ever that its fate is not known.
#[test]
fn submission_too_large_to_be_passed_on_is_kept() {
    let rig = rig::Rig::start(&rig::Plan {
        settings: format!(
            "{ALWAYS}[limits]\nmax_body_bytes = 33554432\nmax_payload_bytes = 1048576\n"
        ),
        ..rig::Plan::default()
    });
    wait_until_passing(&rig, 1);
    let large = "x".repeat(1_000_000);
    let payload = |at| format!("{{\"sleep_ms\": 1, \"output\": \"{at}\", \"of\": \"{large}\"}}");
    let payloads: Vec<String> = (0..9).map(payload).collect();

    let answer = rig.submit(1, &rig::job(&payloads)).expect("an answer");
    let under_ticket = api::Submission {
        submission: Some(rig.ticket(0)),
        ..rig::job(&payloads)
    };
    let refused = rig.submit(1, &under_ticket).expect("an answer");

    assert_eq!(answer.code, codes::Code::Complete, "{}", answer.text);
    assert_eq!(owner(&answer).as_deref(), Some("entry-1"));
    assert_eq!(
        (refused.code, refused.is_final),
        (codes::Code::TooLarge, true)
    );
}

fn declined_payload() -> String {
    rig::sleep(20, "declined")
}

/// Passes a submission on to the leading entry, as one does that has not heard yet that
/// this one stops.
fn pass_on_by_hand(rig: &rig::Rig, ticket: &ids::SubmissionId) -> api::Answer {
    let ids::SubmissionId::Ticket(of) = ticket else {
        panic!("{ticket} is not a ticket");
    };
    let forward = wire::Forward {
        version: wire::VERSION,
        incarnation: of.incarnation,
        team: SmolStr::new_static(rig::TEAM),
        call: wire::Call::Submit(api::Submission {
            submission: Some(ticket.clone()),
            wait_ms: 0,
            ..rig::job(&[declined_payload()])
        }),
    };
    let reply: wire::ForwardReply = rig::say(rig.links.entries[0], wire::FORWARD_PATH, &forward);
    reply.answer
}

// The leading entry is told to stop while submissions are passed on to it. What it took in
// comes back whole through the entry that passed it on, what is on its way to it is declined
// and never starts, and what comes later is kept: no caller of the other entry is refused.
#[test]
fn leading_entry_stops_and_cuts_nothing_passed_on() {
    let mut rig = passing_rig();
    let long = told("long", 2_000);

    let caller = rig.entries[1].address();
    let submission = rig::job(&[long.payload(0).to_owned()]);
    let waiting = thread::spawn(move || background::call(caller, &submission));
    rig::wait_until("it runs", || rig.starts_of(long.payload(0)) == 1);
    let ticket = rig.ticket(0);
    rig.entries[0].terminate().expect("told to stop");
    let entry = rig.entries[0].address();
    rig::wait_until("it stops", || rig::status(entry).leaving);
    let declined = pass_on_by_hand(&rig, &ticket);
    let later = (0..20).map(|at| told(&format!("later-{at}"), 20).submit(&rig, 1));
    let answers: Vec<_> = later.collect();
    let first = background::answers(vec![waiting.join().expect("the caller goes on")]);
    let exit = rig.entries[0].wait_exit(time::Duration::from_secs(20));

    for answer in answers {
        assert_eq!(answer.expect("an answer").code, codes::Code::Complete);
    }
    assert_eq!(
        (declined.code, declined.is_final),
        (codes::Code::Leaving, true)
    );
    assert_eq!(rig.starts_of(&declined_payload()), 0);
    assert_eq!(first[0].code, codes::Code::Complete);
    assert!(exit.expect("waited for").expect("it ends").success());
}

// An operator has the id that a caller was given, and looks for it in the logs. The entry
// that was called says whom it passed the submission on to, the leading entry how it ended
// and a runner that it started, all under the one id.
#[test]
fn passed_submission_is_followed_by_its_id() {
    let rig = passing_rig();

    let answer = told("followed", 20).submit(&rig, 1).expect("an answer");

    let id = answer.submission.expect("an id").to_string();
    let event_of = |name: &str, event: &str| {
        let lines = logs::lines_of(&rig, name);
        let is_it = |line: &serde_json::Value| {
            logs::attribute(line, "event") == event && logs::attribute(line, "submission") == id
        };
        lines.into_iter().find(is_it)
    };
    let passed = event_of("entry-1", "submission.passed_on").expect("the passing line");
    assert_eq!(logs::attribute(&passed, "to"), "entry-0");
    assert!(event_of("entry-0", "submission.ended").is_some());
    assert_eq!(event_of("entry-1", "submission.ended"), None);
    let runners = rig.runners.iter().map(processes::Process::name);
    let started = runners.filter_map(|name| event_of(name, "task.start"));
    assert_eq!(started.count(), 1);
}
