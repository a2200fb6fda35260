//! Receives potentially large answers, with time limits between parts instead of in total.

use std::time;

use actix_web::error;
use actix_web::http;
use actix_web::web;
use futures_util::StreamExt as _;

/// Limits on receiving an answer.
///
/// There is no limit on the total time: over a slow link a large answer might never complete
/// within any limit, and requesting it again would keep the link saturated.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum wait for the response head.
    pub head: time::Duration,
    /// Maximum wait for each part of the body.
    pub gap: time::Duration,
    /// Maximum size of the body, in bytes.
    pub bytes: usize,
}

quick_error! {
    /// Error of receiving an answer.
    #[derive(Debug)]
    pub enum ReceiveError {
        /// The call failed before a response began.
        Failed(err: awc::error::SendRequestError) {
            display("{err}")
            source(err)
        }
        /// The response has an HTTP status other than success.
        Status(status: http::StatusCode) {
            display("HTTP status {status}")
        }
        /// No response head arrived in time.
        Silent(after: time::Duration) {
            display("no answer within {} ms", after.as_millis())
        }
        /// The body stalled.
        Stalled(received_bytes: usize, after: time::Duration) {
            display("body stalled for {} ms after {received_bytes} bytes", after.as_millis())
        }
        /// The connection broke during the body.
        Broken(received_bytes: usize, why: String) {
            display("connection broke after {received_bytes} bytes: {why}")
        }
        /// The body exceeds the size limit.
        TooLarge(max: usize) {
            display("body is larger than {max} bytes")
        }
    }
}

/// Sends a call and receives the whole body of the response.
pub async fn receive(
    sent: awc::SendClientRequest,
    limits: Limits,
) -> Result<Vec<u8>, ReceiveError> {
    let started = tokio::time::timeout(limits.head, sent).await;
    let started = started.map_err(|_elapsed| ReceiveError::Silent(limits.head))?;
    let response = started.map_err(ReceiveError::Failed)?;
    if !response.status().is_success() {
        return Err(ReceiveError::Status(response.status()));
    }
    read_body(response, limits).await
}

/// Reads the body of a response.
pub async fn read_body<S>(mut chunks: S, limits: Limits) -> Result<Vec<u8>, ReceiveError>
where
    S: futures_util::Stream<Item = Result<web::Bytes, error::PayloadError>> + Unpin,
{
    let mut body = Vec::new();
    loop {
        let chunk = tokio::time::timeout(limits.gap, chunks.next()).await;
        let chunk = chunk.map_err(|_elapsed| ReceiveError::Stalled(body.len(), limits.gap))?;
        let Some(chunk) = chunk else {
            return Ok(body);
        };
        let chunk = chunk.map_err(|e| ReceiveError::Broken(body.len(), e.to_string()))?;
        if body.len() + chunk.len() > limits.bytes {
            return Err(ReceiveError::TooLarge(limits.bytes));
        }
        body.extend_from_slice(&chunk);
    }
}
