//! Heartbeats of a backend server, which go to the next daemon if they aren't acknowledged.

use std::fmt;
use std::net;
use std::sync;
use std::sync::atomic;
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
    /// Where they go.
    pub daemons: Daemons,
}

/// Addresses for heartbeats; each one is called if those before it do not acknowledge.
#[derive(Clone)]
pub struct Daemons(sync::Arc<dyn Fn() -> Vec<net::SocketAddr> + Send + Sync>);

impl Daemons {
    /// Returns addresses that stay the same.
    pub fn fixed(addresses: Vec<net::SocketAddr>) -> Self {
        Self::listed_by(move || addresses.clone())
    }

    /// Returns addresses that are listed anew for each heartbeat.
    pub fn listed_by(list: impl Fn() -> Vec<net::SocketAddr> + Send + Sync + 'static) -> Self {
        Self(sync::Arc::new(list))
    }
}

impl fmt::Debug for Daemons {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("Daemons").field(&(self.0)()).finish()
    }
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
    is_paused: sync::Arc<atomic::AtomicBool>,
}

impl Heartbeats {
    /// Starts to send heartbeats. Requires a running actix system.
    pub fn start(backend: sync::Arc<backend::Backend>, route: Route) -> Self {
        let due = sync::Arc::new(tokio::sync::Notify::new());
        let is_paused = sync::Arc::new(atomic::AtomicBool::new(false));
        let sending = Sending {
            backend,
            route,
            due: sync::Arc::clone(&due),
            is_paused: sync::Arc::clone(&is_paused),
        };
        Self {
            task: actix_rt::spawn(sending.send_all()),
            due,
            is_paused,
        }
    }

    /// Pauses the heartbeats, or lets them go on.
    pub fn pause(&self, is_paused: bool) {
        self.is_paused.store(is_paused, atomic::Ordering::SeqCst);
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

/// The task that sends the heartbeats.
struct Sending {
    backend: sync::Arc<backend::Backend>,
    route: Route,
    due: sync::Arc<tokio::sync::Notify>,
    is_paused: sync::Arc<atomic::AtomicBool>,
}

impl Sending {
    async fn send_all(self) {
        let client = awc::Client::builder().timeout(ACK_TIMEOUT).finish();
        let mut named = None;
        loop {
            let next = tokio::time::Instant::now() + self.route.interval;
            if !self.is_paused.load(atomic::Ordering::SeqCst) {
                named = self.send_next(&client, named).await;
            }
            // Without a call of `send_now`, the interval ends the wait.
            drop(tokio::time::timeout_at(next, self.due.notified()).await);
        }
    }

    /// Sends one heartbeat; returns the address that its acknowledgement names for later ones.
    async fn send_next(
        &self,
        client: &awc::Client,
        named: Option<net::SocketAddr>,
    ) -> Option<net::SocketAddr> {
        let path = format!("/instances/{}/heartbeat", self.backend.name());
        let body = self
            .backend
            .heartbeat(&self.route.service, &self.route.zone);
        for daemon in named.into_iter().chain((self.route.daemons.0)()) {
            if let Some(ack) = send(client, daemon, &path, &body).await {
                return ack.heartbeat_url;
            }
        }
        None
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
