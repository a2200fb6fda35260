//! Submissions: what was taken in, what became of each task, and the one answer.
//!
//! A submission is [`Open`] until every task's fate is decided, and then [`Ended`]
//! for good; a [`summary::Summary`] is all that is left of it after a time. Only what is
//! over has an answer, so an answer is never partial.

pub mod answer;
pub mod due;
pub mod summary;
pub mod table;

use std::collections;

use smol_str::SmolStr;

use crate::api;
use crate::codes;
use crate::ids;
use crate::wire;

pub use table::Key;
pub use table::Table;

/// One task of a submission: small, and copied freely.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct TaskKey {
    /// The submission.
    pub submission: Key,
    /// The task's place in it.
    pub index: u32,
}

/// What is the same for the whole life of a submission.
#[derive(Clone, Debug)]
pub struct Header {
    /// The caller's id for it.
    pub id: ids::SubmissionId,
    /// Who pays and may read the answer.
    pub team: SmolStr,
    /// Tells a repeat from another submission under the same id.
    pub fingerprint: u64,
    /// When it came, monotonic milliseconds.
    pub arrived_ms: u64,
    /// When its answer is due, monotonic milliseconds.
    pub deadline_ms: u64,
    /// Whether a task that may have run may be started again.
    pub is_idempotent: bool,
}

/// How a task of an open submission stands.
#[derive(Clone, Debug, PartialEq)]
pub enum Progress {
    /// It waits at this entry.
    Queued,
    /// It was handed to a runner under this attempt.
    Dispatched(ids::Attempt),
    /// Its fate is decided.
    Decided(Decided),
}

/// A task's fate and what goes with it.
#[derive(Clone, Debug, PartialEq)]
pub struct Decided {
    /// What became of it.
    pub fate: api::TaskOutcome,
    /// Why.
    pub code: codes::Code,
    /// What the backend server answered.
    pub output: String,
    /// Milliseconds it ran for.
    pub run_ms: u64,
    /// Runner and availability zone it ran at, if it did.
    pub place: Option<Place>,
}

/// Where a task ran.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Place {
    /// The runner's name.
    pub runner: SmolStr,
    /// Its availability zone.
    pub zone: SmolStr,
}

impl Decided {
    /// It was not started and never will be.
    pub const fn not_run(code: codes::Code) -> Self {
        Self {
            fate: api::TaskOutcome::NotRun,
            code,
            output: String::new(),
            run_ms: 0,
            place: None,
        }
    }

    /// It may have been started and won't be again.
    pub const fn may_have_run(code: codes::Code, place: Option<Place>) -> Self {
        Self {
            fate: api::TaskOutcome::MayHaveRun,
            code,
            output: String::new(),
            run_ms: 0,
            place,
        }
    }
}

/// A submission whose tasks are not all decided.
#[derive(Clone, Debug)]
pub struct Open {
    /// What stays the same.
    pub header: Header,
    /// What was declared.
    pub tasks: Vec<api::Task>,
    progress: Vec<Progress>,
    undecided: usize,
    give_up_reason: Option<GiveUpReason>,
    lost: collections::BTreeMap<u32, Decided>,
}

/// Why a submission can't complete any more, and since when.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct GiveUpReason {
    /// The first reason.
    pub code: codes::Code,
    /// Monotonic milliseconds.
    pub at_ms: u64,
}

/// A submission that is over, with its answer.
#[derive(Clone, Debug)]
pub struct Ended {
    /// Tells a repeat from another submission under the same id.
    pub fingerprint: u64,
    /// The final answer.
    pub answer: api::Answer,
}

impl Open {
    /// Takes in a submission with all its tasks queued.
    pub fn new(header: Header, tasks: Vec<api::Task>) -> Self {
        let progress = vec![Progress::Queued; tasks.len()];
        let undecided = tasks.len();
        Self {
            header,
            tasks,
            progress,
            undecided,
            give_up_reason: None,
            lost: collections::BTreeMap::new(),
        }
    }

    /// How a task stands.
    pub fn progress(&self, index: u32) -> Option<&Progress> {
        self.progress.get(index as usize)
    }

    /// What was declared for a task.
    pub fn task(&self, index: u32) -> Option<&api::Task> {
        self.tasks.get(index as usize)
    }

    /// All tasks and how they stand.
    pub fn iter_progress(&self) -> impl Iterator<Item = (u32, &Progress)> {
        (0..).zip(&self.progress)
    }

    /// Whether the submission can't complete any more, and why.
    pub const fn give_up_reason(&self) -> Option<GiveUpReason> {
        self.give_up_reason
    }

    /// Gives the submission up; the first reason stands.
    pub const fn give_up(&mut self, at_ms: u64, code: codes::Code) {
        if self.give_up_reason.is_none() {
            self.give_up_reason = Some(GiveUpReason { code, at_ms });
        }
    }

    /// The task was handed to a runner.
    pub fn dispatched(&mut self, index: u32, attempt: ids::Attempt) {
        self.set(index, Progress::Dispatched(attempt));
    }

    /// The task came back unstarted.
    pub fn requeued(&mut self, index: u32) {
        self.set(index, Progress::Queued);
    }

    /// An attempt may have started the task, and the task is to be started again.
    pub fn lost(&mut self, index: u32, code: codes::Code, place: Option<Place>) {
        let decided = Decided::may_have_run(code, place);
        self.lost.insert(index, decided);
        self.requeued(index);
    }

    /// The task's fate is decided; a fate once decided stands.
    ///
    /// A task of which an earlier attempt may have started is never "not run",
    /// whatever became of the attempts after it.
    pub fn decide(&mut self, now_ms: u64, index: u32, decided: Decided) {
        let decided = match self.lost.get(&index) {
            Some(lost) if decided.fate == api::TaskOutcome::NotRun => lost.clone(),
            _ => decided,
        };
        if !matches!(decided.fate, api::TaskOutcome::Ran) {
            self.give_up(now_ms, decided.code);
        }
        self.set(index, Progress::Decided(decided));
    }

    fn set(&mut self, index: u32, progress: Progress) {
        let Some(slot) = self.progress.get_mut(index as usize) else {
            return;
        };
        if matches!(slot, Progress::Decided(_)) {
            return;
        }
        if matches!(progress, Progress::Decided(_)) {
            self.undecided -= 1;
        }
        *slot = progress;
    }

    /// Whether every task's fate is decided.
    pub const fn is_decided(&self) -> bool {
        self.undecided == 0
    }

    /// The end of the submission, once every task is decided.
    pub fn end(&self, now_ms: u64) -> Option<Ended> {
        if !self.is_decided() {
            return None;
        }
        let answer = answer::compose(self, now_ms);
        Some(Ended {
            fingerprint: self.header.fingerprint,
            answer,
        })
    }
}

impl From<&api::Task> for wire::Resources {
    fn from(task: &api::Task) -> Self {
        Self {
            cpu_milli: task.cpu_milli,
            memory_mib: task.memory_mib,
            accelerators: task.accelerators,
        }
    }
}
