//! Tells the control thread that a caller has closed its connection.

use actix::AsyncContext as _;
use smol_str::SmolStr;

use crate::leased::dispatch::jobs;
use crate::leased::entry;

/// Notifies the control thread when a caller disconnects.
///
/// It does so on drop, which also covers requests that the HTTP library drops. The control thread
/// creates it with the wait, as the library may drop a request whose job is submitted before the
/// request has received the handle of the job.
#[derive(Debug)]
pub struct DisconnectGuard {
    control: actix::Addr<entry::Control>,
    pending_notice: Option<entry::CallerGone>,
}

impl DisconnectGuard {
    /// Creates a guard for a caller whose job was submitted.
    const fn new(control: actix::Addr<entry::Control>, notice: entry::CallerGone) -> Self {
        Self {
            control,
            pending_notice: Some(notice),
        }
    }

    /// Stops the guard from sending the notice, as the job has ended.
    pub fn disarm(&mut self) {
        self.pending_notice = None;
    }
}

impl Drop for DisconnectGuard {
    fn drop(&mut self) {
        if let Some(pending_notice) = self.pending_notice.take() {
            self.control.do_send(pending_notice);
        }
    }
}

impl entry::Control {
    /// Returns the guard of a caller's wait for a job.
    pub(super) fn disconnect_guard(
        cx: &actix::Context<Self>,
        id: &SmolStr,
        waiter: jobs::Waiter,
    ) -> DisconnectGuard {
        let id = id.clone();
        DisconnectGuard::new(cx.address(), entry::CallerGone { id, waiter })
    }
}
