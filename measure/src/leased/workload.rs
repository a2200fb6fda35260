//! Calls of a simulation.

use bulrushtiller::leased::job;
use bulrushtiller::leased::queues;
use bulrushtiller::wire;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use smol_str::SmolStr;

use crate::leased::site;

/// How long callers send calls, in milliseconds.
const DURATION_MS: u64 = 10_000;

/// Seed of the calls that the presets draw.
const PRESET_SEED: u64 = 7;

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
    /// Run time of each task on a sound backend server of speed 1, in milliseconds.
    pub run_ms: Vec<u64>,
    /// How long the caller has waited before it resent the job, in milliseconds.
    pub waited_ms: u64,
}

impl Arrival {
    /// Returns the run time of the longest task on a sound backend server of speed 1, in
    /// milliseconds.
    pub fn longest_ms(&self) -> u64 {
        self.run_ms.iter().copied().max().unwrap_or(0)
    }

    /// Returns the time that the caller allows, in milliseconds.
    pub fn objective_ms(&self, site: &site::Site) -> u64 {
        let longest_ms = self.longest_ms() as f64 * site.mean_run_factor();
        whole_ms(longest_ms * self.queue.stretch) + self.queue.target_ms
    }

    /// Returns the work of all tasks, in core-seconds.
    pub fn core_s(&self) -> f64 {
        let milli = self.job.steps.first().map_or(0, |step| step.need.cpu_milli);
        let run_ms: u64 = self.run_ms.iter().sum();
        f64::from(milli) * run_ms as f64 / 1e6
    }
}

/// Distribution of a size or a time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Spread {
    /// Values differ from the mean by up to a ratio of it, all equally likely.
    Even {
        /// Mean of the values.
        mean: f64,
        /// Largest difference from the mean, as a ratio of the mean.
        ratio: f64,
    },
    /// Values are log-normal, at most four times the mean.
    LogNormal {
        /// Mean of the values.
        mean: f64,
        /// Standard deviation of the logarithm.
        sigma: f64,
    },
}

/// Largest value of a log-normal distribution, as a multiple of its mean.
const MAX_FACTOR: f64 = 4.0;

impl Spread {
    const fn exactly(mean: f64) -> Self {
        Self::Even { mean, ratio: 0.0 }
    }

    /// Returns the mean of the values.
    pub const fn mean(self) -> f64 {
        match self {
            Self::Even { mean, .. } | Self::LogNormal { mean, .. } => mean,
        }
    }

    fn draw(self, rng: &mut ChaCha8Rng) -> f64 {
        match self {
            Self::Even { mean, ratio } => mean * draw_factor(rng, ratio),
            Self::LogNormal { mean, sigma } => {
                let factor = (sigma * draw_normal(rng) - sigma * sigma / 2.0).exp();
                mean * factor.min(MAX_FACTOR)
            }
        }
    }
}

/// Draws from the standard normal distribution, by the Box-Muller transform.
fn draw_normal(rng: &mut ChaCha8Rng) -> f64 {
    let radius = (-2.0 * rng.random::<f64>().max(1e-12).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.random::<f64>()).cos()
}

/// Calls of one queue.
#[derive(Clone, Debug)]
pub struct Kind {
    /// Queue of the calls.
    pub queue: queues::Queue,
    /// Calls per second at all entries.
    pub per_s: f64,
    /// Tasks of a job.
    pub tasks: Spread,
    /// Processor demand of each task, in thousandths of a core.
    pub task_milli: Spread,
    /// Run time of a job's tasks on a sound backend server, in milliseconds.
    pub run_ms: Spread,
    /// Largest difference of a task's run time from that of its job, as a ratio.
    pub uneven: f64,
    /// Largest difference of the declared run time from the actual one, as a ratio.
    pub estimate_error: f64,
    /// Jobs that run far longer than the others of the kind.
    pub tail: Tail,
}

/// Jobs of a kind that run far longer than the others.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Tail {
    /// Share of the jobs.
    pub share: f64,
    /// Multiple of the run time that they would have otherwise.
    pub factor: f64,
}

impl Tail {
    /// Draws the factor on the run time of one job.
    fn draw(self, rng: &mut ChaCha8Rng) -> f64 {
        if self.share > 0.0 && rng.random_bool(self.share) {
            self.factor
        } else {
            1.0
        }
    }

    /// Returns the mean factor on the run time of a job.
    fn mean_factor(self) -> f64 {
        self.share.mul_add(self.factor - 1.0, 1.0)
    }
}

