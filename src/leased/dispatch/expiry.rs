//! What time ends at an entry: silent runners, overdue jobs, and jobs that can't be in time.

use crate::leased::dispatch;
use crate::leased::dispatch::jobs;
use crate::leased::dispatch::urgency;

/// How often silent runners are looked for, in milliseconds.
const SWEEP_MS: u64 = 1_000;

/// Shortest time after which a refused caller is asked to come back, in milliseconds.
const MIN_RETRY_MS: u64 = 1_000;

impl dispatch::Dispatcher {
    /// Time passes.
    pub fn tick(&mut self, now_ms: u64) -> Vec<dispatch::Action> {
        let mut actions = Vec::new();
        // A runner with runs is always watched.
        for key in self.watches.open().to_vec() {
            let over = self.runners[key].lapse(now_ms);
            for over in over {
                actions.extend(self.take_end(now_ms, &over));
            }
        }
        if now_ms >= self.swept_ms + SWEEP_MS {
            self.swept_ms = now_ms;
            self.forget_runners(now_ms);
        }
        actions.extend(self.keep_watches(now_ms));
        actions.extend(self.judge_running(now_ms));
        actions.extend(self.end_overdue(now_ms));
        actions.extend(self.fill(now_ms));
        actions.extend(self.catch_up(now_ms));
        actions
    }

    fn end_overdue(&mut self, now_ms: u64) -> Vec<dispatch::Action> {
        let is_over = |open: &jobs::Open| {
            now_ms >= open.deadline_ms
                || (!open.has_started() && urgency::is_hopeless(&dispatch::view(open), now_ms))
        };
        let overdue = self.jobs.iter().filter(|(_, open)| is_over(open));
        let overdue: Vec<_> = overdue
            .map(|(key, open)| (key, open.has_started()))
            .collect();
        let mut actions = Vec::new();
        for (key, has_started) in overdue {
            actions.extend(self.give_up(now_ms, key, has_started));
        }
        actions
    }

    fn give_up(
        &mut self,
        now_ms: u64,
        key: jobs::JobKey,
        has_started: bool,
    ) -> Vec<dispatch::Action> {
        if has_started {
            self.counts.given_up += 1;
            return self.end(
                now_ms,
                key,
                Some(dispatch::Outcome::GivenUp),
                "deadline passed",
            );
        }
        self.counts.not_run += 1;
        let retry_after_ms = self.drain_ms(now_ms).max(MIN_RETRY_MS);
        self.end(
            now_ms,
            key,
            Some(dispatch::Outcome::NotRun { retry_after_ms }),
            "no room in time",
        )
    }

    /// How long the work that waits takes on the runners that are in sight, in milliseconds.
    fn drain_ms(&self, now_ms: u64) -> u64 {
        let usable = self
            .watched_runners()
            .filter(|(_, runner)| runner.is_usable(now_ms));
        let cpu: u64 = usable
            .map(|(_, runner)| u64::from(runner.load.size.cpu_milli))
            .sum();
        let waiting = self.waiting.iter().filter_map(|key| self.jobs.get(*key));
        let work: u64 = waiting.map(|open| open.job.work()).sum();
        work.checked_div(cpu).unwrap_or(MIN_RETRY_MS)
    }
}
