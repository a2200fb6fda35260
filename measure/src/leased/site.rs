//! Parameters of a simulated site.

use bulrushtiller::leased::dispatch::watching;
use bulrushtiller::leased::ports;
use smol_str::SmolStr;

/// Cores of a backend server, in thousandths.
const DEFAULT_SIZE_MILLI: u32 = 16_000;

/// Size of a site, and how reliably its backend servers answer.
#[derive(Clone, Debug)]
pub struct Site {
    /// Number of unanswered calls per thousand calls to a backend server.
    pub unanswered_in_thousand: u32,
    /// Number of entries, distributed over the availability zones in turn.
    pub entries: usize,
    /// Number of runners, distributed over the availability zones in turn.
    pub runners: usize,
    /// Number of availability zones.
    pub zones: usize,
    /// One-way latency between an entry and a runner, in milliseconds.
    pub latency_ms: u64,
    /// Thousandths of a core that each task requires.
    pub task_milli: u32,
    /// Thousandths of a core of the backend servers, in turn.
    pub sizes_milli: Vec<u32>,
    /// Speeds of the backend servers, in turn; at 1, a task takes its stated run time.
    pub speeds: Vec<f64>,
    /// Number of ready runners that each entry always watches.
    pub watch_set: usize,
    /// Whether entries refuse jobs at once that they would not place in time.
    pub early_refusal: bool,
}

impl Default for Site {
    fn default() -> Self {
        Self {
            unanswered_in_thousand: 0,
            entries: 4,
            runners: 8,
            zones: 1,
            latency_ms: 1,
            task_milli: 1_600,
            sizes_milli: vec![DEFAULT_SIZE_MILLI],
            speeds: vec![1.0],
            watch_set: watching::DEFAULT_SET_SIZE,
            early_refusal: false,
        }
    }
}

impl Site {
    /// Returns the number of cores of all backend servers.
    pub fn cores(&self) -> f64 {
        let sizes = (0..self.runners).map(|at| f64::from(self.size_milli(at)));
        sizes.sum::<f64>() / 1_000.0
    }

    /// Returns the size of a backend server, in thousandths of a core.
    pub fn size_milli(&self, at: usize) -> u32 {
        // Divided by the zones, so that each zone has servers of all sizes.
        self.sizes_milli[at / self.zones % self.sizes_milli.len()]
    }

    /// Returns the speed of a backend server; at 1, a task takes its stated run time.
    pub fn speed(&self, at: usize) -> f64 {
        let turn = at / self.zones / self.sizes_milli.len();
        self.speeds[(turn + at % self.zones) % self.speeds.len()]
    }

    /// Returns the mean run time of a task over the backend servers, as a multiple of its stated
    /// one.
    ///
    /// Backend servers of all speeds are sound, and a caller sets its time limit before it can know
    /// on which one a task runs.
    pub fn mean_run_factor(&self) -> f64 {
        let factors = (0..self.runners).map(|at| 1.0 / self.speed(at));
        factors.sum::<f64>() / self.runners as f64
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
            service: SmolStr::new_static(SERVICE),
        }
    }
}

/// Service of all backend servers.
pub const SERVICE: &str = "taipa";
