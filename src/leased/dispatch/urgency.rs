//! Ranks waiting jobs, limits how long their tasks wait, and selects jobs to refuse.
//!
//! If more work arrives than there is capacity for, queues would grow until all callers are
//! late. Here the jobs that are served meet their deadlines, and the others are refused at once.

use crate::leased::messages;

/// Properties of a waiting job that determine its urgency.
#[derive(Clone, Copy, Debug)]
pub struct View {
    /// Whether anything of the job has run, runs, or is in flight to a runner.
    pub has_started: bool,
    /// Number of distinct priorities of the service's queues that come before this queue's.
    pub precedence: u8,
    /// Time by which the job should complete.
    pub due_ms: u64,
    /// Latest completion time; a job that has not started and cannot complete by then is refused.
    pub hold_until_ms: u64,
    /// Time at which the caller stops waiting.
    pub deadline_ms: u64,
    /// Declared run time of the remaining work, in milliseconds.
    pub remaining_ms: u64,
}

/// Class of a job that has started.
///
/// It is finished first, even if it is late. Ranked behind jobs in time, it would leave many
/// callers without an answer after part of their work was done.
const STARTED: u8 = 0;

/// Class of a job of the most urgent queue that can still be in time.
///
/// Each further precedence has the next class. Without these classes, a long job that is close
/// to its latest start would go before a short one that has just arrived, and under overload the
/// most urgent callers would fare worst.
const MOST_URGENT: u8 = 1;

/// Class of a job that cannot be in time any more.
const LATE: u8 = 4;

/// Returns whether a job of this class starts only if all its tasks fit; see
/// [`crate::leased::dispatch::placement`].
pub const fn is_all_or_nothing(class: u8) -> bool {
    class > MOST_URGENT
}

/// Returns whether a job of this class leaves capacity free for the most urgent queue.
pub const fn leaves_headroom(class: u8) -> bool {
    class > MOST_URGENT
}

/// Returns whether a job of this class may only use capacity that is likely to stay free.
///
/// A late answer is worth little to its caller. If it took the last free capacity, it would also
/// delay the next job, which could have been in time.
pub const fn uses_spare_capacity_only(class: u8) -> bool {
    class >= LATE
}

/// Class and latest start of a job; the lowest rank is served first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Rank(u8, u64);

/// Returns the rank of a waiting job.
pub const fn rank(view: &View, now_ms: u64) -> Rank {
    let margin_ms = LATENCY_MARGIN_MS + view.remaining_ms / ESTIMATE_MARGIN_DIVISOR;
    let latest_start_ms = view.due_ms.saturating_sub(view.remaining_ms + margin_ms);
    let class = match (view.has_started, now_ms <= latest_start_ms) {
        (true, _) => STARTED,
        (false, true) => in_time_class(view.precedence),
        (false, false) => LATE,
    };
    Rank(class, latest_start_ms)
}

const fn in_time_class(precedence: u8) -> u8 {
    let class = MOST_URGENT.saturating_add(precedence);
    if class < LATE { class } else { LATE - 1 }
}

/// Time for the latency of the order, the start, and the latency of the report, in milliseconds.
const LATENCY_MARGIN_MS: u64 = 20;

/// Divisor of the declared run time that gives the margin for tasks that run longer.
///
/// Without a margin, a job that starts at the last moment is late as soon as a task takes longer
/// than declared.
const ESTIMATE_MARGIN_DIVISOR: u64 = 8;

/// Returns how long a job's tasks may wait at a runner.
///
/// The tasks of a started job may wait until they cannot complete before the caller stops
/// waiting, those of the most urgent queue until they cannot be in time. All others stay at
/// their entry, which can send them to whichever runner has free capacity first: a job with
/// tasks in several wait queues is late as soon as one of the queues is slow.
pub const fn wait(view: &View, now_ms: u64) -> messages::Wait {
    let Rank(class, latest_start_ms) = rank(view, now_ms);
    let wait_until_ms = match class {
        STARTED => view.deadline_ms.saturating_sub(view.remaining_ms),
        MOST_URGENT => view.due_ms.saturating_sub(view.remaining_ms),
        _ => 0,
    };
    messages::Wait {
        most_ms: wait_until_ms.saturating_sub(now_ms),
        class,
        start_within_ms: latest_start_ms.saturating_sub(now_ms),
    }
}

/// Returns for how long a job that has not started can wait before its rank changes or it becomes
/// infeasible, in milliseconds.
pub fn slack_ms(view: &View, now_ms: u64) -> u64 {
    let Rank(class, latest_start_ms) = rank(view, now_ms);
    let until_ms = if class < LATE {
        latest_start_ms
    } else {
        let end_ms = view.hold_until_ms.min(view.deadline_ms);
        end_ms.saturating_sub(view.remaining_ms)
    };
    until_ms.saturating_sub(now_ms)
}

/// Returns whether a job that has not started can no longer complete in time.
///
/// It would have started if there were enough capacity. Served late, it would delay others, so
/// it is refused at once and its caller learns that nothing ran.
pub const fn is_infeasible(view: &View, now_ms: u64) -> bool {
    let end_ms = now_ms + view.remaining_ms;
    !view.has_started && (end_ms > view.hold_until_ms || end_ms > view.deadline_ms)
}
