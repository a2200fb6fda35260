//! HTTP calls with limits on the time and on the size of the answer.

use std::time;

use actix_rt::time as rt_time;
use awc::http as awc_http;
use serde::Serialize;
use serde::de;
use smol_str::SmolStr;
use smol_str::format_smolstr;

use crate::api;
use crate::codes;
use crate::receiving;
use crate::wire;

/// Timeout of opening a connection.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Maximum size of an answer, in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// Maximum length of the excerpt of an unexpected answer in an error, in characters.
const SHOWN_CHARS: usize = 200;

quick_error! {
    /// Reason why a call has no usable answer.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum ClientError {
        /// The connection failed; the call was not sent.
        Unreachable(address: SmolStr, reason: SmolStr) {
            display("cannot connect to {address}: {reason}")
        }
        /// The call may have been sent and no answer was received; it may have taken effect.
        Lost(address: SmolStr, reason: SmolStr) {
            display("no answer from {address}: {reason}")
        }
        /// The answer has an unexpected status or body.
        BadAnswer(address: SmolStr, status: u16, text: SmolStr) {
            display("{address} answered HTTP {status}: {text}")
        }
        /// The call was refused with a result code.
        Refused(address: SmolStr, code: codes::Code, text: SmolStr) {
            display("{address} refused: {text}")
        }
        /// The log service is down or refuses appends for now.
        LogDown(address: SmolStr, reason: SmolStr) {
            display("the log service at {address} is not available: {reason}")
        }
    }
}

impl ClientError {
    /// Returns the result code.
    pub const fn code(&self) -> codes::Code {
        match self {
            Self::Unreachable(..) => codes::Code::Unreachable,
            Self::Lost(..) => codes::Code::TimedOut,
            Self::BadAnswer(..) => codes::Code::BadAnswer,
            Self::Refused(_, code, _) => *code,
            Self::LogDown(..) => codes::Code::LogUnavailable,
        }
    }
}

/// Answer to a call, with any HTTP status.
#[derive(Clone, Debug)]
pub struct Reply {
    /// Address that was called.
    pub address: SmolStr,
    /// HTTP status.
    pub status: u16,
    /// Body.
    pub body: bytes::Bytes,
}

impl Reply {
    /// Decodes the body as JSON.
    pub fn json<T: de::DeserializeOwned>(&self) -> Result<T, ClientError> {
        serde_json::from_slice(&self.body).map_err(|err| self.bad_answer(&err.to_string()))
    }

    /// Decodes the body as JSON if the status is 200, else as a refusal with a result code.
    pub fn expect_json<T: de::DeserializeOwned>(&self) -> Result<T, ClientError> {
        if self.is_ok() {
            return self.json();
        }
        let answer: api::Answer = self.json()?;
        Err(ClientError::Refused(
            self.address.clone(),
            answer.code,
            answer.text,
        ))
    }

    /// Returns the body as text, with invalid UTF-8 replaced.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Returns the error for an unexpected answer, with the start of the body.
    pub fn bad_answer(&self, reason: &str) -> ClientError {
        let shown: String = self.text().chars().take(SHOWN_CHARS).collect();
        let text = format_smolstr!("{reason}: {shown}");
        ClientError::BadAnswer(self.address.clone(), self.status, text)
    }

    /// Whether the status is 200.
    pub const fn is_ok(&self) -> bool {
        self.status == 200
    }
}

/// Body of a call.
#[derive(Clone, Debug)]
pub enum Body {
    /// No body.
    Empty,
    /// A JSON document.
    Json(Vec<u8>),
    /// A `MessagePack` message.
    MessagePack(Vec<u8>),
}

impl Body {
    /// Encodes a JSON document; encoding never fails for the types of this crate.
    pub fn json<T: Serialize>(value: &T) -> Self {
        Self::Json(serde_json::to_vec(value).unwrap_or_default())
    }

    /// Encodes a message between processes; encoding never fails for the types of this crate.
    pub fn message<T: Serialize>(value: &T) -> Self {
        Self::MessagePack(wire::encode(value).unwrap_or_default())
    }

