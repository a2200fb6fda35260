//! The control thread of a runner whose runs are under leases.

use std::collections;
use std::sync;
use std::time;

use actix::AsyncContext as _;
use tokio::sync::oneshot;

use crate::clock;
use crate::control;
use crate::ids;
use crate::leased::capacity;
use crate::leased::dispatch;
use crate::leased::messages;
use crate::leased::ports;
use crate::leased::suspension;
use crate::leased::traffic;
use crate::metrics;

/// Interval of the timer. Runs of a silent entry are stopped late by at most this, which is a
/// twenty-fifth of the allowed silence.
const TICK_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// Time after a refused stop at which the timer's work is done early: the stop may be due again.
const REFUSED_STOP_TICK: time::Duration = time::Duration::from_millis(4);

/// How long a stopping runner keeps serving after its last run, in milliseconds: two watches, so
/// that every entry receives the last ends.
const DRAIN_IDLE_MS: u64 = 300;

/// Longest wait of a watch at a stopping runner without runs, in milliseconds; an entry that still
/// expects a run here repeats its watch at this interval.
const LEAVING_WAIT_MS: u64 = 20;

/// Dependencies and parameters of the control thread.
#[derive(Debug)]
pub struct Parts {
    /// Incarnation of the runner.
    pub me: ids::Incarnation,
    /// Fencing token, greater than that of every former incarnation; the backend server refuses
    /// calls with a smaller one.
    pub fence: u64,
    /// Clock of the runner.
    pub clock: clock::Clock,
    /// Calls to the backend server.
    pub backend: Box<dyn ports::Backend>,
    /// Message counters.
    pub traffic: sync::Arc<traffic::Traffic>,
    /// Time limit of a graceful stop.
    pub grace: time::Duration,
}

/// A watch that has not been answered yet.
#[derive(Debug)]
struct OpenWatch {
    tx: oneshot::Sender<messages::Report>,
    until_ms: u64,
}

/// State of the control thread.
#[derive(Debug)]
pub struct Control {
    capacity: capacity::CapacityManager,
    clock: clock::Clock,
    backend: Box<dyn ports::Backend>,
    traffic: sync::Arc<traffic::Traffic>,
    grace: time::Duration,
    open_watches: collections::HashMap<ids::Incarnation, OpenWatch>,
    idle_since_ms: Option<u64>,
    starts: u64,
    stops: u64,
    suspension: suspension::Detector,
    instance: suspension::InstanceDetector,
}

impl Control {
    /// Creates a runner that has not received anything yet.
    pub fn new(parts: Parts) -> Self {
        Self {
            capacity: capacity::CapacityManager::new(parts.me, parts.fence),
            clock: parts.clock,
            backend: parts.backend,
            traffic: parts.traffic,
            grace: parts.grace,
            open_watches: collections::HashMap::new(),
            idle_since_ms: None,
            starts: 0,
            stops: 0,
            suspension: suspension::Detector::default(),
            instance: suspension::InstanceDetector::default(),
        }
    }

    /// Returns the time, and notes if this process was suspended since the last call.
    fn read_clock(&mut self) -> u64 {
        let now_ms = self.clock.now_ms();
        if let Some(suspended_ms) = self.instance.record(clock::suspended_ms()) {
            self.capacity.instance_suspended(now_ms, suspended_ms);
        }
        if let Some(settles_at_ms) = self.suspension.record(now_ms) {
            self.capacity.resume(now_ms, settles_at_ms);
        }
        now_ms
    }

    fn tick(&mut self, cx: &mut actix::Context<Self>) {
        let now_ms = self.read_clock();
        let actions = self.capacity.tick(now_ms);
        self.act(cx, actions);
    }

    fn act(&mut self, cx: &actix::Context<Self>, actions: Vec<capacity::Action>) {
        for action in actions {
            match action {
                capacity::Action::Start(call) => {
                    self.starts += 1;
                    self.backend.start(call, cx.address().recipient());
                }
                capacity::Action::Stop(call) => {
                    self.stops += 1;
                    self.backend.stop(call, cx.address().recipient());
                }
            }
        }
        self.answer_watches();
    }

