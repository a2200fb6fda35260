//! Settings on their way from process to process.

use bulrushtiller::audit;
use bulrushtiller::settings;
use bulrushtiller::settings::reader;
use bulrushtiller::settings_replica;
use bulrushtiller::wire;
use proptest::prelude::*;
use smol_str::SmolStr;

use crate::settings::fixtures;

const CASES: u32 = 200;

fn keeper(name: &str) -> settings_replica::SettingsReplica {
    settings_replica::SettingsReplica::new(SmolStr::new(name), SmolStr::new_static("caxias"), 0)
}

fn numbered_change(number: usize) -> serde_json::Value {
    let text = format!("[limits]\nmax_queued = {}\n", 1_000 + number);
    fixtures::change_document(fixtures::change(&format!("id{number}"), Some(&text), None))
}

/// A log of so many changes, with a checkpoint after each third record.
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
    keeper: &mut settings_replica::SettingsReplica,
    documents: &[serde_json::Value],
) -> settings_replica::Update {
    keeper.apply_log_batch(1, 1, fixtures::batch(0, documents))
}

fn query(keeper: &settings_replica::SettingsReplica) -> wire::SettingsQuery {
    wire::SettingsQuery {
        version: wire::VERSION,
        position: keeper.state().position(),
    }
}

fn ask(
    asker: &mut settings_replica::SettingsReplica,
    asked: &settings_replica::SettingsReplica,
) -> settings_replica::Update {
    let reply = asked.reply(&query(asker));
    asker.apply_peer_reply(1, 1, &SmolStr::new_static("peer"), reply)
}

#[test]
fn records_go_by_position_with_checkpoints_left_out() {
    let documents = log(6);
    let (mut ahead, mut behind) = (keeper("ahead"), keeper("behind"));
    read_all(&mut ahead, &documents);
    read_all(&mut behind, &documents[..2]);

    let reply = ahead.reply(&query(&behind));
    ask(&mut behind, &ahead);

    let left_out: Vec<u64> = reply
        .records
        .iter()
        .filter(|one| one.record.is_none())
        .map(|one| one.offset)
        .collect();
    assert_eq!((reply.state, left_out), (None, vec![3, 7]));
    assert_eq!(behind.state(), ahead.state());
}

#[test]
fn whole_state_goes_where_records_are_no_longer_at_hand() {
    let documents = log(300);
    let (mut ahead, mut behind) = (keeper("ahead"), keeper("behind"));
    read_all(&mut ahead, &documents);

    let reply = ahead.reply(&query(&behind));
    let taken = ask(&mut behind, &ahead);

    assert!(reply.state.is_some() && reply.records.is_empty());
    assert!(taken.is_changed);
    assert_eq!(behind.state(), ahead.state());
}

// A change of 60 KB comes dozens of times. The records together are larger than a
// message may be; sent so, the asker would refuse them again and again.
#[test]
fn reply_always_fits_a_message() {
    let padding = "#".repeat(60_000);
    let documents: Vec<_> = (0..100)
        .map(|number| {
            let text = format!("{padding}\n[limits]\nmax_queued = {}\n", 1_000 + number);
            fixtures::change_document(fixtures::change(&format!("id{number}"), Some(&text), None))
        })
        .collect();
    let (mut ahead, mut behind) = (keeper("ahead"), keeper("behind"));
    read_all(&mut ahead, &documents);
    read_all(&mut behind, &documents[..1]);

    let reply = ahead.reply(&query(&behind));
    ask(&mut behind, &ahead);

    let bytes = wire::encode(&reply).expect("a message").len();
    assert!(bytes < 2 << 20, "{bytes} bytes");
    assert_eq!(behind.state().revision(), ahead.state().revision());
}

// A peer that is itself far behind answers with all that it has. Taken for the log's
// end, this process would go on as fresh while a zone has long been taken out.
#[test]
fn reply_of_a_peer_is_no_evidence() {
    let (mut ahead, mut behind) = (keeper("ahead"), keeper("behind"));
    read_all(&mut ahead, &log(3));

    let taken = ask(&mut behind, &ahead);

    assert!(taken.is_changed && !taken.is_at_end);
}

#[test]
fn late_answer_of_the_log_is_no_evidence() {
    let documents = log(6);
    let mut keeper = keeper("one");
    let at_end = read_all(&mut keeper, &documents).is_at_end;

    let late = read_all(&mut keeper, &documents[..4]);

    assert!(at_end && !late.is_at_end);
}

