//! Which runners an entry keeps a watch open at.
//!
//! Load that this answers: dozens of entries and hundreds of runners. With a watch at each
//! runner an entry spends more processor time on runners than on its callers, and each
//! runner answers every entry.
//!
//! An entry watches the runners that hold its runs, as their leases need it, and a bounded
//! set in which it looks for room. The set is the first of the runners in an order that
//! differs from entry to entry (rendezvous hashing), most of them in the entry's own
//! availability zone, up to the one with which enough of them take work: where some are
//! gone, the next ones take their places. While the set has little room left, a few others
//! are asked, and those with room are kept for as long as they are used.

use std::collections;

use smol_str::SmolStr;

use crate::leased::dispatch;
use crate::leased::dispatch::runners;
use crate::leased::messages;
use crate::leased::ports;

/// Runners of a service that take work and are watched in any case, unless the settings
/// name another number.
pub const DEFAULT_SET_SIZE: usize = 24;

/// Runners of the own availability zone in a row, before one of another zone: some are in
/// sight when the whole zone is lost, and what operators ask for spreads between zones.
const NEAR_IN_A_ROW: usize = 5;

/// Time after which a runner whose watch was opened has to take work to count in the set,
/// in milliseconds: a connection, a question and its answer.
const GRACE_MS: u64 = 300;

/// Runners with room below which others are asked.
const FEW_WITH_ROOM: usize = 4;

/// Runners asked at once.
const PROBES: usize = 6;

/// Most runners beyond the set that are watched without a run of this entry.
const MOST_BEYOND: usize = 24;

/// Runners looked at for one that may be asked.
const MOST_LOOKS: usize = 4 * PROBES;

/// Shortest pause between probes, in milliseconds: two ways and an answer.
const FIRST_PAUSE_MS: u64 = 10;

/// Longest pause between probes, in milliseconds.
const LONGEST_PAUSE_MS: u64 = 320;

/// How long a runner beyond the set stays watched after it was asked or used, in
/// milliseconds.
const STAY_MS: u64 = 500;

/// How long a runner that didn't answer is not asked for room, in milliseconds.
const SHUN_MS: u64 = 5_000;

/// How long a runner that is leaving is left alone, in milliseconds: it ends once nobody asks
/// it any more, and its next life is found soon enough.
const LEAVING_PAUSE_MS: u64 = 500;

/// A runner's watch.
#[derive(Clone, Copy, Debug, Default)]
pub struct Watch {
    /// Since when it is open; absent: it is closed.
    pub since_ms: Option<u64>,
    /// Until when it stays open although the runner isn't in the set.
    pub stays_until_ms: u64,
    /// Until when it stays closed unless the runner holds runs.
    pub closed_until_ms: u64,
    /// The runner's place in the order of its service.
    pub rank: usize,
}

impl Watch {
    /// Whether it may be opened.
    const fn may_open(&self, now_ms: u64) -> bool {
        self.since_ms.is_none() && now_ms >= self.closed_until_ms
    }

    /// Whether it may be opened, or was so lately that the runner may not have answered yet.
    fn is_new(&self, now_ms: u64) -> bool {
        let is_fresh = |since_ms| now_ms < since_ms + GRACE_MS;
        self.may_open(now_ms) || self.since_ms.is_some_and(is_fresh)
    }
}

/// How far probing has come.
#[derive(Clone, Copy, Debug, Default)]
struct Probing {
    /// Where the next probe looks, beyond the set.
    cursor: usize,
    probed_ms: u64,
    pause_ms: u64,
}

/// The runners of one service, in the order in which they come into the set.
#[derive(Clone, Debug, Default)]
pub struct Group {
    order: Vec<runners::RunnerKey>,
    /// How many of them are in the set.
    set: usize,
    probing: Probing,
}

impl Group {
    /// Runners of the own availability zone and of others, each in this entry's order.
    pub fn new(near: &[runners::RunnerKey], far: &[runners::RunnerKey]) -> Self {
        let mut far_left = far.iter();
        let mut order = Vec::with_capacity(near.len() + far.len());
        for row in near.chunks(NEAR_IN_A_ROW) {
            order.extend(row);
            order.extend(far_left.next());
        }
        order.extend(far_left);
        Self {
            order,
            ..Self::default()
        }
    }

    /// The runners in the set.
    pub fn set(&self) -> &[runners::RunnerKey] {
        &self.order[..self.set]
    }

    /// Chooses the set anew, with `size` runners that count; `counts` tells whether one
    /// takes work, or may.
    pub fn choose(&mut self, size: usize, counts: impl Fn(runners::RunnerKey) -> bool) {
        let counted = self.order.iter().zip(1..).filter(|(key, _)| counts(**key));
        let mut lengths = counted.map(|(_, length)| length);
        let last = lengths.nth(size.saturating_sub(1));
        self.set = last.unwrap_or(self.order.len());
    }

