//! Decides which jobs an entry that is short of processor time hands over to other entries.
//!
//! The *origin* is the entry that a caller sent its job to, the *peer* the entry that the origin
//! hands the job over to. Nothing here performs I/O or reads a clock;
//! [`crate::leased::entry`] sends and receives. `docs/design/handover.md` describes the whole.

pub mod contacts;
pub mod lag;
pub mod messages;
pub mod metrics;
pub mod sent;
pub mod taken;

use crate::ids;

/// Age of an origin's last liveness signal from which its jobs are withdrawn, in milliseconds:
/// signals come every 75 ms, so three may be lost.
///
/// With a watch of 150 ms and the latencies it stays below the 500 ms after which a runner stops
/// all runs of the peer.
pub const ORIGIN_TIMEOUT_MS: u64 = 300;

/// Largest age of the origin's liveness in a handover that a peer takes in, in milliseconds: an
/// origin that is short of processor time sends late, and an older job would soon be withdrawn.
pub const MAX_HANDOVER_AGE_MS: u64 = 200;

/// Silence of a peer after which its jobs count as lost at their origin, in milliseconds.
pub const PEER_TIMEOUT_MS: u64 = 400;

/// Interval of an origin's liveness signals to a peer that has jobs of it, in milliseconds.
pub const HEARTBEAT_INTERVAL_MS: u64 = 75;

/// Lag from which nearly all jobs are handed over unless the settings say otherwise, in
/// milliseconds.
pub const DEFAULT_FULL_LAG_MS: u64 = 8;

/// Whether and when an entry hands jobs over.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Whether the entry hands jobs over.
    pub is_enabled: bool,
    /// Lag from which nearly all jobs are handed over, in milliseconds.
    pub full_lag_ms: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            is_enabled: false,
            full_lag_ms: DEFAULT_FULL_LAG_MS,
        }
    }
}

/// State of an entry as origin and as peer.
#[derive(Debug)]
pub struct State {
    /// Whether and when the entry hands jobs over.
    pub settings: Settings,
    /// Smoothed lag of this entry.
    pub lag: lag::Lag,
    /// Selects the jobs to hand over.
    pub selection: lag::Selection,
    /// What the entry knows of its peers.
    pub contacts: contacts::Contacts,
    /// Jobs that are at peers.
    pub sent: sent::SentJobs,
    /// Jobs of origins that are here.
    pub taken: taken::TakenJobs,
    /// Counters for the metrics.
    pub counts: metrics::Counts,
    /// Time until which the silence of others proves nothing, as this process was suspended.
    pub settles_at_ms: u64,
}

impl State {
    /// Creates the state of an entry that has no jobs at peers or of origins.
    pub fn new(me: ids::Incarnation, settings: Settings) -> Self {
        Self {
            settings,
            lag: lag::Lag::default(),
            selection: lag::Selection::default(),
            contacts: contacts::Contacts::new(me),
            sent: sent::SentJobs::default(),
            taken: taken::TakenJobs::new(me),
            counts: metrics::Counts::default(),
            settles_at_ms: 0,
        }
    }

    /// Returns the share of jobs to hand over.
    pub fn share(&self) -> f64 {
        if self.settings.is_enabled {
            self.lag.share(self.settings.full_lag_ms)
        } else {
            0.0
        }
    }

    /// Returns whether the next job should be handed over.
    pub fn is_next_selected(&mut self) -> bool {
        let share = self.share();
        share > 0.0 && !self.sent.is_full() && self.selection.is_next_selected(share)
    }

    /// Returns the values for the metrics that change in both directions.
    pub fn levels(&self) -> metrics::Levels {
        metrics::Levels {
            share: self.share(),
            lag_ms: self.lag.ms(),
            sent: self.sent.len(),
            taken: self.taken.len(),
        }
    }
}
