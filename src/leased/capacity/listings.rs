//! How a runner applies the backend server's listings of running and ended runs.

use std::collections;

use crate::leased::capacity;
use crate::leased::capacity::evidence;
use crate::leased::capacity::incarnations;
use crate::leased::capacity::stops;
use crate::leased::clock_estimate;
use crate::leased::messages;
use crate::leased::ports;

/// Longest wait of a listing call, in milliseconds, which is also the interval of lease renewals.
const LIST_WAIT_MS: u64 = 200;

/// The same while any run is held: a lost answer is noticed only after the wait, and no end is
/// received in the meantime.
const BUSY_LIST_WAIT_MS: u64 = 50;

/// Time since the last start after which the wait is the longer one, in milliseconds.
///
/// The lease of a run is renewed only when the call that was open at its start is answered, so the
/// wait stays short while starts are recent.
const IDLE_AFTER_MS: u64 = 1_000;

/// Wait of a listing call while the effect of an acknowledged stop is not yet confirmed by a
/// listing, in milliseconds.
///
/// A start without an answer is stopped, and its task is started elsewhere once a listing shows
/// that it is not running. With a wait of 200 ms, every such task would be late. The same wait
/// applies while runs of a former incarnation are stopped.
const SETTLE_WAIT_MS: u64 = 4;

/// Increment of a fence that was refused, in milliseconds. It exceeds any backward step of the
/// wall clock, from which the first fence is taken.
const FENCE_STEP_MS: u64 = 60_000;

impl capacity::CapacityManager {
    /// Returns the next listing call.
    pub fn next_list(&mut self, now_ms: u64) -> ports::ListCall {
        let candidate_call = self.next_candidate_list(now_ms);
        let call = candidate_call.unwrap_or_else(|| self.next_known_list(now_ms));
        self.list_wait_ms = call.wait_ms;
        let asked = call.incarnation.clone();
        self.last_asked = asked.map(|incarnation| incarnations::LastCall {
            incarnation,
            fence: call.fence,
        });
        call
    }

    fn next_known_list(&mut self, now_ms: u64) -> ports::ListCall {
        let is_renewed = self.backend_clock.is_known()
            && self.expired_at_ms.is_none()
            && !self.is_renewal_paused
            && !self.runs.is_empty();
        let lease_ms = self.lease_ms(now_ms);
        let lease_until_ms = is_renewed.then(|| self.backend_clock.grant(now_ms, lease_ms));
        // A backend server that has left without any run has nothing to list.
        let is_needed = !self.has_left() || !self.runs.is_empty();
        let backend = self.backend.as_ref().filter(|_| is_needed);
        ports::ListCall {
            incarnation: backend.map(|backend| backend.incarnation.clone()),
            fence: self.fence,
            lease_until_ms,
            acked: self.acked_end,
            wait_ms: self.next_list_wait_ms(now_ms),
            timeout_ms: self.call_timeout.timeout_ms(),
        }
    }

    fn next_list_wait_ms(&self, now_ms: u64) -> u64 {
        if !self.leftovers.is_empty() {
            return SETTLE_WAIT_MS;
        }
        if self.is_renewal_paused {
            return BUSY_LIST_WAIT_MS;
        }
        if !self.is_reconciled || self.expired_at_ms.is_some() {
            return 0;
        }
        let mut sent = self.runs.values().filter_map(|run| run.stop);
        if sent.any(stops::Stop::is_acknowledged) {
            SETTLE_WAIT_MS
        } else if self.runs.is_empty() && now_ms > self.last_start_ms + IDLE_AFTER_MS {
            LIST_WAIT_MS
        } else {
            BUSY_LIST_WAIT_MS
        }
    }

    /// Handles the answer to the listing call sent at `sent_at_ms`.
    pub fn listed(
        &mut self,
        now_ms: u64,
        sent_at_ms: u64,
        answer: ports::ListAnswer,
    ) -> Vec<capacity::Action> {
        let mut actions = match self.asked() {
            incarnations::Asked::Candidate => self.candidate_listed(now_ms, sent_at_ms, answer),
            incarnations::Asked::Known => self.known_listed(now_ms, sent_at_ms, answer),
            incarnations::Asked::Former => Vec::new(),
        };
        actions.extend(self.tick(now_ms));
        actions
    }

    /// Records the response time of a listing call, as far as it is known: an answer that came
    /// within the wait may have been delayed on purpose.
    fn record_list_time(&mut self, now_ms: u64, sent_at_ms: u64, answer: &ports::ListAnswer) {
        let beyond_wait_ms = now_ms.saturating_sub(sent_at_ms + self.list_wait_ms);
        match answer {
            ports::ListAnswer::Lost => self.call_timeout.record_timeout(),
            _ if beyond_wait_ms > 0 => self.call_timeout.record_response(beyond_wait_ms),
            _ => {}
        }
    }

