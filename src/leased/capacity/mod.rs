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
pub mod leases;
pub mod leftovers;
pub mod listings;
pub mod orders;
pub mod owners;
pub mod results;
pub mod starting;
pub mod stops;
pub mod wait_queue;

use std::collections;
use std::sync;

use smol_str::SmolStr;

use crate::ids;
use crate::leased::directives;
use crate::leased::messages;
use crate::leased::ports;
use crate::wire;

pub use leases::LEASE_MS;
pub use leases::OWNER_LEASE_MS;

/// Silence of an entry after which its runs are stopped, in milliseconds. Three watches of 150 ms
/// may be lost.
pub const OWNER_TIMEOUT_MS: u64 = 500;

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
    demand: leases::Demand,
    /// A listing requested after this time that lacks the run proves that the run has ended.
    settled_at_ms: Option<u64>,
    stop: Option<stops::Stop>,
}

impl Run {
    /// Returns whether a call that was sent may start the run in a later incarnation of the backend
    /// server.
    const fn may_start_again(&self) -> bool {
        self.queued.is_none() && (!self.was_listed || self.has_lost_start)
    }

    /// Returns whether the backend server has acknowledged the last stop.
    fn is_stop_acknowledged(&self) -> bool {
        self.stop.is_some_and(stops::Stop::is_acknowledged)
    }
}

/// The state of one runner: its backend server, the entries it serves and their runs.
#[derive(Debug)]
pub struct CapacityManager {
    me: ids::Incarnation,
    fence: u64,
    backend: Option<ports::Announcement>,
    /// Incarnation of the backend server that left last.
    left: Option<ports::BackendIncarnation>,
    /// Incarnations that announced themselves beside the known one, until a listing call shows which one
    /// is at the backend server's address.
    candidates: collections::VecDeque<incarnations::Candidate>,
    /// Whether no lease is renewed until the known incarnation lists its runs: a call did not reach it,
    /// and what it would grant must not delay the end of the leases.
    is_renewal_paused: bool,
    /// The last listing call to any incarnation. Calls follow one another, so that each answer belongs
    /// to it.
    last_asked: Option<incarnations::LastCall>,
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
    call_timeout: call_timeout::CallTimeout,
    /// Wait of the last listing call, in milliseconds.
    list_wait_ms: u64,
    /// When a start was last sent.
    last_start_ms: u64,
    /// When the last valid listing was received.
    last_seen_ms: Option<u64>,
    /// Number of listing calls in a row without an answer of the known incarnation.
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
            candidates: collections::VecDeque::new(),
            is_renewal_paused: false,
            last_asked: None,
            backend_clock: backend_clock::BackendClock::default(),
            owners: collections::BTreeMap::new(),
            runs: collections::BTreeMap::new(),
            used: wire::Resources::default(),
            wait_queue: messages::WaitQueue::default(),
            results: wire::ResultCounts::default(),
            latest: directives::LatestNotice::default(),
            configuration_holder: None,
            acked_end: 0,
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
    pub const fn resume(&mut self, now_ms: u64, settles_at_ms: u64) {
        self.settles_at_ms = settles_at_ms;
        self.backend_clock.resume(now_ms);
    }

    /// Records that the instance was suspended, and with it the steady clock of its backend server.
    pub const fn instance_suspended(&mut self, now_ms: u64, suspended_ms: u64) {
        self.backend_clock.instance_suspended(now_ms, suspended_ms);
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
        let is_replaced = !self.candidates.is_empty() && self.has_left();
        if !is_replaced && (backend.is_leaving || self.has_left()) {
            return messages::Readiness::Leaving;
        }
        if is_replaced || !self.is_reconciled {
            return messages::Readiness::Starting;
        }
        let last_seen_ms = self.last_seen_ms.unwrap_or(0);
        let is_settled = now_ms >= self.settles_at_ms;
        let is_unseen = now_ms.saturating_sub(last_seen_ms) > UNREACHABLE_AFTER_MS;
        if is_settled && (is_unseen || self.is_lease_ending(now_ms)) {
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
        let withdrawn = self.withdraw_unwanted(watch.entry);
        let alive_at_ms = watch.alive_at_ms.unwrap_or(0);
        self.renew_runs(now_ms, watch.entry, watch.ordered, alive_at_ms);
        let owner = self.owners.entry(watch.entry).or_default();
        let has_runs = self.runs.values().any(|run| run.owner == watch.entry);
        owner.has_update |= has_runs && owner.is_renewal_urgent(now_ms, watch.wait_ms);
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
