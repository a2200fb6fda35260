//! Time-driven actions of a runner: silent entries, repeated stops and expired leases.

use std::collections;

use crate::leased::capacity;
use crate::leased::capacity::evidence;
use crate::leased::capacity::incarnations;
use crate::leased::messages;

/// Time after which a silent entry without runs is removed, in milliseconds.
const OWNER_RETENTION_MS: u64 = 10_000;

impl capacity::CapacityManager {
    /// Stops the runs of silent entries, repeats unacknowledged stops, ends runs whose leases have
    /// expired, and starts queued runs that fit.
    pub fn tick(&mut self, now_ms: u64) -> Vec<capacity::Action> {
        self.remove_silent_owners(now_ms);
        self.check_leases(now_ms);
        let mut actions = Vec::new();
        let unacknowledged = self.unacknowledged_stops();
        let due: Vec<_> = self
            .runs
            .iter()
            .filter_map(|(id, run)| self.due_stop(now_ms, id, run, unacknowledged))
            .collect();
        for (id, why) in due {
            actions.extend(self.stop(now_ms, &id, why));
        }
        self.update_readiness(now_ms);
        actions.extend(self.start_queued(now_ms));
        actions
    }

    /// Ends the runs once every lease has expired, or first awaits the listing of how they ended.
    ///
    /// Leases expire while this process is suspended. Most runs have completed by then, and the
    /// backend server keeps their ends until they are acknowledged.
    fn check_leases(&mut self, now_ms: u64) {
        let is_expired = self.expired_at_ms.is_some() || self.backend_clock.has_expired(now_ms);
        if self.runs.is_empty() || !is_expired {
            return;
        }
        if self.unanswered_listings >= capacity::MAX_UNANSWERED_LISTINGS {
            self.end_expired(now_ms);
        } else if self.expired_at_ms.is_none() {
            self.await_ends(now_ms);
        }
    }

    /// Ends the runs whose leases have expired.
    ///
    /// A start that was meant for a former incarnation of the backend server may run under a lease
    /// that was not granted to the present one, so its run is kept until its stop is acknowledged.
    fn end_expired(&mut self, now_ms: u64) {
        let (unsure, expired): (collections::BTreeMap<_, _>, _) = std::mem::take(&mut self.runs)
            .into_iter()
            .partition(|(_, run)| run.must_stop && !run.is_stop_acknowledged());
        self.runs = expired;
        self.end_incarnation(
            now_ms,
            &incarnations::Witness {
                evidence: evidence::Evidence::LeasesExpired,
                next: None,
                age_ms: 0,
            },
        );
        self.runs.extend(unsure);
    }

    /// Keeps the runs, none of which can still be running, until a listing shows their ends.
    fn await_ends(&mut self, now_ms: u64) {
        log::warn!(event = "backend.leases_expired", runs = self.runs.len(), unseen_ms = now_ms - self.last_seen_ms.unwrap_or(now_ms), unanswered = self.unanswered_listings; "none of the runs can still be running at the backend server; requesting the listing of their ends");
        self.expired_at_ms = Some(now_ms);
        self.is_reconciled = false;
        let started = self.runs.values_mut().filter(|run| run.queued.is_none());
        for run in started {
            run.settled_at_ms = Some(now_ms);
        }
    }

    /// Returns the run and the reason if it has to be stopped now.
    ///
    /// An entry that has crashed, is suspended or is partitioned renews no lease. Its callers
    /// resend their jobs to other entries, and the runs that it started must have ended by then.
    fn due_stop(
        &self,
        now_ms: u64,
        id: &messages::RunId,
        run: &capacity::Run,
        unacknowledged: u64,
    ) -> Option<(messages::RunId, &'static str)> {
        if let Some(stop) = run.stop {
            return stop
                .is_due(now_ms, unacknowledged)
                .then(|| (id.clone(), "stop not acknowledged"));
        }
        if run.must_stop {
            return Some((id.clone(), "meant for a former incarnation"));
        }
        if self.expired_at_ms.is_some() {
            return None;
        }
        let is_silent = now_ms >= self.settles_at_ms && run.is_entry_silent(now_ms);
        is_silent.then(|| (id.clone(), "entry silent"))
    }

    fn remove_silent_owners(&mut self, now_ms: u64) {
        let busy: collections::HashSet<_> = self.runs.values().map(|run| run.owner).collect();
        self.owners.retain(|entry, owner| {
            let last_ms = owner.alive_at_ms().max(owner.reported_at_ms);
            busy.contains(entry) || now_ms < last_ms + OWNER_RETENTION_MS
        });
    }
}
