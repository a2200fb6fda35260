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

/// When the entry that owns the submission is killed.
#[derive(Clone, Copy, Debug)]
enum Moment {
    /// The ticket is minted and nothing submitted.
    BeforeDispatch,
    /// Tasks run, and more of them wait.
    WhileRunning,
    /// The answer was given.
    AfterAnswer,
}

/// The least that may be remembered with tasks of up to a second.
const SHORT_MEMORY: &str = "[timeouts]\nheartbeat_ms = 100\ndead_after_ms = 1000\npark_ms = 100\n\
    run_limit_ms = 1000\nquery_after_ms = 100\nretain_ms = 2200\n";

fn rig_with(settings: &str) -> rig::Rig {
    rig::Rig::start(&rig::Plan {
        settings: settings.to_owned(),
        ..rig::Plan::default()
    })
}

/// A site whose only runner is reached through a relay.
fn relayed_rig(settings: &str) -> (rig::Rig, relays::Relay) {
    let mut rig = rig::Rig::start(&rig::Plan {
        runners: Vec::new(),
        settings: settings.to_owned(),
        ..rig::Plan::default()
    });
    let links = rig.links.clone();
    let relay = relays::runner_behind_relay(&mut rig, "runner-0", "caxias", &links);
    rig.wait_until_serving(1);
    (rig, relay)
}

// A client takes a ticket from one entry, the entry dies, and the client repeats the
// ticket through the other. It is told that it may have run: at first that the owner is
// silent, and finally that it is gone. Nothing is started by the repeats, because only
// the life that minted the ticket may start it.
#[rstest]
#[case::before_dispatch(Moment::BeforeDispatch)]
#[case::while_running(Moment::WhileRunning)]
#[case::after_answer(Moment::AfterAnswer)]
fn entry_killed_repeat_elsewhere_starts_nothing(#[case] moment: Moment) {
    let mut rig = rig::Rig::start(&rig::Plan::default());
    let marks: Vec<String> = (0..40).map(|at| format!("task-{at}")).collect();
    let marks: Vec<&str> = marks.iter().map(String::as_str).collect();
    let told = check::Told::sleeping(Some(rig.ticket(0)), 400, &marks).waiting(0);
    match moment {
        Moment::BeforeDispatch => {}
        Moment::WhileRunning => {
            told.submit(&rig, 0).expect("an answer");
            rig::wait_until("tasks run", || !rig.starts().is_empty());
        }
        Moment::AfterAnswer => {
            told.submit_until_final(&rig, 0);
        }
    }

    rig.entries[0].kill().expect("it is killed");
    let first = told.submit(&rig, 1).expect("an answer");
    let last = told.submit_until_final(&rig, 1);

    assert_eq!(
        (first.code, first.is_final),
        (codes::Code::OwnerSilent, false)
    );
    assert_eq!(last.code, codes::Code::OwnerGone);
    rig.entries.remove(0);
    check::check(&rig, &[&told]);
}

// An entry stands still with a job half done, and its client, without an answer, repeats
// the job through the other entry. Then the frozen entry goes on as if nothing had been.
// It may go on with its own job, but nothing starts twice, and the other entry, which did
// not start it, passes the true answer on.
#[test]
fn entry_frozen_repeat_elsewhere_thawed() {
    let mut rig = rig::Rig::start(&rig::Plan::default());
    let marks: Vec<String> = (0..40).map(|at| format!("task-{at}")).collect();
    let marks: Vec<&str> = marks.iter().map(String::as_str).collect();
    let told = check::Told::sleeping(Some(rig.ticket(0)), 300, &marks).waiting(0);
    told.submit(&rig, 0).expect("an answer");
    rig::wait_until("tasks run", || !rig.starts().is_empty());

    rig.entries[0].suspend().expect("it is frozen");
    let silent = told.submit(&rig, 1).expect("an answer");
    let gone = told.submit_until_final(&rig, 1);
    rig.entries[0].resume().expect("it is thawed");
    rig::wait_until("the true answer", || {
        let answer = told.submit(&rig, 1);
        answer.is_some_and(|answer| answer.is_final && answer.code != codes::Code::OwnerGone)
    });

    assert_eq!(silent.code, codes::Code::OwnerSilent);
    assert_eq!(gone.code, codes::Code::OwnerGone);
    check::check(&rig, &[&told]);
}

