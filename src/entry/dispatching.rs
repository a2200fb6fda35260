//! What an entry says to runners, and what comes back.

use std::time;

use actix::AsyncContext as _;
use smol_str::SmolStr;

use crate::codes;
use crate::entry::attempts;
use crate::entry::control;
use crate::entry::messages;
use crate::outgoing;
use crate::wire;

/// Longest wait for the answer to a question to a runner.
const FENCE_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// How much longer than wait and run a dispatch may take before it counts as lost.
const DISPATCH_GRACE_MS: u64 = 5_000;

impl control::Control {
    pub(super) fn send_dispatch(
        &self,
        cx: &actix::Context<Self>,
        to: SmolStr,
        dispatch: wire::Dispatch,
    ) {
        log_dispatch(&to, &dispatch);
        let control = cx.address();
        let now_ms = self.now_ms();
        let is_suspect = self.suspects.get(&to).is_some_and(|until| *until > now_ms);
        let limit = dispatch.wait_ms + dispatch.limit_ms + DISPATCH_GRACE_MS;
        let limit = time::Duration::from_millis(limit);
        self.parts.pool.run(move |client| async move {
            let attempt = dispatch.attempt;
            let path = wire::DISPATCH_PATH;
            let reply = if is_suspect {
                outgoing::post_on_new_connection(&to, path, &dispatch, limit).await
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
    pub(super) fn mind_silence(&mut self, now_ms: u64, message: &messages::FenceDone) {
        let is_unheard = message.reply.outcomes.iter().any(Option::is_none);
        if message.reply.incarnation != message.fence.incarnation || !is_unheard {
            return;
        }
        self.suspects.retain(|_, until| *until > now_ms);
        let until_ms = now_ms.saturating_add(outgoing::CONNECTION_LIFETIME_MS);
        self.suspects.insert(message.to.clone(), until_ms);
    }

    pub(super) fn send_fence(&self, cx: &actix::Context<Self>, to: SmolStr, fence: wire::Fence) {
        let control = cx.address();
        self.parts.pool.run(move |_client| async move {
            let path = wire::FENCE_PATH;
            match outgoing::post_on_new_connection(&to, path, &fence, FENCE_TIMEOUT).await {
                Ok(reply) => control.do_send(messages::FenceDone { to, fence, reply }),
                Err(e) => log::warn!(event = "fence.failed", to = to.as_str(); "{e}"),
            }
        });
    }
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
fn fault(err: &outgoing::CallError) -> attempts::DispatchError {
    match err {
        outgoing::CallError::NotSent(_) => attempts::DispatchError::NotSent,
        _ => attempts::DispatchError::Lost,
    }
}

impl actix::Handler<messages::DispatchDone> for control::Control {
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

impl actix::Handler<messages::FenceDone> for control::Control {
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
