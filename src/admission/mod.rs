//! Whom to refuse, and when to come back.
//!
//! Load pattern answered: more work than the slots can do, for longer than a moment.
//! Without it the queue grows until everything in it is late when it starts: all
//! slots are busy and nothing of what they do is of use any more. What is refused is
//! refused at once and never queued, so "not run" is true.
//!
//! The wait is foreseen from the drain rate ([`drain`]) and the team's fair share of
//! it; the time to come back from a virtual queue of the refused ([`retry_after`]).

pub mod drain;
pub mod retry_after;

use crate::api;
use crate::codes;
use crate::settings;
use crate::wire;

/// Part of its deadline within which a submission must be foreseen to be answered.
///
/// The rest is for what can't be foreseen: a queue that is let grow up to the deadline
/// has its jobs begun and then cut off. A greater part lets callers wait longer for the same
/// work done.
pub const DEADLINE_PART: f64 = 0.5;

/// A submission as it looks to admission.
#[derive(Clone, Copy, Debug, Default)]
pub struct Demand {
    /// Tasks.
    pub tasks: usize,
    /// Expected slot time of all its tasks, in milliseconds.
    pub work_ms: u64,
    /// Expected run time of its longest task, where it was learned; what is only
    /// declared does not count against a deadline.
    pub learned_longest_ms: Option<u64>,
    /// Milliseconds until its deadline.
    pub deadline_ms: u64,
}

/// The entry's queues as they look to one decision.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadSnapshot {
    /// Tasks that wait, of all teams.
    pub queued: usize,
    /// Tasks that wait, of the team.
    pub team_queued: usize,
    /// Expected slot time of all that waits, in milliseconds.
    pub backlog_ms: u64,
    /// The same of the team.
    pub team_backlog_ms: u64,
    /// The team's part of the slots beside the others that want them now.
    pub share: f64,
    /// Slot time done in a millisecond, see [`drain::DrainRate`].
    pub drain_rate: f64,
    /// For how long there was no runner in service, in milliseconds; 0: there is one.
    pub no_runner_ms: u64,
}

impl LoadSnapshot {
    /// Milliseconds until so much more work of the team would be done.
    ///
    /// The team gets its share of the rate while the others want theirs, and no less
    /// than all of what is left once they are done; so it waits for the lesser of
    /// its own backlog at its share and the whole backlog at the whole rate.
    pub fn wait_ms(&self, more_ms: u64) -> f64 {
        let rate = self.drain_rate.max(f64::EPSILON);
        let own = (self.team_backlog_ms + more_ms) as f64 / (rate * self.share.max(f64::EPSILON));
        let all = (self.backlog_ms + more_ms) as f64 / rate;
        own.min(all)
    }
}

/// Whether no worker known could ever hold one of the tasks.
///
/// Workers of any state count, also of zones that are out: they may come back. Where
/// none is known nothing is said.
pub fn never_fits(needs: &[wire::Resources], sizes: &[wire::Resources]) -> bool {
    let fits = |need: &wire::Resources| sizes.iter().any(|size| need.fits_in(size));
    !sizes.is_empty() && !needs.iter().all(fits)
}

/// Why a submission is not taken in, or `None`.
pub fn refusal(
    asked: &Demand,
    view: &LoadSnapshot,
    team: &settings::Team,
    settings: &settings::Settings,
) -> Option<codes::Code> {
    let settings::Settings {
        limits,
        policy,
        timeouts,
        ..
    } = settings;
    if asked.tasks > team.max_queued as usize {
        return Some(codes::Code::OverQuota);
    }
    // A moment without any runner passes by (a settings change, a lost heartbeat);
    // after the silence that means death, waiting for one would only use up deadlines.
    if view.no_runner_ms > u64::from(timeouts.dead_after_ms) {
        return Some(codes::Code::NoCapacity);
    }
    if view.queued + asked.tasks > limits.max_queued as usize {
        return Some(codes::Code::EntryQueueFull);
    }
    if view.team_queued + asked.tasks > team.max_queued as usize {
        return Some(codes::Code::TeamQueueFull);
    }
    if view.no_runner_ms > 0 {
        return None;
    }
    let answered_ms = view.wait_ms(asked.work_ms) + asked.learned_longest_ms.unwrap_or(0) as f64;
    let allowed_ms = asked.deadline_ms as f64 * DEADLINE_PART;
    if view.backlog_ms > 0 && answered_ms > allowed_ms {
        return Some(codes::Code::DeadlineUnreachable);
    }
    let is_too_long = view.wait_ms(0) > f64::from(policy.max_queue_wait_ms);
    is_too_long.then_some(codes::Code::TeamQueueFull)
}

/// Whether a submission that waits, nothing of it started, can't meet its deadline
/// even if it started now.
///
/// Only a learned run time counts, and only half of it: run times within a kind
/// spread, and what might still be in time is not given up.
pub const fn is_infeasible(left_ms: u64, learned_longest_ms: Option<u64>) -> bool {
    match learned_longest_ms {
        Some(longest) => left_ms < longest / 2,
        None => false,
    }
}

/// The shape of a submission's tasks, from the expected run time of each and whether
/// it was learned.
pub fn demand(tasks: &[api::Task], expected: &[(u64, bool)], deadline_ms: u64) -> Demand {
    let longest = expected.iter().max_by_key(|(ms, _)| *ms);
    Demand {
        tasks: tasks.len(),
        work_ms: expected.iter().map(|(ms, _)| ms).sum(),
        learned_longest_ms: longest.filter(|(_, known)| *known).map(|(ms, _)| *ms),
        deadline_ms,
    }
}
