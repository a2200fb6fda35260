//! Submissions: their tasks, the progress of each task and the final answer.
//!
//! A submission is [`Open`] until the outcome of every task is decided, and [`Ended`] from
//! then on; later it is reduced to a [`summary::Summary`]. Only an ended submission has a
//! final answer, so that an answer is never partial.

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

/// Identifies one task of a submission.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct TaskKey {
    /// The submission.
    pub submission: Key,
    /// Index of the task in the submission.
    pub index: u32,
}

/// Properties of a submission that never change.
#[derive(Clone, Debug)]
pub struct Header {
    /// Id under which callers know it.
    pub id: ids::SubmissionId,
    /// Team that is charged and may read the answer.
    pub team: SmolStr,
    /// Hash of the content; distinguishes a repeat from another submission with the same id.
    pub fingerprint: u64,
    /// Arrival time in monotonic milliseconds.
    pub arrived_ms: u64,
    /// Deadline for the answer in monotonic milliseconds.
    pub deadline_ms: u64,
    /// Whether tasks that may have run can be started again.
    pub is_idempotent: bool,
}

/// Progress of a task of an open submission.
#[derive(Clone, Debug, PartialEq)]
pub enum Progress {
    /// Waits at this entry.
    Queued,
    /// Sent to a runner as this attempt.
    Dispatched(ids::Attempt),
    /// Has its final outcome.
    Decided(Decided),
}

/// Final outcome of a task.
#[derive(Clone, Debug, PartialEq)]
pub struct Decided {
    /// Class of the outcome.
    pub task_outcome: api::TaskOutcome,
    /// Result code.
    pub code: codes::Code,
    /// Output of the backend server.
    pub output: String,
    /// Run time in milliseconds.
    pub run_ms: u64,
    /// Runner and availability zone where it ran, if it did.
    pub place: Option<Place>,
}

/// Runner and availability zone where a task ran.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Place {
    /// Name of the runner.
    pub runner: SmolStr,
    /// Availability zone of the runner.
    pub zone: SmolStr,
}

impl Decided {
    /// Returns the outcome of a task that was not started and never will be.
    pub const fn not_run(code: codes::Code) -> Self {
        Self {
            task_outcome: api::TaskOutcome::NotRun,
            code,
            output: String::new(),
            run_ms: 0,
            place: None,
        }
    }

    /// Returns the outcome of a task that may have been started and is not started again.
    pub const fn may_have_run(code: codes::Code, place: Option<Place>) -> Self {
        Self {
            task_outcome: api::TaskOutcome::MayHaveRun,
            code,
            output: String::new(),
            run_ms: 0,
            place,
        }
    }
}

/// A submission that has undecided tasks.
#[derive(Clone, Debug)]
pub struct Open {
    /// Properties that never change.
    pub header: Header,
    /// Tasks as declared by the caller.
    pub tasks: Vec<api::Task>,
    progress: Vec<Progress>,
    undecided: usize,
    give_up_reason: Option<GiveUpReason>,
    /// Outcomes of lost attempts that may have started their task, by task index.
    lost: collections::BTreeMap<u32, Decided>,
}

/// Why a submission can no longer complete, and since when.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct GiveUpReason {
    /// Result code of the first reason.
    pub code: codes::Code,
    /// Time in monotonic milliseconds.
    pub at_ms: u64,
}

/// A submission that has ended, with its final answer.
#[derive(Clone, Debug)]
pub struct Ended {
    /// Hash of the content; distinguishes a repeat from another submission with the same id.
    pub fingerprint: u64,
    /// The final answer.
    pub answer: api::Answer,
}

impl Open {
    /// Creates a submission with all tasks queued.
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

    /// Returns the progress of a task.
    pub fn progress(&self, index: u32) -> Option<&Progress> {
        self.progress.get(index as usize)
    }

    /// Returns a task as declared by the caller.
    pub fn task(&self, index: u32) -> Option<&api::Task> {
        self.tasks.get(index as usize)
    }

    /// Iterates over the task indices and their progress.
    pub fn iter_progress(&self) -> impl Iterator<Item = (u32, &Progress)> {
        (0..).zip(&self.progress)
    }

    /// Returns why the submission can no longer complete, if it was given up.
    pub const fn give_up_reason(&self) -> Option<GiveUpReason> {
        self.give_up_reason
    }

    /// Gives the submission up; only the first reason is kept.
    pub const fn give_up(&mut self, at_ms: u64, code: codes::Code) {
        if self.give_up_reason.is_none() {
            self.give_up_reason = Some(GiveUpReason { code, at_ms });
        }
    }

    /// Records that a task was sent to a runner.
    pub fn dispatched(&mut self, index: u32, attempt: ids::Attempt) {
        self.set_progress(index, Progress::Dispatched(attempt));
    }

    /// Records that a task came back unstarted and waits again.
    pub fn requeued(&mut self, index: u32) {
        self.set_progress(index, Progress::Queued);
    }

    /// Records that an attempt was lost that may have started the task, and requeues the task.
    pub fn lost(&mut self, index: u32, code: codes::Code, place: Option<Place>) {
        let decided = Decided::may_have_run(code, place);
        self.lost.insert(index, decided);
        self.requeued(index);
    }

    /// Records the final outcome of a task; later outcomes of the same task are ignored.
    ///
    /// A task that an earlier attempt may have started never ends as "not run", however the
    /// later attempts ended.
    pub fn decide(&mut self, now_ms: u64, index: u32, decided: Decided) {
        let decided = match self.lost.get(&index) {
            Some(lost) if decided.task_outcome == api::TaskOutcome::NotRun => lost.clone(),
            _ => decided,
        };
        if !matches!(decided.task_outcome, api::TaskOutcome::Ran) {
            self.give_up(now_ms, decided.code);
        }
        self.set_progress(index, Progress::Decided(decided));
    }

    fn set_progress(&mut self, index: u32, progress: Progress) {
        let Some(current) = self.progress.get_mut(index as usize) else {
            return;
        };
        if matches!(current, Progress::Decided(_)) {
            return;
        }
        if matches!(progress, Progress::Decided(_)) {
            self.undecided -= 1;
        }
        *current = progress;
    }

    /// Whether every task has its final outcome.
    pub const fn is_decided(&self) -> bool {
        self.undecided == 0
    }

    /// Returns the ended submission, or `None` while tasks are undecided.
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
