//! Exchange of settings between processes.

use bulrushtiller::audit;
use bulrushtiller::settings;
use bulrushtiller::settings::reader;
use bulrushtiller::settings_replica;
use bulrushtiller::wire;
use proptest::prelude::*;
use smol_str::SmolStr;

use crate::settings::fixtures;

const CASES: u32 = 200;

fn replica(name: &str) -> settings_replica::SettingsReplica {
    settings_replica::SettingsReplica::new(SmolStr::new(name), SmolStr::new_static("caxias"), 0)
}

fn numbered_change(number: usize) -> serde_json::Value {
    let text = format!("[limits]\nmax_queued = {}\n", 1_000 + number);
    fixtures::change_document(fixtures::change(&format!("id{number}"), Some(&text), None))
}

/// Returns a log with the given number of changes and a checkpoint after every third change.
fn log(changes: usize) -> Vec<serde_json::Value> {
    let mut documents = Vec::new();
    let mut state = settings::State::new();
    for number in 0..changes {
        documents.push(numbered_change(number));
        state.apply_json(state.position(), documents.last().expect("a document"));
        if number % 3 == 2 {
            documents.push(fixtures::checkpoint_document(state.checkpoint("entry")));
            state.skip(state.position());
        }
    }
    documents
}

fn read_all(
    replica: &mut settings_replica::SettingsReplica,
    documents: &[serde_json::Value],
) -> settings_replica::Update {
    replica.apply_log_batch(1, 1, fixtures::batch(0, documents))
}

fn query(replica: &settings_replica::SettingsReplica) -> wire::SettingsQuery {
    wire::SettingsQuery {
        version: wire::VERSION,
        position: replica.state().position(),
    }
}

fn query_peer(
    requester: &mut settings_replica::SettingsReplica,
    responder: &settings_replica::SettingsReplica,
) -> settings_replica::Update {
    let reply = responder.reply(&query(requester));
    requester.apply_peer_reply(1, 1, &SmolStr::new_static("peer"), reply)
}

#[test]
fn reply_contains_records_from_the_position_without_checkpoints() {
    let documents = log(6);
    let (mut ahead, mut behind) = (replica("ahead"), replica("behind"));
    read_all(&mut ahead, &documents);
    read_all(&mut behind, &documents[..2]);

    let reply = ahead.reply(&query(&behind));
    query_peer(&mut behind, &ahead);

    let left_out: Vec<u64> = reply
        .records
        .iter()
        .filter(|logged| logged.record.is_none())
        .map(|logged| logged.offset)
        .collect();
    assert_eq!((reply.state, left_out), (None, vec![3, 7]));
    assert_eq!(behind.state(), ahead.state());
}

#[test]
fn reply_contains_the_whole_state_if_records_are_no_longer_kept() {
    let documents = log(300);
    let (mut ahead, mut behind) = (replica("ahead"), replica("behind"));
    read_all(&mut ahead, &documents);

    let reply = ahead.reply(&query(&behind));
    let update = query_peer(&mut behind, &ahead);

    assert!(reply.state.is_some() && reply.records.is_empty());
    assert!(update.is_changed);
    assert_eq!(behind.state(), ahead.state());
}

// A hundred changes of 60 KB exceed the message size limit together. If they were all sent,
// the requester would reject the reply every time and never receive the newest settings.
#[test]
fn reply_stays_below_the_message_size_limit() {
    let padding = "#".repeat(60_000);
    let documents: Vec<_> = (0..100)
        .map(|number| {
            let text = format!("{padding}\n[limits]\nmax_queued = {}\n", 1_000 + number);
            fixtures::change_document(fixtures::change(&format!("id{number}"), Some(&text), None))
        })
        .collect();
    let (mut ahead, mut behind) = (replica("ahead"), replica("behind"));
    read_all(&mut ahead, &documents);
    read_all(&mut behind, &documents[..1]);

    let reply = ahead.reply(&query(&behind));
    query_peer(&mut behind, &ahead);

    let bytes = wire::encode(&reply).expect("a message").len();
    assert!(bytes < 2 << 20, "{bytes} bytes");
    assert_eq!(behind.state().revision(), ahead.state().revision());
}

// A peer that is itself behind replies with all of its records. If the last one counted as
// the end of the log, this process would stay fresh although a zone was taken out of service.
#[test]
fn reply_of_a_peer_is_no_evidence_of_freshness() {
    let (mut ahead, mut behind) = (replica("ahead"), replica("behind"));
    read_all(&mut ahead, &log(3));

    let update = query_peer(&mut behind, &ahead);

    assert!(update.is_changed && !update.is_at_end);
}

