//! Submissions that an entry passes on to the leading entry.
//!
//! An entry keeps a submission when it dispatches the tasks itself instead of passing it on.

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

/// Settings under which an entry passes on every submission, however many slots are free.
const ALWAYS_PASS_ON: &str = "[policy]\npass_on_below = 1.0\n";

/// Maximum time until a caller gets the answer that the leading entry is silent: one time-out on
/// a kept connection and one on a new connection, doubled as a margin for a busy machine.
const MAX_ANSWER_TIME: time::Duration = time::Duration::from_secs(5);

fn owner(answer: &api::Answer) -> Option<SmolStr> {
    match answer.submission.as_ref()? {
        ids::SubmissionId::Ticket(ticket) => Some(ticket.entry.clone()),
        ids::SubmissionId::Own(_) => None,
    }
}

/// Starts two runners and two entries, the second of which passes submissions on to the first.
fn pass_on_rig() -> rig::Rig {
    let rig = rig::Rig::start(&rig::Plan {
        runners: vec!["caxias", "bento"],
        settings: ALWAYS_PASS_ON.to_owned(),
        ..rig::Plan::default()
    });
    wait_until_passing_on(&rig, 1);
    rig
}

fn wait_until_passing_on(rig: &rig::Rig, entry: usize) {
    let probe = rig::job(&[rig::sleep_payload(1, "probe")]);
    rig::wait_until("submissions are passed on", || {
        let answer = rig.submit(entry, &probe).expect("an answer");
        owner(&answer).as_deref() == Some("entry-0")
    });
}

fn tracked(label: &str, ms: u64) -> check::TrackedSubmission {
    check::TrackedSubmission::sleeping(None, ms, &[label])
}

/// Fetches the answer from an entry until it is final.
fn final_answer(rig: &rig::Rig, entry: usize, id: &ids::SubmissionId) -> api::Answer {
    rig::wait_until("the answer is final", || {
        let answer = rig.fetch(entry, id, 1_000);
        answer.is_some_and(|answer| answer.is_final)
    });
    rig.fetch(entry, id, 0).expect("an answer")
}

// The leading entry dies while another entry passes submissions on to it. A submission that it
// had accepted may have run and is not started again. Later submissions are kept by the other
// entry, because the connection to the leading entry is refused, and complete.
#[test]
fn submissions_are_kept_after_leading_entry_is_killed() {
    let rig = &mut pass_on_rig();
    let before = tracked("before", 2_000).with_wait(0);
    let accepted = before.submit(rig, 1).expect("an answer");
    let id = accepted.submission.clone().expect("a ticket");
    rig::wait_until("the task runs", || rig.starts_of(before.payload(0)) == 1);

    rig.entries[0].kill().expect("SIGKILL is sent");
    let after = tracked("after", 20);
    let kept = after.submit(rig, 1).expect("an answer");
    let lost = before
        .record(Some(final_answer(rig, 1, &id)))
        .expect("an answer");

    assert_eq!(owner(&accepted).as_deref(), Some("entry-0"));
    assert_eq!(kept.code, codes::Code::Complete);
    assert_eq!(owner(&kept).as_deref(), Some("entry-1"));
    assert_eq!(lost.code, codes::Code::OwnerGone);
    rig.entries.remove(0);
    check::check(rig, &[&before, &after]);
}

