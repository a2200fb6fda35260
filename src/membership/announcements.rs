//! Entries announce themselves on the log's `members` stream.
//!
//! Processes whose known contacts were all replaced at once, under new addresses, find
//! the new entries there: no process that they know can name them. Clocks are not
//! compared between machines, so a record holds no timestamp. A process tries every
//! address that it reads and removes those that do not answer, as it does with any
//! address that a peer names.

use std::collections;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::wire;

/// The log stream.
pub const STREAM: &str = "members";

/// Interval between two announcements of an entry, in milliseconds.
///
/// With a dozen entries this makes one small append every few seconds; the log accepts
/// several hundred a second.
pub const INTERVAL_MS: u64 = 30_000;

/// Number of latest records read: a few minutes of announcements by a dozen entries.
pub const MAX_READ: u64 = 256;

/// Maximum number of entries taken from one read. One live entry names all others.
pub const MAX_ENTRIES: usize = 16;

/// Shortest pause between two uses of the stream by a process without a live contact, in
/// milliseconds.
///
/// The pauses grow because all runners may read at once when the entries are replaced.
pub const MIN_PAUSE_MS: u64 = 1_000;
/// Longest pause between two uses, see [`MIN_PAUSE_MS`].
pub const MAX_PAUSE_MS: u64 = 30_000;

/// One record of the stream.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Announcement {
    /// See [`wire::VERSION`].
    pub version: u32,
    /// The entry that announces itself.
    pub peer: wire::Peer,
}

/// Returns the entries to contact: the latest incarnation of each name, starting with the
/// one announced last.
///
/// An earlier incarnation has ended, even if its announcement arrived later. Records of
/// another protocol version, of other roles and of the process itself (`own`) are skipped.
pub fn latest_entries(announcements: &[Announcement], own: &SmolStr) -> Vec<wire::Peer> {
    let mut latest: collections::BTreeMap<&SmolStr, (usize, &wire::Peer)> =
        collections::BTreeMap::new();
    for (at, announcement) in announcements.iter().enumerate() {
        let peer = &announcement.peer;
        let is_supported = announcement.version == wire::VERSION && peer.role == wire::Role::Entry;
        if !is_supported || peer.name == *own {
            continue;
        }
        let known = latest.get(&peer.name);
        if known.is_none_or(|(_, known)| known.incarnation <= peer.incarnation) {
            latest.insert(&peer.name, (at, peer));
        }
    }
    let mut entries: Vec<_> = latest.into_values().collect();
    entries.sort_by_key(|(at, _)| std::cmp::Reverse(*at));
    entries.truncate(MAX_ENTRIES);
    entries.into_iter().map(|(_, peer)| peer.clone()).collect()
}

/// Backoff by which a process without a live contact uses the stream: an entry announces itself
/// and a runner reads it.
#[derive(Clone, Copy, Debug)]
pub struct IsolationBackoff {
    due_ms: u64,
    pause_ms: u64,
    seed: u64,
}

impl IsolationBackoff {
    /// Schedules the first use for when the first heartbeats should have been answered.
    ///
    /// `seed` spreads the load of processes that are isolated at the same time.
    pub const fn new(now_ms: u64, seed: u64) -> Self {
        Self {
            due_ms: now_ms + MIN_PAUSE_MS,
            pause_ms: MIN_PAUSE_MS,
            seed,
        }
    }

    /// Returns whether to use the stream now, and if so schedules the next time.
    ///
    /// `is_isolated` states that no contact has answered recently. The pauses double while
    /// this lasts, and start again from the shortest once a contact has answered.
    pub fn is_due(&mut self, now_ms: u64, is_isolated: bool) -> bool {
        if !is_isolated {
            self.pause_ms = MIN_PAUSE_MS;
            self.due_ms = self.due_ms.max(now_ms + self.seed % MIN_PAUSE_MS);
            return false;
        }
        if now_ms < self.due_ms {
            return false;
        }
        self.due_ms = now_ms + self.pause_ms + self.seed % self.pause_ms;
        self.pause_ms = (self.pause_ms * 2).min(MAX_PAUSE_MS);
        true
    }
}
