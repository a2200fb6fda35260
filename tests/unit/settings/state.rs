//! The state machine, one record at a time.

use std::sync;

use bulrushtiller::codes;
use bulrushtiller::settings;
use bulrushtiller::settings::ranges;
use bulrushtiller::settings::record;
use rstest::rstest;
use serde_json::json;

use super::fixtures;

const QUEUE_900: &str = "[limits]\nmax_queued = 900\n";
const QUEUE_800: &str = "[limits]\nmax_queued = 800\n";
const QUEUE_0: &str = "[limits]\nmax_queued = 0\n";

/// Applies documents from offset 0 on and gives the verdicts' codes.
fn run(state: &mut settings::State, documents: &[serde_json::Value]) -> Vec<Option<codes::Code>> {
    let verdicts = (state.position()..)
        .zip(documents)
        .map(|(offset, document)| code(&state.apply_json(offset, document)));
    verdicts.collect()
}

/// The code of a verdict on a change; nothing for one that has none.
fn code(verdict: &settings::Verdict) -> Option<codes::Code> {
    match verdict {
        settings::Verdict::Accepted { .. } => Some(codes::Code::Complete),
        settings::Verdict::Rejected { code, .. } => Some(*code),
        settings::Verdict::Repeated { .. } => Some(codes::Code::SettingsRepeated),
        _ => None,
    }
}

fn state_of(documents: &[serde_json::Value]) -> settings::State {
    let mut state = settings::State::new();
    run(&mut state, documents);
    state
}

fn put(id: &str, text: &str, base: Option<u64>) -> serde_json::Value {
    fixtures::change_document(fixtures::change(id, Some(text), base))
}

fn remove(id: &str) -> serde_json::Value {
    fixtures::change_document(fixtures::change(id, None, None))
}

// Two operators look at the same revision and change the same key. Both appends
// succeed. Without the base, the slower would silently undo the faster one's change,
// and each would have been told that his own is in force.
#[rstest]
#[case::before_any(&[], record::BEFORE_FIRST)]
#[case::on_a_revision(&[put("earlier", QUEUE_900, None)], 0)]
fn one_of_two_racing_operators_wins(#[case] before: &[serde_json::Value], #[case] base: u64) {
    let mut state = state_of(before);
    let race = [
        put("ana", QUEUE_800, Some(base)),
        put("bia", QUEUE_900, Some(base)),
    ];

    let codes = run(&mut state, &race);

    assert_eq!(
        codes,
        [
            Some(codes::Code::Complete),
            Some(codes::Code::SettingsConflict)
        ]
    );
    assert_eq!(state.settings().limits.max_queued, 800);
    assert_eq!(state.revision(), Some(before.len() as u64));
}

// An append takes effect and its answer is lost, so the tool appends once more. In
// between, another operator has changed the file. Applied twice, the first change
// would come back over the second one.
#[test]
fn repeated_append_does_no_harm() {
    let mut state = settings::State::new();
    let documents = [
        put("ana", QUEUE_900, None),
        put("bia", QUEUE_800, None),
        put("ana", QUEUE_900, None),
    ];

    let codes = run(&mut state, &documents);

    let accepted = Some(codes::Code::Complete);
    assert_eq!(
        codes,
        [accepted, accepted, Some(codes::Code::SettingsRepeated)]
    );
    assert_eq!(
        (state.settings().limits.max_queued, state.revision()),
        (800, Some(1))
    );
}

#[test]
fn repeat_tells_the_verdict_on_the_first() {
    let mut state = state_of(&[put("ana", QUEUE_0, None)]);

    let verdict = state.apply_json(1, &put("ana", QUEUE_0, None));

    let settings::Verdict::Repeated { first } = verdict else {
        panic!("not a repeat: {verdict:?}");
    };
    assert_eq!(
        (first.offset, first.code),
        (0, codes::Code::SettingsImpossible)
    );
}

