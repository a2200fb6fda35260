//! TCP relay that injects faults into the connections that it forwards.
//!
//! A test can run it in its own process ([`Relay::start`], [`Relay::set`]) or as a separate
//! one. In the latter, `POST /control` takes a [`Behaviour`] as JSON, such as
//! `{"mode": "silent", "direction": "to_target", "new_too": true}`, and `GET /control`
//! returns the [`Counts`].

mod behaviour;

use std::collections;
use std::io;
use std::net;
use std::sync;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering::SeqCst;
use std::time;

use actix_web::HttpResponse;
use actix_web::ResponseError as _;
use actix_web::web;
use rand::Rng as _;
use serde::Deserialize;
use serde::Serialize;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net::tcp;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::task;

use crate::lock;
use crate::server;

pub use behaviour::Behaviour;
pub use behaviour::Direction;

/// Maximum number of bytes per read.
const CHUNK_BYTES: usize = 16 * 1024;

/// Maximum number of chunks buffered per connection and direction, delayed ones included.
const CHUNKS_IN_FLIGHT: usize = 256;

/// Interval at which a relay looks whether its target listens.
const TARGET_INTERVAL: time::Duration = time::Duration::from_millis(5);

/// Number of such intervals after which a target that still listens counts as running.
const MAX_ENDING_INTERVALS: usize = 10;

/// Counters of the relay.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Counts {
    /// Number of accepted connections.
    pub accepted: u64,
    /// Number of open connections.
    pub open: u64,
    /// Bytes forwarded to the target.
    pub to_target_bytes: u64,
    /// Bytes forwarded from the target.
    pub from_target_bytes: u64,
    /// Bytes to the target that were dropped.
    pub swallowed_to_target_bytes: u64,
    /// Bytes from the target that were dropped.
    pub swallowed_from_target_bytes: u64,
}

/// Silent directions of one connection; once set, a direction stays silent.
#[derive(Debug, Default)]
struct Silence {
    to_target: AtomicBool,
    from_target: AtomicBool,
}

impl Silence {
    fn begin(&self, direction: Direction) {
        if direction != Direction::FromTarget {
            self.to_target.store(true, SeqCst);
        }
        if direction != Direction::ToTarget {
            self.from_target.store(true, SeqCst);
        }
    }

    fn covers(&self, direction: Direction) -> bool {
        match direction {
            Direction::ToTarget => self.to_target.load(SeqCst),
            Direction::FromTarget | Direction::Both => self.from_target.load(SeqCst),
        }
    }
}

#[derive(Debug)]
struct Connection {
    silence: sync::Arc<Silence>,
    reset: sync::Arc<Notify>,
    task: task::AbortHandle,
}

#[derive(Debug, Default)]
struct State {
    behaviour: Behaviour,
    counts: Counts,
    connections: collections::BTreeMap<u64, Connection>,
}

impl State {
    fn set(&mut self, behaviour: Behaviour) {
        self.behaviour = behaviour;
        if let Some((direction, _)) = behaviour.silence() {
            for connection in self.connections.values() {
                connection.silence.begin(direction);
            }
        }
        if behaviour == Behaviour::Cut {
            for connection in self.connections.values() {
                connection.task.abort();
            }
            self.connections.clear();
        }
        self.counts.open = self.connections.len() as u64;
    }

    fn count(&mut self, direction: Direction, silent: bool, bytes: usize) {
        let counts = &mut self.counts;
        let counter = match (direction, silent) {
            (Direction::ToTarget, false) => &mut counts.to_target_bytes,
            (Direction::ToTarget, true) => &mut counts.swallowed_to_target_bytes,
            (_, false) => &mut counts.from_target_bytes,
            (_, true) => &mut counts.swallowed_from_target_bytes,
        };
        *counter += bytes as u64;
    }
}

type Shared = sync::Arc<sync::Mutex<State>>;

/// A relay that runs until it is dropped.
#[derive(Debug)]
pub struct Relay {
    address: net::SocketAddr,
    shared: Shared,
    acceptor: task::JoinHandle<()>,
    target_ends: sync::Arc<Notify>,
}

