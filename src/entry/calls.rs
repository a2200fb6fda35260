//! What callers ask of an entry: tickets, submissions, answers, cancelling.

use std::hash;
use std::hash::Hash as _;
use std::hash::Hasher as _;

use smol_str::SmolStr;

use crate::api;
use crate::codes;
use crate::entry::core;
use crate::ids;
use crate::jobs;
use crate::jobs::answer;
use crate::wire;

/// Most tickets given at once.
pub const MAX_TICKETS: u32 = 1_000;

/// What a call about a submission comes to.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// The last word, or a refusal.
    Answer(Box<api::Answer>),
    /// It is open here; wait for [`core::Action::Answer`] under this key.
    Open(jobs::Key),
    /// It belongs to this other entry.
    Forward(wire::Peer),
}

impl Reply {
    fn plain(id: Option<ids::SubmissionId>, code: codes::Code, is_final: bool) -> Self {
        Self::Answer(Box::new(answer::plain(id, code, is_final)))
    }
}

/// Where a submission id belongs.
enum Owner {
    Here,
    Other(wire::Peer),
    Unknown(codes::Code, bool),
}

impl core::Core {
    /// Mints tickets that only this life may ever start.
    pub fn tickets(&mut self, order: &api::TicketOrder) -> api::Tickets {
        let count = order.count.clamp(1, MAX_TICKETS);
        let tickets = (0..count).map(|_| self.ticket()).collect();
        api::Tickets {
            tickets,
            valid_ms: self.settings.timeouts.retain_ms.into(),
        }
    }

    fn ticket(&mut self) -> ids::SubmissionId {
        let number = self.next_ticket;
        self.next_ticket += 1;
        ids::SubmissionId::Ticket(ids::Ticket {
            entry: self.me.name.clone(),
            incarnation: self.me.incarnation,
            epoch: self.jobs.epochs().current(),
            number,
        })
    }

    /// A caller submits, or repeats a submission.
    pub fn submit(
        &mut self,
        now_ms: u64,
        team: &SmolStr,
        submission: api::Submission,
    ) -> (Reply, Vec<core::Action>) {
        let id = match submission.submission.clone() {
            Some(id) => id,
            None => self.ticket(),
        };
        let reply = match self.owner(&id) {
            Owner::Other(peer) => Reply::Forward(peer),
            Owner::Unknown(code, is_final) => Reply::plain(Some(id), code, is_final),
            Owner::Here => return self.submit_here(now_ms, team, id, submission),
        };
        (reply, Vec::new())
    }

    fn submit_here(
        &mut self,
        now_ms: u64,
        team: &SmolStr,
        id: ids::SubmissionId,
        submission: api::Submission,
    ) -> (Reply, Vec<core::Action>) {
        let fingerprint = fingerprint(&submission);
        if let Some(key) = self.jobs.find(team, &id) {
            return (self.repeated(key, fingerprint), Vec::new());
        }
        if let Some(refusal) = self.refusal(now_ms, team, &id, &submission) {
            self.counts.refused += 1;
            return (Reply::Answer(Box::new(refusal)), Vec::new());
        }
        self.counts.accepted += 1;
        let deadline = submission.deadline_ms;
        let wanted = deadline.unwrap_or_else(|| self.settings.timeouts.deadline_ms.into());
        let header = jobs::Header {
            id,
            team: team.clone(),
            fingerprint,
            arrived_ms: now_ms,
            deadline_ms: now_ms.saturating_add(wanted),
            is_idempotent: submission.idempotent,
        };
        let key = self.jobs.insert(jobs::Open::new(header, submission.tasks));
        self.enqueue_all(now_ms, key);
        (Reply::Open(key), self.pump(now_ms))
    }

