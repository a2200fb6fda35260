//! Tests that bad input on any port is refused with a result code and affects nothing else.

mod callers;
mod connections;
mod extreme_values;
mod processes;

use std::fs;
use std::net;

use bulrushtiller::codes;
use bulrushtiller::ids;
use bulrushtiller::wire;

use crate::raw;
use crate::rig;

/// Low limits, so that small requests exceed them.
const LIMITS: &str = "[limits]\nmax_body_bytes = 65536\nmax_payload_bytes = 4096\n";

/// Address at which every connection is refused.
const CLOSED_ADDRESS: &str = "127.0.0.1:1";

fn plan() -> rig::Plan {
    rig::Plan {
        settings: LIMITS.to_owned(),
        ..rig::Plan::default()
    }
}

/// Returns the callers' port and the peers port of the first entry, and the first runner's port.
fn ports(rig: &rig::Rig) -> [net::SocketAddr; 3] {
    let peers = rig.entries[0].wait_for_address("peers").expect("a port");
    [rig.entries[0].address(), peers, rig.runners[0].address()]
}

/// Request that must be refused with the given code.
#[derive(Clone)]
struct Case {
    name: &'static str,
    bytes: Vec<u8>,
    code: codes::Code,
}

const fn case(name: &'static str, bytes: Vec<u8>, code: codes::Code) -> Case {
    Case { name, bytes, code }
}

/// Reply that differs from the expected one.
#[derive(Debug, PartialEq)]
struct UnexpectedReply {
    name: &'static str,
    actual: raw::Reply,
    expected: raw::Reply,
}

fn unexpected_replies(address: net::SocketAddr, cases: &[Case]) -> Vec<UnexpectedReply> {
    let replies = cases.iter().map(|case| UnexpectedReply {
        name: case.name,
        actual: raw::exchange(address, &case.bytes),
        expected: raw::Reply::with_code(case.code),
    });
    replies.filter(|one| one.actual != one.expected).collect()
}

/// Asserts that a job at each entry completes, that no other tasks were started besides
/// `started_before`, and that no process panicked.
fn assert_still_serving(rig: &rig::Rig, started_before: usize) {
    let payloads: Vec<String> = (0..10)
        .map(|at| rig::sleep_payload(20, &format!("after-{at}")))
        .collect();
    for entry in 0..rig.entries.len() {
        let answer = rig.submit(entry, &rig::job(&payloads)).expect("an answer");
        assert_eq!(answer.code, codes::Code::Complete, "{answer:?}");
    }
    let expected = started_before + payloads.len() * rig.entries.len();
    assert_eq!(rig.starts().len(), expected);
    for daemon in rig.entries.iter().chain(&rig.runners) {
        let path = rig.site.folder().join(format!("{}.err", daemon.name()));
        let stderr = fs::read_to_string(path).expect("the standard error");
        assert!(!stderr.contains("panicked"), "{}: {stderr}", daemon.name());
    }
}

fn peer(role: wire::Role, name: &str) -> wire::Peer {
    wire::Peer {
        role,
        name: name.into(),
        incarnation: ids::Incarnation(1),
        zone: "caxias".into(),
        rack: "rack".into(),
        address: CLOSED_ADDRESS.into(),
    }
}

fn to_json<M: serde::Serialize>(message: &M) -> serde_json::Value {
    serde_json::to_value(message).expect("a document")
}

/// Returns the message with the given fields added or replaced.
fn with_fields(message: &serde_json::Value, fields: &serde_json::Value) -> serde_json::Value {
    let mut changed = message.clone();
    let map = changed.as_object_mut().expect("an object");
    map.extend(fields.as_object().expect("an object").clone());
    changed
}

fn heartbeat(name: &str) -> serde_json::Value {
    to_json(&wire::Heartbeat {
        leaving: true,
        ..wire::Heartbeat::new(peer(wire::Role::Entry, name))
    })
}

fn dispatch(incarnation: u64) -> serde_json::Value {
    to_json(&wire::Dispatch {
        version: wire::VERSION,
        attempt: ids::Attempt {
            owner: ids::Incarnation(1),
            number: 1,
        },
        incarnation: ids::Incarnation(incarnation),
        epoch: u64::MAX,
        entry: "stranger".into(),
        team: "escola".into(),
        kind: "fit".into(),
        payload: "bad".to_owned(),
        resources: wire::Resources::default(),
        wait_ms: u64::MAX,
        limit_ms: u64::MAX,
        slack_ms: u64::MAX,
        submission: "x".into(),
        index: u32::MAX,
    })
}

fn forward(incarnation: u64, call: wire::Call) -> serde_json::Value {
    to_json(&wire::Forward {
        version: wire::VERSION,
        incarnation: ids::Incarnation(incarnation),
        team: "escola".into(),
        call,
    })
}

fn incarnation_of(address: net::SocketAddr) -> u64 {
    let text = rig::status(address).incarnation;
    u64::from_str_radix(&text, 16).expect("an incarnation")
}
