//! Calls of an entry to the peers that it hands jobs over to.

use std::collections;
use std::time;

use actix::AsyncContext as _;
use smol_str::SmolStr;
use tokio::task;

use crate::leased::dispatch;
use crate::leased::dispatch::jobs;
use crate::leased::entry;
use crate::leased::handover;
use crate::leased::handover::contacts;
use crate::leased::handover::messages;
use crate::leased::handover::sent;
use crate::outgoing;

/// Time limit of a liveness signal: a lost packet is retransmitted within 200 ms.
const HEARTBEAT_TIMEOUT: time::Duration = time::Duration::from_millis(250);

/// Silence of a peer after which signals use a new connection, in milliseconds.
///
/// It is below the interval of the signals: with two of them on a connection that has stopped
/// working, the peer would be close to withdrawing its jobs.
const NEW_CONNECTION_AFTER_MS: u64 = 70;

/// Time beyond the caller's deadline after which the call of a handover ends by itself.
const CALL_GRACE: time::Duration = time::Duration::from_secs(1);

/// Calls under way, by the number of their handover.
pub(super) type Calls = collections::HashMap<u64, task::AbortHandle>;

impl entry::Control {
    /// Hands a job over if this entry is short of processor time; returns the job if it stays.
    pub(super) fn hand_over(
        &mut self,
        cx: &actix::Context<Self>,
        now_ms: u64,
        submit: entry::Submit,
        waiter: jobs::Waiter,
    ) -> Option<entry::Submit> {
        if self.handover.sent.join(&submit.job.id, waiter) {
            log::info!(event = "job.joined", job = submit.job.id.as_str(); "job is at a peer; joined it");
            return None;
        }
        if !self.handover.is_next_selected() || self.dispatcher.is_started(&submit.job.id).is_some()
        {
            return Some(submit);
        }
        match self.handover.contacts.choose(now_ms, &self.entry_list) {
            contacts::Choice::Send(target) => {
                self.send_job(cx, now_ms, submit, waiter, &target);
                None
            }
            contacts::Choice::Probe(address) => {
                self.send_heartbeat(cx, now_ms, address);
                Some(submit)
            }
            contacts::Choice::Keep => Some(submit),
        }
    }

    fn send_job(
        &mut self,
        cx: &actix::Context<Self>,
        now_ms: u64,
        submit: entry::Submit,
        waiter: jobs::Waiter,
        target: &contacts::Target,
    ) {
        let entry::Submit {
            job,
            queue,
            timeout_ms,
            ..
        } = submit;
        let prior_ms = self.dispatcher.prior_wait_ms(&queue, timeout_ms);
        let new = sent::NewJob {
            job,
            queue,
            timeout_ms,
            prior_ms,
            waiter,
        };
        let origin = sent::Origin {
            incarnation: self.parts.me,
            address: self.parts.address.clone(),
        };
        let configuration = self.dispatcher.directives().get().version;
        let sent = &mut self.handover.sent;
        let handover = sent.add(now_ms, new, origin, configuration, target);
        self.handover.counts.sent += 1;
        log::info!(event = "handover.sent", job = handover.job.as_str(), queue = handover.queue.as_str(), to = target.address.as_str(), lag_ms = self.handover.lag.ms(), share = self.handover.share(), peer_lag_ms = target.lag_ms, report_age_ms = target.report_age_ms, timeout_ms = handover.timeout_ms; "short of processor time; handed the job over");
        let (control, number) = (cx.address(), handover.number);
        let address = target.address.clone();
        let timeout = time::Duration::from_millis(handover.timeout_ms) + CALL_GRACE;
        let call = actix_rt::spawn(async move {
            let client = outgoing::thread_client();
            let path = messages::HANDOVER_PATH;
            let response = outgoing::post(&client, &address, path, &handover, timeout).await;
            control.do_send(HandoverAnswered {
                id: handover.job,
                number,
                address,
                response,
            });
        });
        self.handover_calls.insert(number, call.abort_handle());
    }

    /// Sends a liveness signal to a peer, or makes contact with it.
    fn send_heartbeat(&mut self, cx: &actix::Context<Self>, now_ms: u64, address: SmolStr) {
        let wanted = self.handover.sent.wanted_at(&address);
        let handed = self.handover.sent.last_number();
        let contacts = &mut self.handover.contacts;
        let is_silent = contacts.silence_ms(now_ms, &address) >= NEW_CONNECTION_AFTER_MS;
        let heartbeat = contacts.heartbeat(now_ms, &address, handed, wanted);
        self.handover.counts.heartbeats += 1;
        let control = cx.address();
        actix_rt::spawn(async move {
            let client = if is_silent {
                outgoing::client()
            } else {
                outgoing::thread_client()
            };
            let path = messages::ORIGIN_PATH;
            let response =
                outgoing::post(&client, &address, path, &heartbeat, HEARTBEAT_TIMEOUT).await;
            control.do_send(HeartbeatAnswered {
                address,
                sent_ms: now_ms,
                response,
            });
        });
    }

