//! A runner's decisions about runs under leases, without network or clock.
//!
//! The backend server starts whatever it is told to, so this is the one keeper of its
//! room: a run takes room from the moment it is ordered until the backend server lists
//! its end, or until it is certain that it never started.

pub mod backend_clock;
pub mod call_timeout;
pub mod expiry;
pub mod listings;
pub mod orders;
pub mod owners;
pub mod wait_queue;

use std::collections;
use std::sync;

use smol_str::SmolStr;

use crate::ids;
use crate::leased::directives;
use crate::leased::messages;
use crate::leased::ports;
use crate::wire;

/// How long an entry may give no sign of life before its runs are stopped, in
/// milliseconds. Three watches of 150 ms may be lost on the way.
pub const OWNER_TIMEOUT_MS: u64 = 500;

/// Lease of the backend server's runs, in milliseconds: three renewals may be lost.
pub const LEASE_MS: u64 = 700;

/// No lease lasts longer than this from the last sign of life of an entry that has runs,
/// in milliseconds. A caller that lost its entry sends the job again after 1,300 ms; with
/// a clock that is 2 % slow, a stop of 50 ms and the ways, 1,100 ms end before that.
pub const OWNER_LEASE_MS: u64 = 1_100;

/// Pause before a stop that wasn't heard is sent again, in milliseconds; a backend server
/// answers within a millisecond.
const STOP_AGAIN_MS: u64 = 50;

/// Silence after which a backend server takes no more work, in milliseconds: a question
/// of 200 ms and its answer, twice.
const UNREACHABLE_MS: u64 = 450;

/// What the runner's surroundings must do.
#[derive(Clone, Debug)]
pub enum Action {
    /// Start a run at the backend server.
    Start(ports::StartCall),
    /// Stop a run at the backend server.
    Stop(ports::StopCall),
}

#[derive(Clone, Debug)]
struct Run {
    owner: ids::Incarnation,
    order: u64,
    need: wire::Resources,
    /// When it was ordered; once it has waited, when its start was sent.
    ordered_ms: u64,
    /// Its place in the line, as long as it waits for room.
    place: Option<wait_queue::Place>,
    /// Whether a list has shown it running.
    is_listed: bool,
    /// Whether it is to be stopped whatever its entry wants.
    must_stop: bool,
    /// A list that was asked for later than this and lacks the run proves that it is over.
    settled_ms: Option<u64>,
    stop: Option<Stop>,
}

#[derive(Clone, Copy, Debug)]
struct Stop {
    called_ms: u64,
    is_acknowledged: bool,
}

/// The state of one runner.
#[derive(Debug)]
pub struct CapacityManager {
    me: ids::Incarnation,
    fence: u64,
    backend: Option<ports::Announcement>,
    clock: backend_clock::BackendClock,
    owners: collections::HashMap<ids::Incarnation, owners::Owner>,
    runs: collections::HashMap<messages::RunId, Run>,
    used: wire::Resources,
    line: messages::WaitQueue,
    latest: directives::LatestNotice,
    /// The entry that last showed that it has the latest configuration whole.
    holder: Option<SmolStr>,
    acked: u64,
    listed_asked_ms: u64,
    call_timeout: call_timeout::CallTimeout,
    /// Wait of the last question what runs, in milliseconds.
    list_wait_ms: u64,
    heard_ms: Option<u64>,
    is_clean: bool,
    is_leaving: bool,
    sequence: u64,
    told_readiness: messages::Readiness,
}

impl CapacityManager {
    /// A runner that has heard nothing yet; `fence` should grow from life to life.
    pub fn new(me: ids::Incarnation, fence: u64) -> Self {
        Self {
            me,
            fence,
            backend: None,
            clock: backend_clock::BackendClock::default(),
            owners: collections::HashMap::new(),
            runs: collections::HashMap::new(),
            used: wire::Resources::default(),
            line: messages::WaitQueue::default(),
            latest: directives::LatestNotice::default(),
            holder: None,
            acked: 0,
            listed_asked_ms: 0,
            call_timeout: call_timeout::CallTimeout::default(),
            list_wait_ms: 0,
            heard_ms: None,
            is_clean: false,
            is_leaving: false,
            sequence: 0,
            told_readiness: messages::Readiness::Starting,
        }
    }

