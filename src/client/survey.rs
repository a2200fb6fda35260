//! What the daemons say of themselves and of each other.

use std::collections;
use std::time;

use futures_util::StreamExt as _;
use futures_util::stream;
use serde::Serialize;
use smol_str::SmolStr;

use crate::api;
use crate::client;
use crate::client::http;

/// Longest wait for one daemon's status.
const STATUS_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Daemons that are asked at the same time.
const AT_ONCE: usize = 64;

const ENTRY: &str = "entry";
/// State of a process that answers for itself.
const ALIVE: &str = "alive";
/// State of a process that says it is stopping.
const LEAVING: &str = "leaving";
/// State of a process that does not answer.
const UNREACHABLE: &str = "unreachable";

/// One process, by its own word where it answers, else by that of its peers.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Process {
    /// `entry` or `runner`; empty when nobody knows.
    pub role: SmolStr,
    /// Its name; empty when nobody knows.
    pub name: SmolStr,
    /// Where it was asked.
    pub address: SmolStr,
    /// Its availability zone.
    pub zone: SmolStr,
    /// What its peers say (`silent`, `ejected`, `probing`), or `alive`, `leaving`,
    /// `unreachable`.
    pub state: SmolStr,
    /// Whether it answered for itself.
    pub answered: bool,
    /// Revision of the settings in force there.
    pub revision: Option<u64>,
    /// Slots in use.
    pub busy: Option<u32>,
    /// Slots in all.
    pub slots: Option<u32>,
    /// Tasks waiting there.
    pub queued: Option<u64>,
    /// Tasks running there, or handed out by it.
    pub running: Option<u64>,
    /// Whether it may start or hand out work now.
    pub fresh: Option<bool>,
    /// The entry that decides while slots are scarce, as an entry sees it.
    pub leader: Option<SmolStr>,
    /// Availability zones that it takes to be out of service.
    pub zones_out: Vec<SmolStr>,
    /// Given addresses without an answer, of which one may be this process's.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub perhaps_at: Vec<SmolStr>,
}

impl Process {
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

    /// Whether it is an address that nobody knows anything about.
    fn is_unknown(&self) -> bool {
        self.role.is_empty()
    }

    fn is_silent_entry(&self) -> bool {
        self.role == ENTRY && !self.answered
    }

    /// Its name, or its address while the name is not known.
    pub fn shown_name(&self) -> &SmolStr {
        if self.name.is_empty() {
            &self.address
        } else {
            &self.name
        }
    }

    /// Takes over what another process says of this one.
    fn hear(&mut self, peer: &api::PeerStatus) {
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

    /// Takes over what this process says of itself.
    fn answer(&mut self, status: &api::Status) {
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

/// The processes found so far.
#[derive(Debug, Default)]
struct Found {
    processes: collections::BTreeMap<SmolStr, Process>,
    /// The address by which each life was first found.
    lives: collections::BTreeMap<SmolStr, SmolStr>,
    /// Further addresses of processes that were found by another.
    aliases: collections::BTreeMap<SmolStr, SmolStr>,
    told: Vec<api::PeerStatus>,
}

impl Found {
    /// Notes what came of asking an address.
    ///
    /// An entry has one address for callers and one for other processes; its life
    /// tells that both are the same process.
    fn note(&mut self, address: &SmolStr, answer: Option<api::Status>) {
        let mut process = Process::unknown(address);
        if let Some(status) = answer {
            let first = self.lives.entry(status.incarnation.clone());
            let first = first.or_insert_with(|| address.clone());
            if first != address {
                self.aliases.insert(address.clone(), first.clone());
                return;
            }
            process.answer(&status);
            self.told.extend(status.peers);
        }
        self.processes.insert(address.clone(), process);
    }

    fn is_known(&self, address: &SmolStr) -> bool {
        self.processes.contains_key(address) || self.aliases.contains_key(address)
    }

    /// Addresses that were named and not asked yet.
    fn unasked(&self) -> collections::BTreeSet<SmolStr> {
        let named = self.told.iter().map(|peer| &peer.address);
        named
            .filter(|address| !self.is_known(address))
            .cloned()
            .collect()
    }

    /// Adds to each process what the others say of it.
    fn finish(mut self) -> Vec<Process> {
        for peer in &self.told {
            let address = self.aliases.get(&peer.address).unwrap_or(&peer.address);
            if let Some(process) = self.processes.get_mut(address) {
                process.hear(peer);
            }
        }
        join_silent_entries(&mut self.processes);
        sorted(self.processes)
    }
}

/// Shows an entry once that does not answer.
///
/// It is given by its address for callers and named by its peers with the one for
/// processes. Only an answer tells that both are one process; without it there
/// would be two rows, and an operator would look for an entry that never was.
fn join_silent_entries(processes: &mut collections::BTreeMap<SmolStr, Process>) {
    let unknown: Vec<_> = processes
        .values()
        .filter(|process| process.is_unknown())
        .map(|process| process.address.clone())
        .collect();
    let mut silent: Vec<_> = processes
        .values_mut()
        .filter(|process| process.is_silent_entry())
        .collect();
    if silent.len() < unknown.len() {
        return;
    }
    for process in &mut silent {
        process.perhaps_at.clone_from(&unknown);
    }
    processes.retain(|_, process| !process.is_unknown());
}

/// Asks every given entry and the processes that they name.
///
/// Gives the processes by role, zone and name.
pub async fn survey(http: &http::Http, entries: &[SmolStr]) -> Vec<Process> {
    let mut found = Found::default();
    let mut ask: collections::BTreeSet<SmolStr> = entries.iter().cloned().collect();
    while !ask.is_empty() {
        for (address, answer) in ask_all(http, &ask).await {
            found.note(&address, answer);
        }
        ask = found.unasked();
    }
    found.finish()
}

fn sorted(processes: collections::BTreeMap<SmolStr, Process>) -> Vec<Process> {
    let mut list: Vec<Process> = processes.into_values().collect();
    list.sort_by(|a, b| (&a.role, &a.zone, &a.name).cmp(&(&b.role, &b.zone, &b.name)));
    list
}

/// Asks many at once, and gives their answers by address.
async fn ask_all(
    http: &http::Http,
    addresses: &collections::BTreeSet<SmolStr>,
) -> collections::BTreeMap<SmolStr, Option<api::Status>> {
    let asked = stream::iter(addresses).map(|address| async move {
        let status = status(http, address).await;
        (address.clone(), status.ok())
    });
    asked.buffer_unordered(AT_ONCE).collect().await
}

/// Asks one daemon.
pub async fn status(
    http: &http::Http,
    address: &SmolStr,
) -> Result<api::Status, client::ClientError> {
    let reply = http
        .call(http::Call::get(address, "/status", STATUS_TIMEOUT))
        .await?;
    reply.expect_json()
}
