//! How long a caller has waited already, as far as its remaining patience tells.
//!
//! Load that this answers: entries lose power, and as they are back all callers whose
//! connections broke come again within a second, beside those that come for the first time.
//! Their jobs are late by now. Counted as new, they take room from jobs that can still be in
//! time, and most of both are late.

use std::collections;

use smol_str::SmolStr;

use crate::leased::queues;

/// Share of a queue's callers with less time than the queue's limit above which that says
/// nothing of any one of them: they are in a hurry by habit, or the limit is not theirs.
const HABIT: f64 = 0.5;

/// Callers over which the share is averaged.
const MEMORY: f64 = 64.0;

/// What an entry has seen of its callers' patience.
#[derive(Debug, Default)]
pub struct PriorWait {
    /// By queue, the share of callers with less time than the queue's limit.
    short: collections::HashMap<SmolStr, f64>,
}

impl PriorWait {
    /// A caller says how long it waits at most; how long it has surely waited before, in
    /// milliseconds.
    ///
    /// One that comes for the first time grants the queue's limit, or more.
    pub fn waited_ms(&mut self, queue: &queues::Queue, timeout_ms: Option<u64>) -> u64 {
        let Some(timeout_ms) = timeout_ms else {
            return 0;
        };
        let waited_ms = queue.timeout_ms.saturating_sub(timeout_ms);
        let share = self.short.entry(queue.name.clone()).or_default();
        let is_habit = *share > HABIT;
        let is_short = f64::from(u8::from(waited_ms > 0));
        *share += (is_short - *share) / MEMORY;
        if is_habit { 0 } else { waited_ms }
    }

    /// Forgets queues that are no longer configured.
    pub fn retain(&mut self, queues: &[queues::Queue]) {
        self.short
            .retain(|name, _| queues.iter().any(|queue| queue.name == *name));
    }
}
