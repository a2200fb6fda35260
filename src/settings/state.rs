//! The settings in force, as a state machine over the log's records.
//!
//! Nothing but the records decides, so every process that applies the same records
//! comes to the same verdicts and the same folder. A process that can't have all of
//! them starts from a checkpoint, which is the state of another.

use std::collections;
use std::sync;

use serde::Deserialize;
use smol_str::SmolStr;

use super::check;
use super::checked::Settings;
use super::diff;
use super::merge;
use super::problem;
use super::ranges;
use super::record;
use crate::codes;
use crate::ids;

/// What became of a record.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// The change is in force.
    Accepted {
        /// The revision that it made.
        revision: u64,
        /// The keys that it changed.
        changed: Vec<diff::KeyChange>,
    },
    /// The change was refused and what was in force stays.
    Rejected {
        /// The first problem's class.
        code: codes::Code,
        /// All problems.
        problems: Vec<problem::Problem>,
    },
    /// A change with the same id came before and settled the matter.
    Repeated {
        /// The verdict on the first.
        first: record::Recent,
    },
    /// The record lies below the position and had its effect before.
    Ignored,
    /// The record is a checkpoint, which changes nothing for a state that is past it.
    Checkpoint {
        /// The checkpoint's position.
        position: u64,
        /// The checkpoint's revision.
        revision: Option<u64>,
        /// The revision in force, which stays.
        in_force: Option<u64>,
    },
    /// Records between the position and this one are missing; nothing was applied.
    Gap {
        /// The offset that is wanted.
        position: u64,
    },
}

quick_error! {
    /// Why a checkpoint can't be taken over.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum CheckpointError {
        /// Another version of the format.
        Version(version: u32) {
            display("the checkpoint has version {version}, which is not spoken here")
        }
        /// Its parts contradict each other.
        Inconsistent(why: &'static str) {
            display("the checkpoint contradicts itself: {why}")
        }
        /// It is further on and yet has an older revision.
        OlderRevision {
            display("the checkpoint is further on and has an older revision")
        }
        /// Its folder does not check out here.
        Folder(problems: Vec<problem::Problem>) {
            display("the checkpoint's folder has {} problems", problems.len())
        }
    }
}