    /// Sends the signals that are due, and gives up the jobs of silent peers and those that are
    /// overdue.
    pub(super) fn tick_sent_jobs(&mut self, cx: &actix::Context<Self>, now_ms: u64) {
        if self.handover.sent.is_empty() {
            return;
        }
        for address in self.handover.sent.peers() {
            let silence_ms = self.handover.contacts.silence_ms(now_ms, &address);
            let is_settled = now_ms >= self.handover.settles_at_ms;
            if is_settled && silence_ms >= handover::PEER_TIMEOUT_MS {
                self.lose_all_at(now_ms, &address, "peer silent");
            } else if self.handover.contacts.is_heartbeat_due(now_ms, &address) {
                self.send_heartbeat(cx, now_ms, address);
            }
        }
        for sent in self.handover.sent.remove_overdue(now_ms) {
            self.end_call(&sent);
            self.log_lost(now_ms, &sent, "no answer by the deadline");
            self.answer_all(&sent, dispatch::Outcome::GivenUp);
        }
    }

    /// Removes a disconnected caller of a job that is at a peer.
    pub(super) fn remove_sent_waiter(
        &mut self,
        cx: &actix::Context<Self>,
        now_ms: u64,
        gone: &entry::CallerGone,
    ) {
        if let Some(sent) = self.handover.sent.remove_waiter(&gone.id, gone.waiter) {
            self.withdraw(cx, now_ms, &sent, "caller disconnected");
        }
    }

    /// Cancels a job that is at a peer; returns whether there is one.
    pub(super) fn cancel_sent(&mut self, cx: &actix::Context<Self>, now_ms: u64, id: &str) -> bool {
        let Some(sent) = self.handover.sent.remove(id) else {
            return false;
        };
        self.withdraw(cx, now_ms, &sent, "cancelled");
        self.answer_all(&sent, dispatch::Outcome::Cancelled);
        true
    }

    /// Tells the peer that a job is not wanted any more: by the closed connection, and by a signal
    /// in case that does not arrive.
    fn withdraw(
        &mut self,
        cx: &actix::Context<Self>,
        now_ms: u64,
        sent: &sent::SentJob,
        why: &'static str,
    ) {
        self.end_call(sent);
        log::info!(event = "handover.recalled", job = sent.job.id.as_str(), to = sent.peer.as_str(), why = why, took_ms = now_ms - sent.sent_ms; "withdrew the job from its peer");
        self.send_heartbeat(cx, now_ms, sent.peer.clone());
    }

    /// Closes the connection of a job's handover.
    fn end_call(&mut self, sent: &sent::SentJob) {
        if let Some(call) = self.handover_calls.remove(&sent.number) {
            call.abort();
        }
    }

    fn answer_all(&mut self, sent: &sent::SentJob, outcome: dispatch::Outcome) {
        for waiter in &sent.waiters {
            self.answer(*waiter, outcome);
        }
    }

    /// Gives up all jobs at a peer; they may have run.
    fn lose_all_at(&mut self, now_ms: u64, address: &SmolStr, why: &'static str) {
        self.handover.contacts.call_lost(now_ms, address);
        for sent in self.handover.sent.remove_all_at(address) {
            self.lose(now_ms, &sent, why);
        }
    }

    /// Gives up a job that may have run.
    ///
    /// Its callers get a 502 when their answers are dropped, and come again when everything of it
    /// has certainly ended.
    fn lose(&mut self, now_ms: u64, sent: &sent::SentJob, why: &str) {
        self.end_call(sent);
        self.log_lost(now_ms, sent, why);
        for waiter in &sent.waiters {
            self.remove_waiter(*waiter);
        }
    }

    fn log_lost(&mut self, now_ms: u64, sent: &sent::SentJob, why: &str) {
        self.handover.counts.lost += 1;
        let report = self.handover.contacts.last_report(now_ms, &sent.peer);
        let (peer_lag_ms, report_age_ms) = report.unwrap_or_default();
        log::warn!(event = "handover.lost", job = sent.job.id.as_str(), to = sent.peer.as_str(), why = why, took_ms = now_ms - sent.sent_ms, lag_ms = self.handover.lag.ms(), peer_lag_ms = peer_lag_ms, report_age_ms = report_age_ms; "no outcome from the peer; the job may have run");
    }

    /// Dispatches a job here of which nothing ran at its peer.
    fn handover_declined(
        &mut self,
        cx: &actix::Context<Self>,
        now_ms: u64,
        answered: &HandoverAnswered,
        why: &str,
    ) {
        let sent = &mut self.handover.sent;
        let Some(sent) = sent.remove_handed(&answered.id, answered.number) else {
            return;
        };
        self.handover.counts.declined += 1;
        let report = self.handover.contacts.last_report(now_ms, &sent.peer);
        let (peer_lag_ms, report_age_ms) = report.unwrap_or_default();
        log::info!(event = "handover.declined", job = answered.id.as_str(), to = sent.peer.as_str(), why = why, took_ms = now_ms - sent.sent_ms, lag_ms = self.handover.lag.ms(), peer_lag_ms = peer_lag_ms, report_age_ms = report_age_ms; "nothing ran at the peer; dispatching the job here");
        let mut actions = Vec::new();
        for waiter in &sent.waiters {
            let wait = dispatch::CallerWait {
                timeout_ms: Some(sent.left_ms(now_ms)),
                waited_ms: sent.waited_ms(now_ms),
                waiter: *waiter,
            };
            let job = sent.job.clone();
            actions.extend(
                self.dispatcher
                    .submit_waited(now_ms, job, &sent.queue, wait),
            );
        }
        self.act(cx, actions);
    }

