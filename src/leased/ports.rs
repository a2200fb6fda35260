//! Where runs under leases meet the outside: what an adapter has to provide.

use std::fmt;
use std::sync;

use smol_str::SmolStr;

use crate::leased::directives;
use crate::leased::messages;
use crate::wire;

/// One life of a backend server, as its heartbeats tell.
#[derive(Clone, Debug, PartialEq)]
pub struct Announcement {
    /// Which life it is.
    pub incarnation: BackendIncarnation,
    /// Counts the heartbeats of this life.
    pub sequence: u64,
    /// Whether it is stopping.
    pub is_leaving: bool,
    /// What it has.
    pub size: wire::Resources,
    /// Its service.
    pub service: SmolStr,
    /// Its availability zone.
    pub zone: SmolStr,
    /// Its labels.
    pub labels: sync::Arc<[SmolStr]>,
}

/// Tells the lives of a backend server apart.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct BackendIncarnation {
    /// Its name, which a later life may have again.
    pub name: SmolStr,
    /// When it started, in milliseconds since 1970 by its own clock.
    pub started_at_ms: u64,
}

/// A run to be started at the backend server.
#[derive(Clone, Debug)]
pub struct StartCall {
    /// The run and what to tell the backend server.
    pub start: messages::Start,
    /// The life that is meant.
    pub incarnation: BackendIncarnation,
    /// Keeps orders of former lives of the runner out.
    pub fence: u64,
    /// End of the lease, and of the order itself, on the backend server's clock.
    pub lease_until_ms: u64,
    /// How long the answer is waited for, in milliseconds.
    pub timeout_ms: u64,
}

/// What a backend server said to a start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartAnswer {
    /// It runs.
    Started,
    /// It does not run, and this order won't start it.
    Refused(StartRefusal),
    /// Nothing was heard: it may run now or later.
    Lost,
}

/// Why a backend server refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartRefusal {
    /// A later life of the runner has given orders.
    Fence,
    /// The same run, or a later one of the task, was there before.
    OldRun,
    /// The order or its lease was over.
    Late,
    /// No room.
    Room,
    /// Another life of the backend server answered.
    OtherLife,
    /// It is unwell or can't read the order.
    Unwell,
}

/// A run to be stopped at the backend server.
#[derive(Clone, Debug)]
pub struct StopCall {
    /// The run.
    pub id: messages::RunId,
    /// The life that is meant.
    pub incarnation: BackendIncarnation,
    /// Keeps orders of former lives of the runner out.
    pub fence: u64,
    /// How long the answer is waited for, in milliseconds.
    pub timeout_ms: u64,
}

/// A question what runs at the backend server, which renews the lease.
#[derive(Clone, Debug)]
pub struct ListCall {
    /// The life that is meant; unknown as long as none was heard of.
    pub incarnation: Option<BackendIncarnation>,
    /// Keeps orders of former lives of the runner out.
    pub fence: u64,
    /// New end of the lease on the backend server's clock; absent: not renewed.
    pub lease_until_ms: Option<u64>,
    /// Ends up to this number were noted.
    pub acked: u64,
    /// Longest wait for a new end, in milliseconds.
    pub wait_ms: u64,
    /// How long the answer is waited for beyond that, in milliseconds.
    pub timeout_ms: u64,
}

/// What runs at a backend server, and what ended.
#[derive(Clone, Debug, Default)]
pub struct Listing {
    /// Which life says so: when it started.
    pub started_at_ms: u64,
    /// The backend server's clock.
    pub clock_ms: u64,
    /// What runs.
    pub running: Vec<Running>,
    /// What ended and was not acknowledged.
    pub ended: Vec<Ended>,
}

/// One run that goes on.
#[derive(Clone, Debug)]
pub struct Running {
    /// The run.
    pub id: messages::RunId,
    /// How much of its work is done, in percent.
    pub percent: u32,
}

/// One run that ended.
#[derive(Clone, Debug)]
pub struct Ended {
    /// Counts the ends of this life of the backend server.
    pub number: u64,
    /// The run.
    pub id: messages::RunId,
    /// How.
    pub how: messages::RunOutcome,
}

/// What a backend server said to the question what runs.
#[derive(Clone, Debug)]
pub enum ListAnswer {
    /// Its list.
    Listed(Listing),
    /// A later life of the runner has given orders, or one whose fence is greater.
    Fenced,
    /// Another life than the one meant.
    OtherIncarnation,
    /// No connection could be made.
    NoConnection,
    /// Nothing was heard.
    Lost,
}

/// Calls to the backend server beside a runner.
pub trait Backend: fmt::Debug + Send {
    /// Starts a run; the answer goes to `done`.
    fn start(&self, call: StartCall, done: actix::Recipient<StartAnswered>);

    /// Stops a run; whether it was heard goes to `done`.
    fn stop(&self, call: StopCall, done: actix::Recipient<StopAnswered>);

    /// Keeps asking what runs; each answer goes to `done`, which returns the next question.
    fn poll_listings(&self, done: actix::Recipient<ListAnswered>);
}

/// A start was answered.
#[derive(Clone, Debug)]
#[derive(actix::Message)]
#[rtype(result = "()")]
pub struct StartAnswered {
    /// The run.
    pub id: messages::RunId,
    /// The answer.
    pub answer: StartAnswer,
}

/// A stop was answered, or not.
#[derive(Clone, Debug)]
#[derive(actix::Message)]
#[rtype(result = "()")]
pub struct StopAnswered {
    /// The run.
    pub id: messages::RunId,
    /// Whether the backend server has noted it.
    pub is_acknowledged: bool,
}

/// The question what runs was answered; the result is the next question.
#[derive(Clone, Debug)]
#[derive(actix::Message)]
#[rtype(result = "ListCall")]
pub struct ListAnswered {
    /// When the question was sent, on the runner's clock; 0: none was sent yet.
    pub sent_at_ms: u64,
    /// The answer; absent: none was sent yet.
    pub answer: Option<ListAnswer>,
}

/// A backend server announced itself; whether it was the latest word of the latest life.
#[derive(Clone, Debug)]
#[derive(actix::Message)]
#[rtype(result = "bool")]
pub struct Announced(pub Announcement);

/// What a former life of the runner knew of its backend server.
#[derive(Clone, Debug)]
#[derive(actix::Message)]
#[rtype(result = "()")]
pub struct BackendRestored(pub Announcement);

/// A backend server is gone for good.
#[derive(Clone, Debug)]
#[derive(actix::Message)]
#[rtype(result = "()")]
pub struct BackendLeft(pub SmolStr);

/// A runner that the store lists.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Member {
    /// Where it answers entries.
    pub address: SmolStr,
    /// Its availability zone; empty: not told.
    pub zone: SmolStr,
    /// Service of the backend server beside it; empty: not told.
    pub service: SmolStr,
}

/// Every runner that the store lists.
#[derive(Clone, Debug)]
#[derive(actix::Message)]
#[rtype(result = "()")]
pub struct RunnersListed(pub Vec<Member>);

/// Addresses of runners that another entry knows.
#[derive(Clone, Debug)]
#[derive(actix::Message)]
#[rtype(result = "()")]
pub struct RunnersDiscovered(pub Vec<SmolStr>);

/// What operators have asked for, as the store or another process tells.
#[derive(Clone, Debug)]
#[derive(actix::Message)]
#[rtype(result = "()")]
pub struct DirectivesReceived {
    /// The directives.
    pub directives: directives::Directives,
    /// Who told: the store, or another process by its address.
    pub from: SmolStr,
}
