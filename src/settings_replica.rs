//! Keeps the settings of one process: takes them from the log or from a peer, passes
//! them on, and keeps the audit trail of what they went through here.

use std::collections;

use smol_str::SmolStr;

use crate::audit;
use crate::settings;
use crate::settings::reader;
use crate::settings::record;
use crate::settings::state;
use crate::wire;

/// Latest records kept to pass on as they are; older askers get the whole state.
///
/// At two changes a second (four times the rate that `docs/CAPACITY.md` designs
/// for) this is two minutes' worth, more than a process is out of touch before it
/// is restarted.
const MAX_RECENT: usize = 256;

/// Most bytes of records kept to pass on; beyond it the whole state is smaller.
///
/// A reply larger than a message may be would be refused by the asker again and
/// again, and it would never come to the newest settings.
const MAX_RECENT_BYTES: usize = 1 << 20;

/// What a read or a peer's reply changed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Update {
    /// Whether other settings are in force than before.
    pub is_changed: bool,
    /// Whether the log was read to its end, which alone is evidence of freshness; a
    /// peer's reply never says so.
    pub is_at_end: bool,
}

/// The settings of one process, with what it needs to pass them on.
#[derive(Debug)]
pub struct SettingsReplica {
    process: SmolStr,
    zone: SmolStr,
    reader: settings::Reader,
    recent: collections::VecDeque<wire::LoggedRecord>,
    recent_bytes: usize,
    audit: audit::Audit,
}

impl SettingsReplica {
    /// Knows no settings yet; the names are those of the process, for the trail.
    pub fn new(process: SmolStr, zone: SmolStr, now_ms: u64) -> Self {
        Self {
            process,
            zone,
            reader: settings::Reader::new(state::State::new(), now_ms),
            recent: collections::VecDeque::new(),
            recent_bytes: 0,
            audit: audit::Audit::default(),
        }
    }

    /// The state.
    pub const fn state(&self) -> &state::State {
        self.reader.state()
    }

    /// Offset from which to read the log next.
    pub fn read_from(&self) -> u64 {
        self.reader.read_from()
    }

    /// Whether records expired before they were read, so that only a peer can help.
    pub fn is_missing_records(&self) -> bool {
        self.reader.read_status() == reader::ReadStatus::MissingRecords
    }

    /// One page of the audit trail.
    pub fn audit(&self, from: u64) -> audit::Page {
        self.audit.since(from)
    }

    /// Takes in what was read from the log.
    pub fn apply_log_batch(&mut self, now_ms: u64, unix_ms: u64, batch: reader::Batch) -> Update {
        let before = self.state().revision();
        let taken = self.reader.apply_batch(now_ms, batch);
        if taken.read_status == reader::ReadStatus::MissingRecords {
            log::warn!(event = "settings.lacking", position = self.state().position(); "records expired unread; asking peers");
        }
        for applied in taken.applied {
            self.note(applied);
        }
        Update {
            is_changed: self.came_into_force(before, unix_ms),
            is_at_end: taken.read_status == reader::ReadStatus::AtEnd,
        }
    }

    /// The whole state as a record for the log, if it is time to write one.
    ///
    /// Whether the append took effect is learned by reading it back.
    pub fn checkpoint_due(&mut self, now_ms: u64, seed: u64) -> Option<settings::Record> {
        let checkpoint_ms = self.state().settings().timeouts.checkpoint_ms;
        let jitter_ms = seed % (reader::max_jitter_ms(checkpoint_ms.into()) + 1);
        if !self.reader.checkpoint_due(now_ms, jitter_ms) {
            return None;
        }
        self.reader.checkpoint_attempted(now_ms);
        let checkpoint = self.state().checkpoint(&self.process);
        Some(settings::Record::Checkpoint(checkpoint))
    }

    /// Answers a peer that needs everything from a position on.
    pub fn reply(&self, query: &wire::SettingsQuery) -> wire::SettingsReply {
        let mut reply = wire::SettingsReply {
            version: wire::VERSION,
            records: Vec::new(),
            state: None,
        };
        if query.position >= self.state().position() {
            return reply;
        }
        if self.reaches_back_to(query.position) {
            let is_newer = |one: &&wire::LoggedRecord| one.offset >= query.position;
            reply.records = self.recent.iter().filter(is_newer).cloned().collect();
        } else {
            reply.state = Some(self.state().checkpoint(&self.process));
        }
        reply
    }

