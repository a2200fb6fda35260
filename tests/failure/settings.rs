//! Accepted settings are in force everywhere within seconds and never revert (point 9).

use std::net;
use std::time;

use bulrushtiller::api;
use bulrushtiller::audit;
use bulrushtiller::codes;
use bulrushtiller_standins::relay;
use bulrushtiller_standins::site;

use crate::background;
use crate::relays;
use crate::rig;

const STREAM: &str = "/v1/streams/settings/records";

/// A change of one file as it stands on the log.
fn change(id: &str, text: &str, base: Option<u64>) -> serde_json::Value {
    serde_json::json!({
        "type": "change", "version": 1, "id": id, "author": id,
        "time_ms": 0, "file": "50-limits.toml", "text": text, "base": base,
    })
}

fn limit(max_queued: u32) -> String {
    format!("[limits]\nmax_queued = {max_queued}\n")
}

/// Appends a record; none: there was no answer.
fn append(rig: &rig::Rig, record: &serde_json::Value) -> Option<u64> {
    let answered: Option<serde_json::Value> =
        rig::post(rig.log.address(), STREAM, rig::TOKEN, record);
    answered?["offset"].as_u64()
}

fn log_records(rig: &rig::Rig) -> Vec<serde_json::Value> {
    let path = format!("{STREAM}?from=0&max=1000&wait_ms=0");
    let read: serde_json::Value = rig::get(rig.log.address(), &path, rig::TOKEN).expect("a read");
    read["records"].as_array().expect("records").clone()
}

fn trail(address: net::SocketAddr) -> Vec<audit::Event> {
    let page: audit::Page = rig::get(address, "/audit?from=0", rig::TOKEN).expect("a page");
    page.events.into_iter().map(|one| one.event).collect()
}

fn revision_of(address: net::SocketAddr) -> Option<u64> {
    rig::status(address).revision
}

// Checkpoints are written in time. Then all records before the last one expire, and
// every process is replaced by a new one that has nothing but the log. Each comes to
// the same revision, and the zone that was out is out.
#[test]
fn new_processes_start_from_a_checkpoint_when_records_have_expired() {
    let mut rig = rig::Rig::start(&rig::Plan {
        settings: "[timeouts]\ncheckpoint_ms = 400\n".to_owned(),
        ..rig::Plan::default()
    });
    let revision = rig.set_zone("caxias", true);
    background::wait_for_revision(&background::daemons(&rig), revision);
    let covers = |one: &&serde_json::Value| {
        one["record"]["type"] == "checkpoint" && one["record"]["revision"] == revision
    };
    rig::wait_until("a checkpoint covers the change", || {
        log_records(&rig).iter().any(|one| covers(&one))
    });
    let records = log_records(&rig);
    let checkpoint = records.iter().find(covers).expect("a checkpoint");
    let position = checkpoint["record"]["position"].as_u64();

    rig.control_log(&serde_json::json!({"expire_to": position, "stream": "settings"}));
    rig.entries.clear();
    rig.runners.clear();
    rig.links.entries.clear();
    rig.add_entry("new-entry", "bento");
    rig.add_runner("new-runner", "caxias", &[]);

    background::wait_for_revision(&background::daemons(&rig), revision);
    for address in background::daemons(&rig) {
        let status = rig::status(address);
        assert_eq!(status.revision, Some(revision));
        assert_eq!(status.zones_out, vec!["caxias"]);
    }
}

// Two operators change the settings on the same base at the same time. Exactly one
// change is in force, at every process the same one, and the other operator finds in
// the trail of any process that another change came first.
#[test]
fn of_racing_operators_exactly_one_wins() {
    let rig = rig::Rig::start(&rig::Plan::default());
    let revisions = background::Revisions::watch(background::daemons(&rig));
    let base = revision_of(rig.entries[0].address());

    let race: Vec<_> = std::thread::scope(|scope| {
        let racers = (0..4).map(|racer| {
            let record = change(&format!("operator-{racer}"), &limit(1_000 + racer), base);
            let rig = &rig;
            scope.spawn(move || append(rig, &record).expect("an answer"))
        });
        let racers: Vec<_> = racers.collect();
        let join = |one: std::thread::ScopedJoinHandle<'_, _>| one.join().expect("an offset");
        racers.into_iter().map(join).collect()
    });
    let first = *race.iter().min().expect("an offset");
    let last = *race.iter().max().expect("an offset");
    rig::wait_until("all were decided", || {
        let has_all = |address| {
            let events = trail(address);
            let decided = |event: &audit::Event| match event {
                audit::Event::Accepted { made, .. } | audit::Event::Rejected { made, .. } => {
                    made.offset >= first && made.offset <= last
                }
                _ => false,
            };
            events.into_iter().filter(decided).count() == race.len()
        };
        rig.entries.iter().all(|one| has_all(one.address()))
    });
    background::wait_for_revision(&background::daemons(&rig), first);

    for address in background::daemons(&rig) {
        assert_eq!(revision_of(address), Some(first));
    }
    for entry in &rig.entries {
        let events = trail(entry.address());
        let lost = |event: &&audit::Event| {
            matches!(
                event,
                audit::Event::Rejected {
                    code: codes::Code::SettingsConflict,
                    ..
                }
            )
        };
        assert_eq!(events.iter().filter(lost).count(), race.len() - 1);
        let in_force = |event: &audit::Event| matches!(event, audit::Event::InForce { revision, .. } if *revision == Some(first));
        assert!(events.iter().any(in_force));
    }
    revisions.assert_monotone();
}

