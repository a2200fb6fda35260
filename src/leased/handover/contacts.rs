//! Choice of the peer that an entry hands jobs over to.
//!
//! An entry stays with one peer until that one declines, lags or is silent, and then takes the next
//! one in an order of its own, its own availability zone first. So entries spread over the peers,
//! and a peer's lag is known from its answers without any message for it.

use std::collections;
use std::hash;
use std::hash::Hash as _;
use std::hash::Hasher as _;

use smol_str::SmolStr;

use crate::ids;
use crate::leased::clock_estimate;
use crate::leased::entry_list;
use crate::leased::handover;
use crate::leased::handover::messages;
use crate::leased::ports;

/// Multiple of the own processor time that a peer needs to have.
///
/// Where all instances are alike nothing is handed over.
const MIN_CPU_RATIO: u32 = 2;

/// Reported lag from which a peer gets no more jobs, in milliseconds.
const MAX_PEER_LAG_MS: u32 = 20;

/// Age up to which the last answer of a peer counts, in milliseconds.
const REPORT_VALID_MS: u64 = 1_000;

/// First pause after a peer declined or was silent, in milliseconds; it doubles each time.
const MIN_BACKOFF_MS: u64 = 200;

/// Upper limit of the pause, in milliseconds.
const MAX_BACKOFF_MS: u64 = 5_000;

/// Interval after which a signal is sent although handovers were sent meanwhile, in milliseconds.
///
/// Handovers are not answered at once, so that they don't show whether the peer is there.
const MAX_HEARTBEAT_INTERVAL_MS: u64 = 2 * handover::HEARTBEAT_INTERVAL_MS;

/// What an origin knows of one peer.
#[derive(Clone, Copy, Debug, Default)]
struct Contact {
    incarnation: Option<ids::Incarnation>,
    /// Estimate of the peer's clock.
    clock: Option<clock_estimate::ClockEstimate>,
    replied_ms: Option<u64>,
    lag_ms: u32,
    backoff_ms: u64,
    closed_until_ms: u64,
    /// Time of the first signal since the last answer.
    unanswered_since_ms: Option<u64>,
    /// Time of the last signal.
    last_heartbeat_ms: u64,
    /// Time of the last signal or handover.
    last_message_ms: u64,
}

impl Contact {
    /// Returns a time that the peer's clock has reached.
    fn clock_ms(&self, now_ms: u64) -> Option<u64> {
        Some(self.clock?.at_ms(now_ms))
    }

    fn report_age_ms(&self, now_ms: u64) -> Option<u64> {
        Some(now_ms.saturating_sub(self.replied_ms?))
    }

    fn is_known(&self, now_ms: u64) -> bool {
        self.report_age_ms(now_ms)
            .is_some_and(|age_ms| age_ms <= REPORT_VALID_MS)
    }

    /// Returns whether the peer may get jobs as far as is known.
    fn is_open(&self, now_ms: u64) -> bool {
        let is_lagging = self.is_known(now_ms) && self.lag_ms >= MAX_PEER_LAG_MS;
        now_ms >= self.closed_until_ms && !is_lagging
    }

    const fn back_off(&mut self, now_ms: u64) {
        let doubled_ms = self.backoff_ms * 2;
        self.backoff_ms = if doubled_ms < MIN_BACKOFF_MS {
            MIN_BACKOFF_MS
        } else if doubled_ms > MAX_BACKOFF_MS {
            MAX_BACKOFF_MS
        } else {
            doubled_ms
        };
        self.closed_until_ms = now_ms + self.backoff_ms;
    }

    const fn heartbeat_sent(&mut self, now_ms: u64) {
        self.last_heartbeat_ms = now_ms;
        self.last_message_ms = now_ms;
        if self.unanswered_since_ms.is_none() {
            self.unanswered_since_ms = Some(now_ms);
        }
    }
}

/// Peer that a job is handed over to, and the age of what is known of it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// Address of the peer.
    pub address: SmolStr,
    /// Expected incarnation of the peer.
    pub incarnation: ids::Incarnation,
    /// Time on the peer's clock at which this entry is alive.
    pub alive_at_ms: u64,
    /// Lag that the peer reported last, in milliseconds.
    pub lag_ms: u32,
    /// Age of that report, in milliseconds.
    pub report_age_ms: u64,
}

/// What to do with a job that should be handed over.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Choice {
    /// Hands it over.
    Send(Target),
    /// Keeps it, and makes contact with the peer at this address for later ones.
    Probe(SmolStr),
    /// Keeps it.
    Keep,
}

/// What an origin knows of its peers.
#[derive(Clone, Debug)]
pub struct Contacts {
    me: ids::Incarnation,
    by_address: collections::HashMap<SmolStr, Contact>,
    current: Option<SmolStr>,
}

impl Contacts {
    /// Creates the contacts of an entry that has contacted no peer.
    pub fn new(me: ids::Incarnation) -> Self {
        Self {
            me,
            by_address: collections::HashMap::new(),
            current: None,
        }
    }

    /// Chooses what to do with a job that should be handed over.
    pub fn choose(&mut self, now_ms: u64, entries: &entry_list::EntryList) -> Choice {
        if entries.me().cpu_milli == 0 {
            return Choice::Keep;
        }
        let Some(address) = self.choose_peer(now_ms, entries) else {
            return Choice::Keep;
        };
        self.current = Some(address.clone());
        let contact = self.by_address.entry(address.clone()).or_default();
        let is_known = contact.is_known(now_ms);
        match (
            contact.incarnation,
            contact.clock_ms(now_ms),
            contact.report_age_ms(now_ms),
        ) {
            (Some(incarnation), Some(alive_at_ms), Some(report_age_ms)) if is_known => {
                contact.last_message_ms = now_ms;
                Choice::Send(Target {
                    address,
                    incarnation,
                    alive_at_ms,
                    lag_ms: contact.lag_ms,
                    report_age_ms,
                })
            }
            _ if contact.unanswered_since_ms.is_some() => Choice::Keep,
            _ => Choice::Probe(address),
        }
    }

