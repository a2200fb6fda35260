//! Estimates from its timeout how long a caller has already waited.
//!
//! When entries come back after a power loss, all callers whose connections broke retry within
//! a second, beside the callers that come for the first time. The retried jobs are late already.
//! If they counted as new, they would take capacity from jobs that can still meet their
//! deadline, and most of both would be late.

use std::collections;

use smol_str::SmolStr;

use crate::leased::queues;

/// Share of a queue's callers with a timeout below the queue's limit above which a short timeout
/// says nothing about a single caller.
///
/// These callers either always use short timeouts, or the limit doesn't match them.
const HABITUAL_SHARE: f64 = 0.5;

/// Number of callers over which the share is averaged.
const AVERAGED_CALLERS: f64 = 64.0;

/// Estimates prior waits from the timeouts that each queue's callers use.
#[derive(Debug, Default)]
pub struct PriorWait {
    /// Share of callers with a timeout below the queue's limit, by queue name.
    short_share: collections::HashMap<SmolStr, f64>,
}

impl PriorWait {
    /// Returns the time that a caller has certainly waited before, in milliseconds.
    ///
    /// A caller that comes for the first time has a timeout of at least the queue's limit. A
    /// shorter one is the rest of that limit, unless most of the queue's callers use short ones.
    pub fn waited_ms(&mut self, queue: &queues::Queue, timeout_ms: Option<u64>) -> u64 {
        let Some(timeout_ms) = timeout_ms else {
            return 0;
        };
        let waited_ms = queue.timeout_ms.saturating_sub(timeout_ms);
        let share = self.short_share.entry(queue.name.clone()).or_default();
        let is_habitual = *share > HABITUAL_SHARE;
        let is_short = f64::from(u8::from(waited_ms > 0));
        *share += (is_short - *share) / AVERAGED_CALLERS;
        if is_habitual { 0 } else { waited_ms }
    }

    /// Removes queues that are no longer configured.
    pub fn retain(&mut self, queues: &[queues::Queue]) {
        self.short_share
            .retain(|name, _| queues.iter().any(|queue| queue.name == *name));
    }
}
