//! Which runner a task goes to.

use crate::membership;
use crate::settings;
use crate::wire;

/// A runner as it looks to one decision.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Which.
    pub key: membership::RunnerKey,
    /// Whether it is in the entry's own availability zone.
    pub is_near: bool,
    /// Slots thought to be free; below zero: tasks wait there.
    pub free_slots: i64,
    /// Tasks of this entry thought to wait there.
    pub parked: u32,
    /// What is thought to be free of the worker.
    pub free: wire::Resources,
    /// The worker's size.
    pub size: wire::Resources,
}

/// What to do with a task.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Choice {
    /// Send it there.
    Send(membership::RunnerKey),
    /// Keep it until something comes free.
    Wait,
    /// No worker is large enough.
    NeverFits,
    /// There is no runner in service.
    NoCapacity,
}

/// Chooses a runner for a task that needs so much.
///
/// `draw` is a random number that breaks ties, so that entries with the same view
/// do not all run to the same runner.
pub fn choose(
    need: &wire::Resources,
    candidates: &[Candidate],
    policy: &settings::Policy,
    draw: u64,
) -> Choice {
    if candidates.is_empty() {
        return Choice::NoCapacity;
    }
    if !candidates.iter().any(|one| need.fits_in(&one.size)) {
        return Choice::NeverFits;
    }
    let usable = candidates.iter().filter(|one| is_usable(one, need, policy));
    let score = |one: &Candidate| {
        let near = if one.is_near {
            i64::from(policy.near_zone_bias)
        } else {
            0
        };
        one.free_slots + near
    };
    let Some(best) = usable.clone().map(score).max() else {
        return Choice::Wait;
    };
    let ties: Vec<_> = usable.filter(|one| score(one) == best).collect();
    let at = usize::try_from(draw % ties.len() as u64).unwrap_or(0);
    Choice::Send(ties[at].key)
}

fn is_usable(one: &Candidate, need: &wire::Resources, policy: &settings::Policy) -> bool {
    if one.free_slots > 0 {
        return need.fits_in(&one.free);
    }
    need.fits_in(&one.size) && one.parked < policy.park_per_runner
}
