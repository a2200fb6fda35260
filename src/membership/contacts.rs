//! Addresses to which a process sends its heartbeats.
//!
//! The list starts with the configured addresses, and the replies name further entries. An
//! address that was only named is removed once it has been silent for long; a configured
//! address is never removed.

use std::collections;

use smol_str::SmolStr;

use crate::ids;
use crate::membership::entry_list;
use crate::wire;

/// Destination of a heartbeat.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// `IP:PORT`.
    pub address: SmolStr,
    /// Incarnation that last answered there.
    pub incarnation: Option<ids::Incarnation>,
    /// Whether to open a new connection, because the last call was not answered.
    pub needs_new_connection: bool,
    /// Digest of the entry list last received from there, see [`entry_list`].
    pub entries_held: Option<u64>,
}

#[derive(Clone, Debug, Default)]
struct Contact {
    is_seed: bool,
    peer: Option<wire::Peer>,
    last_seen_ms: u64,
    is_failing: bool,
    cached: Option<entry_list::CachedList>,
}

/// Known addresses of entries.
#[derive(Debug, Default)]
pub struct Contacts {
    own: SmolStr,
    by_address: collections::BTreeMap<SmolStr, Contact>,
}

impl Contacts {
    /// Creates the list from the configured addresses, without the process's own.
    pub fn new(own: SmolStr, seeds: &[SmolStr]) -> Self {
        let contact = Contact {
            is_seed: true,
            ..Contact::default()
        };
        let seeds = seeds.iter().filter(|seed| **seed != own);
        let by_address = seeds.map(|seed| (seed.clone(), contact.clone())).collect();
        Self { own, by_address }
    }

    /// Returns all addresses to send heartbeats to.
    pub fn targets(&self) -> Vec<Target> {
        let target = |(address, contact): (&SmolStr, &Contact)| Target {
            address: address.clone(),
            incarnation: contact.peer.as_ref().map(|peer| peer.incarnation),
            needs_new_connection: contact.is_failing,
            entries_held: contact.cached.as_ref().map(entry_list::CachedList::digest),
        };
        self.by_address.iter().map(target).collect()
    }

    /// Returns whether no address has answered since `since_ms`.
    pub fn is_isolated(&self, since_ms: u64) -> bool {
        self.live(since_ms).next().is_none()
    }

    /// Returns the peers that have answered since `since_ms`.
    pub fn live(&self, since_ms: u64) -> impl Iterator<Item = &wire::Peer> {
        let live = self
            .by_address
            .values()
            .filter(move |known| known.last_seen_ms >= since_ms);
        live.filter_map(|contact| contact.peer.as_ref())
    }

    /// Fills the entries into a reply that left them out, see [`entry_list`].
    pub fn restore_entries(&mut self, address: &SmolStr, reply: &mut wire::HeartbeatReply) {
        if let Some(contact) = self.by_address.get_mut(address) {
            entry_list::CachedList::restore(&mut contact.cached, reply);
        }
    }

    /// Records that an address answered, and adds the entries that the reply names.
    ///
    /// Call [`Contacts::restore_entries`] on the reply first.
    pub fn record_reply(&mut self, now_ms: u64, address: &SmolStr, reply: &wire::HeartbeatReply) {
        if let Some(contact) = self.by_address.get_mut(address) {
            contact.last_seen_ms = now_ms;
            contact.is_failing = false;
            contact.peer = Some(reply.sender.clone());
        }
        for peer in &reply.entries {
            self.add_peer(now_ms, peer);
        }
    }

    /// Adds an entry that a peer named, or that sent a heartbeat itself.
    ///
    /// An address that is already known stays unchanged.
    pub fn add_peer(&mut self, now_ms: u64, peer: &wire::Peer) {
        if peer.address == self.own {
            return;
        }
        let added = Contact {
            last_seen_ms: now_ms,
            ..Contact::default()
        };
        self.by_address.entry(peer.address.clone()).or_insert(added);
    }

    /// Records that an address did not answer.
    pub fn record_failure(&mut self, address: &SmolStr) {
        if let Some(contact) = self.by_address.get_mut(address) {
            contact.is_failing = true;
        }
    }

    /// Removes addresses that are not configured and have been silent for `after_ms`.
    pub fn remove_silent(&mut self, now_ms: u64, after_ms: u64) {
        self.by_address.retain(|_, contact| {
            contact.is_seed || contact.last_seen_ms.saturating_add(after_ms) > now_ms
        });
    }
}
