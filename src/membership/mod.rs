//! Processes known to an entry, as they report themselves in heartbeats.

pub mod announcements;
pub mod contacts;
pub mod entry_list;

use std::collections;

use smol_str::SmolStr;

use crate::ids;
use crate::wire;

slotmap::new_key_type! {
    /// Key of one incarnation of a runner; never valid for another incarnation.
    pub struct RunnerKey;
}

/// Number that stands for a rack's name; equal for all runners in the rack.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Rack(pub u32);

/// One incarnation of a runner, as an entry knows it.
#[derive(Clone, Debug)]
pub struct Runner {
    /// Its name, incarnation, place and address.
    pub peer: wire::Peer,
    /// Its rack.
    pub rack: Rack,
    /// Last reported load.
    pub load: wire::Load,
    /// Time of the last message from it, monotonic milliseconds.
    pub last_seen_ms: u64,
    /// Whether it reported that it is stopping.
    pub is_leaving: bool,
    /// Time until which no tasks are sent to it, monotonic milliseconds: it refused for a
    /// reason that persists, or no connection could be made.
    pub backoff_until_ms: u64,
    /// Last reported revision of its settings.
    pub revision: Option<u64>,
    /// Number of this entry's tasks that were sent to it and have no outcome yet.
    pub in_flight: u32,
    /// Expected resource use of those tasks.
    pub in_flight_used: wire::Resources,
}

/// One incarnation of an entry, as another entry knows it.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Its name, incarnation, place and address.
    pub peer: wire::Peer,
    /// Time of the last message from it, or of its first mention by another entry,
    /// monotonic milliseconds.
    pub last_seen_ms: u64,
    /// Whether it reported that it is stopping.
    pub is_leaving: bool,
    /// Last reported revision of its settings.
    pub revision: Option<u64>,
    /// Number of slots in service that it knows of.
    pub slots: u32,
}

/// State that an entry reports about itself.
#[derive(Clone, Copy, Debug, Default)]
pub struct EntryStatus {
    /// Whether it is stopping.
    pub is_leaving: bool,
    /// Revision of its settings.
    pub revision: Option<u64>,
    /// Number of slots in service that it knows of.
    pub slots: u32,
}

/// Effect of a runner's heartbeat on the member list.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Update {
    /// The incarnation was known already.
    Unchanged,
    /// The runner was not known before.
    New,
    /// A later incarnation of a known runner; the one under the key has ended.
    Replaced(RunnerKey),
    /// An earlier incarnation than the known one, or a heartbeat without a load; ignored.
    Stale,
}

/// Known runners and entries.
#[derive(Debug, Default)]
pub struct Members {
    runners: slotmap::SlotMap<RunnerKey, Runner>,
    by_name: collections::HashMap<SmolStr, RunnerKey>,
    racks: collections::HashMap<SmolStr, Rack>,
    entries: collections::HashMap<SmolStr, Entry>,
}

impl Members {
    /// Records a runner's heartbeat.
    pub fn record_runner(&mut self, now_ms: u64, heartbeat: &wire::Heartbeat) -> Update {
        let Some(load) = heartbeat.load else {
            return Update::Stale;
        };
        let known = self.by_name.get(&heartbeat.sender.name).copied();
        let Some((key, runner)) = known.and_then(|key| Some((key, self.runners.get_mut(key)?)))
        else {
            self.add_runner(now_ms, heartbeat, load);
            return Update::New;
        };
        if heartbeat.sender.incarnation < runner.peer.incarnation {
            return Update::Stale;
        }
        if heartbeat.sender.incarnation > runner.peer.incarnation {
            self.add_runner(now_ms, heartbeat, load);
            return Update::Replaced(key);
        }
        runner.last_seen_ms = now_ms;
        runner.is_leaving |= heartbeat.leaving;
        runner.revision = heartbeat.revision;
        runner.peer = heartbeat.sender.clone();
        runner.update_load(load);
        Update::Unchanged
    }

    fn add_runner(&mut self, now_ms: u64, heartbeat: &wire::Heartbeat, load: wire::Load) {
        let rack = self.rack(&heartbeat.sender.rack);
        let key = self.runners.insert(Runner {
            peer: heartbeat.sender.clone(),
            rack,
            load,
            last_seen_ms: now_ms,
            is_leaving: heartbeat.leaving,
            backoff_until_ms: 0,
            revision: heartbeat.revision,
            in_flight: 0,
            in_flight_used: wire::Resources::default(),
        });
        self.by_name.insert(heartbeat.sender.name.clone(), key);
    }

    fn rack(&mut self, name: &SmolStr) -> Rack {
        let next = Rack(u32::try_from(self.racks.len()).unwrap_or(u32::MAX));
        *self.racks.entry(name.clone()).or_insert(next)
    }

    /// Sends no tasks to the runners of a zone until `until_ms`.
    ///
    /// The first refusal from a zone that was taken out holds for all its runners;
    /// without this each of them would have to refuse once.
    pub fn back_off_zone(&mut self, zone: &str, until_ms: u64) {
        let all = self.runners.values_mut();
        for runner in all.filter(|runner| runner.peer.zone == zone) {
            runner.backoff_until_ms = runner.backoff_until_ms.max(until_ms);
        }
    }

