//! The control thread of an entry: one actor that owns all state.

use std::collections;
use std::sync;
use std::time;

use actix::AsyncContext as _;
use smol_str::SmolStr;
use tokio::sync::oneshot;

use crate::api;
use crate::claims;
use crate::clock;
use crate::codes;
use crate::control;
use crate::entry::attempts;
use crate::entry::calls;
use crate::entry::claim_calls;
use crate::entry::core;
use crate::entry::messages;
use crate::heartbeats;
use crate::jobs;
use crate::keeper;
use crate::membership::announcements;
use crate::membership::contacts;
use crate::metrics;
use crate::outgoing;
use crate::streams;
use crate::wire;

/// How often time is looked at.
const TICK: time::Duration = time::Duration::from_millis(20);

/// Least time for which a stopping entry goes on serving, so that callers fetch
/// the answers that they were promised, and so that a balancer that asks `/readyz`
/// every second sends nothing more when the port is closed: connections that the
/// system took and the process did not are reset then.
const LINGER_MS: u64 = 2_000;

/// Longest wait for the answer to a question to a runner.
const FENCE_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// How much longer than wait and run a dispatch may take before it counts as lost.
const DISPATCH_GRACE_MS: u64 = 5_000;

type Waiter = oneshot::Sender<Box<api::Answer>>;

/// What the control thread is made of.
#[derive(Debug)]
pub struct Parts {
    /// Who this entry is.
    pub me: wire::Peer,
    /// Entries to begin with.
    pub entries: Vec<SmolStr>,
    /// The log service.
    pub log: SmolStr,
    /// The clock.
    pub clock: clock::Clock,
    /// The traffic threads.
    pub pool: sync::Arc<outgoing::Pool>,
    /// Where the traffic threads see the settings.
    pub snapshot: heartbeats::Snapshot,
}

/// The actor.
#[derive(Debug)]
pub struct Control {
    pub(super) core: core::Core,
    keeper: keeper::Keeper,
    contacts: contacts::Contacts,
    waiters: collections::HashMap<jobs::Key, Vec<Waiter>>,
    pub(super) claim_waiters: collections::HashMap<claims::Name, Vec<oneshot::Sender<()>>>,
    pub(super) parts: Parts,
    left_ms: Option<u64>,
    is_published: bool,
    search: announcements::Search,
    suspects: collections::HashMap<SmolStr, u64>,
}

impl Control {
    /// An entry that is not yet in touch with anyone.
    pub fn new(parts: Parts) -> Self {
        let now_ms = parts.clock.now_ms();
        let (name, zone) = (parts.me.name.clone(), parts.me.zone.clone());
        let keeper = keeper::Keeper::new(name, zone, now_ms);
        let settings = sync::Arc::clone(keeper.state().settings());
        let seed = parts.me.incarnation.0;
        Self {
            core: core::Core::new(parts.me.clone(), settings, now_ms, seed),
            keeper,
            contacts: contacts::Contacts::new(parts.me.address.clone(), &parts.entries),
            waiters: collections::HashMap::new(),
            claim_waiters: collections::HashMap::new(),
            parts,
            left_ms: None,
            is_published: false,
            search: announcements::Search::new(now_ms, seed),
            suspects: collections::HashMap::new(),
        }
    }

    pub(super) fn now_ms(&self) -> u64 {
        self.parts.clock.now_ms()
    }

    pub(super) fn act(&mut self, cx: &actix::Context<Self>, actions: Vec<core::Action>) {
        for action in actions {
            match action {
                core::Action::Dispatch { address, dispatch } => {
                    log_dispatch(&address, &dispatch);
                    self.send_dispatch(cx, address, *dispatch);
                }
                core::Action::Fence { address, fence } => self.send_fence(cx, address, fence),
                core::Action::Answer { submission, answer } => self.answer(submission, &answer),
                core::Action::AppendClaims(record) => self.append_claims(cx, record),
                core::Action::ClaimSettled(name) => drop(self.claim_waiters.remove(&name)),
            }
        }
    }

