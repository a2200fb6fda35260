//! Which incarnation of the backend server is at the address that the runner calls.
//!
//! A heartbeat shows that its sender was alive when it was sent, not that the sender is the backend
//! server beside this runner: it may be late, or come from one whose own runner is away. Likewise, an
//! answer of another incarnation shows who answered this time, and not that the runs of the known one
//! have ended. An incarnation is replaced only once another one has answered a listing call.

use std::collections;

use crate::leased::capacity;
use crate::leased::capacity::backend_clock;
use crate::leased::capacity::evidence;
use crate::leased::capacity::leftovers;
use crate::leased::messages;
use crate::leased::ports;

/// Time for which an announcement that could not be confirmed is kept, in milliseconds: two intervals
/// between heartbeats.
const CANDIDATE_RETENTION_MS: u64 = 3_000;

/// Number of candidates at a time; the oldest gives way to another one.
const MAX_CANDIDATES: usize = 4;

/// An incarnation that announced itself and is not known to be at the backend server's address.
#[derive(Clone, Debug)]
pub struct Candidate {
    announcement: ports::Announcement,
    announced_at_ms: u64,
}

/// What a listing call carried.
#[derive(Clone, Debug)]
pub struct LastCall {
    /// The incarnation that it was meant for.
    pub incarnation: ports::BackendIncarnation,
    /// Its fencing token.
    pub fence: u64,
}

/// What shows that an incarnation of the backend server is over.
#[derive(Clone, Debug)]
pub struct Witness {
    /// Kind of the evidence.
    pub evidence: evidence::Evidence,
    /// The announcement of the incarnation that took its place, if one did.
    pub next: Option<ports::Announcement>,
    /// Time since the call that it answers was sent, in milliseconds.
    pub age_ms: u64,
}

/// Whom a listing call was meant for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Asked {
    /// The known incarnation of the backend server.
    Known,
    /// The candidate.
    Candidate,
    /// An incarnation that is neither any more; its answer says nothing.
    Former,
}

impl Candidate {
    const fn new(announcement: ports::Announcement, now_ms: u64) -> Self {
        Self {
            announcement,
            announced_at_ms: now_ms,
        }
    }

    const fn incarnation(&self) -> &ports::BackendIncarnation {
        &self.announcement.incarnation
    }
}

impl capacity::CapacityManager {
    /// Handles a heartbeat; returns whether it is the latest one of the known incarnation of the
    /// backend server.
    ///
    /// One of another incarnation ends no run. It only makes the runner ask at the backend server's
    /// address which incarnation is there.
    pub fn announced(&mut self, now_ms: u64, announcement: ports::Announcement) -> bool {
        let Some(known) = &self.backend else {
            log::info!(event = "backend.found", name = announcement.incarnation.name.as_str(), born_ms = announcement.incarnation.started_at_ms, sequence = announcement.sequence, cpu_milli = announcement.size.cpu_milli; "received the first heartbeat of the backend server");
            self.backend = Some(announcement);
            self.update_readiness(now_ms);
            return true;
        };
        if announcement.incarnation != known.incarnation {
            self.add_candidate(now_ms, announcement);
            self.update_readiness(now_ms);
            return false;
        }
        if announcement.sequence <= known.sequence {
            log::info!(event = "backend.heartbeat_late", name = announcement.incarnation.name.as_str(), born_ms = announcement.incarnation.started_at_ms, sequence = announcement.sequence, known_sequence = known.sequence; "ignoring a heartbeat older than the last one");
            return false;
        }
        self.backend = Some(announcement);
        self.update_readiness(now_ms);
        true
    }

    /// Notes an incarnation beside the known one.
    ///
    /// If it is the next one, it has not seen any fence. A greater one keeps it from executing starts of
    /// runs that ended before, as soon as it has received a call with it.
    fn add_candidate(&mut self, now_ms: u64, announcement: ports::Announcement) {
        let is_same = |one: &&mut Candidate| *one.incarnation() == announcement.incarnation;
        if let Some(candidate) = self.candidates.iter_mut().find(is_same) {
            *candidate = Candidate::new(announcement, now_ms);
            return;
        }
        let known = self.backend.as_ref().map(|known| &known.incarnation);
        log::info!(event = "backend.contested", name = announcement.incarnation.name.as_str(), born_ms = announcement.incarnation.started_at_ms, known:? = known, runs = self.runs.len(); "another incarnation announced itself; asking which one is at the address of the backend server");
        self.fence += 1;
        if self.candidates.len() == MAX_CANDIDATES {
            self.candidates.pop_front();
        }
        self.candidates
            .push_back(Candidate::new(announcement, now_ms));
    }

