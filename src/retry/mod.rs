//! Retries of idempotent tasks within a budget.
//!
//! When a backend server dies under load, all its tasks need a retry at once, and unlimited
//! retries would be a further burst on the remaining servers. The budget allows
//! `retry_burst` retries at once and `retry_ratio` retries per first attempt over time. A
//! task beyond the budget fails as lost.

use std::collections;
use std::time;

use backon::BackoffBuilder as _;

use crate::jobs;
use crate::queue;
use crate::settings;

/// Shortest delay before the first retry, in milliseconds; the jitter adds up to as much again.
const MIN_DELAY_MS: u64 = 20;

/// Upper bound of the doubling delays, in milliseconds; the jitter adds up to as much again.
const MAX_DELAY_MS: u64 = 1_000;

/// Maximum number of retries of one task.
pub const MAX_RETRIES: usize = 8;

/// Token bucket of retries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    tokens: f64,
}

impl Budget {
    /// Creates a full budget.
    pub fn new(policy: &settings::Policy) -> Self {
        Self {
            tokens: f64::from(policy.retry_burst),
        }
    }

    /// Adds the retries earned by `tasks` accepted tasks, up to `retry_burst`.
    pub fn earn(&mut self, tasks: usize, policy: &settings::Policy) {
        let earned = tasks as f64 * policy.retry_ratio;
        self.tokens = (self.tokens + earned).min(policy.retry_burst.into());
    }

    /// Takes one retry from the budget; returns `false` if there is none.
    pub fn take(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// Returns the delay before a retry in milliseconds, or `None` after the last retry.
///
/// `retry` counts from 0.
pub fn delay_ms(retry: usize, seed: u64) -> Option<u64> {
    let mut delays = backon::ExponentialBuilder::new()
        .with_min_delay(time::Duration::from_millis(MIN_DELAY_MS))
        .with_max_delay(time::Duration::from_millis(MAX_DELAY_MS))
        .with_max_times(MAX_RETRIES)
        .with_jitter()
        .with_jitter_seed(seed)
        .build();
    let delay = delays.nth(retry)?;
    u64::try_from(delay.as_millis()).ok()
}

/// Tasks that wait for their retry.
#[derive(Debug)]
pub struct Retries {
    budget: Budget,
    /// Tasks by due time and sequence number.
    waiting: collections::BTreeMap<(u64, u64), queue::Item>,
    /// Number of retries made per task.
    made: collections::HashMap<jobs::TaskKey, usize>,
    next_sequence: u64,
}

impl Retries {
    /// Creates an empty set with a full budget.
    pub fn new(policy: &settings::Policy) -> Self {
        Self {
            budget: Budget::new(policy),
            waiting: collections::BTreeMap::new(),
            made: collections::HashMap::new(),
            next_sequence: 0,
        }
    }

    /// Adds to the budget, see [`Budget::earn`].
    pub fn earn(&mut self, tasks: usize, policy: &settings::Policy) {
        self.budget.earn(tasks, policy);
    }

    /// Schedules the retry of a task that may have run; returns whether it will be retried.
    ///
    /// There is no retry beyond the budget or [`MAX_RETRIES`], nor one that would start at or
    /// after `deadline_ms`.
    pub fn schedule(
        &mut self,
        now_ms: u64,
        deadline_ms: u64,
        item: queue::Item,
        seed: u64,
    ) -> bool {
        let made = self.made.get(&item.task).copied().unwrap_or(0);
        let Some(delay_ms) = delay_ms(made, seed) else {
            return false;
        };
        let due_ms = now_ms.saturating_add(delay_ms);
        if due_ms >= deadline_ms || !self.budget.take() {
            return false;
        }
        self.made.insert(item.task, made + 1);
        self.waiting.insert((due_ms, self.next_sequence), item);
        self.next_sequence += 1;
        true
    }

    /// Removes and returns the tasks whose delay has passed.
    pub fn due(&mut self, now_ms: u64) -> Vec<queue::Item> {
        let later = self.waiting.split_off(&(now_ms.saturating_add(1), 0));
        let due = std::mem::replace(&mut self.waiting, later);
        due.into_values().collect()
    }

    /// Drops the tasks of a submission that has ended.
    pub fn forget(&mut self, submission: jobs::Key) {
        self.made.retain(|task, _| task.submission != submission);
        self.waiting
            .retain(|_, item| item.task.submission != submission);
    }
}
