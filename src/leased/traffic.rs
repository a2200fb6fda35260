//! Message counters of a process, for its metrics.

use std::collections;
use std::sync;
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

/// Kind of a call to the store.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum StoreCall {
    /// Appends a record.
    Append,
    /// Reads the records from an offset on.
    Read,
    /// Reads the newest record of each key.
    Newest,
}

impl StoreCall {
    const fn label(self) -> &'static str {
        match self {
            Self::Append => "append",
            Self::Read => "read",
            Self::Newest => "newest",
        }
    }
}

/// Outcome of a call to the store.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum StoreOutcome {
    /// The whole response was received.
    Answered,
    /// The store refused the call.
    Refused,
    /// The requested records have expired.
    Expired,
    /// No complete response was received.
    Lost,
}

impl StoreOutcome {
    const fn label(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Refused => "refused",
            Self::Expired => "expired",
            Self::Lost => "lost",
        }
    }
}

type StoreKey = (&'static str, StoreCall, StoreOutcome);

/// Counters of the calls to the store, by topic, kind of call and outcome.
#[derive(Debug, Default)]
pub struct StoreCalls {
    counts: sync::Mutex<collections::BTreeMap<StoreKey, u64>>,
    bytes: atomic::AtomicU64,
}

impl StoreCalls {
    /// Counts a call and the bytes of its response.
    pub fn add(&self, topic: &'static str, call: StoreCall, outcome: StoreOutcome, bytes: usize) {
        self.bytes
            .fetch_add(bytes as u64, atomic::Ordering::Relaxed);
        let mut counts = self
            .counts
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        *counts.entry((topic, call, outcome)).or_default() += 1;
    }

    fn read(&self) -> collections::BTreeMap<StoreKey, u64> {
        let counts = self
            .counts
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        counts.clone()
    }

    /// Logs the counters, one line for each topic, kind of call and outcome.
    pub fn log(&self) {
        for ((topic, call, outcome), count) in self.read() {
            log::info!(event = "store.calls", topic = topic, call = call.label(), outcome = outcome.label(), count = count; "calls to the store since the process started");
        }
    }

    fn samples(&self) -> Vec<metrics::Sample> {
        let calls = self.read().into_iter();
        let calls = calls.map(|((topic, call, outcome), count)| {
            let labels = vec![
                ("topic", topic),
                ("call", call.label()),
                ("outcome", outcome.label()),
            ];
            metrics::Sample::counter("store_calls", "Calls to the store", count).with_labels(labels)
        });
        let bytes = self.bytes.load(atomic::Ordering::Relaxed);
        let bytes = metrics::Sample::counter("store_bytes", "Bytes of the store's answers", bytes);
        calls.chain([bytes]).collect()
    }
}

/// Message counters of a process.
#[derive(Debug, Default)]
pub struct Traffic {
    /// Watches sent by an entry.
    pub watches: MessageCounters,
    /// Reports sent by a runner.
    pub reports: MessageCounters,
    /// Calls to the store.
    pub store: StoreCalls,
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
        samples.extend(self.store.samples());
        samples
    }

    /// Returns the metrics of a runner.
    pub fn runner_samples(&self) -> Vec<metrics::Sample> {
        let [reports, report_bytes, _] = self.reports.read();
        let mut samples = vec![
            metrics::Sample::counter("reports", "Reports sent to entries", reports),
            metrics::Sample::counter("report_bytes", "Bytes of those reports", report_bytes),
        ];
        samples.extend(self.store.samples());
        samples
    }
}