    /// Returns the call that asks whether a candidate is at the backend server's address, unless it is
    /// the turn of the known incarnation: foreign heartbeats must not keep its leases from being renewed.
    ///
    /// It neither renews a lease nor acknowledges an end.
    pub(super) fn next_candidate_list(&mut self, now_ms: u64) -> Option<ports::ListCall> {
        self.forget_candidates(now_ms);
        if matches!(self.asked(), Asked::Candidate | Asked::Former) {
            return None;
        }
        let candidate = self.candidates.front()?;
        Some(ports::ListCall {
            incarnation: Some(candidate.incarnation().clone()),
            fence: self.fence,
            lease_until_ms: None,
            acked: 0,
            wait_ms: 0,
            timeout_ms: self.call_timeout.timeout_ms(),
        })
    }

    fn forget_candidates(&mut self, now_ms: u64) {
        self.candidates.retain(|one| {
            let is_recent = now_ms <= one.announced_at_ms + CANDIDATE_RETENTION_MS;
            if !is_recent {
                log::info!(event = "backend.unconfirmed", name = one.incarnation().name.as_str(), born_ms = one.incarnation().started_at_ms; "the incarnation that announced itself has not answered; forgetting it");
            }
            is_recent
        });
    }

    /// Returns whom the last listing call asked.
    pub(super) fn asked(&self) -> Asked {
        let Some(call) = &self.last_asked else {
            return Asked::Known;
        };
        let mut candidates = self.candidates.iter();
        if candidates.any(|one| *one.incarnation() == call.incarnation) {
            return Asked::Candidate;
        }
        let known = self.backend.as_ref().map(|known| &known.incarnation);
        if known == Some(&call.incarnation) {
            return Asked::Known;
        }
        Asked::Former
    }

    /// Removes and returns the candidate that the last listing call asked.
    fn take_asked(&mut self) -> Option<Candidate> {
        let asked = &self.last_asked.as_ref()?.incarnation;
        let mut candidates = self.candidates.iter();
        let at = candidates.position(|one| one.incarnation() == asked)?;
        self.candidates.remove(at)
    }

    /// Handles the answer to a listing call for a candidate.
    pub(super) fn candidate_listed(
        &mut self,
        now_ms: u64,
        sent_at_ms: u64,
        answer: ports::ListAnswer,
    ) -> Vec<capacity::Action> {
        if matches!(answer, ports::ListAnswer::Fenced) {
            self.raise_fence();
            return Vec::new();
        }
        let Some(candidate) = self.take_asked() else {
            return Vec::new();
        };
        match answer {
            ports::ListAnswer::Listed(listing)
                if listing.started_at_ms == candidate.incarnation().started_at_ms =>
            {
                self.replace_incarnation(now_ms, sent_at_ms, candidate.announcement);
                return self.apply_listing(now_ms, sent_at_ms, &listing);
            }
            ports::ListAnswer::NoConnection | ports::ListAnswer::Lost => {
                self.candidates.push_back(candidate);
            }
            _ => {
                log::info!(event = "backend.foreign", name = candidate.incarnation().name.as_str(), born_ms = candidate.incarnation().started_at_ms; "the incarnation that announced itself is not at the address of the backend server; ignoring it");
            }
        }
        Vec::new()
    }

    /// Handles a listing of another incarnation than the known one, which the call was meant for: makes
    /// it the known one if it has announced itself under the same name.
    pub(super) fn replace_by_listed(
        &mut self,
        now_ms: u64,
        sent_at_ms: u64,
        listing: &ports::Listing,
    ) {
        let name = self.backend.as_ref().map(|known| &known.incarnation.name);
        let is_listed = |one: &Candidate| {
            let incarnation = one.incarnation();
            Some(&incarnation.name) == name && incarnation.started_at_ms == listing.started_at_ms
        };
        let at = self.candidates.iter().position(is_listed);
        if let Some(candidate) = at.and_then(|at| self.candidates.remove(at)) {
            self.replace_incarnation(now_ms, sent_at_ms, candidate.announcement);
        }
    }

    /// Notes that another incarnation than the known one answered a call that was meant for that.
    ///
    /// It ends no run: whoever answered may be gone with the next call. The runs end when another
    /// incarnation has announced itself and answered, or with their leases, which are not renewed.
    pub(super) fn other_incarnation_answered(&mut self) {
        self.is_renewal_paused = true;
        if !self.is_reconciled {
            return;
        }
        let known = self.backend.as_ref().map(|known| &known.incarnation);
        log::warn!(event = "backend.absent", known:? = known, runs = self.runs.len(); "another incarnation answered at the address of the backend server; taking no work, and keeping the runs until another incarnation is known or their leases have expired");
        self.is_reconciled = false;
    }

