//! Leaving out of an answer to a heartbeat the entries that the asker was told before.
//!
//! Without it each answer names all entries again, twice a second, though they change a
//! few times a day. The asker says which list it holds, by a digest that only the answering
//! process makes and compares, and fills the list in again from what it was told: whoever
//! reads the answer sees the same as if nothing had been left out.

use std::hash;
use std::hash::Hash as _;
use std::hash::Hasher as _;

use crate::ids;
use crate::wire;

/// The entries as an answer names them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EntryList {
    /// The entries; none where the asker holds them.
    pub entries: Vec<wire::Peer>,
    /// What to ask with next time; none where the asker has it.
    pub digest: Option<u64>,
}

impl EntryList {
    /// What that life of a process names to an asker that holds the list with that digest.
    pub fn new(by: ids::Incarnation, entries: Vec<wire::Peer>, held: Option<u64>) -> Self {
        let digest = digest(by, &entries);
        if held == Some(digest) {
            return Self::default();
        }
        Self {
            entries,
            digest: Some(digest),
        }
    }
}

/// The same for the same processes in any order; a process never changes its address
/// within its life. No two lives have the same: an asker fills in only what the very life
/// that answers had told.
fn digest(by: ids::Incarnation, entries: &[wire::Peer]) -> u64 {
    let one = |peer: &wire::Peer| {
        let mut hasher = hash::DefaultHasher::new();
        (&peer.name, peer.incarnation, &peer.address).hash(&mut hasher);
        hasher.finish()
    };
    entries.iter().map(one).fold(by.0, u64::wrapping_add)
}

/// A list that one life of a process told.
#[derive(Clone, Debug)]
pub struct CachedList {
    by: ids::Incarnation,
    digest: u64,
    entries: Vec<wire::Peer>,
}

impl CachedList {
    /// What to ask with.
    pub const fn digest(&self) -> u64 {
        self.digest
    }

    /// Takes the list out of an answer, or puts it in where it was left out.
    ///
    /// A process that was replaced by one of an earlier release leaves nothing out, also
    /// where it knows of no entry; so the list of another life is never put in.
    pub fn restore(told: &mut Option<Self>, reply: &mut wire::HeartbeatReply) {
        let by = reply.sender.incarnation;
        if let Some(digest) = reply.entries_digest {
            *told = Some(Self {
                by,
                digest,
                entries: reply.entries.clone(),
            });
            return;
        }
        let same = told.as_ref().filter(|told| told.by == by);
        if let Some(same) = same
            && reply.entries.is_empty()
        {
            reply.entries.clone_from(&same.entries);
        }
    }
}
