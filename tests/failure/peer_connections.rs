//! Connections between the processes: their number, and isolation between runners.

use std::sync::mpsc;
use std::thread;

use bulrushtiller::api;
use bulrushtiller::codes;

use crate::relays;
use crate::rig;

/// Time-outs so long that no process is declared dead and no attempt is queried during the test.
const LONG_TIMEOUTS: &str = "[timeouts]\ndead_after_ms = 25000\nquery_after_ms = 20000\n\
    fresh_ms = 10000\nretain_ms = 120000\n[policy]\nmax_queue_wait_ms = 600000\n";

/// Number of concurrent jobs.
const JOBS: usize = 100;

/// Maximum number of jobs at one runner: 8 run, and one waits.
const MAX_HELD: usize = 9;

/// Guards against one suspended runner that delays the tasks of others. Its connections stay
/// open without replies, and would use up a connection limit shared by all runners.
#[test]
fn suspended_runner_delays_only_its_own_tasks() {
    let plan = rig::Plan {
        settings: LONG_TIMEOUTS.to_owned(),
        ..rig::Plan::default()
    };
    let mut rig = rig::Rig::start(&plan);
    let job = rig::job(&[rig::sleep_payload(50, "x")]);
    let address = rig.entries[0].address();
    let (tx, rx) = mpsc::channel();

    rig.runners[0].suspend().expect("the runner is suspended");
    for _ in 0..JOBS {
        let (tx, job) = (tx.clone(), job.clone());
        thread::spawn(move || {
            let answer: Option<api::Answer> = rig::post(address, "/v1/jobs", rig::TOKEN, &job);
            drop(tx.send(answer.expect("an answer")));
        });
    }
    let next = || {
        rx.recv_timeout(rig::WAIT_LIMIT / 3)
            .expect("an answer in time")
    };
    let mut answers: Vec<_> = (0..JOBS - MAX_HELD).map(|_| next()).collect();
    rig.runners[0].resume().expect("the runner is resumed");
    answers.extend((0..MAX_HELD).map(|_| next()));

    let codes: Vec<_> = answers.iter().map(|answer| answer.code).collect();
    assert_eq!(codes, vec![codes::Code::Complete; JOBS]);
}

/// Guards against a new connection for each task. Each would cost a round trip and a port that
/// stays in `TIME_WAIT` for a minute; at some hundreds of tasks a second an entry would run out
/// of ports.
#[test]
fn connections_are_reused_across_tasks() {
    let plan = rig::Plan {
        runners: Vec::new(),
        ..rig::Plan::default()
    };
    let mut rig = rig::Rig::start(&plan);
    let endpoints = rig.endpoints.clone();
    let relay = relays::runner_behind_relay(&mut rig, "runner-0", "caxias", &endpoints);
    rig.wait_until_serving(1);
    let before = relay.accepted();

    for at in 0..100 {
        let job = rig::job(&[rig::sleep_payload(1, &format!("{at}"))]);
        let answer = rig.submit(0, &job).expect("an answer");
        assert_eq!(answer.code, codes::Code::Complete);
    }

    let opened = relay.accepted() - before;
    assert!(opened <= 20, "{opened} connections for 100 tasks");
}
