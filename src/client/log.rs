//! Calls to the platform's log service; `docs/LOG-SERVICE.md` is its page.

use std::time;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use smol_str::format_smolstr;

use crate::client;
use crate::client::http;
use crate::settings::reader;

/// Longest time for one append; several synced writes fit into it.
const APPEND_TIMEOUT: time::Duration = time::Duration::from_secs(3);

/// How long a read may take beyond the wait that was asked for.
const READ_MARGIN: time::Duration = time::Duration::from_secs(3);

/// Most records that one read asks for.
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
    /// Its offset.
    pub offset: u64,
    /// Its JSON document.
    pub record: serde_json::Value,
}

/// What one read gives.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize)]
pub struct Page {
    /// Oldest offset still kept.
    pub first: u64,
    /// Offset that the next append will get.
    pub next: u64,
    /// Records at or after the offset asked for, in order.
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

/// One stream of the log.
#[derive(Clone, Debug)]
pub struct Log {
    http: http::Http,
    address: SmolStr,
    stream: &'static str,
}

impl Log {
    /// Speaks to the log service at `address` about one stream.
    pub fn new(http: http::Http, address: &SmolStr, stream: &'static str) -> Self {
        Self {
            http,
            address: address.clone(),
            stream,
        }
    }

    /// Appends once and gives the offset; a failure may have taken effect all the same.
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

    /// Where the log service is.
    pub const fn address(&self) -> &SmolStr {
        &self.address
    }

    /// Says that the stream is not what was expected.
    pub fn bad(&self, why: &str) -> client::ClientError {
        client::ClientError::BadAnswer(self.address.clone(), 200, SmolStr::new(why))
    }

    async fn call(&self, call: http::Call<'_>) -> Result<http::Reply, client::ClientError> {
        let down = |why| client::ClientError::LogDown(self.address.clone(), why);
        let reply = self
            .http
            .call(call)
            .await
            .map_err(|err| down(format_smolstr!("{err}")))?;
        if reply.is_ok() {
            return Ok(reply);
        }
        // A refusal stays one however often it is repeated; an outage does not.
        if (400..500).contains(&reply.status) {
            return Err(reply.bad("refused by the log service"));
        }
        Err(down(format_smolstr!("HTTP {}", reply.status)))
    }
}
