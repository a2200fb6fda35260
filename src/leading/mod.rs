//! Selection of the entry that dispatches for all entries while slots are scarce.
//!
//! Several entries that share runners learn of free slots late, and each orders only its own
//! queue. A single entry sees all queued work and wastes no messages. Without it the p99 of
//! the time over ideal is 1.28 instead of 1.09 at a load of 0.7, and 2.13 instead of 1.30
//! beside a hot caller (means of twelve seeds, see `docs/DECISIONS.md`).
//!
//! So an entry that sees few free slots forwards new submissions to the leading entry. This
//! needs no agreement: a forwarded submission carries a ticket issued by the leading entry
//! ([`TicketStock`]), so that no other entry that considers itself the leader can start it,
//! and two simultaneous leaders are no worse than none.

use smol_str::SmolStr;

use crate::ids;
use crate::wire;

/// Number of the leading entry's tickets that another entry keeps in stock; enough for half a
/// second at the 500 submissions per second that an entry can take.
pub const TICKET_STOCK_SIZE: u32 = 256;

/// Maximum number of tickets granted to another entry at once.
pub const MAX_TICKETS_PER_GRANT: u32 = 1_024;

/// How long a ticket of the leading entry stays in stock, in milliseconds.
///
/// It is short compared with the validity of a ticket. The validity reported to callers that fetch
/// tickets in advance is reduced by this time.
pub const STOCK_LIFETIME_MS: u64 = 5_000;

/// Fraction of the slots seen by this entry that a leading entry must see as well; an entry
/// that is partitioned from runners would refuse work that this one can place.
pub const MIN_VISIBLE_FRACTION: f64 = 0.75;

/// An entry that may become the leading candidate.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Identity of the entry.
    pub peer: &'a wire::Peer,
    /// Whether its zone is out of service.
    pub is_zone_out: bool,
    /// Number of slots in service that it sees.
    pub slots: u32,
}

/// Returns the leading entry: the longest-running candidate, preferably in a zone that is in
/// service.
///
/// So a new entry never takes over from a healthy one, and entries with the same information
/// choose the same leader. `slots` is the number of slots that the calling entry sees.
pub fn leader<'a>(
    candidates: impl Iterator<Item = Candidate<'a>>,
    slots: u32,
) -> Option<&'a wire::Peer> {
    let min_slots = f64::from(slots) * MIN_VISIBLE_FRACTION;
    let eligible = candidates
        .filter(|candidate| candidate.slots > 0 && f64::from(candidate.slots) >= min_slots);
    let first = eligible.min_by_key(|candidate| {
        (
            candidate.is_zone_out,
            candidate.peer.incarnation,
            &candidate.peer.name,
        )
    });
    first.map(|candidate| candidate.peer)
}

/// Whether the fraction of free slots would be below `least_free` after starting `tasks` tasks.
pub fn is_scarce(free: i64, tasks: usize, slots: u32, least_free: f64) -> bool {
    let remaining = free.saturating_sub(i64::try_from(tasks).unwrap_or(i64::MAX));
    (remaining as f64) < f64::from(slots) * least_free
}

/// Unused tickets issued by another entry.
#[derive(Clone, Debug, Default)]
pub struct TicketStock {
    issued_by: Option<Issuer>,
    ranges: std::collections::VecDeque<Range>,
}

#[derive(Clone, Debug, Eq, PartialEq)]
struct Issuer {
    entry: SmolStr,
    incarnation: ids::Incarnation,
}

#[derive(Clone, Copy, Debug)]
struct Range {
    tickets: wire::TicketRange,
    until_ms: u64,
}

impl TicketStock {
    /// Adds tickets issued by an entry and drops those of any other entry or incarnation.
    pub fn add(&mut self, now_ms: u64, issuer: &wire::Peer, tickets: wire::TicketRange) {
        let added = Issuer {
            entry: issuer.name.clone(),
            incarnation: issuer.incarnation,
        };
        if self.issued_by.as_ref() != Some(&added) {
            self.ranges.clear();
            self.issued_by = Some(added);
        }
        let until_ms = now_ms.saturating_add(STOCK_LIFETIME_MS);
        self.ranges.push_back(Range { tickets, until_ms });
    }

    /// Takes the oldest ticket issued by an entry.
    pub fn take(&mut self, now_ms: u64, issuer: &wire::Peer) -> Option<ids::SubmissionId> {
        self.expire(now_ms, issuer);
        let range = self.ranges.front_mut()?;
        let ticket = ids::Ticket {
            entry: issuer.name.clone(),
            incarnation: issuer.incarnation,
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

    /// Returns the number of tickets to request from an entry to refill the stock.
    pub fn shortfall(&mut self, now_ms: u64, issuer: &wire::Peer) -> u32 {
        self.expire(now_ms, issuer);
        let available: u32 = self.ranges.iter().map(|range| range.tickets.count).sum();
        TICKET_STOCK_SIZE.saturating_sub(available)
    }

    fn expire(&mut self, now_ms: u64, issuer: &wire::Peer) {
        let is_issuer =
            |known: &Issuer| known.entry == issuer.name && known.incarnation == issuer.incarnation;
        let is_same = self.issued_by.as_ref().is_some_and(is_issuer);
        let is_valid =
            |range: &Range| is_same && range.until_ms > now_ms && range.tickets.count > 0;
        self.ranges.retain(is_valid);
    }
}