    fn send_dispatch(&self, cx: &actix::Context<Self>, to: SmolStr, dispatch: wire::Dispatch) {
        let control = cx.address();
        let now_ms = self.now_ms();
        let is_suspect = self.suspects.get(&to).is_some_and(|until| *until > now_ms);
        let limit = dispatch.wait_ms + dispatch.limit_ms + DISPATCH_GRACE_MS;
        let limit = time::Duration::from_millis(limit);
        self.parts.pool.run(move |client| async move {
            let attempt = dispatch.attempt;
            let path = wire::DISPATCH_PATH;
            let reply = if is_suspect {
                outgoing::post_afresh(&to, path, &dispatch, limit).await
            } else {
                outgoing::post(&client, &to, path, &dispatch, limit).await
            };
            let reply = reply.map_err(|e| {
                log::warn!(event = "dispatch.failed", to = to.as_str(), attempt:% = attempt; "{e}");
                fault(&e)
            });
            control.do_send(messages::DispatchDone { attempt, reply });
        });
    }

    /// A runner never heard of a dispatch that went to it, though it answers on a new
    /// connection: the kept ones may have gone silent for good. Each would swallow
    /// one more dispatch and cost the time until it is asked about, so none of them
    /// is used until they have all been dropped for their age.
    fn mind_silence(&mut self, now_ms: u64, message: &messages::FenceDone) {
        let is_unheard = message.reply.outcomes.iter().any(Option::is_none);
        if message.reply.incarnation != message.fence.incarnation || !is_unheard {
            return;
        }
        self.suspects.retain(|_, until| *until > now_ms);
        let until_ms = now_ms.saturating_add(outgoing::CONNECTION_LIFETIME_MS);
        self.suspects.insert(message.to.clone(), until_ms);
    }

    fn send_fence(&self, cx: &actix::Context<Self>, to: SmolStr, fence: wire::Fence) {
        let control = cx.address();
        self.parts.pool.run(move |_client| async move {
            let path = wire::FENCE_PATH;
            match outgoing::post_afresh(&to, path, &fence, FENCE_TIMEOUT).await {
                Ok(reply) => control.do_send(messages::FenceDone { to, fence, reply }),
                Err(e) => log::warn!(event = "fence.failed", to = to.as_str(); "{e}"),
            }
        });
    }

    fn answer(&mut self, key: jobs::Key, answer: &api::Answer) {
        let id = answer
            .submission
            .as_ref()
            .map(ToString::to_string)
            .unwrap_or_default();
        let code = answer.code.number();
        log::info!(event = "submission.ended", submission = id.as_str(), code = code; "{}", answer.text);
        for waiter in self.waiters.remove(&key).unwrap_or_default() {
            if waiter.send(Box::new(answer.clone())).is_err() {
                log::debug!(event = "answer.unheard", submission = id.as_str(); "caller gone");
            }
        }
    }

    fn wait(
        &mut self,
        cx: &actix::Context<Self>,
        key: jobs::Key,
        wait_ms: u64,
    ) -> actix::ResponseFuture<messages::Resolution> {
        let now_ms = self.now_ms();
        let Some(pending) = self.core.pending(now_ms, key) else {
            let answer = jobs::answer::plain(None, codes::Code::UnknownSubmission, true);
            return ready(answer);
        };
        if pending.is_final || wait_ms == 0 {
            return ready(pending);
        }
        let waiters = self.waiters.entry(key).or_default();
        waiters.retain(|waiter| !waiter.is_closed());
        if waiters.len() >= MAX_WAITERS {
            return ready(pending);
        }
        let (tx, rx) = oneshot::channel();
        waiters.push(tx);
        let control = cx.address();
        let longest = u64::from(self.core.settings().limits.max_wait_ms);
        let limit = time::Duration::from_millis(wait_ms.min(longest));
        Box::pin(async move {
            if let Ok(Ok(answer)) = tokio::time::timeout(limit, rx).await {
                return messages::Resolution::Answer(answer);
            }
            let now = control.send(WantPending(key)).await.ok().flatten();
            messages::Resolution::Answer(Box::new(now.unwrap_or(pending)))
        })
    }

    fn settings_changed(&mut self, cx: &actix::Context<Self>) {
        let state = self.keeper.state();
        let settings = sync::Arc::clone(state.settings());
        let revision = state.revision();
        let now_ms = self.now_ms();
        let actions = self.core.set_settings(now_ms, settings, revision);
        self.act(cx, actions);
        self.publish();
    }

    /// Shows the settings to the traffic threads, once there are any.
    ///
    /// An entry that started while the log was down has defaults only, which know no
    /// team and no zone that is out; until it has heard better, calls are refused.
    fn publish(&mut self) {
        if !self.core.freshness().has_heard() {
            return;
        }
        let settings = sync::Arc::clone(self.keeper.state().settings());
        if let Ok(mut snapshot) = self.parts.snapshot.write() {
            *snapshot = Some(settings);
            self.is_published = true;
        }
    }

