//! A backend server that starts whatever it is told to, under leases, and notes every run.

use std::collections;
use std::sync;
use std::time;

use actix_web::web;
use serde::Deserialize;

/// How often runs are looked at while a list waits.
const LOOK: time::Duration = time::Duration::from_millis(5);

/// Longest lease.
const MAX_LEASE: time::Duration = time::Duration::from_secs(1);

/// One run, as the backend server saw it.
#[derive(Clone, Debug)]
pub struct Run {
    /// The task.
    pub task: String,
    /// The run's number.
    pub run: u32,
    /// When it began.
    pub began: time::Instant,
    /// When its work is done, if nothing ends it before.
    due: time::Instant,
    /// When it ended, and how.
    pub ended: Option<(time::Instant, &'static str)>,
}

#[derive(Debug)]
struct State {
    life: Life,
    runs: Vec<Run>,
    ends: Vec<(u64, usize)>,
    barred: collections::HashSet<(String, u32)>,
    lease_until: time::Instant,
    fence: u64,
}

/// One life of it.
#[derive(Clone, Copy, Debug)]
struct Life {
    born_ms: u64,
    began: time::Instant,
}

/// The backend server, shared with the test that looks at it.
#[derive(Debug)]
pub struct Backend {
    name: String,
    /// How fast its steady clock goes.
    clock_rate: f64,
    state: sync::Mutex<State>,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct Start {
    task: String,
    run: u32,
    /// How long it takes, in milliseconds.
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
    /// A backend server that has just started.
    pub fn new(name: &str, born_ms: u64) -> Self {
        Self::with_clock(name, born_ms, 1.0)
    }

    /// One whose steady clock goes at this rate.
    pub fn with_clock(name: &str, born_ms: u64, clock_rate: f64) -> Self {
        let now = time::Instant::now();
        Self {
            name: name.to_owned(),
            clock_rate,
            state: sync::Mutex::new(State {
                life: Life {
                    born_ms,
                    began: now,
                },
                runs: Vec::new(),
                ends: Vec::new(),
                barred: collections::HashSet::new(),
                lease_until: now,
                fence: 0,
            }),
        }
    }

    /// Loses everything that runs, and starts again under its name.
    pub fn crash(&self, born_ms: u64) {
        let mut state = crate::lock(&self.state);
        state.advance();
        let now = time::Instant::now();
        for run in &mut state.runs {
            run.ended.get_or_insert((now, "crashed"));
        }
        state.ends.clear();
        state.barred.clear();
        state.lease_until = now;
        state.fence = 0;
        state.life = Life {
            born_ms,
            began: now,
        };
    }

    /// Every run so far.
    pub fn runs(&self) -> Vec<Run> {
        let mut state = crate::lock(&self.state);
        state.advance();
        state.runs.clone()
    }

    /// The body of a heartbeat.
    pub fn heartbeat(&self, sequence: u64, service: &str, zone: &str) -> serde_json::Value {
        let life = crate::lock(&self.state).life;
        serde_json::json!({
            "service": service, "address": "127.0.0.1:1", "zone": zone, "version": "v1",
            "slots": 8, "state": "ready", "cold_left_ms": 0,
            "capacity": {"cpu": 16_000, "mem_mb": 32_768, "gpu": 0},
            "labels": ["a", "r1-1"], "clock_ms": self.clock_ms(life),
            "seq_no": sequence, "born": life.born_ms,
        })
    }

    /// The name under which it announces itself.
    pub fn name(&self) -> &str {
        &self.name
    }

    fn clock_ms(&self, life: Life) -> u64 {
        let shown = life.began.elapsed().mul_f64(self.clock_rate);
        u64::try_from(shown.as_millis()).unwrap_or(u64::MAX)
    }

    fn at(&self, life: Life, clock_ms: u64) -> time::Instant {
        let since = time::Duration::from_millis(clock_ms).div_f64(self.clock_rate);
        (life.began + since).min(time::Instant::now() + MAX_LEASE.div_f64(self.clock_rate))
    }

    fn refuse(&self, life: Life, reason: &str) -> actix_web::HttpResponse {
        let body = serde_json::json!({"clock_ms": self.clock_ms(life), "born": life.born_ms, "reason": reason});
        actix_web::HttpResponse::Conflict().json(body)
    }

    fn say(&self, life: Life) -> actix_web::HttpResponse {
        let body = serde_json::json!({"clock_ms": self.clock_ms(life), "born": life.born_ms});
        actix_web::HttpResponse::Ok().json(body)
    }
}

impl State {
    /// Ends what is done, and what has no lease any more.
    fn advance(&mut self) {
        let now = time::Instant::now();
        for at in 0..self.runs.len() {
            let run = &self.runs[at];
            if run.ended.is_some() {
                continue;
            }
            if run.due <= now.min(self.lease_until) {
                self.end(at, run.due, "done");
            } else if self.lease_until <= now {
                self.end(at, self.lease_until, "lapsed");
            }
        }
    }

