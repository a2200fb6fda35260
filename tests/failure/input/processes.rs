//! Bad messages on the ports for other processes.

use bulrushtiller::codes::Code;
use bulrushtiller::ids;
use bulrushtiller::wire;
use serde_json::json;

use crate::input;
use crate::input::case;
use crate::raw;
use crate::rig;

/// Size in bytes just above the limit for messages between processes.
const OVER_MESSAGE: usize = (8 << 20) + 1;

fn post(path: &str, body: &[u8]) -> Vec<u8> {
    raw::request(&format!("POST {path}"), "", body)
}

/// Requests that every path for messages refuses, derived from a valid message.
fn bad_messages(path: &str, good: &serde_json::Value) -> Vec<input::Case> {
    let packed = rmp_serde::to_vec_named(good).expect("a message");
    let json = good.to_string();
    let text = input::with_fields(good, &json!({"version": "1"}));
    let later = input::with_fields(good, &json!({"version": 2}));
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
            raw::peer_message(path, &json!({"sender": 1})),
            Code::BadBody,
        ),
        case(
            "version as text",
            raw::peer_message(path, &text),
            Code::BadBody,
        ),
        case(
            "later version",
            raw::peer_message(path, &later),
            Code::UnknownVersion,
        ),
        case(
            "version only",
            raw::peer_message(path, &json!({"version": 1})),
            Code::BadBody,
        ),
        case("wrong method", get, Code::NoSuchPage),
    ]
}

/// Heartbeats with an invalid sender.
fn invalid_senders() -> Vec<input::Case> {
    let with = |field: &str, value: &str| {
        let good = input::heartbeat("stranger");
        let sender = input::with_fields(&good["sender"], &json!({field: value}));
        let bad = input::with_fields(&good, &json!({"sender": sender}));
        raw::peer_message(wire::HEARTBEAT_PATH, &bad)
    };
    vec![
        case("long name", with("name", &"x".repeat(65)), Code::BadBody),
        case("bad name", with("name", "a b"), Code::BadBody),
        case("empty zone", with("zone", ""), Code::BadBody),
        case(
            "bad address",
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

/// Guards against bad messages that are accepted or get the wrong result code. They come from an
/// incompatible release, a process of another system or a network fault. The callers' paths are
/// not served on this port.
#[test]
fn entry_peers_port_refuses_bad_messages_with_result_code() {
    let rig = rig::Rig::start(&input::plan());
    let [_, peers, _] = input::ports(&rig);
    let fetch = wire::Call::Fetch {
        submission: ids::SubmissionId::Own("x".into()),
        wait_ms: 0,
    };
    let query = json!({"version": 1, "position": 0});
    let callers = raw::request("POST /v1/jobs", &raw::bearer(rig::TOKEN), b"{}");
    let others = vec![
        case("call on the peers port", callers, Code::NoSuchPage),
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
        invalid_senders(),
        others,
    ];

    let unexpected = input::unexpected_replies(peers, &cases.concat());

    assert_eq!(unexpected, Vec::new());
    input::assert_still_serving(&rig, 0);
}

/// Guards against the same at a runner, where a misread message would start a task or bar one
/// that must run.
#[test]
fn runner_port_refuses_bad_messages_with_result_code() {
    let rig = rig::Rig::start(&input::plan());
    let [_, _, runner] = input::ports(&rig);
    let long = raw::peer_message(wire::FENCE_PATH, &fence(10_001));
    let others = vec![
        case("10001 attempts", long, Code::TooLarge),
        case("unknown path", post("/", b""), Code::NoSuchPage),
    ];
    let cases = [
        bad_messages(wire::DISPATCH_PATH, &input::dispatch(1)),
        bad_messages(wire::FENCE_PATH, &fence(0)),
        invalid_senders(),
        others,
    ];

    let unexpected = input::unexpected_replies(runner, &cases.concat());

    assert_eq!(unexpected, Vec::new());
    input::assert_still_serving(&rig, 0);
}
