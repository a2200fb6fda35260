//! Messages from the traffic threads to a runner's control thread.

use crate::ids;
use crate::runner::core;
use crate::wire;

/// A task that an entry sends to this runner.
#[derive(Debug)]
#[derive(actix::Message)]
#[rtype(result = "Option<wire::DispatchReply>")]
pub struct PeerDispatch(pub wire::Dispatch);

/// A request of an entry for the outcomes of attempts.
#[derive(Debug)]
#[derive(actix::Message)]
#[rtype(result = "wire::FenceReply")]
pub struct PeerFence(pub wire::Fence);

/// A heartbeat from another process.
#[derive(Debug)]
#[derive(actix::Message)]
#[rtype(result = "wire::HeartbeatReply")]
pub struct PeerHeartbeat(pub wire::Heartbeat);

/// Reports the end of a task at the backend server.
#[derive(Debug)]
#[derive(actix::Message)]
#[rtype(result = "()")]
pub struct TaskEnded {
    /// The attempt.
    pub attempt: ids::Attempt,
    /// Outcome of the attempt.
    pub end: core::End,
}

/// Reports the resource usage read from the worker.
#[derive(Clone, Copy, Debug)]
#[derive(actix::Message)]
#[rtype(result = "()")]
pub struct UsageReport(pub wire::Resources);

/// Asks whether an attempt may still be started, right before its bytes are sent.
#[derive(Clone, Copy, Debug)]
#[derive(actix::Message)]
#[rtype(result = "bool")]
pub struct MayStart(pub ids::Attempt);
