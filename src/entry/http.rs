//! HTTP API of an entry: one port for callers and operators, one for other processes.

use std::sync;

use actix_web::http;
use actix_web::web;
use futures_util::StreamExt as _;
use futures_util::stream;
use serde::Deserialize;
use serde::de;
use sha2::Digest as _;
use smol_str::SmolStr;

use crate::api;
use crate::codes;
use crate::entry::control;
use crate::entry::forwarding;
use crate::entry::messages;
use crate::heartbeats;
use crate::ids;
use crate::incoming;
use crate::jobs::answer;
use crate::operators;
use crate::settings;
use crate::wire;

/// State shared by the HTTP handlers.
#[derive(Clone, Debug)]
pub struct Shared {
    /// Address of the control thread.
    pub control: actix::Addr<control::Control>,
    /// The settings in force.
    pub snapshot: heartbeats::SettingsSnapshot,
    /// The incarnation of this entry.
    pub incarnation: ids::Incarnation,
}

/// Maximum number of submissions per cancel request.
pub const MAX_CANCELS: usize = 1_000;

/// Maximum number of concurrent cancellations per request; each may need a connection to
/// the owner of its submission.
const MAX_CONCURRENT_CANCELS: usize = 64;

/// Registers the routes for callers and operators.
pub fn public_routes(cfg: &mut web::ServiceConfig) {
    incoming::configure_errors(cfg);
    cfg.route("/v1/tickets", web::post().to(tickets));
    cfg.route("/v1/jobs", web::post().to(submit_job));
    cfg.route("/v1/requests", web::post().to(submit_request));
    cfg.route("/v1/cancel", web::post().to(cancel_many));
    cfg.route("/v1/submissions/{id}", web::get().to(fetch));
    cfg.route("/v1/submissions/{id}", web::delete().to(cancel));
    operators::routes(cfg);
    cfg.default_service(web::to(incoming::not_found));
}

/// Registers the routes for other processes.
pub fn peer_routes(cfg: &mut web::ServiceConfig) {
    incoming::configure_errors(cfg);
    cfg.route(wire::HEARTBEAT_PATH, web::post().to(heartbeat));
    cfg.route(wire::FORWARD_PATH, web::post().to(forwarded));
    operators::peer_routes(cfg);
    operators::routes(cfg);
    cfg.default_service(web::to(incoming::not_found));
}

impl Shared {
    /// Returns the settings in force.
    ///
    /// Without settings the error is [`codes::Code::NotFresh`], which says that nothing
    /// was run, and not that the token is unknown.
    fn settings(&self) -> Result<sync::Arc<settings::Settings>, codes::Code> {
        let snapshot = self.snapshot.read();
        let known = snapshot.ok().and_then(|known| known.clone());
        known.ok_or(codes::Code::NotFresh)
    }

    /// Returns the team whose bearer token the request carries.
    fn team(&self, req: &actix_web::HttpRequest) -> Result<SmolStr, codes::Code> {
        let header = req.headers().get(http::header::AUTHORIZATION);
        let token = header.and_then(|value| value.to_str().ok());
        let token = token.and_then(|value| value.strip_prefix("Bearer "));
        let token = token.ok_or(codes::Code::BadToken)?;
        let settings = self.settings()?;
        let hash = hash_token(token);
        let has_token = |team: &settings::Team| team.token_sha256.contains(&hash);
        let mut teams = settings.teams.iter();
        let found = teams
            .find(|(_, team)| has_token(team))
            .map(|(name, _)| name.clone());
        found.ok_or(codes::Code::BadToken)
    }

    async fn read_json<T: de::DeserializeOwned>(
        &self,
        payload: web::Payload,
    ) -> Result<T, incoming::Refusal> {
        let settings = self.settings()?;
        let max = settings.limits.max_body_bytes as usize;
        let body = incoming::read_body(payload, max).await?;
        let to_refusal = |err| incoming::Refusal::new(codes::Code::BadBody, err);
        serde_json::from_slice(&body).map_err(to_refusal)
    }

    pub(super) async fn call(&self, team: SmolStr, call: wire::Call) -> api::Answer {
        let wait_ms = call_wait_ms(&call);
        let id = call_id(&call);
        let message = messages::CallerCall {
            team: team.clone(),
            call: call.clone(),
        };
        match self.control.send(message).await {
            Ok(messages::Resolution::Answer(answer)) => *answer,
            Ok(messages::Resolution::Forward {
                owner,
                if_silent,
                ticket,
            }) => match (ticket, call) {
                (Some(ticket), wire::Call::Submit(submission)) => {
                    forwarding::pass_on_submission(self, &owner, team, submission, ticket).await
                }
                (_, call) => {
                    let answer = forwarding::forward(&owner, team, call, wait_ms).await;
                    answer.unwrap_or_else(|| forwarding::unanswered(id, if_silent))
                }
            },
            // The control thread ended with the call in its mailbox and may have accepted it.
            Err(_ended) => answer::bare(id, codes::Code::OwnerGone, true),
        }
    }
}

