//! One HTTP call with a limit on its time and on its answer's size.

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

/// Longest wait for a connection.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Largest answer that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// How much of an unreadable answer is shown.
const SHOWN_CHARS: usize = 200;

quick_error! {
    /// Why a call gave no usable answer.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum ClientError {
        /// No connection: the call was never sent.
        Unreachable(address: SmolStr, why: SmolStr) {
            display("{address} can't be reached: {why}")
        }
        /// The call was sent, or may have been, and no answer came; it may have taken effect.
        Lost(address: SmolStr, why: SmolStr) {
            display("no answer from {address}: {why}")
        }
        /// The answer is not what was expected.
        BadAnswer(address: SmolStr, status: u16, text: SmolStr) {
            display("{address} answered HTTP {status}: {text}")
        }
        /// A numbered refusal.
        Refused(address: SmolStr, code: codes::Code, text: SmolStr) {
            display("{address} refused: {text}")
        }
        /// The log service is down or takes no more appends now.
        LogDown(address: SmolStr, why: SmolStr) {
            display("the log service at {address} is not available: {why}")
        }
    }
}

impl ClientError {
    /// The numbered result.
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

/// An answer of whatever status.
#[derive(Clone, Debug)]
pub struct Reply {
    /// Who answered.
    pub address: SmolStr,
    /// The HTTP status.
    pub status: u16,
    /// The whole body.
    pub body: bytes::Bytes,
}

impl Reply {
    /// Reads the body as JSON.
    pub fn json<T: de::DeserializeOwned>(&self) -> Result<T, ClientError> {
        serde_json::from_slice(&self.body).map_err(|err| self.bad(&err.to_string()))
    }

    /// Reads the body as JSON if the status is 200, else as a numbered refusal.
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

    /// Reads the body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Says that this is not what was expected.
    pub fn bad(&self, why: &str) -> ClientError {
        let shown: String = self.text().chars().take(SHOWN_CHARS).collect();
        let text = format_smolstr!("{why}: {shown}");
        ClientError::BadAnswer(self.address.clone(), self.status, text)
    }

    /// Whether the status is 200.
    pub const fn is_ok(&self) -> bool {
        self.status == 200
    }
}

/// What a call carries.
#[derive(Clone, Debug)]
pub enum Body {
    /// Nothing.
    Empty,
    /// A JSON document.
    Json(Vec<u8>),
    /// A `MessagePack` message.
    MessagePack(Vec<u8>),
}

impl Body {
    /// A JSON document; the types of this crate can always be written.
    pub fn json<T: Serialize>(value: &T) -> Self {
        Self::Json(serde_json::to_vec(value).unwrap_or_default())
    }

    /// A message between processes; the types of this crate can always be written.
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

/// One call.
#[derive(Clone, Debug)]
pub struct Call<'a> {
    /// The HTTP method.
    pub method: awc_http::Method,
    /// `HOST:PORT`.
    pub address: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// Bearer token.
    pub token: Option<&'a str>,
    /// What is sent.
    pub body: Body,
    /// Longest time until an answer begins, and from each part of it to the next.
    pub timeout: time::Duration,
}

impl<'a> Call<'a> {
    /// A plain read.
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

    /// A call with a body.
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

/// Connections to all the processes that are called.
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
    /// Needs a running actix system.
    ///
    /// The number of connections is not bounded here, since the library's bound is one
    /// for all processes: a silent one would keep the calls to the others waiting. Each
    /// command bounds its own calls.
    pub fn open() -> Self {
        let connector = awc::Connector::new().timeout(CONNECT_TIMEOUT).limit(0);
        let builder = awc::Client::builder().connector(connector);
        Self {
            client: builder.disable_timeout().disable_redirects().finish(),
        }
    }

    /// Calls once.
    ///
    /// A connection that has gone silent ends as [`ClientError::Lost`]; its connection
    /// is closed then and the next call opens a fresh one. A long answer is read for as
    /// long as it keeps coming.
    pub async fn call(&self, call: Call<'_>) -> Result<Reply, ClientError> {
        let address = SmolStr::new(call.address);
        let lost = |why: String| ClientError::Lost(address.clone(), SmolStr::from(why));
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
        let sent =
            sent.map_err(|_elapsed| lost(format!("nothing within {} ms", timeout.as_millis())))?;
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

/// Tells calls that were surely never sent from those that may have arrived.
fn send_error(address: &SmolStr, err: &awc::error::SendRequestError) -> ClientError {
    use awc::error::SendRequestError as Kind;
    let address = address.clone();
    let why = format_smolstr!("{err}");
    match err {
        Kind::Url(_) | Kind::Connect(_) => ClientError::Unreachable(address, why),
        _ => ClientError::Lost(address, why),
    }
}
