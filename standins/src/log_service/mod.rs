//! Stand-in for the platform's log service; `docs/LOG-SERVICE.md` describes its API.
//!
//! `POST /control` injects faults: `{"mode": "down"}`, `{"mode": "slow", "slow_ms": 300}`, or
//! `{"expire_to": 5, "stream": "settings"}`. `GET /control` returns the mode and the number
//! of appends that took effect.

pub mod streams;

use std::io;
use std::net;
use std::sync;
use std::time;

use actix_web::HttpResponse;
use actix_web::ResponseError as _;
use actix_web::http::StatusCode;
use actix_web::web;
use futures_util::stream;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::watch;

use crate::command;
use crate::lock;
use crate::server;

/// Default maximum number of records in a page, for reads without `max`.
const DEFAULT_MAX_RECORDS: usize = 1000;

/// Default duration of a synced append, in milliseconds.
const DEFAULT_APPEND_MS: u64 = 4;

/// Default limit of appends per second.
const DEFAULT_APPENDS_PER_S: u32 = 400;

/// Options of the log service.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Listen address.
    pub listen: net::SocketAddr,
    /// Retention of all streams.
    pub retention: streams::Retention,
    /// Duration of an append, in milliseconds.
    pub append_ms: u64,
    /// Maximum number of appends per second, which is also the burst size; more get 503.
    pub appends_per_s: u32,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            listen: command::ANY_PORT,
            retention: streams::Retention::default(),
            append_ms: DEFAULT_APPEND_MS,
            appends_per_s: DEFAULT_APPENDS_PER_S,
        }
    }
}

/// Fault mode of the service.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// Normal operation.
    #[default]
    Up,
    /// All calls but `/control` are answered with 503.
    Down,
    /// Every call is delayed by `slow_ms`.
    Slow,
    /// Appends take effect, then the connection is closed without an answer.
    LoseAnswers,
    /// The next append takes effect and is answered. The service is down right after it, so
    /// that no reader receives the record.
    DownAfterAppend,
}

/// Body of `POST /control`; absent fields leave their values unchanged.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Control {
    /// New mode.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub mode: Option<Mode>,
    /// Delay of each call under [`Mode::Slow`], in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub slow_ms: Option<u64>,
    /// Offset below which the records of `stream` expire.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub expire_to: Option<u64>,
    /// Stream that `expire_to` applies to.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub stream: Option<String>,
}

/// Answer to `GET /control`.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Report {
    /// Current mode.
    pub mode: Mode,
    /// Number of appends that took effect, answered or not.
    pub appends: u64,
    /// Number of appends refused with 503 for exceeding the rate.
    pub over_rate: u64,
    /// Number of reads started.
    pub reads: u64,
}

#[derive(Debug)]
struct State {
    streams: streams::Streams,
    slow_ms: u64,
    tokens: f64,
    refilled_at_ms: u64,
    report: Report,
}