    /// Whom to ask for room now; `beyond` runners outside the set are watched already.
    pub fn probe(
        &mut self,
        now_ms: u64,
        beyond: usize,
        may_ask: impl Fn(runners::RunnerKey) -> bool,
    ) -> Vec<runners::RunnerKey> {
        let rest = self.order.len() - self.set;
        if rest == 0 || now_ms < self.probing.probed_ms + self.probing.pause_ms {
            return Vec::new();
        }
        let most = PROBES.min(MOST_BEYOND.saturating_sub(beyond));
        let mut asked = Vec::with_capacity(most);
        for _ in 0..MOST_LOOKS.min(rest) {
            if asked.len() == most {
                break;
            }
            let key = self.order[self.set + self.probing.cursor % rest];
            self.probing.cursor += 1;
            if may_ask(key) {
                asked.push(key);
            }
        }
        let was_long_ago = now_ms > self.probing.probed_ms + 2 * LONGEST_PAUSE_MS;
        let last_ms = if was_long_ago {
            0
        } else {
            self.probing.pause_ms
        };
        self.probing.pause_ms = (2 * last_ms).clamp(FIRST_PAUSE_MS, LONGEST_PAUSE_MS);
        self.probing.probed_ms = now_ms;
        asked
    }

    /// A runner beyond the set had room: others may have some, too.
    pub const fn found_room(&mut self) {
        self.probing.pause_ms = FIRST_PAUSE_MS;
    }
}

/// Whom the entry watches.
#[derive(Clone, Debug)]
pub struct Watches {
    /// How many runners of a service that take work are in the set.
    pub size: usize,
    groups: collections::BTreeMap<SmolStr, Group>,
    /// Runners with an open watch.
    open: Vec<runners::RunnerKey>,
    /// Whether runners came, went, or told that they are elsewhere.
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
    /// Runners with an open watch.
    pub fn open(&self) -> &[runners::RunnerKey] {
        &self.open
    }
}

/// Room that was left for a service when its waiting jobs had been placed.
#[derive(Clone, Copy, Debug, Default)]
pub struct Left {
    /// Runners with room for one more of the largest tasks.
    pub with_room: usize,
    /// Whether a job waits on.
    pub has_waiting: bool,
}

impl Left {
    fn is_little(self) -> bool {
        self.has_waiting || self.with_room < FEW_WITH_ROOM
    }
}

