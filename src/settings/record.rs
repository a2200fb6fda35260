//! What stands on the log's `settings` stream, one JSON document a record.

use std::collections;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::codes;

/// Version of the record format.
pub const VERSION: u32 = 1;

/// The log stream on which settings are published.
pub const STREAM: &str = "settings";

/// [`Change::base`] of a change that was made when no revision was in force yet.
pub const BEFORE_FIRST: u64 = u64::MAX;

/// The [`Change::base`] that names a revision.
pub fn base_of(revision: Option<u64>) -> u64 {
    revision.unwrap_or(BEFORE_FIRST)
}

/// The revision that a [`Change::base`] names.
pub fn revision_of(base: u64) -> Option<u64> {
    (base != BEFORE_FIRST).then_some(base)
}

/// A revision for people.
pub fn show_revision(revision: Option<u64>) -> SmolStr {
    revision.map_or(SmolStr::new_static("none"), |revision| {
        smol_str::format_smolstr!("{revision}")
    })
}

/// One record; its offset on the log is the revision it makes.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum Record {
    /// A change of one file.
    Change(Change),
    /// The state after a revision, written before its records expire.
    Checkpoint(Checkpoint),
}

/// A file put into the folder or removed from it.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Change {
    /// See [`VERSION`].
    pub version: u32,
    /// Chosen at random by the author, so that a repeated append does no harm.
    pub id: SmolStr,
    /// Who made the change.
    pub author: SmolStr,
    /// The author's clock, milliseconds since 1970; for people only.
    pub time_ms: u64,
    /// The file's name within the folder.
    pub file: SmolStr,
    /// The file's new text; absent: the file is removed.
    pub text: Option<String>,
    /// The revision that the change was based on, or [`BEFORE_FIRST`]; absent: it is
    /// made in any case.
    pub base: Option<u64>,
}

/// The verdict on a recent change.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Recent {
    /// The change's id.
    pub id: SmolStr,
    /// Its offset on the log.
    pub offset: u64,
    /// [`codes::Code::Complete`] where it was accepted, else why it was rejected.
    pub code: codes::Code,
}

/// The whole folder after all records below `position`.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Checkpoint {
    /// See [`VERSION`].
    pub version: u32,
    /// Offset of the next record to be applied on top of this.
    pub position: u64,
    /// Revision in force: offset of the last accepted change; absent before the first.
    pub revision: Option<u64>,
    /// The files and their texts.
    pub files: collections::BTreeMap<SmolStr, String>,
    /// The latest changes, oldest first, so that repeats are told.
    pub recent: Vec<Recent>,
    /// Who wrote the checkpoint, for people only.
    #[serde(default)]
    pub author: SmolStr,
}