    fn answer_watches(&mut self) {
        let now_ms = self.read_clock();
        let is_due = |entry: &ids::Incarnation, open: &OpenWatch| {
            open.until_ms <= now_ms || self.capacity.has_update(*entry)
        };
        let due = self
            .open_watches
            .iter()
            .filter(|(entry, open)| is_due(entry, open));
        let due: Vec<_> = due.map(|(entry, _)| *entry).collect();
        for entry in due {
            let report = self.capacity.report(now_ms, entry);
            let Some(open) = self.open_watches.remove(&entry) else {
                continue;
            };
            if open.tx.send(report).is_err() {
                log::debug!(event = "watch.unheard", entry:% = entry; "report not delivered: the connection of the watch is closed");
            }
        }
    }
}

impl actix::Actor for Control {
    type Context = actix::Context<Self>;

    fn started(&mut self, cx: &mut Self::Context) {
        self.backend.poll_listings(cx.address().recipient());
        cx.run_interval(TICK_INTERVAL, Self::tick);
    }
}

/// A watch from an entry; the receiver yields the report.
#[derive(Debug)]
#[derive(actix::Message)]
#[rtype(result = "oneshot::Receiver<messages::Report>")]
pub struct WatchReceived(pub messages::Watch);

impl actix::Handler<WatchReceived> for Control {
    type Result = actix::MessageResult<WatchReceived>;

    fn handle(
        &mut self,
        WatchReceived(watch): WatchReceived,
        cx: &mut Self::Context,
    ) -> Self::Result {
        let now_ms = self.read_clock();
        let (tx, rx) = oneshot::channel();
        let actions = self.capacity.watch(now_ms, &watch);
        // An open watch would delay the exit of this runner.
        let most_ms = if self.capacity.is_idle_and_leaving() {
            LEAVING_WAIT_MS
        } else {
            u64::MAX
        };
        let until_ms = now_ms.saturating_add(watch.wait_ms.min(most_ms));
        self.open_watches
            .insert(watch.entry, OpenWatch { tx, until_ms });
        self.act(cx, actions);
        actix::MessageResult(rx)
    }
}

/// An order from an entry.
#[derive(Debug)]
#[derive(actix::Message)]
#[rtype(result = "messages::OrderReply")]
pub struct OrderReceived(pub messages::Order);

impl actix::Handler<OrderReceived> for Control {
    type Result = actix::MessageResult<OrderReceived>;

    fn handle(
        &mut self,
        OrderReceived(order): OrderReceived,
        cx: &mut Self::Context,
    ) -> Self::Result {
        let now_ms = self.read_clock();
        let entry = order.entry;
        let (reply, actions) = self.capacity.order(now_ms, order);
        if let Some(open) = self.open_watches.get_mut(&entry) {
            // The watch was opened when the entry had no runs here, and may wait longer than
            // the lease of an entry with runs allows.
            open.until_ms = open.until_ms.min(now_ms + dispatch::WATCH_WAIT_MS);
        }
        self.act(cx, actions);
        actix::MessageResult(reply)
    }
}

impl actix::Handler<ports::StartAnswered> for Control {
    type Result = ();

    fn handle(&mut self, answered: ports::StartAnswered, cx: &mut Self::Context) {
        let now_ms = self.read_clock();
        let actions = self
            .capacity
            .start_answered(now_ms, &answered.id, answered.answer);
        self.act(cx, actions);
    }
}

impl actix::Handler<ports::StopAnswered> for Control {
    type Result = ();

    fn handle(&mut self, answered: ports::StopAnswered, cx: &mut Self::Context) {
        let now_ms = self.read_clock();
        self.capacity
            .stop_answered(now_ms, &answered.id, answered.answer);
        if answered.answer == ports::StopAnswer::Refused {
            cx.run_later(REFUSED_STOP_TICK, Self::tick);
        }
    }
}

