//! Which runner a task goes to.
//!
//! Answers the load pattern of several entries that share slots which only the
//! runners know. Each entry sends to the runner with the most free slots by its own
//! view, corrected by what it has in flight itself; the view comes with every answer.
//! Without it (a random runner) tasks wait at one runner while slots stand idle at
//! another. A [`Pool`] is made once for all tasks that are handed out together and
//! kept up to date by [`Pool::sent`], so that many tasks don't cost as many views.

use crate::health;
use crate::jobs;
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
    /// Whether its last task failed although such tasks do well elsewhere.
    pub is_suspect: bool,
    /// How far it is thought to be as fast as others.
    pub trust: health::Trust,
    /// Its rack.
    pub rack: membership::Rack,
    /// Slots thought to be free; below zero: tasks wait there.
    pub free_slots: i64,
    /// Tasks of this entry thought to wait there.
    pub parked: u32,
    /// How many more tasks it may be sent: a probed one or one in a returning zone
    /// has less room than slots, and nothing may wait there.
    pub send_limit: Option<u32>,
    /// What is thought to be free of the worker.
    pub free: wire::Resources,
    /// The worker's size.
    pub size: wire::Resources,
}

/// What to do with a task.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Choice {
    /// Send it to the candidate at this place of the pool.
    Send(usize),
    /// Keep it until something comes free.
    Wait,
    /// No worker is large enough.
    NeverFits,
    /// There is no runner in service.
    NoCapacity,
}

/// How good a candidate is; the greatest is taken.
///
/// In this order: no suspect while there is another, a free slot before a wait, none
/// that is perhaps slow, most free slots, and fewest tasks of the same job in the rack, so that a rack's
/// loss costs as few jobs as may be.
type Score = (bool, bool, bool, i64, i64);

/// Tasks of one submission in each rack.
#[derive(Clone, Debug, Default)]
pub struct RackSpread {
    submission: Option<jobs::Key>,
    racks: Vec<u32>,
}

impl RackSpread {
    /// Whether this counts the tasks of that submission.
    pub fn is_of(&self, submission: jobs::Key) -> bool {
        self.submission == Some(submission)
    }

    /// Counts anew, for another submission.
    pub fn restart(&mut self, submission: jobs::Key) {
        self.submission = Some(submission);
        self.racks.clear();
    }

    /// Counts a task in a rack.
    pub fn add(&mut self, rack: membership::Rack) {
        let at = rack.0 as usize;
        if self.racks.len() <= at {
            self.racks.resize(at + 1, 0);
        }
        self.racks[at] += 1;
    }

    fn of(&self, rack: membership::Rack) -> i64 {
        self.racks.get(rack.0 as usize).copied().unwrap_or(0).into()
    }
}

/// The runners that may be sent something now.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    candidates: Vec<Candidate>,
    /// Whether the task to be placed has time to spare.
    pub has_slack: bool,
}

impl Pool {
    /// Makes a pool of these.
    pub const fn new(candidates: Vec<Candidate>) -> Self {
        Self {
            candidates,
            has_slack: true,
        }
    }

    /// The candidate at a place that was chosen.
    pub fn candidate_at(&self, place: usize) -> Option<&Candidate> {
        self.candidates.get(place)
    }

    /// Whether not even a task that needs nothing could be sent.
    pub fn is_full(&self, policy: &settings::Policy) -> bool {
        let nothing = wire::Resources::default();
        let is_usable = |one: &Candidate| is_usable(one, &nothing, policy);
        !self.candidates.iter().any(is_usable)
    }

    /// Chooses a runner for a task that needs so much.
    ///
    /// `draw` is a random number that breaks ties, so that entries with the same
    /// view do not all run to the same runner.
    pub fn choose(
        &self,
        need: &wire::Resources,
        spread: &RackSpread,
        policy: &settings::Policy,
        draw: u64,
    ) -> Choice {
        let mut best: Option<Score> = None;
        let mut ties = 0;
        for one in self.usable(need, policy) {
            let score = score(one.1, spread, policy);
            if best.is_none_or(|best| score > best) {
                best = Some(score);
                ties = 0;
            }
            ties += u64::from(best == Some(score));
        }
        let Some(best) = best else {
            return self.why_none(need);
        };
        let nth = usize::try_from(draw % ties).unwrap_or(0);
        let mut equals = self
            .usable(need, policy)
            .filter(|(_, one)| score(one, spread, policy) == best);
        equals
            .nth(nth)
            .map_or(Choice::Wait, |(place, _)| Choice::Send(place))
    }

    fn usable(
        &self,
        need: &wire::Resources,
        policy: &settings::Policy,
    ) -> impl Iterator<Item = (usize, &Candidate)> {
        let all = self.candidates.iter().enumerate();
        all.filter(move |(_, one)| self.may_try(one) && is_usable(one, need, policy))
    }

    fn may_try(&self, one: &Candidate) -> bool {
        self.has_slack || one.trust != health::Trust::FirstProbe
    }

    fn why_none(&self, need: &wire::Resources) -> Choice {
        if self.candidates.is_empty() {
            return Choice::NoCapacity;
        }
        if self.candidates.iter().any(|one| need.fits_in(&one.size)) {
            return Choice::Wait;
        }
        Choice::NeverFits
    }

    /// A task was sent to the candidate at this place.
    pub fn sent(&mut self, place: usize, need: &wire::Resources) {
        let Some(one) = self.candidates.get_mut(place) else {
            return;
        };
        if one.free_slots <= 0 {
            one.parked += 1;
        }
        one.free_slots -= 1;
        one.send_limit = one
            .send_limit
            .map(|send_limit| send_limit.saturating_sub(1));
        one.free = one.free.minus(need);
    }
}

fn score(one: &Candidate, spread: &RackSpread, policy: &settings::Policy) -> Score {
    let near = if one.is_near {
        i64::from(policy.near_zone_bias)
    } else {
        0
    };
    let has_free = one.free_slots > 0;
    let job_in_rack = spread.of(one.rack);
    (
        !one.is_suspect,
        has_free,
        one.trust != health::Trust::SuspectedSlow,
        one.free_slots + near,
        -job_in_rack,
    )
}

fn is_usable(one: &Candidate, need: &wire::Resources, policy: &settings::Policy) -> bool {
    if let Some(send_limit) = one.send_limit {
        return send_limit > 0 && one.free_slots > 0 && need.fits_in(&one.free);
    }
    if one.free_slots > 0 {
        return need.fits_in(&one.free);
    }
    need.fits_in(&one.size) && one.parked < policy.park_per_runner
}
