//! Runs of a backend server, their lease, and how it carries out orders.

use std::collections;
use std::net;
use std::time;

use rand::Rng as _;
use serde::Deserialize;

use crate::platform::profile;

/// Maximum duration of a lease.
const MAX_LEASE: time::Duration = time::Duration::from_secs(1);

/// Largest number of ends in one listing.
const MAX_LISTED_ENDS: usize = 500;

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
    /// When a listing first showed the end.
    pub listed: Option<time::Instant>,
    /// When a call first acknowledged the end.
    pub acked: Option<time::Instant>,
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

/// Order to start a run.
#[derive(Debug)]
#[derive(Deserialize)]
pub(super) struct Start {
    task: String,
    run: u32,
    /// Duration of the work, in milliseconds.
    spec: String,
    deadline_ms: u64,
    #[serde(default)]
    fence: u64,
}

/// Order to stop a run.
#[derive(Debug)]
#[derive(Deserialize)]
pub(super) struct Stop {
    task: String,
    run: u32,
    #[serde(default)]
    fence: u64,
}

/// Renewal of the lease and request for a listing.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize)]
pub(super) struct Hold {
    deadline_ms: Option<u64>,
    #[serde(default)]
    fence: u64,
    #[serde(default)]
    acked_up_to: u64,
    /// Longest wait for an end, in milliseconds.
    #[serde(default)]
    pub(super) wait_ms: u64,
}

/// Why an order is not carried out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Refusal {
    /// The order names another incarnation.
    OtherIncarnation,
    /// A conflict with this reason.
    Conflict(&'static str),
}

/// One incarnation of the backend server.
#[derive(Clone, Debug)]
struct Incarnation {
    name: String,
    started_at_ms: u64,
    began: time::Instant,
}

/// State of a backend server.
#[derive(Debug)]
pub(super) struct State {
    profile: profile::Profile,
    incarnation: Incarnation,
    /// Address at which it says that it accepts orders.
    pub(super) address: net::SocketAddr,
    /// Number of the last heartbeat of this incarnation.
    sequence: u64,
    pub(super) runs: Vec<Run>,
    /// Ends of runs that are not acknowledged: sequence number and index in `runs`.
    ends: Vec<(u64, usize)>,
    last_end: u64,
    /// Ended or stopped runs; a start of the same task up to that run number is refused.
    barred: collections::HashSet<(String, u32)>,
    lease_until: time::Instant,
    fence: u64,
    /// Number of the next starts that are executed at once and answered late.
    pub(super) late_answers: usize,
    pub(super) late_orders: Option<profile::LateOrders>,
    pub(super) is_draining: bool,
    /// When the instance was suspended; absent while it runs.
    suspended_at: Option<time::Instant>,
}

impl State {
    /// Returns the state of a backend server that starts now.
    pub(super) fn new(name: &str, started_at_ms: u64, profile: profile::Profile) -> Self {
        let now = time::Instant::now();
        Self {
            profile,
            incarnation: Incarnation {
                name: name.to_owned(),
                started_at_ms,
                began: now,
            },
            address: net::SocketAddr::from(([127, 0, 0, 1], 1)),
            sequence: 0,
            runs: Vec::new(),
            ends: Vec::new(),
            last_end: 0,
            barred: collections::HashSet::new(),
            lease_until: now,
            fence: 0,
            late_answers: 0,
            late_orders: None,
            is_draining: false,
            suspended_at: None,
        }
    }

    /// Returns the name of the present incarnation.
    pub(super) fn name(&self) -> &str {
        &self.incarnation.name
    }

    /// Returns the start time of the present incarnation, in milliseconds.
    pub(super) const fn started_at_ms(&self) -> u64 {
        self.incarnation.started_at_ms
    }

    /// Returns the reading of its monotonic clock, in milliseconds.
    pub(super) fn clock_ms(&self) -> u64 {
        let now = self.suspended_at.unwrap_or_else(time::Instant::now);
        let elapsed = now.saturating_duration_since(self.incarnation.began);
        let reading = elapsed.mul_f64(self.profile.clock_rate);
        u64::try_from(reading.as_millis()).unwrap_or(u64::MAX)
    }

    /// Ends all runs as crashed; an incarnation that knows nothing of before begins.
    pub(super) fn restart(&mut self, name: &str, started_at_ms: u64) {
        self.advance();
        let now = self.end_all("crashed");
        self.ends.clear();
        self.last_end = 0;
        self.barred.clear();
        self.lease_until = now;
        self.fence = 0;
        self.sequence = 0;
        self.incarnation = Incarnation {
            name: name.to_owned(),
            started_at_ms,
            began: now,
        };
    }

    /// Returns the body of the next heartbeat.
    pub(super) fn heartbeat(&mut self, service: &str, zone: &str) -> serde_json::Value {
        self.sequence += 1;
        let word = if self.is_draining {
            "draining"
        } else {
            "ready"
        };
        serde_json::json!({
            "service": service, "address": self.address, "zone": zone, "version": "v1",
            "slots": 8, "state": word, "cold_left_ms": 0,
            "capacity": {"cpu": self.profile.cpu_milli, "mem_mb": 32_768, "gpu": 0},
            "labels": ["a", "r1-1"], "clock_ms": self.clock_ms(),
            "seq_no": self.sequence, "born": self.started_at_ms(),
        })
    }

    /// Converts a deadline on the server's clock, limited to [`MAX_LEASE`] from now.
    fn to_instant(&self, clock_ms: u64) -> time::Instant {
        let rate = self.profile.clock_rate;
        let offset = time::Duration::from_millis(clock_ms).div_f64(rate);
        (self.incarnation.began + offset).min(time::Instant::now() + MAX_LEASE.div_f64(rate))
    }

