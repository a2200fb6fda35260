//! Parameters of a simulated site.

use bulrushtiller::leased::dispatch::watching;
use bulrushtiller::leased::ports;
use smol_str::SmolStr;

/// Cores of each backend server.
const CORES: usize = 16;

/// Size of a site, and how reliably its backend servers answer.
#[derive(Clone, Copy, Debug)]
pub struct Site {
    /// Number of unanswered calls per thousand calls to a backend server.
    pub unanswered_in_thousand: u32,
    /// Number of entries, distributed over the availability zones in turn.
    pub entries: usize,
    /// Number of runners, distributed over the availability zones in turn.
    pub runners: usize,
    /// Number of availability zones.
    pub zones: usize,
    /// Thousandths of a core that each task requires.
    pub task_milli: u32,
    /// Number of ready runners that each entry always watches.
    pub watch_set: usize,
}

impl Default for Site {
    fn default() -> Self {
        Self {
            unanswered_in_thousand: 0,
            entries: 4,
            runners: 8,
            zones: 1,
            task_milli: 1_600,
            watch_set: watching::DEFAULT_SET_SIZE,
        }
    }
}

impl Site {
    /// Returns the number of cores of all backend servers.
    pub fn cores(&self) -> f64 {
        (self.runners * CORES) as f64
    }

    /// Returns the availability zone of an entry or a runner.
    pub fn zone_of(&self, at: usize) -> SmolStr {
        smol_str::format_smolstr!("zone-{}", at % self.zones)
    }

    /// Returns a runner as listed in the store.
    pub fn member(&self, runner: usize) -> ports::Member {
        ports::Member {
            address: smol_str::format_smolstr!("10.0.0.{runner}:7720"),
            zone: self.zone_of(runner),
            service: "taipa".into(),
        }
    }
}
