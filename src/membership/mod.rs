//! Which processes there are, as one entry hears it from themselves.

pub mod announcements;
pub mod contacts;
pub mod entry_list;

use std::collections;

use smol_str::SmolStr;

use crate::ids;
use crate::wire;

slotmap::new_key_type! {
    /// Key of one life of a runner; never valid for another life.
    pub struct RunnerKey;
}

/// A rack as a small number, the same for all runners in it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Rack(pub u32);

/// One life of a runner, as an entry knows it.
#[derive(Clone, Debug)]
pub struct Runner {
    /// Who it is.
    pub peer: wire::Peer,
    /// Its rack.
    pub rack: Rack,
    /// Its load as last heard.
    pub load: wire::Load,
    /// When it was last heard, monotonic milliseconds.
    pub last_seen_ms: u64,
    /// Whether it said that it is stopping.
    pub is_leaving: bool,
    /// Until when it is sent nothing: it refused for a reason that lasts, or could
    /// not be connected to.
    pub backoff_until_ms: u64,
    /// Revision of the settings in force there, as last heard.
    pub revision: Option<u64>,
    /// Tasks of this entry handed to it and not settled.
    pub in_flight: u32,
    /// What those are expected to take.
    pub in_flight_used: wire::Resources,
}

/// One life of an entry, as another entry knows it.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Who it is.
    pub peer: wire::Peer,
    /// When it was last heard, monotonic milliseconds.
    pub last_seen_ms: u64,
    /// Whether it said that it is stopping.
    pub is_leaving: bool,
    /// Revision of the settings in force there, as last heard.
    pub revision: Option<u64>,
    /// Slots in service that it sees.
    pub slots: u32,
}

/// What an entry said of itself.
#[derive(Clone, Copy, Debug, Default)]
pub struct EntryStatus {
    /// Whether it is stopping.
    pub is_leaving: bool,
    /// Revision of the settings in force there.
    pub revision: Option<u64>,
    /// Slots in service that it sees.
    pub slots: u32,
}

/// What a heartbeat changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Update {
    /// Nothing worth telling.
    Unchanged,
    /// A process not known before.
    New,
    /// Another life of a known runner; the life under the key is over.
    Replaced(RunnerKey),
    /// An older life than the one known; passed over.
    Stale,
}

/// The processes known.
#[derive(Debug, Default)]
pub struct Members {
    runners: slotmap::SlotMap<RunnerKey, Runner>,
    by_name: collections::HashMap<SmolStr, RunnerKey>,
    racks: collections::HashMap<SmolStr, Rack>,
    entries: collections::HashMap<SmolStr, Entry>,
}

impl Members {
    /// A runner said that it is there.
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

    /// Sends nothing to the runners of a zone until then.
    ///
    /// The first refusal from a zone that was taken out tells for all its runners;
    /// without this each of them would refuse once.
    pub fn back_off_zone(&mut self, zone: &str, until_ms: u64) {
        let of_zone = self.runners.values_mut();
        for runner in of_zone.filter(|runner| runner.peer.zone == zone) {
            runner.backoff_until_ms = runner.backoff_until_ms.max(until_ms);
        }
    }

    /// An entry said that it is there, or another named it.
    pub fn record_entry(&mut self, now_ms: u64, peer: &wire::Peer, news: EntryStatus) {
        let known = self.entries.get(&peer.name);
        if known.is_some_and(|known| known.peer.incarnation > peer.incarnation) {
            return;
        }
        let entry = Entry {
            peer: peer.clone(),
            last_seen_ms: now_ms,
            is_leaving: news.is_leaving,
            revision: news.revision,
            slots: news.slots,
        };
        self.entries.insert(peer.name.clone(), entry);
    }

    /// Another entry named one that this one may not have heard itself.
    pub fn record_named_entry(&mut self, now_ms: u64, peer: &wire::Peer) {
        let known = self.entries.get(&peer.name);
        if known.is_none_or(|known| known.peer.incarnation < peer.incarnation) {
            self.record_entry(now_ms, peer, EntryStatus::default());
        }
    }

    /// Looks at a runner.
    pub fn runner(&self, key: RunnerKey) -> Option<&Runner> {
        self.runners.get(key)
    }

    /// Changes a runner.
    pub fn runner_mut(&mut self, key: RunnerKey) -> Option<&mut Runner> {
        self.runners.get_mut(key)
    }

    /// Forgets a life whose successor was heard; its name stays the successor's.
    ///
    /// A runner that is replaced within two heartbeats was heard lately in both lives.
    /// If the past one were kept until it is silent, it would be sent work, all of which
    /// is refused or lost, and its slots would count twice.
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

    /// All runners.
    pub fn runners(&self) -> impl Iterator<Item = (RunnerKey, &Runner)> {
        self.runners.iter()
    }

    /// All entries.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// The life of an entry, where it is the one last heard under its name.
    pub fn entry(&self, name: &str, incarnation: ids::Incarnation) -> Option<&Entry> {
        self.entries
            .get(name)
            .filter(|entry| entry.peer.incarnation == incarnation)
    }

    /// Whether a later life of that name was heard, so that the earlier one is over.
    pub fn is_entry_replaced(&self, name: &str, incarnation: ids::Incarnation) -> bool {
        self.entries
            .get(name)
            .is_some_and(|entry| entry.peer.incarnation > incarnation)
    }

    /// Forgets runners that were silent for so long and have nothing in flight.
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

    /// This process was paused for so long: the silence was its own.
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
    /// Takes a load over if it is later than the one known.
    ///
    /// Loads ride on answers that may cross; an earlier one would bring back
    /// slots that are taken.
    pub const fn update_load(&mut self, load: wire::Load) {
        if load.sequence <= self.load.sequence {
            return;
        }
        self.load = load;
    }

    /// Slots thought to be free; below zero: tasks wait there.
    ///
    /// Its own share of the load is replaced by what this entry knows to be in
    /// flight, so that neither a dispatch nor an answer on its way is miscounted.
    pub fn free_slots(&self) -> i64 {
        let load = &self.load;
        let others = i64::from(load.busy) + i64::from(load.parked) - i64::from(load.mine);
        i64::from(load.slots) - others.max(0) - i64::from(self.in_flight)
    }

    /// What is thought to be free of its worker.
    pub fn free_resources(&self) -> wire::Resources {
        let others = self.load.used.minus(&self.load.mine_used);
        self.load.size.minus(&others.plus(&self.in_flight_used))
    }

    /// A task was handed to it.
    pub const fn add_in_flight(&mut self, need: &wire::Resources) {
        self.in_flight += 1;
        self.in_flight_used = self.in_flight_used.plus(need);
    }

    /// A task handed to it is settled.
    pub const fn remove_in_flight(&mut self, need: &wire::Resources) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.in_flight_used = self.in_flight_used.minus(need);
    }
}
