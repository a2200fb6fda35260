//! Decides how much capacity less urgent jobs leave free for the most urgent queue.
//!
//! Under overload by long jobs, every backend server is full of tasks that each hold their
//! capacity for a while. A wide job of short tasks then finds capacity for most of its tasks at
//! once, and the last one waits in a queue until the job is late. If less urgent jobs leave a
//! little free everywhere, that last task starts at once, and the capacity is taken for a short
//! time only.
//!
//! The headroom follows the share of the most urgent queue in the declared work that arrives, so
//! it costs nothing where there is no such work. While the tasks of the most urgent queue find
//! capacity at once, a job that would be refused otherwise may use the headroom.

use std::collections;

use smol_str::SmolStr;

/// Time over which arriving work is averaged, in milliseconds.
const AVERAGED_MS: f64 = 2_000.0;

/// Headroom as a share of the capacity, relative to the share of the most urgent work.
///
/// The most urgent work itself holds its share of the capacity on average; the headroom is for
/// arrivals above the average.
const SHARE_OF_URGENT: f64 = 0.5;

/// Largest headroom as a share of the capacity.
const MAX_SHARE: f64 = 0.125;

/// Time over which placed tasks are averaged, in milliseconds.
const PLACED_AVERAGED_MS: f64 = 500.0;

/// Share of the tasks of the most urgent queue that have to wait at a runner above which no other
/// job may use the headroom.
const MAX_WAITING_SHARE: f64 = 0.2;

/// Declared work that arrived lately for one service, weighted by age.
#[derive(Clone, Copy, Debug, Default)]
struct Demand {
    urgent: f64,
    total: f64,
    updated_ms: u64,
    /// Placed tasks of the most urgent queue.
    placed: Placed,
}

/// Tasks of the most urgent queue that were placed lately, weighted by age.
#[derive(Clone, Copy, Debug, Default)]
struct Placed {
    total: f64,
    /// Those of them that had to wait at a runner.
    waiting: f64,
    updated_ms: u64,
}

impl Placed {
    fn record(&mut self, now_ms: u64, total: usize, waiting: usize) {
        let age_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        let decay = (-age_ms / PLACED_AVERAGED_MS).exp();
        self.total = self.total.mul_add(decay, total as f64);
        self.waiting = self.waiting.mul_add(decay, waiting as f64);
        self.updated_ms = now_ms;
    }

    fn found_capacity(&self) -> bool {
        self.waiting <= self.total * MAX_WAITING_SHARE
    }
}

impl Demand {
    fn record(&mut self, now_ms: u64, is_most_urgent: bool, work: u64) {
        let age_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        let decay = (-age_ms / AVERAGED_MS).exp();
        let work = work as f64;
        let urgent = if is_most_urgent { work } else { 0.0 };
        self.urgent = self.urgent.mul_add(decay, urgent);
        self.total = self.total.mul_add(decay, work);
        self.updated_ms = now_ms;
    }

    fn share(&self) -> f64 {
        if self.total > 0.0 {
            (SHARE_OF_URGENT * self.urgent / self.total).min(MAX_SHARE)
        } else {
            0.0
        }
    }
}

/// Capacity that less urgent jobs leave free, by service.
#[derive(Clone, Debug, Default)]
pub struct Headroom {
    demands: collections::HashMap<SmolStr, Demand>,
}

impl Headroom {
    /// Records the declared work of a job that arrived.
    pub fn record(&mut self, now_ms: u64, service: &SmolStr, is_most_urgent: bool, work: u64) {
        if let Some(demand) = self.demands.get_mut(service) {
            demand.record(now_ms, is_most_urgent, work);
            return;
        }
        let mut demand = Demand::default();
        demand.record(now_ms, is_most_urgent, work);
        self.demands.insert(service.clone(), demand);
    }

    /// Returns the share of a backend server's capacity that less urgent jobs leave free.
    pub fn share(&self, service: &str) -> f64 {
        self.demands.get(service).map_or(0.0, Demand::share)
    }

    /// Records how many tasks of the most urgent queue were placed, and how many of these have to
    /// wait at a runner.
    pub fn record_placed(&mut self, now_ms: u64, service: &str, total: usize, waiting: usize) {
        if let Some(demand) = self.demands.get_mut(service) {
            demand.placed.record(now_ms, total, waiting);
        }
    }

    /// Returns whether a less urgent job that would be refused otherwise may use the headroom:
    /// most tasks of the most urgent queue lately found capacity at once.
    pub fn is_usable(&self, service: &str) -> bool {
        let demand = self.demands.get(service);
        demand.is_none_or(|demand| demand.placed.found_capacity())
    }

    /// Removes services that no queue uses any more.
    pub fn retain(&mut self, is_used: impl Fn(&str) -> bool) {
        self.demands.retain(|service, _| is_used(service));
    }
}

/// Returns the capacity that a less urgent task has to leave free at a backend server, in
/// thousandths of a core.
///
/// A task that fits an idle backend server may always start there, however large it is.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a share of a number that fits"
)]
pub fn reserve_milli(share: f64, size_milli: u32, need_milli: u32) -> u32 {
    let reserve_milli = (f64::from(size_milli) * share) as u32;
    reserve_milli.min(size_milli.saturating_sub(need_milli))
}
