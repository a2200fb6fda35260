//! Runs of an entry at a runner, from their order to their end.

use crate::health;
use crate::ids;
use crate::leased::dispatch::jobs;
use crate::leased::messages;
use crate::wire;

/// Run that was ordered and is not known to have ended.
#[derive(Clone, Debug)]
pub struct PlacedRun {
    /// Key of its job.
    pub job: jobs::JobKey,
    /// Index of its task in the job.
    pub task: usize,
    /// Resources that it takes.
    pub need: wire::Resources,
    /// Incarnation of the runner that received the order.
    pub(super) incarnation: ids::Incarnation,
    /// Whether it waits at the runner for capacity, according to the last report.
    pub waits: bool,
    /// Time on the runner's clock after which the order starts nothing.
    pub(super) valid_until_ms: u64,
    /// Whether the order was sent a second time.
    pub(super) is_resent: bool,
    /// Sequence number of the runner's first message that confirms the run.
    pub(super) first_sequence: Option<u64>,
    /// Time of the order; for a run that had to wait, time of the first report that it runs.
    pub ordered_ms: u64,
    /// Declared run time, in milliseconds.
    pub expected_ms: u64,
    /// Kind of the task, by which runners are compared.
    pub kind: health::Kind,
    /// Sequence number among this entry's runs.
    pub number: u64,
}

/// Run to be added to an order.
#[derive(Clone, Debug)]
pub struct PlannedRun {
    /// Start request for the runner.
    pub start: messages::Start,
    /// Whether the run has to wait there for capacity.
    pub waits: bool,
    /// Key of its job.
    pub job: jobs::JobKey,
    /// Index of its task in the job.
    pub task: usize,
    /// Declared run time, in milliseconds.
    pub expected_ms: u64,
    /// Kind of the task, by which runners are compared.
    pub kind: health::Kind,
    /// Sequence number among this entry's runs.
    pub number: u64,
}

/// What shows that a run has ended or never starts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Evidence {
    /// The runner reported the end.
    Reported,
    /// The runner refused the order.
    Refused,
    /// The order was certainly not sent.
    Unsent,
    /// The runner held the run and no longer does.
    NoLongerHeld,
    /// The runner did not hold the run when its order was no longer valid there.
    NeverHeld,
    /// The next incarnation of the runner is ready, so that nothing of the former one is left.
    NextIncarnation,
    /// All leases have expired.
    LeaseExpired,
}

/// Run that has ended or never started.
#[derive(Clone, Debug)]
pub struct EndedRun {
    /// Id of the run.
    pub id: messages::RunId,
    /// Placement of the run.
    pub placed: PlacedRun,
    /// Outcome of the run.
    pub how: messages::RunOutcome,
    /// Run time, in milliseconds.
    pub ran_ms: u64,
    /// What shows the end.
    pub evidence: Evidence,
}
