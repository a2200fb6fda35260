//! Decides for an entry where runs under leases go, without access to network or clock.

pub mod admission;
pub mod callers;
pub mod directives_fetch;
pub mod ejection;
pub mod expiry;
pub mod headroom;
pub mod jobs;
pub mod placement;
pub mod prior_wait;
pub mod refusal;
pub mod run_ends;
pub mod runners;
pub mod scheduling;
pub mod submissions;
pub mod urgency;
pub mod watching;

use std::collections;
use std::sync;

use slotmap::SlotMap;
use smol_str::SmolStr;

use crate::health;
use crate::ids;
use crate::leased::directives;
use crate::leased::messages;
use crate::leased::queues;
use crate::metrics;
use crate::settings;

/// Time that a watch waits at a runner for changes, in milliseconds.
///
/// The entry renews its lease there at the same interval.
pub const WATCH_WAIT_MS: u64 = 150;

/// Time that a watch waits at a runner that holds no runs of the entry, in milliseconds.
///
/// It is below the silence of 450 ms after which a runner receives no work. At the shorter
/// interval, a few dozen idle runners would take much of an entry that has an eighth of a core.
pub const IDLE_WATCH_WAIT_MS: u64 = 350;

/// Action that the caller of the dispatcher has to carry out.
#[derive(Clone, Debug)]
pub enum Action {
    /// Sends an order to the runner at an address.
    Order(runners::RunnerKey, SmolStr, messages::Order),
    /// Keeps a watch open at a runner.
    Watch(runners::RunnerKey),
    /// Answers a caller with the outcome of its job.
    Answer(jobs::Waiter, Outcome),
    /// Fetches the directives from another entry, given by its address.
    Fetch(SmolStr),
}

/// Outcome of a job for its caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// Every task has completed.
    Completed,
    /// A task failed as often as its queue allows.
    Failed,
    /// Nothing ran, and nothing will.
    NotRun {
        /// Time after which the caller should retry, in milliseconds.
        retry_after_ms: u64,
    },
    /// The deadline passed after something may have run.
    GivenUp,
    /// The caller cancelled the job.
    Cancelled,
}

/// Wait of a caller for its job.
#[derive(Clone, Copy, Debug)]
pub struct CallerWait {
    /// Longest time that the caller waits on, in milliseconds, if it gave one.
    pub timeout_ms: Option<u64>,
    /// Time for which it has waited, in milliseconds.
    pub waited_ms: u64,
    /// Identifies the wait.
    pub waiter: jobs::Waiter,
}

/// Counters for the metrics.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    /// Jobs accepted.
    pub accepted: u64,
    /// Jobs completed.
    pub completed: u64,
    /// Jobs completed after their due time.
    pub late: u64,
    /// Jobs failed.
    pub failed: u64,
    /// Jobs refused before anything ran.
    pub not_run: u64,
    /// Those of them refused because they would not have been placed in time.
    pub refused_early: u64,
    /// Jobs whose deadline passed after something may have run.
    pub given_up: u64,
    /// Jobs cancelled by their callers, or whose callers disconnected.
    pub cancelled: u64,
    /// Runs ordered.
    pub ordered: u64,
    /// Runs that a runner refused or could not start.
    pub not_started: u64,
    /// Runs that ended without a result while their job still needed them.
    pub lost: u64,
    /// Time from arrival to completion of completed jobs.
    pub took: metrics::Histogram,
}

/// Dispatcher of one entry.
#[derive(Debug)]
pub struct Dispatcher {
    incarnation: ids::Incarnation,
    zone: SmolStr,
    directives: directives::InForce,
    directives_fetch: directives_fetch::DirectivesFetch,
    queues: sync::Arc<queues::Queues>,
    runners: SlotMap<runners::RunnerKey, runners::Runner>,
    by_address: collections::HashMap<SmolStr, runners::RunnerKey>,
    watches: watching::Watches,
    jobs: SlotMap<jobs::JobKey, jobs::OpenJob>,
    by_id: collections::HashMap<SmolStr, jobs::JobKey>,
    callers: callers::Callers,
    waiting: Vec<jobs::JobKey>,
    health: health::Health,
    prior_wait: prior_wait::PriorWait,
    headroom: headroom::Headroom,
    admission: admission::Admission,
    policy: settings::Policy,
    running_checked_ms: u64,
    swept_ms: u64,
    /// Time until which the silence of a runner proves nothing.
    settles_at_ms: u64,
    /// Time at which the oldest origin with open jobs here was alive; absent without such jobs.
    oldest_origin_ms: Option<u64>,
    counts: Counts,
}