    /// Returns the current peer, or the next one in this entry's order if that may get no jobs.
    fn choose_peer(&self, now_ms: u64, entries: &entry_list::EntryList) -> Option<SmolStr> {
        let is_open = |address: &SmolStr| {
            let contact = self.by_address.get(address);
            contact.is_none_or(|contact| contact.is_open(now_ms))
        };
        let me = entries.me();
        let is_larger =
            |peer: &ports::Peer| peer.cpu_milli >= me.cpu_milli.saturating_mul(MIN_CPU_RATIO);
        if let Some(current) = &self.current
            && is_open(current)
            && entries.get(current).is_some_and(is_larger)
        {
            return Some(current.clone());
        }
        let larger = entries.others().filter(|peer| is_larger(peer));
        let mut ranked: Vec<_> = larger
            .map(|peer| {
                let rank = (peer.zone != me.zone, preference(self.me, &peer.address));
                (rank, &peer.address)
            })
            .collect();
        ranked.sort_unstable();
        let addresses: Vec<_> = ranked.into_iter().map(|(_, address)| address).collect();
        let current = self.current.as_ref();
        let next = addresses
            .iter()
            .position(|address| Some(*address) == current)
            .map_or(0, |at| at + 1);
        let in_turn = addresses[next..].iter().chain(&addresses[..next]);
        in_turn.copied().find(|address| is_open(address)).cloned()
    }

    /// Processes an answer of a peer to a call that was sent at `sent_at_ms`, or at 0 if that is not
    /// known; returns whether the incarnation of the peer has changed.
    pub fn answered(
        &mut self,
        now_ms: u64,
        sent_at_ms: u64,
        address: &SmolStr,
        state: &messages::PeerState,
    ) -> bool {
        let contact = self.by_address.entry(address.clone()).or_default();
        let is_same = contact.incarnation == Some(state.peer);
        let has_changed = !is_same && contact.incarnation.is_some();
        contact.incarnation = Some(state.peer);
        let reading = clock_estimate::Reading {
            clock_ms: state.clock_ms,
            sent_at_ms,
            received_at_ms: now_ms,
        };
        match &mut contact.clock {
            Some(clock) if is_same => clock.record(&reading),
            clock => *clock = Some(clock_estimate::ClockEstimate::new(&reading)),
        }
        contact.replied_ms = Some(now_ms);
        contact.unanswered_since_ms = None;
        contact.lag_ms = state.lag_ms;
        has_changed
    }

    /// Records that a peer ended a job, so that it gets jobs without a pause.
    pub fn job_ended(&mut self, address: &str) {
        if let Some(contact) = self.by_address.get_mut(address) {
            contact.backoff_ms = 0;
        }
    }

    /// Records that a call to a peer had no answer: it gets no jobs for a while, and then only
    /// after it has answered a signal.
    pub fn call_lost(&mut self, now_ms: u64, address: &SmolStr) {
        self.back_off(now_ms, address);
        if let Some(contact) = self.by_address.get_mut(address) {
            contact.replied_ms = None;
        }
    }

    /// Records that a peer declined a job: it gets no jobs for a while.
    pub fn back_off(&mut self, now_ms: u64, address: &SmolStr) {
        let contact = self.by_address.entry(address.clone()).or_default();
        contact.unanswered_since_ms = None;
        contact.back_off(now_ms);
    }

    /// Builds the liveness signal for a peer and records that it is sent.
    pub fn heartbeat(
        &mut self,
        now_ms: u64,
        address: &SmolStr,
        handed: u64,
        wanted: Vec<SmolStr>,
    ) -> messages::OriginHeartbeat {
        let contact = self.by_address.entry(address.clone()).or_default();
        contact.heartbeat_sent(now_ms);
        messages::OriginHeartbeat {
            version: crate::wire::VERSION,
            origin: self.me,
            peer: contact.incarnation,
            alive_at_ms: contact.clock_ms(now_ms),
            handed,
            wanted,
        }
    }

    /// Returns whether a peer that has jobs of this entry is due for a liveness signal.
    pub fn is_heartbeat_due(&self, now_ms: u64, address: &str) -> bool {
        let Some(contact) = self.by_address.get(address) else {
            return true;
        };
        now_ms >= contact.last_message_ms + handover::HEARTBEAT_INTERVAL_MS
            || now_ms >= contact.last_heartbeat_ms + MAX_HEARTBEAT_INTERVAL_MS
    }

    /// Returns how long signals to a peer have been without an answer, in milliseconds.
    pub fn silence_ms(&self, now_ms: u64, address: &str) -> u64 {
        let contact = self.by_address.get(address);
        let since_ms = contact.and_then(|contact| contact.unanswered_since_ms);
        now_ms.saturating_sub(since_ms.unwrap_or(now_ms))
    }

    /// Returns the lag that a peer reported last and the age of that report, in milliseconds.
    pub fn last_report(&self, now_ms: u64, address: &str) -> Option<(u32, u64)> {
        let contact = self.by_address.get(address)?;
        Some((contact.lag_ms, contact.report_age_ms(now_ms)?))
    }
}

/// Returns the hash of a peer that determines its position in an entry's own order.
fn preference(entry: ids::Incarnation, address: &str) -> u64 {
    let mut hasher = hash::DefaultHasher::new();
    (entry.0, address).hash(&mut hasher);
    hasher.finish()
}
