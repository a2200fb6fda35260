//! Control thread of an entry that dispatches runs under leases.

mod calls;
pub mod cancel_calls;
pub mod disconnects;
mod discoveries;
mod exported_metrics;
mod handover_calls;
pub mod peer_state;
pub mod taken_jobs;

use std::collections;
use std::sync;
use std::time;

use actix::AsyncContext as _;
use smol_str::SmolStr;
use tokio::sync::oneshot;

use crate::clock;
use crate::control;
use crate::hangup;
use crate::ids;
use crate::leased::cancels;
use crate::leased::dispatch;
use crate::leased::dispatch::jobs;
use crate::leased::entry_list;
use crate::leased::handover;
use crate::leased::job;
use crate::leased::messages;
use crate::leased::ports;
use crate::leased::queues;
use crate::leased::suspension;
use crate::leased::traffic;
use crate::metrics;
use crate::outgoing;

/// Interval of the timer, in milliseconds.
const TICK_INTERVAL_MS: u64 = 10;

/// How long a stopping entry keeps serving callers on open connections, in milliseconds: the
/// load balancer removes it after two failed checks, one second apart.
const DRAIN_GRACE_MS: u64 = 2_500;

/// Snapshot of the control thread's state for the threads that serve callers.
pub type SharedView = sync::Arc<sync::RwLock<View>>;

/// State that the threads that serve callers read without a message to the control thread.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The queues; absent until a configuration has been received.
    pub queues: Option<sync::Arc<queues::Queues>>,
    /// Whether a later configuration exists that has not been received yet.
    pub is_outdated: bool,
    /// Whether any runner is known.
    pub has_runners: bool,
    /// Whether the load balancer should send new callers.
    pub is_ready: bool,
}

impl View {
    fn is_same(&self, other: &Self) -> bool {
        let are_same = match (&self.queues, &other.queues) {
            (Some(old), Some(new)) => sync::Arc::ptr_eq(old, new),
            (None, None) => true,
            _ => false,
        };
        are_same
            && self.is_outdated == other.is_outdated
            && self.has_runners == other.has_runners
            && self.is_ready == other.is_ready
    }
}

/// Dependencies and parameters of the control thread.
#[derive(Debug)]
pub struct Parts {
    /// Incarnation of the entry.
    pub me: ids::Incarnation,
    /// Address of the entry for other entries.
    pub address: SmolStr,
    /// Availability zone of the entry.
    pub zone: SmolStr,
    /// Processor time of the entry's instance, in thousandths of a core; 0 if unknown.
    pub cpu_milli: u32,
    /// Clock of the entry.
    pub clock: clock::Clock,
    /// Threads for outgoing calls.
    pub pool: sync::Arc<outgoing::Pool>,
    /// Snapshot for the threads that serve callers.
    pub view: SharedView,
    /// Message counters.
    pub traffic: sync::Arc<traffic::Traffic>,
    /// Time limit of a graceful stop.
    pub grace: time::Duration,
    /// Number of ready runners per service that are always watched.
    pub watch_set: usize,
    /// Whether and when jobs are handed over to other entries.
    pub handover: handover::Settings,
    /// Round trips of calls, as the callers' threads measure them.
    pub round_trips: sync::Arc<handover::lag::RoundTrips>,
    /// Time in which a cancel reaches the entry that holds the job, in milliseconds.
    pub cancel_ms: u64,
    /// Whether jobs are refused as soon as they are not expected to be placed in time.
    pub early_refusal: bool,
}

/// State of the control thread.
#[derive(Debug)]
pub struct Control {
    parts: Parts,
    dispatcher: dispatch::Dispatcher,
    entry_list: entry_list::EntryList,
    answer_txs: collections::HashMap<jobs::Waiter, oneshot::Sender<dispatch::Outcome>>,
    last_waiter: jobs::Waiter,
    cancels: cancels::Cancels,
    cancel_txs: collections::HashMap<cancels::Waiter, oneshot::Sender<cancels::Answer>>,
    leaving_ms: Option<u64>,
    last_tick_ms: Option<u64>,
    tick_late: metrics::Histogram,
    suspension: suspension::Detector,
    handover: handover::State,
    handover_calls: handover_calls::Calls,
    reporter: taken_jobs::Reporter,
}

