//! Bad backend servers, as one entry sees them by what its own tasks come to.
//!
//! Answers three load patterns. A server that fails every task at once looks idle,
//! so least-loaded placement sends it all the work; a slow one makes every job with
//! a task on it late; a stuck one holds its tasks until their limit. Without this
//! slice all three go on for ever. Evidence is always a comparison with what the
//! same team and kind come to on other runners, so a burst of failing tasks, which
//! fail everywhere, ejects nobody. How many may be out at once is bounded, and the
//! last runner never is; `policy.eject_fraction = 0` switches the slice off.
//!
//! - [`evidence`]: what one runner's tasks came to.
//! - [`kinds`]: what each team and kind takes, over all runners.
//! - [`state`]: in service, ejected, probed.

pub mod evidence;
pub mod kinds;
pub mod state;

use crate::codes;
use crate::membership;
use crate::settings;

pub use kinds::Kind;
pub use state::State;

/// How one attempt ended, as the entry that sent it knows.
#[derive(Clone, Copy, Debug)]
pub struct End {
    /// The attempt's number.
    pub attempt: u64,
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

/// What one runner may be sent.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Allowance {
    /// Whether any other runner is to be preferred.
    pub is_suspect: bool,
    /// Most tasks of this entry there at once; absent: no bound from here.
    pub most: Option<u32>,
}

#[derive(Debug, Default)]
struct One {
    state: State,
    evidence: evidence::Evidence,
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
    pub fn kind(&mut self, team: &str, kind: &str) -> Kind {
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
        let most = match one.state.most(now_ms) {
            Some(most) => Some(most.min(bound.unwrap_or(most))),
            None => bound,
        };
        Allowance { is_suspect, most }
    }

    /// A runner's life is over.
    pub fn forget(&mut self, runner: membership::RunnerKey) {
        self.by_runner.remove(runner);
    }

    /// Forgets all runners but those that are still known.
    pub fn retain(&mut self, is_known: impl Fn(membership::RunnerKey) -> bool) {
        self.by_runner.retain(|runner, _| is_known(runner));
    }

    /// An attempt ended. Gives whether the runner is now to be ejected, see
    /// [`Health::eject`].
    pub fn ended(
        &mut self,
        now_ms: u64,
        runner: membership::RunnerKey,
        end: &End,
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
    pub fn running(
        &mut self,
        now_ms: u64,
        runner: membership::RunnerKey,
        end: &End,
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
        let has_room = self.ejected(now_ms) < most_out(runners, policy.eject_fraction);
        let one = self.one(runner);
        if !has_room || one.state.is_out(now_ms) {
            return false;
        }
        one.state.eject(now_ms, policy.eject_ms.into());
        one.evidence.clear();
        self.ejections += 1;
        true
    }

    fn succeeded(&mut self, now_ms: u64, runner: membership::RunnerKey, end: &End) {
        let excess = self.kinds.learn(end);
        let spread = self.kinds.spread();
        let one = self.one(runner);
        one.evidence.succeeded(now_ms, end, excess);
        one.state.probed(now_ms, excess <= slow_bound(spread));
    }

    fn failed(&mut self, now_ms: u64, runner: membership::RunnerKey, end: &End) {
        let is_well = self.is_well_elsewhere(now_ms, end.kind, runner);
        let one = self.one(runner);
        one.evidence.failed(now_ms, end, is_well);
        if is_well {
            one.state.probed(now_ms, false);
        }
    }

    fn stuck(&mut self, now_ms: u64, runner: membership::RunnerKey, end: &End) {
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
        // The others are looked at only where their median could decide it.
        let may_be = |excess| excess > evidence::SLOW_EXCESS / 2.0;
        if !evidence.excess().is_some_and(may_be) {
            return false;
        }
        let typical = self.typical(runner);
        typical.is_some_and(|typical| evidence.is_slow(typical, self.kinds.spread()))
    }

    /// The median excess of the other runners; absent until two have shown one.
    fn typical(&self, runner: membership::RunnerKey) -> Option<f64> {
        let others = self.by_runner.iter().filter(|(key, _)| *key != runner);
        let mut known: Vec<f64> = others
            .filter_map(|(_, one)| one.evidence.excess())
            .collect();
        known.sort_by(f64::total_cmp);
        (known.len() >= MIN_ELSEWHERE).then(|| known[known.len() / 2])
    }
}

/// Excess, as a natural logarithm, over which a single probe counts as slow: twice
/// the time, and one spread of its kind more.
fn slow_bound(spread: f64) -> f64 {
    evidence::SLOW_EXCESS + spread
}

/// Most runners that may be ejected at once: the part that the policy names, at
/// least one where there are two, and never the last.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a part of a count is neither negative nor large"
)]
pub fn most_out(runners: usize, fraction: f64) -> usize {
    let part = (runners as f64 * fraction).floor() as usize;
    part.max(1).min(runners.saturating_sub(1))
}
