//! Entry lists in heartbeat replies, left out where the requester already holds them.
//!
//! Entries change a few times a day, and without this every reply would name all of them
//! again, twice a second. The requester sends a digest of the list that it holds. Only the
//! replying process computes and compares digests. If they match, the reply omits the list
//! and the requester fills it in from its cache, so that code that reads the reply sees
//! the full list in both cases.

use std::hash;
use std::hash::Hash as _;
use std::hash::Hasher as _;

use crate::ids;
use crate::wire;

/// The entries as a heartbeat reply carries them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EntryList {
    /// The entries; empty if the requester holds them.
    pub entries: Vec<wire::Peer>,
    /// Digest for the requester to send next time; absent if it holds this one.
    pub digest: Option<u64>,
}

impl EntryList {
    /// Builds the list that incarnation `by` returns to a requester that sent the digest `held`.
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

/// Computes the digest of a list, independent of the order of its entries.
///
/// A process keeps its address for its whole incarnation. The digest includes the replying
/// incarnation, so that a requester never fills in a list from another one.
fn digest(by: ids::Incarnation, entries: &[wire::Peer]) -> u64 {
    let hash_peer = |peer: &wire::Peer| {
        let mut hasher = hash::DefaultHasher::new();
        (&peer.name, peer.incarnation, &peer.address).hash(&mut hasher);
        hasher.finish()
    };
    entries.iter().map(hash_peer).fold(by.0, u64::wrapping_add)
}

/// The last entry list received from one incarnation of a process.
#[derive(Clone, Debug)]
pub struct CachedList {
    by: ids::Incarnation,
    digest: u64,
    entries: Vec<wire::Peer>,
}

impl CachedList {
    /// Digest to send with the next heartbeat.
    pub const fn digest(&self) -> u64 {
        self.digest
    }

    /// Caches the list of a reply, or fills it in where the reply left it out.
    ///
    /// A process of a release without digests never leaves the list out, and its list may
    /// be empty. So the list of another incarnation is never filled in: the process may
    /// have been replaced by one of such a release.
    pub fn restore(cached: &mut Option<Self>, reply: &mut wire::HeartbeatReply) {
        let by = reply.sender.incarnation;
        if let Some(digest) = reply.entries_digest {
            *cached = Some(Self {
                by,
                digest,
                entries: reply.entries.clone(),
            });
            return;
        }
        let same_sender = cached.as_ref().filter(|cached| cached.by == by);
        if let Some(same_sender) = same_sender
            && reply.entries.is_empty()
        {
            reply.entries.clone_from(&same_sender.entries);
        }
    }
}
