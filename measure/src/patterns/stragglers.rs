//! One task in a hundred takes ten times as long, on any backend server.

use rand::Rng as _;
use rand::SeedableRng as _;

use crate::patterns;
use crate::report;
use crate::sim;
use crate::workload;

const TEAM: &str = "escola";
const KINDS: [&str; 2] = ["check", "lineage"];
const SPAN_MS: (u64, u64) = (0, 30_000);
const WINDOW_MS: (u64, u64) = (3_000, 30_000);

/// Fraction of tasks that are stragglers, and their run-time factor.
const STRAGGLER_FRACTION: f64 = 0.01;
const STRAGGLER_FACTOR: u32 = 10;

/// Compares ejection enabled and disabled. No run times are declared; the load includes
/// the stragglers' work.
pub fn run(site: &sim::Site, load: f64, seed: u64) -> Vec<patterns::Row> {
    let jobs = jobs(site, load, seed);
    let ours = patterns::settings(&[TEAM]);
    let mut without_ejection = ours.clone();
    without_ejection.policy.eject_fraction = 0.0;
    let row = |name: &str, outcome: &sim::Outcome| {
        let capacity = site.capacity();
        let figures = report::figures(site, &jobs, outcome, WINDOW_MS, capacity, |_| true);
        (name.to_owned(), figures)
    };
    vec![
        row("ours", &sim::run(site, &ours, &jobs, &[], seed)),
        row(
            "switched off",
            &sim::run(site, &without_ejection, &jobs, &[], seed),
        ),
        row("naive", &sim::naive::run(site, &jobs, &[], seed)),
    ]
}

fn jobs(site: &sim::Site, load: f64, seed: u64) -> Vec<workload::Job> {
    let longer = 1.0 + STRAGGLER_FRACTION * f64::from(STRAGGLER_FACTOR - 1);
    let stream_load = load / longer / KINDS.len() as f64;
    let streams = KINDS.map(|kind| {
        let mut stream = patterns::stream(site, TEAM, stream_load, SPAN_MS, (1, 8), (50, 1_000));
        stream.kind = kind.into();
        stream
    });
    let drawn = workload::draw(&streams, seed);
    let mut jobs = workload::declare(&drawn, workload::Declared::Nothing);
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
    for run_ms in jobs.iter_mut().flat_map(|job| &mut job.run_ms) {
        if rng.random_bool(STRAGGLER_FRACTION) {
            *run_ms *= STRAGGLER_FACTOR;
        }
    }
    jobs
}
