//! Calls that a backend server accepts.

use std::time;

use actix_web::web;

use crate::platform::backend;
use crate::platform::runs;

/// Interval between two checks for ended runs while a `/hold` call waits.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(5);

/// Longest wait of a `/hold` call, in milliseconds.
const MAX_WAIT_MS: u64 = 2_000;

/// Delay of the answer to a start that is answered late.
const LATE_ANSWER: time::Duration = time::Duration::from_millis(70);

/// Time for which an order without an answer keeps its connection.
const NO_ANSWER: time::Duration = time::Duration::from_secs(20);

/// Header that names the incarnation for which a call is meant.
const INCARNATION_HEADER: &str = "Expect-Instance";

/// Registers the routes.
pub(super) fn configure(cfg: &mut web::ServiceConfig) {
    cfg.route("/run-start", web::post().to(start));
    cfg.route("/run-stop", web::post().to(stop));
    cfg.route("/hold", web::post().to(hold));
}

/// Returns the name of the incarnation for which a call is meant.
fn expected(req: &actix_web::HttpRequest) -> Option<String> {
    let value = req.headers().get(INCARNATION_HEADER)?;
    value.to_str().ok().map(str::to_owned)
}

fn respond(state: &runs::State, result: Result<(), runs::Refusal>) -> actix_web::HttpResponse {
    let mut body = serde_json::json!({
        "clock_ms": state.clock_ms(), "born": state.started_at_ms(),
    });
    match result {
        Ok(()) => actix_web::HttpResponse::Ok().json(body),
        Err(runs::Refusal::OtherIncarnation) => {
            actix_web::HttpResponse::MisdirectedRequest().json(body)
        }
        Err(runs::Refusal::Conflict(reason)) => {
            body["reason"] = reason.into();
            actix_web::HttpResponse::Conflict().json(body)
        }
    }
}

/// Executes an order after a delay, and doesn't answer it.
async fn execute_late(
    delay: time::Duration,
    order: impl FnOnce() + 'static,
) -> actix_web::HttpResponse {
    actix_rt::spawn(async move {
        tokio::time::sleep(delay).await;
        order();
    });
    tokio::time::sleep(NO_ANSWER).await;
    actix_web::HttpResponse::GatewayTimeout().finish()
}

async fn start(
    req: actix_web::HttpRequest,
    backend: web::Data<backend::Backend>,
    start: web::Json<runs::Start>,
) -> actix_web::HttpResponse {
    backend.record_connection(&req);
    let (expected, start) = (expected(&req), start.into_inner());
    if let Some(delay) = backend.lateness() {
        let order = move || drop(execute_start(&backend, expected.as_deref(), start));
        return execute_late(delay, order).await;
    }
    let (response, is_late) = execute_start(&backend, expected.as_deref(), start);
    if is_late {
        tokio::time::sleep(LATE_ANSWER).await;
    }
    response
}

/// Executes a start; returns the answer and whether it is late.
fn execute_start(
    backend: &backend::Backend,
    expected: Option<&str>,
    start: runs::Start,
) -> (actix_web::HttpResponse, bool) {
    let mut state = backend.lock();
    let is_late = state.late_answers > 0;
    state.late_answers = state.late_answers.saturating_sub(1);
    let result = state.start(expected, start);
    (respond(&state, result), is_late)
}

async fn stop(
    req: actix_web::HttpRequest,
    backend: web::Data<backend::Backend>,
    stop: web::Json<runs::Stop>,
) -> actix_web::HttpResponse {
    let (expected, stop) = (expected(&req), stop.into_inner());
    if let Some(delay) = backend.lateness() {
        let order = move || drop(execute_stop(&backend, expected.as_deref(), &stop));
        return execute_late(delay, order).await;
    }
    execute_stop(&backend, expected.as_deref(), &stop)
}

fn execute_stop(
    backend: &backend::Backend,
    expected: Option<&str>,
    stop: &runs::Stop,
) -> actix_web::HttpResponse {
    let mut state = backend.lock();
    let result = state.stop(expected, stop);
    respond(&state, result)
}

async fn hold(
    req: actix_web::HttpRequest,
    backend: web::Data<backend::Backend>,
    hold: web::Json<runs::Hold>,
) -> actix_web::HttpResponse {
    backend.record_connection(&req);
    let expected = expected(&req);
    if let Some(delay) = backend.hold_lateness() {
        let order = move || {
            let _ = backend.lock().renew(expected.as_deref(), &hold);
        };
        return execute_late(delay, order).await;
    }
    let wait = time::Duration::from_millis(hold.wait_ms.min(MAX_WAIT_MS));
    let until = time::Instant::now() + wait;
    {
        let mut state = backend.lock();
        let result = state.renew(expected.as_deref(), &hold);
        if result.is_err() {
            return respond(&state, result);
        }
    }
    while !backend.lock().has_ends() && time::Instant::now() < until {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    actix_web::HttpResponse::Ok().json(backend.lock().list())
}