// An entry stands still while its task ends, and its connection to the runner breaks.
// When it is thawed, minutes later, the runner has forgotten the task. Asked about it, the
// runner promises never to start it, which must not be taken for "it was never started".
#[test]
fn entry_frozen_for_longer_than_runner_remembers() {
    let (mut rig, relay) = relayed_rig(SHORT_MEMORY);
    let told = check::Told::sleeping(Some(rig.ticket(0)), 500, &["forgotten"]).waiting(0);
    told.submit(&rig, 0).expect("an answer");
    rig::wait_until("it runs", || rig.starts_of(told.payload(0)) == 1);

    rig.entries[0].suspend().expect("it is frozen");
    relay.cut();
    rig::wait_until("the runner has forgotten", || {
        let address = rig.runners[0].address();
        metric(address, "runner_remembered") == Some(0)
    });
    relay.mend();
    rig.entries[0].resume().expect("it is thawed");
    let answer = told.submit_until_final(&rig, 0);

    assert_eq!(answer.code.class(), codes::Class::MayHaveRun);
    check::check(&rig, &[&told]);
}

fn metric(address: std::net::SocketAddr, name: &str) -> Option<u64> {
    let text = rig::get_text(address, "/metrics")?;
    let line = text
        .lines()
        .find(|line| !line.starts_with('#') && line.contains(name))?;
    line.rsplit(' ').next()?.parse().ok()
}

// A runner dies with tasks on it. The job fails: what the runner may have been running is
// said to may have run, what had not been handed out is not run, and nothing starts again.
#[test]
fn runner_killed_while_tasks_run() {
    let mut rig = rig::Rig::start(&rig::Plan {
        runners: vec!["caxias"],
        ..rig::Plan::default()
    });
    let marks: Vec<String> = (0..40).map(|at| format!("task-{at}")).collect();
    let marks: Vec<&str> = marks.iter().map(String::as_str).collect();
    let told = check::Told::sleeping(Some(rig.ticket(0)), 1_000, &marks).waiting(0);
    told.submit(&rig, 0).expect("an answer");
    rig::wait_until("the slots are full", || rig.starts().len() >= 8);

    rig.runners[0].kill().expect("it is killed");
    rig.runners.clear();
    let answer = told.submit_until_final(&rig, 0);
    rig.add_runner("runner-1", "bento", &[]);
    rig.wait_until_serving(1);

    assert_eq!(answer.code, codes::Code::RunnerLost);
    let count = |fate| answer.tasks.iter().filter(|task| task.fate == fate).count();
    assert!(count(api::TaskOutcome::MayHaveRun) >= 8, "{answer:?}");
    assert!(count(api::TaskOutcome::NotRun) >= 20, "{answer:?}");
    check::check(&rig, &[&told]);
}

// The connections between an entry and a runner go silent for good right after work was
// sent over them, while new connections work. The job still completes, and no task starts
// twice: the runner is asked on a new connection, and what it never heard of is barred.
#[rstest]
#[case::while_running(relay::Behaviour::SilentExisting, true)]
#[case::before_work_comes(relay::Behaviour::SilentExisting, false)]
#[case::answers_only(
    relay::Behaviour::Silent { direction: relay::Direction::FromTarget, new_too: false },
    true
)]
#[case::requests_only(
    relay::Behaviour::Silent { direction: relay::Direction::ToTarget, new_too: false },
    false
)]
fn connections_silent_for_good_while_new_ones_work(
    #[case] behaviour: relay::Behaviour,
    #[case] is_running: bool,
) {
    let (rig, relay) = relayed_rig("");
    let warm = check::Told::sleeping(None, 100, &["warm-0", "warm-1", "warm-2", "warm-3"]);
    let warmed = warm.submit(&rig, 0).expect("an answer");
    let told = check::Told::sleeping(Some(rig.ticket(0)), 300, &["a", "b", "c", "d"]).waiting(0);

    if is_running {
        told.submit(&rig, 0).expect("an answer");
        rig::wait_until("it runs", || rig.starts().len() >= 6);
    }
    relay.set(&behaviour);
    let answer = told.submit_until_final(&rig, 0);

    assert_eq!(warmed.code, codes::Code::Complete);
    assert_eq!(answer.code, codes::Code::Complete);
    check::check(&rig, &[&warm, &told]);
}

// A dispatch is held up in the network for seconds. Its runner, asked on a new connection,
// has never heard of it and promises never to start it, and the task is handed out again.
// Then the first dispatch arrives after all. It is refused.
#[test]
fn dispatch_arrives_after_the_task_was_handed_out_again() {
    let (rig, relay) = relayed_rig("");
    let late = time::Duration::from_secs(5);
    let told = check::Told::sleeping(Some(rig.ticket(0)), 50, &["once"]).waiting(0);

    relay.delay(5_000);
    told.submit(&rig, 0).expect("an answer");
    let since = time::Instant::now();
    thread::sleep(time::Duration::from_millis(500));
    relay.mend();
    let answer = told.submit_until_final(&rig, 0);
    let answered_after = since.elapsed();
    rig::wait_until("the first dispatch has arrived", || {
        metric(rig.runners[0].address(), "runner_dispatches").is_some_and(|count| count >= 2)
    });

    assert_eq!(answer.code, codes::Code::Complete);
    assert!(
        answered_after < late,
        "only the held-up dispatch was answered"
    );
    check::check(&rig, &[&told]);
}

