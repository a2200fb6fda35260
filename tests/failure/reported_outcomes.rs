//! "Not run" is true.

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
    let links = rig.links.clone();
    let relay = relays::runner_behind_relay(&mut rig, "runner-0", "caxias", &links);
    rig.wait_until_serving(1);
    (rig, relay)
}

// A task has begun when everything that its runner says stops coming through, on new
// connections too. The deadline passes and the caller is answered in time. It is told that
// the task may have run; "not run" would be untrue.
#[test]
fn answers_lost_after_the_worker_began() {
    let (rig, relay) = relayed_rig();
    let told = check::Told::sleeping(Some(rig.ticket(0)), 800, &["begun"])
        .waiting(0)
        .due(1_500);
    told.submit(&rig, 0).expect("an answer");
    rig::wait_until("it runs", || rig.starts_of(told.payload(0)) == 1);

    relay.set(&relay::Behaviour::Silent {
        direction: relay::Direction::FromTarget,
        new_too: true,
    });
    let answer = told.submit_until_final(&rig, 0);

    assert_eq!(answer.tasks[0].fate, api::TaskOutcome::MayHaveRun);
    relay.mend();
    check::check(&rig, &[&told]);
}

// The connection over which a task was handed out is closed while the task runs. The client
// library calls that a failure to connect. Taken for "never sent", the task would be started
// again; its caller gets the answer of its one start.
#[test]
fn connection_closed_after_the_dispatch_went_out() {
    let (rig, relay) = relayed_rig();
    let told = check::Told::sleeping(Some(rig.ticket(0)), 800, &["one-start"]).waiting(0);
    told.submit(&rig, 0).expect("an answer");
    rig::wait_until("it runs", || rig.starts_of(told.payload(0)) == 1);

    relay.cut();
    thread::sleep(time::Duration::from_millis(50));
    relay.mend();
    let answer = told.submit_until_final(&rig, 0);

    assert_eq!(answer.code, codes::Code::Complete);
    check::check(&rig, &[&told]);
}

// A worker dies while its backend server runs a task. Its runner sees the connection close
// and must not report that the backend server could not be reached: the task had begun.
#[test]
fn worker_killed_while_its_task_runs() {
    let mut rig = rig::Rig::start(&rig::Plan {
        runners: vec!["caxias", "bento"],
        ..rig::Plan::default()
    });
    let told = check::Told::sleeping(Some(rig.ticket(0)), 5_000, &["begun"]).waiting(0);
    told.submit(&rig, 0).expect("an answer");
    rig::wait_until("it runs", || rig.starts_of(told.payload(0)) == 1);
    let (worker, _) = rig.starts().remove(0);

    rig.workers[worker].kill().expect("it is killed");
    rig.workers.remove(worker);
    let answer = told.submit_until_final(&rig, 0);

    assert_eq!(
        answer.tasks[0].fate,
        api::TaskOutcome::MayHaveRun,
        "{answer:?}"
    );
    assert_eq!(
        rig.starts_of(told.payload(0)),
        0,
        "started again at the other worker"
    );
}

// The log is down and a client submits under an id of its own. It is refused, nothing is
// started, and it gets a ticket, with which its work flows. Nothing starts when the log is
// back either.
#[test]
fn own_id_while_the_log_is_down() {
    let rig = rig::Rig::start(&rig::Plan::default());
    let told = check::Told::sleeping(Some(rig::own_id("compra-1")), 20, &["under-own-id"]);
    let first = check::Told::sleeping(Some(rig::own_id("compra-0")), 20, &["warm"]);
    let warm = first.submit(&rig, 0).expect("an answer");

    rig.control_log(&serde_json::json!({"mode": "down"}));
    let refused = told.submit(&rig, 0).expect("an answer");
    let ticketed = check::Told::sleeping(refused.ticket.clone(), 20, &["under-ticket"]);
    let answer = ticketed.submit(&rig, 0).expect("an answer");
    rig.control_log(&serde_json::json!({"mode": "up"}));
    thread::sleep(time::Duration::from_millis(500));

    assert_eq!(warm.code, codes::Code::Complete);
    assert_eq!(refused.code, codes::Code::ClaimUnavailable);
    assert!(refused.retry_after_ms.is_some(), "{refused:?}");
    assert_eq!(answer.code, codes::Code::Complete);
    assert_eq!(rig.starts_of(told.payload(0)), 0);
    check::check(&rig, &[&first, &told, &ticketed]);
}

