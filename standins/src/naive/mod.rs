//! A naive dispatcher, to compare real processes with.
//!
//! One process takes the same calls as an entry and hands each task to a worker drawn at
//! random, first come first served, with as many at once as the worker has slots. Nothing
//! bounds what waits, no deadline is kept, nothing can be cancelled, every answer is kept
//! and any token will do.

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

/// Tickets in one call, as at an entry.
const MAX_TICKETS: u64 = 1000;

/// How long tickets are said to be good; they always are.
const TICKETS_VALID_MS: u64 = 3_600_000;

/// How the dispatcher is set up.
#[derive(Clone, Debug)]
pub struct Options {
    /// Where it listens.
    pub listen: net::SocketAddr,
    /// The workers; at least one.
    pub workers: Vec<net::SocketAddr>,
    /// Tasks that run at once on each.
    pub slots: usize,
    /// Decides which worker each task goes to.
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

/// `POST /v1/jobs`; further fields are passed over.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
struct Submission {
    #[serde(default)]
    submission: Option<SmolStr>,
    #[serde(default)]
    wait_ms: u64,
    tasks: Vec<Task>,
}

/// One task of it.
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
    /// Listens and serves; needs a running actix system.
    pub fn start(options: &Options) -> io::Result<Self> {
        if options.workers.is_empty() || options.slots == 0 {
            return Err(io::Error::other("a worker and a slot are needed"));
        }
        let answers = sync::Arc::new(answers::Answers::default());
        let dispatcher = sync::Arc::new(dispatch::Dispatcher::new(options));
        let server = server::Server::start(options.listen, move |cfg| {
            // Connections belong to the thread that serves, in which this runs.
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

    /// Where it listens.
    pub const fn address(&self) -> net::SocketAddr {
        self.server.address()
    }

    /// Waits until it has ended.
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
        return Err(server::BadBody::Impossible("a submission has a task"));
    }
    let id = submission.submission.clone();
    let id = id.unwrap_or_else(|| answers.ticket().into());
    // A repeat finds the first one under its id and starts nothing.
    if let Some(end) = answers.open(&id) {
        let (client, tasks) = (client.get_ref().clone(), submission.tasks);
        let dispatcher = dispatcher.into_inner();
        actix_rt::spawn(async move { end.set(dispatcher.run(&client, tasks).await) });
    }
    Ok(answer(&answers, &id, submission.wait_ms).await)
}

async fn fetch(
    answers: web::Data<answers::Answers>,
    id: web::Path<SmolStr>,
    wait: web::Query<Wait>,
) -> HttpResponse {
    answer(&answers, &id, wait.wait_ms).await
}

async fn answer(answers: &answers::Answers, id: &str, wait_ms: u64) -> HttpResponse {
    let wait = time::Duration::from_millis(wait_ms);
    match answers.wait(id, wait).await {
        Some(answer) if answer.is_final => HttpResponse::Ok().json(answer),
        Some(answer) => HttpResponse::Accepted().json(answer),
        None => server::refusal(StatusCode::NOT_FOUND, "no such submission"),
    }
}

/// The counters that a load driver reads from entries; nothing is ever wasted here.
async fn metrics(dispatcher: web::Data<dispatch::Dispatcher>) -> HttpResponse {
    let started = dispatcher.started();
    HttpResponse::Ok().body(format!(
        "bulrushtiller_tasks_started_total {started}\n\
         bulrushtiller_wasted_messages_total 0\n# EOF\n"
    ))
}