    /// Restores the backend server's announcement that a former incarnation of the runner stored.
    ///
    /// Heartbeats arrive every 1.5 s, and until then a restarted runner would leave its backend
    /// server idle. The announcement is used once a listing shows that the same incarnation is
    /// still running; if it is not, the next heartbeat replaces the announcement.
    pub fn restore_backend(&mut self, stored: ports::Announcement) {
        if self.backend.is_some() {
            return;
        }
        log::info!(event = "backend.recalled", name = stored.incarnation.name.as_str(), born_ms = stored.incarnation.started_at_ms, cpu_milli = stored.size.cpu_milli; "restored the announcement that a former incarnation of the runner stored");
        self.backend = Some(ports::Announcement {
            sequence: 0,
            ..stored
        });
    }

    /// Handles the message of a backend server that it stops for good: it receives no more work.
    ///
    /// The message counts only for an incarnation that has announced that it is leaving, or for the
    /// one that it names: held up in a partition, it may arrive when a next incarnation is there
    /// under the same name. It ends no run, as nothing shows that the runs have ended.
    pub fn backend_left(&mut self, now_ms: u64, left: &ports::BackendLeft) {
        let Some(known) = &self.backend else {
            return;
        };
        let is_expected = left.started_at_ms.map_or(known.is_leaving, |at_ms| {
            at_ms == known.incarnation.started_at_ms
        });
        if known.incarnation.name != left.name || !is_expected {
            log::info!(event = "backend.leave_late", name = left.name.as_str(), born_ms = left.started_at_ms, known_born_ms = known.incarnation.started_at_ms; "ignoring a leave that is not of the present incarnation");
            return;
        }
        log::info!(event = "backend.left", name = left.name.as_str(), born_ms = known.incarnation.started_at_ms, runs = self.runs.len(); "backend server has left; keeping its runs until a listing or the end of their leases shows that they have ended");
        self.left = Some(known.incarnation.clone());
        self.update_readiness(now_ms);
    }

    /// Returns whether the known incarnation of the backend server has left.
    pub(super) fn has_left(&self) -> bool {
        let known = self.backend.as_ref().map(|known| &known.incarnation);
        known.is_some() && known == self.left.as_ref()
    }

    /// Makes another incarnation the known one, and ends the runs of the former one.
    ///
    /// A backend server may restart with the same name and address within milliseconds, and then
    /// executes starts that were meant for its former incarnation. Only runs that a listing of the
    /// former incarnation has shown, and of which every start was answered, are known to have
    /// ended. Any other run may be running in the later incarnation, or start there, and ending it
    /// here would let its task start elsewhere at the same time; it is stopped at the later
    /// incarnation instead.
    fn replace_incarnation(&mut self, now_ms: u64, sent_at_ms: u64, next: ports::Announcement) {
        let (unsure, known): (collections::BTreeMap<_, _>, _) = std::mem::take(&mut self.runs)
            .into_iter()
            .partition(|(_, run)| run.may_start_again());
        self.runs = known;
        let witness = Witness {
            evidence: evidence::Evidence::Replaced,
            next: Some(next.clone()),
            age_ms: now_ms.saturating_sub(sent_at_ms),
        };
        self.end_incarnation(now_ms, &witness);
        self.backend = Some(next);
        self.last_asked = None;
        for (id, mut run) in unsure {
            log::info!(event = "run.unsure", run:% = id, owner:% = run.owner; "the run may have started in the later incarnation; stopping it there");
            run.settled_at_ms = None;
            run.stop = None;
            run.must_stop = true;
            self.runs.insert(id, run);
        }
    }

    /// Ends all runs of the known incarnation of the backend server.
    pub(super) fn end_incarnation(&mut self, now_ms: u64, witness: &Witness) {
        let known = self.backend.as_ref().map(|known| &known.incarnation);
        let by = witness.next.as_ref().map(|next| &next.incarnation);
        log::warn!(event = "backend.life_over", runs = self.runs.len(), evidence:? = witness.evidence, name = known.map(|known| known.name.as_str()), born_ms = known.map(|known| known.started_at_ms), by = by.map(|by| by.name.as_str()), by_born_ms = by.map(|by| by.started_at_ms), sequence = witness.next.as_ref().map(|next| next.sequence), age_ms = witness.age_ms, unseen_ms = self.unseen_ms(now_ms); "none of the runs can still be running at the backend server; ending all of them");
        let ids: Vec<_> = self.runs.keys().cloned().collect();
        for id in ids {
            self.end(now_ms, &id, messages::RunOutcome::Stopped, witness.evidence);
        }
        self.backend_clock = backend_clock::BackendClock::default();
        self.acked_end = 0;
        self.expired_at_ms = None;
        self.is_reconciled = false;
        self.is_renewal_paused = false;
        self.leftovers = leftovers::Leftovers::default();
    }

    /// Returns the time since the last valid listing was received, in milliseconds; `None` if there
    /// was none.
    pub(super) fn unseen_ms(&self, now_ms: u64) -> Option<u64> {
        Some(now_ms.saturating_sub(self.last_seen_ms?))
    }
}
