//! Extreme numbers in valid messages, and fields of a later release.

use std::net;

use bulrushtiller::api;
use bulrushtiller::codes;
use bulrushtiller::ids;
use bulrushtiller::wire;
use serde_json::json;

use crate::input;
use crate::raw;
use crate::rig;

const OK: Option<u16> = Some(200);

/// Returns the runner's epoch; a dispatch with another epoch is refused as stale.
fn runner_epoch(runner: net::SocketAddr) -> u64 {
    let fence =
        json!({"version": 1, "incarnation": 1, "attempts": [], "bar": false, "stop": false});
    let body = raw::response_body(runner, &raw::peer_message(wire::FENCE_PATH, &fence));
    let reply: wire::FenceReply = wire::decode(&body).expect("a message");
    reply.load.epoch
}

/// Sends the requests and returns the HTTP statuses of the responses.
fn statuses(address: net::SocketAddr, sent: &[Vec<u8>]) -> Vec<Option<u16>> {
    let answered = sent.iter().map(|bytes| raw::exchange(address, bytes));
    answered.map(|reply| reply.status).collect()
}

/// Heartbeat of a runner that reports the maximum capacity and whose address refuses connections.
fn unreachable_runner_heartbeat() -> Vec<u8> {
    let max = json!({"cpu_milli": u32::MAX, "memory_mib": u32::MAX, "accelerators": u32::MAX});
    let load = json!({"slots": u32::MAX, "busy": 0, "parked": 0, "size": max, "used": max,
        "mine": u32::MAX, "mine_used": max, "epoch": u64::MAX, "sequence": u64::MAX});
    let sender = input::to_json(&input::peer(wire::Role::Runner, "ghost"));
    let age = json!({"log_age_ms": u64::MAX, "foreign_age_ms": u64::MAX});
    let document = json!({"version": 1, "sender": sender, "leaving": false, "revision": u64::MAX,
        "evidence": age, "load": load});
    raw::peer_message(wire::HEARTBEAT_PATH, &document)
}

fn forward(incarnation: u64, call: wire::Call) -> Vec<u8> {
    raw::peer_message(wire::FORWARD_PATH, &input::forward(incarnation, call))
}

fn messages_to_entry(entry_incarnation: u64, peer_incarnation: u64) -> Vec<Vec<u8>> {
    let fetch = || wire::Call::Fetch {
        submission: ids::SubmissionId::Own("x".into()),
        wait_ms: u64::MAX,
    };
    let query = json!({"version": 1, "position": u64::MAX});
    vec![
        unreachable_runner_heartbeat(),
        raw::peer_message(wire::SETTINGS_PATH, &query),
        forward(peer_incarnation, fetch()),
        forward(entry_incarnation, fetch()),
    ]
}

/// Dispatches with an unknown epoch, for another incarnation, and with unlimited times.
fn messages_to_runner(address: net::SocketAddr) -> Vec<Vec<u8>> {
    let runner_incarnation = input::incarnation_of(address);
    let unbounded =
        json!({"epoch": runner_epoch(address), "payload": rig::sleep_payload(10, "endless")});
    let dispatches = [
        input::dispatch(runner_incarnation),
        input::dispatch(u64::MAX),
        input::with_fields(&input::dispatch(runner_incarnation), &unbounded),
    ];
    let pack = |one| raw::peer_message(wire::DISPATCH_PATH, one);
    dispatches.iter().map(pack).collect()
}

/// Guards against overflows when a faulty process reports the maximum capacity and requests
/// maximum times. Tasks dispatched to it go to another runner, since it refuses connections.
#[test]
fn extreme_values_from_peers_cause_no_failure() {
    let rig = rig::Rig::start(&input::plan());
    let [public, peers, runner] = input::ports(&rig);
    let entry_incarnation = input::incarnation_of(public);
    let peer_incarnation = input::incarnation_of(rig.entries[1].address());

    let by_entry = statuses(
        peers,
        &messages_to_entry(entry_incarnation, peer_incarnation),
    );
    let by_runner = statuses(runner, &messages_to_runner(runner));

    assert_eq!(by_entry, vec![OK; 4]);
    assert_eq!(by_runner, vec![OK; 3]);
    input::assert_still_serving(&rig, 1);
}

