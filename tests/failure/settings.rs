//! Accepted settings come into force in all processes within seconds and never revert.

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

/// Returns the log record of a change of one file.
fn change(id: &str, text: &str, base: Option<u64>) -> serde_json::Value {
    serde_json::json!({
        "type": "change", "version": 1, "id": id, "author": id,
        "time_ms": 0, "file": "50-limits.toml", "text": text, "base": base,
    })
}

fn queue_limit(max_queued: u32) -> String {
    format!("[limits]\nmax_queued = {max_queued}\n")
}

/// Appends a record and returns its offset, or `None` if no answer comes.
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

fn audit_events(address: net::SocketAddr) -> Vec<audit::Event> {
    let page: audit::Page = rig::get(address, "/audit?from=0", rig::TOKEN).expect("a page");
    page.events.into_iter().map(|one| one.event).collect()
}

fn revision_of(address: net::SocketAddr) -> Option<u64> {
    rig::status(address).revision
}

// A checkpoint is written in time, all records before it expire, and every process is replaced by
// a new one that has no other source than the log. Each new process reaches the same revision,
// and the zone that was out of service still is.
#[test]
fn new_processes_start_from_a_checkpoint_when_records_have_expired() {
    let mut rig = rig::Rig::start(&rig::Plan {
        settings: "[timeouts]\ncheckpoint_ms = 400\n".to_owned(),
        ..rig::Plan::default()
    });
    let revision = rig.set_zone_out("caxias", true);
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
    rig.endpoints.entries.clear();
    rig.add_entry("new-entry", "bento");
    rig.add_runner("new-runner", "caxias", &[]);

    background::wait_for_revision(&background::daemons(&rig), revision);
    for address in background::daemons(&rig) {
        let status = rig::status(address);
        assert_eq!(status.revision, Some(revision));
        assert_eq!(status.zones_out, vec!["caxias"]);
    }
}

// Four operators change the settings on the same base at the same time. The same single change
// comes into force in every process. The other operators find in the audit trail of any entry
// that their changes were rejected because of a conflict.
#[test]
fn exactly_one_of_concurrent_changes_is_accepted() {
    let rig = rig::Rig::start(&rig::Plan::default());
    let revisions = background::RevisionMonitor::watch(background::daemons(&rig));
    let base = revision_of(rig.entries[0].address());

    let offsets: Vec<_> = std::thread::scope(|scope| {
        let operators = (0..4).map(|racer| {
            let record = change(
                &format!("operator-{racer}"),
                &queue_limit(1_000 + racer),
                base,
            );
            let rig = &rig;
            scope.spawn(move || append(rig, &record).expect("an answer"))
        });
        let operators: Vec<_> = operators.collect();
        let join = |one: std::thread::ScopedJoinHandle<'_, _>| one.join().expect("an offset");
        operators.into_iter().map(join).collect()
    });
    let first = *offsets.iter().min().expect("an offset");
    let last = *offsets.iter().max().expect("an offset");
    rig::wait_until("the entries have accepted or rejected all changes", || {
        let has_all = |address| {
            let events = audit_events(address);
            let decided = |event: &audit::Event| match event {
                audit::Event::Accepted { made, .. } | audit::Event::Rejected { made, .. } => {
                    made.offset >= first && made.offset <= last
                }
                _ => false,
            };
            events.into_iter().filter(decided).count() == offsets.len()
        };
        rig.entries.iter().all(|one| has_all(one.address()))
    });
    background::wait_for_revision(&background::daemons(&rig), first);

    for address in background::daemons(&rig) {
        assert_eq!(revision_of(address), Some(first));
    }
    for entry in &rig.entries {
        let events = audit_events(entry.address());
        let is_conflict = |event: &&audit::Event| {
            matches!(
                event,
                audit::Event::Rejected {
                    code: codes::Code::SettingsConflict,
                    ..
                }
            )
        };
        assert_eq!(events.iter().filter(is_conflict).count(), offsets.len() - 1);
        let in_force = |event: &audit::Event| matches!(event, audit::Event::InForce { revision, .. } if *revision == Some(first));
        assert!(events.iter().any(in_force));
    }
    revisions.assert_monotone();
}