    fn end(&mut self, at: usize, when: time::Instant, how: &'static str) {
        let run = &mut self.runs[at];
        run.ended = Some((when, how));
        let number = self.ends.len() as u64 + 1;
        self.barred.insert((run.task.clone(), run.run));
        self.ends.push((number, at));
    }

    fn fence(&mut self, fence: u64) -> bool {
        let is_good = fence >= self.fence;
        self.fence = self.fence.max(fence);
        is_good
    }
}

/// Adds the backend server's calls.
pub fn configure(cfg: &mut web::ServiceConfig, backend: &sync::Arc<Backend>) {
    cfg.app_data(web::Data::from(sync::Arc::clone(backend)));
    cfg.route("/run-start", web::post().to(start));
    cfg.route("/run-stop", web::post().to(stop));
    cfg.route("/hold", web::post().to(hold));
}

async fn start(backend: web::Data<Backend>, start: web::Json<Start>) -> actix_web::HttpResponse {
    let start = start.into_inner();
    let mut state = crate::lock(&backend.state);
    state.advance();
    if !state.fence(start.fence) {
        return backend.refuse(state.life, "fence");
    }
    let now = time::Instant::now();
    let until = backend.at(state.life, start.deadline_ms);
    if until <= now {
        return backend.refuse(state.life, "late");
    }
    if state
        .barred
        .iter()
        .any(|(task, run)| *task == start.task && *run >= start.run)
    {
        return backend.refuse(state.life, "old");
    }
    state.lease_until = state.lease_until.max(until);
    let work = time::Duration::from_millis(start.spec.parse().unwrap_or(0));
    state.runs.push(Run {
        task: start.task,
        run: start.run,
        began: now,
        due: now + work,
        ended: None,
    });
    backend.say(state.life)
}

async fn stop(backend: web::Data<Backend>, stop: web::Json<Stop>) -> actix_web::HttpResponse {
    let mut state = crate::lock(&backend.state);
    state.advance();
    if !state.fence(stop.fence) {
        return backend.refuse(state.life, "fence");
    }
    let is_it = |run: &Run| run.task == stop.task && run.run == stop.run && run.ended.is_none();
    if let Some(at) = state.runs.iter().position(is_it) {
        state.end(at, time::Instant::now(), "stopped");
    }
    state.barred.insert((stop.task.clone(), stop.run));
    backend.say(state.life)
}

async fn hold(backend: web::Data<Backend>, hold: web::Json<Hold>) -> actix_web::HttpResponse {
    let until = time::Instant::now() + time::Duration::from_millis(hold.wait_ms);
    {
        let mut state = crate::lock(&backend.state);
        state.advance();
        if !state.fence(hold.fence) {
            return backend.refuse(state.life, "fence");
        }
        if let Some(deadline_ms) = hold.deadline_ms {
            state.lease_until = state.lease_until.max(backend.at(state.life, deadline_ms));
        }
    }
    loop {
        let has_news = {
            let mut state = crate::lock(&backend.state);
            state.advance();
            state.ends.len() as u64 > hold.acked_up_to
        };
        if has_news || time::Instant::now() >= until {
            break;
        }
        tokio::time::sleep(LOOK).await;
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
    let ends = ends.map(|(number, at)| {
        let run = &state.runs[*at];
        let how = run.ended.map_or("done", |(_, how)| how);
        serde_json::json!([number, run.task, run.run, how, ""])
    });
    let ends: Vec<_> = ends.collect();
    actix_web::HttpResponse::Ok().json(serde_json::json!({
        "clock_ms": backend.clock_ms(state.life), "born": state.life.born_ms,
        "running": running, "finished": ends,
    }))
}
