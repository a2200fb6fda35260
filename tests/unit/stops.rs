//! Planned stops of an entry and of a runner, checked against simple models.

mod entry;
mod runner;

use std::sync;

use bulrushtiller::codes;
use bulrushtiller::ids;
use bulrushtiller::settings;
use bulrushtiller::wire;
use smol_str::SmolStr;

pub const CASES: u32 = 512;
pub const TEAM: SmolStr = SmolStr::new_static("escola");
pub const SLOTS: usize = 2;
pub const TICK_MS: u64 = 20;
pub const ENTRY_INCARNATION: ids::Incarnation = ids::Incarnation(7);
pub const RUNNER_INCARNATION: ids::Incarnation = ids::Incarnation(1);

pub fn peer(role: wire::Role, name: &str, incarnation: ids::Incarnation) -> wire::Peer {
    wire::Peer {
        role,
        name: SmolStr::new(name),
        incarnation,
        zone: SmolStr::new_static("caxias"),
        rack: SmolStr::new_static("rack"),
        address: SmolStr::new(name),
    }
}

pub fn settings() -> sync::Arc<settings::Settings> {
    let mut settings = settings::Settings::default();
    settings.teams.insert(TEAM, settings::Team::default());
    sync::Arc::new(settings)
}

pub const fn complete(output: String) -> wire::Outcome {
    wire::Outcome::Ended {
        code: codes::Code::Complete,
        output,
        run_ms: TICK_MS,
        peak: ZERO,
    }
}

pub const ZERO: wire::Resources = wire::Resources {
    cpu_milli: 0,
    memory_mib: 0,
    accelerators: 0,
};
