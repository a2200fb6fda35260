//! What callers ask of an entry: tickets, submissions, answers, cancelling.

use std::cmp;
use std::hash;
use std::hash::Hash as _;
use std::hash::Hasher as _;

use smol_str::SmolStr;

use crate::api;
use crate::claims;
use crate::codes;
use crate::entry::claiming;
use crate::entry::core;
use crate::entry::load;
use crate::entry::tick;
use crate::ids;
use crate::jobs;
use crate::jobs::answer;
use crate::leading;
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
    Forward {
        /// The owner.
        owner: wire::Peer,
        /// What to say if it does not answer, and whether that is the last word.
        if_silent: (codes::Code, bool),
        /// The ticket to submit it under there, where it had no id.
        ticket: Option<ids::SubmissionId>,
    },
    /// Its claim is under way; look again at [`core::Action::ClaimSettled`].
    Claiming(claims::ScopedId),
}

impl Reply {
    fn plain(id: Option<ids::SubmissionId>, code: codes::Code, is_final: bool) -> Self {
        Self::Answer(Box::new(answer::bare(id, code, is_final)))
    }

    const fn forward(owner: wire::Peer, if_silent: (codes::Code, bool)) -> Self {
        Self::Forward {
            owner,
            if_silent,
            ticket: None,
        }
    }

    fn passed_on((owner, ticket): (wire::Peer, ids::SubmissionId)) -> Self {
        Self::Forward {
            owner,
            if_silent: (codes::Code::OwnerSilent, false),
            ticket: Some(ticket),
        }
    }
}

/// Where a submission id belongs.
enum Owner {
    Here,
    Other {
        owner: wire::Peer,
        if_silent: (codes::Code, bool),
    },
    Unknown(codes::Code, bool),
    Unclaimed(claims::ScopedId),
    Claiming(claims::ScopedId),
}

impl core::Core {
    /// Tickets, each of which only the life that minted it may ever start.
    pub fn tickets(&mut self, now_ms: u64, order: &api::TicketRequest) -> api::Tickets {
        let count = order.count.clamp(1, MAX_TICKETS);
        let leader = self.leader_to_pass_to(now_ms);
        let ticket = |_| self.ticket_ahead(now_ms, leader.as_ref());
        let tickets = (0..count).map(ticket).collect();
        let retain_ms = u64::from(self.settings.timeouts.retain_ms);
        api::Tickets {
            tickets,
            valid_ms: retain_ms.saturating_sub(leading::STOCK_LIFETIME_MS),
        }
    }

    /// Mints a ticket that only this life may ever start.
    pub fn ticket(&mut self) -> ids::SubmissionId {
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
        let mut actions = self.wake(now_ms);
        let (reply, more) = self.submit_awake(now_ms, team, submission);
        actions.extend(more);
        (reply, actions)
    }

    fn submit_awake(
        &mut self,
        now_ms: u64,
        team: &SmolStr,
        submission: api::Submission,
    ) -> (Reply, Vec<core::Action>) {
        let id = match submission.submission.clone() {
            Some(id) => id,
            None => match self.pass_on(now_ms, submission.tasks.len()) {
                Some(to) => return (Reply::passed_on(to), Vec::new()),
                None => self.ticket(),
            },
        };
        let reply = match self.owner(now_ms, team, &id) {
            Owner::Other { owner, if_silent } => {
                self.counts.forwarded += 1;
                Reply::forward(owner, if_silent)
            }
            Owner::Unknown(codes::Code::ClaimUnavailable, _) => {
                Reply::Answer(Box::new(self.claim_unavailable(team, id)))
            }
            Owner::Unknown(code, is_final) => Reply::plain(Some(id), code, is_final),
            Owner::Claiming(name) => Reply::Claiming(name),
            Owner::Unclaimed(name) => return self.begin_claim(now_ms, name, id),
            Owner::Here => return self.submit_here(now_ms, team, id, submission),
        };
        (reply, Vec::new())
    }

