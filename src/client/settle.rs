//! Submitting once and seeing it through, whatever happens to single calls.
//!
//! A call whose answer is lost may have taken effect. It is repeated through the
//! next entry under the same submission id, which never starts anything twice:
//! only the one life named by a ticket, or the holder of the claim on a client's
//! own id, may start it.

use std::time;

use actix_rt::time as rt_time;
use backon::BackoffBuilder as _;

use crate::api;
use crate::client;
use crate::client::entries;
use crate::codes;
use crate::ids;

/// Longest wait of one call.
///
/// A connection may go silent while new ones work; a short wait finds that out soon
/// and costs one small call every few seconds for a long job.
const CALL_WAIT: time::Duration = time::Duration::from_secs(5);

/// First and greatest pause between calls that failed.
const MIN_PAUSE: time::Duration = time::Duration::from_millis(20);
const MAX_PAUSE: time::Duration = time::Duration::from_secs(1);

/// How long after its deadline a submission's final answer is still awaited.
///
/// An entry gives it up at the deadline; without this its answer would cross with the
/// caller's own end, and the caller would not learn what ran.
pub const GRACE: time::Duration = time::Duration::from_secs(2);

/// How long a caller goes on.
#[derive(Clone, Copy, Debug)]
pub struct Patience {
    /// When to stop waiting for the final answer of what was taken in.
    pub answer_by: time::Instant,
    /// When to stop repeating calls that give no answer at all.
    pub repeat_until: time::Instant,
}

impl Patience {
    /// Both ends after the same time from now.
    pub fn lasting(time: time::Duration) -> Self {
        let end = time::Instant::now() + time;
        Self {
            answer_by: end,
            repeat_until: end,
        }
    }

    /// What is left of the wait for the answer.
    fn wait(&self) -> time::Duration {
        left(self.answer_by)
    }

    /// Whether calls are no longer repeated.
    fn is_over(&self) -> bool {
        left(self.answer_by.max(self.repeat_until)).is_zero()
    }
}

/// The time until `end`.
fn left(end: time::Instant) -> time::Duration {
    end.saturating_duration_since(time::Instant::now())
}

/// A last answer, or the latest one that is not the last.
#[derive(Clone, Debug)]
pub struct Settled {
    /// The answer.
    pub answer: api::Answer,
    /// Calls that gave no answer and were repeated.
    pub repeats: u32,
}

/// What an exchange is about.
#[derive(Clone, Debug)]
pub enum Subject<'a> {
    /// Submit, then wait for the answer.
    Submit(entries::Shape, &'a api::Submission),
    /// Wait for the answer to what was submitted before.
    Fetch(&'a ids::SubmissionId),
}

impl Subject<'_> {
    /// The submission's id, if the caller has one.
    const fn id(&self) -> Option<&ids::SubmissionId> {
        match self {
            Self::Submit(_, submission) => submission.submission.as_ref(),
            Self::Fetch(id) => Some(id),
        }
    }
}

/// Calls the entries in turn until a final answer is there or the patience is over.
///
/// At least one call is made. When no call is answered to the end, the last failure is given.
pub async fn settle(
    entries: &entries::Entries,
    first: usize,
    subject: Subject<'_>,
    patience: Patience,
) -> Result<Settled, client::ClientError> {
    let mut place = first;
    let mut pauses = pauses();
    let mut repeats = 0;
    let mut subject = subject;
    loop {
        let pause = match step(entries, place, &subject, patience.wait()).await {
            Ok(mut answer) if answer.is_final || patience.wait().is_zero() => {
                // A final answer without an id says that nothing was taken in.
                if !answer.is_final && answer.submission.is_none() {
                    answer.submission = subject.id().cloned();
                }
                return Ok(Settled { answer, repeats });
            }
            Ok(answer) => {
                subject = known(subject, &answer);
                let asked_for = answer.retry_after_ms.map(time::Duration::from_millis);
                asked_for
                    .unwrap_or_default()
                    .max(MIN_PAUSE)
                    .min(patience.wait())
            }
            Err(err) if patience.is_over() => return Err(err),
            Err(_unanswered) => {
                repeats += 1;
                place += 1;
                pauses.next().unwrap_or(MAX_PAUSE)
            }
        };
        rt_time::sleep(pause).await;
    }
}

/// One call with what is left of the time.
async fn step(
    entries: &entries::Entries,
    place: usize,
    subject: &Subject<'_>,
    left: time::Duration,
) -> Result<api::Answer, client::ClientError> {
    let wait = left.min(CALL_WAIT);
    match subject {
        Subject::Fetch(id) => entries.fetch(place, id, wait).await,
        Subject::Submit(shape, submission) => {
            let wait_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
            let submission = api::Submission {
                wait_ms,
                ..(*submission).clone()
            };
            entries.submit(place, *shape, &submission).await
        }
    }
}

/// Once it is known to be taken in there is no need to send it whole again.
fn known<'a>(subject: Subject<'a>, answer: &api::Answer) -> Subject<'a> {
    match subject {
        Subject::Submit(_, submission) if answer.code == codes::Code::Pending => {
            let id = submission.submission.as_ref();
            id.map_or(subject, Subject::Fetch)
        }
        other => other,
    }
}

/// Pauses that grow to the greatest, spread so that callers don't return together.
pub fn pauses() -> impl Iterator<Item = time::Duration> {
    let builder = backon::ExponentialBuilder::new()
        .with_min_delay(MIN_PAUSE)
        .with_max_delay(MAX_PAUSE)
        .with_jitter();
    builder.without_max_times().build()
}
