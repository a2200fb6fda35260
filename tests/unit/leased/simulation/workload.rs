//! What callers send in a play.

use bulrushtiller::leased::job;
use bulrushtiller::leased::queues;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

use super::site;
use crate::leased::fixtures;

/// How long callers send, in milliseconds.
const LENGTH_MS: u64 = 10_000;

/// One call to come.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// When, from the play's begin.
    pub at_ms: u64,
    /// The entry that it comes to.
    pub entry: usize,
    /// Its queue.
    pub queue: queues::Queue,
    /// What it asks for, its run time as declared.
    pub job: job::Job,
    /// How long each of its tasks really runs, in milliseconds.
    pub run_ms: u64,
    /// How long its caller has waited before, in milliseconds.
    pub waited_ms: u64,
}

/// A queue of checks that goes before the reports.
pub fn checks() -> queues::Queue {
    fixtures::queue()
}

/// A queue of reports.
pub fn reports() -> queues::Queue {
    queues::Queue {
        name: "reports".into(),
        prefix: "/reports/".into(),
        priority: 1,
        ..fixtures::queue()
    }
}

/// How many of the calls come to each entry, by their weights.
type Weights = Vec<u32>;

/// Checks of eight tasks of 60 ms and reports of two of 200 ms, a quarter of the work in checks;
/// `load` is the work offered over the room. Run times spread, and declared ones are off.
pub fn offered(load: f64) -> Vec<Arrival> {
    let site = site::Site::default();
    offered_at(&site, load, &vec![1; site.entries])
}

/// The same load at another site.
pub fn even(site: &site::Site, load: f64) -> Vec<Arrival> {
    offered_at(site, load, &vec![1; site.entries])
}

/// Jobs of two tasks of 2.5 s, which outlast the pause of a caller whose entry died.
pub fn long(site: &site::Site, load: f64) -> Vec<Arrival> {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let job_cores = 2.0 * f64::from(site.task_milli) / 1_000.0 * 2.5;
    let a_second = load * site.cores() / job_cores;
    let mut arrivals = Vec::new();
    let job = (2, site.task_milli, 2_500);
    let weights = vec![1; site.entries];
    add(
        &mut arrivals,
        &mut rng,
        (&reports(), a_second),
        job,
        &weights,
    );
    arrivals
}

/// The same load, of which the entries of the first availability zone get four times as much
/// as others.
pub fn uneven(site: &site::Site, load: f64) -> Vec<Arrival> {
    let weight = |at: usize| if at.is_multiple_of(site.zones) { 4 } else { 1 };
    offered_at(site, load, &(0..site.entries).map(weight).collect())
}

fn offered_at(site: &site::Site, load: f64, weights: &Weights) -> Vec<Arrival> {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let cores = site.cores();
    let task_cores = f64::from(site.task_milli) / 1_000.0;
    let check_cores = 8.0 * task_cores * 0.06;
    let report_cores = 2.0 * task_cores * 0.2;
    let checks_a_second = load * cores * 0.25 / check_cores;
    let reports_a_second = load * cores * 0.75 / report_cores;
    let mut arrivals = Vec::new();
    let (checks, reports) = (checks(), reports());
    let check = (8, site.task_milli, 60);
    let report = (2, site.task_milli, 200);
    add(
        &mut arrivals,
        &mut rng,
        (&checks, checks_a_second),
        check,
        weights,
    );
    add(
        &mut arrivals,
        &mut rng,
        (&reports, reports_a_second),
        report,
        weights,
    );
    arrivals.sort_by_key(|arrival| arrival.at_ms);
    arrivals
}

/// The entry that a call comes to.
fn entry_of(rng: &mut ChaCha8Rng, weights: &Weights) -> usize {
    let mut drawn = rng.random_range(0..weights.iter().sum());
    for (entry, weight) in weights.iter().enumerate() {
        if drawn < *weight {
            return entry;
        }
        drawn -= weight;
    }
    unreachable!("less than the sum");
}

fn add(
    arrivals: &mut Vec<Arrival>,
    rng: &mut ChaCha8Rng,
    (queue, a_second): (&queues::Queue, f64),
    (tasks, task_milli, mean_ms): (u32, u32, u64),
    weights: &Weights,
) {
    let mut at_ms = 0.0;
    loop {
        at_ms += -rng.random::<f64>().max(1e-9).ln() * 1_000.0 / a_second;
        if at_ms >= LENGTH_MS as f64 {
            return;
        }
        let run_ms = spread(rng, mean_ms, 0.3);
        let estimate_ms = spread(rng, run_ms, 0.3);
        let id = arrivals.len() as u64 + 1;
        arrivals.push(Arrival {
            at_ms: whole(at_ms),
            entry: entry_of(rng, weights),
            queue: queue.clone(),
            job: fixtures::job(id, tasks, task_milli, estimate_ms),
            run_ms,
            waited_ms: 0,
        });
    }
}

/// A load, and in its second second all callers of a second before once more: their
/// connections broke, and they come again 1.3 s after their first try.
pub fn coming_again(load: f64) -> Vec<Arrival> {
    let mut arrivals = offered(load);
    let is_cut = |arrival: &&Arrival| (2_000..3_000).contains(&arrival.at_ms);
    let again: Vec<_> = arrivals.iter().filter(is_cut).cloned().collect();
    for (mut arrival, id) in again.into_iter().zip(1_000_000..) {
        arrival.job.id = smol_str::format_smolstr!("{id:016x}");
        arrival.waited_ms = 1_300;
        arrivals.push(arrival);
    }
    arrivals.sort_by_key(|arrival| arrival.at_ms);
    arrivals
}

/// A time up to so much longer or shorter.
fn spread(rng: &mut ChaCha8Rng, mean_ms: u64, by: f64) -> u64 {
    let factor = 1.0 + rng.random_range(-by..by);
    whole(mean_ms as f64 * factor).max(1)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a time within the play"
)]
fn whole(ms: f64) -> u64 {
    ms as u64
}
