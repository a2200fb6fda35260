//! The settings in force, as a state machine over the log's records.
//!
//! The state depends on the records alone, so every process that applies the same
//! records reaches the same verdicts and the same folder. A process that cannot read all
//! of them starts from a checkpoint, which is a snapshot of another process's state.

use std::collections;
use std::sync;

use serde::Deserialize;
use smol_str::SmolStr;

use super::check;
use super::diff;
use super::merge;
use super::problem;
use super::ranges;
use super::record;
use super::values::Settings;
use crate::codes;
use crate::ids;

/// Result of applying a record.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// The change was accepted and is in force.
    Accepted {
        /// The new revision.
        revision: u64,
        /// The changed keys.
        changed: Vec<diff::KeyChange>,
    },
    /// The change was rejected; the settings in force are unchanged.
    Rejected {
        /// Result code of the first problem.
        code: codes::Code,
        /// All problems.
        problems: Vec<problem::Problem>,
    },
    /// A change with the same id was applied before; this one has no effect.
    Repeated {
        /// The verdict on the first occurrence.
        first: record::Recent,
    },
    /// The record is below the position and was applied before.
    Ignored,
    /// The record is a checkpoint, which has no effect on a state that is past it.
    Checkpoint {
        /// The checkpoint's position.
        position: u64,
        /// The checkpoint's revision.
        revision: Option<u64>,
        /// The revision in force, which is unchanged.
        in_force: Option<u64>,
    },
    /// Records between the position and this record are missing; nothing was applied.
    Gap {
        /// The offset of the first missing record.
        position: u64,
    },
}

quick_error! {
    /// Error for a checkpoint that cannot be adopted.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum CheckpointError {
        /// The format version is not supported.
        Version(version: u32) {
            display("unsupported checkpoint version {version}")
        }
        /// Fields of the checkpoint contradict each other.
        Inconsistent(why: &'static str) {
            display("inconsistent checkpoint: {why}")
        }
        /// Its position is ahead of this state's but its revision is older.
        OlderRevision {
            display("the checkpoint is ahead of the current position but has an older revision")
        }
        /// Its folder is invalid.
        Folder(problems: Vec<problem::Problem>) {
            display("the checkpoint's folder is invalid: {} problems", problems.len())
        }
    }
}

/// The settings after all records with offsets below a position.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct State {
    position: u64,
    revision: Option<u64>,
    files: merge::Files,
    recent: collections::VecDeque<record::Recent>,
    merged: merge::Merged,
    settings: sync::Arc<Settings>,
}

impl State {
    /// Creates the state before the first record, with default settings.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the settings in force.
    pub const fn settings(&self) -> &sync::Arc<Settings> {
        &self.settings
    }

    /// Returns the offset of the last accepted change, or `None` before the first.
    pub const fn revision(&self) -> Option<u64> {
        self.revision
    }

    /// Returns the offset of the next record to apply.
    pub const fn position(&self) -> u64 {
        self.position
    }

    /// Returns the files of the folder in force.
    pub const fn files(&self) -> &merge::Files {
        &self.files
    }

    /// Returns the merged folder in force.
    pub const fn merged(&self) -> &merge::Merged {
        &self.merged
    }

    /// Returns the latest changes and their verdicts, oldest first.
    pub fn recent(&self) -> impl ExactSizeIterator<Item = &record::Recent> {
        self.recent.iter()
    }

    /// Parses and applies the record at `offset`.
    ///
    /// A document that is not a valid record is rejected and skipped; otherwise no reader
    /// of this release could advance past it.
    pub fn apply_json(&mut self, offset: u64, document: &serde_json::Value) -> Verdict {
        if let Some(verdict) = self.out_of_order(offset) {
            return verdict;
        }
        match record::Record::deserialize(document) {
            Ok(record) => self.apply(offset, &record),
            Err(e) => {
                self.position = offset + 1;
                reject_record(format!("the record can't be read: {e}"))
            }
        }
    }

