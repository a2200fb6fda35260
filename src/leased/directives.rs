//! The operators' directives: queues, limits and availability zones out of service.
//!
//! Entries read them from the store. Runners, and entries that can't reach the store, receive
//! a short [`Notice`] of the latest version with the messages of the processes they talk to,
//! and an entry fetches the queues from another entry that has them. Directives are replaced
//! by later ones only, so a process never goes back to an older version.

use std::sync;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::leased::queues;

/// All directives, as of one position in the store.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Directives {
    /// Position in the store up to which all changes are included; greater is later.
    pub position: u64,
    /// Version of the configuration, for logs; 0 if there is none yet.
    pub version: u64,
    /// The queues.
    pub queues: sync::Arc<[queues::Queue]>,
    /// Limits on what callers send.
    pub bounds: queues::Bounds,
    /// Availability zones that operators have taken out of service.
    pub zones_out: Vec<SmolStr>,
}

impl Directives {
    /// Returns whether there is a configuration.
    pub const fn is_configured(&self) -> bool {
        self.version > 0
    }
}

/// Version of the directives and the availability zones out of service, without the queues.
///
/// Its size does not grow with the configuration, so it can be sent with messages whose
/// time-outs are meant for a few hundred bytes. Entries fetch the queues separately.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Notice {
    /// Position in the store up to which all changes are included; greater is later.
    pub position: u64,
    /// Version of the configuration; 0 if there is none yet.
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

/// The latest notice that a process has received.
#[derive(Clone, Debug, Default)]
pub struct LatestNotice(Notice);

impl LatestNotice {
    /// Returns the notice.
    pub const fn get(&self) -> &Notice {
        &self.0
    }

    /// Returns whether operators have taken the availability zone out of service.
    pub fn is_zone_out(&self, zone: &str) -> bool {
        self.0.zones_out.iter().any(|out| out == zone)
    }

    /// Replaces the notice if the received one is later; returns whether it was.
    ///
    /// Copies arrive over several links and out of order, some from a process that was
    /// partitioned for long. Accepting an older one would start tasks in an availability zone
    /// that is out of service.
    pub fn update(&mut self, received: &Notice) -> bool {
        if received.position <= self.0.position {
            return false;
        }
        if received.version < self.0.version {
            log::warn!(event = "directives.older", position = received.position, version = received.version, held = self.0.version; "ignoring a notice with a later position but an older configuration");
            return false;
        }
        log::info!(event = "directives.noticed", position = received.position, version = received.version, zones_out:? = received.zones_out; "received notice of later directives");
        self.0 = received.clone();
        true
    }

    /// Returns the notice if it is later than `position`, which the recipient already has.
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
    /// Returns the latest complete directives; [`Self::latest`] may list more availability
    /// zones out of service.
    pub const fn get(&self) -> &sync::Arc<Directives> {
        &self.current
    }

    /// Returns the latest notice.
    pub const fn latest(&self) -> &LatestNotice {
        &self.latest
    }

    /// Returns whether a notice announced a later configuration than the one in force.
    pub fn is_outdated(&self) -> bool {
        self.latest.get().version > self.current.version
    }

    /// Replaces the latest notice if the received one is later; returns whether it was.
    pub fn update_notice(&mut self, received: &Notice) -> bool {
        self.latest.update(received)
    }

    /// Replaces the directives if the received ones are later; returns whether they were.
    ///
    /// An older configuration would still route to a queue that has been removed.
    pub fn advance(&mut self, received: Directives) -> bool {
        self.latest.update(&Notice::from(&received));
        let in_force = &self.current;
        if received.position <= in_force.position || received.version < in_force.version {
            return false;
        }
        log::info!(event = "directives.in_force", position = received.position, version = received.version, queues = received.queues.len(); "applied new directives");
        self.current = sync::Arc::new(received);
        true
    }
}
