//! The load patterns, one function each.

pub mod placement;
pub mod servers;
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

/// A steady load, as a part of the site's slots.
pub fn steady(site: &sim::Site, load: f64, seed: u64) -> Vec<(String, report::Figures)> {
    let span_ms = (0, 20_000);
    let jobs = workload::draw(
        &[stream(site, "escola", load, span_ms, (1, 20), (50, 1_000))],
        seed,
    );
    let settings = settings(&["escola"]);
    let ours = sim::run(site, &settings, &jobs, &[], seed);
    let naive = sim::naive::run(site, &jobs, &[], seed);
    let window = (3_000, 20_000);
    let figures =
        |outcome| report::figures(site, &jobs, outcome, window, site.capacity(), |_| true);
    vec![
        ("ours".to_owned(), figures(&ours)),
        ("naive".to_owned(), figures(&naive)),
    ]
}
