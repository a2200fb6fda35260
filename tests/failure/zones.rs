//! No task starts in an availability zone more than a few seconds after the zone was taken out
//! of service.

use std::thread;
use std::time;

use bulrushtiller::codes;
use bulrushtiller_standins::site;

use crate::background;
use crate::relays;
use crate::rig;

/// `timeouts.fresh_ms` of these tests.
const FRESH_MS: u64 = 1_500;

/// Maximum time until no task starts in a zone that is taken out: the maximum age of the
/// evidence of freshness, doubled to allow for a heartbeat, a fetch and a busy machine.
const BOUND_MS: u64 = 2 * FRESH_MS;

/// `timeouts.dead_after_ms` of these tests.
const DEAD_AFTER_MS: u64 = 2_000;

/// Maximum time from the last check before a start to its entry in the worker's journal.
const MAX_START_MS: u64 = 500;

const SETTINGS: &str = "\
[timeouts]
heartbeat_ms = 200
dead_after_ms = 2000
fresh_ms = 1500
";

const NO_END: u64 = u64::MAX;

fn plan() -> rig::Plan {
    rig::Plan {
        settings: SETTINGS.to_owned(),
        ..rig::Plan::default()
    }
}

fn sleep_ms(ms: u64) {
    thread::sleep(time::Duration::from_millis(ms));
}

/// Indices of the workers in zone caxias.
const CAXIAS: [usize; 2] = [0, 1];
const BENTO: [usize; 1] = [2];

// An operator takes caxias out of service while the log answers each call 700 ms late. Callers
// continue to submit, and tasks keep starting in bento. After the bound no task starts in
// caxias.
#[test]
fn zone_out_takes_effect_with_slow_log() {
    let rig = rig::Rig::start(&plan());
    let revisions = background::RevisionMonitor::watch(background::daemons(&rig));
    let entries = background::addresses(&rig.entries);
    let callers = background::Callers::start(&entries, 2, 4, 30);

    rig.control_log(&serde_json::json!({"mode": "slow", "slow_ms": 700}));
    rig.set_zone_out("caxias", true);
    let answered_ms = background::unix_ms();
    sleep_ms(BOUND_MS + 2_000);
    let outcomes = callers.stop();

    let before = background::starts_between(&rig, &CAXIAS, 0, answered_ms);
    let late = background::starts_between(&rig, &CAXIAS, answered_ms + BOUND_MS, NO_END);
    let elsewhere = background::starts_between(&rig, &BENTO, answered_ms + BOUND_MS, NO_END);
    assert!(!before.is_empty(), "the zone was in use");
    assert_eq!(late, Vec::<u64>::new(), "answered at {answered_ms}");
    assert!(!elsewhere.is_empty(), "tasks still start in the other zone");
    assert!(
        background::expect_answers(outcomes)
            .iter()
            .all(|one| one.code == codes::Code::Complete)
    );
    revisions.assert_monotone();
}

// The log stores the change and goes down before any process has read it. Until then no process
// can know of the change, and tasks start as before. Once the log is up, the zone is out within
// the bound, although the change is not appended again.
#[test]
fn zone_out_takes_effect_after_log_outage() {
    let rig = rig::Rig::start(&plan());
    let revisions = background::RevisionMonitor::watch(background::daemons(&rig));
    let entries = background::addresses(&rig.entries);

    rig.control_log(&serde_json::json!({"mode": "down_after_append"}));
    let revision = rig.set_zone_out("caxias", true);
    sleep_ms(BOUND_MS);
    let during = rig.submit(0, &rig::job(&vec![rig::sleep_payload(20, "during"); 8]));
    rig.control_log(&serde_json::json!({"mode": "up"}));
    let up_ms = background::unix_ms();
    let callers = background::Callers::start(&entries, 2, 4, 30);
    sleep_ms(BOUND_MS + 1_000);
    background::expect_answers(callers.stop());

    let late = background::starts_between(&rig, &CAXIAS, up_ms + BOUND_MS, NO_END);
    assert_eq!(during.expect("an answer").code, codes::Code::Complete);
    assert_eq!(late, Vec::<u64>::new(), "log up at {up_ms}");
    background::wait_for_revision(&background::daemons(&rig), revision);
    revisions.assert_monotone();
}

