//! Runs one task until its work is done, its lease expires, or it is stopped.

use std::sync;
use std::time;

use serde::Deserialize;
use serde::Serialize;
use tokio::sync::Notify;

use super::Options;
use super::state;
use crate::lock;

/// Remaining work below this is a rounding error, in milliseconds.
const MIN_WORK_MS: f64 = 0.001;

/// Maximum duration of one wait, after which a task checks its state again.
const MAX_WAIT: time::Duration = time::Duration::from_secs(3600);

/// Behaviour of a task, as described by its payload.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Payload {
    /// Work, in milliseconds.
    pub sleep_ms: u64,
    /// Whether the task fails.
    pub fail: bool,
    /// Whether the task runs until it is stopped or its lease expires.
    pub hang: bool,
    /// Delay of the answer after the end of the task, in milliseconds.
    pub late_ms: u64,
    /// Output; absent: `ok`, or `failed` if the task fails.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub output: Option<String>,
    /// Actual use, in thousandths of a core; absent: as declared.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub use_cpu_milli: Option<u32>,
    /// Actual use of memory, in MiB; absent: as declared.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub use_memory_mib: Option<u32>,
}

impl Payload {
    /// Parses a payload; text in another form is echoed as the output at once.
    fn parse(text: &str) -> Self {
        let echo = || Self {
            output: Some(text.to_owned()),
            ..Self::default()
        };
        // Only an object describes a behaviour, though serde would also accept an array.
        if !text.trim_start().starts_with('{') {
            return echo();
        }
        serde_json::from_str(text).unwrap_or_else(|_invalid| echo())
    }

    fn uses(&self, order: &state::Order) -> state::Size {
        state::Size {
            cpu_milli: self.use_cpu_milli.unwrap_or(order.cpu_milli),
            memory_mib: self.use_memory_mib.unwrap_or(order.memory_mib),
            accelerators: order.accelerators,
        }
    }
}

/// Final status of a task.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Status {
    /// The work was completed.
    Done,
    /// The task failed.
    Failed,
    /// The task was stopped, or its lease expired.
    Stopped,
}

/// Answer to `POST /v1/tasks`.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Ended {
    /// Final status.
    pub status: Status,
    /// Output of the task, or the reason why it was stopped.
    pub output: String,
    /// Run time, in milliseconds.
    pub run_ms: u64,
    /// Peak use of resources.
    pub peak: state::Size,
}

#[derive(Debug)]
pub(super) struct Shared {
    options: Options,
    pub(super) state: sync::Mutex<state::State>,
}

impl Shared {
    pub(super) fn new(options: Options) -> Self {
        Self {
            options,
            state: sync::Mutex::new(state::State::new(options)),
        }
    }
}

/// Runs a task to its end; returns `None` if it was already started on this worker.
///
/// The work is spawned separately. If the caller's connection closes, the server drops this
/// call, but the work continues until its lease expires, as on a real worker.
pub(super) async fn run(shared: sync::Arc<Shared>, order: state::Order) -> Option<Ended> {
    let payload = Payload::parse(&order.payload);
    let answer_delay = time::Duration::from_millis(payload.late_ms);
    let uses = payload.uses(&order);
    let wake = lock(&shared.state).start(&order, uses)?;
    let ended = actix_rt::spawn(work(shared, order, payload, wake));
    let ended = ended.await.ok()?;
    if !answer_delay.is_zero() {
        tokio::time::sleep(answer_delay).await;
    }
    Some(ended)
}

async fn work(
    shared: sync::Arc<Shared>,
    order: state::Order,
    payload: Payload,
    wake: sync::Arc<Notify>,
) -> Ended {
    let began = time::Instant::now();
    let (status, output) = if shared.options.fail_all {
        (Status::Failed, "this worker fails every task".to_owned())
    } else {
        run_until_end(&shared, &order.task, &payload, &wake).await
    };
    lock(&shared.state).end(&order.task);
    Ended {
        status,
        output,
        run_ms: u64::try_from(began.elapsed().as_millis()).unwrap_or(u64::MAX),
        peak: payload.uses(&order),
    }
}

async fn run_until_end(
    shared: &Shared,
    task: &str,
    payload: &Payload,
    wake: &Notify,
) -> (Status, String) {
    let stopped = |reason: &str| (Status::Stopped, reason.to_owned());
    let mut left_ms = if payload.hang {
        f64::INFINITY
    } else {
        payload.sleep_ms as f64
    };
    loop {
        let Some(pace) = lock(&shared.state).pace(task) else {
            return stopped("stopped");
        };
        match pace.interrupt {
            Some(state::Interrupt::Stop) => return stopped("stopped"),
            Some(state::Interrupt::OutOfMemory) => {
                return (Status::Failed, "out of memory".to_owned());
            }
            None => {}
        }
        if left_ms < MIN_WORK_MS {
            return completion(payload);
        }
        let now = time::Instant::now();
        if now >= pace.lease_end {
            return stopped("the lease lapsed");
        }
        let work_s = (left_ms / pace.rate / 1000.0).min(MAX_WAIT.as_secs_f64());
        let until = (now + time::Duration::from_secs_f64(work_s)).min(pace.lease_end);
        tokio::select! {
            () = tokio::time::sleep_until(until.into()) => {}
            () = wake.notified() => {}
        }
        left_ms -= now.elapsed().as_secs_f64() * 1000.0 * pace.rate;
    }
}

fn completion(payload: &Payload) -> (Status, String) {
    if payload.fail {
        let output = payload.output.clone();
        return (
            Status::Failed,
            output.unwrap_or_else(|| "failed".to_owned()),
        );
    }
    let output = payload.output.clone();
    (Status::Done, output.unwrap_or_else(|| "ok".to_owned()))
}