    /// After the first evidence, and before anybody is told that there are settings:
    /// a caller who was told must not be refused for want of them.
    fn publish_first(&mut self) {
        if !self.is_published {
            self.publish();
        }
    }

    fn write_checkpoint_if_due(&mut self) {
        let (now_ms, seed) = (self.now_ms(), self.parts.me.incarnation.0);
        if let Some(checkpoint) = self.keeper.checkpoint_due(now_ms, seed) {
            streams::write_checkpoint(&self.parts.pool, self.parts.log.clone(), checkpoint);
        }
    }

    /// Without a live contact the next announcement is not waited for: the log may
    /// have been down at the one before.
    fn announce_if_alone(&mut self, cx: &actix::Context<Self>) {
        let now_ms = self.now_ms();
        let dead_after_ms = self.core.settings().timeouts.dead_after_ms;
        let since_ms = now_ms.saturating_sub(dead_after_ms.into());
        if self.search.is_due(now_ms, self.contacts.is_alone(since_ms)) {
            self.announce(cx);
        }
    }

    /// Says on the log that this entry is there and reads who else is.
    fn announce(&self, cx: &actix::Context<Self>) {
        if self.core.is_leaving() {
            return;
        }
        let done = cx.address().recipient();
        let (log, me) = (self.parts.log.clone(), self.parts.me.clone());
        streams::announce(&self.parts.pool, log, me, done);
    }

    fn send_heartbeats(&mut self, cx: &actix::Context<Self>) {
        let now_ms = self.now_ms();
        let timeouts = self.core.settings().timeouts;
        let limit = time::Duration::from_millis(u64::from(timeouts.dead_after_ms) / 2);
        self.contacts
            .drop_silent(now_ms, u64::from(timeouts.dead_after_ms) * 20);
        let mut targets = self.contacts.targets();
        targets.extend(self.core.foreign_runners(now_ms));
        let heartbeat = self.core.heartbeat_to_send(now_ms);
        for target in targets {
            let done = cx.address().recipient();
            let (pool, clock) = (&self.parts.pool, self.parts.clock);
            heartbeats::send(pool, clock, target, heartbeat.clone(), limit, done);
        }
    }

    fn keep_sending_heartbeats(&mut self, cx: &mut actix::Context<Self>) {
        self.send_heartbeats(cx);
        let pause_ms = self.core.settings().timeouts.heartbeat_ms;
        let pause = time::Duration::from_millis(pause_ms.into());
        cx.run_later(pause, Self::keep_sending_heartbeats);
    }
}

fn ready(answer: api::Answer) -> actix::ResponseFuture<messages::Resolution> {
    Box::pin(async move { messages::Resolution::Answer(Box::new(answer)) })
}

/// One line a task is too much at the usual level: an entry may hand out tens of
/// thousands a second.
fn log_dispatch(to: &str, dispatch: &wire::Dispatch) {
    let attempt = dispatch.attempt;
    let (submission, index) = (dispatch.submission.as_str(), dispatch.index);
    log::debug!(event = "task.dispatched", attempt:% = attempt, submission = submission, index = index, to = to; "handed out");
}

fn log_reply(message: &messages::DispatchDone) {
    let code = match message.reply.as_ref().map(|reply| &reply.outcome) {
        Ok(wire::Outcome::Ended { code, .. } | wire::Outcome::NotStarted { code }) => code.number(),
        _ => codes::Code::Pending.number(),
    };
    log::debug!(event = "task.answered", attempt:% = message.attempt, code = code; "answered");
}

/// A refusal with an HTTP status may have come from a release that reads the
/// message in another way; what it did is asked about like after silence.
fn fault(err: &outgoing::CallError) -> attempts::Fault {
    match err {
        outgoing::CallError::NotSent(_) => attempts::Fault::NotSent,
        _ => attempts::Fault::Lost,
    }
}

#[derive(actix::Message)]
#[rtype(result = "Option<api::Answer>")]
struct WantPending(jobs::Key);

impl actix::Actor for Control {
    type Context = actix::Context<Self>;

    fn started(&mut self, cx: &mut Self::Context) {
        cx.set_mailbox_capacity(MAILBOX);
        cx.run_interval(TICK, |actor, cx| {
            let now_ms = actor.now_ms();
            let actions = actor.core.tick(now_ms);
            actor.act(cx, actions);
            actor.announce_if_alone(cx);
        });
        let interval = time::Duration::from_millis(announcements::INTERVAL_MS);
        cx.run_interval(interval, |actor, cx| actor.announce(cx));
        self.announce(cx);
        let done = cx.address().recipient();
        streams::follow(
            &self.parts.pool,
            self.parts.clock,
            self.parts.log.clone(),
            done,
        );
        claims::log::follow(
            &self.parts.pool,
            self.parts.clock,
            self.parts.log.clone(),
            cx.address().recipient(),
        );
        self.keep_sending_heartbeats(cx);
    }
}

