//! The return of availability zones.
//!
//! Answers the load pattern of a zone that comes back empty while the others are
//! full: all that waits would go there within a round trip, before a single task has
//! shown that the zone is well. Instead its share of slots grows to the whole over
//! `policy.ramp_ms`. How long that is, each deployment says: work done asks for a
//! short ramp, response time for one in which a bad zone shows first.

use std::collections;

use smol_str::SmolStr;

use crate::settings;

/// When a zone came back, and with which revision.
#[derive(Clone, Copy, Debug)]
struct Return {
    at_ms: u64,
    revision: Option<u64>,
}

/// The zones that came back lately.
#[derive(Clone, Debug, Default)]
pub struct Ramps {
    returns: collections::BTreeMap<SmolStr, Return>,
}

/// How far a zone has come back.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Share {
    /// All slots may be used.
    Whole,
    /// So many of its slots may be used.
    Slots(u32),
}

impl Ramps {
    /// New settings are in force: notes the zones that come back with them.
    pub fn change(
        &mut self,
        now_ms: u64,
        old: &settings::Settings,
        new: &settings::Settings,
        revision: Option<u64>,
    ) {
        let returned = old.zones_out().into_iter();
        for zone in returned.filter(|zone| !new.is_zone_out(zone)) {
            let at_ms = now_ms;
            self.returns.insert(zone, Return { at_ms, revision });
        }
        self.returns.retain(|zone, _| !new.is_zone_out(zone));
    }

    /// How many of a runner's slots may be used now.
    ///
    /// A runner that has not heard of its zone's return would refuse whatever it is
    /// sent, so it has no share until its own revision shows that it knows. At least
    /// one slot is used from then on: only work can show that the zone is well.
    pub fn share(
        &self,
        now_ms: u64,
        zone: &str,
        slots: u32,
        revision: Option<u64>,
        ramp_ms: u32,
    ) -> Share {
        let Some(back) = self.returns.get(zone) else {
            return Share::Whole;
        };
        if revision < back.revision {
            return Share::Slots(0);
        }
        let passed_ms = now_ms.saturating_sub(back.at_ms);
        let ramp_ms = u64::from(ramp_ms);
        if passed_ms >= ramp_ms {
            return Share::Whole;
        }
        let part = (u64::from(slots) * passed_ms).div_ceil(ramp_ms);
        Share::Slots(u32::try_from(part).unwrap_or(slots).clamp(1, slots))
    }
}
