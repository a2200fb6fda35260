//! Chooses the runners at which an entry keeps a watch open.
//!
//! With dozens of entries and hundreds of runners, an entry that watched every runner would spend
//! more processor time on runners than on its callers, and each runner would serve every entry.
//!
//! An entry watches the runners that hold its runs, whose leases it has to renew, and a bounded
//! set in which it looks for free capacity. Each entry orders the runners of a service by
//! rendezvous hashing, most of the first ones from its own availability zone. The set is the
//! shortest prefix of that order with enough runners that accept work, so the next runners
//! replace those that fail. While the set is short of free capacity, the entry probes a few
//! runners outside it and keeps watching those that it uses.

use std::collections;

use smol_str::SmolStr;

use crate::leased::dispatch;
use crate::leased::dispatch::runners;
use crate::leased::messages;
use crate::leased::ports;

/// Default number of runners of a service that accept work and are always watched.
pub const DEFAULT_SET_SIZE: usize = 24;

/// Number of runners of the entry's own availability zone for each runner of another zone.
///
/// Runners of other zones remain in the set if the whole zone fails, and carry directives
/// between zones.
const NEAR_PER_FAR: usize = 5;

/// Time after opening a watch during which a runner counts as one that accepts work, in
/// milliseconds: enough for a connection, a request and its answer.
const OPENING_GRACE_MS: u64 = 300;

/// Number of runners with free capacity below which runners outside the set are probed.
const LOW_CAPACITY_RUNNERS: usize = 4;

/// Maximum number of runners probed at once.
const PROBES_PER_ROUND: usize = 6;

/// Maximum number of watched runners that are outside the set and hold no runs of this entry.
const MAX_EXTRA_WATCHES: usize = 24;

/// Maximum number of runners considered for one round of probes.
const MAX_PROBE_CANDIDATES: usize = 4 * PROBES_PER_ROUND;

/// Minimum pause between rounds of probes, in milliseconds: a round trip and the answer.
const MIN_PROBE_PAUSE_MS: u64 = 10;

/// Maximum pause between rounds of probes, in milliseconds.
const MAX_PROBE_PAUSE_MS: u64 = 320;

/// Time for which a runner outside the set stays watched after a probe or use, in milliseconds.
const EXTRA_WATCH_MS: u64 = 500;

/// Time for which a runner that didn't answer is not probed again, in milliseconds.
const UNANSWERED_PAUSE_MS: u64 = 5_000;

/// Time for which no watch is opened at a runner that is leaving, in milliseconds.
///
/// The runner exits once no entry watches it, and its next incarnation is found soon enough.
const LEAVING_PAUSE_MS: u64 = 500;

/// State of the watch at a runner.
#[derive(Clone, Copy, Debug, Default)]
pub struct Watch {
    /// Time at which the watch was opened; `None` if it is closed.
    pub opened_ms: Option<u64>,
    /// Time until which the watch stays open although the runner is outside the set.
    pub keep_until_ms: u64,
    /// Time until which the watch stays closed unless the runner holds runs.
    pub closed_until_ms: u64,
    /// Position of the runner in the order of its service.
    pub rank: usize,
}

impl Watch {
    /// Returns whether the watch may be opened.
    const fn can_open(&self, now_ms: u64) -> bool {
        self.opened_ms.is_none() && now_ms >= self.closed_until_ms
    }

    /// Returns whether the watch may be opened, or was opened within [`OPENING_GRACE_MS`].
    fn is_opening(&self, now_ms: u64) -> bool {
        let is_in_grace = |opened_ms| now_ms < opened_ms + OPENING_GRACE_MS;
        self.can_open(now_ms) || self.opened_ms.is_some_and(is_in_grace)
    }
}

/// Progress of the probes outside the set.
#[derive(Clone, Copy, Debug, Default)]
struct Probing {
    /// Offset of the next runner to probe, counted from the end of the set.
    cursor: usize,
    last_probe_ms: u64,
    pause_ms: u64,
}

/// Runners of one service, in the order in which they enter the set.
#[derive(Clone, Debug, Default)]
pub struct Group {
    order: Vec<runners::RunnerKey>,
    /// Number of runners in the set.
    set_len: usize,
    probing: Probing,
}

