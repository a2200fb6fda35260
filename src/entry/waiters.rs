//! Calls that wait at an entry for their answers.

use std::time;

use actix::AsyncContext as _;
use tokio::sync::oneshot;

use crate::api;
use crate::codes;
use crate::entry::calls;
use crate::entry::claim_handlers;
use crate::entry::control;
use crate::entry::messages;
use crate::jobs;
use crate::wire;

/// Maximum number of calls that wait for the answer of one submission.
///
/// A further call gets the current state at once, as if its wait had ended.
const MAX_WAITERS: usize = 64;

/// Maximum wait of a cancel call, in milliseconds.
///
/// A cancelled submission ends within the time of a query to a runner.
const CANCEL_WAIT_MS: u64 = 1_000;

impl control::Control {
    pub(super) fn answer(&mut self, key: jobs::Key, answer: &api::Answer) {
        let id = answer
            .submission
            .as_ref()
            .map(ToString::to_string)
            .unwrap_or_default();
        let code = answer.code.number();
        log::info!(event = "submission.ended", submission = id.as_str(), code = code; "{}", answer.text);
        for waiter in self.waiters.remove(&key).unwrap_or_default() {
            if waiter.send(Box::new(answer.clone())).is_err() {
                log::debug!(event = "answer.unheard", submission = id.as_str(); "answer not delivered: the call no longer waits");
            }
        }
    }

    pub(super) fn wait(
        &mut self,
        cx: &actix::Context<Self>,
        key: jobs::Key,
        wait_ms: u64,
    ) -> actix::ResponseFuture<messages::Resolution> {
        let now_ms = self.now_ms();
        let Some(pending) = self.core.pending(now_ms, key) else {
            let answer = jobs::answer::bare(None, codes::Code::UnknownSubmission, true);
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
        let max_ms = u64::from(self.core.settings().limits.max_wait_ms);
        let limit = time::Duration::from_millis(wait_ms.min(max_ms));
        Box::pin(async move {
            if let Ok(Ok(answer)) = tokio::time::timeout(limit, rx).await {
                return messages::Resolution::Answer(answer);
            }
            let current = control.send(GetPending(key)).await.ok().flatten();
            messages::Resolution::Answer(Box::new(current.unwrap_or(pending)))
        })
    }
}

fn ready(answer: api::Answer) -> actix::ResponseFuture<messages::Resolution> {
    Box::pin(async move { messages::Resolution::Answer(Box::new(answer)) })
}

#[derive(actix::Message)]
#[rtype(result = "Option<api::Answer>")]
struct GetPending(jobs::Key);

impl actix::Handler<messages::CallerCall> for control::Control {
    type Result = actix::ResponseFuture<messages::Resolution>;

    fn handle(&mut self, message: messages::CallerCall, cx: &mut Self::Context) -> Self::Result {
        let retry = claim_handlers::needs_claim(&message.call).then(|| message.clone());
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
        self.execute(cx, actions);
        match reply {
            calls::Reply::Answer(answer) => ready(*answer),
            calls::Reply::Forward {
                owner,
                if_silent,
                ticket,
            } => {
                let forward = messages::Resolution::Forward {
                    owner,
                    if_silent,
                    ticket,
                };
                Box::pin(async move { forward })
            }
            calls::Reply::Claiming(name) => match retry {
                Some(retry) => self.call_after_claim(cx, name, retry),
                None => ready(jobs::answer::bare(None, codes::Code::BadTicket, true)),
            },
            calls::Reply::Open(key) => self.wait(cx, key, wait_ms),
        }
    }
}

impl actix::Handler<GetPending> for control::Control {
    type Result = Option<api::Answer>;

    fn handle(&mut self, message: GetPending, _cx: &mut Self::Context) -> Self::Result {
        let waiters = self.waiters.get_mut(&message.0);
        if let Some(waiters) = waiters {
            waiters.retain(|waiter| !waiter.is_closed());
        }
        self.core.pending(self.now_ms(), message.0)
    }
}

impl actix::Handler<messages::IssueTickets> for control::Control {
    type Result = Result<api::Tickets, codes::Code>;

    fn handle(&mut self, message: messages::IssueTickets, _cx: &mut Self::Context) -> Self::Result {
        if self.core.is_leaving() {
            return Err(codes::Code::Leaving);
        }
        Ok(self.core.tickets(self.now_ms(), &message.0))
    }
}

impl actix::Handler<messages::IssueOwnTicket> for control::Control {
    type Result = actix::MessageResult<messages::IssueOwnTicket>;

    fn handle(&mut self, _: messages::IssueOwnTicket, _cx: &mut Self::Context) -> Self::Result {
        actix::MessageResult(self.core.ticket())
    }
}
