//! What either role shows operators: `/status`, `/metrics`, `/healthz`, `/readyz`,
//! `/audit`.

use actix_web::web;
use serde::Deserialize;

use crate::codes;
use crate::control;
use crate::incoming;
use crate::metrics;
use crate::wire;

/// Ways to the control thread, whatever its role.
#[derive(Clone)]
pub struct Ways {
    /// For the status.
    pub status: actix::Recipient<control::WantStatus>,
    /// For the metrics.
    pub metrics: actix::Recipient<control::WantMetrics>,
    /// For the audit trail.
    pub audit: actix::Recipient<control::WantAudit>,
    /// For settings.
    pub settings: actix::Recipient<control::WantSettings>,
}

impl std::fmt::Debug for Ways {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Ways").finish_non_exhaustive()
    }
}

/// Adds the operators' pages.
pub fn pages(cfg: &mut web::ServiceConfig) {
    cfg.route("/status", web::get().to(status));
    cfg.route("/metrics", web::get().to(scrape));
    cfg.route("/healthz", web::get().to(health));
    cfg.route("/readyz", web::get().to(ready));
    cfg.route("/audit", web::get().to(audit));
}

/// Adds the page where peers fetch settings.
pub fn peer_pages(cfg: &mut web::ServiceConfig) {
    cfg.route(wire::SETTINGS_PATH, web::post().to(settings));
}

async fn status(ways: web::Data<Ways>) -> actix_web::HttpResponse {
    match ways.status.send(control::WantStatus).await {
        Ok(status) => actix_web::HttpResponse::Ok().json(status),
        Err(_ended) => incoming::refuse(codes::Code::Leaving),
    }
}

async fn scrape(ways: web::Data<Ways>) -> actix_web::HttpResponse {
    let Ok(samples) = ways.metrics.send(control::WantMetrics).await else {
        return incoming::refuse(codes::Code::Leaving);
    };
    metrics::page(samples)
}

/// The process answers; nothing more is claimed.
async fn health() -> actix_web::HttpResponse {
    actix_web::HttpResponse::Ok().body("ok\n")
}

/// Whether the balancer should send callers here.
async fn ready(ways: web::Data<Ways>) -> actix_web::HttpResponse {
    match ways.status.send(control::WantStatus).await {
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

/// One page of the audit trail; `docs/OPERATIONS.md` tells how to follow it.
async fn audit(ways: web::Data<Ways>, query: web::Query<AuditQuery>) -> actix_web::HttpResponse {
    match ways.audit.send(control::WantAudit(query.from)).await {
        Ok(page) => actix_web::HttpResponse::Ok().json(page),
        Err(_ended) => incoming::refuse(codes::Code::Leaving),
    }
}

async fn settings(ways: web::Data<Ways>, payload: web::Payload) -> actix_web::HttpResponse {
    let query = match incoming::read_message(payload).await {
        Ok(query) => query,
        Err(refusal) => return refusal,
    };
    match ways.settings.send(control::WantSettings(query)).await {
        Ok(reply) => incoming::message(&reply),
        Err(_ended) => incoming::refuse(codes::Code::Leaving),
    }
}