// An append takes effect, but its answer is lost. After another operator has changed the same
// file, the first operator's tool appends its change again under the same id. The repeat has no
// effect: the later change stays in force in all processes.
#[test]
fn repeated_append_does_not_undo_a_later_change() {
    let rig = rig::Rig::start(&rig::Plan::default());
    let revisions = background::RevisionMonitor::watch(background::daemons(&rig));
    let first = change("lost", &queue_limit(1_111), None);

    rig.control_log(&serde_json::json!({"mode": "lose_answers"}));
    let unanswered = append(&rig, &first);
    rig.control_log(&serde_json::json!({"mode": "up"}));
    let later = append(&rig, &change("later", &queue_limit(2_222), None)).expect("an answer");
    let repeat = append(&rig, &first).expect("an answer");
    rig::wait_until("the entries have read the repeat", || {
        let is_repeat = |event: &audit::Event| matches!(event, audit::Event::Repeated { made, .. } if made.offset == repeat);
        let has_read = |one: &bulrushtiller_standins::processes::Process| {
            audit_events(one.address()).iter().any(is_repeat)
        };
        rig.entries.iter().all(has_read)
    });
    background::wait_for_revision(&background::daemons(&rig), later);

    assert_eq!(unanswered, None);
    for address in background::daemons(&rig) {
        assert_eq!(revision_of(address), Some(later));
    }
    revisions.assert_monotone();
}

