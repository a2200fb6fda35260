//! What an entry tells the health slice of its runs, and what follows for a bad server.
//!
//! Load that this answers: a backend server that fails whatever it starts looks empty and
//! draws all work; on one that is slow or stands still every job is late. See [`health`]
//! for the evidence.

use slotmap::Key as _;

use crate::codes;
use crate::health;
use crate::leased::dispatch;
use crate::leased::dispatch::runners;
use crate::leased::messages;

/// How often running tasks are looked at, in milliseconds: often enough for tasks of
/// 60 ms, and a twentieth of what looking at each tick costs.
const LOOK_MS: u64 = 50;

/// Time that a task is not taken to have run for, in milliseconds: the ways of its order
/// and of the report of its end.
const WAY_MS: u64 = 10;

/// How many times its declared time a run on a bad server has taken when it is started
/// elsewhere; before that it may well end first.
const MOVE_FACTOR: u64 = 2;

impl dispatch::Dispatcher {
    /// Tells the health slice how a run ended.
    pub(super) fn judge_end(
        &mut self,
        now_ms: u64,
        key: runners::RunnerKey,
        over: &runners::Over,
    ) -> Vec<dispatch::Action> {
        let code = match over.how {
            messages::RunOutcome::Done => codes::Code::Complete,
            messages::RunOutcome::Failed => codes::Code::TaskFailed,
            messages::RunOutcome::Stopped | messages::RunOutcome::NotStarted => return Vec::new(),
        };
        let end = end_of(&over.placed, over.ran_ms, code);
        if self.health.record_end(now_ms, key, &end, &self.policy) {
            return self.eject(now_ms, key);
        }
        Vec::new()
    }

    /// Tells the health slice of runs that take longer than declared.
    pub(super) fn judge_running(&mut self, now_ms: u64) -> Vec<dispatch::Action> {
        if now_ms < self.looked_ms + LOOK_MS {
            return Vec::new();
        }
        self.looked_ms = now_ms;
        let mut late = Vec::new();
        for (key, runner) in self.watched_runners() {
            for (_, placed) in runner.placed_runs() {
                let age_ms = now_ms.saturating_sub(placed.ordered_ms + WAY_MS);
                let is_late = !placed.waits && age_ms > placed.expected_ms;
                if is_late && self.jobs.contains_key(placed.job) {
                    late.push((key, end_of(placed, age_ms, codes::Code::Pending)));
                }
            }
        }
        let mut bad = self
            .health
            .check_running(now_ms, late.iter().copied(), &self.policy);
        for (key, end) in &late {
            if self.health.record_running(now_ms, *key, end, &self.policy) {
                bad.push(*key);
            }
        }
        bad.into_iter()
            .flat_map(|key| self.eject(now_ms, key))
            .collect()
    }

    /// Takes a runner out for a while, unless too many are, and moves what hangs there.
    fn eject(&mut self, now_ms: u64, key: runners::RunnerKey) -> Vec<dispatch::Action> {
        let usable = self.usable(now_ms);
        if !self.health.eject(now_ms, key, usable, &self.policy) {
            return Vec::new();
        }
        let Some(runner) = self.runners.get(key) else {
            return Vec::new();
        };
        log::warn!(event = "runner.ejected", runner = runner.address().as_str(), usable = usable, runs = runner.placed(); "its tasks fail, hang or are slow");
        let is_hanging = |placed: &runners::Placed| {
            !placed.waits
                && now_ms.saturating_sub(placed.ordered_ms) > MOVE_FACTOR * placed.expected_ms
        };
        let hanging = runner
            .placed_runs()
            .filter(|(_, placed)| is_hanging(placed));
        let stops: Vec<_> = hanging.map(|(id, _)| id.clone()).collect();
        if stops.is_empty() {
            return Vec::new();
        }
        // Their ends come back as stopped, and only then do the tasks go elsewhere.
        self.order(now_ms, key, Vec::new(), stops)
            .into_iter()
            .collect()
    }
}

fn end_of(placed: &runners::Placed, run_ms: u64, code: codes::Code) -> health::Observation {
    health::Observation {
        attempt: placed.number,
        job: placed.job.data().as_ffi(),
        kind: placed.kind,
        sent_ms: placed.ordered_ms,
        run_ms,
        expected_ms: placed.expected_ms,
        code,
    }
}
