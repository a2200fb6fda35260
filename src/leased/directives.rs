//! What operators have asked for, and how it spreads while the store is away for some.
//!
//! Entries read the store; everybody else, and an entry that can't reach it, is told by
//! the processes it talks to anyway where it stands, and an entry fetches the queues from
//! one that has them. A state is replaced by a later one only, so nothing ever goes back
//! within the life of a process.

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
    pub queues: sync::Arc<[queues::Queue]>,
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
}

/// Where operators' changes stand, without the queues.
///
/// Its size doesn't grow with what operators configure, so it goes along with messages
/// whose time limits are those of a few hundred bytes. Entries fetch the rest.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Notice {
    /// Position in the store up to which everything is contained; greater is later.
    pub position: u64,
    /// The configuration's version; 0: there is none yet.
    pub version: u64,
    /// Availability zones that operators have taken out of service.
    pub zones_out: Vec<SmolStr>,
}

impl From<&Directives> for Notice {
    fn from(directives: &Directives) -> Self {
        Self {
            position: directives.position,
            version: directives.version,
            zones_out: directives.zones_out.clone(),
        }
    }
}

/// The latest that a process was told.
#[derive(Clone, Debug, Default)]
pub struct LatestNotice(Notice);

impl LatestNotice {
    /// What was told.
    pub const fn get(&self) -> &Notice {
        &self.0
    }

    /// Whether operators have taken the availability zone out.
    pub fn is_zone_out(&self, zone: &str) -> bool {
        self.0.zones_out.iter().any(|out| out == zone)
    }

    /// Takes a later notice; whether it was later.
    ///
    /// Copies arrive by several ways, in any order, some from a process that was cut off
    /// for long. Taking an older one would start tasks in an availability zone that is out.
    pub fn update(&mut self, heard: &Notice) -> bool {
        if heard.position <= self.0.position {
            return false;
        }
        if heard.version < self.0.version {
            log::warn!(event = "directives.older", position = heard.position, version = heard.version, held = self.0.version; "passed over");
            return false;
        }
        log::info!(event = "directives.noticed", position = heard.position, version = heard.version, zones_out:? = heard.zones_out; "noticed");
        self.0 = heard.clone();
        true
    }

    /// The notice for a process that was told only up to `position`.
    pub fn notice_since(&self, position: u64) -> Option<Notice> {
        (self.0.position > position).then(|| self.0.clone())
    }
}

/// The directives in force at an entry.
#[derive(Clone, Debug, Default)]
pub struct InForce {
    latest: LatestNotice,
    current: sync::Arc<Directives>,
}

impl InForce {
    /// The latest whole directives; availability zones may have gone out since.
    pub const fn get(&self) -> &sync::Arc<Directives> {
        &self.current
    }

    /// The latest that was told.
    pub const fn latest(&self) -> &LatestNotice {
        &self.latest
    }

    /// Whether a later configuration was told of than the one that is here.
    pub fn is_outdated(&self) -> bool {
        self.latest.get().version > self.current.version
    }

    /// Takes a later notice; whether it was later.
    pub fn update_notice(&mut self, heard: &Notice) -> bool {
        self.latest.update(heard)
    }

    /// Takes later directives; whether they were later.
    ///
    /// An older configuration would route by a removed queue.
    pub fn advance(&mut self, heard: Directives) -> bool {
        self.latest.update(&Notice::from(&heard));
        let held = &self.current;
        if heard.position <= held.position || heard.version < held.version {
            return false;
        }
        log::info!(event = "directives.in_force", position = heard.position, version = heard.version, queues = heard.queues.len(); "in force");
        self.current = sync::Arc::new(heard);
        true
    }
}