/// Guards against overflows when a client sends maximum times, sizes and counts.
#[test]
fn extreme_values_from_callers_cause_no_failure() {
    let rig = rig::Rig::start(&input::plan());
    let [public, ..] = input::ports(&rig);
    let most = u64::MAX;
    let ticket = rig.ticket(1);
    let fetch = format!("GET /v1/submissions/{ticket}?wait_ms={most}");
    let task = json!({"payload": rig::sleep_payload(10, "long"), "run_ms": u32::MAX});
    let long = json!({"tasks": [task], "deadline_ms": most, "wait_ms": most});
    let task = json!({"payload": "bad", "cpu_milli": u32::MAX, "memory_mib": u32::MAX});
    let oversized = json!({"tasks": [task], "wait_ms": most});
    let tickets = json!({"count": u32::MAX});

    let unknown = raw::exchange(public, &raw::authorized_request(&fetch, ""));
    let completed = raw::exchange(
        public,
        &raw::authorized_request("POST /v1/jobs", &long.to_string()),
    );
    let refused = raw::exchange(
        public,
        &raw::authorized_request("POST /v1/jobs", &oversized.to_string()),
    );
    let issued = raw::exchange(
        public,
        &raw::authorized_request("POST /v1/tickets", &tickets.to_string()),
    );

    assert_eq!(
        unknown,
        raw::Reply::with_code(codes::Code::UnknownSubmission)
    );
    assert_eq!(completed, raw::Reply::with_code(codes::Code::Complete));
    assert_eq!(refused, raw::Reply::with_code(codes::Code::NeverFits));
    assert_eq!(issued.status, OK);
    input::assert_still_serving(&rig, 1);
}

/// Guards against a job without tasks from an entry with older settings. If accepted, it would
/// be answered complete although nothing ran, or never be answered.
#[test]
fn passed_on_job_without_tasks_is_refused() {
    let rig = rig::Rig::start(&input::plan());
    let [public, peers, _] = input::ports(&rig);
    let without_tasks = api::Submission {
        tasks: Vec::new(),
        ..rig::job(&[])
    };
    let call = wire::Call::Submit(without_tasks);

    let body = raw::response_body(peers, &forward(input::incarnation_of(public), call));

    let reply: wire::ForwardReply = wire::decode(&body).expect("a message");
    assert_eq!(reply.answer.code, codes::Code::BadBody);
    assert!(reply.answer.is_final);
    input::assert_still_serving(&rig, 0);
}

/// Guards against failures while two releases run side by side. The earlier one ignores fields
/// that the later one adds to callers' documents and to messages between processes.
#[test]
fn unknown_fields_are_ignored() {
    let rig = rig::Rig::start(&input::plan());
    let [public, peers, runner] = input::ports(&rig);
    let more = json!({"later": {"deep": [1, "two", null]}, "and": "more"});
    let task = input::with_fields(&json!({"payload": rig::sleep_payload(10, "later")}), &more);
    let job = input::with_fields(&json!({"tasks": [task], "wait_ms": 10_000}), &more);
    let heartbeat = input::with_fields(&input::heartbeat("stranger"), &more);
    let stale = input::with_fields(&input::dispatch(input::incarnation_of(runner)), &more);

    let answer = raw::exchange(
        public,
        &raw::authorized_request("POST /v1/jobs", &job.to_string()),
    );
    let heartbeat_reply =
        raw::exchange(peers, &raw::peer_message(wire::HEARTBEAT_PATH, &heartbeat));
    let dispatch_reply = raw::exchange(runner, &raw::peer_message(wire::DISPATCH_PATH, &stale));
    let status = raw::exchange(public, &raw::authorized_request("GET /status?later=1", ""));

    assert_eq!(answer, raw::Reply::with_code(codes::Code::Complete));
    assert_eq!(
        [heartbeat_reply.status, dispatch_reply.status, status.status],
        [OK; 3]
    );
    input::assert_still_serving(&rig, 1);
}
