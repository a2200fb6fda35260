//! What the processes say to each other: `MessagePack` maps over HTTP POST.
//!
//! Fields are named on the wire and unknown ones are passed over, so that two
//! releases can run side by side; `docs/PROTOCOL.md` is the page for strangers.

use serde::Deserialize;
use serde::Serialize;
use serde::de;
use smol_str::SmolStr;

use crate::api;
use crate::codes;
use crate::ids;
use crate::settings;

/// The version that this release speaks, carried in every message.
pub const VERSION: u32 = 1;

/// A runner or entry tells an entry that it is there.
pub const HEARTBEAT_PATH: &str = "/rmp/v1/heartbeat";
/// An entry hands a task to a runner and waits for its end.
pub const DISPATCH_PATH: &str = "/rmp/v1/dispatch";
/// An entry asks a runner about attempts, and has the unstarted ones barred.
pub const FENCE_PATH: &str = "/rmp/v1/fence";
/// Any process fetches the settings in force from another.
pub const SETTINGS_PATH: &str = "/rmp/v1/settings";
/// An entry passes a caller's call to the entry that owns the submission.
pub const FORWARD_PATH: &str = "/rmp/v1/forward";

/// Which part a process plays.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Takes calls from callers.
    Entry,
    /// Sits beside one backend server.
    Runner,
}

/// Who a process is.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Peer {
    /// Its part.
    pub role: Role,
    /// Its name.
    pub name: SmolStr,
    /// Its life.
    pub incarnation: ids::Incarnation,
    /// Its availability zone.
    pub zone: SmolStr,
    /// Its rack.
    pub rack: SmolStr,
    /// Where it listens, `IP:PORT`.
    pub address: SmolStr,
}

/// How recently the sender could have learned of a settings change.
///
/// Ages and not times, since clocks are not compared between machines; the
/// receiver adds the time since it sent the request that this answers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Evidence {
    /// Milliseconds since the log was read to its end.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub log_age_ms: Option<u64>,
    /// Milliseconds since a process of another availability zone was heard.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub foreign_age_ms: Option<u64>,
}

/// Amounts of what a worker has and a task takes.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Resources {
    /// Thousandths of a core.
    pub cpu_milli: u32,
    /// Mebibytes.
    pub memory_mib: u32,
    /// Whole accelerators.
    pub accelerators: u32,
}

