//! Sizes and latencies of a deployment, and what goes wrong in a run.

use smol_str::SmolStr;

/// A deployment.
#[derive(Clone, Debug)]
pub struct Site {
    /// Its availability zones.
    pub zones: Vec<SmolStr>,
    /// How many entries, spread over the zones.
    pub entries: usize,
    /// How many runners, spread over the zones.
    pub runners: usize,
    /// Slots of each runner.
    pub slots: u32,
    /// One-way latency between zones, microseconds.
    pub between_zones_us: u64,
    /// One-way latency within a zone, microseconds.
    pub within_zone_us: u64,
    /// One-way latency to callers, microseconds.
    pub to_caller_us: u64,
}

/// One-way latency within a zone; the brief gives only that a round trip costs
/// under a millisecond.
const WITHIN_ZONE_US: u64 = 250;

impl Site {
    /// Pedra Seca's sizes of today.
    pub fn taipa() -> Self {
        Self::new(&["caxias", "bento", "vacaria", "cambara"], 1_500)
    }

    /// The Archivo's sizes of today.
    pub fn formulario() -> Self {
        Self::new(&["ciudad-vieja", "cordon", "prado"], 500)
    }

    fn new(zones: &[&str], between_zones_us: u64) -> Self {
        Self {
            zones: zones.iter().map(SmolStr::new).collect(),
            entries: 3,
            runners: 11,
            slots: 8,
            between_zones_us,
            within_zone_us: WITHIN_ZONE_US,
            to_caller_us: 3_000,
        }
    }

    /// Slots in all.
    pub fn capacity(&self) -> f64 {
        self.runners as f64 * f64::from(self.slots)
    }

    /// Zone of the entry or runner with this index.
    pub fn zone(&self, index: usize) -> &SmolStr {
        &self.zones[index % self.zones.len()]
    }

    /// One-way latency between an entry and a runner, microseconds.
    pub fn latency_us(&self, entry: usize, runner: usize) -> u64 {
        if self.zone(entry) == self.zone(runner) {
            self.within_zone_us
        } else {
            self.between_zones_us
        }
    }
}

/// Something that goes wrong, or that operators do, at a time in milliseconds.
#[derive(Clone, Debug)]
pub enum Fault {
    /// A runner's server takes so many times as long from then on.
    Slow {
        /// When.
        at_ms: u64,
        /// Which runner.
        runner: usize,
        /// How many times as long.
        factor: f64,
    },
    /// A runner's server fails every task at once from then on.
    FailsAll {
        /// When.
        at_ms: u64,
        /// Which runner.
        runner: usize,
    },
    /// A runner stops answering for good.
    Frozen {
        /// When.
        at_ms: u64,
        /// Which runner.
        runner: usize,
    },
    /// A runner and its server die: connections are refused, what ran on it is lost.
    Died {
        /// When.
        at_ms: u64,
        /// Which runner.
        runner: usize,
    },
    /// Tasks started at a runner's server never end, while the runner itself lives.
    Stuck {
        /// When.
        at_ms: u64,
        /// Which runner.
        runner: usize,
    },
    /// A runner's server is well again.
    Well {
        /// When.
        at_ms: u64,
        /// Which runner.
        runner: usize,
    },
    /// An entry is killed and does not come back.
    EntryKilled {
        /// When.
        at_ms: u64,
        /// Which entry.
        entry: usize,
    },
    /// An entry stands still for a while.
    EntryFrozen {
        /// When.
        at_ms: u64,
        /// Which entry.
        entry: usize,
        /// For how long, milliseconds.
        for_ms: u64,
    },
    /// Operators take a zone out.
    ZoneOut {
        /// When.
        at_ms: u64,
        /// Which.
        zone: SmolStr,
    },
    /// Operators bring a zone back.
    ZoneIn {
        /// When.
        at_ms: u64,
        /// Which.
        zone: SmolStr,
    },
}

impl Fault {
    /// When it happens, milliseconds.
    pub const fn at_ms(&self) -> u64 {
        match self {
            Self::Slow { at_ms, .. }
            | Self::FailsAll { at_ms, .. }
            | Self::Frozen { at_ms, .. }
            | Self::Died { at_ms, .. }
            | Self::Stuck { at_ms, .. }
            | Self::Well { at_ms, .. }
            | Self::EntryKilled { at_ms, .. }
            | Self::EntryFrozen { at_ms, .. }
            | Self::ZoneOut { at_ms, .. }
            | Self::ZoneIn { at_ms, .. } => *at_ms,
        }
    }
}
