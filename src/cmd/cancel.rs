//! `cancel`: one submission or many.

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
Cancels submissions: what has not started never will, what runs is stopped.

Usage:
    bulrushtiller cancel ID... [options]

The exit status is 0 when every submission is cancelled or was complete before, else
that of the first which is neither.

Options:
    --json          Print the answers as a JSON array
";

/// Submissions that one call cancels.
const BATCH: usize = 500;

struct Args {
    config: cli::Config,
    ids: Vec<ids::SubmissionId>,
    json: bool,
}

impl Args {
    fn parse(mut args: pico_args::Arguments) -> cli::CliResult<Self> {
        let config = cli::Config::take(&mut args)?;
        let json = args.contains("--json");
        let free = flags::free(args)?;
        if free.is_empty() {
            return Err(cli::CliError::Usage(
                "at least one submission id is needed".to_owned(),
            ));
        }
        let ids = free
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
    let Some(args) = flags::start(argv, USAGE)? else {
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
    let bad = answers.iter().find(|answer| !was_cancelled(answer));
    bad.map_or(Ok(()), |answer| answer::end(answer.code))
}

async fn cancel_all(
    entries: &entries::Entries,
    ids: &[ids::SubmissionId],
) -> cli::CliResult<Vec<api::Answer>> {
    let mut answers = Vec::with_capacity(ids.len());
    for batch in ids.chunks(BATCH) {
        answers.extend(cancel_batch(entries, batch).await?);
    }
    Ok(answers)
}

/// Tries the entries in turn; cancelling twice does no harm.
async fn cancel_batch(
    entries: &entries::Entries,
    ids: &[ids::SubmissionId],
) -> cli::CliResult<Vec<api::Answer>> {
    let mut failed = None;
    for place in 0..entries.len() {
        let result = match ids {
            [id] => entries.cancel(place, id).await.map(|answer| vec![answer]),
            many => entries.cancel_many(place, many).await,
        };
        match result {
            Ok(answers) => return Ok(answers),
            Err(err) => failed = Some(err),
        }
    }
    Err(failed.map_or_else(
        || cli::CliError::from("no entry".to_owned()),
        cli::CliError::from,
    ))
}

fn was_cancelled(answer: &api::Answer) -> bool {
    let cancelled = [codes::Code::Cancelled, codes::Code::CancelledNotRun];
    cancelled.contains(&answer.code) || answer.code.exit_status() == 0
}