/// Returns the SHA-256 of a bearer token in lower-case hexadecimal.
pub fn hash_token(token: &str) -> SmolStr {
    use std::fmt::Write as _;

    let digest = sha2::Sha256::digest(token.as_bytes());
    let mut hex = smol_str::SmolStrBuilder::new();
    for byte in digest {
        // Writing to a buffer in memory does not fail.
        let _written = write!(hex, "{byte:02x}");
    }
    hex.finish()
}

const fn call_wait_ms(call: &wire::Call) -> u64 {
    match call {
        wire::Call::Submit(submission) => submission.wait_ms,
        wire::Call::Fetch { wait_ms, .. } => *wait_ms,
        wire::Call::Cancel { .. } => 0,
    }
}

pub(super) fn call_id(call: &wire::Call) -> Option<ids::SubmissionId> {
    match call {
        wire::Call::Submit(submission) => submission.submission.clone(),
        wire::Call::Fetch { submission, .. } | wire::Call::Cancel { submission } => {
            Some(submission.clone())
        }
    }
}

async fn tickets(
    shared: web::Data<Shared>,
    req: actix_web::HttpRequest,
    payload: web::Payload,
) -> actix_web::HttpResponse {
    let result = async {
        shared.team(&req)?;
        let order = shared.read_json(payload).await?;
        let issued = shared.control.send(messages::IssueTickets(order)).await;
        let issued = issued.map_err(|_ended| codes::Code::Leaving)?;
        issued.map_err(incoming::Refusal::from)
    };
    match result.await {
        Ok(tickets) => actix_web::HttpResponse::Ok().json(tickets),
        Err(refusal) => incoming::refuse_with_detail(&refusal),
    }
}

async fn submit_job(
    shared: web::Data<Shared>,
    req: actix_web::HttpRequest,
    payload: web::Payload,
) -> actix_web::HttpResponse {
    respond(submit(&shared, &req, payload, usize::MAX).await)
}

async fn submit_request(
    shared: web::Data<Shared>,
    req: actix_web::HttpRequest,
    payload: web::Payload,
) -> actix_web::HttpResponse {
    respond(submit(&shared, &req, payload, 1).await)
}

fn respond(answered: Result<api::Answer, incoming::Refusal>) -> actix_web::HttpResponse {
    match answered {
        Ok(answer) => incoming::answer(&answer),
        Err(refusal) => incoming::refuse_with_detail(&refusal),
    }
}

async fn submit(
    shared: &Shared,
    req: &actix_web::HttpRequest,
    payload: web::Payload,
    max_tasks: usize,
) -> Result<api::Answer, incoming::Refusal> {
    let team = shared.team(req)?;
    let submission: api::Submission = shared.read_json(payload).await?;
    let settings = shared.settings()?;
    validate(&submission, &settings.limits, max_tasks)?;
    Ok(shared.call(team, wire::Call::Submit(submission)).await)
}

fn validate(
    submission: &api::Submission,
    limits: &settings::Limits,
    max_tasks: usize,
) -> Result<(), incoming::Refusal> {
    let tasks = submission.tasks.len();
    if tasks == 0 || (max_tasks == 1 && tasks > 1) {
        let detail = format!("{tasks} tasks; a job has one or more, a request exactly one");
        return Err(incoming::Refusal::new(codes::Code::BadBody, detail));
    }
    let limit = limits.max_job_tasks;
    if tasks > limit as usize {
        let detail = format!("{tasks} tasks; at most {limit}");
        return Err(incoming::Refusal::new(codes::Code::TooLarge, detail));
    }
    let limit = limits.max_payload_bytes;
    let is_large = |task: &api::Task| task.payload.len() > limit as usize;
    if submission.tasks.iter().any(is_large) {
        let detail = format!("a payload has more than {limit} bytes");
        return Err(incoming::Refusal::new(codes::Code::TooLarge, detail));
    }
    let is_kind_valid =
        |task: &api::Task| task.kind.is_empty() || ids::check_name(&task.kind).is_ok();
    if !submission.tasks.iter().all(is_kind_valid) {
        let detail = "a kind is no name: 1 to 64 of a-z, A-Z, 0-9, '-' and '_'";
        return Err(incoming::Refusal::new(codes::Code::BadBody, detail));
    }
    Ok(())
}

#[derive(Deserialize)]
struct FetchQuery {
    #[serde(default)]
    wait_ms: u64,
}

