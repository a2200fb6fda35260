//! Chooses runners for the tasks of a job.
//!
//! Jobs are placed in order of urgency, jobs that have started first. A job of the most urgent
//! queue starts with whichever tasks fit, because everything else yields to the rest of it. Any
//! other job starts only if all its tasks fit. Under overload, a partly started job would hold
//! capacity for tasks whose answer is late anyway for want of the last one.
//!
//! Runners in the entry's own availability zone come first, since traffic between zones costs
//! money and has a higher latency. Among those, each entry goes through the runners in an order
//! of its own and takes the first one with free capacity.
//!
//! An entry's view of other entries' work is up to one watch old. If all entries used the same
//! criterion, such as best fit, they would choose the same runner, and all but one would be
//! refused. With its own order, an entry fills runners that others leave alone, so that most of
//! the work there is its own and known to it.

use std::collections;
use std::sync;

use smol_str::SmolStr;

use crate::leased::dispatch::headroom;
use crate::leased::dispatch::runners;
use crate::leased::dispatch::urgency;
use crate::leased::messages;
use crate::wire;

/// Divisor of a backend server's size that gives the capacity a late job has to leave free.
///
/// That is two or three tasks, about as many as arrive before the next report.
const SPARE_DIVISOR: u32 = 4;

/// Runner that may receive tasks.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Key of the runner.
    pub key: runners::RunnerKey,
    /// Free capacity.
    pub free: wire::Resources,
    /// Total processor time of the backend server, in thousandths of a core.
    pub size_milli: u32,
    /// Free space in the runner's wait queue for each urgency class, in thousandths of a core.
    pub queue_free_milli: [u32; messages::URGENCY_CLASSES],
    /// Space in the wait queue taken during this placement, in thousandths of a core.
    pub queue_taken_milli: u32,
    /// Share of the capacity that less urgent jobs leave free.
    pub headroom_share: f64,
    /// Whether any other runner is preferred because tasks fail or run slowly here.
    pub is_suspect: bool,
    /// Number of further tasks that the runner may receive.
    pub task_allowance: u32,
    /// Whether the runner is in the entry's own availability zone.
    pub is_same_zone: bool,
    /// Position in the entry's own order of runners; the lowest comes first.
    pub preference: u64,
    /// Labels of the backend server.
    pub labels: sync::Arc<[SmolStr]>,
}

/// Requirements of one task.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Index of the task in its job.
    pub task: usize,
    /// Step of the task, to which `max_per_server` applies.
    pub step: u16,
    /// Resources that the task takes.
    pub need: wire::Resources,
    /// Label that the backend server must have.
    pub label: Option<&'a SmolStr>,
    /// Rack close to the task's data.
    pub rack: Option<&'a SmolStr>,
    /// Maximum number of tasks of the step on one backend server.
    pub max_per_server: u32,
    /// Whether the task may wait for capacity at a runner.
    pub may_wait: bool,
    /// Urgency class of the job.
    pub class: u8,
    /// Whether the task may use the headroom for the most urgent queue.
    pub uses_headroom: bool,
}

/// Runner chosen for a task.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Target {
    /// Index of the task in its job.
    pub task: usize,
    /// Key of the runner.
    pub runner: runners::RunnerKey,
    /// Whether the task has to wait there for capacity.
    pub waits: bool,
}

/// Number of tasks of a step that run, wait or are in flight at each runner.
pub type Counts = collections::HashMap<(u16, runners::RunnerKey), u32>;

