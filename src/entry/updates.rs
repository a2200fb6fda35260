//! Heartbeats, announcements and settings: exchange with other processes and the log.

use std::sync;
use std::time;

use actix::AsyncContext as _;

use crate::clock;
use crate::entry::control;
use crate::entry::messages;
use crate::heartbeats;
use crate::streams;
use crate::wire;

impl control::Control {
    pub(super) fn settings_changed(&mut self, cx: &actix::Context<Self>) {
        let state = self.settings_replica.state();
        let settings = sync::Arc::clone(state.settings());
        let revision = state.revision();
        let now_ms = self.now_ms();
        let actions = self.core.set_settings(now_ms, settings, revision);
        self.execute(cx, actions);
        self.publish();
    }

    /// Publishes the settings to the traffic threads once they are backed by evidence.
    ///
    /// An entry that started while the log was down has only the defaults, which list
    /// neither teams nor zones that are out; calls are refused until settings arrive.
    pub(super) fn publish(&mut self) {
        if !self.core.freshness().has_evidence() {
            return;
        }
        let settings = sync::Arc::clone(self.settings_replica.state().settings());
        if let Ok(mut snapshot) = self.parts.snapshot.write() {
            *snapshot = Some(settings);
            self.is_published = true;
        }
    }

    /// Publishes the settings on the first evidence.
    ///
    /// This happens before this process reports that it has settings, so that a caller
    /// that has seen the report is not refused for the lack of them.
    pub(super) fn publish_if_unpublished(&mut self) {
        if !self.is_published {
            self.publish();
        }
    }

    pub(super) fn write_checkpoint_if_due(&mut self) {
        let (now_ms, seed) = (self.now_ms(), self.parts.me.incarnation.0);
        if let Some(checkpoint) = self.settings_replica.checkpoint_due(now_ms, seed) {
            streams::write_checkpoint(&self.parts.pool, self.parts.log.clone(), checkpoint);
        }
    }

    /// Announces this entry ahead of schedule while it has no live contact.
    ///
    /// The log may have been down at the previous announcement.
    pub(super) fn announce_if_isolated(&mut self, cx: &actix::Context<Self>) {
        let now_ms = self.now_ms();
        let dead_after_ms = self.core.settings().timeouts.dead_after_ms;
        let since_ms = now_ms.saturating_sub(dead_after_ms.into());
        if self
            .isolation_backoff
            .is_due(now_ms, self.contacts.is_isolated(since_ms))
        {
            self.announce(cx);
        }
    }

    /// Appends an announcement of this entry to the log and reads those of the others.
    pub(super) fn announce(&self, cx: &actix::Context<Self>) {
        if self.core.is_leaving() {
            return;
        }
        let done = cx.address().recipient();
        let (log, me) = (self.parts.log.clone(), self.parts.me.clone());
        streams::announce(&self.parts.pool, log, me, done);
    }

    pub(super) fn send_heartbeats(&mut self, cx: &actix::Context<Self>) {
        let now_ms = self.now_ms();
        let timeouts = self.core.settings().timeouts;
        let limit = time::Duration::from_millis(u64::from(timeouts.dead_after_ms) / 2);
        self.contacts
            .remove_silent(now_ms, u64::from(timeouts.dead_after_ms) * 20);
        let mut targets = self.contacts.targets();
        targets.extend(self.core.foreign_runners(now_ms));
        for target in targets {
            let heartbeat = wire::Heartbeat {
                entries_held: target.entries_held,
                ..self.core.heartbeat_to_send(now_ms, target.incarnation)
            };
            let done = cx.address().recipient();
            let (pool, clock) = (&self.parts.pool, self.parts.clock);
            heartbeats::send(pool, clock, target, heartbeat, limit, done);
        }
    }

    pub(super) fn schedule_heartbeats(&mut self, cx: &mut actix::Context<Self>) {
        self.send_heartbeats(cx);
        let pause_ms = self.core.settings().timeouts.heartbeat_ms;
        let pause = time::Duration::from_millis(pause_ms.into());
        cx.run_later(pause, Self::schedule_heartbeats);
    }
}

impl actix::Handler<messages::PeerHeartbeat> for control::Control {
    type Result = actix::MessageResult<messages::PeerHeartbeat>;

    fn handle(&mut self, message: messages::PeerHeartbeat, cx: &mut Self::Context) -> Self::Result {
        let now_ms = self.now_ms();
        if message.0.sender.role == wire::Role::Entry {
            self.contacts.add_peer(now_ms, &message.0.sender);
        }
        let (reply, actions) = self.core.heartbeat(now_ms, &message.0);
        self.execute(cx, actions);
        actix::MessageResult(reply)
    }
}

impl actix::Handler<heartbeats::HeartbeatDone> for control::Control {
    type Result = ();

    fn handle(&mut self, message: heartbeats::HeartbeatDone, cx: &mut Self::Context) {
        let now_ms = self.now_ms();
        let Some(mut reply) = message.reply else {
            self.contacts.record_failure(&message.address);
            return;
        };
        self.contacts.restore_entries(&message.address, &mut reply);
        self.contacts.record_reply(now_ms, &message.address, &reply);
        let is_behind = self
            .core
            .heartbeat_answered(now_ms, message.sent_at_ms, &reply);
        self.publish_if_unpublished();
        if is_behind || self.settings_replica.is_missing_records() {
            let position = self.settings_replica.state().position();
            let done = cx.address().recipient();
            let pool = &self.parts.pool;
            heartbeats::fetch_settings(pool, message.address, position, done);
        }
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
        let now_ms = self.now_ms();
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
            self.publish_if_unpublished();
            self.write_checkpoint_if_due();
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
