//! Selection of the runner for a task.
//!
//! Several entries share slots whose state only the runners know. Each entry sends a task to
//! the runner with the most free slots according to the last report, which comes with every
//! answer, corrected by the entry's own tasks in flight. With a random runner instead, tasks
//! would wait at one runner while slots are idle at another. A [`Pool`] is built once for all
//! tasks that are sent together and kept up to date by [`Pool::sent`], so that the runners are
//! not listed again for each task.

use crate::health;
use crate::jobs;
use crate::membership;
use crate::settings;
use crate::wire;

/// State of a runner for one placement decision.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// The runner.
    pub key: membership::RunnerKey,
    /// Whether it is in the availability zone of the entry.
    pub is_near: bool,
    /// Whether its last task failed although tasks of that kind succeed elsewhere.
    pub is_suspect: bool,
    /// How far it is trusted to be as fast as other runners.
    pub trust: health::Trust,
    /// The runner's rack.
    pub rack: membership::Rack,
    /// Estimated number of free slots; negative if tasks wait there.
    pub free_slots: i64,
    /// Estimated number of this entry's tasks that wait there.
    pub parked: u32,
    /// Maximum number of further tasks, if limited. A runner that is probed or in a returning
    /// zone gets fewer tasks than it has slots, and no task may wait there.
    pub send_limit: Option<u32>,
    /// Estimated free resources of the worker.
    pub free: wire::Resources,
    /// Total resources of the worker.
    pub size: wire::Resources,
}

/// Placement decision for a task.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Choice {
    /// Send it to the candidate at this index of the pool.
    Send(usize),
    /// Keep it in the queue until there is free capacity.
    Wait,
    /// Every worker is too small.
    NeverFits,
    /// No runner is in service.
    NoCapacity,
}

/// Score of a candidate; the greatest is chosen.
///
/// The criteria, most important first: not suspect; has a free slot; not suspected to be slow;
/// most free slots; fewest tasks of the same job in its rack, so that the loss of a rack costs
/// as few jobs as possible.
type Score = (bool, bool, bool, i64, i64);

/// Number of tasks of one submission in each rack.
#[derive(Clone, Debug, Default)]
pub struct RackSpread {
    submission: Option<jobs::Key>,
    racks: Vec<u32>,
}

impl RackSpread {
    /// Whether the counts are for this submission.
    pub fn is_of(&self, submission: jobs::Key) -> bool {
        self.submission == Some(submission)
    }

    /// Resets the counts for another submission.
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

    fn count(&self, rack: membership::Rack) -> i64 {
        self.racks.get(rack.0 as usize).copied().unwrap_or(0).into()
    }
}

/// Runners that can be sent tasks now.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    candidates: Vec<Candidate>,
    /// Whether the task to place would meet its target time even on a slow runner, so that it
    /// can serve as a first probe.
    pub has_slack: bool,
}

impl Pool {
    /// Creates a pool.
    pub const fn new(candidates: Vec<Candidate>) -> Self {
        Self {
            candidates,
            has_slack: true,
        }
    }

    /// Returns the candidate at a chosen index.
    pub fn candidate_at(&self, index: usize) -> Option<&Candidate> {
        self.candidates.get(index)
    }

    /// Whether no runner could be sent even a task without resource needs.
    pub fn is_full(&self, policy: &settings::Policy) -> bool {
        let nothing = wire::Resources::default();
        let is_usable = |candidate: &Candidate| is_usable(candidate, &nothing, policy);
        !self.candidates.iter().any(is_usable)
    }

    /// Chooses a runner for a task with these resource needs.
    ///
    /// `draw` is a random number that breaks ties, so that entries with the same information
    /// do not all choose the same runner.
    pub fn choose(
        &self,
        need: &wire::Resources,
        spread: &RackSpread,
        policy: &settings::Policy,
        draw: u64,
    ) -> Choice {
        let mut best: Option<Score> = None;
        let mut ties = 0;
        for indexed in self.usable(need, policy) {
            let score = score(indexed.1, spread, policy);
            if best.is_none_or(|best| score > best) {
                best = Some(score);
                ties = 0;
            }
            ties += u64::from(best == Some(score));
        }
        let Some(best) = best else {
            return self.unplaceable(need);
        };
        let nth = usize::try_from(draw % ties).unwrap_or(0);
        let mut equals = self
            .usable(need, policy)
            .filter(|(_, candidate)| score(candidate, spread, policy) == best);
        equals
            .nth(nth)
            .map_or(Choice::Wait, |(index, _)| Choice::Send(index))
    }

    fn usable(
        &self,
        need: &wire::Resources,
        policy: &settings::Policy,
    ) -> impl Iterator<Item = (usize, &Candidate)> {
        let all = self.candidates.iter().enumerate();
        all.filter(move |(_, candidate)| {
            self.allows_probe(candidate) && is_usable(candidate, need, policy)
        })
    }

    /// Whether the task may be used for a first probe, if the candidate needs one.
    fn allows_probe(&self, candidate: &Candidate) -> bool {
        self.has_slack || candidate.trust != health::Trust::FirstProbe
    }

    /// Returns the decision for a task that no candidate can be sent.
    fn unplaceable(&self, need: &wire::Resources) -> Choice {
        if self.candidates.is_empty() {
            return Choice::NoCapacity;
        }
        if self
            .candidates
            .iter()
            .any(|candidate| need.fits_in(&candidate.size))
        {
            return Choice::Wait;
        }
        Choice::NeverFits
    }

    /// Records that a task was sent to the candidate at this index.
    pub fn sent(&mut self, index: usize, need: &wire::Resources) {
        let Some(candidate) = self.candidates.get_mut(index) else {
            return;
        };
        if candidate.free_slots <= 0 {
            candidate.parked += 1;
        }
        candidate.free_slots -= 1;
        candidate.send_limit = candidate
            .send_limit
            .map(|send_limit| send_limit.saturating_sub(1));
        candidate.free = candidate.free.minus(need);
    }
}

fn score(candidate: &Candidate, spread: &RackSpread, policy: &settings::Policy) -> Score {
    let near = if candidate.is_near {
        i64::from(policy.near_zone_bias)
    } else {
        0
    };
    let has_free = candidate.free_slots > 0;
    let tasks_in_rack = spread.count(candidate.rack);
    (
        !candidate.is_suspect,
        has_free,
        candidate.trust != health::Trust::SuspectedSlow,
        candidate.free_slots + near,
        -tasks_in_rack,
    )
}

fn is_usable(candidate: &Candidate, need: &wire::Resources, policy: &settings::Policy) -> bool {
    if let Some(limit) = candidate.send_limit {
        return limit > 0 && candidate.free_slots > 0 && need.fits_in(&candidate.free);
    }
    if candidate.free_slots > 0 {
        return need.fits_in(&candidate.free);
    }
    need.fits_in(&candidate.size) && candidate.parked < policy.park_per_runner
}
