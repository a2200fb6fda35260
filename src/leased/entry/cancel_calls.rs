//! Cancels at an entry: requests of callers, notices of other entries, and calls to them.

use std::time;

use actix::AsyncContext as _;
use futures_util::future;
use smol_str::SmolStr;
use tokio::sync::oneshot;

use crate::leased::cancels;
use crate::leased::cancels::messages;
use crate::leased::entry;
use crate::leased::job;
use crate::outgoing;

/// Time limit of a call that relays a notice.
const RELAY_TIMEOUT: time::Duration = time::Duration::from_millis(cancels::RELAY_MS);

impl entry::Control {
    /// Cancels a job that is open here or was handed over from here, and returns whether there was
    /// one.
    fn cancel_job(&mut self, cx: &actix::Context<Self>, now_ms: u64, id: &str) -> bool {
        if self.cancel_sent(cx, now_ms, id) {
            return true;
        }
        let Some(actions) = self.dispatcher.cancel(now_ms, id) else {
            return false;
        };
        self.act(cx, actions);
        true
    }

    /// Returns whether a job that arrives has been cancelled before, and notes its arrival.
    pub(super) fn intercept_cancelled(
        &mut self,
        cx: &actix::Context<Self>,
        now_ms: u64,
        id: &SmolStr,
    ) -> bool {
        let Some(actions) = self.cancels.intercept(now_ms, id) else {
            return false;
        };
        self.perform(cx, actions);
        true
    }

    pub(super) fn tick_cancels(&mut self, cx: &actix::Context<Self>, now_ms: u64) {
        let actions = self.cancels.tick(now_ms);
        self.perform(cx, actions);
    }

    pub(super) fn update_cancel_peers(&mut self, cx: &actix::Context<Self>) {
        if !self.entry_list.is_known() {
            return;
        }
        let now_ms = self.now_ms();
        let actions = self.cancels.update_peers(now_ms, self.entry_list.others());
        self.perform(cx, actions);
    }

    fn perform(&mut self, cx: &actix::Context<Self>, actions: Vec<cancels::Action>) {
        for action in actions {
            match action {
                cancels::Action::Call(call) => Self::call_peer(cx, call),
                cancels::Action::Answer(waiter, answer) => self.answer_cancel(waiter, answer),
            }
        }
    }

    fn answer_cancel(&mut self, waiter: cancels::Waiter, answer: cancels::Answer) {
        let Some(tx) = self.cancel_txs.remove(&waiter) else {
            return;
        };
        if tx.send(answer).is_err() {
            log::debug!(event = "answer.unheard", waiter = waiter; "the caller that cancelled a job has gone");
        }
    }

    fn call_peer(cx: &actix::Context<Self>, call: cancels::Call) {
        let control = cx.address();
        actix_rt::spawn(async move {
            let number = call.number;
            let limit = time::Duration::from_millis(call.limit_ms);
            let client = if call.is_retry {
                outgoing::client()
            } else {
                outgoing::thread_client()
            };
            let reply = notify(&client, &call.to, call.notice, limit).await;
            control.do_send(CancelAnswered { number, reply });
        });
    }
}

/// Sends a notice to another entry; returns its reply, or `None` if there was none.
async fn notify(
    client: &awc::Client,
    to: &str,
    notice: messages::Notice,
    limit: time::Duration,
) -> Option<messages::Reply> {
    let path = messages::CANCEL_PATH;
    let message = messages::CancelJobs::from(notice);
    let reply: Result<messages::CancelReply, _> =
        outgoing::post(client, to, path, &message, limit).await;
    let reply = reply.map_err(|e| e.to_string());
    let reply = reply.and_then(|reply| {
        reply
            .try_into()
            .map_err(|e: messages::MessageError| e.to_string())
    });
    reply
        .inspect_err(|why| log::debug!(event = "cancel.lost", peer = to, why = why.as_str(); "an entry did not answer a notice of cancelled jobs"))
        .ok()
}

/// Relays a notice as its sender asked, and returns the reply to it.
pub async fn relay(received: Received, ids: Vec<SmolStr>) -> messages::Reply {
    let client = outgoing::thread_client();
    let calls = received.relay_to.iter().map(|to| {
        let notice = messages::Notice::direct(ids.clone());
        notify(&client, to, notice, RELAY_TIMEOUT)
    });
    let replies = future::join_all(calls).await;
    let mut reply = received.reply;
    for (address, relayed) in received.relay_to.into_iter().zip(replies) {
        if let Some(relayed) = relayed {
            reply.add_relayed(address, relayed);
        }
    }
    reply
}

/// Cancels a job by its id for a caller; there is no result if the entry is stopping.
#[derive(Debug)]
#[derive(actix::Message)]
#[rtype(result = "Option<cancels::Answer>")]
pub struct Cancel(pub SmolStr);

impl actix::Handler<Cancel> for entry::Control {
    type Result = actix::ResponseFuture<Option<cancels::Answer>>;

    fn handle(&mut self, Cancel(id): Cancel, cx: &mut Self::Context) -> Self::Result {
        if !job::is_id(&id) {
            return Box::pin(future::ready(Some(cancels::Answer::Unknown)));
        }
        let now_ms = self.now_ms();
        let is_held = self.cancel_job(cx, now_ms, &id);
        self.last_waiter += 1;
        let waiter = self.last_waiter;
        let (tx, rx) = oneshot::channel();
        self.cancel_txs.insert(waiter, tx);
        let actions = self.cancels.cancel(now_ms, &id, is_held, waiter);
        self.perform(cx, actions);
        Box::pin(async move { rx.await.ok() })
    }
}

/// Another entry's notice of cancelled jobs.
#[derive(Debug)]
#[derive(actix::Message)]
#[rtype(result = "Received")]
pub struct CancelReceived(pub messages::Notice);

/// Result of a notice at this entry.
#[derive(Debug)]
pub struct Received {
    /// The reply so far.
    reply: messages::Reply,
    /// Known entries to which the notice has to be relayed first.
    relay_to: Vec<SmolStr>,
}

impl actix::Handler<CancelReceived> for entry::Control {
    type Result = actix::MessageResult<CancelReceived>;

    fn handle(
        &mut self,
        CancelReceived(notice): CancelReceived,
        cx: &mut Self::Context,
    ) -> Self::Result {
        let now_ms = self.now_ms();
        let held = notice.ids.iter();
        let held = held.filter(|id| self.cancel_job(cx, now_ms, id));
        let held = held.cloned().collect();
        let reply = self.cancels.receive(now_ms, &notice, &held);
        let mut relay_to = notice.relay_to;
        relay_to.retain(|address| self.entry_list.get(address).is_some());
        actix::MessageResult(Received { reply, relay_to })
    }
}

#[derive(Debug)]
#[derive(actix::Message)]
#[rtype(result = "()")]
struct CancelAnswered {
    number: u64,
    reply: Option<messages::Reply>,
}

impl actix::Handler<CancelAnswered> for entry::Control {
    type Result = ();

    fn handle(&mut self, answered: CancelAnswered, cx: &mut Self::Context) {
        let now_ms = self.read_clock();
        let reply = answered.reply.as_ref();
        let actions = self.cancels.answered(now_ms, answered.number, reply);
        self.perform(cx, actions);
    }
}