// Only one entry reads the change before the log goes down; the other entry and all runners are
// partitioned from the log. They get the change from that entry, and after the bound no task
// starts in caxias.
#[test]
fn change_read_by_one_entry_reaches_processes_partitioned_from_log() {
    let mut rig = relays::log_only_rig(SETTINGS);
    let log = relays::Relay::start(&rig, rig.log.address());
    rig.add_entry("reader", "bento");
    let endpoints = site::Endpoints {
        log: log.address(),
        entries: rig.endpoints.entries.clone(),
    };
    rig.endpoints.log = endpoints.log;
    rig.add_entry("other", "caxias");
    for (name, zone) in [("r-0", "caxias"), ("r-1", "caxias"), ("r-2", "bento")] {
        relays::runner_with_endpoints(&mut rig, name, zone, &endpoints);
    }
    rig.wait_until_serving(3);
    let revisions = background::RevisionMonitor::watch(background::daemons(&rig));
    let entries = background::addresses(&rig.entries);
    let callers = background::Callers::start(&entries, 2, 4, 30);

    log.disconnect();
    let revision = rig.set_zone_out("caxias", true);
    let answered_ms = background::unix_ms();
    background::wait_for_revision(&entries[..1], revision);
    rig.control_log(&serde_json::json!({"mode": "down"}));
    sleep_ms(BOUND_MS + 1_500);
    let outcomes = callers.stop();

    background::wait_for_revision(&background::daemons(&rig), revision);
    let late = background::starts_between(&rig, &CAXIAS, answered_ms + BOUND_MS, NO_END);
    let elsewhere = background::starts_between(&rig, &BENTO, answered_ms + BOUND_MS, NO_END);
    assert_eq!(late, Vec::<u64>::new(), "answered at {answered_ms}");
    assert!(!elsewhere.is_empty(), "tasks still start in the other zone");
    background::expect_answers(outcomes);
    revisions.assert_monotone();
}

// A runner can reach neither the log nor any entry, while entries still reach it and dispatch
// tasks to it. It can't receive changes, so after `fresh_ms` it starts nothing. All jobs
// complete at the other runners.
#[test]
fn runner_without_outbound_connections_starts_nothing() {
    let mut rig = relays::log_only_rig(SETTINGS);
    let log = relays::Relay::start(&rig, rig.log.address());
    let no_peers = site::Endpoints {
        log: rig.log.address(),
        entries: Vec::new(),
    };
    let (relay, direct) = relays::entry_behind_relay(&mut rig, "entry-0", "bento", &no_peers);
    let partitioned = site::Endpoints {
        log: log.address(),
        entries: vec![relay.address()],
    };
    let connected = site::Endpoints {
        log: rig.log.address(),
        entries: vec![direct],
    };
    relays::runner_with_endpoints(&mut rig, "cut-off", "bento", &partitioned);
    relays::runner_with_endpoints(&mut rig, "well-0", "bento", &connected);
    relays::runner_with_endpoints(&mut rig, "well-1", "caxias", &connected);
    rig.wait_until_serving(3);
    let callers = background::Callers::start(&[rig.entries[0].address()], 3, 8, 30);
    sleep_ms(500);

    log.disconnect();
    relay.disconnect();
    let disconnected_ms = background::unix_ms();
    sleep_ms(FRESH_MS + MAX_START_MS + 1_500);
    let outcomes = callers.stop();

    let before = background::starts_between(&rig, &[0], 0, disconnected_ms);
    let late = background::starts_between(
        &rig,
        &[0],
        disconnected_ms + FRESH_MS + MAX_START_MS,
        NO_END,
    );
    assert!(!before.is_empty(), "the runner was in use");
    assert_eq!(late, Vec::<u64>::new(), "disconnected at {disconnected_ms}");
    assert!(
        background::expect_answers(outcomes)
            .iter()
            .all(|one| one.code == codes::Code::Complete)
    );
}