/// Calls that may wait for one submission's answer; one more is answered at once
/// with what there is, as if its wait were over.
const MAX_WAITERS: usize = 64;

/// Messages that may wait for the control thread.
const MAILBOX: usize = 4_096;

impl actix::Handler<messages::CallerCall> for Control {
    type Result = actix::ResponseFuture<messages::Resolution>;

    fn handle(&mut self, message: messages::CallerCall, cx: &mut Self::Context) -> Self::Result {
        let again = claim_calls::needs_claim(&message.call).then(|| message.clone());
        let messages::CallerCall { team, call } = message;
        let now_ms = self.now_ms();
        let (wait_ms, (reply, actions)) = match call {
            wire::Call::Submit(submission) => (
                submission.wait_ms,
                self.core.submit(now_ms, &team, submission),
            ),
            wire::Call::Fetch {
                submission,
                wait_ms,
            } => {
                let reply = self.core.fetch(now_ms, &team, &submission);
                (wait_ms, (reply, Vec::new()))
            }
            wire::Call::Cancel { submission } => {
                (CANCEL_WAIT_MS, self.core.cancel(now_ms, &team, &submission))
            }
        };
        self.act(cx, actions);
        match reply {
            calls::Reply::Answer(answer) => ready(*answer),
            calls::Reply::Forward { owner, if_silent } => {
                Box::pin(async move { messages::Resolution::Forward { owner, if_silent } })
            }
            calls::Reply::Claiming(name) => match again {
                Some(again) => self.call_again(cx, name, again),
                None => ready(jobs::answer::plain(None, codes::Code::BadTicket, true)),
            },
            calls::Reply::Open(key) => self.wait(cx, key, wait_ms),
        }
    }
}

/// A cancelled submission ends within the time that a question to a runner takes.
const CANCEL_WAIT_MS: u64 = 1_000;

impl actix::Handler<WantPending> for Control {
    type Result = Option<api::Answer>;

    fn handle(&mut self, message: WantPending, _cx: &mut Self::Context) -> Self::Result {
        let waiters = self.waiters.get_mut(&message.0);
        if let Some(waiters) = waiters {
            waiters.retain(|waiter| !waiter.is_closed());
        }
        self.core.pending(self.now_ms(), message.0)
    }
}

impl actix::Handler<messages::WantTickets> for Control {
    type Result = Result<api::Tickets, codes::Code>;

    fn handle(&mut self, message: messages::WantTickets, _cx: &mut Self::Context) -> Self::Result {
        if self.core.is_leaving() {
            return Err(codes::Code::Leaving);
        }
        Ok(self.core.tickets(&message.0))
    }
}

impl actix::Handler<messages::Heard> for Control {
    type Result = actix::MessageResult<messages::Heard>;

    fn handle(&mut self, message: messages::Heard, cx: &mut Self::Context) -> Self::Result {
        let now_ms = self.now_ms();
        if message.0.sender.role == wire::Role::Entry {
            self.contacts.hear_of(now_ms, &message.0.sender);
        }
        let (reply, actions) = self.core.heartbeat(now_ms, &message.0);
        self.act(cx, actions);
        actix::MessageResult(reply)
    }
}

impl actix::Handler<messages::DispatchDone> for Control {
    type Result = ();

    fn handle(&mut self, message: messages::DispatchDone, cx: &mut Self::Context) {
        let now_ms = self.now_ms();
        log_reply(&message);
        let actions = match message.reply {
            Ok(reply) => self.core.dispatch_answered(now_ms, reply),
            Err(fault) => self.core.dispatch_failed(now_ms, message.attempt, fault),
        };
        self.act(cx, actions);
    }
}

impl actix::Handler<messages::FenceDone> for Control {
    type Result = ();

    fn handle(&mut self, message: messages::FenceDone, cx: &mut Self::Context) {
        let now_ms = self.now_ms();
        self.mind_silence(now_ms, &message);
        let actions = self
            .core
            .fence_answered(now_ms, &message.fence, message.reply);
        self.act(cx, actions);
    }
}

impl actix::Handler<heartbeats::HeartbeatDone> for Control {
    type Result = ();

