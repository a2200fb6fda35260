//! `submit`: a job or a single request, seen through to its answer.

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
use crate::client::settle;
use crate::cmd;
use crate::cmd::answer;
use crate::codes;
use crate::ids;

const USAGE: &str = "
Submits a job, or a single request, and waits for its answer.

Usage:
    bulrushtiller submit [options]

The job is the JSON body of POST /v1/jobs, or is made from the flags. A ticket is
taken first, so that a call whose answer is lost is repeated through the next entry
without a second start.

Options:
    --file JOB.json     Read the job from a file; '-' is standard input
    --tasks N           Number of equal tasks (default 1)
    --kind KIND         What sort of task it is
    --payload TEXT      Passed to the backend server
    --cpu-milli N       Thousandths of a core, each task
    --memory-mib N      Mebibytes, each task
    --accelerators N    Whole accelerators, each task
    --run-ms N          Expected run time, each task
    --deadline-ms N     When the answer is wanted (default 60000)
    --wait-ms N         How long to wait for it (default: until the deadline); 0 gives
                        the submission id at once, for 'fetch'
    --idempotent        A task may be started again after it may have run
    --request           A single request instead of a job
    --submission ID     An id of your own, or a ticket taken before
    --json              Print the answer as JSON
";

/// Deadline of a submission that names none.
const DEADLINE: time::Duration = time::Duration::from_secs(60);

/// Longest time that is spent on taking a ticket; nothing has been submitted by then.
const TICKET_PATIENCE: time::Duration = time::Duration::from_secs(5);

/// Largest job file, in bytes.
const MAX_FILE_BYTES: u64 = 64 << 20;

/// Most tasks that the flags can ask for.
const MAX_TASKS: usize = 100_000;

struct Args {
    config: cli::Config,
    shape: entries::Shape,
    submission: api::Submission,
    deadline: time::Duration,
    wait: Option<time::Duration>,
    json: bool,
}

impl Args {
    fn parse(mut args: pico_args::Arguments) -> cli::CliResult<Self> {
        let config = cli::Config::take(&mut args)?;
        let json = args.contains("--json");
        let shape = if args.contains("--request") {
            entries::Shape::Request
        } else {
            entries::Shape::Job
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
        check(shape, &submission)?;
        let deadline = submission
            .deadline_ms
            .map_or(DEADLINE, time::Duration::from_millis);
        Ok(Self {
            config,
            shape,
            submission,
            deadline: deadline.min(flags::MAX_TIME),
            wait,
            json,
        })
    }
}

/// Refuses what no entry would take.
fn check(shape: entries::Shape, submission: &api::Submission) -> cli::CliResult<()> {
    let count = submission.tasks.len();
    let complaint = match shape {
        _ if count == 0 => "a submission has at least one task",
        entries::Shape::Request if count > 1 => "a request has exactly one task",
        _ if submission.deadline_ms == Some(0) => "the deadline must be later than now",
        _ => return Ok(()),
    };
    Err(cli::CliError::Usage(complaint.to_owned()))
}

fn read_job(path: &path::Path) -> cli::CliResult<api::Submission> {
    let failed = |err| cli::CliError::Io(path.display().to_string(), err);
    let text = if path.as_os_str() == "-" {
        read_limited(io::stdin().lock())
    } else {
        std::fs::File::open(path).and_then(read_limited)
    };
    let text = text.map_err(failed)?;
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
    let Some(args) = flags::start(argv, USAGE)? else {
        return Ok(());
    };
    let args = Args::parse(args)?;
    let settled = cmd::block_on(async {
        let entries = args.config.open_entries()?;
        submit(&entries, &args).await
    })?;
    answer::print(&settled.answer, args.json)?;
    still_pending(&settled.answer, args.wait)
}

/// Ends with an error if the answer was awaited to the end and never came.
pub fn still_pending(answer: &api::Answer, wait: Option<time::Duration>) -> cli::CliResult<()> {
    if answer.is_final || wait.is_some() {
        return Ok(());
    }
    let text = format!(
        "no final answer in time; 'fetch {}' asks again",
        cli::out::cell(answer.submission.as_ref())
    );
    Err(cli::CliError::failed(codes::Code::TimedOut, text))
}

async fn submit(entries: &entries::Entries, args: &Args) -> cli::CliResult<settle::Settled> {
    if args.submission.submission.is_some() {
        return see_through(entries, 0, &args.submission, args).await;
    }
    let mut first = 0;
    loop {
        let (place, ticket) = take_ticket(entries, first, args.deadline).await?;
        let submission = api::Submission {
            submission: Some(ticket),
            ..args.submission.clone()
        };
        let settled = see_through(entries, place, &submission, args).await?;
        // The entry began to stop after it gave the ticket. Its refusal is the last word
        // on that ticket, so a ticket of another entry can't lead to a second start.
        let left = settled.answer.is_final && settled.answer.code == codes::Code::Leaving;
        first = place + 1;
        if !left || first >= entries.len() {
            return Ok(settled);
        }
    }
}

async fn see_through(
    entries: &entries::Entries,
    place: usize,
    submission: &api::Submission,
    args: &Args,
) -> cli::CliResult<settle::Settled> {
    let end = args.deadline + settle::GRACE;
    let now = time::Instant::now();
    let patience = settle::Patience {
        answer_by: now + args.wait.unwrap_or(end),
        repeat_until: now + end,
    };
    let subject = settle::Subject::Submit(args.shape, submission);
    let settled = settle::settle(entries, place, subject, patience).await;
    settled.map_err(|err| unanswered(&err, submission))
}

/// Tells what is known of a submission to which no entry gave any answer.
fn unanswered(err: &client::ClientError, submission: &api::Submission) -> cli::CliError {
    let id = cli::out::cell(submission.submission.as_ref());
    let text = format!("{err}; it may have been taken in: 'fetch {id}' asks again");
    cli::CliError::failed(err.code(), text)
}

/// Has one of the entries mint a ticket and tells which did.
async fn take_ticket(
    entries: &entries::Entries,
    first: usize,
    deadline: time::Duration,
) -> cli::CliResult<(usize, ids::SubmissionId)> {
    let until = time::Instant::now() + deadline.min(TICKET_PATIENCE);
    for (place, pause) in (first..).zip(settle::pauses()) {
        let err = match entries.tickets(place, 1).await {
            Ok(tickets) => match tickets.tickets.into_iter().next() {
                Some(ticket) => return Ok((place, ticket)),
                None => entries.no_ticket(place),
            },
            Err(err) => err,
        };
        let is_last_word = err.code().class() == codes::Class::BadRequest;
        if is_last_word || time::Instant::now() >= until {
            return Err(err.into());
        }
        rt_time::sleep(pause).await;
    }
    Err(cli::CliError::failed(
        codes::Code::TimedOut,
        "no entry gave a ticket",
    ))
}

fn as_millis(duration: time::Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
