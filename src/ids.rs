//! Names and ids that pass between the processes.

use std::fmt;
use std::str;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// Longest name of a process, availability zone, rack, team or kind, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// Longest submission id that a client may choose, in bytes.
pub const MAX_SUBMISSION_BYTES: usize = 128;

quick_error! {
    /// Why a text is not an id.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum IdError {
        /// Not a name.
        Name(text: SmolStr) {
            display("'{text}' is not a name: 1 to 64 of a-z, A-Z, 0-9, '-' and '_'")
        }
        /// Not a ticket.
        Ticket {
            display("this is not a ticket")
        }
        /// Not a submission id.
        Submission {
            display("a submission id has 1 to 128 of a-z, A-Z, 0-9, '-', '_', '.' and ':'")
        }
    }
}

/// Checks the name of a process, availability zone, rack, team or kind.
pub fn check_name(text: &str) -> Result<SmolStr, IdError> {
    let good = |b: u8| b.is_ascii_alphanumeric() || b == b'-' || b == b'_';
    if text.is_empty() || text.len() > MAX_NAME_BYTES || !text.bytes().all(good) {
        return Err(IdError::Name(text.chars().take(MAX_NAME_BYTES).collect()));
    }
    Ok(SmolStr::new(text))
}

/// One life of one process: two lives of the same name never share it.
///
/// Built from the start's wall clock and a random part, so a later life of the
/// same name is greater unless the clock was set back.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// Bits of an incarnation that are random.
const INCARNATION_RANDOM_BITS: u32 = 12;

impl Incarnation {
    /// Joins microseconds since 1970 with random low bits.
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

/// One attempt to start one task, unique over all entries and lives.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct Attempt {
    /// The life of the entry that owns the task.
    pub owner: Incarnation,
    /// Counts the attempts of that life.
    pub number: u64,
}

impl fmt::Display for Attempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{:x}", self.owner, self.number)
    }
}

/// Permission to submit one job or request, bound to one life of one entry.
///
/// Only that life may ever start the submission, which is what makes a repeat
/// through any other entry harmless. Text form: `t:NAME:INCARNATION:EPOCH:NUMBER`
/// with the last three in hexadecimal.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Ticket {
    /// The entry's name.
    pub entry: SmolStr,
    /// The entry's life.
    pub incarnation: Incarnation,
    /// The entry's epoch in which the ticket was minted.
    pub epoch: u64,
    /// Distinguishes the tickets of an epoch.
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
        let hex = |part: &str| u64::from_str_radix(part, 16).map_err(|_bad| IdError::Ticket);
        let parts: Vec<&str> = text.split(':').collect();
        let ["t", entry, incarnation, epoch, number] = parts[..] else {
            return Err(IdError::Ticket);
        };
        let ticket = Self {
            entry: check_name(entry).map_err(|_bad| IdError::Ticket)?,
            incarnation: Incarnation(hex(incarnation)?),
            epoch: hex(epoch)?,
            number: hex(number)?,
        };
        // `+1`, `01` and `A` are numbers too, but not as an entry writes them; one
        // ticket would have many texts for whoever compares or looks for texts.
        if ticket.to_string() != text {
            return Err(IdError::Ticket);
        }
        Ok(ticket)
    }
}

/// The id under which a caller knows its job or request.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(into = "SmolStr", try_from = "SmolStr")]
pub enum SubmissionId {
    /// A ticket minted by an entry.
    Ticket(Ticket),
    /// An id of the client's own choice; needs a claim before anything starts.
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
        let good = |b: u8| b.is_ascii_alphanumeric() || b"-_.:".contains(&b);
        if text.is_empty() || text.len() > MAX_SUBMISSION_BYTES || !text.bytes().all(good) {
            return Err(IdError::Submission);
        }
        Ok(Self::Own(text))
    }
}
