//! Open jobs of an entry.

use std::collections;

use smol_str::SmolStr;

use crate::health;
use crate::leased::dispatch::placement;
use crate::leased::dispatch::runners;
use crate::leased::job;
use crate::leased::messages;
use crate::leased::queues;
use crate::wire;

slotmap::new_key_type! {
    /// Key of an open job.
    pub struct JobKey;
}

/// Number by which the entry's control thread knows a caller that awaits an answer.
pub type Waiter = u64;

/// State of a task.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// Waits for capacity or for earlier steps.
    Waiting,
    /// Runs at a runner, or its order is in flight.
    Assigned(runners::RunnerKey),
    /// Has completed.
    Done,
}

/// Task of an open job.
#[derive(Clone, Copy, Debug)]
pub struct Task {
    /// Step that the task belongs to.
    pub step: u16,
    /// Index of the task within its step.
    pub index: u32,
    /// Number of runs ordered so far.
    pub run: u32,
    /// Number of runs that failed.
    pub failed: u32,
    /// Current state.
    pub state: State,
}

/// Job that its entry has accepted and not yet answered.
#[derive(Clone, Debug)]
pub struct OpenJob {
    /// Job as submitted.
    pub job: job::Job,
    /// Name of its queue.
    pub queue: SmolStr,
    /// Service whose backend servers run the tasks.
    pub service: SmolStr,
    /// Number of distinct priorities of the service's queues that come before this queue's.
    pub precedence: u8,
    /// Kind of the tasks, by which runners are compared.
    pub kind: health::Kind,
    /// Number of failed runs of one task after which the job fails.
    pub max_attempts: u32,
    /// Time of arrival.
    pub arrived_ms: u64,
    /// Time at which the caller stops waiting.
    pub deadline_ms: u64,
    /// Time by which the job should complete, counted from the caller's first attempt.
    pub due_ms: u64,
    /// Latest completion time; a job that has not started and cannot complete by then is refused.
    pub hold_until_ms: u64,
    /// Time that the caller allows from arrival to completion, in milliseconds.
    pub objective_ms: u64,
    /// Tasks of all steps.
    pub tasks: Vec<Task>,
    /// Number of unfinished tasks, by step.
    pub unfinished: Vec<u32>,
    /// Whether a run has started, or may have.
    pub may_have_run: bool,
    /// Callers that await the answer.
    pub waiters: Vec<Waiter>,
}

impl OpenJob {
    /// Creates an open job that arrived at `now_ms`.
    pub fn new(
        now_ms: u64,
        job: job::Job,
        queue: &queues::Queue,
        timeout_ms: Option<u64>,
        waiter: Waiter,
        kind: health::Kind,
    ) -> Self {
        let objective_ms = objective_ms(job.critical_path_ms(), queue);
        let timeout_ms = timeout_ms.unwrap_or(queue.timeout_ms);
        let steps = job.steps.iter().zip(0..);
        let tasks = steps
            .flat_map(|(step, number)| (0..step.tasks).map(move |index| new_task(number, index)));
        Self {
            tasks: tasks.collect(),
            unfinished: job.steps.iter().map(|step| step.tasks).collect(),
            queue: queue.name.clone(),
            service: queue.service.clone(),
            precedence: 0,
            kind,
            max_attempts: queue.max_attempts.max(1),
            arrived_ms: now_ms,
            // The caller knows the size of its job; the queue's limit is only the default.
            deadline_ms: now_ms + timeout_ms.min(job::MAX_TIME_MS),
            due_ms: now_ms + objective_ms,
            hold_until_ms: now_ms + objective_ms,
            objective_ms,
            may_have_run: false,
            waiters: vec![waiter],
            job,
        }
    }

    /// Makes the job due earlier by the time that its caller waited before this attempt.
    ///
    /// The job counts as late sooner, but may wait for capacity as long as others: its caller
    /// still wants the answer.
    pub const fn add_prior_wait(&mut self, waited_ms: u64) {
        self.due_ms = self.due_ms.saturating_sub(waited_ms);
    }

