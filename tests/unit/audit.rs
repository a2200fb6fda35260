//! The audit trail: derived from records, bounded, read page by page.

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
    let taken = reader.apply_batch(0, fixtures::batch(first, documents));
    assert_eq!(taken.read_status, reader::ReadStatus::AtEnd);
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
fn trail_tells_who_changed_what_with_what_effect() {
    let entries = fixtures::entries(0, &log());

    let trail = serde_json::to_value(audit::replay(entries)).expect("events are JSON");

    let of = |index: usize, key: &str| trail[index][key].clone();
    let kinds: Vec<_> = (0..7).map(|index| of(index, "event")).collect();
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
    assert_eq!(of(0, "author"), "ana");
    assert_eq!(
        of(0, "changed"),
        json!([{"key": "zones.bento.out", "new": "true"}])
    );
    assert_eq!(of(1, "code"), codes::Code::SettingsWrongType.number());
    assert_eq!(of(1, "problems")[0]["line"], 2);
    assert_eq!(of(2, "code"), codes::Code::SettingsConflict.number());
    assert_eq!(of(3, "first"), json!({"id": "ana", "offset": 0, "code": 0}));
    assert_eq!(of(4, "code"), codes::Code::SettingsBadRecord.number());
    assert_eq!(of(5, "removed"), true);
    assert_eq!((of(6, "offered"), of(6, "in_force")), (json!(0), json!(5)));
}

#[test]
fn trail_of_an_expired_log_starts_at_its_checkpoint() {
    let mut log = log();
    let whole = reader_at_end(0, &log);
    log.push(fixtures::checkpoint_document(
        whole.state().checkpoint("entry-1"),
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
fn events_survive_their_json_form() {
    let mut events = audit::replay(fixtures::entries(0, &log()));
    events.push(in_force(5));
    let mut trail = audit::Audit::default();
    for event in events {
        trail.push(event);
    }
    let page = trail.since(0);

    let text = serde_json::to_string(&page).expect("a page is JSON");
    let back: audit::Page = serde_json::from_str(&text).expect("it was just written");

    assert_eq!(back, page);
}

#[test]
fn oldest_events_give_way() {
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
fn follower_of_an_earlier_life_starts_over() {
    let mut trail = audit::Audit::default();
    trail.push(in_force(0));

    let at_end = trail.since(1);
    let beyond = trail.since(900);

    assert_eq!((at_end.events.len(), at_end.next), (0, 1));
    assert_eq!((beyond.events.len(), beyond.next), (1, 1));
}

#[test]
fn pages_are_bounded() {
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

// Someone appends a record with a name of half a megabyte, over and over. Kept as it
// is in a trail of a thousand events it would take the process's whole memory.
#[test]
fn events_are_bounded() {
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
    let most = (event::MAX_LISTED + 2) * 8 * event::MAX_SHOWN_BYTES;
    assert!(sizes.into_iter().all(|size| size < most));
    let audit::Event::Rejected {
        problems, unlisted, ..
    } = &events[0]
    else {
        panic!("not rejected: {:?}", events[0]);
    };
    assert_eq!(
        (problems.len(), *unlisted),
        (event::MAX_LISTED, 100 - event::MAX_LISTED)
    );
}
