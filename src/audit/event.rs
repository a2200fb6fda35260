//! Events of the audit trail.

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::codes;
use crate::settings;
use crate::settings::diff;
use crate::settings::reader;
use crate::settings::record;
use crate::settings::state;

/// Maximum number of changed keys or problems listed in an event; the rest are counted.
pub const MAX_LISTED: usize = 16;
/// Maximum length of a value or reason shown in an event, in bytes.
pub const MAX_SHOWN_BYTES: usize = 128;

/// Metadata of a change as given by its author; unreadable fields are empty.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ChangeInfo {
    /// Offset of the record on the log.
    pub offset: u64,
    /// Id of the change.
    pub id: SmolStr,
    /// Author of the change.
    pub author: SmolStr,
    /// Time by the author's clock, in milliseconds since 1970.
    pub time_ms: u64,
    /// Name of the changed file.
    pub file: SmolStr,
    /// Whether the file was removed.
    pub removed: bool,
}

/// One event of the audit trail.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event {
    /// A change was accepted; its revision is the record's offset.
    Accepted {
        /// The change.
        #[serde(flatten)]
        made: ChangeInfo,
        /// The changed keys, at most [`MAX_LISTED`].
        changed: Vec<diff::KeyChange>,
        /// Number of changed keys not listed.
        unlisted: usize,
    },
    /// A change was rejected.
    Rejected {
        /// The change.
        #[serde(flatten)]
        made: ChangeInfo,
        /// Result code of the first problem.
        code: codes::Code,
        /// The problems, at most [`MAX_LISTED`].
        problems: Vec<settings::Problem>,
        /// Number of problems not listed.
        unlisted: usize,
    },
    /// A change repeated an earlier one and had no effect.
    Repeated {
        /// The repeated change.
        #[serde(flatten)]
        made: ChangeInfo,
        /// The verdict on the first occurrence.
        first: record::Recent,
    },
    /// A checkpoint or a peer offered an older state, which was ignored.
    RevertAttempt {
        /// The checkpoint's author or the peer.
        offered_by: SmolStr,
        /// Offset of the checkpoint on the log; `None` if a peer offered the state.
        offset: Option<u64>,
        /// Time in milliseconds since 1970; `None` for a checkpoint on the log.
        time_ms: Option<u64>,
        /// The offered revision.
        offered: Option<u64>,
        /// The revision in force, which is unchanged.
        in_force: Option<u64>,
    },
    /// A revision came into force on a process.
    InForce {
        /// The process.
        process: SmolStr,
        /// The process's availability zone.
        zone: SmolStr,
        /// The revision.
        revision: Option<u64>,
        /// Time by the clock of the recording process, in milliseconds since 1970.
        time_ms: u64,
    },
}

impl Event {
    /// Returns the event for an applied record; most checkpoints cause none.
    pub fn from_record(applied: &reader::Applied) -> Option<Self> {
        let made = || ChangeInfo::from_entry(&applied.entry);
        match &applied.verdict {
            state::Verdict::Accepted { changed, .. } => Some(Self::accepted(made(), changed)),
            state::Verdict::Rejected { code, problems } => {
                Some(Self::rejected(made(), *code, problems))
            }
            state::Verdict::Repeated { first } => Some(Self::Repeated {
                made: made(),
                first: first.clone(),
            }),
            state::Verdict::Checkpoint {
                revision, in_force, ..
            } if revision < in_force => Some(Self::RevertAttempt {
                offered_by: made().author,
                offset: Some(applied.entry.offset),
                time_ms: None,
                offered: *revision,
                in_force: *in_force,
            }),
            state::Verdict::Checkpoint { .. }
            | state::Verdict::Ignored
            | state::Verdict::Gap { .. } => None,
        }
    }

    fn accepted(made: ChangeInfo, changed: &[diff::KeyChange]) -> Self {
        let truncated = |value: &String| truncate(value, MAX_SHOWN_BYTES);
        let listed = changed.iter().take(MAX_LISTED);
        Self::Accepted {
            made,
            changed: listed
                .map(|change| diff::KeyChange {
                    key: truncate(&change.key, MAX_SHOWN_BYTES).into(),
                    old: change.old.as_ref().map(truncated),
                    new: change.new.as_ref().map(truncated),
                })
                .collect(),
            unlisted: changed.len().saturating_sub(MAX_LISTED),
        }
    }

    fn rejected(made: ChangeInfo, code: codes::Code, problems: &[settings::Problem]) -> Self {
        let listed = problems.iter().take(MAX_LISTED);
        Self::Rejected {
            made,
            code,
            problems: listed
                .map(|problem| settings::Problem {
                    file: truncate(&problem.file, MAX_SHOWN_BYTES).into(),
                    line: problem.line,
                    key: truncate(&problem.key, MAX_SHOWN_BYTES).into(),
                    code: problem.code,
                    reason: truncate(&problem.reason, MAX_SHOWN_BYTES),
                })
                .collect(),
            unlisted: problems.len().saturating_sub(MAX_LISTED),
        }
    }
}

impl ChangeInfo {
    /// Extracts the readable fields of a record, which may have been rejected as invalid.
    fn from_entry(entry: &reader::Entry) -> Self {
        let field = |name: &str| entry.document.get(name);
        let text = |name: &str| -> SmolStr {
            let text = field(name).and_then(serde_json::Value::as_str);
            truncate(text.unwrap_or_default(), MAX_SHOWN_BYTES).into()
        };
        let is_change = field("type").is_some_and(|kind| kind == "change");
        Self {
            offset: entry.offset,
            id: text("id"),
            author: text("author"),
            time_ms: field("time_ms")
                .and_then(serde_json::Value::as_u64)
                .unwrap_or_default(),
            file: text("file"),
            removed: is_change && field("text").is_none_or(serde_json::Value::is_null),
        }
    }
}

/// Truncates a text to a length in bytes, ending in an ellipsis if anything was removed.
fn truncate(text: &str, max_bytes: usize) -> String {
    const ELLIPSIS: char = '…';
    if text.len() <= max_bytes {
        return text.to_owned();
    }
    let kept_bytes = max_bytes - ELLIPSIS.len_utf8();
    let ends = text.char_indices().map(|(at, c)| at + c.len_utf8());
    let end = ends
        .take_while(|&end| end <= kept_bytes)
        .last()
        .unwrap_or(0);
    let mut truncated_text = text[..end].to_owned();
    truncated_text.push(ELLIPSIS);
    truncated_text
}

/// Derives the audit trail from the records of the log.
///
/// If the oldest records have expired, it starts at the first checkpoint on the log from
/// which no record is missing.
pub fn replay(entries: Vec<reader::Entry>) -> Vec<Event> {
    let offsets = || entries.iter().map(|entry| entry.offset);
    let (Some(first), Some(last)) = (offsets().min(), offsets().max()) else {
        return Vec::new();
    };
    let batch = reader::Batch {
        first,
        next: last + 1,
        entries,
    };
    let mut reader = reader::Reader::new(state::State::new(), 0);
    let outcome = reader.apply_batch(0, batch);
    outcome
        .applied
        .iter()
        .filter_map(Event::from_record)
        .collect()
}
