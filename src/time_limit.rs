//! Time limits of calls, which allow for a suspension of this process.

use std::pin;
use std::time;

/// Lateness of a timer from which this process counts as having been suspended.
const MIN_LATENESS: time::Duration = time::Duration::from_millis(20);

/// Time to read an answer that arrived during a suspension.
const READ_TIME: time::Duration = time::Duration::from_millis(20);

/// Runs a call for at most `limit`; returns `None` if it does not complete in time.
///
/// When a suspended process resumes, its timers fire before its sockets are polled, so that every
/// call under way would end as unanswered although most answers have arrived. A call whose timer
/// fires late therefore has a little time left to read its answer.
pub async fn within<F: Future>(limit: time::Duration, call: F) -> Option<F::Output> {
    let mut call = pin::pin!(call);
    let due = time::Instant::now() + limit;
    if let Ok(output) = tokio::time::timeout(limit, call.as_mut()).await {
        return Some(output);
    }
    let late_by = due.elapsed();
    if late_by < MIN_LATENESS {
        return None;
    }
    let output = tokio::time::timeout(READ_TIME, call).await.ok();
    log::info!(event = "call.resumed", limit_ms = limit.as_millis(), late_ms = late_by.as_millis(), answered = output.is_some(); "the timer of a call fired late; read what had arrived");
    output
}
