//! Two runners crash at once under load while they run idempotent tasks.

use bulrushtiller::settings;

use crate::patterns;
use crate::report;
use crate::sim;
use crate::workload;

const TEAM: &str = "escola";

/// End of arrivals, milliseconds.
const END_MS: u64 = 30_000;

/// Time of the crash, milliseconds.
const CRASH_MS: u64 = 10_000;

/// Runners that crash, in different zones.
const RUNNERS: [usize; 2] = [4, 7];

/// Arrival window of the jobs that are counted, milliseconds. Starts before the crash,
/// since tasks running at that time are lost.
const WINDOW_MS: (u64, u64) = (8_000, 20_000);

/// Highest retry budget that the settings allow: every lost task is started again.
const MAX_RATIO: f64 = 1.0;
const MAX_BURST: u32 = 10_000;

/// Compares retry budgets; goodput is relative to the slots of the remaining runners.
pub fn run(site: &sim::Site, load: f64, seed: u64) -> Vec<patterns::Row> {
    let stream = patterns::stream(site, TEAM, load, (0, END_MS), (1, 8), (50, 1_000));
    let mut jobs = workload::draw(&[stream], seed);
    for job in &mut jobs {
        job.is_idempotent = true;
    }
    let crash = |runner| sim::Fault::Crashed {
        at_ms: CRASH_MS,
        runner,
    };
    let faults = RUNNERS.map(crash);
    let row = |name: &str, settings: &settings::Settings, faults: &[sim::Fault]| {
        let outcome = sim::run(site, settings, &jobs, faults, seed);
        (name.to_owned(), figures(site, &jobs, &outcome))
    };
    let ours = patterns::settings(&[TEAM]);
    vec![
        row("ours", &ours, &faults),
        row("no budget", &with_budget(MAX_RATIO, MAX_BURST), &faults),
        row("no retries", &with_budget(0.0, 0), &faults),
        row("ours, none died", &ours, &[]),
    ]
}

fn with_budget(ratio: f64, burst: u32) -> settings::Settings {
    let mut settings = patterns::settings(&[TEAM]);
    settings.policy.retry_ratio = ratio;
    settings.policy.retry_burst = burst;
    settings
}

fn figures(site: &sim::Site, jobs: &[workload::Job], outcome: &sim::Outcome) -> report::Figures {
    let span_us = WINDOW_MS.0 * 1_000..WINDOW_MS.1 * 1_000;
    let is_counted = |job: &workload::Job| span_us.contains(&job.at_us);
    let remaining = site.runners - RUNNERS.len();
    let capacity = remaining as f64 * f64::from(site.slots);
    report::figures(site, jobs, outcome, WINDOW_MS, capacity, is_counted)
}
