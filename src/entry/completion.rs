//! Recording the outcomes of tasks, and ending submissions with their answers.

use crate::codes;
use crate::entry::core;
use crate::jobs;

impl core::Core {
    /// Records the outcome of a task.
    ///
    /// Any outcome other than success gives up the whole submission.
    pub(crate) fn decide(
        &mut self,
        now_ms: u64,
        task: jobs::TaskKey,
        decided: jobs::Decided,
    ) -> Vec<core::Action> {
        let Some(open) = self.jobs.open_at(task.submission) else {
            return Vec::new();
        };
        let was_given_up = open.give_up_reason().is_some();
        self.jobs.decide(now_ms, task, decided);
        let open = self.jobs.open_at(task.submission);
        let is_newly_given_up =
            |open: &jobs::Open| open.give_up_reason().is_some() && !open.is_decided();
        if !was_given_up && open.is_some_and(is_newly_given_up) {
            return self.give_up(now_ms, task.submission, codes::Code::NotNeeded);
        }
        self.settle(now_ms, task.submission)
    }

    /// Gives up a submission: queued tasks do not run and dispatched ones are stopped.
    ///
    /// The answer follows once the outcome of every dispatched task is known.
    pub(crate) fn give_up(
        &mut self,
        now_ms: u64,
        key: jobs::Key,
        code: codes::Code,
    ) -> Vec<core::Action> {
        self.queue.remove_submission(key);
        self.jobs.give_up(now_ms, key, code);
        let Some(open) = self.jobs.open_at(key) else {
            return Vec::new();
        };
        let mut dispatched = Vec::new();
        let mut queued = Vec::new();
        for (index, progress) in open.iter_progress() {
            match progress {
                jobs::Progress::Queued => queued.push(index),
                jobs::Progress::Dispatched(attempt) => dispatched.push(*attempt),
                jobs::Progress::Decided(_) => {}
            }
        }
        for index in queued {
            let task = jobs::TaskKey {
                submission: key,
                index,
            };
            let decided = jobs::Decided::not_run(code);
            self.jobs.decide(now_ms, task, decided);
        }
        let mut actions = Vec::new();
        for attempt in dispatched {
            actions.extend(self.stop(now_ms, attempt));
        }
        actions.extend(self.settle(now_ms, key));
        actions
    }

    /// Answers the submission if the outcome of every task is known.
    pub(crate) fn settle(&mut self, now_ms: u64, key: jobs::Key) -> Vec<core::Action> {
        let Some(answer) = self.jobs.settle(key, now_ms) else {
            return Vec::new();
        };
        self.retries.forget(key);
        match answer.code {
            codes::Code::Complete => self.counts.complete += 1,
            _ => self.counts.failed += 1,
        }
        vec![core::Action::Answer {
            submission: key,
            answer: Box::new(answer),
        }]
    }
}
