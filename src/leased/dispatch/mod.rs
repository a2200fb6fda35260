//! An entry's decisions about jobs under leases, without network or clock.

pub mod directives_fetch;
pub mod ejection;
pub mod expiry;
pub mod jobs;
pub mod placement;
pub mod prior_wait;
pub mod run_ends;
pub mod runners;
pub mod scheduling;
pub mod urgency;
pub mod watching;

use std::collections;
use std::sync;

use slotmap::SlotMap;
use smol_str::SmolStr;

use crate::health;
use crate::ids;
use crate::leased::directives;
use crate::leased::job;
use crate::leased::messages;
use crate::leased::queues;
use crate::metrics;
use crate::settings;

/// How long a watch waits at a runner for news, in milliseconds; the entry's lease there
/// is renewed as often.
pub const WATCH_WAIT_MS: u64 = 150;

/// How long a watch waits at a runner where the entry has no runs, in milliseconds: below
/// the silence of 450 ms after which a runner gets no work. Asked as often as where it has
/// runs, some dozen idle runners would take much of an entry that has an eighth of a core.
pub const IDLE_WATCH_WAIT_MS: u64 = 350;

/// What the entry's surroundings must do.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send an order.
    Order(runners::RunnerKey, SmolStr, messages::Order),
    /// Keep a watch open at a runner.
    Watch(runners::RunnerKey),
    /// Tell a caller how its job ended.
    Answer(jobs::Waiter, Outcome),
    /// Ask another entry, by its address, for what it knows.
    Fetch(SmolStr),
}

/// How a job ended for its caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// Every task is done.
    Completed,
    /// A task failed as often as its queue allows.
    Failed,
    /// Nothing of it ran and nothing will.
    NotRun {
        /// When the caller should come back, in milliseconds.
        retry_after_ms: u64,
    },
    /// It was given up after something of it may have run.
    GivenUp,
    /// Its caller has cancelled it.
    Cancelled,
}

/// Counts for the metrics.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    /// Jobs taken in.
    pub accepted: u64,
    /// Jobs answered as completed.
    pub completed: u64,
    /// Of those, later than their objective.
    pub late: u64,
    /// Jobs answered as failed.
    pub failed: u64,
    /// Jobs refused without a run.
    pub not_run: u64,
    /// Jobs given up after something may have run.
    pub given_up: u64,
    /// Jobs whose callers left or cancelled.
    pub cancelled: u64,
    /// Runs ordered.
    pub ordered: u64,
    /// Runs that a runner did not take in or could not start.
    pub not_started: u64,
    /// Runs that were lost or stopped while their job still wanted them.
    pub lost: u64,
    /// How long completed jobs took.
    pub took: metrics::Histogram,
}

/// The state of one entry.
#[derive(Debug)]
pub struct Dispatcher {
    me: ids::Incarnation,
    zone: SmolStr,
    directives: directives::InForce,
    directives_fetch: directives_fetch::DirectivesFetch,
    queues: sync::Arc<queues::Queues>,
    runners: SlotMap<runners::RunnerKey, runners::Runner>,
    by_address: collections::HashMap<SmolStr, runners::RunnerKey>,
    watches: watching::Watches,
    jobs: SlotMap<jobs::JobKey, jobs::Open>,
    by_id: collections::HashMap<SmolStr, jobs::JobKey>,
    waiting: Vec<jobs::JobKey>,
    health: health::Health,
    prior_wait: prior_wait::PriorWait,
    policy: settings::Policy,
    looked_ms: u64,
    swept_ms: u64,
    counts: Counts,
}

impl Dispatcher {
    /// An entry that has heard nothing yet.
    pub fn new(me: ids::Incarnation, zone: SmolStr) -> Self {
        Self {
            me,
            zone,
            directives: directives::InForce::default(),
            directives_fetch: directives_fetch::DirectivesFetch::default(),
            queues: sync::Arc::default(),
            runners: SlotMap::with_key(),
            by_address: collections::HashMap::new(),
            watches: watching::Watches::default(),
            jobs: SlotMap::with_key(),
            by_id: collections::HashMap::new(),
            waiting: Vec::new(),
            health: health::Health::default(),
            prior_wait: prior_wait::PriorWait::default(),
            policy: settings::Policy::default(),
            looked_ms: 0,
            swept_ms: 0,
            counts: Counts::default(),
        }
    }

    /// The same entry, with so many runners of each service that it watches in any case.
    #[must_use]
    pub const fn with_watch_set(mut self, size: usize) -> Self {
        self.watches.size = size;
        self
    }

