//! Callers' calls to entries.

use std::time;

use awc::http as awc_http;
use smol_str::SmolStr;

use crate::api;
use crate::client;
use crate::client::http;
use crate::ids;

/// How long an answer may take beyond the wait that was asked for.
///
/// Longer than any pause of a healthy entry, and short enough that a connection
/// gone silent costs a caller less than a step of patience.
const ANSWER_MARGIN: time::Duration = time::Duration::from_secs(2);

/// Longest time for a ticket; one that comes too late is simply not used.
///
/// Short, since nothing is submitted before it is there, and the next entry is as good.
const TICKET_CALL: time::Duration = time::Duration::from_secs(1);

/// Longest time for a call that waits for nothing.
const SHORT_CALL: time::Duration = time::Duration::from_secs(3);

/// Whether a submission is a job or a single request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Shape {
    /// One or more tasks.
    Job,
    /// Exactly one task.
    Request,
}

impl Shape {
    const fn path(self) -> &'static str {
        match self {
            Self::Job => "/v1/jobs",
            Self::Request => "/v1/requests",
        }
    }
}

/// The given entries and the token to call them with.
#[derive(Clone, Debug)]
pub struct Entries {
    http: http::Http,
    addresses: Vec<SmolStr>,
    token: SmolStr,
}

impl Entries {
    /// Calls `addresses`, of which there is at least one, with `token`.
    pub fn new(http: http::Http, addresses: &[SmolStr], token: &SmolStr) -> Self {
        Self {
            http,
            addresses: addresses.to_vec(),
            token: token.clone(),
        }
    }

    /// How many entries there are.
    pub const fn len(&self) -> usize {
        self.addresses.len()
    }

    /// Whether there are none.
    pub const fn is_empty(&self) -> bool {
        self.addresses.is_empty()
    }

    /// The address of an entry; places beyond the last start over.
    pub fn address(&self, place: usize) -> &SmolStr {
        &self.addresses[place % self.addresses.len()]
    }

    /// Has one entry mint tickets.
    pub async fn tickets(
        &self,
        place: usize,
        count: u32,
    ) -> Result<api::Tickets, client::ClientError> {
        let body = http::Body::json(&api::TicketRequest { count });
        let call = http::Call::post(self.address(place), "/v1/tickets", body, TICKET_CALL);
        self.call(call).await?.expect_json()
    }

    /// Complains about an entry that gave no ticket and no refusal.
    pub fn no_ticket(&self, place: usize) -> client::ClientError {
        let text = SmolStr::new_static("no ticket");
        client::ClientError::BadAnswer(self.address(place).clone(), 200, text)
    }

    /// Submits through one entry, or attaches to what was submitted before.
    pub async fn submit(
        &self,
        place: usize,
        shape: Shape,
        submission: &api::Submission,
    ) -> Result<api::Answer, client::ClientError> {
        let body = http::Body::json(submission);
        let timeout = time::Duration::from_millis(submission.wait_ms) + ANSWER_MARGIN;
        let call = http::Call::post(self.address(place), shape.path(), body, timeout);
        self.call(call).await?.json()
    }

    /// Fetches an answer through one entry, waiting for it up to `wait`.
    pub async fn fetch(
        &self,
        place: usize,
        id: &ids::SubmissionId,
        wait: time::Duration,
    ) -> Result<api::Answer, client::ClientError> {
        let path = format!("{}?wait_ms={}", submission_path(id), wait.as_millis());
        let call = http::Call::get(self.address(place), &path, wait + ANSWER_MARGIN);
        self.call(call).await?.json()
    }

    /// Cancels one submission through one entry.
    pub async fn cancel(
        &self,
        place: usize,
        id: &ids::SubmissionId,
    ) -> Result<api::Answer, client::ClientError> {
        let path = submission_path(id);
        let call = http::Call {
            method: awc_http::Method::DELETE,
            ..http::Call::get(self.address(place), &path, SHORT_CALL)
        };
        self.call(call).await?.json()
    }

    /// Cancels many submissions through one entry.
    pub async fn cancel_many(
        &self,
        place: usize,
        ids: &[ids::SubmissionId],
    ) -> Result<Vec<api::Answer>, client::ClientError> {
        let order = api::CancelRequest {
            submissions: ids.to_vec(),
        };
        let body = http::Body::json(&order);
        let call = http::Call::post(self.address(place), "/v1/cancel", body, SHORT_CALL);
        let reply = self.call(call).await?;
        let cancelled: api::Cancelled = reply.expect_json()?;
        if cancelled.answers.len() != ids.len() {
            return Err(reply.bad("not one answer for each submission"));
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

/// Encodes everything but the unreserved characters of a URL.
fn percent_encode(text: &str) -> String {
    let plain = |b: u8| b.is_ascii_alphanumeric() || b"-_.~".contains(&b);
    let encode = |b: u8| {
        if plain(b) {
            char::from(b).to_string()
        } else {
            format!("%{b:02X}")
        }
    };
    text.bytes().map(encode).collect()
}
