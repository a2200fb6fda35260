//! Takes in jobs that other entries hand over to this one.

use std::sync;
use std::sync::atomic;

use tokio::sync::oneshot;

use crate::clock;
use crate::hangup;
use crate::ids;
use crate::leased::dispatch;
use crate::leased::dispatch::jobs;
use crate::leased::entry;
use crate::leased::entry::disconnects;
use crate::leased::handover::messages;
use crate::leased::handover::taken;
use crate::leased::job;
use crate::wire;

/// Describes this entry in answers to origins, on any thread.
#[derive(Clone, Debug)]
pub struct Reporter {
    incarnation: ids::Incarnation,
    clock: clock::Clock,
    lag_ms: sync::Arc<atomic::AtomicU32>,
}

impl Reporter {
    pub(super) fn new(incarnation: ids::Incarnation, clock: clock::Clock) -> Self {
        Self {
            incarnation,
            clock,
            lag_ms: sync::Arc::default(),
        }
    }

    pub(super) fn set_lag(&self, lag_ms: u32) {
        self.lag_ms.store(lag_ms, atomic::Ordering::Relaxed);
    }

    /// Returns the answer to a handover.
    pub fn reply(&self, result: messages::HandoverResult) -> messages::HandoverReply {
        messages::HandoverReply {
            version: wire::VERSION,
            state: self.state(),
            result,
        }
    }

    fn state(&self) -> messages::PeerState {
        messages::PeerState {
            peer: self.incarnation,
            clock_ms: self.clock.now_ms(),
            lag_ms: self.lag_ms.load(atomic::Ordering::Relaxed),
        }
    }
}

/// A job that another entry hands over.
#[derive(Debug)]
#[derive(actix::Message)]
#[rtype(result = "TakeInResult")]
pub struct TakeIn {
    /// The job.
    pub handover: messages::Handover,
    /// Connection of the call, which the origin closes to withdraw the job.
    pub connection: Option<hangup::Connection>,
}

/// What became of a handover.
#[derive(Debug)]
pub enum TakeInResult {
    /// The job was not taken in.
    Declined(messages::HandoverReply),
    /// The job was taken in.
    Taken(Taken),
}

/// Handle of a job that was taken in.
#[derive(Debug)]
pub struct Taken {
    /// Ends the wait of the origin when it is dropped.
    pub guard: disconnects::DisconnectGuard,
    /// Yields the outcome of the job, unless it is withdrawn.
    pub answer: oneshot::Receiver<dispatch::Outcome>,
    /// Describes this entry in the answer.
    pub reporter: Reporter,
}

impl actix::Handler<TakeIn> for entry::Control {
    type Result = actix::MessageResult<TakeIn>;

    fn handle(&mut self, message: TakeIn, cx: &mut Self::Context) -> Self::Result {
        let now_ms = self.read_clock();
        let TakeIn {
            handover,
            connection,
        } = message;
        actix::MessageResult(match self.take_in(cx, now_ms, &handover, connection) {
            Ok(taken) => TakeInResult::Taken(taken),
            Err(why) => {
                log::info!(event = "handover.not_taken", job = handover.job.as_str(), origin:% = handover.origin, why:? = why, lag_ms = self.handover.lag.ms(), taken = self.handover.taken.len(); "declined a job of another entry; nothing was run");
                let result = messages::HandoverResult::Declined(why);
                TakeInResult::Declined(self.reporter.reply(result))
            }
        })
    }
}

