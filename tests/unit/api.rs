//! Callers' documents, whole and damaged.

use bulrushtiller::api;
use bulrushtiller::codes;
use bulrushtiller::incoming;
use proptest::prelude::*;

use crate::fixed;

fn task() -> impl Strategy<Value = api::Task> {
    let texts = ("[a-z]{0,8}", ".{0,40}");
    (texts, any::<[u32; 4]>()).prop_map(|((kind, payload), figures)| api::Task {
        kind: kind.into(),
        payload,
        cpu_milli: figures[0],
        memory_mib: figures[1],
        accelerators: figures[2],
        run_ms: figures[3],
    })
}

fn submission() -> impl Strategy<Value = api::Submission> {
    let id = proptest::option::of("[a-z0-9.]{1,20}");
    let tasks = proptest::collection::vec(task(), 0..4);
    let figures = (any::<Option<u64>>(), any::<u64>(), any::<bool>());
    (id, figures, tasks).prop_map(|(id, (deadline_ms, wait_ms, idempotent), tasks)| {
        api::Submission {
            submission: id.map(|id| smol_str::SmolStr::new(id).try_into().expect("an id")),
            deadline_ms,
            wait_ms,
            idempotent,
            tasks,
        }
    })
}

#[test]
fn unknown_field_is_passed_over() {
    let text = r#"{"tasks": [{"later": [1]}], "later": {"a": null}}"#;

    let read: api::Submission = serde_json::from_str(text).expect("a submission");

    assert_eq!(read.tasks, vec![api::Task::default()]);
}

/// A caller must not take an answer of a later release for a known one.
#[test]
fn unknown_code_is_refused() {
    let known = codes::Code::ALL.iter().map(|code| code.number());
    let unknown = (0..=u16::MAX).filter(|number| !known.clone().any(|one| one == *number));

    let taken = unknown
        .map(|number| format!(r#"{{"code": {number}, "text": "", "final": true}}"#))
        .find(|text| serde_json::from_str::<api::Answer>(text).is_ok());

    assert_eq!(taken, None);
}

/// A caller's own text may come back in the reason; a body of megabytes must not.
#[test]
fn reason_of_a_refusal_is_told_and_bounded() {
    let long = "x".repeat(100_000);
    let told = incoming::Refusal::new(codes::Code::TooLarge, "4 tasks; at most 3");
    let bounded = incoming::Refusal::new(codes::Code::BadBody, long);
    let plain = incoming::Refusal::from(codes::Code::BadToken);

    let [told, bounded, plain] = [told, bounded, plain].map(|refusal| refusal.answer(None));

    assert_eq!(
        told.text,
        "the body is larger than allowed: 4 tasks; at most 3"
    );
    assert!(bounded.text.len() < 300, "{}", bounded.text.len());
    assert_eq!(plain.text, codes::Code::BadToken.text());
    assert!(told.is_final && bounded.is_final && plain.is_final);
}

proptest! {
    #![proptest_config(fixed::cases(500))]

    #[test]
    fn submission_is_read_back(submission in submission()) {
        let text = serde_json::to_string(&submission).expect("a document");

        let read: api::Submission = serde_json::from_str(&text).expect("a submission");

        prop_assert_eq!(read, submission);
    }

    /// Whatever a damaged document is taken for can be written and read again.
    #[test]
    fn damaged_submission_is_refused_or_whole(
        submission in submission(),
        at: prop::sample::Index,
        byte: u8,
        cut: prop::sample::Index,
    ) {
        let mut bytes = serde_json::to_vec(&submission).expect("a document");
        let place = at.index(bytes.len());
        bytes[place] = byte;
        bytes.truncate(cut.index(bytes.len()) + 1);

        let read = serde_json::from_slice::<api::Submission>(&bytes);

        if let Ok(read) = read {
            let again = serde_json::to_vec(&read).expect("a document");
            prop_assert_eq!(serde_json::from_slice::<api::Submission>(&again).ok(), Some(read));
        }
    }
}
