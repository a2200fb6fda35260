//! `audit`: shows the changes of the settings with their authors and results.

use std::ffi;
use std::time;

use actix_rt::time as rt_time;
use smol_str::SmolStr;

use crate::audit;
use crate::audit::event;
use crate::cli;
use crate::cli::flags;
use crate::client;
use crate::client::exchange;
use crate::client::follow;
use crate::client::http;
use crate::cmd;
use crate::cmd::change;
use crate::settings::reader;

mod render;

const USAGE: &str = "
Shows the changes of the settings, oldest first: offset on the log (the revision, if
accepted), time, author, file, result, and the changed keys or the problems.

Usage:
    bulrushtiller audit [options]

Without --daemon, shows all changes that the log still keeps. The audit trail of a daemon
is shorter, and also shows when a revision came into force at which process, and which
process offered an older one. Times are by the clock of the author's machine.

Options:
    --daemon HOST:PORT  Show the audit trail of this daemon
    --file NAME         Only changes of this file
    --author NAME       Only changes by this author
    --result WORD       Only 'accepted', 'rejected' or 'repeated' changes
    --from N            Start at this offset of the log, or event number of the daemon
    --follow            Wait for new events until interrupted, also during outages
    --json              Print one JSON object per line
";

/// Longest wait of one read of the log with `--follow`.
const FOLLOW_WAIT: time::Duration = time::Duration::from_secs(5);

/// Pause between two calls to a daemon with `--follow`.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Number of failures after which the back-off delay no longer grows.
const MAX_BACKOFF_STEPS: usize = 8;

/// Timeout of a call to a daemon.
const DAEMON_TIMEOUT: time::Duration = time::Duration::from_secs(3);

/// Selects the events to show.
#[derive(Clone, Debug, Default)]
struct Filter {
    file: Option<SmolStr>,
    author: Option<SmolStr>,
    result: Option<change::ChangeResult>,
}

impl Filter {
    fn accepts(&self, event: &audit::Event) -> bool {
        let Some((made, change_result)) = change_and_result(event) else {
            return self.file.is_none() && self.author.is_none() && self.result.is_none();
        };
        let is = |wanted: &Option<SmolStr>, found: &SmolStr| {
            wanted.as_ref().is_none_or(|wanted| wanted == found)
        };
        is(&self.file, &made.file)
            && is(&self.author, &made.author)
            && self.result.is_none_or(|wanted| wanted == change_result)
    }
}

/// Returns the change that an event reports and its result, or `None` for another event.
const fn change_and_result(
    event: &audit::Event,
) -> Option<(&event::ChangeInfo, change::ChangeResult)> {
    match event {
        audit::Event::Accepted { made, .. } => Some((made, change::ChangeResult::Accepted)),
        audit::Event::Rejected { made, .. } => Some((made, change::ChangeResult::Rejected)),
        audit::Event::Repeated { made, .. } => Some((made, change::ChangeResult::Repeated)),
        audit::Event::RevertAttempt { .. } | audit::Event::InForce { .. } => None,
    }
}

struct Args {
    config: cli::Config,
    daemon: Option<SmolStr>,
    filter: Filter,
    from: u64,
    follow: bool,
    json: bool,
}

impl Args {
    fn parse(mut args: pico_args::Arguments) -> cli::CliResult<Self> {
        let config = cli::Config::from_args(&mut args)?;
        let daemon: Option<SmolStr> = flags::value(&mut args, "--daemon")?;
        if let Some(address) = &daemon {
            flags::check_address(address)?;
        }
        let result: Option<String> = flags::value(&mut args, "--result")?;
        let filter = Filter {
            file: flags::value(&mut args, "--file")?,
            author: flags::value(&mut args, "--author")?,
            result: result
                .as_deref()
                .map(change::ChangeResult::try_from)
                .transpose()?,
        };
        let parsed = Self {
            config,
            daemon,
            filter,
            from: flags::value(&mut args, "--from")?.unwrap_or(0),
            follow: args.contains("--follow"),
            json: args.contains("--json"),
        };
        flags::finish(args)?;
        Ok(parsed)
    }

