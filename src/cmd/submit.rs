//! `submit`: submits a job or a single request and waits for its answer.

use std::ffi;
use std::io;
use std::path;
use std::time;

use actix_rt::time as rt_time;
use smol_str::SmolStr;

use crate::api;
use crate::cli;
use crate::cli::flags;
use crate::client;
use crate::client::entries;
use crate::client::exchange;
use crate::cmd;
use crate::cmd::answer;
use crate::codes;
use crate::ids;

const USAGE: &str = "
Submits a job, or a single request, and waits for its answer.

Usage:
    bulrushtiller submit [options]

The job is the JSON body of POST /v1/jobs, or is made from the flags. The tool takes a
ticket first, so that it can repeat a call whose answer is lost through the next entry
without starting a task twice.

Options:
    --file JOB.json     Read the job from a file; '-' is standard input
    --tasks N           Number of identical tasks (default 1)
    --kind KIND         Kind of the tasks
    --payload TEXT      Payload for the backend server
    --cpu-milli N       Thousandths of a core per task
    --memory-mib N      Mebibytes of memory per task
    --accelerators N    Whole accelerators per task
    --run-ms N          Expected run time per task
    --deadline-ms N     Deadline, from now (default 60000)
    --wait-ms N         Time to wait for the answer (default: until the deadline); 0
                        prints the submission id at once, for 'fetch'
    --idempotent        A task that may have run may be started again
    --request           A single request instead of a job
    --submission ID     Id of your own choice, or an earlier ticket
    --json              Print the answer as JSON
";

/// Deadline of a submission without one.
const DEFAULT_DEADLINE: time::Duration = time::Duration::from_secs(60);

/// Time limit for taking a ticket; nothing is submitted before there is one.
const TICKET_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// Largest job file, in bytes.
const MAX_FILE_BYTES: u64 = 64 << 20;

/// Maximum number of tasks of a job that is made from flags.
const MAX_TASKS: usize = 100_000;

struct Args {
    config: cli::Config,
    endpoint: entries::Endpoint,
    submission: api::Submission,
    deadline: time::Duration,
    wait: Option<time::Duration>,
    json: bool,
}

impl Args {
    fn parse(mut args: pico_args::Arguments) -> cli::CliResult<Self> {
        let config = cli::Config::from_args(&mut args)?;
        let json = args.contains("--json");
        let endpoint = if args.contains("--request") {
            entries::Endpoint::Request
        } else {
            entries::Endpoint::Job
        };
        let deadline = flags::millis(&mut args, "--deadline-ms")?;
        let wait = flags::millis(&mut args, "--wait-ms")?;
        let idempotent = args.contains("--idempotent");
        let id: Option<SmolStr> = flags::value(&mut args, "--submission")?;
        let file: Option<path::PathBuf> = flags::value(&mut args, "--file")?;
        let mut submission = match file {
            Some(path) => read_job(&path)?,
            None => job_from_flags(&mut args)?,
        };
        flags::finish(args)?;
        submission.idempotent |= idempotent;
        if let Some(id) = id {
            submission.submission = Some(ids::SubmissionId::try_from(id)?);
        }
        if let Some(deadline) = deadline {
            submission.deadline_ms = Some(as_millis(deadline));
        }
        check_submission(endpoint, &submission)?;
        let deadline = submission
            .deadline_ms
            .map_or(DEFAULT_DEADLINE, time::Duration::from_millis);
        Ok(Self {
            config,
            endpoint,
            submission,
            deadline: deadline.min(flags::MAX_TIME),
            wait,
            json,
        })
    }
}

/// Checks a submission for errors that every entry would refuse.
fn check_submission(
    endpoint: entries::Endpoint,
    submission: &api::Submission,
) -> cli::CliResult<()> {
    let count = submission.tasks.len();
    let message = match endpoint {
        _ if count == 0 => "a submission has at least one task",
        entries::Endpoint::Request if count > 1 => "a request has exactly one task",
        _ if submission.deadline_ms == Some(0) => "the deadline must be later than now",
        _ => return Ok(()),
    };
    Err(cli::CliError::Usage(message.to_owned()))
}

fn read_job(path: &path::Path) -> cli::CliResult<api::Submission> {
    let io_error = |err| cli::CliError::Io(path.display().to_string(), err);
    let text = if path.as_os_str() == "-" {
        read_limited(io::stdin().lock())
    } else {
        std::fs::File::open(path).and_then(read_limited)
    };
    let text = text.map_err(io_error)?;
    serde_json::from_str(&text).map_err(|err| {
        cli::CliError::failed(codes::Code::BadBody, format!("{}: {err}", path.display()))
    })
}

fn read_limited(source: impl io::Read) -> io::Result<String> {
    use io::Read as _;
    let mut text = String::new();
    source.take(MAX_FILE_BYTES).read_to_string(&mut text)?;
    Ok(text)
}

