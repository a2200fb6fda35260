//! A runner's decisions about runs under leases, without I/O and clock.
//!
//! The backend server executes every start call, so only the runner accounts for its
//! capacity: a run occupies capacity from the call that starts it until the backend server lists
//! its end, or until it is certain that the run never started.

pub mod backend_clock;
pub mod call_timeout;
pub mod evidence;
pub mod expiry;
pub mod incarnations;
pub mod leftovers;
pub mod listings;
pub mod orders;
pub mod owners;
pub mod results;
pub mod starting;
pub mod wait_queue;

use std::collections;
use std::sync;

use smol_str::SmolStr;

use crate::ids;
use crate::leased::directives;
use crate::leased::messages;
use crate::leased::ports;
use crate::wire;

/// Silence of an entry after which its runs are stopped, in milliseconds. Three watches of 150 ms
/// may be lost.
pub const OWNER_TIMEOUT_MS: u64 = 500;

/// Duration of the lease on the backend server's runs, in milliseconds: three renewals may be
/// lost.
pub const LEASE_MS: u64 = 700;

/// Longest time from when an entry with runs was last seen to the end of any lease, in
/// milliseconds. A caller that lost its entry resends the job after 1,300 ms. Even with a clock
/// that is 2 % slow, a stop of 50 ms and the network latency, 1,100 ms end before that.
pub const OWNER_LEASE_MS: u64 = 1_100;

/// Pause before a stop that was not acknowledged is sent again, in milliseconds; a backend server
/// answers within a millisecond.
const STOP_RETRY_MS: u64 = 50;

/// Silence after which a backend server counts as unreachable, in milliseconds: twice a listing
/// call with a wait of 200 ms and its answer.
const UNREACHABLE_AFTER_MS: u64 = 450;

/// Number of listing calls in a row without an answer after which the backend server is not
/// expected to report how its runs ended.
const MAX_UNANSWERED_LISTINGS: u32 = 2;

/// A call to the backend server that the caller of this module must make.
#[derive(Clone, Debug)]
pub enum Action {
    /// Start a run at the backend server.
    Start(ports::StartCall),
    /// Stop a run at the backend server.
    Stop(ports::StopCall),
}

/// A run that is queued, or occupies capacity.
#[derive(Clone, Debug)]
struct Run {
    owner: ids::Incarnation,
    order_number: u64,
    /// Latest time at which the entry, and whoever it runs this for, is known to have been alive.
    alive_at_ms: u64,
    need: wire::Resources,
    /// Declared run time, in milliseconds.
    expected_ms: u64,
    /// When the run was ordered, or, once it has left the wait queue, when its start was sent.
    ordered_at_ms: u64,
    /// The start, while the run waits for capacity.
    queued: Option<wait_queue::QueuedStart>,
    /// The call to start the run, until it is answered.
    unanswered_start: Option<starting::UnansweredStart>,
    /// Whether a call to start the run was left unanswered; it may still be executed.
    has_lost_start: bool,
    /// Whether a listing has shown the run.
    was_listed: bool,
    /// Whether the run has to be stopped even if its entry still wants it.
    must_stop: bool,
    /// A listing requested after this time that lacks the run proves that the run has ended.
    settled_at_ms: Option<u64>,
    stop: Option<Stop>,
}

impl Run {
    /// Returns whether a call that was sent may start the run in a later incarnation of the backend
    /// server.
    const fn may_start_again(&self) -> bool {
        self.queued.is_none() && (!self.was_listed || self.has_lost_start)
    }

    /// Returns whether the backend server has acknowledged the last stop.
    fn is_stop_acknowledged(&self) -> bool {
        self.stop.is_some_and(|stop| stop.is_acknowledged)
    }
}

/// The last stop sent for a run.
#[derive(Clone, Copy, Debug)]
struct Stop {
    sent_at_ms: u64,
    is_acknowledged: bool,
}

impl Stop {
    /// Returns a stop that is sent now.
    const fn new(now_ms: u64) -> Self {
        Self {
            sent_at_ms: now_ms,
            is_acknowledged: false,
        }
    }

    /// Returns whether the stop has to be sent again.
    const fn is_due(&self, now_ms: u64) -> bool {
        !self.is_acknowledged && now_ms >= self.sent_at_ms + STOP_RETRY_MS
    }
}

