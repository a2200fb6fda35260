//! Naive dispatcher, as a baseline for comparisons with the real processes.
//!
//! One process serves the same calls as an entry. Each task goes to a worker drawn at random
//! and is served in order of arrival, with as many concurrent tasks as the worker has slots.
//! Queues are unbounded, deadlines are ignored, nothing can be cancelled, all answers are
//! kept and every token is accepted.

mod answers;
mod dispatch;

use std::io;
use std::net;
use std::sync;
use std::time;

use actix_web::HttpResponse;
use actix_web::http::StatusCode;
use actix_web::web;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::command;
use crate::server;

pub use answers::Answer;

/// Maximum number of tickets per call, as at an entry.
const MAX_TICKETS: u64 = 1000;

/// Reported validity of tickets, in milliseconds; in fact they never expire.
const TICKETS_VALID_MS: u64 = 3_600_000;

/// Options of the dispatcher.
#[derive(Clone, Debug)]
pub struct Options {
    /// Listen address.
    pub listen: net::SocketAddr,
    /// Addresses of the workers; at least one.
    pub workers: Vec<net::SocketAddr>,
    /// Maximum number of concurrent tasks on each worker; at least 1.
    pub slots: usize,
    /// Seed of the random choice of workers.
    pub seed: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            listen: command::ANY_PORT,
            workers: Vec::new(),
            slots: 8,
            seed: 1,
        }
    }
}

/// Body of `POST /v1/jobs`; other fields are ignored.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
struct Submission {
    #[serde(default)]
    submission: Option<SmolStr>,
    #[serde(default)]
    wait_ms: u64,
    tasks: Vec<Task>,
}

/// One task of a submission.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize)]
struct Task {
    #[serde(default)]
    kind: SmolStr,
    #[serde(default)]
    payload: SmolStr,
    #[serde(default)]
    cpu_milli: u32,
    #[serde(default)]
    memory_mib: u32,
    #[serde(default)]
    accelerators: u32,
}

#[derive(Clone, Copy, Debug)]
#[derive(Deserialize)]
struct TicketOrder {
    count: u64,
}

#[derive(Clone, Debug)]
#[derive(Serialize)]
struct Tickets {
    tickets: Vec<String>,
    valid_ms: u64,
}

#[derive(Clone, Copy, Debug)]
#[derive(Deserialize)]
struct Wait {
    #[serde(default)]
    wait_ms: u64,
}

/// A dispatcher that runs until it is stopped.
#[derive(Debug)]
pub struct Naive {
    server: server::Server,
}

impl Naive {
    /// Binds the address and starts to serve. Requires a running actix system.
    ///
    /// Fails without a worker or with 0 slots.
    pub fn start(options: &Options) -> io::Result<Self> {
        if options.workers.is_empty() || options.slots == 0 {
            return Err(io::Error::other(
                "at least one worker and one slot are required",
            ));
        }
        let answers = sync::Arc::new(answers::Answers::default());
        let dispatcher = sync::Arc::new(dispatch::Dispatcher::new(options));
        let server = server::Server::start(options.listen, move |cfg| {
            // The client belongs to the server's thread, in which this closure runs.
            cfg.app_data(web::Data::new(dispatch::client()))
                .app_data(web::Data::from(sync::Arc::clone(&answers)))
                .app_data(web::Data::from(sync::Arc::clone(&dispatcher)))
                .route("/v1/tickets", web::post().to(tickets))
                .route("/v1/jobs", web::post().to(submit))
                .route("/v1/submissions/{id}", web::get().to(fetch))
                .route("/metrics", web::get().to(metrics));
        })?;
        Ok(Self { server })
    }

    /// Returns the address that the dispatcher listens on.
    pub const fn address(&self) -> net::SocketAddr {
        self.server.address()
    }

    /// Waits until the dispatcher has stopped.
    pub async fn finished(self) -> io::Result<()> {
        self.server.finished().await
    }
}

type Reply = Result<HttpResponse, server::BadBody>;

async fn tickets(answers: web::Data<answers::Answers>, body: web::Bytes) -> Reply {
    let order: TicketOrder = server::read_json(&body)?;
    let count = order.count.clamp(1, MAX_TICKETS);
    let tickets = (0..count).map(|_| answers.ticket()).collect();
    Ok(HttpResponse::Ok().json(Tickets {
        tickets,
        valid_ms: TICKETS_VALID_MS,
    }))
}

async fn submit(
    answers: web::Data<answers::Answers>,
    dispatcher: web::Data<dispatch::Dispatcher>,
    client: web::Data<awc::Client>,
    body: web::Bytes,
) -> Reply {
    let submission: Submission = server::read_json(&body)?;
    if submission.tasks.is_empty() {
        return Err(server::BadBody::Invalid("a submission has a task"));
    }
    let id = submission.submission.clone();
    let id = id.unwrap_or_else(|| answers.ticket().into());
    // A repeated submission waits for the answer of the first one and starts nothing.
    if let Some(sender) = answers.register(&id) {
        let (client, tasks) = (client.get_ref().clone(), submission.tasks);
        let dispatcher = dispatcher.into_inner();
        actix_rt::spawn(async move { sender.set(dispatcher.run(&client, tasks).await) });
    }
    Ok(answer(&answers, &id, submission.wait_ms).await)
}

async fn fetch(
    answers: web::Data<answers::Answers>,
    id: web::Path<SmolStr>,
    query: web::Query<Wait>,
) -> HttpResponse {
    answer(&answers, &id, query.wait_ms).await
}

async fn answer(answers: &answers::Answers, id: &str, wait_ms: u64) -> HttpResponse {
    let wait = time::Duration::from_millis(wait_ms);
    match answers.wait(id, wait).await {
        Some(answer) if answer.is_final => HttpResponse::Ok().json(answer),
        Some(answer) => HttpResponse::Accepted().json(answer),
        None => server::json_error(StatusCode::NOT_FOUND, "no such submission"),
    }
}

/// Serves the counters that the load driver reads from entries; no message is wasted here.
async fn metrics(dispatcher: web::Data<dispatch::Dispatcher>) -> HttpResponse {
    let started = dispatcher.started();
    HttpResponse::Ok().body(format!(
        "bulrushtiller_tasks_started_total {started}\n\
         bulrushtiller_wasted_messages_total 0\n# EOF\n"
    ))
}