    /// Applies the record at `offset`.
    pub fn apply(&mut self, offset: u64, record: &record::Record) -> Verdict {
        if let Some(verdict) = self.out_of_order(offset) {
            return verdict;
        }
        self.position = offset + 1;
        match record {
            record::Record::Change(change) => self.apply_change(offset, change),
            record::Record::Checkpoint(checkpoint) => self.check_checkpoint(offset, checkpoint),
        }
    }

    /// Skips the record at `offset` if it is the next one; returns whether it was.
    ///
    /// Used for checkpoints that a peer omits, since they have no effect on a state that
    /// is past them.
    pub const fn skip(&mut self, offset: u64) -> bool {
        let is_next = offset == self.position;
        if is_next {
            self.position = offset + 1;
        }
        is_next
    }

    /// Returns the verdict on a record that is not the next one, `None` for the next.
    ///
    /// An offset below the position comes from duplicated or reordered delivery; applying
    /// it again would restore an older file. An offset above the position means that
    /// records expired; skipping them would lose their changes permanently.
    const fn out_of_order(&self, offset: u64) -> Option<Verdict> {
        if offset < self.position {
            return Some(Verdict::Ignored);
        }
        if offset > self.position {
            let position = self.position;
            return Some(Verdict::Gap { position });
        }
        None
    }

    fn apply_change(&mut self, offset: u64, change: &record::Change) -> Verdict {
        if let Some(why) = invalid_change(change) {
            return reject_record(why);
        }
        // An author repeats an append whose answer was lost. The repeat would either be
        // rejected as conflicting with the first or undo a change made in between.
        if let Some(first) = self.recent.iter().find(|recent| recent.id == change.id) {
            let first = first.clone();
            return Verdict::Repeated { first };
        }
        let verdict = self.decide(offset, change);
        self.record_recent(offset, change, &verdict);
        verdict
    }

    fn decide(&mut self, offset: u64, change: &record::Change) -> Verdict {
        if let Some(base) = change.base
            && base != record::base_of(self.revision)
        {
            return self.conflict(change, base);
        }
        let mut files = self.files.clone();
        match &change.text {
            Some(text) => {
                files.insert(change.file.clone(), text.clone());
            }
            None if files.remove(&change.file).is_none() => return reject_missing_file(change),
            None => {}
        }
        match check::merge_checked(&files) {
            Ok((settings, merged)) => {
                let changed = diff::diff(&self.merged, &merged);
                self.revision = Some(offset);
                self.files = files;
                self.merged = merged;
                self.settings = sync::Arc::new(settings);
                let revision = offset;
                Verdict::Accepted { revision, changed }
            }
            Err(problems) => Verdict::Rejected {
                code: problems
                    .first()
                    .map_or(codes::Code::SettingsImpossible, |p| p.code),
                problems,
            },
        }
    }

    /// Rejects a change whose base revision was superseded by another operator's change.
    fn conflict(&self, change: &record::Change, base: u64) -> Verdict {
        let base = record::show_revision(record::revision_of(base));
        let in_force = record::show_revision(self.revision);
        let reason = format!("made on revision {base}, but revision {in_force} is in force");
        reject(codes::Code::SettingsConflict, change.file.clone(), reason)
    }

    fn record_recent(&mut self, offset: u64, change: &record::Change, verdict: &Verdict) {
        let code = match verdict {
            Verdict::Rejected { code, .. } => *code,
            _ => codes::Code::Complete,
        };
        if self.recent.len() == ranges::MAX_RECENT {
            self.recent.pop_front();
        }
        let id = change.id.clone();
        self.recent.push_back(record::Recent { id, offset, code });
    }

