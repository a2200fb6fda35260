//! What runs on the worker's stand-in and what it has run; no network.

use std::collections;
use std::sync;
use std::time;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use tokio::sync::Notify;

use super::Options;

/// Resources of a worker or a task.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Size {
    /// Thousandths of a core.
    pub cpu_milli: u32,
    /// Mebibytes.
    pub memory_mib: u32,
    /// Whole accelerators.
    pub accelerators: u32,
}

/// `POST /v1/tasks`.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub struct Order {
    /// The attempt's id; started at most once here.
    pub task: SmolStr,
    /// Whose task it is.
    #[serde(default)]
    pub team: SmolStr,
    /// What sort of task it is.
    #[serde(default)]
    pub kind: SmolStr,
    /// What to do; see [`super::Payload`].
    #[serde(default)]
    pub payload: SmolStr,
    /// Declared thousandths of a core.
    #[serde(default)]
    pub cpu_milli: u32,
    /// Declared mebibytes.
    #[serde(default)]
    pub memory_mib: u32,
    /// Declared accelerators.
    #[serde(default)]
    pub accelerators: u32,
    /// Milliseconds until the task is stopped unless its lease is renewed.
    pub lease_ms: u64,
}

/// `GET /v1/usage`.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Usage {
    /// What the tasks use together; may be over the worker's size.
    #[serde(flatten)]
    pub used: Size,
    /// How many run.
    pub tasks: usize,
    /// The worker's own size.
    pub size: Size,
}

/// What a journal entry tells of.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Event {
    /// The task was started.
    Start,
    /// It ended, in whatever way.
    End,
}

/// One line of the journal.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Entry {
    /// Counts the entries from 0.
    pub number: usize,
    /// What happened.
    pub event: Event,
    /// The attempt's id.
    pub task: SmolStr,
    /// Whose task it is.
    pub team: SmolStr,
    /// What sort of task it is.
    pub kind: SmolStr,
    /// What it was told to do.
    pub payload: SmolStr,
    /// Milliseconds since 1970.
    pub at_ms: u64,
}

/// `GET /v1/journal`.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Journal {
    /// The starts and ends, in order.
    pub entries: Vec<Entry>,
    /// Starts refused because the task had been started here before.
    pub violations: u64,
}

/// Why a task is to end before its work is done.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Interrupt {
    /// Asked for.
    Stop,
    /// The worker ran out of memory.
    OutOfMemory,
}

/// A running task.
#[derive(Debug)]
struct Running {
    order: Order,
    uses: Size,
    throttle: f64,
    lease_end: time::Instant,
    interrupt: Option<Interrupt>,
    wake: sync::Arc<Notify>,
}

impl Running {
    fn cpu(&self) -> f64 {
        f64::from(self.uses.cpu_milli) * self.throttle
    }
}

/// What a task has to know for its next stretch.
#[derive(Clone, Copy, Debug)]
pub(super) struct Pace {
    /// Milliseconds of work done per millisecond.
    pub(super) rate: f64,
    /// When the lease lapses.
    pub(super) lease_end: time::Instant,
    /// Why it ends now.
    pub(super) interrupt: Option<Interrupt>,
}

#[derive(Debug)]
pub(super) struct State {
    options: Options,
    running: collections::BTreeMap<SmolStr, Running>,
    started: collections::HashSet<SmolStr>,
    journal: Journal,
    usages: collections::VecDeque<(time::Instant, Usage)>,
    share: f64,
}

impl State {
    pub(super) fn new(options: Options) -> Self {
        Self {
            options,
            running: collections::BTreeMap::new(),
            started: collections::HashSet::new(),
            journal: Journal::default(),
            usages: collections::VecDeque::new(),
            share: 1.0,
        }
    }

    /// Starts a task, fit or not; none if it was started here before.
    pub(super) fn start(&mut self, order: &Order, uses: Size) -> Option<sync::Arc<Notify>> {
        if !self.started.insert(order.task.clone()) {
            self.journal.violations += 1;
            return None;
        }
        let wake = sync::Arc::new(Notify::new());
        let mut running = Running {
            order: order.clone(),
            uses,
            throttle: 1.0,
            lease_end: time::Instant::now() + time::Duration::from_millis(order.lease_ms),
            interrupt: None,
            wake: sync::Arc::clone(&wake),
        };
        let memory = u64::from(self.usage().used.memory_mib) + u64::from(uses.memory_mib);
        if memory > u64::from(self.options.size.memory_mib) {
            running.interrupt = Some(Interrupt::OutOfMemory);
        }
        self.running.insert(order.task.clone(), running);
        self.write(Event::Start, order);
        self.changed();
        Some(wake)
    }

