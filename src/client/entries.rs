//! Client of the entries' API for callers.

use std::time;

use awc::http as awc_http;
use smol_str::SmolStr;

use crate::api;
use crate::client;
use crate::client::http;
use crate::ids;

/// Time that an answer may take beyond the requested wait.
///
/// Longer than any pause of a healthy entry, and short enough that a dead connection
/// is detected within a small part of a caller's deadline.
const ANSWER_MARGIN: time::Duration = time::Duration::from_secs(2);

/// Timeout of a call for tickets; tickets that arrive later are not used.
///
/// Short, since nothing is submitted before a ticket arrives and any other entry can
/// issue one.
const TICKET_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Timeout of a call that the entry answers without waiting.
const SHORT_CALL_TIMEOUT: time::Duration = time::Duration::from_secs(3);

/// Endpoint that a submission is posted to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Endpoint {
    /// Takes a job of one or more tasks.
    Job,
    /// Takes a single request, which has exactly one task.
    Request,
}

impl Endpoint {
    const fn path(self) -> &'static str {
        match self {
            Self::Job => "/v1/jobs",
            Self::Request => "/v1/requests",
        }
    }
}

/// Client of one or more entries.
#[derive(Clone, Debug)]
pub struct Entries {
    http: http::Http,
    addresses: Vec<SmolStr>,
    token: SmolStr,
}

impl Entries {
    /// Creates a client that calls `addresses`, of which there is at least one, with `token`.
    pub fn new(http: http::Http, addresses: &[SmolStr], token: &SmolStr) -> Self {
        Self {
            http,
            addresses: addresses.to_vec(),
            token: token.clone(),
        }
    }

    /// Number of entries.
    pub const fn len(&self) -> usize {
        self.addresses.len()
    }

    /// Whether there are no entries.
    pub const fn is_empty(&self) -> bool {
        self.addresses.is_empty()
    }

    /// Returns the address of an entry; an index past the last wraps around.
    pub fn address(&self, index: usize) -> &SmolStr {
        &self.addresses[index % self.addresses.len()]
    }

    /// Takes `count` new tickets from one entry.
    pub async fn tickets(
        &self,
        index: usize,
        count: u32,
    ) -> Result<api::Tickets, client::ClientError> {
        let body = http::Body::json(&api::TicketOrder { count });
        let call = http::Call::post(self.address(index), "/v1/tickets", body, TICKET_TIMEOUT);
        self.call(call).await?.expect_json()
    }

    /// Returns the error for an entry whose answer has neither a ticket nor a refusal.
    pub fn no_ticket_error(&self, index: usize) -> client::ClientError {
        let text = SmolStr::new_static("expected a ticket, got an empty list");
        client::ClientError::BadAnswer(self.address(index).clone(), 200, text)
    }

    /// Submits through one entry, or attaches to an earlier submission with the same id.
    pub async fn submit(
        &self,
        index: usize,
        endpoint: Endpoint,
        submission: &api::Submission,
    ) -> Result<api::Answer, client::ClientError> {
        let body = http::Body::json(submission);
        let timeout = time::Duration::from_millis(submission.wait_ms) + ANSWER_MARGIN;
        let call = http::Call::post(self.address(index), endpoint.path(), body, timeout);
        self.call(call).await?.json()
    }

    /// Fetches an answer through one entry, which waits up to `wait` for the final one.
    pub async fn fetch(
        &self,
        index: usize,
        id: &ids::SubmissionId,
        wait: time::Duration,
    ) -> Result<api::Answer, client::ClientError> {
        let path = format!("{}?wait_ms={}", submission_path(id), wait.as_millis());
        let call = http::Call::get(self.address(index), &path, wait + ANSWER_MARGIN);
        self.call(call).await?.json()
    }

    /// Cancels one submission through one entry.
    pub async fn cancel(
        &self,
        index: usize,
        id: &ids::SubmissionId,
    ) -> Result<api::Answer, client::ClientError> {
        let path = submission_path(id);
        let call = http::Call {
            method: awc_http::Method::DELETE,
            ..http::Call::get(self.address(index), &path, SHORT_CALL_TIMEOUT)
        };
        self.call(call).await?.json()
    }

    /// Cancels several submissions through one entry, and returns their answers in order.
    pub async fn cancel_many(
        &self,
        index: usize,
        ids: &[ids::SubmissionId],
    ) -> Result<Vec<api::Answer>, client::ClientError> {
        let order = api::CancelOrder {
            submissions: ids.to_vec(),
        };
        let body = http::Body::json(&order);
        let call = http::Call::post(self.address(index), "/v1/cancel", body, SHORT_CALL_TIMEOUT);
        let reply = self.call(call).await?;
        let cancelled: api::Cancelled = reply.expect_json()?;
        if cancelled.answers.len() != ids.len() {
            return Err(reply.bad_answer("expected one answer for each submission"));
        }
        Ok(cancelled.answers)
    }

    async fn call(&self, call: http::Call<'_>) -> Result<http::Reply, client::ClientError> {
        let token = Some(self.token.as_str());
        self.http.call(http::Call { token, ..call }).await
    }
}

fn submission_path(id: &ids::SubmissionId) -> String {
    format!("/v1/submissions/{}", percent_encode(&id.to_string()))
}

/// Percent-encodes all bytes but the unreserved characters of a URL.
fn percent_encode(text: &str) -> String {
    let is_unreserved = |b: u8| b.is_ascii_alphanumeric() || b"-_.~".contains(&b);
    let encode = |b: u8| {
        if is_unreserved(b) {
            char::from(b).to_string()
        } else {
            format!("%{b:02X}")
        }
    };
    text.bytes().map(encode).collect()
}
