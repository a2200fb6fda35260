//! A graceful stop interrupts no request in progress.

use std::net;
use std::thread;
use std::time;

use bulrushtiller::api;
use bulrushtiller::codes;

use crate::background;
use crate::check;
use crate::rig;

/// Maximum time of a graceful stop in these tests.
const STOP_LIMIT: time::Duration = time::Duration::from_secs(20);

fn sleep_ms(ms: u64) {
    thread::sleep(time::Duration::from_millis(ms));
}

/// Returns the HTTP status of a page, or `None` without a response.
fn http_status(address: net::SocketAddr, path: &str) -> Option<u16> {
    let url = format!("http://{address}{path}");
    actix_rt::System::new().block_on(async move {
        let response = awc::Client::default().get(url).send().await.ok()?;
        Some(response.status().as_u16())
    })
}

// An entry gets SIGTERM while callers have jobs at it. `/readyz` answers 503, so that the load
// balancer soon sends no more calls; until then calls are refused as not run. Accepted jobs are
// answered completely, and no connection is closed during a request.
#[test]
fn entry_stopped_under_load_interrupts_no_call() {
    let mut rig = rig::Rig::start(&rig::Plan::default());
    let entry = rig.entries[0].address();
    let callers = background::Callers::start(&[entry], 6, 10, 150);
    sleep_ms(700);

    rig.entries[0].terminate().expect("SIGTERM is sent");
    sleep_ms(200);
    let readiness = http_status(entry, "/readyz");
    sleep_ms(300);
    let answers = background::expect_answers(callers.stop());
    let exit = rig.entries[0]
        .wait_exit(STOP_LIMIT)
        .expect("the exit status is read");

    assert!(exit.expect("the process exits in time").success());
    assert_eq!(readiness, Some(503));
    let complete = answers
        .iter()
        .filter(|one| one.code == codes::Code::Complete);
    assert!(complete.count() > 0);
    let refused = |one: &&api::Answer| one.code != codes::Code::Complete;
    for answer in answers.iter().filter(refused) {
        assert_eq!(answer.code, codes::Code::Leaving, "{answer:?}");
        assert!(answer.tasks.is_empty());
    }
    assert!(answers.iter().any(|one| one.code == codes::Code::Leaving));
}

// A caller waits at one entry for a job that another entry owns. The first entry gets SIGTERM.
// It owns no submission, but it must not exit before it has forwarded the complete answer.
#[test]
fn stopping_entry_waits_for_answer_to_forwarded_call() {
    let mut rig = rig::Rig::start(&rig::Plan::default());
    let submission = api::Submission {
        submission: Some(rig.ticket(1)),
        ..rig::job(&[rig::sleep_payload(5_000, "elsewhere")])
    };
    let entry = rig.entries[0].address();
    let caller = thread::spawn(move || background::submit_once(entry, &submission));
    rig::wait_until("the task runs", || !rig.starts().is_empty());

    rig.entries[0].terminate().expect("SIGTERM is sent");
    let outcome = vec![caller.join().expect("the caller thread ends")];
    let exit = rig.entries[0]
        .wait_exit(STOP_LIMIT)
        .expect("the exit status is read");

    assert!(exit.expect("the process exits in time").success());
    assert_eq!(
        background::expect_answers(outcome)[0].code,
        codes::Code::Complete
    );
}

/// Run time of a long task: longer than the 2 s that a closing HTTP server waits for requests in
/// progress, so that the task completes only if the runner drains.
const LONG_MS: u64 = 3_000;

/// Tasks of a long job: more than the slots of two runners, so that each runner gets some.
const LONG_TASKS: usize = 24;

/// Settings that allow a queue wait of a minute, so that no caller is refused because of load.
/// The long job is 72 s of work, or 4.5 s on the 16 slots left while a runner stops; beside it
/// the default maximum wait of 5 s would lead to legitimate refusals.
const LONG_QUEUE_WAIT: &str = "[policy]\nmax_queue_wait_ms = 60000\n";

// Runners get SIGTERM one after another, as in a rollout, while each runs long tasks and callers
// submit jobs. Each runner exits by itself, and every job completes.
#[test]
fn runners_stopped_under_load_interrupt_no_task() {
    let mut rig = rig::Rig::start(&rig::Plan {
        settings: LONG_QUEUE_WAIT.to_owned(),
        ..rig::Plan::default()
    });
    let entries = background::addresses(&rig.entries);

    let mut exits = Vec::new();
    let mut answers = Vec::new();
    for (at, entry) in entries.iter().copied().enumerate() {
        let long = rig::sleep_payload(LONG_MS, &format!("long-{at}"));
        let submission = rig::job(&vec![long.clone(); LONG_TASKS]);
        let caller = thread::spawn(move || background::submit_once(entry, &submission));
        rig::wait_until("a long task runs at the runner", || {
            let starts = rig.starts();
            let mut starts = starts.iter();
            starts.any(|(worker, one)| *worker == at && one.payload == long)
        });
        let callers = background::Callers::start(&entries, 3, 10, 100);
        rig.runners[at].terminate().expect("SIGTERM is sent");
        exits.push(
            rig.runners[at]
                .wait_exit(STOP_LIMIT)
                .expect("the exit status is read"),
        );
        let long_job = caller.join().expect("the caller thread ends");
        answers.extend(background::expect_answers(vec![long_job]));
        answers.extend(background::expect_answers(callers.stop()));
    }

    assert!(exits.iter().all(|one| one.is_some_and(|one| one.success())));
    let failed: Vec<_> = answers
        .iter()
        .filter(|one| one.code != codes::Code::Complete)
        .collect();
    assert!(failed.is_empty(), "{failed:?}");
}

