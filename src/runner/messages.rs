//! What the traffic threads tell a runner's control thread, and what they ask.

use crate::ids;
use crate::runner::core;
use crate::wire;

/// An entry hands over a task.
#[derive(Debug)]
#[derive(actix::Message)]
#[rtype(result = "Option<wire::DispatchReply>")]
pub struct Dispatched(pub wire::Dispatch);

/// An entry asks about attempts.
#[derive(Debug)]
#[derive(actix::Message)]
#[rtype(result = "wire::FenceReply")]
pub struct Fenced(pub wire::Fence);

/// An entry asks for evidence.
#[derive(Debug)]
#[derive(actix::Message)]
#[rtype(result = "wire::HeartbeatReply")]
pub struct Heard(pub wire::Heartbeat);

/// A task ended at the backend server.
#[derive(Debug)]
#[derive(actix::Message)]
#[rtype(result = "()")]
pub struct TaskEnded {
    /// Which.
    pub attempt: ids::Attempt,
    /// How.
    pub end: core::End,
}

/// The worker reported its usage.
#[derive(Clone, Copy, Debug)]
#[derive(actix::Message)]
#[rtype(result = "()")]
pub struct Observed(pub wire::Resources);

/// May this be started still? Asked right before the bytes go out.
#[derive(Clone, Copy, Debug)]
#[derive(actix::Message)]
#[rtype(result = "bool")]
pub struct MayStart(pub ids::Attempt);
