//! Builds the answer to a submission from the outcomes of its tasks.

use smol_str::SmolStr;

use crate::api;
use crate::codes;
use crate::ids;
use crate::jobs;

/// Builds the final answer of a submission whose tasks are all decided.
pub fn compose(open: &jobs::Open, now_ms: u64) -> api::Answer {
    let decided: Vec<&jobs::Decided> = open
        .iter_progress()
        .filter_map(|(_, state)| as_decided(state))
        .collect();
    let code = overall(&decided);
    let is_complete = code == codes::Code::Complete;
    let tasks = decided
        .into_iter()
        .map(|decided| task_answer(decided, is_complete))
        .collect();
    api::Answer {
        tasks,
        elapsed_ms: now_ms.saturating_sub(open.header.arrived_ms),
        ..bare(Some(open.header.id.clone()), code, true)
    }
}

const fn as_decided(progress: &jobs::Progress) -> Option<&jobs::Decided> {
    match progress {
        jobs::Progress::Decided(decided) => Some(decided),
        _ => None,
    }
}

/// Builds the interim answer of a submission that still has undecided tasks.
pub fn pending(open: &jobs::Open, now_ms: u64) -> api::Answer {
    api::Answer {
        elapsed_ms: now_ms.saturating_sub(open.header.arrived_ms),
        ..bare(Some(open.header.id.clone()), codes::Code::Pending, false)
    }
}

/// Builds an answer that holds a result code and no tasks.
pub fn bare(id: Option<ids::SubmissionId>, code: codes::Code, is_final: bool) -> api::Answer {
    api::Answer {
        submission: id,
        code,
        text: SmolStr::new_static(code.text()),
        is_final,
        retry_after_ms: None,
        ticket: None,
        tasks: Vec::new(),
        elapsed_ms: 0,
    }
}

/// Returns the result code of the whole submission.
///
/// The code of the weakest guarantee wins: a task that may have run comes before one that
/// failed, and that before one that did not run.
fn overall(decided: &[&jobs::Decided]) -> codes::Code {
    let first_code = |task_outcome: api::TaskOutcome| {
        let mut codes = decided
            .iter()
            .filter(|task| task.task_outcome == task_outcome)
            .map(|task| task.code);
        let first = codes.clone().next();
        codes.find(|code| !is_consequence(*code)).or(first)
    };
    let ran = first_code(api::TaskOutcome::Ran);
    match (
        first_code(api::TaskOutcome::MayHaveRun),
        first_code(api::TaskOutcome::Failed),
        first_code(api::TaskOutcome::NotRun),
    ) {
        (Some(lost), _, _) => lost,
        (None, Some(failed), _) => failed,
        (None, None, None) => codes::Code::Complete,
        (None, None, Some(not_run)) if ran.is_none() => not_run,
        (None, None, Some(not_run)) => partly_not_run(not_run),
    }
}

/// Whether a task ended with this code only because another task of its submission failed.
const fn is_consequence(code: codes::Code) -> bool {
    matches!(
        code,
        codes::Code::Cancelled | codes::Code::NotNeeded | codes::Code::StillRunning
    )
}

/// Returns the code of a submission of which some tasks ran and others did not.
///
/// A code of the class "not run" would be wrong for the submission as a whole.
const fn partly_not_run(not_run: codes::Code) -> codes::Code {
    match not_run {
        codes::Code::CancelledNotRun => codes::Code::Cancelled,
        codes::Code::DeadlineNotRun => codes::Code::DeadlinePassed,
        _ => codes::Code::PartlyNotRun,
    }
}

/// Builds the answer of one task; `with_output` is set only if the whole submission completed.
fn task_answer(decided: &jobs::Decided, with_output: bool) -> api::TaskAnswer {
    let place = decided.place.as_ref();
    api::TaskAnswer {
        fate: decided.task_outcome,
        code: decided.code,
        output: with_output.then(|| decided.output.clone()),
        runner: place.map(|place| place.runner.clone()),
        zone: place.map(|place| place.zone.clone()),
        run_ms: decided.run_ms,
    }
}