impl Group {
    /// Merges the runners of the entry's own zone and of others, each in this entry's order.
    pub fn new(near: &[runners::RunnerKey], far: &[runners::RunnerKey]) -> Self {
        let mut far_left = far.iter();
        let mut order = Vec::with_capacity(near.len() + far.len());
        for row in near.chunks(NEAR_PER_FAR) {
            order.extend(row);
            order.extend(far_left.next());
        }
        order.extend(far_left);
        Self {
            order,
            ..Self::default()
        }
    }

    /// Returns the runners in the set.
    pub fn set(&self) -> &[runners::RunnerKey] {
        &self.order[..self.set_len]
    }

    /// Sets the length of the set so that it holds `size` runners for which `counts` holds, or all
    /// runners if there are fewer.
    pub fn choose(&mut self, size: usize, counts: impl Fn(runners::RunnerKey) -> bool) {
        let counted = self.order.iter().zip(1..).filter(|(key, _)| counts(**key));
        let mut lengths = counted.map(|(_, length)| length);
        let last = lengths.nth(size.saturating_sub(1));
        self.set_len = last.unwrap_or(self.order.len());
    }

    /// Returns the runners to probe now; `extra` runners outside the set are already watched.
    pub fn probe(
        &mut self,
        now_ms: u64,
        extra: usize,
        can_probe: impl Fn(runners::RunnerKey) -> bool,
    ) -> Vec<runners::RunnerKey> {
        let rest = self.order.len() - self.set_len;
        if rest == 0 || now_ms < self.probing.last_probe_ms + self.probing.pause_ms {
            return Vec::new();
        }
        let limit = PROBES_PER_ROUND.min(MAX_EXTRA_WATCHES.saturating_sub(extra));
        let mut probed = Vec::with_capacity(limit);
        for _ in 0..MAX_PROBE_CANDIDATES.min(rest) {
            if probed.len() == limit {
                break;
            }
            let key = self.order[self.set_len + self.probing.cursor % rest];
            self.probing.cursor += 1;
            if can_probe(key) {
                probed.push(key);
            }
        }
        let has_expired = now_ms > self.probing.last_probe_ms + 2 * MAX_PROBE_PAUSE_MS;
        let last_pause_ms = if has_expired {
            0
        } else {
            self.probing.pause_ms
        };
        self.probing.pause_ms = (2 * last_pause_ms).clamp(MIN_PROBE_PAUSE_MS, MAX_PROBE_PAUSE_MS);
        self.probing.last_probe_ms = now_ms;
        probed
    }

    /// Resets the pause between probes after a runner outside the set had capacity: others may too.
    pub const fn reset_pause(&mut self) {
        self.probing.pause_ms = MIN_PROBE_PAUSE_MS;
    }
}

/// All watches of an entry.
#[derive(Clone, Debug)]
pub struct Watches {
    /// Number of runners of a service in the set that accept work.
    pub size: usize,
    groups: collections::BTreeMap<SmolStr, Group>,
    /// Keys of the runners with an open watch.
    open: Vec<runners::RunnerKey>,
    /// Whether runners were added, removed or moved since the groups were built.
    pub is_stale: bool,
}

impl Default for Watches {
    fn default() -> Self {
        Self {
            size: DEFAULT_SET_SIZE,
            groups: collections::BTreeMap::new(),
            open: Vec::new(),
            is_stale: false,
        }
    }
}

impl Watches {
    /// Returns the runners with an open watch.
    pub fn open(&self) -> &[runners::RunnerKey] {
        &self.open
    }
}

/// Free capacity of a service after its waiting jobs were placed.
#[derive(Clone, Copy, Debug, Default)]
pub struct RemainingCapacity {
    /// Number of runners with capacity for another task of the largest size.
    pub runners_with_capacity: usize,
    /// Whether any job is still waiting.
    pub has_waiting: bool,
}

impl RemainingCapacity {
    fn is_low(self) -> bool {
        self.has_waiting || self.runners_with_capacity < LOW_CAPACITY_RUNNERS
    }
}

impl dispatch::Dispatcher {
    /// Adds runners whose addresses another entry reported.
    pub fn add_runners(&mut self, now_ms: u64, addresses: &[SmolStr]) -> Vec<dispatch::Action> {
        for address in addresses {
            if !self.by_address.contains_key(address) {
                let member = ports::Member {
                    address: address.clone(),
                    ..ports::Member::default()
                };
                self.add_runner(now_ms, member);
            }
        }
        self.open_watches(now_ms)
    }

