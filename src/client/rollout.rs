//! Waiting until a revision is in force at every process.

use std::time;

use actix_rt::time as rt_time;
use smol_str::SmolStr;

use crate::client::http;
use crate::client::survey;

/// Pause between two rounds of questions.
const PAUSE: time::Duration = time::Duration::from_millis(200);

/// Asks until every process that can be found has `revision` or a later one.
///
/// Gives those that still have not when the time is over. Nobody at all counts as
/// the given entries not having it.
pub async fn missing(
    http: &http::Http,
    entries: &[SmolStr],
    revision: u64,
    until: time::Instant,
) -> Vec<survey::Process> {
    loop {
        let mut processes = survey::survey(http, entries).await;
        processes.retain(|process| process.revision.is_none_or(|has| has < revision));
        if processes.is_empty() || time::Instant::now() >= until {
            return processes;
        }
        rt_time::sleep(PAUSE).await;
    }
}
