//! Heartbeats and settings from entries, and from the log if the entries bring no evidence.

use actix::AsyncContext as _;

use crate::clock;
use crate::heartbeats;
use crate::membership::entry_list;
use crate::runner::control;
use crate::runner::messages;
use crate::streams;
use crate::wire;

/// Minimum pause between two reads of the log. Without it every runner would read 50 times
/// a second during an outage.
const LOG_READ_PAUSE_MS: u64 = 250;

impl actix::Handler<messages::PeerHeartbeat> for control::Control {
    type Result = actix::MessageResult<messages::PeerHeartbeat>;

    fn handle(
        &mut self,
        message: messages::PeerHeartbeat,
        _cx: &mut Self::Context,
    ) -> Self::Result {
        let now_ms = self.now_ms();
        if message.0.sender.role == wire::Role::Entry {
            self.contacts.add_peer(now_ms, &message.0.sender);
        }
        let since_ms = now_ms.saturating_sub(self.timeouts().dead_after_ms.into());
        let live = self.contacts.live(since_ms).cloned().collect();
        let list =
            entry_list::EntryList::new(self.core.me().incarnation, live, message.0.entries_held);
        actix::MessageResult(wire::HeartbeatReply {
            version: wire::VERSION,
            sender: self.core.me().clone(),
            leaving: self.core.is_leaving(),
            revision: self.settings_replica.state().revision(),
            evidence: self.core.freshness().evidence(now_ms),
            entries: list.entries,
            entries_digest: list.digest,
            slots: 0,
            tickets: None,
            bad_runners: Vec::new(),
        })
    }
}

impl actix::Handler<heartbeats::HeartbeatDone> for control::Control {
    type Result = ();

    fn handle(&mut self, message: heartbeats::HeartbeatDone, cx: &mut Self::Context) {
        let Some(mut reply) = message.reply else {
            self.contacts.record_failure(&message.address);
            return;
        };
        self.contacts.restore_entries(&message.address, &mut reply);
        self.contacts
            .record_reply(self.now_ms(), &message.address, &reply);
        let is_behind = reply.revision > self.settings_replica.state().revision();
        if is_behind || self.settings_replica.is_missing_records() {
            let position = self.settings_replica.state().position();
            let done = cx.address().recipient();
            let pool = &self.parts.pool;
            heartbeats::fetch_settings(pool, message.address, position, done);
        }
        // Evidence of a later revision does not count until that revision is in force here.
        if is_behind {
            return;
        }
        let is_foreign = reply.sender.zone != self.core.me().zone;
        let evidence = reply.evidence;
        self.core
            .freshness()
            .record_peer_reply(message.sent_at_ms, is_foreign, evidence);
    }
}

impl actix::Handler<heartbeats::SettingsDone> for control::Control {
    type Result = ();

    fn handle(&mut self, message: heartbeats::SettingsDone, cx: &mut Self::Context) {
        let heartbeats::SettingsDone { address, reply } = message;
        let (now_ms, unix_ms) = (self.now_ms(), clock::unix_ms());
        let taken = self
            .settings_replica
            .apply_peer_reply(now_ms, unix_ms, &address, reply);
        if taken.is_changed {
            self.settings_changed(cx);
        }
    }
}

impl actix::Handler<streams::LogRead> for control::Control {
    type Result = u64;

    fn handle(&mut self, message: streams::LogRead, cx: &mut Self::Context) -> u64 {
        self.is_reading_log = false;
        let now_ms = self.now_ms();
        self.read_log_after_ms = now_ms + LOG_READ_PAUSE_MS;
        if let Some(batch) = message.batch {
            let taken = self
                .settings_replica
                .apply_log_batch(now_ms, clock::unix_ms(), batch);
            if taken.is_at_end {
                self.core.freshness().record_log_read(message.sent_at_ms);
            }
            if taken.is_changed {
                self.settings_changed(cx);
            }
        }
        self.settings_replica.read_from()
    }
}

impl actix::Handler<streams::MembersRead> for control::Control {
    type Result = ();

    fn handle(&mut self, message: streams::MembersRead, _cx: &mut Self::Context) {
        let now_ms = self.now_ms();
        for peer in &message.peers {
            self.contacts.add_peer(now_ms, peer);
        }
    }
}
