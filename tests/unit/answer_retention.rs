//! What is told of submissions that ended some time ago.

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

use crate::fixed;

const TEAM: SmolStr = SmolStr::new_static("escola");
const ANSWER_MS: u32 = 10_000;
const WHOLE_MS: u64 = ANSWER_MS as u64;
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

/// Answers all dispatches; the last task ends with that code.
fn answer_all(
    entry: &mut entry::core::Core,
    now_ms: u64,
    actions: Vec<entry::core::Action>,
    last: codes::Code,
) {
    for (sequence, action) in (2..).zip(actions) {
        let entry::core::Action::Dispatch { dispatch, .. } = action else {
            continue;
        };
        let code = if dispatch.index == 2 {
            last
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

/// An entry with one submission that ended at 0, and the submission's ticket.
fn ended(last: codes::Code) -> (entry::core::Core, ids::SubmissionId) {
    let mut entry = entry_with_a_runner();
    let id = entry.ticket();
    let (_, actions) = entry.submit(0, &TEAM, submission(&id));
    answer_all(&mut entry, 0, actions, last);
    (entry, id)
}

fn pass(entry: &mut entry::core::Core, from_ms: u64, to_ms: u64) {
    (from_ms..=to_ms)
        .step_by(TICK_MS)
        .for_each(|now_ms| drop(entry.tick(now_ms)));
}

fn told(reply: calls::Reply) -> api::Answer {
    match reply {
        calls::Reply::Answer(answer) => *answer,
        other => panic!("no answer: {other:?}"),
    }
}

// A caller whose connection broke sends its submission again, long after it ended. It must
// be told what became of it, and no second certified copy be issued: the outputs are gone,
// the tasks' fates are not.
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
fn late_repeat_is_told_the_fates_and_starts_nothing(
    #[case] last: codes::Code,
    #[case] expected: codes::Code,
    #[case] fate: api::TaskOutcome,
) {
    let (mut entry, id) = ended(last);
    pass(&mut entry, 0, WHOLE_MS);

    let (reply, actions) = entry.submit(WHOLE_MS, &TEAM, submission(&id));
    let answer = told(reply);

    let fates: Vec<_> = answer.tasks.iter().map(|task| task.fate).collect();
    assert_eq!(actions, []);
    assert_eq!(answer.code, expected);
    assert!(answer.is_final);
    assert_eq!(answer.submission, Some(id));
    assert_eq!(fates, [api::TaskOutcome::Ran, api::TaskOutcome::Ran, fate]);
    assert!(answer.tasks.iter().all(|task| task.output.is_none()));
}

#[test]
fn late_repeat_with_other_content_is_still_refused() {
    let (mut entry, id) = ended(codes::Code::Complete);
    pass(&mut entry, 0, WHOLE_MS);
    let mut other = submission(&id);
    other.tasks.pop();

    let (reply, actions) = entry.submit(WHOLE_MS, &TEAM, other);

    assert_eq!(actions, []);
    assert_eq!(told(reply).code, codes::Code::ContentConflict);
}

// A caller fetches its answer, loses it on the way and fetches it again.
#[test]
fn answer_stays_whole_for_a_while_after_it_was_asked_for() {
    let (mut entry, id) = ended(codes::Code::Complete);
    let late_ms = WHOLE_MS - 1_000;
    pass(&mut entry, 0, late_ms);
    let first = told(entry.fetch(late_ms, &TEAM, &id));
    pass(&mut entry, late_ms, late_ms + WHOLE_MS - 1);

    let second = told(entry.fetch(late_ms + WHOLE_MS - 1, &TEAM, &id));

    assert_eq!(first.code, codes::Code::Complete);
    assert_eq!(second, first);
}

// The entry is frozen for longer than answers are kept whole. Its callers could not ask
// meanwhile, and would find their outputs gone as soon as it is thawed.
#[test]
fn pause_of_the_entry_takes_no_time_from_its_callers() {
    let (mut entry, id) = ended(codes::Code::Complete);
    let thawed_ms = 3 * WHOLE_MS;
    entry.tick(thawed_ms);

    let answer = told(entry.fetch(thawed_ms, &TEAM, &id));

    assert_eq!(answer.code, codes::Code::Complete);
    assert_eq!(answer.tasks.len(), 3);
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Step {
    End,
    Ask(usize),
    Pause(u64),
    Wait(u64),
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => proptest::strategy::Just(Step::End),
        3 => (0_usize..20).prop_map(Step::Ask),
        1 => (0_u64..30).prop_map(Step::Pause),
        6 => (0_u64..12).prop_map(Step::Wait),
    ]
}

/// Shortest time for which answers are whole in the property test, milliseconds.
const SHORT_MS: u64 = 20;

/// Takes in a submission without tasks, which ends at once.
fn end_one(table: &mut jobs::Table, now_ms: u64, number: usize) -> jobs::Key {
    let header = jobs::Header {
        id: ids::SubmissionId::Own(smol_str::format_smolstr!("{number}")),
        team: TEAM,
        fingerprint: number as u64,
        arrived_ms: now_ms,
        deadline_ms: now_ms + 1,
        is_idempotent: false,
    };
    let key = table.insert(jobs::Open::new(header, Vec::new()));
    table.settle(key, now_ms).expect("nothing is undecided");
    key
}

fn is_whole(table: &jobs::Table, key: jobs::Key) -> bool {
    matches!(table.get(key), Some(table::Submission::Ended(_)))
}

fn run(steps: &[Step]) -> Result<(), test_runner::TestCaseError> {
    let mut table = jobs::Table::new(0);
    let mut told = Vec::<(jobs::Key, u64)>::new();
    let (mut now_ms, mut paused_ms) = (0, 0);
    for step in steps {
        match *step {
            Step::End => told.push((end_one(&mut table, now_ms, told.len()), now_ms - paused_ms)),
            // What is short by then stays so.
            Step::Ask(at) if at < told.len() && is_whole(&table, told[at].0) => {
                table.touch(now_ms, told[at].0);
                told[at].1 = now_ms - paused_ms;
            }
            Step::Pause(ms) => {
                now_ms += ms;
                paused_ms += ms;
                table.exclude_pause(ms);
            }
            Step::Wait(ms) => now_ms += ms,
            Step::Ask(_) => {}
        }
        table.compact(now_ms, SHORT_MS);
        for (at, (key, told_ms)) in told.iter().enumerate() {
            let known = table.get(*key).expect("all are remembered");
            let age_ms = now_ms - paused_ms - told_ms;
            let is_in_time = is_whole(&table, *key) || age_ms >= SHORT_MS;
            prop_assert_eq!(known.fingerprint(), at as u64);
            prop_assert!(is_in_time, "short after {}", age_ms);
        }
    }
    let end_ms = now_ms + 2 * SHORT_MS;
    table.compact(now_ms + SHORT_MS, SHORT_MS);
    table.compact(end_ms, SHORT_MS);
    let is_short = |(key, _): &(jobs::Key, u64)| {
        matches!(table.get(*key), Some(table::Submission::Summary(_)))
    };
    prop_assert!(told.iter().all(is_short));
    Ok(())
}

// Answers are told, asked for again and left alone in any order, with pauses in between.
#[test]
fn answers_are_whole_for_their_time_and_short_in_the_end() {
    let mut runner = test_runner::TestRunner::new(fixed::cases(500));
    let steps = collection::vec(any_step(), 1..80);

    let result = runner.run(&steps, |steps| run(&steps));

    assert_eq!(result, Ok(()));
}
