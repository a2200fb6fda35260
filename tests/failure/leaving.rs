//! A backend server that is leaving gets no new work (point 7).

use std::thread;
use std::time;

use bulrushtiller::api;
use bulrushtiller::codes;
use bulrushtiller::ids;
use bulrushtiller::wire;

use crate::background;
use crate::rig;

/// A heartbeat of the default settings, and as much again for a busy machine.
const HEARTBEAT_MS: u64 = 1_000;

/// Longest time for a graceful stop of what these tests run.
const STOP: time::Duration = time::Duration::from_secs(20);

// A runner is told to stop while callers keep every slot busy. It says so at once and
// ends when its tasks have. Nothing new starts beside it after a heartbeat, and no
// caller sees anything but complete answers.
#[test]
fn leaving_runner_gets_no_new_work() {
    let mut rig = rig::Rig::start(&rig::Plan::default());
    let entries = background::addresses(&rig.entries);
    let callers = background::Callers::start(&entries, 2, 20, 100);
    thread::sleep(time::Duration::from_millis(500));

    rig.runners[0].terminate().expect("told to stop");
    let told_ms = background::unix_ms();
    let exit = rig.runners[0].wait_exit(STOP).expect("waited for");
    thread::sleep(time::Duration::from_secs(1));
    let outcomes = callers.stop();

    assert!(exit.expect("it ends").success());
    let late = background::starts_between(&rig, &[0], told_ms + HEARTBEAT_MS, u64::MAX);
    assert_eq!(late, Vec::<u64>::new(), "told at {told_ms}");
    let answers = background::answers(outcomes);
    assert!(!answers.is_empty());
    let failed: Vec<_> = answers
        .iter()
        .filter(|one| one.code != codes::Code::Complete)
        .collect();
    assert!(failed.is_empty(), "{failed:?}");
}

// A runner with one long task is told to stop. It lives on until the task has ended,
// which takes longer than its heartbeats are apart, and in all that time the entry
// sends it none of the work that comes in.
#[test]
fn leaving_runner_finishes_what_it_runs() {
    let mut rig = rig::Rig::start(&rig::Plan {
        entries: vec!["caxias"],
        runners: vec!["caxias"],
        ..rig::Plan::default()
    });
    let entry = rig.entries[0].address();
    let long = rig::sleep(3_000, "long");
    let submission = rig::job(std::slice::from_ref(&long));
    let caller = thread::spawn(move || background::call(entry, &submission));
    rig::wait_until("the task runs", || rig.starts_of(&long) == 1);
    rig.add_runner("later", "bento", &[]);
    rig.wait_until_serving(2);

    rig.runners[0].terminate().expect("told to stop");
    let told_ms = background::unix_ms();
    let told = time::Instant::now();
    rig::wait_until("the entry knows", || {
        let peers = rig::status(entry).peers;
        let is_known = |one: &api::PeerStatus| one.name == "runner-0" && one.state == "leaving";
        peers.iter().any(is_known)
    });
    let known_in = told.elapsed();
    let other = rig.submit(0, &rig::job(&vec![rig::sleep(20, "other"); 20]));
    let exit = rig.runners[0].wait_exit(STOP).expect("waited for");

    assert!(exit.expect("it ends").success());
    assert!(
        known_in < time::Duration::from_millis(HEARTBEAT_MS),
        "{known_in:?}"
    );
    let late = background::starts_between(&rig, &[0], told_ms + HEARTBEAT_MS, u64::MAX);
    assert_eq!(late, Vec::<u64>::new());
    let other = other.expect("an answer");
    assert_eq!(other.code, codes::Code::Complete);
    let outcome = vec![caller.join().expect("the caller goes on")];
    assert_eq!(background::answers(outcome)[0].code, codes::Code::Complete);
}

fn attempt(number: u64) -> ids::Attempt {
    let owner = ids::Incarnation(1);
    ids::Attempt { owner, number }
}

// A runner is told to stop while an entry's task is on its way to it. It is still
// there, since it runs another task, and has slots. It refuses the task as leaving
// and never starts it, so the entry can truthfully send it elsewhere.
#[test]
fn leaving_runner_refuses_what_is_on_its_way() {
    let mut rig = rig::Rig::start(&rig::Plan {
        entries: vec!["caxias"],
        runners: vec!["caxias"],
        ..rig::Plan::default()
    });
    let (entry, runner) = (rig.entries[0].address(), rig.runners[0].address());
    let long = rig::sleep(3_000, "long");
    let submission = rig::job(std::slice::from_ref(&long));
    let caller = thread::spawn(move || background::call(entry, &submission));
    rig::wait_until("the task runs", || rig.starts_of(&long) == 1);
    let question = wire::Fence {
        version: wire::VERSION,
        incarnation: ids::Incarnation(0),
        attempts: Vec::new(),
        bar: false,
        stop: false,
    };
    let known: wire::FenceReply = rig::say(runner, wire::FENCE_PATH, &question);

    rig.runners[0].terminate().expect("told to stop");
    rig::wait_until("it is leaving", || rig::status(runner).leaving);
    let dispatch = wire::Dispatch {
        version: wire::VERSION,
        attempt: attempt(1),
        incarnation: known.incarnation,
        epoch: known.load.epoch,
        entry: "entry-0".into(),
        team: "escola".into(),
        kind: "".into(),
        payload: rig::sleep(10, "on its way"),
        resources: wire::Resources::default(),
        wait_ms: 1_000,
        slack_ms: 300,
        limit_ms: 1_000,
        submission: "s".into(),
        index: 0,
    };
    let reply: wire::DispatchReply = rig::say(runner, wire::DISPATCH_PATH, &dispatch);
    let outcome = vec![caller.join().expect("the caller goes on")];

    let code = codes::Code::Leaving;
    assert_eq!(reply.outcome, wire::Outcome::NotStarted { code });
    assert_eq!(rig.starts_of(&rig::sleep(10, "on its way")), 0);
    assert_eq!(background::answers(outcome)[0].code, codes::Code::Complete);
}
