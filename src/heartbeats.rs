//! Sending heartbeats and fetching settings, for both roles.

use std::sync;
use std::time;

use smol_str::SmolStr;

use crate::clock;
use crate::membership::contacts;
use crate::outgoing;
use crate::receiving;
use crate::settings;
use crate::wire;

/// A heartbeat was answered, or not.
#[derive(Debug)]
#[derive(actix::Message)]
#[rtype(result = "()")]
pub struct HeartbeatDone {
    /// Where it was sent.
    pub address: SmolStr,
    /// When it was sent, monotonic milliseconds.
    pub sent_at_ms: u64,
    /// The answer.
    pub reply: Option<wire::HeartbeatReply>,
}

/// A peer answered a question for settings.
#[derive(Debug)]
#[derive(actix::Message)]
#[rtype(result = "()")]
pub struct SettingsDone {
    /// The peer's address.
    pub address: SmolStr,
    /// The answer.
    pub reply: wire::SettingsReply,
}

/// Sends a heartbeat and reports what came of it.
pub fn send(
    pool: &outgoing::Pool,
    clock: clock::Clock,
    target: contacts::Target,
    heartbeat: wire::Heartbeat,
    limit: time::Duration,
    done: actix::Recipient<HeartbeatDone>,
) {
    pool.run(move |client| async move {
        let sent_at_ms = clock.now_ms();
        let address = target.address;
        let path = wire::HEARTBEAT_PATH;
        let reply = if target.needs_new_connection {
            outgoing::post_on_new_connection(&address, path, &heartbeat, limit).await
        } else {
            outgoing::post(&client, &address, path, &heartbeat, limit).await
        };
        if let Err(e) = &reply {
            log::debug!(event = "heartbeat.failed", to = address.as_str(); "{e}");
        }
        done.do_send(HeartbeatDone {
            address,
            sent_at_ms,
            reply: reply.ok(),
        });
    });
}

/// How long settings from a peer are waited for; they grow with what operators configure.
const FETCH_LIMITS: receiving::Limits = receiving::Limits {
    head: time::Duration::from_secs(1),
    gap: time::Duration::from_secs(1),
    bytes: outgoing::MAX_MESSAGE_BYTES,
};

/// Asks a peer for everything from a position of the settings stream on.
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
            Err(e) => log::debug!(event = "settings.fetch_failed", to = address.as_str(); "{e}"),
        }
    });
}

/// The settings as the traffic threads see them: a copy of what is in force, none
/// before there are any.
pub type SettingsSnapshot = sync::Arc<sync::RwLock<Option<sync::Arc<settings::Settings>>>>;
