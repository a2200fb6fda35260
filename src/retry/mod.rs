//! Starting idempotent tasks again, within a budget.
//!
//! When a backend server dies under load, everything on it is to be started again
//! at once, and retries without a bound would be one more burst on what is left.
//! The budget lets `retry_burst` retries through at once and `retry_ratio` retries
//! per first attempt over time; what it does not let through fails as lost.

use std::collections;
use std::time;

use backon::BackoffBuilder as _;

use crate::jobs;
use crate::queue;
use crate::settings;

/// Longest pause before the first retry, in milliseconds; half of it is certain.
const MIN_DELAY_MS: u64 = 20;

/// The pauses double up to this one, in milliseconds.
const MAX_DELAY_MS: u64 = 1_000;

/// Most retries of one task.
pub const MAX_RETRIES: usize = 8;

/// Retries that may still be made.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    tokens: f64,
}

impl Budget {
    /// A budget that is full.
    pub fn new(policy: &settings::Policy) -> Self {
        Self {
            tokens: f64::from(policy.retry_burst),
        }
    }

    /// So many tasks were taken in for their first attempt.
    pub fn earn(&mut self, tasks: usize, policy: &settings::Policy) {
        let earned = tasks as f64 * policy.retry_ratio;
        self.tokens = (self.tokens + earned).min(policy.retry_burst.into());
    }

    /// Takes one retry out, if there is one.
    pub fn take(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// Pause before the retry of this number, counted from 0; none: no more retries.
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

/// Tasks on their way to another attempt.
#[derive(Debug)]
pub struct Retries {
    budget: Budget,
    waiting: collections::BTreeMap<(u64, u64), queue::Item>,
    made: collections::HashMap<jobs::TaskKey, usize>,
    next: u64,
}

impl Retries {
    /// Nothing is waiting and the budget is full.
    pub fn new(policy: &settings::Policy) -> Self {
        Self {
            budget: Budget::new(policy),
            waiting: collections::BTreeMap::new(),
            made: collections::HashMap::new(),
            next: 0,
        }
    }

    /// See [`Budget::earn`].
    pub fn earn(&mut self, tasks: usize, policy: &settings::Policy) {
        self.budget.earn(tasks, policy);
    }

    /// Takes in a task that may have run; says whether it will be started again.
    ///
    /// A retry that would begin at or after `deadline_ms` is not made.
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
        self.waiting.insert((due_ms, self.next), item);
        self.next += 1;
        true
    }

    /// Tasks whose pause is over.
    pub fn due(&mut self, now_ms: u64) -> Vec<queue::Item> {
        let later = self.waiting.split_off(&(now_ms.saturating_add(1), 0));
        let due = std::mem::replace(&mut self.waiting, later);
        due.into_values().collect()
    }

    /// Forgets the tasks of a submission that is over.
    pub fn forget(&mut self, submission: jobs::Key) {
        self.made.retain(|task, _| task.submission != submission);
        self.waiting
            .retain(|_, item| item.task.submission != submission);
    }
}
