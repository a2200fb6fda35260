//! Faulty backend servers: slow, failing every task, suspended, or never finishing a
//! task.

use smol_str::SmolStr;

use bulrushtiller::settings;

use crate::patterns;
use crate::report;
use crate::sim;
use crate::workload;

/// Start of the fault, milliseconds.
pub const FAULT_MS: u64 = 10_000;

/// End of the fault, except for a suspended server, milliseconds.
pub const RECOVERED_MS: u64 = 30_000;

/// End of arrivals, milliseconds.
pub const END_MS: u64 = 50_000;

/// Run-time factor of a slow server.
const SLOW_FACTOR: f64 = 4.0;

/// Runner beside the faulty server.
const RUNNER: usize = 4;

const TEAMS: &[&str] = &["escola", "oficina"];

/// Fault of the backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ServerFault {
    /// Tasks take four times as long.
    Slow,
    /// Every task fails immediately.
    FailsAll,
    /// The runner and its server are suspended and never resume.
    Suspended,
    /// Tasks never end, while the runner keeps answering.
    Stuck,
}

impl ServerFault {
    fn faults(self) -> Vec<sim::Fault> {
        let (at_ms, runner) = (FAULT_MS, RUNNER);
        let onset = match self {
            Self::Slow => sim::Fault::Slow {
                at_ms,
                runner,
                factor: SLOW_FACTOR,
            },
            Self::FailsAll => sim::Fault::FailsAll { at_ms, runner },
            Self::Suspended => return vec![sim::Fault::Suspended { at_ms, runner }],
            Self::Stuck => sim::Fault::Stuck { at_ms, runner },
        };
        let recovery = sim::Fault::Recovered {
            at_ms: RECOVERED_MS,
            runner,
        };
        vec![onset, recovery]
    }
}

/// Draws jobs of two teams with two kinds each, at a load relative to the site's slots.
///
/// Jobs have one to eight tasks; every other stream declares its run times.
pub fn jobs(site: &sim::Site, load: f64, seed: u64) -> Vec<workload::Job> {
    let mut streams = Vec::new();
    for team in TEAMS {
        for (kind, is_declared) in [("check", true), ("lineage", false)] {
            let stream_load = load / 4.0;
            let mut stream =
                patterns::stream(site, team, stream_load, (0, END_MS), (1, 8), (50, 1_000));
            stream.kind = SmolStr::new_static(kind);
            stream.is_declared = is_declared;
            streams.push(stream);
        }
    }
    workload::draw(&streams, seed)
}

/// Returns the settings of the runs, with ejection of faulty servers enabled or
/// disabled.
pub fn settings(with_ejection: bool) -> settings::Settings {
    let mut settings = patterns::settings(TEAMS);
    if !with_ejection {
        settings.policy.eject_fraction = 0.0;
    }
    settings
}

/// Runs our dispatcher with the fault and reports the jobs that arrive during it.
pub fn ours(site: &sim::Site, fault: ServerFault, load: f64, seed: u64) -> report::Figures {
    let jobs = jobs(site, load, seed);
    let outcome = sim::run(site, &settings(true), &jobs, &fault.faults(), seed);
    figures_under_fault(site, &jobs, &outcome)
}

/// Reports the jobs that arrive during the fault.
fn figures_under_fault(
    site: &sim::Site,
    jobs: &[workload::Job],
    outcome: &sim::Outcome,
) -> report::Figures {
    let is_counted =
        |job: &workload::Job| (FAULT_MS * 1_000..RECOVERED_MS * 1_000).contains(&job.at_us);
    let window = (FAULT_MS, RECOVERED_MS);
    report::figures(site, jobs, outcome, window, site.capacity(), is_counted)
}

/// Compares our dispatcher with ejection, without it, the naive dispatcher, and both of
/// ours without the fault. All rows count the jobs that arrive during the fault.
pub fn table(site: &sim::Site, fault: ServerFault, load: f64, seed: u64) -> Vec<patterns::Row> {
    let jobs = jobs(site, load, seed);
    let faults = fault.faults();
    let figures = |outcome: &sim::Outcome| figures_under_fault(site, &jobs, outcome);
    let ours = sim::run(site, &settings(true), &jobs, &faults, seed);
    let without_ejection = sim::run(site, &settings(false), &jobs, &faults, seed);
    let naive = sim::naive::run(site, &jobs, &faults, seed);
    let healthy = sim::run(site, &settings(true), &jobs, &[], seed);
    let healthy_without_ejection = sim::run(site, &settings(false), &jobs, &[], seed);
    vec![
        ("ours".to_owned(), figures(&ours)),
        ("switched off".to_owned(), figures(&without_ejection)),
        ("naive".to_owned(), figures(&naive)),
        ("ours, no fault".to_owned(), figures(&healthy)),
        (
            "switched off, no fault".to_owned(),
            figures(&healthy_without_ejection),
        ),
    ]
}

/// A server that is four times slower.
pub fn slow(site: &sim::Site, load: f64, seed: u64) -> Vec<patterns::Row> {
    table(site, ServerFault::Slow, load, seed)
}

/// A server that fails every task immediately.
pub fn fails_all(site: &sim::Site, load: f64, seed: u64) -> Vec<patterns::Row> {
    table(site, ServerFault::FailsAll, load, seed)
}

/// A runner that is suspended and never resumes.
pub fn suspended(site: &sim::Site, load: f64, seed: u64) -> Vec<patterns::Row> {
    table(site, ServerFault::Suspended, load, seed)
}

/// A server whose tasks never end.
pub fn stuck(site: &sim::Site, load: f64, seed: u64) -> Vec<patterns::Row> {
    table(site, ServerFault::Stuck, load, seed)
}
