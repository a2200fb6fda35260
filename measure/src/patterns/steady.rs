//! A steady load from one team, with exact, coarse or missing run-time declarations.

use crate::patterns;
use crate::report;
use crate::sim;
use crate::workload;

const SPAN_MS: (u64, u64) = (0, 20_000);
const WINDOW_MS: (u64, u64) = (3_000, 20_000);

/// Compares the declarations and the dispatcher variants at a load relative to the
/// slots.
pub fn run(site: &sim::Site, load: f64, seed: u64) -> Vec<patterns::Row> {
    let stream = patterns::stream(site, "escola", load, SPAN_MS, (1, 20), (50, 1_000));
    let jobs = workload::draw(&[stream], seed);
    let longest = workload::declare(&jobs, workload::Declared::Longest);
    let nothing = workload::declare(&jobs, workload::Declared::Nothing);
    let settings = patterns::settings(&["escola"]);
    let row = |name: &str, outcome: &sim::Outcome| {
        let capacity = site.capacity();
        let figures = report::figures(site, &jobs, outcome, WINDOW_MS, capacity, |_| true);
        (name.to_owned(), figures)
    };
    let ours = |jobs| sim::run(site, &settings, jobs, &[], seed);
    let unforwarded = patterns::without_forwarding(settings.clone());
    let separate = |jobs| sim::run(site, &unforwarded, jobs, &[], seed);
    let single_entry = patterns::one_entry(site);
    let central = |jobs| sim::run(&single_entry, &settings, jobs, &[], seed);
    let single_team = patterns::as_one_team(&jobs);
    let first_come = sim::run(
        site,
        &patterns::first_come_first_served(),
        &single_team,
        &[],
        seed,
    );
    vec![
        row("ours, each run time declared", &ours(&jobs)),
        row("ours, the longest declared for all", &ours(&longest)),
        row("ours, nothing declared", &ours(&nothing)),
        row(
            "each entry for itself, each run time declared",
            &separate(&jobs),
        ),
        row(
            "each entry for itself, nothing declared",
            &separate(&nothing),
        ),
        row(
            "one entry that sees all, each run time declared",
            &central(&jobs),
        ),
        row(
            "one entry that sees all, nothing declared",
            &central(&nothing),
        ),
        row("first come first served", &first_come),
        row("naive", &sim::naive::run(site, &jobs, &[], seed)),
    ]
}
