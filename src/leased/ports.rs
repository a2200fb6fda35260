//! Interface between runs under leases and the platform adapter.

use std::fmt;
use std::net;
use std::sync;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::leased::directives;
use crate::leased::messages;
use crate::wire;

/// Description of one incarnation of a backend server, from its heartbeats.
#[derive(Clone, Debug, PartialEq)]
pub struct Announcement {
    /// The incarnation.
    pub incarnation: BackendIncarnation,
    /// Number of the heartbeat within the incarnation.
    pub sequence: u64,
    /// Whether the backend server is stopping.
    pub is_leaving: bool,
    /// Total resources.
    pub size: wire::Resources,
    /// Service of the backend server.
    pub service: SmolStr,
    /// Availability zone of the backend server.
    pub zone: SmolStr,
    /// Labels of the backend server.
    pub labels: sync::Arc<[SmolStr]>,
}

/// Identifies one incarnation of a backend server.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct BackendIncarnation {
    /// Name of the backend server, which a later incarnation may reuse.
    pub name: SmolStr,
    /// Start time in milliseconds since the Unix epoch, by the backend server's clock.
    pub started_at_ms: u64,
}

/// Request to start a run at the backend server.
#[derive(Clone, Debug)]
pub struct StartCall {
    /// The run and its specification.
    pub start: messages::Start,
    /// The incarnation that the call is meant for.
    pub incarnation: BackendIncarnation,
    /// Fencing token; the backend server refuses calls of former incarnations of the runner.
    pub fence: u64,
    /// End of the lease on the backend server's clock; the start itself is void after it, too.
    pub lease_until_ms: u64,
    /// Latest time on the runner's clock at which the call is sent.
    pub send_by_ms: u64,
    /// Time-out of the answer, in milliseconds.
    pub timeout_ms: u64,
}

/// A backend server's answer to a [`StartCall`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartAnswer {
    /// The run has started.
    Started,
    /// The run has not started, and this call will not start it. It may not have been sent.
    Refused(StartRefusal),
    /// No answer was received; the run may be running or may start later.
    Lost,
}

/// Why a backend server refused to start a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartRefusal {
    /// The backend server has accepted a call with a greater fence.
    Fence,
    /// The same run, or a later run of the task, has been started before.
    OldRun,
    /// The call or its lease had expired.
    Late,
    /// Not enough free capacity.
    Room,
    /// Another incarnation of the backend server answered.
    OtherLife,
    /// The backend server is unhealthy, or could not parse the call.
    Unwell,
}

/// Request to stop a run at the backend server.
#[derive(Clone, Debug)]
pub struct StopCall {
    /// The run.
    pub id: messages::RunId,
    /// The incarnation that the call is meant for.
    pub incarnation: BackendIncarnation,
    /// Fencing token; the backend server refuses calls of former incarnations of the runner.
    pub fence: u64,
    /// Time-out of the answer, in milliseconds.
    pub timeout_ms: u64,
}

/// A backend server's answer to a [`StopCall`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StopAnswer {
    /// The run ends within the time that a stop takes, and cannot start any more.
    Acknowledged,
    /// The backend server is unhealthy and has not stopped the run.
    Refused,
    /// No answer of this incarnation was received; the run may be stopping.
    Lost,
}

/// Long poll for the runs of the backend server, which also renews the lease.
#[derive(Clone, Debug)]
pub struct ListCall {
    /// The incarnation that the call is meant for; absent until one has announced itself.
    pub incarnation: Option<BackendIncarnation>,
    /// Fencing token; the backend server refuses calls of former incarnations of the runner.
    pub fence: u64,
    /// New end of the lease on the backend server's clock; absent if the lease is not renewed.
    pub lease_until_ms: Option<u64>,
    /// Number of the last [`Ended`] received.
    pub acked: u64,
    /// Longest wait for another run to end, in milliseconds.
    pub wait_ms: u64,
    /// Time-out of the answer beyond `wait_ms`, in milliseconds.
    pub timeout_ms: u64,
}

/// Running and ended runs of a backend server.
#[derive(Clone, Debug, Default)]
pub struct Listing {
    /// Start time of the incarnation that answered; see [`BackendIncarnation`].
    pub started_at_ms: u64,
    /// The backend server's clock.
    pub clock_ms: u64,
    /// Running runs.
    pub running: Vec<Running>,
    /// Ended runs that have not been acknowledged.
    pub ended: Vec<Ended>,
}

/// A running run.
#[derive(Clone, Debug)]
pub struct Running {
    /// The run.
    pub id: messages::RunId,
    /// Progress in percent.
    pub percent: u32,
}

/// An ended run.
#[derive(Clone, Debug)]
pub struct Ended {
    /// Sequence number within the incarnation of the backend server.
    pub number: u64,
    /// The run.
    pub id: messages::RunId,
    /// How the run ended.
    pub how: messages::RunOutcome,
}

