//! Bad backend servers: slow, failing everything, frozen, stuck.

use smol_str::SmolStr;

use bulrushtiller::settings;

use crate::patterns;
use crate::report;
use crate::sim;
use crate::workload;

/// When the server turns bad, milliseconds.
pub const BAD_MS: u64 = 10_000;

/// When it is well again, where it ever is, milliseconds.
pub const WELL_MS: u64 = 30_000;

/// End of the arrivals, milliseconds.
pub const END_MS: u64 = 50_000;

/// How a slow server is slowed down.
const SLOW_FACTOR: f64 = 4.0;

/// The runner that turns bad.
const RUNNER: usize = 4;

const TEAMS: &[&str] = &["escola", "oficina"];

/// What goes wrong with the server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Badness {
    /// Tasks take four times as long.
    Slow,
    /// Every task fails at once.
    FailsAll,
    /// The runner and its server stand still for good.
    Frozen,
    /// Tasks never end, while the runner lives.
    Stuck,
}

impl Badness {
    fn faults(self) -> Vec<sim::Fault> {
        let (at_ms, runner) = (BAD_MS, RUNNER);
        let bad = match self {
            Self::Slow => sim::Fault::Slow {
                at_ms,
                runner,
                factor: SLOW_FACTOR,
            },
            Self::FailsAll => sim::Fault::FailsAll { at_ms, runner },
            Self::Frozen => return vec![sim::Fault::Frozen { at_ms, runner }],
            Self::Stuck => sim::Fault::Stuck { at_ms, runner },
        };
        let well = sim::Fault::Well {
            at_ms: WELL_MS,
            runner,
        };
        vec![bad, well]
    }
}

/// Two teams with two kinds each, at a load as a part of the site's slots.
///
/// Jobs have one to eight tasks; every other stream declares its run times.
pub fn jobs(site: &sim::Site, load: f64, seed: u64) -> Vec<workload::Job> {
    let mut streams = Vec::new();
    for team in TEAMS {
        for (kind, is_declared) in [("check", true), ("lineage", false)] {
            let part = load / 4.0;
            let mut stream = patterns::stream(site, team, part, (0, END_MS), (1, 8), (50, 1_000));
            stream.kind = SmolStr::new_static(kind);
            stream.is_declared = is_declared;
            streams.push(stream);
        }
    }
    workload::draw(&streams, seed)
}

/// The settings of the runs, with the slice that judges servers or without.
pub fn settings(is_on: bool) -> settings::Settings {
    let mut settings = patterns::settings(TEAMS);
    if !is_on {
        settings.policy.eject_fraction = 0.0;
    }
    settings
}

/// What callers receive while the server is bad.
pub fn ours(site: &sim::Site, badness: Badness, load: f64, seed: u64) -> report::Figures {
    let jobs = jobs(site, load, seed);
    let outcome = sim::run(site, &settings(true), &jobs, &badness.faults(), seed);
    judged(site, &jobs, &outcome)
}

/// Figures of the jobs that arrive while the server is bad.
fn judged(site: &sim::Site, jobs: &[workload::Job], outcome: &sim::Outcome) -> report::Figures {
    let is_judged = |job: &workload::Job| (BAD_MS * 1_000..WELL_MS * 1_000).contains(&job.at_us);
    let window = (BAD_MS, WELL_MS);
    report::figures(site, jobs, outcome, window, site.capacity(), is_judged)
}

/// Ours, ours without the slice, naive, and both of ours without the fault; all of
/// the jobs that arrive while the server is bad.
pub fn table(site: &sim::Site, badness: Badness, load: f64, seed: u64) -> Vec<patterns::Row> {
    let jobs = jobs(site, load, seed);
    let faults = badness.faults();
    let figures = |outcome: &sim::Outcome| judged(site, &jobs, outcome);
    let ours = sim::run(site, &settings(true), &jobs, &faults, seed);
    let off = sim::run(site, &settings(false), &jobs, &faults, seed);
    let naive = sim::naive::run(site, &jobs, &faults, seed);
    let well = sim::run(site, &settings(true), &jobs, &[], seed);
    let well_off = sim::run(site, &settings(false), &jobs, &[], seed);
    vec![
        ("ours".to_owned(), figures(&ours)),
        ("switched off".to_owned(), figures(&off)),
        ("naive".to_owned(), figures(&naive)),
        ("ours, no fault".to_owned(), figures(&well)),
        ("switched off, no fault".to_owned(), figures(&well_off)),
    ]
}

/// A server four times slower.
pub fn slow(site: &sim::Site, load: f64, seed: u64) -> Vec<patterns::Row> {
    table(site, Badness::Slow, load, seed)
}

/// A server that fails every task at once.
pub fn fails_all(site: &sim::Site, load: f64, seed: u64) -> Vec<patterns::Row> {
    table(site, Badness::FailsAll, load, seed)
}

/// A runner that stands still for good.
pub fn frozen(site: &sim::Site, load: f64, seed: u64) -> Vec<patterns::Row> {
    table(site, Badness::Frozen, load, seed)
}

/// A server whose tasks never end.
pub fn stuck(site: &sim::Site, load: f64, seed: u64) -> Vec<patterns::Row> {
    table(site, Badness::Stuck, load, seed)
}
