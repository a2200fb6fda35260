//! Messages between entries and runners about runs under leases.
//!
//! An entry keeps one [`Watch`] open at each runner. The watch renews the entry's lease and
//! lists the runs that the entry still wants; the runner answers it with a [`Report`] as soon
//! as there is an update. [`Order`]s start runs. All times named `*_at_ms` and `*_until_ms` are
//! on the runner's clock, so that no two clocks are compared.

use std::fmt;
use std::str;
use std::sync;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::ids;
use crate::leased::directives;
use crate::leased::ports;
use crate::wire;

/// Path at which runners answer watches.
pub const WATCH_PATH: &str = "/rmp/v1/leased/watch";

/// Path at which runners accept orders.
pub const ORDER_PATH: &str = "/rmp/v1/leased/order";

/// Path at which an entry serves its runner addresses and directives to other entries.
pub const KNOWN_PATH: &str = "/rmp/v1/leased/known";

/// Identifies one run of one task.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct RunId {
    /// The job's id.
    pub job: SmolStr,
    /// Index of the step, from 0.
    pub step: u16,
    /// Index of the task within its step, from 0.
    pub index: u32,
    /// Number of the run of this task, from 1.
    pub run: u32,
}

impl RunId {
    /// Returns whether both are runs of the same task.
    pub fn is_same_task(&self, other: &Self) -> bool {
        self.job == other.job && self.step == other.step && self.index == other.index
    }
}

impl fmt::Display for RunId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}/{}", self.job, self.step, self.index, self.run)
    }
}

quick_error! {
    /// Error of parsing the id of a run.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum RunIdError {
        /// The text does not have the form JOB.STEP.INDEX/RUN.
        Form {
            display("the id of a run has the form JOB.STEP.INDEX/RUN")
        }
    }
}

impl str::FromStr for RunId {
    type Err = RunIdError;

    fn from_str(text: &str) -> Result<Self, RunIdError> {
        let parse = || {
            let (task, run) = text.rsplit_once('/')?;
            let (task, index) = task.rsplit_once('.')?;
            let (job, step) = task.rsplit_once('.')?;
            Some(Self {
                job: SmolStr::new(job),
                step: step.parse().ok()?,
                index: index.parse().ok()?,
                run: run.parse().ok()?,
            })
        };
        parse().ok_or(RunIdError::Form)
    }
}

/// Whether a runner accepts orders.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum Readiness {
    /// The runner accepts orders.
    Ready,
    /// The runner has not received anything from its backend server yet, or the backend server
    /// still runs tasks that a former incarnation of the runner started.
    #[default]
    Starting,
    /// The runner or its backend server is stopping.
    Leaving,
    /// The backend server does not answer.
    Unreachable,
}

/// Capacity and description of a runner and its backend server.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Load {
    /// Whether the runner accepts orders.
    pub readiness: Readiness,
    /// Total resources of the backend server.
    pub size: wire::Resources,
    /// Resources in use by the runs of all entries.
    pub used: wire::Resources,
    /// Runs of all entries that wait for capacity.
    pub line: WaitQueue,
    /// Service of the backend server.
    pub service: SmolStr,
    /// Availability zone of the backend server.
    pub zone: SmolStr,
    /// Labels of the backend server, including its rack.
    pub labels: sync::Arc<[SmolStr]>,
    /// How the runs of all entries ended.
    #[serde(default)]
    pub results: wire::ResultCounts,
}

/// Number of urgency classes of waiting runs; see [`crate::leased::dispatch::urgency`].
pub const URGENCY_CLASSES: usize = 5;

/// Processor time requested by the runs that wait at a runner, by urgency class.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct WaitQueue {
    /// Thousandths of a core in each class, the most urgent class first.
    milli: [u32; URGENCY_CLASSES],
}

