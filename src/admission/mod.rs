//! Admission control: which submissions are refused, and when they should be retried.
//!
//! Under sustained overload an unbounded queue grows until every task starts too late: all
//! slots are busy with work that is of no use any more. A refused submission is refused at
//! once and never queued, so that "not run" is true.
//!
//! The wait is predicted from the drain rate ([`drain`]) and the team's fair share of it,
//! the retry time from a virtual queue of the refused work ([`retry_after`]).

pub mod drain;
pub mod retry_after;

use crate::api;
use crate::codes;
use crate::settings;
use crate::wire;

/// Fraction of its deadline within which a submission must be predicted to be answered.
///
/// The rest is a margin for prediction errors: if the queue may grow up to the deadline, jobs
/// are started and then stopped at it. A greater fraction makes callers wait longer for the
/// same amount of completed work.
pub const DEADLINE_FRACTION: f64 = 0.5;

/// Work that a submission asks for.
#[derive(Clone, Copy, Debug, Default)]
pub struct Demand {
    /// Number of tasks.
    pub tasks: usize,
    /// Expected slot time of all its tasks, in milliseconds.
    pub work_ms: u64,
    /// Learned run time of its longest task, in milliseconds. `None` if the run time is only
    /// declared, which does not count against the deadline.
    pub learned_longest_ms: Option<u64>,
    /// Time until its deadline, in milliseconds.
    pub deadline_ms: u64,
}

/// State of an entry's queues for one admission decision.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadSnapshot {
    /// Number of waiting tasks of all teams.
    pub queued: usize,
    /// Number of waiting tasks of the team.
    pub team_queued: usize,
    /// Expected slot time of all waiting tasks, in milliseconds.
    pub backlog_ms: u64,
    /// Expected slot time of the team's waiting tasks, in milliseconds.
    pub team_backlog_ms: u64,
    /// The team's fraction of the slots among the teams that have waiting tasks.
    pub share: f64,
    /// Slot time completed per millisecond, see [`drain::DrainRate`].
    pub drain_rate: f64,
    /// Time without any runner in service, in milliseconds; 0 if there is one.
    pub no_runner_ms: u64,
}

impl LoadSnapshot {
    /// Predicts when `extra_ms` of additional work of the team would be done, in milliseconds
    /// from now.
    ///
    /// The team gets its share of the rate while other teams have work, and the whole rate
    /// once they have none. So it waits for its own backlog at its share or for the whole
    /// backlog at the whole rate, whichever takes less time.
    pub fn wait_ms(&self, extra_ms: u64) -> f64 {
        let rate = self.drain_rate.max(f64::EPSILON);
        let own = (self.team_backlog_ms + extra_ms) as f64 / (rate * self.share.max(f64::EPSILON));
        let all = (self.backlog_ms + extra_ms) as f64 / rate;
        own.min(all)
    }
}

/// Whether one of the tasks is too large for every known worker.
///
/// Workers in any state count, also those in zones that are out of service, since they may
/// return. Returns `false` if no worker is known.
pub fn never_fits(needs: &[wire::Resources], sizes: &[wire::Resources]) -> bool {
    let fits = |need: &wire::Resources| sizes.iter().any(|size| need.fits_in(size));
    !sizes.is_empty() && !needs.iter().all(fits)
}

/// Returns the code with which a submission is refused, or `None` if it is accepted.
pub fn refusal(
    demand: &Demand,
    load: &LoadSnapshot,
    team: &settings::Team,
    settings: &settings::Settings,
) -> Option<codes::Code> {
    let settings::Settings {
        limits,
        policy,
        timeouts,
        ..
    } = settings;
    if demand.tasks > team.max_queued as usize {
        return Some(codes::Code::OverQuota);
    }
    // A settings change or a lost heartbeat can leave no runner for a moment. After the time
    // at which silent processes count as dead, waiting for one would only use up deadlines.
    if load.no_runner_ms > u64::from(timeouts.dead_after_ms) {
        return Some(codes::Code::NoCapacity);
    }
    if load.queued + demand.tasks > limits.max_queued as usize {
        return Some(codes::Code::EntryQueueFull);
    }
    if load.team_queued + demand.tasks > team.max_queued as usize {
        return Some(codes::Code::TeamQueueFull);
    }
    if load.no_runner_ms > 0 {
        return None;
    }
    let predicted_ms = load.wait_ms(demand.work_ms) + demand.learned_longest_ms.unwrap_or(0) as f64;
    let allowed_ms = demand.deadline_ms as f64 * DEADLINE_FRACTION;
    if load.backlog_ms > 0 && predicted_ms > allowed_ms {
        return Some(codes::Code::DeadlineUnreachable);
    }
    let is_too_long = load.wait_ms(0) > f64::from(policy.max_queue_wait_ms);
    is_too_long.then_some(codes::Code::TeamQueueFull)
}

/// Whether a submission with no started task cannot meet its deadline even if it started now.
///
/// Only learned run times count, and only by half: the run times of a kind vary, and a
/// submission that might still be in time is not given up.
pub const fn is_infeasible(left_ms: u64, learned_longest_ms: Option<u64>) -> bool {
    match learned_longest_ms {
        Some(longest_ms) => left_ms < longest_ms / 2,
        None => false,
    }
}

/// Returns the demand of a submission.
///
/// `expected` holds the expected run time of each task and whether it was learned.
pub fn demand_of(tasks: &[api::Task], expected: &[(u64, bool)], deadline_ms: u64) -> Demand {
    let longest = expected.iter().max_by_key(|(ms, _)| *ms);
    Demand {
        tasks: tasks.len(),
        work_ms: expected.iter().map(|(ms, _)| ms).sum(),
        learned_longest_ms: longest
            .filter(|(_, is_learned)| *is_learned)
            .map(|(ms, _)| *ms),
        deadline_ms,
    }
}
