//! Running tasks, usage and journal of a worker, without network.

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
    /// CPU, in thousandths of a core.
    pub cpu_milli: u32,
    /// Memory, in MiB.
    pub memory_mib: u32,
    /// Number of accelerators.
    pub accelerators: u32,
}

/// Body of `POST /v1/tasks`.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub struct Order {
    /// Id of the attempt, which a worker starts at most once.
    pub task: SmolStr,
    /// Team of the task.
    #[serde(default)]
    pub team: SmolStr,
    /// Kind of the task.
    #[serde(default)]
    pub kind: SmolStr,
    /// Behaviour of the task; see [`super::Payload`].
    #[serde(default)]
    pub payload: SmolStr,
    /// Declared CPU, in thousandths of a core.
    #[serde(default)]
    pub cpu_milli: u32,
    /// Declared memory, in MiB.
    #[serde(default)]
    pub memory_mib: u32,
    /// Declared number of accelerators.
    #[serde(default)]
    pub accelerators: u32,
    /// Duration of the lease, in milliseconds; the task is stopped unless it is renewed.
    pub lease_ms: u64,
}

/// Answer to `GET /v1/usage`.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Usage {
    /// Resources used by all tasks; may exceed the worker's size.
    #[serde(flatten)]
    pub used: Size,
    /// Number of running tasks.
    pub tasks: usize,
    /// Resources of the worker.
    pub size: Size,
}

/// Event of a journal entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Event {
    /// The task was started.
    Start,
    /// The task ended, with whatever status.
    End,
}

/// One entry of the journal.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Entry {
    /// Sequence number of the entry, from 0.
    pub number: usize,
    /// Event.
    pub event: Event,
    /// Id of the attempt.
    pub task: SmolStr,
    /// Team of the task.
    pub team: SmolStr,
    /// Kind of the task.
    pub kind: SmolStr,
    /// Payload of the task.
    pub payload: SmolStr,
    /// Time of the event, in milliseconds since the Unix epoch.
    pub at_ms: u64,
}

/// Answer to `GET /v1/journal`.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Journal {
    /// Starts and ends of tasks, in order.
    pub entries: Vec<Entry>,
    /// Number of starts refused because the attempt had already been started.
    pub violations: u64,
}

/// Reason to end a task before its work is done.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Interrupt {
    /// A stop was requested.
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

/// Parameters of a running task, valid until the task is woken.
#[derive(Clone, Copy, Debug)]
pub(super) struct Pace {
    /// Milliseconds of work done per millisecond.
    pub(super) rate: f64,
    /// Expiry of the lease.
    pub(super) lease_end: time::Instant,
    /// Reason to end the task now.
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

    /// Starts a task, even if the worker is overcommitted.
    ///
    /// Returns `None` if the attempt was already started on this worker.
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
        self.add_entry(Event::Start, order);
        self.usage_changed();
        Some(wake)
    }

    /// Removes an ended task and adds its end to the journal.
    pub(super) fn end(&mut self, task: &str) {
        if let Some(ended) = self.running.remove(task) {
            self.add_entry(Event::End, &ended.order);
            self.usage_changed();
        }
    }

    /// Returns the current parameters of a running task.
    pub(super) fn pace(&self, task: &str) -> Option<Pace> {
        let running = self.running.get(task)?;
        Some(Pace {
            rate: self.options.speed * running.throttle * self.share,
            lease_end: running.lease_end,
            interrupt: running.interrupt,
        })
    }

    /// Renews a lease; returns `false` if the task is not running.
    pub(super) fn renew(&mut self, task: &str, lease_ms: u64) -> bool {
        let lease = time::Duration::from_millis(lease_ms);
        self.update(task, |running| {
            running.lease_end = time::Instant::now() + lease;
        })
    }

    /// Stops a task; returns `false` if it is not running.
    pub(super) fn stop(&mut self, task: &str) -> bool {
        self.update(task, |running| running.interrupt = Some(Interrupt::Stop))
    }

    /// Slows a task down to `factor` of its speed; returns `false` if it is not running.
    pub(super) fn throttle(&mut self, task: &str, factor: f64) -> bool {
        let found = self.update(task, |running| running.throttle = factor);
        self.usage_changed();
        found
    }

    /// Returns the usage as of `usage_lag_ms` ago.
    pub(super) fn lagging_usage(&mut self) -> Usage {
        let lag = time::Duration::from_millis(self.options.usage_lag_ms);
        let now = time::Instant::now();
        let is_due = |at: time::Instant| now.duration_since(at) >= lag;
        // The newest sample that is old enough is kept for the next call.
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

    /// Returns the journal from entry `from` on.
    pub(super) fn journal(&self, from: usize) -> Journal {
        Journal {
            entries: self.journal.entries.iter().skip(from).cloned().collect(),
            violations: self.journal.violations,
        }
    }

    /// Changes a running task and wakes it; returns `false` if it is not running.
    fn update(&mut self, task: &str, change: impl FnOnce(&mut Running)) -> bool {
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

    /// Records a usage sample, and wakes all tasks if their CPU share has changed.
    fn usage_changed(&mut self) {
        self.lagging_usage();
        self.usages.push_back((time::Instant::now(), self.usage()));
        let cpu: f64 = self.running.values().map(Running::cpu).sum();
        let size = f64::from(self.options.size.cpu_milli);
        let share = if cpu > size { size / cpu } else { 1.0 };
        if (share - self.share).abs() > f64::EPSILON {
            self.share = share;
            self.running
                .values()
                .for_each(|running| running.wake.notify_one());
        }
    }

    fn add_entry(&mut self, event: Event, order: &Order) {
        let elapsed = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
        let at = elapsed.unwrap_or_default().as_millis();
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
