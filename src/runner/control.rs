//! Control thread of a runner: one actor that owns all its state.

use std::collections;
use std::sync;
use std::time;

use actix::ActorFutureExt as _;
use actix::AsyncContext as _;
use smol_str::SmolStr;
use tokio::sync::oneshot;

use crate::clock;
use crate::heartbeats;
use crate::ids;
use crate::membership::announcements;
use crate::membership::contacts;
use crate::outgoing;
use crate::runner::backend;
use crate::runner::core;
use crate::runner::messages;
use crate::settings_replica;
use crate::streams;
use crate::wire;

/// Interval of the checks for expired times, missing evidence and missing contacts.
const TICK_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// Interval at which leases are renewed and usage is read: five attempts per lease.
const LEASE_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Maximum age of a permission to start when the task's bytes are sent.
const MAX_PERMISSION_AGE_MS: u64 = 200;

type Waiter = oneshot::Sender<wire::Outcome>;

/// Everything that the control thread is created from.
#[derive(Debug)]
pub struct Parts {
    /// Configuration of the runner.
    pub runner: core::Parts,
    /// Configured addresses of entries.
    pub entries: Vec<SmolStr>,
    /// Address of the log service.
    pub log: SmolStr,
    /// Address of the backend server.
    pub backend: SmolStr,
    /// Monotonic clock.
    pub clock: clock::Clock,
    /// Traffic threads, which make the outgoing calls.
    pub pool: sync::Arc<outgoing::Pool>,
}

/// Actor of the control thread.
#[derive(Debug)]
pub struct Control {
    pub(super) core: core::Core,
    pub(super) settings_replica: settings_replica::SettingsReplica,
    pub(super) contacts: contacts::Contacts,
    pub(super) waiters: collections::HashMap<ids::Attempt, Vec<Waiter>>,
    pub(super) parts: Parts,
    pub(super) is_reading_log: bool,
    pub(super) read_log_after_ms: u64,
    pub(super) isolation_backoff: announcements::IsolationBackoff,
    pub(super) leave_started_ms: Option<u64>,
    pub(super) counts: Counts,
}

#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Counts {
    pub(super) dispatches: u64,
    pub(super) started: u64,
    pub(super) not_started: u64,
    pub(super) fences: u64,
    pub(super) log_reads: u64,
}

impl Control {
    /// Creates a runner that has contacted no process yet and starts no task.
    pub fn new(parts: Parts) -> Self {
        let now_ms = parts.clock.now_ms();
        let me = &parts.runner.me;
        let settings_replica =
            settings_replica::SettingsReplica::new(me.name.clone(), me.zone.clone(), now_ms);
        let settings = sync::Arc::clone(settings_replica.state().settings());
        let own = me.address.clone();
        let isolation_backoff = announcements::IsolationBackoff::new(now_ms, me.incarnation.0);
        Self {
            core: core::Core::new(parts.runner.clone(), settings, now_ms),
            settings_replica,
            contacts: contacts::Contacts::new(own, &parts.entries),
            waiters: collections::HashMap::new(),
            parts,
            is_reading_log: false,
            read_log_after_ms: 0,
            isolation_backoff,
            leave_started_ms: None,
            counts: Counts::default(),
        }
    }

    pub(super) fn now_ms(&self) -> u64 {
        self.parts.clock.now_ms()
    }

    pub(super) fn execute(&mut self, cx: &actix::Context<Self>, actions: Vec<core::Action>) {
        for action in actions {
            match action {
                core::Action::Start(dispatch) => self.start(cx, dispatch),
                core::Action::Stop(attempt) => self.stop(attempt),
                core::Action::Answer(attempt, outcome) => self.answer(attempt, &outcome),
                core::Action::SendHeartbeats => self.send_heartbeats(cx),
            }
        }
    }

    /// Starts a task from a traffic thread, which asks for permission right before it sends.
    ///
    /// Without the second check, a process suspended between the decision and the sending
    /// would start the task when it is resumed, long after its availability zone was taken
    /// out. The control thread answers from evidence that has aged in the meantime.
    fn start(&mut self, cx: &actix::Context<Self>, dispatch: wire::Dispatch) {
        self.counts.started += 1;
        let control = cx.address();
        let clock = self.parts.clock;
        let backend = self.parts.backend.clone();
        self.parts.pool.run(move |client| async move {
            let attempt = dispatch.attempt;
            let (submission, index) = (dispatch.submission.as_str(), dispatch.index);
            let end = if may_start_now(&control, clock, attempt).await {
                log::info!(event = "task.start", attempt:% = attempt, submission = submission, index = index; "starting the task at the backend server");
                backend::run(&client, &backend, &dispatch).await
            } else {
                core::End::Unreachable
            };
            log::info!(event = "task.end", attempt:% = attempt, submission = submission, index = index; "task ended or was not started");
            control.do_send(messages::TaskEnded { attempt, end });
        });
    }

