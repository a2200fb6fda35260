//! What the traffic threads tell an entry's control thread, and what they ask.

use smol_str::SmolStr;

use crate::api;
use crate::codes;
use crate::entry::attempts;
use crate::ids;
use crate::wire;

/// A caller's call, here or passed on by another entry.
#[derive(Clone, Debug)]
#[derive(actix::Message)]
#[rtype(result = "Resolution")]
pub struct CallerCall {
    /// Whose.
    pub team: SmolStr,
    /// What.
    pub call: wire::Call,
}

/// What a call comes to.
#[derive(Debug)]
pub enum Resolution {
    /// This is the answer.
    Answer(Box<api::Answer>),
    /// The owner is another entry.
    Forward {
        /// The owner.
        owner: wire::Peer,
        /// What to say if it does not answer, and whether that is the last word.
        if_silent: (codes::Code, bool),
        /// The ticket to submit it under there, where it had no id.
        ticket: Option<ids::SubmissionId>,
    },
}

/// A ticket of this very entry is wanted.
#[derive(Debug)]
#[derive(actix::Message)]
#[rtype(result = "ids::SubmissionId")]
pub struct WantOwnTicket;

/// A caller wants tickets.
#[derive(Debug)]
#[derive(actix::Message)]
#[rtype(result = "Result<api::Tickets, codes::Code>")]
pub struct WantTickets(pub api::TicketRequest);

/// Another process says that it is there.
#[derive(Debug)]
#[derive(actix::Message)]
#[rtype(result = "wire::HeartbeatReply")]
pub struct Heard(pub wire::Heartbeat);

/// A dispatch ended.
#[derive(Debug)]
#[derive(actix::Message)]
#[rtype(result = "()")]
pub struct DispatchDone {
    /// Which.
    pub attempt: ids::Attempt,
    /// How.
    pub reply: Result<wire::DispatchReply, attempts::DispatchError>,
}

/// A question to a runner was answered.
#[derive(Debug)]
#[derive(actix::Message)]
#[rtype(result = "()")]
pub struct FenceDone {
    /// Where it was sent.
    pub to: SmolStr,
    /// The question.
    pub fence: wire::Fence,
    /// The answer.
    pub reply: wire::FenceReply,
}