// The answer to an append is lost after it took effect. The operator's tool appends
// the change again under the same id, after another operator has changed the same
// file. The repeat does nothing: the later change stays in force everywhere.
#[test]
fn repeated_append_does_not_undo_a_later_change() {
    let rig = rig::Rig::start(&rig::Plan::default());
    let revisions = background::Revisions::watch(background::daemons(&rig));
    let first = change("lost", &limit(1_111), None);

    rig.control_log(&serde_json::json!({"mode": "lose_answers"}));
    let unanswered = append(&rig, &first);
    rig.control_log(&serde_json::json!({"mode": "up"}));
    let later = append(&rig, &change("later", &limit(2_222), None)).expect("an answer");
    let repeat = append(&rig, &first).expect("an answer");
    rig::wait_until("the repeat was seen", || {
        let is_repeat = |event: &audit::Event| matches!(event, audit::Event::Repeated { made, .. } if made.offset == repeat);
        let saw = |one: &bulrushtiller_standins::processes::Process| {
            trail(one.address()).iter().any(is_repeat)
        };
        rig.entries.iter().all(saw)
    });
    background::wait_for_revision(&background::daemons(&rig), later);

    assert_eq!(unanswered, None);
    for address in background::daemons(&rig) {
        assert_eq!(revision_of(address), Some(later));
    }
    revisions.assert_monotone();
}

// All entries are replaced at once by ones with other addresses, and the runners know
// none of them; the new entries do not know each other either. All find each other by
// the log, jobs run again, and the settings are those of before.
#[test]
fn entries_replaced_all_at_once_are_found() {
    let mut rig = rig::Rig::start(&rig::Plan::default());
    let revision = rig.set_zone("bento", true);
    background::wait_for_revision(&background::daemons(&rig), revision);

    rig.entries.clear();
    for name in ["entry-0", "entry-1"] {
        rig.links.entries.clear();
        rig.add_entry(name, "caxias");
    }
    rig.wait_until_serving(3);
    rig::wait_until("the entries know each other", || {
        rig.entries.iter().all(|entry| {
            let peers = rig::status(entry.address()).peers;
            let is_entry = |one: &api::PeerStatus| one.role == "entry" && one.state == "alive";
            peers.iter().any(is_entry)
        })
    });
    let answer = rig.submit(1, &rig::job(&vec![rig::sleep(20, "again"); 4]));

    assert_eq!(answer.expect("an answer").code, codes::Code::Complete);
    for address in background::daemons(&rig) {
        assert_eq!(revision_of(address), Some(revision));
    }
}

// The log is down when an entry and a runner are replaced. They take the settings
// from the entry that lives, so the zone that is out stays out at them, tokens are
// known, and jobs run.
#[test]
fn replaced_during_an_outage_take_the_state_from_peers() {
    let mut rig = rig::Rig::start(&rig::Plan::default());
    let revision = rig.set_zone("caxias", true);
    background::wait_for_revision(&background::daemons(&rig), revision);
    let revisions = background::Revisions::watch(background::daemons(&rig));

    rig.control_log(&serde_json::json!({"mode": "down"}));
    drop(rig.entries.remove(1));
    rig.links.entries.pop();
    rig.add_entry("entry-1b", "bento");
    drop(rig.runners.remove(2));
    rig.add_runner("runner-2b", "bento", &[]);
    background::wait_for_revision(&background::daemons(&rig), revision);
    rig::wait_until("the new entry serves with the new runner", || {
        let status = rig::status(rig.entries[1].address());
        let mut peers = status.peers.iter();
        let is_new = |one: &api::PeerStatus| one.name == "runner-2b" && one.state == "alive";
        status.has_settings && peers.any(is_new) && rig::status(rig.runners[2].address()).fresh
    });
    let answer = rig.submit(1, &rig::job(&vec![rig::sleep(20, "outage"); 4]));

    let answer = answer.expect("an answer");
    assert_eq!(answer.code, codes::Code::Complete);
    let zones = answer.tasks.iter().map(|task| task.zone.as_deref());
    assert!(zones.into_iter().all(|zone| zone == Some("bento")));
    revisions.assert_monotone();
}

