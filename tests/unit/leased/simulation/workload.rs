//! Calls of a simulation.

use bulrushtiller::leased::job;
use bulrushtiller::leased::queues;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

use super::site;
use crate::leased::fixtures;

/// How long callers send calls, in milliseconds.
const DURATION_MS: u64 = 10_000;

/// A call that will arrive.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Time of arrival, in milliseconds from the start of the simulation.
    pub at_ms: u64,
    /// Index of the entry that receives the call.
    pub entry: usize,
    /// Queue of the job.
    pub queue: queues::Queue,
    /// The job, with its declared run time.
    pub job: job::Job,
    /// Actual run time of each task, in milliseconds.
    pub run_ms: u64,
    /// How long the caller has waited before it resent the job, in milliseconds.
    pub waited_ms: u64,
}

/// Returns a queue of checks, which take precedence over reports.
pub fn checks() -> queues::Queue {
    fixtures::queue()
}

/// Returns a queue of reports.
pub fn reports() -> queues::Queue {
    queues::Queue {
        name: "reports".into(),
        prefix: "/reports/".into(),
        priority: 1,
        ..fixtures::queue()
    }
}

/// Relative numbers of calls that the entries receive.
type Weights = Vec<u32>;

/// Returns checks of eight tasks of 60 ms and reports of two tasks of 200 ms, with a quarter of the
/// work in checks. `load` is the ratio of work to capacity. Run times vary, and so do declared run
/// times from actual ones.
pub fn offered(load: f64) -> Vec<Arrival> {
    let site = site::Site::default();
    offered_at(&site, load, &vec![1; site.entries])
}

/// Returns the same calls for another site.
pub fn even(site: &site::Site, load: f64) -> Vec<Arrival> {
    offered_at(site, load, &vec![1; site.entries])
}

/// Returns jobs of two tasks of 2.5 s, which run longer than the pause of a caller whose entry
/// crashed.
pub fn long(site: &site::Site, load: f64) -> Vec<Arrival> {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let job_cores = 2.0 * f64::from(site.task_milli) / 1_000.0 * 2.5;
    let per_second = load * site.cores() / job_cores;
    let mut arrivals = Vec::new();
    let job = (2, site.task_milli, 2_500);
    let weights = vec![1; site.entries];
    add(
        &mut arrivals,
        &mut rng,
        (&reports(), per_second),
        job,
        &weights,
    );
    arrivals
}

/// Returns the same calls, of which the entries of the first availability zone receive four times
/// as many as others.
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
    let checks_per_second = load * cores * 0.25 / check_cores;
    let reports_per_second = load * cores * 0.75 / report_cores;
    let mut arrivals = Vec::new();
    let (checks, reports) = (checks(), reports());
    let check = (8, site.task_milli, 60);
    let report = (2, site.task_milli, 200);
    add(
        &mut arrivals,
        &mut rng,
        (&checks, checks_per_second),
        check,
        weights,
    );
    add(
        &mut arrivals,
        &mut rng,
        (&reports, reports_per_second),
        report,
        weights,
    );
    arrivals.sort_by_key(|arrival| arrival.at_ms);
    arrivals
}

/// Draws the entry that receives a call.
fn draw_entry(rng: &mut ChaCha8Rng, weights: &Weights) -> usize {
    let mut drawn = rng.random_range(0..weights.iter().sum());
    for (entry, weight) in weights.iter().enumerate() {
        if drawn < *weight {
            return entry;
        }
        drawn -= weight;
    }
    unreachable!("the drawn number is less than the sum of the weights");
}

fn add(
    arrivals: &mut Vec<Arrival>,
    rng: &mut ChaCha8Rng,
    (queue, per_second): (&queues::Queue, f64),
    (tasks, task_milli, mean_ms): (u32, u32, u64),
    weights: &Weights,
) {
    let mut at_ms = 0.0;
    loop {
        at_ms += -rng.random::<f64>().max(1e-9).ln() * 1_000.0 / per_second;
        if at_ms >= DURATION_MS as f64 {
            return;
        }
        let run_ms = vary(rng, mean_ms, 0.3);
        let estimate_ms = vary(rng, run_ms, 0.3);
        let id = arrivals.len() as u64 + 1;
        arrivals.push(Arrival {
            at_ms: whole_ms(at_ms),
            entry: draw_entry(rng, weights),
            queue: queue.clone(),
            job: fixtures::job(id, tasks, task_milli, estimate_ms),
            run_ms,
            waited_ms: 0,
        });
    }
}

/// Returns the calls of [`offered`], and from 2 s to 3 s as many resent ones: their connections
/// broke, and the callers resend 1.3 s after the first attempt.
pub fn resent(load: f64) -> Vec<Arrival> {
    let mut arrivals = offered(load);
    let is_cut = |arrival: &&Arrival| (2_000..3_000).contains(&arrival.at_ms);
    let repeated: Vec<_> = arrivals.iter().filter(is_cut).cloned().collect();
    for (mut arrival, id) in repeated.into_iter().zip(1_000_000..) {
        arrival.job.id = smol_str::format_smolstr!("{id:016x}");
        arrival.waited_ms = 1_300;
        arrivals.push(arrival);
    }
    arrivals.sort_by_key(|arrival| arrival.at_ms);
    arrivals
}

/// Draws a time that differs from `mean_ms` by up to the given ratio.
fn vary(rng: &mut ChaCha8Rng, mean_ms: u64, ratio: f64) -> u64 {
    let factor = 1.0 + rng.random_range(-ratio..ratio);
    whole_ms(mean_ms as f64 * factor).max(1)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a time within the simulation"
)]
fn whole_ms(ms: f64) -> u64 {
    ms as u64
}
