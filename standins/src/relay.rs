//! A TCP relay whose behaviour tests change while it runs.
//!
//! In a test's own process: [`Relay::start`] and [`Relay::set`]. As a process:
//! `POST /control` takes a [`Behaviour`] as JSON, such as
//! `{"mode": "silent", "direction": "to_target", "new_too": true}`, and
//! `GET /control` gives the [`Counts`].

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
use serde::Deserialize;
use serde::Serialize;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net::tcp;
use tokio::sync::mpsc;
use tokio::task;

use crate::lock;
use crate::server;

/// Bytes read at once.
const CHUNK_BYTES: usize = 16 * 1024;

/// Chunks on their way in one direction of a connection; a delay holds that many.
const CHUNKS_IN_FLIGHT: usize = 256;

/// Which bytes go silent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Direction {
    /// From whoever connected.
    ToTarget,
    /// From the target.
    FromTarget,
    /// Both.
    Both,
}

/// What happens to connections.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case", tag = "mode")]
pub enum Behaviour {
    /// Bytes pass as they come.
    #[default]
    Pass,
    /// Bytes pass `ms` milliseconds after they came, in either direction.
    Delay {
        /// Milliseconds.
        ms: u64,
    },
    /// Each direction of each connection carries so much.
    Pace {
        /// Bytes a second; 0 counts as 1.
        bytes_per_s: u64,
    },
    /// Open connections are closed, and new ones as soon as they are there.
    Cut,
    /// Bytes and closings are swallowed and connections stay open.
    ///
    /// A connection gone silent stays so, whatever is set later.
    Silent {
        /// In which direction.
        direction: Direction,
        /// Whether connections made from now on go silent too.
        #[serde(default)]
        new_too: bool,
    },
    /// Open connections go silent both ways for good while new ones work.
    SilentExisting,
}

impl Behaviour {
    /// What goes silent, and whether in new connections too.
    const fn silence(self) -> Option<(Direction, bool)> {
        match self {
            Self::Silent { direction, new_too } => Some((direction, new_too)),
            Self::SilentExisting => Some((Direction::Both, false)),
            Self::Pass | Self::Delay { .. } | Self::Pace { .. } | Self::Cut => None,
        }
    }

    const fn delay(self) -> time::Duration {
        match self {
            Self::Delay { ms } => time::Duration::from_millis(ms),
            _ => time::Duration::ZERO,
        }
    }

    /// How long so many bytes occupy a connection.
    fn occupied(self, bytes: usize) -> time::Duration {
        match self {
            Self::Pace { bytes_per_s } => {
                time::Duration::from_secs(bytes as u64)
                    / u32::try_from(bytes_per_s.max(1)).unwrap_or(u32::MAX)
            }
            _ => time::Duration::ZERO,
        }
    }
}

/// What the relay has seen so far.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Counts {
    /// Connections taken.
    pub accepted: u64,
    /// Connections open now.
    pub open: u64,
    /// Bytes passed to the target.
    pub to_target_bytes: u64,
    /// Bytes passed back.
    pub from_target_bytes: u64,
    /// Bytes for the target that were swallowed.
    pub swallowed_to_target_bytes: u64,
    /// Bytes from the target that were swallowed.
    pub swallowed_from_target_bytes: u64,
}

/// The silence of one connection, which never ends.
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
}

impl Relay {
    /// Listens and passes connections on to `to`; needs a running tokio runtime.
    pub async fn start(listen: net::SocketAddr, to: net::SocketAddr) -> io::Result<Self> {
        let listener = tokio::net::TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let shared = Shared::default();
        let acceptor = tokio::spawn(accept(listener, to, sync::Arc::clone(&shared)));
        Ok(Self {
            address,
            shared,
            acceptor,
        })
    }

    /// Where it listens.
    pub const fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Changes the behaviour. What was read but not yet passed on falls under it too.
    pub fn set(&self, behaviour: Behaviour) {
        lock(&self.shared).set(behaviour);
    }

    /// What was seen so far.
    pub fn counts(&self) -> Counts {
        lock(&self.shared).counts
    }

    /// Serves `/control`; needs a running actix system.
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
        Err(bad) => bad.error_response(),
    }
}

