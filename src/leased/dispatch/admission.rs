//! Decides whether a job that found no capacity will be placed in time.
//!
//! Under overload some jobs cannot be served. A job that is refused only when its time is over
//! costs its caller that time; told on arrival, the caller can come back when there is capacity.
//!
//! The decision compares the work ahead of a job in its class with the rate at which this entry
//! places waiting work of that class. Without waiting jobs, the rate depends on arrivals and says
//! nothing about capacity, so it is measured only while jobs wait. A job is refused only if it
//! doesn't fit into the headroom for the most urgent queue either.

use std::collections;

use smol_str::SmolStr;

use crate::leased::messages;

/// Time over which placements are averaged, in milliseconds.
///
/// It holds a few placements of jobs of which an entry places some in a second.
const AVERAGED_MS: f64 = 1_000.0;

/// Averaged time with waiting jobs from which the rate is known, in milliseconds.
const MIN_OBSERVED_MS: f64 = 50.0;

/// Share of its slack within which a new job has to be placed at the present rate.
///
/// A shorter line serves as many jobs as long as it isn't empty, and jobs of varying sizes are
/// placed at a varying rate: the last job of a line as long as the slack would often be late.
const NEW_JOB_SHARE: f64 = 0.5;

/// Share of its slack within which a waiting job has to be placed at the present rate.
///
/// It is greater than that of new jobs, so that a small change of the rate refuses no job that
/// has just been told to wait.
const WAITING_JOB_SHARE: f64 = 1.0;

/// Time before its latest start from which a job may use the headroom, in milliseconds.
///
/// At the very last moment, a job on a slow backend server would be late.
const LAST_CHANCE_MS: u64 = 100;

/// Longest forecast, in milliseconds; capacity that is lost comes back at any time.
const MAX_FORECAST_MS: f64 = 10_000.0;

/// Job that could not be placed, as admission sees it.
#[derive(Clone, Copy, Debug)]
pub struct WaitingJob {
    /// Urgency class of the job.
    pub class: u8,
    /// Whether the job has just arrived.
    pub is_new: bool,
    /// Time for which the job can wait, in milliseconds.
    pub slack_ms: u64,
    /// Declared work of the waiting jobs of its class that go before it, in thousandths of a core
    /// times milliseconds.
    pub ahead: u64,
    /// Its own declared work, in the same unit.
    pub work: u64,
}

impl WaitingJob {
    /// Returns whether the job may use the headroom because its time is nearly over.
    pub const fn is_last_chance(&self) -> bool {
        self.slack_ms <= LAST_CHANCE_MS
    }

    const fn share(&self) -> f64 {
        if self.is_new {
            NEW_JOB_SHARE
        } else {
            WAITING_JOB_SHARE
        }
    }
}

/// Forecast that led to the refusal of a job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Forecast {
    /// Work ahead of the job, in thousandths of a core times milliseconds.
    pub ahead: u64,
    /// Time until the job would be placed, in milliseconds.
    pub wait_ms: u64,
    /// Time for which the job can wait, in milliseconds.
    pub slack_ms: u64,
    /// Rate at which waiting work of the class is placed, in thousandths of a core.
    pub rate_milli: f64,
    /// Time since the last placement of waiting work, in milliseconds.
    pub rate_age_ms: u64,
}

/// Work placed and time waited in one class, weighted by age.
#[derive(Clone, Copy, Debug, Default)]
struct Placements {
    /// Declared work that was placed while jobs waited.
    work: f64,
    /// Time during which jobs waited, in milliseconds.
    waiting_ms: f64,
    is_waiting: bool,
    updated_ms: u64,
    placed_ms: u64,
}

impl Placements {
    fn advance(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        let decay = (-elapsed_ms / AVERAGED_MS).exp();
        let waited_ms = if self.is_waiting {
            AVERAGED_MS * (1.0 - decay)
        } else {
            0.0
        };
        self.work *= decay;
        self.waiting_ms = self.waiting_ms.mul_add(decay, waited_ms);
        self.updated_ms = now_ms;
    }

    /// Returns the placed work for each millisecond of waiting, or `None` if it is unknown.
    fn rate_milli(&self) -> Option<f64> {
        (self.waiting_ms >= MIN_OBSERVED_MS).then(|| self.work / self.waiting_ms)
    }
}

/// A value for each urgency class.
pub type Classes<T> = [T; messages::URGENCY_CLASSES];

/// Rates at which an entry places waiting work, by service and class.
#[derive(Clone, Debug, Default)]
pub struct Admission {
    is_enabled: bool,
    placements: collections::BTreeMap<SmolStr, Classes<Placements>>,
}

impl Admission {
    /// Creates an admission that knows no rates.
    pub fn new(is_enabled: bool) -> Self {
        Self {
            is_enabled,
            ..Self::default()
        }
    }

    /// Returns whether jobs are refused before they have waited as long as they can.
    pub const fn is_enabled(&self) -> bool {
        self.is_enabled
    }

    /// Records that a job was placed.
    pub fn placed(&mut self, now_ms: u64, service: &str, class: u8, work: u64) {
        let Some(placements) = self.class_mut(service, class) else {
            return;
        };
        placements.advance(now_ms);
        if placements.is_waiting {
            placements.work += work as f64;
            placements.placed_ms = now_ms;
        }
    }

    /// Records in which classes jobs wait from now on.
    pub fn update_waiting(&mut self, now_ms: u64, service: &SmolStr, is_waiting: Classes<bool>) {
        let classes = self.placements.entry(service.clone()).or_default();
        for (placements, is_waiting) in classes.iter_mut().zip(is_waiting) {
            placements.advance(now_ms);
            placements.is_waiting = is_waiting;
        }
    }

    /// Returns the forecast for a job if it will not be placed in time at the present rate.
    ///
    /// The first job of a class always waits: its placement shows that there is capacity again.
    pub fn refusal(&self, now_ms: u64, service: &str, job: &WaitingJob) -> Option<Forecast> {
        if job.ahead == 0 {
            return None;
        }
        let placements = &self.placements.get(service)?[index(job.class)];
        let rate_milli = placements.rate_milli()?;
        let work = job.ahead.saturating_add(job.work) as f64;
        let forecast_ms = (work / rate_milli).min(MAX_FORECAST_MS);
        let is_in_time = forecast_ms <= job.slack_ms as f64 * job.share();
        (!is_in_time).then(|| Forecast {
            ahead: job.ahead,
            wait_ms: whole_ms(forecast_ms),
            slack_ms: job.slack_ms,
            rate_milli,
            rate_age_ms: now_ms.saturating_sub(placements.placed_ms),
        })
    }

    /// Removes services that no queue uses any more.
    pub fn retain(&mut self, is_used: impl Fn(&str) -> bool) {
        self.placements.retain(|service, _| is_used(service));
    }

    fn class_mut(&mut self, service: &str, class: u8) -> Option<&mut Placements> {
        let classes = self.placements.get_mut(service)?;
        Some(&mut classes[index(class)])
    }
}

fn index(class: u8) -> usize {
    usize::from(class).min(messages::URGENCY_CLASSES - 1)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "at most the longest forecast, and not negative"
)]
const fn whole_ms(ms: f64) -> u64 {
    ms as u64
}