async fn fetch(
    shared: web::Data<Shared>,
    req: actix_web::HttpRequest,
    id: web::Path<SmolStr>,
    query: web::Query<FetchQuery>,
) -> actix_web::HttpResponse {
    let result = async {
        let team = shared.team(&req)?;
        let submission = parse_id(id.into_inner())?;
        let call = wire::Call::Fetch {
            submission,
            wait_ms: query.wait_ms,
        };
        Ok(shared.call(team, call).await)
    };
    respond(result.await)
}

async fn cancel(
    shared: web::Data<Shared>,
    req: actix_web::HttpRequest,
    id: web::Path<SmolStr>,
) -> actix_web::HttpResponse {
    let result = async {
        let team = shared.team(&req)?;
        let submission = parse_id(id.into_inner())?;
        Ok(shared.call(team, wire::Call::Cancel { submission }).await)
    };
    respond(result.await)
}

async fn cancel_many(
    shared: web::Data<Shared>,
    req: actix_web::HttpRequest,
    payload: web::Payload,
) -> actix_web::HttpResponse {
    let result = async {
        let team = shared.team(&req)?;
        let order: api::CancelOrder = shared.read_json(payload).await?;
        if order.submissions.len() > MAX_CANCELS {
            let detail = format!("at most {MAX_CANCELS} submissions");
            return Err(incoming::Refusal::new(codes::Code::TooLarge, detail));
        }
        let calls = order
            .submissions
            .into_iter()
            .map(|submission| shared.call(team.clone(), wire::Call::Cancel { submission }));
        let answers = stream::iter(calls)
            .buffered(MAX_CONCURRENT_CANCELS)
            .collect()
            .await;
        Ok::<_, incoming::Refusal>(api::Cancelled { answers })
    };
    match result.await {
        Ok(cancelled) => actix_web::HttpResponse::Ok().json(cancelled),
        Err(refusal) => incoming::refuse_with_detail(&refusal),
    }
}

fn parse_id(text: SmolStr) -> Result<ids::SubmissionId, codes::Code> {
    ids::SubmissionId::try_from(text).map_err(|_bad| codes::Code::BadTicket)
}

async fn heartbeat(shared: web::Data<Shared>, payload: web::Payload) -> actix_web::HttpResponse {
    let heartbeat: wire::Heartbeat = match incoming::read_message(payload).await {
        Ok(heartbeat) => heartbeat,
        Err(refusal) => return refusal,
    };
    if let Err(code) = incoming::check_peer(&heartbeat.sender) {
        return incoming::refuse(code);
    }
    match shared
        .control
        .send(messages::PeerHeartbeat(heartbeat))
        .await
    {
        Ok(reply) => incoming::message(&reply),
        Err(_ended) => incoming::refuse(codes::Code::Leaving),
    }
}

async fn forwarded(shared: web::Data<Shared>, payload: web::Payload) -> actix_web::HttpResponse {
    let forward: wire::Forward = match incoming::read_message(payload).await {
        Ok(forward) => forward,
        Err(refusal) => return refusal,
    };
    let id = call_id(&forward.call);
    let answer = if forward.incarnation != shared.incarnation {
        answer::bare(id, codes::Code::OwnerGone, true)
    } else if let Err(refusal) = validate_forward(&shared, &forward) {
        refusal.answer(id)
    } else {
        handle_owned(&shared, forward, id).await
    };
    incoming::message(&wire::ForwardReply {
        version: wire::VERSION,
        answer,
    })
}

/// Validates a forwarded call against the settings in force here.
///
/// The forwarding entry has validated it against its own settings, which may be older. A
/// job without tasks would never be answered.
fn validate_forward(shared: &Shared, forward: &wire::Forward) -> Result<(), incoming::Refusal> {
    let settings = shared.settings()?;
    if !settings.teams.contains_key(&forward.team) {
        return Err(codes::Code::BadToken.into());
    }
    match &forward.call {
        wire::Call::Submit(submission) => validate(submission, &settings.limits, usize::MAX),
        wire::Call::Fetch { .. } | wire::Call::Cancel { .. } => Ok(()),
    }
}

/// Handles a forwarded call as its owner.
///
/// A call is forwarded only once, so two entries cannot send it back and forth.
async fn handle_owned(
    shared: &Shared,
    forward: wire::Forward,
    id: Option<ids::SubmissionId>,
) -> api::Answer {
    let message = messages::CallerCall {
        team: forward.team,
        call: forward.call,
    };
    match shared.control.send(message).await {
        Ok(messages::Resolution::Answer(answer)) => *answer,
        Ok(messages::Resolution::Forward { .. }) => answer::bare(id, codes::Code::OwnerGone, true),
        Err(_ended) => forwarding::unanswered(id, (codes::Code::OwnerSilent, false)),
    }
}