impl Dispatcher {
    /// Creates a dispatcher that knows no runners and no directives.
    pub fn new(incarnation: ids::Incarnation, zone: SmolStr) -> Self {
        Self {
            incarnation,
            zone,
            directives: directives::InForce::default(),
            directives_fetch: directives_fetch::DirectivesFetch::default(),
            queues: sync::Arc::default(),
            runners: SlotMap::with_key(),
            by_address: collections::HashMap::new(),
            watches: watching::Watches::default(),
            jobs: SlotMap::with_key(),
            by_id: collections::HashMap::new(),
            callers: callers::Callers::default(),
            waiting: Vec::new(),
            health: health::Health::default(),
            prior_wait: prior_wait::PriorWait::default(),
            headroom: headroom::Headroom::default(),
            admission: admission::Admission::default(),
            policy: settings::Policy::default(),
            running_checked_ms: 0,
            swept_ms: 0,
            settles_at_ms: 0,
            oldest_origin_ms: None,
            counts: Counts::default(),
        }
    }

    /// Sets the number of runners of each service that are always watched.
    #[must_use]
    pub const fn with_watch_set(mut self, size: usize) -> Self {
        self.watches.size = size;
        self
    }

    /// Sets whether jobs are refused as soon as they are not expected to be placed in time.
    #[must_use]
    pub fn with_early_refusal(mut self, is_enabled: bool) -> Self {
        self.admission = admission::Admission::new(is_enabled);
        self
    }

    /// Records that this process was suspended: until `settles_at_ms`, no job is refused for lack of
    /// capacity, and no run counts as lost because its runner seems silent.
    pub const fn resume(&mut self, settles_at_ms: u64) {
        self.settles_at_ms = settles_at_ms;
    }

    /// Limits the liveness signals to runners to the time at which the oldest origin with open jobs
    /// here was alive.
    pub const fn limit_liveness(&mut self, oldest_origin_ms: Option<u64>) {
        self.oldest_origin_ms = oldest_origin_ms;
    }

    /// Returns the time at which this entry and all origins with open jobs here were alive.
    fn alive_ms(&self, now_ms: u64) -> u64 {
        self.oldest_origin_ms
            .map_or(now_ms, |oldest_ms| oldest_ms.min(now_ms))
    }

    /// Returns the connections of the callers.
    pub const fn callers(&mut self) -> &mut callers::Callers {
        &mut self.callers
    }

    /// Returns the counters for the metrics.
    pub const fn counts(&self) -> Counts {
        self.counts
    }

    /// Returns the number of open jobs.
    pub fn open_jobs(&self) -> usize {
        self.jobs.len()
    }