/// What shows that an incarnation of the backend server is over.
#[derive(Clone, Copy, Debug)]
struct Witness<'a> {
    evidence: evidence::Evidence,
    /// Incarnation whose message shows it, if the message names one.
    sender: Option<&'a ports::BackendIncarnation>,
    /// Number of that message within its incarnation.
    sequence: Option<u64>,
    /// Time since the call that it answers was sent, in milliseconds.
    age_ms: u64,
}

/// The state of one runner: its backend server, the entries it serves and their runs.
#[derive(Debug)]
pub struct CapacityManager {
    me: ids::Incarnation,
    fence: u64,
    backend: Option<ports::Announcement>,
    /// Incarnation of the backend server that left last.
    left: Option<ports::BackendIncarnation>,
    incarnations: incarnations::Incarnations,
    backend_clock: backend_clock::BackendClock,
    owners: collections::BTreeMap<ids::Incarnation, owners::Owner>,
    runs: collections::BTreeMap<messages::RunId, Run>,
    used: wire::Resources,
    wait_queue: messages::WaitQueue,
    results: wire::ResultCounts,
    latest: directives::LatestNotice,
    /// Address of the entry that last reported the complete latest configuration.
    configuration_holder: Option<SmolStr>,
    /// Number of the last end received from the backend server.
    acked_end: u64,
    /// When the call was sent whose listing was applied last.
    listing_sent_at_ms: u64,
    call_timeout: call_timeout::CallTimeout,
    /// Wait of the last listing call, in milliseconds.
    list_wait_ms: u64,
    /// When a start was last sent.
    last_start_ms: u64,
    /// When the last valid listing was received.
    last_seen_ms: Option<u64>,
    /// Number of listing calls in a row without an answer.
    unanswered_listings: u32,
    /// When all leases were found expired, until a listing requested later shows how the runs
    /// ended.
    expired_at_ms: Option<u64>,
    /// Time until which the silence of an entry proves nothing.
    settles_at_ms: u64,
    /// Whether the last listing showed no runs of a former incarnation of this runner.
    is_reconciled: bool,
    leftovers: leftovers::Leftovers,
    is_leaving: bool,
    sequence: u64,
    reported_readiness: messages::Readiness,
}

impl CapacityManager {
    /// Creates a runner that has not received anything yet; `fence` should be greater than that of
    /// every former incarnation.
    pub fn new(me: ids::Incarnation, fence: u64) -> Self {
        Self {
            me,
            fence,
            backend: None,
            left: None,
            incarnations: incarnations::Incarnations::default(),
            backend_clock: backend_clock::BackendClock::default(),
            owners: collections::BTreeMap::new(),
            runs: collections::BTreeMap::new(),
            used: wire::Resources::default(),
            wait_queue: messages::WaitQueue::default(),
            results: wire::ResultCounts::default(),
            latest: directives::LatestNotice::default(),
            configuration_holder: None,
            acked_end: 0,
            listing_sent_at_ms: 0,
            call_timeout: call_timeout::CallTimeout::default(),
            list_wait_ms: 0,
            last_start_ms: 0,
            last_seen_ms: None,
            unanswered_listings: 0,
            expired_at_ms: None,
            settles_at_ms: 0,
            is_reconciled: false,
            leftovers: leftovers::Leftovers::default(),
            is_leaving: false,
            sequence: 0,
            reported_readiness: messages::Readiness::Starting,
        }
    }

    /// Records that this process was suspended: until `settles_at_ms`, no run is stopped because its
    /// entry seems silent, and the backend server doesn't count as unreachable. The leases end in time
    /// nevertheless, see [`OWNER_LEASE_MS`].
    pub const fn resume(&mut self, settles_at_ms: u64) {
        self.settles_at_ms = settles_at_ms;
    }

    /// Returns the number of queued and running runs.
    pub fn runs(&self) -> usize {
        self.runs.len()
    }

    /// Starts a graceful stop: no further runs are accepted.
    pub fn leave(&mut self, now_ms: u64) {
        self.is_leaving = true;
        self.update_readiness(now_ms);
    }

    /// Returns whether a graceful stop only waits for the entries to learn of it: no run is left.
    pub fn is_idle_and_leaving(&self) -> bool {
        self.is_leaving && self.runs.is_empty()
    }

