//! What a runner makes of its backend server's lists of what runs and what ended.

use std::collections;

use crate::leased::capacity;
use crate::leased::messages;
use crate::leased::ports;

/// Longest wait of the question what runs; a lease is renewed as often, in milliseconds.
const LIST_WAIT_MS: u64 = 200;

/// The same while anything runs. An answer that is lost is missed only once the wait is
/// over, and no end is heard of meanwhile.
const BUSY_LIST_WAIT_MS: u64 = 50;

/// Wait of that question while a noted stop has yet to be seen in a list, in milliseconds.
///
/// A start without an answer is stopped, and its task goes elsewhere once a list shows that
/// it doesn't run. With 200 ms each such task was late whatever it was.
const SETTLE_WAIT_MS: u64 = 4;

/// What is added to a fence that was refused; above any backward jump of the time of day
/// from which the first one is taken, in milliseconds.
const FENCE_STEP: u64 = 60_000;

impl capacity::CapacityManager {
    /// The next question what runs.
    pub fn next_list(&mut self, now_ms: u64) -> ports::ListCall {
        let is_renewed = self.clock.is_known() && !self.runs.is_empty();
        let lease_ms = self.lease_ms(now_ms);
        self.list_wait_ms = self.next_list_wait_ms();
        ports::ListCall {
            incarnation: self
                .backend
                .as_ref()
                .map(|backend| backend.incarnation.clone()),
            fence: self.fence,
            lease_until_ms: is_renewed.then(|| self.clock.grant(now_ms, lease_ms)),
            acked: self.acked,
            wait_ms: self.list_wait_ms,
            timeout_ms: self.call_timeout.timeout_ms(),
        }
    }

    fn next_list_wait_ms(&self) -> u64 {
        if !self.is_clean {
            return 0;
        }
        let mut stops = self.runs.values().filter_map(|run| run.stop);
        if stops.any(|stop| stop.is_acknowledged) {
            SETTLE_WAIT_MS
        } else if self.runs.is_empty() {
            LIST_WAIT_MS
        } else {
            BUSY_LIST_WAIT_MS
        }
    }

    /// The backend server said what runs, or nothing was heard.
    pub fn listed(
        &mut self,
        now_ms: u64,
        asked_ms: u64,
        answer: ports::ListAnswer,
    ) -> Vec<capacity::Action> {
        self.note_answer(now_ms, asked_ms, &answer);
        let mut actions = match answer {
            ports::ListAnswer::Listed(listing) => self.take_list(now_ms, asked_ms, &listing),
            ports::ListAnswer::Fenced => {
                self.fence += FENCE_STEP;
                log::warn!(event = "backend.fenced", fence = self.fence; "a greater fence was there");
                Vec::new()
            }
            ports::ListAnswer::OtherIncarnation => {
                self.end_life(now_ms, "another life answered");
                self.backend = None;
                Vec::new()
            }
            ports::ListAnswer::NoConnection | ports::ListAnswer::Lost => Vec::new(),
        };
        actions.extend(self.tick(now_ms));
        actions
    }

    /// How fast the answer came, where that can be told: one that came within its wait may
    /// have come at once or not.
    fn note_answer(&mut self, now_ms: u64, asked_ms: u64, answer: &ports::ListAnswer) {
        let beyond_ms = now_ms.saturating_sub(asked_ms + self.list_wait_ms);
        match answer {
            ports::ListAnswer::Lost => self.call_timeout.record_timeout(),
            _ if beyond_ms > 0 => self.call_timeout.record_response(beyond_ms),
            _ => {}
        }
    }

    fn take_list(
        &mut self,
        now_ms: u64,
        asked_ms: u64,
        listing: &ports::Listing,
    ) -> Vec<capacity::Action> {
        let Some(backend) = &self.backend else {
            return Vec::new();
        };
        if listing.started_at_ms != backend.incarnation.started_at_ms
            || asked_ms < self.listed_asked_ms
        {
            return Vec::new();
        }
        self.listed_asked_ms = asked_ms;
        self.heard_ms = Some(now_ms);
        self.clock.hear(listing.clock_ms, now_ms);
        for ended in &listing.ended {
            if ended.number > self.acked {
                self.end(now_ms, &ended.id, ended.how);
            }
        }
        for running in &listing.running {
            if let Some(run) = self.runs.get_mut(&running.id) {
                run.is_listed = true;
            }
        }
        let last = listing.ended.iter().map(|ended| ended.number).max();
        self.acked = self.acked.max(last.unwrap_or(0));
        self.end_missing(now_ms, asked_ms, listing);
        self.stop_unknown(listing)
    }

    /// Runs that should be in the list and are in no part of it are over.
    fn end_missing(&mut self, now_ms: u64, asked_ms: u64, listing: &ports::Listing) {
        let listed: collections::HashSet<_> =
            listing.running.iter().map(|running| &running.id).collect();
        let is_missing = |(id, run): &(&messages::RunId, &capacity::Run)| {
            run.settled_ms.is_some_and(|at| at < asked_ms) && !listed.contains(id)
        };
        let missing = self.runs.iter().filter(is_missing);
        let missing: Vec<_> = missing.map(|(id, _)| id.clone()).collect();
        for id in missing {
            self.end(now_ms, &id, messages::RunOutcome::Stopped);
        }
    }

    /// Stops what a former life of the runner started; until it is gone, its room and the
    /// second runs that it would allow are unknown, and nothing new is taken.
    fn stop_unknown(&mut self, listing: &ports::Listing) -> Vec<capacity::Action> {
        let Some(backend) = &self.backend else {
            return Vec::new();
        };
        let is_unknown = |running: &&ports::Running| !self.runs.contains_key(&running.id);
        let unknown: Vec<_> = listing.running.iter().filter(is_unknown).collect();
        let calls = unknown.iter().map(|running| {
            log::info!(event = "run.stop", run:% = running.id, why = "left by a former life"; "stopping");
            capacity::Action::Stop(ports::StopCall {
                id: running.id.clone(),
                incarnation: backend.incarnation.clone(),
                fence: self.fence,
                timeout_ms: self.call_timeout.timeout_ms(),
            })
        });
        let calls: Vec<_> = calls.collect();
        self.is_clean = calls.is_empty();
        calls
    }
}
