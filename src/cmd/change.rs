//! What all commands that change settings share.

use std::time;

use serde::Serialize;
use smol_str::SmolStr;

use crate::cli;
use crate::cli::flags;
use crate::client;
use crate::client::follow;
use crate::client::publish;
use crate::client::rollout;
use crate::client::survey;
use crate::codes;
use crate::settings;
use crate::settings::diff;
use crate::settings::problem;
use crate::settings::record;

/// The options that every change understands.
pub const USAGE: &str = "
Options of every change:
    --author NAME   Who makes the change (default: USER)
    --wait          Wait until every process that 'status' finds has it in force
    --no-wait       Don't
    --limit-ms N    How long to go on, for the log and for --wait (default 10000 each)
    --json          Print the outcome as JSON
";

/// Default of `--limit-ms`: more than settings may take to be in force everywhere.
const LIMIT: time::Duration = time::Duration::from_secs(10);

/// Connections to each process.
const CONNECTIONS: usize = 2;

/// Word for the base of a change that is meant to be the first.
const BASE_NONE: &str = "none";

/// The options that every change understands, parsed.
#[derive(Clone, Debug)]
pub struct Options {
    config: cli::Config,
    author: SmolStr,
    wait: bool,
    limit: time::Duration,
    json: bool,
}

impl Options {
    /// Takes the options; `waits` tells whether waiting is the command's default.
    pub fn take(args: &mut pico_args::Arguments, waits: bool) -> cli::CliResult<Self> {
        let config = cli::Config::take(args)?;
        let author = flags::author(args)?;
        let wait = args.contains("--wait");
        let no_wait = args.contains("--no-wait");
        if wait && no_wait {
            return Err(cli::CliError::from(
                "--wait and --no-wait exclude each other".to_owned(),
            ));
        }
        Ok(Self {
            config,
            author,
            wait: wait || (waits && !no_wait),
            limit: flags::millis(args, "--limit-ms")?.unwrap_or(LIMIT),
            json: args.contains("--json"),
        })
    }
}

/// Takes `--base`.
pub fn take_base(args: &mut pico_args::Arguments) -> cli::CliResult<Option<u64>> {
    let text: Option<String> = args.opt_value_from_str("--base")?;
    let Some(text) = text else {
        return Ok(None);
    };
    if text == BASE_NONE {
        return Ok(Some(record::base_of(None)));
    }
    let wrong = |_bad| {
        cli::CliError::Usage(format!(
            "--base {text} is neither a revision nor '{BASE_NONE}'"
        ))
    };
    text.parse().map(Some).map_err(wrong)
}

/// Takes `--id`, or else makes a new one.
pub fn take_id(args: &mut pico_args::Arguments) -> cli::CliResult<SmolStr> {
    let id: Option<SmolStr> = args.opt_value_from_str("--id")?;
    let checked = id.map(|id| crate::ids::check_name(&id)).transpose()?;
    Ok(checked.unwrap_or_else(publish::random_id))
}

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
    fn new(change: &record::Change, verdict: settings::Verdict, before_append: bool) -> Self {
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

/// A change to be made: a new text for a file, or its removal.
#[derive(Clone, Debug)]
pub struct Edit {
    /// The change's id.
    pub id: SmolStr,
    /// The file.
    pub file: SmolStr,
    /// Its new text; absent: it is removed.
    pub text: Option<String>,
    /// See [`record::Change::base`].
    pub base: Option<u64>,
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

/// One command's work on the settings.
#[derive(Debug)]
pub struct Session<'a> {
    options: &'a Options,
    http: client::Http,
    follower: follow::Follower,
    outcome: Outcome,
}

impl<'a> Session<'a> {
    /// Reads the settings in force; the log must be there, or nothing can be changed.
    pub async fn open(options: &'a Options) -> cli::CliResult<Self> {
        if options.wait {
            options.config.entries()?;
        }
        let http = client::Http::new(CONNECTIONS);
        let entries = options.config.known_entries();
        let log = options.config.log()?;
        let (follower, _applied) = follow::Follower::open(&http, log, entries).await?;
        Ok(Self {
            options,
            http,
            follower,
            outcome: Outcome::default(),
        })
    }

    /// The settings in force as last read.
    pub const fn state(&self) -> &settings::State {
        self.follower.state()
    }

    /// What a change would lead to.
    pub fn rehearse(&self, edit: &Edit) -> settings::Verdict {
        publish::rehearse(self.state(), &self.change(edit))
    }

    /// Makes one change; answers whether it is in force.
    ///
    /// A change that would be rejected as things stand is not published at all.
    pub async fn apply(&mut self, edit: &Edit) -> cli::CliResult<bool> {
        let change = self.change(edit);
        let trial = self.rehearse(edit);
        let report = if matches!(trial, settings::Verdict::Accepted { .. }) {
            let until = time::Instant::now() + self.options.limit;
            let verdict = publish::publish(&mut self.follower, &change, until).await;
            Report::new(
                &change,
                verdict.map_err(|err| unsure(&err, &change))?,
                false,
            )
        } else {
            Report::new(&change, trial, true)
        };
        let good = report.code == codes::Code::Complete;
        self.outcome.changes.push(report);
        Ok(good)
    }

    fn change(&self, edit: &Edit) -> record::Change {
        let order = publish::Order {
            author: self.options.author.clone(),
            id: edit.id.clone(),
            file: edit.file.clone(),
            text: edit.text.clone(),
            base: edit.base,
        };
        order.into()
    }

    /// Waits for the last revision if that was asked for, and gives everything that was done.
    pub async fn finish(mut self) -> cli::CliResult<Outcome> {
        let awaited = self
            .outcome
            .revision()
            .filter(|_revision| self.options.wait);
        if let Some(revision) = awaited {
            let entries = self.options.config.entries()?;
            let until = time::Instant::now() + self.options.limit;
            let missing = rollout::missing(&self.http, entries, revision, until).await;
            self.outcome.missing = Some(missing);
        }
        Ok(self.outcome)
    }
}

/// Tells that a change may have been made although its end was not seen.
fn unsure(err: &client::ClientError, change: &record::Change) -> cli::CliError {
    let id = &change.id;
    let text = format!("{err}; it may have been made: the same change with --id {id} does no harm");
    cli::CliError::failed(err.code(), text)
}

/// Prints what was done and ends with the exit status.
pub fn print(outcome: &Outcome, options: &Options) -> cli::CliResult<()> {
    if options.json {
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

/// Makes one change and waits if that was asked for.
pub async fn apply_one(options: &Options, edit: &Edit) -> cli::CliResult<Outcome> {
    let mut session = Session::open(options).await?;
    session.apply(edit).await?;
    session.finish().await
}