/// The settings after all records below a position.
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
    /// The default settings, before the first record.
    pub fn new() -> Self {
        Self::default()
    }

    /// The settings in force.
    pub const fn settings(&self) -> &sync::Arc<Settings> {
        &self.settings
    }

    /// Offset of the last accepted change; absent before the first.
    pub const fn revision(&self) -> Option<u64> {
        self.revision
    }

    /// Offset of the next record to apply.
    pub const fn position(&self) -> u64 {
        self.position
    }

    /// The files of the folder in force.
    pub const fn files(&self) -> &merge::Files {
        &self.files
    }

    /// The merge in force.
    pub const fn merged(&self) -> &merge::Merged {
        &self.merged
    }

    /// The latest changes and their verdicts, oldest first.
    pub fn recent(&self) -> impl ExactSizeIterator<Item = &record::Recent> {
        self.recent.iter()
    }

    /// Applies the record at `offset`, as it stands on the log.
    ///
    /// A document that is no record is rejected and passed, or no reader of this
    /// release would ever get beyond it.
    pub fn apply_json(&mut self, offset: u64, document: &serde_json::Value) -> Verdict {
        if let Some(verdict) = self.out_of_turn(offset) {
            return verdict;
        }
        match record::Record::deserialize(document) {
            Ok(record) => self.apply(offset, &record),
            Err(e) => {
                self.position = offset + 1;
                bad_record(format!("the record can't be read: {e}"))
            }
        }
    }

    /// Applies the record at `offset`.
    pub fn apply(&mut self, offset: u64, record: &record::Record) -> Verdict {
        if let Some(verdict) = self.out_of_turn(offset) {
            return verdict;
        }
        self.position = offset + 1;
        match record {
            record::Record::Change(change) => self.apply_change(offset, change),
            record::Record::Checkpoint(checkpoint) => self.pass_checkpoint(offset, checkpoint),
        }
    }

    /// Passes the record at `offset` by without looking at it, if it is the next.
    ///
    /// For checkpoints that a peer leaves out: at a state that is past them they
    /// change nothing. The answer is whether it was its turn.
    pub const fn pass(&mut self, offset: u64) -> bool {
        let is_next = offset == self.position;
        if is_next {
            self.position = offset + 1;
        }
        is_next
    }

    /// The verdict on a record that is not the next one.
    ///
    /// Duplicated and re-ordered delivery shows as an offset below the position; to
    /// apply it again would put an older file back. Expired records show as an offset
    /// above it; to jump would lose the changes between for good.
    const fn out_of_turn(&self, offset: u64) -> Option<Verdict> {
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
        if let Some(why) = unreadable(change) {
            return bad_record(why);
        }
        // An append whose answer was lost is made again by its author. The second
        // would be refused as racing with the first, or undo a change made between.
        if let Some(first) = self.recent.iter().find(|recent| recent.id == change.id) {
            let first = first.clone();
            return Verdict::Repeated { first };
        }
        let verdict = self.decide(offset, change);
        self.remember(offset, change, &verdict);
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
            None if files.remove(&change.file).is_none() => return no_file(change),
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

    /// Two operators started from the same revision and the other's change came first.
    fn conflict(&self, change: &record::Change, base: u64) -> Verdict {
        let base = record::show_revision(record::revision_of(base));
        let in_force = record::show_revision(self.revision);
        let reason = format!("made on revision {base}, but revision {in_force} is in force");
        reject(codes::Code::SettingsConflict, change.file.clone(), reason)
    }

    fn remember(&mut self, offset: u64, change: &record::Change, verdict: &Verdict) {
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

    /// Passes a checkpoint on the log, at which this state has arrived by itself.
    fn pass_checkpoint(&self, offset: u64, checkpoint: &record::Checkpoint) -> Verdict {
        let position = checkpoint.position;
        let revision = checkpoint.revision;
        // A checkpoint of the state ahead of it would make whoever starts from it
        // skip records that all others apply.
        if checkpoint.version != record::VERSION || position > offset || revision > self.revision {
            return bad_record(
                "the checkpoint is of another version or ahead of the log".to_owned(),
            );
        }
        if revision == self.revision && checkpoint.files != self.files {
            return bad_record("the checkpoint has other files at the same revision".to_owned());
        }
        Verdict::Checkpoint {
            position,
            revision,
            in_force: self.revision,
        }
    }

    /// This state as a record for the log or for a peer.
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

    /// Takes over a state from the log or a peer, if it is further on.
    ///
    /// The answer is whether it was taken over; one that is not further on is passed
    /// by, so that a peer that fell behind can't bring an older revision back.
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
                "its revision is not below its position",
            ));
        }
        if checkpoint.revision.is_none() && !checkpoint.files.is_empty() {
            return Err(CheckpointError::Inconsistent(
                "it has files and no revision",
            ));
        }
        if checkpoint.recent.len() > ranges::MAX_RECENT {
            return Err(CheckpointError::Inconsistent(
                "it remembers too many changes",
            ));
        }
        let good = |recent: &record::Recent| {
            recent.offset < position && ids::check_name(&recent.id).is_ok()
        };
        if !checkpoint.recent.iter().all(good) {
            return Err(CheckpointError::Inconsistent(
                "it remembers an impossible change",
            ));
        }
        if checkpoint.revision < self.revision {
            return Err(CheckpointError::OlderRevision);
        }
        Ok(())
    }
}

/// Why a change can't be taken for one of this release.
fn unreadable(change: &record::Change) -> Option<String> {
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

fn bad_record(reason: String) -> Verdict {
    reject(codes::Code::SettingsBadRecord, SmolStr::default(), reason)
}

fn no_file(change: &record::Change) -> Verdict {
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
