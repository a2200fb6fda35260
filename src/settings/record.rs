//! Records of the log's `settings` stream, one JSON document each.

use std::collections;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::codes;

/// Version of the record format.
pub const VERSION: u32 = 1;

/// The log stream on which settings are published.
pub const STREAM: &str = "settings";

/// [`Change::base`] of a change made before any revision was in force.
pub const BEFORE_FIRST: u64 = u64::MAX;

/// Returns the [`Change::base`] that stands for a revision.
pub fn base_of(revision: Option<u64>) -> u64 {
    revision.unwrap_or(BEFORE_FIRST)
}

/// Returns the revision that a [`Change::base`] stands for.
pub fn revision_of(base: u64) -> Option<u64> {
    (base != BEFORE_FIRST).then_some(base)
}

/// Formats a revision for display.
pub fn show_revision(revision: Option<u64>) -> SmolStr {
    revision.map_or(SmolStr::new_static("none"), |revision| {
        smol_str::format_smolstr!("{revision}")
    })
}

/// One record; the log offset of an accepted change is its revision.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum Record {
    /// A change of one file.
    Change(Change),
    /// A snapshot of the state, written before the records that led to it expire.
    Checkpoint(Checkpoint),
}

/// A file written to the folder or removed from it.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Change {
    /// See [`VERSION`].
    pub version: u32,
    /// Random id chosen by the author, which makes a repeated append harmless.
    pub id: SmolStr,
    /// Author of the change.
    pub author: SmolStr,
    /// Time by the author's clock, in milliseconds since 1970; informational only.
    pub time_ms: u64,
    /// The file's name within the folder.
    pub file: SmolStr,
    /// The file's new text; `None` removes the file.
    pub text: Option<String>,
    /// The revision that the change is based on, or [`BEFORE_FIRST`]; `None` applies the
    /// change to any revision.
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
    /// [`codes::Code::Complete`] if it was accepted, else the reason for rejection.
    pub code: codes::Code,
}

/// The whole folder after all records with offsets below `position`.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Checkpoint {
    /// See [`VERSION`].
    pub version: u32,
    /// Offset of the next record to apply to this state.
    pub position: u64,
    /// Revision in force: offset of the last accepted change; `None` before the first.
    pub revision: Option<u64>,
    /// The files and their texts.
    pub files: collections::BTreeMap<SmolStr, String>,
    /// The latest changes, oldest first, to detect repeats.
    pub recent: Vec<Recent>,
    /// The process that wrote the checkpoint; informational only.
    #[serde(default)]
    pub author: SmolStr,
}