    /// Returns whether the runner and its backend server accept work.
    pub fn readiness(&self, now_ms: u64) -> messages::Readiness {
        if self.is_leaving {
            return messages::Readiness::Leaving;
        }
        let Some(backend) = &self.backend else {
            return messages::Readiness::Starting;
        };
        if backend.is_leaving || self.has_left() {
            return messages::Readiness::Leaving;
        }
        if !self.is_reconciled {
            return messages::Readiness::Starting;
        }
        let last_seen_ms = self.last_seen_ms.unwrap_or(0);
        let is_settled = now_ms >= self.settles_at_ms;
        if is_settled && now_ms.saturating_sub(last_seen_ms) > UNREACHABLE_AFTER_MS {
            return messages::Readiness::Unreachable;
        }
        messages::Readiness::Ready
    }

    /// Schedules a report to every entry if the readiness has changed.
    fn update_readiness(&mut self, now_ms: u64) {
        let readiness = self.readiness(now_ms);
        if readiness == self.reported_readiness {
            return;
        }
        log::info!(event = "runner.readiness", before:? = self.reported_readiness, after:? = readiness; "readiness changed; reporting it to all entries");
        self.reported_readiness = readiness;
        for owner in self.owners.values_mut() {
            owner.has_update = true;
        }
    }

    /// Handles a heartbeat of the backend server; returns whether it is the latest one.
    ///
    /// A delayed heartbeat may arrive after its sender has crashed and a later incarnation has
    /// announced itself. The earlier incarnation must not replace the later one, whichever start
    /// time they have; see [`incarnations::Incarnations`].
    pub fn announced(&mut self, now_ms: u64, announcement: ports::Announcement) -> bool {
        if let Some(known) = &self.backend {
            let is_same = announcement.incarnation == known.incarnation;
            let is_newer = if is_same {
                announcement.sequence > known.sequence
            } else {
                self.incarnations
                    .is_later(&announcement.incarnation, &known.incarnation)
            };
            if !is_newer {
                log::info!(event = "backend.heartbeat_late", name = announcement.incarnation.name.as_str(), born_ms = announcement.incarnation.started_at_ms, sequence = announcement.sequence, known = known.incarnation.name.as_str(), known_born_ms = known.incarnation.started_at_ms, known_sequence = known.sequence; "ignoring a heartbeat older than the last one");
                if !is_same {
                    self.incarnations.record_ignored();
                }
                return false;
            }
            if !is_same {
                self.incarnations.supersede(&known.incarnation);
                self.supersede_incarnation(now_ms, &announcement);
            }
        } else {
            log::info!(event = "backend.found", name = announcement.incarnation.name.as_str(), born_ms = announcement.incarnation.started_at_ms, sequence = announcement.sequence, unseen_ms = self.unseen_ms(now_ms), cpu_milli = announcement.size.cpu_milli; "received a heartbeat while no backend server was known");
        }
        self.backend = Some(announcement);
        self.update_readiness(now_ms);
        true
    }

    /// Restores the backend server's announcement that a former incarnation of the runner stored.
    ///
    /// Heartbeats arrive every 1.5 s, and until then a restarted runner would leave its backend
    /// server idle. The announcement is used once a listing shows that the same incarnation is
    /// still running; if it is not, the next heartbeat replaces the announcement.
    pub fn restore_backend(&mut self, stored: ports::Announcement) {
        if self.backend.is_some() {
            return;
        }
        log::info!(event = "backend.recalled", name = stored.incarnation.name.as_str(), born_ms = stored.incarnation.started_at_ms, cpu_milli = stored.size.cpu_milli; "restored the announcement that a former incarnation of the runner stored");
        self.backend = Some(ports::Announcement {
            sequence: 0,
            ..stored
        });
    }

