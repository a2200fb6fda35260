//! Most callers cancel their jobs at the same moment during an overload.

use crate::patterns;
use crate::report;
use crate::sim;
use crate::workload;

const SPAN_MS: (u64, u64) = (0, 15_000);
const WINDOW_MS: (u64, u64) = (3_000, 15_000);
const LOAD: f64 = 1.5;
/// Time of the wave, and how long before it a cancelled job may have been submitted.
const WAVE_US: u64 = 6_000_000;
const LOOKBACK_US: u64 = 4_000_000;
/// Number of callers out of ten that cancel.
const CANCELLING_OF_TEN: usize = 8;

/// Reports the jobs that are not cancelled.
pub fn run(site: &sim::Site, _load: f64, seed: u64) -> Vec<patterns::Row> {
    let stream = patterns::stream(site, "escola", LOAD, SPAN_MS, (1, 20), (50, 1_000));
    let uncancelled = workload::draw(&[stream], seed);
    let mut jobs = uncancelled.clone();
    for (number, job) in jobs.iter_mut().enumerate() {
        let is_in_reach = (WAVE_US - LOOKBACK_US..WAVE_US).contains(&job.at_us);
        job.cancel_us = (is_in_reach && number % 10 < CANCELLING_OF_TEN).then_some(WAVE_US);
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
            &sim::run(site, &settings, &uncancelled, &[], seed),
        ),
        row("naive", &sim::naive::run(site, &uncancelled, &[], seed)),
    ]
}
