//! Sizes of the messages between processes, without HTTP headers.

use bulrushtiller::wire;
use serde::Serialize;

use crate::slopes;
use crate::slopes::fixtures;

fn bytes<M: Serialize>(name: &'static str, size: u64, message: &M) -> slopes::Point {
    let cost = wire::encode(message).map_or(0, |bytes| bytes.len()) as f64;
    slopes::Point {
        name,
        size,
        cost,
        unit: "bytes",
    }
}

/// Measures all messages; the reply to a heartbeat with three numbers of entries.
pub fn all() -> Vec<slopes::Point> {
    let dispatch = fixtures::dispatch(1);
    let reply = wire::DispatchReply {
        version: wire::VERSION,
        attempt: dispatch.attempt,
        outcome: wire::Outcome::Ended {
            code: bulrushtiller::codes::Code::Complete,
            output: "ok".to_owned(),
            run_ms: 120,
            peak: wire::Resources::default(),
        },
        load: fixtures::load(1, 3),
    };
    let mut points = vec![
        bytes(
            "wire: heartbeat of a runner",
            1,
            &fixtures::heartbeat(1, 1, 3),
        ),
        bytes("wire: dispatch", 1, &dispatch),
        bytes("wire: reply to a dispatch", 1, &reply),
    ];
    for entries in [3, 30, 300] {
        let name = "wire: reply to a heartbeat, by entries known";
        points.push(bytes(name, entries, &heartbeat_reply(entries)));
    }
    let name = "wire: reply to a heartbeat of one that holds the list";
    points.push(bytes(name, 1, &heartbeat_reply(0)));
    points
}

fn heartbeat_reply(entries: u64) -> wire::HeartbeatReply {
    wire::HeartbeatReply {
        version: wire::VERSION,
        sender: fixtures::peer(wire::Role::Entry, 1),
        leaving: false,
        revision: Some(42_000),
        evidence: wire::Evidence {
            log_age_ms: Some(700),
            foreign_age_ms: Some(700),
        },
        entries: (0..entries)
            .map(|at| fixtures::peer(wire::Role::Entry, at))
            .collect(),
        slots: 88,
        tickets: None,
        entries_digest: None,
        bad_runners: Vec::new(),
    }
}
