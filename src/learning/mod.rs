//! What tasks really take, learned per team and kind.
//!
//! Load pattern answered: declared sizes and run times that are far off. Without it a
//! team that declares 10 ms for tasks of a second gets a hundred times its share, the
//! foreseen waits are wrong, and workers, which start what they are given, run out of
//! memory or stand half empty.
//!
//! Run times: two predictors run side by side, the declared time scaled by what such
//! declarations came to, and the smoothed mean. The one with the smaller smoothed
//! error is used, so a declaration that is off by a factor still tells long tasks from
//! short ones, and one that tells nothing is passed over.
//!
//! Sizes: memory follows a high expectile, since a task beyond it is killed; cpu the
//! mean, since too much of it only slows. Accelerators follow the greatest seen lately.

use std::collections;

use smol_str::SmolStr;

use crate::wire;

/// Ends of tasks after which what was learned counts: the mean of eight run times
/// spread over 50 ms to 1 s lies within about a third of the true one.
pub const MIN_SAMPLES: u32 = 8;

/// Most kinds remembered; at some 200 bytes each, 1 MB.
pub const MAX_KINDS: usize = 4_096;

/// Weight of the newest run time: smoothing over about 16 ends.
const NEWEST: f64 = 1.0 / 16.0;

/// Steps of the memory estimate, as parts of the distance: up when a task used more,
/// down when it used less. It rests where what the larger tasks use beyond it is a
/// fortieth of what the others leave of it; for sizes spread evenly between two
/// bounds that is the 86th percentile. One outlier in a hundred tasks has faded to a
/// third when the next one comes.
const MEMORY_UP: f64 = 0.4;
const MEMORY_DOWN: f64 = 0.01;

/// Number of the end of a task; the kind with the least goes when the table is full.
type Seen = u64;

/// What a task is expected to take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Estimate {
    /// Run time in milliseconds.
    pub run_ms: u64,
    /// How far single run times lie from it, mean of the distances in milliseconds; 0
    /// where nothing was learned.
    pub error_ms: u64,
    /// Whether the run time was learned, and not only declared.
    pub is_learned: bool,
}

/// What a task declared and what it took.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// Declared run time in milliseconds, 0: none.
    pub declared_ms: u64,
    /// Real run time in milliseconds.
    pub run_ms: u64,
    /// The most it used; all zero: not observed.
    pub peak: wire::Resources,
}

#[derive(Clone, Debug)]
struct Kind {
    runs: u32,
    mean_ms: f64,
    ratio: f64,
    mean_error: f64,
    scaled_error: f64,
    peaks: u32,
    cpu: f64,
    memory: f64,
    accelerators: f64,
    seen: Seen,
}

/// The kinds of tasks known to one entry.
#[derive(Debug, Default)]
pub struct Table {
    kinds: collections::HashMap<(SmolStr, SmolStr), Kind>,
    by_seen: collections::BTreeMap<Seen, (SmolStr, SmolStr)>,
    seen: Seen,
}

impl Table {
    /// How many kinds are remembered.
    pub fn len(&self) -> usize {
        self.kinds.len()
    }

    /// Whether none is remembered.
    pub fn is_empty(&self) -> bool {
        self.kinds.is_empty()
    }

    /// A task that ran to its end took so much.
    pub fn observe(&mut self, team: &SmolStr, kind: &SmolStr, sample: &Sample) {
        let name = (team.clone(), kind.clone());
        self.seen += 1;
        let seen = self.seen;
        if let Some(known) = self.kinds.get_mut(&name) {
            self.by_seen.remove(&known.seen);
            known.learn(sample);
            known.seen = seen;
        } else {
            self.make_room();
            self.kinds.insert(name.clone(), Kind::new(sample, seen));
        }
        self.by_seen.insert(seen, name);
    }

    /// The kind not seen for longest goes.
    fn make_room(&mut self) {
        if self.kinds.len() < MAX_KINDS {
            return;
        }
        if let Some((_, oldest)) = self.by_seen.pop_first() {
            self.kinds.remove(&oldest);
        }
    }

    /// The run time of a task that declares so much; `default_ms` where nothing is
    /// declared or known.
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
            run_ms: whole(run_ms).into(),
            error_ms: whole(error_ms).into(),
            is_learned: true,
        }
    }

    /// What to account for on a worker, for a task that declares so much.
    ///
    /// What was learned is bounded by the largest worker known: a few outliers must
    /// not make a kind "never fit", since then nothing of it would run and nothing
    /// better be learned.
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
            cpu_milli: whole(known.cpu).min(largest.cpu_milli),
            memory_mib: whole(known.memory).min(largest.memory_mib),
            accelerators: whole(known.accelerators).min(largest.accelerators),
        }
    }
}

impl Kind {
    fn new(sample: &Sample, seen: Seen) -> Self {
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
            seen,
        };
        kind.learn(sample);
        kind
    }

    /// The run time, and the error of such predictions.
    fn predict(&self, declared_ms: u64) -> (f64, f64) {
        if declared_ms == 0 || self.mean_error <= self.scaled_error {
            return (self.mean_ms, self.mean_error);
        }
        (declared_ms as f64 * self.ratio, self.scaled_error)
    }

    fn learn(&mut self, sample: &Sample) {
        let real = sample.run_ms as f64;
        let scaled = match sample.declared_ms {
            0 => self.mean_ms,
            declared => declared as f64 * self.ratio,
        };
        let step = NEWEST.max(1.0 / f64::from(self.runs + 1));
        self.mean_error += step * ((real - self.mean_ms).abs() - self.mean_error);
        self.scaled_error += step * ((real - scaled).abs() - self.scaled_error);
        self.mean_ms += step * (real - self.mean_ms);
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
        self.cpu += NEWEST * (cpu - self.cpu);
        let step = if memory > self.memory {
            MEMORY_UP
        } else {
            MEMORY_DOWN
        };
        self.memory += step * (memory - self.memory);
        let faded = self.accelerators - NEWEST * self.accelerators.min(1.0);
        self.accelerators = accelerators.max(faded);
        self.peaks = self.peaks.saturating_add(1);
    }
}

fn ratio(sample: &Sample) -> Option<f64> {
    let declared = (sample.declared_ms > 0).then_some(sample.declared_ms as f64)?;
    Some(sample.run_ms as f64 / declared)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a float that is too large or negative is brought to the nearest whole number"
)]
fn whole(value: f64) -> u32 {
    value.ceil().max(0.0) as u32
}