// A client that is in a hurry sends the same submission to two entries at once, over and
// over, and hears the same answer twice while everything has run once. With an id of its
// own, the two entries find out from the log whose claim came first.
#[rstest]
#[case::ticket(true)]
#[case::own_id(false)]
fn same_submission_to_two_entries_at_once(#[case] has_ticket: bool) {
    let rig = rig::Rig::start(&rig::Plan::default());
    let told: Vec<_> = (0..20)
        .map(|at| {
            let id = if has_ticket {
                Some(rig.ticket(at % 2))
            } else {
                Some(rig::own_id(&format!("matricula:{at}")))
            };
            check::Told::sleeping(id, 20, &[&format!("a-{at}"), &format!("b-{at}")])
        })
        .collect();

    let copies = (0..4).flat_map(|copy| told.iter().map(move |one| (one, copy % 2)));
    let answers = check::submit_at_once(&rig, copies);

    for answer in answers {
        assert_eq!(answer.expect("an answer").code, codes::Code::Complete);
    }
    check::check(&rig, &told.iter().collect::<Vec<_>>());
}

// A client's first call is held up in the network. It repeats the submission, which is
// answered, and only then does the first call arrive at its entry. It finds the answer.
#[rstest]
#[case::ticket(true)]
#[case::own_id(false)]
fn first_attempt_arrives_after_second(#[case] has_ticket: bool) {
    let rig = rig::Rig::start(&rig::Plan::default());
    let relay = relays::Relay::start(&rig, rig.entries[0].address());
    relay.delay(700);
    let id = if has_ticket {
        Some(rig.ticket(0))
    } else {
        Some(rig::own_id("certificado:17"))
    };
    let told = check::Told::sleeping(id, 50, &["once"]);
    let late_way = relay.address();

    let (first, second) = thread::scope(|scope| {
        let first = scope.spawn(|| told.submit_at(late_way));
        thread::sleep(time::Duration::from_millis(50));
        let second = told.submit(&rig, 1);
        (first.join().expect("a call"), second)
    });

    assert_eq!(second.expect("an answer").code, codes::Code::Complete);
    assert_eq!(first.expect("an answer").code, codes::Code::Complete);
    check::check(&rig, &[&told]);
}

// An entry was started with wrong settings and knows no other entry. A client's ticket and
// its own id, first sent elsewhere, come to it. It can't pass them on, so it starts nothing
// and says that the owner is silent.
#[rstest]
#[case::ticket(true)]
#[case::own_id(false)]
fn entries_disagree_on_membership(#[case] has_ticket: bool) {
    let mut rig = rig::Rig::start(&rig::Plan::default());
    rig.links.entries.clear();
    rig.add_entry("entry-alone", "vacaria");
    rig.add_runner("runner-alone", "vacaria", &[]);
    let id = if has_ticket {
        Some(rig.ticket(0))
    } else {
        Some(rig::own_id("licencia:3"))
    };
    let told = check::Told::sleeping(id, 50, &["once"]);

    let answer = told.submit(&rig, 0).expect("an answer");
    let elsewhere = told.submit(&rig, 2).expect("an answer");

    assert_eq!(answer.code, codes::Code::Complete);
    assert_eq!(
        (elsewhere.code, elsewhere.is_final),
        (codes::Code::OwnerSilent, false)
    );
    check::check(&rig, &[&told]);
}

// An entry that owns a client's own id dies, and a new entry takes its place. The client
// repeats the id through the new one, which reads the claims that the log retains before
// anything starts, and so does not start it again.
#[test]
fn own_id_repeated_at_entry_that_started_later() {
    let mut rig = rig_with("");
    let told = check::Told::sleeping(Some(rig::own_id("boleta:9")), 50, &["once"]);
    let answer = told.submit(&rig, 0).expect("an answer");

    rig.entries[0].kill().expect("it is killed");
    rig.entries.remove(0);
    rig.links.entries.remove(0);
    rig.add_entry("entry-later", "caxias");
    rig::wait_until("it has read the settings", || {
        rig::status(rig.entries[1].address()).revision.is_some()
    });
    let repeated = told.submit_until_not_unavailable(&rig, 1);

    assert_eq!(answer.code, codes::Code::Complete);
    assert_eq!(
        repeated.code.class(),
        codes::Class::MayHaveRun,
        "{repeated:?}"
    );
    check::check(&rig, &[&told]);
}
