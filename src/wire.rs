//! Messages between processes: `MessagePack` maps over HTTP POST.
//!
//! Fields are named on the wire and unknown fields are ignored, so that two releases can
//! run side by side; `docs/PROTOCOL.md` specifies the protocol.

use serde::Deserialize;
use serde::Serialize;
use serde::de;
use smol_str::SmolStr;

use crate::api;
use crate::codes;
use crate::ids;
use crate::settings;

/// Protocol version of this release, carried in every message.
pub const VERSION: u32 = 1;

/// Path for heartbeats from runners and entries to an entry.
pub const HEARTBEAT_PATH: &str = "/rmp/v1/heartbeat";
/// Path on which an entry dispatches a task to a runner and waits for its outcome.
pub const DISPATCH_PATH: &str = "/rmp/v1/dispatch";
/// Path on which an entry queries attempts at a runner and bars those not started.
pub const FENCE_PATH: &str = "/rmp/v1/fence";
/// Path on which any process fetches the settings in force from another.
pub const SETTINGS_PATH: &str = "/rmp/v1/settings";
/// Path on which an entry forwards a caller's call to the entry that owns the submission.
pub const FORWARD_PATH: &str = "/rmp/v1/forward";

/// Role of a process.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Accepts calls from callers.
    Entry,
    /// Runs beside one backend server.
    Runner,
}

/// Identity and address of a process.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Peer {
    /// Role of the process.
    pub role: Role,
    /// Name of the process.
    pub name: SmolStr,
    /// Incarnation of the process.
    pub incarnation: ids::Incarnation,
    /// Its availability zone.
    pub zone: SmolStr,
    /// Its rack.
    pub rack: SmolStr,
    /// Listen address, `IP:PORT`.
    pub address: SmolStr,
}

/// Evidence of how current the sender's settings are.
///
/// It holds ages instead of times, since clocks are not compared between instances; the
/// receiver adds the time since it sent the request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Evidence {
    /// Time since the log was read to its end, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub log_age_ms: Option<u64>,
    /// Time since a reply from a process in another availability zone, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub foreign_age_ms: Option<u64>,
}

/// Resources that a worker has or a task uses.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Resources {
    /// CPU in thousandths of a core.
    pub cpu_milli: u32,
    /// Memory in mebibytes.
    pub memory_mib: u32,
    /// Number of accelerators.
    pub accelerators: u32,
}

/// Numbers of runs that ended at a runner since it started.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ResultCounts {
    /// Runs that completed in a time that their declared run time explains.
    pub sound: u64,
    /// Runs that failed, or ran for far longer than declared.
    pub unsound: u64,
}

