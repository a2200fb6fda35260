//! Following the log: missing records, late answers, checkpoints in time.

use bulrushtiller::settings;
use bulrushtiller::settings::reader;
use rstest::rstest;

use super::fixtures;

const CHECKPOINT_MS: u64 = 60_000;
const MANY: usize = 100;

fn numbered_change(number: usize) -> serde_json::Value {
    let text = format!("[limits]\nmax_queued = {}\n", 1_000 + number);
    fixtures::change_document(fixtures::change(&format!("id{number}"), Some(&text), None))
}

fn changes(count: usize) -> Vec<serde_json::Value> {
    (0..count).map(numbered_change).collect()
}

fn follower() -> settings::Reader {
    settings::Reader::new(settings::State::new(), 0)
}

/// A reader that has taken in a whole log.
fn at_end(now_ms: u64, documents: &[serde_json::Value]) -> settings::Reader {
    let mut reader = follower();
    let taken = reader.apply_batch(now_ms, fixtures::batch(0, documents));
    assert_eq!(taken.read_status, reader::ReadStatus::AtEnd);
    reader
}

fn checkpoint_of(reader: &settings::Reader) -> serde_json::Value {
    fixtures::checkpoint_document(reader.state().checkpoint("entry-1"))
}

// The log is shut off for an hour, in which its oldest records expire. An entry then
// reads on and is answered with records that don't join on to its own. Had it gone on
// from there, a zone-out among the lost records would never be in force on it.
#[test]
fn missing_records_are_never_jumped() {
    let mut log = changes(5);
    let mut reader = at_end(0, &log[..1]);
    log.push(numbered_change(5));

    let taken = reader.apply_batch(1, fixtures::batch(3, &log[3..]));

    assert_eq!(
        (taken.applied.len(), taken.read_status),
        (0, reader::ReadStatus::MissingRecords)
    );
    assert_eq!((reader.state().position(), reader.read_from()), (1, 6));
}

#[test]
fn checkpoint_on_the_log_bridges_missing_records() {
    let mut log = changes(5);
    let whole = at_end(0, &log);
    log.push(checkpoint_of(&whole));
    log.push(numbered_change(5));
    let mut reader = follower();

    let taken = reader.apply_batch(1, fixtures::batch(4, &log[4..]));

    assert_eq!(taken.read_status, reader::ReadStatus::AtEnd);
    assert_eq!(reader.state(), at_end(0, &log).state());
}

#[test]
fn checkpoint_is_found_over_several_reads() {
    let mut log = changes(5);
    let whole = at_end(0, &log);
    log.push(checkpoint_of(&whole));
    let mut reader = follower();
    let part = |from: usize, to: usize| reader::Batch {
        first: 3,
        next: 6,
        entries: fixtures::entries(from as u64, &log[from..to]),
    };

    let first = reader.apply_batch(1, part(3, 5)).read_status;
    let from = reader.read_from();
    let second = reader.apply_batch(2, part(5, 6)).read_status;

    assert_eq!(
        (first, from, second),
        (reader::ReadStatus::Behind, 5, reader::ReadStatus::AtEnd)
    );
}

#[test]
fn checkpoint_with_a_gap_before_it_is_passed_by() {
    let log = changes(5);
    let early = checkpoint_of(&at_end(0, &log[..2]));
    let mut reader = follower();

    let taken = reader.apply_batch(1, fixtures::batch(4, &[early]));

    assert_eq!(
        (taken.read_status, reader.state().position()),
        (reader::ReadStatus::MissingRecords, 0)
    );
}

// A checkpoint names a position that the log had not reached when it was appended.
// Whoever started from it would skip the records in between, which all others apply.
#[test]
fn checkpoint_ahead_of_the_log_is_passed_by() {
    let ahead = checkpoint_of(&at_end(0, &changes(9)));
    let mut reader = follower();

    let taken = reader.apply_batch(1, fixtures::batch(4, &[ahead]));

    assert_eq!(
        (taken.read_status, reader.state().position()),
        (reader::ReadStatus::MissingRecords, 0)
    );
}

#[test]
fn peer_bridges_missing_records() {
    let log = changes(6);
    let peer = at_end(0, &log[..5]);
    let mut reader = follower();
    reader.apply_batch(1, fixtures::batch(4, &log[4..]));

    let adopted = reader.adopt(&peer.state().checkpoint("entry-2"));
    let from = reader.read_from();
    let taken = reader.apply_batch(2, fixtures::batch(4, &log[4..]));

    assert_eq!(
        (adopted, from, taken.read_status),
        (Ok(true), 5, reader::ReadStatus::AtEnd)
    );
    assert_eq!(reader.state(), at_end(0, &log).state());
}

