//! Timers: deadlines, overdue replies, dead runners and expiry of old state.

use crate::codes;
use crate::entry::core;
use crate::jobs;
use crate::membership;

/// Shortest gap between two ticks that counts as a suspension of this process.
const MIN_PAUSE_MS: u64 = 1_000;

/// Longest wait for the outcome of running attempts after a submission was given up:
/// one query to a runner and its reply, with a margin for a busy runner.
const SETTLE_TIMEOUT_MS: u64 = 200;

/// Processes are removed when they were last seen this many times `dead_after_ms` ago.
pub(crate) const FORGET_FACTOR: u64 = 20;

impl core::Core {
    /// Runs all timers that are due; called several times a second.
    pub fn tick(&mut self, now_ms: u64) -> Vec<core::Action> {
        self.compensate_pause(now_ms);
        let timeouts = self.settings.timeouts;
        self.jobs.advance(now_ms, timeouts.retain_ms.into());
        self.jobs.compact(now_ms, timeouts.answer_ms.into());
        let dead_after = u64::from(timeouts.dead_after_ms);
        self.tick_load(now_ms);
        let mut actions = self.end_overdue(now_ms);
        actions.extend(self.end_infeasible(now_ms));
        actions.extend(self.end_unsettled(now_ms));
        actions.extend(self.end_dead_runners(now_ms, dead_after));
        actions.extend(self.query_overdue(now_ms));
        self.requeue_due_retries(now_ms);
        actions.extend(self.expire_claims(now_ms));
        actions.extend(self.append_claims(now_ms));
        self.members
            .remove_silent(now_ms, dead_after * FORGET_FACTOR);
        let members = &self.members;
        self.health
            .retain(|runner| members.runner(runner).is_some());
        let silent_after_ms = self.silent_after_ms();
        self.warnings.expire(now_ms.saturating_sub(silent_after_ms));
        self.report_overdue(now_ms);
        actions.extend(self.dispatch_queued(now_ms));
        actions
    }

    /// Runs a tick if this process was suspended since the last one.
    ///
    /// Called before any event is handled, since a message may arrive before the first
    /// tick after a suspension. Without it the event would be handled on stale state:
    /// passed deadlines would be missed, and the pause would count towards the time
    /// since a sender was last seen.
    pub(crate) fn catch_up(&mut self, now_ms: u64) -> Vec<core::Action> {
        if now_ms.saturating_sub(self.last_tick_ms) <= MIN_PAUSE_MS {
            return Vec::new();
        }
        self.tick(now_ms)
    }

    /// Excludes a suspension of this process from the time since peers were last seen.
    ///
    /// Otherwise every runner would count as dead after a long pause, and all running
    /// attempts would be given up.
    fn compensate_pause(&mut self, now_ms: u64) {
        let gap_ms = now_ms.saturating_sub(self.last_tick_ms);
        self.last_tick_ms = now_ms;
        if gap_ms > MIN_PAUSE_MS {
            self.members.shift_last_seen(gap_ms);
            self.jobs.exclude_pause(gap_ms);
        }
    }

    fn end_overdue(&mut self, now_ms: u64) -> Vec<core::Action> {
        let mut actions = Vec::new();
        for key in self.jobs.due().overdue(now_ms) {
            actions.extend(self.give_up(now_ms, key, codes::Code::DeadlineNotRun));
        }
        actions
    }

    /// Answers submissions that were given up at least [`SETTLE_TIMEOUT_MS`] ago.
    ///
    /// The outcome of running attempts is awaited only for the time that a query to
    /// their runner takes.
    fn end_unsettled(&mut self, now_ms: u64) -> Vec<core::Action> {
        let Some(last_ms) = now_ms.checked_sub(SETTLE_TIMEOUT_MS) else {
            return Vec::new();
        };
        let due = self.jobs.due().given_up_by(last_ms);
        due.into_iter()
            .flat_map(|key| self.end_as_unknown(now_ms, key))
            .collect()
    }

    fn end_as_unknown(&mut self, now_ms: u64, key: jobs::Key) -> Vec<core::Action> {
        let Some(open) = self.jobs.open_at(key) else {
            return Vec::new();
        };
        let undecided = open
            .iter_progress()
            .filter(|(_, p)| !matches!(p, jobs::Progress::Decided(_)));
        let undecided: Vec<u32> = undecided.map(|(index, _)| index).collect();
        for index in undecided {
            let decided = jobs::Decided::may_have_run(codes::Code::StillRunning, None);
            let task = jobs::TaskKey {
                submission: key,
                index,
            };
            self.jobs.decide(now_ms, task, decided);
        }
        self.settle(now_ms, key)
    }

    /// Ends all open submissions at once because the process exits now.
    ///
    /// Queued tasks are answered as not run, dispatched ones as may have run.
    pub fn abandon(&mut self, now_ms: u64) -> Vec<core::Action> {
        let mut actions = Vec::new();
        for key in self.jobs.open_keys() {
            actions.extend(self.give_up(now_ms, key, codes::Code::Leaving));
            actions.extend(self.end_as_unknown(now_ms, key));
        }
        actions
    }

    fn end_dead_runners(&mut self, now_ms: u64, dead_after: u64) -> Vec<core::Action> {
        let is_dead = |runner: &membership::Runner| {
            runner.in_flight > 0 && runner.last_seen_ms.saturating_add(dead_after) <= now_ms
        };
        let dead = self.members.runners().filter(|(_, runner)| is_dead(runner));
        let dead: Vec<_> = dead.map(|(key, _)| key).collect();
        dead.into_iter()
            .flat_map(|key| self.runner_lost(now_ms, key))
            .collect()
    }

    fn requeue_due_retries(&mut self, now_ms: u64) {
        for item in self.retries.due(now_ms) {
            self.requeue(item);
        }
    }

    fn query_overdue(&mut self, now_ms: u64) -> Vec<core::Action> {
        let due = self.in_flight.due_queries(now_ms);
        due.into_iter()
            .filter_map(|number| self.query_runner(now_ms, number))
            .collect()
    }
}