impl Resources {
    /// Returns the saturating sum of each resource.
    #[must_use]
    pub const fn plus(&self, other: &Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_add(other.cpu_milli),
            memory_mib: self.memory_mib.saturating_add(other.memory_mib),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Returns the saturating difference of each resource.
    #[must_use]
    pub const fn minus(&self, other: &Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_sub(other.cpu_milli),
            memory_mib: self.memory_mib.saturating_sub(other.memory_mib),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Returns the maximum of each resource.
    #[must_use]
    pub fn max(&self, other: Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.max(other.cpu_milli),
            memory_mib: self.memory_mib.max(other.memory_mib),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// Returns whether each resource is at most that of `available`.
    pub const fn fits_in(&self, available: &Self) -> bool {
        self.cpu_milli <= available.cpu_milli
            && self.memory_mib <= available.memory_mib
            && self.accelerators <= available.accelerators
    }
}

/// Load of a runner, sent with heartbeats and with every reply to an entry.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Load {
    /// Total number of slots.
    pub slots: u32,
    /// Number of slots in use.
    pub busy: u32,
    /// Number of accepted dispatches that wait for a slot.
    pub parked: u32,
    /// Resources of the worker.
    pub size: Resources,
    /// Resources in use, taking the greater of declared and observed usage.
    pub used: Resources,
    /// Part of `busy` plus `parked` that belongs to the receiving entry.
    #[serde(default, skip_serializing_if = "is_default")]
    pub mine: u32,
    /// Part of `used` that belongs to the receiving entry.
    #[serde(default, skip_serializing_if = "is_default")]
    pub mine_used: Resources,
    /// The runner's epoch, which entries copy into dispatches.
    pub epoch: u64,
    /// Increases with each load sent by the runner, so that late ones are recognized.
    pub sequence: u64,
}

/// Body of [`HEARTBEAT_PATH`].
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Heartbeat {
    /// See [`VERSION`].
    pub version: u32,
    /// The sending process.
    pub sender: Peer,
    /// Whether the sender is stopping and accepts no new work.
    pub leaving: bool,
    /// Revision of the settings in force at the sender.
    pub revision: Option<u64>,
    /// The sender's freshness evidence.
    pub evidence: Evidence,
    /// Load of the sender; only from runners.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub load: Option<Load>,
    /// Number of slots in service known to the sender; only from entries.
    #[serde(default, skip_serializing_if = "is_default")]
    pub slots: u32,
    /// Number of tickets requested; only from entries to the leading entry.
    #[serde(default, skip_serializing_if = "is_default")]
    pub tickets: u32,
    /// [`HeartbeatReply::entries_digest`] of the entry list that the sender has cached from
    /// the receiver, which need not be sent again.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub entries_held: Option<u64>,
}

impl Heartbeat {
    /// Creates a heartbeat that only announces the sender.
    pub const fn new(sender: Peer) -> Self {
        Self {
            version: VERSION,
            sender,
            leaving: false,
            revision: None,
            evidence: Evidence {
                log_age_ms: None,
                foreign_age_ms: None,
            },
            load: None,
            slots: 0,
            tickets: 0,
            entries_held: None,
        }
    }
}

/// A range of consecutive tickets reserved by the entry that issued them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct TicketRange {
    /// Epoch of the issuing entry.
    pub epoch: u64,
    /// Number of the first ticket.
    pub first: u64,
    /// Number of tickets.
    pub count: u32,
}

/// Reply to a [`Heartbeat`].
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct HeartbeatReply {
    /// See [`VERSION`].
    pub version: u32,
    /// The replying entry.
    pub sender: Peer,
    /// Whether the replying entry is stopping.
    pub leaving: bool,
    /// Revision of the settings in force at the replying entry.
    pub revision: Option<u64>,
    /// Freshness evidence of the replying entry.
    pub evidence: Evidence,
    /// The other entries that it considers alive.
    ///
    /// Empty if the requester has this list cached, see [`Heartbeat::entries_held`].
    pub entries: Vec<Peer>,
    /// Digest under which the requester caches the list; `None` if the list is not sent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub entries_digest: Option<u64>,
    /// Number of slots in service known to the replying entry.
    #[serde(default, skip_serializing_if = "is_default")]
    pub slots: u32,
    /// The requested tickets.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tickets: Option<TicketRange>,
    /// Incarnations of runners that the replying entry itself observed to be unhealthy.
    #[serde(default)]
    pub bad_runners: Vec<ids::Incarnation>,
}

/// Body of [`DISPATCH_PATH`].
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Dispatch {
    /// See [`VERSION`].
    pub version: u32,
    /// Id of the attempt, globally unique.
    pub attempt: ids::Attempt,
    /// Incarnation of the intended runner; any other incarnation rejects the dispatch.
    pub incarnation: ids::Incarnation,
    /// The runner's epoch last reported to the entry; an old epoch is rejected.
    pub epoch: u64,
    /// Name of the entry, for logs and for sharing the runner's queue between entries.
    pub entry: SmolStr,
    /// Team to which the task is charged.
    pub team: SmolStr,
    /// Kind of the task.
    pub kind: SmolStr,
    /// Payload, passed to the backend server.
    pub payload: String,
    /// Expected resource usage.
    pub resources: Resources,
    /// Maximum wait for a slot, in milliseconds, before the task is returned as not started.
    pub wait_ms: u64,
    /// Time within which the task should start, in milliseconds; the runner orders its wait
    /// queue by it.
    #[serde(default)]
    pub slack_ms: u64,
    /// Maximum run time before the task is stopped, in milliseconds.
    pub limit_ms: u64,
    /// Id of the submission, for logs.
    pub submission: SmolStr,
    /// Index of the task in its submission, for logs.
    pub index: u32,
}

/// State or outcome of an attempt.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The task was not started and will not be started under this attempt.
    NotStarted {
        /// Reason.
        code: codes::Code,
    },
    /// The task waits for a slot.
    Parked,
    /// The task is running.
    Running {
        /// Run time so far, in milliseconds.
        run_ms: u64,
    },
    /// The task ended.
    Ended {
        /// [`codes::Code::Complete`], or the reason for the failure.
        code: codes::Code,
        /// Output of the backend server.
        output: String,
        /// Run time in milliseconds.
        run_ms: u64,
        /// Peak of the observed resource usage.
        peak: Resources,
    },
}

/// Reply to a [`Dispatch`].
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct DispatchReply {
    /// See [`VERSION`].
    pub version: u32,
    /// The attempt to which this is the reply.
    pub attempt: ids::Attempt,
    /// Outcome of the attempt.
    pub outcome: Outcome,
    /// Current load of the runner.
    pub load: Load,
}

