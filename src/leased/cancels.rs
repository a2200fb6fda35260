//! Cancels of jobs that other entries may hold, without access to network or clock.
//!
//! The entry that receives a cancel keeps the job's id and notifies all other entries, each of
//! which keeps the id as well. A job that arrives under a kept id starts nothing.
//! `docs/design/cancels.md` describes each failure.

pub mod kept;
pub mod messages;
pub mod open;
pub mod peer;

use std::collections;

use smol_str::SmolStr;

use crate::leased::ports;

/// Time for which ids are collected for one message, in milliseconds.
pub const COLLECT_MS: u64 = 20;

/// Interval between the attempts to notify a peer that does not answer, in milliseconds. It is
/// also the time limit of one attempt.
pub const RETRY_MS: u64 = 250;

/// The same once the cancel limit is over, in milliseconds.
pub const LATE_RETRY_MS: u64 = 1_000;

/// Number of cancel limits for which ids are kept, and peers that do not answer are notified of them. A
/// copy of a job's request may arrive seconds after its cancel, and an entry that was cut off may go
/// on with the job.
pub const KEPT_LIMITS: u64 = 10;

/// Time limit of a call that asks a peer to relay, in milliseconds: the peer's own call to the
/// recipient, [`RELAY_MS`], and one more exchange.
pub const RELAYED_CALL_MS: u64 = 500;

/// Time limit of the calls that a relaying entry makes, in milliseconds.
pub const RELAY_MS: u64 = 200;

/// Largest number of ids in a message that is sent.
const MAX_IDS: usize = 1_000;

/// Identifies a caller that waits for the answer to its cancel.
pub type Waiter = u64;

/// Answer to the caller that cancels a job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Answer {
    /// The job has been cancelled, or will be within the cancel limit.
    Accepted,
    /// No entry holds the job.
    Unknown,
}

/// Action that the caller of this module has to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sends a message to another entry.
    Call(Call),
    /// Answers a caller.
    Answer(Waiter, Answer),
}

/// Message to another entry.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// Number of the call, which its result has to name.
    pub number: u64,
    /// Address of the entry.
    pub to: SmolStr,
    /// Cancelled jobs, and where to relay them to.
    pub notice: messages::Notice,
    /// Whether an earlier attempt had no answer, so that a new connection has to be used.
    pub is_retry: bool,
    /// Time limit for the answer, in milliseconds.
    pub limit_ms: u64,
}

/// Counters for the metrics.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    /// Cancels by callers of jobs that this entry did not hold.
    pub forwarded: u64,
    /// Of these, those for which an entry held the job.
    pub held: u64,
    /// Of these, those for which no entry held the job.
    pub unknown: u64,
    /// Of these, those answered before every entry had been heard.
    pub unconfirmed: u64,
    /// Jobs that arrived after their cancel.
    pub early: u64,
    /// Messages sent to other entries.
    pub sent: u64,
    /// Messages without an answer.
    pub lost: u64,
    /// Messages that asked an entry to relay.
    pub relayed: u64,
    /// Ids that a peer was not notified of within the cancel limit.
    pub undelivered: u64,
    /// Ids dropped before their time because too many were kept.
    pub dropped: u64,
}

/// Cancels known to one entry.
#[derive(Debug)]
pub struct Cancels {
    zone: SmolStr,
    limit_ms: u64,
    kept: kept::KeptIds,
    open: open::OpenCancels,
    peers: collections::BTreeMap<SmolStr, peer::Peer>,
    calls: collections::HashMap<u64, Call>,
    last_number: u64,
    logged_drops: u64,
    counts: Counts,
}

impl Cancels {
    /// Creates the state of an entry in `zone` that has not received the list of entries.
    pub fn new(zone: SmolStr, limit_ms: u64) -> Self {
        Self {
            zone,
            limit_ms,
            kept: kept::KeptIds::new(KEPT_LIMITS * limit_ms),
            open: open::OpenCancels::default(),
            peers: collections::BTreeMap::new(),
            calls: collections::HashMap::new(),
            last_number: 0,
            logged_drops: 0,
            counts: Counts::default(),
        }
    }

    /// Returns the counters for the metrics.
    pub const fn counts(&self) -> Counts {
        self.counts
    }

    /// Returns the number of kept ids.
    pub fn kept(&self) -> usize {
        self.kept.len()
    }

