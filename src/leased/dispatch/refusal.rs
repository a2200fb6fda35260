//! Counts, for a job that is refused for lack of capacity, how many of its tasks would have fitted
//! under each constraint on placement.
//!
//! A job can be refused although backend servers have free capacity, because some of it may not be
//! used. The counts show which constraint made the difference.

use crate::health;
use crate::leased::dispatch;
use crate::leased::dispatch::jobs;
use crate::leased::dispatch::placement;
use crate::leased::dispatch::runners;
use crate::leased::messages;

/// Number of tasks of a job that fit under more and more constraints.
///
/// Each count includes the constraints of the counts before it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Fits {
    /// At any known runner, by its last report.
    pub known: u32,
    /// At runners with an open watch.
    pub watched: u32,
    /// At runners that accept work and are not silent, in availability zones in service.
    pub usable: u32,
    /// After subtracting the orders that no report includes yet.
    pub uncommitted: u32,
    /// Within the number of tasks allowed by the health of the runner.
    pub allowed: u32,
    /// Without using the headroom for the most urgent queue.
    pub beside_headroom: u32,
    /// Without using the capacity that a late job leaves free.
    pub beside_spare: u32,
}

impl Fits {
    /// Returns the first constraint that left room for fewer than `tasks` tasks.
    pub const fn binding(&self, tasks: u32) -> &'static str {
        let counts = [
            (self.known, "capacity"),
            (self.watched, "unwatched"),
            (self.usable, "unusable"),
            (self.uncommitted, "in flight"),
            (self.allowed, "allowance"),
            (self.beside_headroom, "headroom"),
            (self.beside_spare, "late"),
        ];
        let mut at = 0;
        while at < counts.len() {
            let (count, name) = counts[at];
            if count < tasks {
                return name;
            }
            at += 1;
        }
        "order of jobs"
    }
}

impl dispatch::Dispatcher {
    /// Counts how many tasks of a job that has not started fit under each constraint.
    pub(super) fn count_fits(&self, now_ms: u64, open: &jobs::OpenJob) -> Fits {
        let mut fits = Fits::default();
        let Some(task) = open.ready_tasks().next() else {
            return fits;
        };
        let need_milli = open.need(task).cpu_milli.max(1);
        let directives = self.directives.latest();
        let headroom_share = self.headroom.share(&open.service);
        for (key, runner) in &self.runners {
            let load = &runner.load;
            if load.service != open.service || load.readiness != messages::Readiness::Ready {
                continue;
            }
            let free_milli = load.size.minus(&load.used).cpu_milli;
            fits.known = fits.known.saturating_add(free_milli / need_milli);
            if runner.watch.opened_ms.is_none() {
                continue;
            }
            fits.watched = fits.watched.saturating_add(free_milli / need_milli);
            if !runner.is_usable(now_ms) || directives.is_zone_out(&load.zone) {
                continue;
            }
            fits.usable = fits.usable.saturating_add(free_milli / need_milli);
            let free_milli = runner.free().cpu_milli;
            fits.uncommitted = fits.uncommitted.saturating_add(free_milli / need_milli);
            let allowance = self.task_allowance(now_ms, key, runner);
            fits.allowed = fits
                .allowed
                .saturating_add((free_milli / need_milli).min(allowance));
            let beside = |class| {
                let size_milli = load.size.cpu_milli;
                let spare_milli =
                    placement::spare_milli(class, headroom_share, size_milli, need_milli);
                (free_milli.saturating_sub(spare_milli) / need_milli).min(allowance)
            };
            fits.beside_headroom = fits
                .beside_headroom
                .saturating_add(beside(open.precedence.saturating_add(1)));
            fits.beside_spare = fits.beside_spare.saturating_add(beside(u8::MAX));
        }
        fits
    }

    /// Returns how many further tasks the health of a runner allows.
    pub(super) fn task_allowance(
        &self,
        now_ms: u64,
        key: runners::RunnerKey,
        runner: &runners::Runner,
    ) -> u32 {
        let health::Allowance { max_tasks, .. } = self.health.allowance(now_ms, key);
        let held = u32::try_from(runner.placed()).unwrap_or(u32::MAX);
        max_tasks.unwrap_or(u32::MAX).saturating_sub(held)
    }
}
