//! When the refused should come back.
//!
//! Told the same time, all the refused of an overload return together and are refused
//! together. So each is told when its turn would come: behind what waits, and behind
//! those of its team that were refused before it and are expected back. A random part
//! keeps callers that were refused within one moment apart.

use crate::queue;

/// Least time to stay away, in milliseconds: some windows of the drain rate's noise
/// would pass before an earlier return could find anything changed.
pub const MIN_MS: u64 = 200;
/// Longest time to stay away, in milliseconds: whoever waits longer knows better from
/// asking again.
pub const MAX_MS: u64 = 10_000;

#[derive(Clone, Copy, Debug)]
struct Refused {
    work_ms: f64,
    at_ms: u64,
}

/// Work refused lately and expected back, by team.
#[derive(Debug, Default)]
pub struct RefusedWork {
    teams: slotmap::SecondaryMap<queue::TeamKey, Refused>,
}

impl RefusedWork {
    /// When to come back with so much work, in milliseconds from now.
    ///
    /// `rate` is the slot time a millisecond that the team can count on, `excess_ms`
    /// how much longer than allowed the wait would be, and `draw` a random number.
    pub fn retry_after_ms(
        &mut self,
        now_ms: u64,
        team: queue::TeamKey,
        work_ms: u64,
        rate: f64,
        excess_ms: f64,
        draw: u64,
    ) -> u64 {
        let rate = rate.max(f64::EPSILON);
        let before = self.drained(now_ms, team, rate);
        let after = before + work_ms as f64;
        let refused = Refused {
            work_ms: after.min(rate * MAX_MS as f64),
            at_ms: now_ms,
        };
        self.teams.insert(team, refused);
        let base = clamp(excess_ms.max(0.0) + after / rate);
        base + draw % (base / 2 + 1)
    }

    fn drained(&self, now_ms: u64, team: queue::TeamKey, rate: f64) -> f64 {
        let Some(refused) = self.teams.get(team) else {
            return 0.0;
        };
        let elapsed = now_ms.saturating_sub(refused.at_ms) as f64;
        (refused.work_ms - elapsed * rate).max(0.0)
    }

    /// Forgets teams that are gone.
    pub fn retain(&mut self, is_kept: impl Fn(queue::TeamKey) -> bool) {
        self.teams.retain(|key, _| is_kept(key));
    }

    /// For how many teams something is remembered.
    pub fn len(&self) -> usize {
        self.teams.len()
    }

    /// Whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.teams.is_empty()
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "clamped to small positive numbers"
)]
fn clamp(ms: f64) -> u64 {
    ms.clamp(MIN_MS as f64, MAX_MS as f64) as u64
}
