//! Which entry decides for all while slots are scarce.
//!
//! Load patterns answered: every one in which tasks wait. Several entries that share
//! runners see the slots late and order only their own queues; a single one sees all
//! and wastes no message. Without this p99 over ideal at 0.7 load is 1.28 in place of
//! 1.09, and beside a hot caller 2.13 in place of 1.30 (means of twelve seeds, see
//! `docs/DECISIONS.md`).
//!
//! So an entry that sees few free slots passes new submissions on to the leading one.
//! Nothing has to be agreed for that: a passed submission goes under a ticket that the
//! leading entry minted ([`TicketStock`]), so that whoever else believes to lead can't start
//! it, and two that lead at once are no worse than none.

use smol_str::SmolStr;

use crate::ids;
use crate::wire;

/// Tickets of the leading entry that another keeps ready: half a second of the 500
/// submissions a second that an entry is good for.
pub const TICKET_STOCK_SIZE: u32 = 256;

/// Tickets given to another entry at once, at most.
pub const MAX_TICKETS_PER_GRANT: u32 = 1_024;

/// How long tickets of the leading entry are kept ready, in milliseconds. Short beside
/// their validity, which callers that take them ahead of time are told in full.
pub const STOCK_LIFETIME_MS: u64 = 5_000;

/// Part of the slots seen here that a leading entry must see too: one that is cut off
/// from runners would refuse what this one can place.
pub const MIN_VISIBLE_PART: f64 = 0.75;

/// An entry as a candidate for leading.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Who it is.
    pub peer: &'a wire::Peer,
    /// Whether its zone is out of service.
    pub is_zone_out: bool,
    /// Slots in service that it sees.
    pub slots: u32,
}

/// The candidate that leads: in a zone that is in service, the one that lives longest.
///
/// A new entry so never takes over from one that does well, and entries with the same
/// view choose the same. `slots` are those seen by the one that asks.
pub fn leader<'a>(
    candidates: impl Iterator<Item = Candidate<'a>>,
    slots: u32,
) -> Option<&'a wire::Peer> {
    let least = f64::from(slots) * MIN_VISIBLE_PART;
    let seeing = candidates.filter(|one| one.slots > 0 && f64::from(one.slots) >= least);
    let first = seeing.min_by_key(|one| (one.is_zone_out, one.peer.incarnation, &one.peer.name));
    first.map(|one| one.peer)
}

/// Whether slots are scarce: fewer than this part of them would be free.
pub fn is_scarce(free: i64, tasks: usize, slots: u32, least_free: f64) -> bool {
    let left = free.saturating_sub(i64::try_from(tasks).unwrap_or(i64::MAX));
    (left as f64) < f64::from(slots) * least_free
}

/// Tickets of another entry, ready to be used.
#[derive(Clone, Debug, Default)]
pub struct TicketStock {
    of: Option<Minter>,
    ranges: std::collections::VecDeque<Range>,
}

#[derive(Clone, Debug, Eq, PartialEq)]
struct Minter {
    entry: SmolStr,
    incarnation: ids::Incarnation,
}

#[derive(Clone, Copy, Debug)]
struct Range {
    tickets: wire::TicketRange,
    until_ms: u64,
}

impl TicketStock {
    /// Adds tickets minted by that entry; those of another one are dropped.
    pub fn add(&mut self, now_ms: u64, minter: &wire::Peer, tickets: wire::TicketRange) {
        let of = Minter {
            entry: minter.name.clone(),
            incarnation: minter.incarnation,
        };
        if self.of.as_ref() != Some(&of) {
            self.ranges.clear();
            self.of = Some(of);
        }
        let until_ms = now_ms.saturating_add(STOCK_LIFETIME_MS);
        self.ranges.push_back(Range { tickets, until_ms });
    }

    /// Takes a ticket of that entry, the oldest first.
    pub fn take(&mut self, now_ms: u64, minter: &wire::Peer) -> Option<ids::SubmissionId> {
        self.expire(now_ms, minter);
        let range = self.ranges.front_mut()?;
        let ticket = ids::Ticket {
            entry: minter.name.clone(),
            incarnation: minter.incarnation,
            epoch: range.tickets.epoch,
            number: range.tickets.first,
        };
        range.tickets.first += 1;
        range.tickets.count -= 1;
        if range.tickets.count == 0 {
            self.ranges.pop_front();
        }
        Some(ids::SubmissionId::Ticket(ticket))
    }

    /// How many more of that entry's tickets to ask for.
    pub fn shortfall(&mut self, now_ms: u64, minter: &wire::Peer) -> u32 {
        self.expire(now_ms, minter);
        let kept: u32 = self.ranges.iter().map(|range| range.tickets.count).sum();
        TICKET_STOCK_SIZE.saturating_sub(kept)
    }

    fn expire(&mut self, now_ms: u64, minter: &wire::Peer) {
        let is_of = |of: &Minter| of.entry == minter.name && of.incarnation == minter.incarnation;
        let is_same = self.of.as_ref().is_some_and(is_of);
        let is_good = |range: &Range| is_same && range.until_ms > now_ms && range.tickets.count > 0;
        self.ranges.retain(is_good);
    }
}
