//! Sizes and latencies of a deployment, and the faults of a run.

use smol_str::SmolStr;

/// A deployment.
#[derive(Clone, Debug)]
pub struct Site {
    /// Availability zones.
    pub zones: Vec<SmolStr>,
    /// Number of entries, spread over the zones.
    pub entries: usize,
    /// Number of runners, spread over the zones.
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

/// One-way latency within a zone; the brief states only that a round trip costs less
/// than a millisecond.
const WITHIN_ZONE_US: u64 = 250;

impl Site {
    /// Returns the present deployment of Pedra Seca.
    pub fn taipa() -> Self {
        Self::new(&["caxias", "bento", "vacaria", "cambara"], 1_500)
    }

    /// Returns the present deployment of the Archivo.
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

    /// Returns the total number of slots.
    pub fn capacity(&self) -> f64 {
        self.runners as f64 * f64::from(self.slots)
    }

    /// Returns the zone of the entry or runner with this index.
    pub fn zone(&self, index: usize) -> &SmolStr {
        &self.zones[index % self.zones.len()]
    }

    /// Returns the one-way latency between an entry and a runner, microseconds.
    pub fn latency_us(&self, entry: usize, runner: usize) -> u64 {
        if self.zone(entry) == self.zone(runner) {
            self.within_zone_us
        } else {
            self.between_zones_us
        }
    }
}

/// Fault or operator action.
#[derive(Clone, Debug)]
pub enum Fault {
    /// A backend server's tasks take `factor` times as long from then on.
    Slow {
        /// Start, milliseconds.
        at_ms: u64,
        /// Index of the runner.
        runner: usize,
        /// Run-time factor.
        factor: f64,
    },
    /// A backend server fails every task immediately from then on.
    FailsAll {
        /// Start, milliseconds.
        at_ms: u64,
        /// Index of the runner.
        runner: usize,
    },
    /// A runner is suspended and never resumes.
    Suspended {
        /// Time of the suspension, milliseconds.
        at_ms: u64,
        /// Index of the runner.
        runner: usize,
    },
    /// A runner and its backend server crash: connections are refused, and running
    /// tasks are lost.
    Crashed {
        /// Time of the crash, milliseconds.
        at_ms: u64,
        /// Index of the runner.
        runner: usize,
    },
    /// Tasks at a backend server never end, while its runner keeps answering.
    Stuck {
        /// Start, milliseconds.
        at_ms: u64,
        /// Index of the runner.
        runner: usize,
    },
    /// A backend server works normally again.
    Recovered {
        /// Time of the recovery, milliseconds.
        at_ms: u64,
        /// Index of the runner.
        runner: usize,
    },
    /// An entry is killed and does not come back.
    EntryKilled {
        /// Time of the kill, milliseconds.
        at_ms: u64,
        /// Index of the entry.
        entry: usize,
    },
    /// An entry is suspended and resumes later.
    EntrySuspended {
        /// Time of the suspension, milliseconds.
        at_ms: u64,
        /// Index of the entry.
        entry: usize,
        /// Duration, milliseconds.
        for_ms: u64,
    },
    /// Operators take a zone out of service.
    ZoneOut {
        /// Time of the change, milliseconds.
        at_ms: u64,
        /// Name of the zone.
        zone: SmolStr,
    },
    /// Operators return a zone to service.
    ZoneIn {
        /// Time of the change, milliseconds.
        at_ms: u64,
        /// Name of the zone.
        zone: SmolStr,
    },
}

impl Fault {
    /// Returns when the fault happens, milliseconds.
    pub const fn at_ms(&self) -> u64 {
        match self {
            Self::Slow { at_ms, .. }
            | Self::FailsAll { at_ms, .. }
            | Self::Suspended { at_ms, .. }
            | Self::Crashed { at_ms, .. }
            | Self::Stuck { at_ms, .. }
            | Self::Recovered { at_ms, .. }
            | Self::EntryKilled { at_ms, .. }
            | Self::EntrySuspended { at_ms, .. }
            | Self::ZoneOut { at_ms, .. }
            | Self::ZoneIn { at_ms, .. } => *at_ms,
        }
    }
}
