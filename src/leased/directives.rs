//! What operators have asked for, and how it spreads while the store is away for some.
//!
//! Entries read the store; everybody else, and an entry that can't reach it, hears from
//! the processes it talks to anyway. A state is replaced by a later one only, so nothing
//! ever goes back within the life of a process.

use std::sync;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::leased::queues;

/// Everything that operators have in force, as of one position in the store.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Directives {
    /// Position in the store up to which everything is contained; greater is later.
    pub position: u64,
    /// The configuration's version, for logs; 0: there is none yet.
    pub version: u64,
    /// The queues.
    pub queues: Vec<queues::Queue>,
    /// Bounds on what callers send.
    pub bounds: queues::Bounds,
    /// Availability zones that operators have taken out of service.
    pub zones_out: Vec<SmolStr>,
}

impl Directives {
    /// Whether there is a configuration.
    pub const fn is_configured(&self) -> bool {
        self.version > 0
    }

    /// Whether operators have taken the availability zone out.
    pub fn is_out(&self, zone: &str) -> bool {
        self.zones_out.iter().any(|out| out == zone)
    }
}

/// The directives in force at one process.
#[derive(Clone, Debug, Default)]
pub struct InForce {
    current: sync::Arc<Directives>,
}

impl InForce {
    /// What is in force.
    pub const fn get(&self) -> &sync::Arc<Directives> {
        &self.current
    }

    /// Position of what is in force.
    pub fn position(&self) -> u64 {
        self.current.position
    }

    /// Takes a later state; whether it was later.
    ///
    /// Copies arrive by several ways, in any order, some from a process that was cut off
    /// for long. Taking an older one would route by a removed queue, or start tasks in
    /// an availability zone that is out.
    pub fn advance(&mut self, heard: Directives) -> bool {
        if heard.position <= self.current.position {
            return false;
        }
        if heard.version < self.current.version {
            log::warn!(event = "directives.older", position = heard.position, version = heard.version, held = self.current.version; "passed over");
            return false;
        }
        log::info!(event = "directives.in_force", position = heard.position, version = heard.version, queues = heard.queues.len(), zones_out:? = heard.zones_out; "in force");
        self.current = sync::Arc::new(heard);
        true
    }

    /// A copy for a process that holds only what was in force at `position`.
    pub fn news_since(&self, position: u64) -> Option<Directives> {
        (self.current.position > position).then(|| Directives::clone(&self.current))
    }
}