#[test]
fn duplicated_and_reordered_records_are_applied_once_in_order() {
    let log = changes(4);
    let mut shuffled = fixtures::batch(0, &log);
    shuffled.entries.reverse();
    shuffled.entries.extend(fixtures::entries(0, &log));
    let mut reader = follower();

    let taken = reader.apply_batch(0, shuffled);

    assert_eq!(
        (taken.applied.len(), taken.read_status),
        (4, reader::ReadStatus::AtEnd)
    );
    assert_eq!(reader.state(), at_end(0, &log).state());
}

// An answer that was under way for long arrives after a newer one. Were its end taken
// for the log's end, the process would think itself fresh while it knows nothing of
// the present.
#[test]
fn late_answer_is_no_evidence() {
    let log = changes(4);
    let mut reader = at_end(0, &log);

    let taken = reader.apply_batch(1, fixtures::batch(0, &log[..2]));

    assert_eq!(taken.read_status, reader::ReadStatus::Stale);
    assert_eq!(reader.state(), at_end(0, &log).state());
}

#[rstest]
#[case::nothing_ever(0, 100 * CHECKPOINT_MS, false)]
#[case::young(1, CHECKPOINT_MS - 1, false)]
#[case::old_with_a_change(1, CHECKPOINT_MS, true)]
#[case::many_changes(MANY, 0, true)]
#[case::almost_many(MANY - 1, 0, false)]
fn checkpoint_falls_due(#[case] count: usize, #[case] now_ms: u64, #[case] due: bool) {
    let mut reader = at_end(0, &changes(count));

    let is_due = reader.checkpoint_due(now_ms, 0);

    assert_eq!(is_due, due);
}

#[rstest]
#[case::nothing_changed(CHECKPOINT_MS, false)]
#[case::refresh(reader::REFRESH_FACTOR * CHECKPOINT_MS, true)]
fn checkpoint_on_the_log_counts(#[case] now_ms: u64, #[case] due: bool) {
    let mut log = changes(3);
    log.push(checkpoint_of(&at_end(0, &log)));
    let mut reader = at_end(0, &log);

    let is_due = reader.checkpoint_due(now_ms, 0);

    assert_eq!(is_due, due);
}

// Nobody changes anything for days and the log drops its oldest records by age. When
// the last checkpoint goes too, an entry that starts finds an empty log, and nothing
// tells it which zones are out.
#[test]
fn checkpoint_is_renewed_before_it_expires() {
    let mut log = changes(10);
    log.push(checkpoint_of(&at_end(0, &log)));
    let mut reader = at_end(0, &log);
    let kept_from = |first: u64| reader::Batch {
        first,
        next: 11,
        entries: Vec::new(),
    };

    reader.apply_batch(1, kept_from(4));
    let early = reader.checkpoint_due(1, 0);
    reader.apply_batch(2, kept_from(5));
    let half_way = reader.checkpoint_due(2, 0);

    assert_eq!((early, half_way), (false, true));
}

#[test]
fn jitter_lets_one_entry_write_for_all() {
    let mut log = changes(3);
    let (mut eager, mut patient) = (at_end(0, &log), at_end(0, &log));
    let jitter_ms = reader::max_jitter_ms(CHECKPOINT_MS);

    let first = eager.checkpoint_due(CHECKPOINT_MS, 0);
    let held_back = patient.checkpoint_due(CHECKPOINT_MS, jitter_ms);
    log.push(checkpoint_of(&eager));
    patient.apply_batch(CHECKPOINT_MS + 5, fixtures::batch(0, &log));
    let spared = patient.checkpoint_due(CHECKPOINT_MS + jitter_ms, jitter_ms);

    assert_eq!((first, held_back, spared), (true, false, false));
}

#[test]
fn lost_checkpoint_is_tried_again_after_a_pause() {
    let mut reader = at_end(0, &changes(3));
    let due = reader.checkpoint_due(CHECKPOINT_MS, 0);
    reader.checkpoint_attempted(CHECKPOINT_MS);
    let pause_ms = reader::max_jitter_ms(CHECKPOINT_MS);

    let at_once = reader.checkpoint_due(CHECKPOINT_MS + pause_ms - 1, 0);
    let later = reader.checkpoint_due(CHECKPOINT_MS + pause_ms, 0);

    assert_eq!((due, at_once, later), (true, false, true));
}

#[test]
fn reader_that_is_behind_writes_no_checkpoint() {
    let log = changes(3);
    let mut reader = follower();
    let mut batch = fixtures::batch(0, &log);
    batch.next += 1;
    reader.apply_batch(0, batch);

    let is_due = reader.checkpoint_due(100 * CHECKPOINT_MS, 0);

    assert!(!is_due);
}