async fn counts(shared: web::Data<Shared>) -> HttpResponse {
    HttpResponse::Ok().json(lock(&shared).counts)
}

async fn accept(listener: tokio::net::TcpListener, to: net::SocketAddr, shared: Shared) {
    loop {
        // An accept fails when the caller is gone again or files run out; both pass.
        let Ok((near, _)) = listener.accept().await else {
            tokio::time::sleep(time::Duration::from_millis(1)).await;
            continue;
        };
        take_in(near, to, &shared);
    }
}

/// Starts a connection, under the lock so that no change of behaviour misses it.
fn take_in(near: tokio::net::TcpStream, to: net::SocketAddr, shared: &Shared) {
    let mut state = lock(shared);
    if state.behaviour == Behaviour::Cut {
        return;
    }
    let silence = sync::Arc::new(Silence::default());
    if let Some((direction, true)) = state.behaviour.silence() {
        silence.begin(direction);
    }
    let number = state.counts.accepted;
    let pass = connect(
        near,
        to,
        sync::Arc::clone(&silence),
        sync::Arc::clone(shared),
    );
    let finished = sync::Arc::clone(shared);
    let task = tokio::spawn(async move {
        // A connection that fails is closed on both sides, as TCP would have it.
        drop(pass.await);
        let mut state = lock(&finished);
        state.connections.remove(&number);
        state.counts.open = state.connections.len() as u64;
    });
    let task = task.abort_handle();
    state.counts.accepted += 1;
    state
        .connections
        .insert(number, Connection { silence, task });
    state.counts.open = state.connections.len() as u64;
}

async fn connect(
    near: tokio::net::TcpStream,
    to: net::SocketAddr,
    silence: sync::Arc<Silence>,
    shared: Shared,
) -> io::Result<()> {
    let far = tokio::net::TcpStream::connect(to).await?;
    near.set_nodelay(true)?;
    far.set_nodelay(true)?;
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let there = Pump {
        direction: Direction::ToTarget,
        silence: sync::Arc::clone(&silence),
        shared: sync::Arc::clone(&shared),
    };
    let back = Pump {
        direction: Direction::FromTarget,
        silence,
        shared,
    };
    tokio::try_join!(
        there.run(near_read, far_write),
        back.run(far_read, near_write)
    )?;
    Ok(())
}

/// One direction of one connection.
struct Pump {
    direction: Direction,
    silence: sync::Arc<Silence>,
    shared: Shared,
}

/// Bytes and when they may go on; no bytes: the sender has closed.
type Chunk = (tokio::time::Instant, Vec<u8>);

impl Pump {
    async fn run(self, from: tcp::OwnedReadHalf, to: tcp::OwnedWriteHalf) -> io::Result<()> {
        let (tx, rx) = mpsc::channel(CHUNKS_IN_FLIGHT);
        tokio::try_join!(self.read(from, tx), self.write(to, rx))?;
        Ok(())
    }

    async fn read(&self, mut from: tcp::OwnedReadHalf, tx: mpsc::Sender<Chunk>) -> io::Result<()> {
        let mut buf = vec![0; CHUNK_BYTES];
        loop {
            // A reset of a silent connection is swallowed like its bytes.
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
        mut to: tcp::OwnedWriteHalf,
        mut rx: mpsc::Receiver<Chunk>,
    ) -> io::Result<()> {
        while let Some((due, bytes)) = rx.recv().await {
            tokio::time::sleep_until(due).await;
            let occupied = lock(&self.shared).behaviour.occupied(bytes.len());
            tokio::time::sleep(occupied).await;
            let silent = self.is_silent();
            lock(&self.shared).count(self.direction, silent, bytes.len());
            match (silent, bytes.is_empty()) {
                (false, false) => to.write_all(&bytes).await?,
                (false, true) => to.shutdown().await?,
                (true, false) => {}
                // The closing is swallowed: the other end must never hear of it,
                // so its half stays open until the relay ends or cuts.
                (true, true) => std::future::pending().await,
            }
        }
        Ok(())
    }

    fn is_silent(&self) -> bool {
        self.silence.covers(self.direction)
    }
}
