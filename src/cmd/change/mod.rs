//! What all commands that change settings share.

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
pub use report::Ending;
pub use report::Outcome;

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

/// Word for the base of a change that is meant to be the first.
const BASE_NONE: &str = "none";

/// The options that every change understands, parsed.
#[derive(Clone, Debug)]
pub struct Options {
    /// Where the log and the entries are.
    pub config: cli::Config,
    /// Who makes the changes.
    pub author: SmolStr,
    /// Whether to wait until the last change is in force everywhere.
    pub wait: bool,
    /// How long to go on.
    pub limit: time::Duration,
    /// Whether to print JSON.
    pub json: bool,
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
    let text: Option<String> = flags::value(args, "--base")?;
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
    let id: Option<SmolStr> = flags::value(args, "--id")?;
    let checked = id.map(|id| ids::check_name(&id)).transpose()?;
    Ok(checked.unwrap_or_else(publish::random_id))
}

/// The command line of a command that makes one change.
#[derive(Clone, Debug)]
pub struct One {
    /// The options of every change.
    pub options: Options,
    /// The change.
    pub edit: Edit,
}

/// Runs a command that makes one change, and waits if that was asked for.
pub fn run_one(
    argv: Vec<ffi::OsString>,
    usage: &str,
    parse: fn(pico_args::Arguments) -> cli::CliResult<One>,
) -> cli::CliResult<()> {
    let usage = format!("{usage}{USAGE}");
    let Some(args) = flags::start(argv, &usage)? else {
        return Ok(());
    };
    let One { options, edit } = parse(args)?;
    let outcome = cmd::block_on(apply_one(&options, &edit))?;
    print(&outcome, &options)
}

async fn apply_one(options: &Options, edit: &Edit) -> cli::CliResult<Outcome> {
    let mut editor = Editor::open(options).await?;
    editor.apply(edit).await?;
    editor.finish().await
}

/// Prints what was done and ends with the exit status.
pub fn print(outcome: &Outcome, options: &Options) -> cli::CliResult<()> {
    report::print(outcome, options.json)
}
