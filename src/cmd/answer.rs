//! How answers are shown.

use crate::api;
use crate::cli;
use crate::codes;

/// Longest output that is shown in a table, in characters.
const SHOWN_CHARS: usize = 60;

/// Said of a refusal that is not the last word.
const UNSURE: &str = "refused for now; an earlier call under this id may have been taken in";

/// Prints an answer and ends with its exit status.
///
/// A refusal speaks of one call. Under an id of the client's own, an earlier call through
/// another entry may have been taken in and its answer lost; the exit status of "not run"
/// would have a script submit anew, and the task would run twice.
pub fn print(answer: &api::Answer, json: bool) -> cli::CliResult<()> {
    if json {
        cli::out::json(answer)?;
    } else {
        cli::out::print(&render(answer))?;
    }
    if !answer.is_final && answer.code.class() == codes::Class::NotRun {
        return Err(cli::CliError::failed(codes::Code::TimedOut, UNSURE));
    }
    end(answer.code)
}

/// Ends with a code that has been shown.
pub const fn end(code: codes::Code) -> cli::CliResult<()> {
    match code.exit_status() {
        0 => Ok(()),
        _ => Err(cli::CliError::Ended(code)),
    }
}

/// One line about the whole.
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
            .map(|ms| format!("come back in {ms} ms")),
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
        fate(task.fate).to_owned(),
        task.code.number().to_string(),
        cli::out::cell(task.runner.as_ref()),
        cli::out::cell(task.zone.as_ref()),
        task.run_ms.to_string(),
        cli::out::cell(task.output.as_deref().map(shorten)),
    ]
}

/// The fate as it stands in the API.
const fn fate(fate: api::TaskOutcome) -> &'static str {
    match fate {
        api::TaskOutcome::Pending => "pending",
        api::TaskOutcome::Ran => "ran",
        api::TaskOutcome::Failed => "failed",
        api::TaskOutcome::NotRun => "not_run",
        api::TaskOutcome::MayHaveRun => "may_have_run",
    }
}

/// Keeps an output on one line; the whole of it is in the JSON.
fn shorten(output: &str) -> String {
    let clean = output.chars().map(|c| if c.is_control() { ' ' } else { c });
    let mut shown: String = clean.take(SHOWN_CHARS).collect();
    if output.chars().count() > SHOWN_CHARS {
        shown.push_str("...");
    }
    shown
}
