//! No task starts in an availability zone more than a few seconds after it was taken
//! out (point 3).

use std::thread;
use std::time;

use bulrushtiller::codes;
use bulrushtiller_standins::site;

use crate::background;
use crate::relays;
use crate::rig;

/// `timeouts.fresh_ms` of these tests.
const FRESH_MS: u64 = 1_500;

/// The few seconds that are promised: the evidence's greatest age, and as much again
/// for a heartbeat, a fetch and a busy machine.
const BOUND_MS: u64 = 2 * FRESH_MS;

/// `timeouts.dead_after_ms` of these tests.
const DEAD_AFTER_MS: u64 = 2_000;

/// Longest time that a start takes from its last check to the worker's journal.
const START_MS: u64 = 500;

const SETTINGS: &str = "\
[timeouts]
heartbeat_ms = 200
dead_after_ms = 2000
fresh_ms = 1500
";

const FAR: u64 = u64::MAX;

fn plan() -> rig::Plan {
    rig::Plan {
        settings: SETTINGS.to_owned(),
        ..rig::Plan::default()
    }
}

fn sleep_ms(ms: u64) {
    thread::sleep(time::Duration::from_millis(ms));
}

/// Workers 0 and 1 stand in caxias, worker 2 in bento.
const CAXIAS: [usize; 2] = [0, 1];
const BENTO: [usize; 1] = [2];

// An operator takes caxias out while the log answers every call most of a second
// late. Calls go on meanwhile, and tasks keep starting in bento. After the bound no
// task starts in caxias.
#[test]
fn zone_taken_out_with_the_log_slow() {
    let rig = rig::Rig::start(&plan());
    let revisions = background::Revisions::watch(background::daemons(&rig));
    let entries = background::addresses(&rig.entries);
    let callers = background::Callers::start(&entries, 2, 4, 30);

    rig.control_log(&serde_json::json!({"mode": "slow", "slow_ms": 700}));
    rig.set_zone("caxias", true);
    let answered_ms = background::unix_ms();
    sleep_ms(BOUND_MS + 2_000);
    let outcomes = callers.stop();

    let before = background::starts_between(&rig, &CAXIAS, 0, answered_ms);
    let late = background::starts_between(&rig, &CAXIAS, answered_ms + BOUND_MS, FAR);
    let on = background::starts_between(&rig, &BENTO, answered_ms + BOUND_MS, FAR);
    assert!(!before.is_empty(), "the zone was in use");
    assert_eq!(late, Vec::<u64>::new(), "answered at {answered_ms}");
    assert!(!on.is_empty(), "work goes on in the other zone");
    assert!(
        background::answers(outcomes)
            .iter()
            .all(|one| one.code == codes::Code::Complete)
    );
    revisions.assert_monotone();
}

// The log takes the change and goes down at once, before anybody has read it. Nobody
// can know of it, and work goes on as before. As soon as the log is up the zone is
// out within the bound, although nobody appends the change again.
#[test]
fn zone_taken_out_with_the_log_down_just_after_the_append() {
    let rig = rig::Rig::start(&plan());
    let revisions = background::Revisions::watch(background::daemons(&rig));
    let entries = background::addresses(&rig.entries);

    rig.control_log(&serde_json::json!({"mode": "down_after_append"}));
    let revision = rig.set_zone("caxias", true);
    sleep_ms(BOUND_MS);
    let during = rig.submit(0, &rig::job(&vec![rig::sleep(20, "during"); 8]));
    rig.control_log(&serde_json::json!({"mode": "up"}));
    let up_ms = background::unix_ms();
    let callers = background::Callers::start(&entries, 2, 4, 30);
    sleep_ms(BOUND_MS + 1_000);
    background::answers(callers.stop());

    let late = background::starts_between(&rig, &CAXIAS, up_ms + BOUND_MS, FAR);
    assert_eq!(during.expect("an answer").code, codes::Code::Complete);
    assert_eq!(late, Vec::<u64>::new(), "up again at {up_ms}");
    background::wait_for_revision(&background::daemons(&rig), revision);
    revisions.assert_monotone();
}

