//! What becomes of a job once runs of it are over.

use crate::leased::dispatch;
use crate::leased::dispatch::jobs;
use crate::leased::dispatch::runners;
use crate::leased::messages;

impl dispatch::Dispatcher {
    pub(super) fn take_over(
        &mut self,
        now_ms: u64,
        key: runners::RunnerKey,
        over: Vec<runners::Over>,
    ) -> Vec<dispatch::Action> {
        let mut actions = Vec::new();
        for over in over {
            actions.extend(self.judge_end(now_ms, key, &over));
            actions.extend(self.take_end(now_ms, &over));
        }
        actions.extend(self.fill(now_ms));
        actions
    }

    pub(super) fn take_end(&mut self, now_ms: u64, over: &runners::Over) -> Vec<dispatch::Action> {
        let Some(open) = self.jobs.get_mut(over.placed.job) else {
            return Vec::new();
        };
        let at = over.placed.task;
        open.has_begun |= over.how != messages::RunOutcome::NotStarted;
        if open.run_id(at) != over.id || !matches!(open.tasks[at].state, jobs::State::At(_)) {
            return Vec::new();
        }
        let key = over.placed.job;
        if over.how == messages::RunOutcome::Done {
            open.tasks[at].state = jobs::State::Done;
            open.left[usize::from(open.tasks[at].step)] -= 1;
            if open.is_complete() {
                return self.complete(now_ms, key);
            }
            self.wait(key);
            return Vec::new();
        }
        open.tasks[at].state = jobs::State::Waiting;
        match over.how {
            messages::RunOutcome::Failed => {
                open.tasks[at].failed += 1;
                log::info!(event = "task.failed", job = open.job.id.as_str(), run:% = over.id, failed = open.tasks[at].failed, most = open.max_attempts, ran_ms = over.ran_ms; "failed");
                if open.tasks[at].failed >= open.max_attempts {
                    self.counts.failed += 1;
                    return self.end(
                        now_ms,
                        key,
                        Some(dispatch::Outcome::Failed),
                        "task failed too often",
                    );
                }
            }
            messages::RunOutcome::NotStarted => self.counts.not_started += 1,
            _ => {
                log::info!(event = "task.lost", job = open.job.id.as_str(), run:% = over.id, age_ms = now_ms - over.placed.ordered_ms; "run is over without a result");
                self.counts.lost += 1;
            }
        }
        self.wait(key);
        Vec::new()
    }

    fn complete(&mut self, now_ms: u64, key: jobs::JobKey) -> Vec<dispatch::Action> {
        self.counts.completed += 1;
        if let Some(open) = self.jobs.get(key) {
            self.counts.late += u64::from(now_ms > open.due_ms);
            self.counts.took.observe(now_ms - open.arrived_ms);
        }
        self.end(now_ms, key, Some(dispatch::Outcome::Completed), "complete")
    }
}
