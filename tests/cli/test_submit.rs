//! Tests of `submit`.

use bulrushtiller::codes;
use rstest::rstest;

use super::fake_entry;
use super::workdir;

fn args<'a>(entries: &'a str, options: &[&'a str]) -> Vec<&'a str> {
    let first = ["submit", "--entries", entries, "--token", workdir::TOKEN];
    [&first, options].concat()
}

#[actix_rt::test]
async fn ticket_is_taken_and_complete_answer_is_printed() {
    let behaviour = fake_entry::Behaviour::Answer(codes::Code::Complete);
    let entry = fake_entry::FakeEntry::start("e1", behaviour);
    let dir = workdir::Workdir::new();

    let address = entry.address();
    let run = dir
        .run_async(&args(&address, &["--tasks", "2", "--kind", "fit"]))
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
async fn exit_status_matches_result_code(#[case] code: codes::Code, #[case] status: i32) {
    let entry = fake_entry::FakeEntry::start("e1", fake_entry::Behaviour::Answer(code));
    let dir = workdir::Workdir::new();

    let address = entry.address();
    let run = dir
        .run_async(&args(&address, &["--request", "--json"]))
        .await;

    assert_eq!(run.status, status, "{run:?}");
    assert_eq!(run.json()["code"], code.number());
    assert_eq!(entry.calls_starting_with("POST /v1/requests").len(), 1);
}

/// Guards against running a job twice when the connection to the entry breaks before the answer:
/// the job may have been accepted. The repeat through the next entry must have the same ticket,
/// so that it attaches to the first submission.
#[actix_rt::test]
async fn call_with_lost_answer_is_repeated_with_same_ticket() {
    let first = fake_entry::FakeEntry::start("e1", fake_entry::Behaviour::DropConnection);
    let behaviour = fake_entry::Behaviour::Answer(codes::Code::Complete);
    let second = fake_entry::FakeEntry::start("e2", behaviour);
    let dir = workdir::Workdir::new();

    let addresses = format!("{},{}", first.address(), second.address());
    let run = dir.run_async(&args(&addresses, &[])).await;

    assert_eq!(run.status, 0, "{run:?}");
    assert_eq!(first.calls_starting_with("POST /v1/jobs").len(), 1);
    let repeated = second.calls_starting_with("POST /v1/jobs");
    assert_eq!(repeated[0].body["submission"], "t:e1:1:1:1");
    assert_eq!(second.calls_starting_with("POST /v1/tickets"), []);
}

/// Guards against a needless failure when an entry is stopped after it issued a ticket: its
/// refusal is final and no task can have started, so the tool must submit again with a ticket
/// of another entry.
#[actix_rt::test]
async fn refusal_by_leaving_entry_is_followed_by_new_ticket() {
    let leaving = fake_entry::Behaviour::Answer(codes::Code::Leaving);
    let first = fake_entry::FakeEntry::start("e1", leaving);
    let behaviour = fake_entry::Behaviour::Answer(codes::Code::Complete);
    let second = fake_entry::FakeEntry::start("e2", behaviour);
    let dir = workdir::Workdir::new();

    let addresses = format!("{},{}", first.address(), second.address());
    let run = dir.run_async(&args(&addresses, &[])).await;

    assert_eq!(run.status, 0, "{run:?}");
    assert_eq!(
        second.calls_starting_with("POST /v1/jobs")[0].body["submission"],
        "t:e2:1:1:1"
    );
}

/// Guards against reporting "not run" when every answer to a job is lost until the deadline:
/// the job may have run. The error must say so and contain the id for `fetch`.
#[actix_rt::test]
async fn job_without_any_answer_may_have_run() {
    let entry = fake_entry::FakeEntry::start("e1", fake_entry::Behaviour::DropConnection);
    let dir = workdir::Workdir::new();

    let address = entry.address();
    let run = dir
        .run_async(&args(&address, &["--deadline-ms", "50"]))
        .await;

    assert_eq!((run.status, run.stdout.as_str()), (7, ""), "{run:?}");
    assert!(
        run.stderr
            .contains("may have been accepted: use 'fetch t:e1:1:1:1'"),
        "{run:?}"
    );
}

#[rstest]
#[case::not_awaited(&["--wait-ms", "0"], 0)]
#[case::awaited_to_the_deadline(&["--deadline-ms", "50"], 7)]
#[actix_rt::test]
async fn pending_answer_is_an_error_only_at_the_deadline(
    #[case] options: &[&str],
    #[case] status: i32,
) {
    let entry = fake_entry::FakeEntry::start("e1", fake_entry::Behaviour::Pending);
    let dir = workdir::Workdir::new();

    let address = entry.address();
    let run = dir.run_async(&args(&address, options)).await;

    assert_eq!(run.status, status, "{run:?}");
    assert!(run.stdout.contains("t:e1:1:1:1  1 "), "{run:?}");
}

#[test]
fn unreachable_entries_are_a_failure_of_the_tool() {
    let dir = workdir::Workdir::new();

    let run = dir.run(&args(workdir::UNUSED_ADDRESS, &["--deadline-ms", "50"]));

    assert_eq!((run.status, run.stdout.as_str()), (7, ""), "{run:?}");
    assert!(run.stderr.starts_with("bulrushtiller: 601: "), "{run:?}");
}

#[rstest]
#[case::not_json("{", 5, "400: -")]
#[case::no_tasks("{\"tasks\": []}", 2, "at least one task")]
fn invalid_job_file_is_reported(#[case] text: &str, #[case] status: i32, #[case] message: &str) {
    let dir = workdir::Workdir::new();

    let run = dir.run_with_input(&args(workdir::UNUSED_ADDRESS, &["--file", "-"]), text);

    assert_eq!(run.status, status, "{run:?}");
    assert!(run.stderr.contains(message), "{run:?}");
}

/// Guards against running a task twice after a refusal that is not final: a script submits with
/// its own id, the answer is lost, and the next entry can't claim the id while the log is down.
/// The first call may have been accepted, but with the exit status of "not run" the script
/// would submit again.
#[actix_rt::test]
async fn refusal_that_is_not_final_does_not_exit_as_not_run() {
    let behaviour = fake_entry::Behaviour::Answer(codes::Code::ClaimUnavailable);
    let entry = fake_entry::FakeEntry::start("e1", behaviour);
    let dir = workdir::Workdir::new();
    let address = entry.address();

    let options = ["--submission", "my-own-1", "--deadline-ms", "100"];
    let run = dir.run_async(&args(&address, &options)).await;

    assert!(run.stdout.contains("106 "), "{run:?}");
    assert_eq!(run.status, 7, "{run:?}");
    assert!(run.stderr.contains("may have been accepted"), "{run:?}");
}
