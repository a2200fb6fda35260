//! Sending heartbeats and fetching settings, for both roles.

use std::sync;
use std::time;

use smol_str::SmolStr;

use crate::clock;
use crate::keeper;
use crate::membership::contacts;
use crate::outgoing;
use crate::settings::record;
use crate::wire;

/// A heartbeat was answered, or not.
#[derive(Debug)]
#[derive(actix::Message)]
#[rtype(result = "()")]
pub struct HeartbeatDone {
    /// Where it was sent.
    pub address: SmolStr,
    /// When it was sent, monotonic milliseconds.
    pub asked_ms: u64,
    /// The answer.
    pub reply: Option<wire::HeartbeatReply>,
}

/// A peer answered a question for settings.
#[derive(Debug)]
#[derive(actix::Message)]
#[rtype(result = "()")]
pub struct SettingsDone {
    /// The answer.
    pub reply: wire::SettingsReply,
}

/// The log's settings stream was read.
#[derive(Debug)]
#[derive(actix::Message)]
#[rtype(result = "u64")]
pub struct LogRead {
    /// When the question was sent, monotonic milliseconds.
    pub asked_ms: u64,
    /// What was read; absent: there was no answer.
    pub batch: Option<keeper::Batch>,
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
        let asked_ms = clock.now_ms();
        let address = target.address;
        let path = wire::HEARTBEAT_PATH;
        let reply = if target.is_afresh {
            outgoing::post_afresh(&address, path, &heartbeat, limit).await
        } else {
            outgoing::post(&client, &address, path, &heartbeat, limit).await
        };
        if let Err(e) = &reply {
            log::debug!(event = "heartbeat.failed", to = address.as_str(); "{e}");
        }
        done.do_send(HeartbeatDone {
            address,
            asked_ms,
            reply: reply.ok(),
        });
    });
}

/// Asks a peer for everything from a position of the settings stream on.
pub fn fetch_settings(
    pool: &outgoing::Pool,
    address: SmolStr,
    position: u64,
    limit: time::Duration,
    done: actix::Recipient<SettingsDone>,
) {
    pool.run(move |_client| async move {
        let query = wire::SettingsQuery {
            version: wire::VERSION,
            position,
        };
        match outgoing::post_afresh(&address, wire::SETTINGS_PATH, &query, limit).await {
            Ok(reply) => done.do_send(SettingsDone { reply }),
            Err(e) => log::debug!(event = "settings.fetch_failed", to = address.as_str(); "{e}"),
        }
    });
}

/// Most records in one read.
const MAX_RECORDS: u32 = 500;
/// Longest body of a read, in bytes.
const MAX_READ_BYTES: usize = 16 << 20;
/// Pause after a read without an answer.
const PAUSE: time::Duration = time::Duration::from_millis(200);
/// How long a read waits at the log for something new.
const WAIT_MS: u64 = 1_000;
/// How much longer than that an answer may take.
const GRACE: time::Duration = time::Duration::from_secs(2);

/// Follows the log's settings stream for as long as the process lives.
pub fn follow(
    pool: &outgoing::Pool,
    clock: clock::Clock,
    log: SmolStr,
    done: actix::Recipient<LogRead>,
) {
    pool.run(move |_client| async move {
        let mut client = outgoing::client();
        let mut position = 0;
        loop {
            let asked_ms = clock.now_ms();
            let batch = read_log(&client, &log, position, WAIT_MS).await;
            let is_answered = batch.is_some();
            if let Ok(next) = done.send(LogRead { asked_ms, batch }).await {
                position = next;
            } else {
                return;
            }
            if !is_answered {
                // The kept connection may be the one that is dead.
                client = outgoing::client();
                tokio::time::sleep(PAUSE).await;
            }
        }
    });
}

/// Reads the log's settings stream once, without waiting for something new.
pub fn read_once(
    pool: &outgoing::Pool,
    clock: clock::Clock,
    log: SmolStr,
    position: u64,
    done: actix::Recipient<LogRead>,
) {
    pool.run(move |_client| async move {
        let asked_ms = clock.now_ms();
        let batch = read_log(&outgoing::client(), &log, position, 0).await;
        if done.send(LogRead { asked_ms, batch }).await.is_err() {
            log::debug!(event = "log.read_unwanted"; "the process is ending");
        }
    });
}

async fn read_log(
    client: &awc::Client,
    log: &str,
    position: u64,
    wait_ms: u64,
) -> Option<keeper::Batch> {
    let stream = record::STREAM;
    let url = format!(
        "http://{log}/v1/streams/{stream}/records?from={position}&max={MAX_RECORDS}&wait_ms={wait_ms}"
    );
    let limit = time::Duration::from_millis(wait_ms) + GRACE;
    let exchange = async {
        let mut response = client.get(url).send().await.ok()?;
        if !response.status().is_success() {
            return None;
        }
        response
            .json::<keeper::Batch>()
            .limit(MAX_READ_BYTES)
            .await
            .ok()
    };
    tokio::time::timeout(limit, exchange).await.ok().flatten()
}

/// The settings as the traffic threads see them: a copy of what is in force.
pub type Snapshot = sync::Arc<sync::RwLock<sync::Arc<crate::settings::Settings>>>;
