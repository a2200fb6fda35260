//! Whom a process sends its heartbeats to.
//!
//! It begins with the addresses in its settings; the answers name further entries.
//! An address that was only named is dropped when it has been silent for long, one
//! from the settings never is.

use std::collections;

use smol_str::SmolStr;

use crate::ids;
use crate::membership::entry_list;
use crate::wire;

/// One address to send to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// `IP:PORT`.
    pub address: SmolStr,
    /// The life that last answered there.
    pub incarnation: Option<ids::Incarnation>,
    /// Whether to use a new connection, because the last call brought no answer.
    pub needs_new_connection: bool,
    /// The list of entries that it told last, see [`entry_list`].
    pub entries_held: Option<u64>,
}

#[derive(Clone, Debug, Default)]
struct Contact {
    is_seed: bool,
    peer: Option<wire::Peer>,
    heard_ms: u64,
    is_failing: bool,
    told: Option<entry_list::CachedList>,
}

/// The addresses known.
#[derive(Debug, Default)]
pub struct Contacts {
    own: SmolStr,
    by_address: collections::BTreeMap<SmolStr, Contact>,
}

impl Contacts {
    /// Begins with the addresses in the settings; the own is never a target.
    pub fn new(own: SmolStr, seeds: &[SmolStr]) -> Self {
        let contact = Contact {
            is_seed: true,
            ..Contact::default()
        };
        let seeds = seeds.iter().filter(|seed| **seed != own);
        let by_address = seeds.map(|seed| (seed.clone(), contact.clone())).collect();
        Self { own, by_address }
    }

    /// All addresses to send to.
    pub fn targets(&self) -> Vec<Target> {
        let target = |(address, contact): (&SmolStr, &Contact)| Target {
            address: address.clone(),
            incarnation: contact.peer.as_ref().map(|peer| peer.incarnation),
            needs_new_connection: contact.is_failing,
            entries_held: contact.told.as_ref().map(entry_list::CachedList::digest),
        };
        self.by_address.iter().map(target).collect()
    }

    /// Whether no address has answered since `since_ms`.
    pub fn is_isolated(&self, since_ms: u64) -> bool {
        self.live(since_ms).next().is_none()
    }

    /// Peers that answered since `since_ms`.
    pub fn live(&self, since_ms: u64) -> impl Iterator<Item = &wire::Peer> {
        let live = self
            .by_address
            .values()
            .filter(move |one| one.heard_ms >= since_ms);
        live.filter_map(|contact| contact.peer.as_ref())
    }

    /// Puts the entries into an answer that left them out.
    pub fn restore_entries(&mut self, address: &SmolStr, reply: &mut wire::HeartbeatReply) {
        if let Some(contact) = self.by_address.get_mut(address) {
            entry_list::CachedList::restore(&mut contact.told, reply);
        }
    }

    /// An address answered; see [`Contacts::restore_entries`] before.
    pub fn record_reply(&mut self, now_ms: u64, address: &SmolStr, reply: &wire::HeartbeatReply) {
        if let Some(contact) = self.by_address.get_mut(address) {
            contact.heard_ms = now_ms;
            contact.is_failing = false;
            contact.peer = Some(reply.sender.clone());
        }
        for peer in &reply.entries {
            self.add_peer(now_ms, peer);
        }
    }

    /// An entry was named, or called here itself.
    pub fn add_peer(&mut self, now_ms: u64, peer: &wire::Peer) {
        if peer.address == self.own {
            return;
        }
        let fresh = Contact {
            heard_ms: now_ms,
            ..Contact::default()
        };
        self.by_address.entry(peer.address.clone()).or_insert(fresh);
    }

    /// An address did not answer.
    pub fn record_failure(&mut self, address: &SmolStr) {
        if let Some(contact) = self.by_address.get_mut(address) {
            contact.is_failing = true;
        }
    }

    /// Drops what was only named and has been silent for so long.
    pub fn remove_silent(&mut self, now_ms: u64, after_ms: u64) {
        self.by_address.retain(|_, contact| {
            contact.is_seed || contact.heard_ms.saturating_add(after_ms) > now_ms
        });
    }
}
