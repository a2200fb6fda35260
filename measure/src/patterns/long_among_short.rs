//! Tasks of several seconds among many short tasks of the same team.

use crate::patterns;
use crate::report;
use crate::sim;
use crate::workload;

const SPAN_MS: (u64, u64) = (0, 30_000);
const WINDOW_MS: (u64, u64) = (5_000, 30_000);
const SHORT_LOAD: f64 = 0.45;
const LONG_LOAD: f64 = 0.45;
/// Ageing limit longer than any wait in a run, which disables ageing.
const NEVER_MS: u32 = 600_000;

/// Reports short and long jobs separately.
pub fn run(site: &sim::Site, _load: f64, seed: u64) -> Vec<patterns::Row> {
    let mut short = patterns::stream(site, "escola", SHORT_LOAD, SPAN_MS, (1, 4), (50, 200));
    short.kind = "short".into();
    let mut long = patterns::stream(site, "escola", LONG_LOAD, SPAN_MS, (1, 8), (2_000, 5_000));
    long.kind = "long".into();
    let jobs = workload::draw(&[short, long], seed);
    let ours = patterns::settings(&["escola"]);
    let mut without_ageing = ours.clone();
    without_ageing.policy.age_ms = NEVER_MS;
    let mut first_come = ours.clone();
    first_come.policy.age_ms = 0;
    let run = |settings| sim::run(site, settings, &jobs, &[], seed);
    let versions = [
        ("ours", run(&ours)),
        ("no ageing", run(&without_ageing)),
        ("first come first served", run(&first_come)),
        ("naive", sim::naive::run(site, &jobs, &[], seed)),
    ];
    let mut rows = Vec::new();
    for (name, outcome) in &versions {
        for kind in ["short", "long"] {
            let counts = |job: &workload::Job| job.kind == kind;
            let capacity = site.capacity();
            let figures = report::figures(site, &jobs, outcome, WINDOW_MS, capacity, counts);
            rows.push((format!("{name}: {kind}"), figures));
        }
    }
    rows
}
