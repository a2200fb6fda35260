//! Run times of each team and kind, over all runners.

use std::collections;

use smol_str::SmolStr;

use crate::health;

/// Number that stands for a team and kind.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Kind(pub u32);

/// Maximum number of kinds with a number of their own; all further ones share one number, so
/// that a caller who invents a kind for each task cannot use up the memory.
const MAX_KINDS: usize = 4_096;

/// Weight of one sample in the moving averages.
const EWMA_WEIGHT: f64 = 1.0 / 32.0;

/// Samples of a kind before its tasks count in the slowness test: as many as the moving
/// average covers.
const MIN_SAMPLES: u32 = 32;

/// Weight of one sample in the moving average of the straggler fraction.
const STRAGGLER_EWMA_WEIGHT: f64 = 1.0 / 64.0;

/// Lower bound of the spread, as a natural logarithm: run times are whole milliseconds and
/// vary by a quarter even if the expected time is accurate.
const MIN_SPREAD: f64 = 0.25;

/// Initial spread: that of run times between 50 ms and 1 s, distributed evenly on a log
/// scale, `ln(20) / sqrt(12)`.
const INITIAL_SPREAD: f64 = 0.86;

/// Excess from which a running task is far overdue, as a natural logarithm, to which one
/// spread is added: four times the run time of its kind.
const OVERDUE_EXCESS: f64 = 1.386;

/// Lower bound of the fraction of a kind's tasks that run far too long by chance.
const MIN_STRAGGLER_FRACTION: f64 = 0.01;

/// Distribution of the logarithm of run time over expected time, for one kind.
#[derive(Clone, Copy, Debug)]
pub struct Distribution {
    mean: f64,
    variance: f64,
    /// Fraction of the tasks that ran more than twice as long as the mean.
    straggler_fraction: f64,
    samples: u32,
}

impl Distribution {
    /// Adds a sample and returns its excess over the previous mean.
    fn add(&mut self, ratio: f64) -> f64 {
        let excess = ratio - self.mean;
        self.samples = self.samples.saturating_add(1);
        self.mean += excess * EWMA_WEIGHT.max(1.0 / f64::from(self.samples));
        // Capped, so that a slow server does not widen the spread by which it is judged.
        let capped = excess.min(health::evidence::SLOW_EXCESS);
        self.variance += EWMA_WEIGHT * (capped * capped - self.variance);
        let is_straggler = f64::from(u8::from(excess > health::evidence::SLOW_EXCESS));
        self.straggler_fraction += STRAGGLER_EWMA_WEIGHT * (is_straggler - self.straggler_fraction);
        excess
    }

    /// Standard deviation, as a natural logarithm.
    pub fn spread(&self) -> f64 {
        self.variance.sqrt().max(MIN_SPREAD)
    }

    /// Fraction of the tasks that run far too long by chance.
    pub const fn straggler_fraction(&self) -> f64 {
        self.straggler_fraction.max(MIN_STRAGGLER_FRACTION)
    }
}

/// Run times of all kinds.
#[derive(Debug)]
pub struct Kinds {
    names: collections::HashMap<(SmolStr, SmolStr), Kind>,
    distributions: Vec<Option<Distribution>>,
    /// Variance over all kinds, with which a new kind starts.
    variance: f64,
}

impl Default for Kinds {
    fn default() -> Self {
        Self {
            names: collections::HashMap::new(),
            distributions: vec![None],
            variance: INITIAL_SPREAD * INITIAL_SPREAD,
        }
    }
}

impl Kinds {
    /// Returns the number of a team and kind, and assigns one if there is none.
    pub fn intern(&mut self, team: &str, kind: &str) -> Kind {
        let name = (SmolStr::new(team), SmolStr::new(kind));
        if let Some(known) = self.names.get(&name) {
            return *known;
        }
        if self.distributions.len() > MAX_KINDS {
            return Kind::default();
        }
        let key = Kind(u32::try_from(self.distributions.len()).unwrap_or(0));
        self.distributions.push(None);
        self.names.insert(name, key);
        key
    }

    /// Records the run time of a successful task and returns its excess over the mean of
    /// its kind, as a natural logarithm.
    pub fn record_run_time(&mut self, observation: &health::Observation) -> f64 {
        let ratio = log_ratio(observation);
        let variance = self.variance;
        let Some(distribution) = self.distributions.get_mut(observation.kind.0 as usize) else {
            return 0.0;
        };
        let distribution = distribution.get_or_insert(Distribution {
            mean: ratio,
            variance,
            straggler_fraction: 0.0,
            samples: 0,
        });
        let excess = distribution.add(ratio);
        self.variance += EWMA_WEIGHT * (distribution.variance - self.variance);
        excess
    }

    /// Standard deviation of single tasks from the mean of their kind, over all kinds, as a
    /// natural logarithm.
    pub fn spread(&self) -> f64 {
        self.variance.sqrt().max(MIN_SPREAD)
    }

    /// Returns the distribution of a kind once it has enough samples.
    ///
    /// The shortest tasks of a job end first; compared with those alone, all others would
    /// look slow.
    pub fn known_distribution(&self, kind: Kind) -> Option<&Distribution> {
        self.distribution(kind)
            .filter(|distribution| distribution.samples >= MIN_SAMPLES)
    }

    fn distribution(&self, kind: Kind) -> Option<&Distribution> {
        self.distributions.get(kind.0 as usize)?.as_ref()
    }

    /// Returns by how much a running task already exceeds the mean of its kind, as a natural
    /// logarithm.
    pub fn excess(&self, observation: &health::Observation) -> f64 {
        let mean = self
            .distribution(observation.kind)
            .map_or(0.0, |distribution| distribution.mean);
        log_ratio(observation) - mean
    }

    /// Returns whether a task has run for far longer than the spread of its kind explains.
    pub fn is_far_overdue(&self, observation: &health::Observation) -> bool {
        let distribution = self.distribution(observation.kind);
        let spread = distribution.map_or(INITIAL_SPREAD, Distribution::spread);
        self.excess(observation) > OVERDUE_EXCESS + spread
    }
}

fn log_ratio(observation: &health::Observation) -> f64 {
    let run_ms = observation.run_ms.max(1) as f64;
    let expected_ms = observation.expected_ms.max(1) as f64;
    (run_ms / expected_ms).ln()
}
