//! Messages from the traffic threads to an entry's control thread.

use smol_str::SmolStr;

use crate::api;
use crate::codes;
use crate::entry::attempts;
use crate::ids;
use crate::wire;

/// A call from a caller, received directly or from another entry.
#[derive(Clone, Debug)]
#[derive(actix::Message)]
#[rtype(result = "Resolution")]
pub struct CallerCall {
    /// The calling team.
    pub team: SmolStr,
    /// The call.
    pub call: wire::Call,
}

/// The result of a [`CallerCall`].
#[derive(Debug)]
pub enum Resolution {
    /// The answer to return to the caller.
    Answer(Box<api::Answer>),
    /// The call has to be sent to another entry.
    Forward {
        /// The entry that owns the submission.
        owner: wire::Peer,
        /// Result code if the owner does not reply, and whether that code is final.
        if_silent: (codes::Code, bool),
        /// Ticket of the owner to submit under, if the submission had no id.
        ticket: Option<ids::SubmissionId>,
    },
}

/// Requests a ticket that this entry issues itself.
#[derive(Debug)]
#[derive(actix::Message)]
#[rtype(result = "ids::SubmissionId")]
pub struct IssueOwnTicket;

/// Requests tickets for a caller.
#[derive(Debug)]
#[derive(actix::Message)]
#[rtype(result = "Result<api::Tickets, codes::Code>")]
pub struct IssueTickets(pub api::TicketOrder);

/// A heartbeat received from another process.
#[derive(Debug)]
#[derive(actix::Message)]
#[rtype(result = "wire::HeartbeatReply")]
pub struct PeerHeartbeat(pub wire::Heartbeat);

/// Reports that a dispatch was answered or failed.
#[derive(Debug)]
#[derive(actix::Message)]
#[rtype(result = "()")]
pub struct DispatchDone {
    /// The attempt.
    pub attempt: ids::Attempt,
    /// The reply, or why there is none.
    pub reply: Result<wire::DispatchReply, attempts::DispatchError>,
}

/// Reports the reply to a fence.
#[derive(Debug)]
#[derive(actix::Message)]
#[rtype(result = "()")]
pub struct FenceDone {
    /// The runner's address.
    pub to: SmolStr,
    /// The fence that was sent.
    pub fence: wire::Fence,
    /// The reply.
    pub reply: wire::FenceReply,
}
