//! Detects bad backend servers by the results of an entry's own tasks.
//!
//! Three load patterns make this necessary. A server that fails every task at once looks
//! idle, so least-loaded placement sends it all the work. A slow server delays every job
//! with a task on it. A stuck server holds its tasks until their limit. Without detection
//! all three persist.
//!
//! Evidence is always a comparison with results of the same team and kind on other runners.
//! A burst of failing tasks fails everywhere and so ejects no runner. The number of runners
//! ejected at a time is bounded, and the last one is never ejected.
//! `policy.eject_fraction = 0` disables detection. An entry ejects runners by its own
//! evidence only; on reports of other entries it merely prefers other runners.
//!
//! - [`evidence`]: results of one runner's tasks.
//! - [`shared`]: results of other entries' tasks, as a runner counts them.
//! - [`kinds`]: run times of each team and kind, over all runners.
//! - [`slowness`]: whether tasks take longer than on other runners, even before they end.
//! - [`state`]: in service, ejected or probed.
//! - [`warnings`]: reports of other entries.

pub mod evidence;
pub mod kinds;
pub mod shared;
pub mod slowness;
pub mod state;
pub mod warnings;

use crate::codes;
use crate::membership;
use crate::settings;
use crate::wire;

pub use kinds::Kind;
pub use state::State;

/// State of one attempt, ended or still running, at the entry that sent it.
#[derive(Clone, Copy, Debug)]
pub struct Observation {
    /// Number of the attempt.
    pub attempt: u64,
    /// Job of the task.
    pub job: u64,
    /// Team and kind of the task.
    pub kind: Kind,
    /// Send time, monotonic milliseconds.
    pub sent_ms: u64,
    /// Run time so far, milliseconds.
    pub run_ms: u64,
    /// Expected run time, milliseconds.
    pub expected_ms: u64,
    /// Result, or [`codes::Code::Pending`] while it runs.
    pub code: codes::Code,
}

/// Confidence that a runner is as fast as others.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Trust {
    /// There is no evidence against it.
    #[default]
    Full,
    /// Other runners with a free slot are to be preferred.
    SuspectedSlow,
    /// It awaits its first probe after an ejection and gets only tasks with time to spare.
    FirstProbe,
}

/// Limits on what a runner may be sent.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Allowance {
    /// Whether every other runner is to be preferred.
    pub is_suspect: bool,
    /// Confidence by the run times of its tasks.
    pub trust: Trust,
    /// Maximum number of this entry's concurrent tasks; `None` for no limit by health.
    pub max_tasks: Option<u32>,
}

#[derive(Debug, Default)]
struct Record {
    state: State,
    evidence: evidence::Evidence,
    shared: shared::SharedResults,
}

impl Record {
    fn trust(&self, now_ms: u64) -> Trust {
        if self.state.is_first_probe(now_ms) {
            Trust::FirstProbe
        } else if self.evidence.slowness().is_suspect(now_ms) {
            Trust::SuspectedSlow
        } else {
            Trust::Full
        }
    }
}

/// Health of all runners to which this entry has sent tasks.
#[derive(Debug, Default)]
pub struct Health {
    kinds: kinds::Kinds,
    by_runner: slotmap::SecondaryMap<membership::RunnerKey, Record>,
    ejections: u64,
}

/// Minimum number of other runners for a comparison.
const MIN_OTHERS: usize = 2;

/// Age up to which the last result of a kind on a runner is used for comparison,
/// milliseconds. A burst of failing tasks is over by then.
const LAST_END_VALID_MS: u64 = 30_000;

/// Shortest ejection, milliseconds: tasks that a backend server began before it became bad may
/// still complete.
const MIN_EJECTION_MS: u64 = 500;