#[test]
fn late_answer_of_the_log_is_no_evidence_of_freshness() {
    let documents = log(6);
    let mut replica = replica("one");
    let at_end = read_all(&mut replica, &documents).is_at_end;

    let late = read_all(&mut replica, &documents[..4]);

    assert!(at_end && !late.is_at_end);
}

// A peer resumes after an hour of suspension and offers its older state. The state must be
// ignored, and the trail must record the peer that offered it.
#[test]
fn older_state_of_a_peer_is_ignored_and_recorded() {
    let documents = log(300);
    let (mut old, mut new) = (replica("old"), replica("new"));
    read_all(&mut old, &documents[..2]);
    read_all(&mut new, &documents);
    let in_force = new.state().revision();
    let reply = wire::SettingsReply {
        version: wire::VERSION,
        records: Vec::new(),
        state: Some(old.state().checkpoint("old")),
    };

    let update = new.apply_peer_reply(2, 2, &SmolStr::new_static("old"), reply);

    assert!(!update.is_changed);
    assert_eq!(new.state().revision(), in_force);
    assert!(trail(&new).iter().any(|event| matches!(
        event,
        audit::Event::RevertAttempt {
            offered: Some(1),
            ..
        }
    )));
}

/// Reads the whole audit trail, page by page.
fn trail(replica: &settings_replica::SettingsReplica) -> Vec<audit::Event> {
    let mut events = Vec::new();
    let mut from = 0;
    loop {
        let page = replica.audit(from);
        if page.events.is_empty() {
            return events;
        }
        from = page.next;
        events.extend(page.events.into_iter().map(|numbered| numbered.event));
    }
}

#[test]
fn trail_records_process_zone_and_time_of_a_new_revision() {
    let mut replica = replica("one");

    replica.apply_log_batch(1, 1_234, fixtures::batch(0, &log(1)));

    let expected = audit::Event::InForce {
        process: SmolStr::new_static("one"),
        zone: SmolStr::new_static("caxias"),
        revision: Some(0),
        time_ms: 1_234,
    };
    assert_eq!(trail(&replica).last(), Some(&expected));
}

#[test]
fn due_checkpoint_is_returned_once() {
    let mut replica = replica("one");
    let documents: Vec<_> = (0..100).map(numbered_change).collect();
    read_all(&mut replica, &documents);

    let first = replica.checkpoint_due(1, 0);
    let second = replica.checkpoint_due(2, 0);

    let is_complete = |record: settings::Record| matches!(record, settings::Record::Checkpoint(returned) if returned.position == 100);
    assert!(first.is_some_and(is_complete) && second.is_none());
}

/// One exchange between two replicas or between a replica and the log.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// The replica reads up to this many more records.
    Read(usize, usize),
    /// The first replica queries the second, and the reply is delivered twice.
    Query(usize, usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..3_usize, 1..4_usize).prop_map(|(index, count)| Step::Read(index, count)),
        (0..3_usize, 0..3_usize).prop_map(|(index, other)| Step::Query(index, other)),
    ]
}

fn replay(documents: &[serde_json::Value]) -> settings::State {
    let mut state = settings::State::new();
    for (offset, document) in (0..).zip(documents) {
        state.apply_json(offset, document);
    }
    state
}

#[test]
fn replicas_match_a_full_replay_for_any_order_of_exchanges() {
    let mut runner = fixtures::fixed_runner(CASES);
    let documents = log(12);
    let steps = prop::collection::vec(step(), 1..60);

    let outcome = runner.run(&steps, |steps| {
        let mut replicas = [replica("a"), replica("b"), replica("c")];
        for step in steps {
            match step {
                Step::Read(index, count) => {
                    let from = usize::try_from(replicas[index].read_from()).unwrap_or(usize::MAX);
                    let to = documents.len().min(from.saturating_add(count));
                    let batch = reader::Batch {
                        first: 0,
                        next: documents.len() as u64,
                        entries: fixtures::entries(from as u64, &documents[from..to]),
                    };
                    let update = replicas[index].apply_log_batch(1, 1, batch);
                    prop_assert_eq!(update.is_at_end, to == documents.len());
                }
                Step::Query(index, other) => {
                    let reply = replicas[other].reply(&query(&replicas[index]));
                    let peer = SmolStr::new_static("peer");
                    replicas[index].apply_peer_reply(1, 1, &peer, reply.clone());
                    replicas[index].apply_peer_reply(1, 1, &peer, reply);
                }
            }
            for replica in &replicas {
                let position = usize::try_from(replica.state().position()).unwrap_or(usize::MAX);
                prop_assert_eq!(replica.state(), &replay(&documents[..position]));
            }
        }
        Ok(())
    });

    outcome.expect("no failing case");
}
