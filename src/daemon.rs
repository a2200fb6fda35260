//! Lifecycle of the daemon: starting, serving, draining, ended.
//!
//! Each state is a type that offers only the transitions valid in it, so nothing is
//! served before the ports are open and the daemon does not end without draining.

use std::io::Write as _;
use std::net;
use std::sync;
use std::time;

use actix_web::middleware;
use actix_web::web;
use rand::Rng as _;
use smol_str::SmolStr;

use crate::clock;
use crate::closing;
use crate::config;
use crate::control;
use crate::entry;
use crate::hangup;
use crate::heartbeats;
use crate::ids;
use crate::open_connections;
use crate::open_requests;
use crate::operators;
use crate::outgoing;
use crate::runner;
use crate::telemetry;
use crate::wire;

quick_error! {
    /// Error that ends the daemon.
    #[derive(Debug)]
    pub enum DaemonError {
        /// The configuration is invalid.
        Config(err: config::ConfigError) {
            from()
            display("{err}")
            source(err)
        }
        /// Logging cannot be initialized.
        Telemetry(err: telemetry::TelemetryError) {
            from()
            display("{err}")
            source(err)
        }
        /// A port cannot be opened, or another system call failed.
        Io(err: std::io::Error) {
            from()
            display("{err}")
            source(err)
        }
        /// A required thread has ended.
        Thread(what: &'static str) {
            display("the {what} thread has ended")
        }
    }
}

/// Usage text of the daemon.
pub const USAGE: &str = "\
The bulrushtiller daemon: an entry, or the runner beside a backend server.

Usage: bulrushtillerd [--config FILE] [options]

Options (each is also a key of the file, with '_' for '-'):
  --role entry|runner     Role of the process.
  --name NAME             Name, unique among running processes.
  --zone ZONE             Availability zone.
  --rack RACK             Rack.
  --listen IP:PORT        Listen address for callers and operators (entry only).
  --peer-listen IP:PORT   Listen address for other processes.
  --advertise IP:PORT     Address advertised to other processes (the above).
  --log IP:PORT           Log service of the platform.
  --entry IP:PORT         Entry to contact first; may be repeated.
  --backend IP:PORT       Backend server (runner only).
  --slots N               Tasks run at once (runner only; 8).
  --connections N         Connections served at once (runner only; 64).
  --log-file FILE         File for JSON log lines (standard error).
  --log-level LEVEL       error, warn, info, debug or trace (info).
  --threads N             HTTP threads (2).
  -h, --help              Print this text.
  --version               Print the version.

The table [worker] of the file gives the resources of a runner's worker: cpu_milli,
memory_mib, accelerators. On the first SIGTERM or SIGINT the daemon accepts no new
work and exits once its open work is done; on the second it exits at once.
";

/// Interval at which a stopping daemon checks whether it is drained.
const DRAIN_POLL_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// Maximum wait for connections to close once everything is answered, in seconds.
const CLOSE_TIMEOUT_SECONDS: u64 = 2;

/// Maximum wait for the head of a request.
const HEAD_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// Time for which an idle connection is kept open.
const KEEP_ALIVE: time::Duration = time::Duration::from_secs(60);

/// Runs the daemon until it is stopped.
pub fn run(raw: config::RawConfig) -> Result<(), DaemonError> {
    let cfg = config::Config::try_from(raw)?;
    telemetry::start(&cfg)?;
    telemetry::abort_on_panic();
    let system = actix_rt::System::new();
    system.block_on(async {
        let serving = Starting { cfg }.open()?;
        serving.until_signal().await?.drain().await
    })
}

/// The configuration is read; no port is open yet.
#[derive(Debug)]
struct Starting {
    cfg: config::Config,
}

/// What a stopping process waits for.
#[derive(Clone, Debug, Default)]
pub(crate) struct OpenWork {
    requests: open_requests::OpenRequests,
    connections: open_connections::OpenConnections,
}

impl OpenWork {
    /// Returns what to track for a port whose requests delay no stop.
    pub(crate) fn without_delay(&self) -> Self {
        Self {
            requests: self.requests.without_delay(),
            connections: self.connections.clone(),
        }
    }
}

/// The ports are open.
struct Serving {
    servers: Vec<closing::Server>,
    shutdown: ShutdownHandles,
    open: OpenWork,
    signals: Signals,
}

