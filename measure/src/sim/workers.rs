//! Running tasks of a worker, and their slowdown while its memory is overcommitted.

use bulrushtiller::ids;

/// Memory of a worker, mebibytes.
pub(super) const MEMORY_MIB: u32 = 32_768;

/// Run-time factor of all tasks on an overcommitted worker, which pages.
const PAGING_SLOWDOWN: f64 = 3.0;

/// Identifies the latest predicted end of a task; earlier predictions are stale.
pub(super) type PredictionId = u64;

/// Predicted end of a task at the worker's current speed.
#[derive(Clone, Copy, Debug)]
pub(super) struct End {
    pub(super) attempt: ids::Attempt,
    pub(super) at_us: u64,
    pub(super) run_ms: u32,
    pub(super) is_failed: bool,
    pub(super) prediction: PredictionId,
}

/// Task to start.
#[derive(Clone, Copy, Debug)]
pub(super) struct Task {
    pub(super) attempt: ids::Attempt,
    /// Run time at full speed, microseconds.
    pub(super) service_us: u64,
    pub(super) memory_mib: u32,
    pub(super) run_ms: u32,
    pub(super) is_failed: bool,
}

#[derive(Debug)]
struct Running {
    task: Task,
    left_us: f64,
    prediction: PredictionId,
}

/// Simulated worker.
#[derive(Debug)]
pub(super) struct Worker {
    running: Vec<Running>,
    slowdown: f64,
    since_us: u64,
    last_prediction: PredictionId,
}

impl Worker {
    pub(super) const fn new() -> Self {
        Self {
            running: Vec::new(),
            slowdown: 1.0,
            since_us: 0,
            last_prediction: 0,
        }
    }

    /// Starts a task. Returns the ends to schedule: that of the task, and those of all
    /// other tasks if the speed changed.
    pub(super) fn start(&mut self, now_us: u64, task: Task) -> Vec<End> {
        self.advance(now_us);
        self.running.push(Running {
            task,
            left_us: task.service_us as f64,
            prediction: 0,
        });
        let has_changed = self.update_slowdown();
        let first = self.running.len() - 1;
        self.predict_ends(now_us, if has_changed { 0 } else { first })
    }

    /// Whether this is the latest predicted end of the task.
    pub(super) fn is_current_end(&self, attempt: ids::Attempt, prediction: PredictionId) -> bool {
        let mut running = self.running.iter();
        running.any(|active| active.task.attempt == attempt && active.prediction == prediction)
    }

    /// Removes a task. Returns its memory and the ends to reschedule.
    pub(super) fn remove(&mut self, now_us: u64, attempt: ids::Attempt) -> (u32, Vec<End>) {
        self.advance(now_us);
        let found = self
            .running
            .iter()
            .position(|active| active.task.attempt == attempt);
        let Some(at) = found else {
            return (0, Vec::new());
        };
        let removed = self.running.remove(at);
        let ends = if self.update_slowdown() {
            self.predict_ends(now_us, 0)
        } else {
            Vec::new()
        };
        (removed.task.memory_mib, ends)
    }

    fn advance(&mut self, now_us: u64) {
        let done_us = now_us.saturating_sub(self.since_us) as f64 / self.slowdown;
        for active in &mut self.running {
            active.left_us = (active.left_us - done_us).max(0.0);
        }
        self.since_us = now_us;
    }

    /// Updates the slowdown from the memory in use. Returns whether it changed.
    fn update_slowdown(&mut self) -> bool {
        let tasks = self.running.iter();
        let memory_mib: u32 = tasks.map(|active| active.task.memory_mib).sum();
        let slowdown = if memory_mib > MEMORY_MIB {
            PAGING_SLOWDOWN
        } else {
            1.0
        };
        let has_changed = (slowdown - self.slowdown).abs() > f64::EPSILON;
        self.slowdown = slowdown;
        has_changed
    }

    fn predict_ends(&mut self, now_us: u64, first: usize) -> Vec<End> {
        let mut ends = Vec::new();
        for active in &mut self.running[first..] {
            self.last_prediction += 1;
            active.prediction = self.last_prediction;
            ends.push(End {
                attempt: active.task.attempt,
                at_us: now_us + round_us(active.left_us * self.slowdown),
                run_ms: active.task.run_ms,
                is_failed: active.task.is_failed,
                prediction: active.prediction,
            });
        }
        ends
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "run times are small and not negative"
)]
fn round_us(us: f64) -> u64 {
    us.round() as u64
}