    /// Returns whether every caller has been answered and every peer that is not gone notified.
    pub fn is_settled(&self) -> bool {
        !self.open.has_waiting()
            && self
                .peers
                .values()
                .all(|peer| peer.is_gone() || !peer.has_undelivered())
    }

    /// Applies the list of all other entries.
    pub fn update_peers<'a, P>(&mut self, now_ms: u64, listed: P) -> Vec<Action>
    where
        P: IntoIterator<Item = &'a ports::Peer>,
    {
        let mut former = std::mem::take(&mut self.peers);
        for entry in listed {
            let peer = former
                .remove(&entry.address)
                .unwrap_or_else(|| self.new_peer(now_ms, entry));
            self.peers.insert(entry.address.clone(), peer);
        }
        let mut decided = Vec::new();
        for address in former.keys() {
            decided.extend(self.open.remove_peer(address));
        }
        decided.extend(self.open.set_list_known());
        self.answer_unknown(now_ms, decided)
    }

    /// Creates a peer that has to be notified of this entry's recent cancels.
    fn new_peer(&mut self, now_ms: u64, entry: &ports::Peer) -> peer::Peer {
        let mut peer = peer::Peer::new(entry.zone.clone());
        for (id, since_ms) in self.kept.cancelled_here() {
            let times = self.times_since(since_ms);
            if times.until_ms > now_ms {
                peer.add(now_ms, id.clone(), times);
                self.open.await_peer(id, &entry.address);
            }
        }
        peer
    }

    /// Returns when a peer should know of a cancel, and until when it is notified.
    const fn times_since(&self, since_ms: u64) -> peer::Times {
        peer::Times {
            limit_ms: since_ms + self.limit_ms,
            until_ms: since_ms + KEPT_LIMITS * self.limit_ms,
        }
    }

    /// Processes a caller's cancel; `is_held` is whether this entry held the job and has
    /// cancelled it.
    pub fn cancel(
        &mut self,
        now_ms: u64,
        id: &SmolStr,
        is_held: bool,
        waiter: Waiter,
    ) -> Vec<Action> {
        if is_held {
            self.keep(now_ms, id, kept::Origin::Here, true);
            self.notify_all(now_ms, id);
            return vec![Action::Answer(waiter, Answer::Accepted)];
        }
        self.counts.forwarded += 1;
        let awaited = self.awaited_peers();
        log::info!(event = "cancel.forwarded", job = id.as_str(), peers = self.peers.len(), awaited = awaited.len(); "the job to cancel is not open here; notifying the other entries");
        self.keep(now_ms, id, kept::Origin::Here, false);
        self.notify_all(now_ms, id);
        // The job was held once, but may have been submitted again at another entry since.
        if self.kept.was_held(id) {
            self.counts.held += 1;
            return vec![Action::Answer(waiter, Answer::Accepted)];
        }
        let decided = self.open.add(now_ms, id, waiter, awaited);
        self.answer_unknown(now_ms, decided)
    }

    /// Notifies all peers of a cancel.
    fn notify_all(&mut self, now_ms: u64, id: &SmolStr) {
        let times = self.times_since(now_ms);
        for peer in self.peers.values_mut() {
            peer.add(now_ms, id.clone(), times);
        }
    }

    fn awaited_peers(&self) -> collections::BTreeSet<SmolStr> {
        let awaited = self.peers.iter().filter(|(_, peer)| !peer.is_gone());
        awaited.map(|(address, _)| address.clone()).collect()
    }

    /// Returns the actions for a job that arrives after its cancel, or `None` if it was not
    /// cancelled.
    pub fn intercept(&mut self, now_ms: u64, id: &SmolStr) -> Option<Vec<Action>> {
        let age_ms = self.kept.age_ms(now_ms, id)?;
        self.counts.early += 1;
        log::info!(event = "cancel.early", job = id.as_str(), age_ms = age_ms; "the job was cancelled before it arrived; nothing was run");
        Some(self.found(now_ms, id))
    }