// The processes in caxias can reach each other, but neither the log nor bento. Operators may have
// taken caxias out of service, so after `fresh_ms` no task starts there, and the entry in caxias
// refuses calls as not run.
#[test]
fn zone_partitioned_from_log_and_other_zones_starts_nothing() {
    let mut rig = relays::log_only_rig(SETTINGS);
    let log = relays::Relay::start(&rig, rig.log.address());
    let no_peers = site::Endpoints {
        log: rig.log.address(),
        entries: Vec::new(),
    };
    let (bento, bento_direct) = relays::entry_behind_relay(&mut rig, "entry-b", "bento", &no_peers);
    let in_bento = site::Endpoints {
        log: rig.log.address(),
        entries: vec![bento_direct],
    };
    let runner = relays::runner_behind_relay(&mut rig, "runner-b", "bento", &in_bento);
    let to_bento = site::Endpoints {
        log: log.address(),
        entries: vec![bento.address()],
    };
    let (caxias, caxias_direct) =
        relays::entry_behind_relay(&mut rig, "entry-c", "caxias", &to_bento);
    let in_caxias = site::Endpoints {
        log: log.address(),
        entries: vec![caxias_direct, bento.address()],
    };
    relays::runner_with_endpoints(&mut rig, "runner-c", "caxias", &in_caxias);
    rig.wait_until_serving(2);
    let before = rig.submit(1, &rig::job(&vec![rig::sleep_payload(20, "before"); 8]));

    log.disconnect();
    bento.disconnect();
    runner.disconnect();
    caxias.disconnect();
    let revision = rig.set_zone_out("caxias", true);
    let disconnected_ms = background::unix_ms();
    sleep_ms(DEAD_AFTER_MS + MAX_START_MS);
    let mut submission = rig::job(&vec![rig::sleep_payload(20, "after"); 4]);
    submission.deadline_ms = Some(1_500);
    let after = rig.submit(1, &submission).expect("an answer");

    let late = background::starts_between(
        &rig,
        &[1],
        disconnected_ms + FRESH_MS + MAX_START_MS,
        NO_END,
    );
    assert_eq!(before.expect("an answer").code, codes::Code::Complete);
    assert_eq!(late, Vec::<u64>::new(), "disconnected at {disconnected_ms}");
    assert_eq!(after.code.class(), codes::Class::NotRun);
    log.restore();
    background::wait_for_revision(&background::daemons(&rig), revision);
}

// Caxias is taken out of service under load, put back and taken out again. Once the bound has
// passed after either removal, no task starts in caxias while it is out. All jobs complete.
#[test]
fn zone_toggled_under_load_starts_nothing_while_out() {
    let rig = rig::Rig::start(&plan());
    let revisions = background::RevisionMonitor::watch(background::daemons(&rig));
    let entries = background::addresses(&rig.entries);
    let callers = background::Callers::start(&entries, 2, 40, 60);
    sleep_ms(500);

    rig.set_zone_out("caxias", true);
    let first_out_ms = background::unix_ms();
    sleep_ms(BOUND_MS + 1_000);
    let in_ms = background::unix_ms();
    rig.set_zone_out("caxias", false);
    sleep_ms(1_500);
    rig.set_zone_out("caxias", true);
    let second_out_ms = background::unix_ms();
    sleep_ms(BOUND_MS + 1_000);
    let outcomes = callers.stop();

    let late = background::starts_between(&rig, &CAXIAS, first_out_ms + BOUND_MS, in_ms);
    let back = background::starts_between(&rig, &CAXIAS, in_ms, second_out_ms);
    let again = background::starts_between(&rig, &CAXIAS, second_out_ms + BOUND_MS, NO_END);
    assert_eq!((late, again), (Vec::new(), Vec::new()));
    assert!(
        !back.is_empty(),
        "tasks started in the zone after its return"
    );
    let answers = background::expect_answers(outcomes);
    let failed: Vec<_> = answers
        .iter()
        .filter(|one| one.code != codes::Code::Complete)
        .collect();
    assert!(failed.is_empty(), "{failed:?}");
    revisions.assert_monotone();
}

