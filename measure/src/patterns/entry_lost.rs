//! The leading entry or another one is killed, or suspended for some seconds.

use bulrushtiller::settings;

use crate::patterns;
use crate::report;
use crate::sim;
use crate::workload;

const TEAM: &str = "escola";

/// End of arrivals, milliseconds.
const END_MS: u64 = 30_000;

/// Time of the fault, milliseconds.
const FAULT_MS: u64 = 10_000;

/// Duration of the suspension, milliseconds.
const SUSPENDED_MS: u64 = 5_000;

/// Arrival window of the jobs that are counted, milliseconds. Starts before the fault,
/// since jobs open at that time are lost too, and ends after recovery.
const WINDOW_MS: (u64, u64) = (8_000, 20_000);

/// Index of the leading entry: all entries started in one order, with their zones in
/// service.
const LEADING: usize = 0;
const ANOTHER: usize = 1;

/// Compares no fault, a killed entry and a suspended entry, with and without
/// forwarding.
pub fn run(site: &sim::Site, load: f64, seed: u64) -> Vec<patterns::Row> {
    let stream = patterns::stream(site, TEAM, load, (0, END_MS), (1, 8), (50, 1_000));
    let jobs = workload::draw(&[stream], seed);
    let ours = patterns::settings(&[TEAM]);
    let unforwarded = patterns::without_forwarding(ours.clone());
    let row = |name: &str, settings: &settings::Settings, faults: &[sim::Fault]| {
        let outcome = sim::run(site, settings, &jobs, faults, seed);
        (name.to_owned(), figures(site, &jobs, &outcome))
    };
    vec![
        row("ours, none lost", &ours, &[]),
        row("ours, leading one killed", &ours, &[killed(LEADING)]),
        row("ours, another killed", &ours, &[killed(ANOTHER)]),
        row("ours, leading one frozen", &ours, &[suspended(LEADING)]),
        row("ours, another frozen", &ours, &[suspended(ANOTHER)]),
        row("each entry for itself, none lost", &unforwarded, &[]),
        row(
            "each entry for itself, one killed",
            &unforwarded,
            &[killed(LEADING)],
        ),
        row(
            "each entry for itself, one frozen",
            &unforwarded,
            &[suspended(LEADING)],
        ),
    ]
}

const fn killed(entry: usize) -> sim::Fault {
    sim::Fault::EntryKilled {
        at_ms: FAULT_MS,
        entry,
    }
}

const fn suspended(entry: usize) -> sim::Fault {
    sim::Fault::EntrySuspended {
        at_ms: FAULT_MS,
        entry,
        for_ms: SUSPENDED_MS,
    }
}

fn figures(site: &sim::Site, jobs: &[workload::Job], outcome: &sim::Outcome) -> report::Figures {
    let span_us = WINDOW_MS.0 * 1_000..WINDOW_MS.1 * 1_000;
    let is_counted = |job: &workload::Job| span_us.contains(&job.at_us);
    report::figures(site, jobs, outcome, WINDOW_MS, site.capacity(), is_counted)
}
