//! An entry is killed, or stands still for some seconds: the leading one or another.

use bulrushtiller::settings;

use crate::patterns;
use crate::report;
use crate::sim;
use crate::workload;

const TEAM: &str = "escola";

/// End of the arrivals, milliseconds.
const END_MS: u64 = 30_000;

/// When it happens, milliseconds.
const LOST_MS: u64 = 10_000;

/// For how long it stands still, milliseconds.
const FROZEN_MS: u64 = 5_000;

/// Jobs that arrive in this time are judged, milliseconds: from before the loss, since
/// what is open then is lost too, until all is as before.
const WINDOW_MS: (u64, u64) = (8_000, 20_000);

/// The one that leads: all started in one order, and their zones are in service.
const LEADING: usize = 0;
const ANOTHER: usize = 1;

/// Nothing, the death and the pause, each with passing on and without.
pub fn run(site: &sim::Site, load: f64, seed: u64) -> Vec<patterns::Row> {
    let stream = patterns::stream(site, TEAM, load, (0, END_MS), (1, 8), (50, 1_000));
    let jobs = workload::draw(&[stream], seed);
    let ours = patterns::settings(&[TEAM]);
    let itself = patterns::each_for_itself(ours.clone());
    let row = |name: &str, settings: &settings::Settings, faults: &[sim::Fault]| {
        let outcome = sim::run(site, settings, &jobs, faults, seed);
        (name.to_owned(), figures(site, &jobs, &outcome))
    };
    vec![
        row("ours, none lost", &ours, &[]),
        row("ours, leading one killed", &ours, &[killed(LEADING)]),
        row("ours, another killed", &ours, &[killed(ANOTHER)]),
        row("ours, leading one frozen", &ours, &[frozen(LEADING)]),
        row("ours, another frozen", &ours, &[frozen(ANOTHER)]),
        row("each entry for itself, none lost", &itself, &[]),
        row(
            "each entry for itself, one killed",
            &itself,
            &[killed(LEADING)],
        ),
        row(
            "each entry for itself, one frozen",
            &itself,
            &[frozen(LEADING)],
        ),
    ]
}

const fn killed(entry: usize) -> sim::Fault {
    sim::Fault::EntryKilled {
        at_ms: LOST_MS,
        entry,
    }
}

const fn frozen(entry: usize) -> sim::Fault {
    sim::Fault::EntryFrozen {
        at_ms: LOST_MS,
        entry,
        for_ms: FROZEN_MS,
    }
}

fn figures(site: &sim::Site, jobs: &[workload::Job], outcome: &sim::Outcome) -> report::Figures {
    let span_us = WINDOW_MS.0 * 1_000..WINDOW_MS.1 * 1_000;
    let is_judged = |job: &workload::Job| span_us.contains(&job.at_us);
    report::figures(site, jobs, outcome, WINDOW_MS, site.capacity(), is_judged)
}
