//! Relays in front of processes, so that a test can disconnect some links and not others.

use std::net;
use std::sync::atomic;

use bulrushtiller_standins::processes;
use bulrushtiller_standins::relay;
use bulrushtiller_standins::site;

use crate::rig;

/// Relay that runs as a separate process.
pub struct Relay {
    process: processes::Process,
    control: net::SocketAddr,
}

impl Relay {
    /// Starts a relay to an address; the target may start to listen later.
    pub fn start(rig: &rig::Rig, to: net::SocketAddr) -> Self {
        static COUNT: atomic::AtomicUsize = atomic::AtomicUsize::new(0);
        let name = format!("relay-{}", COUNT.fetch_add(1, atomic::Ordering::SeqCst));
        let args = ["--to".to_owned(), to.to_string()];
        let program = rig.site.program("standin-relay");
        let process = processes::Process::start(&program, args, &name, rig.site.folder());
        let process = process.expect("a relay starts");
        let control = process.wait_for_address("control").expect("a control port");
        Self { process, control }
    }

    /// Returns the address that clients of the relay connect to.
    pub const fn address(&self) -> net::SocketAddr {
        self.process.address()
    }

    /// Sets the behaviour.
    pub fn set_behaviour(&self, behaviour: &relay::Behaviour) {
        self.command(&serde_json::json!(behaviour));
    }

    /// Returns the number of connections accepted so far.
    pub fn accepted(&self) -> u64 {
        let counts: Option<relay::Counts> = rig::get(self.control, "/control", rig::TOKEN);
        counts.expect("counts").accepted
    }

    /// Closes all connections, and every new one at once.
    pub fn disconnect(&self) {
        self.command(&serde_json::json!({"mode": "cut"}));
    }

    /// Delays bytes in both directions.
    pub fn delay(&self, ms: u64) {
        self.command(&serde_json::json!({"mode": "delay", "ms": ms}));
    }

    /// Restores normal operation.
    pub fn restore(&self) {
        self.command(&serde_json::json!({"mode": "pass"}));
    }

    fn command(&self, command: &serde_json::Value) {
        let done: Option<serde_json::Value> =
            rig::post(self.control, "/control", rig::TOKEN, command);
        assert!(done.is_some(), "the relay rejected {command}");
    }
}

/// Reserves an address for a process that starts later.
///
/// Each address has its own loopback IP, so that no other process gets the port in the
/// meantime.
fn reserve_address() -> net::SocketAddr {
    static COUNT: atomic::AtomicU16 = atomic::AtomicU16::new(0);
    let [pid_high, pid_low, ..] = (std::process::id() % 0xffff).to_le_bytes();
    let [_, count] = COUNT.fetch_add(1, atomic::Ordering::SeqCst).to_be_bytes();
    let ip = net::Ipv4Addr::new(127, 1 + pid_high % 250, pid_low, 1 + count % 250);
    let listener = net::TcpListener::bind((ip, 0)).expect("a port");
    listener.local_addr().expect("an address")
}

/// Starts an entry that others reach through a relay.
///
/// Returns the relay and the direct address of the entry.
pub fn entry_behind_relay(
    rig: &mut rig::Rig,
    name: &str,
    zone: &str,
    endpoints: &site::Endpoints,
) -> (Relay, net::SocketAddr) {
    let direct = reserve_address();
    let relay = Relay::start(rig, direct);
    let location = site::Location {
        peer_listen: Some(direct),
        advertise: Some(relay.address()),
        ..site::Location::new(name, zone)
    };
    let entry = rig
        .site
        .entry(&location, endpoints)
        .expect("an entry starts");
    rig.entries.push(entry);
    (relay, direct)
}

/// Starts a runner that others reach through a relay.
pub fn runner_behind_relay(
    rig: &mut rig::Rig,
    name: &str,
    zone: &str,
    endpoints: &site::Endpoints,
) -> Relay {
    let direct = reserve_address();
    let relay = Relay::start(rig, direct);
    let location = site::Location {
        peer_listen: Some(direct),
        advertise: Some(relay.address()),
        ..site::Location::new(name, zone)
    };
    add_runner(rig, &location, endpoints);
    relay
}

/// Starts a runner that has its own worker and uses the given endpoints.
pub fn runner_with_endpoints(
    rig: &mut rig::Rig,
    name: &str,
    zone: &str,
    endpoints: &site::Endpoints,
) {
    add_runner(rig, &site::Location::new(name, zone), endpoints);
}

fn add_runner(rig: &mut rig::Rig, location: &site::Location, endpoints: &site::Endpoints) {
    let worker = rig
        .site
        .worker(&format!("worker-of-{}", location.name), &[]);
    let worker = worker.expect("a worker starts");
    let runner = rig.site.runner(location, endpoints, worker.address(), &[]);
    rig.runners.push(runner.expect("a runner starts"));
    rig.workers.push(worker);
}

/// Starts a site with a log only, without entries and runners.
pub fn log_only_rig(settings: &str) -> rig::Rig {
    rig::Rig::start(&rig::Plan {
        entries: Vec::new(),
        runners: Vec::new(),
        settings: settings.to_owned(),
        ..rig::Plan::default()
    })
}
