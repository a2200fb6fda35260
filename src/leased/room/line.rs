//! Runs that wait at a runner for room.
//!
//! Load that this answers: about as much work as room, ordered by several entries. An entry
//! learns of room that came free up to a watch later, and other entries' orders are there
//! first; runs go back and forth, and room stands empty meanwhile. Here a run waits where the
//! room comes free, the one that must start soonest goes first whichever entry sent it, and
//! it starts in the moment in which another ends.

use crate::leased::messages;
use crate::leased::room;
use crate::wire;

/// Part of the backend server's size that may wait, as a divisor. A quarter is two or three
/// tasks beside ten that run: with tasks of 60 to 900 ms one ends every 20 ms or so, and who
/// waits starts before it is late. A longer line would keep runs from room elsewhere. Callers
/// got 0.771 and 0.872 of what was to be had on two days of bursts at 57 backend servers,
/// and 0.764 and 0.866 without a line (one play each).
pub const LINE_SHARE: u32 = 4;

/// A run's place in the line.
#[derive(Clone, Debug)]
pub struct Place {
    /// What to start.
    pub start: messages::Start,
    /// Its job's class, and when it should start; the least goes first.
    urgency: (u8, u64),
    /// After this it is given back to its entry.
    until_ms: u64,
}

impl Place {
    /// A place from now on.
    pub const fn new(now_ms: u64, start: messages::Start) -> Self {
        let should_start_ms = now_ms.saturating_add(start.wait.start_within_ms);
        Self {
            urgency: (start.wait.class, should_start_ms),
            until_ms: now_ms.saturating_add(start.wait.most_ms),
            start,
        }
    }
}

impl room::Room {
    /// Whether a run that finds no room may wait for it.
    pub(super) fn has_line_for(&self, start: &messages::Start, size: &wire::Resources) -> bool {
        let line_milli = self.line.cpu_milli.saturating_add(start.need.cpu_milli);
        start.wait.most_ms > 0
            && start.need.fits_in(size)
            && line_milli <= size.cpu_milli / LINE_SHARE
    }

    /// Starts what waits and has room now, the most urgent first; gives back what waited for
    /// too long, and everything while nothing may start.
    ///
    /// One that doesn't fit yet is passed over, so that no room stands empty for it; its wait
    /// is bounded all the same.
    pub(super) fn serve_line(&mut self, now_ms: u64) -> Vec<room::Action> {
        let Some(backend) = &self.backend else {
            return Vec::new();
        };
        let size = backend.size;
        let is_open = self.readiness(now_ms) == messages::Readiness::Ready
            && !self.directives.get().is_out(&backend.zone);
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
                self.end(now_ms, &id, messages::How::NotStarted);
            } else if need.fits_in(&size.minus(&self.used)) {
                actions.extend(self.begin(now_ms, &id));
            }
        }
        actions
    }
}
