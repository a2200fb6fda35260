//! Bad input on every port: it is refused by number, and nothing else suffers.

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

/// Bounds small enough to be passed quickly.
const LIMITS: &str = "[limits]\nmax_body_bytes = 65536\nmax_payload_bytes = 4096\n";

/// An address at which every connection is refused.
const NOBODY: &str = "127.0.0.1:1";

fn plan() -> rig::Plan {
    rig::Plan {
        settings: LIMITS.to_owned(),
        ..rig::Plan::default()
    }
}

/// Every port of the first entry and of the first runner.
fn ports(rig: &rig::Rig) -> [net::SocketAddr; 3] {
    let peers = rig.entries[0].wait_for_address("peers").expect("a port");
    [rig.entries[0].address(), peers, rig.runners[0].address()]
}

/// Something that must be refused.
#[derive(Clone)]
struct Case {
    name: &'static str,
    bytes: Vec<u8>,
    code: codes::Code,
}

const fn case(name: &'static str, bytes: Vec<u8>, code: codes::Code) -> Case {
    Case { name, bytes, code }
}

/// What was answered otherwise than expected.
#[derive(Debug, PartialEq)]
struct Difference {
    name: &'static str,
    answered: raw::Reply,
    expected: raw::Reply,
}

fn differences(address: net::SocketAddr, cases: &[Case]) -> Vec<Difference> {
    let answered = cases.iter().map(|case| Difference {
        name: case.name,
        answered: raw::exchange(address, &case.bytes),
        expected: raw::Reply::of(case.code),
    });
    answered
        .filter(|one| one.answered != one.expected)
        .collect()
}

/// A job through each entry is answered whole, nothing but its tasks was ever
/// started, and no process has panicked.
fn assert_unharmed(rig: &rig::Rig, started_before: usize) {
    let payloads: Vec<String> = (0..10)
        .map(|at| rig::sleep(20, &format!("after-{at}")))
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
        address: NOBODY.into(),
    }
}

fn value<M: serde::Serialize>(message: &M) -> serde_json::Value {
    serde_json::to_value(message).expect("a document")
}

/// The same message with some fields of its own.
fn with(message: &serde_json::Value, more: &serde_json::Value) -> serde_json::Value {
    let mut changed = message.clone();
    let map = changed.as_object_mut().expect("an object");
    map.extend(more.as_object().expect("an object").clone());
    changed
}

fn heartbeat(name: &str) -> serde_json::Value {
    value(&wire::Heartbeat {
        leaving: true,
        ..wire::Heartbeat::new(peer(wire::Role::Entry, name))
    })
}

fn dispatch(incarnation: u64) -> serde_json::Value {
    value(&wire::Dispatch {
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
    value(&wire::Forward {
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
