//! Gradual return of availability zones to service.
//!
//! A zone returns empty while the other zones are full. Without a ramp all waiting tasks would
//! go there within a round trip, before a single task has shown that the zone is healthy. So
//! the usable share of its slots grows to all of them over `policy.ramp_ms`. Its length is a
//! trade-off for each deployment: a short ramp favours throughput, a long one response time,
//! since a faulty zone is detected before it has much work.

use std::collections;

use smol_str::SmolStr;

use crate::settings;

/// Time of a zone's return, and the revision of the settings that returned it.
#[derive(Clone, Copy, Debug)]
struct Return {
    at_ms: u64,
    revision: Option<u64>,
}

/// Zones that have returned to service.
#[derive(Clone, Debug, Default)]
pub struct Ramps {
    returns: collections::BTreeMap<SmolStr, Return>,
}

/// Slots of a runner that may be used.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Share {
    /// All slots.
    All,
    /// This number of slots.
    Slots(u32),
}

impl Ramps {
    /// Records the zones that a change of the settings returns to service.
    pub fn settings_changed(
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

    /// Returns how many of a runner's slots may be used now.
    ///
    /// A runner whose settings predate the return of its zone refuses every task, so no slot is
    /// used until the runner reports the new revision. From then on at least one slot is used,
    /// since only tasks can show that the zone is healthy.
    pub fn share(
        &self,
        now_ms: u64,
        zone: &str,
        slots: u32,
        revision: Option<u64>,
        ramp_ms: u32,
    ) -> Share {
        let Some(recorded) = self.returns.get(zone) else {
            return Share::All;
        };
        if revision < recorded.revision {
            return Share::Slots(0);
        }
        let elapsed_ms = now_ms.saturating_sub(recorded.at_ms);
        let ramp_ms = u64::from(ramp_ms);
        if elapsed_ms >= ramp_ms {
            return Share::All;
        }
        let usable = (u64::from(slots) * elapsed_ms).div_ceil(ramp_ms);
        Share::Slots(u32::try_from(usable).unwrap_or(slots).clamp(1, slots))
    }
}