    /// A repeat is answered from what the first one came to, never started anew.
    fn repeated(&self, key: jobs::Key, fingerprint: u64) -> Reply {
        match self.jobs.get(key) {
            Some(known) if known.header().fingerprint != fingerprint => {
                let id = Some(known.header().id.clone());
                Reply::plain(id, codes::Code::ContentConflict, true)
            }
            Some(jobs::table::Submission::Ended(ended)) => {
                Reply::Answer(Box::new(ended.answer.clone()))
            }
            _ => Reply::Open(key),
        }
    }

    /// A caller asks for an answer.
    pub fn fetch(&self, team: &SmolStr, id: &ids::SubmissionId) -> Reply {
        match self.owner(id) {
            Owner::Other(peer) => Reply::Forward(peer),
            Owner::Unknown(code, is_final) => Reply::plain(Some(id.clone()), code, is_final),
            Owner::Here => self.fetch_here(team, id),
        }
    }

    fn fetch_here(&self, team: &SmolStr, id: &ids::SubmissionId) -> Reply {
        let Some(key) = self.jobs.find(team, id) else {
            let code = self.forgotten_code(id);
            return Reply::plain(Some(id.clone()), code, true);
        };
        match self.jobs.get(key) {
            Some(jobs::table::Submission::Ended(ended)) => {
                Reply::Answer(Box::new(ended.answer.clone()))
            }
            _ => Reply::Open(key),
        }
    }

    /// Within the window nothing is forgotten, so an unknown ticket was not used.
    fn forgotten_code(&self, id: &ids::SubmissionId) -> codes::Code {
        match id {
            ids::SubmissionId::Ticket(ticket) if !self.jobs.epochs().contains(ticket.epoch) => {
                codes::Code::AnswerExpired
            }
            _ => codes::Code::UnknownSubmission,
        }
    }

    /// A caller cancels.
    pub fn cancel(
        &mut self,
        now_ms: u64,
        team: &SmolStr,
        id: &ids::SubmissionId,
    ) -> (Reply, Vec<core::Action>) {
        let reply = self.fetch(team, id);
        let Reply::Open(key) = reply else {
            return (reply, Vec::new());
        };
        let code = codes::Code::CancelledNotRun;
        (reply, self.give_up(now_ms, key, code))
    }

    /// What to say of a submission that is still open when a call's wait is over.
    pub fn pending(&self, now_ms: u64, key: jobs::Key) -> Option<api::Answer> {
        match self.jobs.get(key)? {
            jobs::table::Submission::Open(open) => Some(answer::pending(open, now_ms)),
            jobs::table::Submission::Ended(ended) => Some(ended.answer.clone()),
        }
    }

    /// Only the life that minted a ticket may start its submission. Another entry
    /// passes the call on while that life is there, and else says that it may
    /// have run: it can't know, and so never starts it.
    fn owner(&self, id: &ids::SubmissionId) -> Owner {
        let ids::SubmissionId::Ticket(ticket) = id else {
            return Owner::Unknown(codes::Code::ClaimUnavailable, true);
        };
        if ticket.entry == self.me.name && ticket.incarnation == self.me.incarnation {
            return Owner::Here;
        }
        if let Some(entry) = self.members.entry(&ticket.entry, ticket.incarnation) {
            return Owner::Other(entry.peer.clone());
        }
        let is_replaced = self
            .members
            .is_entry_replaced(&ticket.entry, ticket.incarnation)
            || ticket.entry == self.me.name;
        if is_replaced {
            return Owner::Unknown(codes::Code::OwnerGone, true);
        }
        Owner::Unknown(codes::Code::OwnerSilent, false)
    }
}

/// Tells a repeat of a submission from other content under the same id.
fn fingerprint(submission: &api::Submission) -> u64 {
    let mut hasher = hash::DefaultHasher::new();
    submission.idempotent.hash(&mut hasher);
    for task in &submission.tasks {
        let api::Task {
            kind,
            payload,
            cpu_milli,
            memory_mib,
            accelerators,
            run_ms,
        } = task;
        (kind, payload, cpu_milli, memory_mib, accelerators, run_ms).hash(&mut hasher);
    }
    hasher.finish()
}
