//! Every task of a submission starts at most once.

use std::thread;
use std::time;

use bulrushtiller::api;
use bulrushtiller::codes;
use bulrushtiller_standins::relay;
use rstest::rstest;

use crate::check;
use crate::relays;
use crate::rig;

/// Point at which the entry that owns the submission is killed.
#[derive(Clone, Copy, Debug)]
enum KillTime {
    /// The ticket is issued and nothing has been submitted.
    BeforeDispatch,
    /// Some tasks run, others are queued.
    WhileRunning,
    /// The final answer has been sent.
    AfterAnswer,
}

/// Settings with the shortest retention allowed for tasks of up to a second.
const SHORT_RETENTION: &str = "[timeouts]\nheartbeat_ms = 100\ndead_after_ms = 1000\npark_ms = 100\n\
    run_limit_ms = 1000\nquery_after_ms = 100\nretain_ms = 2200\n";

fn rig_with_settings(settings: &str) -> rig::Rig {
    rig::Rig::start(&rig::Plan {
        settings: settings.to_owned(),
        ..rig::Plan::default()
    })
}

/// Starts a site whose only runner is reached through a relay.
fn relayed_rig(settings: &str) -> (rig::Rig, relays::Relay) {
    let mut rig = rig::Rig::start(&rig::Plan {
        runners: Vec::new(),
        settings: settings.to_owned(),
        ..rig::Plan::default()
    });
    let endpoints = rig.endpoints.clone();
    let relay = relays::runner_behind_relay(&mut rig, "runner-0", "caxias", &endpoints);
    rig.wait_until_serving(1);
    (rig, relay)
}

// A client gets a ticket from one entry, the entry dies, and the client repeats the submission
// through the other entry. The answers say that it may have run: at first that the owner is
// silent, and finally that the owner is gone. The repeats start nothing, because only the
// incarnation that issued the ticket may start the submission.
#[rstest]
#[case::before_dispatch(KillTime::BeforeDispatch)]
#[case::while_running(KillTime::WhileRunning)]
#[case::after_answer(KillTime::AfterAnswer)]
fn repeat_at_other_entry_after_owner_is_killed_starts_nothing(#[case] kill_time: KillTime) {
    let mut rig = rig::Rig::start(&rig::Plan::default());
    let labels: Vec<String> = (0..40).map(|at| format!("task-{at}")).collect();
    let labels: Vec<&str> = labels.iter().map(String::as_str).collect();
    let tracked =
        check::TrackedSubmission::sleeping(Some(rig.ticket(0)), 400, &labels).with_wait(0);
    match kill_time {
        KillTime::BeforeDispatch => {}
        KillTime::WhileRunning => {
            tracked.submit(&rig, 0).expect("an answer");
            rig::wait_until("some tasks run", || !rig.starts().is_empty());
        }
        KillTime::AfterAnswer => {
            tracked.submit_until_final(&rig, 0);
        }
    }

    rig.entries[0].kill().expect("SIGKILL is sent");
    let first = tracked.submit(&rig, 1).expect("an answer");
    let last = tracked.submit_until_final(&rig, 1);

    assert_eq!(
        (first.code, first.is_final),
        (codes::Code::OwnerSilent, false)
    );
    assert_eq!(last.code, codes::Code::OwnerGone);
    rig.entries.remove(0);
    check::check(&rig, &[&tracked]);
}

// An entry is suspended with a job half done, and its client, which got no answer, repeats the
// job through the other entry. Then the suspended entry resumes and may complete the job.
// Nothing starts twice, and the other entry, which did not start the job, returns the final
// answer of its owner.
#[test]
fn repeat_while_owner_is_suspended_starts_nothing_twice() {
    let mut rig = rig::Rig::start(&rig::Plan::default());
    let labels: Vec<String> = (0..40).map(|at| format!("task-{at}")).collect();
    let labels: Vec<&str> = labels.iter().map(String::as_str).collect();
    let tracked =
        check::TrackedSubmission::sleeping(Some(rig.ticket(0)), 300, &labels).with_wait(0);
    tracked.submit(&rig, 0).expect("an answer");
    rig::wait_until("some tasks run", || !rig.starts().is_empty());

    rig.entries[0].suspend().expect("the entry is suspended");
    let silent = tracked.submit(&rig, 1).expect("an answer");
    let gone = tracked.submit_until_final(&rig, 1);
    rig.entries[0].resume().expect("the entry is resumed");
    rig::wait_until("the owner returns the final answer", || {
        let answer = tracked.submit(&rig, 1);
        answer.is_some_and(|answer| answer.is_final && answer.code != codes::Code::OwnerGone)
    });

    assert_eq!(silent.code, codes::Code::OwnerSilent);
    assert_eq!(gone.code, codes::Code::OwnerGone);
    check::check(&rig, &[&tracked]);
}

