//! What callers send that the page does not allow.

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
    raw::call("POST /v1/jobs", body)
}

/// A job whose task would be seen if it were started.
fn job(more: &serde_json::Value) -> Vec<u8> {
    let job = input::with(&json!({"tasks": tasks(1)}), more);
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
            "two in a request",
            raw::call("POST /v1/requests", &two),
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
            "kind that is no name",
            task(&json!({"kind": "a b"})),
            Code::BadBody,
        ),
        case("no id", job(&json!({"submission": "a/b"})), Code::BadBody),
        case(
            "no ticket",
            job(&json!({"submission": "t:x"})),
            Code::BadBody,
        ),
    ]
}

fn bad_calls() -> Vec<input::Case> {
    let many = json!({"submissions": vec!["x"; 1_001]}).to_string();
    let no_id = json!({"submissions": ["a b"]}).to_string();
    let bad_query = raw::call("GET /v1/submissions/x?wait_ms=soon", "");
    let message = raw::message(wire::HEARTBEAT_PATH, &json!({}));
    vec![
        case(
            "fetch of no id",
            raw::call("GET /v1/submissions/a%20b", ""),
            Code::BadTicket,
        ),
        case(
            "fetch of no text",
            raw::call("GET /v1/submissions/%ff%fe", ""),
            Code::BadTicket,
        ),
        case(
            "cancel of no ticket",
            raw::call("DELETE /v1/submissions/t:x", ""),
            Code::BadTicket,
        ),
        case("bad query", bad_query, Code::BadQuery),
        case(
            "1001 cancels",
            raw::call("POST /v1/cancel", &many),
            Code::TooLarge,
        ),
        case(
            "cancel of no id",
            raw::call("POST /v1/cancel", &no_id),
            Code::BadBody,
        ),
        case(
            "tickets without count",
            raw::call("POST /v1/tickets", "{}"),
            Code::BadBody,
        ),
        case(
            "unknown path",
            raw::call("GET /v2/jobs", ""),
            Code::NoSuchPage,
        ),
        case(
            "unknown method",
            raw::call("PATCH /v1/jobs", "{}"),
            Code::NoSuchPage,
        ),
        case(
            "wrong method",
            raw::call("GET /v1/jobs", ""),
            Code::NoSuchPage,
        ),
        case("processes' page", message, Code::NoSuchPage),
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
            "token of no text",
            post(&raw::bearer("\u{e9}")),
            Code::BadToken,
        ),
    ]
}

/// A client with a fault, or a stranger, sends what the page does not allow. Each
/// gets the number that says why; the teams beside it go on as if nothing were.
#[test]
fn callers_port_refuses_bad_input_by_number() {
    let rig = rig::Rig::start(&input::plan());
    let cases = [
        bad_documents(),
        bad_submissions(),
        bad_calls(),
        bad_tokens(),
    ]
    .concat();

    let wrong = input::differences(rig.entries[0].address(), &cases);

    assert_eq!(wrong, Vec::new());
    input::assert_unharmed(&rig, 0);
}

/// A client with a fault asks again and again for one answer and gives none of its
/// calls up. Past 64 that wait, one more hears at once that there is none yet; the
/// others get the whole answer.
#[test]
fn calls_that_wait_for_one_submission_are_bounded() {
    let rig = rig::Rig::start(&input::plan());
    let submission = api::Submission {
        wait_ms: 0,
        ..rig::job(&[rig::sleep(5_000, "late")])
    };
    let taken = rig.submit(0, &submission).expect("an answer");
    let id = taken.submission.expect("an id");
    let fetch = raw::call(&format!("GET /v1/submissions/{id}?wait_ms=20000"), "");

    let address = rig.entries[0].address();
    let replies = thread::scope(|scope| {
        let ask = || scope.spawn(|| raw::exchange(address, &fetch));
        let asked: Vec<_> = (0..80).map(|_| ask()).collect();
        let join = |one: thread::ScopedJoinHandle<'_, _>| one.join().expect("a reply");
        asked.into_iter().map(join).collect::<Vec<_>>()
    });

    let count = |code| {
        replies
            .iter()
            .filter(|one| **one == raw::Reply::of(code))
            .count()
    };
    assert_eq!(count(Code::Complete), 64);
    assert_eq!(count(Code::Pending), 16);
}

// Whoever writes a client sends a job that is almost right. "The body can't be read" alone
// leaves them to guess; the answer says where, and which bound was passed.
#[test]
fn refusal_says_what_is_wrong() {
    let rig = rig::Rig::start(&rig::Plan::default());
    let entry = rig.entries[0].address();
    let many = job(&json!({"tasks": tasks(281)}));

    let unread = raw::body(entry, &submit("{\"tasks\": [{}], \"wait_ms\": \"soon\"}"));
    let too_many = raw::body(entry, &many);

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
