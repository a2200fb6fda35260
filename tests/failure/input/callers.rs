//! Bad requests on the callers' port.

use std::thread;

use bulrushtiller::api;
use bulrushtiller::codes::Code;
use bulrushtiller::wire;
use serde_json::json;

use crate::input;
use crate::input::case;
use crate::raw;
use crate::rig;

fn tasks(count: usize) -> serde_json::Value {
    serde_json::Value::Array(vec![json!({"payload": "x"}); count])
}

fn nested(depth: usize) -> String {
    format!("{}{}", "[".repeat(depth), "]".repeat(depth))
}

fn submit(body: &str) -> Vec<u8> {
    raw::authorized_request("POST /v1/jobs", body)
}

/// Builds a job with one task, so that a wrong start shows in the workers' journals.
fn job(more: &serde_json::Value) -> Vec<u8> {
    let job = input::with_fields(&json!({"tasks": tasks(1)}), more);
    submit(&job.to_string())
}

fn task(task: &serde_json::Value) -> Vec<u8> {
    job(&json!({"tasks": [task]}))
}

fn bad_documents() -> Vec<input::Case> {
    let not_text = raw::request("POST /v1/jobs", &raw::bearer(rig::TOKEN), b"\"\xff\xfe\"");
    let deep_inside = format!("{{\"tasks\": {}}}", nested(10_000));
    let out_of_range = "{\"tasks\": [{}], \"deadline_ms\": 99999999999999999999}";
    vec![
        case("not JSON", submit("{\"tasks\": ["), Code::BadBody),
        case("not UTF-8", not_text, Code::BadBody),
        case("no body", submit(""), Code::BadBody),
        case("no tasks", submit("{}"), Code::BadBody),
        case("deep JSON", submit(&nested(10_000)), Code::BadBody),
        case("deep JSON inside", submit(&deep_inside), Code::BadBody),
        case("time out of range", submit(out_of_range), Code::BadBody),
        case(
            "body over the limit",
            submit(&" ".repeat(65_537)),
            Code::TooLarge,
        ),
    ]
}

fn bad_submissions() -> Vec<input::Case> {
    let two = json!({"tasks": tasks(2)}).to_string();
    let large = json!({"payload": "x".repeat(4_097)});
    let wide = json!({"cpu_milli": 4_294_967_296_u64});
    vec![
        case("zero tasks", job(&json!({"tasks": []})), Code::BadBody),
        case(
            "281 tasks",
            job(&json!({"tasks": tasks(281)})),
            Code::TooLarge,
        ),
        case(
            "two tasks in a request",
            raw::authorized_request("POST /v1/requests", &two),
            Code::BadBody,
        ),
        case("payload over the limit", task(&large), Code::TooLarge),
        case(
            "negative time",
            job(&json!({"deadline_ms": -1})),
            Code::BadBody,
        ),
        case("size out of range", task(&wide), Code::BadBody),
        case("fraction", task(&json!({"cpu_milli": 0.5})), Code::BadBody),
        case(
            "kind is not a name",
            task(&json!({"kind": "a b"})),
            Code::BadBody,
        ),
        case("bad id", job(&json!({"submission": "a/b"})), Code::BadBody),
        case(
            "bad ticket",
            job(&json!({"submission": "t:x"})),
            Code::BadBody,
        ),
    ]
}

fn bad_calls() -> Vec<input::Case> {
    let many = json!({"submissions": vec!["x"; 1_001]}).to_string();
    let no_id = json!({"submissions": ["a b"]}).to_string();
    let bad_query = raw::authorized_request("GET /v1/submissions/x?wait_ms=soon", "");
    let message = raw::peer_message(wire::HEARTBEAT_PATH, &json!({}));
    vec![
        case(
            "fetch with bad id",
            raw::authorized_request("GET /v1/submissions/a%20b", ""),
            Code::BadTicket,
        ),
        case(
            "fetch with non-UTF-8 id",
            raw::authorized_request("GET /v1/submissions/%ff%fe", ""),
            Code::BadTicket,
        ),
        case(
            "cancel with bad ticket",
            raw::authorized_request("DELETE /v1/submissions/t:x", ""),
            Code::BadTicket,
        ),
        case("bad query", bad_query, Code::BadQuery),
        case(
            "1001 cancels",
            raw::authorized_request("POST /v1/cancel", &many),
            Code::TooLarge,
        ),
        case(
            "cancel with bad id",
            raw::authorized_request("POST /v1/cancel", &no_id),
            Code::BadBody,
        ),
        case(
            "tickets without count",
            raw::authorized_request("POST /v1/tickets", "{}"),
            Code::BadBody,
        ),
        case(
            "unknown path",
            raw::authorized_request("GET /v2/jobs", ""),
            Code::NoSuchPage,
        ),
        case(
            "unknown method",
            raw::authorized_request("PATCH /v1/jobs", "{}"),
            Code::NoSuchPage,
        ),
        case(
            "wrong method",
            raw::authorized_request("GET /v1/jobs", ""),
            Code::NoSuchPage,
        ),
        case("path of the peers port", message, Code::NoSuchPage),
    ]
}

