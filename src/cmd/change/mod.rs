//! Options and flow shared by the commands that change settings.

use std::ffi;
use std::time;

use smol_str::SmolStr;

use crate::cli;
use crate::cli::flags;
use crate::client::publish;
use crate::cmd;
use crate::ids;
use crate::settings::record;

pub mod editor;
pub mod report;

pub use editor::Edit;
pub use editor::Editor;
pub use report::ChangeResult;
pub use report::Outcome;

/// Usage text of the options of every command that changes settings.
pub const USAGE: &str = "
Options of every change:
    --author NAME   Author of the change (default: USER)
    --wait          Wait until it is in force at every process that 'status' finds
    --no-wait       Do not wait
    --limit-ms N    Time limit, for the log and for --wait (default 10000 each)
    --json          Print the outcome as JSON
";

/// Default of `--limit-ms`; longer than settings may take to come into force everywhere.
const DEFAULT_LIMIT: time::Duration = time::Duration::from_secs(10);

/// Value of `--base` for a change that must be the first.
const BASE_NONE: &str = "none";

/// Options of every command that changes settings.
#[derive(Clone, Debug)]
pub struct Options {
    /// Configuration of the tool.
    pub config: cli::Config,
    /// Author of the changes.
    pub author: SmolStr,
    /// Whether to wait until the last change is in force everywhere.
    pub wait: bool,
    /// Time limit for the log, and again for the wait.
    pub limit: time::Duration,
    /// Whether to print JSON.
    pub json: bool,
}

impl Options {
    /// Takes the options from the command line; `waits` is the default of `--wait`.
    pub fn from_args(args: &mut pico_args::Arguments, waits: bool) -> cli::CliResult<Self> {
        let config = cli::Config::from_args(args)?;
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
            limit: flags::millis(args, "--limit-ms")?.unwrap_or(DEFAULT_LIMIT),
            json: args.contains("--json"),
        })
    }
}

/// Takes `--base`, a revision or `none`.
pub fn parse_base(args: &mut pico_args::Arguments) -> cli::CliResult<Option<u64>> {
    let text: Option<String> = flags::value(args, "--base")?;
    let Some(text) = text else {
        return Ok(None);
    };
    if text == BASE_NONE {
        return Ok(Some(record::base_of(None)));
    }
    let invalid = |_err| {
        cli::CliError::Usage(format!(
            "--base {text} is neither a revision nor '{BASE_NONE}'"
        ))
    };
    text.parse().map(Some).map_err(invalid)
}

/// Takes `--id`, or else generates a new id.
pub fn parse_id(args: &mut pico_args::Arguments) -> cli::CliResult<SmolStr> {
    let id: Option<SmolStr> = flags::value(args, "--id")?;
    let valid_id = id.map(|id| ids::check_name(&id)).transpose()?;
    Ok(valid_id.unwrap_or_else(publish::random_id))
}

/// Parsed command line of a command that makes one change.
#[derive(Clone, Debug)]
pub struct SingleChange {
    /// Options of the command.
    pub options: Options,
    /// Change to make.
    pub edit: Edit,
}

/// Runs a command that makes one change, and waits if the options say so.
pub fn run_single(
    argv: Vec<ffi::OsString>,
    usage: &str,
    parse: fn(pico_args::Arguments) -> cli::CliResult<SingleChange>,
) -> cli::CliResult<()> {
    let usage = format!("{usage}{USAGE}");
    let Some(args) = flags::arguments_or_help(argv, &usage)? else {
        return Ok(());
    };
    let SingleChange { options, edit } = parse(args)?;
    let outcome = cmd::block_on(apply_single(&options, &edit))?;
    print(&outcome, &options)
}

async fn apply_single(options: &Options, edit: &Edit) -> cli::CliResult<Outcome> {
    let mut editor = Editor::open(options).await?;
    editor.apply(edit).await?;
    editor.finish().await
}

/// Prints the outcome and returns the result that gives the exit status.
pub fn print(outcome: &Outcome, options: &Options) -> cli::CliResult<()> {
    report::print(outcome, options.json)
}
