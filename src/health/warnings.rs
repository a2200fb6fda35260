//! What other entries say of bad backend servers.
//!
//! Each entry would else pay for the same evidence with jobs of its own. A warning is
//! no verdict: others with a free slot are preferred, and nobody is ejected for it, so
//! an entry that is wrong takes no slot from the rest.

use std::collections;

use smol_str::SmolStr;

use crate::ids;

/// Most runners that an entry names: a few dozen bytes in each reply.
pub const MAX_REPORTED: usize = 16;

#[derive(Clone, Debug)]
struct Warning {
    heard_ms: u64,
    runners: Vec<ids::Incarnation>,
}

/// The last word of each other entry.
#[derive(Clone, Debug, Default)]
pub struct Warnings {
    by_entry: collections::BTreeMap<SmolStr, Warning>,
}

impl Warnings {
    /// An entry named the runners that are bad by its own evidence.
    pub fn record_report(&mut self, now_ms: u64, entry: &SmolStr, runners: &[ids::Incarnation]) {
        if runners.is_empty() {
            self.by_entry.remove(entry);
            return;
        }
        let named = runners.iter().take(MAX_REPORTED);
        let warning = Warning {
            heard_ms: now_ms,
            runners: named.copied().collect(),
        };
        self.by_entry.insert(entry.clone(), warning);
    }

    /// Forgets what was last heard before then.
    pub fn expire(&mut self, since_ms: u64) {
        self.by_entry
            .retain(|_, warning| warning.heard_ms >= since_ms);
    }

    /// Whether any entry names this life of a runner.
    pub fn is_reported(&self, runner: ids::Incarnation) -> bool {
        let mut warnings = self.by_entry.values();
        warnings.any(|warning| warning.runners.contains(&runner))
    }
}
