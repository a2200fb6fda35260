//! JSON messages between callers and entries; `docs/API.md` describes them for clients.

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::codes;
use crate::ids;

/// Body of `POST /v1/jobs` and `POST /v1/requests`.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Submission {
    /// A ticket or an id chosen by the client; if `None`, the entry issues a ticket.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub submission: Option<ids::SubmissionId>,
    /// Deadline for the answer, in milliseconds from arrival.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u64>,
    /// Maximum time that this call waits for the answer, in milliseconds; 0 returns at once.
    #[serde(default)]
    pub wait_ms: u64,
    /// Whether a task that may have run may be started again.
    #[serde(default)]
    pub idempotent: bool,
    /// The tasks; a request must have exactly one.
    pub tasks: Vec<Task>,
}

/// One task as declared by its caller; the declared sizes and times may be inaccurate.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Task {
    /// Kind of task; actual sizes and run times are learned per team and kind.
    #[serde(default)]
    pub kind: SmolStr,
    /// Payload, passed unchanged to the backend server.
    #[serde(default)]
    pub payload: String,
    /// CPU in thousandths of a core.
    #[serde(default)]
    pub cpu_milli: u32,
    /// Memory in mebibytes.
    #[serde(default)]
    pub memory_mib: u32,
    /// Number of accelerators.
    #[serde(default)]
    pub accelerators: u32,
    /// Expected run time in milliseconds; 0 if unknown.
    #[serde(default)]
    pub run_ms: u32,
}

/// Answer about a submission, final or pending.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Answer {
    /// Id for later requests; `None` if nothing was accepted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub submission: Option<ids::SubmissionId>,
    /// Result code.
    pub code: codes::Code,
    /// Text of the code, with details if available.
    pub text: SmolStr,
    /// Whether the answer is final.
    #[serde(rename = "final")]
    pub is_final: bool,
    /// Time to wait before a retry, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// A new ticket for a client whose own id could not be claimed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ticket: Option<ids::SubmissionId>,
    /// One answer per task, in order; outputs are present only if the submission is complete.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub tasks: Vec<TaskAnswer>,
    /// Time from arrival to this answer, in milliseconds.
    #[serde(default)]
    pub elapsed_ms: u64,
}

/// Outcome of a task.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskOutcome {
    /// It has not ended yet.
    Pending,
    /// It ran and succeeded.
    Ran,
    /// It ran and failed, or was stopped.
    Failed,
    /// It was never started and never will be.
    NotRun,
    /// It may have been started; it will not be started again.
    MayHaveRun,
}

/// The part of an answer that concerns one task.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct TaskAnswer {
    /// Outcome of the task.
    pub fate: TaskOutcome,
    /// Result code.
    pub code: codes::Code,
    /// Output of the backend server.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub output: Option<String>,
    /// Runner that ran the task.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub runner: Option<SmolStr>,
    /// Availability zone in which it ran.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<SmolStr>,
    /// Run time in milliseconds.
    #[serde(default)]
    pub run_ms: u64,
}

/// Body of `POST /v1/tickets`.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct TicketOrder {
    /// Number of tickets to issue, 1 to 1000.
    pub count: u32,
}

/// Response to [`TicketOrder`].
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Tickets {
    /// The tickets.
    pub tickets: Vec<ids::SubmissionId>,
    /// Minimum validity of the tickets, in milliseconds.
    pub valid_ms: u64,
}

/// Body of `POST /v1/cancel`.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct CancelOrder {
    /// The submissions to cancel.
    pub submissions: Vec<ids::SubmissionId>,
}

/// Response to [`CancelOrder`].
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Cancelled {
    /// One answer per submission, in order.
    pub answers: Vec<Answer>,
}

/// Response to `GET /status` of any daemon.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Status {
    /// `entry` or `runner`.
    pub role: SmolStr,
    /// Name of the process.
    pub name: SmolStr,
    /// Its incarnation.
    pub incarnation: SmolStr,
    /// Its availability zone.
    pub zone: SmolStr,
    /// Whether the process is stopping.
    pub leaving: bool,
    /// Revision of the settings in force; `None` before the first.
    pub revision: Option<u64>,
    /// Whether settings have been received from the log or a peer; without them nothing
    /// is accepted or started.
    #[serde(default)]
    pub has_settings: bool,
    /// Time since the last successful read of the log, in milliseconds.
    pub log_age_ms: Option<u64>,
    /// Whether the settings are fresh enough for the process to start or dispatch work.
    pub fresh: bool,
    /// Availability zones that are out of service.
    pub zones_out: Vec<SmolStr>,
    /// The entry that schedules while slots are scarce, as known to this entry.
    #[serde(default)]
    pub leader: Option<SmolStr>,
    /// Number of tasks queued on this process.
    pub queued: u64,
    /// Number of tasks running (on a runner) or dispatched (by an entry).
    pub running: u64,
    /// The other processes known to this one.
    pub peers: Vec<PeerStatus>,
}

/// Status of a process as seen by another one.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct PeerStatus {
    /// `entry` or `runner`.
    pub role: SmolStr,
    /// Its name.
    pub name: SmolStr,
    /// Its address.
    pub address: SmolStr,
    /// Its availability zone.
    pub zone: SmolStr,
    /// `alive`, `silent`, `leaving`, `ejected` or `probing`.
    pub state: SmolStr,
    /// Revision of the settings in force there, as last reported.
    pub revision: Option<u64>,
    /// Slots in use, as last reported.
    pub busy: u32,
    /// Total number of slots.
    pub slots: u32,
}