    fn handle(&mut self, message: heartbeats::HeartbeatDone, cx: &mut Self::Context) {
        let now_ms = self.now_ms();
        let Some(reply) = message.reply else {
            self.contacts.failed(&message.address);
            return;
        };
        self.contacts.answered(now_ms, &message.address, &reply);
        let is_behind = self
            .core
            .heartbeat_answered(now_ms, message.asked_ms, &reply);
        self.publish_first();
        if is_behind || self.keeper.is_lacking() {
            let position = self.keeper.state().position();
            let done = cx.address().recipient();
            let pool = &self.parts.pool;
            heartbeats::fetch_settings(pool, message.address, position, FENCE_TIMEOUT, done);
        }
    }
}

impl actix::Handler<heartbeats::SettingsDone> for Control {
    type Result = ();

    fn handle(&mut self, message: heartbeats::SettingsDone, cx: &mut Self::Context) {
        let heartbeats::SettingsDone { address, reply } = message;
        let (now_ms, unix_ms) = (self.now_ms(), clock::unix_ms());
        let taken = self.keeper.take_reply(now_ms, unix_ms, &address, reply);
        if taken.is_changed {
            self.settings_changed(cx);
        }
    }
}

impl actix::Handler<streams::LogRead> for Control {
    type Result = u64;

    fn handle(&mut self, message: streams::LogRead, cx: &mut Self::Context) -> u64 {
        let now_ms = self.now_ms();
        if let Some(batch) = message.batch {
            let taken = self.keeper.take_batch(now_ms, clock::unix_ms(), batch);
            if taken.is_at_end {
                self.core.freshness().hear_log(message.asked_ms);
            }
            if taken.is_changed {
                self.settings_changed(cx);
            }
            self.publish_first();
            self.write_checkpoint_if_due();
        }
        self.keeper.read_from()
    }
}

impl actix::Handler<streams::MembersRead> for Control {
    type Result = ();

    fn handle(&mut self, message: streams::MembersRead, _cx: &mut Self::Context) {
        let now_ms = self.now_ms();
        for peer in &message.peers {
            self.contacts.hear_of(now_ms, peer);
        }
    }
}

impl actix::Handler<control::WantAudit> for Control {
    type Result = actix::MessageResult<control::WantAudit>;

    fn handle(&mut self, message: control::WantAudit, _cx: &mut Self::Context) -> Self::Result {
        actix::MessageResult(self.keeper.audit(message.0))
    }
}

impl actix::Handler<control::WantStatus> for Control {
    type Result = actix::MessageResult<control::WantStatus>;

    fn handle(&mut self, _message: control::WantStatus, _cx: &mut Self::Context) -> Self::Result {
        actix::MessageResult(self.core.status(self.now_ms()))
    }
}

impl actix::Handler<control::WantMetrics> for Control {
    type Result = actix::MessageResult<control::WantMetrics>;

    fn handle(&mut self, _message: control::WantMetrics, _cx: &mut Self::Context) -> Self::Result {
        let samples: Vec<metrics::Sample> = self.core.samples(self.now_ms());
        actix::MessageResult(samples)
    }
}

impl actix::Handler<control::WantSettings> for Control {
    type Result = actix::MessageResult<control::WantSettings>;

    fn handle(&mut self, message: control::WantSettings, _cx: &mut Self::Context) -> Self::Result {
        actix::MessageResult(self.keeper.reply(&message.0))
    }
}

impl actix::Handler<control::Leave> for Control {
    type Result = actix::MessageResult<control::Leave>;

    fn handle(&mut self, _message: control::Leave, cx: &mut Self::Context) -> Self::Result {
        self.core.leave();
        self.left_ms = Some(self.now_ms());
        self.send_heartbeats(cx);
        let drain_ms = self.core.settings().timeouts.drain_ms;
        actix::MessageResult(time::Duration::from_millis(drain_ms.into()))
    }
}

impl actix::Handler<control::IsDrained> for Control {
    type Result = bool;

    fn handle(&mut self, _message: control::IsDrained, _cx: &mut Self::Context) -> bool {
        let lingered = self
            .left_ms
            .is_some_and(|left| left + LINGER_MS <= self.now_ms());
        lingered && self.core.open() == 0
    }
}

impl actix::Handler<control::Abandon> for Control {
    type Result = ();

    fn handle(&mut self, _message: control::Abandon, cx: &mut Self::Context) {
        let actions = self.core.abandon(self.now_ms());
        self.act(cx, actions);
    }
}
