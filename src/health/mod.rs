//! Bad backend servers, as one entry sees them by what its own tasks come to.
//!
//! Answers three load patterns. A server that fails every task at once looks idle,
//! so least-loaded placement sends it all the work; a slow one makes every job with
//! a task on it late; a stuck one holds its tasks until their limit. Without this
//! slice all three go on for ever. Evidence is always a comparison with what the
//! same team and kind come to on other runners, so a burst of failing tasks, which
//! fail everywhere, ejects nobody. How many may be out at once is bounded, and the
//! last runner never is; `policy.eject_fraction = 0` switches the slice off. An entry
//! ejects by its own evidence only; what others say makes it prefer other runners.
//!
//! - [`evidence`]: what one runner's tasks came to.
//! - [`kinds`]: what each team and kind takes, over all runners.
//! - [`slowness`]: whether its tasks take longer than elsewhere, also before they end.
//! - [`state`]: in service, ejected, probed.
//! - [`warnings`]: what other entries say.

pub mod evidence;
pub mod kinds;
pub mod slowness;
pub mod state;
pub mod warnings;

use crate::codes;
use crate::membership;
use crate::settings;

pub use kinds::Kind;
pub use state::State;

/// How one attempt ended, as the entry that sent it knows.
#[derive(Clone, Copy, Debug)]
pub struct Observation {
    /// The attempt's number.
    pub attempt: u64,
    /// The job it is of.
    pub job: u64,
    /// Team and kind of the task.
    pub kind: Kind,
    /// When it was sent, monotonic milliseconds.
    pub sent_ms: u64,
    /// How long it ran, milliseconds.
    pub run_ms: u64,
    /// How long it was expected to run, milliseconds.
    pub expected_ms: u64,
    /// What it came to.
    pub code: codes::Code,
}

/// How far a runner is thought to be as fast as others.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Trust {
    /// Nothing speaks against it.
    #[default]
    Full,
    /// Others with a free slot are to be preferred.
    SuspectedSlow,
    /// A first probe after an ejection: only tasks with time to spare.
    FirstProbe,
}

/// What one runner may be sent.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Allowance {
    /// Whether any other runner is to be preferred.
    pub is_suspect: bool,
    /// What its tasks' run times allow.
    pub trust: Trust,
    /// Most tasks of this entry there at once; absent: no bound from here.
    pub max_tasks: Option<u32>,
}

#[derive(Debug, Default)]
struct One {
    state: State,
    evidence: evidence::Evidence,
}

impl One {
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

/// The health of all runners that this entry sent something.
#[derive(Debug, Default)]
pub struct Health {
    kinds: kinds::Kinds,
    by_runner: slotmap::SecondaryMap<membership::RunnerKey, One>,
    ejections: u64,
}

/// Ends on other runners without which nothing can be said of a kind elsewhere.
const MIN_ELSEWHERE: usize = 2;

/// Age after which a runner's last end says nothing of how a kind fares there,
/// milliseconds: a burst of bad tasks is over by then.
const ELSEWHERE_MS: u64 = 30_000;

impl Health {
    /// What is known of a runner; `SecondaryMap` gives no entry only for a null key.
    fn one(&mut self, runner: membership::RunnerKey) -> &mut One {
        if !self.by_runner.contains_key(runner) {
            self.by_runner.insert(runner, One::default());
        }
        &mut self.by_runner[runner]
    }

    /// The key of a team and kind.
    pub fn intern_kind(&mut self, team: &str, kind: &str) -> Kind {
        self.kinds.intern(team, kind)
    }

    /// Ejections so far.
    pub const fn ejections(&self) -> u64 {
        self.ejections
    }

    /// How many runners get nothing at the moment.
    pub fn ejected(&self, now_ms: u64) -> usize {
        let states = self.by_runner.values();
        states.filter(|one| one.state.is_out(now_ms)).count()
    }

    /// The runners that are out or being probed.
    pub fn unhealthy(&self) -> impl Iterator<Item = membership::RunnerKey> {
        let all = self.by_runner.iter();
        let bad = all.filter(|(_, one)| !one.state.is_in_service());
        bad.map(|(key, _)| key)
    }