impl entry::Control {
    fn take_in(
        &mut self,
        cx: &actix::Context<Self>,
        now_ms: u64,
        handover: &messages::Handover,
        connection: Option<hangup::Connection>,
    ) -> Result<Taken, messages::Decline> {
        self.check_handover(now_ms, handover)?;
        if connection
            .as_ref()
            .is_some_and(hangup::Connection::is_closed)
        {
            return Err(messages::Decline::Unwanted);
        }
        let directives = sync::Arc::clone(self.dispatcher.directives().get());
        let mut queues = directives.queues.iter();
        let queue = queues.find(|queue| queue.name == handover.queue);
        let queue = queue.ok_or(messages::Decline::Configuration)?;
        let job = job::Job::try_from(handover).map_err(|_invalid| messages::Decline::Unreadable)?;
        let (waiter, answer) = self.add_waiter(connection);
        let guard = Self::disconnect_guard(cx, &handover.job, waiter);
        if self.intercept_cancelled(cx, now_ms, &handover.job) {
            self.answer(waiter, dispatch::Outcome::Cancelled);
            return Ok(Taken {
                guard,
                answer,
                reporter: self.reporter.clone(),
            });
        }
        let wait = dispatch::CallerWait {
            timeout_ms: Some(handover.timeout_ms),
            waited_ms: handover.waited_ms,
            waiter,
        };
        log::info!(event = "handover.taken", job = handover.job.as_str(), queue = handover.queue.as_str(), from = handover.from.as_str(), origin:% = handover.origin, alive_age_ms = now_ms.saturating_sub(handover.alive_at_ms.unwrap_or(0)), lag_ms = self.handover.lag.ms(), taken = self.handover.taken.len(); "took in a job of another entry");
        self.handover.taken.add(now_ms, handover, waiter);
        self.handover.counts.taken += 1;
        // The orders of the job already carry the liveness of its origin.
        self.limit_liveness();
        let actions = self.dispatcher.submit_waited(now_ms, job, queue, wait);
        self.act(cx, actions);
        Ok(Taken {
            guard,
            answer,
            reporter: self.reporter.clone(),
        })
    }

    fn check_handover(
        &self,
        now_ms: u64,
        handover: &messages::Handover,
    ) -> Result<(), messages::Decline> {
        if self.leaving_ms.is_some() {
            return Err(messages::Decline::Leaving);
        }
        if self.handover.lag.ms() >= taken::MAX_OWN_LAG_MS {
            return Err(messages::Decline::Busy);
        }
        if self.dispatcher.directives().get().version != handover.configuration {
            return Err(messages::Decline::Configuration);
        }
        if self.handover.sent.contains(&handover.job) {
            return Err(messages::Decline::Open);
        }
        let refusal = self.handover.taken.refusal(now_ms, handover);
        refusal.map_or(Ok(()), Err)
    }

    fn limit_liveness(&mut self) {
        let oldest_ms = self.handover.taken.oldest_origin_ms();
        self.dispatcher.limit_liveness(oldest_ms);
    }

    /// Removes a job that was taken in and has ended.
    pub(super) fn remove_taken(&mut self, waiter: jobs::Waiter) {
        if self.handover.taken.is_empty() {
            return;
        }
        if self.handover.taken.remove(waiter) {
            self.limit_liveness();
        }
    }

    /// Withdraws the jobs of origins that seem to be gone, unless their signals may wait in the
    /// sockets because this process was suspended.
    pub(super) fn tick_taken_jobs(&mut self, cx: &actix::Context<Self>, now_ms: u64) {
        self.reporter.set_lag(self.handover.lag.ms());
        if now_ms < self.handover.settles_at_ms {
            return;
        }
        let withdrawn = self.handover.taken.expire(now_ms);
        self.withdraw_taken(cx, now_ms, withdrawn, "origin silent");
    }

    fn withdraw_taken(
        &mut self,
        cx: &actix::Context<Self>,
        now_ms: u64,
        withdrawn: Vec<taken::Withdrawn>,
        why: &'static str,
    ) {
        for job in withdrawn {
            self.handover.counts.withdrawn += 1;
            log::info!(event = "handover.withdrawn", job = job.id.as_str(), origin:% = job.origin, why = why, silence_ms = job.silence_ms, lag_ms = self.handover.lag.ms(); "withdrew a job of another entry");
            self.remove_waiter(job.waiter);
            let actions = self.dispatcher.remove_waiter(now_ms, &job.id, job.waiter);
            self.act(cx, actions);
            self.remove_taken(job.waiter);
        }
    }
}

/// A liveness signal of an origin.
#[derive(Debug)]
#[derive(actix::Message)]
#[rtype(result = "messages::OriginReply")]
pub struct HeartbeatReceived(pub messages::OriginHeartbeat);

impl actix::Handler<HeartbeatReceived> for entry::Control {
    type Result = actix::MessageResult<HeartbeatReceived>;

    fn handle(
        &mut self,
        HeartbeatReceived(heartbeat): HeartbeatReceived,
        cx: &mut Self::Context,
    ) -> Self::Result {
        let now_ms = self.read_clock();
        let withdrawn = self.handover.taken.heartbeat_received(now_ms, &heartbeat);
        self.withdraw_taken(cx, now_ms, withdrawn, "not wanted");
        self.limit_liveness();
        actix::MessageResult(messages::OriginReply {
            version: wire::VERSION,
            state: self.reporter.state(),
            missing: self.handover.taken.missing(&heartbeat),
        })
    }
}