impl WaitQueue {
    /// Adds a run of `milli` thousandths of a core.
    pub fn add(&mut self, class: u8, milli: u32) {
        let class_milli = &mut self.milli[Self::slot(class)];
        *class_milli = class_milli.saturating_add(milli);
    }

    /// Subtracts a run of `milli` thousandths of a core.
    pub fn subtract(&mut self, class: u8, milli: u32) {
        let class_milli = &mut self.milli[Self::slot(class)];
        *class_milli = class_milli.saturating_sub(milli);
    }

    /// Returns the thousandths of a core that wait in this class and in more urgent ones.
    pub fn milli_up_to(&self, class: u8) -> u32 {
        let classes = self.milli[..=Self::slot(class)].iter();
        classes.copied().fold(0, u32::saturating_add)
    }

    /// Returns the thousandths of a core that wait in all classes.
    pub fn total_milli(&self) -> u32 {
        self.milli.iter().copied().fold(0, u32::saturating_add)
    }

    /// Returns the index of a class; the class is set by another process, and an unknown one
    /// counts as the least urgent.
    fn slot(class: u8) -> usize {
        usize::from(class).min(URGENCY_CLASSES - 1)
    }
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum RunOutcome {
    /// The run completed.
    Done,
    /// The run failed.
    Failed,
    /// The run was stopped, or its lease expired; it is no longer running.
    Stopped,
    /// The run did not start and never will.
    NotStarted,
}

/// The end of a run, numbered per entry so that each is counted exactly once.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct End {
    /// Sequence number, from 1.
    pub number: u64,
    /// The run.
    pub id: RunId,
    /// How the run ended.
    pub how: RunOutcome,
    /// Run time in milliseconds; 0 if the run never started.
    pub ran_ms: u64,
}

/// A long poll of an entry, which the runner answers when there is an update.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Watch {
    /// Always [`wire::VERSION`].
    pub version: u32,
    /// Incarnation of the entry.
    pub entry: ids::Incarnation,
    /// Expected incarnation of the runner; absent at the first contact.
    pub runner: Option<ids::Incarnation>,
    /// Time on the runner's clock at which the entry was alive; absent at the first contact.
    ///
    /// It is the last reading received plus the time since, so it is never too late.
    pub alive_at_ms: Option<u64>,
    /// Number of the last [`End`] received.
    pub acked: u64,
    /// Number of the last order sent before this watch.
    pub ordered: u64,
    /// Runs that should continue, of all that the entry has ordered.
    pub wanted: Vec<RunId>,
    /// Whether to answer as soon as more capacity is free.
    pub wants_room: bool,
    /// Least free capacity that is of use, in thousandths of a core; 0 if space in the wait queue
    /// is, too.
    #[serde(default)]
    pub wanted_milli: u32,
    /// Longest wait for an update, in milliseconds.
    pub wait_ms: u64,
    /// Address of the entry for other entries; absent if it has none.
    #[serde(default)]
    pub address: Option<SmolStr>,
    /// Position of the latest directives that the entry has been notified of.
    pub directives_position: u64,
    /// Version of the complete configuration at the entry; 0 if there is none.
    #[serde(default)]
    pub configuration: u64,
    /// The latest notice, if the runner last reported an older one.
    #[serde(default)]
    pub notice: Option<directives::Notice>,
}

/// A runner's answer to the watch of one entry.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Report {
    /// Always [`wire::VERSION`].
    pub version: u32,
    /// Incarnation of the runner.
    pub runner: ids::Incarnation,
    /// The runner's clock when the report was written.
    pub clock_ms: u64,
    /// Sequence number of the message, increasing within an incarnation.
    pub sequence: u64,
    /// Capacity of the runner.
    pub load: Load,
    /// Runs of the entry that the runner holds.
    pub runs: Vec<RunId>,
    /// Those of `runs` that wait for capacity.
    pub waiting: Vec<RunId>,
    /// Ends that the entry has not acknowledged yet.
    pub ends: Vec<End>,
    /// Position of the latest directives that the runner has been notified of.
    pub directives_position: u64,
    /// The latest notice, if the entry has an older one.
    #[serde(default)]
    pub notice: Option<directives::Notice>,
    /// Address of an entry that has the complete configuration, if the watching entry does not.
    #[serde(default)]
    pub holder: Option<SmolStr>,
}

