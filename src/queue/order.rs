//! Order within a team: by the time at which a task should start.
//!
//! A job is answered when its last task is, so its tasks share one target, the time
//! by which callers should have the answer: arrival and `STRETCH_PERCENT` times the job's
//! ideal. A short job's target is soon, so it goes before long ones that came a
//! little earlier; a job's longest tasks start first; and a job that came long ago
//! goes before every new one, so jobs finish instead of all being half done.

/// How much longer than ideal an answer may take, in hundredths: the goal for the
/// 99th percentile.
const STRETCH_PERCENT: u64 = 150;

/// What a job is expected to take.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Shape {
    /// Its longest task, in milliseconds.
    pub longest_ms: u64,
    /// All its tasks together, in milliseconds.
    pub work_ms: u64,
    /// Slots over which it can spread.
    pub slots: u64,
}

impl Shape {
    /// The least time in which the job can be answered, in milliseconds.
    pub fn ideal_ms(&self) -> u64 {
        self.longest_ms.max(self.work_ms / self.slots.max(1))
    }
}

/// The rank of a task; the least goes first.
///
/// Ageing is the bound `age_ms` on the distance from arrival: tasks that come later
/// than `age_ms` after a long one have a greater rank, however short they are, so
/// the long one can't starve. An `age_ms` of 0 is first come, first served.
pub fn rank_ms(arrived_ms: u64, shape: &Shape, expected_ms: u64, age_ms: u64) -> u64 {
    let target = shape.ideal_ms().saturating_mul(STRETCH_PERCENT) / 100;
    let slack = target.saturating_sub(expected_ms);
    arrived_ms.saturating_add(slack.min(age_ms))
}
