//! The settings state machine, one record at a time.

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

/// Applies documents from the state's position on and returns the codes of the verdicts.
fn run(state: &mut settings::State, documents: &[serde_json::Value]) -> Vec<Option<codes::Code>> {
    let verdicts = (state.position()..)
        .zip(documents)
        .map(|(offset, document)| code(&state.apply_json(offset, document)));
    verdicts.collect()
}

/// Returns the code of a verdict, if it has one.
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

// Two operators change the same key based on the same revision, and both appends succeed.
// Without a base revision, the second change would silently undo the first, and both operators
// would be informed that their own change is in force.
#[rstest]
#[case::before_any(&[], record::BEFORE_FIRST)]
#[case::on_a_revision(&[put("earlier", QUEUE_900, None)], 0)]
fn second_change_on_the_same_base_is_rejected(
    #[case] before: &[serde_json::Value],
    #[case] base: u64,
) {
    let mut state = state_of(before);
    let conflict = [
        put("ana", QUEUE_800, Some(base)),
        put("bia", QUEUE_900, Some(base)),
    ];

    let codes = run(&mut state, &conflict);

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

// The answer to a successful append is lost, so the tool repeats it. In between, another
// operator has changed the file. If the repeat were applied, it would undo that change.
#[test]
fn repeated_append_has_no_effect() {
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
fn repeat_returns_the_verdict_on_the_first_append() {
    let mut state = state_of(&[put("ana", QUEUE_0, None)]);

    let verdict = state.apply_json(1, &put("ana", QUEUE_0, None));

    let settings::Verdict::Repeated { first } = verdict else {
        panic!("expected a repeat, got {verdict:?}");
    };
    assert_eq!(
        (first.offset, first.code),
        (0, codes::Code::SettingsImpossible)
    );
}

#[test]
fn number_of_recent_ids_is_bounded() {
    let mut state = settings::State::new();
    let max_recent = ranges::MAX_RECENT;
    let documents: Vec<_> = (0..=max_recent)
        .map(|i| remove(&format!("id{i}")))
        .collect();
    run(&mut state, &documents);

    let codes = run(&mut state, &[remove("id1"), remove("id0")]);

    assert_eq!(state.recent().len(), max_recent);
    let expired = Some(codes::Code::SettingsNoFile);
    assert_eq!(codes, [Some(codes::Code::SettingsRepeated), expired]);
}

#[test]
fn rejected_change_keeps_the_settings_in_force() {
    let mut state = state_of(&[put("ana", QUEUE_900, None)]);
    let before = sync::Arc::clone(state.settings());

    let codes = run(&mut state, &[put("bia", QUEUE_0, None)]);

    assert_eq!(codes, [Some(codes::Code::SettingsImpossible)]);
    assert_eq!((state.settings(), state.revision()), (&before, Some(0)));
    assert_eq!(state.position(), 2);
}

#[test]
fn removing_a_file_removes_its_settings() {
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

// A later release or another program writes records in an unknown format to the stream. If
// readers treated them differently or stopped at them, the settings of processes would diverge.
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
fn malformed_record_is_rejected_and_skipped(#[case] document: serde_json::Value) {
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
fn unknown_fields_are_ignored() {
    let mut state = settings::State::new();
    let mut document = put("ana", QUEUE_900, None);
    document["later"] = json!("field");

    let codes = run(&mut state, &[document]);

    assert_eq!(codes, [Some(codes::Code::Complete)]);
}

#[test]
fn records_out_of_order_have_no_effect() {
    let mut state = state_of(&[put("ana", QUEUE_900, None), put("bia", QUEUE_800, None)]);
    let before = state.clone();

    let old = state.apply_json(0, &put("ana", QUEUE_900, None));
    let ahead = state.apply_json(3, &put("caio", QUEUE_900, None));

    assert_eq!(old, settings::Verdict::Ignored);
    assert_eq!(ahead, settings::Verdict::Gap { position: 2 });
    assert_eq!(state, before);
}

// An entry that was partitioned offers its older state to an entry that is ahead. Adopting it
// would put a zone back into service that operators have taken out.
#[test]
fn older_state_is_not_adopted() {
    let older = state_of(&[put("ana", QUEUE_900, None)]);
    let mut newer = state_of(&[put("ana", QUEUE_900, None), put("bia", QUEUE_800, None)]);
    let before = newer.clone();

    let adopted = newer.adopt(&older.checkpoint("entry-1"));

    assert_eq!(adopted, Ok(false));
    assert_eq!(newer, before);
}

#[test]
fn newer_state_is_adopted_completely() {
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
fn invalid_checkpoint_is_rejected(
    #[case] corrupt: fn(&mut settings::Checkpoint),
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
    corrupt(&mut checkpoint);

    let result = state.adopt(&checkpoint);

    let result = result.expect_err("the checkpoint is invalid");
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
fn largest_checkpoint_fits_in_a_log_record() {
    const RECORD_BYTES: usize = 1 << 20;
    let state = settings::State::new();
    let mut checkpoint = state.checkpoint(&"a".repeat(ranges::MAX_AUTHOR_BYTES));
    let escaped = "#\"\"".repeat(ranges::MAX_FILE_BYTES / 3);
    let file_count =
        ranges::MAX_FOLDER_BYTES / serde_json::to_string(&escaped).map_or(1, |t| t.len() + 10);
    let name = |i| smol_str::format_smolstr!("{i}.toml");
    checkpoint.files = (0..file_count)
        .map(|i| (name(i), escaped.clone()))
        .collect();
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
