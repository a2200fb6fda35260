//! Runs one task: its work, its pace, its lease and its end.

use std::sync;
use std::time;

use serde::Deserialize;
use serde::Serialize;
use tokio::sync::Notify;

use super::Options;
use super::state;
use crate::lock;

/// Work left below this, in milliseconds, is rounding.
const NO_WORK_MS: f64 = 0.001;

/// No single wait is longer; a task looks again then.
const MAX_WAIT: time::Duration = time::Duration::from_secs(3600);

/// What a task's payload tells the stand-in to do.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Payload {
    /// Milliseconds of work.
    pub sleep_ms: u64,
    /// Ends as failed.
    pub fail: bool,
    /// Never ends by itself.
    pub hang: bool,
    /// The answer is sent so many milliseconds after the end.
    pub late_ms: u64,
    /// The output; absent: `ok`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub output: Option<String>,
    /// Thousandths of a core really used; absent: as declared.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub use_cpu_milli: Option<u32>,
    /// Mebibytes really used; absent: as declared.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub use_memory_mib: Option<u32>,
}

impl Payload {
    /// Reads a payload; any other text is echoed at once.
    fn read(text: &str) -> Self {
        let echo = || Self {
            output: Some(text.to_owned()),
            ..Self::default()
        };
        // Only an object is a description, though serde would read an array too.
        if !text.trim_start().starts_with('{') {
            return echo();
        }
        serde_json::from_str(text).unwrap_or_else(|_other| echo())
    }

    fn uses(&self, order: &state::Order) -> state::Size {
        state::Size {
            cpu_milli: self.use_cpu_milli.unwrap_or(order.cpu_milli),
            memory_mib: self.use_memory_mib.unwrap_or(order.memory_mib),
            accelerators: order.accelerators,
        }
    }
}

/// How a task ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Status {
    /// It did its work.
    Done,
    /// It failed.
    Failed,
    /// It was stopped, or its lease lapsed.
    Stopped,
}

/// The answer to `POST /v1/tasks`.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Ended {
    /// How it ended.
    pub status: Status,
    /// What it put out, or why it ended.
    pub output: String,
    /// Milliseconds it ran for.
    pub run_ms: u64,
    /// The most that it used.
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

/// Runs a task to its end; none if it was started here before.
///
/// The work is a task of its own: when the caller's connection goes, the server drops
/// this call, but the work goes on until its lease lapses, as on a real worker.
pub(super) async fn run(shared: sync::Arc<Shared>, order: state::Order) -> Option<Ended> {
    let payload = Payload::read(&order.payload);
    let late = time::Duration::from_millis(payload.late_ms);
    let uses = payload.uses(&order);
    let wake = lock(&shared.state).start(&order, uses)?;
    let ended = actix_rt::spawn(work(shared, order, payload, wake));
    let ended = ended.await.ok()?;
    if !late.is_zero() {
        tokio::time::sleep(late).await;
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
        until_end(&shared, &order.task, &payload, &wake).await
    };
    lock(&shared.state).end(&order.task);
    Ended {
        status,
        output,
        run_ms: u64::try_from(began.elapsed().as_millis()).unwrap_or(u64::MAX),
        peak: payload.uses(&order),
    }
}

async fn until_end(
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
        if left_ms < NO_WORK_MS {
            return by_itself(payload);
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

fn by_itself(payload: &Payload) -> (Status, String) {
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