impl actix::Handler<ports::ListAnswered> for Control {
    type Result = actix::MessageResult<ports::ListAnswered>;

    fn handle(&mut self, answered: ports::ListAnswered, cx: &mut Self::Context) -> Self::Result {
        if let Some(answer) = answered.answer {
            let now_ms = self.read_clock();
            let actions = self.capacity.listed(now_ms, answered.sent_at_ms, answer);
            self.act(cx, actions);
        }
        let now_ms = self.read_clock();
        actix::MessageResult(self.capacity.next_list(now_ms))
    }
}

impl actix::Handler<ports::Announced> for Control {
    type Result = bool;

    fn handle(&mut self, heartbeat: ports::Announced, _cx: &mut Self::Context) -> bool {
        let now_ms = self.read_clock();
        let is_latest = self.capacity.announced(now_ms, heartbeat.0);
        self.answer_watches();
        is_latest
    }
}

impl actix::Handler<ports::BackendRestored> for Control {
    type Result = ();

    fn handle(
        &mut self,
        ports::BackendRestored(stored): ports::BackendRestored,
        _cx: &mut Self::Context,
    ) {
        self.capacity.restore_backend(stored);
    }
}

impl actix::Handler<ports::BackendLeft> for Control {
    type Result = ();

    fn handle(&mut self, left: ports::BackendLeft, _cx: &mut Self::Context) {
        let now_ms = self.read_clock();
        self.capacity.backend_left(now_ms, &left);
        self.answer_watches();
    }
}

impl actix::Handler<control::Leave> for Control {
    type Result = actix::MessageResult<control::Leave>;

    fn handle(&mut self, _leave: control::Leave, _cx: &mut Self::Context) -> Self::Result {
        let now_ms = self.read_clock();
        self.capacity.leave(now_ms);
        self.answer_watches();
        actix::MessageResult(self.grace)
    }
}

impl actix::Handler<control::IsDrained> for Control {
    type Result = bool;

    fn handle(&mut self, _ask: control::IsDrained, _cx: &mut Self::Context) -> bool {
        let now_ms = self.read_clock();
        if self.capacity.runs() > 0 {
            self.idle_since_ms = None;
            return false;
        }
        let since_ms = *self.idle_since_ms.get_or_insert(now_ms);
        now_ms >= since_ms + DRAIN_IDLE_MS
    }
}

impl actix::Handler<control::Abandon> for Control {
    type Result = ();

    fn handle(&mut self, _abandon: control::Abandon, _cx: &mut Self::Context) {
        log::warn!(event = "runner.abandon", runs = self.capacity.runs(); "time limit of the graceful stop exceeded; exiting with runs left");
    }
}

impl actix::Handler<control::GetMetrics> for Control {
    type Result = actix::MessageResult<control::GetMetrics>;

    fn handle(&mut self, _message: control::GetMetrics, _cx: &mut Self::Context) -> Self::Result {
        let now_ms = self.read_clock();
        let load = self.capacity.load(now_ms);
        let is_ready = u64::from(load.readiness == messages::Readiness::Ready);
        let runs = self.capacity.runs() as u64;
        let mut samples = self.traffic.runner_samples();
        samples.extend([
            metrics::Sample::counter(
                "runs_started",
                "Starts sent to the backend server",
                self.starts,
            ),
            metrics::Sample::counter(
                "runs_stopped",
                "Stops sent to the backend server",
                self.stops,
            ),
            metrics::Sample::gauge("runs", "Runs held", runs),
            metrics::Sample::gauge(
                "cpu_milli",
                "Processor time of the backend server",
                load.size.cpu_milli.into(),
            ),
            metrics::Sample::gauge(
                "cpu_used_milli",
                "Processor time taken by runs",
                load.used.cpu_milli.into(),
            ),
            metrics::Sample::gauge("ready", "1 if work is taken", is_ready),
            metrics::Sample::gauge(
                "directives_version",
                "Version of the configuration that was told of",
                self.capacity.latest().version,
            ),
        ]);
        actix::MessageResult(samples)
    }
}
