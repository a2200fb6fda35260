//! Schedules fetches of a missing configuration from other entries.
//!
//! An entry may learn of a newer configuration version before the store delivers it: the store
//! refuses some instances, or its response is slow on a low-bandwidth link, while other entries
//! already apply the change.

use std::collections;

use smol_str::SmolStr;

/// Time that the store has to deliver a change before it is fetched from another entry, in
/// milliseconds.
///
/// Both transfers share one link, and a change has to be in force within two seconds.
const STORE_WAIT_MS: u64 = 700;

/// Pause after a fetch that didn't return the configuration, in milliseconds.
const RETRY_PAUSE_MS: u64 = 200;

/// Maximum number of remembered entries that hold the configuration.
const MAX_HOLDERS: usize = 4;

/// Decides when to fetch the configuration and from which entry.
#[derive(Clone, Debug, Default)]
pub struct DirectivesFetch {
    outdated_since_ms: Option<u64>,
    holders: collections::VecDeque<SmolStr>,
    is_fetching: bool,
    not_before_ms: u64,
}

impl DirectivesFetch {
    /// Remembers an entry that holds the configuration; replaces the oldest one if full.
    pub fn add_holder(&mut self, holder: SmolStr) {
        if self.holders.contains(&holder) {
            return;
        }
        if self.holders.len() == MAX_HOLDERS {
            self.holders.pop_front();
        }
        self.holders.push_back(holder);
    }

    /// Returns the entry to fetch from now, if a fetch is due.
    ///
    /// `is_outdated` states whether a newer configuration is known than the one held, and
    /// `has_older` whether an older one is in force. Without any configuration the fetch starts at
    /// once. Holders take turns, so that one that is down does not get every request.
    pub fn next_holder(
        &mut self,
        now_ms: u64,
        is_outdated: bool,
        has_older: bool,
    ) -> Option<SmolStr> {
        if !is_outdated {
            self.outdated_since_ms = None;
            self.holders.clear();
            return None;
        }
        let outdated_since_ms = *self.outdated_since_ms.get_or_insert(now_ms);
        let wait_ms = if has_older { STORE_WAIT_MS } else { 0 };
        let due_ms = self.not_before_ms.max(outdated_since_ms + wait_ms);
        if self.is_fetching || now_ms < due_ms {
            return None;
        }
        let holder = self.holders.pop_front()?;
        self.holders.push_back(holder.clone());
        self.is_fetching = true;
        Some(holder)
    }

    /// Notes that the pending fetch has succeeded or failed.
    pub fn answered(&mut self, now_ms: u64) {
        self.is_fetching = false;
        self.not_before_ms = now_ms + RETRY_PAUSE_MS;
    }
}
