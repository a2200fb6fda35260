//! Reading and appending the log's streams, from the traffic threads.

use std::time;

use serde::Serialize;
use smol_str::SmolStr;

use crate::client::log as log_service;
use crate::clock;
use crate::membership::announcements;
use crate::outgoing;
use crate::receiving;
use crate::settings::reader;
use crate::settings::record;
use crate::wire;

/// Most records in one read.
const MAX_RECORDS: u64 = 500;
/// Longest body of a read, in bytes.
const MAX_READ_BYTES: usize = 16 << 20;
/// Pause after a read without an answer.
const PAUSE: time::Duration = time::Duration::from_millis(200);
/// How long a read waits at the log for something new.
const WAIT_MS: u64 = 1_000;
/// How much longer than that an answer's beginning may take, and each next part of it.
const GRACE: time::Duration = time::Duration::from_secs(2);
/// Longest wait for the answer to an append.
const APPEND_TIMEOUT: time::Duration = time::Duration::from_secs(3);

/// The log's settings stream was read.
#[derive(Debug)]
#[derive(actix::Message)]
#[rtype(result = "u64")]
pub struct LogRead {
    /// When the question was sent, monotonic milliseconds.
    pub sent_at_ms: u64,
    /// What was read; absent: there was no answer.
    pub batch: Option<reader::Batch>,
}

/// The log's members stream was read.
#[derive(Debug)]
#[derive(actix::Message)]
#[rtype(result = "()")]
pub struct MembersRead {
    /// The entries to try.
    pub peers: Vec<wire::Peer>,
}

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
            let sent_at_ms = clock.now_ms();
            let query = Query {
                stream: record::STREAM,
                from: position,
                max: MAX_RECORDS,
                max_bytes: MAX_READ_BYTES,
                wait_ms: WAIT_MS,
                grace: GRACE,
            };
            let batch = read(&client, &log, query).await.map(reader::Batch::from);
            let is_answered = batch.is_some();
            if let Ok(next) = done.send(LogRead { sent_at_ms, batch }).await {
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
        let sent_at_ms = clock.now_ms();
        let query = Query {
            stream: record::STREAM,
            from: position,
            max: MAX_RECORDS,
            max_bytes: MAX_READ_BYTES,
            wait_ms: 0,
            grace: GRACE,
        };
        let page = read(&outgoing::client(), &log, query).await;
        let batch = page.map(reader::Batch::from);
        if done.send(LogRead { sent_at_ms, batch }).await.is_err() {
            log::debug!(event = "log.read_unwanted"; "the process is ending");
        }
    });
}

/// Appends a checkpoint to the settings stream; what came of it is learned by reading.
pub fn write_checkpoint(pool: &outgoing::Pool, log: SmolStr, checkpoint: record::Record) {
    pool.run(move |_client| async move {
        let is_answered = append(&log, record::STREAM, &checkpoint, APPEND_TIMEOUT).await;
        log::info!(event = "settings.checkpoint", answered = is_answered; "checkpoint written");
    });
}

/// Announces an entry, then reads who else did.
///
/// In this order, so that of two entries that start at the same moment at least the
/// one whose announcement is the later finds the other.
pub fn announce(
    pool: &outgoing::Pool,
    log: SmolStr,
    me: wire::Peer,
    done: actix::Recipient<MembersRead>,
) {
    pool.run(move |_client| async move {
        let announcement = announcements::Announcement {
            version: wire::VERSION,
            peer: me.clone(),
        };
        append(&log, announcements::STREAM, &announcement, APPEND_TIMEOUT).await;
        read_members(&log, &me.name, &done).await;
    });
}

/// Reads which entries announced themselves last.
pub fn find_entries(
    pool: &outgoing::Pool,
    log: SmolStr,
    own: SmolStr,
    done: actix::Recipient<MembersRead>,
) {
    pool.run(move |_client| async move { read_members(&log, &own, &done).await });
}

async fn read_members(log: &str, own: &SmolStr, done: &actix::Recipient<MembersRead>) {
    let client = outgoing::client();
    let query = |from, max| Query {
        stream: announcements::STREAM,
        from,
        max,
        max_bytes: MAX_READ_BYTES,
        wait_ms: 0,
        grace: GRACE,
    };
    // The first read is for the stream's end only.
    let Some(page) = read(&client, log, query(0, 1)).await else {
        return;
    };
    let from = page.next.saturating_sub(announcements::MAX_READ);
    let Some(page) = read(&client, log, query(from, announcements::MAX_READ)).await else {
        return;
    };
    let records = page.records.into_iter();
    let announcements: Vec<announcements::Announcement> = records
        .filter_map(|item| serde_json::from_value(item.record).ok())
        .collect();
    let peers = announcements::latest_entries(&announcements, own);
    done.do_send(MembersRead { peers });
}

/// What to read.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Query {
    /// The stream.
    pub stream: &'static str,
    /// The offset to begin at.
    pub from: u64,
    /// Most records.
    pub max: u64,
    /// Largest body, in bytes.
    pub max_bytes: usize,
    /// How long to wait at the log for something new, in milliseconds.
    pub wait_ms: u64,
    /// How much longer than that the answer's beginning may take, and each next part.
    pub grace: time::Duration,
}

/// Reads a stream once; none: there was no answer, or none that can be read.
pub(crate) async fn read(
    client: &awc::Client,
    log: &str,
    query: Query,
) -> Option<log_service::Page> {
    let Query {
        stream,
        from,
        max,
        max_bytes,
        wait_ms,
        grace,
    } = query;
    let url =
        format!("http://{log}/v1/streams/{stream}/records?from={from}&max={max}&wait_ms={wait_ms}");
    let limits = receiving::Limits {
        head: time::Duration::from_millis(wait_ms) + grace,
        gap: grace,
        bytes: max_bytes,
    };
    let body = match receiving::receive(client.get(url).send(), limits).await {
        Ok(body) => body,
        Err(e) => {
            log::debug!(event = "log.unread", stream = stream, from = from; "{e}");
            return None;
        }
    };
    match serde_json::from_slice(&body) {
        Ok(page) => Some(page),
        Err(e) => {
            log::warn!(event = "log.unreadable", stream = stream, from = from; "{e}");
            None
        }
    }
}

/// Appends once; whether there was an answer that says so.
pub(crate) async fn append<T: Serialize>(
    log: &str,
    stream: &str,
    record: &T,
    limit: time::Duration,
) -> bool {
    let url = format!("http://{log}/v1/streams/{stream}/records");
    let client = outgoing::client();
    let sent = client.post(url).send_json(record);
    let answered = tokio::time::timeout(limit, sent).await;
    matches!(answered, Ok(Ok(response)) if response.status().is_success())
}
