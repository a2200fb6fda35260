//! Calls to the backend server by its published protocol (`docs/WORKER.md`).

use std::time;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::codes;
use crate::ids;
use crate::outgoing;
use crate::runner::core;
use crate::wire;

/// Length of a task's lease at the worker, which stops the task when the lease expires
/// without renewal, for instance after this process has died.
pub const LEASE_MS: u64 = 5_000;

/// Maximum size of a response to a task, in bytes.
const MAX_OUTPUT_BYTES: usize = 2 << 20;

/// Time limit of all calls other than the one that runs a task.
const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(2);

#[derive(Serialize)]
struct Order<'a> {
    task: SmolStr,
    team: &'a str,
    kind: &'a str,
    payload: &'a str,
    cpu_milli: u32,
    memory_mib: u32,
    accelerators: u32,
    lease_ms: u64,
}

#[derive(Clone, Copy)]
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum Status {
    Done,
    Failed,
    Stopped,
}

#[derive(Clone, Copy, Default)]
#[derive(Deserialize)]
struct Peak {
    cpu_milli: u32,
    memory_mib: u32,
    accelerators: u32,
}

#[derive(Deserialize)]
struct Ended {
    status: Status,
    output: String,
    #[serde(default)]
    peak: Peak,
}

#[derive(Serialize)]
struct Renewal {
    tasks: Vec<SmolStr>,
    lease_ms: u64,
}

impl From<Peak> for wire::Resources {
    fn from(peak: Peak) -> Self {
        let Peak {
            cpu_milli,
            memory_mib,
            accelerators,
        } = peak;
        Self {
            cpu_milli,
            memory_mib,
            accelerators,
        }
    }
}

impl From<Ended> for core::End {
    fn from(ended: Ended) -> Self {
        let code = match ended.status {
            Status::Done => codes::Code::Complete,
            Status::Failed => codes::Code::TaskFailed,
            Status::Stopped => codes::Code::Cancelled,
        };
        Self::Ended {
            code,
            output: ended.output,
            peak: ended.peak.into(),
        }
    }
}

/// Runs a task on the backend server and returns its end.
pub async fn run(client: &awc::Client, backend: &str, dispatch: &wire::Dispatch) -> core::End {
    let wire::Resources {
        cpu_milli,
        memory_mib,
        accelerators,
    } = dispatch.resources;
    let order = Order {
        task: smol_str::format_smolstr!("{}", dispatch.attempt),
        team: &dispatch.team,
        kind: &dispatch.kind,
        payload: &dispatch.payload,
        cpu_milli,
        memory_mib,
        accelerators,
        lease_ms: LEASE_MS,
    };
    let sent = client
        .post(format!("http://{backend}/v1/tasks"))
        .send_json(&order)
        .await;
    let mut response = match sent {
        Ok(response) => response,
        Err(e) if outgoing::is_unsent(&e) => {
            log::warn!(event = "backend.unreachable"; "task not sent to the backend server: {e}; returning it as not started");
            return core::End::Unreachable;
        }
        Err(e) => return backend_lost(&e.to_string()),
    };
    if !response.status().is_success() {
        return backend_lost(&response.status().to_string());
    }
    match response.json::<Ended>().limit(MAX_OUTPUT_BYTES).await {
        Ok(ended) => ended.into(),
        Err(e) => backend_lost(&e.to_string()),
    }
}

/// Returns the end of a task that was sent but brought no valid response.
fn backend_lost(reason: &str) -> core::End {
    log::warn!(event = "backend.broken"; "backend server gave no valid response to a task: {reason}; reporting the task as lost");
    core::End::Ended {
        code: codes::Code::BackendLost,
        output: String::new(),
        peak: wire::Resources::default(),
    }
}

/// Requests the stop of a task.
pub async fn stop(client: &awc::Client, backend: &str, attempt: ids::Attempt) {
    let url = format!("http://{backend}/v1/tasks/{attempt}/stop");
    let sent = tokio::time::timeout(CALL_TIMEOUT, client.post(url).send()).await;
    if !matches!(sent, Ok(Ok(_))) {
        log::warn!(event = "backend.stop_failed", attempt:% = attempt; "stop request failed or was not answered within 2 s; the task may keep running");
    }
}

/// Renews the leases of the running tasks.
pub async fn renew(client: &awc::Client, backend: &str, attempts: &[ids::Attempt]) {
    let tasks = attempts
        .iter()
        .map(|attempt| smol_str::format_smolstr!("{attempt}"))
        .collect();
    let renewal = Renewal {
        tasks,
        lease_ms: LEASE_MS,
    };
    let sent = client
        .post(format!("http://{backend}/v1/leases"))
        .send_json(&renewal);
    if !matches!(tokio::time::timeout(CALL_TIMEOUT, sent).await, Ok(Ok(_))) {
        log::warn!(event = "backend.renew_failed"; "lease renewal failed or was not answered within 2 s; trying again at the next interval");
    }
}

/// Reads the resource usage that the worker reports, which lags behind the actual usage.
pub async fn usage(client: &awc::Client, backend: &str) -> Option<wire::Resources> {
    let exchange = async {
        let url = format!("http://{backend}/v1/usage");
        let mut response = client.get(url).send().await.ok()?;
        response.json::<Peak>().await.ok()
    };
    let peak = tokio::time::timeout(CALL_TIMEOUT, exchange)
        .await
        .ok()
        .flatten();
    peak.map(wire::Resources::from)
}
