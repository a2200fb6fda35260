//! Stand-in for a worker and its backend server; `docs/WORKER.md` describes its API.

mod run;
mod state;

use std::io;
use std::net;
use std::sync;

use actix_web::HttpResponse;
use actix_web::http::StatusCode;
use actix_web::web;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::command;
use crate::lock;
use crate::server;

pub use run::Ended;
pub use run::Payload;
pub use run::Status;
pub use state::Entry;
pub use state::Event;
pub use state::Journal;
pub use state::Order;
pub use state::Size;
pub use state::Usage;

/// Default age of usage reports, in milliseconds.
const DEFAULT_USAGE_LAG_MS: u64 = 500;

/// Options of the worker.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Listen address.
    pub listen: net::SocketAddr,
    /// Resources of the worker.
    pub size: Size,
    /// Age of usage reports, in milliseconds.
    pub usage_lag_ms: u64,
    /// Speed relative to real time; 0.1 runs all tasks ten times slower.
    pub speed: f64,
    /// Whether every task fails as soon as it is started.
    pub fail_all: bool,
}

impl Default for Options {
    fn default() -> Self {
        let size = Size {
            cpu_milli: 16_000,
            memory_mib: 32_768,
            accelerators: 0,
        };
        Self {
            listen: command::ANY_PORT,
            size,
            usage_lag_ms: DEFAULT_USAGE_LAG_MS,
            speed: 1.0,
            fail_all: false,
        }
    }
}

/// Body of `POST /v1/leases`.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub struct Renewal {
    /// Ids of the tasks whose leases are renewed.
    pub tasks: Vec<SmolStr>,
    /// Duration of the leases from now, in milliseconds.
    pub lease_ms: u64,
}

/// The answer to a [`Renewal`].
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Renewed {
    /// Ids of the tasks that do not run on this worker.
    pub unknown: Vec<SmolStr>,
}

/// Body of `POST /v1/tasks/ID/throttle`.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize, Serialize)]
pub struct Throttle {
    /// Fraction of the usual speed; above 0 and at most 1.
    pub factor: f64,
}

type Shared = sync::Arc<run::Shared>;

/// A worker that runs until it is stopped.
#[derive(Debug)]
pub struct Worker {
    shared: Shared,
    server: server::Server,
}

impl Worker {
    /// Binds the address and starts to serve. Requires a running actix system.
    pub fn start(options: Options) -> io::Result<Self> {
        let shared = sync::Arc::new(run::Shared::new(options));
        let data = web::Data::new(sync::Arc::clone(&shared));
        let server = server::Server::start(options.listen, move |cfg| {
            cfg.app_data(data.clone())
                .route("/v1/tasks", web::post().to(start))
                .route("/v1/leases", web::post().to(renew))
                .route("/v1/tasks/{id}/stop", web::post().to(stop))
                .route("/v1/tasks/{id}/throttle", web::post().to(throttle))
                .route("/v1/usage", web::get().to(usage))
                .route("/v1/journal", web::get().to(journal));
        })?;
        Ok(Self { shared, server })
    }

    /// Returns the address that the worker listens on.
    pub const fn address(&self) -> net::SocketAddr {
        self.server.address()
    }

    /// Returns the same as `GET /v1/journal`.
    pub fn journal(&self, from: usize) -> Journal {
        lock(&self.shared.state).journal(from)
    }

    /// Stops the worker and all its tasks.
    pub async fn stop(self) {
        self.server.stop().await;
    }

    /// Waits until the worker has stopped.
    pub async fn finished(self) -> io::Result<()> {
        self.server.finished().await
    }
}

type Answer = Result<HttpResponse, server::BadBody>;

fn ok_or_not_found(found: bool) -> HttpResponse {
    if found {
        return HttpResponse::Ok().json(serde_json::json!({}));
    }
    server::json_error(StatusCode::NOT_FOUND, "no such task runs here")
}

async fn start(shared: web::Data<Shared>, body: web::Bytes) -> Answer {
    let order: Order = server::read_json(&body)?;
    if order.task.is_empty() || order.lease_ms == 0 {
        return Err(server::BadBody::Invalid("a task needs an id and a lease"));
    }
    let ended = run::run(sync::Arc::clone(&shared), order).await;
    let Some(ended) = ended else {
        return Ok(server::json_error(
            StatusCode::CONFLICT,
            "started here before",
        ));
    };
    Ok(HttpResponse::Ok().json(ended))
}

async fn renew(shared: web::Data<Shared>, body: web::Bytes) -> Answer {
    let renewal: Renewal = server::read_json(&body)?;
    let mut state = lock(&shared.state);
    let mut unknown = renewal.tasks;
    unknown.retain(|task| !state.renew(task, renewal.lease_ms));
    Ok(HttpResponse::Ok().json(Renewed { unknown }))
}

async fn stop(shared: web::Data<Shared>, id: web::Path<String>) -> HttpResponse {
    ok_or_not_found(lock(&shared.state).stop(&id))
}

async fn throttle(shared: web::Data<Shared>, id: web::Path<String>, body: web::Bytes) -> Answer {
    let factor = server::read_json::<Throttle>(&body)?.factor;
    if !(factor > 0.0 && factor <= 1.0) {
        return Err(server::BadBody::Invalid(
            "the factor must be above 0 and at most 1",
        ));
    }
    Ok(ok_or_not_found(lock(&shared.state).throttle(&id, factor)))
}

async fn usage(shared: web::Data<Shared>) -> HttpResponse {
    HttpResponse::Ok().json(lock(&shared.state).lagging_usage())
}

#[derive(Debug)]
#[derive(Deserialize)]
struct JournalQuery {
    #[serde(default)]
    from: usize,
}

async fn journal(shared: web::Data<Shared>, query: web::Query<JournalQuery>) -> HttpResponse {
    HttpResponse::Ok().json(lock(&shared.state).journal(query.from))
}
