//! A team whose declared run times are far too short, beside an honest one, both at
//! once their share and more.

use crate::patterns;
use crate::report;
use crate::sim;
use crate::workload;

const SPAN_MS: (u64, u64) = (0, 20_000);
const WINDOW_MS: (u64, u64) = (3_000, 20_000);
const LOAD: f64 = 0.9;
/// Declared for tasks that really take 50 ms to a second.
const DECLARED_MS: u32 = 10;

/// The jobs of both teams apart, with learning and without.
pub fn run(site: &sim::Site, _load: f64, seed: u64) -> Vec<patterns::Row> {
    let stream = |team| patterns::stream(site, team, LOAD, SPAN_MS, (1, 10), (50, 1_000));
    let jobs = workload::draw(&[stream("honest"), stream("far-off")], seed);
    let mut jobs = jobs;
    for job in jobs.iter_mut().filter(|job| job.team == "far-off") {
        job.declared_ms = vec![DECLARED_MS; job.run_ms.len()];
    }
    let settings = patterns::settings(&["honest", "far-off"]);
    let unlearned = patterns::unlearned(&jobs);
    let versions = [
        ("ours", sim::run(site, &settings, &jobs, &[], seed)),
        (
            "no learning",
            sim::run(site, &settings, &unlearned, &[], seed),
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
