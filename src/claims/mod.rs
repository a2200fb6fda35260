//! Claims on submission ids that are chosen by clients.
//!
//! Before an entry starts any task of such a submission, it appends a claim to the log's
//! `claims` stream and reads the stream up to that claim. The first claim on an id in the
//! order of the log owns the id, and only the incarnation that made it may start the tasks.
//! All entries read the same stream, so they agree without messages to each other.

pub mod log;
pub mod pace;

use std::collections;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::ids;

/// Name of the log's stream of claims.
pub const STREAM: &str = "claims";

/// Version of the records that this program writes.
pub const VERSION: u32 = 1;

/// Time within which a claim must be read back, in milliseconds; a slow but working log
/// answers an append and a read well within it.
pub const CLAIM_TIMEOUT_MS: u64 = 2_000;

/// Maximum number of claims in one record, which keeps it under 300 KiB with the longest ids.
pub const MAX_CLAIMS_PER_RECORD: usize = 1_000;

/// Maximum number of remembered ids, about 20 MB with ids of usual length.
pub const MAX_IDS: usize = 100_000;

/// Team and id; an id is only valid within its team.
pub type ScopedId = (SmolStr, SmolStr);

/// One incarnation of an entry.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Claimer {
    /// The entry's name.
    pub entry: SmolStr,
    /// The entry's incarnation.
    pub incarnation: ids::Incarnation,
}

/// A record of the stream.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Record {
    /// Format version, see [`VERSION`].
    pub version: u32,
    /// The incarnation that makes the claims.
    pub claimer: Claimer,
    /// The claimed ids, in the order of the calls.
    pub claims: Vec<ScopedId>,
}

impl Record {
    /// Returns a record without claims.
    pub fn empty() -> Self {
        let claimer = Claimer {
            entry: SmolStr::default(),
            incarnation: ids::Incarnation(0),
        };
        Self {
            version: VERSION,
            claimer,
            claims: Vec::new(),
        }
    }
}

/// Parsed answer to one read of the stream.
#[derive(Clone, Debug, Default)]
pub struct Page {
    /// Oldest offset that the log still keeps.
    pub first: u64,
    /// Offsets and records in order; `None` for a record of a later version.
    pub records: Vec<(u64, Option<Record>)>,
}

/// State of an id, as far as the stream has been read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimState {
    /// No claim was read, and none is pending here.
    Unclaimed,
    /// A claim of this incarnation is not yet read back.
    Pending,
    /// This incarnation owns it.
    Mine {
        /// Whether its submission was accepted already.
        is_used: bool,
    },
    /// This incarnation never starts it.
    Barred {
        /// Whether this incarnation owns it, so that no other one starts it either.
        is_owner: bool,
    },
    /// Another incarnation owns it.
    Other(Claimer),
}

#[derive(Debug)]
struct Claim {
    owner: Option<Claimer>,
    /// Offset of the owner's claim; without an owner, the offset read when the id was barred.
    offset: u64,
    is_barred: bool,
    is_used: bool,
}

/// Claims known to one incarnation of an entry.
#[derive(Debug)]
pub struct Table {
    me: Claimer,
    by_id: collections::HashMap<ScopedId, Claim>,
    /// Claims that are not yet read back, with the time at which they time out.
    pending: collections::BTreeMap<ScopedId, u64>,
    unsent: collections::VecDeque<ScopedId>,
    is_appending: bool,
    is_reachable: bool,
    first: u64,
    position: u64,
    /// Offset of the last claim that could not be remembered.
    overflow_at: Option<u64>,
}

impl Table {
    /// Creates an empty table that has read nothing of the stream.
    pub fn new(me: Claimer) -> Self {
        Self {
            me,
            by_id: collections::HashMap::new(),
            pending: collections::BTreeMap::new(),
            unsent: collections::VecDeque::new(),
            is_appending: false,
            is_reachable: true,
            first: 0,
            position: 0,
            overflow_at: None,
        }
    }

    /// Returns the offset of the next record to read.
    pub const fn position(&self) -> u64 {
        self.position
    }

    /// Number of remembered ids.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Whether no id is remembered.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// Returns the state of an id.
    pub fn state(&self, id: &ScopedId) -> ClaimState {
        if self.pending.contains_key(id) {
            return ClaimState::Pending;
        }
        let Some(known) = self.by_id.get(id) else {
            return ClaimState::Unclaimed;
        };
        match &known.owner {
            Some(owner) if *owner != self.me => ClaimState::Other(owner.clone()),
            owner if known.is_barred => ClaimState::Barred {
                is_owner: owner.is_some(),
            },
            Some(_) => ClaimState::Mine {
                is_used: known.is_used,
            },
            None => ClaimState::Unclaimed,
        }
    }

    /// Starts a claim on an unclaimed id and returns whether it did.
    ///
    /// No claim is started while the log does not answer, so that a call is refused without a
    /// wait. Nor is one started while some of the claims read from the stream could not be
    /// remembered, since the id might be among them.
    pub fn claim(&mut self, now_ms: u64, id: ScopedId) -> bool {
        let is_full = self.by_id.len() + self.pending.len() >= MAX_IDS;
        if !self.is_reachable || is_full || self.overflow_at.is_some() {
            return false;
        }
        let until_ms = now_ms.saturating_add(CLAIM_TIMEOUT_MS);
        self.pending.insert(id.clone(), until_ms);
        self.unsent.push_back(id);
        true
    }

