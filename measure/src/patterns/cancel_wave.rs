//! Most callers of an overload cancel within one moment.

use crate::patterns;
use crate::report;
use crate::sim;
use crate::workload;

const SPAN_MS: (u64, u64) = (0, 15_000);
const WINDOW_MS: (u64, u64) = (3_000, 15_000);
const LOAD: f64 = 1.5;
/// When the wave comes, and how far back it takes jobs.
const WAVE_US: u64 = 6_000_000;
const BACK_US: u64 = 4_000_000;
/// Of ten callers, so many cancel.
const CANCELLING: usize = 8;

/// The jobs that nobody cancelled.
pub fn run(site: &sim::Site, _load: f64, seed: u64) -> Vec<patterns::Row> {
    let stream = patterns::stream(site, "escola", LOAD, SPAN_MS, (1, 20), (50, 1_000));
    let kept = workload::draw(&[stream], seed);
    let mut jobs = kept.clone();
    for (number, job) in jobs.iter_mut().enumerate() {
        let is_back = (WAVE_US - BACK_US..WAVE_US).contains(&job.at_us);
        job.cancel_us = (is_back && number % 10 < CANCELLING).then_some(WAVE_US);
    }
    let settings = patterns::settings(&["escola"]);
    let row = |name: &str, outcome: &sim::Outcome| {
        let counts = |job: &workload::Job| job.cancel_us.is_none();
        let capacity = site.capacity();
        let figures = report::figures(site, &jobs, outcome, WINDOW_MS, capacity, counts);
        (name.to_owned(), figures)
    };
    vec![
        row("ours", &sim::run(site, &settings, &jobs, &[], seed)),
        row(
            "cancelling ignored",
            &sim::run(site, &settings, &kept, &[], seed),
        ),
        row("naive", &sim::naive::run(site, &kept, &[], seed)),
    ]
}
