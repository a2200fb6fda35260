//! Reads request bodies within limits and builds responses with result codes.

use std::fmt;
use std::net;
use std::time;

use actix_web::http;
use actix_web::web;
use futures_util::StreamExt as _;
use serde::Serialize;
use serde::de;

use crate::api;
use crate::codes;
use crate::ids;
use crate::jobs::answer;
use crate::outgoing;
use crate::wire;

/// Maximum time to receive a body.
///
/// Without it, senders that trickle single bytes could hold all connections
/// indefinitely. Ten seconds suffice for the default maximum body at 4 Mbit/s.
pub const BODY_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// Reads a body of at most `max` bytes.
pub async fn read_body(
    mut payload: web::Payload,
    max: usize,
) -> Result<web::BytesMut, codes::Code> {
    let read = async {
        let mut body = web::BytesMut::new();
        while let Some(chunk) = payload.next().await {
            let chunk = chunk.map_err(|_broken| codes::Code::BadBody)?;
            if body.len() + chunk.len() > max {
                return Err(codes::Code::TooLarge);
            }
            body.extend_from_slice(&chunk);
        }
        Ok(body)
    };
    let result = tokio::time::timeout(BODY_TIMEOUT, read).await;
    result.map_err(|_elapsed| codes::Code::TooSlow)?
}

/// Reads a message from another process.
pub async fn read_message<M: de::DeserializeOwned>(
    payload: web::Payload,
) -> Result<M, actix_web::HttpResponse> {
    let body = read_body(payload, outgoing::MAX_MESSAGE_BYTES)
        .await
        .map_err(refuse)?;
    wire::decode(&body).map_err(|e| match e {
        wire::WireError::Version(_) => refuse(codes::Code::UnknownVersion),
        _ => refuse(codes::Code::BadBody),
    })
}

/// Returns a response with a message to another process.
pub fn message<M: Serialize>(message: &M) -> actix_web::HttpResponse {
    counted_message(message, |_bytes| {})
}

/// Returns a response with a message to another process and passes its size to `count`.
pub fn counted_message<M: Serialize>(
    message: &M,
    count: impl FnOnce(usize),
) -> actix_web::HttpResponse {
    match wire::encode(message) {
        Ok(body) => {
            count(body.len());
            actix_web::HttpResponse::Ok()
                .content_type(outgoing::CONTENT_TYPE)
                .body(body)
        }
        Err(e) => {
            log::error!(event = "wire.encode_failed"; "cannot encode the response, answering with status 500: {e}");
            actix_web::HttpResponse::InternalServerError().finish()
        }
    }
}

/// Returns a response with an answer to a caller.
pub fn answer(answer: &api::Answer) -> actix_web::HttpResponse {
    let status = http::StatusCode::from_u16(answer.code.http_status());
    let status = status.unwrap_or(http::StatusCode::INTERNAL_SERVER_ERROR);
    let mut builder = actix_web::HttpResponse::build(status);
    if let Some(ms) = answer.retry_after_ms {
        let seconds = ms.div_ceil(1_000).max(1);
        builder.insert_header((http::header::RETRY_AFTER, seconds.to_string()));
    }
    builder.json(answer)
}

/// Maximum length of a detail returned to a caller, in characters; it may quote the body.
const MAX_DETAIL_CHARS: usize = 200;

/// Reason for rejecting a call before processing it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Result code.
    pub code: codes::Code,
    /// Description of the error for the client's developer; may be empty.
    pub detail: String,
}

impl Refusal {
    /// Creates a refusal with a result code and a description.
    pub fn new(code: codes::Code, detail: impl fmt::Display) -> Self {
        let detail = detail.to_string();
        Self { code, detail }
    }

    /// Returns the refusal as a final answer.
    pub fn answer(&self, id: Option<ids::SubmissionId>) -> api::Answer {
        let refused = answer::bare(id, self.code, true);
        if self.detail.is_empty() {
            return refused;
        }
        let detail: String = self.detail.chars().take(MAX_DETAIL_CHARS).collect();
        api::Answer {
            text: smol_str::format_smolstr!("{}: {detail}", refused.text),
            ..refused
        }
    }
}

impl From<codes::Code> for Refusal {
    fn from(code: codes::Code) -> Self {
        Self::new(code, "")
    }
}

/// Returns a response that rejects a request with a result code and a description.
pub fn refuse_with_detail(refusal: &Refusal) -> actix_web::HttpResponse {
    answer(&refusal.answer(None))
}

/// Returns a response that rejects a request with a result code; nothing was started.
pub fn refuse(code: codes::Code) -> actix_web::HttpResponse {
    answer(&answer::bare(None, code, true))
}

/// Configures result codes for query strings and paths that cannot be parsed.
///
/// Otherwise the HTTP library responds with a text of its own, without a result code.
pub fn configure_errors(cfg: &mut web::ServiceConfig) {
    let query = web::QueryConfig::default();
    cfg.app_data(query.error_handler(|e, _req| error_response(e, codes::Code::BadQuery)));
    let path = web::PathConfig::default();
    cfg.app_data(path.error_handler(|e, _req| error_response(e, codes::Code::BadTicket)));
}

fn error_response<E>(err: E, code: codes::Code) -> actix_web::Error
where
    E: std::fmt::Debug + std::fmt::Display + 'static,
{
    actix_web::error::InternalError::from_response(err, refuse(code)).into()
}

/// Validates the names and the address of a peer.
///
/// Names are stored while a process is known and sent to every other one, so a name of
/// several megabytes would be copied by every heartbeat.
pub fn check_peer(peer: &wire::Peer) -> Result<(), codes::Code> {
    let names = [&peer.name, &peer.zone, &peer.rack];
    let are_valid = names.iter().all(|name| ids::check_name(name).is_ok());
    let has_valid_address = peer.address.parse::<net::SocketAddr>().is_ok();
    if are_valid && has_valid_address {
        return Ok(());
    }
    Err(codes::Code::BadBody)
}

/// Handles a request for an unknown path or method.
pub async fn not_found() -> actix_web::HttpResponse {
    refuse(codes::Code::NoSuchPage)
}
