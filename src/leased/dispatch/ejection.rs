//! Reports run outcomes to the health tracker and ejects the runners that it finds bad.
//!
//! A backend server that fails every task at once looks idle and attracts all work. On one that
//! is slow or hangs, every job is late. [`health`] describes the evidence.

use slotmap::Key as _;

use crate::codes;
use crate::health;
use crate::leased::dispatch;
use crate::leased::dispatch::runners;
use crate::leased::dispatch::runners::runs;
use crate::leased::messages;

/// Interval between checks of running tasks, in milliseconds.
///
/// It is short enough for tasks of 60 ms, and costs a twentieth of checking on every tick.
const CHECK_INTERVAL_MS: u64 = 50;

/// Latency of an order plus that of the report of the end, in milliseconds.
///
/// It is not counted as run time.
const ROUND_TRIP_MS: u64 = 10;

/// Multiple of its declared time after which a run on an ejected runner is stopped and started
/// elsewhere; before that it may well end first.
const RELOCATE_FACTOR: u64 = 2;

/// Shortest time after an ejection, or after the last bad result of any entry, until a runner is
/// probed while work waits for capacity, in milliseconds.
const MIN_PROBE_PAUSE_MS: u64 = 1_000;

/// Range over which entries spread that time, in milliseconds, so that mostly one of them probes
/// and the others learn its result.
const PROBE_SPREAD_MS: u64 = 1_000;

impl dispatch::Dispatcher {
    /// Takes over the results of all entries that a runner has reported.
    pub(super) fn record_results(&mut self, now_ms: u64, key: runners::RunnerKey) {
        let Some(runner) = self.runners.get(key) else {
            return;
        };
        let results = runner.load.results;
        if self.health.record_shared(now_ms, key, results) {
            log::info!(event = "runner.recovered", runner = runner.address().as_str(), sound = results.sound, unsound = results.unsound; "another entry's run succeeded on the ejected runner; probing it");
        }
    }

    /// Probes ejected runners early while jobs wait for capacity.
    ///
    /// Capacity that has come back is of no use to callers who are refused meanwhile.
    pub(super) fn probe_ejected(&mut self, now_ms: u64) {
        if self.waiting.is_empty() {
            return;
        }
        let runners = &self.runners;
        let pause_ms = |key| {
            let runner: Option<&runners::Runner> = runners.get(key);
            let spread_ms = runner.map_or(0, |runner| runner.preference % PROBE_SPREAD_MS);
            MIN_PROBE_PAUSE_MS + spread_ms
        };
        for key in self.health.shorten_ejections(now_ms, pause_ms) {
            if let Some(runner) = self.runners.get(key) {
                log::info!(event = "runner.probed_early", runner = runner.address().as_str(), waiting = self.waiting.len(); "jobs wait for capacity; probing the ejected runner before its time");
            }
        }
    }

    /// Passes the outcome of a run to the health tracker and ejects the runner if it is bad.
    pub(super) fn observe_end(
        &mut self,
        now_ms: u64,
        key: runners::RunnerKey,
        run: &runs::EndedRun,
    ) -> Vec<dispatch::Action> {
        let code = match run.how {
            messages::RunOutcome::Done => codes::Code::Complete,
            messages::RunOutcome::Failed => codes::Code::TaskFailed,
            messages::RunOutcome::Stopped | messages::RunOutcome::NotStarted => return Vec::new(),
        };
        let observed = observation(&run.placed, run.ran_ms, code);
        if self.health.record_end(now_ms, key, &observed, &self.policy) {
            return self.eject(now_ms, key);
        }
        Vec::new()
    }

    /// Passes runs that exceed their declared time to the health tracker and ejects bad runners.
    pub(super) fn observe_running(&mut self, now_ms: u64) -> Vec<dispatch::Action> {
        if now_ms < self.running_checked_ms + CHECK_INTERVAL_MS {
            return Vec::new();
        }
        self.running_checked_ms = now_ms;
        self.probe_ejected(now_ms);
        let mut late = Vec::new();
        for (key, runner) in self.watched_runners() {
            for (_, placed) in runner.placed_runs() {
                let age_ms = now_ms.saturating_sub(placed.ordered_ms + ROUND_TRIP_MS);
                let is_late = !placed.waits && age_ms > placed.expected_ms;
                if is_late && self.jobs.contains_key(placed.job) {
                    late.push((key, observation(placed, age_ms, codes::Code::Pending)));
                }
            }
        }
        let mut to_eject = self
            .health
            .check_running(now_ms, late.iter().copied(), &self.policy);
        for (key, observed) in &late {
            if self
                .health
                .record_running(now_ms, *key, observed, &self.policy)
            {
                to_eject.push(*key);
            }
        }
        to_eject
            .into_iter()
            .flat_map(|key| self.eject(now_ms, key))
            .collect()
    }

    /// Ejects a runner temporarily, unless too many are ejected, and stops its hanging runs.
    fn eject(&mut self, now_ms: u64, key: runners::RunnerKey) -> Vec<dispatch::Action> {
        let usable = self.usable(now_ms);
        if !self.health.eject(now_ms, key, usable, &self.policy) {
            return Vec::new();
        }
        let Some(runner) = self.runners.get(key) else {
            return Vec::new();
        };
        log::warn!(event = "runner.ejected", runner = runner.address().as_str(), usable = usable, runs = runner.placed(); "tasks fail, hang or are slow on this runner; sending it no work for now");
        let is_overrunning = |placed: &runs::PlacedRun| {
            !placed.waits
                && now_ms.saturating_sub(placed.ordered_ms) > RELOCATE_FACTOR * placed.expected_ms
        };
        let overrunning = runner
            .placed_runs()
            .filter(|(_, placed)| is_overrunning(placed));
        let stops: Vec<_> = overrunning.map(|(id, _)| id.clone()).collect();
        if stops.is_empty() {
            return Vec::new();
        }
        // The tasks restart elsewhere only after the runner reports these runs as stopped.
        self.send_order(now_ms, key, Vec::new(), stops)
            .into_iter()
            .collect()
    }
}

fn observation(placed: &runs::PlacedRun, run_ms: u64, code: codes::Code) -> health::Observation {
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