fn job_from_flags(args: &mut pico_args::Arguments) -> cli::CliResult<api::Submission> {
    let count: usize = flags::value(args, "--tasks")?.unwrap_or(1);
    if count > MAX_TASKS {
        return Err(cli::CliError::Usage(format!(
            "--tasks is at most {MAX_TASKS}"
        )));
    }
    let task = api::Task {
        kind: flags::value(args, "--kind")?.unwrap_or_default(),
        payload: flags::value(args, "--payload")?.unwrap_or_default(),
        cpu_milli: flags::value(args, "--cpu-milli")?.unwrap_or_default(),
        memory_mib: flags::value(args, "--memory-mib")?.unwrap_or_default(),
        accelerators: flags::value(args, "--accelerators")?.unwrap_or_default(),
        run_ms: flags::value(args, "--run-ms")?.unwrap_or_default(),
    };
    Ok(api::Submission {
        submission: None,
        deadline_ms: None,
        wait_ms: 0,
        idempotent: false,
        tasks: vec![task; count],
    })
}

/// Runs `submit`.
pub fn run(argv: Vec<ffi::OsString>) -> cli::CliResult<()> {
    let Some(args) = flags::arguments_or_help(argv, USAGE)? else {
        return Ok(());
    };
    let args = Args::parse(args)?;
    let reply = cmd::block_on(async {
        let entries = args.config.open_entries()?;
        submit(&entries, &args).await
    })?;
    answer::print(&reply.answer, args.json)?;
    check_final(&reply.answer, args.wait)
}

/// Fails if the tool waited until the deadline and received no final answer.
pub fn check_final(answer: &api::Answer, wait: Option<time::Duration>) -> cli::CliResult<()> {
    if answer.is_final || wait.is_some() {
        return Ok(());
    }
    let text = format!(
        "no final answer in time; use 'fetch {}' to get it later",
        cli::out::cell(answer.submission.as_ref())
    );
    Err(cli::CliError::failed(codes::Code::TimedOut, text))
}

async fn submit(entries: &entries::Entries, args: &Args) -> cli::CliResult<exchange::Reply> {
    if args.submission.submission.is_some() {
        return submit_and_wait(entries, 0, &args.submission, args).await;
    }
    let mut first = 0;
    loop {
        let (index, ticket) = take_ticket(entries, first, args.deadline).await?;
        let submission = api::Submission {
            submission: Some(ticket),
            ..args.submission.clone()
        };
        let reply = submit_and_wait(entries, index, &submission, args).await?;
        // The entry began to stop after it issued the ticket. Its refusal is final for that
        // ticket, so that a ticket of another entry can't lead to a second start.
        let is_leaving = reply.answer.is_final && reply.answer.code == codes::Code::Leaving;
        first = index + 1;
        if !is_leaving || first >= entries.len() {
            return Ok(reply);
        }
    }
}

async fn submit_and_wait(
    entries: &entries::Entries,
    index: usize,
    submission: &api::Submission,
    args: &Args,
) -> cli::CliResult<exchange::Reply> {
    let end = args.deadline + exchange::GRACE;
    let now = time::Instant::now();
    let limits = exchange::TimeLimits {
        answer_by: now + args.wait.unwrap_or(end),
        repeat_until: now + end,
    };
    let operation = exchange::Operation::Submit(args.endpoint, submission);
    let reply = exchange::perform(entries, index, operation, limits).await;
    reply.map_err(|err| no_answer_error(&err, submission))
}

/// Returns the error for a submission without any answer, which may have been accepted.
fn no_answer_error(err: &client::ClientError, submission: &api::Submission) -> cli::CliError {
    let id = cli::out::cell(submission.submission.as_ref());
    let text = format!("{err}; it may have been accepted: use 'fetch {id}' to get the answer");
    cli::CliError::failed(err.code(), text)
}

/// Takes a ticket from one of the entries and returns it with the index of the entry.
async fn take_ticket(
    entries: &entries::Entries,
    first: usize,
    deadline: time::Duration,
) -> cli::CliResult<(usize, ids::SubmissionId)> {
    let until = time::Instant::now() + deadline.min(TICKET_TIMEOUT);
    for (index, delay) in (first..).zip(exchange::backoff()) {
        let err = match entries.tickets(index, 1).await {
            Ok(tickets) => match tickets.tickets.into_iter().next() {
                Some(ticket) => return Ok((index, ticket)),
                None => entries.no_ticket_error(index),
            },
            Err(err) => err,
        };
        let is_permanent = err.code().class() == codes::Class::BadRequest;
        if is_permanent || time::Instant::now() >= until {
            return Err(err.into());
        }
        rt_time::sleep(delay).await;
    }
    Err(cli::CliError::failed(
        codes::Code::TimedOut,
        "no entry issued a ticket in time",
    ))
}

fn as_millis(duration: time::Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
