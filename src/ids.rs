//! Names and ids exchanged between processes and callers.

use std::fmt;
use std::str;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// Maximum length of the name of a process, availability zone, rack, team or kind, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// Maximum length of a submission id chosen by a client, in bytes.
pub const MAX_SUBMISSION_BYTES: usize = 128;

quick_error! {
    /// Error of parsing a name or id.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum IdError {
        /// The text is not a valid name.
        Name(text: SmolStr) {
            display("'{text}' is not a name: 1 to 64 of a-z, A-Z, 0-9, '-' and '_'")
        }
        /// The text is not a valid ticket.
        Ticket {
            display("this is not a ticket")
        }
        /// The text is not a valid submission id.
        Submission {
            display("a submission id has 1 to 128 of a-z, A-Z, 0-9, '-', '_', '.' and ':'")
        }
    }
}

/// Validates the name of a process, availability zone, rack, team or kind.
pub fn check_name(text: &str) -> Result<SmolStr, IdError> {
    let is_allowed = |b: u8| b.is_ascii_alphanumeric() || b == b'-' || b == b'_';
    if text.is_empty() || text.len() > MAX_NAME_BYTES || !text.bytes().all(is_allowed) {
        return Err(IdError::Name(text.chars().take(MAX_NAME_BYTES).collect()));
    }
    Ok(SmolStr::new(text))
}

/// Identifies one run of a process, from start to exit.
///
/// It combines the wall-clock time of the start with random bits, so a later run under
/// the same name has a greater incarnation unless the clock was set back.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// Number of random low bits of an incarnation.
const INCARNATION_RANDOM_BITS: u32 = 12;

impl Incarnation {
    /// Combines microseconds since 1970 with random low bits.
    pub const fn new(unix_micros: u64, random: u64) -> Self {
        let mask = (1 << INCARNATION_RANDOM_BITS) - 1;
        Self((unix_micros << INCARNATION_RANDOM_BITS) | (random & mask))
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

/// Identifies one attempt to start a task, unique over all entries and incarnations.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct Attempt {
    /// Incarnation of the entry that owns the task.
    pub owner: Incarnation,
    /// Sequence number within that incarnation.
    pub number: u64,
}

impl fmt::Display for Attempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{:x}", self.owner, self.number)
    }
}

/// Permission to submit one job or request, bound to one incarnation of one entry.
///
/// Only that incarnation may start the submission, which makes a repeat through any other
/// entry harmless. The text form is `t:NAME:INCARNATION:EPOCH:NUMBER` with the last three
/// parts in hexadecimal.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Ticket {
    /// Name of the entry.
    pub entry: SmolStr,
    /// Incarnation of the entry.
    pub incarnation: Incarnation,
    /// Epoch of the entry in which the ticket was issued.
    pub epoch: u64,
    /// Sequence number within the epoch.
    pub number: u64,
}

impl fmt::Display for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            entry,
            incarnation,
            epoch,
            number,
        } = self;
        write!(f, "t:{entry}:{incarnation}:{epoch:x}:{number:x}")
    }
}

impl str::FromStr for Ticket {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let parse_hex = |part: &str| u64::from_str_radix(part, 16).map_err(|_bad| IdError::Ticket);
        let parts: Vec<&str> = text.split(':').collect();
        let ["t", entry, incarnation, epoch, number] = parts[..] else {
            return Err(IdError::Ticket);
        };
        let ticket = Self {
            entry: check_name(entry).map_err(|_bad| IdError::Ticket)?,
            incarnation: Incarnation(parse_hex(incarnation)?),
            epoch: parse_hex(epoch)?,
            number: parse_hex(number)?,
        };
        // `from_str_radix` also accepts `+1`, `01` and `A`. Only the canonical text is
        // valid, since ids are compared and looked up as texts.
        if ticket.to_string() != text {
            return Err(IdError::Ticket);
        }
        Ok(ticket)
    }
}

/// Id of a submitted job or request.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(into = "SmolStr", try_from = "SmolStr")]
pub enum SubmissionId {
    /// A ticket issued by an entry.
    Ticket(Ticket),
    /// An id chosen by the client, which must be claimed before anything starts.
    Own(SmolStr),
}

impl fmt::Display for SubmissionId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Ticket(ticket) => write!(f, "{ticket}"),
            Self::Own(text) => write!(f, "{text}"),
        }
    }
}

impl From<SubmissionId> for SmolStr {
    fn from(id: SubmissionId) -> Self {
        smol_str::format_smolstr!("{id}")
    }
}

impl TryFrom<SmolStr> for SubmissionId {
    type Error = IdError;

    fn try_from(text: SmolStr) -> Result<Self, IdError> {
        if text.starts_with("t:") {
            return text.parse().map(Self::Ticket);
        }
        let is_allowed = |b: u8| b.is_ascii_alphanumeric() || b"-_.:".contains(&b);
        if text.is_empty() || text.len() > MAX_SUBMISSION_BYTES || !text.bytes().all(is_allowed) {
            return Err(IdError::Submission);
        }
        Ok(Self::Own(text))
    }
}