    /// How many runs are held.
    pub fn runs(&self) -> usize {
        self.runs.len()
    }

    /// The runner is to stop: it takes nothing more.
    pub fn leave(&mut self, now_ms: u64) {
        self.is_leaving = true;
        self.note_readiness(now_ms);
    }

    /// Whether the runner, or its backend server, takes work.
    pub fn readiness(&self, now_ms: u64) -> messages::Readiness {
        if self.is_leaving {
            return messages::Readiness::Leaving;
        }
        let Some(backend) = &self.backend else {
            return messages::Readiness::Starting;
        };
        if backend.is_leaving {
            return messages::Readiness::Leaving;
        }
        if !self.is_clean {
            return messages::Readiness::Starting;
        }
        let heard_ms = self.heard_ms.unwrap_or(0);
        if now_ms.saturating_sub(heard_ms) > UNREACHABLE_MS {
            return messages::Readiness::Unreachable;
        }
        messages::Readiness::Ready
    }

    /// Tells every entry at once when the readiness has changed.
    fn note_readiness(&mut self, now_ms: u64) {
        let readiness = self.readiness(now_ms);
        if readiness == self.told_readiness {
            return;
        }
        log::info!(event = "runner.readiness", before:? = self.told_readiness, after:? = readiness; "changed");
        self.told_readiness = readiness;
        for owner in self.owners.values_mut() {
            owner.has_update = true;
        }
    }

    /// The backend server's heartbeat came in; whether it is taken note of.
    ///
    /// One that was held up on the way may come after its sender crashed and a later life
    /// announced itself; the earlier life must not take the later one's place.
    pub fn announced(&mut self, now_ms: u64, heard: ports::Announcement) -> bool {
        if let Some(known) = &self.backend {
            let is_older = heard.incarnation.started_at_ms < known.incarnation.started_at_ms;
            let is_same = heard.incarnation == known.incarnation;
            if is_older || (is_same && heard.sequence <= known.sequence) {
                log::info!(event = "backend.heartbeat_late", born_ms = heard.incarnation.started_at_ms, sequence = heard.sequence; "passed over");
                return false;
            }
            if !is_same {
                self.end_listed(now_ms);
            }
        } else {
            log::info!(event = "backend.found", name = heard.incarnation.name.as_str(), born_ms = heard.incarnation.started_at_ms, cpu_milli = heard.size.cpu_milli; "announced");
        }
        self.backend = Some(heard);
        self.note_readiness(now_ms);
        true
    }

    /// Takes up what a former life of the runner knew of the backend server.
    ///
    /// Heartbeats come every 1.5 s, and as long a restarted runner would leave its backend
    /// server idle. What was known is used once the backend server's list shows that the
    /// same life still runs; if another does, the next heartbeat tells of it.
    pub fn restore_backend(&mut self, known: ports::Announcement) {
        if self.backend.is_some() {
            return;
        }
        log::info!(event = "backend.recalled", name = known.incarnation.name.as_str(), born_ms = known.incarnation.started_at_ms, cpu_milli = known.size.cpu_milli; "known from a former life");
        self.backend = Some(ports::Announcement {
            sequence: 0,
            ..known
        });
    }

    /// The backend server says that it is gone.
    pub fn backend_left(&mut self, now_ms: u64, name: &str) {
        if self
            .backend
            .as_ref()
            .is_some_and(|known| known.incarnation.name == name)
        {
            self.end_life(now_ms, "it left");
            self.backend = None;
            self.note_readiness(now_ms);
        }
    }

