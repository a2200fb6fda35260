//! A task reported as "not run" was never started and never will be.

use std::thread;
use std::time;

use bulrushtiller::api;
use bulrushtiller::codes;
use bulrushtiller_standins::relay;

use crate::check;
use crate::relays;
use crate::rig;

fn relayed_rig() -> (rig::Rig, relays::Relay) {
    let mut rig = rig::Rig::start(&rig::Plan {
        runners: Vec::new(),
        ..rig::Plan::default()
    });
    let endpoints = rig.endpoints.clone();
    let relay = relays::runner_behind_relay(&mut rig, "runner-0", "caxias", &endpoints);
    rig.wait_until_serving(1);
    (rig, relay)
}

// A task has started when all bytes from its runner are lost, on new connections too. At the
// deadline the caller gets an answer. It says that the task may have run; "not run" would be
// false.
#[test]
fn lost_answer_of_started_task_is_reported_as_may_have_run() {
    let (rig, relay) = relayed_rig();
    let tracked = check::TrackedSubmission::sleeping(Some(rig.ticket(0)), 800, &["begun"])
        .with_wait(0)
        .with_deadline(1_500);
    tracked.submit(&rig, 0).expect("an answer");
    rig::wait_until("the task runs", || rig.starts_of(tracked.payload(0)) == 1);

    relay.set_behaviour(&relay::Behaviour::Silent {
        direction: relay::Direction::FromTarget,
        new_too: true,
    });
    let answer = tracked.submit_until_final(&rig, 0);

    assert_eq!(answer.tasks[0].fate, api::TaskOutcome::MayHaveRun);
    relay.restore();
    check::check(&rig, &[&tracked]);
}

// The connection that carried a dispatch is closed while the task runs. The client library
// reports that as a failure to connect. If the entry took it for "never sent", it would start
// the task again; instead the caller gets the output of the only start.
#[test]
fn connection_closed_after_dispatch_does_not_restart_task() {
    let (rig, relay) = relayed_rig();
    let tracked =
        check::TrackedSubmission::sleeping(Some(rig.ticket(0)), 800, &["one-start"]).with_wait(0);
    tracked.submit(&rig, 0).expect("an answer");
    rig::wait_until("the task runs", || rig.starts_of(tracked.payload(0)) == 1);

    relay.disconnect();
    thread::sleep(time::Duration::from_millis(50));
    relay.restore();
    let answer = tracked.submit_until_final(&rig, 0);

    assert_eq!(answer.code, codes::Code::Complete);
    check::check(&rig, &[&tracked]);
}

// A worker dies while its backend server runs a task. The runner sees the connection close and
// must not report the backend server as unreachable, because the task had started.
#[test]
fn task_of_killed_worker_is_reported_as_may_have_run() {
    let mut rig = rig::Rig::start(&rig::Plan {
        runners: vec!["caxias", "bento"],
        ..rig::Plan::default()
    });
    let tracked =
        check::TrackedSubmission::sleeping(Some(rig.ticket(0)), 5_000, &["begun"]).with_wait(0);
    tracked.submit(&rig, 0).expect("an answer");
    rig::wait_until("the task runs", || rig.starts_of(tracked.payload(0)) == 1);
    let (worker, _) = rig.starts().remove(0);

    rig.workers[worker].kill().expect("SIGKILL is sent");
    rig.workers.remove(worker);
    let answer = tracked.submit_until_final(&rig, 0);

    assert_eq!(
        answer.tasks[0].fate,
        api::TaskOutcome::MayHaveRun,
        "{answer:?}"
    );
    assert_eq!(
        rig.starts_of(tracked.payload(0)),
        0,
        "the task was started again at the other worker"
    );
}

// A client submits under its own id while the log is down. The submission is refused and never
// starts, even after the log is back. The refusal holds a ticket, under which a submission
// completes.
#[test]
fn own_id_is_refused_while_log_is_down() {
    let rig = rig::Rig::start(&rig::Plan::default());
    let tracked =
        check::TrackedSubmission::sleeping(Some(rig::own_id("compra-1")), 20, &["under-own-id"]);
    let first = check::TrackedSubmission::sleeping(Some(rig::own_id("compra-0")), 20, &["warm"]);
    let warm = first.submit(&rig, 0).expect("an answer");

    rig.control_log(&serde_json::json!({"mode": "down"}));
    let refused = tracked.submit(&rig, 0).expect("an answer");
    let ticketed =
        check::TrackedSubmission::sleeping(refused.ticket.clone(), 20, &["under-ticket"]);
    let answer = ticketed.submit(&rig, 0).expect("an answer");
    rig.control_log(&serde_json::json!({"mode": "up"}));
    thread::sleep(time::Duration::from_millis(500));

    assert_eq!(warm.code, codes::Code::Complete);
    assert_eq!(refused.code, codes::Code::ClaimUnavailable);
    assert!(refused.retry_after_ms.is_some(), "{refused:?}");
    assert_eq!(answer.code, codes::Code::Complete);
    assert_eq!(rig.starts_of(tracked.payload(0)), 0);
    check::check(&rig, &[&first, &tracked, &ticketed]);
}

