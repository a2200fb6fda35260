//! A burst of jobs from one team over a steady load from another.

use smol_str::SmolStr;

use crate::patterns;
use crate::report;
use crate::sim;
use crate::workload;

const SPAN_MS: (u64, u64) = (0, 20_000);
const BURST_MS: (u64, u64) = (5_000, 5_100);
/// Load of the burst relative to the slots' capacity during its span: about 3 s of work
/// for the whole site.
const BURST_LOAD: f64 = 30.0;
const STEADY_LOAD: f64 = 0.5;

/// Reports each team separately.
pub fn run(site: &sim::Site, _load: f64, seed: u64) -> Vec<patterns::Row> {
    let stream = |team, load, span| patterns::stream(site, team, load, span, (1, 20), (50, 1_000));
    let steady = stream("escola", STEADY_LOAD, SPAN_MS);
    let burst = stream("coursework", BURST_LOAD, BURST_MS);
    let jobs = workload::draw(&[steady, burst], seed);
    let settings = patterns::settings(&["escola", "coursework"]);
    let single_team = patterns::as_one_team(&jobs);
    let unforwarded = patterns::without_forwarding(settings.clone());
    let single_entry = patterns::one_entry(site);
    let versions = [
        ("ours", sim::run(site, &settings, &jobs, &[], seed)),
        (
            "each entry for itself",
            sim::run(site, &unforwarded, &jobs, &[], seed),
        ),
        (
            "one entry that sees all",
            sim::run(&single_entry, &settings, &jobs, &[], seed),
        ),
        (
            "first come first served",
            sim::run(
                site,
                &patterns::first_come_first_served(),
                &single_team,
                &[],
                seed,
            ),
        ),
        ("naive", sim::naive::run(site, &jobs, &[], seed)),
    ];
    let mut rows = Vec::new();
    for (name, outcome) in &versions {
        for team in ["escola", "coursework"] {
            let counts = |job: &workload::Job| job.team == SmolStr::new_static(team);
            let capacity = site.capacity();
            let figures = report::figures(site, &jobs, outcome, SPAN_MS, capacity, counts);
            rows.push((format!("{name}: {team}"), figures));
        }
    }
    rows
}
