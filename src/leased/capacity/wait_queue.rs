//! Runs that wait at a runner for room.
//!
//! Load that this answers: about as much work as room, ordered by several entries. An entry
//! learns of room that came free up to a watch later, and other entries' orders are there
//! first; runs go back and forth, and room stands empty meanwhile. Here a run waits where the
//! room comes free, the one that must start soonest goes first whichever entry sent it, and
//! it starts in the moment in which another ends.
//!
//! Only urgent runs join; see [`crate::leased::dispatch::urgency::wait`]. The line is short, so
//! that nothing waits where it would be late while another runner has room. A run that is more urgent than what fills the line takes the place of the least
//! urgent one, which goes back to its entry unstarted. Otherwise long jobs that have time in
//! hand fill every line, and the last task of a short one finds no place until it is late.

use crate::leased::capacity;
use crate::leased::messages;
use crate::wire;

/// Part of the backend server's size that may wait, as a divisor: two or three tasks beside
/// ten that run, of which one ends every few tens of milliseconds.
pub const WAIT_QUEUE_CPU_DIVISOR: u32 = 4;

/// A job's class, and when its run should start; the least goes first.
type Urgency = (u8, u64);

const fn urgency(now_ms: u64, start: &messages::Start) -> Urgency {
    let should_start_ms = now_ms.saturating_add(start.wait.start_within_ms);
    (start.wait.class, should_start_ms)
}

/// A run's place in the line.
#[derive(Clone, Debug)]
pub struct Place {
    /// What to start.
    pub start: messages::Start,
    urgency: Urgency,
    /// After this it is given back to its entry.
    until_ms: u64,
}

impl Place {
    /// A place from now on.
    pub const fn new(now_ms: u64, start: messages::Start) -> Self {
        Self {
            urgency: urgency(now_ms, &start),
            until_ms: now_ms.saturating_add(start.wait.most_ms),
            start,
        }
    }

    /// Its job's class.
    pub const fn class(&self) -> u8 {
        self.start.wait.class
    }
}

impl capacity::CapacityManager {
    /// Whether a run that finds no room may wait for it: what is less urgent doesn't count.
    pub(super) fn has_line_for(
        &self,
        now_ms: u64,
        start: &messages::Start,
        size: &wire::Resources,
    ) -> bool {
        let urgency = urgency(now_ms, start);
        let places = self.runs.values().filter_map(|run| run.place.as_ref());
        let ahead = places.filter(|place| place.urgency <= urgency);
        let ahead_milli: u32 = ahead.map(|place| place.start.need.cpu_milli).sum();
        start.wait.most_ms > 0
            && start.need.fits_in(size)
            && ahead_milli.saturating_add(start.need.cpu_milli)
                <= size.cpu_milli / WAIT_QUEUE_CPU_DIVISOR
    }

    /// Gives the least urgent runs back until the line is as short as it has to be.
    pub(super) fn shorten_line(&mut self, now_ms: u64, size: &wire::Resources) {
        while self.line.total_milli() > size.cpu_milli / WAIT_QUEUE_CPU_DIVISOR {
            let Some(id) = self.least_urgent() else {
                return;
            };
            log::info!(event = "run.displaced", run:% = id, line_milli = self.line.total_milli(), size_milli = size.cpu_milli; "its place goes to a more urgent run");
            self.end(now_ms, &id, messages::RunOutcome::NotStarted);
        }
    }

    fn least_urgent(&self) -> Option<messages::RunId> {
        let places = self
            .runs
            .iter()
            .filter_map(|(id, run)| Some((run.place.as_ref()?.urgency, id)));
        places.max().map(|(_, id)| id.clone())
    }

    /// Starts what waits and has room now, the most urgent first; gives back what waited for
    /// too long, and everything while nothing may start.
    ///
    /// One that doesn't fit yet is passed over, so that no room stands empty for it; its wait
    /// is bounded all the same.
    pub(super) fn serve_line(&mut self, now_ms: u64) -> Vec<capacity::Action> {
        let Some(backend) = &self.backend else {
            return Vec::new();
        };
        let size = backend.size;
        let is_open = self.readiness(now_ms) == messages::Readiness::Ready
            && !self.latest.is_zone_out(&backend.zone);
        let mut line: Vec<_> = self
            .runs
            .iter()
            .filter_map(|(id, run)| Some((run.place.as_ref()?, id)))
            .map(|(place, id)| (place.urgency, place.until_ms, place.start.need, id.clone()))
            .collect();
        line.sort_by(|one, other| (one.0, &one.3).cmp(&(other.0, &other.3)));
        let mut actions = Vec::new();
        for (_, until_ms, need, id) in line {
            if !is_open || now_ms > until_ms {
                self.end(now_ms, &id, messages::RunOutcome::NotStarted);
            } else if need.fits_in(&size.minus(&self.used)) {
                actions.extend(self.begin(now_ms, &id));
            }
        }
        actions
    }
}