/// A backend server's answer to a [`ListCall`].
#[derive(Clone, Debug)]
pub enum ListAnswer {
    /// The listing.
    Listed(Listing),
    /// The backend server has accepted a call with a greater fence, from a later incarnation of
    /// the runner or from one whose clock was ahead.
    Fenced,
    /// Another incarnation than the expected one answered.
    OtherIncarnation,
    /// No connection could be made.
    NoConnection,
    /// No answer was received.
    Lost,
}

/// Calls to the backend server beside a runner.
pub trait Backend: fmt::Debug + Send {
    /// Starts a run and sends the answer to `reply_to`.
    fn start(&self, call: StartCall, reply_to: actix::Recipient<StartAnswered>);

    /// Stops a run and sends the answer to `reply_to`.
    fn stop(&self, call: StopCall, reply_to: actix::Recipient<StopAnswered>);

    /// Polls listings until `reply_to` is gone; `reply_to` receives each answer and returns the
    /// next call.
    fn poll_listings(&self, reply_to: actix::Recipient<ListAnswered>);
}

/// Result of a [`StartCall`].
#[derive(Clone, Debug)]
#[derive(actix::Message)]
#[rtype(result = "()")]
pub struct StartAnswered {
    /// The run.
    pub id: messages::RunId,
    /// The answer.
    pub answer: StartAnswer,
}

/// Result of a [`StopCall`].
#[derive(Clone, Debug)]
#[derive(actix::Message)]
#[rtype(result = "()")]
pub struct StopAnswered {
    /// The run.
    pub id: messages::RunId,
    /// The answer.
    pub answer: StopAnswer,
}

/// Result of a [`ListCall`]; the handler returns the next call.
#[derive(Clone, Debug)]
#[derive(actix::Message)]
#[rtype(result = "ListCall")]
pub struct ListAnswered {
    /// When the call was sent, on the runner's clock, and no later than it was built; 0 before the
    /// first call.
    pub sent_at_ms: u64,
    /// The answer; absent before the first call, and if no incarnation is known to call.
    pub answer: Option<ListAnswer>,
}

/// A heartbeat of the backend server; the handler returns whether it was the latest one.
#[derive(Clone, Debug)]
#[derive(actix::Message)]
#[rtype(result = "bool")]
pub struct Announced(pub Announcement);

/// The backend server's last announcement, stored by a former incarnation of the runner.
#[derive(Clone, Debug)]
#[derive(actix::Message)]
#[rtype(result = "()")]
pub struct BackendRestored(pub Announcement);

/// The message of a backend server that its incarnation stops for good.
#[derive(Clone, Debug)]
#[derive(actix::Message)]
#[rtype(result = "()")]
pub struct BackendLeft {
    /// Name of the backend server, which a later incarnation may reuse.
    pub name: SmolStr,
    /// Start time of the incarnation that sent the message; absent if it names none.
    pub started_at_ms: Option<u64>,
}

/// Returns whether a text is the address of a process: an IP address and a port.
pub fn is_address(text: &str) -> bool {
    let address: Result<net::SocketAddr, _> = text.parse();
    address.is_ok_and(|address| address.port() != 0)
}

/// A runner as listed in the store.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Member {
    /// Address of the runner for entries.
    pub address: SmolStr,
    /// Availability zone of the runner; empty if unknown.
    pub zone: SmolStr,
    /// Service of the backend server beside the runner; empty if unknown.
    pub service: SmolStr,
}

/// Another entry.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Peer {
    /// Address of the entry for other entries.
    pub address: SmolStr,
    /// Availability zone of the entry; empty if unknown.
    pub zone: SmolStr,
    /// Processor time of the entry's instance, in thousandths of a core; 0 if unknown.
    pub cpu_milli: u32,
}

/// All entries listed in the store.
#[derive(Clone, Debug)]
#[derive(actix::Message)]
#[rtype(result = "()")]
pub struct EntriesListed(pub Vec<Peer>);

/// Entries received from another entry.
#[derive(Clone, Debug)]
#[derive(actix::Message)]
#[rtype(result = "()")]
pub struct EntriesDiscovered(pub Vec<Peer>);

/// All runners listed in the store.
#[derive(Clone, Debug)]
#[derive(actix::Message)]
#[rtype(result = "()")]
pub struct RunnersListed(pub Vec<Member>);

/// Addresses of runners received from another entry.
#[derive(Clone, Debug)]
#[derive(actix::Message)]
#[rtype(result = "()")]
pub struct RunnersDiscovered(pub Vec<SmolStr>);

/// Directives received from the store or from another entry.
#[derive(Clone, Debug)]
#[derive(actix::Message)]
#[rtype(result = "()")]
pub struct DirectivesReceived {
    /// The directives.
    pub directives: directives::Directives,
    /// Where they came from: the store, or the address of another entry.
    pub from: SmolStr,
}
