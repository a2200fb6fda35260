//! Backend server that starts every run it is sent, under a lease, and records all runs.

use std::collections;
use std::net;
use std::sync;
use std::time;

use actix_web::web;
use rand::Rng as _;
use serde::Deserialize;

use crate::platform::profile;

/// Interval between two checks for ended runs while a `/hold` call waits.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(5);

/// Maximum duration of a lease.
const MAX_LEASE: time::Duration = time::Duration::from_secs(1);

/// Delay of the answer to a start that is answered late.
const LATE_ANSWER: time::Duration = time::Duration::from_millis(70);

/// Time for which an order without an answer keeps its connection.
const NO_ANSWER: time::Duration = time::Duration::from_secs(20);

/// Record of one run.
#[derive(Clone, Debug)]
pub struct Run {
    /// Id of the task.
    pub task: String,
    /// Number of the run within the task.
    pub run: u32,
    /// Start of the run.
    pub began: time::Instant,
    /// End of the work, unless the run ends earlier.
    due: time::Instant,
    /// When the first stop arrived.
    pub stop_arrived: Option<time::Instant>,
    /// End of the run because of a stop, unless the run ends earlier.
    stop_due: Option<time::Instant>,
    /// End of the run and its outcome: `done`, `lapsed`, `stopped`, `crashed` or `left`.
    pub ended: Option<(time::Instant, &'static str)>,
    /// Start time of the incarnation that runs it, in milliseconds.
    pub incarnation_ms: u64,
}

impl Run {
    /// Returns when and how the run ends unless something else happens before.
    fn next_end(&self, lease_until: time::Instant) -> (time::Instant, &'static str) {
        let stopped = self.stop_due.map(|due| (due, "stopped"));
        let ends = [
            Some((self.due, "done")),
            stopped,
            Some((lease_until, "lapsed")),
        ];
        let first = ends.into_iter().flatten().min_by_key(|(at, _)| *at);
        first.unwrap_or((self.due, "done"))
    }
}

#[derive(Debug)]
struct State {
    incarnation: Incarnation,
    runs: Vec<Run>,
    /// Ends of runs: sequence number and index in `runs`.
    ends: Vec<(u64, usize)>,
    /// Ended or stopped runs; a start of the same task up to that run number is refused.
    barred: collections::HashSet<(String, u32)>,
    lease_until: time::Instant,
    fence: u64,
    /// Number of the next starts that are executed at once and answered after [`LATE_ANSWER`].
    late_answers: usize,
    late_orders: Option<profile::LateOrders>,
    is_draining: bool,
}

/// One incarnation of the backend server.
#[derive(Clone, Copy, Debug)]
struct Incarnation {
    started_at_ms: u64,
    began: time::Instant,
}

/// Backend server, shared with the test that inspects it.
#[derive(Debug)]
pub struct Backend {
    name: String,
    profile: profile::Profile,
    state: sync::Mutex<State>,
    /// Addresses from which listings and starts came.
    connections: sync::Mutex<collections::HashSet<net::SocketAddr>>,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct Start {
    task: String,
    run: u32,
    /// Duration of the work, in milliseconds.
    spec: String,
    deadline_ms: u64,
    fence: u64,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct Stop {
    task: String,
    run: u32,
    fence: u64,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct Hold {
    deadline_ms: Option<u64>,
    fence: u64,
    acked_up_to: u64,
    wait_ms: u64,
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
        let now = time::Instant::now();
        Self {
            name: name.to_owned(),
            profile,
            state: sync::Mutex::new(State {
                incarnation: Incarnation {
                    started_at_ms,
                    began: now,
                },
                runs: Vec::new(),
                ends: Vec::new(),
                barred: collections::HashSet::new(),
                lease_until: now,
                fence: 0,
                late_answers: 0,
                late_orders: None,
                is_draining: false,
            }),
            connections: sync::Mutex::default(),
        }
    }

    /// Returns the number of connections on which listings and starts came.
    pub fn connections(&self) -> usize {
        crate::lock(&self.connections).len()
    }

    fn record_connection(&self, req: &actix_web::HttpRequest) {
        crate::lock(&self.connections).extend(req.peer_addr());
    }

    /// Answers the next `count` starts late, as a busy backend server does.
    pub fn answer_late(&self, count: usize) {
        crate::lock(&self.state).late_answers = count;
    }

    /// Sets which orders get no answer and are carried out later.
    pub fn set_late_orders(&self, late_orders: Option<profile::LateOrders>) {
        crate::lock(&self.state).late_orders = late_orders;
    }

    /// Returns after which time an order is carried out without an answer, if it is one of those.
    fn lateness(&self) -> Option<time::Duration> {
        let late = crate::lock(&self.state).late_orders?;
        let mut rng = rand::rng();
        let delay_ms = rng.random_range(late.min_ms..=late.max_ms);
        rng.random_bool(late.fraction)
            .then(|| time::Duration::from_millis(delay_ms))
    }

    /// Announces from the next heartbeat on that the backend server is going to leave.
    pub fn drain(&self) {
        crate::lock(&self.state).is_draining = true;
    }

    /// Ends all runs, as the backend server leaves.
    pub fn leave(&self) {
        let mut state = crate::lock(&self.state);
        state.advance();
        state.end_all("left");
    }

    /// Returns the start time of the present incarnation, in milliseconds.
    pub fn started_at_ms(&self) -> u64 {
        crate::lock(&self.state).incarnation.started_at_ms
    }

    /// Ends all runs as crashed and starts a new incarnation with the same name.
    pub fn crash(&self, started_at_ms: u64) {
        let mut state = crate::lock(&self.state);
        state.advance();
        let now = state.end_all("crashed");
        state.ends.clear();
        state.barred.clear();
        state.lease_until = now;
        state.fence = 0;
        state.incarnation = Incarnation {
            started_at_ms,
            began: now,
        };
    }

    /// Returns all runs, also those of former incarnations.
    pub fn runs(&self) -> Vec<Run> {
        let mut state = crate::lock(&self.state);
        state.advance();
        state.runs.clone()
    }

    /// Builds the body of a heartbeat.
    pub fn heartbeat(&self, sequence: u64, service: &str, zone: &str) -> serde_json::Value {
        let state = crate::lock(&self.state);
        let (incarnation, is_draining) = (state.incarnation, state.is_draining);
        drop(state);
        let word = if is_draining { "draining" } else { "ready" };
        serde_json::json!({
            "service": service, "address": "127.0.0.1:1", "zone": zone, "version": "v1",
            "slots": 8, "state": word, "cold_left_ms": 0,
            "capacity": {"cpu": self.profile.cpu_milli, "mem_mb": 32_768, "gpu": 0},
            "labels": ["a", "r1-1"], "clock_ms": self.clock_ms(incarnation),
            "seq_no": sequence, "born": incarnation.started_at_ms,
        })
    }

    /// Returns the name of the backend server.
    pub fn name(&self) -> &str {
        &self.name
    }

    fn clock_ms(&self, incarnation: Incarnation) -> u64 {
        let reading = incarnation.began.elapsed().mul_f64(self.profile.clock_rate);
        u64::try_from(reading.as_millis()).unwrap_or(u64::MAX)
    }

    /// Converts a deadline on the server's clock, limited to [`MAX_LEASE`] from now.
    fn to_instant(&self, incarnation: Incarnation, clock_ms: u64) -> time::Instant {
        let rate = self.profile.clock_rate;
        let offset = time::Duration::from_millis(clock_ms).div_f64(rate);
        (incarnation.began + offset).min(time::Instant::now() + MAX_LEASE.div_f64(rate))
    }

    fn conflict(&self, incarnation: Incarnation, reason: &str) -> actix_web::HttpResponse {
        let body = serde_json::json!({
            "clock_ms": self.clock_ms(incarnation), "born": incarnation.started_at_ms,
            "reason": reason,
        });
        actix_web::HttpResponse::Conflict().json(body)
    }

    fn ok_response(&self, incarnation: Incarnation) -> actix_web::HttpResponse {
        let body = serde_json::json!({
            "clock_ms": self.clock_ms(incarnation), "born": incarnation.started_at_ms,
        });
        actix_web::HttpResponse::Ok().json(body)
    }
}

impl State {
    /// Ends the runs whose work is done, whose stop is due or whose lease has expired.
    fn advance(&mut self) {
        let now = time::Instant::now();
        for index in 0..self.runs.len() {
            let run = &self.runs[index];
            if run.ended.is_some() {
                continue;
            }
            let (when, outcome) = run.next_end(self.lease_until);
            if when <= now {
                self.end(index, when, outcome);
            }
        }
    }

    /// Ends all runs now, without listing their ends, and returns the time.
    fn end_all(&mut self, outcome: &'static str) -> time::Instant {
        let now = time::Instant::now();
        for run in &mut self.runs {
            run.ended.get_or_insert((now, outcome));
        }
        now
    }

    fn end(&mut self, index: usize, when: time::Instant, outcome: &'static str) {
        let run = &mut self.runs[index];
        run.ended = Some((when, outcome));
        let number = self.ends.len() as u64 + 1;
        self.barred.insert((run.task.clone(), run.run));
        self.ends.push((number, index));
    }

    /// Records the fence of a call; returns `false` if it is lower than an earlier one.
    fn admit_fence(&mut self, fence: u64) -> bool {
        let is_current = fence >= self.fence;
        self.fence = self.fence.max(fence);
        is_current
    }

    /// Executes a stop, or refuses it.
    fn stop(&mut self, backend: &Backend, stop: &Stop) -> actix_web::HttpResponse {
        if !self.admit_fence(stop.fence) {
            return backend.conflict(self.incarnation, "fence");
        }
        let now = time::Instant::now();
        let max_stop = backend.profile.max_stop;
        let is_target =
            |run: &&mut Run| run.task == stop.task && run.run == stop.run && run.ended.is_none();
        if let Some(run) = self.runs.iter_mut().find(is_target) {
            run.stop_arrived.get_or_insert(now);
            let delay = max_stop.mul_f64(rand::rng().random_range(0.0..=1.0));
            run.stop_due.get_or_insert(now + delay);
        }
        self.advance();
        self.barred.insert((stop.task.clone(), stop.run));
        backend.ok_response(self.incarnation)
    }

    /// Executes a start, or refuses it.
    fn start(&mut self, backend: &Backend, start: Start) -> actix_web::HttpResponse {
        if !self.admit_fence(start.fence) {
            return backend.conflict(self.incarnation, "fence");
        }
        let now = time::Instant::now();
        let until = backend.to_instant(self.incarnation, start.deadline_ms);
        if until <= now {
            return backend.conflict(self.incarnation, "late");
        }
        if self
            .barred
            .iter()
            .any(|(task, run)| *task == start.task && *run >= start.run)
        {
            return backend.conflict(self.incarnation, "old");
        }
        self.lease_until = self.lease_until.max(until);
        let is_running =
            |run: &Run| run.task == start.task && run.run == start.run && run.ended.is_none();
        if self.runs.iter().any(is_running) {
            return backend.ok_response(self.incarnation);
        }
        let work = time::Duration::from_millis(start.spec.parse().unwrap_or(0));
        self.runs.push(Run {
            task: start.task,
            run: start.run,
            began: now,
            due: now + work,
            stop_arrived: None,
            stop_due: None,
            ended: None,
            incarnation_ms: self.incarnation.started_at_ms,
        });
        backend.ok_response(self.incarnation)
    }
}

/// Registers the routes of the backend server.
pub fn configure(cfg: &mut web::ServiceConfig, backend: &sync::Arc<Backend>) {
    cfg.app_data(web::Data::from(sync::Arc::clone(backend)));
    cfg.route("/run-start", web::post().to(start));
    cfg.route("/run-stop", web::post().to(stop));
    cfg.route("/hold", web::post().to(hold));
}

async fn start(
    req: actix_web::HttpRequest,
    backend: web::Data<Backend>,
    start: web::Json<Start>,
) -> actix_web::HttpResponse {
    backend.record_connection(&req);
    if let Some(delay) = backend.lateness() {
        let start = start.into_inner();
        return execute_late(delay, move || drop(execute_start(&backend, start))).await;
    }
    let (response, is_late) = execute_start(&backend, start.into_inner());
    if is_late {
        tokio::time::sleep(LATE_ANSWER).await;
    }
    response
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

/// Executes a start; returns the answer and whether it is late.
fn execute_start(backend: &Backend, start: Start) -> (actix_web::HttpResponse, bool) {
    let mut state = crate::lock(&backend.state);
    state.advance();
    let is_late = state.late_answers > 0;
    state.late_answers = state.late_answers.saturating_sub(1);
    (state.start(backend, start), is_late)
}

async fn stop(backend: web::Data<Backend>, stop: web::Json<Stop>) -> actix_web::HttpResponse {
    if let Some(delay) = backend.lateness() {
        let stop = stop.into_inner();
        return execute_late(delay, move || drop(execute_stop(&backend, &stop))).await;
    }
    execute_stop(&backend, &stop)
}

fn execute_stop(backend: &Backend, stop: &Stop) -> actix_web::HttpResponse {
    let mut state = crate::lock(&backend.state);
    state.advance();
    state.stop(backend, stop)
}

async fn hold(
    req: actix_web::HttpRequest,
    backend: web::Data<Backend>,
    hold: web::Json<Hold>,
) -> actix_web::HttpResponse {
    backend.record_connection(&req);
    let until = time::Instant::now() + time::Duration::from_millis(hold.wait_ms);
    {
        let mut state = crate::lock(&backend.state);
        state.advance();
        if !state.admit_fence(hold.fence) {
            return backend.conflict(state.incarnation, "fence");
        }
        if let Some(deadline_ms) = hold.deadline_ms {
            state.lease_until = state
                .lease_until
                .max(backend.to_instant(state.incarnation, deadline_ms));
        }
    }
    loop {
        let has_unacked = {
            let mut state = crate::lock(&backend.state);
            state.advance();
            state.ends.len() as u64 > hold.acked_up_to
        };
        if has_unacked || time::Instant::now() >= until {
            break;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    let state = crate::lock(&backend.state);
    let running = state.runs.iter().filter(|run| run.ended.is_none());
    let running: Vec<_> = running
        .map(|run| serde_json::json!([run.task, run.run, "", 50]))
        .collect();
    let ends = state
        .ends
        .iter()
        .filter(|(number, _)| *number > hold.acked_up_to);
    let ends = ends.map(|(number, index)| {
        let run = &state.runs[*index];
        let outcome = run.ended.map_or("done", |(_, outcome)| outcome);
        serde_json::json!([number, run.task, run.run, outcome, ""])
    });
    let ends: Vec<_> = ends.collect();
    actix_web::HttpResponse::Ok().json(serde_json::json!({
        "clock_ms": backend.clock_ms(state.incarnation), "born": state.incarnation.started_at_ms,
        "running": running, "finished": ends,
    }))
}
