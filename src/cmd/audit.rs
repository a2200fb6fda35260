//! `audit`: who changed which settings, when, and what became of it.

use std::ffi;
use std::time;

use actix_rt::time as rt_time;
use serde::Serialize;
use smol_str::SmolStr;

use crate::cli;
use crate::cli::flags;
use crate::client;
use crate::client::follow;
use crate::client::log;
use crate::client::settle;
use crate::cmd;
use crate::cmd::change;
use crate::codes;
use crate::settings;
use crate::settings::diff;
use crate::settings::problem;
use crate::settings::record;

const USAGE: &str = "
Shows the changes of settings that the log still keeps, oldest first: when, who, which
file, at which revision, accepted or why not, and what changed.

Usage:
    bulrushtiller audit [options]

Times are by the clock of whoever made the change.

Options:
    --file NAME         Only changes of this file
    --author NAME       Only changes by this author
    --result WORD       Only 'accepted', 'rejected' or 'repeated' changes
    --from REV          Only from this revision on
    --follow            Go on until interrupted, also through outages of the log
    --json              Print one JSON object a line
";

/// Longest wait of one read while following.
const FOLLOW_WAIT: time::Duration = time::Duration::from_secs(5);

/// Last millisecond of the year 9999, beyond which no time is shown.
const MAX_SHOWN_MS: u64 = 253_402_300_799_999;

/// Connections to the log.
const CONNECTIONS: usize = 1;

/// Which changes are wanted.
#[derive(Clone, Debug, Default)]
struct Filter {
    file: Option<SmolStr>,
    author: Option<SmolStr>,
    result: Option<change::Ending>,
    from: u64,
}

impl Filter {
    fn passes(&self, line: &Line) -> bool {
        let is = |wanted: &Option<SmolStr>, found: &SmolStr| {
            wanted.as_ref().is_none_or(|wanted| wanted == found)
        };
        is(&self.file, &line.file)
            && is(&self.author, &line.author)
            && self.result.is_none_or(|wanted| wanted == line.result)
            && line.offset >= self.from
    }
}

struct Args {
    config: cli::Config,
    filter: Filter,
    follow: bool,
    json: bool,
}

impl Args {
    fn parse(mut args: pico_args::Arguments) -> cli::CliResult<Self> {
        let config = cli::Config::take(&mut args)?;
        let result: Option<String> = args.opt_value_from_str("--result")?;
        let filter = Filter {
            file: args.opt_value_from_str("--file")?,
            author: args.opt_value_from_str("--author")?,
            result: result
                .as_deref()
                .map(change::Ending::try_from)
                .transpose()?,
            from: args.opt_value_from_str("--from")?.unwrap_or(0),
        };
        let parsed = Self {
            config,
            filter,
            follow: args.contains("--follow"),
            json: args.contains("--json"),
        };
        flags::finish(args)?;
        Ok(parsed)
    }
}

/// One change in the trail.
#[derive(Clone, Debug)]
#[derive(Serialize)]
struct Line {
    offset: u64,
    time_ms: u64,
    author: SmolStr,
    file: SmolStr,
    removed: bool,
    id: SmolStr,
    base: Option<u64>,
    result: change::Ending,
    code: codes::Code,
    changed: Vec<diff::KeyChange>,
    problems: Vec<problem::Problem>,
}

