//! Which worker a task goes to, and when.

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

/// Lease of a task, which is never renewed; longer than any task of a measurement.
const LEASE_MS: u64 = 3_600_000;

/// Idle connections are closed before the worker's server does so, or a task could be
/// sent down a connection that is just being closed.
const KEEP_ALIVE: time::Duration = time::Duration::from_secs(1);

/// A client without a bound of its own on connections or time.
pub(super) fn client() -> awc::Client {
    let connector = awc::Connector::new().limit(0);
    let connector = connector.conn_keep_alive(KEEP_ALIVE);
    let builder = awc::Client::builder().connector(connector);
    builder.disable_timeout().finish()
}

/// One worker and its slots, which are given in the order in which they were asked for.
#[derive(Debug)]
struct Server {
    address: net::SocketAddr,
    slots: Semaphore,
}

/// The workers.
#[derive(Debug)]
pub(super) struct Dispatcher {
    servers: Vec<Server>,
    rng: sync::Mutex<rand_chacha::ChaCha8Rng>,
    started: atomic::AtomicU64,
}

impl Dispatcher {
    pub(super) fn new(options: &Options) -> Self {
        let server = |address: &net::SocketAddr| Server {
            address: *address,
            slots: Semaphore::new(options.slots),
        };
        Self {
            servers: options.workers.iter().map(server).collect(),
            rng: sync::Mutex::new(rand_chacha::ChaCha8Rng::seed_from_u64(options.seed)),
            started: atomic::AtomicU64::new(0),
        }
    }

    /// Tasks started so far.
    pub(super) fn started(&self) -> u64 {
        self.started.load(atomic::Ordering::Relaxed)
    }

    /// Runs the tasks of one submission, all at once as far as there are slots.
    pub(super) async fn run(
        &self,
        client: &awc::Client,
        tasks: Vec<Task>,
    ) -> Vec<answers::TaskAnswer> {
        let drawn = tasks.into_iter().map(|task| {
            let server = lock(&self.rng).random_range(0..self.servers.len());
            self.run_one(client, &self.servers[server], task)
        });
        // They are drawn and queued in order, before the first is polled to its end.
        future::join_all(drawn).await
    }

    async fn run_one(
        &self,
        client: &awc::Client,
        server: &Server,
        task: Task,
    ) -> answers::TaskAnswer {
        // Only a closed semaphore gives none, and nobody closes it.
        let _slot = server.slots.acquire().await.ok();
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
        let url = format!("http://{}/v1/tasks", server.address);
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
