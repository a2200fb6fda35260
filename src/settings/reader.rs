//! Follows the log: what to apply, where to read on, when a checkpoint is needed and
//! when one is written.
//!
//! All times are milliseconds of the process's monotonic clock.

use serde::Deserialize;

use super::record;
use super::state;

/// Records after the last checkpoint at which another is written without waiting.
///
/// A process that starts applies at most about so many before it is at the end; each
/// costs one check of the folder. It also keeps a burst of changes from pushing the
/// last checkpoint off a log that keeps a fixed number of records.
pub const MAX_RECORDS_BETWEEN: u64 = 100;

/// A checkpoint is written again, though nothing changed, at this many times
/// `timeouts.checkpoint_ms`: the log keeps records for a limited time only.
pub const REFRESH_FACTOR: u64 = 10;

/// Part of `timeouts.checkpoint_ms` over which the writers of a checkpoint spread,
/// and for which one waits for its own to be seen on the log.
const SPREAD_DIVISOR: u64 = 4;

/// Time over which the processes that could write a checkpoint spread.
///
/// The caller draws its jitter evenly from 0 to this; the first that writes spares
/// the others their own.
pub const fn spread_ms(checkpoint_ms: u64) -> u64 {
    checkpoint_ms / SPREAD_DIVISOR
}

/// One record as the log hands it out.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// The record's offset.
    pub offset: u64,
    /// The record's document.
    pub document: serde_json::Value,
}

/// One answer of the log to a read.
#[derive(Clone, Debug, PartialEq)]
pub struct Batch {
    /// The oldest offset still kept.
    pub first: u64,
    /// The offset that the next append will get.
    pub next: u64,
    /// The records.
    pub entries: Vec<Entry>,
}

/// A record that had its turn, and what became of it.
#[derive(Clone, Debug, PartialEq)]
pub struct Applied {
    /// The record.
    pub entry: Entry,
    /// The verdict.
    pub verdict: state::Verdict,
}

/// Where the reader stands after a batch.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReadStatus {
    /// Every record up to the log's end is applied: this is evidence of freshness.
    AtEnd,
    /// There are more records to read.
    Behind,
    /// Records expired before they were read, and no checkpoint on the log bridges
    /// them: ask the peers.
    MissingRecords,
    /// The answer's end lies below what was applied before: a late answer, or a log
    /// that lost records. Nothing was applied and nothing is taken back.
    Stale,
}

/// What a batch came to.
#[derive(Clone, Debug, PartialEq)]
pub struct BatchOutcome {
    /// The records that had their turn, in order.
    pub applied: Vec<Applied>,
    /// Where the reader stands now.
    pub read_status: ReadStatus,
}

/// The latest checkpoint seen on the log.
#[derive(Clone, Copy, Debug)]
struct Mark {
    position: u64,
    /// Oldest kept offset when it was seen.
    front: u64,
    seen_ms: u64,
}

/// A follower of the log.
#[derive(Clone, Debug)]
pub struct Reader {
    state: state::State,
    read_status: ReadStatus,
    /// Next offset at which to look for a checkpoint, while records are missing.
    search: Option<u64>,
    /// Oldest kept offset, as far as known.
    front: u64,
    mark: Option<Mark>,
    /// Changes since the latest checkpoint's position.
    changes: u64,
    /// Offset of the latest change.
    last_change: Option<u64>,
    started_ms: u64,
    wanted_since: Option<u64>,
    tried_ms: Option<u64>,
}

impl Reader {
    /// Follows the log on top of `state`.
    pub const fn new(state: state::State, now_ms: u64) -> Self {
        Self {
            state,
            read_status: ReadStatus::Behind,
            search: None,
            front: 0,
            mark: None,
            changes: 0,
            last_change: None,
            started_ms: now_ms,
            wanted_since: None,
            tried_ms: None,
        }
    }

    /// The settings in force and all that belongs to them.
    pub const fn state(&self) -> &state::State {
        &self.state
    }

    /// Where the reader stood after the last batch.
    pub const fn read_status(&self) -> ReadStatus {
        self.read_status
    }

    /// Offset from which to read next.
    pub fn read_from(&self) -> u64 {
        self.search.unwrap_or(self.state.position())
    }

    /// Takes in an answer of the log.
    pub fn apply_batch(&mut self, now_ms: u64, mut batch: Batch) -> BatchOutcome {
        batch.entries.sort_by_key(|entry| entry.offset);
        self.front = self.front.max(batch.first);
        if batch.next < self.state.position() {
            self.read_status = ReadStatus::Stale;
            let applied = Vec::new();
            let read_status = self.read_status;
            return BatchOutcome {
                applied,
                read_status,
            };
        }
        // Records between the position and the front are gone. To go on from the
        // front would lose their changes here and nowhere else.
        if self.state.position() < batch.first {
            self.search_checkpoint(&batch);
        } else {
            self.search = None;
        }
        let applied = if self.search.is_none() {
            self.apply(now_ms, batch.entries)
        } else {
            Vec::new()
        };
        self.read_status = self.status_at(batch.next);
        let read_status = self.read_status;
        BatchOutcome {
            applied,
            read_status,
        }
    }

    /// Takes over the state of a peer, if it is further on.
    pub fn adopt(
        &mut self,
        checkpoint: &record::Checkpoint,
    ) -> Result<bool, state::CheckpointError> {
        let adopted = self.state.adopt(checkpoint)?;
        if adopted && self.state.position() >= self.front {
            self.search = None;
            self.read_status = ReadStatus::Behind;
        }
        Ok(adopted)
    }

