//! Follows the settings stream of the log and decides what to apply, where to read
//! next, and when a checkpoint is needed or due.
//!
//! All times are milliseconds of the process's monotonic clock.

use serde::Deserialize;

use super::record;
use super::state;

/// Number of records since the last checkpoint at which one is written immediately.
///
/// It bounds roughly how many records a starting process applies, each at the cost of
/// one validation of the folder. It also keeps a burst of changes from displacing the
/// last checkpoint from a log that keeps a fixed number of records.
pub const MAX_RECORDS_BETWEEN_CHECKPOINTS: u64 = 100;

/// Age, in multiples of `timeouts.checkpoint_ms`, at which a checkpoint is rewritten
/// even without changes, since the log keeps records for a limited time only.
pub const REFRESH_FACTOR: u64 = 10;

/// Divisor of `timeouts.checkpoint_ms` that gives the jitter range of checkpoint writers
/// and the time that a writer waits for its own checkpoint to appear on the log.
const JITTER_DIVISOR: u64 = 4;

/// Returns the upper bound of the jitter before a checkpoint is written, in milliseconds.
///
/// Each process draws its jitter uniformly from 0 to this bound; once the first process
/// has written a checkpoint, the others need not write one.
pub const fn max_jitter_ms(checkpoint_ms: u64) -> u64 {
    checkpoint_ms / JITTER_DIVISOR
}

/// One record as returned by the log.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// The record's offset.
    pub offset: u64,
    /// The record's JSON document.
    pub document: serde_json::Value,
}

/// The log's answer to one read.
#[derive(Clone, Debug, PartialEq)]
pub struct Batch {
    /// The oldest offset that the log still has.
    pub first: u64,
    /// The offset that the next append will receive.
    pub next: u64,
    /// The records.
    pub entries: Vec<Entry>,
}

/// A record that was processed in order, with its verdict.
#[derive(Clone, Debug, PartialEq)]
pub struct Applied {
    /// The record.
    pub entry: Entry,
    /// The verdict.
    pub verdict: state::Verdict,
}

/// Position of the reader relative to the log after a batch.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReadStatus {
    /// Every record up to the log's end is applied, which is evidence of freshness.
    AtEnd,
    /// There are more records to read.
    Behind,
    /// Records expired before they were read and no checkpoint on the log covers them;
    /// the state must come from a peer.
    MissingRecords,
    /// The answer ends below the reader's position: it is a late answer, or the log lost
    /// records. Nothing was applied or reverted.
    Stale,
}

/// Result of applying a batch.
#[derive(Clone, Debug, PartialEq)]
pub struct BatchOutcome {
    /// The records that were processed, in order.
    pub applied: Vec<Applied>,
    /// Status after the batch.
    pub read_status: ReadStatus,
}

/// The latest checkpoint seen on the log.
#[derive(Clone, Copy, Debug)]
struct SeenCheckpoint {
    position: u64,
    /// Oldest kept offset of the log when the checkpoint was seen.
    front: u64,
    seen_ms: u64,
}

/// Follows the settings stream of the log.
#[derive(Clone, Debug)]
pub struct Reader {
    state: state::State,
    read_status: ReadStatus,
    /// Next offset to search for a checkpoint; set while records are missing.
    search: Option<u64>,
    /// Highest known value of the log's oldest kept offset.
    front: u64,
    seen_checkpoint: Option<SeenCheckpoint>,
    /// Number of changes since the latest checkpoint's position.
    changes: u64,
    /// Offset of the latest change.
    last_change: Option<u64>,
    started_ms: u64,
    due_since_ms: Option<u64>,
    attempted_ms: Option<u64>,
}

impl Reader {
    /// Creates a reader that continues from `state`.
    pub const fn new(state: state::State, now_ms: u64) -> Self {
        Self {
            state,
            read_status: ReadStatus::Behind,
            search: None,
            front: 0,
            seen_checkpoint: None,
            changes: 0,
            last_change: None,
            started_ms: now_ms,
            due_since_ms: None,
            attempted_ms: None,
        }
    }

    /// Returns the settings state.
    pub const fn state(&self) -> &state::State {
        &self.state
    }

    /// Returns the status after the last batch.
    pub const fn read_status(&self) -> ReadStatus {
        self.read_status
    }

    /// Returns the offset from which to read next.
    pub fn read_from(&self) -> u64 {
        self.search.unwrap_or(self.state.position())
    }

    /// Applies the log's answer to a read.
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
        // Records between the position and the log's front have expired. Continuing from
        // the front would lose their changes on this process alone.
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

    /// Adopts a peer's state if it is ahead of this one; returns whether it was adopted.
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