    /// A later life has taken the place of the one that was known so far: what that one ran is
    /// over, and what it may never have got is stopped at the later one.
    ///
    /// A backend server may come back under its name and address within milliseconds, and
    /// carries out a start that was meant for its former life. Only a list of the former life
    /// proves that a run was there and is gone; the task of any other would start elsewhere
    /// while it runs here.
    fn end_listed(&mut self, now_ms: u64) {
        let unsure: Vec<_> = self
            .runs
            .extract_if(|_, run| run.place.is_none() && !run.is_listed)
            .collect();
        self.end_life(now_ms, "a later life announced itself");
        for (id, mut run) in unsure {
            log::info!(event = "run.unsure", run:% = id, owner:% = run.owner; "may have started in the later life; to be stopped there");
            run.settled_ms = None;
            run.stop = None;
            run.must_stop = true;
            self.runs.insert(id, run);
        }
    }

    /// Nothing of the life that was known so far runs any more.
    fn end_life(&mut self, now_ms: u64, why: &'static str) {
        log::warn!(event = "backend.life_over", runs = self.runs.len(), why = why; "its runs are over");
        let ids: Vec<_> = self.runs.keys().cloned().collect();
        for id in ids {
            self.end(now_ms, &id, messages::RunOutcome::Stopped);
        }
        self.clock = backend_clock::BackendClock::default();
        self.acked = 0;
        self.is_clean = false;
        self.listed_asked_ms = now_ms;
    }

    /// The latest that was told of what operators ask for.
    pub const fn latest(&self) -> &directives::Notice {
        self.latest.get()
    }

    fn update_directives(&mut self, watch: &messages::Watch) {
        let is_news = watch
            .notice
            .as_ref()
            .is_some_and(|notice| self.latest.update(notice));
        let version = self.latest.get().version;
        if version > 0 && watch.configuration == version && watch.address.is_some() {
            self.holder.clone_from(&watch.address);
        } else if is_news {
            self.holder = None;
        }
    }

    /// An entry asks; its lease is renewed, and what it no longer wants is stopped.
    pub fn watch(&mut self, now_ms: u64, watch: &messages::Watch) -> Vec<Action> {
        let mut actions = self.tick(now_ms);
        self.update_directives(watch);
        let owner = self.owners.entry(watch.entry).or_default();
        let is_meant = watch.runner == Some(self.me);
        if !is_meant {
            owner.has_update = true;
            return actions;
        }
        owner.hear(now_ms, watch);
        let is_unwanted = |(id, run): &(&messages::RunId, &Run)| {
            run.owner == watch.entry && run.stop.is_none() && owner.is_unwanted(run.order, id)
        };
        let unwanted = self.runs.iter().filter(is_unwanted);
        let unwanted: Vec<_> = unwanted.map(|(id, _)| id.clone()).collect();
        for id in unwanted {
            actions.extend(self.stop(now_ms, &id, "unwanted"));
        }
        actions
    }

    /// Whether an entry that waits has something to be told.
    pub fn has_update(&self, entry: ids::Incarnation) -> bool {
        let Some(owner) = self.owners.get(&entry) else {
            return true;
        };
        owner.has_update || self.latest.get().position > owner.directives_position
    }