// An entry is suspended while its task ends, and its connection to the runner breaks. When the
// entry resumes, the runner no longer retains the task. In reply to a fence the runner promises
// never to start the task, which the entry must not take for "never started".
#[test]
fn fence_after_runner_retention_is_not_taken_for_not_started() {
    let (mut rig, relay) = relayed_rig(SHORT_RETENTION);
    let tracked =
        check::TrackedSubmission::sleeping(Some(rig.ticket(0)), 500, &["forgotten"]).with_wait(0);
    tracked.submit(&rig, 0).expect("an answer");
    rig::wait_until("the task runs", || rig.starts_of(tracked.payload(0)) == 1);

    rig.entries[0].suspend().expect("the entry is suspended");
    relay.disconnect();
    rig::wait_until("the runner no longer retains the task", || {
        let address = rig.runners[0].address();
        metric(address, "runner_remembered") == Some(0)
    });
    relay.restore();
    rig.entries[0].resume().expect("the entry is resumed");
    let answer = tracked.submit_until_final(&rig, 0);

    assert_eq!(answer.code.class(), codes::Class::MayHaveRun);
    check::check(&rig, &[&tracked]);
}

fn metric(address: std::net::SocketAddr, name: &str) -> Option<u64> {
    let text = rig::get_text(address, "/metrics")?;
    let line = text
        .lines()
        .find(|line| !line.starts_with('#') && line.contains(name))?;
    line.rsplit(' ').next()?.parse().ok()
}

// A runner dies while it runs tasks. The job fails: tasks that the runner may have run are
// reported as "may have run", tasks that had not been dispatched as "not run", and no task
// starts again.
#[test]
fn tasks_of_killed_runner_are_not_started_again() {
    let mut rig = rig::Rig::start(&rig::Plan {
        runners: vec!["caxias"],
        ..rig::Plan::default()
    });
    let labels: Vec<String> = (0..40).map(|at| format!("task-{at}")).collect();
    let labels: Vec<&str> = labels.iter().map(String::as_str).collect();
    let tracked =
        check::TrackedSubmission::sleeping(Some(rig.ticket(0)), 1_000, &labels).with_wait(0);
    tracked.submit(&rig, 0).expect("an answer");
    rig::wait_until("the slots are full", || rig.starts().len() >= 8);

    rig.runners[0].kill().expect("SIGKILL is sent");
    rig.runners.clear();
    let answer = tracked.submit_until_final(&rig, 0);
    rig.add_runner("runner-1", "bento", &[]);
    rig.wait_until_serving(1);

    assert_eq!(answer.code, codes::Code::RunnerLost);
    let count = |outcome| {
        answer
            .tasks
            .iter()
            .filter(|task| task.fate == outcome)
            .count()
    };
    assert!(count(api::TaskOutcome::MayHaveRun) >= 8, "{answer:?}");
    assert!(count(api::TaskOutcome::NotRun) >= 20, "{answer:?}");
    check::check(&rig, &[&tracked]);
}

// The connections between an entry and a runner fall silent permanently just before or after
// tasks are dispatched over them, while new connections work. The job still completes, and no
// task starts twice: the entry queries the runner on a new connection, and the runner bars
// attempts that it has not received.
#[rstest]
#[case::while_running(relay::Behaviour::SilentExisting, true)]
#[case::before_submission(relay::Behaviour::SilentExisting, false)]
#[case::answers_only(
    relay::Behaviour::Silent { direction: relay::Direction::FromTarget, new_too: false },
    true
)]
#[case::requests_only(
    relay::Behaviour::Silent { direction: relay::Direction::ToTarget, new_too: false },
    false
)]
fn job_completes_when_existing_connections_fall_silent(
    #[case] behaviour: relay::Behaviour,
    #[case] is_running: bool,
) {
    let (rig, relay) = relayed_rig("");
    let warm =
        check::TrackedSubmission::sleeping(None, 100, &["warm-0", "warm-1", "warm-2", "warm-3"]);
    let warmed = warm.submit(&rig, 0).expect("an answer");
    let tracked =
        check::TrackedSubmission::sleeping(Some(rig.ticket(0)), 300, &["a", "b", "c", "d"])
            .with_wait(0);

    if is_running {
        tracked.submit(&rig, 0).expect("an answer");
        rig::wait_until("at least two tasks run", || rig.starts().len() >= 6);
    }
    relay.set_behaviour(&behaviour);
    let answer = tracked.submit_until_final(&rig, 0);

    assert_eq!(warmed.code, codes::Code::Complete);
    assert_eq!(answer.code, codes::Code::Complete);
    check::check(&rig, &[&warm, &tracked]);
}

// The network delays a dispatch by seconds. The runner, queried on a new connection, has not
// received it and promises never to start it, so the task is dispatched again. When the first
// dispatch arrives, it is refused.
#[test]
fn delayed_dispatch_is_refused_after_task_is_dispatched_again() {
    let (rig, relay) = relayed_rig("");
    let late = time::Duration::from_secs(5);
    let tracked =
        check::TrackedSubmission::sleeping(Some(rig.ticket(0)), 50, &["once"]).with_wait(0);

    relay.delay(5_000);
    tracked.submit(&rig, 0).expect("an answer");
    let since = time::Instant::now();
    thread::sleep(time::Duration::from_millis(500));
    relay.restore();
    let answer = tracked.submit_until_final(&rig, 0);
    let answered_after = since.elapsed();
    rig::wait_until("the first dispatch has arrived", || {
        metric(rig.runners[0].address(), "runner_dispatches").is_some_and(|count| count >= 2)
    });

    assert_eq!(answer.code, codes::Code::Complete);
    assert!(
        answered_after < late,
        "the answer came from the delayed dispatch"
    );
    check::check(&rig, &[&tracked]);
}

