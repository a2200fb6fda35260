//! Handlers of requests from operators and peers: audit, status, metrics, settings and stop.

use std::time;

use smol_str::SmolStr;

use crate::api;
use crate::control;
use crate::metrics;
use crate::runner;

/// Minimum time for which a stopping runner keeps reporting that it is leaving.
const MIN_LEAVE_MS: u64 = 500;

impl actix::Handler<control::GetAudit> for runner::control::Control {
    type Result = actix::MessageResult<control::GetAudit>;

    fn handle(&mut self, message: control::GetAudit, _cx: &mut Self::Context) -> Self::Result {
        actix::MessageResult(self.settings_replica.audit(message.0))
    }
}

impl actix::Handler<control::GetStatus> for runner::control::Control {
    type Result = actix::MessageResult<control::GetStatus>;

    fn handle(&mut self, _message: control::GetStatus, _cx: &mut Self::Context) -> Self::Result {
        let now_ms = self.now_ms();
        let me = self.core.me().clone();
        let evidence = self.core.freshness().evidence(now_ms);
        actix::MessageResult(api::Status {
            role: SmolStr::new_static("runner"),
            name: me.name,
            incarnation: smol_str::format_smolstr!("{}", me.incarnation),
            zone: me.zone,
            leaving: self.core.is_leaving(),
            revision: self.settings_replica.state().revision(),
            has_settings: self.core.freshness().has_evidence(),
            log_age_ms: evidence.log_age_ms,
            fresh: self.core.is_fresh(now_ms),
            zones_out: self.settings_replica.state().settings().zones_out(),
            leader: None,
            queued: self.core.waiting() as u64,
            running: self.core.running() as u64,
            peers: Vec::new(),
        })
    }
}

impl actix::Handler<control::GetMetrics> for runner::control::Control {
    type Result = actix::MessageResult<control::GetMetrics>;

    fn handle(&mut self, _message: control::GetMetrics, _cx: &mut Self::Context) -> Self::Result {
        let counter = metrics::Sample::counter;
        let gauge = metrics::Sample::gauge;
        let revision = self
            .settings_replica
            .state()
            .revision()
            .map_or(0, |revision| revision + 1);
        let is_fresh = self.core.is_fresh(self.now_ms());
        actix::MessageResult(vec![
            counter(
                "runner_dispatches",
                "Tasks handed over by entries",
                self.counts.dispatches,
            ),
            counter("runner_starts", "Tasks started", self.counts.started),
            counter(
                "runner_not_started",
                "Tasks handed back",
                self.counts.not_started,
            ),
            counter("runner_fences", "Questions of entries", self.counts.fences),
            counter(
                "runner_log_reads",
                "Reads of the log",
                self.counts.log_reads,
            ),
            gauge(
                "runner_running",
                "Tasks that run",
                self.core.running() as u64,
            ),
            gauge(
                "runner_parked",
                "Tasks that wait for a slot",
                self.core.waiting() as u64,
            ),
            gauge(
                "runner_remembered",
                "Attempts remembered",
                self.core.remembered() as u64,
            ),
            gauge(
                "settings_position",
                "One more than the revision in force",
                revision,
            ),
            gauge("fresh", "Whether evidence is recent", is_fresh.into()),
        ])
    }
}

impl actix::Handler<control::GetSettings> for runner::control::Control {
    type Result = actix::MessageResult<control::GetSettings>;

    fn handle(&mut self, message: control::GetSettings, _cx: &mut Self::Context) -> Self::Result {
        actix::MessageResult(self.settings_replica.reply(&message.0))
    }
}

impl actix::Handler<control::Leave> for runner::control::Control {
    type Result = actix::MessageResult<control::Leave>;

    fn handle(&mut self, _message: control::Leave, cx: &mut Self::Context) -> Self::Result {
        let actions = self.core.leave();
        self.execute(cx, actions);
        self.leave_started_ms = Some(self.now_ms());
        self.send_heartbeats(cx);
        let drain_ms = self.timeouts().drain_ms;
        actix::MessageResult(time::Duration::from_millis(drain_ms.into()))
    }
}

impl actix::Handler<control::IsDrained> for runner::control::Control {
    type Result = bool;

    fn handle(&mut self, _message: control::IsDrained, _cx: &mut Self::Context) -> bool {
        let has_announced = self
            .leave_started_ms
            .is_some_and(|started_ms| started_ms + MIN_LEAVE_MS <= self.now_ms());
        has_announced && self.core.running() == 0 && self.core.waiting() == 0
    }
}

impl actix::Handler<control::Abandon> for runner::control::Control {
    type Result = ();

    /// Leaves the running tasks until their leases expire; the entries find out when they
    /// query the attempts.
    fn handle(&mut self, _message: control::Abandon, _cx: &mut Self::Context) {
        log::warn!(event = "runner.abandon", running = self.core.running(); "drain time is over; exiting while tasks run, whose leases will expire");
    }
}
