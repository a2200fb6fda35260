//! Claims on submission ids of the clients' own choice.
//!
//! Before anything of such an id starts, its entry appends a claim to the log's
//! `claims` stream and reads the stream up to it. The first claim on an id in the
//! order of the log owns it, and only the life that made it may start it. All
//! entries read the same stream, so they agree without talking to each other.

pub mod log;
pub mod pace;

use std::collections;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::ids;

/// The log's stream of claims.
pub const STREAM: &str = "claims";

/// The version of the records written here.
pub const VERSION: u32 = 1;

/// Longest wait for a claim to be read back, in milliseconds: a log that is slow
/// but works answers an append and a read well within it.
pub const CLAIM_TIMEOUT_MS: u64 = 2_000;

/// Most claims in one record; with the longest names this stays under 300 KiB.
pub const MAX_CLAIMS_PER_RECORD: usize = 1_000;

/// Most ids remembered, some 20 MB with names of usual length.
pub const MAX_IDS: usize = 100_000;

/// An id belongs to one team, as with tickets.
pub type ScopedId = (SmolStr, SmolStr);

/// One life of one entry.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Claimer {
    /// The entry's name.
    pub entry: SmolStr,
    /// Its life.
    pub incarnation: ids::Incarnation,
}

/// A record of the stream.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Record {
    /// See [`VERSION`].
    pub version: u32,
    /// Who claims.
    pub claimer: Claimer,
    /// What, in the order in which the calls came.
    pub claims: Vec<ScopedId>,
}

impl Record {
    /// A record that claims nothing.
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

/// A read of the stream, already parsed.
#[derive(Clone, Debug, Default)]
pub struct Page {
    /// Oldest offset still kept.
    pub first: u64,
    /// The records, in order; absent: one of a later version.
    pub records: Vec<(u64, Option<Record>)>,
}

/// How an id stands, as far as the stream was read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimState {
    /// No claim was read, and none is under way here.
    Unclaimed,
    /// A claim of this life is under way.
    Pending,
    /// This life owns it.
    Mine {
        /// Whether its submission came already.
        is_used: bool,
    },
    /// This life has decided never to start it.
    Barred {
        /// Whether it owns it, so that nobody else will start it either.
        is_mine: bool,
    },
    /// Another life owns it.
    Other(Claimer),
}

#[derive(Debug)]
struct Line {
    owner: Option<Claimer>,
    offset: u64,
    is_barred: bool,
    is_used: bool,
}

/// The claims known to one life of an entry.
#[derive(Debug)]
pub struct Table {
    me: Claimer,
    lines: collections::HashMap<ScopedId, Line>,
    pending: collections::BTreeMap<ScopedId, u64>,
    unsent: collections::VecDeque<ScopedId>,
    is_appending: bool,
    is_reachable: bool,
    first: u64,
    position: u64,
    overflow_at: Option<u64>,
}

impl Table {
    /// Nothing was read yet; a claim made now is settled when it is read back.
    pub fn new(me: Claimer) -> Self {
        Self {
            me,
            lines: collections::HashMap::new(),
            pending: collections::BTreeMap::new(),
            unsent: collections::VecDeque::new(),
            is_appending: false,
            is_reachable: true,
            first: 0,
            position: 0,
            overflow_at: None,
        }
    }

    /// Offset of the next record to read.
    pub const fn position(&self) -> u64 {
        self.position
    }

    /// How many ids are remembered.
    pub fn len(&self) -> usize {
        self.lines.len()
    }

