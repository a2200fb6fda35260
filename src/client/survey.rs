//! Discovers the daemons and their status by querying each and its peers.

use std::collections;
use std::time;

use futures_util::StreamExt as _;
use futures_util::stream;
use serde::Serialize;
use smol_str::SmolStr;

use crate::api;
use crate::client;
use crate::client::http;

/// Timeout of a call for the status of a daemon.
const STATUS_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Maximum number of daemons that are queried at the same time.
const MAX_CONCURRENT: usize = 64;

/// Role of an entry.
const ENTRY: &str = "entry";
/// State of a process that answers.
const ALIVE: &str = "alive";
/// State of a process that reports that it is stopping.
const LEAVING: &str = "leaving";
/// State of a process that does not answer.
const UNREACHABLE: &str = "unreachable";

/// Status of one process, as reported by itself or, if it does not answer, by its peers.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Process {
    /// `entry` or `runner`; empty if unknown.
    pub role: SmolStr,
    /// Name; empty if unknown.
    pub name: SmolStr,
    /// Address that was queried.
    pub address: SmolStr,
    /// Availability zone.
    pub zone: SmolStr,
    /// `alive`, `leaving` or `unreachable`, or the state that its peers report (`silent`,
    /// `ejected` or `probing`).
    pub state: SmolStr,
    /// Whether the process itself answered.
    pub answered: bool,
    /// Revision of the settings in force at the process.
    pub revision: Option<u64>,
    /// Number of slots in use.
    pub busy: Option<u32>,
    /// Number of slots.
    pub slots: Option<u32>,
    /// Number of tasks waiting at the process.
    pub queued: Option<u64>,
    /// Number of tasks that a runner runs or that an entry has dispatched.
    pub running: Option<u64>,
    /// Whether the process may start or dispatch tasks now.
    pub fresh: Option<bool>,
    /// Entry that decides while slots are scarce, as seen by this entry.
    pub leader: Option<SmolStr>,
    /// Availability zones that are out of service according to the process.
    pub zones_out: Vec<SmolStr>,
    /// Given addresses that did not answer, one of which may belong to this process.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub perhaps_at: Vec<SmolStr>,
}

impl Process {
    /// Creates a process of which only the address is known.
    fn unknown(address: &SmolStr) -> Self {
        Self {
            role: SmolStr::default(),
            name: SmolStr::default(),
            address: address.clone(),
            zone: SmolStr::default(),
            state: SmolStr::new_static(UNREACHABLE),
            answered: false,
            revision: None,
            busy: None,
            slots: None,
            queued: None,
            running: None,
            fresh: None,
            leader: None,
            zones_out: Vec::new(),
            perhaps_at: Vec::new(),
        }
    }

    /// Whether neither the process nor a peer reported anything about this address.
    fn is_unknown(&self) -> bool {
        self.role.is_empty()
    }

    /// Whether it is an entry that did not answer.
    fn is_unanswered_entry(&self) -> bool {
        self.role == ENTRY && !self.answered
    }

    /// Returns the name, or the address if the name is unknown.
    pub fn display_name(&self) -> &SmolStr {
        if self.name.is_empty() {
            &self.address
        } else {
            &self.name
        }
    }

    /// Applies a peer's report about this process.
    ///
    /// An answer of the process itself takes precedence, unless the peer reports a state other
    /// than alive.
    fn apply_peer_report(&mut self, peer: &api::PeerStatus) {
        self.busy = self.busy.or(Some(peer.busy));
        self.slots = self.slots.or(Some(peer.slots));
        if self.answered {
            if self.state == ALIVE && peer.state != ALIVE {
                self.state = peer.state.clone();
            }
            return;
        }
        self.role = peer.role.clone();
        self.name = peer.name.clone();
        self.zone = peer.zone.clone();
        self.revision = self.revision.max(peer.revision);
        if peer.state != ALIVE {
            self.state = peer.state.clone();
        }
    }

    /// Applies this process's own status report.
    fn apply_own_status(&mut self, status: &api::Status) {
        self.answered = true;
        self.role = status.role.clone();
        self.name = status.name.clone();
        self.zone = status.zone.clone();
        self.state = SmolStr::new_static(if status.leaving { LEAVING } else { ALIVE });
        self.revision = status.revision;
        self.queued = Some(status.queued);
        self.running = Some(status.running);
        self.fresh = Some(status.fresh);
        self.leader.clone_from(&status.leader);
        self.zones_out.clone_from(&status.zones_out);
    }
}