    /// Replaces the store's list of runners.
    ///
    /// A runner that is no longer listed is removed once it is silent. A listed runner is kept
    /// however long it is silent.
    pub fn update_listing(
        &mut self,
        now_ms: u64,
        members: &[ports::Member],
    ) -> Vec<dispatch::Action> {
        for runner in self.runners.values_mut() {
            runner.listing = runners::Listing::Unlisted;
        }
        for member in members {
            let key = match self.by_address.get(&member.address) {
                Some(key) => *key,
                None => self.add_runner(now_ms, member.clone()),
            };
            let runner = &mut self.runners[key];
            runner.listing = runners::Listing::Listed;
            let is_described = !member.service.is_empty();
            if is_described && !runner.was_seen() && runner.member != *member {
                runner.member = member.clone();
                self.watches.is_stale = true;
            }
        }
        self.remove_silent_runners(now_ms);
        self.open_watches(now_ms)
    }

    fn add_runner(&mut self, now_ms: u64, member: ports::Member) -> runners::RunnerKey {
        log::info!(event = "runner.found", address = member.address.as_str(), zone = member.zone.as_str(); "runner added");
        let address = member.address.clone();
        let runner = runners::Runner::new(self.incarnation, member, now_ms);
        let key = self.runners.insert(runner);
        self.by_address.insert(address, key);
        self.watches.is_stale = true;
        key
    }

    /// Removes runners that are silent and that the store doesn't list.
    pub(super) fn remove_silent_runners(&mut self, now_ms: u64) {
        let before = self.runners.len();
        self.runners
            .retain(|_, runner| !runner.is_removable(now_ms));
        if self.runners.len() == before {
            return;
        }
        log::info!(event = "runner.forgotten", count = before - self.runners.len(), left = self.runners.len(); "removed runners that are silent and not listed");
        let runners = &self.runners;
        self.by_address.retain(|_, key| runners.contains_key(*key));
        self.watches.open.retain(|key| runners.contains_key(*key));
        self.health.retain(|key| runners.contains_key(key));
        self.watches.is_stale = true;
    }

    /// Takes over the service and zone that a runner reports.
    pub(super) fn update_location(&mut self, key: runners::RunnerKey) {
        let Some(runner) = self.runners.get_mut(key) else {
            return;
        };
        let (known, reported) = (&mut runner.member, &runner.load);
        let is_same = known.service == reported.service && known.zone == reported.zone;
        if reported.service.is_empty() || is_same {
            return;
        }
        known.service = reported.service.clone();
        known.zone = reported.zone.clone();
        self.watches.is_stale = true;
    }

    /// Chooses the set of each service anew and opens the missing watches.
    pub(super) fn open_watches(&mut self, now_ms: u64) -> Vec<dispatch::Action> {
        if self.watches.is_stale {
            self.rebuild_groups();
        }
        let (runners, directives) = (&self.runners, self.directives.latest());
        let counts = |key| {
            let runner: &runners::Runner = &runners[key];
            let may_count = runner.watch.is_opening(now_ms) || runner.is_usable(now_ms);
            may_count && !directives.is_zone_out(&runner.member.zone)
        };
        let mut closed = Vec::new();
        for group in self.watches.groups.values_mut() {
            group.choose(self.watches.size, counts);
            let set = group.set().iter();
            closed.extend(set.filter(|key| runners[**key].watch.can_open(now_ms)));
        }
        let opened = closed.into_iter();
        opened.map(|key| self.open_watch(now_ms, key)).collect()
    }

    fn open_watch(&mut self, now_ms: u64, key: runners::RunnerKey) -> dispatch::Action {
        self.runners[key].watch.opened_ms = Some(now_ms);
        self.watches.open.push(key);
        dispatch::Action::Watch(key)
    }