impl Health {
    /// Returns the record of a runner, and adds one if there is none.
    ///
    /// Indexing cannot fail: `SecondaryMap` rejects only a null key.
    fn record(&mut self, runner: membership::RunnerKey) -> &mut Record {
        if !self.by_runner.contains_key(runner) {
            self.by_runner.insert(runner, Record::default());
        }
        &mut self.by_runner[runner]
    }

    /// Returns the number that stands for a team and kind.
    pub fn intern_kind(&mut self, team: &str, kind: &str) -> Kind {
        self.kinds.intern(team, kind)
    }

    /// Number of ejections so far.
    pub const fn ejections(&self) -> u64 {
        self.ejections
    }

    /// Number of runners that are ejected now.
    pub fn ejected(&self, now_ms: u64) -> usize {
        let states = self.by_runner.values();
        states
            .filter(|record| record.state.is_ejected(now_ms))
            .count()
    }

    /// Iterates over the runners that are ejected or being probed.
    pub fn unhealthy(&self) -> impl Iterator<Item = membership::RunnerKey> {
        let all = self.by_runner.iter();
        let unhealthy = all.filter(|(_, record)| !record.state.is_in_service());
        unhealthy.map(|(key, _)| key)
    }

    /// Returns the service state of a runner.
    pub fn state(&self, runner: membership::RunnerKey) -> State {
        self.by_runner
            .get(runner)
            .map_or_else(State::default, |record| record.state)
    }

    /// Returns what a runner may be sent now.
    pub fn allowance(&self, now_ms: u64, runner: membership::RunnerKey) -> Allowance {
        let Some(record) = self.by_runner.get(runner) else {
            return Allowance::default();
        };
        let is_suspect = record.evidence.is_suspect();
        let suspect_limit = is_suspect.then_some(1);
        let max_tasks = match record.state.max_tasks(now_ms) {
            Some(limit) => Some(limit.min(suspect_limit.unwrap_or(limit))),
            None => suspect_limit,
        };
        Allowance {
            is_suspect,
            trust: record.trust(now_ms),
            max_tasks,
        }
    }

    /// Removes a runner whose incarnation has ended.
    pub fn remove_runner(&mut self, runner: membership::RunnerKey) {
        self.by_runner.remove(runner);
    }

    /// Removes all runners that are no longer known.
    pub fn retain(&mut self, is_known: impl Fn(membership::RunnerKey) -> bool) {
        self.by_runner.retain(|runner, _| is_known(runner));
    }

    /// Records the end of an attempt; returns whether to eject the runner now, see
    /// [`Health::eject`].
    pub fn record_end(
        &mut self,
        now_ms: u64,
        runner: membership::RunnerKey,
        observation: &Observation,
        policy: &settings::Policy,
    ) -> bool {
        if policy.eject_fraction <= 0.0 {
            self.by_runner.clear();
            return false;
        }
        match observation.code {
            codes::Code::Complete => self.record_success(now_ms, runner, observation),
            codes::Code::TaskFailed => self.record_failure(now_ms, runner, observation),
            codes::Code::TaskTimedOut => self.record_stuck(now_ms, runner, observation),
            _ => return false,
        }
        self.should_eject(runner, policy)
    }

    /// Records an attempt that is still running; returns whether to eject the runner now,
    /// because its tasks run for far longer than their kinds explain.
    pub fn record_running(
        &mut self,
        now_ms: u64,
        runner: membership::RunnerKey,
        observation: &Observation,
        policy: &settings::Policy,
    ) -> bool {
        if policy.eject_fraction <= 0.0 || !self.kinds.is_far_overdue(observation) {
            return false;
        }
        self.record_stuck(now_ms, runner, observation);
        self.should_eject(runner, policy)
    }