// One entry alone reads the change; then the log goes down. The other entry and all
// runners were cut off from the log before. They hear of the change from the one
// entry, and after the bound nothing starts in caxias.
#[test]
fn change_read_by_one_entry_reaches_those_cut_off_from_the_log() {
    let mut rig = relays::bare(SETTINGS);
    let log = relays::Relay::start(&rig, rig.log.address());
    rig.add_entry("reader", "bento");
    let links = site::Endpoints {
        log: log.address(),
        entries: rig.links.entries.clone(),
    };
    rig.links.log = links.log;
    rig.add_entry("other", "caxias");
    for (name, zone) in [("r-0", "caxias"), ("r-1", "caxias"), ("r-2", "bento")] {
        relays::runner_with(&mut rig, name, zone, &links);
    }
    rig.wait_until_serving(3);
    let revisions = background::Revisions::watch(background::daemons(&rig));
    let entries = background::addresses(&rig.entries);
    let callers = background::Callers::start(&entries, 2, 4, 30);

    log.cut();
    let revision = rig.set_zone("caxias", true);
    let answered_ms = background::unix_ms();
    background::wait_for_revision(&entries[..1], revision);
    rig.control_log(&serde_json::json!({"mode": "down"}));
    sleep_ms(BOUND_MS + 1_500);
    let outcomes = callers.stop();

    background::wait_for_revision(&background::daemons(&rig), revision);
    let late = background::starts_between(&rig, &CAXIAS, answered_ms + BOUND_MS, FAR);
    let on = background::starts_between(&rig, &BENTO, answered_ms + BOUND_MS, FAR);
    assert_eq!(late, Vec::<u64>::new(), "answered at {answered_ms}");
    assert!(!on.is_empty(), "work goes on in the other zone");
    background::answers(outcomes);
    revisions.assert_monotone();
}

// A runner reaches neither the log nor any entry, while entries still reach it and
// hand it tasks. It can hear of no change, so after `fresh_ms` it starts nothing. The
// callers get their whole answers from the other runners.
#[test]
fn runner_cut_off_from_everything_starts_nothing() {
    let mut rig = relays::bare(SETTINGS);
    let log = relays::Relay::start(&rig, rig.log.address());
    let none = site::Endpoints {
        log: rig.log.address(),
        entries: Vec::new(),
    };
    let (relay, direct) = relays::entry_behind_relay(&mut rig, "entry-0", "bento", &none);
    let cut_off = site::Endpoints {
        log: log.address(),
        entries: vec![relay.address()],
    };
    let well = site::Endpoints {
        log: rig.log.address(),
        entries: vec![direct],
    };
    relays::runner_with(&mut rig, "cut-off", "bento", &cut_off);
    relays::runner_with(&mut rig, "well-0", "bento", &well);
    relays::runner_with(&mut rig, "well-1", "caxias", &well);
    rig.wait_until_serving(3);
    let callers = background::Callers::start(&[rig.entries[0].address()], 3, 8, 30);
    sleep_ms(500);

    log.cut();
    relay.cut();
    let cut_ms = background::unix_ms();
    sleep_ms(FRESH_MS + START_MS + 1_500);
    let outcomes = callers.stop();

    let before = background::starts_between(&rig, &[0], 0, cut_ms);
    let late = background::starts_between(&rig, &[0], cut_ms + FRESH_MS + START_MS, FAR);
    assert!(!before.is_empty(), "the runner was in use");
    assert_eq!(late, Vec::<u64>::new(), "cut at {cut_ms}");
    assert!(
        background::answers(outcomes)
            .iter()
            .all(|one| one.code == codes::Code::Complete)
    );
}

// The processes of caxias reach neither the log nor anything in bento, but each
// other. Operators may have taken caxias out meanwhile, so after the bound nothing
// starts there, and callers at its entry are told truthfully that nothing ran.
#[test]
fn zone_cut_off_from_the_log_and_other_zones_starts_nothing() {
    let mut rig = relays::bare(SETTINGS);
    let log = relays::Relay::start(&rig, rig.log.address());
    let none = site::Endpoints {
        log: rig.log.address(),
        entries: Vec::new(),
    };
    let (bento, bento_direct) = relays::entry_behind_relay(&mut rig, "entry-b", "bento", &none);
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
    relays::runner_with(&mut rig, "runner-c", "caxias", &in_caxias);
    rig.wait_until_serving(2);
    let before = rig.submit(1, &rig::job(&vec![rig::sleep(20, "before"); 8]));

    log.cut();
    bento.cut();
    runner.cut();
    caxias.cut();
    let revision = rig.set_zone("caxias", true);
    let cut_ms = background::unix_ms();
    sleep_ms(DEAD_AFTER_MS + START_MS);
    let mut submission = rig::job(&vec![rig::sleep(20, "after"); 4]);
    submission.deadline_ms = Some(1_500);
    let after = rig.submit(1, &submission).expect("an answer");

    let late = background::starts_between(&rig, &[1], cut_ms + FRESH_MS + START_MS, FAR);
    assert_eq!(before.expect("an answer").code, codes::Code::Complete);
    assert_eq!(late, Vec::<u64>::new(), "cut at {cut_ms}");
    assert_eq!(after.code.class(), codes::Class::NotRun);
    log.mend();
    background::wait_for_revision(&background::daemons(&rig), revision);
}

