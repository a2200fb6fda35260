//! `cancel`: cancels submissions.

use std::ffi;

use smol_str::SmolStr;

use crate::api;
use crate::cli;
use crate::cli::flags;
use crate::client::entries;
use crate::cmd;
use crate::cmd::answer;
use crate::codes;
use crate::ids;

const USAGE: &str = "
Cancels submissions: tasks that have not started never will, running ones are stopped.

Usage:
    bulrushtiller cancel ID... [options]

The exit status is 0 if every submission is cancelled or was already complete, else that
of the first one that is neither.

Options:
    --json          Print the answers as a JSON array
";

/// Maximum number of submissions in one call.
const MAX_IDS_PER_CALL: usize = 500;

struct Args {
    config: cli::Config,
    ids: Vec<ids::SubmissionId>,
    json: bool,
}

impl Args {
    fn parse(mut args: pico_args::Arguments) -> cli::CliResult<Self> {
        let config = cli::Config::from_args(&mut args)?;
        let json = args.contains("--json");
        let positionals = flags::positionals(args)?;
        if positionals.is_empty() {
            return Err(cli::CliError::Usage(
                "at least one submission id is required".to_owned(),
            ));
        }
        let ids = positionals
            .into_iter()
            .map(|id| ids::SubmissionId::try_from(SmolStr::from(id)));
        Ok(Self {
            config,
            ids: ids.collect::<Result<_, _>>()?,
            json,
        })
    }
}

/// Runs `cancel`.
pub fn run(argv: Vec<ffi::OsString>) -> cli::CliResult<()> {
    let Some(args) = flags::arguments_or_help(argv, USAGE)? else {
        return Ok(());
    };
    let args = Args::parse(args)?;
    let answers = cmd::block_on(async {
        let entries = args.config.open_entries()?;
        cancel_all(&entries, &args.ids).await
    })?;
    if args.json {
        cli::out::json(&answers)?;
    } else {
        for answer in &answers {
            cli::out::line(answer::summary(answer))?;
        }
    }
    let not_cancelled = answers.iter().find(|answer| !is_success(answer));
    not_cancelled.map_or(Ok(()), |answer| answer::exit_result(answer.code))
}

async fn cancel_all(
    entries: &entries::Entries,
    ids: &[ids::SubmissionId],
) -> cli::CliResult<Vec<api::Answer>> {
    let mut answers = Vec::with_capacity(ids.len());
    for batch in ids.chunks(MAX_IDS_PER_CALL) {
        answers.extend(cancel_batch(entries, batch).await?);
    }
    Ok(answers)
}

/// Calls the entries in turn until one answers; cancelling is idempotent.
async fn cancel_batch(
    entries: &entries::Entries,
    ids: &[ids::SubmissionId],
) -> cli::CliResult<Vec<api::Answer>> {
    let mut failed = None;
    for index in 0..entries.len() {
        let result = match ids {
            [id] => entries.cancel(index, id).await.map(|answer| vec![answer]),
            several => entries.cancel_many(index, several).await,
        };
        match result {
            Ok(answers) => return Ok(answers),
            Err(err) => failed = Some(err),
        }
    }
    Err(failed.map_or_else(
        || cli::CliError::from("no entry is given".to_owned()),
        cli::CliError::from,
    ))
}

fn is_success(answer: &api::Answer) -> bool {
    let cancelled = [codes::Code::Cancelled, codes::Code::CancelledNotRun];
    cancelled.contains(&answer.code) || answer.code.exit_status() == 0
}
