//! Jobs that callers submit, and callers that leave or cancel.

use crate::leased::dispatch;
use crate::leased::dispatch::jobs;
use crate::leased::job;
use crate::leased::queues;

impl dispatch::Dispatcher {
    /// Accepts a job; `timeout_ms` is the longest time that the caller waits, if it gave one.
    pub fn submit(
        &mut self,
        now_ms: u64,
        job: job::Job,
        queue: &queues::Queue,
        timeout_ms: Option<u64>,
        waiter: jobs::Waiter,
    ) -> Vec<dispatch::Action> {
        if self.join(now_ms, &job.id, waiter) {
            return Vec::new();
        }
        let waited_ms = self.prior_wait_ms(queue, timeout_ms);
        let wait = dispatch::CallerWait {
            timeout_ms,
            waited_ms,
            waiter,
        };
        self.accept(now_ms, job, queue, wait)
    }

    /// Returns the time that a caller has certainly waited before, in milliseconds.
    pub fn prior_wait_ms(&mut self, queue: &queues::Queue, timeout_ms: Option<u64>) -> u64 {
        self.prior_wait.waited_ms(queue, timeout_ms)
    }

    /// Adds a waiter to an open job; returns `false` if no such job is open.
    fn join(&mut self, now_ms: u64, id: &str, waiter: jobs::Waiter) -> bool {
        if let Some(open) = self.by_id.get(id).and_then(|key| self.jobs.get_mut(*key)) {
            // The caller lost its connection and retries: it joins the open job, and no second
            // one starts.
            log::info!(event = "job.joined", job = id, age_ms = now_ms - open.arrived_ms; "job is already open; joined it");
            open.waiters.push(waiter);
            return true;
        }
        false
    }

    /// Accepts a job whose caller has waited for a known time.
    pub fn submit_waited(
        &mut self,
        now_ms: u64,
        job: job::Job,
        queue: &queues::Queue,
        wait: dispatch::CallerWait,
    ) -> Vec<dispatch::Action> {
        if self.join(now_ms, &job.id, wait.waiter) {
            return Vec::new();
        }
        self.accept(now_ms, job, queue, wait)
    }

    fn accept(
        &mut self,
        now_ms: u64,
        job: job::Job,
        queue: &queues::Queue,
        wait: dispatch::CallerWait,
    ) -> Vec<dispatch::Action> {
        let dispatch::CallerWait {
            timeout_ms,
            waited_ms,
            waiter,
        } = wait;
        let kind = self.health.intern_kind(&queue.service, &queue.name);
        let mut open = jobs::OpenJob::new(now_ms, job, queue, timeout_ms, waiter, kind);
        open.precedence = self.queues.precedence(queue);
        open.add_prior_wait(waited_ms);
        let is_most_urgent = open.precedence == 0;
        self.headroom
            .record(now_ms, &open.service, is_most_urgent, open.job.work());
        log::info!(event = "job.accept", job = open.job.id.as_str(), queue = open.queue.as_str(), tasks = open.tasks.len(), estimate_ms = open.job.critical_path_ms(), objective_ms = open.objective_ms, precedence = open.precedence, timeout_ms = open.deadline_ms - now_ms, waited_ms = waited_ms, waiting = self.waiting.len(), headroom = self.headroom.share(&open.service), configuration = self.directives.get().version; "job accepted");
        self.counts.accepted += 1;
        let id = open.job.id.clone();
        let key = self.jobs.insert(open);
        self.by_id.insert(id, key);
        self.waiting.push(key);
        self.schedule(now_ms)
    }

    /// Removes a caller that disconnected, and ends the job if no other caller waits for it.
    pub fn remove_waiter(
        &mut self,
        now_ms: u64,
        id: &str,
        waiter: jobs::Waiter,
    ) -> Vec<dispatch::Action> {
        let Some(&key) = self.by_id.get(id) else {
            return Vec::new();
        };
        let Some(open) = self.jobs.get_mut(key) else {
            return Vec::new();
        };
        open.waiters.retain(|other| *other != waiter);
        if !open.waiters.is_empty() {
            return Vec::new();
        }
        self.counts.cancelled += 1;
        self.end_job(now_ms, key, None, "caller disconnected")
    }

    /// Cancels a job; returns `None` if no such job is open.
    pub fn cancel(&mut self, now_ms: u64, id: &str) -> Option<Vec<dispatch::Action>> {
        let key = *self.by_id.get(id)?;
        self.counts.cancelled += 1;
        Some(self.end_job(now_ms, key, Some(dispatch::Outcome::Cancelled), "cancelled"))
    }
}