// The log stores claims, but its answers are lost. The entries read the claims back, so
// submissions under clients' own ids still complete, and each starts once.
#[test]
fn claim_is_read_back_after_lost_append_answer() {
    let rig = rig::Rig::start(&rig::Plan::default());
    let tracked: Vec<_> = (0..5)
        .map(|at| {
            check::TrackedSubmission::sleeping(
                Some(rig::own_id(&format!("pedido-{at}"))),
                20,
                &[&format!("once-{at}")],
            )
        })
        .collect();

    rig.control_log(&serde_json::json!({"mode": "lose_answers"}));
    let codes: Vec<_> = tracked
        .iter()
        .flat_map(|one| [one.submit(&rig, 0), one.submit(&rig, 1)])
        .map(|answer| answer.expect("an answer").code)
        .collect();

    assert_eq!(codes, vec![codes::Code::Complete; 10]);
    check::check(&rig, &tracked.iter().collect::<Vec<_>>());
}

// The append of a claim takes effect, but the log goes down before the claim can be read back,
// so the submission is refused. When the log is back, it holds the claim. The entry then owns
// the id, but it has answered "not run", so no entry ever starts the submission.
#[test]
fn claim_confirmed_after_refusal_never_starts() {
    let rig = rig::Rig::start(&rig::Plan::default());
    let tracked = check::TrackedSubmission::sleeping(Some(rig::own_id("tarde-1")), 20, &["never"]);

    rig.control_log(&serde_json::json!({"mode": "down_after_append"}));
    let refused = tracked.submit(&rig, 0).expect("an answer");
    rig.control_log(&serde_json::json!({"mode": "up"}));
    rig::wait_until("the entry has read the claim", || {
        let answer = tracked.submit(&rig, 1);
        answer.is_some_and(|answer| answer.is_final)
    });
    let again = tracked.submit(&rig, 0).expect("an answer");

    assert_eq!(refused.code, codes::Code::ClaimUnavailable);
    assert_eq!(again.code, codes::Code::ClaimUnavailable);
    check::check(&rig, &[&tracked]);
}

// A submission exceeds its team's quota and is refused as not run. A second copy comes after the
// operators have raised the quota. The caller may have submitted the job anew after the refusal,
// so the second copy starts nothing.
#[test]
fn refused_submission_never_starts_later() {
    let rig = rig::Rig::start(&rig::Plan {
        runners: vec!["caxias"],
        settings: "[teams.escola]\nmax_queued = 4\n".to_owned(),
        ..rig::Plan::default()
    });
    let tracked =
        check::TrackedSubmission::sleeping(Some(rig.ticket(0)), 20, &["a", "b", "c", "d", "e"]);
    let small = check::TrackedSubmission::sleeping(Some(rig.ticket(0)), 20, &["f"]);

    let refused = tracked.submit(&rig, 0).expect("an answer");
    rig.put_settings("30-room.toml", "[teams.escola]\nmax_queued = 100\n");
    rig.wait_until_serving(1);
    let again = tracked.submit(&rig, 1).expect("an answer");
    let other = small.submit(&rig, 1).expect("an answer");

    assert_eq!(refused.code, codes::Code::OverQuota);
    assert_eq!(again, refused);
    assert_eq!(other.code, codes::Code::Complete);
    check::check(&rig, &[&tracked, &small]);
}

// The log accepts three appends a second, and twenty callers submit under their own ids at two
// entries, 30 ms apart. Submissions whose claim the log refuses are refused within seconds and
// never start. The others start once.
#[test]
fn claims_over_append_rate_limit_are_refused_without_start() {
    let rig = rig::Rig::start(&rig::Plan {
        log: vec!["--appends-per-s", "3"],
        ..rig::Plan::default()
    });
    let sleeping = |at: usize| {
        let id = rig::own_id(&format!("pressa-{at}"));
        check::TrackedSubmission::sleeping(Some(id), 20, &[&format!("hasty-{at}")])
    };
    let tracked: Vec<_> = (0..20).map(sleeping).collect();

    let answers: Vec<_> = thread::scope(|scope| {
        let mut calls = Vec::new();
        for (at, one) in tracked.iter().enumerate() {
            let rig = &rig;
            calls.push(scope.spawn(move || one.submit(rig, at % 2)));
            thread::sleep(time::Duration::from_millis(30));
        }
        let join = |call: thread::ScopedJoinHandle<'_, _>| call.join().expect("a call ends");
        calls.into_iter().map(join).collect()
    });
    thread::sleep(time::Duration::from_millis(500));

    let mut refused = 0;
    for (one, answer) in tracked.iter().zip(answers) {
        let answer = answer.expect("an answer");
        let is_refused = answer.code == codes::Code::ClaimUnavailable;
        assert!(
            is_refused || answer.code == codes::Code::Complete,
            "{answer:?}"
        );
        assert_eq!(rig.starts_of(one.payload(0)), usize::from(!is_refused));
        refused += usize::from(is_refused);
    }
    assert!(refused > 0, "the log accepted all claims");
    assert!(refused < tracked.len(), "the log accepted no claim");
    check::check(&rig, &tracked.iter().collect::<Vec<_>>());
}
