//! JSON messages of callers, valid and corrupted.

use bulrushtiller::api;
use bulrushtiller::codes;
use bulrushtiller::incoming;
use proptest::prelude::*;

use crate::fixed_seed;

fn task() -> impl Strategy<Value = api::Task> {
    let texts = ("[a-z]{0,8}", ".{0,40}");
    (texts, any::<[u32; 4]>()).prop_map(|((kind, payload), numbers)| api::Task {
        kind: kind.into(),
        payload,
        cpu_milli: numbers[0],
        memory_mib: numbers[1],
        accelerators: numbers[2],
        run_ms: numbers[3],
    })
}

fn submission() -> impl Strategy<Value = api::Submission> {
    let id = proptest::option::of("[a-z0-9.]{1,20}");
    let tasks = proptest::collection::vec(task(), 0..4);
    let numbers = (any::<Option<u64>>(), any::<u64>(), any::<bool>());
    (id, numbers, tasks).prop_map(|(id, (deadline_ms, wait_ms, idempotent), tasks)| {
        api::Submission {
            submission: id.map(|id| smol_str::SmolStr::new(id).try_into().expect("a valid id")),
            deadline_ms,
            wait_ms,
            idempotent,
            tasks,
        }
    })
}

#[test]
fn unknown_field_is_ignored() {
    let text = r#"{"tasks": [{"later": [1]}], "later": {"a": null}}"#;

    let read: api::Submission = serde_json::from_str(text).expect("a valid submission");

    assert_eq!(read.tasks, vec![api::Task::default()]);
}

/// A caller must not mistake a result code of a later release for a known one.
#[test]
fn unknown_code_is_rejected() {
    let known = codes::Code::ALL.iter().map(|code| code.number());
    let unknown = (0..=u16::MAX).filter(|number| !known.clone().any(|one| one == *number));

    let accepted = unknown
        .map(|number| format!(r#"{{"code": {number}, "text": "", "final": true}}"#))
        .find(|text| serde_json::from_str::<api::Answer>(text).is_ok());

    assert_eq!(accepted, None);
}

/// The detail of a refusal may quote the caller's body, which can be megabytes long.
#[test]
fn refusal_detail_is_returned_and_truncated() {
    let long = "x".repeat(100_000);
    let detailed = incoming::Refusal::new(codes::Code::TooLarge, "4 tasks; at most 3");
    let truncated = incoming::Refusal::new(codes::Code::BadBody, long);
    let plain = incoming::Refusal::from(codes::Code::BadToken);

    let [detailed, truncated, plain] =
        [detailed, truncated, plain].map(|refusal| refusal.answer(None));

    assert_eq!(
        detailed.text,
        "the body is larger than allowed: 4 tasks; at most 3"
    );
    assert!(truncated.text.len() < 300, "{}", truncated.text.len());
    assert_eq!(plain.text, codes::Code::BadToken.text());
    assert!(detailed.is_final && truncated.is_final && plain.is_final);
}

proptest! {
    #![proptest_config(fixed_seed::cases(500))]

    #[test]
    fn encoded_submission_decodes_to_the_original(submission in submission()) {
        let text = serde_json::to_string(&submission).expect("a document");

        let read: api::Submission = serde_json::from_str(&text).expect("a submission");

        prop_assert_eq!(read, submission);
    }

    /// A corrupted document is rejected, or decodes to a value that survives another round trip.
    #[test]
    fn corrupted_submission_is_rejected_or_round_trips(
        submission in submission(),
        at: prop::sample::Index,
        byte: u8,
        cut: prop::sample::Index,
    ) {
        let mut bytes = serde_json::to_vec(&submission).expect("a document");
        let damaged_index = at.index(bytes.len());
        bytes[damaged_index] = byte;
        bytes.truncate(cut.index(bytes.len()) + 1);

        let read = serde_json::from_slice::<api::Submission>(&bytes);

        if let Ok(read) = read {
            let again = serde_json::to_vec(&read).expect("a document");
            prop_assert_eq!(serde_json::from_slice::<api::Submission>(&again).ok(), Some(read));
        }
    }
}
