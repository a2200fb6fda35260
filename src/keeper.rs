//! Keeps the settings of one process: takes them from the log or from a peer, and
//! passes them on.

use std::collections;

use serde::Deserialize;
use serde::Serialize;

use crate::settings;
use crate::settings::state;
use crate::wire;

/// Latest records kept to pass on as they are; older askers get the whole state.
///
/// At two changes a second (four times the rate that `docs/CAPACITY.md` designs
/// for) this is two minutes' worth, more than a process is out of touch before it
/// is restarted.
const MAX_RECENT: usize = 256;

/// One read of the log's settings stream, as the log service answers it.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
pub struct Batch {
    /// Oldest offset still kept.
    pub first: u64,
    /// Offset of the next append.
    pub next: u64,
    /// The records, in order.
    pub records: Vec<BatchRecord>,
}

/// One record of a [`Batch`].
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub struct BatchRecord {
    /// Its offset.
    pub offset: u64,
    /// The document.
    pub record: serde_json::Value,
}

/// What a read or a peer's reply changed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Taken {
    /// Whether other settings are in force than before.
    pub is_changed: bool,
    /// Whether everything was applied that the source had.
    pub is_at_end: bool,
}

/// The settings of one process, with what it needs to pass them on.
#[derive(Debug, Default)]
pub struct Keeper {
    state: state::State,
    recent: collections::VecDeque<wire::LoggedRecord>,
}

impl Keeper {
    /// The state.
    pub const fn state(&self) -> &state::State {
        &self.state
    }

    /// Takes in what was read from the log.
    pub fn take_batch(&mut self, batch: &Batch) -> Taken {
        let before = self.state.revision();
        if batch.first > self.state.position() {
            self.adopt_from(batch);
        }
        for one in &batch.records {
            self.take_record(one);
        }
        Taken {
            is_changed: self.state.revision() != before,
            is_at_end: self.state.position() >= batch.next,
        }
    }

    /// Records before `first` have expired: only a checkpoint that reaches over
    /// the gap may be built upon.
    fn adopt_from(&mut self, batch: &Batch) {
        for one in &batch.records {
            let Ok(settings::Record::Checkpoint(checkpoint)) =
                settings::Record::deserialize(&one.record)
            else {
                continue;
            };
            if checkpoint.position < batch.first {
                continue;
            }
            match self.state.adopt(&checkpoint) {
                Ok(true) => self.recent.clear(),
                Ok(false) => {}
                Err(e) => log::warn!(event = "settings.checkpoint_refused"; "{e}"),
            }
        }
    }

    fn take_record(&mut self, one: &BatchRecord) {
        match self.state.apply_json(one.offset, &one.record) {
            state::Verdict::Ignored | state::Verdict::Gap { .. } => return,
            state::Verdict::Accepted { revision, .. } => {
                log::info!(event = "settings.accepted", revision = revision; "in force");
            }
            state::Verdict::Rejected { code, .. } => {
                let code = code.number();
                log::warn!(event = "settings.rejected", offset = one.offset, code = code; "rejected");
            }
            state::Verdict::Repeated { .. } | state::Verdict::Checkpoint { .. } => {}
        }
        self.recent.push_back(wire::LoggedRecord {
            offset: one.offset,
            record: one.record.to_string(),
        });
        if self.recent.len() > MAX_RECENT {
            self.recent.pop_front();
        }
    }

    /// Answers a peer that needs everything from a position on.
    pub fn reply(&self, query: &wire::SettingsQuery) -> wire::SettingsReply {
        let oldest = self.recent.front().map_or(u64::MAX, |one| one.offset);
        let mut reply = wire::SettingsReply {
            version: wire::VERSION,
            records: Vec::new(),
            state: None,
        };
        if query.position >= self.state.position() {
            return reply;
        }
        if oldest <= query.position {
            let newer = self
                .recent
                .iter()
                .filter(|one| one.offset >= query.position);
            reply.records = newer.cloned().collect();
        } else {
            reply.state = Some(self.state.checkpoint(""));
        }
        reply
    }

    /// Takes in a peer's answer.
    ///
    /// An older state than ours changes nothing, so a replaced or thawed peer can't
    /// bring an older revision back.
    pub fn take_reply(&mut self, reply: &wire::SettingsReply) -> Taken {
        let before = self.state.revision();
        if let Some(checkpoint) = &reply.state {
            match self.state.adopt(checkpoint) {
                Ok(true) => self.recent.clear(),
                Ok(false) => {}
                Err(e) => log::warn!(event = "settings.peer_refused"; "{e}"),
            }
        }
        for one in &reply.records {
            if let Ok(record) = serde_json::from_str(&one.record) {
                self.take_record(&BatchRecord {
                    offset: one.offset,
                    record,
                });
            }
        }
        Taken {
            is_changed: self.state.revision() != before,
            is_at_end: true,
        }
    }
}