impl State {
    /// Takes the token for one append from the bucket, which refills at `per_s`.
    ///
    /// Returns `false` if the bucket is empty.
    fn take_token(&mut self, per_s: u32, now_ms: u64) -> bool {
        let added = (now_ms - self.refilled_at_ms) as f64 * f64::from(per_s) / 1000.0;
        self.refilled_at_ms = now_ms;
        self.tokens = (self.tokens + added).min(f64::from(per_s));
        if self.tokens < 1.0 {
            self.report.over_rate += 1;
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

#[derive(Debug)]
struct Shared {
    options: Options,
    started: time::Instant,
    state: sync::Mutex<State>,
    changed: watch::Sender<()>,
}

impl Shared {
    fn new(options: Options) -> Self {
        let state = State {
            streams: streams::Streams::new(options.retention),
            slow_ms: 0,
            tokens: f64::from(options.appends_per_s),
            refilled_at_ms: 0,
            report: Report::default(),
        };
        Self {
            options,
            started: time::Instant::now(),
            state: sync::Mutex::new(state),
            changed: watch::Sender::new(()),
        }
    }

    fn now_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    fn is_down(&self) -> bool {
        lock(&self.state).report.mode == Mode::Down
    }

    /// Delays a call under [`Mode::Slow`].
    async fn delay_if_slow(&self) {
        let slow_ms = {
            let state = lock(&self.state);
            if state.report.mode == Mode::Slow {
                state.slow_ms
            } else {
                0
            }
        };
        sleep_ms(slow_ms).await;
    }

    fn control(&self, control: &Control) {
        let mut state = lock(&self.state);
        if let Some(mode) = control.mode {
            state.report.mode = mode;
        }
        if let Some(slow_ms) = control.slow_ms {
            state.slow_ms = slow_ms;
        }
        if let (Some(offset), Some(name)) = (control.expire_to, &control.stream) {
            state.streams.expire_to(name, offset);
        }
        drop(state);
        self.changed.send_replace(());
    }

    /// Appends a record and returns its offset and the mode; returns `None` if the service is
    /// down.
    fn append(&self, name: &str, record: serde_json::Value) -> Option<(u64, Mode)> {
        let now_ms = self.now_ms();
        let mut state = lock(&self.state);
        let mode = state.report.mode;
        if mode == Mode::Down {
            return None;
        }
        let offset = state.streams.append(name, record, now_ms);
        state.report.appends += 1;
        if mode == Mode::DownAfterAppend {
            state.report.mode = Mode::Down;
        }
        drop(state);
        self.changed.send_replace(());
        Some((offset, mode))
    }

    fn read(&self, name: &str, query: &ReadQuery) -> Option<streams::Page> {
        let now_ms = self.now_ms();
        let max = query.max.unwrap_or(DEFAULT_MAX_RECORDS);
        let mut state = lock(&self.state);
        let up = state.report.mode != Mode::Down;
        up.then(|| state.streams.read(name, query.from, max, now_ms))
    }
}

async fn sleep_ms(ms: u64) {
    if ms > 0 {
        tokio::time::sleep(time::Duration::from_millis(ms)).await;
    }
}

/// A log service that runs until it is stopped.
#[derive(Debug)]
pub struct LogService {
    shared: sync::Arc<Shared>,
    server: server::Server,
}

impl LogService {
    /// Binds the address and starts to serve. Requires a running actix system.
    pub fn start(options: Options) -> io::Result<Self> {
        let shared = sync::Arc::new(Shared::new(options));
        let data = web::Data::from(sync::Arc::clone(&shared));
        let server = server::Server::start(options.listen, move |cfg| {
            cfg.app_data(data.clone())
                .route("/v1/streams/{name}/records", web::post().to(append))
                .route("/v1/streams/{name}/records", web::get().to(read))
                .route("/control", web::post().to(control))
                .route("/control", web::get().to(report));
        })?;
        Ok(Self { shared, server })
    }

    /// Returns the address that the service listens on.
    pub const fn address(&self) -> net::SocketAddr {
        self.server.address()
    }

    /// Does the same as `POST /control`.
    pub fn control(&self, control: &Control) {
        self.shared.control(control);
    }

    /// Sets the mode only.
    pub fn set_mode(&self, mode: Mode) {
        let control = Control {
            mode: Some(mode),
            ..Control::default()
        };
        self.shared.control(&control);
    }

    /// Returns the same as `GET /control`.
    pub fn report(&self) -> Report {
        lock(&self.shared.state).report
    }

    /// Stops the service and discards its records.
    pub async fn stop(self) {
        self.server.stop().await;
    }

    /// Waits until the service has stopped.
    pub async fn finished(self) -> io::Result<()> {
        self.server.finished().await
    }
}

#[derive(Debug)]
#[derive(Deserialize)]
struct ReadQuery {
    #[serde(default)]
    from: u64,
    max: Option<usize>,
    #[serde(default)]
    wait_ms: u64,
}

fn unavailable() -> HttpResponse {
    server::json_error(StatusCode::SERVICE_UNAVAILABLE, "the log service is down")
}

/// Closes the connection before any byte of an answer is sent.
///
/// The body fails at its first poll, before the server has flushed the head.
fn close_unanswered() -> HttpResponse {
    let error = io::Error::other("connection closed without an answer by mode lose_answers");
    HttpResponse::Ok().streaming(stream::iter([Err::<bytes::Bytes, _>(error)]))
}

async fn append(
    shared: web::Data<Shared>,
    name: web::Path<String>,
    body: web::Bytes,
) -> HttpResponse {
    shared.delay_if_slow().await;
    if shared.is_down() {
        return unavailable();
    }
    let record = match server::read_json(&body) {
        Ok(record) => record,
        Err(err) => return err.error_response(),
    };
    let now_ms = shared.now_ms();
    if !lock(&shared.state).take_token(shared.options.appends_per_s, now_ms) {
        return server::json_error(StatusCode::SERVICE_UNAVAILABLE, "too many appends");
    }
    sleep_ms(shared.options.append_ms).await;
    match shared.append(&name, record) {
        None => unavailable(),
        Some((_, Mode::LoseAnswers)) => close_unanswered(),
        Some((offset, _)) => HttpResponse::Ok().json(serde_json::json!({ "offset": offset })),
    }
}

async fn read(
    shared: web::Data<Shared>,
    name: web::Path<String>,
    query: web::Query<ReadQuery>,
) -> HttpResponse {
    lock(&shared.state).report.reads += 1;
    shared.delay_if_slow().await;
    let limit = time::Duration::from_millis(query.wait_ms);
    let end = tokio::time::Instant::now() + limit;
    // Subscribed before the first read, so that no append between read and wait is missed.
    let mut changed = shared.changed.subscribe();
    loop {
        let Some(page) = shared.read(&name, &query) else {
            return unavailable();
        };
        let is_timed_out = tokio::time::Instant::now() >= end;
        if is_timed_out || !page.records.is_empty() {
            return HttpResponse::Ok().json(page);
        }
        // The stream is read again, whether after an append or at the time-out.
        drop(tokio::time::timeout_at(end, changed.changed()).await);
    }
}

async fn control(shared: web::Data<Shared>, body: web::Bytes) -> HttpResponse {
    match server::read_json::<Control>(&body) {
        Ok(control) => {
            shared.control(&control);
            HttpResponse::Ok().json(lock(&shared.state).report)
        }
        Err(err) => err.error_response(),
    }
}

async fn report(shared: web::Data<Shared>) -> HttpResponse {
    HttpResponse::Ok().json(lock(&shared.state).report)
}