    /// Whether none is remembered.
    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }

    /// How an id stands.
    pub fn state(&self, name: &ScopedId) -> ClaimState {
        if self.pending.contains_key(name) {
            return ClaimState::Pending;
        }
        let Some(line) = self.lines.get(name) else {
            return ClaimState::Unclaimed;
        };
        match &line.owner {
            Some(owner) if *owner != self.me => ClaimState::Other(owner.clone()),
            owner if line.is_barred => ClaimState::Barred {
                is_mine: owner.is_some(),
            },
            Some(_) => ClaimState::Mine {
                is_used: line.is_used,
            },
            None => ClaimState::Unclaimed,
        }
    }

    /// Begins to claim an id that is unclaimed; says whether it did.
    ///
    /// Nothing is begun while the log does not answer, so that refusing costs no
    /// wait, nor while claims that were read could not all be remembered: the id
    /// might be among them.
    pub fn claim(&mut self, now_ms: u64, name: ScopedId) -> bool {
        let is_full = self.lines.len() + self.pending.len() >= MAX_IDS;
        if !self.is_reachable || is_full || self.overflow_at.is_some() {
            return false;
        }
        let until_ms = now_ms.saturating_add(CLAIM_TIMEOUT_MS);
        self.pending.insert(name.clone(), until_ms);
        self.unsent.push_back(name);
        true
    }

    /// The next record to append, one at a time: what comes meanwhile is batched.
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

    /// The append under way ended. Its answer proves nothing: a lost one may have
    /// taken effect, so the claims in it stay pending until they are read back.
    pub const fn append_ended(&mut self) {
        self.is_appending = false;
    }

    /// A read of the stream failed.
    pub const fn mark_unreachable(&mut self) {
        self.is_reachable = false;
    }

    /// Takes in a read of the stream from [`Table::position`] on; gives the ids whose
    /// claims were settled by it.
    pub fn apply(&mut self, now_ms: u64, page: &Page) -> Vec<ScopedId> {
        let mut settled = self.forget_expired(page.first);
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
            for name in &record.claims {
                settled.extend(self.take_claim(now_ms, *offset, &record.claimer, name));
            }
        }
        settled
    }

    fn take_claim(
        &mut self,
        now: u64,
        offset: u64,
        by: &Claimer,
        name: &ScopedId,
    ) -> Vec<ScopedId> {
        let is_known = self.lines.contains_key(name);
        if !is_known && self.lines.len() >= MAX_IDS {
            return self.overflow(offset);
        }
        let is_mine = *by == self.me;
        let until_ms = self.pending.get(name).copied();
        let line = self.lines.entry(name.clone()).or_insert(Line {
            owner: None,
            offset,
            is_barred: false,
            is_used: false,
        });
        if line.owner.is_none() {
            line.owner = Some(by.clone());
            line.offset = offset;
            // Read back too late, or never asked for any more: the call was refused
            // as not run by then.
            line.is_barred |= is_mine && until_ms.is_none_or(|until_ms| until_ms <= now);
        }
        self.unsent.retain(|unsent| unsent != name);
        let was_pending = self.pending.remove(name).is_some();
        was_pending.then(|| name.clone()).into_iter().collect()
    }

    /// Claims were read that can't be remembered: an id claimed from now on could be
    /// one of them, so nothing is claimed until the log has dropped them as well.
    fn overflow(&mut self, offset: u64) -> Vec<ScopedId> {
        self.overflow_at = Some(offset);
        self.bar_pending(|_| true)
    }

    /// Claims that were not read back in time are given up for good.
    ///
    /// The append may have taken effect and show up later, even as the first. The
    /// caller was told "not run" by then, so this life never starts it.
    pub fn expire(&mut self, now_ms: u64) -> Vec<ScopedId> {
        self.bar_pending(|until_ms| until_ms <= now_ms)
    }

    fn bar_pending(&mut self, is_over: impl Fn(u64) -> bool) -> Vec<ScopedId> {
        let over = self.pending.iter().filter(|(_, until)| is_over(**until));
        let over: Vec<ScopedId> = over.map(|(name, _)| name.clone()).collect();
        for name in &over {
            self.pending.remove(name);
            self.unsent.retain(|unsent| unsent != name);
            self.bar(name);
        }
        over
    }

    fn bar(&mut self, name: &ScopedId) {
        let offset = self.position;
        let line = self.lines.entry(name.clone()).or_insert(Line {
            owner: None,
            offset,
            is_barred: false,
            is_used: false,
        });
        line.is_barred = true;
    }

    /// The submission of an id that this life owns has come.
    pub fn mark_used(&mut self, name: &ScopedId) {
        if let Some(line) = self.lines.get_mut(name) {
            line.is_used = true;
        }
    }

    /// The log has dropped what stands before `first`: no entry can read it any
    /// more. Records that this life has not read may have held claims on what is
    /// pending, which is given up.
    fn forget_expired(&mut self, first: u64) -> Vec<ScopedId> {
        let mut settled = Vec::new();
        if first > self.position {
            self.position = first;
            settled = self.bar_pending(|_| true);
        }
        if first > self.first {
            self.first = first;
            self.lines.retain(|_, line| line.offset >= first);
        }
        if self.overflow_at.is_some_and(|offset| offset < first) {
            self.overflow_at = None;
        }
        settled
    }
}