// The leading entry is suspended. A caller at the other entry, whose submission was passed on,
// soon gets the answer that the owner is silent, with an id, since the submission may have been
// accepted. After the leading entry resumes, the id leads to the final answer, and the task
// has started at most once.
#[test]
fn suspended_leading_entry_is_reported_within_limit() {
    let mut rig = pass_on_rig();
    let passed = tracked("frozen", 20);

    rig.entries[0].suspend().expect("the entry is suspended");
    let since = time::Instant::now();
    let silent = passed.submit(&rig, 1).expect("an answer");
    let answered_after = since.elapsed();
    rig::wait_until("the other entry keeps submissions", || {
        let answer = rig.submit(1, &rig::job(&[rig::sleep_payload(1, "later")]));
        answer.is_some_and(|answer| answer.code == codes::Code::Complete)
    });
    rig.entries[0].resume().expect("the entry is resumed");
    let id = silent.submission.clone().expect("a submission id");
    rig::wait_until("the resumed entry returns the answer", || {
        let answer = passed.record(rig.fetch(1, &id, 1_000));
        answer.is_some_and(|answer| answer.code == codes::Code::Complete)
    });

    assert_eq!(
        (silent.code, silent.is_final),
        (codes::Code::OwnerSilent, false)
    );
    assert!(
        answered_after < MAX_ANSWER_TIME,
        "answered after {answered_after:?}"
    );
    assert_eq!(rig.starts_of(passed.payload(0)), 1);
    check::check(&rig, &[&passed]);
}

// The kept connections between two entries fall silent permanently, while new ones work. A
// submission that is passed on, or its answer, is lost on one of them. The entry sends it again
// on a new connection under the same ticket, so the caller gets its answer and nothing starts
// twice.
#[rstest]
#[case::both_ways(relay::Behaviour::SilentExisting)]
#[case::answers_only(relay::Behaviour::Silent { direction: relay::Direction::FromTarget, new_too: false })]
#[case::requests_only(relay::Behaviour::Silent { direction: relay::Direction::ToTarget, new_too: false })]
fn submission_on_silent_connection_is_resent_under_same_ticket(
    #[case] behaviour: relay::Behaviour,
) {
    let mut rig = relays::log_only_rig(ALWAYS_PASS_ON);
    let mut endpoints = rig.endpoints.clone();
    let (relay, direct) = relays::entry_behind_relay(&mut rig, "entry-0", "caxias", &endpoints);
    endpoints.entries.push(relay.address());
    let location = site::Location::new("entry-1", "bento");
    let second = rig
        .site
        .entry(&location, &endpoints)
        .expect("an entry starts");
    let peers = second.wait_for_address("peers").expect("a peers port");
    rig.entries.push(second);
    rig.endpoints.entries = vec![direct, peers];
    rig.add_runner("runner-0", "caxias", &[]);
    rig.add_runner("runner-1", "bento", &[]);
    rig.wait_until_serving(2);
    wait_until_passing_on(&rig, 1);
    let passed: Vec<_> = (0..4).map(|at| tracked(&format!("job-{at}"), 50)).collect();

    relay.set_behaviour(&behaviour);
    let answers: Vec<_> = passed.iter().map(|one| one.submit(&rig, 1)).collect();

    for answer in answers {
        assert_eq!(answer.expect("an answer").code, codes::Code::Complete);
    }
    check::check(&rig, &passed.iter().collect::<Vec<_>>());
}

// The leading entry retains ended submissions for minutes and has reached its limit of
// submissions, while slots are free. Callers of the other entry are not refused: that entry
// keeps submissions until it reaches its own limit.
#[test]
fn submissions_are_kept_when_leading_entry_is_full() {
    let rig = rig::Rig::start(&rig::Plan {
        settings: format!("{ALWAYS_PASS_ON}[limits]\nmax_submissions = 20\n"),
        ..rig::Plan::default()
    });
    wait_until_passing_on(&rig, 1);
    let jobs: Vec<_> = (0..20).map(|at| tracked(&format!("job-{at}"), 1)).collect();

    let answers: Vec<_> = jobs.iter().map(|one| one.submit(&rig, 1)).collect();

    let answers: Vec<_> = answers
        .into_iter()
        .map(|one| one.expect("an answer"))
        .collect();
    let codes: Vec<_> = answers.iter().map(|one| one.code).collect();
    assert_eq!(codes, [codes::Code::Complete; 20]);
    let owners: Vec<_> = answers.iter().filter_map(owner).collect();
    assert_eq!(owners.first().map(SmolStr::as_str), Some("entry-0"));
    assert_eq!(owners.last().map(SmolStr::as_str), Some("entry-1"));
    check::check(&rig, &jobs.iter().collect::<Vec<_>>());
}

