//! The control thread of an entry: an actor that owns all its state.

use std::collections;
use std::sync;
use std::time;

use actix::AsyncContext as _;
use smol_str::SmolStr;
use tokio::sync::oneshot;

use crate::api;
use crate::claims;
use crate::clock;
use crate::control;
use crate::entry::core;
use crate::heartbeats;
use crate::jobs;
use crate::membership::announcements;
use crate::membership::contacts;
use crate::outgoing;
use crate::settings_replica;
use crate::streams;
use crate::wire;

/// Interval between two ticks of the state machine.
const TICK_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// Minimum time for which a draining entry keeps serving.
///
/// Callers need it to fetch pending answers, and a load balancer that polls `/readyz`
/// every second needs it to stop routing here before the port closes: connections that
/// the kernel accepted and the process did not are reset at that moment.
const MIN_LINGER_MS: u64 = 2_000;

type Waiter = oneshot::Sender<Box<api::Answer>>;

/// The parts from which a [`Control`] actor is built.
#[derive(Debug)]
pub struct Parts {
    /// The identity of this entry.
    pub me: wire::Peer,
    /// Addresses of the entries to contact first.
    pub entries: Vec<SmolStr>,
    /// Address of the log service.
    pub log: SmolStr,
    /// Source of monotonic time.
    pub clock: clock::Clock,
    /// The threads that send outgoing requests.
    pub pool: sync::Arc<outgoing::Pool>,
    /// The settings as published to the traffic threads.
    pub snapshot: heartbeats::SettingsSnapshot,
}

/// The control actor of an entry.
#[derive(Debug)]
pub struct Control {
    pub(super) core: core::Core,
    pub(super) settings_replica: settings_replica::SettingsReplica,
    pub(super) contacts: contacts::Contacts,
    pub(super) waiters: collections::HashMap<jobs::Key, Vec<Waiter>>,
    pub(super) claim_waiters: collections::HashMap<claims::ScopedId, Vec<oneshot::Sender<()>>>,
    pub(super) parts: Parts,
    pub(super) leave_started_ms: Option<u64>,
    pub(super) is_published: bool,
    pub(super) isolation_backoff: announcements::IsolationBackoff,
    pub(super) suspect_until_ms: collections::HashMap<SmolStr, u64>,
}

impl Control {
    /// Creates the actor of an entry that has contacted no other process yet.
    pub fn new(parts: Parts) -> Self {
        let now_ms = parts.clock.now_ms();
        let (name, zone) = (parts.me.name.clone(), parts.me.zone.clone());
        let settings_replica = settings_replica::SettingsReplica::new(name, zone, now_ms);
        let settings = sync::Arc::clone(settings_replica.state().settings());
        let seed = parts.me.incarnation.0;
        Self {
            core: core::Core::new(parts.me.clone(), settings, now_ms, seed),
            settings_replica,
            contacts: contacts::Contacts::new(parts.me.address.clone(), &parts.entries),
            waiters: collections::HashMap::new(),
            claim_waiters: collections::HashMap::new(),
            parts,
            leave_started_ms: None,
            is_published: false,
            isolation_backoff: announcements::IsolationBackoff::new(now_ms, seed),
            suspect_until_ms: collections::HashMap::new(),
        }
    }

    pub(super) fn now_ms(&self) -> u64 {
        self.parts.clock.now_ms()
    }

    pub(super) fn execute(&mut self, cx: &actix::Context<Self>, actions: Vec<core::Action>) {
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
}

impl actix::Actor for Control {
    type Context = actix::Context<Self>;

    fn started(&mut self, cx: &mut Self::Context) {
        cx.set_mailbox_capacity(MAILBOX_CAPACITY);
        cx.run_interval(TICK_INTERVAL, |actor, cx| {
            let now_ms = actor.now_ms();
            let actions = actor.core.tick(now_ms);
            actor.execute(cx, actions);
            actor.announce_if_isolated(cx);
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
        self.schedule_heartbeats(cx);
    }
}

/// Maximum number of messages queued for the control thread.
const MAILBOX_CAPACITY: usize = 4_096;

impl actix::Handler<control::Leave> for Control {
    type Result = actix::MessageResult<control::Leave>;

    fn handle(&mut self, _message: control::Leave, cx: &mut Self::Context) -> Self::Result {
        self.core.leave();
        self.leave_started_ms = Some(self.now_ms());
        self.send_heartbeats(cx);
        let drain_ms = self.core.settings().timeouts.drain_ms;
        actix::MessageResult(time::Duration::from_millis(drain_ms.into()))
    }
}

impl actix::Handler<control::IsDrained> for Control {
    type Result = bool;

    fn handle(&mut self, _message: control::IsDrained, _cx: &mut Self::Context) -> bool {
        let has_lingered = self
            .leave_started_ms
            .is_some_and(|started_ms| started_ms + MIN_LINGER_MS <= self.now_ms());
        has_lingered && self.core.open() == 0
    }
}

impl actix::Handler<control::Abandon> for Control {
    type Result = ();

    fn handle(&mut self, _message: control::Abandon, cx: &mut Self::Context) {
        let actions = self.core.abandon(self.now_ms());
        self.execute(cx, actions);
    }
}
