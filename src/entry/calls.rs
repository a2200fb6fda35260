//! Handling of callers' requests: tickets, submissions, fetches and cancellations.

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

/// Maximum number of tickets per request.
pub const MAX_TICKETS: u32 = 1_000;

/// The result of a call about a submission.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// An answer to return at once: final, a refusal or a temporary code.
    Answer(Box<api::Answer>),
    /// The submission is open here; wait for [`core::Action::Answer`] with this key.
    Open(jobs::Key),
    /// Another entry owns the submission.
    Forward {
        /// The entry that owns the submission.
        owner: wire::Peer,
        /// Result code if the owner does not reply, and whether that code is final.
        if_silent: (codes::Code, bool),
        /// Ticket of the owner to submit under, if the submission had no id.
        ticket: Option<ids::SubmissionId>,
    },
    /// The claim on its id is pending; repeat the call on [`core::Action::ClaimSettled`].
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

/// The owner of a submission id, as far as it is known.
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
    /// Issues tickets to a caller.
    ///
    /// Only the incarnation that issued a ticket may ever start its submission.
    pub fn tickets(&mut self, now_ms: u64, order: &api::TicketOrder) -> api::Tickets {
        let count = order.count.clamp(1, MAX_TICKETS);
        let leader = self.pass_on_target(now_ms);
        let ticket = |_| self.advance_ticket(now_ms, leader.as_ref());
        let tickets = (0..count).map(ticket).collect();
        let retain_ms = u64::from(self.settings.timeouts.retain_ms);
        api::Tickets {
            tickets,
            valid_ms: retain_ms.saturating_sub(leading::STOCK_LIFETIME_MS),
        }
    }

    /// Issues a ticket whose submission only this incarnation may ever start.
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

    /// Handles a caller's submission, new or repeated.
    pub fn submit(
        &mut self,
        now_ms: u64,
        team: &SmolStr,
        submission: api::Submission,
    ) -> (Reply, Vec<core::Action>) {
        let mut actions = self.catch_up(now_ms);
        let (reply, more) = self.route_submission(now_ms, team, submission);
        actions.extend(more);
        (reply, actions)
    }

    fn route_submission(
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
            return (self.answer_repeat(now_ms, key, fingerprint, id), Vec::new());
        }
        let is_known_to_caller = submission.submission.is_some();
        let deadline = submission.deadline_ms;
        let allowed_ms = deadline.unwrap_or_else(|| self.settings.timeouts.deadline_ms.into());
        let header = jobs::Header {
            id,
            team: team.clone(),
            fingerprint,
            arrived_ms: now_ms,
            deadline_ms: now_ms.saturating_add(allowed_ms),
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
        (Reply::Open(key), self.dispatch_queued(now_ms))
    }

    /// Answers a repeated submission from the state of the first one; nothing starts again.
    fn answer_repeat(
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
        self.current_reply(now_ms, key, &id)
    }

    /// Returns what is stored of the answer, or [`Reply::Open`] while there is none.
    fn current_reply(&mut self, now_ms: u64, key: jobs::Key, id: &ids::SubmissionId) -> Reply {
        self.jobs.touch(now_ms, key);
        let known = self.jobs.get(key);
        let answer = known.and_then(|known| known.answer(Some(id)));
        answer.map_or(Reply::Open(key), |answer| Reply::Answer(Box::new(answer)))
    }

    /// Refuses a submission and remembers the refusal if the caller can repeat the call.
    ///
    /// A refusal that cannot be remembered for lack of space is not final. If the ticket
    /// was issued for this call only, no repeat can carry it: the answer omits it, and the
    /// refusal is not remembered.
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

    /// Returns why an id that this incarnation owns but does not remember is no longer
    /// usable, or `None` if it is usable.
    ///
    /// A ticket from an epoch outside the retention window may have been used and its
    /// submission forgotten, so the result is "may have run".
    pub(crate) fn unusable_code(
        &self,
        team: &SmolStr,
        id: &ids::SubmissionId,
    ) -> Option<codes::Code> {
        let ids::SubmissionId::Ticket(ticket) = id else {
            let used = claims::ClaimState::Mine { is_used: true };
            let is_used = self.claim_state(team, id) == Some(used);
            return is_used.then_some(codes::Code::AnswerExpired);
        };
        let epochs = self.jobs.epochs();
        if ticket.epoch > epochs.current() || ticket.number >= self.next_ticket {
            return Some(codes::Code::BadTicket);
        }
        (!epochs.contains(ticket.epoch)).then_some(codes::Code::AnswerExpired)
    }

    /// Handles a caller's request for the answer to a submission.
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
        self.current_reply(now_ms, key, id)
    }

    /// Answers a fetch for an id that this incarnation owns but has no submission for.
    ///
    /// A fetch may overtake its submission, which may be delayed in a stalled connection
    /// or, while this process is suspended, in a receive buffer; the order in which both
    /// are read afterwards is undefined. "Unknown" is therefore not final while the id is
    /// usable: a caller that took it as final would submit again, and both would start.
    fn fetch_unknown(&self, team: &SmolStr, id: &ids::SubmissionId) -> Reply {
        let (code, is_final) = match self.unusable_code(team, id) {
            Some(code) => (code, true),
            None => (codes::Code::UnknownSubmission, false),
        };
        Reply::plain(Some(id.clone()), code, is_final)
    }

    /// Handles the cancellation of a submission.
    pub fn cancel(
        &mut self,
        now_ms: u64,
        team: &SmolStr,
        id: &ids::SubmissionId,
    ) -> (Reply, Vec<core::Action>) {
        let mut actions = self.catch_up(now_ms);
        let reply = self.fetch(now_ms, team, id);
        if let Reply::Open(key) = reply {
            let code = codes::Code::CancelledNotRun;
            actions.extend(self.give_up(now_ms, key, code));
        }
        (reply, actions)
    }

    /// Returns the answer for a call whose wait has ended: a pending one while the
    /// submission is open, else what is stored of the final one.
    pub fn pending(&self, now_ms: u64, key: jobs::Key) -> Option<api::Answer> {
        match self.jobs.get(key)? {
            jobs::table::Submission::Open(open) => Some(answer::pending(open, now_ms)),
            ended => ended.answer(None),
        }
    }

    /// Returns the owner of a submission id.
    ///
    /// Only the incarnation that issued a ticket, or made the first claim on a
    /// client-chosen id, may start its submission.
    fn owner(&self, now_ms: u64, team: &SmolStr, id: &ids::SubmissionId) -> Owner {
        let Some(name) = claiming::claim_name(team, id) else {
            return match id {
                ids::SubmissionId::Ticket(ticket) => {
                    self.owning_entry(now_ms, &ticket.entry, ticket.incarnation)
                }
                ids::SubmissionId::Own(_) => Owner::Unknown(codes::Code::BadTicket, true),
            };
        };
        match self.claims.state(&name) {
            claims::ClaimState::Unclaimed => Owner::Unclaimed(name),
            claims::ClaimState::Pending => Owner::Claiming(name),
            claims::ClaimState::Mine { .. } => Owner::Here,
            claims::ClaimState::Barred { is_owner } => {
                Owner::Unknown(codes::Code::ClaimUnavailable, is_owner)
            }
            claims::ClaimState::Other(by) => self.owning_entry(now_ms, &by.entry, by.incarnation),
        }
    }

    /// Locates the entry incarnation that owns a submission.
    ///
    /// Calls are forwarded to it. If it does not reply, the answer is "may have run":
    /// this entry cannot know whether the submission started, and so never starts it.
    fn owning_entry(&self, now_ms: u64, name: &SmolStr, incarnation: ids::Incarnation) -> Owner {
        const SILENT: (codes::Code, bool) = (codes::Code::OwnerSilent, false);
        const GONE: (codes::Code, bool) = (codes::Code::OwnerGone, true);
        if *name == self.me.name {
            return match incarnation.cmp(&self.me.incarnation) {
                cmp::Ordering::Equal => Owner::Here,
                cmp::Ordering::Less => Owner::Unknown(GONE.0, GONE.1),
                // This process was replaced while it was suspended; its successor runs.
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
        // Within this time every running entry is seen, and every entry that has stopped
        // is removed from the members.
        let forget_after_ms = dead_after * tick::FORGET_FACTOR;
        let is_forgotten = self.started_ms.saturating_add(forget_after_ms) <= now_ms;
        let (code, is_final) = if is_replaced || is_forgotten {
            GONE
        } else {
            SILENT
        };
        Owner::Unknown(code, is_final)
    }
}

/// Hashes the content of a submission, to tell a repeat from other content under its id.
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
