//! Counts the results of the runs of all entries, by which an entry learns that a backend server has
//! recovered, or still is bad, without sending it a task of its own.

use crate::leased::messages;
use crate::wire;

/// Multiple of its declared run time from which a run counts as slow. Declared times are off by up
/// to a half, and backend servers differ in speed.
const SLOW_FACTOR: u64 = 3;

/// Latency of the start and of the listing of the end, in milliseconds; it is not run time.
const LATENCY_MS: u64 = 20;

/// Adds the end of a run to the counts.
///
/// A run that was stopped early says nothing about the backend server.
pub const fn record(
    counts: &mut wire::ResultCounts,
    how: messages::RunOutcome,
    ran_ms: u64,
    expected_ms: u64,
) {
    let is_slow = expected_ms > 0 && ran_ms > SLOW_FACTOR * expected_ms + LATENCY_MS;
    match how {
        messages::RunOutcome::Done if !is_slow => counts.sound += 1,
        messages::RunOutcome::Done | messages::RunOutcome::Failed => counts.unsound += 1,
        messages::RunOutcome::Stopped if is_slow => counts.unsound += 1,
        messages::RunOutcome::Stopped | messages::RunOutcome::NotStarted => {}
    }
}
