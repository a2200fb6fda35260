//! The log reader: missing records, late answers and the timing of checkpoints.

use bulrushtiller::settings;
use bulrushtiller::settings::reader;
use rstest::rstest;

use super::fixtures;

const CHECKPOINT_MS: u64 = 60_000;
const MAX_CHANGES: usize = 100;

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

/// Returns a reader that has applied a whole log.
fn at_end(now_ms: u64, documents: &[serde_json::Value]) -> settings::Reader {
    let mut reader = follower();
    let taken = reader.apply_batch(now_ms, fixtures::batch(0, documents));
    assert_eq!(taken.read_status, reader::ReadStatus::AtEnd);
    reader
}

fn checkpoint_of(reader: &settings::Reader) -> serde_json::Value {
    fixtures::checkpoint_document(reader.state().checkpoint("entry-1"))
}

// The log is unreachable for an hour in which its oldest records expire, so the next records
// that an entry reads are not contiguous with its own. If it applied them, a zone taken out
// of service by one of the expired records would stay in service on that entry.
#[test]
fn expired_records_are_not_skipped() {
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
fn checkpoint_on_the_log_covers_missing_records() {
    let mut log = changes(5);
    let full_reader = at_end(0, &log);
    log.push(checkpoint_of(&full_reader));
    log.push(numbered_change(5));
    let mut reader = follower();

    let taken = reader.apply_batch(1, fixtures::batch(4, &log[4..]));

    assert_eq!(taken.read_status, reader::ReadStatus::AtEnd);
    assert_eq!(reader.state(), at_end(0, &log).state());
}

#[test]
fn checkpoint_is_found_across_several_reads() {
    let mut log = changes(5);
    let full_reader = at_end(0, &log);
    log.push(checkpoint_of(&full_reader));
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
fn checkpoint_followed_by_a_gap_is_ignored() {
    let log = changes(5);
    let early_checkpoint = checkpoint_of(&at_end(0, &log[..2]));
    let mut reader = follower();

    let taken = reader.apply_batch(1, fixtures::batch(4, &[early_checkpoint]));

    assert_eq!(
        (taken.read_status, reader.state().position()),
        (reader::ReadStatus::MissingRecords, 0)
    );
}

// A checkpoint has a position that the log had not reached when it was appended. A process
// that started from it would skip the records in between, which all others apply.
#[test]
fn checkpoint_ahead_of_the_log_is_ignored() {
    let ahead = checkpoint_of(&at_end(0, &changes(9)));
    let mut reader = follower();

    let taken = reader.apply_batch(1, fixtures::batch(4, &[ahead]));

    assert_eq!(
        (taken.read_status, reader.state().position()),
        (reader::ReadStatus::MissingRecords, 0)
    );
}

#[test]
fn state_of_a_peer_covers_missing_records() {
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

// A delayed answer arrives after a newer one. If its end counted as the end of the log, the
// process would consider itself fresh without knowing the latest records.
#[test]
fn late_answer_is_reported_as_stale() {
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
#[case::many_changes(MAX_CHANGES, 0, true)]
#[case::almost_many(MAX_CHANGES - 1, 0, false)]
fn checkpoint_is_due_by_age_or_number_of_changes(
    #[case] count: usize,
    #[case] now_ms: u64,
    #[case] expected: bool,
) {
    let mut reader = at_end(0, &changes(count));

    let is_due = reader.checkpoint_due(now_ms, 0);

    assert_eq!(is_due, expected);
}

#[rstest]
#[case::nothing_changed(CHECKPOINT_MS, false)]
#[case::refresh(reader::REFRESH_FACTOR * CHECKPOINT_MS, true)]
fn checkpoint_on_the_log_delays_the_next_one(#[case] now_ms: u64, #[case] expected: bool) {
    let mut log = changes(3);
    log.push(checkpoint_of(&at_end(0, &log)));
    let mut reader = at_end(0, &log);

    let is_due = reader.checkpoint_due(now_ms, 0);

    assert_eq!(is_due, expected);
}

// Without changes for days, the log expires its records by age. If the last checkpoint expired
// too, a starting entry would find an empty log and not know which zones are out of service.
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
    let before_half = reader.checkpoint_due(1, 0);
    reader.apply_batch(2, kept_from(5));
    let at_half = reader.checkpoint_due(2, 0);

    assert_eq!((before_half, at_half), (false, true));
}

#[test]
fn checkpoint_written_during_the_jitter_spares_other_processes() {
    let mut log = changes(3);
    let (mut eager, mut patient) = (at_end(0, &log), at_end(0, &log));
    let jitter_ms = reader::max_jitter_ms(CHECKPOINT_MS);

    let first = eager.checkpoint_due(CHECKPOINT_MS, 0);
    let delayed = patient.checkpoint_due(CHECKPOINT_MS, jitter_ms);
    log.push(checkpoint_of(&eager));
    patient.apply_batch(CHECKPOINT_MS + 5, fixtures::batch(0, &log));
    let after_write = patient.checkpoint_due(CHECKPOINT_MS + jitter_ms, jitter_ms);

    assert_eq!((first, delayed, after_write), (true, false, false));
}

#[test]
fn lost_checkpoint_is_retried_after_a_pause() {
    let mut reader = at_end(0, &changes(3));
    let initial = reader.checkpoint_due(CHECKPOINT_MS, 0);
    reader.checkpoint_attempted(CHECKPOINT_MS);
    let pause_ms = reader::max_jitter_ms(CHECKPOINT_MS);

    let at_once = reader.checkpoint_due(CHECKPOINT_MS + pause_ms - 1, 0);
    let later = reader.checkpoint_due(CHECKPOINT_MS + pause_ms, 0);

    assert_eq!((initial, at_once, later), (true, false, true));
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
