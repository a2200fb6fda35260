//! Runs at the backend server that a former incarnation of the runner started.

use std::collections;

use crate::leased::capacity::stops;
use crate::leased::messages;
use crate::leased::ports;

/// Stops sent for runs that a former incarnation of the runner started.
///
/// The backend server needs time for a stop, while listings follow one another at once. Each stop is
/// therefore repeated only after the retry interval.
#[derive(Clone, Debug, Default)]
pub struct Leftovers {
    stops: collections::HashMap<messages::RunId, stops::Stop>,
}

impl Leftovers {
    /// Records which runs of a former incarnation a listing shows, and returns those whose stop has
    /// to be sent now.
    pub fn update(&mut self, now_ms: u64, listed: Vec<messages::RunId>) -> Vec<messages::RunId> {
        let former = std::mem::take(&mut self.stops);
        let unacknowledged = former.values().filter(|stop| !stop.is_acknowledged());
        let unacknowledged = unacknowledged.count() as u64;
        let mut due = Vec::new();
        for id in listed {
            let sent = former
                .get(&id)
                .filter(|stop| !stop.is_due(now_ms, unacknowledged));
            let stop = sent.copied().unwrap_or_else(|| {
                due.push(id.clone());
                stops::Stop::new(now_ms)
            });
            self.stops.insert(id, stop);
        }
        due
    }

    /// Records the answer to the stop of a run.
    pub fn record(&mut self, id: &messages::RunId, answer: ports::StopAnswer) {
        if let Some(stop) = self.stops.get_mut(id) {
            stop.record(answer);
        }
    }

    /// Returns whether the last listing showed no such run.
    pub fn is_empty(&self) -> bool {
        self.stops.is_empty()
    }
}