impl dispatch::Dispatcher {
    /// Another entry told the addresses of runners.
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
        self.keep_watches(now_ms)
    }

    /// The store lists these runners and no others.
    ///
    /// One that isn't listed any more is forgotten once it is silent; one that is listed
    /// stays known however long it is silent.
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
            let is_told = !member.service.is_empty();
            if is_told && !runner.was_heard() && runner.member != *member {
                runner.member = member.clone();
                self.watches.is_stale = true;
            }
        }
        self.forget_runners(now_ms);
        self.keep_watches(now_ms)
    }

    fn add_runner(&mut self, now_ms: u64, member: ports::Member) -> runners::RunnerKey {
        log::info!(event = "runner.found", address = member.address.as_str(), zone = member.zone.as_str(); "found");
        let address = member.address.clone();
        let runner = runners::Runner::new(self.me, member, now_ms);
        let key = self.runners.insert(runner);
        self.by_address.insert(address, key);
        self.watches.is_stale = true;
        key
    }

    /// Forgets runners that are silent and that the store doesn't list.
    pub(super) fn forget_runners(&mut self, now_ms: u64) {
        let before = self.runners.len();
        self.runners
            .retain(|_, runner| !runner.is_forgotten(now_ms));
        if self.runners.len() == before {
            return;
        }
        log::info!(event = "runner.forgotten", count = before - self.runners.len(), left = self.runners.len(); "silent and not listed");
        let runners = &self.runners;
        self.by_address.retain(|_, key| runners.contains_key(*key));
        self.watches.open.retain(|key| runners.contains_key(*key));
        self.health.retain(|key| runners.contains_key(key));
        self.watches.is_stale = true;
    }

    /// Notes where a runner says that it is.
    pub(super) fn note_whereabouts(&mut self, key: runners::RunnerKey) {
        let Some(runner) = self.runners.get_mut(key) else {
            return;
        };
        let (held, told) = (&mut runner.member, &runner.load);
        let is_same = held.service == told.service && held.zone == told.zone;
        if told.service.is_empty() || is_same {
            return;
        }
        held.service = told.service.clone();
        held.zone = told.zone.clone();
        self.watches.is_stale = true;
    }

    /// Opens the watches that are to be open and aren't.
    pub(super) fn keep_watches(&mut self, now_ms: u64) -> Vec<dispatch::Action> {
        if self.watches.is_stale {
            self.regroup();
        }
        let (runners, directives) = (&self.runners, self.directives.latest());
        let counts = |key| {
            let runner: &runners::Runner = &runners[key];
            let may_take = runner.watch.is_new(now_ms) || runner.is_usable(now_ms);
            may_take && !directives.is_zone_out(&runner.member.zone)
        };
        let mut closed = Vec::new();
        for group in self.watches.groups.values_mut() {
            group.choose(self.watches.size, counts);
            let set = group.set().iter();
            closed.extend(set.filter(|key| runners[**key].watch.may_open(now_ms)));
        }
        let opened = closed.into_iter();
        opened.map(|key| self.open_watch(now_ms, key)).collect()
    }

    fn open_watch(&mut self, now_ms: u64, key: runners::RunnerKey) -> dispatch::Action {
        self.runners[key].watch.since_ms = Some(now_ms);
        self.watches.open.push(key);
        dispatch::Action::Watch(key)
    }

    /// Orders the runners of each service anew.
    fn regroup(&mut self) {
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
        group.is_some_and(|group| runner.watch.rank < group.set)
    }

    /// Closes a runner's watch if nothing needs it; whether it did.
    pub(super) fn close_idle_watch(&mut self, now_ms: u64, key: runners::RunnerKey) -> bool {
        let Some(runner) = self.runners.get(key) else {
            return false;
        };
        let is_wanted =
            now_ms < runner.watch.stays_until_ms || self.watches.is_stale || self.is_in_set(runner);
        // Until it is heard, nothing is known of its next life.
        let was_heard = runner.was_heard_since(runner.watch.since_ms.unwrap_or(now_ms));
        let is_leaving = was_heard && runner.load.readiness == messages::Readiness::Leaving;
        if runner.placed() > 0 || (is_wanted && !is_leaving) {
            return false;
        }
        let runner = &mut self.runners[key];
        runner.watch.since_ms = None;
        if is_leaving {
            runner.watch.closed_until_ms = now_ms + LEAVING_PAUSE_MS;
        } else if !was_heard {
            runner.watch.closed_until_ms = now_ms + SHUN_MS;
        }
        self.watches.open.retain(|open| *open != key);
        log::debug!(event = "watch.closed", runner = runner.address().as_str(); "not needed");
        true
    }

    /// Asks a few runners beyond the set where little room is left.
    pub(super) fn seek_room(
        &mut self,
        now_ms: u64,
        service: &SmolStr,
        left: Left,
    ) -> Vec<dispatch::Action> {
        if !left.is_little() {
            return Vec::new();
        }
        let beyond = self.watched_beyond_set(service);
        let (runners, directives) = (&self.runners, self.directives.latest());
        let may_ask = |key| {
            let runner: &runners::Runner = &runners[key];
            runner.watch.may_open(now_ms) && !directives.is_zone_out(&runner.member.zone)
        };
        let Some(group) = self.watches.groups.get_mut(service) else {
            return Vec::new();
        };
        let asked = group.probe(now_ms, beyond, may_ask);
        if !asked.is_empty() {
            log::info!(event = "room.sought", service = service.as_str(), with_room = left.with_room, waiting = left.has_waiting, asked = asked.len(), watched_beyond = beyond, pause_ms = group.probing.pause_ms; "little room in sight");
        }
        let mut actions = Vec::with_capacity(asked.len());
        for key in asked {
            self.runners[key].watch.stays_until_ms = now_ms + STAY_MS;
            actions.push(self.open_watch(now_ms, key));
        }
        actions
    }

    fn watched_beyond_set(&self, service: &SmolStr) -> usize {
        let open = self.watches.open.iter().map(|key| &self.runners[*key]);
        let is_beyond = |runner: &&runners::Runner| {
            runner.member.service == *service && runner.placed() == 0 && !self.is_in_set(runner)
        };
        open.filter(is_beyond).count()
    }

    /// Work goes to a runner: one beyond the set stays watched for a while.
    pub(super) fn note_use(&mut self, now_ms: u64, key: runners::RunnerKey) {
        let runner = &self.runners[key];
        if self.is_in_set(runner) {
            return;
        }
        let service = runner.member.service.clone();
        self.runners[key].watch.stays_until_ms = now_ms + STAY_MS;
        if let Some(group) = self.watches.groups.get_mut(&service) {
            group.found_room();
        }
    }
}