fn bad_tokens() -> Vec<input::Case> {
    let post = |header: &str| raw::request("POST /v1/jobs", header, b"{}");
    let basic = "Authorization: Basic dG9rZW4tYQ==\r\n";
    vec![
        case("no token", post(""), Code::BadToken),
        case("empty token", post(&raw::bearer("")), Code::BadToken),
        case("wrong token", post(&raw::bearer("wrong")), Code::BadToken),
        case("wrong scheme", post(basic), Code::BadToken),
        case(
            "non-ASCII token",
            post(&raw::bearer("\u{e9}")),
            Code::BadToken,
        ),
    ]
}

/// Guards against bad requests of a faulty or unknown client that are accepted, get the wrong
/// result code, or disturb other callers.
#[test]
fn callers_port_refuses_bad_input_with_result_code() {
    let rig = rig::Rig::start(&input::plan());
    let cases = [
        bad_documents(),
        bad_submissions(),
        bad_calls(),
        bad_tokens(),
    ]
    .concat();

    let unexpected = input::unexpected_replies(rig.entries[0].address(), &cases);

    assert_eq!(unexpected, Vec::new());
    input::assert_still_serving(&rig, 0);
}

/// Guards against a faulty client that fetches one answer again and again and keeps all its
/// calls open. At most 64 calls wait for a submission; further ones get "pending" at once.
#[test]
fn calls_that_wait_for_one_submission_are_bounded() {
    let rig = rig::Rig::start(&input::plan());
    let submission = api::Submission {
        wait_ms: 0,
        ..rig::job(&[rig::sleep_payload(5_000, "late")])
    };
    let accepted = rig.submit(0, &submission).expect("an answer");
    let id = accepted.submission.expect("an id");
    let fetch = raw::authorized_request(&format!("GET /v1/submissions/{id}?wait_ms=20000"), "");

    let address = rig.entries[0].address();
    let replies = thread::scope(|scope| {
        let call = || scope.spawn(|| raw::exchange(address, &fetch));
        let calls: Vec<_> = (0..80).map(|_| call()).collect();
        let join = |one: thread::ScopedJoinHandle<'_, _>| one.join().expect("a reply");
        calls.into_iter().map(join).collect::<Vec<_>>()
    });

    let count = |code| {
        replies
            .iter()
            .filter(|one| **one == raw::Reply::with_code(code))
            .count()
    };
    assert_eq!(count(Code::Complete), 64);
    assert_eq!(count(Code::Pending), 16);
}

// Guards against refusals that only say that the body can't be read. The author of a client
// needs the position of the error, or the limit that was exceeded.
#[test]
fn refusal_names_error_position_and_limit() {
    let rig = rig::Rig::start(&rig::Plan::default());
    let entry = rig.entries[0].address();
    let many = job(&json!({"tasks": tasks(281)}));

    let unread = raw::response_body(entry, &submit("{\"tasks\": [{}], \"wait_ms\": \"soon\"}"));
    let too_many = raw::response_body(entry, &many);

    let [unread, too_many] = [unread, too_many].map(|body| {
        let answer: api::Answer = serde_json::from_slice(&body).expect("an answer");
        (answer.code, answer.text.to_string())
    });
    assert_eq!(unread.0, Code::BadBody);
    assert!(unread.1.contains("expected u64 at line 1"), "{unread:?}");
    assert_eq!(too_many.0, Code::TooLarge);
    assert!(
        too_many.1.ends_with("281 tasks; at most 280"),
        "{too_many:?}"
    );
}
