//! Twice the work that the slots can do, for as long as it lasts; callers have
//! deadlines, and come back when they were told to.

use crate::patterns;
use crate::report;
use crate::sim;
use crate::workload;

const SPAN_MS: (u64, u64) = (0, 30_000);
/// From the fourth second, when the queues have filled, to the last arrival.
const WINDOW_MS: (u64, u64) = (4_000, 30_000);
const OVERLOAD: f64 = 2.0;
const DEADLINE_MS: u64 = 4_000;
const RETURNS: u32 = 3;

/// All jobs; what counts is the work of those answered in time.
pub fn run(site: &sim::Site, _load: f64, seed: u64) -> Vec<patterns::Row> {
    let mut stream = patterns::stream(site, "escola", OVERLOAD, SPAN_MS, (1, 20), (50, 1_000));
    stream.deadline_ms = Some(DEADLINE_MS);
    let mut jobs = workload::draw(&[stream], seed);
    for job in &mut jobs {
        job.returns = RETURNS;
    }
    let mut patient = jobs.clone();
    for job in &mut patient {
        job.deadline_ms = None;
    }
    let settings = patterns::settings(&["escola"]);
    let unbounded = patterns::unbounded(settings.clone());
    let row = |name: &str, outcome: &sim::Outcome| {
        let capacity = site.capacity();
        let figures = report::figures(site, &jobs, outcome, WINDOW_MS, capacity, |_| true);
        (name.to_owned(), figures)
    };
    vec![
        row("ours", &sim::run(site, &settings, &jobs, &[], seed)),
        row(
            "no admission",
            &sim::run(site, &unbounded, &patient, &[], seed),
        ),
        row("naive", &sim::naive::run(site, &jobs, &[], seed)),
    ]
}
