//! Submissions and their answers, compared with a plain list of task outcomes.

use bulrushtiller::api;
use bulrushtiller::codes;
use bulrushtiller::ids;
use bulrushtiller::jobs;
use proptest::prelude::Strategy;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::prop_oneof;
use proptest::test_runner;

use crate::settings::fixtures;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Step {
    Dispatched(usize),
    Lost(usize),
    Decided(usize, api::TaskOutcome),
}

impl Step {
    fn index(self) -> u32 {
        let (Self::Dispatched(at) | Self::Lost(at) | Self::Decided(at, _)) = self;
        u32::try_from(at).expect("few tasks")
    }
}

fn any_step() -> impl Strategy<Value = Step> {
    let at = 0_usize..5;
    let outcomes = [
        api::TaskOutcome::Ran,
        api::TaskOutcome::Ran,
        api::TaskOutcome::Ran,
        api::TaskOutcome::Failed,
        api::TaskOutcome::NotRun,
        api::TaskOutcome::MayHaveRun,
    ];
    let task_outcome = proptest::sample::select(outcomes.to_vec());
    prop_oneof![
        2 => at.clone().prop_map(Step::Dispatched),
        1 => at.clone().prop_map(Step::Lost),
        4 => (at, task_outcome).prop_map(|(at, task_outcome)| Step::Decided(at, task_outcome)),
    ]
}

fn header(number: u64) -> jobs::Header {
    jobs::Header {
        id: ids::SubmissionId::Ticket(ids::Ticket {
            entry: "entry-0".into(),
            incarnation: ids::Incarnation(1),
            epoch: 1,
            number,
        }),
        team: "escola".into(),
        fingerprint: 1,
        arrived_ms: 0,
        deadline_ms: 1_000,
        is_idempotent: true,
    }
}

fn decided(task_outcome: api::TaskOutcome, index: usize) -> jobs::Decided {
    let code = match task_outcome {
        api::TaskOutcome::Ran => codes::Code::Complete,
        api::TaskOutcome::Failed => codes::Code::TaskFailed,
        api::TaskOutcome::NotRun => codes::Code::DeadlineNotRun,
        _ => codes::Code::RunnerLost,
    };
    jobs::Decided {
        output: format!("output-{index}"),
        task_outcome,
        ..jobs::Decided::not_run(code)
    }
}

/// Expected outcome of a task: the first decision counts, and a task that was lost once never ends
/// as "not run".
#[derive(Clone, Copy, Default)]
struct Model {
    is_lost: bool,
    task_outcome: Option<api::TaskOutcome>,
}

fn run(tasks: usize, steps: &[Step]) -> Result<(), test_runner::TestCaseError> {
    let mut table = jobs::Table::new(0);
    let key = table.insert(jobs::Open::new(
        header(1),
        vec![api::Task::default(); tasks],
    ));
    let mut model = vec![Model::default(); tasks];
    for step in steps {
        let index = step.index();
        let open = table.open_mut(key).expect("it is open");
        match *step {
            Step::Dispatched(_) => {
                let attempt = ids::Attempt {
                    owner: ids::Incarnation(1),
                    number: 1,
                };
                open.dispatched(index, attempt);
            }
            Step::Lost(at) if at < tasks && model[at].task_outcome.is_none() => {
                open.lost(index, codes::Code::RunnerLost, None);
                model[at].is_lost = true;
            }
            Step::Decided(at, task_outcome) if at < tasks => {
                open.decide(1, index, decided(task_outcome, at));
                let outcome = match task_outcome {
                    api::TaskOutcome::NotRun if model[at].is_lost => api::TaskOutcome::MayHaveRun,
                    task_outcome => task_outcome,
                };
                model[at].task_outcome.get_or_insert(outcome);
            }
            _ => {}
        }
        let answer = table.settle(key, 2);
        let outcomes: Option<Vec<_>> = model.iter().map(|one| one.task_outcome).collect();
        prop_assert_eq!(
            answer.is_some(),
            outcomes.is_some(),
            "answered before all tasks were decided"
        );
        let (Some(answer), Some(outcomes)) = (answer, outcomes) else {
            continue;
        };
        return check(&answer, &outcomes);
    }
    Ok(())
}

fn check(
    answer: &api::Answer,
    outcomes: &[api::TaskOutcome],
) -> Result<(), test_runner::TestCaseError> {
    let answered: Vec<_> = answer.tasks.iter().map(|task| task.fate).collect();
    let all = |wanted| outcomes.iter().all(|task_outcome| *task_outcome == wanted);
    let any = |wanted| outcomes.contains(&wanted);
    let expected = if all(api::TaskOutcome::Ran) {
        codes::Class::Complete
    } else if all(api::TaskOutcome::NotRun) {
        codes::Class::NotRun
    } else if any(api::TaskOutcome::MayHaveRun) {
        codes::Class::MayHaveRun
    } else {
        codes::Class::Failed
    };
    prop_assert_eq!(&answered, outcomes);
    prop_assert_eq!(answer.code.class(), expected);
    for (index, task) in answer.tasks.iter().enumerate() {
        let output = (expected == codes::Class::Complete).then(|| format!("output-{index}"));
        prop_assert_eq!(&task.output, &output);
    }
    prop_assert!(answer.is_final);
    Ok(())
}

// A wrong answer would hold only some outputs of a job, or say "not run" of a task that may
// have run. Here tasks end in any order, are lost and are decided twice.
#[test]
fn answer_has_the_outcomes_of_all_tasks_and_is_never_partial() {
    let mut runner = fixtures::fixed_runner(2_000);
    let schedule = (1_usize..5, proptest::collection::vec(any_step(), 1..40));

    let result = runner.run(&schedule, |(tasks, steps)| run(tasks, &steps));

    assert_eq!(result, Ok(()));
}

#[test]
fn refusals_are_remembered_up_to_the_limit_and_dropped_with_their_epoch() {
    let mut table = jobs::Table::new(0);
    let answer = |header: &jobs::Header| {
        let id = Some(header.id.clone());
        jobs::answer::bare(id, codes::Code::TeamQueueFull, true)
    };

    let remembered = (0..jobs::table::MAX_REFUSALS as u64 + 5)
        .map(header)
        .filter(|header| table.insert_refusal(header.clone(), answer(header)))
        .count();
    let first = header(0);
    let is_found = table.find(&first.team, &first.id).is_some();
    let len = table.len();
    table.advance(100, 100);
    table.advance(200, 100);
    table.advance(300, 100);

    assert_eq!(remembered, jobs::table::MAX_REFUSALS);
    assert!(is_found);
    assert_eq!(len, 0, "refusals count against the submissions");
    assert_eq!(table.find(&first.team, &first.id), None);
    assert!(
        table.insert_refusal(first.clone(), answer(&first)),
        "no refusal is remembered after the others were dropped"
    );
}