    fn into_parts(self) -> (&'static str, Vec<u8>) {
        match self {
            Self::Empty => ("", Vec::new()),
            Self::Json(bytes) => ("application/json", bytes),
            Self::MessagePack(bytes) => ("application/msgpack", bytes),
        }
    }
}

/// One HTTP call.
#[derive(Clone, Debug)]
pub struct Call<'a> {
    /// HTTP method.
    pub method: awc_http::Method,
    /// Address to call, `HOST:PORT`.
    pub address: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// Bearer token.
    pub token: Option<&'a str>,
    /// Body to send.
    pub body: Body,
    /// Longest time until the head of the answer, and between two chunks of its body.
    pub timeout: time::Duration,
}

impl<'a> Call<'a> {
    /// Creates a `GET` call without a token.
    pub const fn get(address: &'a str, path: &'a str, timeout: time::Duration) -> Self {
        Self {
            method: awc_http::Method::GET,
            address,
            path,
            token: None,
            body: Body::Empty,
            timeout,
        }
    }

    /// Creates a `POST` call without a token.
    pub const fn post(
        address: &'a str,
        path: &'a str,
        body: Body,
        timeout: time::Duration,
    ) -> Self {
        Self {
            method: awc_http::Method::POST,
            address,
            path,
            token: None,
            body,
            timeout,
        }
    }
}

/// HTTP client with a pool of connections to all called processes.
#[derive(Clone)]
pub struct Http {
    client: awc::Client,
}

impl std::fmt::Debug for Http {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Http").finish_non_exhaustive()
    }
}

impl Http {
    /// Creates a client; needs a running actix system.
    ///
    /// The pool has no limit, since the limit of the library spans all processes: calls to
    /// one that does not answer would block the calls to the others. Each command limits
    /// its own calls.
    pub fn open() -> Self {
        let connector = awc::Connector::new().timeout(CONNECT_TIMEOUT).limit(0);
        let builder = awc::Client::builder().connector(connector);
        Self {
            client: builder.disable_timeout().disable_redirects().finish(),
        }
    }

    /// Makes one call, without retries.
    ///
    /// A call without an answer in time fails with [`ClientError::Lost`], and its connection
    /// is closed so that the next call opens a new one. A long answer is read as long as
    /// its chunks keep arriving in time.
    pub async fn call(&self, call: Call<'_>) -> Result<Reply, ClientError> {
        let address = SmolStr::new(call.address);
        let lost = |reason: String| ClientError::Lost(address.clone(), SmolStr::from(reason));
        let timeout = call.timeout;
        let url = format!("http://{}{}", call.address, call.path);
        let mut req = self.client.request(call.method, url);
        if let Some(token) = call.token {
            req = req.bearer_auth(token);
        }
        let (content_type, bytes) = call.body.into_parts();
        if !content_type.is_empty() {
            req = req.content_type(content_type);
        }
        let sent = rt_time::timeout(timeout, req.send_body(bytes)).await;
        let sent = sent.map_err(|_elapsed| {
            lost(format!(
                "nothing received within {} ms",
                timeout.as_millis()
            ))
        })?;
        let resp = sent.map_err(|err| send_error(&address, &err))?;
        let status = resp.status().as_u16();
        let limits = receiving::Limits {
            head: timeout,
            gap: timeout,
            bytes: MAX_ANSWER_BYTES,
        };
        let body = receiving::read_body(resp, limits).await;
        Ok(Reply {
            status,
            body: body.map_err(|err| lost(err.to_string()))?.into(),
            address,
        })
    }
}

/// Distinguishes calls that were certainly not sent from those that may have arrived.
fn send_error(address: &SmolStr, err: &awc::error::SendRequestError) -> ClientError {
    use awc::error::SendRequestError as Kind;
    let address = address.clone();
    let reason = format_smolstr!("{err}");
    match err {
        Kind::Url(_) | Kind::Connect(_) => ClientError::Unreachable(address, reason),
        _ => ClientError::Lost(address, reason),
    }
}