// Every process is replaced while the log is down, so none is left that knows the
// settings. Caxias is out. Nobody acts on defaults: calls are refused as not run,
// `/readyz` says so, no runner is fresh. When the log is back all is as it was.
#[test]
fn processes_without_settings_do_nothing_until_the_log_is_back() {
    let mut rig = rig::Rig::start(&rig::Plan::default());
    let revision = rig.set_zone("caxias", true);
    background::wait_for_revision(&background::daemons(&rig), revision);

    rig.control_log(&serde_json::json!({"mode": "down"}));
    rig.entries.clear();
    rig.runners.clear();
    rig.links.entries.clear();
    rig.add_entry("new-0", "caxias");
    rig.add_entry("new-1", "bento");
    rig.add_runner("new-c", "caxias", &[]);
    rig.add_runner("new-b", "bento", &[]);
    let knows_others = |entry: &bulrushtiller_standins::processes::Process| {
        rig::status(entry.address()).peers.len() >= 3
    };
    rig::wait_until("all are in touch", || rig.entries.iter().all(knows_others));
    std::thread::sleep(time::Duration::from_secs(2));
    let refused = rig.submit(0, &rig::job(&[rig::sleep(20, "too-early")]));
    let ready: Option<api::Answer> = rig::get(rig.entries[0].address(), "/readyz", rig::TOKEN);
    let fresh: Vec<_> = rig
        .runners
        .iter()
        .map(|one| rig::status(one.address()).fresh)
        .collect();
    rig.control_log(&serde_json::json!({"mode": "up"}));
    background::wait_for_revision(&background::daemons(&rig), revision);
    rig.wait_until_serving(2);
    let after = rig.submit(0, &rig::job(&vec![rig::sleep(20, "after"); 4]));

    assert_eq!(refused.expect("an answer").code, codes::Code::NotFresh);
    assert_eq!(ready.expect("a refusal").code, codes::Code::NotFresh);
    assert_eq!(fresh, vec![false, false]);
    assert_eq!(rig.starts_of(&rig::sleep(20, "too-early")), 0);
    let after = after.expect("an answer");
    assert_eq!(after.code, codes::Code::Complete);
    let zones = after.tasks.iter().map(|task| task.zone.as_deref());
    assert!(zones.into_iter().all(|zone| zone == Some("bento")));
}

// A runner is cut off from the log and its neighbours are not. A change reaches it
// through an entry within seconds, and a checkpoint among the records does not keep
// it from the changes behind it.
#[test]
fn runner_cut_off_from_the_log_hears_through_entries() {
    let mut rig = relays::bare("");
    rig.add_entry("entry-0", "bento");
    let log = relays::Relay::start(&rig, rig.log.address());
    let links = site::Endpoints {
        log: log.address(),
        entries: rig.links.entries.clone(),
    };
    relays::runner_with(&mut rig, "runner-0", "caxias", &links);
    rig.wait_until_serving(1);

    log.cut();
    let from = rig.put_settings("20-more.toml", "[timeouts]\ncheckpoint_ms = 100\n");
    let began = time::Instant::now();
    background::wait_for_revision(&[rig.runners[0].address()], from);
    let took = began.elapsed();
    rig::wait_until("a checkpoint is on the log", || {
        log_records(&rig)
            .iter()
            .any(|one| one["record"]["type"] == "checkpoint")
    });
    let after = rig.put_settings("50-limits.toml", &limit(3_333));
    background::wait_for_revision(&[rig.runners[0].address()], after);

    assert!(took < time::Duration::from_secs(5), "it took {took:?}");
    let changed = |event: &audit::Event| matches!(event, audit::Event::Accepted { made, .. } if made.offset == after);
    let events = trail(rig.runners[0].address());
    assert!(
        events.iter().any(changed),
        "it came as a record, not as a whole state"
    );
}

/// Guards against settings that never arrive because they take longer than a read may.
#[test]
fn settings_that_take_long_on_their_way_come_into_force() {
    let mut rig = relays::bare("");
    let log = relays::Relay::start(&rig, rig.log.address());
    let links = site::Endpoints {
        log: log.address(),
        entries: Vec::new(),
    };
    let entry = rig
        .site
        .entry(&site::Location::new("entry-0", "bento"), &links);
    rig.entries.push(entry.expect("an entry starts"));
    let bytes_per_s = 14 << 10;
    let filler = "# what operators note beside a limit\n".repeat(1_600);
    let way = time::Duration::from_secs(filler.len() as u64 / bytes_per_s);

    log.set(&relay::Behaviour::Pace { bytes_per_s });
    let began = time::Instant::now();
    let revision = rig.put_settings("50-limits.toml", &(filler + &limit(3_333)));
    background::wait_for_revision(&background::daemons(&rig), revision);
    let took = began.elapsed();

    assert!(took > way / 2, "the way carried more than it should");
    assert!(
        took < way + time::Duration::from_secs(5),
        "it took {took:?}"
    );
}
