//! Backend server that starts every run it is sent, under a lease, and records all runs.

use std::collections;
use std::net;
use std::sync;
use std::time;

use actix_web::web;

use crate::platform::calls;
use crate::platform::profile;
use crate::platform::runs;

pub use crate::platform::runs::Run;

/// Time after which an idle connection is closed.
pub const IDLE_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);

/// Backend server, shared with the test that inspects it.
#[derive(Debug)]
pub struct Backend {
    state: sync::Mutex<runs::State>,
    /// Addresses from which listings and starts came.
    connections: sync::Mutex<collections::HashSet<net::SocketAddr>>,
}

impl Backend {
    /// Creates a backend server with an accurate clock that starts now.
    pub fn new(name: &str, started_at_ms: u64) -> Self {
        Self::with_clock(name, started_at_ms, 1.0)
    }

    /// Creates a backend server whose monotonic clock advances at `clock_rate`.
    pub fn with_clock(name: &str, started_at_ms: u64, clock_rate: f64) -> Self {
        let profile = profile::Profile {
            clock_rate,
            ..profile::Profile::default()
        };
        Self::with_profile(name, started_at_ms, profile)
    }

    /// Creates a backend server with the given properties.
    pub fn with_profile(name: &str, started_at_ms: u64, profile: profile::Profile) -> Self {
        Self {
            state: sync::Mutex::new(runs::State::new(name, started_at_ms, profile)),
            connections: sync::Mutex::default(),
        }
    }

    pub(super) fn lock(&self) -> sync::MutexGuard<'_, runs::State> {
        crate::lock(&self.state)
    }

    /// Sets the address that its heartbeats name.
    pub fn set_address(&self, address: net::SocketAddr) {
        self.lock().address = address;
    }

    /// Returns the address that its heartbeats name.
    pub fn address(&self) -> net::SocketAddr {
        self.lock().address
    }

    /// Returns the number of connections on which listings and starts came.
    pub fn connections(&self) -> usize {
        crate::lock(&self.connections).len()
    }

    pub(super) fn record_connection(&self, req: &actix_web::HttpRequest) {
        crate::lock(&self.connections).extend(req.peer_addr());
    }

    /// Answers the next `count` starts late, as a busy backend server does.
    pub fn answer_late(&self, count: usize) {
        self.lock().late_answers = count;
    }

    /// Sets which orders get no answer and are carried out later.
    pub fn set_late_orders(&self, late_orders: Option<profile::LateOrders>) {
        self.lock().late_orders = late_orders;
    }

    /// Returns after which time a start or stop is carried out without an answer, if it is one of
    /// those.
    pub(super) fn lateness(&self) -> Option<time::Duration> {
        let late = self.lock().late_orders?;
        late.draw(late.fraction)
    }

    /// Returns after which time a `/hold` is carried out without an answer, if it is one of those.
    pub(super) fn hold_lateness(&self) -> Option<time::Duration> {
        let late = self.lock().late_orders?;
        late.draw(late.hold_fraction)
    }

    /// Suspends the instance, or resumes it: its steady clock does not count that time.
    pub fn suspend(&self, is_suspended: bool) {
        self.lock().suspend(is_suspended);
    }

    /// Announces from the next heartbeat on that the backend server is going to leave.
    pub fn drain(&self) {
        self.lock().is_draining = true;
    }

    /// Ends all runs, as the backend server leaves.
    pub fn leave(&self) {
        let mut state = self.lock();
        state.advance();
        state.end_all("left");
    }

    /// Returns the start time of the present incarnation, in milliseconds.
    pub fn started_at_ms(&self) -> u64 {
        self.lock().started_at_ms()
    }

    /// Ends all runs as crashed and starts a new incarnation with the same name.
    pub fn crash(&self, started_at_ms: u64) {
        let name = self.name();
        self.replace(&name, started_at_ms);
    }

    /// Ends all runs as crashed and starts a new incarnation with this name at the same address.
    pub fn replace(&self, name: &str, started_at_ms: u64) {
        self.lock().restart(name, started_at_ms);
    }

    /// Returns all runs, also those of former incarnations.
    pub fn runs(&self) -> Vec<Run> {
        let mut state = self.lock();
        state.advance();
        state.runs.clone()
    }

    /// Builds the body of the next heartbeat.
    pub fn heartbeat(&self, service: &str, zone: &str) -> serde_json::Value {
        self.lock().heartbeat(service, zone)
    }

    /// Returns the name of the present incarnation.
    pub fn name(&self) -> String {
        self.lock().name().to_owned()
    }
}

/// Registers the routes of the backend server.
pub fn configure(cfg: &mut web::ServiceConfig, backend: &sync::Arc<Backend>) {
    cfg.app_data(web::Data::from(sync::Arc::clone(backend)));
    calls::configure(cfg);
}
