//! Which waiting job goes first, how long its tasks may wait, and which one is refused.
//!
//! Load that this answers: more work than room for seconds. Without it every queue grows
//! until all callers are late; with it those served are served in time, and the others
//! hear at once that they are not.

use crate::leased::messages;

/// What is known of a waiting job.
#[derive(Clone, Copy, Debug)]
pub struct View {
    /// Whether something of it was ordered.
    pub has_started: bool,
    /// How many queues of its service go before its own, by their priorities.
    pub precedence: u8,
    /// When it should be complete.
    pub due_ms: u64,
    /// Until when it may wait to begin, if it could be complete by then.
    pub hold_until_ms: u64,
    /// When its caller is gone.
    pub deadline_ms: u64,
    /// How long what is left takes, in milliseconds as declared.
    pub left_ms: u64,
}

/// Class of a job that has begun. It is finished first, also when it will be late: ranked
/// behind those in time, many callers would be left without an answer after part of their
/// work was done.
const BEGUN: u8 = 0;

/// Class of a job of the most urgent queue that can be in time; one class for each further
/// precedence follows. Without them a long job with its time almost over goes before a short
/// one that has just come, and under more work than room the most urgent callers fare worst.
const MOST_URGENT: u8 = 1;

/// Class of a job that can't be in time any more.
const LATE: u8 = 4;

/// Whether a job of this class begins only where all its tasks find room; see
/// [`crate::leased::dispatch::placement`].
pub const fn begins_whole(class: u8) -> bool {
    class > MOST_URGENT
}

/// Whether a job of this class may only take room that is likely to stay free without it.
///
/// A late answer is worth little to its caller. Given the last room, it makes the next job
/// late that could have been in time.
pub const fn takes_spare_room_only(class: u8) -> bool {
    class >= LATE
}

/// A class, and when the job has to start; the least goes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Rank(u8, u64);

/// Where a waiting job stands in line.
pub const fn rank(view: &View, now_ms: u64) -> Rank {
    let margin_ms = WAY_MARGIN_MS + view.left_ms / ESTIMATE_SHARE;
    let latest_ms = view.due_ms.saturating_sub(view.left_ms + margin_ms);
    let class = match (view.has_started, now_ms <= latest_ms) {
        (true, _) => BEGUN,
        (false, true) => in_time_class(view.precedence),
        (false, false) => LATE,
    };
    Rank(class, latest_ms)
}

const fn in_time_class(precedence: u8) -> u8 {
    let class = MOST_URGENT.saturating_add(precedence);
    if class < LATE { class } else { LATE - 1 }
}

/// Time that goes to the order's way, the start, and the way of the end, in milliseconds.
const WAY_MARGIN_MS: u64 = 20;

/// Part of the declared time that is kept in hand, as a divisor: a job that starts in its
/// last moment is late as soon as a task takes longer than declared.
const ESTIMATE_SHARE: u64 = 8;

/// How a job's tasks may wait at a runner: until they can't be in time any more, or, if some
/// have run, until nobody waits for them.
///
/// Only what has begun and the most urgent queue's jobs wait there. Others stay at their entry,
/// which can still send them wherever room comes free first: a job whose tasks stand in several
/// lines is late as soon as one of them moves slowly.
pub const fn wait(view: &View, now_ms: u64) -> messages::Wait {
    let Rank(class, latest_ms) = rank(view, now_ms);
    let last_ms = match class {
        BEGUN => view.deadline_ms.saturating_sub(view.left_ms),
        MOST_URGENT => view.due_ms.saturating_sub(view.left_ms),
        _ => 0,
    };
    messages::Wait {
        most_ms: last_ms.saturating_sub(now_ms),
        class,
        start_within_ms: latest_ms.saturating_sub(now_ms),
    }
}

/// Whether waiting on makes no sense for a job of which nothing was ordered.
///
/// Room is short, or it would have started; served late it would make others late. Its
/// caller hears at once that nothing ran.
pub const fn is_hopeless(view: &View, now_ms: u64) -> bool {
    let end_ms = now_ms + view.left_ms;
    !view.has_started && (end_ms > view.hold_until_ms || end_ms > view.deadline_ms)
}
