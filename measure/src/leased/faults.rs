//! Faults of a simulation, drawn from a seed.

use rand::Rng as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

use crate::leased::site;

/// Number of link cuts and of entry crashes.
const CUTS: usize = 12;
const CRASHES: usize = 4;

/// When faults begin, in milliseconds from the start of the simulation.
const START_RANGE_MS: std::ops::Range<u64> = 500..8_000;

/// How long a link is cut, in milliseconds.
const CUT_RANGE_MS: std::ops::Range<u64> = 20..1_500;

/// Direction of a message between an entry and a runner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Direction {
    /// Orders and watches.
    ToRunner,
    /// Replies and reports.
    ToEntry,
}

/// A fault; times are in milliseconds from the start of the simulation.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// The link between an entry and a runner loses all messages.
    Cut {
        /// Index of the entry.
        entry: usize,
        /// Index of the runner.
        runner: usize,
        /// The direction that is cut; absent if both are.
        direction: Option<Direction>,
        /// Start of the cut.
        at_ms: u64,
        /// End of the cut.
        until_ms: u64,
    },
    /// An entry crashes.
    Crash {
        /// Time of the crash.
        at_ms: u64,
        /// Index of the entry.
        entry: usize,
    },
    /// A backend server is faulty.
    Server {
        /// Index of the runner beside it.
        runner: usize,
        /// What is wrong with it.
        how: ServerFault,
        /// Start of the fault.
        at_ms: u64,
        /// End of the fault.
        until_ms: u64,
    },
}

/// What is wrong with a backend server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ServerFault {
    /// Tasks that it starts take this many times as long.
    Slow(f64),
    /// Tasks that it starts fail at once.
    Fails,
    /// Tasks that it starts never end.
    Hangs,
    /// It is leaving and accepts no more work, for good.
    Leaves,
}

impl Fault {
    /// Returns whether this fault cuts the link in the given direction while it is active.
    pub fn cuts(&self, at_entry: usize, at_runner: usize, on: Direction) -> bool {
        let Self::Cut {
            entry,
            runner,
            direction,
            ..
        } = *self
        else {
            return false;
        };
        entry == at_entry
            && runner == at_runner
            && direction.is_none_or(|direction| direction == on)
    }

    /// Returns the fault of this runner's backend server while it is active.
    pub fn of_server(&self, now_ms: u64, at_runner: usize) -> Option<ServerFault> {
        let Self::Server { runner, how, .. } = *self else {
            return None;
        };
        (runner == at_runner && self.is_active(now_ms)).then_some(how)
    }

    /// Returns whether the fault is active.
    pub const fn is_active(&self, now_ms: u64) -> bool {
        match *self {
            Self::Cut {
                at_ms, until_ms, ..
            }
            | Self::Server {
                at_ms, until_ms, ..
            } => at_ms <= now_ms && now_ms < until_ms,
            Self::Crash { .. } => false,
        }
    }
}

/// Returns the faults drawn from a seed.
pub fn drawn(seed: u64, site: &site::Site) -> Vec<Fault> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut faults = Vec::new();
    for _ in 0..CUTS {
        let at_ms = rng.random_range(START_RANGE_MS);
        let direction = match rng.random_range(0..3) {
            0 => Some(Direction::ToRunner),
            1 => Some(Direction::ToEntry),
            _ => None,
        };
        faults.push(Fault::Cut {
            entry: rng.random_range(0..site.entries),
            runner: rng.random_range(0..site.runners),
            direction,
            at_ms,
            until_ms: at_ms + rng.random_range(CUT_RANGE_MS),
        });
    }
    for _ in 0..CRASHES {
        faults.push(Fault::Crash {
            at_ms: rng.random_range(START_RANGE_MS),
            entry: rng.random_range(0..site.entries),
        });
    }
    faults
}
