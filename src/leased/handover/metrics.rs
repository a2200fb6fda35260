//! Counters of jobs that are handed over, for the metrics.

use crate::metrics;

/// Counters for the metrics.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    /// Jobs handed over to peers.
    pub sent: u64,
    /// Jobs that a peer declined or didn't receive, and that were dispatched here.
    pub declined: u64,
    /// Jobs that ended at a peer.
    pub ended: u64,
    /// Jobs without an answer of their peer.
    pub lost: u64,
    /// Jobs taken in from origins.
    pub taken: u64,
    /// Jobs of origins that were withdrawn before they ended.
    pub withdrawn: u64,
    /// Signals sent to peers.
    pub heartbeats: u64,
}

/// Values that change in both directions.
#[derive(Clone, Copy, Debug, Default)]
pub struct Levels {
    /// Share of jobs to hand over.
    pub share: f64,
    /// Smoothed lag, in milliseconds.
    pub lag_ms: u32,
    /// Jobs that are at peers.
    pub sent: usize,
    /// Jobs of origins that are open here.
    pub taken: usize,
}

impl Counts {
    /// Returns the metrics.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a share between 0 and 1"
    )]
    pub fn samples(&self, levels: Levels) -> Vec<metrics::Sample> {
        let counter = metrics::Sample::counter;
        let gauge = metrics::Sample::gauge;
        let declined = "Jobs that a peer declined, dispatched here";
        let withdrawn = "Jobs of other entries that were withdrawn";
        let share = "Share of jobs to hand over, in thousandths";
        let share_milli = (levels.share * 1_000.0) as u64;
        vec![
            counter("handovers_sent", "Jobs handed over to peers", self.sent),
            counter("handovers_declined", declined, self.declined),
            counter("handovers_ended", "Jobs that ended at a peer", self.ended),
            counter("handovers_lost", "Jobs lost at a peer", self.lost),
            counter("handovers_taken", "Jobs taken in from entries", self.taken),
            counter("handovers_withdrawn", withdrawn, self.withdrawn),
            counter(
                "handover_heartbeats",
                "Heartbeats sent to peers",
                self.heartbeats,
            ),
            gauge("handover_share_milli", share, share_milli),
            gauge("lag_ms", "Smoothed lag", u64::from(levels.lag_ms)),
            gauge("handovers_open", "Jobs at peers", levels.sent as u64),
            gauge(
                "handovers_taken_open",
                "Jobs of other entries here",
                levels.taken as u64,
            ),
        ]
    }
}