// Work is queued, waits at runners and runs when caxias is taken out; it comes back
// and is taken out again a moment later. In each span that begins the bound after an
// order to leave, nothing starts there, and all jobs are answered complete.
#[test]
fn zone_out_and_in_and_out_again_under_load() {
    let rig = rig::Rig::start(&plan());
    let revisions = background::Revisions::watch(background::daemons(&rig));
    let entries = background::addresses(&rig.entries);
    let callers = background::Callers::start(&entries, 2, 40, 60);
    sleep_ms(500);

    rig.set_zone("caxias", true);
    let first_out_ms = background::unix_ms();
    sleep_ms(BOUND_MS + 1_000);
    let in_ms = background::unix_ms();
    rig.set_zone("caxias", false);
    sleep_ms(1_500);
    rig.set_zone("caxias", true);
    let second_out_ms = background::unix_ms();
    sleep_ms(BOUND_MS + 1_000);
    let outcomes = callers.stop();

    let late = background::starts_between(&rig, &CAXIAS, first_out_ms + BOUND_MS, in_ms);
    let back = background::starts_between(&rig, &CAXIAS, in_ms, second_out_ms);
    let again = background::starts_between(&rig, &CAXIAS, second_out_ms + BOUND_MS, FAR);
    assert_eq!((late, again), (Vec::new(), Vec::new()));
    assert!(!back.is_empty(), "the zone worked again when it was back");
    let answers = background::answers(outcomes);
    let failed: Vec<_> = answers
        .iter()
        .filter(|one| one.code != codes::Code::Complete)
        .collect();
    assert!(failed.is_empty(), "{failed:?}");
    revisions.assert_monotone();
}

/// A runner that sleeps is not given up, and what it holds is not asked about.
const PATIENT: &str = "\
[timeouts]
heartbeat_ms = 200
dead_after_ms = 30000
query_after_ms = 30000
park_ms = 10000
fresh_ms = 1500
";

// A runner is frozen with tasks that run and others that wait for a slot. Caxias, its
// zone, is taken out while it sleeps. It wakes to free slots, to answers that it asked
// for before it slept, and to settings that say its zone is in service; what it asks
// now is answered a little later. It starts nothing: its evidence has aged.
#[test]
fn frozen_runner_thaws_and_starts_nothing() {
    let mut rig = relays::bare(PATIENT);
    let log = relays::Relay::start(&rig, rig.log.address());
    let none = site::Endpoints {
        log: rig.log.address(),
        entries: Vec::new(),
    };
    let (entry, _direct) = relays::entry_behind_relay(&mut rig, "entry-0", "bento", &none);
    let links = site::Endpoints {
        log: log.address(),
        entries: vec![entry.address()],
    };
    relays::runner_with(&mut rig, "runner-0", "caxias", &links);
    rig.wait_until_serving(1);
    log.delay(300);
    entry.delay(300);
    sleep_ms(FRESH_MS);
    let mut submission = rig::job(&vec![rig::sleep(400, "frozen"); 12]);
    submission.deadline_ms = Some(10_000);
    submission.wait_ms = 0;

    let taken = rig.submit(0, &submission).expect("an answer");
    rig::wait_until("every slot runs a task", || rig.starts().len() == 8);
    sleep_ms(100);
    rig.runners[0].suspend().expect("frozen");
    rig.set_zone("caxias", true);
    let answered_ms = background::unix_ms();
    sleep_ms(BOUND_MS + 500);
    let handed_out = rig::status(rig.entries[0].address()).running;
    rig.runners[0].resume().expect("thawed");
    let id = taken.submission.expect("an id");
    rig::wait_until("the answer is final", || {
        rig.fetch(0, &id, 1_000)
            .is_some_and(|answer| answer.is_final)
    });

    let late = background::starts_between(&rig, &[0], answered_ms + BOUND_MS, FAR);
    assert!(handed_out > 8, "some tasks waited at the runner");
    assert_eq!(late, Vec::<u64>::new(), "answered at {answered_ms}");
}

// An entry is frozen with work in its queue. Caxias is taken out through the others.
// The entry wakes with settings that say caxias is in service and hands its work
// out; the runners there refuse it, and it ends up in bento.
#[test]
fn frozen_entry_thaws_and_its_work_starts_elsewhere() {
    let mut rig = rig::Rig::start(&plan());
    let callers = background::Callers::start(&[rig.entries[0].address()], 2, 40, 60);
    sleep_ms(400);

    rig.entries[0].suspend().expect("frozen");
    rig.set_zone("caxias", true);
    let answered_ms = background::unix_ms();
    sleep_ms(BOUND_MS + 500);
    rig.entries[0].resume().expect("thawed");
    let thawed_ms = background::unix_ms();
    sleep_ms(1_500);
    let outcomes = callers.stop();

    let late = background::starts_between(&rig, &CAXIAS, answered_ms + BOUND_MS, FAR);
    let on = background::starts_between(&rig, &BENTO, thawed_ms, FAR);
    assert_eq!(late, Vec::<u64>::new(), "answered at {answered_ms}");
    assert!(!on.is_empty(), "its work went on in the other zone");
    background::answers(outcomes);
}