/// Time-outs so long that a suspended runner is not declared dead and its attempts not queried.
const LONG_TIMEOUTS: &str = "\
[timeouts]
heartbeat_ms = 200
dead_after_ms = 30000
query_after_ms = 30000
park_ms = 10000
fresh_ms = 1500
";

// A runner is suspended while it runs tasks and others wait for a slot, and its zone is taken out
// of service. When it resumes, it has free slots, replies to requests from before the suspension,
// and settings in which its zone is in service; replies to new requests come 300 ms later. It
// starts nothing, because its evidence of freshness is too old.
#[test]
fn resumed_runner_starts_nothing_in_zone_out() {
    let mut rig = relays::log_only_rig(LONG_TIMEOUTS);
    let log = relays::Relay::start(&rig, rig.log.address());
    let no_peers = site::Endpoints {
        log: rig.log.address(),
        entries: Vec::new(),
    };
    let (entry, _direct) = relays::entry_behind_relay(&mut rig, "entry-0", "bento", &no_peers);
    let endpoints = site::Endpoints {
        log: log.address(),
        entries: vec![entry.address()],
    };
    relays::runner_with_endpoints(&mut rig, "runner-0", "caxias", &endpoints);
    rig.wait_until_serving(1);
    log.delay(300);
    entry.delay(300);
    sleep_ms(FRESH_MS);
    let mut submission = rig::job(&vec![rig::sleep_payload(400, "frozen"); 12]);
    submission.deadline_ms = Some(10_000);
    submission.wait_ms = 0;

    let accepted = rig.submit(0, &submission).expect("an answer");
    rig::wait_until("every slot runs a task", || rig.starts().len() == 8);
    sleep_ms(100);
    rig.runners[0].suspend().expect("the process is suspended");
    rig.set_zone_out("caxias", true);
    let answered_ms = background::unix_ms();
    sleep_ms(BOUND_MS + 500);
    let handed_out = rig::status(rig.entries[0].address()).running;
    rig.runners[0].resume().expect("the process is resumed");
    let id = accepted.submission.expect("an id");
    rig::wait_until("the answer is final", || {
        rig.fetch(0, &id, 1_000)
            .is_some_and(|answer| answer.is_final)
    });

    let late = background::starts_between(&rig, &[0], answered_ms + BOUND_MS, NO_END);
    assert!(handed_out > 8, "some tasks waited at the runner");
    assert_eq!(late, Vec::<u64>::new(), "answered at {answered_ms}");
}

// An entry is suspended with tasks in its queue, and caxias is taken out of service. When the
// entry resumes, its settings still have caxias in service and it dispatches tasks there. The
// runners in caxias refuse them, and the tasks start in bento.
#[test]
fn work_of_resumed_entry_starts_in_other_zone() {
    let mut rig = rig::Rig::start(&plan());
    let callers = background::Callers::start(&[rig.entries[0].address()], 2, 40, 60);
    sleep_ms(400);

    rig.entries[0].suspend().expect("the process is suspended");
    rig.set_zone_out("caxias", true);
    let answered_ms = background::unix_ms();
    sleep_ms(BOUND_MS + 500);
    rig.entries[0].resume().expect("the process is resumed");
    let resumed_ms = background::unix_ms();
    sleep_ms(1_500);
    let outcomes = callers.stop();

    let late = background::starts_between(&rig, &CAXIAS, answered_ms + BOUND_MS, NO_END);
    let elsewhere = background::starts_between(&rig, &BENTO, resumed_ms, NO_END);
    assert_eq!(late, Vec::<u64>::new(), "answered at {answered_ms}");
    assert!(!elsewhere.is_empty(), "its tasks started in the other zone");
    background::expect_answers(outcomes);
}
