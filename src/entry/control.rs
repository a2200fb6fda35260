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
use crate::membership::contacts;
use crate::metrics;
use crate::outgoing;
use crate::wire;

/// How often time is looked at.
const TICK: time::Duration = time::Duration::from_millis(20);

/// Least time for which a stopping entry goes on serving, so that callers fetch
/// the answers that they were promised.
const LINGER_MS: u64 = 1_000;

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
    suspects: collections::HashMap<SmolStr, u64>,
}

impl Control {
    /// An entry that is not yet in touch with anyone.
    pub fn new(parts: Parts) -> Self {
        let keeper = keeper::Keeper::default();
        let settings = sync::Arc::clone(keeper.state().settings());
        let seed = parts.me.incarnation.0;
        let now_ms = parts.clock.now_ms();
        Self {
            core: core::Core::new(parts.me.clone(), settings, now_ms, seed),
            keeper,
            contacts: contacts::Contacts::new(parts.me.address.clone(), &parts.entries),
            waiters: collections::HashMap::new(),
            claim_waiters: collections::HashMap::new(),
            parts,
            left_ms: None,
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
        let (tx, rx) = oneshot::channel();
        self.waiters.entry(key).or_default().push(tx);
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
        if let Ok(mut snapshot) = self.parts.snapshot.write() {
            *snapshot = sync::Arc::clone(&settings);
        }
        log::info!(event = "settings.in_force", revision:? = revision; "in force here");
        let now_ms = self.now_ms();
        let actions = self.core.set_settings(now_ms, settings, revision);
        self.act(cx, actions);
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
        });
        let done = cx.address().recipient();
        heartbeats::follow(
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
        if self
            .core
            .heartbeat_answered(now_ms, message.asked_ms, &reply)
        {
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
        if self.keeper.take_reply(&message.reply).is_changed {
            self.settings_changed(cx);
        }
    }
}

impl actix::Handler<heartbeats::LogRead> for Control {
    type Result = u64;

    fn handle(&mut self, message: heartbeats::LogRead, cx: &mut Self::Context) -> u64 {
        if let Some(batch) = &message.batch {
            let taken = self.keeper.take_batch(batch);
            if taken.is_changed {
                self.settings_changed(cx);
            }
            if taken.is_at_end {
                self.core.freshness().hear_log(message.asked_ms);
            }
        }
        self.keeper.state().position()
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
    type Result = ();

    fn handle(&mut self, _message: control::Leave, cx: &mut Self::Context) {
        self.core.leave();
        self.left_ms = Some(self.now_ms());
        self.send_heartbeats(cx);
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
