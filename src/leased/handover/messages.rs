//! Messages between entries about jobs that are handed over.
//!
//! All times named `*_at_ms` are on the peer's clock, so that no two clocks are compared.

use std::sync;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::ids;
use crate::leased::dispatch;
use crate::leased::job;
use crate::wire;

/// Path at which an entry takes in jobs from other entries.
pub const HANDOVER_PATH: &str = "/rmp/v1/leased/handover";

/// Path at which an entry receives the liveness signals of the origins of its jobs.
pub const ORIGIN_PATH: &str = "/rmp/v1/leased/origin";

/// A job that its origin hands over; the answer comes when the job has ended.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Handover {
    /// Always [`wire::VERSION`].
    pub version: u32,
    /// Incarnation of the origin.
    pub origin: ids::Incarnation,
    /// Address of the origin, for the log.
    #[serde(default)]
    pub from: SmolStr,
    /// Expected incarnation of the peer; a handover without it is declined.
    #[serde(default)]
    pub peer: Option<ids::Incarnation>,
    /// Time on the peer's clock at which the origin was alive, never too late; a handover without
    /// it is declined.
    #[serde(default)]
    pub alive_at_ms: Option<u64>,
    /// Sequence number of the handover, increasing within an incarnation of the origin.
    pub number: u64,
    /// Version of the configuration that the origin goes by.
    pub configuration: u64,
    /// Name of the job's queue.
    pub queue: SmolStr,
    /// Id of the job.
    pub job: SmolStr,
    /// Text that tells the backend server what to run.
    pub spec: sync::Arc<str>,
    /// Steps of the job.
    pub steps: Vec<Step>,
    /// Time for which the caller waits on, in milliseconds.
    pub timeout_ms: u64,
    /// Time for which the caller has waited, in milliseconds.
    #[serde(default)]
    pub waited_ms: u64,
}

/// Step of a job on the wire.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Step {
    /// Number of tasks.
    pub tasks: u32,
    /// Resources of each task.
    pub need: wire::Resources,
    /// Approximate run time of each task, in milliseconds.
    pub estimate_ms: u64,
    /// Indices of the steps that have to complete first.
    #[serde(default)]
    pub after: Vec<u16>,
    /// Label that the backend server must have.
    #[serde(default)]
    pub label: Option<SmolStr>,
    /// Rack close to the data.
    #[serde(default)]
    pub rack: Option<SmolStr>,
    /// Maximum number of tasks on one backend server; 0 for no limit.
    #[serde(default)]
    pub max_per_server: u32,
}

impl From<&job::Step> for Step {
    fn from(step: &job::Step) -> Self {
        Self {
            tasks: step.tasks,
            need: step.need,
            estimate_ms: step.estimate_ms,
            after: step.after.clone(),
            label: step.label.clone(),
            rack: step.rack.clone(),
            max_per_server: step.max_per_server,
        }
    }
}

impl From<&Step> for job::RawStep {
    fn from(step: &Step) -> Self {
        Self {
            tasks: step.tasks,
            need: step.need,
            estimate_ms: step.estimate_ms,
            after: step.after.clone(),
            label: step.label.clone(),
            rack: step.rack.clone(),
            max_per_server: step.max_per_server,
        }
    }
}

impl TryFrom<&Handover> for job::Job {
    type Error = job::JobError;

    fn try_from(handover: &Handover) -> Result<Self, job::JobError> {
        let steps = handover.steps.iter().map(job::RawStep::from);
        Self::try_from(job::RawJob {
            id: handover.job.clone(),
            spec: handover.spec.as_ref().to_owned(),
            steps: steps.collect(),
            unsupported: None,
        })
    }
}

/// Why a peer declined a job, of which nothing has run or will run there.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum Decline {
    /// The handover was meant for another incarnation of the peer, or for an unknown one.
    Incarnation,
    /// The handover arrived too late.
    Late,
    /// The peer is short of processor time itself.
    Busy,
    /// The peer has as many jobs of other entries as it takes in.
    Full,
    /// The peer is stopping.
    Leaving,
    /// The peer has another version of the configuration, or lacks the queue.
    Configuration,
    /// The origin has already withdrawn the job.
    Unwanted,
    /// The peer has handed over a job with this id itself.
    Open,
    /// The job is invalid.
    Unreadable,
}

