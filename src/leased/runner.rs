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
use crate::leased::traffic;
use crate::metrics;

/// How often time is looked at: a silent entry's runs are stopped this much late at most,
/// a twenty-fifth of the silence that is allowed.
const TICK: time::Duration = time::Duration::from_millis(20);

/// How long a stopping runner goes on after its last run, in milliseconds, so that every
/// entry has heard of the ends: two watches.
const LINGER_MS: u64 = 300;

/// What the control thread is made of.
#[derive(Debug)]
pub struct Parts {
    /// The runner's life.
    pub me: ids::Incarnation,
    /// Grows from life to life; keeps orders of former ones out at the backend server.
    pub fence: u64,
    /// The clock.
    pub clock: clock::Clock,
    /// The backend server.
    pub backend: Box<dyn ports::Backend>,
    /// What conversations cost.
    pub traffic: sync::Arc<traffic::Traffic>,
    /// Longest time for a graceful stop.
    pub grace: time::Duration,
}

#[derive(Debug)]
struct Pending {
    tx: oneshot::Sender<messages::Report>,
    until_ms: u64,
}

/// The control thread's state.
#[derive(Debug)]
pub struct Control {
    room: capacity::CapacityManager,
    clock: clock::Clock,
    backend: Box<dyn ports::Backend>,
    traffic: sync::Arc<traffic::Traffic>,
    grace: time::Duration,
    pending: collections::HashMap<ids::Incarnation, Pending>,
    idle_since_ms: Option<u64>,
    starts: u64,
    stops: u64,
}

impl Control {
    /// A runner that has heard nothing yet.
    pub fn new(parts: Parts) -> Self {
        Self {
            room: capacity::CapacityManager::new(parts.me, parts.fence),
            clock: parts.clock,
            backend: parts.backend,
            traffic: parts.traffic,
            grace: parts.grace,
            pending: collections::HashMap::new(),
            idle_since_ms: None,
            starts: 0,
            stops: 0,
        }
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
        let now_ms = self.clock.now_ms();
        let is_due = |entry: &ids::Incarnation, pending: &Pending| {
            pending.until_ms <= now_ms || self.room.has_update(*entry)
        };
        let due = self
            .pending
            .iter()
            .filter(|(entry, pending)| is_due(entry, pending));
        let due: Vec<_> = due.map(|(entry, _)| *entry).collect();
        for entry in due {
            let report = self.room.report(now_ms, entry);
            let Some(pending) = self.pending.remove(&entry) else {
                continue;
            };
            if pending.tx.send(report).is_err() {
                log::debug!(event = "watch.unheard", entry:% = entry; "entry gone");
            }
        }
    }
}

impl actix::Actor for Control {
    type Context = actix::Context<Self>;

    fn started(&mut self, cx: &mut Self::Context) {
        self.backend.poll_listings(cx.address().recipient());
        cx.run_interval(TICK, |actor, cx| {
            let now_ms = actor.clock.now_ms();
            let actions = actor.room.tick(now_ms);
            actor.act(cx, actions);
        });
    }
}

/// An entry asks.
#[derive(Debug)]
#[derive(actix::Message)]
#[rtype(result = "oneshot::Receiver<messages::Report>")]
pub struct Watched(pub messages::Watch);

impl actix::Handler<Watched> for Control {
    type Result = actix::MessageResult<Watched>;

    fn handle(&mut self, Watched(watch): Watched, cx: &mut Self::Context) -> Self::Result {
        let now_ms = self.clock.now_ms();
        let (tx, rx) = oneshot::channel();
        let actions = self.room.watch(now_ms, &watch);
        let until_ms = now_ms + watch.wait_ms;
        self.pending.insert(watch.entry, Pending { tx, until_ms });
        self.act(cx, actions);
        actix::MessageResult(rx)
    }
}

/// An entry orders runs.
#[derive(Debug)]
#[derive(actix::Message)]
#[rtype(result = "messages::OrderReply")]
pub struct Ordered(pub messages::Order);

impl actix::Handler<Ordered> for Control {
    type Result = actix::MessageResult<Ordered>;

