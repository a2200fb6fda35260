//! Submits once and waits for the final answer, with retries of failed calls.
//!
//! A call whose answer is lost may have taken effect. It is repeated through the next
//! entry with the same submission id, which never starts a task twice: only the
//! incarnation named in the ticket, or the holder of the claim on a client's own id, may
//! start it.

use std::time;

use actix_rt::time as rt_time;
use backon::BackoffBuilder as _;

use crate::api;
use crate::client;
use crate::client::entries;
use crate::codes;
use crate::ids;

/// Longest wait that one call requests.
///
/// A connection may stop working while new ones succeed. A short wait detects that soon,
/// at the cost of one small call every few seconds for a long job.
const CALL_WAIT: time::Duration = time::Duration::from_secs(5);

/// Shortest and longest delay before a failed call is repeated.
const MIN_DELAY: time::Duration = time::Duration::from_millis(20);
const MAX_DELAY: time::Duration = time::Duration::from_secs(1);

/// Time for which the final answer is awaited after the deadline of a submission.
///
/// An entry sends the final answer of an unfinished submission at the deadline. A caller
/// that stopped waiting at that moment would not learn which tasks ran.
pub const GRACE: time::Duration = time::Duration::from_secs(2);

/// Time limits of an exchange.
#[derive(Clone, Copy, Debug)]
pub struct TimeLimits {
    /// When to stop waiting for the final answer of an accepted submission.
    pub answer_by: time::Instant,
    /// When to stop repeating calls that get no answer.
    pub repeat_until: time::Instant,
}

impl TimeLimits {
    /// Sets both limits to `time` from now.
    pub fn within(time: time::Duration) -> Self {
        let end = time::Instant::now() + time;
        Self {
            answer_by: end,
            repeat_until: end,
        }
    }

    /// Returns the time until `answer_by`.
    fn remaining_wait(&self) -> time::Duration {
        remaining(self.answer_by)
    }

    /// Whether both limits have passed, so that calls are no longer repeated.
    fn is_over(&self) -> bool {
        remaining(self.answer_by.max(self.repeat_until)).is_zero()
    }
}

/// Returns the time until `end`, or zero once it has passed.
fn remaining(end: time::Instant) -> time::Duration {
    end.saturating_duration_since(time::Instant::now())
}

/// Result of an exchange.
#[derive(Clone, Debug)]
pub struct Reply {
    /// Final answer, or the latest one when the time was over.
    pub answer: api::Answer,
    /// Number of calls that got no answer and were repeated.
    pub repeats: u32,
}

/// Operation that an exchange performs.
#[derive(Clone, Debug)]
pub enum Operation<'a> {
    /// Submits, then waits for the answer.
    Submit(entries::Endpoint, &'a api::Submission),
    /// Waits for the answer to an earlier submission.
    Fetch(&'a ids::SubmissionId),
}

impl Operation<'_> {
    /// Returns the id of the submission, if the caller has one.
    const fn id(&self) -> Option<&ids::SubmissionId> {
        match self {
            Self::Submit(_, submission) => submission.submission.as_ref(),
            Self::Fetch(id) => Some(id),
        }
    }
}

/// Calls the entries in turn until one returns the final answer or the time is over.
///
/// Makes at least one call. Fails with the last error if the calls still get no answer when
/// both limits have passed.
pub async fn perform(
    entries: &entries::Entries,
    first: usize,
    operation: Operation<'_>,
    limits: TimeLimits,
) -> Result<Reply, client::ClientError> {
    let mut index = first;
    let mut backoff = backoff();
    let mut repeats = 0;
    let mut operation = operation;
    loop {
        let delay = match call_once(entries, index, &operation, limits.remaining_wait()).await {
            Ok(mut answer) if answer.is_final || limits.remaining_wait().is_zero() => {
                // A final answer without an id means that no submission was accepted.
                if !answer.is_final && answer.submission.is_none() {
                    answer.submission = operation.id().cloned();
                }
                return Ok(Reply { answer, repeats });
            }
            Ok(answer) => {
                operation = fetch_once_accepted(operation, &answer);
                let requested_delay = answer.retry_after_ms.map(time::Duration::from_millis);
                requested_delay
                    .unwrap_or_default()
                    .max(MIN_DELAY)
                    .min(limits.remaining_wait())
            }
            Err(err) if limits.is_over() => return Err(err),
            Err(_unanswered) => {
                repeats += 1;
                index += 1;
                backoff.next().unwrap_or(MAX_DELAY)
            }
        };
        rt_time::sleep(delay).await;
    }
}

/// Makes one call, which waits for at most `remaining` and [`CALL_WAIT`].
async fn call_once(
    entries: &entries::Entries,
    index: usize,
    operation: &Operation<'_>,
    remaining: time::Duration,
) -> Result<api::Answer, client::ClientError> {
    let wait = remaining.min(CALL_WAIT);
    match operation {
        Operation::Fetch(id) => entries.fetch(index, id, wait).await,
        Operation::Submit(endpoint, submission) => {
            let wait_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
            let submission = api::Submission {
                wait_ms,
                ..(*submission).clone()
            };
            entries.submit(index, *endpoint, &submission).await
        }
    }
}

/// Turns a submission that was accepted into a fetch, so that its tasks are not sent again.
fn fetch_once_accepted<'a>(operation: Operation<'a>, answer: &api::Answer) -> Operation<'a> {
    match operation {
        Operation::Submit(_, submission) if answer.code == codes::Code::Pending => {
            let id = submission.submission.as_ref();
            id.map_or(operation, Operation::Fetch)
        }
        other => other,
    }
}

/// Returns growing delays between repeated calls, with jitter so that callers spread out.
pub fn backoff() -> impl Iterator<Item = time::Duration> {
    let builder = backon::ExponentialBuilder::new()
        .with_min_delay(MIN_DELAY)
        .with_max_delay(MAX_DELAY)
        .with_jitter();
    builder.without_max_times().build()
}
