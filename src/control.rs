//! Messages from the HTTP threads to the control thread, common to both roles.

use std::time;

use crate::api;
use crate::audit;
use crate::metrics;
use crate::wire;

/// Requests the status for `GET /status`.
#[derive(Clone, Copy, Debug)]
#[derive(actix::Message)]
#[rtype(result = "api::Status")]
pub struct GetStatus;

/// Requests the metrics for a scrape.
#[derive(Clone, Copy, Debug)]
#[derive(actix::Message)]
#[rtype(result = "Vec<metrics::Sample>")]
pub struct GetMetrics;

/// Requests settings on behalf of a peer.
#[derive(Clone, Copy, Debug)]
#[derive(actix::Message)]
#[rtype(result = "wire::SettingsReply")]
pub struct GetSettings(pub wire::SettingsQuery);

/// Requests a page of the audit trail from this event number on.
#[derive(Clone, Copy, Debug)]
#[derive(actix::Message)]
#[rtype(result = "audit::Page")]
pub struct GetAudit(pub u64);

/// Starts a graceful stop; the result is its maximum duration by the settings in force.
#[derive(Clone, Copy, Debug)]
#[derive(actix::Message)]
#[rtype(result = "time::Duration")]
pub struct Leave;

/// Asks whether a stopping process has finished all of its work.
#[derive(Clone, Copy, Debug)]
#[derive(actix::Message)]
#[rtype(result = "bool")]
pub struct IsDrained;

/// Ends a graceful stop early: every open submission is answered now.
#[derive(Clone, Copy, Debug)]
#[derive(actix::Message)]
#[rtype(result = "()")]
pub struct Abandon;
