//! Runs that wait at a runner for capacity.
//!
//! When several entries order about as much work as a backend server can run, an entry learns
//! of freed capacity up to one watch later, by which time the orders of other entries have taken
//! it. Runs are then refused again and again while capacity stays idle. With a queue at the
//! runner, the most urgent run starts as soon as another one ends, whichever entry ordered it.
//!
//! Only urgent runs are queued; see [`crate::leased::dispatch::urgency::wait`]. The queue is
//! short, so that no run becomes late in it while another runner has free capacity. A more urgent
//! run displaces the least urgent ones, which are returned to their entries as not started;
//! otherwise long jobs with time to spare would fill every queue, and the last task of a short
//! job would not be accepted anywhere until it is late.

use crate::leased::capacity;
use crate::leased::capacity::evidence;
use crate::leased::messages;
use crate::wire;

/// Divisor of the backend server's cores that gives the length of the queue: two or three tasks
/// beside ten running ones, of which one ends every few tens of milliseconds.
pub const WAIT_QUEUE_CPU_DIVISOR: u32 = 4;

/// Urgency class of the job and time by which the run should start; the smallest goes first.
type Urgency = (u8, u64);

const fn urgency(now_ms: u64, start: &messages::Start) -> Urgency {
    let start_by_ms = now_ms.saturating_add(start.wait.start_within_ms);
    (start.wait.class, start_by_ms)
}

/// A run in the queue.
#[derive(Clone, Debug)]
pub struct QueuedStart {
    /// The run to start.
    pub start: messages::Start,
    urgency: Urgency,
    /// Time after which the run is returned to its entry.
    until_ms: u64,
}

impl QueuedStart {
    /// Queues a run from now on.
    pub const fn new(now_ms: u64, start: messages::Start) -> Self {
        Self {
            urgency: urgency(now_ms, &start),
            until_ms: now_ms.saturating_add(start.wait.most_ms),
            start,
        }
    }

    /// Returns the urgency class of the job.
    pub const fn class(&self) -> u8 {
        self.start.wait.class
    }
}

impl capacity::CapacityManager {
    /// Returns whether a run that does not fit now may be queued; less urgent runs do not count.
    pub(super) fn may_queue(
        &self,
        now_ms: u64,
        start: &messages::Start,
        size: &wire::Resources,
    ) -> bool {
        let urgency = urgency(now_ms, start);
        let queued = self.runs.values().filter_map(|run| run.queued.as_ref());
        let ahead = queued.filter(|waiting| waiting.urgency <= urgency);
        let ahead = ahead.map(|waiting| waiting.start.need.cpu_milli);
        let ahead_milli = ahead.fold(0, u32::saturating_add);
        start.wait.most_ms > 0
            && start.need.fits_in(size)
            && ahead_milli.saturating_add(start.need.cpu_milli)
                <= size.cpu_milli / WAIT_QUEUE_CPU_DIVISOR
    }

    /// Returns the least urgent runs to their entries until the queue is within its limit.
    pub(super) fn trim_queue(&mut self, now_ms: u64, size: &wire::Resources) {
        while self.wait_queue.total_milli() > size.cpu_milli / WAIT_QUEUE_CPU_DIVISOR {
            let Some(id) = self.least_urgent() else {
                return;
            };
            log::info!(event = "run.displaced", run:% = id, line_milli = self.wait_queue.total_milli(), size_milli = size.cpu_milli; "returning the run to its entry: a more urgent run takes its place in the wait queue");
            self.end_unstarted(now_ms, &id, evidence::Evidence::Displaced);
        }
    }

    fn least_urgent(&self) -> Option<messages::RunId> {
        let queued = self
            .runs
            .iter()
            .filter_map(|(id, run)| Some((run.queued.as_ref()?.urgency, id)));
        queued.max().map(|(_, id)| id.clone())
    }

    /// Starts the queued runs that fit, the most urgent first. Returns runs that have waited too
    /// long to their entries, and all runs if none may start.
    ///
    /// A run that does not fit yet is skipped, so that capacity is not reserved for it; its wait
    /// is bounded in any case. A run of a silent entry is skipped until the entry is heard: when this
    /// process resumes, the callers may be served by others.
    pub(super) fn start_queued(&mut self, now_ms: u64) -> Vec<capacity::Action> {
        let Some(backend) = &self.backend else {
            return Vec::new();
        };
        let size = backend.size;
        let may_start = self.may_start(now_ms);
        let mut queue: Vec<_> = self
            .runs
            .iter()
            .filter_map(|(id, run)| Some((run.queued.as_ref()?, run.is_entry_silent(now_ms), id)))
            .map(|(queued, is_silent, id)| {
                (
                    queued.urgency,
                    queued.until_ms,
                    queued.start.need,
                    id.clone(),
                    is_silent,
                )
            })
            .collect();
        queue.sort_by(|one, other| (one.0, &one.3).cmp(&(other.0, &other.3)));
        let mut actions = Vec::new();
        for (_, until_ms, need, id, is_silent) in queue {
            if !may_start {
                self.end_unstarted(now_ms, &id, evidence::Evidence::NotReady);
            } else if now_ms > until_ms {
                self.end_unstarted(now_ms, &id, evidence::Evidence::WaitedTooLong);
            } else if !is_silent && need.fits_in(&size.minus(&self.used)) {
                actions.extend(self.start_run(now_ms, &id));
            }
        }
        actions
    }
}
