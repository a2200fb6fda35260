//! A clock, a few entries and runners, and what passes between them.
//!
//! Both sides are the real decision modules; latencies, service times and faults
//! are the only things made up.

mod callers;
mod events;
mod faults;
mod lives;
pub mod naive;
mod servers;
pub mod site;
pub mod ways;
mod workers;
pub mod world;

pub use site::Fault;
pub use site::Site;
pub use world::run;

use bulrushtiller::api;
use bulrushtiller::codes;

/// What a caller received for one job.
#[derive(Clone, Debug)]
pub struct Received {
    /// Index of the job in its workload.
    pub job: usize,
    /// When the last answer came to the caller, microseconds.
    pub at_us: u64,
    /// When the caller sent it for the last time, microseconds.
    pub sent_us: u64,
    /// Its result code.
    pub code: codes::Code,
    /// Fates of its tasks, as answered.
    pub fates: Vec<api::TaskOutcome>,
    /// When to come back, if it was refused.
    pub retry_after_ms: Option<u64>,
}

/// Everything that a run came to.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// One per job that was answered.
    pub received: Vec<Received>,
    /// Tasks started at workers.
    pub started: u64,
    /// Refusals, also of jobs that came back later.
    pub refusals: u64,
    /// Answers "not run" for jobs of which something had started; must stay 0.
    pub untrue: u64,
    /// Tasks that ended at workers, with their slot time in milliseconds and when
    /// they ended, microseconds.
    pub work: Vec<Work>,
    /// Messages that moved nothing forward.
    pub wasted: u64,
    /// Times an entry took a runner out for what its tasks came to.
    pub ejections: u64,
    /// Starts of a task that had started before, of jobs that are not idempotent; must
    /// stay 0.
    pub double_starts: u64,
    /// Starts in a zone later than the bound after it was taken out.
    pub late_starts: u64,
}

/// One piece of work done at a worker.
#[derive(Clone, Copy, Debug)]
pub struct Work {
    /// Index of the job.
    pub job: usize,
    /// Index of the runner.
    pub runner: usize,
    /// When it ended, microseconds.
    pub at_us: u64,
    /// Slot time, milliseconds.
    pub run_ms: u32,
}
