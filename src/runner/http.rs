//! HTTP server of a runner; one port serves entries and operators.

use actix_web::web;

use crate::codes;
use crate::incoming;
use crate::operators;
use crate::runner::control;
use crate::runner::messages;
use crate::wire;

/// Maximum number of attempts in one fence.
///
/// Barring an unknown attempt adds a record to the ledger, and a message of 8 MiB could name
/// enough of them to fill it.
pub const MAX_FENCED_ATTEMPTS: usize = 10_000;

/// State shared by the request handlers.
#[derive(Clone, Debug)]
pub struct Shared {
    /// The control thread.
    pub control: actix::Addr<control::Control>,
}

/// Registers all routes.
pub fn routes(cfg: &mut web::ServiceConfig) {
    incoming::configure_errors(cfg);
    cfg.route(wire::DISPATCH_PATH, web::post().to(dispatch));
    cfg.route(wire::FENCE_PATH, web::post().to(fence));
    cfg.route(wire::HEARTBEAT_PATH, web::post().to(heartbeat));
    operators::peer_routes(cfg);
    operators::routes(cfg);
    cfg.default_service(web::to(incoming::not_found));
}

async fn dispatch(shared: web::Data<Shared>, payload: web::Payload) -> actix_web::HttpResponse {
    let dispatch: wire::Dispatch = match incoming::read_message(payload).await {
        Ok(dispatch) => dispatch,
        Err(refusal) => return refusal,
    };
    match shared.control.send(messages::PeerDispatch(dispatch)).await {
        Ok(Some(reply)) => incoming::message(&reply),
        _ => incoming::refuse(codes::Code::Leaving),
    }
}

async fn fence(shared: web::Data<Shared>, payload: web::Payload) -> actix_web::HttpResponse {
    let fence: wire::Fence = match incoming::read_message(payload).await {
        Ok(fence) => fence,
        Err(refusal) => return refusal,
    };
    if fence.attempts.len() > MAX_FENCED_ATTEMPTS {
        return incoming::refuse(codes::Code::TooLarge);
    }
    match shared.control.send(messages::PeerFence(fence)).await {
        Ok(reply) => incoming::message(&reply),
        Err(_ended) => incoming::refuse(codes::Code::Leaving),
    }
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