impl Control {
    /// Creates an entry that has not received anything yet.
    pub fn new(parts: Parts) -> Self {
        let me = ports::Peer {
            address: parts.address.clone(),
            zone: parts.zone.clone(),
            cpu_milli: parts.cpu_milli,
        };
        Self {
            entry_list: entry_list::EntryList::new(me),
            dispatcher: dispatch::Dispatcher::new(parts.me, parts.zone.clone())
                .with_watch_set(parts.watch_set)
                .with_early_refusal(parts.early_refusal),
            handover: handover::State::new(parts.me, parts.handover),
            handover_calls: handover_calls::Calls::new(),
            reporter: taken_jobs::Reporter::new(parts.me, parts.clock),
            cancels: cancels::Cancels::new(parts.zone.clone(), parts.cancel_ms),
            parts,
            answer_txs: collections::HashMap::new(),
            last_waiter: 0,
            cancel_txs: collections::HashMap::new(),
            leaving_ms: None,
            last_tick_ms: None,
            tick_late: metrics::Histogram::default(),
            suspension: suspension::Detector::default(),
        }
    }

    fn now_ms(&self) -> u64 {
        self.parts.clock.now_ms()
    }

    /// Returns the time, and notes if this process was suspended since the last call.
    fn read_clock(&mut self) -> u64 {
        let now_ms = self.now_ms();
        if let Some(settles_at_ms) = self.suspension.record(now_ms) {
            self.dispatcher.resume(settles_at_ms);
            self.handover.settles_at_ms = settles_at_ms;
        }
        now_ms
    }

    /// Records how late the timer fired and how long calls between the threads took; both show a
    /// shortage of processor time.
    fn record_tick(&mut self, now_ms: u64) {
        let previous_ms = self.last_tick_ms.unwrap_or(now_ms);
        let elapsed_ms = now_ms - previous_ms;
        let late_ms = elapsed_ms.saturating_sub(TICK_INTERVAL_MS);
        self.tick_late.observe(late_ms);
        let round_trip_ms = self.parts.round_trips.take_mean_ms();
        let lag_ms = late_ms.max(round_trip_ms);
        self.handover.lag.record(elapsed_ms, lag_ms);
        self.last_tick_ms = Some(now_ms);
    }

    fn act(&mut self, cx: &actix::Context<Self>, actions: Vec<dispatch::Action>) {
        for action in actions {
            match action {
                dispatch::Action::Order(key, address, order) => Self::send(cx, key, address, order),
                dispatch::Action::Watch(key) => self.start_watch(cx, key),
                dispatch::Action::Answer(waiter, outcome) => self.answer(waiter, outcome),
                dispatch::Action::Fetch(holder) => self.fetch_known(cx, holder),
            }
        }
        self.publish_view();
    }

    /// Updates the snapshot for the threads that serve callers, if it has changed.
    fn publish_view(&self) {
        let new = self.view();
        if self
            .parts
            .view
            .read()
            .is_ok_and(|snapshot| snapshot.is_same(&new))
        {
            return;
        }
        match self.parts.view.write() {
            Ok(mut snapshot) => *snapshot = new,
            Err(e) => log::error!(event = "view.poisoned"; "view for callers not updated: {e}"),
        }
    }

    fn view(&self) -> View {
        let directives = self.dispatcher.directives();
        let is_configured = directives.get().is_configured();
        let has_runners = self.dispatcher.runners() > 0;
        View {
            queues: is_configured.then(|| sync::Arc::clone(self.dispatcher.queues())),
            is_outdated: directives.is_outdated(),
            has_runners,
            is_ready: is_configured && has_runners && self.leaving_ms.is_none(),
        }
    }