    /// Whether every record from a position on is at hand.
    fn reaches_back_to(&self, position: u64) -> bool {
        let (Some(oldest), Some(newest)) = (self.recent.front(), self.recent.back()) else {
            return false;
        };
        oldest.offset <= position && newest.offset + 1 == self.state().position()
    }

    /// Takes in a peer's answer.
    ///
    /// An older state than ours changes nothing, so a replaced or thawed peer can't
    /// bring an older revision back.
    pub fn apply_peer_reply(
        &mut self,
        now_ms: u64,
        unix_ms: u64,
        peer: &SmolStr,
        reply: wire::SettingsReply,
    ) -> Update {
        let before = self.state().revision();
        if let Some(checkpoint) = &reply.state {
            self.take_state(unix_ms, peer, checkpoint);
        }
        for one in reply.records {
            if !self.take_record(now_ms, one) {
                break;
            }
        }
        Update {
            is_changed: self.came_into_force(before, unix_ms),
            is_at_end: false,
        }
    }

    fn take_state(&mut self, unix_ms: u64, peer: &SmolStr, checkpoint: &settings::Checkpoint) {
        let in_force = self.state().revision();
        if checkpoint.revision < in_force {
            self.audit.push(audit::Event::RevertAttempt {
                offered_by: peer.clone(),
                offset: None,
                time_ms: Some(unix_ms),
                offered: checkpoint.revision,
                in_force,
            });
        }
        if let Err(e) = self.reader.adopt(checkpoint) {
            log::warn!(event = "settings.peer_refused", peer = peer.as_str(); "{e}");
        }
    }

    /// Takes a record that a peer passed on; false: what follows can't be taken.
    fn take_record(&mut self, now_ms: u64, one: wire::LoggedRecord) -> bool {
        let offset = one.offset;
        let Some(text) = one.record else {
            if offset == self.state().position() {
                self.reader.apply_forwarded(now_ms, offset, None);
                self.remember(wire::LoggedRecord {
                    offset,
                    record: None,
                });
            }
            return true;
        };
        let Ok(document) = serde_json::from_str(&text) else {
            log::warn!(event = "settings.peer_refused", offset = offset; "not JSON");
            return false;
        };
        if let Some(applied) = self.reader.apply_forwarded(now_ms, offset, Some(document)) {
            self.note(applied);
        }
        true
    }

    /// Keeps a record that had its turn for the trail and for the peers.
    fn note(&mut self, applied: reader::Applied) {
        log_verdict(&applied);
        if let Some(event) = audit::Event::from_record(&applied) {
            self.audit.push(event);
        }
        let is_checkpoint = matches!(applied.verdict, state::Verdict::Checkpoint { .. });
        let reader::Entry { offset, document } = applied.entry;
        let record = (!is_checkpoint).then(|| document.to_string());
        self.remember(wire::LoggedRecord { offset, record });
    }

    fn remember(&mut self, record: wire::LoggedRecord) {
        // A state was taken over as a whole: the records before it don't join on.
        let newest = self.recent.back();
        if newest.is_some_and(|newest| newest.offset + 1 != record.offset) {
            self.recent.clear();
            self.recent_bytes = 0;
        }
        self.recent_bytes += bytes_of(&record);
        self.recent.push_back(record);
        while self.recent.len() > MAX_RECENT || self.recent_bytes > MAX_RECENT_BYTES {
            let Some(oldest) = self.recent.pop_front() else {
                break;
            };
            self.recent_bytes -= bytes_of(&oldest);
        }
    }

    /// Notes in the trail that another revision is in force, if so.
    fn came_into_force(&mut self, before: Option<u64>, unix_ms: u64) -> bool {
        let revision = self.state().revision();
        if revision == before {
            return false;
        }
        self.audit.push(audit::Event::InForce {
            process: self.process.clone(),
            zone: self.zone.clone(),
            revision,
            time_ms: unix_ms,
        });
        let revision = record::show_revision(revision);
        log::info!(event = "settings.in_force", revision = revision.as_str(); "in force here");
        true
    }
}

fn bytes_of(record: &wire::LoggedRecord) -> usize {
    record.record.as_ref().map_or(0, String::len)
}

fn log_verdict(applied: &reader::Applied) {
    let offset = applied.entry.offset;
    match &applied.verdict {
        state::Verdict::Accepted { .. } => {
            log::info!(event = "settings.accepted", revision = offset; "accepted");
        }
        state::Verdict::Rejected { code, .. } => {
            let code = code.number();
            log::warn!(event = "settings.rejected", offset = offset, code = code; "rejected");
        }
        _ => log::debug!(event = "settings.passed", offset = offset; "changes nothing"),
    }
}