    fn stop(&self, attempt: ids::Attempt) {
        let backend = self.parts.backend.clone();
        self.parts.pool.run(move |client| async move {
            backend::stop(&client, &backend, attempt).await;
        });
    }

    fn answer(&mut self, attempt: ids::Attempt, outcome: &wire::Outcome) {
        if matches!(outcome, wire::Outcome::NotStarted { .. }) {
            self.counts.not_started += 1;
        }
        for waiter in self.waiters.remove(&attempt).unwrap_or_default() {
            if waiter.send(outcome.clone()).is_err() {
                log::debug!(event = "outcome.unheard", attempt:% = attempt; "request for the outcome was closed before the answer");
            }
        }
    }

    pub(super) fn settings_changed(&mut self, cx: &actix::Context<Self>) {
        let settings = sync::Arc::clone(self.settings_replica.state().settings());
        let actions = self.core.set_settings(settings);
        self.execute(cx, actions);
    }

    pub(super) fn timeouts(&self) -> crate::settings::Timeouts {
        self.settings_replica.state().settings().timeouts
    }

    pub(super) fn send_heartbeats(&mut self, cx: &actix::Context<Self>) {
        let now_ms = self.now_ms();
        let timeouts = self.timeouts();
        let limit = time::Duration::from_millis(u64::from(timeouts.dead_after_ms) / 2);
        self.contacts
            .remove_silent(now_ms, u64::from(timeouts.dead_after_ms) * 20);
        for target in self.contacts.targets() {
            let heartbeat = self.heartbeat_for(now_ms, &target);
            let done = cx.address().recipient();
            heartbeats::send(
                &self.parts.pool,
                self.parts.clock,
                target,
                heartbeat,
                limit,
                done,
            );
        }
    }

    fn heartbeat_for(&mut self, now_ms: u64, to: &contacts::Target) -> wire::Heartbeat {
        let load = self
            .core
            .load_for(to.incarnation.unwrap_or(ids::Incarnation(0)));
        wire::Heartbeat {
            version: wire::VERSION,
            sender: self.core.me().clone(),
            leaving: self.core.is_leaving(),
            revision: self.settings_replica.state().revision(),
            evidence: self.core.freshness().evidence(now_ms),
            load: Some(load),
            slots: 0,
            tickets: 0,
            entries_held: to.entries_held,
        }
    }

    fn keep_sending_heartbeats(&mut self, cx: &mut actix::Context<Self>) {
        self.send_heartbeats(cx);
        let pause = time::Duration::from_millis(self.timeouts().heartbeat_ms.into());
        cx.run_later(pause, Self::keep_sending_heartbeats);
    }

    /// Reads the log if the entries bring no evidence.
    ///
    /// Runners do not follow the log, since it cannot serve 28,000 permanent readers, the
    /// number of runners expected in two years.
    fn read_log_if_needed(&mut self, cx: &actix::Context<Self>) {
        let half_ms = u64::from(self.timeouts().fresh_ms) / 2;
        let now_ms = self.now_ms();
        let age_ms = self.core.freshness().age_ms(now_ms);
        let must_wait = self.is_reading_log || now_ms < self.read_log_after_ms;
        if must_wait || age_ms.is_some_and(|age| age < half_ms) {
            return;
        }
        self.is_reading_log = true;
        self.counts.log_reads += 1;
        let position = self.settings_replica.read_from();
        let done = cx.address().recipient();
        let (pool, clock) = (&self.parts.pool, self.parts.clock);
        streams::read_once(pool, clock, self.parts.log.clone(), position, done);
    }

    /// Reads the entries' announcements on the log if no contact answers.
    fn search_entries_if_isolated(&mut self, cx: &actix::Context<Self>) {
        let now_ms = self.now_ms();
        let since_ms = now_ms.saturating_sub(self.timeouts().dead_after_ms.into());
        let has_no_contact = self.contacts.is_isolated(since_ms);
        if !self.isolation_backoff.is_due(now_ms, has_no_contact) {
            return;
        }
        let done = cx.address().recipient();
        let own = self.core.me().name.clone();
        streams::find_entries(&self.parts.pool, self.parts.log.clone(), own, done);
    }

