//! The audit trail: events derived from records, bounded sizes, and pages.

use bulrushtiller::audit;
use bulrushtiller::audit::event;
use bulrushtiller::audit::ring;
use bulrushtiller::codes;
use bulrushtiller::settings;
use bulrushtiller::settings::reader;
use serde_json::json;

use crate::settings::fixtures;

fn log() -> Vec<serde_json::Value> {
    let put = |id: &str, text: &str, base| {
        fixtures::change_document(fixtures::change(id, Some(text), base))
    };
    let mut log = vec![
        put("ana", "[zones.bento]\nout = true\n", None),
        put("bia", "[zones.bento]\nout = 1\n", None),
        put("caio", "", Some(7)),
        put("ana", "[zones.bento]\nout = true\n", None),
        json!("junk"),
    ];
    let state = reader_at_end(0, &log).state().checkpoint("entry-1");
    log.push(fixtures::change_document(fixtures::change(
        "davi",
        None,
        Some(0),
    )));
    log.push(fixtures::checkpoint_document(state));
    log
}

fn reader_at_end(first: u64, documents: &[serde_json::Value]) -> settings::Reader {
    let mut reader = settings::Reader::new(settings::State::new(), 0);
    let outcome = reader.apply_batch(0, fixtures::batch(first, documents));
    assert_eq!(outcome.read_status, reader::ReadStatus::AtEnd);
    reader
}

fn in_force(revision: u64) -> audit::Event {
    audit::Event::InForce {
        process: "runner-1".into(),
        zone: "bento".into(),
        revision: Some(revision),
        time_ms: 7,
    }
}

#[test]
fn replayed_trail_has_author_change_and_result_of_each_record() {
    let entries = fixtures::entries(0, &log());

    let trail = serde_json::to_value(audit::replay(entries)).expect("events are JSON");

    let field = |index: usize, key: &str| trail[index][key].clone();
    let kinds: Vec<_> = (0..7).map(|index| field(index, "event")).collect();
    let expected = [
        "accepted",
        "rejected",
        "rejected",
        "repeated",
        "rejected",
        "accepted",
        "revert_attempt",
    ];
    assert_eq!(kinds, expected);
    assert_eq!(field(0, "author"), "ana");
    assert_eq!(
        field(0, "changed"),
        json!([{"key": "zones.bento.out", "new": "true"}])
    );
    assert_eq!(field(1, "code"), codes::Code::SettingsWrongType.number());
    assert_eq!(field(1, "problems")[0]["line"], 2);
    assert_eq!(field(2, "code"), codes::Code::SettingsConflict.number());
    assert_eq!(
        field(3, "first"),
        json!({"id": "ana", "offset": 0, "code": 0})
    );
    assert_eq!(field(4, "code"), codes::Code::SettingsBadRecord.number());
    assert_eq!(field(5, "removed"), true);
    assert_eq!(
        (field(6, "offered"), field(6, "in_force")),
        (json!(0), json!(5))
    );
}

#[test]
fn trail_of_a_log_with_expired_records_starts_at_its_checkpoint() {
    let mut log = log();
    let full_reader = reader_at_end(0, &log);
    log.push(fixtures::checkpoint_document(
        full_reader.state().checkpoint("entry-1"),
    ));
    log.push(fixtures::change_document(fixtures::change(
        "eva",
        Some(""),
        None,
    )));
    let kept = fixtures::entries(6, &log[6..]);

    let trail = audit::replay(kept);

    let last = trail
        .last()
        .map(|event| serde_json::to_value(event).expect("events are JSON"));
    assert_eq!(
        last.map(|event| event["author"].clone()),
        Some(json!("eva"))
    );
}

#[test]
fn events_round_trip_through_json() {
    let mut events = audit::replay(fixtures::entries(0, &log()));
    events.push(in_force(5));
    let mut trail = audit::Audit::default();
    for event in events {
        trail.push(event);
    }
    let page = trail.since(0);

    let text = serde_json::to_string(&page).expect("a page can be encoded");
    let decoded: audit::Page = serde_json::from_str(&text).expect("an encoded page can be decoded");

    assert_eq!(decoded, page);
}

#[test]
fn full_trail_discards_its_oldest_events() {
    let mut trail = audit::Audit::new(3);
    for revision in 0..5 {
        trail.push(in_force(revision));
    }

    let page = trail.since(0);

    assert_eq!((page.first, page.next, page.events.len()), (2, 5, 3));
    assert_eq!(
        page.events[0],
        ring::Numbered {
            number: 2,
            event: in_force(2)
        }
    );
}

#[test]
fn number_of_an_earlier_incarnation_returns_the_oldest_events() {
    let mut trail = audit::Audit::default();
    trail.push(in_force(0));

    let at_end = trail.since(1);
    let beyond = trail.since(900);

    assert_eq!((at_end.events.len(), at_end.next), (0, 1));
    assert_eq!((beyond.events.len(), beyond.next), (1, 1));
}

#[test]
fn page_size_is_bounded() {
    let mut trail = audit::Audit::default();
    for revision in 0..=ring::MAX_PAGE_EVENTS as u64 {
        trail.push(in_force(revision));
    }

    let page = trail.since(0);
    let rest = trail.since(page.next);

    assert_eq!(
        (page.events.len(), rest.events.len()),
        (ring::MAX_PAGE_EVENTS, 1)
    );
}

// Guards against memory exhaustion: if records with names of half a megabyte were stored
// unchanged, a trail of a thousand events would take hundreds of megabytes.
#[test]
fn event_size_is_bounded() {
    let huge = "é".repeat(1 << 18);
    let zones: Vec<String> = (0..100)
        .map(|i| {
            format!(
                "[zones.z{i}]
bad = 1
"
            )
        })
        .collect();
    let mut change = fixtures::change("ana", Some(&zones.concat()), None);
    let many = fixtures::change_document(change.clone());
    change.file = huge.clone().into();
    change.author = huge.into();
    let long = fixtures::change_document(change);

    let events = audit::replay(fixtures::entries(0, &[many, long]));

    let sizes = events.iter().map(|event| format!("{event:?}").len());
    let max_size = (event::MAX_LISTED + 2) * 8 * event::MAX_SHOWN_BYTES;
    assert!(sizes.into_iter().all(|size| size < max_size));
    let audit::Event::Rejected {
        problems, unlisted, ..
    } = &events[0]
    else {
        panic!("expected a rejected change, got {:?}", events[0]);
    };
    assert_eq!(
        (problems.len(), *unlisted),
        (event::MAX_LISTED, 100 - event::MAX_LISTED)
    );
}