    /// Takes over one record that a peer passes on; none: a checkpoint, left out.
    ///
    /// It tells nothing of where the log ends, so it is no evidence of anything: a
    /// peer may itself be far behind.
    pub fn apply_forwarded(
        &mut self,
        now_ms: u64,
        offset: u64,
        document: Option<serde_json::Value>,
    ) -> Option<Applied> {
        let before = self.state.position();
        let applied = if let Some(document) = document {
            self.apply(now_ms, vec![Entry { offset, document }])
        } else {
            self.state.pass(offset);
            Vec::new()
        };
        if self.state.position() != before && self.state.position() >= self.front {
            self.search = None;
            self.read_status = ReadStatus::Behind;
        }
        applied.into_iter().next()
    }

    /// Looks for the first checkpoint from which no record is missing.
    fn search_checkpoint(&mut self, batch: &Batch) {
        let mut cursor = self.search.unwrap_or(batch.first).max(batch.first);
        for entry in &batch.entries {
            if entry.offset != cursor {
                continue;
            }
            cursor += 1;
            if self.start_from(entry, batch.first) {
                self.search = None;
                return;
            }
        }
        self.search = Some(cursor);
    }

    /// Starts from a checkpoint on the log, if it bridges the missing records.
    fn start_from(&mut self, entry: &Entry, first: u64) -> bool {
        let Ok(record) = record::Record::deserialize(&entry.document) else {
            return false;
        };
        let record::Record::Checkpoint(checkpoint) = record else {
            return false;
        };
        let bridges = checkpoint.position >= first && checkpoint.position <= entry.offset;
        bridges && matches!(self.state.adopt(&checkpoint), Ok(true))
    }

    fn apply(&mut self, now_ms: u64, entries: Vec<Entry>) -> Vec<Applied> {
        let mut applied = Vec::new();
        for entry in entries {
            let verdict = self.state.apply_json(entry.offset, &entry.document);
            match &verdict {
                state::Verdict::Ignored => continue,
                state::Verdict::Gap { .. } => break,
                state::Verdict::Checkpoint { position, .. } => {
                    self.mark(now_ms, entry.offset, *position);
                }
                _ => {
                    self.changes += 1;
                    self.last_change = Some(entry.offset);
                }
            }
            applied.push(Applied { entry, verdict });
        }
        applied
    }

    fn status_at(&self, next: u64) -> ReadStatus {
        match self.search {
            Some(cursor) if cursor >= next => ReadStatus::MissingRecords,
            None if self.state.position() == next => ReadStatus::AtEnd,
            _ => ReadStatus::Behind,
        }
    }

    /// Notes a checkpoint seen on the log.
    fn mark(&mut self, now_ms: u64, offset: u64, position: u64) {
        if self.mark.is_some_and(|mark| mark.position > position) {
            return;
        }
        self.mark = Some(Mark {
            position,
            front: self.front,
            seen_ms: now_ms,
        });
        self.changes = match self.last_change {
            Some(last) if last >= position => self.changes.min(offset - position),
            _ => 0,
        };
    }

    /// Whether to append [`state::State::checkpoint`] to the log now.
    ///
    /// `jitter_ms` is drawn once a process from 0 to [`spread_ms`]. After an append,
    /// whatever came of it, call [`Reader::checkpoint_attempted`].
    pub fn checkpoint_due(&mut self, now_ms: u64, jitter_ms: u64) -> bool {
        if !self.checkpoint_wanted(now_ms) {
            self.wanted_since = None;
            return false;
        }
        let since = *self.wanted_since.get_or_insert(now_ms);
        let pause_over = self
            .tried_ms
            .is_none_or(|tried| now_ms.saturating_sub(tried) >= spread_ms(self.checkpoint_ms()));
        pause_over && now_ms.saturating_sub(since) >= jitter_ms
    }

    /// Notes that a checkpoint was appended, or that this failed.
    ///
    /// Whether it took effect is learned by reading it, not from the answer, which
    /// may be lost.
    pub const fn checkpoint_attempted(&mut self, now_ms: u64) {
        self.tried_ms = Some(now_ms);
    }

    fn checkpoint_ms(&self) -> u64 {
        u64::from(self.state.settings().timeouts.checkpoint_ms)
    }

    fn checkpoint_wanted(&self, now_ms: u64) -> bool {
        if self.read_status != ReadStatus::AtEnd || self.state.position() == 0 {
            return false;
        }
        let seen_ms = self.mark.map_or(self.started_ms, |mark| mark.seen_ms);
        let age_ms = now_ms.saturating_sub(seen_ms);
        let checkpoint_ms = self.checkpoint_ms();
        let changed = self.changes > 0;
        (changed && age_ms >= checkpoint_ms)
            || self.changes >= MAX_RECORDS_BETWEEN
            || age_ms >= REFRESH_FACTOR * checkpoint_ms
            || self.nears_expiry()
    }

    /// Whether the log's front has come half the way to the latest checkpoint.
    ///
    /// How long the log keeps its records is not known beforehand. If the latest
    /// checkpoint expired while no process lives, a process that starts would find
    /// nothing to start from; so the front's own movement is the warning.
    const fn nears_expiry(&self) -> bool {
        let Some(mark) = self.mark else {
            return self.front > 0;
        };
        let whole = mark.position.saturating_sub(mark.front);
        let moved = self.front.saturating_sub(mark.front);
        moved > 0 && 2 * moved >= whole
    }
}
