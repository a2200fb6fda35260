//! Retry times for refused submissions.
//!
//! If all refused callers got the same retry time, they would return together and be refused
//! together. So each retry time is the predicted wait behind the queued work and behind the
//! work of the team that was refused before and is expected back. A random part spreads
//! callers that are refused at the same moment.

use crate::queue;

/// Shortest retry time without the random part, in milliseconds.
///
/// Within less time the load changes by less than the noise of the drain rate.
pub const MIN_MS: u64 = 200;
/// Longest retry time without the random part, in milliseconds; for longer waits a new request
/// gives a better prediction.
pub const MAX_MS: u64 = 10_000;

#[derive(Clone, Copy, Debug)]
struct Refused {
    work_ms: f64,
    at_ms: u64,
}

/// Recently refused work that is expected back, by team.
#[derive(Debug, Default)]
pub struct RefusedWork {
    teams: slotmap::SecondaryMap<queue::TeamKey, Refused>,
}

impl RefusedWork {
    /// Records refused work and returns its retry time, in milliseconds from now.
    ///
    /// `rate` is the slot time per millisecond that the team can expect, `excess_ms` the part
    /// of the predicted wait beyond the allowed one, and `draw` a random number.
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
        let earlier_ms = self.remaining_ms(now_ms, team, rate);
        let total_ms = earlier_ms + work_ms as f64;
        let refused = Refused {
            work_ms: total_ms.min(rate * MAX_MS as f64),
            at_ms: now_ms,
        };
        self.teams.insert(team, refused);
        let base_ms = clamp_ms(excess_ms.max(0.0) + total_ms / rate);
        base_ms + draw % (base_ms / 2 + 1)
    }

    /// Returns the refused work of a team that has not drained since.
    fn remaining_ms(&self, now_ms: u64, team: queue::TeamKey, rate: f64) -> f64 {
        let Some(refused) = self.teams.get(team) else {
            return 0.0;
        };
        let elapsed_ms = now_ms.saturating_sub(refused.at_ms) as f64;
        (refused.work_ms - elapsed_ms * rate).max(0.0)
    }

    /// Drops the teams for which `is_kept` returns `false`.
    pub fn retain(&mut self, is_kept: impl Fn(queue::TeamKey) -> bool) {
        self.teams.retain(|key, _| is_kept(key));
    }

    /// Number of teams with refused work.
    pub fn len(&self) -> usize {
        self.teams.len()
    }

    /// Whether no team has refused work.
    pub fn is_empty(&self) -> bool {
        self.teams.is_empty()
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "clamped to small positive numbers"
)]
fn clamp_ms(ms: f64) -> u64 {
    ms.clamp(MIN_MS as f64, MAX_MS as f64) as u64
}
