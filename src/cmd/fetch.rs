//! `fetch`: gets the answer to an earlier submission.

use std::ffi;
use std::time;

use smol_str::SmolStr;

use crate::api;
use crate::cli;
use crate::cli::flags;
use crate::client::entries;
use crate::client::exchange;
use crate::cmd;
use crate::cmd::answer;
use crate::ids;

const USAGE: &str = "
Gets the answer to an earlier submission, through any entry.

Usage:
    bulrushtiller fetch ID [options]

Options:
    --wait-ms N     Time to wait for the final answer (default 0)
    --json          Print the answer as JSON
";

/// Time in which other entries are called if one does not answer.
const RETRY_TIME: time::Duration = time::Duration::from_secs(3);

struct Args {
    config: cli::Config,
    id: ids::SubmissionId,
    wait: time::Duration,
    json: bool,
}

impl Args {
    fn parse(mut args: pico_args::Arguments) -> cli::CliResult<Self> {
        Ok(Self {
            config: cli::Config::from_args(&mut args)?,
            wait: flags::millis(&mut args, "--wait-ms")?.unwrap_or_default(),
            json: args.contains("--json"),
            id: ids::SubmissionId::try_from(SmolStr::from(flags::single_positional(
                args,
                "submission id",
            )?))?,
        })
    }
}

/// Runs `fetch`.
pub fn run(argv: Vec<ffi::OsString>) -> cli::CliResult<()> {
    let Some(args) = flags::arguments_or_help(argv, USAGE)? else {
        return Ok(());
    };
    let args = Args::parse(args)?;
    let answer = cmd::block_on(async {
        let entries = args.config.open_entries()?;
        fetch(&entries, &args).await
    })?;
    answer::print(&answer, args.json)
}

async fn fetch(entries: &entries::Entries, args: &Args) -> cli::CliResult<api::Answer> {
    let now = time::Instant::now();
    let limits = exchange::TimeLimits {
        answer_by: now + args.wait,
        repeat_until: now + args.wait.max(RETRY_TIME),
    };
    let operation = exchange::Operation::Fetch(&args.id);
    Ok(exchange::perform(entries, 0, operation, limits)
        .await?
        .answer)
}