    /// Handles the message of a backend server that it stops for good: it receives no more work.
    ///
    /// The message counts only for an incarnation that has announced that it is leaving, or for the
    /// one that it names: held up in a partition, it may arrive when a next incarnation is there
    /// under the same name. It ends no run, as nothing shows that the runs have ended.
    pub fn backend_left(&mut self, now_ms: u64, left: &ports::BackendLeft) {
        let Some(known) = &self.backend else {
            return;
        };
        let is_expected = left.started_at_ms.map_or(known.is_leaving, |at_ms| {
            at_ms == known.incarnation.started_at_ms
        });
        if known.incarnation.name != left.name || !is_expected {
            log::info!(event = "backend.leave_late", name = left.name.as_str(), born_ms = left.started_at_ms, known_born_ms = known.incarnation.started_at_ms; "ignoring a leave that is not of the present incarnation");
            return;
        }
        log::info!(event = "backend.left", name = left.name.as_str(), born_ms = known.incarnation.started_at_ms, runs = self.runs.len(); "backend server has left; keeping its runs until a listing or the end of their leases shows that they have ended");
        self.left = Some(known.incarnation.clone());
        self.update_readiness(now_ms);
    }

    /// Returns whether the known incarnation of the backend server has left.
    fn has_left(&self) -> bool {
        let known = self.backend.as_ref().map(|known| &known.incarnation);
        known.is_some() && known == self.left.as_ref()
    }

    /// Ends the runs of the former incarnation of the backend server, after a later one has
    /// announced itself.
    ///
    /// A backend server may restart with the same name and address within milliseconds, and then
    /// executes starts that were meant for its former incarnation. Only runs that a listing of the
    /// former incarnation has shown, and of which every start was answered, are known to have
    /// ended. Any other run may be running in the later incarnation, or start there, and ending it
    /// here would let its task start elsewhere at the same time; it is stopped at the later
    /// incarnation instead.
    ///
    /// The later incarnation has not seen any fence. A greater one keeps it from executing starts of
    /// runs that ended before, as soon as it has received a call with it.
    fn supersede_incarnation(&mut self, now_ms: u64, later: &ports::Announcement) {
        let (unsure, known): (collections::BTreeMap<_, _>, _) = std::mem::take(&mut self.runs)
            .into_iter()
            .partition(|(_, run)| run.may_start_again());
        self.runs = known;
        self.end_incarnation(
            now_ms,
            &Witness {
                evidence: evidence::Evidence::LaterAnnounced,
                sender: Some(&later.incarnation),
                sequence: Some(later.sequence),
                age_ms: 0,
            },
        );
        self.fence += 1;
        for (id, mut run) in unsure {
            log::info!(event = "run.unsure", run:% = id, owner:% = run.owner; "the run may have started in the later incarnation; stopping it there");
            run.settled_at_ms = None;
            run.stop = None;
            run.must_stop = true;
            self.runs.insert(id, run);
        }
    }

    /// Ends all runs of the current incarnation of the backend server.
    fn end_incarnation(&mut self, now_ms: u64, witness: &Witness<'_>) {
        let known = self.backend.as_ref().map(|backend| &backend.incarnation);
        log::warn!(event = "backend.life_over", runs = self.runs.len(), evidence:? = witness.evidence, name = known.map(|known| known.name.as_str()), born_ms = known.map(|known| known.started_at_ms), by = witness.sender.map(|sender| sender.name.as_str()), by_born_ms = witness.sender.map(|sender| sender.started_at_ms), sequence = witness.sequence, age_ms = witness.age_ms, unseen_ms = self.unseen_ms(now_ms); "none of the runs can still be running at the backend server; ending all of them");
        let ids: Vec<_> = self.runs.keys().cloned().collect();
        for id in ids {
            self.end(now_ms, &id, messages::RunOutcome::Stopped, witness.evidence);
        }
        self.backend_clock = backend_clock::BackendClock::default();
        self.acked_end = 0;
        self.expired_at_ms = None;
        self.is_reconciled = false;
        self.leftovers = leftovers::Leftovers::default();
        self.listing_sent_at_ms = now_ms;
    }

    /// Returns the time since the last valid listing was received, in milliseconds; `None` if there
    /// was none.
    fn unseen_ms(&self, now_ms: u64) -> Option<u64> {
        Some(now_ms.saturating_sub(self.last_seen_ms?))
    }

    /// Returns the latest notice of directives.
    pub const fn latest(&self) -> &directives::Notice {
        self.latest.get()
    }