    /// Counts for the metrics.
    pub const fn counts(&self) -> Counts {
        self.counts
    }

    /// Jobs that are open.
    pub fn open_jobs(&self) -> usize {
        self.jobs.len()
    }

    /// Jobs that wait for room.
    pub const fn waiting_jobs(&self) -> usize {
        self.waiting.len()
    }

    /// How many runners are known.
    pub fn runners(&self) -> usize {
        self.runners.len()
    }

    /// How many runners are watched.
    pub fn watched(&self) -> usize {
        self.watches.open().len()
    }

    /// How many of the watched runners take work.
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

    /// Addresses of all runners, for another entry.
    pub fn addresses(&self) -> Vec<SmolStr> {
        self.by_address.keys().cloned().collect()
    }

    /// The directives in force.
    pub const fn directives(&self) -> &directives::InForce {
        &self.directives
    }

    /// The queues in force; empty as long as there is no configuration.
    pub const fn queues(&self) -> &sync::Arc<queues::Queues> {
        &self.queues
    }

    /// How many accepted jobs of a queue have nothing started.
    pub fn pending(&self, queue: &str) -> usize {
        let jobs = self.jobs.values();
        jobs.filter(|open| open.queue == queue && !open.has_started())
            .count()
    }

    /// Whether a job is known and open.
    pub fn is_started(&self, id: &str) -> Option<bool> {
        let key = self.by_id.get(id)?;
        Some(self.jobs.get(*key)?.has_started())
    }

    /// The store, or another process, told what operators ask for; whether it was news.
    pub fn update_directives(&mut self, heard: directives::Directives) -> bool {
        let before = sync::Arc::clone(self.directives.get());
        if !self.directives.advance(heard) {
            return false;
        }
        let current = self.directives.get();
        let is_same = sync::Arc::ptr_eq(&before.queues, &current.queues);
        if !is_same || before.bounds != current.bounds {
            self.queues = sync::Arc::new(queues::Queues::new(&current.queues, current.bounds));
            self.prior_wait.retain(&current.queues);
        }
        true
    }

    /// Another entry has answered what it knows, or not.
    pub fn fetch_answered(&mut self, now_ms: u64) {
        self.directives_fetch.answered(now_ms);
    }

    fn catch_up(&mut self, now_ms: u64) -> Option<Action> {
        let is_lacking = self.directives.is_outdated();
        let has_any = self.directives.get().is_configured();
        let holder = self
            .directives_fetch
            .next_holder(now_ms, is_lacking, has_any)?;
        log::info!(event = "directives.fetch", from = holder.as_str(), version = self.directives.latest().get().version, held = self.directives.get().version; "the store hasn't told; asking");
        Some(Action::Fetch(holder))
    }

    /// A caller hands a job in; `timeout_ms` is how long it waits at most, if it says so.
    pub fn submit(
        &mut self,
        now_ms: u64,
        job: job::Job,
        queue: &queues::Queue,
        timeout_ms: Option<u64>,
        waiter: jobs::Waiter,
    ) -> Vec<Action> {
        if let Some(open) = self
            .by_id
            .get(&job.id)
            .and_then(|key| self.jobs.get_mut(*key))
        {
            // The caller lost its connection and asks again: one life goes on, no second begins.
            log::info!(event = "job.joined", job = job.id.as_str(), age_ms = now_ms - open.arrived_ms; "already open here");
            open.waiters.push(waiter);
            return Vec::new();
        }
        let kind = self.health.intern_kind(&queue.service, &queue.name);
        let mut open = jobs::Open::new(now_ms, job, queue, timeout_ms, waiter, kind);
        open.precedence = self.queues.precedence(queue);
        let waited_ms = self.prior_wait.waited_ms(queue, timeout_ms);
        open.note_waited(waited_ms);
        log::info!(event = "job.accept", job = open.job.id.as_str(), queue = open.queue.as_str(), tasks = open.tasks.len(), estimate_ms = open.job.critical_path_ms(), objective_ms = open.objective_ms, precedence = open.precedence, timeout_ms = open.deadline_ms - now_ms, waited_ms = waited_ms, waiting = self.waiting.len(), configuration = self.directives.get().version; "accepted");
        self.counts.accepted += 1;
        let id = open.job.id.clone();
        let key = self.jobs.insert(open);
        self.by_id.insert(id, key);
        self.waiting.push(key);
        self.fill(now_ms)
    }

