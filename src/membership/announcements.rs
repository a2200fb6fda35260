//! Entries announce themselves on the log's `members` stream.
//!
//! It is the way back for processes whose contacts were all replaced at once under
//! new addresses: nobody whom they know is left to name the new ones. Clocks are not
//! compared between machines, so a record has no time of its own; what is read is
//! tried, and dropped when it stays silent, like any other address that was named.

use std::collections;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::wire;

/// The log stream.
pub const STREAM: &str = "members";

/// Time between two announcements of an entry, in milliseconds.
///
/// With a dozen entries this is one small append every few seconds, where the log
/// takes several hundred a second.
pub const INTERVAL_MS: u64 = 30_000;

/// Latest records that are read; a few minutes' worth of a dozen entries.
pub const MAX_READ: u64 = 256;

/// Most entries taken from one read: any live one names the others.
pub const MAX_TAKEN: usize = 16;

/// First and longest pause between two reads of a process without a live contact, in
/// milliseconds. All runners may read at once when the entries are replaced.
pub const MIN_PAUSE_MS: u64 = 1_000;
/// See [`MIN_PAUSE_MS`].
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

/// The entries to try: the latest life of each name, those announced last first.
///
/// An earlier life of a name is over, however late its announcement came.
pub fn latest_entries(announcements: &[Announcement], own: &SmolStr) -> Vec<wire::Peer> {
    let mut latest: collections::BTreeMap<&SmolStr, (usize, &wire::Peer)> =
        collections::BTreeMap::new();
    for (at, announcement) in announcements.iter().enumerate() {
        let peer = &announcement.peer;
        let is_spoken = announcement.version == wire::VERSION && peer.role == wire::Role::Entry;
        if !is_spoken || peer.name == *own {
            continue;
        }
        let known = latest.get(&peer.name);
        if known.is_none_or(|(_, known)| known.incarnation <= peer.incarnation) {
            latest.insert(&peer.name, (at, peer));
        }
    }
    let mut chosen: Vec<_> = latest.into_values().collect();
    chosen.sort_by_key(|(at, _)| std::cmp::Reverse(*at));
    chosen.truncate(MAX_TAKEN);
    chosen.into_iter().map(|(_, peer)| peer.clone()).collect()
}

/// When a process without a live contact reads the stream.
#[derive(Clone, Copy, Debug)]
pub struct Search {
    due_ms: u64,
    pause_ms: u64,
    seed: u64,
}

impl Search {
    /// The first read is due after the first heartbeats had time to be answered;
    /// `seed` spreads processes that search at the same time.
    pub const fn new(now_ms: u64, seed: u64) -> Self {
        Self {
            due_ms: now_ms + MIN_PAUSE_MS,
            pause_ms: MIN_PAUSE_MS,
            seed,
        }
    }

    /// Whether to read now. `is_alone`: no contact has answered of late.
    ///
    /// The pauses grow while the search goes on, and a contact found ends it.
    pub fn is_due(&mut self, now_ms: u64, is_alone: bool) -> bool {
        if !is_alone {
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