// A client sends the same submission to two entries at once, several times. All calls get the
// complete answer, and each task runs once. With the client's own id, the entries learn from the
// log whose claim came first.
#[rstest]
#[case::ticket(true)]
#[case::own_id(false)]
fn same_submission_to_two_entries_at_once_runs_once(#[case] has_ticket: bool) {
    let rig = rig::Rig::start(&rig::Plan::default());
    let tracked: Vec<_> = (0..20)
        .map(|at| {
            let id = if has_ticket {
                Some(rig.ticket(at % 2))
            } else {
                Some(rig::own_id(&format!("matricula:{at}")))
            };
            check::TrackedSubmission::sleeping(id, 20, &[&format!("a-{at}"), &format!("b-{at}")])
        })
        .collect();

    let copies = (0..4).flat_map(|copy| tracked.iter().map(move |one| (one, copy % 2)));
    let answers = check::submit_concurrently(&rig, copies);

    for answer in answers {
        assert_eq!(answer.expect("an answer").code, codes::Code::Complete);
    }
    check::check(&rig, &tracked.iter().collect::<Vec<_>>());
}

// The network delays a client's first call. The client repeats the submission and gets the
// answer before the first call arrives at its entry. The first call gets that answer too.
#[rstest]
#[case::ticket(true)]
#[case::own_id(false)]
fn delayed_first_call_gets_answer_of_repeat(#[case] has_ticket: bool) {
    let rig = rig::Rig::start(&rig::Plan::default());
    let relay = relays::Relay::start(&rig, rig.entries[0].address());
    relay.delay(700);
    let id = if has_ticket {
        Some(rig.ticket(0))
    } else {
        Some(rig::own_id("certificado:17"))
    };
    let tracked = check::TrackedSubmission::sleeping(id, 50, &["once"]);
    let delayed_address = relay.address();

    let (first, second) = thread::scope(|scope| {
        let first = scope.spawn(|| tracked.submit_at(delayed_address));
        thread::sleep(time::Duration::from_millis(50));
        let second = tracked.submit(&rig, 1);
        (first.join().expect("a call"), second)
    });

    assert_eq!(second.expect("an answer").code, codes::Code::Complete);
    assert_eq!(first.expect("an answer").code, codes::Code::Complete);
    check::check(&rig, &[&tracked]);
}

// An entry was started with a wrong configuration and knows no other entry. A submission that
// ran at another entry, under a ticket or the client's own id, is repeated at it. It can't
// forward the submission, so it starts nothing and answers that the owner is silent.
#[rstest]
#[case::ticket(true)]
#[case::own_id(false)]
fn entry_without_peers_does_not_start_foreign_submission(#[case] has_ticket: bool) {
    let mut rig = rig::Rig::start(&rig::Plan::default());
    rig.endpoints.entries.clear();
    rig.add_entry("entry-alone", "vacaria");
    rig.add_runner("runner-alone", "vacaria", &[]);
    let id = if has_ticket {
        Some(rig.ticket(0))
    } else {
        Some(rig::own_id("licencia:3"))
    };
    let tracked = check::TrackedSubmission::sleeping(id, 50, &["once"]);

    let answer = tracked.submit(&rig, 0).expect("an answer");
    let elsewhere = tracked.submit(&rig, 2).expect("an answer");

    assert_eq!(answer.code, codes::Code::Complete);
    assert_eq!(
        (elsewhere.code, elsewhere.is_final),
        (codes::Code::OwnerSilent, false)
    );
    check::check(&rig, &[&tracked]);
}

// The entry that owns a client's own id dies and is replaced by a new entry. The client repeats
// the submission through the new entry. That entry reads the claims retained by the log before
// it starts anything, and so does not start the submission again.
#[test]
fn own_id_repeated_at_replacement_entry_is_not_restarted() {
    let mut rig = rig_with_settings("");
    let tracked = check::TrackedSubmission::sleeping(Some(rig::own_id("boleta:9")), 50, &["once"]);
    let answer = tracked.submit(&rig, 0).expect("an answer");

    rig.entries[0].kill().expect("SIGKILL is sent");
    rig.entries.remove(0);
    rig.endpoints.entries.remove(0);
    rig.add_entry("entry-later", "caxias");
    rig::wait_until("the new entry has the settings", || {
        rig::status(rig.entries[1].address()).revision.is_some()
    });
    let repeated = tracked.submit_until_claimed(&rig, 1);

    assert_eq!(answer.code, codes::Code::Complete);
    assert_eq!(
        repeated.code.class(),
        codes::Class::MayHaveRun,
        "{repeated:?}"
    );
    check::check(&rig, &[&tracked]);
}
