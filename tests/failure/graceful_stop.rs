//! A planned stop cuts no request in progress (point 8).

use std::net;
use std::thread;
use std::time;

use bulrushtiller::api;
use bulrushtiller::codes;

use crate::background;
use crate::check;
use crate::rig;

/// Longest time for a graceful stop of what these tests run.
const STOP: time::Duration = time::Duration::from_secs(20);

fn sleep_ms(ms: u64) {
    thread::sleep(time::Duration::from_millis(ms));
}

/// HTTP status of a page; none: no answer.
fn http_status(address: net::SocketAddr, path: &str) -> Option<u16> {
    let url = format!("http://{address}{path}");
    actix_rt::System::new().block_on(async move {
        let response = awc::Client::default().get(url).send().await.ok()?;
        Some(response.status().as_u16())
    })
}

// An entry is told to stop while callers have jobs on it. `/readyz` says 503, and the
// balancer sends nothing more a moment later; until then calls are refused as not
// run. Jobs that it took come back whole: no connection breaks off under a request.
#[test]
fn entry_stopped_under_load_cuts_nothing() {
    let mut rig = rig::Rig::start(&rig::Plan::default());
    let entry = rig.entries[0].address();
    let callers = background::Callers::start(&[entry], 6, 10, 150);
    sleep_ms(700);

    rig.entries[0].terminate().expect("told to stop");
    sleep_ms(200);
    let readiness = http_status(entry, "/readyz");
    sleep_ms(300);
    let answers = background::answers(callers.stop());
    let exit = rig.entries[0].wait_exit(STOP).expect("waited for");

    assert!(exit.expect("it ends").success());
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

// A caller waits at one entry for a job that another owns. The one it waits at is
// told to stop; it owns nothing and could end at once. It stays until the answer has
// come, and the caller gets it whole.
#[test]
fn entry_that_passed_a_call_on_waits_for_its_answer() {
    let mut rig = rig::Rig::start(&rig::Plan::default());
    let submission = api::Submission {
        submission: Some(rig.ticket(1)),
        ..rig::job(&[rig::sleep(5_000, "elsewhere")])
    };
    let entry = rig.entries[0].address();
    let caller = thread::spawn(move || background::call(entry, &submission));
    rig::wait_until("the task runs", || !rig.starts().is_empty());

    rig.entries[0].terminate().expect("told to stop");
    let outcome = vec![caller.join().expect("the caller goes on")];
    let exit = rig.entries[0].wait_exit(STOP).expect("waited for");

    assert!(exit.expect("it ends").success());
    assert_eq!(background::answers(outcome)[0].code, codes::Code::Complete);
}

/// Longer than a server that closes waits by itself for requests in progress (2 s), so
/// that only a runner that drains brings it to an end.
const LONG_MS: u64 = 3_000;

/// Tasks of a long job: more than the slots of any two runners, so that each gets some.
const LONG_TASKS: usize = 24;

/// The long job is 72 s of work, 4.5 s on the 16 slots that are left while a runner stops.
/// Beside that a caller may truly be refused where no wait over 5 s is granted, as by
/// default; a minute leaves being cut as the only way to fail.
const PATIENT: &str = "[policy]\nmax_queue_wait_ms = 60000\n";

// Runners are told to stop one after another, as in a rollout, with long tasks at each and
// while callers come and go. Each ends by itself, and every job is answered complete.
#[test]
fn runners_stopped_under_load_cut_nothing() {
    let mut rig = rig::Rig::start(&rig::Plan {
        settings: PATIENT.to_owned(),
        ..rig::Plan::default()
    });
    let entries = background::addresses(&rig.entries);

    let mut exits = Vec::new();
    let mut answers = Vec::new();
    for (at, entry) in entries.iter().copied().enumerate() {
        let long = rig::sleep(LONG_MS, &format!("long-{at}"));
        let submission = rig::job(&vec![long.clone(); LONG_TASKS]);
        let caller = thread::spawn(move || background::call(entry, &submission));
        rig::wait_until("a long task runs there", || {
            let starts = rig.starts();
            let mut starts = starts.iter();
            starts.any(|(worker, one)| *worker == at && one.payload == long)
        });
        let callers = background::Callers::start(&entries, 3, 10, 100);
        rig.runners[at].terminate().expect("told to stop");
        exits.push(rig.runners[at].wait_exit(STOP).expect("waited for"));
        let long_job = caller.join().expect("the caller goes on");
        answers.extend(background::answers(vec![long_job]));
        answers.extend(background::answers(callers.stop()));
    }

    assert!(exits.iter().all(|one| one.is_some_and(|one| one.success())));
    let failed: Vec<_> = answers
        .iter()
        .filter(|one| one.code != codes::Code::Complete)
        .collect();
    assert!(failed.is_empty(), "{failed:?}");
}

// Operators allow a stop one second. An entry with several seconds of work is told to
// stop. When the second is over the caller gets its last answer, which says that some
// of it did not run, and the entry ends.
#[test]
fn stop_takes_its_deadline_from_the_settings_in_force() {
    let settings = "[timeouts]\nrun_limit_ms = 700\npark_ms = 300\ndrain_ms = 1000\n";
    let mut rig = rig::Rig::start(&rig::Plan {
        settings: settings.to_owned(),
        ..rig::Plan::default()
    });
    let entry = rig.entries[0].address();
    let submission = rig::job(&vec![rig::sleep(500, "long"); 250]);
    let caller = thread::spawn(move || background::call(entry, &submission));
    rig::wait_until("tasks run", || !rig.starts().is_empty());

    rig.entries[0].terminate().expect("told to stop");
    let outcome = vec![caller.join().expect("the caller goes on")];
    let exit = rig.entries[0].wait_exit(STOP).expect("waited for");

    assert!(exit.expect("it ends").success());
    let answer = &background::answers(outcome)[0];
    assert!(answer.is_final);
    assert_ne!(answer.code, codes::Code::Complete);
    assert_eq!(answer.tasks.len(), 250);
}

// An entry is told to stop and has far to go; the operator tells it again. It ends at
// once, and the caller still gets its last answer instead of a broken connection.
#[test]
fn second_signal_ends_at_once_with_an_answer() {
    let mut rig = rig::Rig::start(&rig::Plan::default());
    let entry = rig.entries[0].address();
    let submission = rig::job(&[rig::sleep(15_000, "long")]);
    let caller = thread::spawn(move || background::call(entry, &submission));
    rig::wait_until("the task runs", || !rig.starts().is_empty());

    rig.entries[0].terminate().expect("told to stop");
    sleep_ms(300);
    rig.entries[0].terminate().expect("told again");
    let began = time::Instant::now();
    let outcome = vec![caller.join().expect("the caller goes on")];
    let exit = rig.entries[0].wait_exit(STOP).expect("waited for");
    let took = began.elapsed();

    assert!(exit.expect("it ends").success());
    assert!(took < time::Duration::from_secs(8), "it took {took:?}");
    let answer = &background::answers(outcome)[0];
    assert!(answer.is_final);
    assert_ne!(answer.code.class(), codes::Class::NotRun, "it was running");
}

// Operators allow a stop one second. A runner is told to stop while its backend server hangs
// with a task, which so outlives its own limit. When the second is over the runner ends and
// breaks the dispatch off. The caller is told that the task may have run, which is true, and
// it is not started again.
#[test]
fn runner_past_its_deadline_leaves_what_may_have_run() {
    let settings = "[timeouts]\nrun_limit_ms = 700\npark_ms = 300\ndrain_ms = 1000\n";
    let mut rig = rig::Rig::start(&rig::Plan {
        settings: settings.to_owned(),
        ..rig::Plan::default()
    });
    let told = check::Told::sleeping(Some(rig.ticket(0)), 500, &["past-the-deadline"]);
    let told = told.waiting(0);
    told.submit(&rig, 0).expect("an answer");
    rig::wait_until("the task runs", || rig.starts_of(told.payload(0)) == 1);
    let at = rig.starts()[0].0;

    rig.workers[at].suspend().expect("it hangs");
    rig.runners[at].terminate().expect("told to stop");
    let exit = rig.runners[at].wait_exit(STOP).expect("waited for");
    let answer = told.submit_until_final(&rig, 0);
    rig.workers[at].resume().expect("it goes on");

    assert!(exit.expect("it ends").success());
    assert_eq!(
        answer.tasks[0].fate,
        api::TaskOutcome::MayHaveRun,
        "{answer:?}"
    );
    check::check(&rig, &[&told]);
}