    /// Applies one record forwarded by a peer; `None` stands for an omitted checkpoint.
    ///
    /// A forwarded record is no evidence of freshness, because the peer may be behind
    /// the end of the log.
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
            self.state.skip(offset);
            Vec::new()
        };
        if self.state.position() != before && self.state.position() >= self.front {
            self.search = None;
            self.read_status = ReadStatus::Behind;
        }
        applied.into_iter().next()
    }

    /// Searches for the first checkpoint after which no record is missing.
    fn search_checkpoint(&mut self, batch: &Batch) {
        let mut cursor = self.search.unwrap_or(batch.first).max(batch.first);
        for entry in &batch.entries {
            if entry.offset != cursor {
                continue;
            }
            cursor += 1;
            if self.adopt_from_log(entry, batch.first) {
                self.search = None;
                return;
            }
        }
        self.search = Some(cursor);
    }

    /// Adopts a checkpoint on the log if it covers the missing records.
    fn adopt_from_log(&mut self, entry: &Entry, first: u64) -> bool {
        let Ok(record) = record::Record::deserialize(&entry.document) else {
            return false;
        };
        let record::Record::Checkpoint(checkpoint) = record else {
            return false;
        };
        let covers_gap = checkpoint.position >= first && checkpoint.position <= entry.offset;
        covers_gap && matches!(self.state.adopt(&checkpoint), Ok(true))
    }

    fn apply(&mut self, now_ms: u64, entries: Vec<Entry>) -> Vec<Applied> {
        let mut applied = Vec::new();
        for entry in entries {
            let verdict = self.state.apply_json(entry.offset, &entry.document);
            match &verdict {
                state::Verdict::Ignored => continue,
                state::Verdict::Gap { .. } => break,
                state::Verdict::Checkpoint { position, .. } => {
                    self.record_checkpoint(now_ms, entry.offset, *position);
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

    /// Records a checkpoint seen on the log.
    fn record_checkpoint(&mut self, now_ms: u64, offset: u64, position: u64) {
        if self
            .seen_checkpoint
            .is_some_and(|seen| seen.position > position)
        {
            return;
        }
        self.seen_checkpoint = Some(SeenCheckpoint {
            position,
            front: self.front,
            seen_ms: now_ms,
        });
        self.changes = match self.last_change {
            Some(last) if last >= position => self.changes.min(offset - position),
            _ => 0,
        };
    }

    /// Returns whether to append [`state::State::checkpoint`] to the log now.
    ///
    /// Each process draws `jitter_ms` once, from 0 to [`max_jitter_ms`]. After an append,
    /// successful or not, [`Reader::checkpoint_attempted`] must be called.
    pub fn checkpoint_due(&mut self, now_ms: u64, jitter_ms: u64) -> bool {
        if !self.needs_checkpoint(now_ms) {
            self.due_since_ms = None;
            return false;
        }
        let since = *self.due_since_ms.get_or_insert(now_ms);
        let is_retry_allowed = self.attempted_ms.is_none_or(|attempted_at| {
            now_ms.saturating_sub(attempted_at) >= max_jitter_ms(self.checkpoint_ms())
        });
        is_retry_allowed && now_ms.saturating_sub(since) >= jitter_ms
    }

    /// Records that the append of a checkpoint was attempted.
    ///
    /// Whether it succeeded is determined by reading it back, since the answer may be lost.
    pub const fn checkpoint_attempted(&mut self, now_ms: u64) {
        self.attempted_ms = Some(now_ms);
    }

    fn checkpoint_ms(&self) -> u64 {
        u64::from(self.state.settings().timeouts.checkpoint_ms)
    }

    fn needs_checkpoint(&self, now_ms: u64) -> bool {
        if self.read_status != ReadStatus::AtEnd || self.state.position() == 0 {
            return false;
        }
        let seen_ms = self
            .seen_checkpoint
            .map_or(self.started_ms, |seen| seen.seen_ms);
        let age_ms = now_ms.saturating_sub(seen_ms);
        let checkpoint_ms = self.checkpoint_ms();
        let changed = self.changes > 0;
        (changed && age_ms >= checkpoint_ms)
            || self.changes >= MAX_RECORDS_BETWEEN_CHECKPOINTS
            || age_ms >= REFRESH_FACTOR * checkpoint_ms
            || self.is_near_expiry()
    }

    /// Returns whether the log's front has moved halfway to the latest checkpoint.
    ///
    /// The log's retention is not known in advance. If the latest checkpoint expired while
    /// no process is running, a starting process would have no state to start from, so
    /// the movement of the front is used to predict the expiry.
    const fn is_near_expiry(&self) -> bool {
        let Some(seen) = self.seen_checkpoint else {
            return self.front > 0;
        };
        let distance = seen.position.saturating_sub(seen.front);
        let moved = self.front.saturating_sub(seen.front);
        moved > 0 && 2 * moved >= distance
    }
}
