//! Waits until a revision of the settings is in force at every process.

use std::time;

use actix_rt::time as rt_time;
use smol_str::SmolStr;

use crate::client::http;
use crate::client::survey;

/// Pause between two surveys of the processes.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// Polls until every process that can be found has `revision` or a later one in force.
///
/// Returns the processes that do not have it at `until`. A given entry that does not
/// answer counts as one of them.
pub async fn wait_for_revision(
    http: &http::Http,
    entries: &[SmolStr],
    revision: u64,
    until: time::Instant,
) -> Vec<survey::Process> {
    loop {
        let mut processes = survey::survey(http, entries).await;
        processes.retain(|process| process.revision.is_none_or(|current| current < revision));
        if processes.is_empty() || time::Instant::now() >= until {
            return processes;
        }
        rt_time::sleep(POLL_INTERVAL).await;
    }
}
