//! `load`: puts a load on the entries and measures the answers that callers receive.

use std::ffi;
use std::ops;
use std::time;

use serde::Serialize;
use smol_str::SmolStr;

use crate::cli;
use crate::cli::flags;
use crate::client;
use crate::client::entries;
use crate::cmd;
use crate::cmd::answer;
use crate::codes;

pub mod counters;
pub mod drive;
pub mod plan;
pub mod render;
pub mod tally;

const USAGE: &str = "
Puts a load on the entries and prints figures about the answers.

Usage:
    bulrushtiller load [options]

Jobs arrive at times derived from the seed, independently of earlier answers. The payload
of each task is {\"sleep_ms\": N}, with N declared as its run time. The response time of a
complete job is measured from when it was due, relative to the run time of its longest
task.

Options:
    --rate R            Jobs per second (default 10)
    --seconds S         Time during which jobs arrive (default 10)
    --job-size N        Tasks per job (default 4)
    --mix MIX           KIND=LOW..HIGH[@WEIGHT],... in milliseconds, or one of 'short'
                        (short=50..1000, the default), 'long' (long=2000..6000) and
                        'mixed' (short=50..1000@19,long=2000..6000@1)
    --seed N            Seed of arrivals and run times (default 1)
    --connections N     Maximum of open jobs; others are not sent (default 1000)
    --deadline-ms N     Deadline of each job (default 60000)
    --idempotent        Tasks that may have run may be started again
    --slots N           Slots of all runners, to print goodput relative to capacity
    --json              Print the figures as JSON
";

const DEFAULT_RATE: f64 = 10.0;
const MIN_RATE: f64 = 0.001;
const MAX_RATE: f64 = 100_000.0;
const DEFAULT_SECONDS: f64 = 10.0;
const MAX_SECONDS: f64 = 86_400.0;
const DEFAULT_JOB_SIZE: usize = 4;
const MAX_JOB_SIZE: usize = 10_000;
const DEFAULT_MIX: &str = "short";
const DEFAULT_SEED: u64 = 1;
const DEFAULT_OPEN_JOBS: usize = 1000;
const MAX_OPEN_JOBS: usize = 20_000;
const DEFAULT_DEADLINE: time::Duration = time::Duration::from_secs(60);

struct Args {
    config: cli::Config,
    plan: plan::Plan,
    bounds: drive::Bounds,
    slots: Option<u32>,
    json: bool,
}

impl Args {
    fn parse(mut args: pico_args::Arguments) -> cli::CliResult<Self> {
        let config = cli::Config::from_args(&mut args)?;
        let seconds = number(&mut args, "--seconds", DEFAULT_SECONDS, 0.0..=MAX_SECONDS)?;
        let plan = plan::Plan {
            rate: number(&mut args, "--rate", DEFAULT_RATE, MIN_RATE..=MAX_RATE)?,
            duration: time::Duration::from_secs_f64(seconds),
            job_size: count(&mut args, "--job-size", DEFAULT_JOB_SIZE, MAX_JOB_SIZE)?,
            mix: mix(&mut args)?,
            seed: flags::value(&mut args, "--seed")?.unwrap_or(DEFAULT_SEED),
        };
        let bounds = drive::Bounds {
            open: count(&mut args, "--connections", DEFAULT_OPEN_JOBS, MAX_OPEN_JOBS)?,
            deadline: flags::millis(&mut args, "--deadline-ms")?.unwrap_or(DEFAULT_DEADLINE),
            idempotent: args.contains("--idempotent"),
        };
        let slots = flags::value(&mut args, "--slots")?;
        if slots == Some(0) {
            return Err(cli::CliError::Usage(
                "--slots must be at least 1".to_owned(),
            ));
        }
        let parsed = Self {
            config,
            plan,
            bounds,
            slots,
            json: args.contains("--json"),
        };
        flags::finish(args)?;
        Ok(parsed)
    }
}

/// Takes an option with a number within a range.
fn number(
    args: &mut pico_args::Arguments,
    key: &'static str,
    default: f64,
    range: ops::RangeInclusive<f64>,
) -> cli::CliResult<f64> {
    let value: f64 = flags::value(args, key)?.unwrap_or(default);
    if range.contains(&value) {
        return Ok(value);
    }
    let (min, max) = range.into_inner();
    Err(cli::CliError::Usage(format!(
        "{key} must be {min} to {max}"
    )))
}

/// Takes an option with a count from 1 to `max`.
fn count(
    args: &mut pico_args::Arguments,
    key: &'static str,
    default: usize,
    max: usize,
) -> cli::CliResult<usize> {
    let value: usize = flags::value(args, key)?.unwrap_or(default);
    if (1..=max).contains(&value) {
        return Ok(value);
    }
    Err(cli::CliError::Usage(format!("{key} must be 1 to {max}")))
}

fn mix(args: &mut pico_args::Arguments) -> cli::CliResult<plan::Mix> {
    let text: Option<String> = flags::value(args, "--mix")?;
    text.as_deref().unwrap_or(DEFAULT_MIX).parse()
}

/// JSON output: the figures and the options of the load.
#[derive(Serialize)]
struct JsonReport<'a> {
    rate: f64,
    job_size: usize,
    mix: String,
    seed: u64,
    slots: Option<u32>,
    #[serde(flatten)]
    report: &'a tally::Report,
}

/// Runs `load`.
pub fn run(argv: Vec<ffi::OsString>) -> cli::CliResult<()> {
    let Some(args) = flags::arguments_or_help(argv, USAGE)? else {
        return Ok(());
    };
    let args = Args::parse(args)?;
    let token = args.config.token()?;
    let addresses = args.config.entries()?;
    let report = cmd::block_on(measure(&args, addresses, token));
    if args.json {
        cli::out::json(&json_report(&args, &report))?;
    } else {
        cli::out::print(&render::render(&args.plan, &report))?;
    }
    exit_result(&report)
}

async fn measure(args: &Args, addresses: &[SmolStr], token: &SmolStr) -> tally::Report {
    let http = client::Http::open();
    let before = counters::Counters::read(&http, addresses).await;
    let entries = entries::Entries::new(http.clone(), addresses, token);
    let (tally, elapsed) = drive::drive(entries, &args.plan, args.bounds).await;
    let after = counters::Counters::read(&http, addresses).await;
    let both = before.zip(after);
    tally::Report {
        wasted: both.map(|(before, after)| after.since(before)),
        sent_on: both.map(|(before, after)| after.sent_on_since(before)),
        ..tally.report(elapsed, args.slots)
    }
}

/// Returns the result of a load: a failure only if jobs arrived and none of them received a
/// final answer.
fn exit_result(report: &tally::Report) -> cli::CliResult<()> {
    if !report.by_code.is_empty() || report.jobs == 0 {
        return Ok(());
    }
    let worst = report.unanswered.keys().next_back().copied();
    let code = worst.and_then(|number| codes::Code::try_from(number).ok());
    cli::out::note("no job received a final answer");
    answer::exit_result(code.unwrap_or(codes::Code::TimedOut))
}

fn json_report<'a>(args: &Args, report: &'a tally::Report) -> JsonReport<'a> {
    JsonReport {
        rate: args.plan.rate,
        job_size: args.plan.job_size,
        mix: args.plan.mix.to_string(),
        seed: args.plan.seed,
        slots: args.slots,
        report,
    }
}