#[test]
fn bounded_number_of_ids_is_remembered() {
    let mut state = settings::State::new();
    let most = ranges::MAX_RECENT;
    let documents: Vec<_> = (0..=most).map(|i| remove(&format!("id{i}"))).collect();
    run(&mut state, &documents);

    let codes = run(&mut state, &[remove("id1"), remove("id0")]);

    assert_eq!(state.recent().len(), most);
    let forgotten = Some(codes::Code::SettingsNoFile);
    assert_eq!(codes, [Some(codes::Code::SettingsRepeated), forgotten]);
}

#[test]
fn refused_change_leaves_what_was_in_force() {
    let mut state = state_of(&[put("ana", QUEUE_900, None)]);
    let before = sync::Arc::clone(state.settings());

    let codes = run(&mut state, &[put("bia", QUEUE_0, None)]);

    assert_eq!(codes, [Some(codes::Code::SettingsImpossible)]);
    assert_eq!((state.settings(), state.revision()), (&before, Some(0)));
    assert_eq!(state.position(), 2);
}

#[test]
fn removal_counts() {
    let mut state = state_of(&[put("ana", QUEUE_900, None)]);

    let codes = run(&mut state, &[remove("bia"), remove("caio")]);

    assert_eq!(
        codes,
        [
            Some(codes::Code::Complete),
            Some(codes::Code::SettingsNoFile)
        ]
    );
    assert_eq!(**state.settings(), settings::Settings::default());
}

// A release speaks a format that this one does not know, or something else writes to
// the stream. If readers differed in what they make of it, or stopped at it, the
// processes would part, each with other settings.
#[rstest]
#[case::no_object(json!(7))]
#[case::no_type(json!({"version": 1}))]
#[case::unknown_type(json!({"type": "other"}))]
#[case::missing_fields(json!({"type": "change", "version": 1}))]
#[case::other_version({
    let mut document = put("ana", QUEUE_900, None);
    document["version"] = json!(2);
    document
})]
#[case::empty_id(put("", QUEUE_900, None))]
#[case::long_author({
    let mut document = put("ana", QUEUE_900, None);
    document["author"] = json!("x".repeat(ranges::MAX_AUTHOR_BYTES + 1));
    document
})]
#[case::checkpoint_ahead(json!({
    "type": "checkpoint", "version": 1, "position": 1, "revision": null, "files": {}, "recent": []
}))]
fn unreadable_record_is_rejected_and_passed(#[case] document: serde_json::Value) {
    let mut state = settings::State::new();

    let codes = run(&mut state, &[document, put("bia", QUEUE_800, None)]);

    assert_eq!(
        codes,
        [
            Some(codes::Code::SettingsBadRecord),
            Some(codes::Code::Complete)
        ]
    );
    assert_eq!(state.revision(), Some(1));
}

#[test]
fn unknown_fields_are_passed_over() {
    let mut state = settings::State::new();
    let mut document = put("ana", QUEUE_900, None);
    document["later"] = json!("field");

    let codes = run(&mut state, &[document]);

    assert_eq!(codes, [Some(codes::Code::Complete)]);
}

#[test]
fn records_out_of_turn_change_nothing() {
    let mut state = state_of(&[put("ana", QUEUE_900, None), put("bia", QUEUE_800, None)]);
    let before = state.clone();

    let past = state.apply_json(0, &put("ana", QUEUE_900, None));
    let ahead = state.apply_json(3, &put("caio", QUEUE_900, None));

    assert_eq!(past, settings::Verdict::Ignored);
    assert_eq!(ahead, settings::Verdict::Gap { position: 2 });
    assert_eq!(state, before);
}

// An entry that was cut off offers its state to one that starts, or to one that is
// further on. Whoever took an older one over would put a zone back into service that
// operators have taken out.
#[test]
fn older_state_is_never_taken_over() {
    let older = state_of(&[put("ana", QUEUE_900, None)]);
    let mut newer = state_of(&[put("ana", QUEUE_900, None), put("bia", QUEUE_800, None)]);
    let before = newer.clone();

    let adopted = newer.adopt(&older.checkpoint("entry-1"));

    assert_eq!(adopted, Ok(false));
    assert_eq!(newer, before);
}

