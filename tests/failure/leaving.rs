//! A leaving backend server gets no new tasks.

use std::thread;
use std::time;

use bulrushtiller::api;
use bulrushtiller::codes;
use bulrushtiller::ids;
use bulrushtiller::wire;

use crate::background;
use crate::rig;

/// Maximum time until a leaving runner gets no new tasks: twice the default heartbeat interval,
/// as a margin for a busy machine.
const NOTICE_LIMIT_MS: u64 = 1_000;

/// Maximum time of a graceful stop in these tests.
const STOP_LIMIT: time::Duration = time::Duration::from_secs(20);

// A runner gets SIGTERM while callers keep all slots busy. It reports at once that it is leaving
// and exits when its tasks have ended. After a heartbeat no new task starts at it, and callers
// get complete answers only.
#[test]
fn leaving_runner_gets_no_new_work() {
    let mut rig = rig::Rig::start(&rig::Plan::default());
    let entries = background::addresses(&rig.entries);
    let callers = background::Callers::start(&entries, 2, 20, 100);
    thread::sleep(time::Duration::from_millis(500));

    rig.runners[0].terminate().expect("SIGTERM is sent");
    let signalled_ms = background::unix_ms();
    let exit = rig.runners[0]
        .wait_exit(STOP_LIMIT)
        .expect("the exit status is read");
    thread::sleep(time::Duration::from_secs(1));
    let outcomes = callers.stop();

    assert!(exit.expect("the process exits in time").success());
    let late = background::starts_between(&rig, &[0], signalled_ms + NOTICE_LIMIT_MS, u64::MAX);
    assert_eq!(late, Vec::<u64>::new(), "SIGTERM at {signalled_ms}");
    let answers = background::expect_answers(outcomes);
    assert!(!answers.is_empty());
    let failed: Vec<_> = answers
        .iter()
        .filter(|one| one.code != codes::Code::Complete)
        .collect();
    assert!(failed.is_empty(), "{failed:?}");
}

// A runner gets SIGTERM while it runs a task that takes longer than several heartbeat intervals.
// It exits only after the task has ended, and until then the entry sends it no other task.
#[test]
fn leaving_runner_finishes_running_task() {
    let mut rig = rig::Rig::start(&rig::Plan {
        entries: vec!["caxias"],
        runners: vec!["caxias"],
        ..rig::Plan::default()
    });
    let entry = rig.entries[0].address();
    let long = rig::sleep_payload(3_000, "long");
    let submission = rig::job(std::slice::from_ref(&long));
    let caller = thread::spawn(move || background::submit_once(entry, &submission));
    rig::wait_until("the task runs", || rig.starts_of(&long) == 1);
    rig.add_runner("later", "bento", &[]);
    rig.wait_until_serving(2);

    rig.runners[0].terminate().expect("SIGTERM is sent");
    let signalled_ms = background::unix_ms();
    let signalled = time::Instant::now();
    rig::wait_until("the entry sees the runner as leaving", || {
        let peers = rig::status(entry).peers;
        let is_known = |one: &api::PeerStatus| one.name == "runner-0" && one.state == "leaving";
        peers.iter().any(is_known)
    });
    let known_in = signalled.elapsed();
    let other = rig.submit(0, &rig::job(&vec![rig::sleep_payload(20, "other"); 20]));
    let exit = rig.runners[0]
        .wait_exit(STOP_LIMIT)
        .expect("the exit status is read");

    assert!(exit.expect("the process exits in time").success());
    assert!(
        known_in < time::Duration::from_millis(NOTICE_LIMIT_MS),
        "{known_in:?}"
    );
    let late = background::starts_between(&rig, &[0], signalled_ms + NOTICE_LIMIT_MS, u64::MAX);
    assert_eq!(late, Vec::<u64>::new());
    let other = other.expect("an answer");
    assert_eq!(other.code, codes::Code::Complete);
    let outcome = vec![caller.join().expect("the caller thread ends")];
    assert_eq!(
        background::expect_answers(outcome)[0].code,
        codes::Code::Complete
    );
}

fn attempt(number: u64) -> ids::Attempt {
    let owner = ids::Incarnation(1);
    ids::Attempt { owner, number }
}

// A runner gets SIGTERM while a dispatch to it is in flight. It still runs another task and has
// free slots. It refuses the dispatch as leaving and never starts the task, so the entry can
// safely dispatch it to another runner.
#[test]
fn leaving_runner_refuses_task_in_flight() {
    let mut rig = rig::Rig::start(&rig::Plan {
        entries: vec!["caxias"],
        runners: vec!["caxias"],
        ..rig::Plan::default()
    });
    let (entry, runner) = (rig.entries[0].address(), rig.runners[0].address());
    let long = rig::sleep_payload(3_000, "long");
    let submission = rig::job(std::slice::from_ref(&long));
    let caller = thread::spawn(move || background::submit_once(entry, &submission));
    rig::wait_until("the task runs", || rig.starts_of(&long) == 1);
    let fence = wire::Fence {
        version: wire::VERSION,
        incarnation: ids::Incarnation(0),
        attempts: Vec::new(),
        bar: false,
        stop: false,
    };
    let fence_reply: wire::FenceReply = rig::send_message(runner, wire::FENCE_PATH, &fence);

    rig.runners[0].terminate().expect("SIGTERM is sent");
    rig::wait_until("the runner is leaving", || rig::status(runner).leaving);
    let dispatch = wire::Dispatch {
        version: wire::VERSION,
        attempt: attempt(1),
        incarnation: fence_reply.incarnation,
        epoch: fence_reply.load.epoch,
        entry: "entry-0".into(),
        team: "escola".into(),
        kind: "".into(),
        payload: rig::sleep_payload(10, "on its way"),
        resources: wire::Resources::default(),
        wait_ms: 1_000,
        slack_ms: 300,
        limit_ms: 1_000,
        submission: "s".into(),
        index: 0,
    };
    let reply: wire::DispatchReply = rig::send_message(runner, wire::DISPATCH_PATH, &dispatch);
    let outcome = vec![caller.join().expect("the caller thread ends")];

    let code = codes::Code::Leaving;
    assert_eq!(reply.outcome, wire::Outcome::NotStarted { code });
    assert_eq!(rig.starts_of(&rig::sleep_payload(10, "on its way")), 0);
    assert_eq!(
        background::expect_answers(outcome)[0].code,
        codes::Code::Complete
    );
}