    /// Returns the number of jobs that wait for capacity.
    pub const fn waiting_jobs(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the number of known runners.
    pub fn runners(&self) -> usize {
        self.runners.len()
    }

    /// Returns the number of watched runners.
    pub fn watched(&self) -> usize {
        self.watches.open().len()
    }

    /// Returns the number of watched runners that accept work.
    pub fn usable(&self, now_ms: u64) -> usize {
        let watched = self.watched_runners();
        watched
            .filter(|(_, runner)| runner.is_usable(now_ms))
            .count()
    }

    fn watched_runners(&self) -> impl Iterator<Item = (runners::RunnerKey, &runners::Runner)> {
        let open = self.watches.open().iter();
        open.map(|key| (*key, &self.runners[*key]))
    }

    /// Returns the addresses of all known runners.
    pub fn addresses(&self) -> Vec<SmolStr> {
        self.by_address.keys().cloned().collect()
    }

    /// Returns the directives in force.
    pub const fn directives(&self) -> &directives::InForce {
        &self.directives
    }

    /// Returns the queues in force; there are none before the first configuration.
    pub const fn queues(&self) -> &sync::Arc<queues::Queues> {
        &self.queues
    }

    /// Returns the number of accepted jobs of a queue that have not started.
    pub fn pending(&self, queue: &str) -> usize {
        let jobs = self.jobs.values();
        jobs.filter(|open| open.queue == queue && !open.has_started())
            .count()
    }

    /// Returns whether an open job has started, or `None` if no such job is open.
    pub fn is_started(&self, id: &str) -> Option<bool> {
        let key = self.by_id.get(id)?;
        Some(self.jobs.get(*key)?.has_started())
    }

    /// Applies directives from the store or another process; returns whether they are newer.
    pub fn update_directives(&mut self, received: directives::Directives) -> bool {
        let before = sync::Arc::clone(self.directives.get());
        if !self.directives.advance(received) {
            return false;
        }
        let current = self.directives.get();
        let is_same = sync::Arc::ptr_eq(&before.queues, &current.queues);
        if !is_same || before.bounds != current.bounds {
            self.queues = sync::Arc::new(queues::Queues::new(&current.queues, current.bounds));
            self.prior_wait.retain(&current.queues);
            let queues = &current.queues;
            let is_used = |service: &str| queues.iter().any(|queue| queue.service == service);
            self.headroom.retain(is_used);
            self.admission.retain(is_used);
        }
        true
    }

    /// Notes that a fetch from another entry has succeeded or failed.
    pub fn fetch_answered(&mut self, now_ms: u64) {
        self.directives_fetch.answered(now_ms);
    }

    fn fetch_directives(&mut self, now_ms: u64) -> Option<Action> {
        let is_outdated = self.directives.is_outdated();
        let has_older = self.directives.get().is_configured();
        let holder = self
            .directives_fetch
            .next_holder(now_ms, is_outdated, has_older)?;
        log::info!(event = "directives.fetch", from = holder.as_str(), version = self.directives.latest().get().version, held = self.directives.get().version; "newer configuration not received from the store; fetching it from another entry");
        Some(Action::Fetch(holder))
    }

    /// Records that an order was sent a second time because the first copy had no answer.
    pub fn order_resent(&mut self, key: runners::RunnerKey, order: &messages::Order) {
        if let Some(runner) = self.runners.get_mut(key) {
            runner.order_resent(order);
        }
    }

    /// Processes the answer to an order.
    pub fn order_answered(
        &mut self,
        now_ms: u64,
        key: runners::RunnerKey,
        order: &messages::Order,
        reply: messages::OrderReply,
    ) -> Vec<Action> {
        let Some(runner) = self.runners.get_mut(key) else {
            return Vec::new();
        };
        for (id, why) in &reply.refused {
            log::info!(event = "order.refused", job = id.job.as_str(), run:% = id, runner = runner.address().as_str(), why:? = why, free_milli = reply.load.size.minus(&reply.load.used).cpu_milli; "runner refused the run");
        }
        let ended = runner.order_answered(now_ms, order, reply);
        self.record_results(now_ms, key);
        self.apply_ends(now_ms, key, ended)
    }

    /// Processes an order without an answer; `is_unsent` states that it was certainly not sent.
    pub fn order_lost(
        &mut self,
        now_ms: u64,
        key: runners::RunnerKey,
        order: &messages::Order,
        is_unsent: bool,
    ) -> Vec<Action> {
        let Some(runner) = self.runners.get_mut(key) else {
            return Vec::new();
        };
        log::warn!(event = "order.lost", runner = runner.address().as_str(), number = order.number, runs = order.starts.len(), unsent = is_unsent; "no answer to the order; its runs stay placed until the runner reports, unless it was not sent");
        if !is_unsent {
            return Vec::new();
        }
        let ended = runner.order_unsent(order);
        self.apply_ends(now_ms, key, ended)
    }

    /// Returns the next watch for a runner, or `None` if it was closed or the runner removed.
    pub fn next_watch(
        &mut self,
        now_ms: u64,
        key: runners::RunnerKey,
    ) -> Option<(SmolStr, messages::Watch)> {
        if self.close_idle_watch(now_ms, key) {
            return None;
        }
        let wants_room = !self.waiting.is_empty();
        let wanted_milli = self.wanted_milli(now_ms, self.runners.get(key)?);
        let alive_ms = self.alive_ms(now_ms);
        let runner = self.runners.get_mut(key)?;
        let jobs = &self.jobs;
        let mut watch = runner.build_watch(now_ms, alive_ms, self.incarnation, |placed| {
            let open = jobs.get(placed.job);
            open.is_some_and(|open| open.tasks[placed.task].state == jobs::State::Assigned(key))
        });
        watch.wants_room = wants_room;
        watch.wanted_milli = wanted_milli;
        let is_idle = runner.placed() == 0 && !wants_room;
        watch.wait_ms = if runner.silence_ms(now_ms) > runners::SILENT_MS {
            // Until it answers, the runner gets no work.
            0
        } else if is_idle {
            IDLE_WATCH_WAIT_MS
        } else {
            WATCH_WAIT_MS
        };
        let latest = self.directives.latest();
        watch.directives_position = latest.get().position;
        watch.configuration = self.directives.get().version;
        watch.notice = latest.notice_since(runner.directives_position);
        Some((runner.address().clone(), watch))
    }

    /// Processes the answer to a watch.
    pub fn report_received(
        &mut self,
        now_ms: u64,
        key: runners::RunnerKey,
        report: messages::Report,
    ) -> Vec<Action> {
        let Some(runner) = self.runners.get_mut(key) else {
            return Vec::new();
        };
        let was_usable = runner.is_usable(now_ms);
        let silence_ms = runner.silence_ms(now_ms);
        let mut report = report;
        let notice = report.notice.take();
        let holder = report.holder.take();
        let ended = runner.report_received(now_ms, report);
        if was_usable != runner.is_usable(now_ms) {
            log::info!(event = "runner.changed", runner = runner.address().as_str(), readiness:? = runner.load.readiness, zone = runner.load.zone.as_str(), silence_ms = silence_ms; "runner started or stopped accepting work");
        }
        self.update_location(key);
        self.record_results(now_ms, key);
        if let Some(notice) = notice {
            self.directives.update_notice(&notice);
        }
        if let Some(holder) = holder {
            self.directives_fetch.add_holder(holder);
        }
        self.apply_ends(now_ms, key, ended)
    }

    fn enqueue(&mut self, key: jobs::JobKey) {
        if !self.waiting.contains(&key) {
            self.waiting.push(key);
        }
    }

    /// Ends a job: answers its callers and stops the runs that are left.
    fn end_job(
        &mut self,
        now_ms: u64,
        key: jobs::JobKey,
        outcome: Option<Outcome>,
        why: &'static str,
    ) -> Vec<Action> {
        let Some(open) = self.jobs.remove(key) else {
            return Vec::new();
        };
        self.by_id.remove(&open.job.id);
        self.waiting.retain(|other| *other != key);
        let runs = open.runs_by_runner();
        log::info!(event = "job.end", job = open.job.id.as_str(), queue = open.queue.as_str(), outcome:? = outcome, why = why, took_ms = now_ms - open.arrived_ms, objective_ms = open.objective_ms, taken_back = runs.len(); "job ended");
        let mut actions = Vec::new();
        for (runner, ids) in runs {
            actions.extend(self.send_order(now_ms, runner, Vec::new(), ids));
        }
        if let Some(outcome) = outcome {
            let answers = open
                .waiters
                .iter()
                .map(|waiter| Action::Answer(*waiter, outcome));
            actions.extend(answers);
        }
        actions
    }

    fn send_order(
        &mut self,
        now_ms: u64,
        key: runners::RunnerKey,
        starts: Vec<runners::runs::PlannedRun>,
        stops: Vec<messages::RunId>,
    ) -> Option<Action> {
        if !starts.is_empty() {
            self.extend_watch(now_ms, key);
        }
        let alive_ms = self.alive_ms(now_ms);
        let runner = self.runners.get_mut(key)?;
        let order = runner.build_order(now_ms, alive_ms, self.incarnation, starts, stops)?;
        Some(Action::Order(key, runner.address().clone(), order))
    }
}

fn urgency_view(open: &jobs::OpenJob) -> urgency::View {
    urgency::View {
        has_started: open.has_started(),
        precedence: open.precedence,
        due_ms: open.due_ms,
        hold_until_ms: open.hold_until_ms,
        deadline_ms: open.deadline_ms,
        remaining_ms: open.job.critical_path_ms(),
    }
}
