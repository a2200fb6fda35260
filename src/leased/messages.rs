//! What entries and runners say to each other about runs under leases.
//!
//! An entry always has one [`Watch`] open at each runner: it renews the entry's lease,
//! says which runs it still wants, and is answered with a [`Report`] once there is news.
//! [`Order`]s start runs. All times named `*_at_ms` and `*_until_ms` are on the runner's
//! own clock, so no two clocks are ever compared.

use std::fmt;
use std::sync;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::ids;
use crate::leased::directives;
use crate::wire;

/// Where runners answer watches.
pub const WATCH_PATH: &str = "/rmp/v1/leased/watch";

/// Where runners take orders.
pub const ORDER_PATH: &str = "/rmp/v1/leased/order";

/// Where an entry tells another one what it knows.
pub const KNOWN_PATH: &str = "/rmp/v1/leased/known";

/// One run of one task.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct RunId {
    /// The job's id.
    pub job: SmolStr,
    /// The step, counted from 0.
    pub step: u16,
    /// The task within its step, counted from 0.
    pub index: u32,
    /// Counts the task's runs, from 1.
    pub run: u32,
}

impl RunId {
    /// Whether both are runs of one task.
    pub fn is_same_task(&self, other: &Self) -> bool {
        self.job == other.job && self.step == other.step && self.index == other.index
    }
}

impl fmt::Display for RunId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}/{}", self.job, self.step, self.index, self.run)
    }
}

/// Whether a runner takes work.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum Readiness {
    /// It takes work.
    Ready,
    /// It has not yet heard from its backend server, or that one still runs what a former
    /// life of the runner started.
    #[default]
    Starting,
    /// The runner or its backend server is stopping.
    Leaving,
    /// The backend server doesn't answer.
    Unreachable,
}

/// A runner's room and who it is.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Load {
    /// Whether it takes work.
    pub readiness: Readiness,
    /// What the backend server has in all.
    pub size: wire::Resources,
    /// What is taken, by whichever entry.
    pub used: wire::Resources,
    /// What waits there for room, by whichever entry.
    pub line: WaitQueue,
    /// Service of the backend server.
    pub service: SmolStr,
    /// Availability zone of the backend server.
    pub zone: SmolStr,
    /// Labels of the backend server, its rack among them.
    pub labels: sync::Arc<[SmolStr]>,
}

/// Classes of urgency of what waits; see [`crate::leased::dispatch::urgency`].
pub const URGENCY_CLASSES: usize = 5;

/// What waits at a runner for room, by class of urgency.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct WaitQueue {
    /// Thousandths of a core of each class, the most urgent first.
    milli: [u32; URGENCY_CLASSES],
}

impl WaitQueue {
    /// A run joins.
    pub fn add(&mut self, class: u8, milli: u32) {
        self.milli[Self::slot(class)] += milli;
    }

    /// A run leaves.
    pub fn subtract(&mut self, class: u8, milli: u32) {
        let held = &mut self.milli[Self::slot(class)];
        *held = held.saturating_sub(milli);
    }

    /// Thousandths of a core that wait in this class and in those before it.
    pub fn milli_up_to(&self, class: u8) -> u32 {
        self.milli[..=Self::slot(class)].iter().sum()
    }

    /// Thousandths of a core that wait in all.
    pub fn total_milli(&self) -> u32 {
        self.milli.iter().sum()
    }

    /// Another process names the class; one that isn't known goes last.
    fn slot(class: u8) -> usize {
        usize::from(class).min(URGENCY_CLASSES - 1)
    }
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum RunOutcome {
    /// It did its work.
    Done,
    /// It failed.
    Failed,
    /// It was stopped, or its lease lapsed; it runs no more.
    Stopped,
    /// It never started and never will.
    NotStarted,
}

/// The end of a run, numbered for each entry so that none is missed or counted twice.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct End {
    /// Counts from 1.
    pub number: u64,
    /// The run.
    pub id: RunId,
    /// How it ended.
    pub how: RunOutcome,
    /// How long it ran, in milliseconds; 0 if it never started.
    pub ran_ms: u64,
}