// The settings may allow larger bodies from callers than messages between processes may have.
// Such a job can't be passed on. Guards against a caller that forever gets the answer that the
// outcome is unknown.
#[test]
fn submission_too_large_to_be_passed_on_is_kept() {
    let rig = rig::Rig::start(&rig::Plan {
        settings: format!(
            "{ALWAYS_PASS_ON}[limits]\nmax_body_bytes = 33554432\nmax_payload_bytes = 1048576\n"
        ),
        ..rig::Plan::default()
    });
    wait_until_passing_on(&rig, 1);
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
    rig::sleep_payload(20, "declined")
}

/// Passes a submission on to the leading entry, as an entry does that has not yet received the
/// report that the leading entry is stopping.
fn send_passed_on_submission(rig: &rig::Rig, ticket: &ids::SubmissionId) -> api::Answer {
    let ids::SubmissionId::Ticket(parts) = ticket else {
        panic!("{ticket} is not a ticket");
    };
    let forward = wire::Forward {
        version: wire::VERSION,
        incarnation: parts.incarnation,
        team: SmolStr::new_static(rig::TEAM),
        call: wire::Call::Submit(api::Submission {
            submission: Some(ticket.clone()),
            wait_ms: 0,
            ..rig::job(&[declined_payload()])
        }),
    };
    let reply: wire::ForwardReply =
        rig::send_message(rig.endpoints.entries[0], wire::FORWARD_PATH, &forward);
    reply.answer
}

// The leading entry gets SIGTERM while submissions are passed on to it. Those that it accepted
// are answered completely through the other entry, those in flight are declined and never start,
// and later ones are kept by the other entry. No caller of the other entry is refused.
#[test]
fn stopping_leading_entry_completes_passed_on_submissions() {
    let mut rig = pass_on_rig();
    let long = tracked("long", 2_000);

    let caller = rig.entries[1].address();
    let submission = rig::job(&[long.payload(0).to_owned()]);
    let pending_call = thread::spawn(move || background::submit_once(caller, &submission));
    rig::wait_until("the task runs", || rig.starts_of(long.payload(0)) == 1);
    let ticket = rig.ticket(0);
    rig.entries[0].terminate().expect("SIGTERM is sent");
    let entry = rig.entries[0].address();
    rig::wait_until("the entry is leaving", || rig::status(entry).leaving);
    let declined = send_passed_on_submission(&rig, &ticket);
    let later = (0..20).map(|at| tracked(&format!("later-{at}"), 20).submit(&rig, 1));
    let answers: Vec<_> = later.collect();
    let first =
        background::expect_answers(vec![pending_call.join().expect("the caller thread ends")]);
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
    assert!(
        exit.expect("the exit status is read")
            .expect("the process exits in time")
            .success()
    );
}

// An operator searches the logs for the submission id of a caller. The called entry logs where
// it passed the submission on to, the leading entry logs the outcome and a runner logs the
// start, all under that id.
#[test]
fn passed_on_submission_is_logged_under_one_id() {
    let rig = pass_on_rig();

    let answer = tracked("followed", 20).submit(&rig, 1).expect("an answer");

    let id = answer.submission.expect("an id").to_string();
    let event_of = |name: &str, event: &str| {
        let lines = logs::lines_of_name(&rig, name);
        let is_match = |line: &serde_json::Value| {
            logs::attribute(line, "event") == event && logs::attribute(line, "submission") == id
        };
        lines.into_iter().find(is_match)
    };
    let passed = event_of("entry-1", "submission.passed_on")
        .expect("the log line of the passed-on submission");
    assert_eq!(logs::attribute(&passed, "to"), "entry-0");
    assert!(event_of("entry-0", "submission.ended").is_some());
    assert_eq!(event_of("entry-1", "submission.ended"), None);
    let runners = rig.runners.iter().map(processes::Process::name);
    let started = runners.filter_map(|name| event_of(name, "task.start"));
    assert_eq!(started.count(), 1);
}
