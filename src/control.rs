//! What the traffic threads ask of the control thread in either role.

use std::time;

use crate::api;
use crate::audit;
use crate::metrics;
use crate::wire;

/// An operator wants the status.
#[derive(Clone, Copy, Debug)]
#[derive(actix::Message)]
#[rtype(result = "api::Status")]
pub struct GetStatus;

/// The metrics are scraped.
#[derive(Clone, Copy, Debug)]
#[derive(actix::Message)]
#[rtype(result = "Vec<metrics::Sample>")]
pub struct GetMetrics;

/// A peer wants settings.
#[derive(Clone, Copy, Debug)]
#[derive(actix::Message)]
#[rtype(result = "wire::SettingsReply")]
pub struct GetSettings(pub wire::SettingsQuery);

/// An operator reads the audit trail from this number on.
#[derive(Clone, Copy, Debug)]
#[derive(actix::Message)]
#[rtype(result = "audit::Page")]
pub struct GetAudit(pub u64);

/// The process is to stop; the answer is how long that may take by the settings in
/// force.
#[derive(Clone, Copy, Debug)]
#[derive(actix::Message)]
#[rtype(result = "time::Duration")]
pub struct Leave;

/// Whether a stopping process has brought everything to its end.
#[derive(Clone, Copy, Debug)]
#[derive(actix::Message)]
#[rtype(result = "bool")]
pub struct IsDrained;

/// The time for a graceful stop is over: every submission still open gets its answer.
#[derive(Clone, Copy, Debug)]
#[derive(actix::Message)]
#[rtype(result = "()")]
pub struct Abandon;
