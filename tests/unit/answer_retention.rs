//! Answers about submissions that ended some time ago.

use std::sync;

use bulrushtiller::api;
use bulrushtiller::codes;
use bulrushtiller::entry;
use bulrushtiller::entry::calls;
use bulrushtiller::ids;
use bulrushtiller::jobs;
use bulrushtiller::jobs::table;
use bulrushtiller::settings;
use bulrushtiller::wire;
use proptest::collection;
use proptest::prelude::Strategy;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::prop_oneof;
use proptest::test_runner;
use rstest::rstest;
use smol_str::SmolStr;

use crate::fixed_seed;

const TEAM: SmolStr = SmolStr::new_static("escola");
const ANSWER_MS: u32 = 10_000;
const FULL_ANSWER_MS: u64 = ANSWER_MS as u64;
const TICK_MS: usize = 100;

fn peer(role: wire::Role, name: &str) -> wire::Peer {
    wire::Peer {
        role,
        name: SmolStr::new(name),
        incarnation: ids::Incarnation(1),
        zone: SmolStr::new("bento"),
        rack: SmolStr::new("a"),
        address: SmolStr::new(name),
    }
}

fn heartbeat() -> wire::Heartbeat {
    wire::Heartbeat {
        load: Some(load(1)),
        ..wire::Heartbeat::new(peer(wire::Role::Runner, "runner"))
    }
}

fn load(sequence: u64) -> wire::Load {
    wire::Load {
        slots: 8,
        sequence,
        ..wire::Load::default()
    }
}

fn entry_with_a_runner() -> entry::core::Core {
    let mut settings = settings::Settings::default();
    settings.teams.insert(TEAM, settings::Team::default());
    settings.timeouts.answer_ms = ANSWER_MS;
    let me = peer(wire::Role::Entry, "entry");
    let mut entry = entry::core::Core::new(me, sync::Arc::new(settings), 0, 1);
    entry.heartbeat(0, &heartbeat());
    entry.tick(0);
    entry
}

fn submission(id: &ids::SubmissionId) -> api::Submission {
    api::Submission {
        submission: Some(id.clone()),
        deadline_ms: None,
        wait_ms: 0,
        idempotent: false,
        tasks: vec![api::Task::default(); 3],
    }
}

/// Answers all dispatches; the last task ends with `last_code`.
fn answer_all(
    entry: &mut entry::core::Core,
    now_ms: u64,
    actions: Vec<entry::core::Action>,
    last_code: codes::Code,
) {
    for (sequence, action) in (2..).zip(actions) {
        let entry::core::Action::Dispatch { dispatch, .. } = action else {
            continue;
        };
        let code = if dispatch.index == 2 {
            last_code
        } else {
            codes::Code::Complete
        };
        let reply = wire::DispatchReply {
            version: wire::VERSION,
            attempt: dispatch.attempt,
            outcome: wire::Outcome::Ended {
                code,
                output: "ok".to_owned(),
                run_ms: 120,
                peak: wire::Resources::default(),
            },
            load: load(sequence),
        };
        entry.dispatch_answered(now_ms, reply);
    }
}

/// Returns an entry with one submission that ended at time 0, and the submission's ticket.
fn entry_with_ended(last_code: codes::Code) -> (entry::core::Core, ids::SubmissionId) {
    let mut entry = entry_with_a_runner();
    let id = entry.ticket();
    let (_, actions) = entry.submit(0, &TEAM, submission(&id));
    answer_all(&mut entry, 0, actions, last_code);
    (entry, id)
}

fn run_ticks(entry: &mut entry::core::Core, from_ms: u64, to_ms: u64) {
    (from_ms..=to_ms)
        .step_by(TICK_MS)
        .for_each(|now_ms| drop(entry.tick(now_ms)));
}

fn into_answer(reply: calls::Reply) -> api::Answer {
    match reply {
        calls::Reply::Answer(answer) => *answer,
        other => panic!("expected an answer, got {other:?}"),
    }
}

// A caller whose connection broke repeats its submission long after it ended. The outputs
// have expired, but the outcome of each task must be returned and nothing may run again.
#[rstest]
#[case::complete(
    codes::Code::Complete,
    codes::Code::OutputsExpired,
    api::TaskOutcome::Ran
)]
#[case::failed(
    codes::Code::TaskFailed,
    codes::Code::TaskFailed,
    api::TaskOutcome::Failed
)]
fn late_repeat_gets_task_outcomes_and_starts_nothing(
    #[case] last_code: codes::Code,
    #[case] expected: codes::Code,
    #[case] last_outcome: api::TaskOutcome,
) {
    let (mut entry, id) = entry_with_ended(last_code);
    run_ticks(&mut entry, 0, FULL_ANSWER_MS);

    let (reply, actions) = entry.submit(FULL_ANSWER_MS, &TEAM, submission(&id));
    let answer = into_answer(reply);

    let outcomes: Vec<_> = answer.tasks.iter().map(|task| task.fate).collect();
    assert_eq!(actions, []);
    assert_eq!(answer.code, expected);
    assert!(answer.is_final);
    assert_eq!(answer.submission, Some(id));
    assert_eq!(
        outcomes,
        [api::TaskOutcome::Ran, api::TaskOutcome::Ran, last_outcome]
    );
    assert!(answer.tasks.iter().all(|task| task.output.is_none()));
}

