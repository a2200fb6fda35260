//! The settings of one process, received from the log or from a peer.
//!
//! The replica also serves settings to peers and records an audit trail of the changes.

use std::collections;

use smol_str::SmolStr;

use crate::audit;
use crate::settings;
use crate::settings::reader;
use crate::settings::record;
use crate::settings::state;
use crate::wire;

/// Maximum number of recent records kept for peers; a peer that is further behind gets the
/// whole state.
///
/// At two changes a second, four times the design rate in `docs/CAPACITY.md`, this covers
/// two minutes, longer than a process stays partitioned before it is restarted.
const MAX_RECENT: usize = 256;

/// Maximum total size of the records kept for peers, in bytes; the whole state is smaller.
///
/// A reply over the message size limit would be rejected by the requester every time, and
/// the requester would never receive the newest settings.
const MAX_RECENT_BYTES: usize = 1 << 20;

/// Result of applying a log read or a peer's reply.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Update {
    /// Whether a new revision came into force.
    pub is_changed: bool,
    /// Whether the log was read to its end, which is evidence of freshness; always false
    /// for a peer's reply.
    pub is_at_end: bool,
}

/// The settings of one process and the recent records to serve to peers.
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
    /// Creates a replica without settings; the names identify the process in the trail.
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

    /// Returns the settings state.
    pub const fn state(&self) -> &state::State {
        self.reader.state()
    }

    /// Returns the offset from which to read the log next.
    pub fn read_from(&self) -> u64 {
        self.reader.read_from()
    }

    /// Returns whether records expired before they were read, so a peer must supply them.
    pub fn is_missing_records(&self) -> bool {
        self.reader.read_status() == reader::ReadStatus::MissingRecords
    }

    /// Returns one page of the audit trail.
    pub fn audit(&self, from: u64) -> audit::Page {
        self.audit.since(from)
    }

    /// Applies a batch read from the log.
    pub fn apply_log_batch(&mut self, now_ms: u64, unix_ms: u64, batch: reader::Batch) -> Update {
        let before = self.state().revision();
        let outcome = self.reader.apply_batch(now_ms, batch);
        if outcome.read_status == reader::ReadStatus::MissingRecords {
            log::warn!(event = "settings.lacking", position = self.state().position(); "records expired before they were read; fetching the settings from peers");
        }
        for applied in outcome.applied {
            self.record_applied(applied);
        }
        Update {
            is_changed: self.record_revision(before, unix_ms),
            is_at_end: outcome.read_status == reader::ReadStatus::AtEnd,
        }
    }

    /// Returns a checkpoint to append to the log, if one is due.
    ///
    /// Whether the append succeeded is determined by reading it back.
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

    /// Returns the reply to a peer that needs all records from a position on.
    pub fn reply(&self, query: &wire::SettingsQuery) -> wire::SettingsReply {
        let mut reply = wire::SettingsReply {
            version: wire::VERSION,
            records: Vec::new(),
            state: None,
        };
        if query.position >= self.state().position() {
            return reply;
        }
        if self.has_records_from(query.position) {
            let is_newer = |logged: &&wire::LoggedRecord| logged.offset >= query.position;
            reply.records = self.recent.iter().filter(is_newer).cloned().collect();
        } else {
            reply.state = Some(self.state().checkpoint(&self.process));
        }
        reply
    }

    /// Returns whether all records from a position on are kept.
    fn has_records_from(&self, position: u64) -> bool {
        let (Some(oldest), Some(newest)) = (self.recent.front(), self.recent.back()) else {
            return false;
        };
        oldest.offset <= position && newest.offset + 1 == self.state().position()
    }

    /// Applies a peer's reply.
    ///
    /// A state older than the local one has no effect, so a replaced or resumed peer cannot
    /// restore an older revision.
    pub fn apply_peer_reply(
        &mut self,
        now_ms: u64,
        unix_ms: u64,
        peer: &SmolStr,
        reply: wire::SettingsReply,
    ) -> Update {
        let before = self.state().revision();
        if let Some(checkpoint) = &reply.state {
            self.adopt_state(unix_ms, peer, checkpoint);
        }
        for logged in reply.records {
            if !self.apply_record(now_ms, logged) {
                break;
            }
        }
        Update {
            is_changed: self.record_revision(before, unix_ms),
            is_at_end: false,
        }
    }

    fn adopt_state(&mut self, unix_ms: u64, peer: &SmolStr, checkpoint: &settings::Checkpoint) {
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
            log::warn!(event = "settings.peer_refused", peer = peer.as_str(); "ignoring the state sent by the peer: {e}");
        }
    }

    /// Applies a record forwarded by a peer; returns false if the rest must be skipped.
    fn apply_record(&mut self, now_ms: u64, logged: wire::LoggedRecord) -> bool {
        let offset = logged.offset;
        let Some(text) = logged.record else {
            if offset == self.state().position() {
                self.reader.apply_forwarded(now_ms, offset, None);
                self.keep_record(wire::LoggedRecord {
                    offset,
                    record: None,
                });
            }
            return true;
        };
        let Ok(document) = serde_json::from_str(&text) else {
            log::warn!(event = "settings.peer_refused", offset = offset; "record from a peer is not valid JSON; ignoring the rest of the reply");
            return false;
        };
        if let Some(applied) = self.reader.apply_forwarded(now_ms, offset, Some(document)) {
            self.record_applied(applied);
        }
        true
    }

    /// Stores an applied record in the audit trail and for peers.
    fn record_applied(&mut self, applied: reader::Applied) {
        log_verdict(&applied);
        if let Some(event) = audit::Event::from_record(&applied) {
            self.audit.push(event);
        }
        let is_checkpoint = matches!(applied.verdict, state::Verdict::Checkpoint { .. });
        let reader::Entry { offset, document } = applied.entry;
        let record = (!is_checkpoint).then(|| document.to_string());
        self.keep_record(wire::LoggedRecord { offset, record });
    }

    fn keep_record(&mut self, record: wire::LoggedRecord) {
        // After a whole state was adopted, the older records are not contiguous with it.
        let newest = self.recent.back();
        if newest.is_some_and(|newest| newest.offset + 1 != record.offset) {
            self.recent.clear();
            self.recent_bytes = 0;
        }
        self.recent_bytes += record_bytes(&record);
        self.recent.push_back(record);
        while self.recent.len() > MAX_RECENT || self.recent_bytes > MAX_RECENT_BYTES {
            let Some(oldest) = self.recent.pop_front() else {
                break;
            };
            self.recent_bytes -= record_bytes(&oldest);
        }
    }

    /// Records in the trail that a new revision is in force; returns whether one is.
    fn record_revision(&mut self, before: Option<u64>, unix_ms: u64) -> bool {
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
        log::info!(event = "settings.in_force", revision = revision.as_str(); "new settings revision in force");
        true
    }
}

fn record_bytes(record: &wire::LoggedRecord) -> usize {
    record.record.as_ref().map_or(0, String::len)
}

fn log_verdict(applied: &reader::Applied) {
    let offset = applied.entry.offset;
    match &applied.verdict {
        state::Verdict::Accepted { .. } => {
            log::info!(event = "settings.accepted", revision = offset; "settings change accepted");
        }
        state::Verdict::Rejected { code, .. } => {
            let code = code.number();
            log::warn!(event = "settings.rejected", offset = offset, code = code; "settings change rejected");
        }
        _ => log::debug!(event = "settings.passed", offset = offset; "no effect on the settings"),
    }
}
