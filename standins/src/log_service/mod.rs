//! Stand-in for the platform's log service; `docs/LOG-SERVICE.md` is its page.
//!
//! `POST /control` switches its faults: `{"mode": "down"}`,
//! `{"mode": "slow", "slow_ms": 300}`, or `{"expire_to": 5, "stream": "settings"}`;
//! `GET /control` gives the mode and how many appends took effect.

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

/// Records in an answer when the reader names no `max`.
const DEFAULT_MAX: usize = 1000;

/// Milliseconds that a synced append takes when nothing else is said.
const DEFAULT_APPEND_MS: u64 = 4;

/// Appends a second when nothing else is said.
const DEFAULT_APPENDS_PER_S: u32 = 400;

/// How the stand-in is set up.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Where it listens.
    pub listen: net::SocketAddr,
    /// What is kept.
    pub retention: streams::Retention,
    /// Milliseconds that an append takes.
    pub append_ms: u64,
    /// Appends taken a second, a second's worth of them at once; more get 503.
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

/// How the service behaves at the moment.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// As it should.
    #[default]
    Up,
    /// Everything but the control call is answered with 503.
    Down,
    /// Every call is held back for `slow_ms` first.
    Slow,
    /// Appends take effect, then the connection is closed without an answer.
    LoseAnswers,
    /// The next append takes effect and is answered; then the service is down at
    /// once, so that no reader sees the record.
    DownAfterAppend,
}

/// `POST /control`; what is absent stays as it is.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Control {
    /// The mode from now on.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub mode: Option<Mode>,
    /// Milliseconds by which [`Mode::Slow`] holds calls back.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub slow_ms: Option<u64>,
    /// Expires the records of `stream` below this offset.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub expire_to: Option<u64>,
    /// The stream that `expire_to` is about.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub stream: Option<String>,
}

/// `GET /control`.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Report {
    /// The mode now.
    pub mode: Mode,
    /// Appends that took effect, answered or not.
    pub appends: u64,
    /// Appends refused with 503 because they came too fast.
    pub over_rate: u64,
    /// Reads begun.
    pub reads: u64,
}

#[derive(Debug)]
struct State {
    streams: streams::Streams,
    slow_ms: u64,
    tokens: f64,
    filled_ms: u64,
    report: Report,
}

impl State {
    /// Takes one append from the bucket, which refills at the capped rate.
    fn take_token(&mut self, per_s: u32, now_ms: u64) -> bool {
        let gained = (now_ms - self.filled_ms) as f64 * f64::from(per_s) / 1000.0;
        self.filled_ms = now_ms;
        self.tokens = (self.tokens + gained).min(f64::from(per_s));
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
            filled_ms: 0,
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

    /// Holds a call back while the service is slow.
    async fn hold_back(&self) {
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

    /// Appends unless the service is down, and gives the mode it was done in.
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
        let max = query.max.unwrap_or(DEFAULT_MAX);
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
    /// Listens and serves; needs a running actix system.
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

    /// Where it listens.
    pub const fn address(&self) -> net::SocketAddr {
        self.server.address()
    }

    /// The same as `POST /control`.
    pub fn control(&self, control: &Control) {
        self.shared.control(control);
    }

    /// Changes only the mode.
    pub fn set_mode(&self, mode: Mode) {
        let control = Control {
            mode: Some(mode),
            ..Control::default()
        };
        self.shared.control(&control);
    }

    /// The same as `GET /control`.
    pub fn report(&self) -> Report {
        lock(&self.shared.state).report
    }

    /// Stops it; its records are gone then.
    pub async fn stop(self) {
        self.server.stop().await;
    }

    /// Waits until it has ended.
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

fn down() -> HttpResponse {
    server::refusal(StatusCode::SERVICE_UNAVAILABLE, "the log service is down")
}

/// Closes the connection before any byte of an answer: the body fails at its
/// first poll, before the server has flushed the head.
fn no_answer() -> HttpResponse {
    let lost = io::Error::other("the answer is lost");
    HttpResponse::Ok().streaming(stream::iter([Err::<bytes::Bytes, _>(lost)]))
}

async fn append(
    shared: web::Data<Shared>,
    name: web::Path<String>,
    body: web::Bytes,
) -> HttpResponse {
    shared.hold_back().await;
    if shared.is_down() {
        return down();
    }
    let record = match server::read_json(&body) {
        Ok(record) => record,
        Err(bad) => return bad.error_response(),
    };
    let now_ms = shared.now_ms();
    if !lock(&shared.state).take_token(shared.options.appends_per_s, now_ms) {
        return server::refusal(StatusCode::SERVICE_UNAVAILABLE, "too many appends");
    }
    sleep_ms(shared.options.append_ms).await;
    match shared.append(&name, record) {
        None => down(),
        Some((_, Mode::LoseAnswers)) => no_answer(),
        Some((offset, _)) => HttpResponse::Ok().json(serde_json::json!({ "offset": offset })),
    }
}

async fn read(
    shared: web::Data<Shared>,
    name: web::Path<String>,
    query: web::Query<ReadQuery>,
) -> HttpResponse {
    lock(&shared.state).report.reads += 1;
    shared.hold_back().await;
    let limit = time::Duration::from_millis(query.wait_ms);
    let end = tokio::time::Instant::now() + limit;
    // Subscribed before the first look, so no append falls between look and wait.
    let mut changed = shared.changed.subscribe();
    loop {
        let Some(page) = shared.read(&name, &query) else {
            return down();
        };
        let over = tokio::time::Instant::now() >= end;
        if over || !page.records.is_empty() {
            return HttpResponse::Ok().json(page);
        }
        // Either outcome leads to another look.
        drop(tokio::time::timeout_at(end, changed.changed()).await);
    }
}

async fn control(shared: web::Data<Shared>, body: web::Bytes) -> HttpResponse {
    match server::read_json::<Control>(&body) {
        Ok(control) => {
            shared.control(&control);
            HttpResponse::Ok().json(lock(&shared.state).report)
        }
        Err(bad) => bad.error_response(),
    }
}

async fn report(shared: web::Data<Shared>) -> HttpResponse {
    HttpResponse::Ok().json(lock(&shared.state).report)
}