/// Places all requested tasks, or none of them; see [`place`].
pub fn place_all(
    requests: &[Request<'_>],
    candidates: &mut [Candidate],
    counts: Counts,
) -> Vec<Target> {
    let placed = place(requests, candidates, counts);
    if placed.len() == requests.len() {
        return placed;
    }
    for target in placed {
        let request = requests.iter().find(|request| request.task == target.task);
        let holder = candidates
            .iter_mut()
            .find(|candidate| candidate.key == target.runner);
        if let (Some(request), Some(candidate)) = (request, holder) {
            candidate.release(&request.need, target.waits);
        }
    }
    Vec::new()
}

/// Places as many tasks as fit or may wait, and reserves their capacity in the candidates.
///
/// `counts` holds the tasks of the job's steps that were placed before.
pub fn place(
    requests: &[Request<'_>],
    candidates: &mut [Candidate],
    mut counts: Counts,
) -> Vec<Target> {
    let mut placed = Vec::with_capacity(requests.len());
    let mut exhausted_step = None;
    for request in requests {
        if exhausted_step == Some(request.step) {
            // All tasks of a step have the same requirements, so the others don't fit either. Under
            // overload most requests end here.
            continue;
        }
        let Some((index, waits)) = select(request, candidates, &counts) else {
            exhausted_step = Some(request.step);
            continue;
        };
        let best = &mut candidates[index];
        best.reserve(&request.need, waits);
        *counts.entry((request.step, best.key)).or_default() += 1;
        placed.push(Target {
            task: request.task,
            runner: best.key,
            waits,
        });
    }
    placed
}

/// Returns the index of the best candidate for a task, and whether the task has to wait there.
///
/// A candidate with free capacity goes before one with space in its wait queue.
fn select(
    request: &Request<'_>,
    candidates: &[Candidate],
    counts: &Counts,
) -> Option<(usize, bool)> {
    let has_capacity = |candidate: &Candidate| candidate.has_capacity_for(request);
    if let Some(index) = preferred(request, candidates, counts, has_capacity) {
        return Some((index, false));
    }
    if !request.may_wait {
        return None;
    }
    let has_queue_space = |candidate: &Candidate| candidate.can_queue(request);
    preferred(request, candidates, counts, has_queue_space).map(|index| (index, true))
}

fn preferred(
    request: &Request<'_>,
    candidates: &[Candidate],
    counts: &Counts,
    is_eligible: impl Fn(&Candidate) -> bool,
) -> Option<usize> {
    let all = candidates.iter().enumerate();
    let fitting =
        all.filter(|(_, candidate)| is_eligible(candidate) && request.allows(candidate, counts));
    let preferred = fitting.min_by_key(|(_, candidate)| request.sort_key(candidate))?;
    Some(preferred.0)
}

/// Returns the capacity that a task of a class has to leave free at a backend server, in
/// thousandths of a core.
pub fn spare_milli(class: u8, headroom_share: f64, size_milli: u32, need_milli: u32) -> u32 {
    if urgency::uses_spare_capacity_only(class) {
        size_milli / SPARE_DIVISOR
    } else if urgency::leaves_headroom(class) {
        headroom::reserve_milli(headroom_share, size_milli, need_milli)
    } else {
        0
    }
}

impl Candidate {
    fn reserve(&mut self, need: &wire::Resources, waits: bool) {
        if waits {
            self.queue_taken_milli = self.queue_taken_milli.saturating_add(need.cpu_milli);
        } else {
            self.free = self.free.minus(need);
        }
        self.task_allowance -= 1;
    }

    fn release(&mut self, need: &wire::Resources, waits: bool) {
        if waits {
            self.queue_taken_milli = self.queue_taken_milli.saturating_sub(need.cpu_milli);
        } else {
            self.free = self.free.plus(need);
        }
        self.task_allowance += 1;
    }

    fn has_capacity_for(&self, request: &Request<'_>) -> bool {
        let headroom_share = if request.uses_headroom {
            0.0
        } else {
            self.headroom_share
        };
        let spare_milli = spare_milli(
            request.class,
            headroom_share,
            self.size_milli,
            request.need.cpu_milli,
        );
        request.need.fits_in(&self.free)
            && self.free.cpu_milli >= request.need.cpu_milli.saturating_add(spare_milli)
    }

    fn can_queue(&self, request: &Request<'_>) -> bool {
        let class = usize::from(request.class).min(messages::URGENCY_CLASSES - 1);
        self.queue_free_milli[class]
            >= self
                .queue_taken_milli
                .saturating_add(request.need.cpu_milli)
    }
}

impl Request<'_> {
    fn allows(&self, candidate: &Candidate, counts: &Counts) -> bool {
        let has_label = |label| candidate.labels.contains(label);
        let count = || counts.get(&(self.step, candidate.key)).copied();
        candidate.task_allowance > 0
            && (self.max_per_server == u32::MAX || count().unwrap_or(0) < self.max_per_server)
            && self.label.is_none_or(has_label)
    }

    /// Returns the order among candidates for this task; the lowest is preferred.
    fn sort_key(&self, candidate: &Candidate) -> (bool, bool, bool, u64) {
        let is_outside_rack = self
            .rack
            .is_some_and(|rack| !candidate.labels.contains(rack));
        (
            candidate.is_suspect,
            is_outside_rack,
            !candidate.is_same_zone,
            candidate.preference,
        )
    }
}