#[test]
fn late_repeat_with_other_content_is_refused() {
    let (mut entry, id) = entry_with_ended(codes::Code::Complete);
    run_ticks(&mut entry, 0, FULL_ANSWER_MS);
    let mut other = submission(&id);
    other.tasks.pop();

    let (reply, actions) = entry.submit(FULL_ANSWER_MS, &TEAM, other);

    assert_eq!(actions, []);
    assert_eq!(into_answer(reply).code, codes::Code::ContentConflict);
}

// A caller fetches its answer, loses the response and fetches it again.
#[test]
fn fetched_answer_keeps_outputs_for_the_retention_time() {
    let (mut entry, id) = entry_with_ended(codes::Code::Complete);
    let first_fetch_ms = FULL_ANSWER_MS - 1_000;
    run_ticks(&mut entry, 0, first_fetch_ms);
    let first = into_answer(entry.fetch(first_fetch_ms, &TEAM, &id));
    run_ticks(
        &mut entry,
        first_fetch_ms,
        first_fetch_ms + FULL_ANSWER_MS - 1,
    );

    let second = into_answer(entry.fetch(first_fetch_ms + FULL_ANSWER_MS - 1, &TEAM, &id));

    assert_eq!(first.code, codes::Code::Complete);
    assert_eq!(second, first);
}

// The entry is suspended for longer than it keeps outputs. Callers could not fetch them
// meanwhile, and would find them expired as soon as the entry resumes.
#[test]
fn suspension_of_entry_does_not_shorten_answer_retention() {
    let (mut entry, id) = entry_with_ended(codes::Code::Complete);
    let resumed_ms = 3 * FULL_ANSWER_MS;
    entry.tick(resumed_ms);

    let answer = into_answer(entry.fetch(resumed_ms, &TEAM, &id));

    assert_eq!(answer.code, codes::Code::Complete);
    assert_eq!(answer.tasks.len(), 3);
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Step {
    End,
    Fetch(usize),
    Pause(u64),
    Wait(u64),
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => proptest::strategy::Just(Step::End),
        3 => (0_usize..20).prop_map(Step::Fetch),
        1 => (0_u64..30).prop_map(Step::Pause),
        6 => (0_u64..12).prop_map(Step::Wait),
    ]
}

/// Shortest time for which answers keep their outputs in the property test, in milliseconds.
const MIN_FULL_ANSWER_MS: u64 = 20;

/// Inserts a submission without tasks, which ends at once.
fn insert_ended(table: &mut jobs::Table, now_ms: u64, number: usize) -> jobs::Key {
    let header = jobs::Header {
        id: ids::SubmissionId::Own(smol_str::format_smolstr!("{number}")),
        team: TEAM,
        fingerprint: number as u64,
        arrived_ms: now_ms,
        deadline_ms: now_ms + 1,
        is_idempotent: false,
    };
    let key = table.insert(jobs::Open::new(header, Vec::new()));
    table
        .settle(key, now_ms)
        .expect("a submission without tasks settles");
    key
}

fn has_full_answer(table: &jobs::Table, key: jobs::Key) -> bool {
    matches!(table.get(key), Some(table::Submission::Ended(_)))
}

fn check_retention(steps: &[Step]) -> Result<(), test_runner::TestCaseError> {
    let mut table = jobs::Table::new(0);
    let mut submissions = Vec::<(jobs::Key, u64)>::new();
    let (mut now_ms, mut paused_ms) = (0, 0);
    for step in steps {
        match *step {
            Step::End => submissions.push((
                insert_ended(&mut table, now_ms, submissions.len()),
                now_ms - paused_ms,
            )),
            // An answer without outputs stays so.
            Step::Fetch(at)
                if at < submissions.len() && has_full_answer(&table, submissions[at].0) =>
            {
                table.touch(now_ms, submissions[at].0);
                submissions[at].1 = now_ms - paused_ms;
            }
            Step::Pause(ms) => {
                now_ms += ms;
                paused_ms += ms;
                table.exclude_pause(ms);
            }
            Step::Wait(ms) => now_ms += ms,
            Step::Fetch(_) => {}
        }
        table.compact(now_ms, MIN_FULL_ANSWER_MS);
        for (at, (key, since_ms)) in submissions.iter().enumerate() {
            let stored = table.get(*key).expect("every submission is remembered");
            let age_ms = now_ms - paused_ms - since_ms;
            let is_retained_or_old = has_full_answer(&table, *key) || age_ms >= MIN_FULL_ANSWER_MS;
            prop_assert_eq!(stored.fingerprint(), at as u64);
            prop_assert!(is_retained_or_old, "outputs expired after {} ms", age_ms);
        }
    }
    let end_ms = now_ms + 2 * MIN_FULL_ANSWER_MS;
    table.compact(now_ms + MIN_FULL_ANSWER_MS, MIN_FULL_ANSWER_MS);
    table.compact(end_ms, MIN_FULL_ANSWER_MS);
    let is_summary = |(key, _): &(jobs::Key, u64)| {
        matches!(table.get(*key), Some(table::Submission::Summary(_)))
    };
    prop_assert!(submissions.iter().all(is_summary));
    Ok(())
}

// Submissions end, are fetched and are left alone in any order, with suspensions in between.
#[test]
fn answers_keep_outputs_for_retention_time_and_then_shrink() {
    let mut runner = test_runner::TestRunner::new(fixed_seed::cases(500));
    let steps = collection::vec(any_step(), 1..80);

    let result = runner.run(&steps, |steps| check_retention(&steps));

    assert_eq!(result, Ok(()));
}
