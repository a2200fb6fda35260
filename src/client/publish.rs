//! Publishes a change of the settings on the log and waits for its verdict.

use std::time;

use actix_rt::time as rt_time;
use rand::Rng as _;
use smol_str::SmolStr;
use smol_str::format_smolstr;

use crate::client;
use crate::client::exchange;
use crate::client::follow;
use crate::settings;
use crate::settings::reader;
use crate::settings::record;

/// Longest wait of one read of the log for the verdict.
const READ_WAIT: time::Duration = time::Duration::from_secs(2);

/// Change of one settings file, requested by an operator.
#[derive(Clone, Debug)]
pub struct ChangeRequest {
    /// Author of the change.
    pub author: SmolStr,
    /// Id of the change; a repeat with the same id has no effect.
    pub id: SmolStr,
    /// Name of the file.
    pub file: SmolStr,
    /// New text of the file; `None` removes the file.
    pub text: Option<String>,
    /// Revision that the change is based on, see [`record::Change::base`].
    pub base: Option<u64>,
}

impl From<ChangeRequest> for record::Change {
    fn from(request: ChangeRequest) -> Self {
        Self {
            version: record::VERSION,
            id: request.id,
            author: request.author,
            time_ms: unix_millis(),
            file: request.file,
            text: request.text,
            base: request.base,
        }
    }
}

/// Returns a new id for a change, random enough to be unique.
pub fn random_id() -> SmolStr {
    format_smolstr!("{:032x}", rand::rng().random::<u128>())
}

/// Returns the verdict that a change would have as the next record, without publishing it.
pub fn dry_run(state: &settings::State, change: &record::Change) -> settings::Verdict {
    let mut preview = state.clone();
    preview.apply(
        preview.position(),
        &settings::Record::Change(change.clone()),
    )
}

/// Appends a change and reads the log until its verdict is known.
///
/// An append whose answer is lost may have taken effect. Therefore the log is read after
/// every attempt, successful or not, and the append is repeated with the same id, so that
/// readers ignore a second record.
pub async fn publish(
    follower: &mut follow::Follower,
    change: &record::Change,
    until: time::Instant,
) -> Result<settings::Verdict, client::ClientError> {
    let document = settings::Record::Change(change.clone());
    let mut delays = exchange::backoff();
    let mut is_appended = false;
    loop {
        let mut failed = None;
        if !is_appended {
            failed = follower.log().append(&document).await.err();
            is_appended = failed.is_none();
        }
        let wait = if is_appended {
            READ_WAIT
        } else {
            time::Duration::ZERO
        };
        match follower.read_next(wait).await {
            Ok(applied) => {
                if let Some(verdict) = find_verdict(change, applied) {
                    return Ok(verdict);
                }
            }
            Err(err) => failed = failed.or(Some(err)),
        }
        let is_over = time::Instant::now() >= until;
        match failed {
            Some(err) if is_over || is_permanent(&err) => return Err(err),
            Some(_unavailable) => rt_time::sleep(delays.next().unwrap_or(READ_WAIT)).await,
            None if follower.is_missing_records() => {
                return Err(follower
                    .log()
                    .bad_answer("records expired before they were read"));
            }
            None if is_over => return Err(verdict_not_seen(follower, change)),
            None => {}
        }
    }
}

fn verdict_not_seen(follower: &follow::Follower, change: &record::Change) -> client::ClientError {
    let reason = format_smolstr!(
        "change {} was appended to the log, but its verdict was not read in time",
        change.id
    );
    client::ClientError::Lost(follower.log().address().clone(), reason)
}

const fn is_permanent(err: &client::ClientError) -> bool {
    matches!(err, client::ClientError::BadAnswer(..))
}

fn find_verdict(
    change: &record::Change,
    applied: Vec<reader::Applied>,
) -> Option<settings::Verdict> {
    let is_same_change = |applied_record: &reader::Applied| {
        follow::decode_change(applied_record).is_some_and(|found| found.id == change.id)
    };
    applied
        .into_iter()
        .find(is_same_change)
        .map(|applied_record| applied_record.verdict)
}

fn unix_millis() -> u64 {
    let since = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
    since.map_or(0, |since| {
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    })
}