/// An entry's question, kept open at a runner until there is news.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Watch {
    /// Always [`wire::VERSION`].
    pub version: u32,
    /// The entry's life.
    pub entry: ids::Incarnation,
    /// The runner's life that is meant; absent at the first contact.
    pub runner: Option<ids::Incarnation>,
    /// A moment on the runner's clock at which the entry lived; absent at the first
    /// contact. Never later than the truth: the last reading heard, plus the time since.
    pub alive_at_ms: Option<u64>,
    /// Ends up to this number have arrived.
    pub acked: u64,
    /// The last order that was sent before this.
    pub ordered: u64,
    /// Runs that the entry wants to go on, of all that it ordered.
    pub wanted: Vec<RunId>,
    /// Whether to answer as soon as there is more room.
    pub wants_room: bool,
    /// Longest wait for news, in milliseconds.
    pub wait_ms: u64,
    /// Where other entries reach this one; absent: nowhere.
    #[serde(default)]
    pub address: Option<SmolStr>,
    /// Position up to which the entry was told what operators ask for.
    pub directives_position: u64,
    /// Version of the configuration that the entry has whole; 0: none.
    #[serde(default)]
    pub configuration: u64,
    /// Where operators' changes stand, if the runner knew less when last heard.
    #[serde(default)]
    pub notice: Option<directives::Notice>,
}

/// A runner's news for one entry.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Report {
    /// Always [`wire::VERSION`].
    pub version: u32,
    /// The runner's life.
    pub runner: ids::Incarnation,
    /// The runner's clock as this was written.
    pub clock_ms: u64,
    /// Grows with each message of this life.
    pub sequence: u64,
    /// Its room.
    pub load: Load,
    /// The entry's runs that the runner holds.
    pub runs: Vec<RunId>,
    /// Of those, the ones that wait for room.
    pub waiting: Vec<RunId>,
    /// Ends that were not acknowledged yet.
    pub ends: Vec<End>,
    /// Position up to which the runner was told what operators ask for.
    pub directives_position: u64,
    /// Where operators' changes stand, if the entry lacks something.
    #[serde(default)]
    pub notice: Option<directives::Notice>,
    /// An entry that has the configuration whole, if the one that asks lacks it.
    #[serde(default)]
    pub holder: Option<SmolStr>,
}

/// One run to start.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Start {
    /// The run.
    pub id: RunId,
    /// What the backend server is told.
    pub spec: sync::Arc<str>,
    /// What it takes.
    pub need: wire::Resources,
    /// Whether and how long it may wait at the runner if there is no room.
    pub wait: Wait,
}

/// How a run may wait at a runner. Times are spans, as no clocks are compared.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Wait {
    /// Longest wait, in milliseconds; 0: it starts at once or is refused.
    pub most_ms: u64,
    /// Its job's class in the line; 0 goes first.
    pub class: u8,
    /// Time left until it should start, in milliseconds.
    pub start_within_ms: u64,
}

impl Wait {
    /// The same urgency, without any wait.
    #[must_use]
    pub const fn without_waiting(self) -> Self {
        Self { most_ms: 0, ..self }
    }
}

/// Runs to start.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Order {
    /// Always [`wire::VERSION`].
    pub version: u32,
    /// The entry's life.
    pub entry: ids::Incarnation,
    /// The runner's life that is meant.
    pub runner: ids::Incarnation,
    /// Counts the orders of this entry to this runner.
    pub number: u64,
    /// A moment on the runner's clock at which the entry lived.
    pub alive_at_ms: u64,
    /// Moment on the runner's clock after which nothing of this may start.
    pub valid_until_ms: u64,
    /// Runs to start.
    pub starts: Vec<Start>,
    /// Runs to stop now; the next watch leaves them out as well, should this be lost.
    pub stops: Vec<RunId>,
}

/// Why a run was not taken in.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum Refusal {
    /// Not enough room.
    Room,
    /// The order came too late, or for another life.
    Late,
    /// The runner or its backend server takes no work now.
    NotReady,
    /// The availability zone is out of service.
    ZoneOut,
    /// The entry has taken it back already.
    Unwanted,
}

/// The answer to an order: what was not taken in; the rest is being started.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct OrderReply {
    /// Always [`wire::VERSION`].
    pub version: u32,
    /// The runner's life.
    pub runner: ids::Incarnation,
    /// The runner's clock as this was written.
    pub clock_ms: u64,
    /// Grows with each message of this life.
    pub sequence: u64,
    /// Its room.
    pub load: Load,
    /// Runs that were not taken in and won't start.
    pub refused: Vec<(RunId, Refusal)>,
}

/// What an entry knows that another one may lack, while the store can't be reached.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Known {
    /// Always [`wire::VERSION`].
    pub version: u32,
    /// Addresses of runners.
    pub runners: Vec<SmolStr>,
    /// The directives in force; absent: none were heard.
    pub directives: Option<sync::Arc<directives::Directives>>,
}