impl Resources {
    /// The sum, bounded.
    #[must_use]
    pub const fn plus(&self, other: &Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_add(other.cpu_milli),
            memory_mib: self.memory_mib.saturating_add(other.memory_mib),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// The difference, not below nothing.
    #[must_use]
    pub const fn minus(&self, other: &Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_sub(other.cpu_milli),
            memory_mib: self.memory_mib.saturating_sub(other.memory_mib),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// The greater of each.
    #[must_use]
    pub fn max(&self, other: Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.max(other.cpu_milli),
            memory_mib: self.memory_mib.max(other.memory_mib),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// Whether all of it is there.
    pub const fn fits_in(&self, room: &Self) -> bool {
        self.cpu_milli <= room.cpu_milli
            && self.memory_mib <= room.memory_mib
            && self.accelerators <= room.accelerators
    }
}

/// A runner's load; rides on heartbeats and on every answer to a dispatch.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Load {
    /// Slots in all.
    pub slots: u32,
    /// Slots in use.
    pub busy: u32,
    /// Accepted dispatches that wait for a slot.
    pub parked: u32,
    /// Size of the worker.
    pub size: Resources,
    /// What is in use, by the greater of declared and observed.
    pub used: Resources,
    /// Of `busy` and `parked` together, those of the entry that this is sent to.
    #[serde(default, skip_serializing_if = "is_default")]
    pub mine: u32,
    /// Of `used`, what those take.
    #[serde(default, skip_serializing_if = "is_default")]
    pub mine_used: Resources,
    /// The runner's epoch, to be stamped on dispatches.
    pub epoch: u64,
    /// Increases with each load this runner sends, so that late ones are told.
    pub sequence: u64,
}

/// Body of [`HEARTBEAT_PATH`].
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Heartbeat {
    /// See [`VERSION`].
    pub version: u32,
    /// The sender.
    pub sender: Peer,
    /// Whether the sender is stopping and takes no new work.
    pub leaving: bool,
    /// Revision of the settings in force at the sender.
    pub revision: Option<u64>,
    /// The sender's evidence.
    pub evidence: Evidence,
    /// The load, from a runner.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub load: Option<Load>,
    /// Slots in service that the sender sees, from an entry.
    #[serde(default, skip_serializing_if = "is_default")]
    pub slots: u32,
    /// How many tickets the sender asks for, from an entry to the one that leads.
    #[serde(default, skip_serializing_if = "is_default")]
    pub tickets: u32,
    /// The list of entries that the sender holds from this process and need not be told
    /// again, by its [`HeartbeatReply::entries_digest`].
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub entries_held: Option<u64>,
}

impl Heartbeat {
    /// That a process is there, and nothing else.
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

/// Tickets set apart by the entry that minted them, under numbers in a row.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct TicketRange {
    /// The minting entry's epoch.
    pub epoch: u64,
    /// The first number.
    pub first: u64,
    /// How many.
    pub count: u32,
}

/// Answer to a [`Heartbeat`].
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct HeartbeatReply {
    /// See [`VERSION`].
    pub version: u32,
    /// The answering entry.
    pub sender: Peer,
    /// Whether it is stopping.
    pub leaving: bool,
    /// Revision of the settings in force there.
    pub revision: Option<u64>,
    /// Its evidence.
    pub evidence: Evidence,
    /// The entries it knows to be alive, itself left out.
    ///
    /// None of them where the asker holds this list, see [`Heartbeat::entries_held`].
    pub entries: Vec<Peer>,
    /// What to hold the list under, where it is given.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub entries_digest: Option<u64>,
    /// Slots in service that it sees.
    #[serde(default, skip_serializing_if = "is_default")]
    pub slots: u32,
    /// The tickets asked for.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tickets: Option<TicketRange>,
    /// Lives of runners that are bad by its own evidence.
    #[serde(default)]
    pub bad_runners: Vec<ids::Incarnation>,
}

/// Body of [`DISPATCH_PATH`].
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Dispatch {
    /// See [`VERSION`].
    pub version: u32,
    /// The attempt, unique for ever.
    pub attempt: ids::Attempt,
    /// The life of the runner that is meant; another life refuses.
    pub incarnation: ids::Incarnation,
    /// The runner's epoch as the entry last heard it; an old one is refused.
    pub epoch: u64,
    /// The entry's name, for logs and for shares of the runner's queue.
    pub entry: SmolStr,
    /// The team that pays.
    pub team: SmolStr,
    /// The task's kind.
    pub kind: SmolStr,
    /// Passed to the backend server.
    pub payload: String,
    /// What it is expected to take.
    pub resources: Resources,
    /// Longest wait for a slot before it is handed back, in milliseconds.
    pub wait_ms: u64,
    /// In how many milliseconds it should start; the runner goes by it among what
    /// waits there.
    #[serde(default)]
    pub slack_ms: u64,
    /// Longest run before it is stopped, in milliseconds.
    pub limit_ms: u64,
    /// The submission's id, for logs.
    pub submission: SmolStr,
    /// The task's place in its submission, for logs.
    pub index: u32,
}

/// How an attempt stands or ended.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// It was not started, and never will be under this attempt.
    NotStarted {
        /// Why.
        code: codes::Code,
    },
    /// It waits for a slot.
    Parked,
    /// It runs.
    Running {
        /// For so many milliseconds.
        run_ms: u64,
    },
    /// It ended.
    Ended {
        /// [`codes::Code::Complete`], or why it failed.
        code: codes::Code,
        /// What the backend server answered.
        output: String,
        /// Milliseconds it ran for.
        run_ms: u64,
        /// The most it was seen to use.
        peak: Resources,
    },
}

/// Answer to a [`Dispatch`].
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct DispatchReply {
    /// See [`VERSION`].
    pub version: u32,
    /// The attempt that this answers.
    pub attempt: ids::Attempt,
    /// Its end.
    pub outcome: Outcome,
    /// The runner's load now.
    pub load: Load,
}

/// Body of [`FENCE_PATH`].
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Fence {
    /// See [`VERSION`].
    pub version: u32,
    /// The life of the runner that is meant.
    pub incarnation: ids::Incarnation,
    /// The attempts asked about.
    pub attempts: Vec<ids::Attempt>,
    /// Whether those not started must never start.
    pub bar: bool,
    /// Whether those running are to be stopped.
    pub stop: bool,
}

/// Answer to a [`Fence`].
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct FenceReply {
    /// See [`VERSION`].
    pub version: u32,
    /// The life that answers; of another life's attempts it knows nothing.
    pub incarnation: ids::Incarnation,
    /// One per attempt, in order; absent where this life never heard of it.
    pub outcomes: Vec<Option<Outcome>>,
    /// The runner's load now.
    pub load: Load,
}

/// Body of [`SETTINGS_PATH`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct SettingsQuery {
    /// See [`VERSION`].
    pub version: u32,
    /// Offset of the next record that the asker needs; 0 for everything.
    pub position: u64,
}

