//! A team that declares run times far too short, beside a team that declares them
//! correctly. Each submits more than its share.

use crate::patterns;
use crate::report;
use crate::sim;
use crate::workload;

const SPAN_MS: (u64, u64) = (0, 20_000);
const WINDOW_MS: (u64, u64) = (3_000, 20_000);
const LOAD: f64 = 0.9;
/// Declared run time of tasks that really take 50 ms to 1 s.
const DECLARED_MS: u32 = 10;

/// Reports each team separately, with and without learned run times.
pub fn run(site: &sim::Site, _load: f64, seed: u64) -> Vec<patterns::Row> {
    let stream = |team| patterns::stream(site, team, LOAD, SPAN_MS, (1, 10), (50, 1_000));
    let jobs = workload::draw(&[stream("honest"), stream("far-off")], seed);
    let mut jobs = jobs;
    for job in jobs.iter_mut().filter(|job| job.team == "far-off") {
        job.declared_ms = vec![DECLARED_MS; job.run_ms.len()];
    }
    let settings = patterns::settings(&["honest", "far-off"]);
    let without_learning = patterns::without_learning(&jobs);
    let versions = [
        ("ours", sim::run(site, &settings, &jobs, &[], seed)),
        (
            "no learning",
            sim::run(site, &settings, &without_learning, &[], seed),
        ),
        ("naive", sim::naive::run(site, &jobs, &[], seed)),
    ];
    let mut rows = Vec::new();
    for (name, outcome) in &versions {
        for team in ["honest", "far-off"] {
            let counts = |job: &workload::Job| job.team == team;
            let capacity = site.capacity();
            let figures = report::figures(site, &jobs, outcome, WINDOW_MS, capacity, counts);
            rows.push((format!("{name}: {team}"), figures));
        }
    }
    rows
}