#[test]
fn newer_state_is_taken_over_whole() {
    let mut older = state_of(&[put("ana", QUEUE_900, None)]);
    let newer = state_of(&[put("ana", QUEUE_900, None), put("bia", QUEUE_800, None)]);

    let adopted = older.adopt(&newer.checkpoint("entry-1"));

    assert_eq!(adopted, Ok(true));
    assert_eq!(older, newer);
}

#[rstest]
#[case::version(|c: &mut settings::Checkpoint| c.version = 2, "Version")]
#[case::revision_ahead(|c: &mut settings::Checkpoint| c.revision = Some(9), "Inconsistent")]
#[case::no_revision(|c: &mut settings::Checkpoint| c.revision = None, "Inconsistent")]
#[case::older_revision(|c: &mut settings::Checkpoint| c.revision = Some(0), "OlderRevision")]
#[case::bad_id(|c: &mut settings::Checkpoint| c.recent[0].id = "".into(), "Inconsistent")]
#[case::bad_offset(|c: &mut settings::Checkpoint| c.recent[0].offset = 9, "Inconsistent")]
#[case::bad_folder(|c: &mut settings::Checkpoint| {
    c.files.insert("99.toml".into(), QUEUE_0.to_owned());
}, "Folder")]
fn impossible_checkpoint_is_refused(
    #[case] spoil: fn(&mut settings::Checkpoint),
    #[case] error: &str,
) {
    let documents = [
        remove("x"),
        put("ana", QUEUE_900, None),
        put("bia", QUEUE_800, None),
        put("caio", QUEUE_900, None),
    ];
    let mut state = state_of(&documents[..2]);
    let before = state.clone();
    let mut checkpoint = state_of(&documents).checkpoint("entry-1");
    spoil(&mut checkpoint);

    let result = state.adopt(&checkpoint);

    let result = result.expect_err("it is impossible");
    assert!(format!("{result:?}").starts_with(error), "{result:?}");
    assert_eq!(state, before);
}

#[test]
fn checkpoint_with_other_files_at_the_same_revision_is_rejected() {
    let mut state = state_of(&[put("ana", QUEUE_900, None)]);
    let mut checkpoint = state.checkpoint("entry-1");
    checkpoint.files = fixtures::folder(&[("10.toml", QUEUE_800)]);

    let codes = run(&mut state, &[fixtures::checkpoint_document(checkpoint)]);

    assert_eq!(codes, [Some(codes::Code::SettingsBadRecord)]);
    assert_eq!(state.settings().limits.max_queued, 900);
}

#[test]
fn largest_checkpoint_fits_a_record_of_the_log() {
    const RECORD_BYTES: usize = 1 << 20;
    let state = settings::State::new();
    let mut checkpoint = state.checkpoint(&"a".repeat(ranges::MAX_AUTHOR_BYTES));
    let escaped = "#\"\"".repeat(ranges::MAX_FILE_BYTES / 3);
    let room =
        ranges::MAX_FOLDER_BYTES / serde_json::to_string(&escaped).map_or(1, |t| t.len() + 10);
    let name = |i| smol_str::format_smolstr!("{i}.toml");
    checkpoint.files = (0..room).map(|i| (name(i), escaped.clone())).collect();
    checkpoint.recent = vec![
        record::Recent {
            id: "i".repeat(64).into(),
            offset: u64::MAX,
            code: codes::Code::SettingsImpossible,
        };
        ranges::MAX_RECENT
    ];

    let bytes = fixtures::checkpoint_document(checkpoint.clone())
        .to_string()
        .len();

    assert_eq!(settings::check_folder(&checkpoint.files).err(), None);
    assert!(bytes < RECORD_BYTES, "{bytes}");
}