// The log takes claims in but its answers are lost. The entries read the claims back, so
// ids of the clients' own go on working, and each starts once.
#[test]
fn claim_whose_append_answer_was_lost() {
    let rig = rig::Rig::start(&rig::Plan::default());
    let told: Vec<_> = (0..5)
        .map(|at| {
            check::Told::sleeping(
                Some(rig::own_id(&format!("pedido-{at}"))),
                20,
                &[&format!("once-{at}")],
            )
        })
        .collect();

    rig.control_log(&serde_json::json!({"mode": "lose_answers"}));
    let codes: Vec<_> = told
        .iter()
        .flat_map(|one| [one.submit(&rig, 0), one.submit(&rig, 1)])
        .map(|answer| answer.expect("an answer").code)
        .collect();

    assert_eq!(codes, vec![codes::Code::Complete; 10]);
    check::check(&rig, &told.iter().collect::<Vec<_>>());
}

// The append of a claim takes effect, the log goes down before it can be read back, and the
// client is refused. The log comes back with the claim in it. The entry owns the id now and
// has said "not run", so neither entry ever starts it.
#[test]
fn claim_confirmed_too_late_never_starts() {
    let rig = rig::Rig::start(&rig::Plan::default());
    let told = check::Told::sleeping(Some(rig::own_id("tarde-1")), 20, &["never"]);

    rig.control_log(&serde_json::json!({"mode": "down_after_append"}));
    let refused = told.submit(&rig, 0).expect("an answer");
    rig.control_log(&serde_json::json!({"mode": "up"}));
    rig::wait_until("the claim is read", || {
        let answer = told.submit(&rig, 1);
        answer.is_some_and(|answer| answer.is_final)
    });
    let again = told.submit(&rig, 0).expect("an answer");

    assert_eq!(refused.code, codes::Code::ClaimUnavailable);
    assert_eq!(again.code, codes::Code::ClaimUnavailable);
    check::check(&rig, &[&told]);
}

// A submission is larger than its team's quota and is refused as not run. A second copy of
// it comes after the operators have raised the quota. The caller has been told "not run" and may have submitted anew,
// so the second copy starts nothing.
#[test]
fn refused_submission_never_starts_later() {
    let rig = rig::Rig::start(&rig::Plan {
        runners: vec!["caxias"],
        settings: "[teams.escola]\nmax_queued = 4\n".to_owned(),
        ..rig::Plan::default()
    });
    let told = check::Told::sleeping(Some(rig.ticket(0)), 20, &["a", "b", "c", "d", "e"]);
    let small = check::Told::sleeping(Some(rig.ticket(0)), 20, &["f"]);

    let refused = told.submit(&rig, 0).expect("an answer");
    rig.put_settings("30-room.toml", "[teams.escola]\nmax_queued = 100\n");
    rig.wait_until_serving(1);
    let again = told.submit(&rig, 1).expect("an answer");
    let other = small.submit(&rig, 1).expect("an answer");

    assert_eq!(refused.code, codes::Code::OverQuota);
    assert_eq!(again, refused);
    assert_eq!(other.code, codes::Code::Complete);
    check::check(&rig, &[&told, &small]);
}

// The log takes three appends a second, and twenty callers come with ids of their own at two
// entries, a moment apart. Claims that the log refuses are not made: their callers are told
// so within seconds, and nothing of theirs starts, then or later. The others start once.
#[test]
fn claims_over_the_append_limit_of_the_log() {
    let rig = rig::Rig::start(&rig::Plan {
        log: vec!["--appends-per-s", "3"],
        ..rig::Plan::default()
    });
    let sleeping = |at: usize| {
        let id = rig::own_id(&format!("pressa-{at}"));
        check::Told::sleeping(Some(id), 20, &[&format!("hasty-{at}")])
    };
    let told: Vec<_> = (0..20).map(sleeping).collect();

    let answers: Vec<_> = thread::scope(|scope| {
        let mut calls = Vec::new();
        for (at, one) in told.iter().enumerate() {
            let rig = &rig;
            calls.push(scope.spawn(move || one.submit(rig, at % 2)));
            thread::sleep(time::Duration::from_millis(30));
        }
        let join = |call: thread::ScopedJoinHandle<'_, _>| call.join().expect("a call ends");
        calls.into_iter().map(join).collect()
    });
    thread::sleep(time::Duration::from_millis(500));

    let mut refused = 0;
    for (one, answer) in told.iter().zip(answers) {
        let answer = answer.expect("an answer");
        let is_refused = answer.code == codes::Code::ClaimUnavailable;
        assert!(
            is_refused || answer.code == codes::Code::Complete,
            "{answer:?}"
        );
        assert_eq!(rig.starts_of(one.payload(0)), usize::from(!is_refused));
        refused += usize::from(is_refused);
    }
    assert!(refused > 0, "the log took all claims");
    assert!(refused < told.len(), "the log took none");
    check::check(&rig, &told.iter().collect::<Vec<_>>());
}
