//! Reading what others send, within bounds, and answering with numbered results.

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

/// Longest time for a body to come.
///
/// A sender of a byte now and then would hold a connection for ever; with enough
/// of them no one else gets one. Ten seconds carry the largest body at 4 Mbit/s.
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
    let in_time = tokio::time::timeout(BODY_TIMEOUT, read).await;
    in_time.map_err(|_elapsed| codes::Code::TooSlow)?
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

/// Answers another process.
pub fn message<M: Serialize>(message: &M) -> actix_web::HttpResponse {
    counted_message(message, |_bytes| {})
}

/// Answers another process; `count` hears how many bytes the answer has.
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
            log::error!(event = "wire.encode_failed"; "{e}");
            actix_web::HttpResponse::InternalServerError().finish()
        }
    }
}

/// Answers a caller.
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

/// Most of a detail that goes back to a caller, in characters; it may quote the body.
const MAX_DETAIL_CHARS: usize = 200;

/// Why a call was refused before anything was made of it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// The numbered result.
    pub code: codes::Code,
    /// What is wrong, for whoever writes the client; may be empty.
    pub detail: String,
}

impl Refusal {
    /// A numbered result with what is wrong.
    pub fn new(code: codes::Code, detail: impl fmt::Display) -> Self {
        let detail = detail.to_string();
        Self { code, detail }
    }

    /// The final answer that says so.
    pub fn answer(&self, id: Option<ids::SubmissionId>) -> api::Answer {
        let plain = answer::bare(id, self.code, true);
        if self.detail.is_empty() {
            return plain;
        }
        let detail: String = self.detail.chars().take(MAX_DETAIL_CHARS).collect();
        api::Answer {
            text: smol_str::format_smolstr!("{}: {detail}", plain.text),
            ..plain
        }
    }
}

impl From<codes::Code> for Refusal {
    fn from(code: codes::Code) -> Self {
        Self::new(code, "")
    }
}

/// Refuses with a numbered result, and says in words what is wrong.
pub fn refuse_with_detail(refusal: &Refusal) -> actix_web::HttpResponse {
    answer(&refusal.answer(None))
}

/// Refuses with a numbered result; nothing was started because of the request.
pub fn refuse(code: codes::Code) -> actix_web::HttpResponse {
    answer(&answer::bare(None, code, true))
}

/// Gives a query string or a path that can't be read its numbered result.
///
/// Without it the library answers with a text of its own, which no client can tell
/// by its code.
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

/// Refuses a process whose names are none or whose address can't be connected to.
///
/// Names are kept for as long as a process is known and go to every other one; a
/// peer with a name of megabytes would be passed on by every heartbeat.
pub fn check_peer(peer: &wire::Peer) -> Result<(), codes::Code> {
    let names = [&peer.name, &peer.zone, &peer.rack];
    let are_good = names.iter().all(|name| ids::check_name(name).is_ok());
    let is_address = peer.address.parse::<net::SocketAddr>().is_ok();
    if are_good && is_address {
        return Ok(());
    }
    Err(codes::Code::BadBody)
}

/// The answer to a path or a method that is not there.
pub async fn not_found() -> actix_web::HttpResponse {
    refuse(codes::Code::NoSuchPage)
}
