//! What one runner's tasks came to lately.

use crate::health;
use crate::health::kinds;
use crate::health::slowness;

/// Excess that makes a runner slow, as a natural logarithm: twice the time.
pub const SLOW_EXCESS: f64 = 0.693;

/// Most kinds remembered of a runner.
const MAX_KINDS: usize = 16;

/// Most attempts of a streak; a greater `policy.eject_failures` counts as this.
const MAX_STREAK: usize = 64;

/// Most kinds of a streak that are told apart; two are asked for.
const STREAK_KINDS: usize = 2;

#[derive(Clone, Copy, Debug)]
struct Last {
    kind: kinds::Kind,
    at_ms: u64,
    was_well: bool,
}

/// Failures in a row.
#[derive(Clone, Debug, Default)]
struct Streak {
    attempts: Vec<u64>,
    since_sent_ms: u64,
    kinds: Vec<kinds::Kind>,
}

impl Streak {
    /// Counts an attempt once, where its kind does well elsewhere; one that hangs is
    /// found hanging again and again.
    fn add(&mut self, end: &health::Observation, is_well_elsewhere: bool) {
        if !is_well_elsewhere || self.attempts.contains(&end.attempt) {
            return;
        }
        if self.attempts.is_empty() {
            self.since_sent_ms = end.sent_ms;
        }
        if self.attempts.len() < MAX_STREAK {
            self.attempts.push(end.attempt);
        }
        if self.kinds.len() < STREAK_KINDS && !self.kinds.contains(&end.kind) {
            self.kinds.push(end.kind);
        }
    }

    /// A task that was sent before the first of the streak says nothing of the time
    /// since: a server that turns bad ends well what it had begun.
    fn success(&mut self, sent_ms: u64) {
        if sent_ms >= self.since_sent_ms {
            *self = Self::default();
        }
    }

    fn is_over(&self, bound: u32) -> bool {
        let bound = MAX_STREAK.min(bound as usize);
        self.attempts.len() >= bound && self.kinds.len() >= STREAK_KINDS
    }

    const fn is_suspect(&self) -> bool {
        !self.attempts.is_empty()
    }
}

/// The evidence about one runner.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    last: Vec<Last>,
    failures: Streak,
    stuck: Streak,
    slowness: slowness::Slowness,
}

impl Evidence {
    /// A task ran well; `weight` is how much its run time speaks for a slow server.
    pub fn succeeded(&mut self, now_ms: u64, end: &health::Observation, weight: f64) {
        self.note(now_ms, end.kind, true);
        self.failures.success(end.sent_ms);
        self.stuck.success(end.sent_ms);
        let sign = slowness::Sign {
            sent_ms: end.sent_ms,
            job: end.job,
            weight,
        };
        self.slowness.ended(now_ms, sign);
    }

    /// A task failed.
    pub fn failed(&mut self, now_ms: u64, end: &health::Observation, is_well_elsewhere: bool) {
        self.note(now_ms, end.kind, false);
        self.stuck.success(end.sent_ms);
        self.failures.add(end, is_well_elsewhere);
    }

    /// A task does not end.
    pub fn stuck(&mut self, end: &health::Observation, is_well_elsewhere: bool) {
        self.stuck.add(end, is_well_elsewhere);
    }

    fn note(&mut self, at_ms: u64, kind: kinds::Kind, was_well: bool) {
        let fresh = Last {
            kind,
            at_ms,
            was_well,
        };
        if let Some(known) = self.last.iter_mut().find(|last| last.kind == kind) {
            *known = fresh;
            return;
        }
        if self.last.len() >= MAX_KINDS {
            self.last.remove(0);
        }
        self.last.push(fresh);
    }

    /// How the last task of a kind fared here, if it ended since then.
    pub fn last(&self, kind: kinds::Kind, since_ms: u64) -> Option<bool> {
        let last = self.last.iter().find(|last| last.kind == kind)?;
        (last.at_ms >= since_ms).then_some(last.was_well)
    }

    /// Whether the last task failed or hangs although such tasks do well elsewhere.
    pub const fn is_suspect(&self) -> bool {
        self.failures.is_suspect() || self.stuck.is_suspect()
    }

    /// Whether so many failed in a row, or hang, of at least two teams or kinds.
    pub fn is_failing(&self, bound: u32) -> bool {
        self.failures.is_over(bound) || self.stuck.is_over(bound)
    }

    /// What speaks for a slow server.
    pub const fn slowness(&self) -> &slowness::Slowness {
        &self.slowness
    }

    /// The same, to be changed.
    pub const fn slowness_mut(&mut self) -> &mut slowness::Slowness {
        &mut self.slowness
    }

    /// Starts over, but for how each kind fared last.
    pub fn clear(&mut self) {
        let last = std::mem::take(&mut self.last);
        *self = Self {
            last,
            ..Self::default()
        };
    }
}
