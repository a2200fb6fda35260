//! Silences of callers' addresses, after which a request may have been sent long ago.
//!
//! A link that is cut holds up the requests of all callers behind it. As long as requests keep arriving
//! from an address, none that was sent from there can have been held up for long.

use std::collections;
use std::net;

use crate::leased::dispatch::runners;

/// Multiple of a silence for which requests may still arrive late after it: the interval between
/// retransmissions doubles.
const RETRANSMISSION_FACTOR: u64 = 2;

/// Maximum number of addresses that are remembered.
const MAX_ADDRESSES: usize = 4_096;

/// Time for which an address is remembered once the maximum is reached, in milliseconds.
const RETENTION_MS: u64 = 60_000;

/// What is known of one address.
#[derive(Clone, Copy, Debug)]
struct Source {
    last_arrival_ms: u64,
    /// Time until which requests that were sent before a silence may arrive.
    late_until_ms: u64,
}

/// Arrivals of requests, by the address of the caller.
#[derive(Clone, Debug, Default)]
pub struct Silences {
    sources: collections::HashMap<net::IpAddr, Source>,
}

impl Silences {
    /// Records that a request arrived at `now_ms`; returns whether it may have been held up until its
    /// caller could be back elsewhere.
    pub fn record(&mut self, now_ms: u64, address: net::IpAddr) -> bool {
        if self.sources.len() >= MAX_ADDRESSES && !self.sources.contains_key(&address) {
            self.forget(now_ms);
        }
        let known = self.sources.get(&address);
        let silence_ms = known.map_or(runners::RUN_EXPIRY_MS, |source| {
            now_ms.saturating_sub(source.last_arrival_ms)
        });
        let mut late_until_ms = known.map_or(0, |source| source.late_until_ms);
        if silence_ms >= runners::RUN_EXPIRY_MS {
            late_until_ms = late_until_ms.max(now_ms + RETRANSMISSION_FACTOR * silence_ms);
        }
        let source = Source {
            last_arrival_ms: now_ms,
            late_until_ms,
        };
        self.sources.insert(address, source);
        now_ms < late_until_ms
    }

    /// Forgets the addresses that were silent for long, or all if there are still too many.
    fn forget(&mut self, now_ms: u64) {
        self.sources
            .retain(|_, source| now_ms < source.last_arrival_ms + RETENTION_MS);
        if self.sources.len() >= MAX_ADDRESSES {
            self.sources.clear();
        }
    }
}