    fn print(&self, event: &audit::Event) -> cli::CliResult<()> {
        if !self.filter.accepts(event) {
            return Ok(());
        }
        if self.json {
            return cli::out::json_line(event);
        }
        cli::out::line(render::text(event))
    }
}

/// Runs `audit`.
pub fn run(argv: Vec<ffi::OsString>) -> cli::CliResult<()> {
    let Some(args) = flags::arguments_or_help(argv, USAGE)? else {
        return Ok(());
    };
    let args = Args::parse(args)?;
    if let Some(address) = &args.daemon {
        return cmd::block_on(from_daemon(&args, address));
    }
    let log = args.config.log()?;
    cmd::block_on(from_log(&args, log))
}

async fn from_log(args: &Args, log: &SmolStr) -> cli::CliResult<()> {
    let http = client::Http::open();
    let entries = args.config.entries_or_empty();
    let mut outage = Outage::default();
    let (mut follower, applied) = loop {
        match follow::Follower::open(&http, log, entries).await {
            Ok(opened) => break opened,
            Err(err) if !args.follow => return Err(err.into()),
            Err(err) => outage.back_off(err).await?,
        }
    };
    print_records(args, &applied)?;
    if !args.follow {
        return Ok(());
    }
    outage = Outage::default();
    loop {
        match follower.read_next(FOLLOW_WAIT).await {
            Ok(applied) if follower.is_missing_records() => {
                print_records(args, &applied)?;
                return Err(follower
                    .log()
                    .bad_answer("records expired before they were read")
                    .into());
            }
            Ok(applied) => {
                outage = Outage::default();
                print_records(args, &applied)?;
            }
            Err(err) => outage.back_off(err).await?,
        }
    }
}

fn print_records(args: &Args, applied: &[reader::Applied]) -> cli::CliResult<()> {
    let wanted = applied
        .iter()
        .filter(|record| record.entry.offset >= args.from);
    let mut events = wanted.filter_map(audit::Event::from_record);
    events.try_for_each(|event| args.print(&event))
}

async fn from_daemon(args: &Args, address: &SmolStr) -> cli::CliResult<()> {
    let http = client::Http::open();
    let mut from = args.from;
    let mut outage = Outage::default();
    loop {
        let page = loop {
            match daemon_page(&http, address, from).await {
                Ok(page) => break page,
                Err(err) if !args.follow => return Err(err.into()),
                Err(err) => outage.back_off(err).await?,
            }
        };
        outage = Outage::default();
        for numbered in &page.events {
            args.print(&numbered.event)?;
        }
        let is_end = page.events.is_empty();
        from = page.next;
        if is_end && !args.follow {
            return Ok(());
        }
        if is_end {
            rt_time::sleep(POLL_INTERVAL).await;
        }
    }
}

async fn daemon_page(
    http: &client::Http,
    address: &SmolStr,
    from: u64,
) -> Result<audit::Page, client::ClientError> {
    let path = format!("/audit?from={from}");
    let reply = http
        .call(http::Call::get(address, &path, DAEMON_TIMEOUT))
        .await?;
    reply.expect_json()
}

/// Back-off while the log or a daemon does not answer.
#[derive(Debug, Default)]
struct Outage {
    /// Number of failed calls since the last answer.
    failures: usize,
}

impl Outage {
    /// Reports the first failure and waits; fails at once on an unexpected answer.
    async fn back_off(&mut self, err: client::ClientError) -> cli::CliResult<()> {
        if matches!(err, client::ClientError::BadAnswer(..)) {
            return Err(err.into());
        }
        if self.failures == 0 {
            cli::out::note(&err);
        }
        let delay = exchange::backoff().nth(self.failures.min(MAX_BACKOFF_STEPS));
        self.failures += 1;
        rt_time::sleep(delay.unwrap_or(FOLLOW_WAIT)).await;
        Ok(())
    }
}