    /// Ejects a runner unless too many are ejected; returns whether it did.
    ///
    /// `runners` is the number of runners that would be in service without ejections,
    /// including this one.
    pub fn eject(
        &mut self,
        now_ms: u64,
        runner: membership::RunnerKey,
        runners: usize,
        policy: &settings::Policy,
    ) -> bool {
        let is_allowed = self.ejected(now_ms) < max_ejected(runners, policy.eject_fraction);
        let record = self.record(runner);
        if !is_allowed || record.state.is_ejected(now_ms) {
            return false;
        }
        record.state.eject(now_ms, policy.eject_ms.into());
        record.evidence.clear();
        record.shared.restart();
        self.ejections += 1;
        true
    }

    /// Takes over the results of all entries that a runner reports.
    ///
    /// Sound results in a row end an ejection, and count as a successful probe. Returns whether an
    /// ejection has ended.
    pub fn record_shared(
        &mut self,
        now_ms: u64,
        runner: membership::RunnerKey,
        counts: wire::ResultCounts,
    ) -> bool {
        let record = self.record(runner);
        let evidence = record.shared.update(now_ms, counts);
        let since_ms = record.state.ejected_since_ms(now_ms).unwrap_or(0);
        let is_recent = now_ms < since_ms + MIN_EJECTION_MS;
        if evidence != shared::Evidence::Sound || record.state.is_in_service() || is_recent {
            return false;
        }
        let has_ended = record.state.end_ejection(now_ms);
        record.state.record_probe(now_ms, true);
        has_ended
    }

    /// Ends the ejections that have lasted for a while without a bad result of any entry, for use
    /// while work waits for capacity; returns the runners.
    ///
    /// `pause_ms` returns for a runner how long its ejection, and the time since the last bad
    /// result, has to last at least, in milliseconds.
    pub fn shorten_ejections(
        &mut self,
        now_ms: u64,
        pause_ms: impl Fn(membership::RunnerKey) -> u64,
    ) -> Vec<membership::RunnerKey> {
        let mut shortened = Vec::new();
        for (key, record) in &mut self.by_runner {
            let Some(since_ms) = record.state.ejected_since_ms(now_ms) else {
                continue;
            };
            let quiet_since_ms = since_ms.max(record.shared.unsound_at_ms());
            if now_ms >= quiet_since_ms + pause_ms(key) && record.state.end_ejection(now_ms) {
                shortened.push(key);
            }
        }
        shortened
    }

    fn record_success(
        &mut self,
        now_ms: u64,
        runner: membership::RunnerKey,
        observation: &Observation,
    ) {
        let excess = self.kinds.record_run_time(observation);
        let distribution = self.kinds.known_distribution(observation.kind);
        let llr = distribution.map(|distribution| slowness::llr_ended(excess, distribution));
        // Probes of a kind with too few samples must be able to return a runner to service.
        let is_in_time = excess <= evidence::SLOW_EXCESS + self.kinds.spread();
        let is_probe_ok = llr.map_or(Some(is_in_time), slowness::is_probe_successful);
        let record = self.record(runner);
        // Tasks sent before the ejection have contributed to it already.
        let is_old = record.state.is_sent_before(observation.sent_ms);
        let llr = llr.filter(|_| !is_old);
        record
            .evidence
            .record_success(now_ms, observation, llr.unwrap_or(0.0));
        if is_old {
            return;
        }
        if let Some(is_probe_ok) = is_probe_ok {
            record.state.record_probe(now_ms, is_probe_ok);
        }
    }

    fn record_failure(
        &mut self,
        now_ms: u64,
        runner: membership::RunnerKey,
        observation: &Observation,
    ) {
        let is_unusual = self.succeeds_elsewhere(now_ms, observation.kind, runner);
        let record = self.record(runner);
        record
            .evidence
            .record_failure(now_ms, observation, is_unusual);
        if is_unusual {
            record.state.record_probe(now_ms, false);
        }
    }

    fn record_stuck(
        &mut self,
        now_ms: u64,
        runner: membership::RunnerKey,
        observation: &Observation,
    ) {
        let is_unusual = self.succeeds_elsewhere(now_ms, observation.kind, runner);
        let record = self.record(runner);
        record.evidence.record_stuck(observation, is_unusual);
    }

