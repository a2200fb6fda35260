//! Inaccurate memory declarations, at workers that page when their memory is
//! overcommitted.

use crate::patterns;
use crate::report;
use crate::sim;
use crate::workload;

const TEAM: &str = "escola";
const SPAN_MS: (u64, u64) = (0, 30_000);
const WINDOW_MS: (u64, u64) = (5_000, 30_000);

/// Kind of tasks: its name, fraction of the load, and memory.
struct Kind {
    name: &'static str,
    load_fraction: f64,
    memory: workload::Memory,
}

/// Five tasks of the first kind fit into 32 GiB beside some of the second. By their
/// declarations eight of the first would fit, and no more than two of the second.
const KINDS: [Kind; 2] = [
    Kind {
        name: "declared-low",
        load_fraction: 0.5,
        memory: workload::Memory {
            real_mib: 6_144,
            declared_mib: 256,
        },
    },
    Kind {
        name: "declared-high",
        load_fraction: 0.5,
        memory: workload::Memory {
            real_mib: 512,
            declared_mib: 16_384,
        },
    },
];

/// Compares learned sizes, declared sizes, and no sizes, over all jobs.
pub fn run(site: &sim::Site, load: f64, seed: u64) -> Vec<patterns::Row> {
    let jobs = jobs(site, load, seed);
    let declared = patterns::without_learning(&jobs);
    let mut unsized_jobs = declared.clone();
    for job in &mut unsized_jobs {
        job.memory.declared_mib = 0;
    }
    let settings = patterns::settings(&[TEAM]);
    let row = |name: &str, jobs: &[workload::Job]| {
        let outcome = sim::run(site, &settings, jobs, &[], seed);
        let capacity = site.capacity();
        let is_counted = |job: &workload::Job| job.at_us >= WINDOW_MS.0 * 1_000;
        let figures = report::figures(site, jobs, &outcome, WINDOW_MS, capacity, is_counted);
        (name.to_owned(), figures)
    };
    vec![
        row("ours", &jobs),
        row("declared sizes at their word", &declared),
        row("no accounting", &unsized_jobs),
    ]
}

fn jobs(site: &sim::Site, load: f64, seed: u64) -> Vec<workload::Job> {
    let streams = KINDS.map(|kind| {
        let load = load * kind.load_fraction;
        let mut stream = patterns::stream(site, TEAM, load, SPAN_MS, (1, 8), (50, 1_000));
        stream.kind = kind.name.into();
        stream
    });
    let mut jobs = workload::draw(&streams, seed);
    for job in &mut jobs {
        let mut kinds = KINDS.iter();
        if let Some(kind) = kinds.find(|kind| job.kind == kind.name) {
            job.memory = kind.memory;
        }
    }
    jobs
}
