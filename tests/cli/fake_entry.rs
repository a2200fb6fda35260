//! Fake entry that issues tickets and gives configured answers.

use std::sync;

use actix_web::web;
use bulrushtiller::api;
use bulrushtiller::codes;
use bulrushtiller::ids;
use bulrushtiller_standins::server;
use futures_util::stream;
use smol_str::SmolStr;
use smol_str::format_smolstr;

/// Response of the fake to a submission.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Behaviour {
    /// Sends a final answer with this code.
    Answer(codes::Code),
    /// Sends an answer that is never final.
    Pending,
    /// Breaks the connection after reading the submission.
    DropConnection,
}

/// Received call.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// Method and path, with the query.
    pub line: String,
    /// Value of the `Authorization` header.
    pub authorization: String,
    /// JSON body, or null.
    pub body: serde_json::Value,
}

#[derive(Clone, Debug)]
struct Shared {
    name: SmolStr,
    behaviour: Behaviour,
    silent_entry: Option<SmolStr>,
    calls: sync::Arc<sync::Mutex<Vec<Call>>>,
}

/// Running fake entry.
#[derive(Debug)]
pub struct FakeEntry {
    server: server::Server,
    shared: Shared,
}

impl FakeEntry {
    /// Starts to listen on a free port; needs a running actix system.
    pub fn start(name: &str, behaviour: Behaviour) -> Self {
        Self::start_with_silent_entry(name, behaviour, None)
    }

    /// Starts with a peer entry in its status that does not answer, at address `silent`.
    pub fn start_with_silent_entry(name: &str, behaviour: Behaviour, silent: Option<&str>) -> Self {
        let shared = Shared {
            name: SmolStr::new(name),
            behaviour,
            silent_entry: silent.map(SmolStr::new),
            calls: sync::Arc::default(),
        };
        let data = web::Data::new(shared.clone());
        let configure = move |cfg: &mut web::ServiceConfig| {
            cfg.app_data(data.clone()).default_service(web::to(serve));
        };
        let listen = "127.0.0.1:0".parse().unwrap();
        let server = server::Server::start(listen, configure).unwrap();
        Self { server, shared }
    }

    /// Returns the address on which the fake listens.
    pub fn address(&self) -> String {
        self.server.address().to_string()
    }

    /// Returns the received calls in order.
    pub fn calls(&self) -> Vec<Call> {
        self.shared.calls.lock().unwrap().clone()
    }

    /// Returns the received calls whose line starts with `start`.
    pub fn calls_starting_with(&self, start: &str) -> Vec<Call> {
        let calls = self.calls().into_iter();
        calls.filter(|call| call.line.starts_with(start)).collect()
    }
}

async fn serve(
    req: actix_web::HttpRequest,
    shared: web::Data<Shared>,
    body: web::Bytes,
) -> actix_web::HttpResponse {
    let header = req.headers().get("authorization");
    let call = Call {
        line: format!("{} {}", req.method(), req.uri()),
        authorization: header
            .map_or("", |value| value.to_str().unwrap())
            .to_owned(),
        body: serde_json::from_slice(&body).unwrap_or_default(),
    };
    let mut calls = shared.calls.lock().unwrap();
    calls.push(call.clone());
    let number = calls.len() as u64;
    drop(calls);
    match (req.method().as_str(), req.path()) {
        ("POST", "/v1/tickets") => actix_web::HttpResponse::Ok().json(shared.ticket(number)),
        ("POST", "/v1/cancel") => {
            let count = call.body["submissions"].as_array().unwrap().len();
            let answers = vec![answer(codes::Code::CancelledNotRun, None); count];
            actix_web::HttpResponse::Ok().json(api::Cancelled { answers })
        }
        ("GET", "/status") => actix_web::HttpResponse::Ok().json(shared.status()),
        ("GET", "/metrics") => {
            let text = format!("bulrushtiller_tasks_started_total {number}0\n# EOF\n");
            actix_web::HttpResponse::Ok().body(text)
        }
        ("DELETE", _) => reply(&answer(codes::Code::CancelledNotRun, None)),
        ("POST" | "GET", path) if path.starts_with("/v1/") => shared.submission(&call),
        _ => reply(&answer(codes::Code::NoSuchPage, None)),
    }
}

impl Shared {
    fn ticket(&self, number: u64) -> api::Tickets {
        let ticket = ids::Ticket {
            entry: self.name.clone(),
            incarnation: ids::Incarnation(1),
            epoch: 1,
            number,
        };
        api::Tickets {
            tickets: vec![ids::SubmissionId::Ticket(ticket)],
            valid_ms: 60_000,
        }
    }

    fn submission(&self, call: &Call) -> actix_web::HttpResponse {
        let id = serde_json::from_value(call.body["submission"].clone()).ok();
        match self.behaviour {
            Behaviour::Answer(code) => reply(&answer(code, id)),
            Behaviour::Pending => reply(&answer(codes::Code::Pending, id)),
            Behaviour::DropConnection => {
                let drop_error = std::io::Error::other("connection dropped by the fake entry");
                let body = stream::once(async { Err::<web::Bytes, _>(drop_error) });
                actix_web::HttpResponse::Ok().streaming(body)
            }
        }
    }

    fn status(&self) -> api::Status {
        let runner = peer("runner", "runner-1", super::workdir::UNUSED_ADDRESS);
        let entry = self.silent_entry.as_ref();
        let entry = entry.map(|address| peer("entry", "e2", address));
        api::Status {
            leader: Some(self.name.clone()),
            role: SmolStr::new("entry"),
            name: self.name.clone(),
            incarnation: format_smolstr!("incarnation-of-{}", self.name),
            zone: SmolStr::new("Caxias"),
            leaving: false,
            revision: Some(7),
            has_settings: true,
            log_age_ms: Some(5),
            fresh: true,
            zones_out: Vec::new(),
            queued: 3,
            running: 2,
            peers: std::iter::once(runner).chain(entry).collect(),
        }
    }
}

/// Returns the status of a silent process, as its peers report it.
fn peer(role: &str, name: &str, address: &str) -> api::PeerStatus {
    api::PeerStatus {
        role: SmolStr::new(role),
        name: SmolStr::new(name),
        address: SmolStr::new(address),
        zone: SmolStr::new("Vacaria"),
        state: SmolStr::new("silent"),
        revision: Some(6),
        busy: 4,
        slots: 8,
    }
}

fn answer(code: codes::Code, submission: Option<ids::SubmissionId>) -> api::Answer {
    let ran = api::TaskAnswer {
        fate: api::TaskOutcome::Ran,
        code,
        output: Some("stone fits".to_owned()),
        runner: Some(SmolStr::new("runner-1")),
        zone: Some(SmolStr::new("Vacaria")),
        run_ms: 40,
    };
    let is_complete = code == codes::Code::Complete;
    api::Answer {
        submission,
        code,
        text: SmolStr::new(code.text()),
        is_final: !matches!(code, codes::Code::Pending | codes::Code::ClaimUnavailable),
        retry_after_ms: None,
        ticket: None,
        tasks: if is_complete { vec![ran] } else { Vec::new() },
        elapsed_ms: 41,
    }
}

fn reply(answer: &api::Answer) -> actix_web::HttpResponse {
    let status = actix_web::http::StatusCode::from_u16(answer.code.http_status()).unwrap();
    actix_web::HttpResponse::build(status).json(answer)
}