    /// Returns whether the last task of a kind succeeded on most other runners that had one
    /// recently.
    fn succeeds_elsewhere(&self, now_ms: u64, kind: Kind, runner: membership::RunnerKey) -> bool {
        let others = self.by_runner.iter().filter(|(key, _)| *key != runner);
        let since_ms = now_ms.saturating_sub(LAST_END_VALID_MS);
        let (mut succeeded, mut total) = (0, 0);
        for (_, record) in others {
            let Some(is_success) = record.evidence.last_success(kind, since_ms) else {
                continue;
            };
            total += 1;
            succeeded += usize::from(is_success);
        }
        total >= MIN_OTHERS && succeeded * 2 > total
    }

    fn should_eject(&self, runner: membership::RunnerKey, policy: &settings::Policy) -> bool {
        let Some(record) = self.by_runner.get(runner) else {
            return false;
        };
        record.evidence.is_failing(policy.eject_failures)
            || record.state.is_probe_failed()
            || self.is_slow(runner, &record.evidence)
    }

    fn is_slow(&self, runner: membership::RunnerKey, evidence: &evidence::Evidence) -> bool {
        // Checked first, since the median of the others matters only for a slow runner.
        if !evidence.slowness().is_slow() {
            return false;
        }
        let others = self.by_runner.iter().filter(|(key, _)| *key != runner);
        let mut scores: Vec<f64> = others
            .map(|(_, record)| record.evidence.slowness().score())
            .collect();
        scores.sort_by(f64::total_cmp);
        let median = scores.get(scores.len() / 2);
        scores.len() >= MIN_OTHERS && median.is_some_and(|value| !slowness::is_common(*value))
    }

    fn samples(
        &self,
        running: impl Iterator<Item = (membership::RunnerKey, Observation)>,
    ) -> Samples {
        let mut samples = Samples::new();
        for (runner, observation) in running {
            let is_old = self.state(runner).is_sent_before(observation.sent_ms);
            let Some(distribution) = self
                .kinds
                .known_distribution(observation.kind)
                .filter(|_| !is_old)
            else {
                continue;
            };
            let sample = slowness::Sample {
                sent_ms: observation.sent_ms,
                job: observation.job,
                llr: slowness::llr_running(self.kinds.excess(&observation), distribution),
            };
            if let Some(entry) = samples.entry(runner) {
                entry.or_default().push(sample);
            }
        }
        samples
    }

    /// Updates the slowness test with the given running attempts; returns the runners to eject.
    pub fn check_running(
        &mut self,
        now_ms: u64,
        running: impl Iterator<Item = (membership::RunnerKey, Observation)>,
        policy: &settings::Policy,
    ) -> Vec<membership::RunnerKey> {
        let samples = self.samples(running);
        for (runner, record) in &mut self.by_runner {
            let samples = samples.get(runner).cloned().unwrap_or_default();
            record.evidence.slowness_mut().set_running(now_ms, samples);
        }
        if policy.eject_fraction <= 0.0 {
            return Vec::new();
        }
        let in_service = self
            .by_runner
            .iter()
            .filter(|(_, record)| !record.state.is_ejected(now_ms));
        let slow = in_service.filter(|(key, record)| self.is_slow(*key, &record.evidence));
        slow.map(|(key, _)| key).collect()
    }
}

/// Samples of the running tasks, by runner.
type Samples = slotmap::SecondaryMap<membership::RunnerKey, Vec<slowness::Sample>>;

/// Returns how many runners may be ejected at a time: the given fraction, at least one of
/// two or more, and never the last.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a fraction of a count is neither negative nor large"
)]
pub fn max_ejected(runners: usize, fraction: f64) -> usize {
    let bound = (runners as f64 * fraction).floor() as usize;
    bound.max(1).min(runners.saturating_sub(1))
}