    /// Suspends the instance, or resumes it: its clock, its runs and their lease stand still.
    pub(super) fn suspend(&mut self, is_suspended: bool) {
        if is_suspended {
            self.advance();
            self.suspended_at.get_or_insert_with(time::Instant::now);
            return;
        }
        let Some(suspended_at) = self.suspended_at.take() else {
            return;
        };
        let pause = suspended_at.elapsed();
        self.incarnation.began += pause;
        self.lease_until += pause;
        for run in self.runs.iter_mut().filter(|run| run.ended.is_none()) {
            run.due += pause;
            run.stop_due = run.stop_due.map(|due| due + pause);
        }
    }

    /// Ends the runs whose work is done, whose stop is due or whose lease has expired.
    pub(super) fn advance(&mut self) {
        let now = self.suspended_at.unwrap_or_else(time::Instant::now);
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
    pub(super) fn end_all(&mut self, outcome: &'static str) -> time::Instant {
        let now = time::Instant::now();
        for run in &mut self.runs {
            run.ended.get_or_insert((now, outcome));
        }
        now
    }

    fn end(&mut self, index: usize, when: time::Instant, outcome: &'static str) {
        let run = &mut self.runs[index];
        run.ended = Some((when, outcome));
        self.last_end += 1;
        self.barred.insert((run.task.clone(), run.run));
        self.ends.push((self.last_end, index));
    }

    /// Records the fence of an order to this incarnation, unless it is lower than an earlier one.
    fn admit(&mut self, expected: Option<&str>, fence: u64) -> Result<(), Refusal> {
        self.advance();
        if expected.is_some_and(|name| name != self.name()) {
            return Err(Refusal::OtherIncarnation);
        }
        if fence < self.fence {
            return Err(Refusal::Conflict("fence"));
        }
        self.fence = fence;
        Ok(())
    }

    /// Executes a stop, or refuses it.
    pub(super) fn stop(&mut self, expected: Option<&str>, stop: &Stop) -> Result<(), Refusal> {
        self.admit(expected, stop.fence)?;
        let now = time::Instant::now();
        let max_stop = self.profile.max_stop;
        let is_target =
            |run: &&mut Run| run.task == stop.task && run.run == stop.run && run.ended.is_none();
        if let Some(run) = self.runs.iter_mut().find(is_target) {
            run.stop_arrived.get_or_insert(now);
            let delay = max_stop.mul_f64(rand::rng().random_range(0.0..=1.0));
            run.stop_due.get_or_insert(now + delay);
        }
        self.advance();
        self.barred.insert((stop.task.clone(), stop.run));
        Ok(())
    }

    /// Executes a start, or refuses it; a start that is refused as too old, or for lack of room,
    /// renews the lease nevertheless.
    pub(super) fn start(&mut self, expected: Option<&str>, start: Start) -> Result<(), Refusal> {
        self.admit(expected, start.fence)?;
        let now = time::Instant::now();
        let until = self.to_instant(start.deadline_ms);
        if until <= now {
            return Err(Refusal::Conflict("late"));
        }
        self.lease_until = self.lease_until.max(until);
        let mut barred = self.barred.iter();
        if barred.any(|(task, run)| *task == start.task && *run >= start.run) {
            return Err(Refusal::Conflict("old"));
        }
        let running = self.runs.iter().filter(|run| run.ended.is_none());
        let is_same = |run: &&Run| run.task == start.task && run.run == start.run;
        if running.clone().any(|run| is_same(&run)) {
            return Ok(());
        }
        if self
            .profile
            .max_runs
            .is_some_and(|max| running.count() >= max)
        {
            return Err(Refusal::Conflict("room"));
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
            listed: None,
            acked: None,
            incarnation_ms: self.incarnation.started_at_ms,
        });
        Ok(())
    }

    /// Renews the lease and forgets the acknowledged ends, or refuses to.
    pub(super) fn renew(&mut self, expected: Option<&str>, hold: &Hold) -> Result<(), Refusal> {
        self.admit(expected, hold.fence)?;
        if let Some(deadline_ms) = hold.deadline_ms {
            self.lease_until = self.lease_until.max(self.to_instant(deadline_ms));
        }
        let now = time::Instant::now();
        let is_acked = |(number, _): &mut (u64, usize)| *number <= hold.acked_up_to;
        for (_, index) in self.ends.extract_if(.., is_acked) {
            self.runs[index].acked.get_or_insert(now);
        }
        Ok(())
    }

    /// Returns whether an end awaits its acknowledgement.
    pub(super) fn has_ends(&mut self) -> bool {
        self.advance();
        !self.ends.is_empty()
    }

    /// Returns the listing.
    pub(super) fn list(&mut self) -> serde_json::Value {
        self.advance();
        let now = time::Instant::now();
        let running = self.runs.iter().filter(|run| run.ended.is_none());
        let running: Vec<_> = running
            .map(|run| serde_json::json!([run.task, run.run, "", 50, 0]))
            .collect();
        let mut ends = Vec::new();
        for (number, index) in self.ends.iter().take(MAX_LISTED_ENDS) {
            let run = &mut self.runs[*index];
            run.listed.get_or_insert(now);
            let outcome = run.ended.map_or("done", |(_, outcome)| outcome);
            ends.push(serde_json::json!([number, run.task, run.run, outcome, ""]));
        }
        serde_json::json!({
            "clock_ms": self.clock_ms(), "born": self.started_at_ms(),
            "running": running, "finished": ends,
        })
    }
}