/// A run to start.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Start {
    /// The run.
    pub id: RunId,
    /// Specification of the work for the backend server.
    pub spec: sync::Arc<str>,
    /// Resources that the run requires.
    pub need: wire::Resources,
    /// Whether and how long the run may wait at the runner for capacity.
    pub wait: Wait,
    /// Declared run time, in milliseconds; 0 if unknown.
    #[serde(default)]
    pub expected_ms: u64,
    /// Label that the backend server must have.
    #[serde(default)]
    pub label: Option<SmolStr>,
}

/// Wait allowed to a run for which there was free capacity when it was ordered, in milliseconds.
///
/// Another entry's order may arrive first. On a full backend server a run often ends within this
/// time, so that fewer such runs have to be refused and ordered again.
pub const BRIEF_WAIT_MS: u64 = 15;

/// How a run may wait at a runner. Times are durations, as no clocks are compared.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Wait {
    /// Longest wait, in milliseconds; 0 if the run starts immediately or is refused.
    pub most_ms: u64,
    /// Urgency class of the job in the wait queue; 0 is the most urgent.
    pub class: u8,
    /// Time left until the run should start, in milliseconds.
    pub start_within_ms: u64,
}

impl Wait {
    /// Returns the same urgency with permission to wait for [`BRIEF_WAIT_MS`].
    #[must_use]
    pub const fn briefly(self) -> Self {
        Self {
            most_ms: BRIEF_WAIT_MS,
            ..self
        }
    }
}

/// An entry's order to start and stop runs.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Order {
    /// Always [`wire::VERSION`].
    pub version: u32,
    /// Incarnation of the entry.
    pub entry: ids::Incarnation,
    /// Expected incarnation of the runner.
    pub runner: ids::Incarnation,
    /// Sequence number of the order from this entry to this runner.
    pub number: u64,
    /// Time on the runner's clock at which the entry was alive.
    pub alive_at_ms: u64,
    /// Time on the runner's clock after which nothing in this order may start.
    pub valid_until_ms: u64,
    /// Runs to start.
    pub starts: Vec<Start>,
    /// Runs to stop now; the next watch omits them as well, in case this order is lost.
    pub stops: Vec<RunId>,
}

/// Why a runner refused a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum Refusal {
    /// Not enough free capacity.
    Room,
    /// The order arrived too late, or was meant for another incarnation.
    Late,
    /// The runner or its backend server does not accept work at present.
    NotReady,
    /// The availability zone is out of service.
    ZoneOut,
    /// The entry has already withdrawn the run.
    Unwanted,
    /// The backend server lacks the label that the run requires.
    Label,
}

/// A runner's reply to an order. Runs that it does not list as refused are being started.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct OrderReply {
    /// Always [`wire::VERSION`].
    pub version: u32,
    /// Incarnation of the runner.
    pub runner: ids::Incarnation,
    /// The runner's clock when the reply was written.
    pub clock_ms: u64,
    /// Sequence number of the message, increasing within an incarnation.
    pub sequence: u64,
    /// Capacity of the runner.
    pub load: Load,
    /// Runs that were refused and will not start.
    pub refused: Vec<(RunId, Refusal)>,
}

/// Runner addresses and directives that an entry sends to another one that can't reach the store.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Known {
    /// Always [`wire::VERSION`].
    pub version: u32,
    /// Addresses of runners.
    pub runners: Vec<SmolStr>,
    /// The directives in force; absent if the entry has received none.
    pub directives: Option<sync::Arc<directives::Directives>>,
    /// Entries, the answering one included.
    #[serde(default)]
    pub entries: Vec<ports::Peer>,
}
