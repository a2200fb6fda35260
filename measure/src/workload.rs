//! Workloads: jobs with their arrival times, teams and real run times.

use rand::Rng as _;
use rand::SeedableRng as _;
use smol_str::SmolStr;

/// One job of a workload.
#[derive(Clone, Debug)]
pub struct Job {
    /// Time at which the caller sends the job, microseconds.
    pub at_us: u64,
    /// Team that owns the job.
    pub team: SmolStr,
    /// Kind of its tasks.
    pub kind: SmolStr,
    /// Real run time of each task, milliseconds.
    pub run_ms: Vec<u32>,
    /// Run time that the caller declares for each task, milliseconds; 0 if undeclared.
    pub declared_ms: Vec<u32>,
    /// Deadline, milliseconds after arrival.
    pub deadline_ms: Option<u64>,
    /// Time at which the caller cancels the job, microseconds.
    pub cancel_us: Option<u64>,
    /// Number of times the caller resubmits a refused job, each after the advised
    /// delay.
    pub resubmissions: u32,
    /// Whether its tasks may be started again.
    pub is_idempotent: bool,
    /// Memory of each task.
    pub memory: Memory,
}

/// Memory of a task, mebibytes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Memory {
    /// Memory that the task really uses; 0 if its worker does not measure it.
    pub real_mib: u32,
    /// Memory that the caller declares.
    pub declared_mib: u32,
}

/// Stream of jobs with common parameters.
#[derive(Clone, Debug)]
pub struct Stream {
    /// Team that submits the jobs.
    pub team: SmolStr,
    /// Kind of the tasks.
    pub kind: SmolStr,
    /// Jobs per second.
    pub rate: f64,
    /// Start and end of the stream, milliseconds.
    pub span_ms: (u64, u64),
    /// Minimum and maximum number of tasks per job.
    pub tasks: (u32, u32),
    /// Minimum and maximum run time of a task, milliseconds; drawn log-uniformly.
    pub run_ms: (u32, u32),
    /// Whether the real run time is declared; otherwise none is.
    pub is_declared: bool,
    /// Deadline, milliseconds after arrival.
    pub deadline_ms: Option<u64>,
}

impl Stream {
    /// Returns the mean run time of a task, milliseconds.
    pub fn mean_run_ms(&self) -> f64 {
        let (low, high) = (f64::from(self.run_ms.0), f64::from(self.run_ms.1));
        if self.run_ms.0 == self.run_ms.1 {
            low
        } else {
            (high - low) / (high / low).ln()
        }
    }

    /// Returns the mean slot time of a job, milliseconds.
    pub fn mean_job_ms(&self) -> f64 {
        f64::from(self.tasks.0 + self.tasks.1) / 2.0 * self.mean_run_ms()
    }
}

/// Run times that callers declare in place of the real ones.
#[derive(Clone, Copy, Debug)]
pub enum Declared {
    /// No run time.
    Nothing,
    /// The job's longest run time, for each of its tasks.
    Longest,
    /// The same run time for all tasks, milliseconds.
    Always(u32),
}

/// Returns the jobs with their declared run times replaced.
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

/// Draws the jobs of all streams, in order of arrival.
pub fn draw(streams: &[Stream], seed: u64) -> Vec<Job> {
    let mut jobs = Vec::new();
    for (index, stream) in streams.iter().enumerate() {
        let mut rng =
            rand_chacha::ChaCha8Rng::seed_from_u64(seed.wrapping_add(index as u64 * 7919));
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
        let run_ms: Vec<u32> = (0..count).map(|_| draw_run_ms(stream, rng)).collect();
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
            resubmissions: 0,
            is_idempotent: false,
            memory: Memory::default(),
        });
    }
}

fn draw_run_ms(stream: &Stream, rng: &mut rand_chacha::ChaCha8Rng) -> u32 {
    let (low, high) = (f64::from(stream.run_ms.0), f64::from(stream.run_ms.1));
    let drawn = low * (high / low).powf(rng.random::<f64>());
    round_ms(drawn).max(1)
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
fn round_ms(ms: f64) -> u32 {
    ms.round() as u32
}
