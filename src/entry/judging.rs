//! What an entry tells the health slice of its tasks, and the ejections that follow.

use crate::codes;
use crate::entry::core;
use crate::health;
use crate::ids;
use crate::membership;

/// Time that a task is not taken to have run for, milliseconds: both ways of its
/// messages and the ticks of two processes.
const WAY_MS: u64 = 25;

impl core::Core {
    /// Tells the health slice how an attempt ended.
    pub(crate) fn judge_end(
        &mut self,
        now_ms: u64,
        number: u64,
        flight: &core::InFlight,
        run_ms: u64,
        code: codes::Code,
    ) {
        let end = end_of(number, flight, run_ms, code);
        let policy = self.settings.policy;
        if self.health.record_end(now_ms, flight.runner, &end, &policy) {
            self.eject(now_ms, flight.runner);
        }
    }

    /// Tells the health slice of an attempt that was found running.
    pub(crate) fn judge_running(&mut self, now_ms: u64, number: u64, run_ms: u64) {
        let Some(flight) = self.in_flight.get(number) else {
            return;
        };
        let runner = flight.runner;
        let end = end_of(number, flight, run_ms, codes::Code::Pending);
        let policy = self.settings.policy;
        if self.health.record_running(now_ms, runner, &end, &policy) {
            self.eject(now_ms, runner);
        }
    }

    /// Tells the health slice what runs, by how long ago it was sent into a free slot.
    ///
    /// A slow server would else be found only when its tasks end, and would draw as many
    /// as it has slots until then.
    pub(crate) fn judge_all_running(&mut self, now_ms: u64) {
        let policy = self.settings.policy;
        let is_late = |flight: &core::InFlight| {
            let age_ms = now_ms.saturating_sub(flight.sent_ms + WAY_MS);
            flight.had_slot && age_ms > flight.expected_ms
        };
        let late = self.in_flight.iter().filter(|(_, flight)| is_late(flight));
        let running = late.map(|(number, flight)| {
            let age_ms = now_ms.saturating_sub(flight.sent_ms + WAY_MS);
            let end = end_of(number, flight, age_ms, codes::Code::Pending);
            (flight.runner, end)
        });
        for runner in self.health.check_running(now_ms, running, &policy) {
            self.eject(now_ms, runner);
        }
    }

    /// Lives of the runners that are bad by what this entry's own tasks came to.
    pub(crate) fn bad_runners(&self) -> Vec<ids::Incarnation> {
        let bad = self.health.unhealthy();
        let known = bad.filter_map(|key| self.members.runner(key));
        let lives = known.map(|runner| runner.peer.incarnation);
        lives.take(health::warnings::MAX_REPORTED).collect()
    }

    fn eject(&mut self, now_ms: u64, runner: membership::RunnerKey) {
        let runners = self.usable(now_ms).count();
        let policy = self.settings.policy;
        self.health.eject(now_ms, runner, runners, &policy);
    }
}

fn end_of(
    number: u64,
    flight: &core::InFlight,
    run_ms: u64,
    code: codes::Code,
) -> health::Observation {
    health::Observation {
        attempt: number,
        job: slotmap::Key::data(&flight.task.submission).as_ffi(),
        kind: flight.kind,
        sent_ms: flight.sent_ms,
        run_ms,
        expected_ms: flight.expected_ms,
        code,
    }
}
