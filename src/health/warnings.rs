//! Reports of other entries about bad backend servers.
//!
//! Without them each entry would have to gather the same evidence with its own jobs. A
//! report only makes other runners with a free slot preferred and never ejects a runner,
//! so an entry that is wrong takes no slot from the others.

use std::collections;

use smol_str::SmolStr;

use crate::ids;

/// Maximum number of runners in a report, which adds a few dozen bytes to each reply.
pub const MAX_REPORTED: usize = 16;

#[derive(Clone, Debug)]
struct Warning {
    received_ms: u64,
    runners: Vec<ids::Incarnation>,
}

/// Latest report of each other entry.
#[derive(Clone, Debug, Default)]
pub struct Warnings {
    by_entry: collections::BTreeMap<SmolStr, Warning>,
}

impl Warnings {
    /// Replaces the report of an entry: the runners that are bad by its own evidence.
    pub fn record_report(&mut self, now_ms: u64, entry: &SmolStr, runners: &[ids::Incarnation]) {
        if runners.is_empty() {
            self.by_entry.remove(entry);
            return;
        }
        let reported = runners.iter().take(MAX_REPORTED);
        let warning = Warning {
            received_ms: now_ms,
            runners: reported.copied().collect(),
        };
        self.by_entry.insert(entry.clone(), warning);
    }

    /// Removes reports received before `since_ms`.
    pub fn expire(&mut self, since_ms: u64) {
        self.by_entry
            .retain(|_, warning| warning.received_ms >= since_ms);
    }

    /// Returns whether any entry reports this incarnation of a runner.
    pub fn is_reported(&self, runner: ids::Incarnation) -> bool {
        let mut warnings = self.by_entry.values();
        warnings.any(|warning| warning.runners.contains(&runner))
    }
}