    /// Takes an ended task off.
    pub(super) fn end(&mut self, task: &str) {
        if let Some(ended) = self.running.remove(task) {
            self.write(Event::End, &ended.order);
            self.changed();
        }
    }

    /// How a running task goes on.
    pub(super) fn pace(&self, task: &str) -> Option<Pace> {
        let running = self.running.get(task)?;
        Some(Pace {
            rate: self.options.speed * running.throttle * self.share,
            lease_end: running.lease_end,
            interrupt: running.interrupt,
        })
    }

    /// Renews a lease; false if the task does not run here.
    pub(super) fn renew(&mut self, task: &str, lease_ms: u64) -> bool {
        let lease = time::Duration::from_millis(lease_ms);
        self.with(task, |running| {
            running.lease_end = time::Instant::now() + lease;
        })
    }

    /// Stops a task; false if it does not run here.
    pub(super) fn stop(&mut self, task: &str) -> bool {
        self.with(task, |running| running.interrupt = Some(Interrupt::Stop))
    }

    /// Slows a task down to `factor`; false if it does not run here.
    pub(super) fn throttle(&mut self, task: &str, factor: f64) -> bool {
        let found = self.with(task, |running| running.throttle = factor);
        self.changed();
        found
    }

    /// The usage as it was the lag ago.
    pub(super) fn lagging_usage(&mut self) -> Usage {
        let lag = time::Duration::from_millis(self.options.usage_lag_ms);
        let now = time::Instant::now();
        let is_due = |at: time::Instant| now.duration_since(at) >= lag;
        // The newest of the samples that are old enough stays for the next call.
        while self.usages.get(1).is_some_and(|(at, _)| is_due(*at)) {
            self.usages.pop_front();
        }
        let due = self.usages.front().filter(|(at, _)| is_due(*at));
        let idle = Usage {
            size: self.options.size,
            ..Usage::default()
        };
        due.map_or(idle, |(_, usage)| *usage)
    }

    /// The journal from entry `from` on.
    pub(super) fn journal(&self, from: usize) -> Journal {
        Journal {
            entries: self.journal.entries.iter().skip(from).cloned().collect(),
            violations: self.journal.violations,
        }
    }

    fn with(&mut self, task: &str, change: impl FnOnce(&mut Running)) -> bool {
        let Some(running) = self.running.get_mut(task) else {
            return false;
        };
        change(running);
        running.wake.notify_one();
        true
    }

    fn usage(&self) -> Usage {
        let mut used = Size::default();
        for running in self.running.values() {
            let uses = running.uses;
            used.cpu_milli = used.cpu_milli.saturating_add(uses.cpu_milli);
            used.memory_mib = used.memory_mib.saturating_add(uses.memory_mib);
            used.accelerators = used.accelerators.saturating_add(uses.accelerators);
        }
        Usage {
            used,
            tasks: self.running.len(),
            size: self.options.size,
        }
    }

    /// Keeps a usage sample, and wakes every task if all run at another pace now.
    fn changed(&mut self) {
        self.lagging_usage();
        self.usages.push_back((time::Instant::now(), self.usage()));
        let cpu: f64 = self.running.values().map(Running::cpu).sum();
        let size = f64::from(self.options.size.cpu_milli);
        let share = if cpu > size { size / cpu } else { 1.0 };
        if (share - self.share).abs() > f64::EPSILON {
            self.share = share;
            self.running.values().for_each(|r| r.wake.notify_one());
        }
    }

    fn write(&mut self, event: Event, order: &Order) {
        let since = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
        let at = since.unwrap_or_default().as_millis();
        self.journal.entries.push(Entry {
            number: self.journal.entries.len(),
            event,
            task: order.task.clone(),
            team: order.team.clone(),
            kind: order.kind.clone(),
            payload: order.payload.clone(),
            at_ms: u64::try_from(at).unwrap_or(u64::MAX),
        });
    }
}