    /// What an entry is told.
    pub fn report(&mut self, now_ms: u64, entry: ids::Incarnation) -> messages::Report {
        self.sequence += 1;
        let load = self.load(now_ms);
        let runs = self.runs.iter().filter(|(_, run)| run.owner == entry);
        let (mut held, mut waiting) = (Vec::new(), Vec::new());
        for (id, run) in runs {
            held.push(id.clone());
            if run.place.is_some() {
                waiting.push(id.clone());
            }
        }
        let owner = self.owners.entry(entry).or_default();
        owner.has_update = false;
        owner.told_ms = now_ms;
        let is_lacking = owner.configuration < self.latest.get().version;
        let holder = self.holder.clone().filter(|_| is_lacking);
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

    /// The room and who the backend server is.
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
            line: self.line,
            service: backend.service.clone(),
            zone: backend.zone.clone(),
            labels: sync::Arc::clone(&backend.labels),
        }
    }

    /// How long a lease may last: until the entry heard longest ago must be given up.
    fn lease_ms(&self, now_ms: u64) -> u64 {
        let alive = self
            .runs
            .values()
            .filter(|run| run.place.is_none())
            .filter_map(|run| self.owners.get(&run.owner));
        let oldest_ms = alive
            .map(owners::Owner::alive_at_ms)
            .min()
            .unwrap_or(now_ms);
        (oldest_ms + OWNER_LEASE_MS)
            .saturating_sub(now_ms)
            .min(LEASE_MS)
    }

    /// The backend server answered a start, or didn't.
    pub fn start_answered(
        &mut self,
        now_ms: u64,
        id: &messages::RunId,
        answer: ports::StartAnswer,
    ) -> Vec<Action> {
        let mut actions = self.tick(now_ms);
        let Some(run) = self.runs.get_mut(id) else {
            return actions;
        };
        match answer {
            ports::StartAnswer::Lost => self.call_timeout.record_timeout(),
            _ => self
                .call_timeout
                .record_response(now_ms.saturating_sub(run.ordered_ms)),
        }
        match answer {
            ports::StartAnswer::Started => run.settled_ms = Some(now_ms),
            ports::StartAnswer::Refused(why) => {
                log::warn!(event = "run.refused", run:% = id, why:? = why; "not started");
                self.end(now_ms, id, messages::RunOutcome::NotStarted);
            }
            // It may start any time until its lease is over; a stop that is noted keeps
            // it from starting.
            ports::StartAnswer::Lost => actions.extend(self.stop(now_ms, id, "start unanswered")),
        }
        actions
    }

    fn stop(&mut self, now_ms: u64, id: &messages::RunId, why: &'static str) -> Option<Action> {
        let incarnation = self.backend.as_ref()?.incarnation.clone();
        let run = self.runs.get_mut(id)?;
        if run.place.is_some() {
            self.end(now_ms, id, messages::RunOutcome::NotStarted);
            return None;
        }
        if run
            .stop
            .is_some_and(|stop| now_ms < stop.called_ms + STOP_AGAIN_MS)
        {
            return None;
        }
        if run.stop.is_none() {
            let age_ms = now_ms.saturating_sub(run.ordered_ms);
            log::info!(event = "run.stop", run:% = id, owner:% = run.owner, why = why, age_ms = age_ms; "stopping");
        }
        run.stop = Some(Stop {
            called_ms: now_ms,
            is_acknowledged: false,
        });
        Some(Action::Stop(ports::StopCall {
            id: id.clone(),
            incarnation,
            fence: self.fence,
            timeout_ms: self.call_timeout.timeout_ms(),
        }))
    }

    /// The backend server noted a stop, or wasn't heard.
    pub fn stop_answered(&mut self, now_ms: u64, id: &messages::RunId, is_acknowledged: bool) {
        let Some(run) = self.runs.get_mut(id) else {
            return;
        };
        if let Some(stop) = &mut run.stop
            && is_acknowledged
        {
            stop.is_acknowledged = true;
            self.call_timeout
                .record_response(now_ms.saturating_sub(stop.called_ms));
            run.settled_ms = Some(run.settled_ms.unwrap_or(now_ms).max(now_ms));
        }
    }

    fn end(&mut self, now_ms: u64, id: &messages::RunId, how: messages::RunOutcome) {
        let Some(run) = self.runs.remove(id) else {
            return;
        };
        let how = if let Some(place) = &run.place {
            self.line.subtract(place.class(), run.need.cpu_milli);
            messages::RunOutcome::NotStarted
        } else {
            self.used = self.used.minus(&run.need);
            how
        };
        let ran_ms = now_ms.saturating_sub(run.ordered_ms);
        log::info!(event = "run.end", run:% = id, owner:% = run.owner, how:? = how, ran_ms = ran_ms, used_milli = self.used.cpu_milli; "ended");
        if let Some(owner) = self.owners.get_mut(&run.owner) {
            owner.push_end(id.clone(), how, ran_ms);
        }
        for owner in self.owners.values_mut() {
            owner.has_update |= owner.wants_room;
        }
    }
}
