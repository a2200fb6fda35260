//! Status and metrics of an entry, and the runners that it queries for evidence.

use std::collections;

use smol_str::SmolStr;

use crate::api;
use crate::entry::core;
use crate::membership;
use crate::membership::contacts;
use crate::metrics;

impl core::Core {
    /// Returns the body of `GET /status`.
    pub fn status(&self, now_ms: u64) -> api::Status {
        let fresh_ms = self.settings.timeouts.fresh_ms.into();
        api::Status {
            role: SmolStr::new_static("entry"),
            name: self.me.name.clone(),
            incarnation: smol_str::format_smolstr!("{}", self.me.incarnation),
            zone: self.me.zone.clone(),
            leaving: self.is_leaving,
            revision: self.revision,
            has_settings: self.freshness.has_evidence(),
            log_age_ms: self.freshness.evidence(now_ms).log_age_ms,
            fresh: self.freshness.is_fresh(now_ms, fresh_ms),
            zones_out: self.settings.zones_out(),
            leader: self.leader(now_ms).map(|leader| leader.name.clone()),
            queued: self.queue.len() as u64,
            running: self.in_flight.len() as u64,
            peers: self.peers(now_ms),
        }
    }

    /// Returns the current metrics.
    pub fn samples(&self, now_ms: u64) -> Vec<metrics::Sample> {
        let counts = self.counts;
        let fresh_ms = self.settings.timeouts.fresh_ms.into();
        let is_fresh = self.freshness.is_fresh(now_ms, fresh_ms);
        let revision = self.revision.map_or(0, |revision| revision + 1);
        let counter = metrics::Sample::counter;
        let gauge = metrics::Sample::gauge;
        vec![
            counter("dispatches", "Tasks handed to runners", counts.dispatches),
            counter(
                "tasks_started",
                "Tasks known to have started",
                counts.started,
            ),
            counter(
                "wasted_messages",
                "Messages that moved nothing forward",
                counts.wasted,
            ),
            counter(
                "submissions_accepted",
                "Submissions taken in",
                counts.accepted,
            ),
            counter("submissions_refused", "Submissions refused", counts.refused),
            counter("answers_complete", "Complete answers", counts.complete),
            counter("answers_failed", "Failed answers", counts.failed),
            counter(
                "passed_on",
                "Submissions passed on to the leading entry",
                counts.passed_on,
            ),
            counter(
                "submissions_forwarded",
                "Submissions sent on to the entry that owns their id",
                counts.forwarded,
            ),
            counter("retries", "Idempotent tasks started again", counts.retries),
            gauge(
                "queued_tasks",
                "Tasks that wait here",
                self.queue.len() as u64,
            ),
            gauge(
                "running_tasks",
                "Tasks handed out",
                self.in_flight.len() as u64,
            ),
            gauge(
                "open_submissions",
                "Submissions without an answer",
                self.jobs.open() as u64,
            ),
            gauge(
                "remembered_submissions",
                "Submissions remembered",
                self.jobs.len() as u64,
            ),
            gauge(
                "settings_position",
                "One more than the revision in force",
                revision,
            ),
            counter(
                "ejections",
                "Times a runner was taken out for its tasks' ends",
                self.health.ejections(),
            ),
            gauge(
                "ejected_runners",
                "Runners that get nothing for their tasks' ends",
                self.health.ejected(now_ms) as u64,
            ),
            gauge("fresh", "Whether evidence is recent", is_fresh.into()),
        ]
    }

    /// Returns one live runner of each other availability zone, to be queried for evidence.
    ///
    /// Only a reply to an own request counts as evidence, see [`crate::freshness`]. If all
    /// entries run in one zone, or the other entries are down, the runners are the only
    /// processes of other zones that can be queried.
    pub fn foreign_runners(&self, now_ms: u64) -> Vec<contacts::Target> {
        let dead_after = u64::from(self.settings.timeouts.dead_after_ms);
        let mut by_zone = collections::BTreeMap::new();
        for (_, runner) in self.members.runners() {
            let is_live = runner.last_seen_ms.saturating_add(dead_after) > now_ms;
            if is_live && runner.peer.zone != self.me.zone {
                by_zone.insert(runner.peer.zone.clone(), runner);
            }
        }
        let target = |runner: &membership::Runner| contacts::Target {
            address: runner.peer.address.clone(),
            incarnation: Some(runner.peer.incarnation),
            needs_new_connection: false,
            entries_held: None,
        };
        by_zone.into_values().map(target).collect()
    }

    fn peers(&self, now_ms: u64) -> Vec<api::PeerStatus> {
        let runners = self
            .members
            .runners()
            .map(|(key, runner)| self.runner_status(now_ms, key, runner));
        let entries = self
            .members
            .entries()
            .map(|entry| self.entry_status(now_ms, entry));
        let mut peers: Vec<_> = entries.chain(runners).collect();
        peers.sort_by(|a, b| (&a.role, &a.name).cmp(&(&b.role, &b.name)));
        peers
    }

    fn runner_status(
        &self,
        now_ms: u64,
        key: membership::RunnerKey,
        runner: &membership::Runner,
    ) -> api::PeerStatus {
        api::PeerStatus {
            role: SmolStr::new_static("runner"),
            name: runner.peer.name.clone(),
            address: runner.peer.address.clone(),
            zone: runner.peer.zone.clone(),
            state: self.runner_state(now_ms, key, runner),
            revision: runner.revision,
            busy: runner.load.busy,
            slots: runner.load.slots,
        }
    }

    fn entry_status(&self, now_ms: u64, entry: &membership::Entry) -> api::PeerStatus {
        api::PeerStatus {
            role: SmolStr::new_static("entry"),
            name: entry.peer.name.clone(),
            address: entry.peer.address.clone(),
            zone: entry.peer.zone.clone(),
            state: self.state(now_ms, entry.last_seen_ms, entry.is_leaving),
            revision: entry.revision,
            busy: 0,
            slots: 0,
        }
    }

    fn runner_state(
        &self,
        now_ms: u64,
        key: membership::RunnerKey,
        runner: &membership::Runner,
    ) -> SmolStr {
        let liveness = self.state(now_ms, runner.last_seen_ms, runner.is_leaving);
        match self.health.state(key).label(now_ms) {
            Some(label) if liveness == "alive" => SmolStr::new_static(label),
            _ => liveness,
        }
    }

    fn state(&self, now_ms: u64, seen_ms: u64, is_leaving: bool) -> SmolStr {
        let dead_after = u64::from(self.settings.timeouts.dead_after_ms);
        let is_silent = seen_ms.saturating_add(dead_after) <= now_ms;
        let label = match (is_leaving, is_silent) {
            (true, _) => "leaving",
            (false, true) => "silent",
            (false, false) => "alive",
        };
        SmolStr::new_static(label)
    }
}