    /// Processes a notice of another entry; `held` are those of its ids whose jobs were open here
    /// and have been cancelled.
    pub fn receive(
        &mut self,
        now_ms: u64,
        notice: &messages::Notice,
        held: &collections::HashSet<SmolStr>,
    ) -> messages::Reply {
        for id in &notice.ids {
            let is_held = held.contains(id);
            if is_held {
                log::info!(event = "cancel.held", job = id.as_str(); "another entry received the cancel of a job that was open here");
            }
            // Copies of a message come within the limit; a later one is of another cancel.
            let age_ms = self.kept.age_ms(now_ms, id);
            if is_held || age_ms.is_none_or(|age_ms| age_ms >= self.limit_ms) {
                self.keep(now_ms, id, kept::Origin::Peer, is_held);
            }
        }
        // An answer that was lost is repeated, so jobs cancelled by the first copy count too.
        let held = notice.ids.iter().filter(|id| self.kept.was_held(id));
        messages::Reply {
            held: held.cloned().collect(),
            relayed: Vec::new(),
        }
    }

    /// Processes the result of a call; `reply` is absent if there was no answer.
    pub fn answered(
        &mut self,
        now_ms: u64,
        number: u64,
        reply: Option<&messages::Reply>,
    ) -> Vec<Action> {
        let Some(call) = self.calls.remove(&number) else {
            return Vec::new();
        };
        let is_relay = !call.notice.relay_to.is_empty();
        let Some(reply) = reply else {
            self.counts.lost += 1;
            if !is_relay && let Some(peer) = self.peers.get_mut(&call.to) {
                peer.lost(now_ms);
            }
            return Vec::new();
        };
        if !is_relay && let Some(peer) = self.peers.get_mut(&call.to) {
            peer.call_ended();
        }
        let mut actions = Vec::new();
        for id in &reply.held {
            actions.extend(self.found(now_ms, id));
        }
        let relayed = reply.relayed.iter();
        let relayed = relayed.filter(|address| call.notice.relay_to.contains(address));
        for address in std::iter::once(&call.to).chain(relayed) {
            actions.extend(self.acknowledged(now_ms, address, &call.notice.ids));
        }
        actions
    }

    /// Answers the callers that wait for a cancel whose job was held by some entry.
    fn found(&mut self, now_ms: u64, id: &SmolStr) -> Vec<Action> {
        self.kept.mark_held(id);
        let Some(open) = self.open.remove(id) else {
            return Vec::new();
        };
        self.counts.held += 1;
        log::info!(event = "cancel.answered", job = id.as_str(), outcome = "held", took_ms = now_ms - open.since_ms; "an entry held the job and has cancelled it");
        answers(&open, Answer::Accepted)
    }

    /// Notes that a peer knows that the ids are cancelled.
    fn acknowledged(&mut self, now_ms: u64, address: &SmolStr, ids: &[SmolStr]) -> Vec<Action> {
        if let Some(peer) = self.peers.get_mut(address) {
            peer.acknowledged(now_ms, ids);
        }
        let decided = ids
            .iter()
            .filter_map(|id| self.open.remove_awaited(id, address));
        let decided: Vec<_> = decided.collect();
        self.answer_unknown(now_ms, decided)
    }

    fn answer_unknown<O>(&mut self, now_ms: u64, decided: O) -> Vec<Action>
    where
        O: IntoIterator<Item = open::OpenCancel>,
    {
        let mut actions = Vec::new();
        for open in decided {
            self.counts.unknown += 1;
            log::info!(event = "cancel.answered", job = open.id.as_str(), outcome = "unknown", took_ms = now_ms - open.since_ms; "no entry holds the job");
            actions.extend(answers(&open, Answer::Unknown));
        }
        actions
    }

    fn keep(&mut self, now_ms: u64, id: &SmolStr, origin: kept::Origin, is_held: bool) {
        let Some(dropped) = self.kept.keep(now_ms, id.clone(), origin, is_held) else {
            return;
        };
        self.counts.dropped += 1;
        for peer in self.peers.values_mut() {
            peer.forget(&dropped);
        }
    }

    /// Returns what is due: calls, and answers to callers that have waited long enough.
    pub fn tick(&mut self, now_ms: u64) -> Vec<Action> {
        if self.kept.is_empty() && self.open.is_empty() {
            return Vec::new();
        }
        self.log_drops();
        self.kept.expire(now_ms);
        let mut actions = self.answer_unconfirmed(now_ms);
        self.expire_undelivered(now_ms);
        actions.extend(self.due_calls(now_ms).into_iter().map(Action::Call));
        actions
    }

