//! Message counters of a process, for its metrics.

use std::sync::atomic;

use crate::metrics;

/// Counters for messages of one kind.
#[derive(Debug, Default)]
pub struct MessageCounters {
    messages: atomic::AtomicU64,
    bytes: atomic::AtomicU64,
    lost: atomic::AtomicU64,
}

impl MessageCounters {
    /// Counts a message that was sent, or received completely.
    pub fn add(&self, bytes: usize) {
        self.messages.fetch_add(1, atomic::Ordering::Relaxed);
        self.bytes
            .fetch_add(bytes as u64, atomic::Ordering::Relaxed);
    }

    /// Counts a message that was not answered in time, or received incompletely.
    pub fn add_lost(&self) {
        self.lost.fetch_add(1, atomic::Ordering::Relaxed);
    }

    fn read(&self) -> [u64; 3] {
        [&self.messages, &self.bytes, &self.lost]
            .map(|counter| counter.load(atomic::Ordering::Relaxed))
    }
}

/// Message counters of a process.
#[derive(Debug, Default)]
pub struct Traffic {
    /// Watches sent by an entry.
    pub watches: MessageCounters,
    /// Reports sent by a runner.
    pub reports: MessageCounters,
    /// Answers of the store.
    pub store: MessageCounters,
}

impl Traffic {
    /// Returns the metrics of an entry.
    pub fn entry_samples(&self) -> Vec<metrics::Sample> {
        let [watches, watch_bytes, watches_lost] = self.watches.read();
        let mut samples = vec![
            metrics::Sample::counter("watches", "Watches sent to runners", watches),
            metrics::Sample::counter("watch_bytes", "Bytes of those watches", watch_bytes),
            metrics::Sample::counter("watches_lost", "Watches without an answer", watches_lost),
        ];
        samples.extend(self.store_samples());
        samples
    }

    /// Returns the metrics of a runner.
    pub fn runner_samples(&self) -> Vec<metrics::Sample> {
        let [reports, report_bytes, _] = self.reports.read();
        let mut samples = vec![
            metrics::Sample::counter("reports", "Reports sent to entries", reports),
            metrics::Sample::counter("report_bytes", "Bytes of those reports", report_bytes),
        ];
        samples.extend(self.store_samples());
        samples
    }

    fn store_samples(&self) -> [metrics::Sample; 3] {
        let [answers, bytes, lost] = self.store.read();
        [
            metrics::Sample::counter("store_answers", "Whole answers of the store", answers),
            metrics::Sample::counter("store_bytes", "Bytes of those answers", bytes),
            metrics::Sample::counter("store_lost", "Calls to the store that failed", lost),
        ]
    }
}
