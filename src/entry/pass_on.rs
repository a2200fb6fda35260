//! Passing new submissions on to the leading entry.

use crate::api;
use crate::codes;
use crate::entry::core;
use crate::ids;
use crate::leading;
use crate::membership;
use crate::wire;

impl core::Core {
    /// Returns the entry that places all new submissions while slots are scarce, as this
    /// entry sees it; it may be this entry itself.
    ///
    /// Returns `None` if this entry knows of no slots.
    pub fn leader(&self, now_ms: u64) -> Option<&wire::Peer> {
        let own = (!self.is_leaving).then_some(leading::Candidate {
            peer: &self.me,
            is_zone_out: self.settings.is_zone_out(&self.me.zone),
            slots: self.slots,
        });
        let silent_after_ms = self.silent_after_ms();
        let is_reachable = move |entry: &&membership::Entry| {
            !entry.is_leaving && entry.last_seen_ms.saturating_add(silent_after_ms) > now_ms
        };
        let others = self.members.entries().filter(is_reachable);
        let others = others.map(|entry| leading::Candidate {
            peer: &entry.peer,
            is_zone_out: self.settings.is_zone_out(&entry.peer.zone),
            slots: entry.slots,
        });
        leading::leader(own.into_iter().chain(others), self.slots)
    }

    /// Returns the leading entry if it is another one and passing on is enabled.
    pub(crate) fn pass_on_target(&self, now_ms: u64) -> Option<wire::Peer> {
        let is_enabled = self.settings.policy.pass_on_below > 0.0 && !self.is_leaving;
        self.other_leader(now_ms).filter(|_| is_enabled)
    }

    fn other_leader(&self, now_ms: u64) -> Option<wire::Peer> {
        let leader = self.leader(now_ms)?;
        (leader.incarnation != self.me.incarnation).then(|| leader.clone())
    }

    /// Returns the entry to pass a new submission on to and the ticket to use there.
    ///
    /// Returns `None` while enough slots are free: the submission is then placed here,
    /// which saves the extra hop.
    pub(crate) fn pass_on(
        &mut self,
        now_ms: u64,
        tasks: usize,
    ) -> Option<(wire::Peer, ids::SubmissionId)> {
        let leader = self.pass_on_target(now_ms)?;
        let min_free_fraction = self.settings.policy.pass_on_below;
        let free = self.free_slots(now_ms);
        if !leading::is_scarce(free, tasks, self.slots, min_free_fraction) {
            return None;
        }
        let ticket = self.ticket_stock.take(now_ms, &leader)?;
        self.counts.passed_on += 1;
        Some((leader, ticket))
    }

    /// Returns a ticket for a caller that submits later, possibly to another entry.
    ///
    /// A ticket of the leading entry is preferred if one is in stock, since slots may be
    /// scarce by then.
    pub(crate) fn advance_ticket(
        &mut self,
        now_ms: u64,
        leader: Option<&wire::Peer>,
    ) -> ids::SubmissionId {
        let ticket = leader.and_then(|leader| self.ticket_stock.take(now_ms, leader));
        ticket.unwrap_or_else(|| self.ticket())
    }

    /// Returns the number of slots assumed free minus the number of tasks queued here.
    fn free_slots(&self, now_ms: u64) -> i64 {
        let usable = self.usable(now_ms);
        let free: i64 = usable.map(|(_, runner)| runner.free_slots().max(0)).sum();
        free.saturating_sub(i64::try_from(self.queue.len()).unwrap_or(i64::MAX))
    }

    /// Returns the number of tickets to request from this peer.
    pub(crate) fn ticket_shortfall(&mut self, now_ms: u64, peer: ids::Incarnation) -> u32 {
        let leader = self.other_leader(now_ms);
        let leader = leader.filter(|leader| leader.incarnation == peer);
        leader.map_or(0, |leader| self.ticket_stock.shortfall(now_ms, &leader))
    }

    /// Reserves a range of tickets for another entry.
    pub(crate) fn grant_tickets(&mut self, requested: u32) -> Option<wire::TicketRange> {
        let count = requested.min(leading::MAX_TICKETS_PER_GRANT);
        if count == 0 || self.is_leaving {
            return None;
        }
        let first = self.next_ticket;
        self.next_ticket += u64::from(count);
        Some(wire::TicketRange {
            epoch: self.jobs.epochs().current(),
            first,
            count,
        })
    }
}

/// The result of passing a submission on.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// The answer of the other entry.
    Answer(Box<api::Answer>),
    /// The other entry did not accept the submission and never will.
    Declined,
    /// It is unknown whether the other entry accepted the submission.
    Unknown,
}

/// Interprets the answer to the first copy of a submission that was passed on.
///
/// No other copy exists at this point. Any answer other than a refusal for load or an
/// acceptance therefore means that the other entry could not process the submission.
pub fn first_copy_outcome(answer: api::Answer) -> Outcome {
    let is_unusable = matches!(
        answer.code,
        codes::Code::BadToken
            | codes::Code::BadTicket
            | codes::Code::AnswerExpired
            | codes::Code::OwnerGone
            | codes::Code::NotFresh
    );
    if is_unusable {
        return Outcome::Declined;
    }
    second_copy_outcome(answer)
}

/// Interprets the answer to a second copy, sent because the first got no reply.
///
/// The first copy may have been accepted, for example by an incarnation that has ended
/// since, or may still arrive. Only a refusal that the issuer of the ticket remembers
/// guarantees that the submission never starts there. Code 111, from a process without
/// settings, is not remembered: the first copy would start once the settings arrive. An
/// entry that remembers too many submissions also declines, although its slots may be free.
pub fn second_copy_outcome(answer: api::Answer) -> Outcome {
    let is_declined = matches!(
        answer.code,
        codes::Code::Leaving | codes::Code::NoCapacity | codes::Code::EntryQueueFull
    );
    if is_declined && answer.is_final {
        return Outcome::Declined;
    }
    Outcome::Answer(Box::new(answer))
}
