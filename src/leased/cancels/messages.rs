//! Messages between entries about cancelled jobs.

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::leased::job;
use crate::wire;

/// Path at which entries accept notices of cancelled jobs.
pub const CANCEL_PATH: &str = "/rmp/v1/leased/cancel";

/// Largest number of ids in a message that is accepted: all that an entry keeps.
const MAX_IDS: usize = super::kept::MAX_KEPT;

/// Largest number of entries to which one message is relayed.
const MAX_RELAYS: usize = 256;

quick_error! {
    /// Error of a message whose version is known.
    #[derive(Clone, Copy, Debug, Eq, PartialEq)]
    pub enum MessageError {
        /// The message has too many ids or addresses.
        TooLarge {
            display("too many ids or addresses")
        }
        /// An id is not that of a job.
        InvalidId {
            display("invalid job id")
        }
    }
}

/// Cancelled jobs, on the wire.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct CancelJobs {
    /// Always [`wire::VERSION`].
    pub version: u32,
    /// Ids of the jobs.
    pub ids: Vec<SmolStr>,
    /// Addresses of entries to relay the ids to, which don't relay them further.
    #[serde(default)]
    pub relay_to: Vec<SmolStr>,
}

/// Answer to [`CancelJobs`], on the wire.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct CancelReply {
    /// Always [`wire::VERSION`].
    pub version: u32,
    /// Ids of the jobs that were open at the answering entry or one that it relayed to.
    pub held: Vec<SmolStr>,
    /// Addresses of the entries that have answered the relayed message.
    #[serde(default)]
    pub relayed: Vec<SmolStr>,
}

/// Cancelled jobs of which an entry is notified.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Notice {
    /// Ids of the jobs.
    pub ids: Vec<SmolStr>,
    /// Addresses of entries to relay the ids to.
    pub relay_to: Vec<SmolStr>,
}

impl Notice {
    /// Creates a notice that is not relayed.
    pub const fn direct(ids: Vec<SmolStr>) -> Self {
        Self {
            ids,
            relay_to: Vec::new(),
        }
    }

    /// Adds a recipient and its ids, up to `max` ids in total.
    pub fn merge(&mut self, ids: &[SmolStr], to: &SmolStr, max: usize) {
        self.ids.extend_from_slice(ids);
        self.ids.sort_unstable();
        self.ids.dedup();
        self.ids.truncate(max);
        self.relay_to.push(to.clone());
    }
}

/// Answer of an entry that was notified.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Reply {
    /// Ids of the jobs that were open at the answering entry or one that it relayed to.
    pub held: Vec<SmolStr>,
    /// Addresses of the entries that have answered the relayed message.
    pub relayed: Vec<SmolStr>,
}

impl Reply {
    /// Adds the answer of the entry at `address`, to which the message was relayed.
    pub fn add_relayed(&mut self, address: SmolStr, reply: Self) {
        self.held.extend(reply.held);
        self.relayed.push(address);
    }
}

impl From<Notice> for CancelJobs {
    fn from(notice: Notice) -> Self {
        Self {
            version: wire::VERSION,
            ids: notice.ids,
            relay_to: notice.relay_to,
        }
    }
}

impl TryFrom<CancelJobs> for Notice {
    type Error = MessageError;

    fn try_from(message: CancelJobs) -> Result<Self, MessageError> {
        if message.ids.len() > MAX_IDS || message.relay_to.len() > MAX_RELAYS {
            return Err(MessageError::TooLarge);
        }
        check_ids(&message.ids)?;
        Ok(Self {
            ids: message.ids,
            relay_to: message.relay_to,
        })
    }
}

impl From<Reply> for CancelReply {
    fn from(reply: Reply) -> Self {
        Self {
            version: wire::VERSION,
            held: reply.held,
            relayed: reply.relayed,
        }
    }
}

impl TryFrom<CancelReply> for Reply {
    type Error = MessageError;

    fn try_from(message: CancelReply) -> Result<Self, MessageError> {
        check_ids(&message.held)?;
        Ok(Self {
            held: message.held,
            relayed: message.relayed,
        })
    }
}

fn check_ids(ids: &[SmolStr]) -> Result<(), MessageError> {
    if ids.iter().all(|id| job::is_id(id)) {
        return Ok(());
    }
    Err(MessageError::InvalidId)
}
