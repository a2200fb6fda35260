//! Periodic work: expires runs at silent runners, overdue jobs and jobs that cannot meet their
//! deadline.

use crate::leased::dispatch;
use crate::leased::dispatch::admission;
use crate::leased::dispatch::jobs;
use crate::leased::dispatch::urgency;

/// Interval between removals of silent runners, in milliseconds.
const SWEEP_INTERVAL_MS: u64 = 1_000;

/// Minimum retry delay sent to a refused caller, in milliseconds.
const MIN_RETRY_AFTER_MS: u64 = 1_000;

impl dispatch::Dispatcher {
    /// Runs all periodic work that is due at `now_ms` and returns the actions that follow.
    pub fn tick(&mut self, now_ms: u64) -> Vec<dispatch::Action> {
        let mut actions = self.expire_runs(now_ms);
        if now_ms >= self.swept_ms + SWEEP_INTERVAL_MS {
            self.swept_ms = now_ms;
            self.remove_silent_runners(now_ms);
        }
        actions.extend(self.open_watches(now_ms));
        actions.extend(self.observe_running(now_ms));
        actions.extend(self.end_expired_jobs(now_ms));
        actions.extend(self.schedule(now_ms));
        actions.extend(self.fetch_directives(now_ms));
        actions
    }

    /// Ends the runs whose leases have expired, once the messages that arrived during a suspension
    /// of this process have been read.
    fn expire_runs(&mut self, now_ms: u64) -> Vec<dispatch::Action> {
        if now_ms < self.settles_at_ms {
            return Vec::new();
        }
        let mut actions = Vec::new();
        // Every runner that holds runs has an open watch.
        for key in self.watches.open().to_vec() {
            let ended = self.runners[key].expire_runs(now_ms);
            for run in ended {
                actions.extend(self.apply_end(now_ms, &run));
            }
        }
        actions
    }

    /// Ends the jobs that are overdue, and refuses those that can't complete in time.
    ///
    /// After a suspension of this process, the free capacity is known only once the messages that
    /// arrived meanwhile have been read.
    fn end_expired_jobs(&mut self, now_ms: u64) -> Vec<dispatch::Action> {
        let is_settled = now_ms >= self.settles_at_ms;
        let is_expired = |open: &jobs::OpenJob| {
            now_ms >= open.deadline_ms
                || (is_settled
                    && !open.has_started()
                    && urgency::is_infeasible(&dispatch::urgency_view(open), now_ms))
        };
        let expired = self.jobs.iter().filter(|(_, open)| is_expired(open));
        let expired: Vec<_> = expired
            .map(|(key, open)| (key, open.has_started()))
            .collect();
        let mut actions = Vec::new();
        for (key, has_started) in expired {
            actions.extend(self.expire_job(now_ms, key, has_started));
        }
        actions
    }

    fn expire_job(
        &mut self,
        now_ms: u64,
        key: jobs::JobKey,
        has_started: bool,
    ) -> Vec<dispatch::Action> {
        if has_started {
            self.counts.given_up += 1;
            return self.end_job(
                now_ms,
                key,
                Some(dispatch::Outcome::GivenUp),
                "deadline passed",
            );
        }
        self.counts.not_run += 1;
        self.log_refusal(now_ms, key);
        let retry_after_ms = self.drain_ms(now_ms).max(MIN_RETRY_AFTER_MS);
        self.end_job(
            now_ms,
            key,
            Some(dispatch::Outcome::NotRun { retry_after_ms }),
            "no capacity in time",
        )
    }

    /// Refuses a job that would not be placed in time.
    pub(super) fn refuse_early(
        &mut self,
        now_ms: u64,
        key: jobs::JobKey,
        forecast: &admission::Forecast,
    ) -> Vec<dispatch::Action> {
        let Some(open) = self.jobs.get(key) else {
            return Vec::new();
        };
        log::info!(event = "job.refused_early", job = open.job.id.as_str(), queue = open.queue.as_str(), ahead = forecast.ahead, work = open.job.work(), rate_milli = forecast.rate_milli, rate_age_ms = forecast.rate_age_ms, forecast_ms = forecast.wait_ms, slack_ms = forecast.slack_ms, waited_ms = now_ms - open.arrived_ms; "the work ahead is not placed before the latest start of the job");
        self.log_refusal(now_ms, key);
        self.counts.not_run += 1;
        self.counts.refused_early += 1;
        let retry_after_ms = forecast.wait_ms.max(MIN_RETRY_AFTER_MS);
        self.end_job(
            now_ms,
            key,
            Some(dispatch::Outcome::NotRun { retry_after_ms }),
            "would not be placed in time",
        )
    }

    fn log_refusal(&self, now_ms: u64, key: jobs::JobKey) {
        let Some(open) = self.jobs.get(key) else {
            return;
        };
        let fits = self.count_fits(now_ms, open);
        let tasks = u32::try_from(open.tasks.len()).unwrap_or(u32::MAX);
        log::info!(event = "job.no_capacity", job = open.job.id.as_str(), queue = open.queue.as_str(), tasks = tasks, binding = fits.binding(tasks), known = fits.known, watched = fits.watched, usable = fits.usable, uncommitted = fits.uncommitted, allowed = fits.allowed, beside_headroom = fits.beside_headroom, beside_spare = fits.beside_spare, waited_ms = now_ms - open.arrived_ms, waiting = self.waiting.len(); "no capacity in time; counted the tasks that fit under each constraint");
    }

    /// Estimates how long the usable watched runners need for all waiting jobs, in milliseconds.
    fn drain_ms(&self, now_ms: u64) -> u64 {
        let usable = self
            .watched_runners()
            .filter(|(_, runner)| runner.is_usable(now_ms));
        let total_cpu_milli: u64 = usable
            .map(|(_, runner)| u64::from(runner.load.size.cpu_milli))
            .sum();
        let waiting = self.waiting.iter().filter_map(|key| self.jobs.get(*key));
        let works = waiting.map(|open| open.job.work());
        let work = works.fold(0, u64::saturating_add);
        work.checked_div(total_cpu_milli)
            .unwrap_or(MIN_RETRY_AFTER_MS)
    }
}
