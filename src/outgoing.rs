//! HTTP calls to other processes, made on the HTTP threads.

use std::sync::atomic;
use std::time;

use actix_web::http;
use serde::Serialize;
use serde::de;

use crate::receiving;
use crate::time_limit;
use crate::wire;

/// Maximum size of a message received from another process, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 8 << 20;

/// Maximum time to establish a connection.
pub const CONNECT_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Age after which a kept connection is not reused, in milliseconds.
pub const CONNECTION_LIFETIME_MS: u64 = 75_000;

/// Content type of messages between processes.
pub const CONTENT_TYPE: &str = "application/msgpack";

quick_error! {
    /// Error of a call.
    #[derive(Debug)]
    pub enum CallError {
        /// No connection was established, so nothing was sent.
        NotSent(why: String) {
            display("not sent: {why}")
        }
        /// The request may have been sent; whether it was processed is unknown.
        Lost(why: String) {
            display("no answer: {why}")
        }
        /// The peer rejected the message with this HTTP status.
        Refused(status: u16) {
            display("rejected with HTTP status {status}")
        }
        /// The answer cannot be decoded.
        Wire(err: wire::WireError) {
            from()
            display("invalid answer: {err}")
            source(err)
        }
    }
}

/// Time for which idle connections are kept, equal to the default of the HTTP library.
const IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(15);

/// Creates a client that reuses connections.
pub fn client() -> awc::Client {
    client_with_keep_alive(IDLE_TIMEOUT)
}

/// Creates a client that keeps idle connections for the given time.
pub fn client_with_keep_alive(idle_timeout: time::Duration) -> awc::Client {
    let lifetime = time::Duration::from_millis(CONNECTION_LIFETIME_MS);
    let connector = awc::Connector::new()
        .timeout(CONNECT_TIMEOUT)
        .conn_lifetime(lifetime)
        .conn_keep_alive(idle_timeout)
        .limit(0);
    awc::Client::builder()
        .connector(connector)
        .disable_timeout()
        .disable_redirects()
        .finish()
}

/// Posts a message and reads the answer, all within `time_limit`.
pub async fn post<M: Serialize, R: de::DeserializeOwned>(
    client: &awc::Client,
    address: &str,
    path: &str,
    message: &M,
    time_limit: time::Duration,
) -> Result<R, CallError> {
    post_encoded(client, address, path, wire::encode(message)?, time_limit).await
}

/// Posts an encoded message and reads the answer, all within `time_limit`.
pub async fn post_encoded<R: de::DeserializeOwned>(
    client: &awc::Client,
    address: &str,
    path: &str,
    body: Vec<u8>,
    time_limit: time::Duration,
) -> Result<R, CallError> {
    let request = client.post(format!("http://{address}{path}"));
    let request = request.insert_header((http::header::CONTENT_TYPE, CONTENT_TYPE));
    // Answers are never compressed; omitting `Accept-Encoding` saves 29 bytes per call.
    exchange(request.no_decompress().send_body(body), time_limit).await
}

/// Fetches a potentially large message over a new connection.
pub async fn fetch<R: de::DeserializeOwned>(
    address: &str,
    path: &str,
    limits: receiving::Limits,
) -> Result<R, CallError> {
    let request = client().get(format!("http://{address}{path}"));
    Ok(wire::decode(
        &receiving::receive(request.no_decompress().send(), limits).await?,
    )?)
}

/// Posts a message and fetches a potentially large answer over a new connection.
pub async fn post_and_fetch<M: Serialize, R: de::DeserializeOwned>(
    address: &str,
    path: &str,
    message: &M,
    limits: receiving::Limits,
) -> Result<R, CallError> {
    let body = wire::encode(message)?;
    let request = client().post(format!("http://{address}{path}"));
    let request = request.insert_header((http::header::CONTENT_TYPE, CONTENT_TYPE));
    let sent = request.no_decompress().send_body(body);
    Ok(wire::decode(&receiving::receive(sent, limits).await?)?)
}

async fn exchange<R: de::DeserializeOwned>(
    sent: awc::SendClientRequest,
    limit: time::Duration,
) -> Result<R, CallError> {
    let exchange = async {
        let mut response = sent.await.map_err(|e| classify(&e))?;
        if !response.status().is_success() {
            return Err(CallError::Refused(response.status().as_u16()));
        }
        let body = response.body().limit(MAX_MESSAGE_BYTES).await;
        body.map_err(|e| CallError::Lost(e.to_string()))
    };
    let bytes = time_limit::within(limit, exchange).await;
    let bytes = bytes.ok_or_else(|| CallError::Lost("timeout".to_owned()))??;
    Ok(wire::decode(&bytes)?)
}

/// Posts a message over a new connection and reads the answer, all within `time_limit`.
///
/// A kept connection can stop working permanently, for example if a device on the path has
/// lost its state. Calls on it then get no answer although the peer is healthy and reachable
/// over a new connection.
pub async fn post_on_new_connection<M: Serialize, R: de::DeserializeOwned>(
    address: &str,
    path: &str,
    message: &M,
    time_limit: time::Duration,
) -> Result<R, CallError> {
    post(&client(), address, path, message, time_limit).await
}

impl From<receiving::ReceiveError> for CallError {
    fn from(err: receiving::ReceiveError) -> Self {
        match err {
            receiving::ReceiveError::Failed(e) => classify(&e),
            receiving::ReceiveError::Status(status) => Self::Refused(status.as_u16()),
            other => Self::Lost(other.to_string()),
        }
    }
}

/// Converts a send error; only a failure to connect proves that nothing was sent.
fn classify(err: &awc::error::SendRequestError) -> CallError {
    if is_unsent(err) {
        return CallError::NotSent(err.to_string());
    }
    CallError::Lost(err.to_string())
}

/// Returns whether a call failed before anything was sent.
///
/// The client library also reports a connection that was closed *after* the request was
/// sent as a connect error (`Disconnected`). The peer may have read such a request before
/// it exited or closed the connection, so treating it as unsent would start a task twice.
/// The other connect errors occur only while the connection is being established.
pub const fn is_unsent(err: &awc::error::SendRequestError) -> bool {
    match err {
        awc::error::SendRequestError::Connect(e) => {
            !matches!(e, awc::error::ConnectError::Disconnected)
        }
        _ => false,
    }
}

thread_local! {
    static CLIENT: awc::Client = client();
}

/// Returns this thread's client, which reuses connections.
pub fn thread_client() -> awc::Client {
    CLIENT.with(awc::Client::clone)
}

/// Pool of HTTP threads, each with its own client.
#[derive(Debug)]
pub struct Pool {
    arbiters: Vec<actix::ArbiterHandle>,
    next: atomic::AtomicUsize,
}

impl Pool {
    /// Starts the given number of threads.
    pub fn start(threads: usize) -> Self {
        let arbiters = (0..threads)
            .map(|_| actix::Arbiter::new().handle())
            .collect();
        Self {
            arbiters,
            next: atomic::AtomicUsize::new(0),
        }
    }

    /// Runs a task on the next thread in round-robin order.
    pub fn run<F, T>(&self, task: F)
    where
        F: FnOnce(awc::Client) -> T + Send + 'static,
        T: Future<Output = ()> + 'static,
    {
        let at = self.next.fetch_add(1, atomic::Ordering::Relaxed) % self.arbiters.len();
        let is_running = self.arbiters[at].spawn_fn(move || {
            let client = thread_client();
            actix_rt::spawn(task(client));
        });
        if !is_running {
            log::error!(event = "traffic.stopped"; "an HTTP thread has ended; dropping the task");
        }
    }
}
