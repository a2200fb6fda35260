//! Receiving an answer that may be long, for as long as it keeps coming.

use std::time;

use actix_web::error;
use actix_web::http;
use actix_web::web;
use futures_util::StreamExt as _;

/// How long to wait for an answer.
///
/// There is no limit for the whole of it: over a narrow link a long answer would never be
/// whole within any, and asking for it anew keeps the link full.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// For its beginning.
    pub head: time::Duration,
    /// From each part of it to the next.
    pub gap: time::Duration,
    /// Its most bytes.
    pub bytes: usize,
}

quick_error! {
    /// Why an answer was not received.
    #[derive(Debug)]
    pub enum ReceiveError {
        /// The call failed before there was an answer.
        Failed(err: awc::error::SendRequestError) {
            display("{err}")
            source(err)
        }
        /// Another status than that of success.
        Status(status: http::StatusCode) {
            display("status {status}")
        }
        /// No beginning in time.
        Silent(after: time::Duration) {
            display("no answer within {} ms", after.as_millis())
        }
        /// It began and did not go on.
        Stalled(received: usize, after: time::Duration) {
            display("nothing more within {} ms after {received} bytes", after.as_millis())
        }
        /// It began and broke off.
        Broken(received: usize, why: String) {
            display("broken off after {received} bytes: {why}")
        }
        /// It goes on beyond what is taken.
        TooLarge(most: usize) {
            display("more than {most} bytes")
        }
    }
}

/// Sends a call and receives the whole answer.
pub async fn receive(
    sent: awc::SendClientRequest,
    limits: Limits,
) -> Result<Vec<u8>, ReceiveError> {
    let begun = tokio::time::timeout(limits.head, sent).await;
    let begun = begun.map_err(|_elapsed| ReceiveError::Silent(limits.head))?;
    let response = begun.map_err(ReceiveError::Failed)?;
    if !response.status().is_success() {
        return Err(ReceiveError::Status(response.status()));
    }
    read_body(response, limits).await
}

/// Reads the body of an answer that has begun.
pub async fn read_body<S>(mut parts: S, limits: Limits) -> Result<Vec<u8>, ReceiveError>
where
    S: futures_util::Stream<Item = Result<web::Bytes, error::PayloadError>> + Unpin,
{
    let mut body = Vec::new();
    loop {
        let part = tokio::time::timeout(limits.gap, parts.next()).await;
        let part = part.map_err(|_elapsed| ReceiveError::Stalled(body.len(), limits.gap))?;
        let Some(part) = part else {
            return Ok(body);
        };
        let part = part.map_err(|e| ReceiveError::Broken(body.len(), e.to_string()))?;
        if body.len() + part.len() > limits.bytes {
            return Err(ReceiveError::TooLarge(limits.bytes));
        }
        body.extend_from_slice(&part);
    }
}