    /// Logs at most one line per tick, as every further cancel drops an id while the memory is
    /// full.
    fn log_drops(&mut self) {
        let dropped = self.counts.dropped - self.logged_drops;
        if dropped > 0 {
            self.logged_drops = self.counts.dropped;
            log::warn!(event = "cancel.dropped", dropped = dropped, kept = self.kept.len(); "too many cancelled ids; dropped the oldest, whose jobs may start");
        }
    }

    fn answer_unconfirmed(&mut self, now_ms: u64) -> Vec<Action> {
        let mut actions = Vec::new();
        for open in self.open.expire(now_ms) {
            self.counts.unconfirmed += 1;
            log::warn!(event = "cancel.answered", job = open.id.as_str(), outcome = "unconfirmed", took_ms = now_ms - open.since_ms, silent:? = open.awaited; "some entries have not answered yet; they go on being notified");
            actions.extend(answers(&open, Answer::Accepted));
        }
        actions
    }

    fn expire_undelivered(&mut self, now_ms: u64) {
        for (address, peer) in &mut self.peers {
            let expired = peer.expire(now_ms);
            if let Some(first) = expired.first() {
                self.counts.undelivered += expired.len() as u64;
                log::warn!(event = "cancel.undelivered", peer = address.as_str(), ids = expired.len(), job = first.as_str(), tries = peer.tries(); "an entry did not answer within the cancel limit; it goes on being notified");
            }
        }
    }

    fn due_calls(&mut self, now_ms: u64) -> Vec<Call> {
        let mut calls = Vec::new();
        let mut relays = collections::BTreeMap::new();
        let due = self.peers.iter().filter(|(_, peer)| peer.is_due(now_ms));
        let due: Vec<SmolStr> = due.map(|(address, _)| address.clone()).collect();
        for address in due {
            let Some(peer) = self.peers.get_mut(&address) else {
                continue;
            };
            let ids = peer.start_call(now_ms, MAX_IDS);
            if peer.tries() > 0
                && let Some(relayer) = self.relayer(&address)
            {
                let relay: &mut messages::Notice = relays.entry(relayer).or_default();
                relay.merge(&ids, &address, MAX_IDS);
            }
            calls.push(self.new_call(address, messages::Notice::direct(ids)));
        }
        for (relayer, notice) in relays {
            calls.push(self.new_call(relayer, notice));
        }
        calls
    }

    /// Returns the entry to ask for relaying to a silent peer.
    ///
    /// An entry of a zone that is neither this one's nor the peer's comes first, as the link
    /// between these two may be cut. Each further attempt asks the next one.
    fn relayer(&self, target: &SmolStr) -> Option<SmolStr> {
        let silent = self.peers.get(target)?;
        let rank = |peer: &peer::Peer| match peer.zone() {
            zone if *zone == self.zone => 2,
            zone if zone == silent.zone() => 1,
            _ => 0,
        };
        let mut candidates: Vec<_> = self
            .peers
            .iter()
            .filter(|(address, peer)| *address != target && peer.tries() == 0)
            .map(|(address, peer)| (rank(peer), address))
            .collect();
        candidates.sort_unstable();
        let at = (silent.tries() as usize - 1) % candidates.len().max(1);
        let (_, address) = candidates.get(at)?;
        Some((*address).clone())
    }

    fn new_call(&mut self, to: SmolStr, notice: messages::Notice) -> Call {
        let is_relay = !notice.relay_to.is_empty();
        self.counts.sent += 1;
        self.counts.relayed += u64::from(is_relay);
        self.last_number += 1;
        let is_retry = self.peers.get(&to).is_some_and(|peer| peer.tries() > 0);
        if is_relay {
            log::info!(event = "cancel.relayed", relayer = to.as_str(), to:? = notice.relay_to, ids = notice.ids.len(); "entries did not answer; asking another one to relay the cancels");
        }
        let call = Call {
            number: self.last_number,
            to,
            notice,
            is_retry,
            limit_ms: if is_relay { RELAYED_CALL_MS } else { RETRY_MS },
        };
        self.calls.insert(call.number, call.clone());
        call
    }
}

fn answers(open: &open::OpenCancel, answer: Answer) -> Vec<Action> {
    let waiters = open.waiters.iter();
    waiters
        .map(|waiter| Action::Answer(*waiter, answer))
        .collect()
}
