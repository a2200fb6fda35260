//! Recent results of one runner's tasks.

use crate::health;
use crate::health::kinds;
use crate::health::slowness;

/// Excess that counts as slow, as a natural logarithm: twice the run time of the kind.
pub const SLOW_EXCESS: f64 = 0.693;

/// Maximum number of kinds remembered per runner.
const MAX_KINDS: usize = 16;

/// Maximum number of attempts in a streak; a greater `policy.eject_failures` is capped to it.
const MAX_STREAK: usize = 64;

/// Number of different kinds that a streak must contain.
const STREAK_KINDS: usize = 2;

#[derive(Clone, Copy, Debug)]
struct LastEnd {
    kind: kinds::Kind,
    at_ms: u64,
    is_success: bool,
}

/// Consecutive failures.
#[derive(Clone, Debug, Default)]
struct Streak {
    attempts: Vec<u64>,
    since_sent_ms: u64,
    kinds: Vec<kinds::Kind>,
}

impl Streak {
    /// Adds an attempt if tasks of its kind succeed on other runners.
    ///
    /// Each attempt counts once: a stuck one is observed repeatedly.
    fn add(&mut self, observation: &health::Observation, succeeds_elsewhere: bool) {
        if !succeeds_elsewhere || self.attempts.contains(&observation.attempt) {
            return;
        }
        if self.attempts.is_empty() {
            self.since_sent_ms = observation.sent_ms;
        }
        if self.attempts.len() < MAX_STREAK {
            self.attempts.push(observation.attempt);
        }
        if self.kinds.len() < STREAK_KINDS && !self.kinds.contains(&observation.kind) {
            self.kinds.push(observation.kind);
        }
    }

    /// Ends the streak on a success, unless that task was sent before the streak's first.
    ///
    /// A server that starts to fail may still complete the tasks that it had begun.
    fn reset_on_success(&mut self, sent_ms: u64) {
        if sent_ms >= self.since_sent_ms {
            *self = Self::default();
        }
    }

    fn has_reached(&self, min_attempts: u32) -> bool {
        let min_attempts = MAX_STREAK.min(min_attempts as usize);
        self.attempts.len() >= min_attempts && self.kinds.len() >= STREAK_KINDS
    }

    const fn is_suspect(&self) -> bool {
        !self.attempts.is_empty()
    }
}

/// Evidence about one runner.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    last_ends: Vec<LastEnd>,
    failures: Streak,
    stuck: Streak,
    slowness: slowness::Slowness,
}

impl Evidence {
    /// Records a successful task; `llr` is the log-likelihood ratio of its run time.
    pub fn record_success(&mut self, now_ms: u64, observation: &health::Observation, llr: f64) {
        self.record_last(now_ms, observation.kind, true);
        self.failures.reset_on_success(observation.sent_ms);
        self.stuck.reset_on_success(observation.sent_ms);
        let sample = slowness::Sample {
            sent_ms: observation.sent_ms,
            job: observation.job,
            llr,
        };
        self.slowness.record_ended(now_ms, sample);
    }

    /// Records a failed task.
    pub fn record_failure(
        &mut self,
        now_ms: u64,
        observation: &health::Observation,
        succeeds_elsewhere: bool,
    ) {
        self.record_last(now_ms, observation.kind, false);
        self.stuck.reset_on_success(observation.sent_ms);
        self.failures.add(observation, succeeds_elsewhere);
    }

    /// Records a task that does not end.
    pub fn record_stuck(&mut self, observation: &health::Observation, succeeds_elsewhere: bool) {
        self.stuck.add(observation, succeeds_elsewhere);
    }

    fn record_last(&mut self, at_ms: u64, kind: kinds::Kind, is_success: bool) {
        let end = LastEnd {
            kind,
            at_ms,
            is_success,
        };
        if let Some(known) = self.last_ends.iter_mut().find(|last| last.kind == kind) {
            *known = end;
            return;
        }
        if self.last_ends.len() >= MAX_KINDS {
            self.last_ends.remove(0);
        }
        self.last_ends.push(end);
    }

    /// Returns whether the last task of a kind succeeded here, if it ended since `since_ms`.
    pub fn last_success(&self, kind: kinds::Kind, since_ms: u64) -> Option<bool> {
        let last = self.last_ends.iter().find(|last| last.kind == kind)?;
        (last.at_ms >= since_ms).then_some(last.is_success)
    }

    /// Returns whether a streak has begun: a task failed or is stuck although tasks of its
    /// kind succeed on other runners.
    pub const fn is_suspect(&self) -> bool {
        self.failures.is_suspect() || self.stuck.is_suspect()
    }

    /// Returns whether at least `min_attempts` tasks of two teams or kinds failed in a row,
    /// or are stuck.
    pub fn is_failing(&self, min_attempts: u32) -> bool {
        self.failures.has_reached(min_attempts) || self.stuck.has_reached(min_attempts)
    }

    /// State of the slowness test.
    pub const fn slowness(&self) -> &slowness::Slowness {
        &self.slowness
    }

    /// State of the slowness test, for modification.
    pub const fn slowness_mut(&mut self) -> &mut slowness::Slowness {
        &mut self.slowness
    }

    /// Discards everything except the last result of each kind.
    pub fn clear(&mut self) {
        let last_ends = std::mem::take(&mut self.last_ends);
        *self = Self {
            last_ends,
            ..Self::default()
        };
    }
}
