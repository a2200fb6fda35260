//! What differs from play to play.

use bulrushtiller::leased::dispatch::watching;
use bulrushtiller::leased::ports;
use smol_str::SmolStr;

/// Cores of each backend server.
const CORES: usize = 16;

/// The size of a site, and how its backend servers answer.
#[derive(Clone, Copy, Debug)]
pub struct Site {
    /// Of a thousand calls to a backend server, how many get no answer.
    pub unanswered_in_thousand: u32,
    /// Entries, which take turns in the availability zones.
    pub entries: usize,
    /// Runners, which do so as well.
    pub runners: usize,
    /// Availability zones.
    pub zones: usize,
    /// Thousandths of a core that each task takes.
    pub task_milli: u32,
    /// Runners that each entry watches in any case.
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
    /// Cores of all backend servers.
    pub fn cores(&self) -> f64 {
        (self.runners * CORES) as f64
    }

    /// The availability zone of an entry or a runner.
    pub fn zone_of(&self, at: usize) -> SmolStr {
        smol_str::format_smolstr!("zone-{}", at % self.zones)
    }

    /// What the store lists of a runner.
    pub fn member(&self, runner: usize) -> ports::Member {
        ports::Member {
            address: smol_str::format_smolstr!("10.0.0.{runner}:7720"),
            zone: self.zone_of(runner),
            service: "taipa".into(),
        }
    }
}
