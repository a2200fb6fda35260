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
/// the late ones alike.
///
/// What has begun is finished first, also when it will be late. Ranked behind those in
/// time, 0.076 of all calls ended without an answer after part of their work was done, in
/// place of 0.015 (a third of the backend servers out for half a minute; measured once).
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Rank(u8, u64);

/// Where a waiting job stands in line.
pub const fn rank(view: &View, now_ms: u64) -> Rank {
    let latest_ms = view.due_ms.saturating_sub(view.left_ms);
    let class = match (view.has_started, now_ms <= latest_ms) {
        (true, _) => 0,
        (false, true) => 1,
        (false, false) => 2,
    };
    Rank(class, latest_ms)
}

/// How late a job that has not started may become, as a divisor of its objective.
///
/// With half of the objective callers got 0.579 of what was to be had, and 0.557 with twice
/// the objective (a third of the backend servers out for half a minute; measured once).
const LATE_SHARE: u64 = 2;

/// Whether waiting on makes no sense for a job of which nothing was ordered.
///
/// Room is short, or it would have started; served late it would make others late. Its
/// caller hears at once that nothing ran.
pub const fn is_hopeless(view: &View, now_ms: u64) -> bool {
    let latest_use_ms = view.due_ms + view.objective_ms / LATE_SHARE;
    let end_ms = now_ms + view.left_ms;
    !view.has_started && (end_ms > latest_use_ms || end_ms > view.deadline_ms)
}
