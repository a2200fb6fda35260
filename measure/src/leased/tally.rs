//! Outcomes of the calls of a simulation.

use bulrushtiller::leased::dispatch;

use crate::leased::world;

/// Outcomes of the calls of one queue.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    /// Number of calls.
    pub total: u32,
    /// Calls that completed in time.
    pub in_time: u32,
    /// Calls that completed late.
    pub late: u32,
    /// Calls refused before anything ran.
    pub not_run: u32,
    /// Calls refused although ready backend servers had room for all their tasks.
    pub not_run_beside_room: u32,
    /// Calls that failed, or whose caller gave up.
    pub failed: u32,
    /// Time that refused calls waited for their refusal in all, in milliseconds.
    pub refusal_wait_ms: u64,
}

impl Tally {
    /// Counts the calls of a queue, without those that callers resent.
    pub fn of(calls: &[world::Call], queue: &str) -> Self {
        let mut tally = Self::default();
        let is_counted = |call: &&world::Call| call.queue == queue && !call.is_resent;
        for call in calls.iter().filter(is_counted) {
            tally.add(call);
        }
        tally
    }

    fn add(&mut self, call: &world::Call) {
        self.total += 1;
        match call.ended {
            Some((at_ms, dispatch::Outcome::Completed)) if at_ms <= call.due_ms => {
                self.in_time += 1;
            }
            Some((_, dispatch::Outcome::Completed)) => self.late += 1,
            Some((at_ms, dispatch::Outcome::NotRun { .. })) => {
                self.not_run += 1;
                self.not_run_beside_room += u32::from(call.was_room_free);
                self.refusal_wait_ms += at_ms - call.arrived_ms;
            }
            _ => self.failed += 1,
        }
    }

    /// Adds the counts of another seed.
    #[must_use]
    pub const fn plus(self, other: Self) -> Self {
        Self {
            total: self.total + other.total,
            in_time: self.in_time + other.in_time,
            late: self.late + other.late,
            not_run: self.not_run + other.not_run,
            not_run_beside_room: self.not_run_beside_room + other.not_run_beside_room,
            failed: self.failed + other.failed,
            refusal_wait_ms: self.refusal_wait_ms + other.refusal_wait_ms,
        }
    }

    /// Returns the share of the calls that completed in time.
    pub fn share(self) -> f64 {
        f64::from(self.in_time) / f64::from(self.total.max(1))
    }

    /// Returns the mean wait before a refusal, in milliseconds.
    pub fn mean_refusal_wait_ms(self) -> f64 {
        self.refusal_wait_ms as f64 / f64::from(self.not_run.max(1))
    }
}