    /// Rebuilds the order of the runners of each service.
    fn rebuild_groups(&mut self) {
        self.watches.is_stale = false;
        let mut by_service: collections::BTreeMap<SmolStr, Vec<_>> = collections::BTreeMap::new();
        for (key, runner) in &self.runners {
            let service = runner.member.service.clone();
            by_service.entry(service).or_default().push(key);
        }
        let former = std::mem::take(&mut self.watches.groups);
        for (service, mut keys) in by_service {
            keys.sort_by_key(|key| self.runners[*key].preference);
            let (near, far): (Vec<_>, Vec<_>) = keys
                .into_iter()
                .partition(|key| self.runners[*key].member.zone == self.zone);
            let mut group = Group::new(&near, &far);
            for (key, rank) in group.order.iter().zip(0..) {
                self.runners[*key].watch.rank = rank;
            }
            if let Some(former) = former.get(&service) {
                group.probing = former.probing;
            }
            self.watches.groups.insert(service, group);
        }
    }

    fn is_in_set(&self, runner: &runners::Runner) -> bool {
        let group = self.watches.groups.get(&runner.member.service);
        group.is_some_and(|group| runner.watch.rank < group.set_len)
    }

    /// Closes the watch at a runner if it is not needed; returns whether it was closed.
    pub(super) fn close_idle_watch(&mut self, now_ms: u64, key: runners::RunnerKey) -> bool {
        let Some(runner) = self.runners.get(key) else {
            return false;
        };
        let is_wanted =
            now_ms < runner.watch.keep_until_ms || self.watches.is_stale || self.is_in_set(runner);
        // Until the runner answers this watch, its load may be that of its previous incarnation.
        let was_seen = runner.was_seen_since(runner.watch.opened_ms.unwrap_or(now_ms));
        let is_leaving = was_seen && runner.load.readiness == messages::Readiness::Leaving;
        if runner.placed() > 0 || (is_wanted && !is_leaving) {
            return false;
        }
        let runner = &mut self.runners[key];
        runner.watch.opened_ms = None;
        if is_leaving {
            runner.watch.closed_until_ms = now_ms + LEAVING_PAUSE_MS;
        } else if !was_seen {
            runner.watch.closed_until_ms = now_ms + UNANSWERED_PAUSE_MS;
        }
        self.watches.open.retain(|open| *open != key);
        log::debug!(event = "watch.closed", runner = runner.address().as_str(); "watch not needed any more");
        true
    }

    /// Probes a few runners outside the set if the free capacity is low.
    pub(super) fn probe_for_capacity(
        &mut self,
        now_ms: u64,
        service: &SmolStr,
        remaining: RemainingCapacity,
    ) -> Vec<dispatch::Action> {
        if !remaining.is_low() {
            return Vec::new();
        }
        let extra = self.extra_watches(service);
        let (runners, directives) = (&self.runners, self.directives.latest());
        let can_probe = |key| {
            let runner: &runners::Runner = &runners[key];
            runner.watch.can_open(now_ms) && !directives.is_zone_out(&runner.member.zone)
        };
        let Some(group) = self.watches.groups.get_mut(service) else {
            return Vec::new();
        };
        let probed = group.probe(now_ms, extra, can_probe);
        if !probed.is_empty() {
            log::info!(event = "room.sought", service = service.as_str(), with_room = remaining.runners_with_capacity, waiting = remaining.has_waiting, asked = probed.len(), watched_beyond = extra, pause_ms = group.probing.pause_ms; "little free capacity at the watched runners; probing others");
        }
        let mut actions = Vec::with_capacity(probed.len());
        for key in probed {
            self.runners[key].watch.keep_until_ms = now_ms + EXTRA_WATCH_MS;
            actions.push(self.open_watch(now_ms, key));
        }
        actions
    }

    fn extra_watches(&self, service: &SmolStr) -> usize {
        let open = self.watches.open.iter().map(|key| &self.runners[*key]);
        let is_extra = |runner: &&runners::Runner| {
            runner.member.service == *service && runner.placed() == 0 && !self.is_in_set(runner)
        };
        open.filter(is_extra).count()
    }

    /// Keeps a runner outside the set watched for a while when work is sent to it.
    pub(super) fn extend_watch(&mut self, now_ms: u64, key: runners::RunnerKey) {
        let runner = &self.runners[key];
        if self.is_in_set(runner) {
            return;
        }
        let service = runner.member.service.clone();
        self.runners[key].watch.keep_until_ms = now_ms + EXTRA_WATCH_MS;
        if let Some(group) = self.watches.groups.get_mut(&service) {
            group.reset_pause();
        }
    }
}
