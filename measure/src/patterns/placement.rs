//! Compares task placement policies under a steady load.

use bulrushtiller::settings;

use crate::patterns;
use crate::report;
use crate::sim;
use crate::workload;

const TEAMS: &[&str] = &["escola"];

/// End of arrivals, milliseconds.
const END_MS: u64 = 60_000;

/// Start of the goodput window, milliseconds.
const WARM_MS: u64 = 3_000;

/// Draws jobs of 1 to 20 tasks that run 50 ms to 1 s.
pub fn jobs(site: &sim::Site, load: f64, seed: u64) -> Vec<workload::Job> {
    let stream = patterns::stream(site, TEAMS[0], load, (0, END_MS), (1, 20), (50, 1_000));
    workload::draw(&[stream], seed)
}

/// Returns settings with the given number of tasks parked at each runner and the given
/// bias towards the nearest zone.
pub fn settings(park_per_runner: u32, near_zone_bias: u32) -> settings::Settings {
    let mut settings = patterns::settings(TEAMS);
    settings.policy.park_per_runner = park_per_runner;
    settings.policy.near_zone_bias = near_zone_bias;
    settings
}

/// Compares one entry with a view of all slots, several entries at each parking limit
/// and zone bias, the models, and a random runner.
pub fn run(site: &sim::Site, load: f64, seed: u64) -> Vec<patterns::Row> {
    let jobs = jobs(site, load, seed);
    let figures = |outcome: &sim::Outcome| {
        let window = (WARM_MS, END_MS);
        report::figures(site, &jobs, outcome, window, site.capacity(), |_| true)
    };
    let mut rows = Vec::new();
    let alone = sim::Site {
        entries: 1,
        between_zones_us: site.within_zone_us,
        ..site.clone()
    };
    let central = sim::run(&alone, &settings(0, 0), &jobs, &[], seed);
    rows.push(("one entry, one zone".to_owned(), figures(&central)));
    for (park, bias) in [
        (0, 0),
        (0, 1),
        (1, 0),
        (1, 1),
        (1, 2),
        (2, 0),
        (2, 1),
        (8, 1),
    ] {
        let ours = sim::run(site, &settings(park, bias), &jobs, &[], seed);
        rows.push((format!("park {park}, bias {bias}"), figures(&ours)));
    }
    for (model, name) in sim::placement_models::ALL {
        let modelled = sim::placement_models::run(site, &jobs, *model, seed);
        rows.push(((*name).to_owned(), figures(&modelled)));
    }
    let naive = sim::naive::run(site, &jobs, &[], seed);
    rows.push(("naive: random runner".to_owned(), figures(&naive)));
    rows
}