// A peer was frozen for an hour and thaws. Its older state is passed by, and the
// trail says who offered it.
#[test]
fn older_state_of_a_peer_is_passed_by_and_noted() {
    let documents = log(300);
    let (mut old, mut new) = (keeper("old"), keeper("new"));
    read_all(&mut old, &documents[..2]);
    read_all(&mut new, &documents);
    let in_force = new.state().revision();
    let reply = wire::SettingsReply {
        version: wire::VERSION,
        records: Vec::new(),
        state: Some(old.state().checkpoint("old")),
    };

    let taken = new.apply_peer_reply(2, 2, &SmolStr::new_static("old"), reply);

    assert!(!taken.is_changed);
    assert_eq!(new.state().revision(), in_force);
    assert!(trail(&new).iter().any(|event| matches!(
        event,
        audit::Event::RevertAttempt {
            offered: Some(1),
            ..
        }
    )));
}

/// The whole trail, page by page.
fn trail(keeper: &settings_replica::SettingsReplica) -> Vec<audit::Event> {
    let mut events = Vec::new();
    let mut from = 0;
    loop {
        let page = keeper.audit(from);
        if page.events.is_empty() {
            return events;
        }
        from = page.next;
        events.extend(page.events.into_iter().map(|one| one.event));
    }
}

#[test]
fn trail_tells_what_is_in_force_where_and_when() {
    let mut keeper = keeper("one");

    keeper.apply_log_batch(1, 1_234, fixtures::batch(0, &log(1)));

    let expected = audit::Event::InForce {
        process: SmolStr::new_static("one"),
        zone: SmolStr::new_static("caxias"),
        revision: Some(0),
        time_ms: 1_234,
    };
    assert_eq!(trail(&keeper).last(), Some(&expected));
}

#[test]
fn checkpoint_is_due_once() {
    let mut keeper = keeper("one");
    let documents: Vec<_> = (0..100).map(numbered_change).collect();
    read_all(&mut keeper, &documents);

    let first = keeper.checkpoint_due(1, 0);
    let second = keeper.checkpoint_due(2, 0);

    let is_whole = |record: settings::Record| matches!(record, settings::Record::Checkpoint(one) if one.position == 100);
    assert!(first.is_some_and(is_whole) && second.is_none());
}

/// One exchange between keepers or with the log.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// This keeper reads up to so many records more.
    Read(usize, usize),
    /// The first asks the second, and the answer is delivered twice.
    Ask(usize, usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..3_usize, 1..4_usize).prop_map(|(one, count)| Step::Read(one, count)),
        (0..3_usize, 0..3_usize).prop_map(|(one, other)| Step::Ask(one, other)),
    ]
}

fn naive(documents: &[serde_json::Value]) -> settings::State {
    let mut state = settings::State::new();
    for (offset, document) in (0..).zip(documents) {
        state.apply_json(offset, document);
    }
    state
}

#[test]
fn keepers_equal_the_naive_replay_whatever_came_from_whom() {
    let mut runner = fixtures::fixed_runner(CASES);
    let documents = log(12);
    let steps = prop::collection::vec(step(), 1..60);

    let outcome = runner.run(&steps, |steps| {
        let mut keepers = [keeper("a"), keeper("b"), keeper("c")];
        for step in steps {
            match step {
                Step::Read(one, count) => {
                    let from = usize::try_from(keepers[one].read_from()).unwrap_or(usize::MAX);
                    let to = documents.len().min(from.saturating_add(count));
                    let batch = reader::Batch {
                        first: 0,
                        next: documents.len() as u64,
                        entries: fixtures::entries(from as u64, &documents[from..to]),
                    };
                    let taken = keepers[one].apply_log_batch(1, 1, batch);
                    prop_assert_eq!(taken.is_at_end, to == documents.len());
                }
                Step::Ask(one, other) => {
                    let reply = keepers[other].reply(&query(&keepers[one]));
                    let peer = SmolStr::new_static("peer");
                    keepers[one].apply_peer_reply(1, 1, &peer, reply.clone());
                    keepers[one].apply_peer_reply(1, 1, &peer, reply);
                }
            }
            for keeper in &keepers {
                let position = usize::try_from(keeper.state().position()).unwrap_or(usize::MAX);
                prop_assert_eq!(keeper.state(), &naive(&documents[..position]));
            }
        }
        Ok(())
    });

    outcome.expect("no counter-example");
}
