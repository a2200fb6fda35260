//! What stands on the log's `settings` stream, one JSON document a record.

use std::collections;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// Version of the record format.
pub const VERSION: u32 = 1;

/// The log stream on which settings are published.
pub const STREAM: &str = "settings";

/// One record; its offset on the log is the revision it makes.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum Record {
    /// A change of one file.
    Change(Change),
    /// The state after a revision, written before its records expire.
    Checkpoint(Checkpoint),
}

/// A file put into the folder or removed from it.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
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
    /// The revision that the change was based on; absent: it is made in any case.
    pub base: Option<u64>,
}

/// The whole folder after all records below `position`.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Checkpoint {
    /// See [`VERSION`].
    pub version: u32,
    /// Offset of the next record to be applied on top of this.
    pub position: u64,
    /// Revision in force: offset of the last accepted change; absent before the first.
    pub revision: Option<u64>,
    /// The files and their texts.
    pub files: collections::BTreeMap<SmolStr, String>,
    /// Ids of the latest changes, oldest first, so that repeats are told.
    pub recent: Vec<SmolStr>,
    /// Who wrote the checkpoint, for people only.
    #[serde(default)]
    pub author: SmolStr,
}
