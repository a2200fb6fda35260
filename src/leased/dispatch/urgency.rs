//! Which waiting job goes first, and which one is refused.
//!
//! Load that this answers: more work than room for seconds. Without it every queue grows
//! until all callers are late; with it those served are served in time, and the others
//! hear at once that they are not.

/// What is known of a waiting job.
#[derive(Clone, Copy, Debug)]
pub struct View {
    /// Whether something of it was ordered.
    pub has_started: bool,
    /// Which queue goes first; 0 before 1.
    pub priority: u32,
    /// When it came.
    pub arrived_ms: u64,
    /// When it should be complete.
    pub due_ms: u64,
    /// Time that the caller grants in all, in milliseconds.
    pub objective_ms: u64,
    /// When its caller is gone.
    pub deadline_ms: u64,
    /// How long what is left takes, in milliseconds as declared.
    pub left_ms: u64,
}

/// A job that started, then those that can be in time by how soon they must start, then
/// the late ones by age.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Rank(u8, u64);

/// Where a waiting job stands in line.
pub const fn rank(view: &View, now_ms: u64) -> Rank {
    let latest_ms = view.due_ms.saturating_sub(view.left_ms);
    if view.has_started {
        return Rank(0, latest_ms);
    }
    if now_ms <= latest_ms {
        return Rank(1, latest_ms);
    }
    Rank(2, latest_ms)
}

/// Whether waiting on makes no sense for a job of which nothing was ordered.
///
/// A caller has use for an answer that is late by up to twice the objective, and nobody
/// has for one that comes after the caller has gone.
pub const fn is_hopeless(view: &View, now_ms: u64) -> bool {
    let latest_use_ms = view.due_ms + 2 * view.objective_ms;
    let end_ms = now_ms + view.left_ms;
    !view.has_started && (end_ms > latest_use_ms || end_ms > view.deadline_ms)
}
