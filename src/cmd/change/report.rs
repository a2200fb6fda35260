//! Reports the results of changes as text and JSON.

use serde::Serialize;
use smol_str::SmolStr;

use crate::cli;
use crate::client::survey;
use crate::codes;
use crate::settings;
use crate::settings::diff;
use crate::settings::problem;
use crate::settings::record;

/// Result of a change.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeResult {
    /// The change made a new revision of the settings.
    Accepted,
    /// The change was rejected; the settings in force stay.
    Rejected,
    /// The same change was already made.
    Repeated,
}

impl TryFrom<&str> for ChangeResult {
    type Error = cli::CliError;

    fn try_from(word: &str) -> cli::CliResult<Self> {
        match word {
            "accepted" => Ok(Self::Accepted),
            "rejected" => Ok(Self::Rejected),
            "repeated" => Ok(Self::Repeated),
            _ => {
                let text = format!("'{word}' is not 'accepted', 'rejected' or 'repeated'");
                Err(cli::CliError::Usage(text))
            }
        }
    }
}

/// Result of one change with its details.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Report {
    /// Id of the change.
    pub id: SmolStr,
    /// Name of the file.
    pub file: SmolStr,
    /// Result of the change.
    pub result: ChangeResult,
    /// Result code.
    pub code: codes::Code,
    /// Revision that the change made.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub revision: Option<u64>,
    /// Whether the change was rejected without being published.
    pub before_append: bool,
    /// Changed keys.
    pub changed: Vec<diff::KeyChange>,
    /// Reasons of the rejection.
    pub problems: Vec<problem::Problem>,
}

impl Report {
    /// Creates the report for the verdict on a change.
    pub fn new(change: &record::Change, verdict: settings::Verdict, before_append: bool) -> Self {
        let mut report = Self {
            id: change.id.clone(),
            file: change.file.clone(),
            result: ChangeResult::Accepted,
            code: codes::Code::Complete,
            revision: None,
            before_append,
            changed: Vec::new(),
            problems: Vec::new(),
        };
        match verdict {
            settings::Verdict::Accepted { revision, changed } => {
                report.revision = Some(revision);
                report.changed = changed;
            }
            settings::Verdict::Rejected { code, problems } => {
                report.result = ChangeResult::Rejected;
                report.code = code;
                report.problems = problems;
            }
            settings::Verdict::Repeated { first } => {
                report.result = ChangeResult::Repeated;
                report.code = first.code;
                report.revision = (first.code == codes::Code::Complete).then_some(first.offset);
            }
            settings::Verdict::Ignored
            | settings::Verdict::Checkpoint { .. }
            | settings::Verdict::Gap { .. } => {
                report.result = ChangeResult::Rejected;
                report.code = codes::Code::SettingsBadRecord;
            }
        }
        report
    }

    fn lines(&self) -> Vec<String> {
        let file = &self.file;
        let revision = cli::out::cell(self.revision);
        let first = match self.result {
            ChangeResult::Accepted => format!("{file}: accepted at revision {revision}"),
            ChangeResult::Repeated => {
                format!("{file}: already made, revision {revision}: {}", self.code)
            }
            ChangeResult::Rejected if self.before_append => {
                format!("{file}: refused before it was published: {}", self.code)
            }
            ChangeResult::Rejected => format!("{file}: rejected: {}", self.code),
        };
        let changed = self.changed.iter().map(|key| format!("    {key}"));
        let problems = self.problems.iter().map(|problem| format!("    {problem}"));
        [first].into_iter().chain(changed).chain(problems).collect()
    }
}

/// Results of all changes of a command.
#[derive(Clone, Debug, Default)]
#[derive(Serialize)]
pub struct Outcome {
    /// Reports of the changes, in order.
    pub changes: Vec<Report>,
    /// Processes where the last revision was not in force in time; `None` without a wait.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub missing: Option<Vec<survey::Process>>,
}

impl Outcome {
    /// Returns the last revision that was made.
    pub fn revision(&self) -> Option<u64> {
        self.changes.iter().rev().find_map(|report| report.revision)
    }

    /// Returns the first code that means a failure.
    fn failure(&self) -> Option<codes::Code> {
        let codes = self.changes.iter().map(|report| report.code);
        codes.into_iter().find(|code| code.exit_status() != 0)
    }
}

/// Prints the outcome and returns the result that gives the exit status.
pub fn print(outcome: &Outcome, json: bool) -> cli::CliResult<()> {
    if json {
        cli::out::json(outcome)?;
    } else {
        print_text(outcome)?;
    }
    if let Some(code) = outcome.failure() {
        return Err(cli::CliError::Reported(code));
    }
    let missing = outcome.missing.as_ref().map_or(0, Vec::len);
    if missing > 0 {
        let text = format!("not in force at {missing} processes in time");
        return Err(cli::CliError::failed(codes::Code::TimedOut, text));
    }
    Ok(())
}

fn print_text(outcome: &Outcome) -> cli::CliResult<()> {
    for line in outcome.changes.iter().flat_map(Report::lines) {
        cli::out::line(line)?;
    }
    let Some(missing) = &outcome.missing else {
        return Ok(());
    };
    if missing.is_empty() {
        return cli::out::line("in force at every process");
    }
    for process in missing {
        let revision = record::show_revision(process.revision);
        let name = process.display_name();
        cli::out::line(format_args!(
            "not in force at {name} ({}): revision {revision}",
            process.state
        ))?;
    }
    Ok(())
}