    /// A caller that waited is gone, or cancels its own wait.
    pub fn remove_waiter(&mut self, now_ms: u64, id: &str, waiter: jobs::Waiter) -> Vec<Action> {
        let Some(&key) = self.by_id.get(id) else {
            return Vec::new();
        };
        let Some(open) = self.jobs.get_mut(key) else {
            return Vec::new();
        };
        open.waiters.retain(|other| *other != waiter);
        if !open.waiters.is_empty() {
            return Vec::new();
        }
        self.counts.cancelled += 1;
        self.end(now_ms, key, None, "caller gone")
    }

    /// A caller cancels a job; none: it isn't known.
    pub fn cancel(&mut self, now_ms: u64, id: &str) -> Option<Vec<Action>> {
        let key = *self.by_id.get(id)?;
        self.counts.cancelled += 1;
        Some(self.end(now_ms, key, Some(Outcome::Cancelled), "cancelled"))
    }

    /// An order was answered.
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
            log::info!(event = "order.refused", job = id.job.as_str(), run:% = id, runner = runner.address().as_str(), why:? = why, free_milli = reply.load.size.minus(&reply.load.used).cpu_milli; "not taken in");
        }
        let over = runner.order_answered(now_ms, order, reply);
        self.take_over(now_ms, key, over)
    }

    /// An order was not answered; `is_unsent` tells that it was surely not sent.
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
        log::warn!(event = "order.lost", runner = runner.address().as_str(), number = order.number, runs = order.starts.len(), unsent = is_unsent; "no answer");
        if !is_unsent {
            return Vec::new();
        }
        let over = runner.unsent(order);
        self.take_over(now_ms, key, over)
    }

    /// The next watch for a runner; none: it is closed, or the runner is forgotten.
    pub fn next_watch(
        &mut self,
        now_ms: u64,
        key: runners::RunnerKey,
    ) -> Option<(SmolStr, messages::Watch)> {
        if self.close_idle_watch(now_ms, key) {
            return None;
        }
        let wants_room = !self.waiting.is_empty();
        let runner = self.runners.get_mut(key)?;
        let jobs = &self.jobs;
        let mut watch = runner.watch(now_ms, self.me, |placed| {
            let open = jobs.get(placed.job);
            open.is_some_and(|open| open.tasks[placed.task].state == jobs::State::At(key))
        });
        watch.wants_room = wants_room;
        let is_idle = runner.placed() == 0 && !wants_room;
        watch.wait_ms = if is_idle {
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

    /// A watch was answered.
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
        let over = runner.report_received(now_ms, report);
        if was_usable != runner.is_usable(now_ms) {
            log::info!(event = "runner.changed", runner = runner.address().as_str(), readiness:? = runner.load.readiness, zone = runner.load.zone.as_str(), silence_ms = silence_ms; "heard");
        }
        self.note_whereabouts(key);
        if let Some(notice) = notice {
            self.directives.update_notice(&notice);
        }
        if let Some(holder) = holder {
            self.directives_fetch.add_holder(holder);
        }
        self.take_over(now_ms, key, over)
    }

    fn wait(&mut self, key: jobs::JobKey) {
        if !self.waiting.contains(&key) {
            self.waiting.push(key);
        }
    }

    /// Ends a job: who waits is told, and what still runs of it is taken back.
    fn end(
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
        let runs = open.runs();
        log::info!(event = "job.end", job = open.job.id.as_str(), queue = open.queue.as_str(), outcome:? = outcome, why = why, took_ms = now_ms - open.arrived_ms, objective_ms = open.objective_ms, taken_back = runs.len(); "ended");
        let mut actions = Vec::new();
        for (runner, ids) in runs {
            actions.extend(self.order(now_ms, runner, Vec::new(), ids));
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

    fn order(
        &mut self,
        now_ms: u64,
        key: runners::RunnerKey,
        starts: Vec<runners::Planned>,
        stops: Vec<messages::RunId>,
    ) -> Option<Action> {
        if !starts.is_empty() {
            self.note_use(now_ms, key);
        }
        let runner = self.runners.get_mut(key)?;
        let order = runner.order(now_ms, self.me, starts, stops)?;
        Some(Action::Order(key, runner.address().clone(), order))
    }
}

fn view(open: &jobs::Open) -> urgency::View {
    urgency::View {
        has_started: open.has_started(),
        precedence: open.precedence,
        due_ms: open.due_ms,
        hold_until_ms: open.hold_until_ms,
        deadline_ms: open.deadline_ms,
        left_ms: open.job.critical_path_ms(),
    }
}
