//! When an entry asks another one for a configuration that it has only been told of.
//!
//! Load that this answers: the store turns some instances away, or its answer takes long on
//! a narrow way, while others have the change in force.

use std::collections;

use smol_str::SmolStr;

/// How long the store has to tell the change itself, in milliseconds: both ways end on the
/// same link, and a change has to be in force within two seconds.
const PATIENCE_MS: u64 = 700;

/// Pause after an answer that didn't bring the configuration, in milliseconds.
const RETRY_MS: u64 = 200;

/// Most entries that are remembered as having the configuration.
const MAX_HOLDERS: usize = 4;

/// Whom to ask, and when.
#[derive(Clone, Debug, Default)]
pub struct DirectivesFetch {
    since_ms: Option<u64>,
    holders: collections::VecDeque<SmolStr>,
    is_asking: bool,
    not_before_ms: u64,
}

impl DirectivesFetch {
    /// An entry was named that has the configuration.
    pub fn add_holder(&mut self, holder: SmolStr) {
        if self.holders.contains(&holder) {
            return;
        }
        if self.holders.len() == MAX_HOLDERS {
            self.holders.pop_front();
        }
        self.holders.push_back(holder);
    }

    /// Whom to ask now; `is_lacking` tells that the configuration is missing here, and
    /// `has_any` that an older one is in force meanwhile.
    pub fn next_holder(&mut self, now_ms: u64, is_lacking: bool, has_any: bool) -> Option<SmolStr> {
        if !is_lacking {
            self.since_ms = None;
            self.holders.clear();
            return None;
        }
        let since_ms = *self.since_ms.get_or_insert(now_ms);
        let patience_ms = if has_any { PATIENCE_MS } else { 0 };
        let due_ms = self.not_before_ms.max(since_ms + patience_ms);
        if self.is_asking || now_ms < due_ms {
            return None;
        }
        let holder = self.holders.pop_front()?;
        self.holders.push_back(holder.clone());
        self.is_asking = true;
        Some(holder)
    }

    /// Whoever was asked has answered, or failed to.
    pub fn answered(&mut self, now_ms: u64) {
        self.is_asking = false;
        self.not_before_ms = now_ms + RETRY_MS;
    }
}
