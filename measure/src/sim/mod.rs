//! Simulation of a site: entries, runners, and the messages between them.
//!
//! Entries and runners are the real decision modules; only latencies, service times and
//! faults are simulated.

mod callers;
mod entry_faults;
mod events;
mod faults;
pub mod naive;
pub mod placement_models;
mod servers;
pub mod site;
mod workers;
pub mod world;

pub use site::Fault;
pub use site::Site;
pub use world::run;

use bulrushtiller::api;
use bulrushtiller::codes;

/// Answer that a caller received for one job.
#[derive(Clone, Debug)]
pub struct Received {
    /// Index of the job in its workload.
    pub job: usize,
    /// Time at which the last answer reached the caller, microseconds.
    pub at_us: u64,
    /// Time at which the caller last sent the job, microseconds.
    pub sent_us: u64,
    /// Result code of the answer.
    pub code: codes::Code,
    /// Outcomes of its tasks, as answered.
    pub outcomes: Vec<api::TaskOutcome>,
    /// Advised delay before the next submission, if the job was refused.
    pub retry_after_ms: Option<u64>,
}

/// Result of a run.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// One answer per answered job.
    pub received: Vec<Received>,
    /// Number of tasks started at workers.
    pub started: u64,
    /// Number of refusals, including those of jobs that were resubmitted.
    pub refusals: u64,
    /// Number of "not run" answers for jobs of which a task had started; must stay 0.
    pub false_not_run: u64,
    /// Tasks that ended at workers.
    pub work: Vec<Work>,
    /// Number of messages that made no progress.
    pub wasted: u64,
    /// Number of times an entry ejected a runner because of its tasks' outcomes.
    pub ejections: u64,
    /// Number of repeated starts of a task in jobs that are not idempotent; must stay
    /// 0.
    pub double_starts: u64,
    /// Number of starts in a zone later than allowed after it was taken out of service.
    pub late_starts: u64,
}

/// Task completed at a worker.
#[derive(Clone, Copy, Debug)]
pub struct Work {
    /// Index of the job.
    pub job: usize,
    /// Index of the runner.
    pub runner: usize,
    /// Time of completion, microseconds.
    pub at_us: u64,
    /// Slot time, milliseconds.
    pub run_ms: u32,
}
