//! Collects the results of a load as seen by callers.

use std::collections;
use std::time;

use serde::Serialize;

use crate::codes;

/// Scale of the histogram: it stores the ratio of response time to ideal in thousandths.
const SCALE: f64 = 1000.0;

/// Significant digits of the histogram.
const DIGITS: u8 = 3;

/// Largest value of the histogram, in thousandths; larger ratios are recorded as this one.
const MAX_RATIO: u64 = 1_000_000;

/// Outcome of one job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The job got a final answer with this code.
    Answered(codes::Code),
    /// The job got no final answer in time; the code is that of the last answer or error.
    Unanswered(codes::Code),
    /// The job was not sent, since too many were open.
    NotSent,
}

/// Outcome and times of one job.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// Outcome of the job.
    pub outcome: Outcome,
    /// Time from the arrival of the job to its answer.
    pub response: time::Duration,
    /// Run time of the longest task, in milliseconds.
    pub ideal_ms: u32,
    /// Total run time of all tasks, in milliseconds.
    pub work_ms: u64,
    /// Number of repeated calls.
    pub repeats: u32,
}

/// Counts and response times of all jobs of a load.
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
    /// Adds a job.
    pub fn add(&mut self, sample: &Sample) {
        self.repeats += u64::from(sample.repeats);
        match sample.outcome {
            Outcome::NotSent => self.not_sent += 1,
            Outcome::Unanswered(code) => *self.unanswered.entry(code).or_default() += 1,
            Outcome::Answered(code) => {
                *self.by_code.entry(code).or_default() += 1;
                if code == codes::Code::Complete {
                    self.completed_ms += sample.work_ms;
                    self.ratios.saturating_record(ratio(sample));
                }
            }
        }
    }

    /// Returns the figures; `elapsed` is the time from the start of the load to the last answer.
    pub fn report(&self, elapsed: time::Duration, slots: Option<u32>) -> Report {
        let jobs: u64 = self.by_code.values().chain(self.unanswered.values()).sum();
        let seconds = elapsed.as_secs_f64().max(f64::MIN_POSITIVE);
        let work_per_s = self.completed_ms as f64 / seconds;
        Report {
            jobs: jobs + self.not_sent,
            seconds: elapsed.as_secs_f64(),
            by_code: by_number(&self.by_code),
            unanswered: by_number(&self.unanswered),
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

/// Returns the ratio of response time to ideal in thousandths; an ideal of 0 counts as 1 ms.
fn ratio(sample: &Sample) -> u64 {
    let micros = u64::try_from(sample.response.as_micros()).unwrap_or(u64::MAX);
    micros / u64::from(sample.ideal_ms.max(1))
}

fn by_number(counts: &collections::BTreeMap<codes::Code, u64>) -> collections::BTreeMap<u16, u64> {
    counts
        .iter()
        .map(|(code, count)| (code.number(), *count))
        .collect()
}

/// Quantiles of the ratio of response time to ideal, over the complete jobs.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Quantiles {
    /// Median.
    pub p50: f64,
    /// 90th percentile.
    pub p90: f64,
    /// 99th percentile.
    pub p99: f64,
    /// Maximum.
    pub max: f64,
}

/// Messages that did not lead to the start of a task, from the entries' counters.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Wasted {
    /// Number of wasted messages during the load.
    pub messages: f64,
    /// Number of tasks started during the load.
    pub tasks: f64,
    /// Wasted messages per started task; `None` if no task was started.
    pub per_task: Option<f64>,
}

/// Submissions that entries sent on to another entry, from the entries' counters.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize)]
pub struct SentOn {
    /// Number sent to the leading entry, since slots were scarce.
    pub passed_on: f64,
    /// Number sent to the entry that issued the ticket.
    pub forwarded: f64,
}

/// Figures of a load.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Report {
    /// Number of jobs that arrived.
    pub jobs: u64,
    /// Seconds from the start of the load to the last answer.
    pub seconds: f64,
    /// Number of final answers by code.
    pub by_code: collections::BTreeMap<u16, u64>,
    /// Number of jobs without a final answer, by the code of the last answer or error.
    pub unanswered: collections::BTreeMap<u16, u64>,
    /// Number of jobs that were not sent, since too many were open.
    pub not_sent: u64,
    /// Number of repeated calls.
    pub repeats: u64,
    /// Ratio of response time to ideal; `None` if no job was complete.
    pub over_ideal: Option<Quantiles>,
    /// Run time of the tasks of complete jobs, in milliseconds per second.
    pub completed_task_ms_per_s: f64,
    /// The same relative to the capacity of the slots; `None` if their number is not given.
    pub goodput: Option<f64>,
    /// Wasted messages; `None` if the counters of an entry could not be read.
    pub wasted: Option<Wasted>,
    /// Submissions sent on; `None` if the counters of an entry could not be read.
    pub sent_on: Option<SentOn>,
}
