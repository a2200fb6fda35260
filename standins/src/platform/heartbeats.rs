//! Heartbeats of a backend server, which go to the next daemon if they aren't acknowledged.

use std::net;
use std::sync;
use std::time;

use serde::Deserialize;

use crate::platform::backend;

/// Time within which a heartbeat has to be acknowledged.
const ACK_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Largest body of an acknowledgement, in bytes.
const MAX_ACK_BYTES: usize = 4 << 20;

/// What the heartbeats say, and where they go.
#[derive(Clone, Debug)]
pub struct Route {
    /// Service of the backend server.
    pub service: String,
    /// Its availability zone.
    pub zone: String,
    /// Time between two heartbeats.
    pub interval: time::Duration,
    /// Addresses for heartbeats; each one is called if those before it do not acknowledge.
    pub daemons: Vec<net::SocketAddr>,
}

/// Body of an acknowledgement.
#[derive(Debug, Default)]
#[derive(Deserialize)]
struct Ack {
    /// Address for later heartbeats, until one fails there.
    heartbeat_url: Option<net::SocketAddr>,
}

/// Heartbeats of a backend server; they cease on drop.
#[derive(Debug)]
pub struct Heartbeats {
    task: actix_rt::task::JoinHandle<()>,
    due: sync::Arc<tokio::sync::Notify>,
}

impl Heartbeats {
    /// Starts to send heartbeats. Requires a running actix system.
    pub fn start(backend: sync::Arc<backend::Backend>, route: Route) -> Self {
        let due = sync::Arc::new(tokio::sync::Notify::new());
        Self {
            task: actix_rt::spawn(send_all(backend, route, sync::Arc::clone(&due))),
            due,
        }
    }

    /// Sends the next heartbeat now.
    pub fn send_now(&self) {
        self.due.notify_one();
    }
}

impl Drop for Heartbeats {
    /// Ceases, as another daemon may soon listen on the port.
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn send_all(
    backend: sync::Arc<backend::Backend>,
    route: Route,
    due: sync::Arc<tokio::sync::Notify>,
) {
    let client = awc::Client::builder().timeout(ACK_TIMEOUT).finish();
    let mut named = None;
    loop {
        let path = format!("/instances/{}/heartbeat", backend.name());
        let body = backend.heartbeat(&route.service, &route.zone);
        let mut acked = None;
        for daemon in named.iter().chain(&route.daemons) {
            acked = send(&client, *daemon, &path, &body).await;
            if acked.is_some() {
                break;
            }
        }
        named = acked.and_then(|ack| ack.heartbeat_url);
        // Without a call of `send_now`, the interval ends the wait.
        drop(tokio::time::timeout(route.interval, due.notified()).await);
    }
}

/// Sends one heartbeat to a daemon; returns the acknowledgement, or `None` without one.
async fn send(
    client: &awc::Client,
    daemon: net::SocketAddr,
    path: &str,
    body: &serde_json::Value,
) -> Option<Ack> {
    let exchange = async {
        let request = client.post(format!("http://{daemon}{path}"));
        let mut response = request.send_json(body).await.ok()?;
        let body = response.body().limit(MAX_ACK_BYTES).await.ok()?;
        let is_acked = response.status().is_success();
        is_acked.then(|| serde_json::from_slice(&body).unwrap_or_default())
    };
    tokio::time::timeout(ACK_TIMEOUT, exchange).await.ok()?
}
