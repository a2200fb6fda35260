//! An open job of an entry.

use std::collections;

use smol_str::SmolStr;

use crate::health;
use crate::leased::dispatch::runners;
use crate::leased::job;
use crate::leased::messages;
use crate::leased::queues;

slotmap::new_key_type! {
    /// A job in the arena of an entry.
    pub struct JobKey;
}

/// Who waits for an answer, by the number that the surroundings gave it.
pub type Waiter = u64;

/// Where a task stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// It waits for room, or for earlier steps.
    Waiting,
    /// It runs at a runner, or is on its way there.
    At(runners::RunnerKey),
    /// It is done.
    Done,
}

/// One task.
#[derive(Clone, Copy, Debug)]
pub struct Task {
    /// Its step.
    pub step: u16,
    /// Its place in the step.
    pub index: u32,
    /// How many runs were ordered.
    pub run: u32,
    /// How many runs failed.
    pub failed: u32,
    /// Where it stands.
    pub state: State,
}

/// An open job.
#[derive(Clone, Debug)]
pub struct Open {
    /// What was handed in.
    pub job: job::Job,
    /// Name of its queue.
    pub queue: SmolStr,
    /// Service whose backend servers run it.
    pub service: SmolStr,
    /// How many queues of its service go before its own, by their priorities.
    pub precedence: u8,
    /// What runs like its tasks, for comparing runners.
    pub kind: health::Kind,
    /// Runs of one task that may end as failed.
    pub max_attempts: u32,
    /// When it came.
    pub arrived_ms: u64,
    /// When its caller is gone.
    pub deadline_ms: u64,
    /// When it should be complete, counted from the caller's first try.
    pub due_ms: u64,
    /// Until when it may wait to begin, if it could be complete by then.
    pub hold_until_ms: u64,
    /// Time that the caller grants in all, in milliseconds.
    pub objective_ms: u64,
    /// Its tasks.
    pub tasks: Vec<Task>,
    /// Tasks of each step that are not done.
    pub left: Vec<u32>,
    /// Whether a run of it has begun, or may have.
    pub has_begun: bool,
    /// Who waits for its answer.
    pub waiters: Vec<Waiter>,
}

impl Open {
    /// Opens a job.
    pub fn new(
        now_ms: u64,
        job: job::Job,
        queue: &queues::Queue,
        timeout_ms: Option<u64>,
        waiter: Waiter,
        kind: health::Kind,
    ) -> Self {
        let objective_ms = objective_ms(job.critical_path_ms(), queue);
        let steps = job.steps.iter().zip(0..);
        let tasks =
            steps.flat_map(|(step, at)| (0..step.tasks).map(move |index| new_task(at, index)));
        Self {
            tasks: tasks.collect(),
            left: job.steps.iter().map(|step| step.tasks).collect(),
            queue: queue.name.clone(),
            service: queue.service.clone(),
            precedence: 0,
            kind,
            max_attempts: queue.max_attempts.max(1),
            arrived_ms: now_ms,
            // A caller knows how much work its job is; the queue's limit is for whoever says nothing.
            deadline_ms: now_ms + timeout_ms.unwrap_or(queue.timeout_ms),
            due_ms: now_ms + objective_ms,
            hold_until_ms: now_ms + objective_ms,
            objective_ms,
            has_begun: false,
            waiters: vec![waiter],
            job,
        }
    }

    /// Its caller has waited for so long before it came.
    ///
    /// That makes the job late sooner. It may wait for room as long as others all the same:
    /// its caller still wants the answer.
    pub const fn note_waited(&mut self, waited_ms: u64) {
        self.due_ms = self.due_ms.saturating_sub(waited_ms);
    }

    /// Tasks that wait and whose earlier steps are complete.
    pub fn ready(&self) -> impl Iterator<Item = usize> {
        let is_open = |task: &Task| {
            let after = &self.job.steps[usize::from(task.step)].after;
            after.iter().all(|&step| self.left[usize::from(step)] == 0)
        };
        let tasks = self.tasks.iter().enumerate();
        tasks
            .filter(move |(_, task)| task.state == State::Waiting && is_open(task))
            .map(|(at, _)| at)
    }

    /// Whether every task is done.
    pub fn is_complete(&self) -> bool {
        self.left.iter().all(|&left| left == 0)
    }

    /// Whether anything of it has run, runs, or is on its way to a runner.
    ///
    /// Orders that a runner refused don't count: nothing of them ran, so the job is still in
    /// line with the others, and its caller can truly be told that nothing did. Counted as
    /// started, it went before all others although it was late, and was held until its
    /// caller's deadline.
    pub fn has_started(&self) -> bool {
        self.has_begun || self.is_running()
    }

    /// Whether anything of it runs or is on its way.
    fn is_running(&self) -> bool {
        self.tasks
            .iter()
            .any(|task| matches!(task.state, State::At(_)))
    }

    /// Names the next run of a task.
    pub fn next_run(&mut self, at: usize) -> messages::RunId {
        self.tasks[at].run += 1;
        self.run_id(at)
    }

    /// Names the current run of a task.
    pub fn run_id(&self, at: usize) -> messages::RunId {
        let task = self.tasks[at];
        messages::RunId {
            job: self.job.id.clone(),
            step: task.step,
            index: task.index,
            run: task.run,
        }
    }

    /// Runs of it by runner, for taking them back.
    pub fn runs(&self) -> collections::HashMap<runners::RunnerKey, Vec<messages::RunId>> {
        let mut runs: collections::HashMap<_, Vec<_>> = collections::HashMap::new();
        for at in 0..self.tasks.len() {
            if let State::At(runner) = self.tasks[at].state {
                runs.entry(runner).or_default().push(self.run_id(at));
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

/// Time that a caller grants: its queue's multiple of the work itself, and some more.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a duration in milliseconds; negative and endless ones saturate"
)]
fn objective_ms(critical_path_ms: u64, queue: &queues::Queue) -> u64 {
    let work_ms = critical_path_ms as f64 * queue.stretch.max(1.0);
    (work_ms as u64).saturating_add(queue.target_ms)
}
