//! Appending claims to the log and following its stream of them.

use std::time;

use serde::Deserialize as _;
use smol_str::SmolStr;

use crate::claims;
use crate::client::log as log_service;
use crate::clock;
use crate::outgoing;
use crate::streams;

/// The stream was read.
#[derive(Debug)]
#[derive(actix::Message)]
#[rtype(result = "u64")]
pub struct ClaimsRead {
    /// What was read; absent: there was no answer.
    pub page: Option<claims::Page>,
}

/// An append ended, one way or the other.
#[derive(Clone, Copy, Debug)]
#[derive(actix::Message)]
#[rtype(result = "()")]
pub struct Appended;

/// Most records in one read.
const MAX_RECORDS: u64 = 200;
/// Longest body of a read, in bytes.
const MAX_READ_BYTES: usize = 64 << 20;
/// Pause after a read without an answer.
const PAUSE: time::Duration = time::Duration::from_millis(200);
/// How long a read waits at the log for something new.
const WAIT_MS: u64 = 1_000;
/// How much longer than that an answer may take.
const GRACE: time::Duration = time::Duration::from_secs(1);
/// Longest wait for the answer to an append.
const APPEND_LIMIT: time::Duration = time::Duration::from_millis(claims::CLAIM_TIMEOUT_MS);

/// Appends a record on a connection of its own.
pub fn append(
    pool: &outgoing::Pool,
    log: SmolStr,
    record: claims::Record,
    done: actix::Recipient<Appended>,
) {
    pool.run(move |_client| async move {
        if !streams::append(&log, claims::STREAM, &record, APPEND_LIMIT).await {
            log::warn!(event = "claims.append_unanswered"; "the claims are read back");
        }
        done.do_send(Appended);
    });
}

/// Follows the stream for as long as the process lives.
pub fn follow(
    pool: &outgoing::Pool,
    clock: clock::Clock,
    log: SmolStr,
    done: actix::Recipient<ClaimsRead>,
) {
    pool.run(move |_client| async move {
        let mut client = outgoing::client();
        let mut position = 0;
        // The first answer is not waited for: until it is there, nothing is known.
        let mut wait_ms = 0;
        loop {
            let asked_ms = clock.now_ms();
            let query = streams::Query {
                stream: claims::STREAM,
                from: position,
                max: MAX_RECORDS,
                max_bytes: MAX_READ_BYTES,
                wait_ms,
                grace: GRACE,
            };
            let page = streams::read(&client, &log, query).await;
            let page = page.map(claims::Page::from);
            let is_answered = page.is_some();
            if let Ok(next) = done.send(ClaimsRead { page }).await {
                position = next;
            } else {
                return;
            }
            wait_ms = if is_answered { WAIT_MS } else { 0 };
            if !is_answered {
                // The kept connection may be the one that is dead.
                client = outgoing::client();
                let took_ms = clock.now_ms().saturating_sub(asked_ms);
                log::debug!(event = "claims.unread", took_ms = took_ms; "no answer");
                tokio::time::sleep(PAUSE).await;
            }
        }
    });
}

impl From<log_service::Page> for claims::Page {
    fn from(batch: log_service::Page) -> Self {
        let records = batch.records.into_iter();
        Self {
            first: batch.first,
            records: records
                .map(|one| (one.offset, parse(&one.record)))
                .collect(),
        }
    }
}

/// A later version may claim in a way that is not understood here: none. What is no
/// record at all claims nothing, at any entry.
fn parse(record: &serde_json::Value) -> Option<claims::Record> {
    let version = record["version"].as_u64().unwrap_or(0);
    if version > claims::VERSION.into() {
        return None;
    }
    match claims::Record::deserialize(record) {
        Ok(record) => Some(record),
        Err(e) => {
            log::warn!(event = "claims.bad_record"; "{e}");
            Some(claims::Record::empty())
        }
    }
}
