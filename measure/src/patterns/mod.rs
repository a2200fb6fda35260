//! The load patterns, one module each.

pub mod placement;
pub mod servers;
pub mod steady;
pub mod zone_change;

use smol_str::SmolStr;

use bulrushtiller::settings;

use crate::report;
use crate::sim;
use crate::workload;

/// Settings with these teams, each of weight 1.
pub fn settings(teams: &[&str]) -> settings::Settings {
    let mut settings = settings::Settings::default();
    for team in teams {
        settings
            .teams
            .insert(SmolStr::new(team), settings::Team::default());
    }
    settings
}

/// A stream of jobs that takes this part of the site's slots.
pub fn stream(
    site: &sim::Site,
    team: &str,
    load: f64,
    span_ms: (u64, u64),
    tasks: (u32, u32),
    run_ms: (u32, u32),
) -> workload::Stream {
    let mut stream = workload::Stream {
        team: SmolStr::new(team),
        kind: SmolStr::new_static("check"),
        rate: 0.0,
        span_ms,
        tasks,
        run_ms,
        is_declared: true,
        deadline_ms: None,
    };
    stream.rate = load * site.capacity() * 1_000.0 / stream.mean_job_ms();
    stream
}

/// A named version and its figures.
pub type Row = (String, report::Figures);

/// A load pattern: runs at a site with a load, as a part of its slots, and a seed.
pub type Pattern = fn(&sim::Site, f64, u64) -> Vec<Row>;

/// All patterns by name.
pub const ALL: &[(&str, Pattern)] = &[
    ("steady", steady::run),
    ("placement", placement::run),
    ("slow-server", servers::slow),
    ("fails-all", servers::fails_all),
    ("frozen-server", servers::frozen),
    ("stuck-server", servers::stuck),
    ("zone-change", zone_change::warm),
    ("cold-zone", zone_change::cold),
];

/// Finds a pattern by its name.
pub fn find(name: &str) -> Option<Pattern> {
    let found = ALL.iter().find(|(known, _)| *known == name);
    found.map(|(_, pattern)| *pattern)
}
