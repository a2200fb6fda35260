//! Sustained load of twice the slots' capacity. Callers have deadlines and resubmit
//! refused jobs after the advised delay.

use crate::patterns;
use crate::report;
use crate::sim;
use crate::workload;

const SPAN_MS: (u64, u64) = (0, 30_000);
/// Starts at 4 s, when the queues have filled, and ends with the last arrival.
const WINDOW_MS: (u64, u64) = (4_000, 30_000);
const OVERLOAD: f64 = 2.0;
const DEADLINE_MS: u64 = 4_000;
const RESUBMISSIONS: u32 = 3;

/// Compares admission, no admission and the naive dispatcher over all jobs; useful work
/// counts only jobs answered in time.
pub fn run(site: &sim::Site, _load: f64, seed: u64) -> Vec<patterns::Row> {
    let mut stream = patterns::stream(site, "escola", OVERLOAD, SPAN_MS, (1, 20), (50, 1_000));
    stream.deadline_ms = Some(DEADLINE_MS);
    let mut jobs = workload::draw(&[stream], seed);
    for job in &mut jobs {
        job.resubmissions = RESUBMISSIONS;
    }
    let mut without_deadline = jobs.clone();
    for job in &mut without_deadline {
        job.deadline_ms = None;
    }
    let settings = patterns::settings(&["escola"]);
    let no_admission = patterns::without_admission(settings.clone());
    let row = |name: &str, outcome: &sim::Outcome| {
        let capacity = site.capacity();
        let figures = report::figures(site, &jobs, outcome, WINDOW_MS, capacity, |_| true);
        (name.to_owned(), figures)
    };
    vec![
        row("ours", &sim::run(site, &settings, &jobs, &[], seed)),
        row(
            "no admission",
            &sim::run(site, &no_admission, &without_deadline, &[], seed),
        ),
        row("naive", &sim::naive::run(site, &jobs, &[], seed)),
    ]
}
