//! What came of a load, as callers saw it.

use std::collections;
use std::time;

use serde::Serialize;

use crate::codes;

/// The histogram keeps response time over ideal in thousandths.
const SCALE: f64 = 1000.0;

/// Digits that the histogram keeps.
const DIGITS: u8 = 3;

/// Greatest ratio that is told apart from greater ones.
const MAX_RATIO: u64 = 1_000_000;

/// What became of one job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// A final answer.
    Answered(codes::Code),
    /// No final answer in time, or none at all.
    Unanswered(codes::Code),
    /// Too many jobs were open already; it was never sent.
    NotSent,
}

/// One job with its times.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// What became of it.
    pub end: End,
    /// From its arrival to its answer.
    pub response: time::Duration,
    /// Run time of its longest task.
    pub ideal_ms: u32,
    /// Run time of all its tasks together.
    pub work_ms: u64,
    /// Calls that were repeated.
    pub repeats: u32,
}

/// Counts that grow with each job.
#[derive(Debug)]
pub struct Tally {
    by_code: collections::BTreeMap<codes::Code, u64>,
    unanswered: collections::BTreeMap<codes::Code, u64>,
    not_sent: u64,
    repeats: u64,
    completed_ms: u64,
    ratios: hdrhistogram::Histogram<u64>,
}

impl Default for Tally {
    fn default() -> Self {
        let bounds = hdrhistogram::Histogram::new_with_bounds(1, MAX_RATIO, DIGITS);
        Self {
            by_code: collections::BTreeMap::new(),
            unanswered: collections::BTreeMap::new(),
            not_sent: 0,
            repeats: 0,
            completed_ms: 0,
            ratios: bounds.expect("the bounds are constants that the histogram accepts"),
        }
    }
}

impl Tally {
    /// Counts a job.
    pub fn add(&mut self, sample: &Sample) {
        self.repeats += u64::from(sample.repeats);
        match sample.end {
            End::NotSent => self.not_sent += 1,
            End::Unanswered(code) => *self.unanswered.entry(code).or_default() += 1,
            End::Answered(code) => {
                *self.by_code.entry(code).or_default() += 1;
                if code == codes::Code::Complete {
                    self.completed_ms += sample.work_ms;
                    self.ratios.saturating_record(ratio(sample));
                }
            }
        }
    }

    /// The figures; `elapsed` is from the first arrival to the last answer.
    pub fn report(&self, elapsed: time::Duration, slots: Option<u32>) -> Report {
        let jobs: u64 = self.by_code.values().chain(self.unanswered.values()).sum();
        let seconds = elapsed.as_secs_f64().max(f64::MIN_POSITIVE);
        let work_per_s = self.completed_ms as f64 / seconds;
        Report {
            jobs: jobs + self.not_sent,
            seconds: elapsed.as_secs_f64(),
            by_code: numbered(&self.by_code),
            unanswered: numbered(&self.unanswered),
            not_sent: self.not_sent,
            repeats: self.repeats,
            over_ideal: self.quantiles(),
            completed_task_ms_per_s: work_per_s,
            goodput: slots.map(|slots| work_per_s / (f64::from(slots) * SCALE)),
            wasted: None,
            sent_on: None,
        }
    }

    fn quantiles(&self) -> Option<Quantiles> {
        let at = |quantile| self.ratios.value_at_quantile(quantile) as f64 / SCALE;
        (!self.ratios.is_empty()).then(|| Quantiles {
            p50: at(0.5),
            p90: at(0.9),
            p99: at(0.99),
            max: self.ratios.max() as f64 / SCALE,
        })
    }
}

/// Response time over ideal in thousandths; a task of no length counts as one millisecond.
fn ratio(sample: &Sample) -> u64 {
    let micros = u64::try_from(sample.response.as_micros()).unwrap_or(u64::MAX);
    micros / u64::from(sample.ideal_ms.max(1))
}

fn numbered(counts: &collections::BTreeMap<codes::Code, u64>) -> collections::BTreeMap<u16, u64> {
    counts
        .iter()
        .map(|(code, count)| (code.number(), *count))
        .collect()
}

/// Quantiles of response time over ideal, of the complete jobs.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Quantiles {
    /// Half are at most this.
    pub p50: f64,
    /// Nine in ten are.
    pub p90: f64,
    /// Ninety-nine in a hundred are.
    pub p99: f64,
    /// All are.
    pub max: f64,
}

/// Messages that did not lead to a start, from the entries' counters.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Wasted {
    /// Messages wasted during the load.
    pub messages: f64,
    /// Tasks started during the load.
    pub tasks: f64,
    /// The one over the other; absent when nothing was started.
    pub per_task: Option<f64>,
}

/// Submissions that an entry sent on to another, from the entries' counters.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize)]
pub struct SentOn {
    /// To the leading entry, since slots were scarce.
    pub passed_on: f64,
    /// To the entry that minted their ticket.
    pub forwarded: f64,
}

/// All figures.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Report {
    /// Jobs that arrived.
    pub jobs: u64,
    /// From the first arrival to the last answer.
    pub seconds: f64,
    /// Final answers by their code's number.
    pub by_code: collections::BTreeMap<u16, u64>,
    /// Jobs without a final answer, by the code of what happened instead.
    pub unanswered: collections::BTreeMap<u16, u64>,
    /// Jobs that were not sent, since too many were open.
    pub not_sent: u64,
    /// Calls that were repeated.
    pub repeats: u64,
    /// Response time over ideal; absent when nothing was complete.
    pub over_ideal: Option<Quantiles>,
    /// Task milliseconds of complete jobs a second.
    pub completed_task_ms_per_s: f64,
    /// That over what the slots could do; absent when their number is not given.
    pub goodput: Option<f64>,
    /// Absent when an entry's counters could not be read.
    pub wasted: Option<Wasted>,
    /// Absent likewise.
    pub sent_on: Option<SentOn>,
}
