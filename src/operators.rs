//! HTTP routes for operators in both roles: `/status`, `/metrics`, `/healthz`, `/readyz`
//! and `/audit`.

use actix_web::web;
use serde::Deserialize;

use crate::codes;
use crate::control;
use crate::incoming;
use crate::metrics;
use crate::wire;

/// Message handles to the control thread of either role.
#[derive(Clone)]
pub struct ControlHandles {
    /// Handle for status requests.
    pub status: actix::Recipient<control::GetStatus>,
    /// Handle for metrics requests.
    pub metrics: actix::Recipient<control::GetMetrics>,
    /// Handle for requests for the audit trail.
    pub audit: actix::Recipient<control::GetAudit>,
    /// Handle for settings requests of peers.
    pub settings: actix::Recipient<control::GetSettings>,
}

impl std::fmt::Debug for ControlHandles {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("ControlHandles").finish_non_exhaustive()
    }
}

/// Registers the operators' routes.
pub fn routes(cfg: &mut web::ServiceConfig) {
    cfg.route("/status", web::get().to(status));
    cfg.route("/metrics", web::get().to(scrape));
    cfg.route("/healthz", web::get().to(health));
    cfg.route("/readyz", web::get().to(ready));
    cfg.route("/audit", web::get().to(audit));
}

/// Registers the route from which peers fetch settings.
pub fn peer_routes(cfg: &mut web::ServiceConfig) {
    cfg.route(wire::SETTINGS_PATH, web::post().to(settings));
}

async fn status(handles: web::Data<ControlHandles>) -> actix_web::HttpResponse {
    match handles.status.send(control::GetStatus).await {
        Ok(status) => actix_web::HttpResponse::Ok().json(status),
        Err(_ended) => incoming::refuse(codes::Code::Leaving),
    }
}

async fn scrape(handles: web::Data<ControlHandles>) -> actix_web::HttpResponse {
    let Ok(samples) = handles.metrics.send(control::GetMetrics).await else {
        return incoming::refuse(codes::Code::Leaving);
    };
    metrics::response(samples)
}

/// Liveness check: confirms only that the process responds.
async fn health() -> actix_web::HttpResponse {
    actix_web::HttpResponse::Ok().body("ok\n")
}

/// Readiness check for load balancers: whether to route callers to this process.
async fn ready(handles: web::Data<ControlHandles>) -> actix_web::HttpResponse {
    match handles.status.send(control::GetStatus).await {
        Ok(status) if status.leaving => incoming::refuse(codes::Code::Leaving),
        Ok(status) if !status.has_settings => incoming::refuse(codes::Code::NotFresh),
        Ok(_ready) => actix_web::HttpResponse::Ok().body("ready\n"),
        Err(_ended) => incoming::refuse(codes::Code::Leaving),
    }
}

#[derive(Deserialize)]
struct AuditQuery {
    #[serde(default)]
    from: u64,
}

/// Returns one page of the audit trail; `docs/OPERATIONS.md` describes how to follow it.
async fn audit(
    handles: web::Data<ControlHandles>,
    query: web::Query<AuditQuery>,
) -> actix_web::HttpResponse {
    match handles.audit.send(control::GetAudit(query.from)).await {
        Ok(page) => actix_web::HttpResponse::Ok().json(page),
        Err(_ended) => incoming::refuse(codes::Code::Leaving),
    }
}

async fn settings(
    handles: web::Data<ControlHandles>,
    payload: web::Payload,
) -> actix_web::HttpResponse {
    let query = match incoming::read_message(payload).await {
        Ok(query) => query,
        Err(refusal) => return refusal,
    };
    match handles.settings.send(control::GetSettings(query)).await {
        Ok(reply) => incoming::message(&reply),
        Err(_ended) => incoming::refuse(codes::Code::Leaving),
    }
}
