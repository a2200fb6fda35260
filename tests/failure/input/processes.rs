//! What is no message of ours, on the ports for processes.

use bulrushtiller::codes::Code;
use bulrushtiller::ids;
use bulrushtiller::wire;
use serde_json::json;

use crate::input;
use crate::input::case;
use crate::raw;
use crate::rig;

/// Largest message between the processes, and a byte.
const OVER_MESSAGE: usize = (8 << 20) + 1;

fn post(path: &str, body: &[u8]) -> Vec<u8> {
    raw::request(&format!("POST {path}"), "", body)
}

/// What every page for messages refuses, made from a good message of it.
fn bad_messages(path: &str, good: &serde_json::Value) -> Vec<input::Case> {
    let packed = rmp_serde::to_vec_named(good).expect("a message");
    let json = good.to_string();
    let text = input::with(good, &json!({"version": "1"}));
    let later = input::with(good, &json!({"version": 2}));
    let get = raw::request(&format!("GET {path}"), "", b"");
    vec![
        case("empty", post(path, b""), Code::BadBody),
        case("garbage", post(path, b"\xff\xc1 garbage"), Code::BadBody),
        case("JSON", post(path, json.as_bytes()), Code::BadBody),
        case(
            "half",
            post(path, &packed[..packed.len() / 2]),
            Code::BadBody,
        ),
        case(
            "over the limit",
            post(path, &vec![0xc0; OVER_MESSAGE]),
            Code::TooLarge,
        ),
        case("deep", post(path, &vec![0x91; 100_000]), Code::BadBody),
        case(
            "no version",
            raw::message(path, &json!({"sender": 1})),
            Code::BadBody,
        ),
        case("version of text", raw::message(path, &text), Code::BadBody),
        case(
            "later version",
            raw::message(path, &later),
            Code::UnknownVersion,
        ),
        case(
            "version only",
            raw::message(path, &json!({"version": 1})),
            Code::BadBody,
        ),
        case("wrong method", get, Code::NoSuchPage),
    ]
}

/// Heartbeats of processes that can't be one.
fn strangers() -> Vec<input::Case> {
    let with = |field: &str, value: &str| {
        let good = input::heartbeat("stranger");
        let sender = input::with(&good["sender"], &json!({field: value}));
        let bad = input::with(&good, &json!({"sender": sender}));
        raw::message(wire::HEARTBEAT_PATH, &bad)
    };
    vec![
        case("long name", with("name", &"x".repeat(65)), Code::BadBody),
        case("no name", with("name", "a b"), Code::BadBody),
        case("no zone", with("zone", ""), Code::BadBody),
        case(
            "no address",
            with("address", "example.org:1"),
            Code::BadBody,
        ),
    ]
}

fn fence(attempts: usize) -> serde_json::Value {
    let attempt = json!({"owner": 1, "number": 1});
    json!({"version": 1, "incarnation": 1, "attempts": vec![attempt; attempts],
        "bar": true, "stop": true})
}

/// Two releases that should not be side by side, a process of another system, or a
/// fault in the network: what is no message of ours is refused by number, and what
/// belongs to the callers' port is not served here.
#[test]
fn entrys_port_for_processes_refuses_bad_messages_by_number() {
    let rig = rig::Rig::start(&input::plan());
    let [_, peers, _] = input::ports(&rig);
    let fetch = wire::Call::Fetch {
        submission: ids::SubmissionId::Own("x".into()),
        wait_ms: 0,
    };
    let query = json!({"version": 1, "position": 0});
    let callers = raw::request("POST /v1/jobs", &raw::bearer(rig::TOKEN), b"{}");
    let others = vec![
        case("a caller's call", callers, Code::NoSuchPage),
        case(
            "later path",
            post("/rmp/v2/heartbeat", b""),
            Code::NoSuchPage,
        ),
    ];
    let cases = [
        bad_messages(wire::HEARTBEAT_PATH, &input::heartbeat("stranger")),
        bad_messages(wire::SETTINGS_PATH, &query),
        bad_messages(wire::FORWARD_PATH, &input::forward(1, fetch)),
        strangers(),
        others,
    ];

    let wrong = input::differences(peers, &cases.concat());

    assert_eq!(wrong, Vec::new());
    input::assert_unharmed(&rig, 0);
}

/// The same at a runner, where a message that is taken for another would start
/// something, or bar what must run.
#[test]
fn runners_port_refuses_bad_messages_by_number() {
    let rig = rig::Rig::start(&input::plan());
    let [_, _, runner] = input::ports(&rig);
    let long = raw::message(wire::FENCE_PATH, &fence(10_001));
    let others = vec![
        case("10001 attempts", long, Code::TooLarge),
        case("unknown path", post("/", b""), Code::NoSuchPage),
    ];
    let cases = [
        bad_messages(wire::DISPATCH_PATH, &input::dispatch(1)),
        bad_messages(wire::FENCE_PATH, &fence(0)),
        strangers(),
        others,
    ];

    let wrong = input::differences(runner, &cases.concat());

    assert_eq!(wrong, Vec::new());
    input::assert_unharmed(&rig, 0);
}
