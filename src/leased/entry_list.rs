//! The other entries that an entry knows.
//!
//! The store lists all entries that were ever started under a name, also those that are gone. A
//! list from another entry serves until the store's has been read.

use std::collections;

use smol_str::SmolStr;

use crate::leased::ports;

/// Other entries, by address.
#[derive(Clone, Debug)]
pub struct EntryList {
    me: ports::Peer,
    others: collections::BTreeMap<SmolStr, ports::Peer>,
    is_listed: bool,
}

impl EntryList {
    /// Creates the list of an entry that knows no other.
    pub const fn new(me: ports::Peer) -> Self {
        Self {
            me,
            others: collections::BTreeMap::new(),
            is_listed: false,
        }
    }

    /// Returns the entry whose list this is.
    pub const fn me(&self) -> &ports::Peer {
        &self.me
    }

    /// Replaces all entries by those that the store lists.
    pub fn replace(&mut self, listed: Vec<ports::Peer>) {
        self.is_listed = true;
        self.others.clear();
        self.add(listed);
    }

    /// Returns whether the store's list, or that of another entry, has been received.
    pub fn is_known(&self) -> bool {
        self.is_listed || !self.others.is_empty()
    }

    /// Adds entries that another entry knows, unless the store's list has been read.
    pub fn discover(&mut self, known: Vec<ports::Peer>) {
        if !self.is_listed {
            self.add(known);
        }
    }

    fn add(&mut self, peers: Vec<ports::Peer>) {
        let others = peers
            .into_iter()
            .filter(|peer| peer.address != self.me.address);
        self.others
            .extend(others.map(|peer| (peer.address.clone(), peer)));
    }

    /// Returns the other entries, ordered by address.
    pub fn others(&self) -> impl Iterator<Item = &ports::Peer> {
        self.others.values()
    }

    /// Returns another entry by its address.
    pub fn get(&self, address: &str) -> Option<&ports::Peer> {
        self.others.get(address)
    }

    /// Returns all entries, this one included.
    pub fn all(&self) -> Vec<ports::Peer> {
        let me = std::iter::once(&self.me);
        me.chain(self.others.values()).cloned().collect()
    }
}
