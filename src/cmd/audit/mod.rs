//! `audit`: who changed which settings, when, and what became of it.

use std::ffi;
use std::time;

use actix_rt::time as rt_time;
use smol_str::SmolStr;

use crate::audit;
use crate::audit::event;
use crate::cli;
use crate::cli::flags;
use crate::client;
use crate::client::follow;
use crate::client::http;
use crate::client::settle;
use crate::cmd;
use crate::cmd::change;
use crate::settings::reader;

mod render;

const USAGE: &str = "
Shows the changes of settings, oldest first: when, who, which file, at which revision,
accepted or why not, and what changed.

Usage:
    bulrushtiller audit [options]

Without --daemon they are those that the log still keeps. A daemon's own trail is
shorter, and tells besides at which process a revision came into force when, and who
offered an older one. Times are by the clock of whoever made the change.

Options:
    --daemon HOST:PORT  Show the trail of this daemon
    --file NAME         Only changes of this file
    --author NAME       Only changes by this author
    --result WORD       Only 'accepted', 'rejected' or 'repeated' changes
    --from N            Only from this offset of the log, or number of the daemon, on
    --follow            Go on until interrupted, also through outages
    --json              Print one JSON object a line
";

/// Longest wait of one read of the log while following.
const FOLLOW_WAIT: time::Duration = time::Duration::from_secs(5);

/// Pause between two questions to a daemon while following.
const DAEMON_PAUSE: time::Duration = time::Duration::from_millis(500);

/// Steps after which the pauses of an outage grow no more.
const MAX_STEPS: usize = 8;

/// Longest time for a daemon to answer.
const DAEMON_TIMEOUT: time::Duration = time::Duration::from_secs(3);

/// Which events are wanted.
#[derive(Clone, Debug, Default)]
struct Filter {
    file: Option<SmolStr>,
    author: Option<SmolStr>,
    result: Option<change::Ending>,
}

impl Filter {
    fn passes(&self, event: &audit::Event) -> bool {
        let Some((made, ending)) = change_in(event) else {
            return self.file.is_none() && self.author.is_none() && self.result.is_none();
        };
        let is = |wanted: &Option<SmolStr>, found: &SmolStr| {
            wanted.as_ref().is_none_or(|wanted| wanted == found)
        };
        is(&self.file, &made.file)
            && is(&self.author, &made.author)
            && self.result.is_none_or(|wanted| wanted == ending)
    }
}

/// The change that an event is about, and how it ended.
const fn change_in(event: &audit::Event) -> Option<(&event::ChangeInfo, change::Ending)> {
    match event {
        audit::Event::Accepted { made, .. } => Some((made, change::Ending::Accepted)),
        audit::Event::Rejected { made, .. } => Some((made, change::Ending::Rejected)),
        audit::Event::Repeated { made, .. } => Some((made, change::Ending::Repeated)),
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
        let config = cli::Config::take(&mut args)?;
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
                .map(change::Ending::try_from)
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
        if !self.filter.passes(event) {
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
    let Some(args) = flags::start(argv, USAGE)? else {
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
    let entries = args.config.known_entries();
    let mut outage = Outage::default();
    let (mut follower, applied) = loop {
        match follow::Follower::open(&http, log, entries).await {
            Ok(opened) => break opened,
            Err(err) if !args.follow => return Err(err.into()),
            Err(err) => outage.wait(err).await?,
        }
    };
    print_records(args, &applied)?;
    if !args.follow {
        return Ok(());
    }
    outage = Outage::default();
    loop {
        match follower.next(FOLLOW_WAIT).await {
            Ok(applied) if follower.is_lacking() => {
                print_records(args, &applied)?;
                return Err(follower
                    .log()
                    .bad("records expired before they were read")
                    .into());
            }
            Ok(applied) => {
                outage = Outage::default();
                print_records(args, &applied)?;
            }
            Err(err) => outage.wait(err).await?,
        }
    }
}

fn print_records(args: &Args, applied: &[reader::Applied]) -> cli::CliResult<()> {
    let wanted = applied.iter().filter(|one| one.entry.offset >= args.from);
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
                Err(err) => outage.wait(err).await?,
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
            rt_time::sleep(DAEMON_PAUSE).await;
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

/// A time in which the other side does not answer.
#[derive(Debug, Default)]
struct Outage {
    failures: usize,
}

impl Outage {
    /// Says so once and pauses; an answer that can't be understood is no outage.
    async fn wait(&mut self, err: client::ClientError) -> cli::CliResult<()> {
        if matches!(err, client::ClientError::BadAnswer(..)) {
            return Err(err.into());
        }
        if self.failures == 0 {
            cli::out::note(&err);
        }
        let pause = settle::pauses().nth(self.failures.min(MAX_STEPS));
        self.failures += 1;
        rt_time::sleep(pause.unwrap_or(FOLLOW_WAIT)).await;
        Ok(())
    }
}