    fn begin_claim(
        &mut self,
        now_ms: u64,
        name: claims::ScopedId,
        id: ids::SubmissionId,
    ) -> (Reply, Vec<core::Action>) {
        if self.is_leaving || !self.claims.claim(now_ms, name.clone()) {
            let refusal = self.claim_unavailable(&name.0, id);
            return (Reply::Answer(Box::new(refusal)), Vec::new());
        }
        let actions = self.append_claims(now_ms).into_iter().collect();
        (Reply::Claiming(name), actions)
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
            return (self.repeated(now_ms, key, fingerprint, id), Vec::new());
        }
        let is_known_to_caller = submission.submission.is_some();
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
        if let Some(refusal) = self.refusal(now_ms, team, &header.id, &submission) {
            let refusal = self.refuse(header, refusal, is_known_to_caller);
            return (Reply::Answer(Box::new(refusal)), Vec::new());
        }
        if let Some(name) = claiming::claim_name(team, &header.id) {
            self.claims.mark_used(&name);
        }
        self.counts.accepted += 1;
        let policy = &self.settings.policy;
        self.retries.earn(submission.tasks.len(), policy);
        let key = self.jobs.insert(jobs::Open::new(header, submission.tasks));
        self.enqueue_all(now_ms, key);
        (Reply::Open(key), self.pump(now_ms))
    }

    /// A repeat is answered from what the first one came to, never started anew.
    fn repeated(
        &mut self,
        now_ms: u64,
        key: jobs::Key,
        fingerprint: u64,
        id: ids::SubmissionId,
    ) -> Reply {
        let known = self.jobs.get(key);
        if known.is_some_and(|known| known.fingerprint() != fingerprint) {
            return Reply::plain(Some(id), codes::Code::ContentConflict, true);
        }
        self.told_again(now_ms, key, &id)
    }

    /// What is kept of the answer, or that it is to be waited for.
    fn told_again(&mut self, now_ms: u64, key: jobs::Key, id: &ids::SubmissionId) -> Reply {
        self.jobs.touch(now_ms, key);
        let known = self.jobs.get(key);
        let answer = known.and_then(|known| known.answer(Some(id)));
        answer.map_or(Reply::Open(key), |answer| Reply::Answer(Box::new(answer)))
    }

    /// Refuses a submission; one that may come again is refused for good.
    ///
    /// Without room to remember the refusal it is not the last word. Of a ticket
    /// minted for this very call nobody else knows, and it is not told.
    fn refuse(
        &mut self,
        header: jobs::Header,
        refusal: load::Refusal,
        is_known_to_caller: bool,
    ) -> api::Answer {
        self.counts.refused += 1;
        let load::Refusal {
            code,
            retry_after_ms,
        } = refusal;
        let plain = |id| api::Answer {
            retry_after_ms,
            ..answer::bare(id, code, true)
        };
        if !is_known_to_caller {
            return plain(None);
        }
        let id = Some(header.id.clone());
        if code.class() != codes::Class::NotRun {
            return plain(id);
        }
        let refusal = plain(id);
        let is_remembered = self.jobs.insert_refusal(header, refusal.clone());
        api::Answer {
            is_final: is_remembered,
            ..refusal
        }
    }

    /// Why an id that this life owns can't be used any more, though it is not
    /// remembered.
    ///
    /// A ticket older than the window may have been used, and its submission be
    /// forgotten: the truth is "may have run".
    pub(crate) fn past_use(&self, team: &SmolStr, id: &ids::SubmissionId) -> Option<codes::Code> {
        let ids::SubmissionId::Ticket(ticket) = id else {
            let used = claims::ClaimState::Mine { is_used: true };
            let is_used = self.standing(team, id) == Some(used);
            return is_used.then_some(codes::Code::AnswerExpired);
        };
        let epochs = self.jobs.epochs();
        if ticket.epoch > epochs.current() || ticket.number >= self.next_ticket {
            return Some(codes::Code::BadTicket);
        }
        (!epochs.contains(ticket.epoch)).then_some(codes::Code::AnswerExpired)
    }

    /// A caller asks for an answer.
    pub fn fetch(&mut self, now_ms: u64, team: &SmolStr, id: &ids::SubmissionId) -> Reply {
        match self.owner(now_ms, team, id) {
            Owner::Other { owner, if_silent } => Reply::forward(owner, if_silent),
            Owner::Unknown(code, is_final) => Reply::plain(Some(id.clone()), code, is_final),
            Owner::Claiming(name) => Reply::Claiming(name),
            Owner::Unclaimed(_) => {
                Reply::plain(Some(id.clone()), codes::Code::UnknownSubmission, false)
            }
            Owner::Here => self.fetch_here(now_ms, team, id),
        }
    }

    fn fetch_here(&mut self, now_ms: u64, team: &SmolStr, id: &ids::SubmissionId) -> Reply {
        let Some(key) = self.jobs.find(team, id) else {
            return self.fetch_unknown(team, id);
        };
        self.told_again(now_ms, key, id)
    }

    /// Nothing came under an id that this life owns, or it was forgotten.
    ///
    /// A question may overtake the submission: that one lies in a silent connection, or
    /// in a buffer of this process while it is frozen, and both are read in any order after
    /// the thaw. So "nothing is known" is not the last word while the id can be used; a
    /// caller who took it for that would submit anew, and both would start.
    fn fetch_unknown(&self, team: &SmolStr, id: &ids::SubmissionId) -> Reply {
        let (code, is_final) = match self.past_use(team, id) {
            Some(code) => (code, true),
            None => (codes::Code::UnknownSubmission, false),
        };
        Reply::plain(Some(id.clone()), code, is_final)
    }

    /// A caller cancels.
    pub fn cancel(
        &mut self,
        now_ms: u64,
        team: &SmolStr,
        id: &ids::SubmissionId,
    ) -> (Reply, Vec<core::Action>) {
        let mut actions = self.wake(now_ms);
        let reply = self.fetch(now_ms, team, id);
        if let Reply::Open(key) = reply {
            let code = codes::Code::CancelledNotRun;
            actions.extend(self.give_up(now_ms, key, code));
        }
        (reply, actions)
    }

    /// What to say of a submission that is still open when a call's wait is over.
    pub fn pending(&self, now_ms: u64, key: jobs::Key) -> Option<api::Answer> {
        match self.jobs.get(key)? {
            jobs::table::Submission::Open(open) => Some(answer::pending(open, now_ms)),
            ended => ended.answer(None),
        }
    }

    /// Only the life that minted a ticket, or made the first claim on an own id, may
    /// start its submission.
    fn owner(&self, now_ms: u64, team: &SmolStr, id: &ids::SubmissionId) -> Owner {
        let Some(name) = claiming::claim_name(team, id) else {
            return match id {
                ids::SubmissionId::Ticket(ticket) => {
                    self.holder(now_ms, &ticket.entry, ticket.incarnation)
                }
                ids::SubmissionId::Own(_) => Owner::Unknown(codes::Code::BadTicket, true),
            };
        };
        match self.claims.state(&name) {
            claims::ClaimState::Unclaimed => Owner::Unclaimed(name),
            claims::ClaimState::Pending => Owner::Claiming(name),
            claims::ClaimState::Mine { .. } => Owner::Here,
            claims::ClaimState::Barred { is_mine } => {
                Owner::Unknown(codes::Code::ClaimUnavailable, is_mine)
            }
            claims::ClaimState::Other(by) => self.holder(now_ms, &by.entry, by.incarnation),
        }
    }

    /// Where the life that owns a submission is to be found. Another entry passes
    /// the call on to it, and when it does not answer says that it may have run: it
    /// can't know, and so never starts it.
    fn holder(&self, now_ms: u64, name: &SmolStr, incarnation: ids::Incarnation) -> Owner {
        const SILENT: (codes::Code, bool) = (codes::Code::OwnerSilent, false);
        const GONE: (codes::Code, bool) = (codes::Code::OwnerGone, true);
        if *name == self.me.name {
            return match incarnation.cmp(&self.me.incarnation) {
                cmp::Ordering::Equal => Owner::Here,
                cmp::Ordering::Less => Owner::Unknown(GONE.0, GONE.1),
                // This process was replaced while it was frozen; its successor lives.
                cmp::Ordering::Greater => Owner::Unknown(SILENT.0, SILENT.1),
            };
        }
        let dead_after = u64::from(self.settings.timeouts.dead_after_ms);
        if let Some(entry) = self.members.entry(name, incarnation) {
            let is_dead = entry.last_seen_ms.saturating_add(dead_after) <= now_ms;
            return Owner::Other {
                owner: entry.peer.clone(),
                if_silent: if is_dead { GONE } else { SILENT },
            };
        }
        let is_replaced = self.members.is_entry_replaced(name, incarnation);
        // Whoever lives is heard of in that time; whoever was heard is forgotten in it.
        let long_ms = dead_after * tick::FORGET_FACTOR;
        let is_forgotten = self.started_ms.saturating_add(long_ms) <= now_ms;
        let (code, is_final) = if is_replaced || is_forgotten {
            GONE
        } else {
            SILENT
        };
        Owner::Unknown(code, is_final)
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