impl Relay {
    /// Listens and forwards connections to `to`. Requires a running tokio runtime.
    pub async fn start(listen: net::SocketAddr, to: net::SocketAddr) -> io::Result<Self> {
        let listener = tokio::net::TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let shared = Shared::default();
        let target_ends = sync::Arc::new(Notify::new());
        let accepting = accept(
            listener,
            to,
            sync::Arc::clone(&shared),
            sync::Arc::clone(&target_ends),
        );
        let acceptor = tokio::spawn(accepting);
        Ok(Self {
            address,
            shared,
            acceptor,
            target_ends,
        })
    }

    /// Returns the address that the relay listens on.
    pub const fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Sets the behaviour, which also applies to bytes read but not yet forwarded.
    pub fn set(&self, behaviour: Behaviour) {
        lock(&self.shared).set(behaviour);
    }

    /// Resets a share of the open connections at both ends.
    pub fn reset(&self, share: f64) {
        let mut rng = rand::rng();
        for connection in lock(&self.shared).connections.values() {
            if rng.random_bool(share) {
                connection.reset.notify_one();
            }
        }
    }

    /// Refuses new connections, as the target has been killed, until it listens again.
    pub fn refuse_until_target_listens(&self) {
        self.target_ends.notify_one();
    }

    /// Returns the current counters.
    pub fn counts(&self) -> Counts {
        lock(&self.shared).counts
    }

    /// Serves `/control`. Requires a running actix system.
    pub fn serve_control(&self, listen: net::SocketAddr) -> io::Result<server::Server> {
        let data = web::Data::new(sync::Arc::clone(&self.shared));
        server::Server::start(listen, move |cfg| {
            cfg.app_data(data.clone())
                .route("/control", web::post().to(control))
                .route("/control", web::get().to(counts));
        })
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.acceptor.abort();
        self.set(Behaviour::Cut);
    }
}

async fn control(shared: web::Data<Shared>, body: web::Bytes) -> HttpResponse {
    match server::read_json::<Behaviour>(&body) {
        Ok(behaviour) => {
            lock(&shared).set(behaviour);
            counts(shared).await
        }
        Err(err) => err.error_response(),
    }
}

async fn counts(shared: web::Data<Shared>) -> HttpResponse {
    HttpResponse::Ok().json(lock(&shared).counts)
}

async fn accept(
    mut listener: tokio::net::TcpListener,
    to: net::SocketAddr,
    shared: Shared,
    target_ends: sync::Arc<Notify>,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = target_ends.notified() => {
                let Ok(address) = listener.local_addr() else {
                    continue;
                };
                drop(listener);
                wait_until_restarted(to).await;
                listener = listen_again(address).await;
                continue;
            }
        };
        // An accept fails if the client has closed the connection or if file descriptors
        // run out. Both are temporary.
        let Ok((client, _)) = accepted else {
            tokio::time::sleep(time::Duration::from_millis(1)).await;
            continue;
        };
        start_connection(client, to, &shared);
    }
}

/// Waits until a target that is being killed has ended, and listens again.
async fn wait_until_restarted(target: net::SocketAddr) {
    for _ in 0..MAX_ENDING_INTERVALS {
        if tokio::net::TcpStream::connect(target).await.is_err() {
            break;
        }
        tokio::time::sleep(TARGET_INTERVAL).await;
    }
    while tokio::net::TcpStream::connect(target).await.is_err() {
        tokio::time::sleep(TARGET_INTERVAL).await;
    }
}

/// Listens on an address that another connection may hold for a moment.
async fn listen_again(address: net::SocketAddr) -> tokio::net::TcpListener {
    loop {
        match tokio::net::TcpListener::bind(address).await {
            Ok(listener) => return listener,
            Err(_in_use) => tokio::time::sleep(TARGET_INTERVAL).await,
        }
    }
}

