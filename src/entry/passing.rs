//! How an entry passes new submissions on to the leading one.

use crate::api;
use crate::codes;
use crate::entry::core;
use crate::ids;
use crate::leading;
use crate::membership;
use crate::wire;

impl core::Core {
    /// The entry that decides while slots are scarce, by what was heard; it may be this
    /// one. None: this one sees no slots at all.
    pub fn leader(&self, now_ms: u64) -> Option<&wire::Peer> {
        let own = (!self.is_leaving).then_some(leading::Candidate {
            peer: &self.me,
            is_zone_out: self.settings.is_zone_out(&self.me.zone),
            slots: self.slots,
        });
        let silent_after_ms = self.silent_after_ms();
        let is_heard = move |entry: &&membership::Entry| {
            !entry.is_leaving && entry.last_seen_ms.saturating_add(silent_after_ms) > now_ms
        };
        let others = self.members.entries().filter(is_heard);
        let others = others.map(|entry| leading::Candidate {
            peer: &entry.peer,
            is_zone_out: self.settings.is_zone_out(&entry.peer.zone),
            slots: entry.slots,
        });
        leading::leader(own.into_iter().chain(others), self.slots)
    }

    /// The leading entry, where it is another and submissions are passed on at all.
    pub(crate) fn leader_to_pass_to(&self, now_ms: u64) -> Option<wire::Peer> {
        let is_on = self.settings.policy.pass_on_below > 0.0 && !self.is_leaving;
        self.other_leader(now_ms).filter(|_| is_on)
    }

    fn other_leader(&self, now_ms: u64) -> Option<wire::Peer> {
        let leader = self.leader(now_ms)?;
        (leader.incarnation != self.me.incarnation).then(|| leader.clone())
    }

    /// Whom to pass a new submission on to, and under which ticket.
    ///
    /// While many slots are free it stays here, which saves the way.
    pub(crate) fn pass_on(
        &mut self,
        now_ms: u64,
        tasks: usize,
    ) -> Option<(wire::Peer, ids::SubmissionId)> {
        let leader = self.leader_to_pass_to(now_ms)?;
        let least_free = self.settings.policy.pass_on_below;
        let free = self.free_slots(now_ms);
        if !leading::is_scarce(free, tasks, self.slots, least_free) {
            return None;
        }
        let ticket = self.stock.take(now_ms, &leader)?;
        self.counts.passed_on += 1;
        Some((leader, ticket))
    }

    /// A ticket for a caller that submits later, to whichever entry: of the leading
    /// one, where there is one in stock, since most slots may be taken by then.
    pub(crate) fn ticket_ahead(
        &mut self,
        now_ms: u64,
        leader: Option<&wire::Peer>,
    ) -> ids::SubmissionId {
        let ticket = leader.and_then(|leader| self.stock.take(now_ms, leader));
        ticket.unwrap_or_else(|| self.ticket())
    }

    /// Slots thought to be free, less what waits here.
    fn free_slots(&self, now_ms: u64) -> i64 {
        let usable = self.usable(now_ms);
        let free: i64 = usable.map(|(_, runner)| runner.free_slots().max(0)).sum();
        free.saturating_sub(i64::try_from(self.queue.len()).unwrap_or(i64::MAX))
    }

    /// How many tickets to ask that entry for.
    pub(crate) fn tickets_wanted(&mut self, now_ms: u64, peer: ids::Incarnation) -> u32 {
        let leader = self.other_leader(now_ms);
        let leader = leader.filter(|leader| leader.incarnation == peer);
        leader.map_or(0, |leader| self.stock.shortfall(now_ms, &leader))
    }

    /// Sets tickets apart for another entry.
    pub(crate) fn grant_tickets(&mut self, wanted: u32) -> Option<wire::TicketRange> {
        let count = wanted.min(leading::MAX_TICKETS_PER_GRANT);
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

/// What came of passing a submission on.
#[derive(Clone, Debug, PartialEq)]
pub enum Passed {
    /// The other entry says this of it.
    Answer(Box<api::Answer>),
    /// It did not take it in and never will.
    Declined,
    /// Nothing is known.
    Unknown,
}

/// What the answer to the first copy of a submission that was passed on comes to.
///
/// Nothing was sent before this answer: whatever but a refusal for load or a submission
/// taken in means that the other entry could do nothing with it.
pub fn first_word(answer: api::Answer) -> Passed {
    let is_of_no_use = matches!(
        answer.code,
        codes::Code::BadToken
            | codes::Code::BadTicket
            | codes::Code::AnswerExpired
            | codes::Code::OwnerGone
            | codes::Code::NotFresh
    );
    if is_of_no_use {
        return Passed::Declined;
    }
    second_word(answer)
}

/// What the answer to a second copy comes to, when nothing was heard of the first.
///
/// What was sent before may have been taken in, by a life that is over for one, or may
/// arrive yet. Only a refusal that the life which minted the ticket remembers says that it
/// never starts; 111, by a process that has no settings yet, is not remembered, and the
/// first copy would start when they have come. An entry that has no room to remember more
/// submissions declines too: its slots may be free.
pub fn second_word(answer: api::Answer) -> Passed {
    let is_declined = matches!(
        answer.code,
        codes::Code::Leaving | codes::Code::NoCapacity | codes::Code::EntryQueueFull
    );
    if is_declined && answer.is_final {
        return Passed::Declined;
    }
    Passed::Answer(Box::new(answer))
}