    /// How a runner stands.
    pub fn state(&self, runner: membership::RunnerKey) -> State {
        self.by_runner
            .get(runner)
            .map_or_else(State::default, |one| one.state)
    }

    /// What a runner may be sent now.
    pub fn allowance(&self, now_ms: u64, runner: membership::RunnerKey) -> Allowance {
        let Some(one) = self.by_runner.get(runner) else {
            return Allowance::default();
        };
        let is_suspect = one.evidence.is_suspect();
        let bound = is_suspect.then_some(1);
        let max_tasks = match one.state.most(now_ms) {
            Some(most) => Some(most.min(bound.unwrap_or(most))),
            None => bound,
        };
        Allowance {
            is_suspect,
            trust: one.trust(now_ms),
            max_tasks,
        }
    }

    /// A runner's life is over.
    pub fn remove_runner(&mut self, runner: membership::RunnerKey) {
        self.by_runner.remove(runner);
    }

    /// Forgets all runners but those that are still known.
    pub fn retain(&mut self, is_known: impl Fn(membership::RunnerKey) -> bool) {
        self.by_runner.retain(|runner, _| is_known(runner));
    }

    /// An attempt ended. Gives whether the runner is now to be ejected, see
    /// [`Health::eject`].
    pub fn record_end(
        &mut self,
        now_ms: u64,
        runner: membership::RunnerKey,
        end: &Observation,
        policy: &settings::Policy,
    ) -> bool {
        if policy.eject_fraction <= 0.0 {
            self.by_runner.clear();
            return false;
        }
        match end.code {
            codes::Code::Complete => self.succeeded(now_ms, runner, end),
            codes::Code::TaskFailed => self.failed(now_ms, runner, end),
            codes::Code::TaskTimedOut => self.stuck(now_ms, runner, end),
            _ => return false,
        }
        self.is_bad(runner, policy)
    }

    /// An attempt was found running. Gives whether the runner is now to be ejected,
    /// since its tasks run for longer than their kinds could explain.
    pub fn record_running(
        &mut self,
        now_ms: u64,
        runner: membership::RunnerKey,
        end: &Observation,
        policy: &settings::Policy,
    ) -> bool {
        if policy.eject_fraction <= 0.0 || !self.kinds.is_far_over(end) {
            return false;
        }
        self.stuck(now_ms, runner, end);
        self.is_bad(runner, policy)
    }

    /// Takes a runner out, unless too many are; `runners` is how many are in service
    /// but for this slice's doing, this one included.
    pub fn eject(
        &mut self,
        now_ms: u64,
        runner: membership::RunnerKey,
        runners: usize,
        policy: &settings::Policy,
    ) -> bool {
        let has_room = self.ejected(now_ms) < max_ejected(runners, policy.eject_fraction);
        let one = self.one(runner);
        if !has_room || one.state.is_out(now_ms) {
            return false;
        }
        one.state.eject(now_ms, policy.eject_ms.into());
        one.evidence.clear();
        self.ejections += 1;
        true
    }

    fn succeeded(&mut self, now_ms: u64, runner: membership::RunnerKey, end: &Observation) {
        let excess = self.kinds.learn(end);
        let shape = self.kinds.known(end.kind);
        let weight = shape.map(|shape| slowness::weight(excess, shape));
        // A kind too new to weigh must bring a runner back all the same.
        let is_in_time = excess <= evidence::SLOW_EXCESS + self.kinds.spread();
        let is_well = weight.map_or(Some(is_in_time), slowness::is_probe_well);
        let one = self.one(runner);
        // What was sent before the runner was taken out has spoken already.
        let is_old = one.state.is_sent_before(end.sent_ms);
        let weight = weight.filter(|_| !is_old);
        one.evidence.succeeded(now_ms, end, weight.unwrap_or(0.0));
        if is_old {
            return;
        }
        if let Some(is_well) = is_well {
            one.state.probed(now_ms, is_well);
        }
    }

