//! Sending dispatches and fences to runners, and handling the replies.

use std::time;

use actix::AsyncContext as _;
use smol_str::SmolStr;

use crate::codes;
use crate::entry::attempts;
use crate::entry::control;
use crate::entry::messages;
use crate::outgoing;
use crate::wire;

/// Time-out of a fence request to a runner.
const FENCE_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Time that a dispatch may take beyond its wait and run limits before its reply counts
/// as lost, in milliseconds.
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
        let is_suspect = self
            .suspect_until_ms
            .get(&to)
            .is_some_and(|until| *until > now_ms);
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
                log::warn!(event = "dispatch.failed", to = to.as_str(), attempt:% = attempt; "dispatch failed: {e}; requeueing the task if nothing was sent, else querying the runner");
                dispatch_error(&e)
            });
            control.do_send(messages::DispatchDone { attempt, reply });
        });
    }

    /// Stops the use of kept connections to a runner that did not receive a dispatch.
    ///
    /// The runner replied to the fence on a new connection but does not know the attempt,
    /// so the kept connections may be dead without having been closed. Each of them could
    /// lose one more dispatch, which would be noticed only when its reply is overdue. New
    /// connections are used until all kept ones have reached their maximum age.
    pub(super) fn suspect_connections(&mut self, now_ms: u64, message: &messages::FenceDone) {
        let is_dispatch_unknown = message.reply.outcomes.iter().any(Option::is_none);
        if message.reply.incarnation != message.fence.incarnation || !is_dispatch_unknown {
            return;
        }
        self.suspect_until_ms.retain(|_, until| *until > now_ms);
        let until_ms = now_ms.saturating_add(outgoing::CONNECTION_LIFETIME_MS);
        self.suspect_until_ms.insert(message.to.clone(), until_ms);
    }

    pub(super) fn send_fence(&self, cx: &actix::Context<Self>, to: SmolStr, fence: wire::Fence) {
        let control = cx.address();
        self.parts.pool.run(move |_client| async move {
            let path = wire::FENCE_PATH;
            match outgoing::post_on_new_connection(&to, path, &fence, FENCE_TIMEOUT).await {
                Ok(reply) => control.do_send(messages::FenceDone { to, fence, reply }),
                Err(e) => log::warn!(event = "fence.failed", to = to.as_str(); "fence request failed: {e}; repeated at the next query"),
            }
        });
    }
}

/// Logs a dispatch at debug level, since an entry may send tens of thousands a second.
fn log_dispatch(to: &str, dispatch: &wire::Dispatch) {
    let attempt = dispatch.attempt;
    let (submission, index) = (dispatch.submission.as_str(), dispatch.index);
    log::debug!(event = "task.dispatched", attempt:% = attempt, submission = submission, index = index, to = to; "dispatch sent to runner");
}

fn log_reply(message: &messages::DispatchDone) {
    let code = match message.reply.as_ref().map(|reply| &reply.outcome) {
        Ok(wire::Outcome::Ended { code, .. } | wire::Outcome::NotStarted { code }) => code.number(),
        _ => codes::Code::Pending.number(),
    };
    log::debug!(event = "task.answered", attempt:% = message.attempt, code = code; "dispatch answered");
}

/// Converts a failed call to an [`attempts::DispatchError`].
///
/// An HTTP error status may come from a release that interprets the message differently,
/// so the runner is queried about the attempt as after a lost reply.
fn dispatch_error(err: &outgoing::CallError) -> attempts::DispatchError {
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
            Err(error) => self.core.dispatch_failed(now_ms, message.attempt, error),
        };
        self.execute(cx, actions);
    }
}

impl actix::Handler<messages::FenceDone> for control::Control {
    type Result = ();

    fn handle(&mut self, message: messages::FenceDone, cx: &mut Self::Context) {
        let now_ms = self.now_ms();
        self.suspect_connections(now_ms, &message);
        let actions = self
            .core
            .fence_answered(now_ms, &message.fence, message.reply);
        self.execute(cx, actions);
    }
}
