//! Run times and resource needs of tasks, learned per team and kind.
//!
//! Declared run times and sizes can be far off. If they were trusted, a team that declares
//! 10 ms for tasks of a second would get a hundred times its share, the predicted waits would
//! be wrong, and workers, which start whatever they are sent, would run out of memory or stay
//! half empty.
//!
//! Run times: there are two predictors, the declared time scaled by the mean ratio of real to
//! declared times, and the smoothed mean. The one with the smaller smoothed error is used. So
//! a declaration that is off by a factor still tells long tasks from short ones, and a
//! declaration without information is ignored.
//!
//! Sizes: memory follows a high expectile, since a task that exceeds its memory is killed. CPU
//! follows the mean, since exceeding it only slows the task. Accelerators follow the recent
//! maximum.

use std::collections;

use smol_str::SmolStr;

use crate::wire;

/// Number of ended tasks after which the learned values of a kind are used.
///
/// The mean of eight run times between 50 ms and 1 s lies within about a third of the true
/// mean.
pub const MIN_SAMPLES: u32 = 8;

/// Maximum number of remembered kinds; at about 200 bytes each they take 1 MB.
pub const MAX_KINDS: usize = 4_096;

/// Weight of the newest run time, which smooths over about 16 tasks.
const NEWEST_WEIGHT: f64 = 1.0 / 16.0;

/// Step of the memory estimate towards a task that used more, as a fraction of the distance.
///
/// With [`MEMORY_STEP_DOWN`] the estimate settles where the total excess of the larger tasks is
/// a fortieth of the total unused memory of the others, which is the 86th percentile for
/// uniformly distributed sizes. With one outlier in a hundred tasks, its effect has decayed to a
/// third when the next one comes.
const MEMORY_STEP_UP: f64 = 0.4;

/// Step of the memory estimate towards a task that used less, as a fraction of the distance.
const MEMORY_STEP_DOWN: f64 = 0.01;

/// Sequence number of an ended task; the kind with the least one is evicted from a full table.
type Sequence = u64;

/// Estimated run time of a task.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Estimate {
    /// Run time in milliseconds.
    pub run_ms: u64,
    /// Mean absolute error of the run time in milliseconds; 0 if nothing was learned.
    pub error_ms: u64,
    /// Whether the run time was learned, as opposed to declared or the default.
    pub is_learned: bool,
}

/// Declared and real run time and resource use of an ended task.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// Declared run time in milliseconds, 0 if none was declared.
    pub declared_ms: u64,
    /// Real run time in milliseconds.
    pub run_ms: u64,
    /// Peak resource use; all zero if it was not observed.
    pub peak: wire::Resources,
}

#[derive(Clone, Debug)]
struct Kind {
    /// Number of observed run times.
    runs: u32,
    mean_ms: f64,
    /// Mean ratio of real to declared run time.
    ratio: f64,
    /// Mean absolute error of `mean_ms` as a prediction.
    mean_error: f64,
    /// Mean absolute error of the declared run time times `ratio`.
    scaled_error: f64,
    /// Number of observed peaks.
    peaks: u32,
    cpu: f64,
    memory: f64,
    accelerators: f64,
    /// Last task of the kind.
    last: Sequence,
}

/// Kinds of tasks known to one entry.
#[derive(Debug, Default)]
pub struct Table {
    kinds: collections::HashMap<(SmolStr, SmolStr), Kind>,
    /// Kinds by their last task.
    by_sequence: collections::BTreeMap<Sequence, (SmolStr, SmolStr)>,
    sequence: Sequence,
}

impl Table {
    /// Number of remembered kinds.
    pub fn len(&self) -> usize {
        self.kinds.len()
    }

    /// Whether no kind is remembered.
    pub fn is_empty(&self) -> bool {
        self.kinds.is_empty()
    }

    /// Records a task that completed.
    pub fn observe(&mut self, team: &SmolStr, kind: &SmolStr, sample: &Sample) {
        let name = (team.clone(), kind.clone());
        self.sequence += 1;
        let sequence = self.sequence;
        if let Some(known) = self.kinds.get_mut(&name) {
            self.by_sequence.remove(&known.last);
            known.learn(sample);
            known.last = sequence;
        } else {
            self.evict_if_full();
            self.kinds.insert(name.clone(), Kind::new(sample, sequence));
        }
        self.by_sequence.insert(sequence, name);
    }

    /// Evicts the least recently observed kind if the table is full.
    fn evict_if_full(&mut self) {
        if self.kinds.len() < MAX_KINDS {
            return;
        }
        if let Some((_, oldest)) = self.by_sequence.pop_first() {
            self.kinds.remove(&oldest);
        }
    }

