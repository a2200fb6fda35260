//! What stands in the audit trail.

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::codes;
use crate::settings;
use crate::settings::diff;
use crate::settings::reader;
use crate::settings::record;
use crate::settings::state;

/// Most changed keys or problems listed in an event; the rest are counted.
pub const MAX_LISTED: usize = 16;
/// Longest value or reason shown in an event, in bytes.
pub const MAX_SHOWN_BYTES: usize = 128;

/// What the author said of a change, as far as it can be read.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ChangeInfo {
    /// Offset of the record.
    pub offset: u64,
    /// Id of the change.
    pub id: SmolStr,
    /// Who made it.
    pub author: SmolStr,
    /// When, by the author's clock, milliseconds since 1970.
    pub time_ms: u64,
    /// The file.
    pub file: SmolStr,
    /// Whether the file was removed.
    pub removed: bool,
}

/// One event.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event {
    /// A change was accepted; the revision is the record's offset.
    Accepted {
        /// The change.
        #[serde(flatten)]
        made: ChangeInfo,
        /// The keys that changed, at most [`MAX_LISTED`].
        changed: Vec<diff::KeyChange>,
        /// How many more changed.
        unlisted: usize,
    },
    /// A change was rejected.
    Rejected {
        /// The change.
        #[serde(flatten)]
        made: ChangeInfo,
        /// The first problem's class.
        code: codes::Code,
        /// The problems, at most [`MAX_LISTED`].
        problems: Vec<settings::Problem>,
        /// How many more there are.
        unlisted: usize,
    },
    /// A change had been made already.
    Repeated {
        /// The repeat.
        #[serde(flatten)]
        made: ChangeInfo,
        /// The verdict on the first.
        first: record::Recent,
    },
    /// An older state was offered, by a checkpoint or a peer, and passed by.
    RevertAttempt {
        /// Who offered it.
        offered_by: SmolStr,
        /// Offset of the checkpoint on the log; absent: a peer offered it.
        offset: Option<u64>,
        /// When, milliseconds since 1970; absent: at the record's time.
        time_ms: Option<u64>,
        /// The revision offered.
        offered: Option<u64>,
        /// The revision in force, which stayed.
        in_force: Option<u64>,
    },
    /// A revision came into force at a process.
    InForce {
        /// The process.
        process: SmolStr,
        /// Its availability zone.
        zone: SmolStr,
        /// The revision.
        revision: Option<u64>,
        /// When, by the clock of the process that noted it, milliseconds since 1970.
        time_ms: u64,
    },
}

impl Event {
    /// The event of a record that had its turn; most checkpoints make none.
    pub fn of_record(applied: &reader::Applied) -> Option<Self> {
        let made = || ChangeInfo::of(&applied.entry);
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
        let shown = |value: &String| clip(value, MAX_SHOWN_BYTES);
        let listed = changed.iter().take(MAX_LISTED);
        Self::Accepted {
            made,
            changed: listed
                .map(|change| diff::KeyChange {
                    key: clip(&change.key, MAX_SHOWN_BYTES).into(),
                    old: change.old.as_ref().map(shown),
                    new: change.new.as_ref().map(shown),
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
                    file: clip(&problem.file, MAX_SHOWN_BYTES).into(),
                    line: problem.line,
                    key: clip(&problem.key, MAX_SHOWN_BYTES).into(),
                    code: problem.code,
                    reason: clip(&problem.reason, MAX_SHOWN_BYTES),
                })
                .collect(),
            unlisted: problems.len().saturating_sub(MAX_LISTED),
        }
    }
}

impl ChangeInfo {
    /// Reads what can be read of a record, also of one that was rejected as unreadable.
    fn of(entry: &reader::Entry) -> Self {
        let field = |name: &str| entry.document.get(name);
        let text = |name: &str| -> SmolStr {
            let text = field(name).and_then(serde_json::Value::as_str);
            clip(text.unwrap_or_default(), MAX_SHOWN_BYTES).into()
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

/// Cuts a text to a length in bytes, marked with an ellipsis.
fn clip(text: &str, most: usize) -> String {
    const ELLIPSIS: char = '…';
    if text.len() <= most {
        return text.to_owned();
    }
    let room = most - ELLIPSIS.len_utf8();
    let ends = text.char_indices().map(|(at, c)| at + c.len_utf8());
    let end = ends.take_while(|&end| end <= room).last().unwrap_or(0);
    let mut clipped = text[..end].to_owned();
    clipped.push(ELLIPSIS);
    clipped
}

/// Derives the trail from the records of the log, by their own checkpoint where the
/// first of them have expired.
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
    let taken = reader.apply_batch(0, batch);
    taken.applied.iter().filter_map(Event::of_record).collect()
}
