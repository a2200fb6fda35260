//! A steady load of one team.

use crate::patterns;
use crate::report;
use crate::sim;
use crate::workload;

/// A steady load, as a part of the site's slots.
pub fn run(site: &sim::Site, load: f64, seed: u64) -> Vec<patterns::Row> {
    let span_ms = (0, 20_000);
    let jobs = workload::draw(
        &[patterns::stream(
            site,
            "escola",
            load,
            span_ms,
            (1, 20),
            (50, 1_000),
        )],
        seed,
    );
    let settings = patterns::settings(&["escola"]);
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
