//! `submit`.

use bulrushtiller::codes;
use rstest::rstest;

use super::fake_entry;
use super::workdir;

fn args<'a>(entries: &'a str, more: &[&'a str]) -> Vec<&'a str> {
    let first = ["submit", "--entries", entries, "--token", workdir::TOKEN];
    [&first, more].concat()
}

#[actix_rt::test]
async fn takes_a_ticket_and_prints_the_complete_answer() {
    let behaviour = fake_entry::Behaviour::Answer(codes::Code::Complete);
    let entry = fake_entry::FakeEntry::start("e1", behaviour);
    let dir = workdir::Workdir::new();

    let address = entry.address();
    let run = dir
        .run_beside(&args(&address, &["--tasks", "2", "--kind", "fit"]))
        .await;

    assert_eq!(run.status, 0, "{run:?}");
    assert!(run.stdout.contains("0 complete  final  41 ms"), "{run:?}");
    assert!(
        run.stdout.contains("runner-1  Vacaria  40      stone fits"),
        "{run:?}"
    );
    let calls = entry.calls();
    assert_eq!(calls[0].line, "POST /v1/tickets");
    assert_eq!(calls[1].line, "POST /v1/jobs");
    assert_eq!(calls[1].authorization, format!("Bearer {}", workdir::TOKEN));
    assert_eq!(calls[1].body["submission"], "t:e1:1:1:1");
    assert_eq!(calls[1].body["tasks"][1]["kind"], "fit");
}

#[rstest]
#[case::complete(codes::Code::Complete, 0)]
#[case::failed(codes::Code::TaskFailed, 1)]
#[case::not_run(codes::Code::TeamQueueFull, 3)]
#[case::may_have_run(codes::Code::OwnerGone, 4)]
#[case::bad_request(codes::Code::TooLarge, 5)]
#[actix_rt::test]
async fn the_exit_status_is_that_of_the_result(#[case] code: codes::Code, #[case] status: i32) {
    let entry = fake_entry::FakeEntry::start("e1", fake_entry::Behaviour::Answer(code));
    let dir = workdir::Workdir::new();

    let address = entry.address();
    let run = dir
        .run_beside(&args(&address, &["--request", "--json"]))
        .await;

    assert_eq!(run.status, status, "{run:?}");
    assert_eq!(run.json()["code"], code.number());
    assert_eq!(entry.calls_of("POST /v1/requests").len(), 1);
}

/// A caller's job goes to an entry whose connection breaks before the answer comes.
/// The job may have been taken in, so a new one could run everything twice. The same
/// ticket goes to the next entry, where it can only attach to the first.
#[actix_rt::test]
async fn a_lost_answer_is_asked_for_again_under_the_same_ticket() {
    let first = fake_entry::FakeEntry::start("e1", fake_entry::Behaviour::Lose);
    let behaviour = fake_entry::Behaviour::Answer(codes::Code::Complete);
    let second = fake_entry::FakeEntry::start("e2", behaviour);
    let dir = workdir::Workdir::new();

    let addresses = format!("{},{}", first.address(), second.address());
    let run = dir.run_beside(&args(&addresses, &[])).await;

    assert_eq!(run.status, 0, "{run:?}");
    assert_eq!(first.calls_of("POST /v1/jobs").len(), 1);
    let repeated = second.calls_of("POST /v1/jobs");
    assert_eq!(repeated[0].body["submission"], "t:e1:1:1:1");
    assert_eq!(second.calls_of("POST /v1/tickets"), []);
}

/// An operator stops an entry between a caller's ticket and its job. The entry refuses
/// the job for good, so nothing of it can have started, and the caller goes on with a
/// ticket of another entry instead of reporting a failure.
#[actix_rt::test]
async fn a_leaving_entry_is_left_with_a_new_ticket() {
    let leaving = fake_entry::Behaviour::Answer(codes::Code::Leaving);
    let first = fake_entry::FakeEntry::start("e1", leaving);
    let behaviour = fake_entry::Behaviour::Answer(codes::Code::Complete);
    let second = fake_entry::FakeEntry::start("e2", behaviour);
    let dir = workdir::Workdir::new();

    let addresses = format!("{},{}", first.address(), second.address());
    let run = dir.run_beside(&args(&addresses, &[])).await;

    assert_eq!(run.status, 0, "{run:?}");
    assert_eq!(
        second.calls_of("POST /v1/jobs")[0].body["submission"],
        "t:e2:1:1:1"
    );
}

/// Every answer to a job is lost, to the deadline. The caller can't know whether it
/// ran; the tool has to say so and name the id to ask with, and must not call it
/// "not run".
#[actix_rt::test]
async fn a_job_without_any_answer_may_have_run() {
    let entry = fake_entry::FakeEntry::start("e1", fake_entry::Behaviour::Lose);
    let dir = workdir::Workdir::new();

    let address = entry.address();
    let run = dir
        .run_beside(&args(&address, &["--deadline-ms", "50"]))
        .await;

    assert_eq!((run.status, run.stdout.as_str()), (7, ""), "{run:?}");
    assert!(
        run.stderr
            .contains("may have been taken in: 'fetch t:e1:1:1:1'"),
        "{run:?}"
    );
}

#[rstest]
#[case::not_awaited(&["--wait-ms", "0"], 0)]
#[case::awaited_to_the_deadline(&["--deadline-ms", "50"], 7)]
#[actix_rt::test]
async fn a_pending_answer_is_an_error_only_where_the_last_was_wanted(
    #[case] more: &[&str],
    #[case] status: i32,
) {
    let entry = fake_entry::FakeEntry::start("e1", fake_entry::Behaviour::Pending);
    let dir = workdir::Workdir::new();

    let address = entry.address();
    let run = dir.run_beside(&args(&address, more)).await;

    assert_eq!(run.status, status, "{run:?}");
    assert!(run.stdout.contains("t:e1:1:1:1  1 "), "{run:?}");
}

#[test]
fn nobody_to_reach_is_the_tools_own_failure() {
    let dir = workdir::Workdir::new();

    let run = dir.run(&args(workdir::NOBODY, &["--deadline-ms", "50"]));

    assert_eq!((run.status, run.stdout.as_str()), (7, ""), "{run:?}");
    assert!(run.stderr.starts_with("bulrushtiller: 601: "), "{run:?}");
}

#[rstest]
#[case::not_json("{", 5, "400: -")]
#[case::no_tasks("{\"tasks\": []}", 2, "at least one task")]
fn a_bad_job_file_is_told(#[case] text: &str, #[case] status: i32, #[case] complaint: &str) {
    let dir = workdir::Workdir::new();

    let run = dir.run_with_input(&args(workdir::NOBODY, &["--file", "-"]), text);

    assert_eq!(run.status, status, "{run:?}");
    assert!(run.stderr.contains(complaint), "{run:?}");
}

/// A script submits under its own id, the answer is lost, and the next entry can't claim
/// the id while the log is down. Its refusal speaks of that call only: the first may run.
/// With the exit status of "not run" the script would submit anew, and it would run twice.
#[actix_rt::test]
async fn refusal_that_is_not_the_last_word_does_not_end_as_not_run() {
    let behaviour = fake_entry::Behaviour::Answer(codes::Code::ClaimUnavailable);
    let entry = fake_entry::FakeEntry::start("e1", behaviour);
    let dir = workdir::Workdir::new();
    let address = entry.address();

    let more = ["--submission", "my-own-1", "--deadline-ms", "100"];
    let run = dir.run_beside(&args(&address, &more)).await;

    assert!(run.stdout.contains("106 "), "{run:?}");
    assert_eq!(run.status, 7, "{run:?}");
    assert!(run.stderr.contains("may have been taken in"), "{run:?}");
}
