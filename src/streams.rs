//! Reads and appends to streams of the log, on the HTTP threads.

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

/// Maximum number of records in one read.
const MAX_READ_RECORDS: u64 = 500;
/// Maximum size of the body of a read, in bytes.
const MAX_READ_BYTES: usize = 16 << 20;
/// Pause after a failed read.
const RETRY_PAUSE: time::Duration = time::Duration::from_millis(200);
/// Time that a read waits at the log for a new record, in milliseconds.
const LONG_POLL_MS: u64 = 1_000;
/// Additional time allowed for the head of an answer, and for each part of its body.
const RESPONSE_GRACE: time::Duration = time::Duration::from_secs(2);
/// Maximum wait for the answer to an append.
const APPEND_TIMEOUT: time::Duration = time::Duration::from_secs(3);

/// Result of a read of the settings stream; the handler returns the next offset to read.
#[derive(Debug)]
#[derive(actix::Message)]
#[rtype(result = "u64")]
pub struct LogRead {
    /// Time at which the request was sent, in monotonic milliseconds.
    pub sent_at_ms: u64,
    /// The records read; `None` if there was no valid answer.
    pub batch: Option<reader::Batch>,
}

/// Result of a read of the members stream.
#[derive(Debug)]
#[derive(actix::Message)]
#[rtype(result = "()")]
pub struct MembersRead {
    /// Entries that announced themselves, to be contacted.
    pub peers: Vec<wire::Peer>,
}

/// Follows the settings stream until the process ends.
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
                max: MAX_READ_RECORDS,
                max_bytes: MAX_READ_BYTES,
                wait_ms: LONG_POLL_MS,
                grace: RESPONSE_GRACE,
            };
            let batch = read(&client, &log, query).await.map(reader::Batch::from);
            let is_answered = batch.is_some();
            if let Ok(next) = done.send(LogRead { sent_at_ms, batch }).await {
                position = next;
            } else {
                return;
            }
            if !is_answered {
                // The kept connection may be broken, so the next read uses a new one.
                client = outgoing::client();
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    });
}

/// Reads the settings stream once, without waiting for a new record.
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
            max: MAX_READ_RECORDS,
            max_bytes: MAX_READ_BYTES,
            wait_ms: 0,
            grace: RESPONSE_GRACE,
        };
        let page = read(&outgoing::client(), &log, query).await;
        let batch = page.map(reader::Batch::from);
        if done.send(LogRead { sent_at_ms, batch }).await.is_err() {
            log::debug!(event = "log.read_unwanted"; "discarding records read from the log: the process is ending");
        }
    });
}

/// Appends a checkpoint to the settings stream; its success is determined by reading it back.
pub fn write_checkpoint(pool: &outgoing::Pool, log: SmolStr, checkpoint: record::Record) {
    pool.run(move |_client| async move {
        let is_answered = append(&log, record::STREAM, &checkpoint, APPEND_TIMEOUT).await;
        log::info!(event = "settings.checkpoint", answered = is_answered; "checkpoint sent to the log");
    });
}

/// Announces an entry on the members stream, then reads the other announcements.
///
/// In this order, if two entries start at the same time, at least the one whose
/// announcement is later finds the other.
pub fn announce(
    pool: &outgoing::Pool,
    log: SmolStr,
    entry: wire::Peer,
    done: actix::Recipient<MembersRead>,
) {
    pool.run(move |_client| async move {
        let announcement = announcements::Announcement {
            version: wire::VERSION,
            peer: entry.clone(),
        };
        append(&log, announcements::STREAM, &announcement, APPEND_TIMEOUT).await;
        read_members(&log, &entry.name, &done).await;
    });
}

/// Reads the latest announcements of entries from the members stream.
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
        grace: RESPONSE_GRACE,
    };
    // The first read only determines the end of the stream.
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

/// Parameters of a read.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Query {
    /// Name of the stream.
    pub stream: &'static str,
    /// Offset of the first record to read.
    pub from: u64,
    /// Maximum number of records.
    pub max: u64,
    /// Maximum size of the body, in bytes.
    pub max_bytes: usize,
    /// Time to wait at the log for a new record, in milliseconds.
    pub wait_ms: u64,
    /// Additional time allowed for the response head, and for each part of the body.
    pub grace: time::Duration,
}

/// Reads a stream once; returns `None` if there is no answer or it cannot be parsed.
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
            log::debug!(event = "log.unread", stream = stream, from = from; "cannot read from the log: {e}");
            return None;
        }
    };
    match serde_json::from_slice(&body) {
        Ok(page) => Some(page),
        Err(e) => {
            log::warn!(event = "log.unreadable", stream = stream, from = from; "ignoring an answer of the log that cannot be parsed: {e}");
            None
        }
    }
}

/// Appends a record once; returns whether the log confirmed it.
pub(crate) async fn append<T: Serialize>(
    log: &str,
    stream: &str,
    record: &T,
    time_limit: time::Duration,
) -> bool {
    let url = format!("http://{log}/v1/streams/{stream}/records");
    let client = outgoing::client();
    let sent = client.post(url).send_json(record);
    let reply = tokio::time::timeout(time_limit, sent).await;
    matches!(reply, Ok(Ok(response)) if response.status().is_success())
}