/// How a job ended that a peer had taken in.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum JobEnd {
    /// Every task has completed.
    Completed,
    /// A task failed as often as its queue allows.
    Failed,
    /// Nothing ran, and nothing will.
    NotRun {
        /// Time after which the caller should retry, in milliseconds.
        retry_after_ms: u64,
    },
    /// The deadline passed after something may have run.
    GivenUp,
    /// The caller cancelled the job.
    Cancelled,
    /// The peer withdrew the job, as its origin seemed to be gone; something may have run.
    Withdrawn,
}

impl From<dispatch::Outcome> for JobEnd {
    fn from(outcome: dispatch::Outcome) -> Self {
        match outcome {
            dispatch::Outcome::Completed => Self::Completed,
            dispatch::Outcome::Failed => Self::Failed,
            dispatch::Outcome::NotRun { retry_after_ms } => Self::NotRun { retry_after_ms },
            dispatch::Outcome::GivenUp => Self::GivenUp,
            dispatch::Outcome::Cancelled => Self::Cancelled,
        }
    }
}

quick_error! {
    /// The peer withdrew the job, so its caller has to send it again.
    #[derive(Clone, Copy, Debug, Eq, PartialEq)]
    pub enum EndError {
        /// The job has no outcome.
        Withdrawn {
            display("the peer withdrew the job")
        }
    }
}

impl TryFrom<JobEnd> for dispatch::Outcome {
    type Error = EndError;

    fn try_from(end: JobEnd) -> Result<Self, EndError> {
        match end {
            JobEnd::Completed => Ok(Self::Completed),
            JobEnd::Failed => Ok(Self::Failed),
            JobEnd::NotRun { retry_after_ms } => Ok(Self::NotRun { retry_after_ms }),
            JobEnd::GivenUp => Ok(Self::GivenUp),
            JobEnd::Cancelled => Ok(Self::Cancelled),
            JobEnd::Withdrawn => Err(EndError::Withdrawn),
        }
    }
}

/// What a peer did with a job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum HandoverResult {
    /// The peer didn't take the job in.
    Declined(Decline),
    /// The peer took the job in, and it has ended.
    Ended(JobEnd),
}

/// State of a peer that every answer to an origin carries.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct PeerState {
    /// Incarnation of the peer.
    pub peer: ids::Incarnation,
    /// The peer's clock when the answer was written.
    pub clock_ms: u64,
    /// Lag of the peer's timer, in milliseconds.
    pub lag_ms: u32,
}

/// A peer's answer to a [`Handover`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct HandoverReply {
    /// Always [`wire::VERSION`].
    pub version: u32,
    /// State of the peer.
    pub state: PeerState,
    /// What became of the job.
    pub result: HandoverResult,
}

/// Liveness signal of an origin to a peer that has jobs of it.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct OriginHeartbeat {
    /// Always [`wire::VERSION`].
    pub version: u32,
    /// Incarnation of the origin.
    pub origin: ids::Incarnation,
    /// Expected incarnation of the peer; absent at the first contact.
    #[serde(default)]
    pub peer: Option<ids::Incarnation>,
    /// Time on the peer's clock at which the origin was alive, never too late; absent at the first
    /// contact.
    #[serde(default)]
    pub alive_at_ms: Option<u64>,
    /// Number of the last handover that the origin sent before this signal.
    #[serde(default)]
    pub handed: u64,
    /// Ids of the jobs at the peer that should continue.
    #[serde(default)]
    pub wanted: Vec<SmolStr>,
}

/// A peer's answer to an [`OriginHeartbeat`].
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct OriginReply {
    /// Always [`wire::VERSION`].
    pub version: u32,
    /// State of the peer.
    pub state: PeerState,
    /// Those of the wanted jobs that the peer doesn't have.
    #[serde(default)]
    pub missing: Vec<SmolStr>,
}