    fn update_directives(&mut self, watch: &messages::Watch) {
        let is_newer = watch
            .notice
            .as_ref()
            .is_some_and(|notice| self.latest.update(notice));
        let version = self.latest.get().version;
        if version > 0 && watch.configuration == version && watch.address.is_some() {
            self.configuration_holder.clone_from(&watch.address);
        } else if is_newer {
            self.configuration_holder = None;
        }
    }

    /// Handles a watch: renews the entry's lease and stops the runs that it no longer wants.
    pub fn watch(&mut self, now_ms: u64, watch: &messages::Watch) -> Vec<Action> {
        let mut actions = self.tick(now_ms);
        self.update_directives(watch);
        let owner = self.owners.entry(watch.entry).or_default();
        let is_current = watch.runner == Some(self.me);
        if !is_current {
            owner.has_update = true;
            return actions;
        }
        owner.apply_watch(now_ms, watch);
        let alive_at_ms = watch.alive_at_ms.unwrap_or(0);
        self.renew_runs(now_ms, watch.entry, watch.ordered, alive_at_ms);
        let owner = self.owners.entry(watch.entry).or_default();
        let has_runs = self.runs.values().any(|run| run.owner == watch.entry);
        owner.has_update |= has_runs && owner.is_renewal_urgent(now_ms, watch.wait_ms);
        let is_withdrawn = |(id, run): &(&messages::RunId, &Run)| {
            run.owner == watch.entry
                && run.stop.is_none()
                && owner.is_withdrawn(run.order_number, id)
        };
        let withdrawn = self.runs.iter().filter(is_withdrawn);
        let withdrawn: Vec<_> = withdrawn.map(|(id, _)| id.clone()).collect();
        for id in withdrawn {
            actions.extend(self.stop(now_ms, &id, "unwanted"));
        }
        actions
    }

    /// Returns whether there is an update for the entry, so that its watch should be answered.
    pub fn has_update(&self, entry: ids::Incarnation) -> bool {
        let Some(owner) = self.owners.get(&entry) else {
            return true;
        };
        owner.has_update
            || self.latest.get().position > owner.directives_position
            || owner.has_wanted_capacity(self.free_milli())
    }

    /// Returns the answer to the entry's watch.
    pub fn report(&mut self, now_ms: u64, entry: ids::Incarnation) -> messages::Report {
        self.sequence += 1;
        let load = self.load(now_ms);
        let runs = self.runs.iter().filter(|(_, run)| run.owner == entry);
        let (mut held, mut waiting) = (Vec::new(), Vec::new());
        for (id, run) in runs {
            held.push(id.clone());
            if run.queued.is_some() {
                waiting.push(id.clone());
            }
        }
        let free_milli = self.free_milli();
        let owner = self.owners.entry(entry).or_default();
        owner.reported(now_ms, free_milli);
        let is_outdated = owner.configuration < self.latest.get().version;
        let holder = self.configuration_holder.clone().filter(|_| is_outdated);
        messages::Report {
            version: wire::VERSION,
            runner: self.me,
            clock_ms: now_ms,
            sequence: self.sequence,
            load,
            runs: held,
            waiting,
            ends: owner.ends(),
            directives_position: self.latest.get().position,
            notice: self.latest.notice_since(owner.directives_position),
            holder,
        }
    }

    /// Returns the capacity and the description of the backend server.
    pub fn load(&self, now_ms: u64) -> messages::Load {
        let Some(backend) = &self.backend else {
            return messages::Load {
                readiness: self.readiness(now_ms),
                ..messages::Load::default()
            };
        };
        messages::Load {
            readiness: self.readiness(now_ms),
            size: backend.size,
            used: self.used,
            line: self.wait_queue,
            service: backend.service.clone(),
            zone: backend.zone.clone(),
            labels: sync::Arc::clone(&backend.labels),
            results: self.results,
        }
    }

    /// Returns the free processor time of the backend server, in thousandths of a core.
    fn free_milli(&self) -> u32 {
        let size = self.backend.as_ref().map(|backend| backend.size);
        size.map_or(0, |size| size.minus(&self.used).cpu_milli)
    }

