//! Putting a change on the log and learning what became of it.

use std::time;

use actix_rt::time as rt_time;
use rand::Rng as _;
use smol_str::SmolStr;
use smol_str::format_smolstr;

use crate::client;
use crate::client::follow;
use crate::client::settle;
use crate::settings;
use crate::settings::reader;
use crate::settings::record;

/// Longest wait of one read for the verdict.
const READ_WAIT: time::Duration = time::Duration::from_secs(2);

/// What an operator asks for.
#[derive(Clone, Debug)]
pub struct Order {
    /// Who asks.
    pub author: SmolStr,
    /// The id of the change; a repeat under the same id does no harm.
    pub id: SmolStr,
    /// The file.
    pub file: SmolStr,
    /// Its new text; absent: it is removed.
    pub text: Option<String>,
    /// What the change is based on, see [`record::Change::base`].
    pub base: Option<u64>,
}

impl From<Order> for record::Change {
    fn from(order: Order) -> Self {
        Self {
            version: record::VERSION,
            id: order.id,
            author: order.author,
            time_ms: unix_millis(),
            file: order.file,
            text: order.text,
            base: order.base,
        }
    }
}

/// An id that no other change has.
pub fn random_id() -> SmolStr {
    format_smolstr!("{:032x}", rand::rng().random::<u128>())
}

/// Says beforehand what would become of a change, if no other comes first.
pub fn rehearse(state: &settings::State, change: &record::Change) -> settings::Verdict {
    let mut trial = state.clone();
    trial.apply(trial.position(), &settings::Record::Change(change.clone()))
}

/// Appends a change and reads the log until its verdict is there.
///
/// An append whose answer is lost may have taken effect. The log is read after every
/// try, whatever came of it, and the append is repeated under the same id, so that
/// readers pass a second record by.
pub async fn publish(
    follower: &mut follow::Follower,
    change: &record::Change,
    until: time::Instant,
) -> Result<settings::Verdict, client::ClientError> {
    let document = settings::Record::Change(change.clone());
    let mut pauses = settle::pauses();
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
        match follower.next(wait).await {
            Ok(applied) => {
                if let Some(verdict) = verdict_on(change, applied) {
                    return Ok(verdict);
                }
            }
            Err(err) => failed = failed.or(Some(err)),
        }
        let is_over = time::Instant::now() >= until;
        match failed {
            Some(err) if is_over || is_last_word(&err) => return Err(err),
            Some(_down) => rt_time::sleep(pauses.next().unwrap_or(READ_WAIT)).await,
            None if follower.is_lacking() => {
                return Err(follower.log().bad("records expired before they were read"));
            }
            None if is_over => return Err(unseen(follower, change)),
            None => {}
        }
    }
}

fn unseen(follower: &follow::Follower, change: &record::Change) -> client::ClientError {
    let why = format_smolstr!(
        "the change {} is on the log, its verdict was not seen",
        change.id
    );
    client::ClientError::Lost(follower.log().address().clone(), why)
}

const fn is_last_word(err: &client::ClientError) -> bool {
    matches!(err, client::ClientError::BadAnswer(..))
}

fn verdict_on(change: &record::Change, applied: Vec<reader::Applied>) -> Option<settings::Verdict> {
    let is_it =
        |one: &reader::Applied| follow::change_of(one).is_some_and(|found| found.id == change.id);
    applied.into_iter().find(is_it).map(|one| one.verdict)
}

fn unix_millis() -> u64 {
    let since = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
    since.map_or(0, |since| {
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    })
}
