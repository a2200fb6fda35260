//! Detects slow runners by a sequential test over the run times of their tasks.
//!
//! Each task contributes the log-likelihood ratio (LLR) of its run time: how much more
//! likely the run time is on a server four times slower than on one like the others. A task
//! that still runs counts by its run time so far, so that a slow server is found before its
//! tasks end. The ratio is large if the run times of the kind vary little, and small
//! otherwise. It is bounded by the straggler fraction of the kind. Tasks of one job are
//! alike, so only one of them counts against the runner.

use std::collections;

use crate::health::kinds;

/// Excess of the slow server that the test looks for, as a natural logarithm: four times
/// the run time. A task at half of it, twice the run time, counts neither way.
const SLOW_SERVER_EXCESS: f64 = 1.386;

/// Score from which other runners with a free slot are preferred: half of what one task can
/// contribute.
const SUSPECT_SCORE: f64 = 2.0;

/// Score that ejects: three tasks of as many jobs, each hardly possible on a server like
/// the others.
const EJECT_SCORE: f64 = 11.0;

/// Median score of the other runners from which the slowness is common to most of them.
const COMMON_SCORE: f64 = 1.5;

/// Log-likelihood ratio from which a single probe counts as failed.
const FAILED_PROBE_LLR: f64 = 2.0;

/// Time after the last update for which a score makes a runner suspect, milliseconds: a
/// runner that gets no tasks cannot improve its score.
const SUSPECT_MS: u64 = 2_000;

/// Scale of the logistic curve that is closest to the normal distribution.
const LOGISTIC_SCALE: f64 = 1.702;

/// Maximum number of ended tasks kept per runner: about three rounds of its slots.
const MAX_ENDED: usize = 24;

/// Returns the log-likelihood ratio of an ended task's excess.
pub fn llr_ended(excess: f64, distribution: &kinds::Distribution) -> f64 {
    let spread = distribution.spread();
    let llr = SLOW_SERVER_EXCESS * (excess - SLOW_SERVER_EXCESS / 2.0) / (spread * spread);
    let max_llr = -distribution.straggler_fraction().ln();
    llr.clamp(-max_llr, max_llr)
}

/// Returns the log-likelihood ratio of a running task's excess so far; never negative, and no
/// less for a task that hangs than for one that a slow server has nearly completed.
///
/// A stuck server is slower than any given factor. If the slow server were four times slower at
/// most, its tasks would look the more like stragglers the longer they hang.
pub fn llr_running(excess: f64, distribution: &kinds::Distribution) -> f64 {
    let spread = distribution.spread();
    let is_exceeded = |mean: f64| 1.0 / (1.0 + (LOGISTIC_SCALE * (excess - mean) / spread).exp());
    let by_chance = distribution.straggler_fraction();
    let slow_excess = SLOW_SERVER_EXCESS.max(excess);
    ((is_exceeded(slow_excess) + by_chance) / (is_exceeded(0.0) + by_chance)).ln()
}

/// Returns whether a probe succeeded; `None` if its run time is inconclusive.
pub fn is_probe_successful(llr: f64) -> Option<bool> {
    match llr {
        llr if llr < 0.0 => Some(true),
        llr if llr >= FAILED_PROBE_LLR => Some(false),
        _ => None,
    }
}

/// Returns whether most other runners are slow as well, by the median of their scores.
pub fn is_common(median: f64) -> bool {
    median >= COMMON_SCORE
}

/// Contribution of one task to the test.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// Send time of the task, monotonic milliseconds.
    pub sent_ms: u64,
    /// Job of the task.
    pub job: u64,
    /// Log-likelihood ratio; positive if the run time is more likely on a slow server.
    pub llr: f64,
}

/// State of the test for one runner.
///
/// The score is a cumulative sum (CUSUM): the greatest sum of log-likelihood ratios over
/// all tasks sent since any one moment. A server that turned slow is slow for every task
/// sent later, so a straggler that runs for seconds does not add to the next one if tasks
/// sent between the two ended in time.
#[derive(Clone, Debug, Default)]
pub struct Slowness {
    ended: collections::VecDeque<Sample>,
    running: Vec<Sample>,
    score: f64,
    updated_ms: u64,
}

impl Slowness {
    /// Adds an ended task.
    pub fn record_ended(&mut self, now_ms: u64, sample: Sample) {
        if self.ended.len() >= MAX_ENDED {
            self.ended.pop_front();
        }
        let at = self
            .ended
            .partition_point(|known| known.sent_ms <= sample.sent_ms);
        self.ended.insert(at, sample);
        self.updated_ms = now_ms;
        self.update_score();
    }

    /// Replaces the samples of the running tasks.
    pub fn set_running(&mut self, now_ms: u64, samples: Vec<Sample>) {
        if samples.is_empty() && self.running.is_empty() {
            return;
        }
        self.running = samples;
        self.running.sort_by_key(|sample| sample.sent_ms);
        self.updated_ms = now_ms;
        self.update_score();
    }

    fn update_score(&mut self) {
        let mut ended = self.ended.iter().rev().peekable();
        let mut running = self.running.iter().rev().peekable();
        let mut jobs = Vec::new();
        let mut sum = 0.0;
        self.score = 0.0;
        loop {
            let is_running_next = match (running.peek(), ended.peek()) {
                (Some(running), Some(ended)) => running.sent_ms >= ended.sent_ms,
                (Some(_), None) => true,
                (None, _) => false,
            };
            let next = if is_running_next {
                running.next()
            } else {
                ended.next()
            };
            let Some(sample) = next else {
                return;
            };
            if sample.llr > 0.0 && jobs.contains(&sample.job) {
                continue;
            }
            if sample.llr > 0.0 {
                jobs.push(sample.job);
            }
            sum += sample.llr;
            self.score = self.score.max(sum);
        }
    }

    /// Score of the test; greater if the runner is more likely slow.
    pub const fn score(&self) -> f64 {
        self.score
    }

    /// Returns whether other runners are to be preferred.
    pub fn is_suspect(&self, now_ms: u64) -> bool {
        self.updated_ms + SUSPECT_MS > now_ms && self.score >= SUSPECT_SCORE
    }

    /// Returns whether the runner is slow, without regard to the others.
    pub fn is_slow(&self) -> bool {
        self.score >= EJECT_SCORE
    }
}
