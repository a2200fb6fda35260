//! How long the runs of a backend server may go on without a word from whoever wants them.
//!
//! One lease covers all runs of a backend server, so each of them bounds it: a run that should have
//! ended and cannot be stopped is ended with the lease, and the others with it.

use crate::ids;
use crate::leased::capacity;
use crate::leased::messages;

/// Duration of the lease on the backend server's runs, in milliseconds: three renewals may be
/// lost.
pub const LEASE_MS: u64 = 700;

/// Longest time from when a run was last known to be wanted to the end of any lease, in
/// milliseconds. A caller that lost its entry, or was told that the entry gave up, resends the job
/// after 1,300 ms. Even with a clock that is 2 % slow, a stop of 50 ms and the network latency,
/// 1,100 ms end before that.
pub const OWNER_LEASE_MS: u64 = 1_100;

/// Shortest lease under which runs are started, in milliseconds. It is shorter only if a run has not
/// ended although it should have been stopped for some 700 ms.
const MIN_LEASE_MS: u64 = LEASE_MS / 2;

/// Whether the entry of a run still wants it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Demand {
    /// Messages of the entry renew the run.
    Wanted,
    /// No later message of the entry renews the run.
    Withdrawn,
}

impl capacity::Run {
    /// Returns whether its entry has been silent for so long that its callers may be served by others.
    pub(super) const fn is_entry_silent(&self, now_ms: u64) -> bool {
        now_ms > self.alive_at_ms + capacity::OWNER_TIMEOUT_MS
    }

    /// Returns whether the lease has to end in time for this run.
    ///
    /// A run whose stop was acknowledged ends by itself.
    fn bounds_lease(&self) -> bool {
        self.queued.is_none() && !self.is_stop_acknowledged()
    }
}

impl capacity::CapacityManager {
    /// Renews the runs of an entry that it still wants, up to those of the order with this number.
    ///
    /// A message that was sent before an order says nothing about its runs: the entry may have taken
    /// their job in from another entry since then, which was last heard earlier.
    pub(super) fn renew_runs(
        &mut self,
        now_ms: u64,
        entry: ids::Incarnation,
        last_order: u64,
        alive_at_ms: u64,
    ) {
        let alive_at_ms = alive_at_ms.min(now_ms);
        let is_renewed = |run: &&mut capacity::Run| {
            run.owner == entry && run.order_number <= last_order && run.demand == Demand::Wanted
        };
        for run in self.runs.values_mut().filter(is_renewed) {
            run.alive_at_ms = run.alive_at_ms.max(alive_at_ms);
        }
    }

    /// Notes which runs the last watch of an entry no longer wants, and returns those that are not
    /// being stopped.
    pub(super) fn withdraw_unwanted(&mut self, entry: ids::Incarnation) -> Vec<messages::RunId> {
        let Some(owner) = self.owners.get(&entry) else {
            return Vec::new();
        };
        let mut unstopped = Vec::new();
        for (id, run) in &mut self.runs {
            if run.owner != entry || !owner.is_withdrawn(run.order_number, id) {
                continue;
            }
            run.demand = Demand::Withdrawn;
            if run.stop.is_none() {
                unstopped.push(id.clone());
            }
        }
        unstopped
    }

    /// Notes that the entry no longer wants these of its runs, and returns those that are held.
    pub(super) fn withdraw(
        &mut self,
        entry: ids::Incarnation,
        ids: &[messages::RunId],
    ) -> Vec<messages::RunId> {
        let mut held = Vec::new();
        for id in ids {
            let run = self.runs.get_mut(id);
            if let Some(run) = run.filter(|run| run.owner == entry) {
                run.demand = Demand::Withdrawn;
                held.push(id.clone());
            }
        }
        held
    }

    /// Returns the longest lease that may be granted now: no lease may end later than
    /// [`OWNER_LEASE_MS`] after any started run was last known to be wanted.
    pub(super) fn lease_ms(&self, now_ms: u64) -> u64 {
        let bounding = self.runs.values().filter(|run| run.bounds_lease());
        let oldest_ms = bounding.map(|run| run.alive_at_ms).min().unwrap_or(now_ms);
        (oldest_ms + OWNER_LEASE_MS)
            .saturating_sub(now_ms)
            .min(LEASE_MS)
    }

    /// Returns whether all runs will soon end with their lease, as one of them cannot be stopped.
    pub(super) fn is_lease_ending(&self, now_ms: u64) -> bool {
        self.lease_ms(now_ms) < MIN_LEASE_MS
    }
}
