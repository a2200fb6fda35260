//! Sends heartbeats to entries and fetches settings from peers, for both roles.

use std::sync;
use std::time;

use smol_str::SmolStr;

use crate::clock;
use crate::membership::contacts;
use crate::outgoing;
use crate::receiving;
use crate::settings;
use crate::wire;

/// Result of sending a heartbeat.
#[derive(Debug)]
#[derive(actix::Message)]
#[rtype(result = "()")]
pub struct HeartbeatDone {
    /// Address to which it was sent.
    pub address: SmolStr,
    /// Time of sending, in monotonic milliseconds.
    pub sent_at_ms: u64,
    /// The reply; `None` if there was none.
    pub reply: Option<wire::HeartbeatReply>,
}

/// Result of fetching settings from a peer.
#[derive(Debug)]
#[derive(actix::Message)]
#[rtype(result = "()")]
pub struct SettingsDone {
    /// Address of the peer.
    pub address: SmolStr,
    /// The reply.
    pub reply: wire::SettingsReply,
}

/// Sends a heartbeat and reports the result to `done`.
pub fn send(
    pool: &outgoing::Pool,
    clock: clock::Clock,
    target: contacts::Target,
    heartbeat: wire::Heartbeat,
    timeout: time::Duration,
    done: actix::Recipient<HeartbeatDone>,
) {
    pool.run(move |client| async move {
        let sent_at_ms = clock.now_ms();
        let address = target.address;
        let path = wire::HEARTBEAT_PATH;
        let reply = if target.needs_new_connection {
            outgoing::post_on_new_connection(&address, path, &heartbeat, timeout).await
        } else {
            outgoing::post(&client, &address, path, &heartbeat, timeout).await
        };
        if let Err(e) = &reply {
            log::debug!(event = "heartbeat.failed", to = address.as_str(); "heartbeat got no reply: {e}");
        }
        done.do_send(HeartbeatDone {
            address,
            sent_at_ms,
            reply: reply.ok(),
        });
    });
}

/// Limits on receiving settings from a peer, whose size grows with the configuration.
const FETCH_LIMITS: receiving::Limits = receiving::Limits {
    head: time::Duration::from_secs(1),
    gap: time::Duration::from_secs(1),
    bytes: outgoing::MAX_MESSAGE_BYTES,
};

/// Fetches the settings stream from a position on, or the whole state, from a peer.
pub fn fetch_settings(
    pool: &outgoing::Pool,
    address: SmolStr,
    position: u64,
    done: actix::Recipient<SettingsDone>,
) {
    pool.run(move |_client| async move {
        let query = wire::SettingsQuery {
            version: wire::VERSION,
            position,
        };
        let path = wire::SETTINGS_PATH;
        match outgoing::post_and_fetch(&address, path, &query, FETCH_LIMITS).await {
            Ok(reply) => done.do_send(SettingsDone { address, reply }),
            Err(e) => log::debug!(event = "settings.fetch_failed", to = address.as_str(); "cannot fetch settings from the peer: {e}"),
        }
    });
}

/// The settings in force, shared with the HTTP threads; `None` until some are received.
pub type SettingsSnapshot = sync::Arc<sync::RwLock<Option<sync::Arc<settings::Settings>>>>;
