//! Applies the ends of runs to their jobs.

use crate::leased::dispatch;
use crate::leased::dispatch::jobs;
use crate::leased::dispatch::runners;
use crate::leased::dispatch::runners::runs;
use crate::leased::messages;

impl dispatch::Dispatcher {
    pub(super) fn apply_ends(
        &mut self,
        now_ms: u64,
        key: runners::RunnerKey,
        ended: Vec<runs::EndedRun>,
    ) -> Vec<dispatch::Action> {
        let mut actions = Vec::new();
        for end in ended {
            actions.extend(self.observe_end(now_ms, key, &end));
            actions.extend(self.apply_end(now_ms, &end));
        }
        actions.extend(self.schedule(now_ms));
        actions
    }

    pub(super) fn apply_end(
        &mut self,
        now_ms: u64,
        ended: &runs::EndedRun,
    ) -> Vec<dispatch::Action> {
        let Some(open) = self.jobs.get_mut(ended.placed.job) else {
            return Vec::new();
        };
        let index = ended.placed.task;
        open.may_have_run |= ended.how != messages::RunOutcome::NotStarted;
        if open.run_id(index) != ended.id
            || !matches!(open.tasks[index].state, jobs::State::Assigned(_))
        {
            return Vec::new();
        }
        let key = ended.placed.job;
        if ended.how == messages::RunOutcome::Done {
            open.tasks[index].state = jobs::State::Done;
            open.unfinished[usize::from(open.tasks[index].step)] -= 1;
            if open.is_complete() {
                return self.complete(now_ms, key);
            }
            self.enqueue(key);
            return Vec::new();
        }
        let runner = open.assigned_runner(index);
        let address = runner.and_then(|key| self.runners.get(key));
        let address = address.map_or("", |runner| runner.address().as_str());
        open.tasks[index].state = jobs::State::Waiting;
        match ended.how {
            messages::RunOutcome::Failed => {
                open.tasks[index].failed += 1;
                log::info!(event = "task.failed", job = open.job.id.as_str(), run:% = ended.id, failed = open.tasks[index].failed, most = open.max_attempts, ran_ms = ended.ran_ms; "run failed");
                if open.tasks[index].failed >= open.max_attempts {
                    self.counts.failed += 1;
                    return self.end_job(
                        now_ms,
                        key,
                        Some(dispatch::Outcome::Failed),
                        "task failed too often",
                    );
                }
            }
            messages::RunOutcome::NotStarted => self.counts.not_started += 1,
            _ => {
                log::info!(event = "task.lost", job = open.job.id.as_str(), run:% = ended.id, runner = address, evidence:? = ended.evidence, age_ms = now_ms - ended.placed.ordered_ms; "run ended without a result; starting the task again");
                self.counts.lost += 1;
            }
        }
        self.enqueue(key);
        Vec::new()
    }

    fn complete(&mut self, now_ms: u64, key: jobs::JobKey) -> Vec<dispatch::Action> {
        self.counts.completed += 1;
        if let Some(open) = self.jobs.get(key) {
            self.counts.late += u64::from(now_ms > open.due_ms);
            self.counts.took.observe(now_ms - open.arrived_ms);
        }
        self.end_job(now_ms, key, Some(dispatch::Outcome::Completed), "complete")
    }
}
