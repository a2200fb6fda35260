//! Callers: how their jobs come to entries, and what they hear of them.

use bulrushtiller::api;
use bulrushtiller::codes;
use bulrushtiller::entry::calls;
use bulrushtiller::ids;

use crate::sim;
use crate::sim::events;
use crate::sim::world;

/// What the caller of a job has heard.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Heard {
    Nothing,
    Answer,
    /// Its connection broke, and it hears of no later answer.
    Break,
}

impl world::World<'_> {
    /// The balancer sends each call to an entry at random.
    pub(super) fn arrive(&mut self, index: usize) {
        if self.heard[index] == Heard::Break {
            return;
        }
        let entry = self.balance();
        self.ways_us[index] = self.site.to_caller_us;
        self.submit(events::Submit {
            job: index,
            entry,
            ticket: None,
        });
    }

    pub(super) fn submit(&mut self, call: events::Submit) {
        let (index, entry) = (call.job, call.entry);
        if !self.lives[entry].is_up() {
            self.not_taken(call);
            return;
        }
        let ticket = call.ticket;
        self.called[index].get_or_insert(entry);
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
                self.sent_us[index] = self.now_us - world::START_US - self.ways_us[index];
                self.placed[index] = Some((entry, key));
            }
            calls::Reply::Forward { owner, ticket, .. } => {
                self.pass_on(index, entry, &owner.address, ticket);
            }
            calls::Reply::Claiming(_) => {}
        }
        self.act(entry, actions);
    }

    fn pass_on(
        &mut self,
        job: usize,
        entry: usize,
        address: &str,
        ticket: Option<ids::SubmissionId>,
    ) {
        let (Some(to), Some(ticket)) = (self.entry_at(address), ticket) else {
            return;
        };
        let way_us = self.site.latency_us(entry, to);
        self.ways_us[job] += way_us;
        let at_us = self.now_us + way_us;
        let call = events::Submit {
            job,
            entry: to,
            ticket: Some(ticket),
        };
        self.at(at_us, events::Event::PassedOn { from: entry, call });
    }

    pub(super) fn cancel(&mut self, index: usize) {
        let Some((entry, key)) = self.placed[index] else {
            return;
        };
        if !self.lives[entry].is_up() {
            return;
        }
        let now_ms = self.now_ms();
        let Some(pending) = self.entries[entry].pending(now_ms, key) else {
            return;
        };
        let Some(id) = pending.submission else { return };
        let team = self.jobs[index].team.clone();
        let (_, actions) = self.entries[entry].cancel(now_ms, &team, &id);
        self.act(entry, actions);
    }

    /// A refused caller comes back when it was told to, so often as it has patience.
    fn refused(&mut self, index: usize, answer: &api::Answer) {
        self.outcome.refusals += 1;
        let retry_after_ms = answer.retry_after_ms;
        if let Some(after_ms) = retry_after_ms.filter(|_| self.returns[index] > 0) {
            self.returns[index] -= 1;
            self.called[index] = None;
            let at_us = self.now_us + 2 * self.ways_us[index] + after_ms * 1_000;
            self.at(at_us, events::Event::Arrive(index));
            return;
        }
        self.receive(index, answer);
    }

    pub(super) fn receive(&mut self, job: usize, answer: &api::Answer) {
        match self.heard[job] {
            Heard::Nothing => self.heard[job] = Heard::Answer,
            Heard::Break => return,
            Heard::Answer => unreachable!("job {job} is answered twice"),
        }
        self.open -= 1;
        let is_not_run = answer.code.class() == codes::Class::NotRun;
        self.outcome.untrue += u64::from(is_not_run && self.has_started[job]);
        self.outcome.received.push(sim::Received {
            job,
            at_us: self.heard_us(job) - world::START_US + self.ways_us[job],
            sent_us: self.sent_us[job],
            code: answer.code,
            fates: answer.tasks.iter().map(|task| task.fate).collect(),
            retry_after_ms: answer.retry_after_ms,
        });
    }
}
