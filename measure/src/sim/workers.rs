//! What runs at a worker, and how fast while its memory is overcommitted.

use bulrushtiller::ids;

/// Memory of a worker, mebibytes.
pub(super) const MEMORY_MIB: u32 = 32_768;

/// All tasks of an overcommitted worker take so many times as long: it pages.
const PAGING: f64 = 3.0;

/// Tells the end that was foreseen last from earlier ones of the same task.
pub(super) type Foreseen = u64;

/// When a task will end, as things stand.
#[derive(Clone, Copy, Debug)]
pub(super) struct End {
    pub(super) attempt: ids::Attempt,
    pub(super) at_us: u64,
    pub(super) run_ms: u32,
    pub(super) is_failed: bool,
    pub(super) foreseen: Foreseen,
}

/// A task that is started.
#[derive(Clone, Copy, Debug)]
pub(super) struct Task {
    pub(super) attempt: ids::Attempt,
    /// Time it needs at full speed.
    pub(super) needs_us: u64,
    pub(super) memory_mib: u32,
    pub(super) run_ms: u32,
    pub(super) is_failed: bool,
}

#[derive(Debug)]
struct Running {
    task: Task,
    left_us: f64,
    foreseen: Foreseen,
}

/// One worker.
#[derive(Debug)]
pub(super) struct Worker {
    running: Vec<Running>,
    slowness: f64,
    since_us: u64,
    next: Foreseen,
}

impl Worker {
    pub(super) const fn new() -> Self {
        Self {
            running: Vec::new(),
            slowness: 1.0,
            since_us: 0,
            next: 0,
        }
    }

    /// Starts a task; returns the ends that have to be foreseen anew, its own among
    /// them.
    pub(super) fn start(&mut self, now_us: u64, task: Task) -> Vec<End> {
        self.advance(now_us);
        self.running.push(Running {
            task,
            left_us: task.needs_us as f64,
            foreseen: 0,
        });
        let is_other = self.change_speed();
        let first = self.running.len() - 1;
        self.foresee(now_us, if is_other { 0 } else { first })
    }

    /// Whether this is the end that was foreseen last.
    pub(super) fn is_end(&self, attempt: ids::Attempt, foreseen: Foreseen) -> bool {
        let mut running = self.running.iter();
        running.any(|one| one.task.attempt == attempt && one.foreseen == foreseen)
    }

    /// Takes a task away; returns its memory and the ends to be foreseen anew.
    pub(super) fn remove(&mut self, now_us: u64, attempt: ids::Attempt) -> (u32, Vec<End>) {
        self.advance(now_us);
        let found = self
            .running
            .iter()
            .position(|one| one.task.attempt == attempt);
        let Some(at) = found else {
            return (0, Vec::new());
        };
        let gone = self.running.remove(at);
        let ends = if self.change_speed() {
            self.foresee(now_us, 0)
        } else {
            Vec::new()
        };
        (gone.task.memory_mib, ends)
    }

    fn advance(&mut self, now_us: u64) {
        let done_us = now_us.saturating_sub(self.since_us) as f64 / self.slowness;
        for one in &mut self.running {
            one.left_us = (one.left_us - done_us).max(0.0);
        }
        self.since_us = now_us;
    }

    /// Says whether the speed is another one now.
    fn change_speed(&mut self) -> bool {
        let tasks = self.running.iter();
        let memory_mib: u32 = tasks.map(|one| one.task.memory_mib).sum();
        let slowness = if memory_mib > MEMORY_MIB { PAGING } else { 1.0 };
        let is_other = (slowness - self.slowness).abs() > f64::EPSILON;
        self.slowness = slowness;
        is_other
    }

    fn foresee(&mut self, now_us: u64, first: usize) -> Vec<End> {
        let mut ends = Vec::new();
        for one in &mut self.running[first..] {
            self.next += 1;
            one.foreseen = self.next;
            ends.push(End {
                attempt: one.task.attempt,
                at_us: now_us + whole(one.left_us * self.slowness),
                run_ms: one.task.run_ms,
                is_failed: one.task.is_failed,
                foreseen: one.foreseen,
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
fn whole(us: f64) -> u64 {
    us.round() as u64
}