// All entries are replaced at once by entries with other addresses, which neither the runners
// nor the other new entries know. All processes discover each other through the log, jobs run
// again, and the settings are unchanged.
#[test]
fn simultaneously_replaced_entries_are_discovered() {
    let mut rig = rig::Rig::start(&rig::Plan::default());
    let revision = rig.set_zone_out("bento", true);
    background::wait_for_revision(&background::daemons(&rig), revision);

    rig.entries.clear();
    for name in ["entry-0", "entry-1"] {
        rig.endpoints.entries.clear();
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
    let answer = rig.submit(1, &rig::job(&vec![rig::sleep_payload(20, "again"); 4]));

    assert_eq!(answer.expect("an answer").code, codes::Code::Complete);
    for address in background::daemons(&rig) {
        assert_eq!(revision_of(address), Some(revision));
    }
}

// An entry and a runner are replaced while the log is down. They fetch the settings from the
// remaining entry, so that they know the tokens and the zone that is out of service, and jobs
// run.
#[test]
fn processes_replaced_during_log_outage_fetch_settings_from_peers() {
    let mut rig = rig::Rig::start(&rig::Plan::default());
    let revision = rig.set_zone_out("caxias", true);
    background::wait_for_revision(&background::daemons(&rig), revision);
    let revisions = background::RevisionMonitor::watch(background::daemons(&rig));

    rig.control_log(&serde_json::json!({"mode": "down"}));
    drop(rig.entries.remove(1));
    rig.endpoints.entries.pop();
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
    let answer = rig.submit(1, &rig::job(&vec![rig::sleep_payload(20, "outage"); 4]));

    let answer = answer.expect("an answer");
    assert_eq!(answer.code, codes::Code::Complete);
    let zones = answer.tasks.iter().map(|task| task.zone.as_deref());
    assert!(zones.into_iter().all(|zone| zone == Some("bento")));
    revisions.assert_monotone();
}

// Every process is replaced while the log is down and a zone is out of service, so no process
// has the settings. Guards against processes that act on default settings: calls are refused as
// not run, `/readyz` reports it, and no runner is fresh. When the log is back, the earlier
// settings are in force again.
#[test]
fn processes_without_settings_refuse_work_until_log_returns() {
    let mut rig = rig::Rig::start(&rig::Plan::default());
    let revision = rig.set_zone_out("caxias", true);
    background::wait_for_revision(&background::daemons(&rig), revision);

    rig.control_log(&serde_json::json!({"mode": "down"}));
    rig.entries.clear();
    rig.runners.clear();
    rig.endpoints.entries.clear();
    rig.add_entry("new-0", "caxias");
    rig.add_entry("new-1", "bento");
    rig.add_runner("new-c", "caxias", &[]);
    rig.add_runner("new-b", "bento", &[]);
    let knows_others = |entry: &bulrushtiller_standins::processes::Process| {
        rig::status(entry.address()).peers.len() >= 3
    };
    rig::wait_until("the new processes know each other", || {
        rig.entries.iter().all(knows_others)
    });
    std::thread::sleep(time::Duration::from_secs(2));
    let refused = rig.submit(0, &rig::job(&[rig::sleep_payload(20, "too-early")]));
    let ready: Option<api::Answer> = rig::get(rig.entries[0].address(), "/readyz", rig::TOKEN);
    let fresh: Vec<_> = rig
        .runners
        .iter()
        .map(|one| rig::status(one.address()).fresh)
        .collect();
    rig.control_log(&serde_json::json!({"mode": "up"}));
    background::wait_for_revision(&background::daemons(&rig), revision);
    rig.wait_until_serving(2);
    let after = rig.submit(0, &rig::job(&vec![rig::sleep_payload(20, "after"); 4]));

    assert_eq!(refused.expect("an answer").code, codes::Code::NotFresh);
    assert_eq!(ready.expect("a refusal").code, codes::Code::NotFresh);
    assert_eq!(fresh, vec![false, false]);
    assert_eq!(rig.starts_of(&rig::sleep_payload(20, "too-early")), 0);
    let after = after.expect("an answer");
    assert_eq!(after.code, codes::Code::Complete);
    let zones = after.tasks.iter().map(|task| task.zone.as_deref());
    assert!(zones.into_iter().all(|zone| zone == Some("bento")));
}

// A runner can't reach the log, but the entries can. It gets changes through an entry within
// seconds, also those that follow a checkpoint among the records.
#[test]
fn runner_partitioned_from_log_gets_changes_from_entries() {
    let mut rig = relays::log_only_rig("");
    rig.add_entry("entry-0", "bento");
    let log = relays::Relay::start(&rig, rig.log.address());
    let endpoints = site::Endpoints {
        log: log.address(),
        entries: rig.endpoints.entries.clone(),
    };
    relays::runner_with_endpoints(&mut rig, "runner-0", "caxias", &endpoints);
    rig.wait_until_serving(1);

    log.disconnect();
    let from = rig.put_settings("20-more.toml", "[timeouts]\ncheckpoint_ms = 100\n");
    let began = time::Instant::now();
    background::wait_for_revision(&[rig.runners[0].address()], from);
    let took = began.elapsed();
    rig::wait_until("a checkpoint is on the log", || {
        log_records(&rig)
            .iter()
            .any(|one| one["record"]["type"] == "checkpoint")
    });
    let after = rig.put_settings("50-limits.toml", &queue_limit(3_333));
    background::wait_for_revision(&[rig.runners[0].address()], after);

    assert!(took < time::Duration::from_secs(5), "it took {took:?}");
    let changed = |event: &audit::Event| matches!(event, audit::Event::Accepted { made, .. } if made.offset == after);
    let events = audit_events(rig.runners[0].address());
    assert!(
        events.iter().any(changed),
        "the change arrives as a record, not as a complete state"
    );
}

/// Guards against settings that never arrive because their transfer takes longer than the
/// time-out of a read.
#[test]
fn slowly_transferred_settings_come_into_force() {
    let mut rig = relays::log_only_rig("");
    let log = relays::Relay::start(&rig, rig.log.address());
    let endpoints = site::Endpoints {
        log: log.address(),
        entries: Vec::new(),
    };
    let entry = rig
        .site
        .entry(&site::Location::new("entry-0", "bento"), &endpoints);
    rig.entries.push(entry.expect("an entry starts"));
    let bytes_per_s = 14 << 10;
    let filler = "# what operators note beside a limit\n".repeat(1_600);
    let transfer_time = time::Duration::from_secs(filler.len() as u64 / bytes_per_s);

    log.set_behaviour(&relay::Behaviour::Pace { bytes_per_s });
    let began = time::Instant::now();
    let revision = rig.put_settings("50-limits.toml", &(filler + &queue_limit(3_333)));
    background::wait_for_revision(&background::daemons(&rig), revision);
    let took = began.elapsed();

    assert!(
        took > transfer_time / 2,
        "the relay exceeded its transfer rate"
    );
    assert!(
        took < transfer_time + time::Duration::from_secs(5),
        "it took {took:?}"
    );
}
