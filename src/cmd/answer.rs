//! Prints answers to submissions.

use crate::api;
use crate::cli;
use crate::codes;

/// Maximum length of a task's output in a table, in characters.
const SHOWN_CHARS: usize = 60;

/// Error text for a refusal that is not final.
const MAY_BE_ACCEPTED: &str =
    "refused for now; an earlier call with this id may have been accepted";

/// Prints an answer and returns the result that gives its exit status.
///
/// A refusal applies to one call only. With an id of the client's own, an earlier call
/// through another entry may have been accepted and its answer lost. The exit status for
/// "not run" would then make a script submit again, and the task would run twice.
pub fn print(answer: &api::Answer, json: bool) -> cli::CliResult<()> {
    if json {
        cli::out::json(answer)?;
    } else {
        cli::out::print(&render(answer))?;
    }
    if !answer.is_final && answer.code.class() == codes::Class::NotRun {
        return Err(cli::CliError::failed(
            codes::Code::TimedOut,
            MAY_BE_ACCEPTED,
        ));
    }
    exit_result(answer.code)
}

/// Returns the result for a code that has already been printed.
pub const fn exit_result(code: codes::Code) -> cli::CliResult<()> {
    match code.exit_status() {
        0 => Ok(()),
        _ => Err(cli::CliError::Reported(code)),
    }
}

/// Returns a one-line summary of an answer.
pub fn summary(answer: &api::Answer) -> String {
    let id = cli::out::cell(answer.submission.as_ref());
    let number = answer.code.number();
    let state = if answer.is_final {
        "final"
    } else {
        "not final"
    };
    let mut parts = vec![
        id,
        format!("{number} {}", answer.text),
        state.to_owned(),
        format!("{} ms", answer.elapsed_ms),
    ];
    parts.extend(
        answer
            .retry_after_ms
            .map(|ms| format!("retry after {ms} ms")),
    );
    parts.extend(
        answer
            .ticket
            .as_ref()
            .map(|ticket| format!("ticket {ticket}")),
    );
    parts.join("  ")
}

fn render(answer: &api::Answer) -> String {
    let mut text = summary(answer);
    text.push('\n');
    if answer.tasks.is_empty() {
        return text;
    }
    let heading = ["task", "fate", "code", "runner", "zone", "run_ms", "output"];
    let mut table = cli::out::Table::new(&heading);
    for (index, task) in answer.tasks.iter().enumerate() {
        table.row(row(index, task));
    }
    text.push_str(&table.to_string());
    text
}

fn row(index: usize, task: &api::TaskAnswer) -> Vec<String> {
    vec![
        index.to_string(),
        outcome_name(task.fate).to_owned(),
        task.code.number().to_string(),
        cli::out::cell(task.runner.as_ref()),
        cli::out::cell(task.zone.as_ref()),
        task.run_ms.to_string(),
        cli::out::cell(task.output.as_deref().map(truncate)),
    ]
}

/// Returns the name of a task outcome in the API.
const fn outcome_name(outcome: api::TaskOutcome) -> &'static str {
    match outcome {
        api::TaskOutcome::Pending => "pending",
        api::TaskOutcome::Ran => "ran",
        api::TaskOutcome::Failed => "failed",
        api::TaskOutcome::NotRun => "not_run",
        api::TaskOutcome::MayHaveRun => "may_have_run",
    }
}

/// Shortens an output to one line; the JSON output has all of it.
fn truncate(output: &str) -> String {
    let clean = output.chars().map(|c| if c.is_control() { ' ' } else { c });
    let mut short: String = clean.take(SHOWN_CHARS).collect();
    if output.chars().count() > SHOWN_CHARS {
        short.push_str("...");
    }
    short
}
