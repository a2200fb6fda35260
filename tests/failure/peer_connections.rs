//! Connections between the processes: how many, and who waits for whom.

use std::sync::mpsc;
use std::thread;

use bulrushtiller::api;
use bulrushtiller::codes;

use crate::relays;
use crate::rig;

/// Nobody is taken for dead, and nothing is asked about, while the test runs.
const PATIENT: &str = "[timeouts]\ndead_after_ms = 25000\nquery_after_ms = 20000\n\
    fresh_ms = 10000\nretain_ms = 120000\n[policy]\nmax_queue_wait_ms = 600000\n";

/// Jobs at once.
const JOBS: usize = 100;

/// Most of them that can have gone to one runner: 8 run there, and one waits.
const HELD: usize = 9;

/// A backend server's machine freezes in the middle of a busy minute: its connections
/// stay open and nothing comes back. Callers whose tasks went elsewhere must not notice;
/// a bound on connections over all runners together would have them wait for it.
#[test]
fn frozen_runner_holds_up_only_what_it_has() {
    let plan = rig::Plan {
        settings: PATIENT.to_owned(),
        ..rig::Plan::default()
    };
    let mut rig = rig::Rig::start(&plan);
    let job = rig::job(&[rig::sleep(50, "x")]);
    let address = rig.entries[0].address();
    let (tx, rx) = mpsc::channel();

    rig.runners[0].suspend().expect("a signal");
    for _ in 0..JOBS {
        let (tx, job) = (tx.clone(), job.clone());
        thread::spawn(move || {
            let answer: Option<api::Answer> = rig::post(address, "/v1/jobs", rig::TOKEN, &job);
            drop(tx.send(answer.expect("an answer")));
        });
    }
    let next = || rx.recv_timeout(rig::LIMIT / 3).expect("an answer in time");
    let mut answers: Vec<_> = (0..JOBS - HELD).map(|_| next()).collect();
    rig.runners[0].resume().expect("a signal");
    answers.extend((0..HELD).map(|_| next()));

    let codes: Vec<_> = answers.iter().map(|answer| answer.code).collect();
    assert_eq!(codes, vec![codes::Code::Complete; JOBS]);
}

/// A connection for each task would cost a round trip, and a port that stays in
/// `TIME_WAIT` for a minute; at some hundreds of tasks a second an entry would run out
/// of ports. Kept connections carry one task after another.
#[test]
fn connections_are_kept_from_task_to_task() {
    let plan = rig::Plan {
        runners: Vec::new(),
        ..rig::Plan::default()
    };
    let mut rig = rig::Rig::start(&plan);
    let links = rig.links.clone();
    let relay = relays::runner_behind_relay(&mut rig, "runner-0", "caxias", &links);
    rig.wait_until_serving(1);
    let before = relay.accepted();

    for at in 0..100 {
        let job = rig::job(&[rig::sleep(1, &format!("{at}"))]);
        let answer = rig.submit(0, &job).expect("an answer");
        assert_eq!(answer.code, codes::Code::Complete);
    }

    let made = relay.accepted() - before;
    assert!(made <= 20, "{made} connections for 100 tasks");
}
