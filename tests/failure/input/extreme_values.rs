//! Figures out of all reason, and fields of a later release.

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

/// The runner's epoch, without which a dispatch is refused as stale.
fn epoch_of(runner: net::SocketAddr) -> u64 {
    let fence =
        json!({"version": 1, "incarnation": 1, "attempts": [], "bar": false, "stop": false});
    let body = raw::body(runner, &raw::message(wire::FENCE_PATH, &fence));
    let reply: wire::FenceReply = wire::decode(&body).expect("a message");
    reply.load.epoch
}

/// The statuses of the answers.
fn statuses(address: net::SocketAddr, sent: &[Vec<u8>]) -> Vec<Option<u16>> {
    let answered = sent.iter().map(|bytes| raw::exchange(address, bytes));
    answered.map(|reply| reply.status).collect()
}

/// A runner with more slots than there are in the world, and nobody at its address.
fn ghost() -> Vec<u8> {
    let most = json!({"cpu_milli": u32::MAX, "memory_mib": u32::MAX, "accelerators": u32::MAX});
    let load = json!({"slots": u32::MAX, "busy": 0, "parked": 0, "size": most, "used": most,
        "mine": u32::MAX, "mine_used": most, "epoch": u64::MAX, "sequence": u64::MAX});
    let sender = input::value(&input::peer(wire::Role::Runner, "ghost"));
    let age = json!({"log_age_ms": u64::MAX, "foreign_age_ms": u64::MAX});
    let ghost = json!({"version": 1, "sender": sender, "leaving": false, "revision": u64::MAX,
        "evidence": age, "load": load});
    raw::message(wire::HEARTBEAT_PATH, &ghost)
}

fn forward(incarnation: u64, call: wire::Call) -> Vec<u8> {
    raw::message(wire::FORWARD_PATH, &input::forward(incarnation, call))
}

fn to_entry(own: u64, other: u64) -> Vec<Vec<u8>> {
    let fetch = || wire::Call::Fetch {
        submission: ids::SubmissionId::Own("x".into()),
        wait_ms: u64::MAX,
    };
    let query = json!({"version": 1, "position": u64::MAX});
    vec![
        ghost(),
        raw::message(wire::SETTINGS_PATH, &query),
        forward(other, fetch()),
        forward(own, fetch()),
    ]
}

/// One with an epoch that never was, one for another life, and one that may take
/// for ever.
fn to_runner(address: net::SocketAddr) -> Vec<Vec<u8>> {
    let life = input::incarnation_of(address);
    let endless = json!({"epoch": epoch_of(address), "payload": rig::sleep(10, "endless")});
    let dispatches = [
        input::dispatch(life),
        input::dispatch(u64::MAX),
        input::with(&input::dispatch(life), &endless),
    ];
    let pack = |one| raw::message(wire::DISPATCH_PATH, one);
    dispatches.iter().map(pack).collect()
}

/// A process with a fault says that it has more slots than there are in the world and
/// asks for times beyond the end of the clock. Nothing overflows; tasks that were
/// handed to it go elsewhere, since no connection could be made.
#[test]
fn figures_out_of_all_reason_from_processes_harm_nobody() {
    let rig = rig::Rig::start(&input::plan());
    let [public, peers, runner] = input::ports(&rig);
    let own = input::incarnation_of(public);
    let other = input::incarnation_of(rig.entries[1].address());

    let by_entry = statuses(peers, &to_entry(own, other));
    let by_runner = statuses(runner, &to_runner(runner));

    assert_eq!(by_entry, vec![OK; 4]);
    assert_eq!(by_runner, vec![OK; 3]);
    input::assert_unharmed(&rig, 1);
}

/// A client adds to its clock what it should not, and asks for all there is.
#[test]
fn figures_out_of_all_reason_from_callers_harm_nobody() {
    let rig = rig::Rig::start(&input::plan());
    let [public, ..] = input::ports(&rig);
    let most = u64::MAX;
    let ticket = rig.ticket(1);
    let fetch = format!("GET /v1/submissions/{ticket}?wait_ms={most}");
    let task = json!({"payload": rig::sleep(10, "long"), "run_ms": u32::MAX});
    let long = json!({"tasks": [task], "deadline_ms": most, "wait_ms": most});
    let task = json!({"payload": "bad", "cpu_milli": u32::MAX, "memory_mib": u32::MAX});
    let greedy = json!({"tasks": [task], "wait_ms": most});
    let tickets = json!({"count": u32::MAX});

    let unknown = raw::exchange(public, &raw::call(&fetch, ""));
    let whole = raw::exchange(public, &raw::call("POST /v1/jobs", &long.to_string()));
    let refused = raw::exchange(public, &raw::call("POST /v1/jobs", &greedy.to_string()));
    let given = raw::exchange(public, &raw::call("POST /v1/tickets", &tickets.to_string()));

    assert_eq!(unknown, raw::Reply::of(codes::Code::UnknownSubmission));
    assert_eq!(whole, raw::Reply::of(codes::Code::Complete));
    assert_eq!(refused, raw::Reply::of(codes::Code::NeverFits));
    assert_eq!(given.status, OK);
    input::assert_unharmed(&rig, 1);
}

/// An entry whose settings are older lets a job pass that is none by those in force
/// here. Taken in, it would be answered complete without anything having run, or never.
#[test]
fn passed_on_job_without_tasks_is_refused() {
    let rig = rig::Rig::start(&input::plan());
    let [public, peers, _] = input::ports(&rig);
    let without_tasks = api::Submission {
        tasks: Vec::new(),
        ..rig::job(&[])
    };
    let call = wire::Call::Submit(without_tasks);

    let body = raw::body(peers, &forward(input::incarnation_of(public), call));

    let reply: wire::ForwardReply = wire::decode(&body).expect("a message");
    assert_eq!(reply.answer.code, codes::Code::BadBody);
    assert!(reply.answer.is_final);
    input::assert_unharmed(&rig, 0);
}

/// Two releases run side by side: a later one adds fields, which an earlier one
/// passes over, in callers' documents and in messages between the processes.
#[test]
fn unknown_fields_are_passed_over() {
    let rig = rig::Rig::start(&input::plan());
    let [public, peers, runner] = input::ports(&rig);
    let more = json!({"later": {"deep": [1, "two", null]}, "and": "more"});
    let task = input::with(&json!({"payload": rig::sleep(10, "later")}), &more);
    let job = input::with(&json!({"tasks": [task], "wait_ms": 10_000}), &more);
    let heartbeat = input::with(&input::heartbeat("stranger"), &more);
    let stale = input::with(&input::dispatch(input::incarnation_of(runner)), &more);

    let answer = raw::exchange(public, &raw::call("POST /v1/jobs", &job.to_string()));
    let heard = raw::exchange(peers, &raw::message(wire::HEARTBEAT_PATH, &heartbeat));
    let read = raw::exchange(runner, &raw::message(wire::DISPATCH_PATH, &stale));
    let status = raw::exchange(public, &raw::call("GET /status?later=1", ""));

    assert_eq!(answer, raw::Reply::of(codes::Code::Complete));
    assert_eq!([heard.status, read.status, status.status], [OK; 3]);
    input::assert_unharmed(&rig, 1);
}
