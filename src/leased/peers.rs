//! HTTP routes for the other processes of the system.

use actix_web::web;
use tokio::sync::oneshot;

use crate::codes;
use crate::hangup;
use crate::incoming;
use crate::leased::cancels;
use crate::leased::entry;
use crate::leased::entry::cancel_calls;
use crate::leased::entry::taken_jobs;
use crate::leased::handover;
use crate::leased::messages;
use crate::leased::runner;
use crate::leased::traffic;

/// Adds the routes of a runner for entries.
pub fn runner_routes(cfg: &mut web::ServiceConfig) {
    cfg.route(messages::WATCH_PATH, web::post().to(watch));
    cfg.route(messages::ORDER_PATH, web::post().to(order));
}

/// Adds the routes of an entry for other entries.
pub fn entry_routes(cfg: &mut web::ServiceConfig) {
    cfg.route(messages::KNOWN_PATH, web::get().to(known));
    cfg.route(handover::messages::HANDOVER_PATH, web::post().to(take_in));
    cfg.route(handover::messages::ORIGIN_PATH, web::post().to(heartbeat));
    cfg.route(cancels::messages::CANCEL_PATH, web::post().to(cancel));
}

async fn watch(
    control: web::Data<actix::Addr<runner::Control>>,
    traffic: web::Data<traffic::Traffic>,
    payload: web::Payload,
) -> actix_web::HttpResponse {
    let watch = match incoming::read_message(payload).await {
        Ok(watch) => watch,
        Err(refusal) => return refusal,
    };
    let report: Result<oneshot::Receiver<_>, _> = control.send(runner::WatchReceived(watch)).await;
    let Ok(report) = report else {
        return incoming::refuse(codes::Code::Leaving);
    };
    match report.await {
        Ok(report) => incoming::counted_message(&report, |bytes| traffic.reports.add(bytes)),
        Err(_superseded) => incoming::refuse(codes::Code::Leaving),
    }
}

async fn order(
    control: web::Data<actix::Addr<runner::Control>>,
    payload: web::Payload,
) -> actix_web::HttpResponse {
    let order = match incoming::read_message(payload).await {
        Ok(order) => order,
        Err(refusal) => return refusal,
    };
    match control.send(runner::OrderReceived(order)).await {
        Ok(reply) => incoming::message(&reply),
        Err(_stopped) => incoming::refuse(codes::Code::Leaving),
    }
}

async fn known(control: web::Data<actix::Addr<entry::Control>>) -> actix_web::HttpResponse {
    match control.send(entry::GetKnown).await {
        Ok(known) => incoming::message(&known),
        Err(_stopped) => incoming::refuse(codes::Code::Leaving),
    }
}

/// Takes in a job of another entry, and answers when it has ended.
async fn take_in(
    req: actix_web::HttpRequest,
    control: web::Data<actix::Addr<entry::Control>>,
    payload: web::Payload,
) -> actix_web::HttpResponse {
    let handover: handover::messages::Handover = match incoming::read_message(payload).await {
        Ok(handover) => handover,
        Err(refusal) => return refusal,
    };
    let hangup = req.conn_data::<hangup::Hangup>();
    if hangup.is_some_and(hangup::Hangup::is_closed) {
        return incoming::refuse(codes::Code::BadBody);
    }
    let take_in = taken_jobs::TakeIn {
        handover,
        connection: hangup.map(hangup::Hangup::connection),
    };
    let mut taken = match control.send(take_in).await {
        Ok(taken_jobs::TakeInResult::Taken(taken)) => taken,
        Ok(taken_jobs::TakeInResult::Declined(reply)) => return incoming::message(&reply),
        Err(_stopped) => return incoming::refuse(codes::Code::Leaving),
    };
    let end = tokio::select! {
        outcome = taken.answer => {
            taken.guard.disarm();
            outcome.map_or(handover::messages::JobEnd::Withdrawn, Into::into)
        }
        () = hangup::closed(hangup) => handover::messages::JobEnd::Withdrawn,
    };
    let result = handover::messages::HandoverResult::Ended(end);
    incoming::message(&taken.reporter.reply(result))
}

async fn heartbeat(
    control: web::Data<actix::Addr<entry::Control>>,
    payload: web::Payload,
) -> actix_web::HttpResponse {
    let heartbeat = match incoming::read_message(payload).await {
        Ok(heartbeat) => heartbeat,
        Err(refusal) => return refusal,
    };
    match control.send(taken_jobs::HeartbeatReceived(heartbeat)).await {
        Ok(reply) => incoming::message(&reply),
        Err(_stopped) => incoming::refuse(codes::Code::Leaving),
    }
}

async fn cancel(
    control: web::Data<actix::Addr<entry::Control>>,
    payload: web::Payload,
) -> actix_web::HttpResponse {
    let message: cancels::messages::CancelJobs = match incoming::read_message(payload).await {
        Ok(message) => message,
        Err(refusal) => return refusal,
    };
    let Ok(notice) = cancels::messages::Notice::try_from(message) else {
        return incoming::refuse(codes::Code::BadBody);
    };
    let ids = notice.ids.clone();
    match control.send(cancel_calls::CancelReceived(notice)).await {
        Ok(received) => {
            let reply = cancel_calls::relay(received, ids).await;
            incoming::message(&cancels::messages::CancelReply::from(reply))
        }
        Err(_stopped) => incoming::refuse(codes::Code::Leaving),
    }
}
