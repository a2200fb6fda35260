//! What callers send and receive, as JSON; `docs/API.md` is the page for strangers.

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::codes;
use crate::ids;

/// `POST /v1/jobs` and `POST /v1/requests`.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Submission {
    /// A ticket, or an id of the client's own; absent: the entry mints a ticket.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub submission: Option<ids::SubmissionId>,
    /// Milliseconds from arrival by which the answer is wanted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u64>,
    /// How long this call waits for the answer, in milliseconds; 0 returns at once.
    #[serde(default)]
    pub wait_ms: u64,
    /// Whether a task may be started again after it may have run.
    #[serde(default)]
    pub idempotent: bool,
    /// The tasks; a request has exactly one.
    pub tasks: Vec<Task>,
}

/// One task as declared by its caller; declared figures may be far off.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Task {
    /// What sort of task it is; sizes and times are learned per team and kind.
    #[serde(default)]
    pub kind: SmolStr,
    /// Passed to the backend server as it is.
    #[serde(default)]
    pub payload: String,
    /// Thousandths of a core.
    #[serde(default)]
    pub cpu_milli: u32,
    /// Mebibytes.
    #[serde(default)]
    pub memory_mib: u32,
    /// Whole accelerators.
    #[serde(default)]
    pub accelerators: u32,
    /// Expected run time in milliseconds; 0: not known.
    #[serde(default)]
    pub run_ms: u32,
}

/// Every answer about a submission, final or pending.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Answer {
    /// The id to ask with; absent when nothing was taken in.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub submission: Option<ids::SubmissionId>,
    /// The numbered result.
    pub code: codes::Code,
    /// The code in words, with details where there are some.
    pub text: SmolStr,
    /// Whether this is the last word.
    #[serde(rename = "final")]
    pub is_final: bool,
    /// When to come back, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// A fresh ticket for a client whose own id could not be claimed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ticket: Option<ids::SubmissionId>,
    /// One per task, in order; outputs only when the whole answer is complete.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub tasks: Vec<TaskAnswer>,
    /// Milliseconds from arrival to this answer.
    #[serde(default)]
    pub elapsed_ms: u64,
}

/// What became of a task.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskOutcome {
    /// Not decided yet.
    Pending,
    /// It ran and succeeded.
    Ran,
    /// It ran and failed, or was stopped.
    Failed,
    /// It was never started and never will be.
    NotRun,
    /// It may have been started; it won't be again.
    MayHaveRun,
}

/// One task's part of an answer.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct TaskAnswer {
    /// What became of it.
    pub fate: TaskOutcome,
    /// Why.
    pub code: codes::Code,
    /// What the backend server answered.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub output: Option<String>,
    /// The runner that ran it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub runner: Option<SmolStr>,
    /// The availability zone it ran in.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<SmolStr>,
    /// Milliseconds it ran for.
    #[serde(default)]
    pub run_ms: u64,
}

/// `POST /v1/tickets`: how many are wanted, and what is given.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct TicketRequest {
    /// How many, 1 to 1000.
    pub count: u32,
}

/// The tickets minted, valid for at least `valid_ms`.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Tickets {
    /// The tickets.
    pub tickets: Vec<ids::SubmissionId>,
    /// Milliseconds for which they are surely accepted.
    pub valid_ms: u64,
}

/// `POST /v1/cancel`: many at once.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct CancelRequest {
    /// The submissions to cancel.
    pub submissions: Vec<ids::SubmissionId>,
}

/// One answer for each submission of a [`CancelRequest`], in order.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Cancelled {
    /// The answers.
    pub answers: Vec<Answer>,
}

/// `GET /status` of any daemon.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Status {
    /// `entry` or `runner`.
    pub role: SmolStr,
    /// The process's name.
    pub name: SmolStr,
    /// Its life.
    pub incarnation: SmolStr,
    /// Its availability zone.
    pub zone: SmolStr,
    /// Whether it is stopping.
    pub leaving: bool,
    /// Revision of the settings in force here; absent before the first.
    pub revision: Option<u64>,
    /// Whether the settings come from the log or a peer; without them nothing is
    /// taken in or started.
    #[serde(default)]
    pub has_settings: bool,
    /// Milliseconds since the log was last read successfully.
    pub log_age_ms: Option<u64>,
    /// Whether this process may start or hand out work now.
    pub fresh: bool,
    /// Availability zones that are out of service.
    pub zones_out: Vec<SmolStr>,
    /// The entry that decides while slots are scarce, as an entry sees it.
    #[serde(default)]
    pub leader: Option<SmolStr>,
    /// Tasks waiting here.
    pub queued: u64,
    /// Tasks running here (runner) or handed out (entry).
    pub running: u64,
    /// What it knows of the other processes.
    pub peers: Vec<PeerStatus>,
}

/// One process as another sees it.
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
    /// Revision of the settings in force there, as last heard.
    pub revision: Option<u64>,
    /// Slots in use, as last heard.
    pub busy: u32,
    /// Slots in all.
    pub slots: u32,
}
