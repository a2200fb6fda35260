//! Outcomes of the calls of a simulation.

use bulrushtiller::leased::dispatch;

use crate::leased::world;

/// Divisor of the calls of a queue that gives the number of those with the most work.
const LARGEST_DIVISOR: usize = 10;

/// Outcomes of the calls of one queue.
#[derive(Clone, Debug, Default)]
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
    /// Times that refused calls waited for their refusal, in milliseconds.
    pub refusal_waits_ms: Vec<u64>,
    /// Number of calls in the tenth with the most work.
    pub largest: u32,
    /// Calls in the tenth with the most work that completed in time.
    pub largest_in_time: u32,
}

impl Tally {
    /// Counts the calls of a queue, without those that callers resent.
    pub fn of(calls: &[world::Call], queue: &str) -> Self {
        let mut tally = Self::default();
        let is_counted = |call: &&world::Call| call.queue == queue && !call.is_resent;
        let mut counted: Vec<_> = calls.iter().filter(is_counted).collect();
        for call in &counted {
            tally.add(call);
        }
        counted.sort_by(|one, other| other.core_s.total_cmp(&one.core_s));
        counted.truncate(counted.len().div_ceil(LARGEST_DIVISOR));
        for call in counted {
            tally.largest += 1;
            tally.largest_in_time += u32::from(is_in_time(call));
        }
        tally
    }

    fn add(&mut self, call: &world::Call) {
        self.total += 1;
        match call.ended {
            Some(_) if is_in_time(call) => self.in_time += 1,
            Some((_, dispatch::Outcome::Completed)) => self.late += 1,
            Some((at_ms, dispatch::Outcome::NotRun { .. })) => {
                self.not_run += 1;
                self.not_run_beside_room += u32::from(call.was_room_free);
                self.refusal_waits_ms.push(at_ms - call.arrived_ms);
            }
            _ => self.failed += 1,
        }
    }

    /// Adds the counts of another seed.
    #[must_use]
    pub fn plus(mut self, other: Self) -> Self {
        self.total += other.total;
        self.in_time += other.in_time;
        self.late += other.late;
        self.not_run += other.not_run;
        self.not_run_beside_room += other.not_run_beside_room;
        self.failed += other.failed;
        self.refusal_waits_ms.extend(other.refusal_waits_ms);
        self.largest += other.largest;
        self.largest_in_time += other.largest_in_time;
        self
    }

    /// Returns the share of the calls that completed in time.
    pub fn share(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.total.max(1))
    }

    /// Returns the share of the tenth with the most work that completed in time.
    pub fn largest_share(&self) -> f64 {
        f64::from(self.largest_in_time) / f64::from(self.largest.max(1))
    }

    /// Returns the median wait before a refusal, in milliseconds; 0 without refusals.
    pub fn median_refusal_wait_ms(&self) -> u64 {
        let mut waits_ms = self.refusal_waits_ms.clone();
        waits_ms.sort_unstable();
        waits_ms.get(waits_ms.len() / 2).copied().unwrap_or(0)
    }
}

fn is_in_time(call: &world::Call) -> bool {
    let is_in_time = |at_ms| at_ms <= call.due_ms;
    matches!(call.ended, Some((at_ms, dispatch::Outcome::Completed)) if is_in_time(at_ms))
}
