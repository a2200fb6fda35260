//! Callers: submission of jobs to entries, cancellation, and receipt of answers.

use bulrushtiller::api;
use bulrushtiller::codes;
use bulrushtiller::entry::calls;
use bulrushtiller::ids;

use crate::sim;
use crate::sim::events;
use crate::sim::world;

/// State of a job's caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum CallerState {
    Waiting,
    Answered,
    /// The connection was lost; the caller receives no later answer.
    Disconnected,
}

impl world::World<'_> {
    /// Submits a job to the entry that the load balancer picks at random.
    pub(super) fn arrive(&mut self, index: usize) {
        if self.caller_states[index] == CallerState::Disconnected {
            return;
        }
        let entry = self.pick_entry();
        self.caller_latency_us[index] = self.site.to_caller_us;
        self.submit(events::Submit {
            job: index,
            entry,
            ticket: None,
        });
    }

    pub(super) fn submit(&mut self, call: events::Submit) {
        let (index, entry) = (call.job, call.entry);
        if !self.entry_states[entry].is_up() {
            self.deliver_to_down_entry(call);
            return;
        }
        let ticket = call.ticket;
        self.connected_to[index].get_or_insert(entry);
        let job = &self.jobs[index];
        let task = |(run_ms, declared_ms): (&u32, &u32)| api::Task {
            kind: job.kind.clone(),
            payload: format!("{index} {run_ms}"),
            run_ms: *declared_ms,
            memory_mib: job.memory.declared_mib,
            ..api::Task::default()
        };
        let submission = api::Submission {
            submission: ticket,
            deadline_ms: job.deadline_ms,
            wait_ms: 0,
            idempotent: job.is_idempotent,
            tasks: job.run_ms.iter().zip(&job.declared_ms).map(task).collect(),
        };
        let now_ms = self.now_ms();
        let (reply, actions) = self.entries[entry].submit(now_ms, &job.team, submission);
        match reply {
            calls::Reply::Answer(answer) => self.refused(index, &answer),
            calls::Reply::Open(key) => {
                self.submitted.insert((entry, key), index);
                self.sent_us[index] = self.now_us - world::START_US - self.caller_latency_us[index];
                self.accepted_by[index] = Some((entry, key));
            }
            calls::Reply::Forward { owner, ticket, .. } => {
                self.forward(index, entry, &owner.address, ticket);
            }
            calls::Reply::Claiming(_) => {}
        }
        self.perform(entry, actions);
    }

    fn forward(
        &mut self,
        job: usize,
        entry: usize,
        address: &str,
        ticket: Option<ids::SubmissionId>,
    ) {
        let (Some(to), Some(ticket)) = (self.entry_at(address), ticket) else {
            return;
        };
        let one_way_us = self.site.latency_us(entry, to);
        self.caller_latency_us[job] += one_way_us;
        let at_us = self.now_us + one_way_us;
        let call = events::Submit {
            job,
            entry: to,
            ticket: Some(ticket),
        };
        self.schedule(at_us, events::Event::Forwarded { from: entry, call });
    }

    pub(super) fn cancel(&mut self, index: usize) {
        let Some((entry, key)) = self.accepted_by[index] else {
            return;
        };
        if !self.entry_states[entry].is_up() {
            return;
        }
        let now_ms = self.now_ms();
        let Some(pending) = self.entries[entry].pending(now_ms, key) else {
            return;
        };
        let Some(id) = pending.submission else { return };
        let team = self.jobs[index].team.clone();
        let (_, actions) = self.entries[entry].cancel(now_ms, &team, &id);
        self.perform(entry, actions);
    }

    /// Schedules the next submission of a refused job after the advised delay, or
    /// delivers the refusal once the caller has no resubmissions left.
    fn refused(&mut self, index: usize, answer: &api::Answer) {
        self.outcome.refusals += 1;
        let retry_after_ms = answer.retry_after_ms;
        if let Some(after_ms) = retry_after_ms.filter(|_| self.resubmissions[index] > 0) {
            self.resubmissions[index] -= 1;
            self.connected_to[index] = None;
            let at_us = self.now_us + 2 * self.caller_latency_us[index] + after_ms * 1_000;
            self.schedule(at_us, events::Event::Arrive(index));
            return;
        }
        self.receive(index, answer);
    }

    pub(super) fn receive(&mut self, job: usize, answer: &api::Answer) {
        match self.caller_states[job] {
            CallerState::Waiting => self.caller_states[job] = CallerState::Answered,
            CallerState::Disconnected => return,
            CallerState::Answered => unreachable!("job {job} was answered twice"),
        }
        self.unanswered_jobs -= 1;
        let is_not_run = answer.code.class() == codes::Class::NotRun;
        self.outcome.false_not_run += u64::from(is_not_run && self.has_started[job]);
        self.outcome.received.push(sim::Received {
            job,
            at_us: self.answer_read_us(job) - world::START_US + self.caller_latency_us[job],
            sent_us: self.sent_us[job],
            code: answer.code,
            outcomes: answer.tasks.iter().map(|task| task.fate).collect(),
            retry_after_ms: answer.retry_after_ms,
        });
    }
}
