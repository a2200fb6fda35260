//! Jobs to submit: when, whose, and how long each task really takes.

use rand::Rng as _;
use rand::SeedableRng as _;
use smol_str::SmolStr;

/// One job of a workload.
#[derive(Clone, Debug)]
pub struct Job {
    /// When its caller sends it, microseconds.
    pub at_us: u64,
    /// Whose it is.
    pub team: SmolStr,
    /// What sort of tasks it has.
    pub kind: SmolStr,
    /// Real run time of each task, milliseconds.
    pub run_ms: Vec<u32>,
    /// What the caller declares for each task, milliseconds; 0: nothing.
    pub declared_ms: Vec<u32>,
    /// Deadline, milliseconds after arrival.
    pub deadline_ms: Option<u64>,
    /// When its caller cancels it, microseconds.
    pub cancel_us: Option<u64>,
    /// How often its caller comes back at the time it was told when it is refused.
    pub returns: u32,
    /// Whether its tasks may be started again.
    pub is_idempotent: bool,
    /// Memory of each of its tasks.
    pub memory: Memory,
}

/// Memory of a task, mebibytes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Memory {
    /// What it really takes; 0: its worker does not observe it.
    pub real_mib: u32,
    /// What its caller declares.
    pub declared_mib: u32,
}

/// A stream of like jobs.
#[derive(Clone, Debug)]
pub struct Stream {
    /// Whose.
    pub team: SmolStr,
    /// What sort.
    pub kind: SmolStr,
    /// Jobs a second.
    pub rate: f64,
    /// First and last moment, milliseconds.
    pub span_ms: (u64, u64),
    /// Fewest and most tasks of a job.
    pub tasks: (u32, u32),
    /// Shortest and longest run time, milliseconds; evenly on a log scale.
    pub run_ms: (u32, u32),
    /// Whether the declared time is the real one; else nothing is declared.
    pub is_declared: bool,
    /// Deadline, milliseconds after arrival.
    pub deadline_ms: Option<u64>,
}

impl Stream {
    /// Mean run time of a task, milliseconds.
    pub fn mean_run_ms(&self) -> f64 {
        let (low, high) = (f64::from(self.run_ms.0), f64::from(self.run_ms.1));
        if self.run_ms.0 == self.run_ms.1 {
            low
        } else {
            (high - low) / (high / low).ln()
        }
    }

    /// Mean slot time of a job, milliseconds.
    pub fn mean_job_ms(&self) -> f64 {
        f64::from(self.tasks.0 + self.tasks.1) / 2.0 * self.mean_run_ms()
    }
}

/// What callers declare in place of the real run times.
#[derive(Clone, Copy, Debug)]
pub enum Declared {
    /// Nothing.
    Nothing,
    /// The job's longest run time, for each of its tasks.
    Longest,
    /// A figure for all, in milliseconds.
    Always(u32),
}

/// The same jobs with other declarations.
pub fn declare(jobs: &[Job], declared: Declared) -> Vec<Job> {
    let mut jobs = jobs.to_vec();
    for job in &mut jobs {
        let longest = job.run_ms.iter().copied().max().unwrap_or(0);
        let ms = match declared {
            Declared::Nothing => 0,
            Declared::Longest => longest,
            Declared::Always(ms) => ms,
        };
        job.declared_ms = vec![ms; job.run_ms.len()];
    }
    jobs
}

/// Draws the jobs of several streams, in order of their times.
pub fn draw(streams: &[Stream], seed: u64) -> Vec<Job> {
    let mut jobs = Vec::new();
    for (at, stream) in streams.iter().enumerate() {
        let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed.wrapping_add(at as u64 * 7919));
        draw_stream(stream, &mut rng, &mut jobs);
    }
    jobs.sort_by_key(|job| job.at_us);
    jobs
}

fn draw_stream(stream: &Stream, rng: &mut rand_chacha::ChaCha8Rng, jobs: &mut Vec<Job>) {
    let mut at_us = stream.span_ms.0 * 1_000;
    loop {
        let gap = -(1.0 - rng.random::<f64>()).ln() / stream.rate;
        at_us += micros(gap);
        if at_us >= stream.span_ms.1 * 1_000 {
            return;
        }
        let count = rng.random_range(stream.tasks.0..=stream.tasks.1);
        let run_ms: Vec<u32> = (0..count).map(|_| draw_run(stream, rng)).collect();
        jobs.push(Job {
            at_us,
            team: stream.team.clone(),
            kind: stream.kind.clone(),
            declared_ms: if stream.is_declared {
                run_ms.clone()
            } else {
                vec![0; run_ms.len()]
            },
            run_ms,
            deadline_ms: stream.deadline_ms,
            cancel_us: None,
            returns: 0,
            is_idempotent: false,
            memory: Memory::default(),
        });
    }
}

fn draw_run(stream: &Stream, rng: &mut rand_chacha::ChaCha8Rng) -> u32 {
    let (low, high) = (f64::from(stream.run_ms.0), f64::from(stream.run_ms.1));
    let drawn = low * (high / low).powf(rng.random::<f64>());
    whole(drawn).max(1)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "run times and gaps are small and not negative"
)]
fn micros(seconds: f64) -> u64 {
    (seconds * 1e6).round() as u64
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "run times and gaps are small and not negative"
)]
fn whole(ms: f64) -> u32 {
    ms.round() as u32
}