/// Body of [`FENCE_PATH`].
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Fence {
    /// See [`VERSION`].
    pub version: u32,
    /// Incarnation of the intended runner.
    pub incarnation: ids::Incarnation,
    /// The queried attempts.
    pub attempts: Vec<ids::Attempt>,
    /// Whether to bar attempts that are not started from ever starting.
    pub bar: bool,
    /// Whether to stop attempts that are running.
    pub stop: bool,
}

/// Reply to a [`Fence`].
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct FenceReply {
    /// See [`VERSION`].
    pub version: u32,
    /// Incarnation of the replying runner, which knows only attempts sent to itself.
    pub incarnation: ids::Incarnation,
    /// One outcome per attempt, in order; `None` if this incarnation does not know the attempt.
    pub outcomes: Vec<Option<Outcome>>,
    /// Current load of the runner.
    pub load: Load,
}

/// Body of [`SETTINGS_PATH`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct SettingsQuery {
    /// See [`VERSION`].
    pub version: u32,
    /// Offset of the next record that the requester needs; 0 for all records.
    pub position: u64,
}

/// One record of the log's settings stream.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct LoggedRecord {
    /// Offset of the record.
    pub offset: u64,
    /// The record as JSON text; `None` for a checkpoint, which is too large to forward and
    /// has no effect on a state that is past it.
    pub record: Option<String>,
}

/// Reply to a [`SettingsQuery`]: the records from the requester's position on if they are
/// still available, else the whole state.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct SettingsReply {
    /// See [`VERSION`].
    pub version: u32,
    /// Contiguous records from the requester's position on.
    pub records: Vec<LoggedRecord>,
    /// The whole state, if it is newer than the requester's and the records are unavailable.
    pub state: Option<settings::Checkpoint>,
}

/// A caller's call, forwarded to the owner of the submission.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Call {
    /// Submits, or attaches to the same submission if it was made before.
    Submit(api::Submission),
    /// Fetches the answer to a submission.
    Fetch {
        /// Id of the submission.
        submission: ids::SubmissionId,
        /// Maximum wait for the answer, in milliseconds.
        wait_ms: u64,
    },
    /// Cancels a submission.
    Cancel {
        /// Id of the submission.
        submission: ids::SubmissionId,
    },
}

/// Body of [`FORWARD_PATH`].
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Forward {
    /// See [`VERSION`].
    pub version: u32,
    /// Incarnation of the intended entry.
    pub incarnation: ids::Incarnation,
    /// The caller's team, as authenticated by the forwarding entry.
    pub team: SmolStr,
    /// The call.
    pub call: Call,
}

/// Reply to a [`Forward`].
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ForwardReply {
    /// See [`VERSION`].
    pub version: u32,
    /// Answer of the owner.
    pub answer: api::Answer,
}

quick_error! {
    /// Error of encoding or decoding a message.
    #[derive(Debug)]
    pub enum WireError {
        /// The bytes are not `MessagePack` or not the expected message.
        Decode(err: rmp_serde::decode::Error) {
            from()
            display("cannot decode the message: {err}")
            source(err)
        }
        /// The message cannot be encoded.
        Encode(err: rmp_serde::encode::Error) {
            from()
            display("cannot encode the message: {err}")
            source(err)
        }
        /// The protocol version is not supported.
        Version(version: u32) {
            display("unsupported protocol version {version}")
        }
    }
}

/// Returns whether a field can be omitted because the reader fills in its default.
fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

/// Encodes a message.
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, WireError> {
    Ok(rmp_serde::to_vec_named(message)?)
}

/// The field common to all messages.
#[derive(Deserialize)]
struct Versioned {
    version: u32,
}

/// Maximum depth of nested values in a message.
const MAX_DEPTH: usize = 64;

/// Decodes a message.
///
/// The version is decoded first, to distinguish a message of a later version from garbage.
pub fn decode<T: de::DeserializeOwned>(bytes: &[u8]) -> Result<T, WireError> {
    let Versioned { version } = decode_any(bytes)?;
    if version != VERSION {
        return Err(WireError::Version(version));
    }
    Ok(decode_any(bytes)?)
}

/// Decodes a value of any version.
///
/// The decoder calls itself for each level, also below fields that are ignored, and its own limit is
/// beyond the stack of a thread.
fn decode_any<T: de::DeserializeOwned>(bytes: &[u8]) -> Result<T, rmp_serde::decode::Error> {
    let mut decoder = rmp_serde::Deserializer::from_read_ref(bytes);
    decoder.set_max_depth(MAX_DEPTH);
    T::deserialize(&mut decoder)
}
