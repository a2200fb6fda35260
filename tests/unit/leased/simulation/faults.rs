//! Faults of a play, drawn from a seed.

use rand::Rng as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

use super::site;

/// How many ways are cut, and how many entries are lost.
const CUTS: usize = 12;
const LOSSES: usize = 4;

/// When troubles begin, from the start of a play, in milliseconds.
const BEGINS: std::ops::Range<u64> = 500..8_000;

/// How long a way is cut, in milliseconds.
const LASTS: std::ops::Range<u64> = 20..1_500;

/// A way between an entry and a runner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Way {
    /// Orders and watches.
    ToRunner,
    /// Answers and reports.
    ToEntry,
}

/// One fault; times are milliseconds from the start of the play.
#[derive(Clone, Copy, Debug)]
pub enum Trouble {
    /// Messages are lost.
    Cut {
        /// At this entry.
        entry: usize,
        /// At this runner.
        runner: usize,
        /// On this way; absent: on both.
        way: Option<Way>,
        /// From then on.
        at_ms: u64,
        /// Until then.
        until_ms: u64,
    },
    /// An entry dies.
    Loss {
        /// When.
        at_ms: u64,
        /// Which.
        entry: usize,
    },
}

impl Trouble {
    /// Whether it cuts that way while it is on.
    pub fn cuts(&self, at_entry: usize, at_runner: usize, on: Way) -> bool {
        let Self::Cut {
            entry, runner, way, ..
        } = *self
        else {
            return false;
        };
        entry == at_entry && runner == at_runner && way.is_none_or(|way| way == on)
    }

    /// Whether it is on.
    pub const fn is_on(&self, now_ms: u64) -> bool {
        match *self {
            Self::Cut {
                at_ms, until_ms, ..
            } => at_ms <= now_ms && now_ms < until_ms,
            Self::Loss { .. } => false,
        }
    }
}

/// Draws the troubles of a seed.
pub fn drawn(seed: u64, site: &site::Site) -> Vec<Trouble> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut troubles = Vec::new();
    for _ in 0..CUTS {
        let at_ms = rng.random_range(BEGINS);
        let way = match rng.random_range(0..3) {
            0 => Some(Way::ToRunner),
            1 => Some(Way::ToEntry),
            _ => None,
        };
        troubles.push(Trouble::Cut {
            entry: rng.random_range(0..site.entries),
            runner: rng.random_range(0..site.runners),
            way,
            at_ms,
            until_ms: at_ms + rng.random_range(LASTS),
        });
    }
    for _ in 0..LOSSES {
        troubles.push(Trouble::Loss {
            at_ms: rng.random_range(BEGINS),
            entry: rng.random_range(0..site.entries),
        });
    }
    troubles
}
