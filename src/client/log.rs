//! Client of the platform's log service, which `docs/LOG-SERVICE.md` describes.

use std::time;

use serde::Deserialize;
use serde::Serialize;
use serde::de;
use serde_json::value;
use smol_str::SmolStr;
use smol_str::format_smolstr;

use crate::client;
use crate::client::http;
use crate::settings::reader;

/// Timeout of one append; long enough for several synced writes.
const APPEND_TIMEOUT: time::Duration = time::Duration::from_secs(3);

/// Time that a read may take beyond the requested wait.
const READ_MARGIN: time::Duration = time::Duration::from_secs(3);

/// Maximum number of records in one read.
const PAGE_RECORDS: u32 = 500;

/// Answer to an append.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize)]
struct Appended {
    offset: u64,
}

/// One record of a stream.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize)]
pub struct Item {
    /// Offset of the record.
    pub offset: u64,
    /// JSON document; null if it can't be decoded.
    #[serde(deserialize_with = "decode_record")]
    pub record: serde_json::Value,
}

/// Decodes a record by itself: one of another writer that is nested too deep, or has a number too
/// large, must not make the whole page unreadable.
fn decode_record<'de, D>(deserializer: D) -> Result<serde_json::Value, D::Error>
where
    D: de::Deserializer<'de>,
{
    let record = Box::<value::RawValue>::deserialize(deserializer)?;
    Ok(serde_json::from_str(record.get()).unwrap_or_else(|e| {
        log::warn!(event = "log.unreadable_record", bytes = record.get().len(); "reading a record that can't be decoded as null: {e}");
        serde_json::Value::Null
    }))
}

/// Answer to a read.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize)]
pub struct Page {
    /// Oldest offset that the log still keeps.
    pub first: u64,
    /// Offset of the next append.
    pub next: u64,
    /// Records at or after the requested offset, in order.
    pub records: Vec<Item>,
}

impl From<Page> for reader::Batch {
    fn from(page: Page) -> Self {
        let entry = |item: Item| reader::Entry {
            offset: item.offset,
            document: item.record,
        };
        Self {
            first: page.first,
            next: page.next,
            entries: page.records.into_iter().map(entry).collect(),
        }
    }
}

/// Client of one stream of the log.
#[derive(Clone, Debug)]
pub struct Log {
    http: http::Http,
    address: SmolStr,
    stream: &'static str,
}

impl Log {
    /// Creates a client of `stream` at the log service at `address`.
    pub fn new(http: http::Http, address: &SmolStr, stream: &'static str) -> Self {
        Self {
            http,
            address: address.clone(),
            stream,
        }
    }

    /// Appends a record once and returns its offset; a failed append may have taken effect.
    pub async fn append<T: Serialize>(&self, record: &T) -> Result<u64, client::ClientError> {
        let path = format!("/v1/streams/{}/records", self.stream);
        let body = http::Body::json(record);
        let reply = self
            .call(http::Call::post(&self.address, &path, body, APPEND_TIMEOUT))
            .await?;
        let appended: Appended = reply.json()?;
        Ok(appended.offset)
    }

    /// Reads a page, waiting up to `wait` for a record at or after `from`.
    pub async fn read(&self, from: u64, wait: time::Duration) -> Result<Page, client::ClientError> {
        let path = format!(
            "/v1/streams/{}/records?from={from}&max={PAGE_RECORDS}&wait_ms={}",
            self.stream,
            wait.as_millis()
        );
        let reply = self
            .call(http::Call::get(&self.address, &path, wait + READ_MARGIN))
            .await?;
        reply.json()
    }

    /// Returns the address of the log service.
    pub const fn address(&self) -> &SmolStr {
        &self.address
    }

    /// Returns the error for an unexpected state of the stream.
    pub fn bad_answer(&self, reason: &str) -> client::ClientError {
        client::ClientError::BadAnswer(self.address.clone(), 200, SmolStr::new(reason))
    }

    async fn call(&self, call: http::Call<'_>) -> Result<http::Reply, client::ClientError> {
        let down = |reason| client::ClientError::LogDown(self.address.clone(), reason);
        let reply = self
            .http
            .call(call)
            .await
            .map_err(|err| down(format_smolstr!("{err}")))?;
        if reply.is_ok() {
            return Ok(reply);
        }
        // A repeated call is refused again, whereas an outage may end.
        if (400..500).contains(&reply.status) {
            return Err(reply.bad_answer("refused by the log service"));
        }
        Err(down(format_smolstr!("HTTP {}", reply.status)))
    }
}