    fn handle(&mut self, Ordered(order): Ordered, cx: &mut Self::Context) -> Self::Result {
        let now_ms = self.clock.now_ms();
        let entry = order.entry;
        let (reply, actions) = self.room.order(now_ms, order);
        if let Some(pending) = self.pending.get_mut(&entry) {
            // The entry asked while it had no runs here, and may wait for longer than an
            // entry's lease allows for now.
            pending.until_ms = pending.until_ms.min(now_ms + dispatch::WATCH_WAIT_MS);
        }
        self.act(cx, actions);
        actix::MessageResult(reply)
    }
}

impl actix::Handler<ports::StartAnswered> for Control {
    type Result = ();

    fn handle(&mut self, heard: ports::StartAnswered, cx: &mut Self::Context) {
        let now_ms = self.clock.now_ms();
        let actions = self.room.start_answered(now_ms, &heard.id, heard.answer);
        self.act(cx, actions);
    }
}

impl actix::Handler<ports::StopAnswered> for Control {
    type Result = ();

    fn handle(&mut self, heard: ports::StopAnswered, _cx: &mut Self::Context) {
        self.room
            .stop_answered(self.clock.now_ms(), &heard.id, heard.is_acknowledged);
    }
}

impl actix::Handler<ports::ListAnswered> for Control {
    type Result = actix::MessageResult<ports::ListAnswered>;

    fn handle(&mut self, heard: ports::ListAnswered, cx: &mut Self::Context) -> Self::Result {
        if let Some(answer) = heard.answer {
            let now_ms = self.clock.now_ms();
            let actions = self.room.listed(now_ms, heard.sent_at_ms, answer);
            self.act(cx, actions);
        }
        actix::MessageResult(self.room.next_list(self.clock.now_ms()))
    }
}

impl actix::Handler<ports::Announced> for Control {
    type Result = bool;

    fn handle(&mut self, heard: ports::Announced, _cx: &mut Self::Context) -> bool {
        let is_latest = self.room.announced(self.clock.now_ms(), heard.0);
        self.answer_watches();
        is_latest
    }
}

impl actix::Handler<ports::BackendRestored> for Control {
    type Result = ();

    fn handle(
        &mut self,
        ports::BackendRestored(known): ports::BackendRestored,
        _cx: &mut Self::Context,
    ) {
        self.room.restore_backend(known);
    }
}

impl actix::Handler<ports::BackendLeft> for Control {
    type Result = ();

    fn handle(&mut self, ports::BackendLeft(name): ports::BackendLeft, _cx: &mut Self::Context) {
        self.room.backend_left(self.clock.now_ms(), &name);
        self.answer_watches();
    }
}

impl actix::Handler<control::Leave> for Control {
    type Result = actix::MessageResult<control::Leave>;

    fn handle(&mut self, _leave: control::Leave, _cx: &mut Self::Context) -> Self::Result {
        self.room.leave(self.clock.now_ms());
        self.answer_watches();
        actix::MessageResult(self.grace)
    }
}

impl actix::Handler<control::IsDrained> for Control {
    type Result = bool;

    fn handle(&mut self, _ask: control::IsDrained, _cx: &mut Self::Context) -> bool {
        let now_ms = self.clock.now_ms();
        if self.room.runs() > 0 {
            self.idle_since_ms = None;
            return false;
        }
        let since_ms = *self.idle_since_ms.get_or_insert(now_ms);
        now_ms >= since_ms + LINGER_MS
    }
}

impl actix::Handler<control::Abandon> for Control {
    type Result = ();

    fn handle(&mut self, _abandon: control::Abandon, _cx: &mut Self::Context) {
        log::warn!(event = "runner.abandon", runs = self.room.runs(); "out of time with runs left");
    }
}

impl actix::Handler<control::GetMetrics> for Control {
    type Result = actix::MessageResult<control::GetMetrics>;

    fn handle(&mut self, _want: control::GetMetrics, _cx: &mut Self::Context) -> Self::Result {
        let load = self.room.load(self.clock.now_ms());
        let is_ready = u64::from(load.readiness == messages::Readiness::Ready);
        let runs = self.room.runs() as u64;
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
                self.room.latest().version,
            ),
        ]);
        actix::MessageResult(samples)
    }
}
