//! What became of changes, for people and scripts.

use serde::Serialize;
use smol_str::SmolStr;

use crate::cli;
use crate::client::survey;
use crate::codes;
use crate::settings;
use crate::settings::diff;
use crate::settings::problem;
use crate::settings::record;

/// How a change ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Ending {
    /// In force at the log's revision.
    Accepted,
    /// Refused; what was in force stays.
    Rejected,
    /// The same change had been made before.
    Repeated,
}

impl TryFrom<&str> for Ending {
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

/// What became of one change, for people and scripts.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Report {
    /// The change's id.
    pub id: SmolStr,
    /// The file.
    pub file: SmolStr,
    /// How it ended.
    pub result: Ending,
    /// The numbered result.
    pub code: codes::Code,
    /// The revision that it made.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub revision: Option<u64>,
    /// Whether it was refused before it was put on the log.
    pub before_append: bool,
    /// The keys that it changed.
    pub changed: Vec<diff::KeyChange>,
    /// Why it was refused.
    pub problems: Vec<problem::Problem>,
}

impl Report {
    /// What a verdict says of a change.
    pub fn new(change: &record::Change, verdict: settings::Verdict, before_append: bool) -> Self {
        let mut report = Self {
            id: change.id.clone(),
            file: change.file.clone(),
            result: Ending::Accepted,
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
                report.result = Ending::Rejected;
                report.code = code;
                report.problems = problems;
            }
            settings::Verdict::Repeated { first } => {
                report.result = Ending::Repeated;
                report.code = first.code;
                report.revision = (first.code == codes::Code::Complete).then_some(first.offset);
            }
            settings::Verdict::Ignored
            | settings::Verdict::Checkpoint { .. }
            | settings::Verdict::Gap { .. } => {
                report.result = Ending::Rejected;
                report.code = codes::Code::SettingsBadRecord;
            }
        }
        report
    }

    fn lines(&self) -> Vec<String> {
        let file = &self.file;
        let revision = cli::out::cell(self.revision);
        let first = match self.result {
            Ending::Accepted => format!("{file}: accepted at revision {revision}"),
            Ending::Repeated => {
                format!("{file}: made before, revision {revision}: {}", self.code)
            }
            Ending::Rejected if self.before_append => {
                format!("{file}: refused before it was published: {}", self.code)
            }
            Ending::Rejected => format!("{file}: rejected: {}", self.code),
        };
        let changed = self.changed.iter().map(|key| format!("    {key}"));
        let problems = self.problems.iter().map(|problem| format!("    {problem}"));
        [first].into_iter().chain(changed).chain(problems).collect()
    }
}

/// Everything that a command did.
#[derive(Clone, Debug, Default)]
#[derive(Serialize)]
pub struct Outcome {
    /// The changes, in the order in which they were made.
    pub changes: Vec<Report>,
    /// Processes that did not have the last revision in force in time; absent: nobody waited.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub missing: Option<Vec<survey::Process>>,
}

impl Outcome {
    /// The last revision that was made.
    pub fn revision(&self) -> Option<u64> {
        self.changes.iter().rev().find_map(|report| report.revision)
    }

    /// The first result that is not good.
    fn failure(&self) -> Option<codes::Code> {
        let codes = self.changes.iter().map(|report| report.code);
        codes.into_iter().find(|code| code.exit_status() != 0)
    }
}

/// Prints what was done and ends with the exit status.
pub fn print(outcome: &Outcome, json: bool) -> cli::CliResult<()> {
    if json {
        cli::out::json(outcome)?;
    } else {
        print_text(outcome)?;
    }
    if let Some(code) = outcome.failure() {
        return Err(cli::CliError::Ended(code));
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
        let name = process.shown_name();
        cli::out::line(format_args!(
            "not in force at {name} ({}): revision {revision}",
            process.state
        ))?;
    }
    Ok(())
}
