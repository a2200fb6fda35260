//! Appends claims to the log and follows the log's stream of claims.

use std::time;

use serde::Deserialize as _;
use smol_str::SmolStr;

use crate::claims;
use crate::client::log as log_service;
use crate::clock;
use crate::outgoing;
use crate::streams;

/// Result of one read of the stream; answered with the offset of the next read.
#[derive(Debug)]
#[derive(actix::Message)]
#[rtype(result = "u64")]
pub struct ClaimsRead {
    /// The records, or `None` if the log did not answer.
    pub page: Option<claims::Page>,
}

/// An append ended, with or without an answer.
#[derive(Clone, Copy, Debug)]
#[derive(actix::Message)]
#[rtype(result = "()")]
pub struct Appended;

/// Maximum number of records in one read.
const MAX_RECORDS: u64 = 200;
/// Maximum size of the answer to a read, in bytes.
const MAX_READ_BYTES: usize = 64 << 20;
/// Pause after a read without an answer.
const RETRY_PAUSE: time::Duration = time::Duration::from_millis(200);
/// How long the log holds a read open for a new record, in milliseconds.
const LONG_POLL_MS: u64 = 1_000;
/// Additional time for the answer to a read.
const READ_GRACE: time::Duration = time::Duration::from_secs(1);
/// Timeout of an append.
const APPEND_TIMEOUT: time::Duration = time::Duration::from_millis(claims::CLAIM_TIMEOUT_MS);

/// Appends a record on a separate connection and reports the end of the append to `done`.
pub fn append(
    pool: &outgoing::Pool,
    log: SmolStr,
    record: claims::Record,
    done: actix::Recipient<Appended>,
) {
    pool.run(move |_client| async move {
        if !streams::append(&log, claims::STREAM, &record, APPEND_TIMEOUT).await {
            log::warn!(
                event = "claims.append_unanswered";
                "the log did not answer an append of claims; waiting to read them back"
            );
        }
        done.do_send(Appended);
    });
}

/// Reads the stream until the process ends and sends each read to `done`.
pub fn follow(
    pool: &outgoing::Pool,
    clock: clock::Clock,
    log: SmolStr,
    done: actix::Recipient<ClaimsRead>,
) {
    pool.run(move |_client| async move {
        let mut client = outgoing::client();
        let mut position = 0;
        // The first read does not wait for new records, since no claim is known before it.
        let mut wait_ms = 0;
        loop {
            let started_ms = clock.now_ms();
            let query = streams::Query {
                stream: claims::STREAM,
                from: position,
                max: MAX_RECORDS,
                max_bytes: MAX_READ_BYTES,
                wait_ms,
                grace: READ_GRACE,
            };
            let page = streams::read(&client, &log, query).await;
            let page = page.map(claims::Page::from);
            let is_answered = page.is_some();
            if let Ok(next) = done.send(ClaimsRead { page }).await {
                position = next;
            } else {
                return;
            }
            wait_ms = if is_answered { LONG_POLL_MS } else { 0 };
            if !is_answered {
                // The kept-alive connection itself may be broken.
                client = outgoing::client();
                let took_ms = clock.now_ms().saturating_sub(started_ms);
                log::debug!(
                    event = "claims.unread", took_ms = took_ms;
                    "the log did not answer a read of claims; retrying on a new connection"
                );
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    });
}

impl From<log_service::Page> for claims::Page {
    fn from(answer: log_service::Page) -> Self {
        let records = answer.records.into_iter();
        Self {
            first: answer.first,
            records: records
                .map(|item| (item.offset, parse(&item.record)))
                .collect(),
        }
    }
}

/// Parses a record of the stream.
///
/// Returns `None` for a record of a later version, which may hold claims that this version
/// does not understand. A malformed record holds no claims, at every entry alike.
fn parse(record: &serde_json::Value) -> Option<claims::Record> {
    let version = record["version"].as_u64().unwrap_or(0);
    if version > claims::VERSION.into() {
        return None;
    }
    match claims::Record::deserialize(record) {
        Ok(record) => Some(record),
        Err(e) => {
            log::warn!(
                event = "claims.bad_record";
                "malformed record in the stream of claims, ignored: {e}"
            );
            Some(claims::Record::empty())
        }
    }
}
