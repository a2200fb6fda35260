//! What each team and kind takes, over all runners.

use std::collections;

use smol_str::SmolStr;

use crate::health;

/// A team and kind as a small number.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Kind(pub u32);

/// Most kinds told apart; those beyond share one, so that a caller who invents a
/// kind for each task costs no memory without end.
const MAX_KINDS: usize = 4_096;

/// Weight of one end in the running means.
const WEIGHT: f64 = 1.0 / 32.0;

/// Ends after which a kind tells whether a runner is slow: those that the mean covers.
const MIN_ENDS: u32 = 32;

/// Weight of one end in the part of stragglers.
const STRAGGLER_WEIGHT: f64 = 1.0 / 64.0;

/// Least spread assumed, as a natural logarithm: run times are whole milliseconds
/// and vary by a quarter even where they are declared well.
const MIN_SPREAD: f64 = 0.25;

/// Spread assumed at first: that of run times between 50 ms and a second, evenly on
/// a log scale, `ln(20) / sqrt(12)`.
const FIRST_SPREAD: f64 = 0.86;

/// A task is far over its time at so many times what its kind takes, as a natural
/// logarithm, and one spread more: four times.
const FAR_OVER: f64 = 1.386;

/// Part of a kind's tasks that is taken to run far too long by chance, at least.
const MIN_STRAGGLERS: f64 = 0.01;

/// How the run times of a kind lie around the expected ones.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    /// Mean excess, as a natural logarithm.
    mean: f64,
    variance: f64,
    /// Part of the tasks that ran over twice as long as the mean.
    stragglers: f64,
    ends: u32,
}

impl Shape {
    fn learn(&mut self, ratio: f64) -> f64 {
        let excess = ratio - self.mean;
        self.ends = self.ends.saturating_add(1);
        self.mean += excess * WEIGHT.max(1.0 / f64::from(self.ends));
        // One slow server must not widen the spread by which it is judged.
        let counted = excess.min(health::evidence::SLOW_EXCESS);
        self.variance += WEIGHT * (counted * counted - self.variance);
        let is_straggler = f64::from(u8::from(excess > health::evidence::SLOW_EXCESS));
        self.stragglers += STRAGGLER_WEIGHT * (is_straggler - self.stragglers);
        excess
    }

    /// How far single tasks lie from the mean, as a natural logarithm.
    pub fn spread(&self) -> f64 {
        self.variance.sqrt().max(MIN_SPREAD)
    }

    /// Part of the tasks that run far too long by chance.
    pub const fn stragglers(&self) -> f64 {
        self.stragglers.max(MIN_STRAGGLERS)
    }
}

/// Run times of all kinds.
#[derive(Debug)]
pub struct Kinds {
    names: collections::HashMap<(SmolStr, SmolStr), Kind>,
    shapes: Vec<Option<Shape>>,
    /// Variance over all kinds, from which a new one starts.
    variance: f64,
}

impl Default for Kinds {
    fn default() -> Self {
        Self {
            names: collections::HashMap::new(),
            shapes: vec![None],
            variance: FIRST_SPREAD * FIRST_SPREAD,
        }
    }
}

impl Kinds {
    /// The key of a team and kind.
    pub fn intern(&mut self, team: &str, kind: &str) -> Kind {
        let name = (SmolStr::new(team), SmolStr::new(kind));
        if let Some(known) = self.names.get(&name) {
            return *known;
        }
        if self.shapes.len() > MAX_KINDS {
            return Kind::default();
        }
        let key = Kind(u32::try_from(self.shapes.len()).unwrap_or(0));
        self.shapes.push(None);
        self.names.insert(name, key);
        key
    }

    /// Learns from a success; gives by how much it took longer than its kind does,
    /// as a natural logarithm.
    pub fn learn(&mut self, end: &health::Observation) -> f64 {
        let ratio = log_ratio(end);
        let variance = self.variance;
        let Some(shape) = self.shapes.get_mut(end.kind.0 as usize) else {
            return 0.0;
        };
        let shape = shape.get_or_insert(Shape {
            mean: ratio,
            variance,
            stragglers: 0.0,
            ends: 0,
        });
        let excess = shape.learn(ratio);
        self.variance += WEIGHT * (shape.variance - self.variance);
        excess
    }

    /// How far single tasks lie from their kind's mean, over all kinds.
    pub fn spread(&self) -> f64 {
        self.variance.sqrt().max(MIN_SPREAD)
    }

    /// How the run times of a kind lie; absent until enough ended.
    ///
    /// The shortest tasks of a job end first: beside these alone all others look late.
    pub fn known(&self, kind: Kind) -> Option<&Shape> {
        self.shape(kind).filter(|shape| shape.ends >= MIN_ENDS)
    }

    fn shape(&self, kind: Kind) -> Option<&Shape> {
        self.shapes.get(kind.0 as usize)?.as_ref()
    }

    /// By how much a task that still runs takes longer than its kind does already.
    pub fn excess(&self, end: &health::Observation) -> f64 {
        let mean = self.shape(end.kind).map_or(0.0, |shape| shape.mean);
        log_ratio(end) - mean
    }

    /// Whether a task has run for far longer than its kind could explain.
    pub fn is_far_over(&self, end: &health::Observation) -> bool {
        let shape = self.shape(end.kind);
        let spread = shape.map_or(FIRST_SPREAD, Shape::spread);
        self.excess(end) > FAR_OVER + spread
    }
}

fn log_ratio(end: &health::Observation) -> f64 {
    let run_ms = end.run_ms.max(1) as f64;
    let expected_ms = end.expected_ms.max(1) as f64;
    (run_ms / expected_ms).ln()
}