impl Line {
    /// The line for a record; there is none for a checkpoint.
    fn new(applied: follow::Applied) -> Option<Self> {
        let change = applied.change();
        let (result, code, changed, problems) = match applied.verdict {
            settings::Verdict::Accepted { changed, .. } => (
                change::Ending::Accepted,
                codes::Code::Complete,
                changed,
                Vec::new(),
            ),
            settings::Verdict::Rejected { code, problems } => {
                (change::Ending::Rejected, code, Vec::new(), problems)
            }
            settings::Verdict::Repeated { first } => {
                (change::Ending::Repeated, first.code, Vec::new(), Vec::new())
            }
            settings::Verdict::Checkpoint { .. }
            | settings::Verdict::Ignored
            | settings::Verdict::Gap { .. } => return None,
        };
        Some(Self {
            offset: applied.item.offset,
            time_ms: change.as_ref().map_or(0, |change| change.time_ms),
            removed: change.as_ref().is_some_and(|change| change.text.is_none()),
            base: change.as_ref().and_then(|change| change.base),
            id: change
                .as_ref()
                .map(|change| change.id.clone())
                .unwrap_or_default(),
            author: change
                .as_ref()
                .map(|change| change.author.clone())
                .unwrap_or_default(),
            file: change.map(|change| change.file).unwrap_or_default(),
            result,
            code,
            changed,
            problems,
        })
    }

    fn text(&self) -> String {
        let action = if self.removed { "remove" } else { "put" };
        let result = match self.result {
            change::Ending::Accepted => "accepted".to_owned(),
            change::Ending::Rejected => format!("rejected: {}", self.code),
            change::Ending::Repeated => format!("repeated, first time: {}", self.code),
        };
        let time = show_time(self.time_ms);
        let (offset, author, file) = (self.offset, printable(&self.author), printable(&self.file));
        let mut lines = vec![format!(
            "{offset}  {time}  {author}  {action} {file}  {result}"
        )];
        lines.extend(self.changed.iter().map(|key| format!("    {key}")));
        lines.extend(self.problems.iter().map(|problem| format!("    {problem}")));
        lines.join("\n")
    }
}

/// A text of someone else's without what a terminal would act upon.
fn printable(text: &SmolStr) -> String {
    if text.is_empty() {
        return "-".to_owned();
    }
    text.chars()
        .map(|c| if c.is_control() { '?' } else { c })
        .collect()
}

fn show_time(unix_ms: u64) -> String {
    if unix_ms == 0 || unix_ms > MAX_SHOWN_MS {
        return "-".to_owned();
    }
    let time = time::UNIX_EPOCH + time::Duration::from_millis(unix_ms);
    humantime::format_rfc3339_millis(time).to_string()
}

/// Runs `audit`.
pub fn run(argv: Vec<ffi::OsString>) -> cli::CliResult<()> {
    let Some(args) = flags::start(argv, USAGE)? else {
        return Ok(());
    };
    let args = Args::parse(args)?;
    let address = args.config.log()?;
    cmd::block_on(async {
        let http = client::Http::new(CONNECTIONS);
        let log = log::Log::new(http, address, record::STREAM);
        let (follower, applied) = follow::Follower::open(log, follow::Start::Earliest).await?;
        print(&args, applied)?;
        if args.follow {
            follow_on(&args, follower).await?;
        }
        Ok(())
    })
}

/// Goes on until the output is closed or records are lost.
async fn follow_on(args: &Args, mut follower: follow::Follower) -> cli::CliResult<()> {
    let mut pauses = settle::pauses();
    let mut is_down = false;
    loop {
        match follower.next(FOLLOW_WAIT).await {
            Ok(applied) => {
                is_down = false;
                pauses = settle::pauses();
                print(args, applied)?;
            }
            Err(err @ client::ClientError::BadAnswer(..)) => return Err(err.into()),
            Err(err) => {
                if !is_down {
                    cli::out::note(&err);
                }
                is_down = true;
                rt_time::sleep(pauses.next().unwrap_or(FOLLOW_WAIT)).await;
            }
        }
    }
}

fn print(args: &Args, applied: Vec<follow::Applied>) -> cli::CliResult<()> {
    let lines = applied.into_iter().filter_map(Line::new);
    for line in lines.filter(|line| args.filter.passes(line)) {
        if args.json {
            cli::out::json_line(&line)?;
        } else {
            cli::out::line(line.text())?;
        }
    }
    Ok(())
}
