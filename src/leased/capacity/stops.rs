//! How a runner stops runs at the backend server.

use crate::leased::capacity;
use crate::leased::capacity::evidence;
use crate::leased::messages;
use crate::leased::ports;

/// Pause before a stop without an answer is sent again, in milliseconds; a backend server answers
/// within a millisecond.
const STOP_RETRY_MS: u64 = 50;

/// Pause before a stop that an unhealthy backend server refused is sent again, in milliseconds, for
/// each run whose stop is not acknowledged: at most 250 calls a second.
const REFUSED_STOP_RETRY_MS: u64 = 4;

/// The last stop sent for a run.
#[derive(Clone, Copy, Debug)]
pub struct Stop {
    sent_at_ms: u64,
    /// Absent until the call is answered, or has failed.
    answer: Option<ports::StopAnswer>,
}

impl Stop {
    /// Returns a stop that is sent now.
    pub const fn new(now_ms: u64) -> Self {
        Self {
            sent_at_ms: now_ms,
            answer: None,
        }
    }

    /// Returns whether the backend server has acknowledged the stop.
    pub fn is_acknowledged(self) -> bool {
        self.answer == Some(ports::StopAnswer::Acknowledged)
    }

    /// Records the answer; an acknowledgement is final.
    pub fn record(&mut self, answer: ports::StopAnswer) {
        if !self.is_acknowledged() {
            self.answer = Some(answer);
        }
    }

    /// Returns whether the stop has to be sent again; `unacknowledged` is the number of stops that
    /// are not acknowledged.
    pub fn is_due(self, now_ms: u64, unacknowledged: u64) -> bool {
        let pause_ms = match self.answer {
            Some(ports::StopAnswer::Acknowledged) => return false,
            Some(ports::StopAnswer::Refused) => {
                STOP_RETRY_MS.min(REFUSED_STOP_RETRY_MS * unacknowledged)
            }
            Some(ports::StopAnswer::Lost) | None => STOP_RETRY_MS,
        };
        now_ms >= self.sent_at_ms + pause_ms
    }
}

impl capacity::CapacityManager {
    /// Returns the number of runs whose stop was sent and is not acknowledged.
    pub(super) fn unacknowledged_stops(&self) -> u64 {
        let stops = self.runs.values().filter_map(|run| run.stop);
        stops.filter(|stop| !stop.is_acknowledged()).count() as u64
    }

    /// Returns a run in the wait queue to its entry, or returns the call that stops a started run,
    /// unless the last such call is not to be repeated yet.
    pub(super) fn stop(
        &mut self,
        now_ms: u64,
        id: &messages::RunId,
        why: &'static str,
    ) -> Option<capacity::Action> {
        let incarnation = self.backend.as_ref()?.incarnation.clone();
        let unacknowledged = self.unacknowledged_stops();
        let run = self.runs.get_mut(id)?;
        if run.queued.is_some() {
            self.end_unstarted(now_ms, id, evidence::Evidence::Withdrawn);
            return None;
        }
        match run.stop {
            Some(stop) if !stop.is_due(now_ms, unacknowledged) => return None,
            Some(_) => {}
            None => {
                let age_ms = now_ms.saturating_sub(run.ordered_at_ms);
                log::info!(event = "run.stop", run:% = id, owner:% = run.owner, why = why, age_ms = age_ms; "stopping the run");
            }
        }
        run.stop = Some(Stop::new(now_ms));
        Some(capacity::Action::Stop(ports::StopCall {
            id: id.clone(),
            incarnation,
            fence: self.fence,
            timeout_ms: self.call_timeout.timeout_ms(),
        }))
    }

    /// Handles the answer to a stop, or its absence.
    pub fn stop_answered(&mut self, now_ms: u64, id: &messages::RunId, answer: ports::StopAnswer) {
        let Some(run) = self.runs.get_mut(id) else {
            self.leftovers.record(id, answer);
            return;
        };
        let Some(stop) = &mut run.stop else {
            return;
        };
        stop.record(answer);
        if answer == ports::StopAnswer::Acknowledged {
            let elapsed_ms = now_ms.saturating_sub(stop.sent_at_ms);
            self.call_timeout.record_response(elapsed_ms);
            run.settled_at_ms = Some(run.settled_at_ms.unwrap_or(now_ms).max(now_ms));
        }
    }
}
