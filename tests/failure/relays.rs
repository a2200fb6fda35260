//! Processes of a rig behind relays, so that a test can cut one way and not another.

use std::net;
use std::sync::atomic;

use bulrushtiller_standins::processes;
use bulrushtiller_standins::relay;
use bulrushtiller_standins::site;

use crate::rig;

/// A relay as a process of its own.
pub struct Relay {
    process: processes::Process,
    control: net::SocketAddr,
}

impl Relay {
    /// Starts a relay to an address at which something may listen later.
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

    /// Where to connect.
    pub const fn address(&self) -> net::SocketAddr {
        self.process.address()
    }

    /// Has it behave in any of its ways.
    pub fn set(&self, behaviour: &relay::Behaviour) {
        self.order(&serde_json::json!(behaviour));
    }

    /// Connections taken so far.
    pub fn accepted(&self) -> u64 {
        let counts: Option<relay::Counts> = rig::get(self.control, "/control", rig::TOKEN);
        counts.expect("counts").accepted
    }

    /// Closes all connections, and new ones at once.
    pub fn cut(&self) {
        self.order(&serde_json::json!({"mode": "cut"}));
    }

    /// Holds bytes back for so long in either direction.
    pub fn delay(&self, ms: u64) {
        self.order(&serde_json::json!({"mode": "delay", "ms": ms}));
    }

    /// Lets everything pass again.
    pub fn mend(&self) {
        self.order(&serde_json::json!({"mode": "pass"}));
    }

    fn order(&self, order: &serde_json::Value) {
        let done: Option<serde_json::Value> =
            rig::post(self.control, "/control", rig::TOKEN, order);
        assert!(done.is_some(), "the relay takes {order}");
    }
}

/// An address for a process that starts later.
///
/// Each has an IP of its own on the loopback, so that no other process is given the
/// port in the meantime.
fn reserve() -> net::SocketAddr {
    static COUNT: atomic::AtomicU16 = atomic::AtomicU16::new(0);
    let [pid_high, pid_low, ..] = (std::process::id() % 0xffff).to_le_bytes();
    let [_, count] = COUNT.fetch_add(1, atomic::Ordering::SeqCst).to_be_bytes();
    let ip = net::Ipv4Addr::new(127, 1 + pid_high % 250, pid_low, 1 + count % 250);
    let listener = net::TcpListener::bind((ip, 0)).expect("a port");
    listener.local_addr().expect("an address")
}

/// Starts an entry that the others reach through a relay; gives it with the address
/// that passes the relay by.
pub fn entry_behind_relay(
    rig: &mut rig::Rig,
    name: &str,
    zone: &str,
    links: &site::Endpoints,
) -> (Relay, net::SocketAddr) {
    let direct = reserve();
    let relay = Relay::start(rig, direct);
    let place = site::Location {
        peer_listen: Some(direct),
        advertise: Some(relay.address()),
        ..site::Location::new(name, zone)
    };
    let entry = rig.site.entry(&place, links).expect("an entry starts");
    rig.entries.push(entry);
    (relay, direct)
}

/// Starts a runner that the others reach through a relay.
pub fn runner_behind_relay(
    rig: &mut rig::Rig,
    name: &str,
    zone: &str,
    links: &site::Endpoints,
) -> Relay {
    let direct = reserve();
    let relay = Relay::start(rig, direct);
    let place = site::Location {
        peer_listen: Some(direct),
        advertise: Some(relay.address()),
        ..site::Location::new(name, zone)
    };
    add_runner(rig, &place, links);
    relay
}

/// Starts a runner with a worker of its own and links of its own.
pub fn runner_with(rig: &mut rig::Rig, name: &str, zone: &str, links: &site::Endpoints) {
    add_runner(rig, &site::Location::new(name, zone), links);
}

fn add_runner(rig: &mut rig::Rig, place: &site::Location, links: &site::Endpoints) {
    let worker = rig.site.worker(&format!("worker-of-{}", place.name), &[]);
    let worker = worker.expect("a worker starts");
    let runner = rig.site.runner(place, links, worker.address(), &[]);
    rig.runners.push(runner.expect("a runner starts"));
    rig.workers.push(worker);
}

/// A site with a log and nothing else.
pub fn bare(settings: &str) -> rig::Rig {
    rig::Rig::start(&rig::Plan {
        entries: Vec::new(),
        runners: Vec::new(),
        settings: settings.to_owned(),
        ..rig::Plan::default()
    })
}