    fn failed(&mut self, now_ms: u64, runner: membership::RunnerKey, end: &Observation) {
        let is_well = self.is_well_elsewhere(now_ms, end.kind, runner);
        let one = self.one(runner);
        one.evidence.failed(now_ms, end, is_well);
        if is_well {
            one.state.probed(now_ms, false);
        }
    }

    fn stuck(&mut self, now_ms: u64, runner: membership::RunnerKey, end: &Observation) {
        let is_well = self.is_well_elsewhere(now_ms, end.kind, runner);
        let one = self.one(runner);
        one.evidence.stuck(end, is_well);
    }

    /// Whether most other runners where this kind ended lately did it well.
    fn is_well_elsewhere(&self, now_ms: u64, kind: Kind, runner: membership::RunnerKey) -> bool {
        let others = self.by_runner.iter().filter(|(key, _)| *key != runner);
        let since_ms = now_ms.saturating_sub(ELSEWHERE_MS);
        let (mut well, mut all) = (0, 0);
        for (_, one) in others {
            let Some(was_well) = one.evidence.last(kind, since_ms) else {
                continue;
            };
            all += 1;
            well += usize::from(was_well);
        }
        all >= MIN_ELSEWHERE && well * 2 > all
    }

    fn is_bad(&self, runner: membership::RunnerKey, policy: &settings::Policy) -> bool {
        let Some(one) = self.by_runner.get(runner) else {
            return false;
        };
        one.evidence.is_failing(policy.eject_failures)
            || one.state.is_probe_failed()
            || self.is_slow(runner, &one.evidence)
    }

    fn is_slow(&self, runner: membership::RunnerKey, evidence: &evidence::Evidence) -> bool {
        // The others are looked at only where they could excuse it.
        if !evidence.slowness().is_slow() {
            return false;
        }
        let others = self.by_runner.iter().filter(|(key, _)| *key != runner);
        let mut weights: Vec<f64> = others
            .map(|(_, one)| one.evidence.slowness().weight())
            .collect();
        weights.sort_by(f64::total_cmp);
        let median = weights.get(weights.len() / 2);
        weights.len() >= MIN_ELSEWHERE && median.is_some_and(|one| !slowness::is_common(*one))
    }

    fn signs(&self, running: impl Iterator<Item = (membership::RunnerKey, Observation)>) -> Signs {
        let mut signs = Signs::new();
        for (runner, end) in running {
            let is_old = self.state(runner).is_sent_before(end.sent_ms);
            let Some(shape) = self.kinds.known(end.kind).filter(|_| !is_old) else {
                continue;
            };
            let sign = slowness::Sign {
                sent_ms: end.sent_ms,
                job: end.job,
                weight: slowness::weight_running(self.kinds.excess(&end), shape),
            };
            if let Some(entry) = signs.entry(runner) {
                entry.or_default().push(sign);
            }
        }
        signs
    }

    /// Looks anew at what runs: gives the runners that are now to be ejected.
    pub fn check_running(
        &mut self,
        now_ms: u64,
        running: impl Iterator<Item = (membership::RunnerKey, Observation)>,
        policy: &settings::Policy,
    ) -> Vec<membership::RunnerKey> {
        let signs = self.signs(running);
        for (runner, one) in &mut self.by_runner {
            let signs = signs.get(runner).cloned().unwrap_or_default();
            one.evidence.slowness_mut().running(now_ms, signs);
        }
        if policy.eject_fraction <= 0.0 {
            return Vec::new();
        }
        let in_service = self
            .by_runner
            .iter()
            .filter(|(_, one)| !one.state.is_out(now_ms));
        let slow = in_service.filter(|(key, one)| self.is_slow(*key, &one.evidence));
        slow.map(|(key, _)| key).collect()
    }
}

/// What running tasks say, by runner.
type Signs = slotmap::SecondaryMap<membership::RunnerKey, Vec<slowness::Sign>>;

/// Most runners that may be ejected at once: the part that the policy names, at
/// least one where there are two, and never the last.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a part of a count is neither negative nor large"
)]
pub fn max_ejected(runners: usize, fraction: f64) -> usize {
    let part = (runners as f64 * fraction).floor() as usize;
    part.max(1).min(runners.saturating_sub(1))
}