/// Registers and starts a connection under the lock, so that every change of behaviour applies
/// to it.
fn start_connection(client: tokio::net::TcpStream, to: net::SocketAddr, shared: &Shared) {
    let mut state = lock(shared);
    if state.behaviour == Behaviour::Cut {
        return;
    }
    let silence = sync::Arc::new(Silence::default());
    if let Some((direction, true)) = state.behaviour.silence() {
        silence.begin(direction);
    }
    let id = state.counts.accepted;
    let reset = sync::Arc::new(Notify::new());
    let relaying = relay_connection(
        client,
        to,
        sync::Arc::clone(&reset),
        sync::Arc::clone(&silence),
        sync::Arc::clone(shared),
    );
    let shared_state = sync::Arc::clone(shared);
    let task = tokio::spawn(async move {
        // An error in either direction closes both sides, like a failed TCP connection.
        drop(relaying.await);
        let mut state = lock(&shared_state);
        state.connections.remove(&id);
        state.counts.open = state.connections.len() as u64;
    });
    let task = task.abort_handle();
    state.counts.accepted += 1;
    let connection = Connection {
        silence,
        reset,
        task,
    };
    state.connections.insert(id, connection);
    state.counts.open = state.connections.len() as u64;
}

async fn relay_connection(
    client: tokio::net::TcpStream,
    to: net::SocketAddr,
    reset: sync::Arc<Notify>,
    silence: sync::Arc<Silence>,
    shared: Shared,
) -> io::Result<()> {
    let upstream = tokio::net::TcpStream::connect(to).await?;
    client.set_nodelay(true)?;
    upstream.set_nodelay(true)?;
    let (mut client_read, mut client_write) = client.into_split();
    let (mut upstream_read, mut upstream_write) = upstream.into_split();
    let forward = Pump {
        direction: Direction::ToTarget,
        silence: sync::Arc::clone(&silence),
        shared: sync::Arc::clone(&shared),
    };
    let backward = Pump {
        direction: Direction::FromTarget,
        silence,
        shared,
    };
    let forwarding = async {
        tokio::try_join!(
            forward.run(&mut client_read, &mut upstream_write),
            backward.run(&mut upstream_read, &mut client_write)
        )
    };
    let is_reset = tokio::select! {
        result = forwarding => result.map(|_both| false)?,
        () = reset.notified() => true,
    };
    if is_reset {
        client_read.as_ref().set_zero_linger()?;
        upstream_read.as_ref().set_zero_linger()?;
        client_write.forget();
        upstream_write.forget();
    }
    Ok(())
}

/// Forwards the bytes of one direction of a connection.
struct Pump {
    direction: Direction,
    silence: sync::Arc<Silence>,
    shared: Shared,
}

/// Bytes and the time to forward them; an empty chunk stands for the sender's shutdown.
type Chunk = (tokio::time::Instant, Vec<u8>);

impl Pump {
    async fn run(
        self,
        from: &mut tcp::OwnedReadHalf,
        to: &mut tcp::OwnedWriteHalf,
    ) -> io::Result<()> {
        let (tx, rx) = mpsc::channel(CHUNKS_IN_FLIGHT);
        tokio::try_join!(self.read(from, tx), self.write(to, rx))?;
        Ok(())
    }

    async fn read(&self, from: &mut tcp::OwnedReadHalf, tx: mpsc::Sender<Chunk>) -> io::Result<()> {
        let mut buf = vec![0; CHUNK_BYTES];
        loop {
            // On a silent connection, a reset is dropped like the bytes.
            let n = match from.read(&mut buf).await {
                Err(_) if self.is_silent() => 0,
                result => result?,
            };
            let delay = lock(&self.shared).behaviour.delay();
            let due = tokio::time::Instant::now() + delay;
            let sent = tx.send((due, buf[..n].to_vec())).await;
            if n == 0 || sent.is_err() {
                return Ok(());
            }
        }
    }

    async fn write(
        &self,
        to: &mut tcp::OwnedWriteHalf,
        mut rx: mpsc::Receiver<Chunk>,
    ) -> io::Result<()> {
        while let Some((due, bytes)) = rx.recv().await {
            tokio::time::sleep_until(due).await;
            let transmission_time = lock(&self.shared).behaviour.transmission_time(bytes.len());
            tokio::time::sleep(transmission_time).await;
            let silent = self.is_silent();
            lock(&self.shared).count(self.direction, silent, bytes.len());
            match (silent, bytes.is_empty()) {
                (false, false) => to.write_all(&bytes).await?,
                (false, true) => to.shutdown().await?,
                (true, false) => {}
                // The shutdown is dropped: the other end must not receive it, so its half
                // stays open until the relay ends or the connection is cut.
                (true, true) => std::future::pending().await,
            }
        }
        Ok(())
    }

    fn is_silent(&self) -> bool {
        self.silence.covers(self.direction)
    }
}