    fn handover_ended(&mut self, now_ms: u64, answered: &HandoverAnswered, end: messages::JobEnd) {
        let sent = &mut self.handover.sent;
        let Some(sent) = sent.remove_handed(&answered.id, answered.number) else {
            return;
        };
        let outcome = match dispatch::Outcome::try_from(end) {
            Ok(outcome) => outcome,
            Err(e) => return self.lose(now_ms, &sent, &e.to_string()),
        };
        self.handover.counts.ended += 1;
        self.handover.contacts.job_ended(&answered.address);
        log::debug!(event = "handover.ended", job = answered.id.as_str(), to = sent.peer.as_str(), outcome:? = outcome, took_ms = now_ms - sent.sent_ms; "the job ended at its peer");
        self.answer_all(&sent, outcome);
    }
}

/// Whether a peer that declined a job gets no more jobs for a while.
const fn needs_backoff(why: messages::Decline) -> bool {
    !matches!(
        why,
        messages::Decline::Incarnation | messages::Decline::Unwanted | messages::Decline::Open
    )
}

/// The call of a handover has ended.
#[derive(Debug)]
#[derive(actix::Message)]
#[rtype(result = "()")]
struct HandoverAnswered {
    id: SmolStr,
    number: u64,
    address: SmolStr,
    response: Result<messages::HandoverReply, outgoing::CallError>,
}

impl actix::Handler<HandoverAnswered> for entry::Control {
    type Result = ();

    fn handle(&mut self, answered: HandoverAnswered, cx: &mut Self::Context) {
        let now_ms = self.read_clock();
        self.handover_calls.remove(&answered.number);
        match &answered.response {
            Ok(reply) => self.handover_answered(cx, now_ms, &answered, reply),
            // A status below 500 is a refusal of the message, so that nothing was taken in.
            Err(e @ (outgoing::CallError::NotSent(_) | outgoing::CallError::Refused(..500))) => {
                self.handover.contacts.call_lost(now_ms, &answered.address);
                self.handover_declined(cx, now_ms, &answered, &e.to_string());
            }
            Err(e) => {
                self.handover.contacts.call_lost(now_ms, &answered.address);
                let sent = &mut self.handover.sent;
                if let Some(sent) = sent.remove_handed(&answered.id, answered.number) {
                    self.lose(now_ms, &sent, &e.to_string());
                }
            }
        }
    }
}

impl entry::Control {
    fn handover_answered(
        &mut self,
        cx: &actix::Context<Self>,
        now_ms: u64,
        answered: &HandoverAnswered,
        reply: &messages::HandoverReply,
    ) {
        let address = &answered.address;
        let contacts = &mut self.handover.contacts;
        let has_restarted = contacts.answered(now_ms, 0, address, &reply.state);
        match reply.result {
            messages::HandoverResult::Declined(why) => {
                if needs_backoff(why) {
                    self.handover.contacts.back_off(now_ms, address);
                }
                self.handover_declined(cx, now_ms, answered, &format!("{why:?}"));
            }
            messages::HandoverResult::Ended(end) => self.handover_ended(now_ms, answered, end),
        }
        if has_restarted {
            self.lose_all_at(now_ms, address, "peer started again");
        }
    }
}

/// The call of a liveness signal has ended.
#[derive(Debug)]
#[derive(actix::Message)]
#[rtype(result = "()")]
struct HeartbeatAnswered {
    address: SmolStr,
    sent_ms: u64,
    response: Result<messages::OriginReply, outgoing::CallError>,
}

impl actix::Handler<HeartbeatAnswered> for entry::Control {
    type Result = ();

    fn handle(&mut self, answered: HeartbeatAnswered, _cx: &mut Self::Context) {
        let now_ms = self.read_clock();
        let address = &answered.address;
        match answered.response {
            Ok(reply) => {
                if self
                    .handover
                    .contacts
                    .answered(now_ms, answered.sent_ms, address, &reply.state)
                {
                    self.lose_all_at(now_ms, address, "peer started again");
                }
                let sent = &mut self.handover.sent;
                for sent in sent.remove_missing(answered.sent_ms, address, &reply.missing) {
                    self.lose(now_ms, &sent, "peer doesn't have the job");
                }
            }
            Err(e) => {
                log::debug!(event = "handover.heartbeat_lost", to = address.as_str(); "no answer to a liveness signal: {e}");
                if self.handover.sent.wanted_at(address).is_empty() {
                    self.handover.contacts.call_lost(now_ms, address);
                }
            }
        }
    }
}
