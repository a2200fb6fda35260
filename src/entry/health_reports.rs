//! Reports of task outcomes to the health tracker, and the resulting ejections.

use crate::codes;
use crate::entry::core;
use crate::health;
use crate::ids;
use crate::membership;

/// Time since a dispatch that does not count as run time, in milliseconds.
///
/// It covers the latency of both messages and the ticks of two processes.
const OVERHEAD_MS: u64 = 25;

impl core::Core {
    /// Reports how an attempt ended.
    pub(crate) fn report_end(
        &mut self,
        now_ms: u64,
        number: u64,
        pending: &core::InFlight,
        run_ms: u64,
        code: codes::Code,
    ) {
        let end = end_of(number, pending, run_ms, code);
        let policy = self.settings.policy;
        if self
            .health
            .record_end(now_ms, pending.runner, &end, &policy)
        {
            self.eject(now_ms, pending.runner);
        }
    }

    /// Reports an attempt that the runner says is still running.
    pub(crate) fn report_running(&mut self, now_ms: u64, number: u64, run_ms: u64) {
        let Some(pending) = self.in_flight.get(number) else {
            return;
        };
        let runner = pending.runner;
        let end = end_of(number, pending, run_ms, codes::Code::Pending);
        let policy = self.settings.policy;
        if self.health.record_running(now_ms, runner, &end, &policy) {
            self.eject(now_ms, runner);
        }
    }

    /// Reports the attempts that have run longer than expected, counted from their
    /// dispatch into a free slot.
    ///
    /// Otherwise a slow backend server would be detected only when its tasks end, and
    /// would receive as many tasks as it has slots until then.
    pub(crate) fn report_overdue(&mut self, now_ms: u64) {
        let policy = self.settings.policy;
        let is_overdue = |pending: &core::InFlight| {
            let age_ms = now_ms.saturating_sub(pending.sent_ms + OVERHEAD_MS);
            pending.had_free_slot && age_ms > pending.expected_ms
        };
        let overdue = self
            .in_flight
            .iter()
            .filter(|(_, pending)| is_overdue(pending));
        let running = overdue.map(|(number, pending)| {
            let age_ms = now_ms.saturating_sub(pending.sent_ms + OVERHEAD_MS);
            let end = end_of(number, pending, age_ms, codes::Code::Pending);
            (pending.runner, end)
        });
        for runner in self.health.check_running(now_ms, running, &policy) {
            self.eject(now_ms, runner);
        }
    }

    /// Returns the runner incarnations that are bad by the outcomes of this entry's tasks.
    pub(crate) fn bad_runners(&self) -> Vec<ids::Incarnation> {
        let bad = self.health.unhealthy();
        let known = bad.filter_map(|key| self.members.runner(key));
        let incarnations = known.map(|runner| runner.peer.incarnation);
        incarnations.take(health::warnings::MAX_REPORTED).collect()
    }

    fn eject(&mut self, now_ms: u64, runner: membership::RunnerKey) {
        let runners = self.usable(now_ms).count();
        let policy = self.settings.policy;
        self.health.eject(now_ms, runner, runners, &policy);
    }
}

fn end_of(
    number: u64,
    pending: &core::InFlight,
    run_ms: u64,
    code: codes::Code,
) -> health::Observation {
    health::Observation {
        attempt: number,
        job: slotmap::Key::data(&pending.task.submission).as_ffi(),
        kind: pending.kind,
        sent_ms: pending.sent_ms,
        run_ms,
        expected_ms: pending.expected_ms,
        code,
    }
}