    /// Records an entry's heartbeat or reply; ignores one of an earlier incarnation.
    pub fn record_entry(&mut self, now_ms: u64, peer: &wire::Peer, status: EntryStatus) {
        let known = self.entries.get(&peer.name);
        if known.is_some_and(|known| known.peer.incarnation > peer.incarnation) {
            return;
        }
        let entry = Entry {
            peer: peer.clone(),
            last_seen_ms: now_ms,
            is_leaving: status.is_leaving,
            revision: status.revision,
            slots: status.slots,
        };
        self.entries.insert(peer.name.clone(), entry);
    }

    /// Records an entry reported by another one, unless this incarnation is known already.
    pub fn record_reported_entry(&mut self, now_ms: u64, peer: &wire::Peer) {
        let known = self.entries.get(&peer.name);
        if known.is_none_or(|known| known.peer.incarnation < peer.incarnation) {
            self.record_entry(now_ms, peer, EntryStatus::default());
        }
    }

    /// Returns a runner.
    pub fn runner(&self, key: RunnerKey) -> Option<&Runner> {
        self.runners.get(key)
    }

    /// Returns a runner for modification.
    pub fn runner_mut(&mut self, key: RunnerKey) -> Option<&mut Runner> {
        self.runners.get_mut(key)
    }

    /// Removes an incarnation that a later one has replaced.
    ///
    /// If a runner is replaced within two heartbeats, both incarnations were seen recently.
    /// Keeping the earlier one until it counts as silent would send it tasks, all of which
    /// are refused or lost, and would count its slots twice.
    pub fn remove_replaced(&mut self, key: RunnerKey) {
        let is_current = |runner: &Runner| self.by_name.get(&runner.peer.name) == Some(&key);
        if self
            .runners
            .get(key)
            .is_some_and(|runner| !is_current(runner))
        {
            self.runners.remove(key);
        }
    }

    /// Iterates over all runners.
    pub fn runners(&self) -> impl Iterator<Item = (RunnerKey, &Runner)> {
        self.runners.iter()
    }

    /// Iterates over all entries.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// Returns an entry if the given incarnation is the latest known one.
    pub fn entry(&self, name: &str, incarnation: ids::Incarnation) -> Option<&Entry> {
        self.entries
            .get(name)
            .filter(|entry| entry.peer.incarnation == incarnation)
    }

    /// Returns whether a later incarnation of an entry is known, so that the given one has ended.
    pub fn is_entry_replaced(&self, name: &str, incarnation: ids::Incarnation) -> bool {
        self.entries
            .get(name)
            .is_some_and(|entry| entry.peer.incarnation > incarnation)
    }

    /// Removes processes that have been silent for `after_ms`, except runners with tasks in flight.
    pub fn remove_silent(&mut self, now_ms: u64, after_ms: u64) {
        let by_name = &mut self.by_name;
        self.runners.retain(|key, runner| {
            let is_kept =
                runner.in_flight > 0 || runner.last_seen_ms.saturating_add(after_ms) > now_ms;
            if !is_kept && by_name.get(&runner.peer.name) == Some(&key) {
                by_name.remove(&runner.peer.name);
            }
            is_kept
        });
        self.entries
            .retain(|_, entry| entry.last_seen_ms.saturating_add(after_ms) > now_ms);
    }

    /// Moves all last-seen times forward by the time for which this process was suspended.
    ///
    /// The others were not silent in that time; this process could not receive.
    pub fn shift_last_seen(&mut self, paused_ms: u64) {
        for runner in self.runners.values_mut() {
            runner.last_seen_ms += paused_ms;
        }
        for entry in self.entries.values_mut() {
            entry.last_seen_ms += paused_ms;
        }
    }
}

impl Runner {
    /// Replaces the load if the new one has a later sequence number.
    ///
    /// Loads arrive with replies, which may overtake each other; an earlier load would show
    /// slots as free that are in use.
    pub const fn update_load(&mut self, load: wire::Load) {
        if load.sequence <= self.load.sequence {
            return;
        }
        self.load = load;
    }

    /// Estimates the number of free slots; negative if tasks wait at the runner.
    ///
    /// This entry's share of the reported load is replaced by its own count of tasks in
    /// flight, so that dispatches and replies under way are counted correctly.
    pub fn free_slots(&self) -> i64 {
        let load = &self.load;
        let others = i64::from(load.busy) + i64::from(load.parked) - i64::from(load.mine);
        i64::from(load.slots) - others.max(0) - i64::from(self.in_flight)
    }

    /// Estimates the free resources of the runner's worker.
    pub fn free_resources(&self) -> wire::Resources {
        let others = self.load.used.minus(&self.load.mine_used);
        self.load.size.minus(&others.plus(&self.in_flight_used))
    }

    /// Counts a task that was sent to the runner.
    pub const fn add_in_flight(&mut self, need: &wire::Resources) {
        self.in_flight += 1;
        self.in_flight_used = self.in_flight_used.plus(need);
    }

    /// Stops counting a task that was sent to the runner and now has an outcome.
    pub const fn remove_in_flight(&mut self, need: &wire::Resources) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.in_flight_used = self.in_flight_used.minus(need);
    }
}