    /// Creates a waiter and the channel for its answer.
    fn add_waiter(
        &mut self,
        connection: Option<hangup::Connection>,
    ) -> (jobs::Waiter, oneshot::Receiver<dispatch::Outcome>) {
        self.last_waiter += 1;
        let (tx, answer) = oneshot::channel();
        self.answer_txs.insert(self.last_waiter, tx);
        if let Some(connection) = connection {
            let callers = self.dispatcher.callers();
            callers.insert(self.last_waiter, Box::new(connection));
        }
        (self.last_waiter, answer)
    }

    /// Removes a waiter; returns the channel for its answer.
    fn remove_waiter(
        &mut self,
        waiter: jobs::Waiter,
    ) -> Option<oneshot::Sender<dispatch::Outcome>> {
        self.dispatcher.callers().remove(waiter);
        self.answer_txs.remove(&waiter)
    }

    fn answer(&mut self, waiter: jobs::Waiter, outcome: dispatch::Outcome) {
        self.remove_taken(waiter);
        let Some(tx) = self.remove_waiter(waiter) else {
            return;
        };
        if tx.send(outcome).is_err() {
            log::info!(event = "answer.unheard", waiter = waiter, outcome:? = outcome; "answer not delivered: the connection of the caller is closed");
        }
    }
}

impl actix::Actor for Control {
    type Context = actix::Context<Self>;

    fn started(&mut self, cx: &mut Self::Context) {
        cx.set_mailbox_capacity(MAILBOX_CAPACITY);
        cx.run_interval(
            time::Duration::from_millis(TICK_INTERVAL_MS),
            |actor, cx| {
                let now_ms = actor.read_clock();
                actor.record_tick(now_ms);
                let actions = actor.dispatcher.tick(now_ms);
                actor.act(cx, actions);
                actor.tick_sent_jobs(cx, now_ms);
                actor.tick_taken_jobs(cx, now_ms);
                actor.tick_cancels(cx, now_ms);
            },
        );
    }
}

/// Capacity of the control thread's mailbox, in messages.
const MAILBOX_CAPACITY: usize = 4_096;

/// A job from a caller.
#[derive(Debug)]
#[derive(actix::Message)]
#[rtype(result = "Submitted")]
pub struct Submit {
    /// The job.
    pub job: job::Job,
    /// Its queue.
    pub queue: queues::Queue,
    /// Longest time that the caller waits, in milliseconds, if it gives one.
    pub timeout_ms: Option<u64>,
    /// The caller's connection, if it can be watched.
    pub connection: Option<hangup::Connection>,
}

/// Handle of a submitted job.
#[derive(Debug)]
pub struct Submitted {
    /// Ends the wait when it is dropped.
    pub guard: disconnects::DisconnectGuard,
    /// Yields the outcome of the job.
    pub answer: oneshot::Receiver<dispatch::Outcome>,
}

impl actix::Handler<Submit> for Control {
    type Result = actix::MessageResult<Submit>;

    fn handle(&mut self, submit: Submit, cx: &mut Self::Context) -> Self::Result {
        let now_ms = self.now_ms();
        let (waiter, answer) = self.add_waiter(submit.connection.clone());
        let guard = Self::disconnect_guard(cx, &submit.job.id, waiter);
        if self.dispatcher.callers().has_left(waiter) {
            log::info!(event = "job.unheard", job = submit.job.id.as_str(), queue = submit.queue.name.as_str(); "caller disconnected before its job was accepted; nothing was run");
            self.remove_waiter(waiter);
            return actix::MessageResult(Submitted { guard, answer });
        }
        if self.intercept_cancelled(cx, now_ms, &submit.job.id) {
            self.answer(waiter, dispatch::Outcome::Cancelled);
            return actix::MessageResult(Submitted { guard, answer });
        }
        if let Some(submit) = self.hand_over(cx, now_ms, submit, waiter) {
            let Submit {
                job,
                queue,
                timeout_ms,
                ..
            } = submit;
            let actions = self
                .dispatcher
                .submit(now_ms, job, &queue, timeout_ms, waiter);
            self.act(cx, actions);
        }
        actix::MessageResult(Submitted { guard, answer })
    }
}