    /// Returns the next record to append.
    ///
    /// Returns `None` without new claims or while an append is in flight; the claims made
    /// during an append are batched into the next record.
    pub fn next_record(&mut self) -> Option<Record> {
        if self.is_appending || self.unsent.is_empty() {
            return None;
        }
        self.is_appending = true;
        let count = self.unsent.len().min(MAX_CLAIMS_PER_RECORD);
        Some(Record {
            version: VERSION,
            claimer: self.me.clone(),
            claims: self.unsent.drain(..count).collect(),
        })
    }

    /// Records the end of the append in flight.
    ///
    /// Its claims stay pending until they are read back, since an append without an answer may
    /// have taken effect.
    pub const fn append_ended(&mut self) {
        self.is_appending = false;
    }

    /// Records that a read of the stream failed.
    pub const fn mark_unreachable(&mut self) {
        self.is_reachable = false;
    }

    /// Applies records read from [`Table::position`] on.
    ///
    /// Returns the ids whose pending claims are settled by them.
    pub fn apply(&mut self, now_ms: u64, page: &Page) -> Vec<ScopedId> {
        let mut settled = self.drop_expired(page.first);
        self.is_reachable = true;
        for (offset, record) in &page.records {
            if *offset != self.position {
                continue;
            }
            self.position = offset + 1;
            let Some(record) = record else {
                settled.extend(self.overflow(*offset));
                continue;
            };
            for id in &record.claims {
                settled.extend(self.apply_claim(now_ms, *offset, &record.claimer, id));
            }
        }
        settled
    }

    fn apply_claim(&mut self, now: u64, offset: u64, by: &Claimer, id: &ScopedId) -> Vec<ScopedId> {
        let is_known = self.by_id.contains_key(id);
        if !is_known && self.by_id.len() >= MAX_IDS {
            return self.overflow(offset);
        }
        let is_own_claim = *by == self.me;
        let until_ms = self.pending.get(id).copied();
        let known = self.by_id.entry(id.clone()).or_insert(Claim {
            owner: None,
            offset,
            is_barred: false,
            is_used: false,
        });
        if known.owner.is_none() {
            known.owner = Some(by.clone());
            known.offset = offset;
            // Read back after its timeout or after it was given up; by then the call has been
            // refused as not run.
            known.is_barred |= is_own_claim && until_ms.is_none_or(|until_ms| until_ms <= now);
        }
        self.unsent.retain(|unsent| unsent != id);
        let was_pending = self.pending.remove(id).is_some();
        was_pending.then(|| id.clone()).into_iter().collect()
    }

    /// Handles claims that were read and can't be remembered.
    ///
    /// A new claim could be for one of their ids, so no claim is made until the log has dropped
    /// these records as well.
    fn overflow(&mut self, offset: u64) -> Vec<ScopedId> {
        self.overflow_at = Some(offset);
        self.bar_pending(|_| true)
    }

    /// Gives up the claims that were not read back in time and returns their ids.
    ///
    /// Such a claim may still appear in the stream later, even as the first on its id. Its
    /// caller has been answered "not run" by then, so this incarnation never starts it.
    pub fn expire(&mut self, now_ms: u64) -> Vec<ScopedId> {
        self.bar_pending(|until_ms| until_ms <= now_ms)
    }

    fn bar_pending(&mut self, is_expired: impl Fn(u64) -> bool) -> Vec<ScopedId> {
        let expired = self.pending.iter().filter(|(_, until)| is_expired(**until));
        let expired: Vec<ScopedId> = expired.map(|(id, _)| id.clone()).collect();
        for id in &expired {
            self.pending.remove(id);
            self.unsent.retain(|unsent| unsent != id);
            self.bar(id);
        }
        expired
    }

    fn bar(&mut self, id: &ScopedId) {
        let offset = self.position;
        let known = self.by_id.entry(id.clone()).or_insert(Claim {
            owner: None,
            offset,
            is_barred: false,
            is_used: false,
        });
        known.is_barred = true;
    }

    /// Records that the submission of an id owned by this incarnation was accepted.
    pub fn mark_used(&mut self, id: &ScopedId) {
        if let Some(known) = self.by_id.get_mut(id) {
            known.is_used = true;
        }
    }

    /// Drops claims before `first`, which the log no longer keeps and no entry can read.
    ///
    /// If this incarnation has not read all of the dropped records, they may have held claims
    /// on pending ids, so the pending claims are given up. Returns their ids.
    fn drop_expired(&mut self, first: u64) -> Vec<ScopedId> {
        let mut settled = Vec::new();
        if first > self.position {
            self.position = first;
            settled = self.bar_pending(|_| true);
        }
        if first > self.first {
            self.first = first;
            self.by_id.retain(|_, known| known.offset >= first);
        }
        if self.overflow_at.is_some_and(|offset| offset < first) {
            self.overflow_at = None;
        }
        settled
    }
}