    /// Handles the answer to a listing call for the known incarnation.
    fn known_listed(
        &mut self,
        now_ms: u64,
        sent_at_ms: u64,
        answer: ports::ListAnswer,
    ) -> Vec<capacity::Action> {
        self.record_list_time(now_ms, sent_at_ms, &answer);
        match answer {
            ports::ListAnswer::Listed(listing) => {
                self.unanswered_listings = 0;
                self.replace_by_listed(now_ms, sent_at_ms, &listing);
                return self.apply_listing(now_ms, sent_at_ms, &listing);
            }
            ports::ListAnswer::Fenced => {
                self.unanswered_listings = 0;
                self.raise_fence();
            }
            ports::ListAnswer::OtherIncarnation => {
                self.unanswered_listings = self.unanswered_listings.saturating_add(1);
                self.other_incarnation_answered();
            }
            ports::ListAnswer::NoConnection => {
                self.unanswered_listings = self.unanswered_listings.saturating_add(1);
                self.is_renewal_paused = true;
            }
            ports::ListAnswer::Lost => {
                self.unanswered_listings = self.unanswered_listings.saturating_add(1);
            }
        }
        Vec::new()
    }

    /// Raises the fence beyond the one that the backend server has accepted, unless it has been raised
    /// since the call that was refused.
    pub(super) fn raise_fence(&mut self) {
        let refused = self.last_asked.as_ref().map(|call| call.fence);
        if refused.is_some_and(|refused| refused < self.fence) {
            return;
        }
        self.fence += FENCE_STEP_MS;
        log::warn!(event = "backend.fenced", fence = self.fence; "backend server has accepted a greater fence; raised the fence of this runner");
    }

    /// Applies a listing, unless it is of another incarnation than the known one.
    pub(super) fn apply_listing(
        &mut self,
        now_ms: u64,
        sent_at_ms: u64,
        listing: &ports::Listing,
    ) -> Vec<capacity::Action> {
        let Some(backend) = &self.backend else {
            return Vec::new();
        };
        if listing.started_at_ms != backend.incarnation.started_at_ms {
            self.other_incarnation_answered();
            return Vec::new();
        }
        self.is_renewal_paused = false;
        self.last_seen_ms = Some(now_ms);
        self.backend_clock.record(&clock_estimate::Reading {
            clock_ms: listing.clock_ms,
            sent_at_ms,
            received_at_ms: now_ms,
        });
        for ended in &listing.ended {
            if ended.number > self.acked_end {
                self.end(now_ms, &ended.id, ended.how, evidence::Evidence::Listed);
            }
        }
        for running in &listing.running {
            if let Some(run) = self.runs.get_mut(&running.id) {
                run.was_listed = true;
            }
        }
        let last = listing.ended.iter().map(|ended| ended.number).max();
        self.acked_end = self.acked_end.max(last.unwrap_or(0));
        self.end_missing(now_ms, sent_at_ms, listing);
        if self.expired_at_ms.is_some_and(|at_ms| at_ms < sent_at_ms) {
            self.expired_at_ms = None;
        }
        self.stop_unknown(now_ms, listing)
    }

    /// Ends the runs that the listing should contain but does not.
    fn end_missing(&mut self, now_ms: u64, sent_at_ms: u64, listing: &ports::Listing) {
        let listed: collections::HashSet<_> =
            listing.running.iter().map(|running| &running.id).collect();
        let is_missing = |(id, run): &(&messages::RunId, &capacity::Run)| {
            run.settled_at_ms.is_some_and(|at_ms| at_ms < sent_at_ms) && !listed.contains(id)
        };
        let missing = self.runs.iter().filter(is_missing);
        let missing: Vec<_> = missing.map(|(id, _)| id.clone()).collect();
        for id in missing {
            let how = messages::RunOutcome::Stopped;
            self.end(now_ms, &id, how, evidence::Evidence::Missing);
        }
    }

    /// Stops the runs that a former incarnation of the runner started.
    ///
    /// Until they have ended, the free capacity is unknown and a task could run twice, so no new
    /// runs are accepted.
    fn stop_unknown(&mut self, now_ms: u64, listing: &ports::Listing) -> Vec<capacity::Action> {
        let Some(backend) = &self.backend else {
            return Vec::new();
        };
        let is_unknown = |running: &&ports::Running| !self.runs.contains_key(&running.id);
        let unknown = listing.running.iter().filter(is_unknown);
        let unknown = unknown.map(|running| running.id.clone()).collect();
        let due = self.leftovers.update(now_ms, unknown);
        self.is_reconciled = self.leftovers.is_empty() && self.expired_at_ms.is_none();
        let calls = due.into_iter().map(|id| {
            log::info!(event = "run.stop", run:% = id, why = "started by a former incarnation of the runner"; "stopping the run");
            capacity::Action::Stop(ports::StopCall {
                id,
                incarnation: backend.incarnation.clone(),
                fence: self.fence,
                timeout_ms: self.call_timeout.timeout_ms(),
            })
        });
        calls.collect()
    }
}