/// Open work is being completed; no new work is accepted.
struct Draining {
    servers: Vec<closing::Server>,
    shutdown: ShutdownHandles,
    open: OpenWork,
    drain: time::Duration,
    signals: Signals,
}

/// Message handles for stopping the control thread of either role.
pub(crate) struct ShutdownHandles {
    leave: actix::Recipient<control::Leave>,
    is_drained: actix::Recipient<control::IsDrained>,
    abandon: actix::Recipient<control::Abandon>,
}

struct Signals {
    terminate: tokio::signal::unix::Signal,
    interrupt: tokio::signal::unix::Signal,
}

impl Signals {
    fn listen() -> std::io::Result<Self> {
        let kind = tokio::signal::unix::SignalKind::terminate();
        let terminate = tokio::signal::unix::signal(kind)?;
        let kind = tokio::signal::unix::SignalKind::interrupt();
        let interrupt = tokio::signal::unix::signal(kind)?;
        Ok(Self {
            terminate,
            interrupt,
        })
    }

    async fn next(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

impl Starting {
    fn open(self) -> Result<Serving, DaemonError> {
        let signals = Signals::listen()?;
        let peer_listener = net::TcpListener::bind(self.cfg.peer_listen)?;
        let peer_address = peer_listener.local_addr()?;
        let me = self.me(self.cfg.advertise.unwrap_or(peer_address));
        log::info!(event = "daemon.start", name = me.name.as_str(), incarnation:% = me.incarnation; "daemon starting");
        let pool = sync::Arc::new(outgoing::Pool::start(self.cfg.threads));
        let opened = match &self.cfg.role {
            config::RoleConfig::Entry { listen } => {
                self.open_entry(me, pool, peer_listener, *listen)?
            }
            config::RoleConfig::Runner { .. } => self.open_runner(me, pool, peer_listener)?,
        };
        Ok(Serving {
            servers: opened.servers,
            shutdown: opened.shutdown_handles,
            open: opened.open,
            signals,
        })
    }

    fn me(&self, address: net::SocketAddr) -> wire::Peer {
        let role = match self.cfg.role {
            config::RoleConfig::Entry { .. } => wire::Role::Entry,
            config::RoleConfig::Runner { .. } => wire::Role::Runner,
        };
        wire::Peer {
            role,
            name: self.cfg.name.clone(),
            incarnation: ids::Incarnation::new(clock::unix_micros(), rand::rng().random()),
            zone: self.cfg.zone.clone(),
            rack: self.cfg.rack.clone(),
            address: smol_str::format_smolstr!("{address}"),
        }
    }

    fn open_entry(
        &self,
        me: wire::Peer,
        pool: sync::Arc<outgoing::Pool>,
        peer_listener: net::TcpListener,
        listen: net::SocketAddr,
    ) -> Result<Opened, DaemonError> {
        let listener = net::TcpListener::bind(listen)?;
        let address = listener.local_addr()?;
        let peer_address = peer_listener.local_addr()?;
        let snapshot = heartbeats::SettingsSnapshot::default();
        let incarnation = me.incarnation;
        let parts = entry::control::Parts {
            me,
            entries: self.cfg.entries.clone(),
            log: smol_str::format_smolstr!("{}", self.cfg.log),
            clock: clock::Clock::start(),
            pool,
            snapshot: sync::Arc::clone(&snapshot),
        };
        let control = start_on_own_thread(move || entry::control::Control::new(parts))?;
        let shared = entry::http::Shared {
            control: control.clone(),
            snapshot,
            incarnation,
        };
        let handles = control_handles(&control);
        let open = OpenWork::default();
        let public = serve(
            listener,
            self.cfg.threads,
            Bounds::with_defaults(None),
            &open,
            {
                let (shared, handles) = (shared.clone(), handles.clone());
                move |cfg| {
                    cfg.app_data(web::Data::new(shared.clone()));
                    cfg.app_data(web::Data::new(handles.clone()));
                    entry::http::public_routes(cfg);
                }
            },
        )?;
        let peers = serve(
            peer_listener,
            self.cfg.threads,
            Bounds::with_defaults(None),
            &open,
            move |cfg| {
                cfg.app_data(web::Data::new(shared.clone()));
                cfg.app_data(web::Data::new(handles.clone()));
                entry::http::peer_routes(cfg);
            },
        )?;
        announce(&[("peers", peer_address), ("listening", address)])?;
        Ok(Opened {
            servers: vec![public, peers],
            shutdown_handles: shutdown_handles(&control),
            open,
        })
    }

    fn open_runner(
        &self,
        me: wire::Peer,
        pool: sync::Arc<outgoing::Pool>,
        listener: net::TcpListener,
    ) -> Result<Opened, DaemonError> {
        let config::RoleConfig::Runner {
            backend,
            slots,
            connections,
            worker,
        } = &self.cfg.role
        else {
            return Err(DaemonError::Thread("runner"));
        };
        let address = listener.local_addr()?;
        let parts = runner::control::Parts {
            runner: runner::core::Parts {
                me,
                slots: *slots,
                size: *worker,
            },
            entries: self.cfg.entries.clone(),
            log: smol_str::format_smolstr!("{}", self.cfg.log),
            backend: backend.clone(),
            clock: clock::Clock::start(),
            pool,
        };
        let control = start_on_own_thread(move || runner::control::Control::new(parts))?;
        let shared = runner::http::Shared {
            control: control.clone(),
        };
        let handles = control_handles(&control);
        let open = OpenWork::default();
        let bounds = Bounds::with_defaults(Some(*connections));
        let server = serve(listener, self.cfg.threads, bounds, &open, move |cfg| {
            cfg.app_data(web::Data::new(shared.clone()));
            cfg.app_data(web::Data::new(handles.clone()));
            runner::http::routes(cfg);
        })?;
        announce(&[("listening", address)])?;
        Ok(Opened {
            servers: vec![server],
            shutdown_handles: shutdown_handles(&control),
            open,
        })
    }
}

struct Opened {
    servers: Vec<closing::Server>,
    shutdown_handles: ShutdownHandles,
    open: OpenWork,
}

/// Starts the control actor on a dedicated thread.
pub(crate) fn start_on_own_thread<A, F>(new_actor: F) -> Result<actix::Addr<A>, DaemonError>
where
    A: actix::Actor<Context = actix::Context<A>>,
    F: FnOnce() -> A + Send + 'static,
{
    let (tx, rx) = std::sync::mpsc::channel();
    let arbiter = actix::Arbiter::new();
    let is_running = arbiter.spawn_fn(move || {
        if tx.send(new_actor().start()).is_err() {
            log::error!(event = "control.unwanted"; "control thread started while the daemon is ending; discarding it");
        }
    });
    if !is_running {
        return Err(DaemonError::Thread("control"));
    }
    rx.recv().map_err(|_ended| DaemonError::Thread("control"))
}

fn control_handles<A>(control: &actix::Addr<A>) -> operators::ControlHandles
where
    A: actix::Actor<Context = actix::Context<A>>
        + actix::Handler<control::GetStatus>
        + actix::Handler<control::GetMetrics>
        + actix::Handler<control::GetAudit>
        + actix::Handler<control::GetSettings>,
{
    operators::ControlHandles {
        status: control.clone().recipient(),
        metrics: control.clone().recipient(),
        audit: control.clone().recipient(),
        settings: control.clone().recipient(),
    }
}

pub(crate) fn shutdown_handles<A>(control: &actix::Addr<A>) -> ShutdownHandles
where
    A: actix::Actor<Context = actix::Context<A>>
        + actix::Handler<control::Leave>
        + actix::Handler<control::IsDrained>
        + actix::Handler<control::Abandon>,
{
    ShutdownHandles {
        leave: control.clone().recipient(),
        is_drained: control.clone().recipient(),
        abandon: control.clone().recipient(),
    }
}

/// Limits on the connections of a port.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Maximum number of connections; `None` for the server's default.
    pub connections: Option<u32>,
    /// Maximum wait for the head of a request.
    pub head: time::Duration,
    /// Time for which an idle connection is kept open.
    pub idle: time::Duration,
    /// Whether closed connections of callers are detected, which takes one more file
    /// descriptor per connection.
    pub detects_hangups: bool,
}

impl Bounds {
    const fn with_defaults(connections: Option<u32>) -> Self {
        Self {
            connections,
            head: HEAD_TIMEOUT,
            idle: KEEP_ALIVE,
            detects_hangups: false,
        }
    }
}

/// Serves a port until it is closed.
pub(crate) fn serve<F>(
    listener: net::TcpListener,
    threads: usize,
    bounds: Bounds,
    open: &OpenWork,
    register_routes: F,
) -> std::io::Result<closing::Server>
where
    F: Fn(&mut web::ServiceConfig) + Clone + Send + 'static,
{
    let OpenWork {
        requests: open_requests,
        connections: open_connections,
    } = open.clone();
    let serving_threads = closing::Threads::default();
    let added_to = serving_threads.clone();
    let factory = move || {
        added_to.add_current();
        let track = middleware::from_fn(open_requests::track);
        let app = actix_web::App::new().app_data(web::Data::new(open_requests.clone()));
        app.wrap(track).configure(register_routes.clone())
    };
    let mut server = actix_web::HttpServer::new(factory)
        .workers(threads)
        .disable_signals()
        .client_request_timeout(bounds.head)
        .keep_alive(bounds.idle)
        .shutdown_timeout(CLOSE_TIMEOUT_SECONDS);
    server = server.on_connect(move |connection, data| {
        open_connections.attach(data);
        if bounds.detects_hangups {
            hangup::Hangup::attach(connection, data);
        }
    });
    if let Some(connections) = bounds.connections {
        server = server.max_connections((connections as usize).div_ceil(threads));
    }
    let server = server.listen(listener)?.run();
    let handle = server.handle();
    actix_rt::spawn(server);
    Ok(closing::Server::new(handle, serving_threads))
}

/// Prints the addresses of the ports to the standard output for the starting process.
fn announce(lines: &[(&str, net::SocketAddr)]) -> std::io::Result<()> {
    let mut out = std::io::stdout().lock();
    for (label, address) in lines {
        writeln!(out, "{label} {address}")?;
    }
    out.flush()
}

/// Serves until a stop signal, then until the process is drained.
pub(crate) async fn serve_until_drained(
    servers: Vec<closing::Server>,
    shutdown: ShutdownHandles,
    open: OpenWork,
) -> Result<(), DaemonError> {
    let serving = Serving {
        servers,
        shutdown,
        open,
        signals: Signals::listen()?,
    };
    serving.until_signal().await?.drain().await
}

impl Serving {
    async fn until_signal(mut self) -> Result<Draining, DaemonError> {
        self.signals.next().await;
        log::info!(event = "daemon.leave"; "stop signal received; draining open work");
        self.open.requests.start_leaving();
        let reply = self.shutdown.leave.send(control::Leave).await;
        let drain = reply.map_err(|_ended| DaemonError::Thread("control"))?;
        let Self {
            servers,
            shutdown,
            open,
            signals,
        } = self;
        Ok(Draining {
            servers,
            shutdown,
            open,
            drain,
            signals,
        })
    }
}

impl Draining {
    /// Serves until all work is done, the time limit expires or a second signal arrives.
    async fn drain(mut self) -> Result<(), DaemonError> {
        let began = time::Instant::now();
        let is_drained = self.shutdown.is_drained;
        let drained = async {
            while !is_drained.send(control::IsDrained).await.unwrap_or(true)
                || !self.open.requests.is_idle()
            {
                tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
            }
        };
        let ended: SmolStr = tokio::select! {
            () = drained => SmolStr::new_static("drained"),
            () = tokio::time::sleep(self.drain) => SmolStr::new_static("out of time"),
            () = self.signals.next() => SmolStr::new_static("second signal"),
        };
        if ended != "drained" {
            let reply = self.shutdown.abandon.send(control::Abandon).await;
            reply.map_err(|_ended| DaemonError::Thread("control"))?;
        }
        let drained_ms = began.elapsed().as_millis();
        let connections = self.open.connections.count();
        closing::close(&self.servers, &self.open.connections).await;
        let took_ms = began.elapsed().as_millis();
        log::info!(event = "daemon.end", drained_ms = drained_ms, connections = connections, left = self.open.connections.count(), took_ms = took_ms; "daemon stopped: {ended}");
        log::logger().flush();
        Ok(())
    }
}