/// Processes discovered so far.
#[derive(Debug, Default)]
struct Discovered {
    processes: collections::BTreeMap<SmolStr, Process>,
    /// First address under which each incarnation answered.
    address_by_incarnation: collections::BTreeMap<SmolStr, SmolStr>,
    /// Other addresses of a process, with its first address.
    aliases: collections::BTreeMap<SmolStr, SmolStr>,
    /// All reports about peers.
    peer_reports: Vec<api::PeerStatus>,
}

impl Discovered {
    /// Records the answer, or the failure, of a query to an address.
    ///
    /// An entry has one address for callers and one for other processes; the same
    /// incarnation in both answers identifies them as one process.
    fn record(&mut self, address: &SmolStr, answer: Option<api::Status>) {
        let mut process = Process::unknown(address);
        if let Some(status) = answer {
            let first = self
                .address_by_incarnation
                .entry(status.incarnation.clone());
            let first = first.or_insert_with(|| address.clone());
            if first != address {
                self.aliases.insert(address.clone(), first.clone());
                return;
            }
            process.apply_own_status(&status);
            self.peer_reports.extend(status.peers);
        }
        self.processes.insert(address.clone(), process);
    }

    fn is_known(&self, address: &SmolStr) -> bool {
        self.processes.contains_key(address) || self.aliases.contains_key(address)
    }

    /// Returns the reported addresses of peers that were not queried yet.
    fn not_queried(&self) -> collections::BTreeSet<SmolStr> {
        let reported = self.peer_reports.iter().map(|peer| &peer.address);
        reported
            .filter(|address| !self.is_known(address))
            .cloned()
            .collect()
    }

    /// Adds the reports of peers to each process, and returns the processes.
    fn finish(mut self) -> Vec<Process> {
        for peer in &self.peer_reports {
            let address = self.aliases.get(&peer.address).unwrap_or(&peer.address);
            if let Some(process) = self.processes.get_mut(address) {
                process.apply_peer_report(peer);
            }
        }
        merge_unanswered_entries(&mut self.processes);
        sorted(self.processes)
    }
}

/// Merges given addresses that do not answer into the entries that peers report as silent.
///
/// The operator gives the entry's address for callers, its peers report the one for
/// processes. Only an answer would show that both belong to one process; listed separately,
/// they would look like an additional entry, which does not exist.
fn merge_unanswered_entries(processes: &mut collections::BTreeMap<SmolStr, Process>) {
    let unknown: Vec<_> = processes
        .values()
        .filter(|process| process.is_unknown())
        .map(|process| process.address.clone())
        .collect();
    let mut unanswered: Vec<_> = processes
        .values_mut()
        .filter(|process| process.is_unanswered_entry())
        .collect();
    if unanswered.len() < unknown.len() {
        return;
    }
    for process in &mut unanswered {
        process.perhaps_at.clone_from(&unknown);
    }
    processes.retain(|_, process| !process.is_unknown());
}

/// Queries the given entries and all processes that are reported as peers.
///
/// Returns the processes sorted by role, zone and name.
pub async fn survey(http: &http::Http, entries: &[SmolStr]) -> Vec<Process> {
    let mut discovered = Discovered::default();
    let mut pending: collections::BTreeSet<SmolStr> = entries.iter().cloned().collect();
    while !pending.is_empty() {
        for (address, answer) in query_all(http, &pending).await {
            discovered.record(&address, answer);
        }
        pending = discovered.not_queried();
    }
    discovered.finish()
}

fn sorted(processes: collections::BTreeMap<SmolStr, Process>) -> Vec<Process> {
    let mut list: Vec<Process> = processes.into_values().collect();
    list.sort_by(|a, b| (&a.role, &a.zone, &a.name).cmp(&(&b.role, &b.zone, &b.name)));
    list
}

/// Queries several daemons concurrently, and returns their status by address.
async fn query_all(
    http: &http::Http,
    addresses: &collections::BTreeSet<SmolStr>,
) -> collections::BTreeMap<SmolStr, Option<api::Status>> {
    let queries = stream::iter(addresses).map(|address| async move {
        let status = status(http, address).await;
        (address.clone(), status.ok())
    });
    queries.buffer_unordered(MAX_CONCURRENT).collect().await
}

/// Fetches the status of one daemon.
pub async fn status(
    http: &http::Http,
    address: &SmolStr,
) -> Result<api::Status, client::ClientError> {
    let reply = http
        .call(http::Call::get(address, "/status", STATUS_TIMEOUT))
        .await?;
    reply.expect_json()
}