impl Kind {
    /// Returns the mean work of a job, in core-seconds.
    pub fn core_s(&self) -> f64 {
        let run_ms = self.run_ms.mean() * self.tail.mean_factor();
        self.tasks.mean() * self.task_milli.mean() * run_ms / 1e6
    }

    fn draw(&self, rng: &mut ChaCha8Rng, id: u64) -> (job::Job, Vec<u64>) {
        let job_ms = self.run_ms.draw(rng) * self.tail.draw(rng);
        let tasks = to_u32(self.tasks.draw(rng).round()).max(1);
        let task_milli = to_u32(self.task_milli.draw(rng));
        let uneven = self.uneven;
        let task_ms = |_| whole_ms(job_ms * draw_factor(rng, uneven)).max(1);
        let run_ms: Vec<_> = (0..tasks).map(task_ms).collect();
        let estimate_ms = whole_ms(job_ms * draw_factor(rng, self.estimate_error)).max(1);
        (new_job(id, tasks, task_milli, estimate_ms), run_ms)
    }
}

/// A time during which more or fewer calls arrive.
#[derive(Clone, Debug, PartialEq)]
pub struct Burst {
    /// Start, in milliseconds from the first possible arrival.
    pub from_ms: u64,
    /// End, in milliseconds from the first possible arrival.
    pub until_ms: u64,
    /// Multiple of the usual number of calls.
    pub factor: f64,
    /// Queue that the burst concerns; all if absent.
    pub queue: Option<SmolStr>,
    /// Availability zone whose entries the burst concerns; all if absent.
    pub zone: Option<SmolStr>,
}

impl Burst {
    fn applies(&self, at_ms: u64, queue: &str, zone: &str) -> bool {
        (self.from_ms..self.until_ms).contains(&at_ms)
            && self.queue.as_ref().is_none_or(|only| only == queue)
            && self.zone.as_ref().is_none_or(|only| only == zone)
    }
}

/// A sinusoidal change of the number of calls.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Wave {
    /// Largest difference from the mean, as a ratio of the mean.
    pub swing: f64,
    /// Period, in milliseconds; 0 if there is no wave.
    pub period_ms: f64,
}

impl Wave {
    fn factor(self, at_ms: u64) -> f64 {
        if self.period_ms <= 0.0 {
            return 1.0;
        }
        let phase = at_ms as f64 / self.period_ms * std::f64::consts::TAU;
        1.0 + self.swing * phase.sin()
    }
}

/// All calls that callers will send.
#[derive(Clone, Debug)]
pub struct Offered {
    /// Kinds of calls.
    pub kinds: Vec<Kind>,
    /// How long callers send calls, in milliseconds.
    pub duration_ms: u64,
    /// Change of the number of calls over time.
    pub wave: Wave,
    /// Times with more or fewer calls.
    pub bursts: Vec<Burst>,
}

impl Offered {
    /// Returns the factor on the usual number of a queue's calls at one entry.
    fn factor(&self, site: &site::Site, at_ms: u64, queue: &str, entry: usize) -> f64 {
        let zone = site.zone_of(entry);
        let bursts = self.bursts.iter();
        let applying = bursts.filter(|burst| burst.applies(at_ms, queue, &zone));
        applying.map(|burst| burst.factor).product::<f64>() * self.wave.factor(at_ms)
    }

    /// Draws the calls for a site; all entries usually receive the same number.
    pub fn draw(&self, site: &site::Site, seed: u64) -> Vec<Arrival> {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut arrivals = Vec::new();
        for kind in &self.kinds {
            let per_s = kind.per_s / site.entries as f64;
            for entry in 0..site.entries {
                let factor = |at_ms| self.factor(site, at_ms, &kind.queue.name, entry);
                let calls = Source {
                    kind,
                    duration_ms: self.duration_ms,
                    per_s,
                };
                calls.add(&mut arrivals, &mut rng, factor, |_| entry);
            }
        }
        arrivals.sort_by_key(|arrival| arrival.at_ms);
        arrivals
    }
}

/// Calls of one kind at a mean rate.
struct Source<'a> {
    kind: &'a Kind,
    duration_ms: u64,
    per_s: f64,
}

impl Source<'_> {
    /// Adds calls with exponential gaps; `factor` changes the rate over time.
    fn add(
        &self,
        arrivals: &mut Vec<Arrival>,
        rng: &mut ChaCha8Rng,
        factor: impl Fn(u64) -> f64,
        entry: impl Fn(&mut ChaCha8Rng) -> usize,
    ) {
        let mut at_ms = 0.0;
        loop {
            let per_s = self.per_s * factor(whole_ms(at_ms)).max(1e-3);
            at_ms += -rng.random::<f64>().max(1e-9).ln() * 1_000.0 / per_s;
            if at_ms >= self.duration_ms as f64 {
                return;
            }
            let (job, run_ms) = self.kind.draw(rng, arrivals.len() as u64 + 1);
            arrivals.push(Arrival {
                at_ms: whole_ms(at_ms),
                entry: entry(rng),
                queue: self.kind.queue.clone(),
                job,
                run_ms,
                waited_ms: 0,
            });
        }
    }
}

