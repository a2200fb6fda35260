//! The control thread's handling of claims: appends, reads and calls that wait for them.

use actix::AsyncContext as _;
use tokio::sync::oneshot;

use crate::claims;
use crate::codes;
use crate::entry::control;
use crate::entry::messages;
use crate::ids;
use crate::jobs;
use crate::wire;

/// Returns whether a call names a client-chosen id and may have to wait for its claim.
pub(super) const fn needs_claim(call: &wire::Call) -> bool {
    match call {
        wire::Call::Submit(submission) => {
            matches!(submission.submission, Some(ids::SubmissionId::Own(_)))
        }
        wire::Call::Fetch { submission, .. } | wire::Call::Cancel { submission } => {
            matches!(submission, ids::SubmissionId::Own(_))
        }
    }
}

impl control::Control {
    pub(super) fn append_claims(&self, cx: &actix::Context<Self>, record: claims::Record) {
        let log = self.parts.log.clone();
        claims::log::append(&self.parts.pool, log, record, cx.address().recipient());
    }

    /// Repeats the call once the claim is settled, whatever the outcome.
    pub(super) fn call_after_claim(
        &mut self,
        cx: &actix::Context<Self>,
        name: claims::ScopedId,
        message: messages::CallerCall,
    ) -> actix::ResponseFuture<messages::Resolution> {
        let (tx, rx) = oneshot::channel();
        self.claim_waiters.entry(name).or_default().push(tx);
        let control = cx.address();
        Box::pin(async move {
            // Settling the claim drops the sender, so the wait ends with an error.
            let _settled = rx.await;
            control.send(message).await.unwrap_or_else(|_ended| {
                let answer = jobs::answer::bare(None, codes::Code::OwnerGone, true);
                messages::Resolution::Answer(Box::new(answer))
            })
        })
    }
}

impl actix::Handler<claims::log::ClaimsRead> for control::Control {
    type Result = u64;

    fn handle(&mut self, message: claims::log::ClaimsRead, cx: &mut Self::Context) -> u64 {
        let now_ms = self.now_ms();
        let actions = self.core.claims_read(now_ms, message.page.as_ref());
        self.execute(cx, actions);
        self.core.claims_position()
    }
}

impl actix::Handler<claims::log::Appended> for control::Control {
    type Result = ();

    fn handle(&mut self, _message: claims::log::Appended, cx: &mut Self::Context) {
        let now_ms = self.now_ms();
        let actions = self.core.claims_appended(now_ms);
        self.execute(cx, actions);
    }
}