    /// Returns the indices of waiting tasks whose earlier steps are complete.
    pub fn ready_tasks(&self) -> impl Iterator<Item = usize> {
        let is_ready = |task: &Task| {
            let after = &self.job.steps[usize::from(task.step)].after;
            after
                .iter()
                .all(|&step| self.unfinished[usize::from(step)] == 0)
        };
        let tasks = self.tasks.iter().enumerate();
        tasks
            .filter(move |(_, task)| task.state == State::Waiting && is_ready(task))
            .map(|(task_index, _)| task_index)
    }

    /// Returns the resources that a task takes.
    pub fn need(&self, task_index: usize) -> wire::Resources {
        self.job.steps[usize::from(self.tasks[task_index].step)].need
    }

    /// Returns whether every task has completed.
    pub fn is_complete(&self) -> bool {
        self.unfinished.iter().all(|&count| count == 0)
    }

    /// Returns whether anything of the job has run, runs, or is in flight to a runner.
    ///
    /// Orders that a runner refused don't count. Nothing of them ran, so the job keeps its rank
    /// among the waiting jobs, and its caller can be told that nothing ran. If they counted, a late
    /// job would go before all others and be held until its caller's deadline.
    pub fn has_started(&self) -> bool {
        self.may_have_run || self.has_active_run()
    }

    /// Returns whether any task runs or is in flight to a runner.
    fn has_active_run(&self) -> bool {
        self.tasks
            .iter()
            .any(|task| matches!(task.state, State::Assigned(_)))
    }

    /// Returns how many tasks of each limited step run, wait or are in flight at each runner.
    pub fn placed_by_step(&self) -> placement::Counts {
        let is_limited =
            |task: &&Task| self.job.steps[usize::from(task.step)].max_per_server != u32::MAX;
        let mut counts = placement::Counts::new();
        for task in self.tasks.iter().filter(is_limited) {
            if let State::Assigned(runner) = task.state {
                *counts.entry((task.step, runner)).or_default() += 1;
            }
        }
        counts
    }

    /// Starts a new run number for a task and returns the id of that run.
    pub fn next_run_id(&mut self, task_index: usize) -> messages::RunId {
        self.tasks[task_index].run += 1;
        self.run_id(task_index)
    }

    /// Returns the id of a task's current run.
    pub fn run_id(&self, task_index: usize) -> messages::RunId {
        let task = self.tasks[task_index];
        messages::RunId {
            job: self.job.id.clone(),
            step: task.step,
            index: task.index,
            run: task.run,
        }
    }

    /// Returns the runner at which a task runs or to which its order is in flight.
    pub fn assigned_runner(&self, task_index: usize) -> Option<runners::RunnerKey> {
        match self.tasks[task_index].state {
            State::Assigned(runner) => Some(runner),
            State::Waiting | State::Done => None,
        }
    }

    /// Returns the ids of all runs that are placed, by runner.
    pub fn runs_by_runner(
        &self,
    ) -> collections::BTreeMap<runners::RunnerKey, Vec<messages::RunId>> {
        let mut runs: collections::BTreeMap<_, Vec<_>> = collections::BTreeMap::new();
        for task_index in 0..self.tasks.len() {
            if let State::Assigned(runner) = self.tasks[task_index].state {
                runs.entry(runner)
                    .or_default()
                    .push(self.run_id(task_index));
            }
        }
        runs
    }
}

const fn new_task(step: u16, index: u32) -> Task {
    Task {
        step,
        index,
        run: 0,
        failed: 0,
        state: State::Waiting,
    }
}

/// Returns the time allowed for a job: a multiple of its critical path plus a constant, both
/// from its queue.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a duration in milliseconds; negative and endless ones saturate"
)]
fn objective_ms(critical_path_ms: u64, queue: &queues::Queue) -> u64 {
    let work_ms = critical_path_ms as f64 * queue.stretch.max(1.0);
    let objective_ms = (work_ms as u64).saturating_add(queue.target_ms);
    objective_ms.min(job::MAX_TIME_MS)
}