// The settings limit the drain to one second. An entry with several seconds of work gets
// SIGTERM. After that second the caller gets a final answer, which is not complete, and the
// entry exits.
#[test]
fn drain_deadline_comes_from_settings_in_force() {
    let settings = "[timeouts]\nrun_limit_ms = 700\npark_ms = 300\ndrain_ms = 1000\n";
    let mut rig = rig::Rig::start(&rig::Plan {
        settings: settings.to_owned(),
        ..rig::Plan::default()
    });
    let entry = rig.entries[0].address();
    let submission = rig::job(&vec![rig::sleep_payload(500, "long"); 250]);
    let caller = thread::spawn(move || background::submit_once(entry, &submission));
    rig::wait_until("some tasks run", || !rig.starts().is_empty());

    rig.entries[0].terminate().expect("SIGTERM is sent");
    let outcome = vec![caller.join().expect("the caller thread ends")];
    let exit = rig.entries[0]
        .wait_exit(STOP_LIMIT)
        .expect("the exit status is read");

    assert!(exit.expect("the process exits in time").success());
    let answer = &background::expect_answers(outcome)[0];
    assert!(answer.is_final);
    assert_ne!(answer.code, codes::Code::Complete);
    assert_eq!(answer.tasks.len(), 250);
}

// An entry with a long task gets SIGTERM twice. After the second signal it exits at once, but
// the caller still gets a final answer instead of a closed connection.
#[test]
fn second_signal_exits_at_once_with_final_answer() {
    let mut rig = rig::Rig::start(&rig::Plan::default());
    let entry = rig.entries[0].address();
    let submission = rig::job(&[rig::sleep_payload(15_000, "long")]);
    let caller = thread::spawn(move || background::submit_once(entry, &submission));
    rig::wait_until("the task runs", || !rig.starts().is_empty());

    rig.entries[0].terminate().expect("SIGTERM is sent");
    sleep_ms(300);
    rig.entries[0].terminate().expect("SIGTERM is sent again");
    let began = time::Instant::now();
    let outcome = vec![caller.join().expect("the caller thread ends")];
    let exit = rig.entries[0]
        .wait_exit(STOP_LIMIT)
        .expect("the exit status is read");
    let took = began.elapsed();

    assert!(exit.expect("the process exits in time").success());
    assert!(took < time::Duration::from_secs(8), "it took {took:?}");
    let answer = &background::expect_answers(outcome)[0];
    assert!(answer.is_final);
    assert_ne!(
        answer.code.class(),
        codes::Class::NotRun,
        "the task was running"
    );
}

// The settings limit the drain to one second. A runner gets SIGTERM while its backend server
// hangs with a task, which therefore exceeds its run limit. After that second the runner aborts
// the dispatch and exits. The answer says that the task may have run, and the task is not
// started again.
#[test]
fn runner_past_drain_deadline_reports_task_as_may_have_run() {
    let settings = "[timeouts]\nrun_limit_ms = 700\npark_ms = 300\ndrain_ms = 1000\n";
    let mut rig = rig::Rig::start(&rig::Plan {
        settings: settings.to_owned(),
        ..rig::Plan::default()
    });
    let tracked =
        check::TrackedSubmission::sleeping(Some(rig.ticket(0)), 500, &["past-the-deadline"]);
    let tracked = tracked.with_wait(0);
    tracked.submit(&rig, 0).expect("an answer");
    rig::wait_until("the task runs", || rig.starts_of(tracked.payload(0)) == 1);
    let at = rig.starts()[0].0;

    rig.workers[at].suspend().expect("the worker is suspended");
    rig.runners[at].terminate().expect("SIGTERM is sent");
    let exit = rig.runners[at]
        .wait_exit(STOP_LIMIT)
        .expect("the exit status is read");
    let answer = tracked.submit_until_final(&rig, 0);
    rig.workers[at].resume().expect("the worker is resumed");

    assert!(exit.expect("the process exits in time").success());
    assert_eq!(
        answer.tasks[0].fate,
        api::TaskOutcome::MayHaveRun,
        "{answer:?}"
    );
    check::check(&rig, &[&tracked]);
}