/// One record as it stands on the log's settings stream.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct LoggedRecord {
    /// Its offset.
    pub offset: u64,
    /// The record as JSON text; absent: a checkpoint, which changes nothing for a
    /// state that is past it and is too large to be passed on.
    pub record: Option<String>,
}

/// Answer to a [`SettingsQuery`]: the records from the asker's position on where
/// they are still at hand, else the whole state.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct SettingsReply {
    /// See [`VERSION`].
    pub version: u32,
    /// Records without a gap from the asker's position.
    pub records: Vec<LoggedRecord>,
    /// The whole state, where it is newer than the asker's and records won't do.
    pub state: Option<settings::Checkpoint>,
}

/// A caller's call on its way to the owner.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Call {
    /// Submit, or attach to the same submission made before.
    Submit(api::Submission),
    /// Fetch the answer.
    Fetch {
        /// Which.
        submission: ids::SubmissionId,
        /// How long to wait for it, in milliseconds.
        wait_ms: u64,
    },
    /// Cancel.
    Cancel {
        /// Which.
        submission: ids::SubmissionId,
    },
}

/// Body of [`FORWARD_PATH`].
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Forward {
    /// See [`VERSION`].
    pub version: u32,
    /// The life of the entry that is meant.
    pub incarnation: ids::Incarnation,
    /// The caller's team, as checked by the forwarding entry.
    pub team: SmolStr,
    /// The call.
    pub call: Call,
}

/// Answer to a [`Forward`].
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ForwardReply {
    /// See [`VERSION`].
    pub version: u32,
    /// The owner's answer.
    pub answer: api::Answer,
}

quick_error! {
    /// Why bytes are not a message.
    #[derive(Debug)]
    pub enum WireError {
        /// Not `MessagePack`, or not this message.
        Decode(err: rmp_serde::decode::Error) {
            from()
            display("can't be read: {err}")
            source(err)
        }
        /// Can't be written.
        Encode(err: rmp_serde::encode::Error) {
            from()
            display("can't be written: {err}")
            source(err)
        }
        /// A version not spoken here.
        Version(version: u32) {
            display("version {version} is not spoken here")
        }
    }
}

/// Whether a field can be left out: a reader puts its default there.
fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

/// Writes a message.
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, WireError> {
    Ok(rmp_serde::to_vec_named(message)?)
}

/// The part that every message has.
#[derive(Deserialize)]
struct Versioned {
    version: u32,
}

/// Reads a message, its version first, so that a later one is told apart from garbage.
pub fn decode<T: de::DeserializeOwned>(bytes: &[u8]) -> Result<T, WireError> {
    let Versioned { version } = rmp_serde::from_slice(bytes)?;
    if version != VERSION {
        return Err(WireError::Version(version));
    }
    Ok(rmp_serde::from_slice(bytes)?)
}
