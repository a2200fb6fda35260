//! Closes the ports of a stopping process.
//!
//! The HTTP library checks only once a second whether the connections of a stopping server have
//! closed, so the process counts its connections itself.

use std::sync;
use std::time;

use actix_web::dev;

use crate::open_connections;

/// Interval at which a stopping process checks whether its connections have closed.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(10);

/// Threads that serve the connections of a port.
#[derive(Clone, Debug, Default)]
pub struct Threads(sync::Arc<sync::Mutex<Vec<actix::ArbiterHandle>>>);

impl Threads {
    /// Adds the current thread.
    ///
    /// # Panics
    ///
    /// Panics if no arbiter runs on the current thread.
    pub fn add_current(&self) {
        let mut threads = self.0.lock().unwrap_or_else(sync::PoisonError::into_inner);
        threads.push(actix::Arbiter::current());
    }

    fn handles(&self) -> Vec<actix::ArbiterHandle> {
        let threads = self.0.lock();
        threads
            .unwrap_or_else(sync::PoisonError::into_inner)
            .clone()
    }
}

/// A port that is being served.
#[derive(Debug)]
pub struct Server {
    handle: dev::ServerHandle,
    threads: Threads,
}

impl Server {
    /// Describes a server, given its handle and its threads.
    pub const fn new(handle: dev::ServerHandle, threads: Threads) -> Self {
        Self { handle, threads }
    }
}

/// Stops the servers and waits until every connection has closed, or for as long as the servers
/// allow. Must be called on the thread that runs the servers.
pub async fn close(servers: &[Server], open: &open_connections::OpenConnections) {
    let stops = servers.iter().map(|server| server.handle.stop(true));
    let stopped = futures_util::future::join_all(stops);
    tokio::select! {
        _ = stopped => {}
        () = closed(servers, open) => {}
    }
}

async fn closed(servers: &[Server], open: &open_connections::OpenConnections) {
    // During the first pause the servers pass the stop on to their threads.
    tokio::time::sleep(POLL_INTERVAL).await;
    let threads: Vec<_> = servers
        .iter()
        .flat_map(|server| server.threads.handles())
        .collect();
    futures_util::future::join_all(threads.iter().map(count_accepted)).await;
    while open.count() > 0 {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Waits until a thread that has been told to stop has counted every connection that it took.
///
/// A thread takes a connection by queueing a task that counts it when it first runs. Tasks run in
/// the order in which they were queued.
async fn count_accepted(thread: &actix::ArbiterHandle) {
    let (tx, rx) = tokio::sync::oneshot::channel::<()>();
    thread.spawn_fn(move || drop(tx));
    // The sender is dropped in turn, or with the thread if that has ended.
    drop(rx.await);
}
