//! Putting the answers together: complete, or failed with every task's fate.

use smol_str::SmolStr;

use crate::api;
use crate::codes;
use crate::ids;
use crate::jobs;

/// The final answer of a submission whose tasks are all decided.
pub fn compose(open: &jobs::Open, now_ms: u64) -> api::Answer {
    let decided: Vec<&jobs::Decided> = open
        .iter_progress()
        .filter_map(|(_, p)| decided(p))
        .collect();
    let code = overall(&decided);
    let is_complete = code == codes::Code::Complete;
    let tasks = decided
        .into_iter()
        .map(|decided| task(decided, is_complete))
        .collect();
    api::Answer {
        tasks,
        elapsed_ms: now_ms.saturating_sub(open.header.arrived_ms),
        ..bare(Some(open.header.id.clone()), code, true)
    }
}

const fn decided(progress: &jobs::Progress) -> Option<&jobs::Decided> {
    match progress {
        jobs::Progress::Decided(decided) => Some(decided),
        _ => None,
    }
}

/// The answer while tasks are undecided.
pub fn pending(open: &jobs::Open, now_ms: u64) -> api::Answer {
    api::Answer {
        elapsed_ms: now_ms.saturating_sub(open.header.arrived_ms),
        ..bare(Some(open.header.id.clone()), codes::Code::Pending, false)
    }
}

/// An answer that is all in its code.
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

/// The weakest promise decides: what may have run, then what ran, then what did not.
fn overall(decided: &[&jobs::Decided]) -> codes::Code {
    let code_of = |fate: api::TaskOutcome| {
        let mut codes = decided
            .iter()
            .filter(|one| one.fate == fate)
            .map(|one| one.code);
        let first = codes.clone().next();
        codes.find(|code| !is_consequence(*code)).or(first)
    };
    let ran = code_of(api::TaskOutcome::Ran);
    match (
        code_of(api::TaskOutcome::MayHaveRun),
        code_of(api::TaskOutcome::Failed),
        code_of(api::TaskOutcome::NotRun),
    ) {
        (Some(lost), _, _) => lost,
        (None, Some(failed), _) => failed,
        (None, None, None) => codes::Code::Complete,
        (None, None, Some(not_run)) if ran.is_none() => not_run,
        (None, None, Some(not_run)) => partly(not_run),
    }
}

/// Codes of tasks that ended because another one of their submission had failed.
const fn is_consequence(code: codes::Code) -> bool {
    matches!(
        code,
        codes::Code::Cancelled | codes::Code::NotNeeded | codes::Code::StillRunning
    )
}

/// Some tasks ran: a code that says "not run" would be untrue of the whole.
const fn partly(not_run: codes::Code) -> codes::Code {
    match not_run {
        codes::Code::CancelledNotRun => codes::Code::Cancelled,
        codes::Code::DeadlineNotRun => codes::Code::DeadlinePassed,
        _ => codes::Code::PartlyNotRun,
    }
}

/// Outputs are given only where the whole answer is complete.
fn task(decided: &jobs::Decided, with_output: bool) -> api::TaskAnswer {
    let place = decided.place.as_ref();
    api::TaskAnswer {
        fate: decided.fate,
        code: decided.code,
        output: with_output.then(|| decided.output.clone()),
        runner: place.map(|place| place.runner.clone()),
        zone: place.map(|place| place.zone.clone()),
        run_ms: decided.run_ms,
    }
}