    /// Renews the runs of an entry, up to those of the order with this number.
    ///
    /// A message that was sent before an order says nothing about its runs: the entry may have taken
    /// their job in from another entry since then, which was last heard earlier.
    fn renew_runs(
        &mut self,
        now_ms: u64,
        entry: ids::Incarnation,
        last_order: u64,
        alive_at_ms: u64,
    ) {
        let alive_at_ms = alive_at_ms.min(now_ms);
        let runs = self.runs.values_mut();
        for run in runs.filter(|run| run.owner == entry && run.order_number <= last_order) {
            run.alive_at_ms = run.alive_at_ms.max(alive_at_ms);
        }
    }

    /// Returns the longest lease that may be granted now: no lease may end later than
    /// [`OWNER_LEASE_MS`] after the entry of any started run was last known to be alive.
    fn lease_ms(&self, now_ms: u64) -> u64 {
        let started = self.runs.values().filter(|run| run.queued.is_none());
        let oldest_ms = started.map(|run| run.alive_at_ms).min().unwrap_or(now_ms);
        (oldest_ms + OWNER_LEASE_MS)
            .saturating_sub(now_ms)
            .min(LEASE_MS)
    }

    /// Returns a run in the wait queue to its entry, or returns the call that stops a started run,
    /// unless the last such call was sent less than [`STOP_RETRY_MS`] ago.
    fn stop(&mut self, now_ms: u64, id: &messages::RunId, why: &'static str) -> Option<Action> {
        let incarnation = self.backend.as_ref()?.incarnation.clone();
        let run = self.runs.get_mut(id)?;
        if run.queued.is_some() {
            self.end_unstarted(now_ms, id, evidence::Evidence::Withdrawn);
            return None;
        }
        if run
            .stop
            .is_some_and(|stop| now_ms < stop.sent_at_ms + STOP_RETRY_MS)
        {
            return None;
        }
        if run.stop.is_none() {
            let age_ms = now_ms.saturating_sub(run.ordered_at_ms);
            log::info!(event = "run.stop", run:% = id, owner:% = run.owner, why = why, age_ms = age_ms; "stopping the run");
        }
        run.stop = Some(Stop::new(now_ms));
        Some(Action::Stop(ports::StopCall {
            id: id.clone(),
            incarnation,
            fence: self.fence,
            timeout_ms: self.call_timeout.timeout_ms(),
        }))
    }

    /// Handles the answer to a stop, or its absence.
    pub fn stop_answered(&mut self, now_ms: u64, id: &messages::RunId, is_acknowledged: bool) {
        let Some(run) = self.runs.get_mut(id) else {
            if is_acknowledged {
                self.leftovers.acknowledge(id);
            }
            return;
        };
        if let Some(stop) = &mut run.stop
            && is_acknowledged
        {
            stop.is_acknowledged = true;
            self.call_timeout
                .record_response(now_ms.saturating_sub(stop.sent_at_ms));
            run.settled_at_ms = Some(run.settled_at_ms.unwrap_or(now_ms).max(now_ms));
        }
    }

    /// Ends a run that has not started and never will.
    fn end_unstarted(&mut self, now_ms: u64, id: &messages::RunId, evidence: evidence::Evidence) {
        self.end(now_ms, id, messages::RunOutcome::NotStarted, evidence);
    }

    /// Ends a run: releases its capacity or its place in the wait queue, and schedules a report to
    /// its entry and to all entries that wait for capacity.
    fn end(
        &mut self,
        now_ms: u64,
        id: &messages::RunId,
        how: messages::RunOutcome,
        evidence: evidence::Evidence,
    ) {
        let Some(run) = self.runs.remove(id) else {
            return;
        };
        let how = if let Some(queued) = &run.queued {
            self.wait_queue.subtract(queued.class(), run.need.cpu_milli);
            messages::RunOutcome::NotStarted
        } else {
            self.used = self.used.minus(&run.need);
            how
        };
        let ran_ms = now_ms.saturating_sub(run.ordered_at_ms);
        results::record(&mut self.results, how, ran_ms, run.expected_ms);
        log::info!(event = "run.end", run:% = id, owner:% = run.owner, how:? = how, evidence:? = evidence, ran_ms = ran_ms, used_milli = self.used.cpu_milli; "run ended");
        if let Some(owner) = self.owners.get_mut(&run.owner) {
            owner.push_end(id.clone(), how, ran_ms);
        }
        for owner in self.owners.values_mut() {
            owner.run_ended();
        }
    }
}