/// A waiting caller has closed its connection.
#[derive(Debug)]
#[derive(actix::Message)]
#[rtype(result = "()")]
pub struct CallerGone {
    /// The job's id.
    pub id: SmolStr,
    /// Identifies this wait for the answer.
    pub waiter: jobs::Waiter,
}

impl actix::Handler<CallerGone> for Control {
    type Result = ();

    fn handle(&mut self, gone: CallerGone, cx: &mut Self::Context) {
        self.remove_waiter(gone.waiter);
        let now_ms = self.now_ms();
        self.remove_sent_waiter(cx, now_ms, &gone);
        let actions = self.dispatcher.remove_waiter(now_ms, &gone.id, gone.waiter);
        self.act(cx, actions);
        self.remove_taken(gone.waiter);
    }
}

/// Queries a job by its id; the result is whether any of it has started, or nothing if it is not
/// open.
#[derive(Debug)]
#[derive(actix::Message)]
#[rtype(result = "Option<bool>")]
pub struct GetState(pub SmolStr);

impl actix::Handler<GetState> for Control {
    type Result = Option<bool>;

    fn handle(&mut self, GetState(id): GetState, _cx: &mut Self::Context) -> Option<bool> {
        if self.handover.sent.contains(&id) {
            // Whether it has started is only known at its peer.
            return Some(true);
        }
        self.dispatcher.is_started(&id)
    }
}

/// Queries the number of jobs of a queue of which nothing has started.
#[derive(Debug)]
#[derive(actix::Message)]
#[rtype(result = "usize")]
pub struct GetPending(pub SmolStr);

impl actix::Handler<GetPending> for Control {
    type Result = usize;

    fn handle(&mut self, GetPending(queue): GetPending, _cx: &mut Self::Context) -> usize {
        self.dispatcher.pending(&queue)
    }
}

/// Request of another entry for the runner addresses and directives of this one.
#[derive(Clone, Copy, Debug)]
#[derive(actix::Message)]
#[rtype(result = "messages::Known")]
pub struct GetKnown;

impl actix::Handler<GetKnown> for Control {
    type Result = actix::MessageResult<GetKnown>;

    fn handle(&mut self, _message: GetKnown, _cx: &mut Self::Context) -> Self::Result {
        let directives = self.dispatcher.directives().get();
        let is_configured = directives.is_configured();
        actix::MessageResult(messages::Known {
            version: crate::wire::VERSION,
            runners: self.dispatcher.addresses(),
            directives: is_configured.then(|| sync::Arc::clone(directives)),
            entries: self.entry_list.all(),
        })
    }
}

impl actix::Handler<control::Leave> for Control {
    type Result = actix::MessageResult<control::Leave>;

    fn handle(&mut self, _leave: control::Leave, _cx: &mut Self::Context) -> Self::Result {
        self.leaving_ms = Some(self.now_ms());
        self.publish_view();
        actix::MessageResult(self.parts.grace)
    }
}

impl actix::Handler<control::IsDrained> for Control {
    type Result = bool;

    fn handle(&mut self, _ask: control::IsDrained, _cx: &mut Self::Context) -> bool {
        let since_ms = self.leaving_ms.unwrap_or(0);
        let has_jobs = self.dispatcher.open_jobs() > 0 || !self.handover.sent.is_empty();
        !has_jobs && self.cancels.is_settled() && self.now_ms() >= since_ms + DRAIN_GRACE_MS
    }
}

impl actix::Handler<control::Abandon> for Control {
    type Result = ();

    fn handle(&mut self, _abandon: control::Abandon, _cx: &mut Self::Context) {
        log::warn!(event = "entry.abandon", open = self.dispatcher.open_jobs(); "time limit of the graceful stop exceeded; exiting with open jobs");
    }
}