    /// Validates a checkpoint on the log against this state, which has already reached it.
    fn check_checkpoint(&self, offset: u64, checkpoint: &record::Checkpoint) -> Verdict {
        let position = checkpoint.position;
        let revision = checkpoint.revision;
        // A process that started from a checkpoint ahead of its own offset would skip
        // records that all other processes apply.
        if checkpoint.version != record::VERSION || position > offset || revision > self.revision {
            return reject_record(
                "the checkpoint has another version or is ahead of the log".to_owned(),
            );
        }
        if revision == self.revision && checkpoint.files != self.files {
            return reject_record(
                "the checkpoint has different files for the same revision".to_owned(),
            );
        }
        Verdict::Checkpoint {
            position,
            revision,
            in_force: self.revision,
        }
    }

    /// Returns this state as a checkpoint for the log or a peer.
    pub fn checkpoint(&self, author: &str) -> record::Checkpoint {
        record::Checkpoint {
            version: record::VERSION,
            position: self.position,
            revision: self.revision,
            files: self.files.clone(),
            recent: self.recent.iter().cloned().collect(),
            author: SmolStr::new(author),
        }
    }

    /// Adopts a checkpoint from the log or a peer if it is ahead of this state.
    ///
    /// Returns whether it was adopted. A checkpoint that is not ahead is ignored, so a
    /// peer that fell behind cannot restore an older revision.
    pub fn adopt(&mut self, checkpoint: &record::Checkpoint) -> Result<bool, CheckpointError> {
        if checkpoint.version != record::VERSION {
            return Err(CheckpointError::Version(checkpoint.version));
        }
        if checkpoint.position <= self.position {
            return Ok(false);
        }
        self.check_consistent(checkpoint)?;
        let (settings, merged) =
            check::merge_checked(&checkpoint.files).map_err(CheckpointError::Folder)?;
        *self = Self {
            position: checkpoint.position,
            revision: checkpoint.revision,
            files: checkpoint.files.clone(),
            recent: checkpoint.recent.iter().cloned().collect(),
            merged,
            settings: sync::Arc::new(settings),
        };
        Ok(true)
    }

    fn check_consistent(&self, checkpoint: &record::Checkpoint) -> Result<(), CheckpointError> {
        let position = checkpoint.position;
        if checkpoint
            .revision
            .is_some_and(|revision| revision >= position)
        {
            return Err(CheckpointError::Inconsistent(
                "revision is not below position",
            ));
        }
        if checkpoint.revision.is_none() && !checkpoint.files.is_empty() {
            return Err(CheckpointError::Inconsistent("files without a revision"));
        }
        if checkpoint.recent.len() > ranges::MAX_RECENT {
            return Err(CheckpointError::Inconsistent("too many recent changes"));
        }
        let is_valid = |recent: &record::Recent| {
            recent.offset < position && ids::check_name(&recent.id).is_ok()
        };
        if !checkpoint.recent.iter().all(is_valid) {
            return Err(CheckpointError::Inconsistent("invalid recent change"));
        }
        if checkpoint.revision < self.revision {
            return Err(CheckpointError::OlderRevision);
        }
        Ok(())
    }
}

/// Returns the reason why a change is not a valid record of this release, if any.
fn invalid_change(change: &record::Change) -> Option<String> {
    if change.version != record::VERSION {
        return Some(format!("version {} is not spoken here", change.version));
    }
    if let Err(e) = ids::check_name(&change.id) {
        return Some(format!("the id is not good: {e}"));
    }
    let author = &change.author;
    if author.len() > ranges::MAX_AUTHOR_BYTES || author.chars().any(char::is_control) {
        return Some("the author is too long or has control characters".to_owned());
    }
    None
}

fn reject_record(reason: String) -> Verdict {
    reject(codes::Code::SettingsBadRecord, SmolStr::default(), reason)
}

fn reject_missing_file(change: &record::Change) -> Verdict {
    let reason = "there is no such file to remove".to_owned();
    reject(codes::Code::SettingsNoFile, change.file.clone(), reason)
}

fn reject(code: codes::Code, file: SmolStr, reason: String) -> Verdict {
    let problem = problem::Problem {
        file,
        line: 0,
        key: SmolStr::default(),
        code,
        reason,
    };
    let problems = vec![problem];
    Verdict::Rejected { code, problems }
}