    fn renew_leases(&self, cx: &actix::Context<Self>) {
        let attempts = self.core.running_attempts();
        let backend = self.parts.backend.clone();
        let control = cx.address();
        self.parts.pool.run(move |client| async move {
            if !attempts.is_empty() {
                backend::renew(&client, &backend, &attempts).await;
            }
            if let Some(used) = backend::usage(&client, &backend).await {
                control.do_send(messages::UsageReport(used));
            }
        });
    }
}

/// Asks the control thread whether a task may still be started.
///
/// Asks again if the answer took more than [`MAX_PERMISSION_AGE_MS`]: a process suspended in
/// between would act on an answer from before its suspension.
async fn may_start_now(
    control: &actix::Addr<Control>,
    clock: clock::Clock,
    attempt: ids::Attempt,
) -> bool {
    loop {
        let sent_at_ms = clock.now_ms();
        let may_start = control.send(messages::MayStart(attempt)).await;
        if !may_start.unwrap_or(false) {
            return false;
        }
        if clock.now_ms() - sent_at_ms <= MAX_PERMISSION_AGE_MS {
            return true;
        }
    }
}

impl actix::Actor for Control {
    type Context = actix::Context<Self>;

    fn started(&mut self, cx: &mut Self::Context) {
        cx.set_mailbox_capacity(MAILBOX_CAPACITY);
        cx.run_interval(TICK_INTERVAL, |actor, cx| {
            let now_ms = actor.now_ms();
            let actions = actor.core.tick(now_ms);
            actor.execute(cx, actions);
            actor.read_log_if_needed(cx);
            actor.search_entries_if_isolated(cx);
        });
        cx.run_interval(LEASE_INTERVAL, |actor, cx| actor.renew_leases(cx));
        self.keep_sending_heartbeats(cx);
    }
}

/// Maximum number of messages that wait for the control thread.
const MAILBOX_CAPACITY: usize = 1_024;

impl actix::Handler<messages::PeerDispatch> for Control {
    type Result = actix::ResponseActFuture<Self, Option<wire::DispatchReply>>;

    fn handle(&mut self, message: messages::PeerDispatch, cx: &mut Self::Context) -> Self::Result {
        self.counts.dispatches += 1;
        let attempt = message.0.attempt;
        let (tx, rx) = oneshot::channel();
        self.waiters.entry(attempt).or_default().push(tx);
        let now_ms = self.now_ms();
        let actions = self.core.dispatch(now_ms, message.0);
        self.execute(cx, actions);
        let reply = actix::fut::wrap_future::<_, Self>(rx).map(move |outcome, actor, _cx| {
            let outcome = outcome.ok()?;
            let load = actor.core.load_for(attempt.owner);
            Some(wire::DispatchReply {
                version: wire::VERSION,
                attempt,
                outcome,
                load,
            })
        });
        Box::pin(reply)
    }
}

impl actix::Handler<messages::PeerFence> for Control {
    type Result = actix::MessageResult<messages::PeerFence>;

    fn handle(&mut self, message: messages::PeerFence, cx: &mut Self::Context) -> Self::Result {
        self.counts.fences += 1;
        let now_ms = self.now_ms();
        let (outcomes, actions) = self.core.fence(now_ms, &message.0);
        self.execute(cx, actions);
        let requester = message
            .0
            .attempts
            .first()
            .map_or(ids::Incarnation(0), |fenced| fenced.owner);
        actix::MessageResult(wire::FenceReply {
            version: wire::VERSION,
            incarnation: self.core.me().incarnation,
            outcomes,
            load: self.core.load_for(requester),
        })
    }
}

impl actix::Handler<messages::TaskEnded> for Control {
    type Result = ();

    fn handle(&mut self, message: messages::TaskEnded, cx: &mut Self::Context) {
        let now_ms = self.now_ms();
        let actions = self.core.ended(now_ms, message.attempt, message.end);
        self.execute(cx, actions);
    }
}

impl actix::Handler<messages::MayStart> for Control {
    type Result = bool;

    fn handle(&mut self, message: messages::MayStart, _cx: &mut Self::Context) -> bool {
        self.core.may_start(self.now_ms(), message.0)
    }
}

impl actix::Handler<messages::UsageReport> for Control {
    type Result = ();

    fn handle(&mut self, message: messages::UsageReport, _cx: &mut Self::Context) {
        self.core.record_usage(message.0);
    }
}
