//! Assigns tasks to workers at random and queues them for a slot.

use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use futures_util::future;
use rand::Rng as _;
use rand::SeedableRng as _;
use smol_str::format_smolstr;
use tokio::sync::Semaphore;

use super::Options;
use super::Task;
use super::answers;
use crate::lock;
use crate::worker;

/// Lease of a task. It is never renewed, so it is longer than any measured task.
const LEASE_MS: u64 = 3_600_000;

/// Idle time after which a connection is closed, below the keep-alive of the worker's server.
///
/// Otherwise a task could be sent on a connection that the worker is closing.
const KEEP_ALIVE: time::Duration = time::Duration::from_secs(1);

/// Creates a client with no limit on connections and no time-out.
pub(super) fn client() -> awc::Client {
    let connector = awc::Connector::new().limit(0);
    let connector = connector.conn_keep_alive(KEEP_ALIVE);
    let builder = awc::Client::builder().connector(connector);
    builder.disable_timeout().finish()
}

/// One worker and its slots, which are granted in order of request.
#[derive(Debug)]
struct WorkerSlots {
    address: net::SocketAddr,
    slots: Semaphore,
}

/// Dispatcher that draws a worker for each task at random.
#[derive(Debug)]
pub(super) struct Dispatcher {
    workers: Vec<WorkerSlots>,
    rng: sync::Mutex<rand_chacha::ChaCha8Rng>,
    started: atomic::AtomicU64,
}

impl Dispatcher {
    pub(super) fn new(options: &Options) -> Self {
        let worker_slots = |address: &net::SocketAddr| WorkerSlots {
            address: *address,
            slots: Semaphore::new(options.slots),
        };
        Self {
            workers: options.workers.iter().map(worker_slots).collect(),
            rng: sync::Mutex::new(rand_chacha::ChaCha8Rng::seed_from_u64(options.seed)),
            started: atomic::AtomicU64::new(0),
        }
    }

    /// Returns the number of tasks started.
    pub(super) fn started(&self) -> u64 {
        self.started.load(atomic::Ordering::Relaxed)
    }

    /// Runs the tasks of one submission concurrently, as far as slots are free.
    pub(super) async fn run(
        &self,
        client: &awc::Client,
        tasks: Vec<Task>,
    ) -> Vec<answers::TaskAnswer> {
        let runs = tasks.into_iter().map(|task| {
            let chosen = lock(&self.rng).random_range(0..self.workers.len());
            self.run_one(client, &self.workers[chosen], task)
        });
        // Workers are drawn and slots requested in order, before the first task completes.
        future::join_all(runs).await
    }

    async fn run_one(
        &self,
        client: &awc::Client,
        worker_slots: &WorkerSlots,
        task: Task,
    ) -> answers::TaskAnswer {
        // Fails only on a closed semaphore, and this one is never closed.
        let _slot = worker_slots.slots.acquire().await.ok();
        let number = self.started.fetch_add(1, atomic::Ordering::Relaxed);
        let order = worker::Order {
            task: format_smolstr!("naive-{number}"),
            team: smol_str::SmolStr::default(),
            kind: task.kind,
            payload: task.payload,
            cpu_milli: task.cpu_milli,
            memory_mib: task.memory_mib,
            accelerators: task.accelerators,
            lease_ms: LEASE_MS,
        };
        let url = format!("http://{}/v1/tasks", worker_slots.address);
        let Ok(mut response) = client.post(url).send_json(&order).await else {
            return answers::TaskAnswer::failed(0);
        };
        match response.json::<worker::Ended>().await {
            Ok(ended) if ended.status == worker::Status::Done => {
                answers::TaskAnswer::ran(ended.output, ended.run_ms)
            }
            Ok(ended) => answers::TaskAnswer::failed(ended.run_ms),
            Err(_unreadable) => answers::TaskAnswer::failed(0),
        }
    }
}
