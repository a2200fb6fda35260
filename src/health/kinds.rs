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

/// Least spread assumed, as a natural logarithm: run times are whole milliseconds
/// and vary by a quarter even where they are declared well.
const MIN_SPREAD: f64 = 0.25;

/// Spread assumed at first: that of run times between 50 ms and a second, evenly on
/// a log scale, `ln(20) / sqrt(12)`.
const FIRST_SPREAD: f64 = 0.86;

/// A task is far over its time at so many times what its kind takes, as a natural
/// logarithm, and one spread more: four times.
const FAR_OVER: f64 = 1.386;

/// Run times of all kinds.
#[derive(Debug)]
pub struct Kinds {
    names: collections::HashMap<(SmolStr, SmolStr), Kind>,
    means: Vec<Option<f64>>,
    variance: f64,
}

impl Default for Kinds {
    fn default() -> Self {
        Self {
            names: collections::HashMap::new(),
            means: vec![None],
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
        if self.means.len() > MAX_KINDS {
            return Kind::default();
        }
        let key = Kind(u32::try_from(self.means.len()).unwrap_or(0));
        self.means.push(None);
        self.names.insert(name, key);
        key
    }

    /// Learns from a success; gives by how much it took longer than its kind does,
    /// as a natural logarithm.
    pub fn learn(&mut self, end: &health::End) -> f64 {
        let ratio = log_ratio(end);
        let Some(mean) = self.means.get_mut(end.kind.0 as usize) else {
            return 0.0;
        };
        let known = *mean.get_or_insert(ratio);
        let excess = ratio - known;
        *mean = Some(known + WEIGHT * excess);
        // One slow server must not widen the spread by which it is judged.
        let counted = excess.min(health::evidence::SLOW_EXCESS);
        self.variance += WEIGHT * (counted * counted - self.variance);
        excess
    }

    /// How far single tasks lie from their kind's mean, as a natural logarithm.
    pub fn spread(&self) -> f64 {
        self.variance.sqrt().max(MIN_SPREAD)
    }

    /// Whether a task has run for far longer than its kind could explain.
    pub fn is_far_over(&self, end: &health::End) -> bool {
        let mean = self.means.get(end.kind.0 as usize).copied().flatten();
        let excess = log_ratio(end) - mean.unwrap_or(0.0);
        excess > FAR_OVER + self.spread()
    }
}

fn log_ratio(end: &health::End) -> f64 {
    let run_ms = end.run_ms.max(1) as f64;
    let expected_ms = end.expected_ms.max(1) as f64;
    (run_ms / expected_ms).ln()
}