/// Returns a queue of checks, which take precedence over reports.
pub fn checks() -> queues::Queue {
    queues::Queue {
        name: "checks".into(),
        host: "school.example".into(),
        prefix: "/checks/".into(),
        service: site::SERVICE.into(),
        timeout_ms: 1_500,
        target_ms: 60,
        stretch: 1.6,
        max_attempts: 2,
        priority: 0,
        needs_advice: false,
    }
}

/// Returns a queue of reports.
pub fn reports() -> queues::Queue {
    queues::Queue {
        name: "reports".into(),
        prefix: "/reports/".into(),
        priority: 1,
        ..checks()
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
    let mut rng = ChaCha8Rng::seed_from_u64(PRESET_SEED);
    let weights = vec![1; site.entries];
    let kind = preset(site, &reports(), (2.0, 2_500.0), load);
    let mut arrivals = Vec::new();
    add(&mut arrivals, &mut rng, &kind, &weights);
    arrivals
}

/// Returns the same calls, of which the entries of the first availability zone receive four times
/// as many as others.
pub fn uneven(site: &site::Site, load: f64) -> Vec<Arrival> {
    let weight = |at: usize| if at.is_multiple_of(site.zones) { 4 } else { 1 };
    offered_at(site, load, &(0..site.entries).map(weight).collect())
}

fn offered_at(site: &site::Site, load: f64, weights: &Weights) -> Vec<Arrival> {
    let mut rng = ChaCha8Rng::seed_from_u64(PRESET_SEED);
    let kinds = [
        preset(site, &checks(), (8.0, 60.0), load * 0.25),
        preset(site, &reports(), (2.0, 200.0), load * 0.75),
    ];
    let mut arrivals = Vec::new();
    for kind in &kinds {
        add(&mut arrivals, &mut rng, kind, weights);
    }
    arrivals.sort_by_key(|arrival| arrival.at_ms);
    arrivals
}

/// Largest difference of run times, and of declared from actual ones, in the presets.
const PRESET_RATIO: f64 = 0.3;

/// Returns the kind of jobs with this number of tasks and this run time that offers `load` times
/// the capacity of the site.
fn preset(site: &site::Site, queue: &queues::Queue, size: (f64, f64), load: f64) -> Kind {
    let (tasks, run_ms) = size;
    let kind = Kind {
        queue: queue.clone(),
        per_s: 0.0,
        tasks: Spread::exactly(tasks),
        task_milli: Spread::exactly(f64::from(site.task_milli)),
        run_ms: Spread::Even {
            mean: run_ms,
            ratio: PRESET_RATIO,
        },
        uneven: 0.0,
        estimate_error: PRESET_RATIO,
        tail: Tail::default(),
    };
    Kind {
        per_s: load * site.cores() / kind.core_s(),
        ..kind
    }
}

fn add(arrivals: &mut Vec<Arrival>, rng: &mut ChaCha8Rng, kind: &Kind, weights: &Weights) {
    let calls = Source {
        kind,
        duration_ms: DURATION_MS,
        per_s: kind.per_s,
    };
    calls.add(arrivals, rng, |_| 1.0, |rng| draw_entry(rng, weights));
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

fn new_job(id: u64, tasks: u32, cpu_milli: u32, estimate_ms: u64) -> job::Job {
    let raw = job::RawJob {
        id: smol_str::format_smolstr!("{id:016x}"),
        spec: "check".to_owned(),
        steps: vec![job::RawStep {
            tasks,
            need: wire::Resources {
                cpu_milli,
                memory_mib: 0,
                accelerators: 0,
            },
            estimate_ms,
            ..job::RawStep::default()
        }],
        unsupported: None,
    };
    job::Job::try_from(raw).expect("a valid job")
}

/// Draws a factor that differs from 1 by up to the given ratio.
fn draw_factor(rng: &mut ChaCha8Rng, ratio: f64) -> f64 {
    if ratio > 0.0 {
        1.0 + rng.random_range(-ratio..ratio)
    } else {
        1.0
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a time within the simulation"
)]
pub(super) fn whole_ms(ms: f64) -> u64 {
    ms as u64
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a small number that is not negative"
)]
fn to_u32(value: f64) -> u32 {
    value as u32
}