    /// Estimates the run time of a task from its declared one, 0 if none was declared.
    ///
    /// Uses `default_ms` if the run time is neither learned nor declared.
    pub fn run_time(
        &self,
        team: &SmolStr,
        kind: &SmolStr,
        declared_ms: u64,
        default_ms: u64,
    ) -> Estimate {
        let known = self.kinds.get(&(team.clone(), kind.clone()));
        let Some(known) = known.filter(|known| known.runs >= MIN_SAMPLES) else {
            let run_ms = if declared_ms == 0 {
                default_ms
            } else {
                declared_ms
            };
            return Estimate {
                run_ms,
                error_ms: 0,
                is_learned: false,
            };
        };
        let (run_ms, error_ms) = known.predict(declared_ms);
        Estimate {
            run_ms: round_up(run_ms).into(),
            error_ms: round_up(error_ms).into(),
            is_learned: true,
        }
    }

    /// Returns the resources to reserve on a worker for a task with this declaration.
    ///
    /// Learned resources are limited to the largest known worker. Otherwise a few outliers
    /// could make a kind fit no worker, and as none of its tasks would run, the estimate could
    /// never be corrected.
    pub fn need(
        &self,
        team: &SmolStr,
        kind: &SmolStr,
        declared: wire::Resources,
        largest: impl Fn() -> wire::Resources,
    ) -> wire::Resources {
        let known = self.kinds.get(&(team.clone(), kind.clone()));
        let Some(known) = known.filter(|known| known.peaks >= MIN_SAMPLES) else {
            return declared;
        };
        let largest = largest();
        wire::Resources {
            cpu_milli: round_up(known.cpu).min(largest.cpu_milli),
            memory_mib: round_up(known.memory).min(largest.memory_mib),
            accelerators: round_up(known.accelerators).min(largest.accelerators),
        }
    }
}

impl Kind {
    fn new(sample: &Sample, last: Sequence) -> Self {
        let mut kind = Self {
            runs: 0,
            mean_ms: sample.run_ms as f64,
            ratio: ratio(sample).unwrap_or(1.0),
            mean_error: 0.0,
            scaled_error: 0.0,
            peaks: 0,
            cpu: 0.0,
            memory: 0.0,
            accelerators: 0.0,
            last,
        };
        kind.learn(sample);
        kind
    }

    /// Returns the predicted run time and its mean absolute error, in milliseconds.
    fn predict(&self, declared_ms: u64) -> (f64, f64) {
        if declared_ms == 0 || self.mean_error <= self.scaled_error {
            return (self.mean_ms, self.mean_error);
        }
        (declared_ms as f64 * self.ratio, self.scaled_error)
    }

    fn learn(&mut self, sample: &Sample) {
        let real_ms = sample.run_ms as f64;
        let scaled_ms = match sample.declared_ms {
            0 => self.mean_ms,
            declared => declared as f64 * self.ratio,
        };
        let step = NEWEST_WEIGHT.max(1.0 / f64::from(self.runs + 1));
        self.mean_error += step * ((real_ms - self.mean_ms).abs() - self.mean_error);
        self.scaled_error += step * ((real_ms - scaled_ms).abs() - self.scaled_error);
        self.mean_ms += step * (real_ms - self.mean_ms);
        if let Some(ratio) = ratio(sample) {
            self.ratio += step * (ratio - self.ratio);
        }
        self.runs = self.runs.saturating_add(1);
        if sample.peak != wire::Resources::default() {
            self.learn_peak(&sample.peak);
        }
    }

    fn learn_peak(&mut self, peak: &wire::Resources) {
        let cpu = f64::from(peak.cpu_milli);
        let memory = f64::from(peak.memory_mib);
        let accelerators = f64::from(peak.accelerators);
        if self.peaks == 0 {
            (self.cpu, self.memory, self.accelerators) = (cpu, memory, accelerators);
        }
        self.cpu += NEWEST_WEIGHT * (cpu - self.cpu);
        let step = if memory > self.memory {
            MEMORY_STEP_UP
        } else {
            MEMORY_STEP_DOWN
        };
        self.memory += step * (memory - self.memory);
        let decayed = self.accelerators - NEWEST_WEIGHT * self.accelerators.min(1.0);
        self.accelerators = accelerators.max(decayed);
        self.peaks = self.peaks.saturating_add(1);
    }
}

/// Returns the ratio of real to declared run time, if one was declared.
fn ratio(sample: &Sample) -> Option<f64> {
    let declared = (sample.declared_ms > 0).then_some(sample.declared_ms as f64)?;
    Some(sample.run_ms as f64 / declared)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the cast saturates at the bounds of the type"
)]
fn round_up(value: f64) -> u32 {
    value.ceil().max(0.0) as u32
}
