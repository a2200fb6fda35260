//! Ledger of the attempts that a runner has started or barred.
//!
//! Every start passes [`Ledger::admit`] once, so that no attempt starts twice. An admitted or
//! barred attempt is remembered for as long as a repeat of its message could still be
//! accepted, see [`crate::epoch_window`].

use std::collections;

use crate::codes;
use crate::epoch_window;
use crate::ids;
use crate::wire;

/// Maximum number of remembered attempts; a full ledger admits nothing.
pub const MAX_RECORDS: usize = 200_000;

/// State of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub enum AttemptState {
    /// Must never start.
    Barred(codes::Code),
    /// Accepted and waiting for a slot.
    Parked,
    /// Started and not yet ended.
    Running {
        /// Start time in monotonic milliseconds.
        since_ms: u64,
    },
    /// Ended with this outcome.
    Ended(wire::Outcome),
}

impl AttemptState {
    /// Returns the state as an outcome for the wire.
    pub fn outcome(&self, now_ms: u64) -> wire::Outcome {
        match self {
            Self::Barred(code) => wire::Outcome::NotStarted { code: *code },
            Self::Parked => wire::Outcome::Parked,
            Self::Running { since_ms } => wire::Outcome::Running {
                run_ms: now_ms.saturating_sub(*since_ms),
            },
            Self::Ended(outcome) => outcome.clone(),
        }
    }

    /// Whether the state is final.
    pub const fn is_settled(&self) -> bool {
        matches!(self, Self::Barred(_) | Self::Ended(_))
    }
}

#[derive(Debug)]
struct Record {
    /// Epoch in which the state was recorded.
    tag: u64,
    state: AttemptState,
}

/// Result of [`Ledger::admit`].
#[derive(Clone, Debug, PartialEq)]
pub enum Admission {
    /// The attempt is new and now parked.
    New,
    /// The attempt is known and has this state.
    Known(AttemptState),
    /// The attempt is refused and will never start.
    Refused(codes::Code),
}

/// Attempts known to one incarnation of a runner.
#[derive(Debug)]
pub struct Ledger {
    epochs: epoch_window::EpochWindow,
    records: collections::HashMap<ids::Attempt, Record>,
}

impl Ledger {
    /// Creates an empty ledger.
    pub fn new(now_ms: u64) -> Self {
        Self {
            epochs: epoch_window::EpochWindow::new(now_ms),
            records: collections::HashMap::new(),
        }
    }

    /// Returns the epoch that entries have to put into their dispatches.
    pub const fn epoch(&self) -> u64 {
        self.epochs.current()
    }

    /// Number of remembered attempts.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no attempt is remembered.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Admits an attempt unless it is known, barred or from an epoch outside the window.
    ///
    /// The epoch check rejects a dispatch that was delayed for minutes in transit or in a
    /// suspended entry: the attempt may have been barred, and the bar dropped, in the
    /// meantime.
    pub fn admit(&mut self, attempt: ids::Attempt, epoch: u64) -> Admission {
        if let Some(record) = self.records.get(&attempt) {
            return Admission::Known(record.state.clone());
        }
        if !self.epochs.contains(epoch) {
            return Admission::Refused(codes::Code::StaleDispatch);
        }
        if self.records.len() >= MAX_RECORDS {
            return Admission::Refused(codes::Code::RunnerFull);
        }
        self.set(attempt, AttemptState::Parked);
        Admission::New
    }

    /// Returns the state of an attempt.
    pub fn get(&self, attempt: ids::Attempt) -> Option<&AttemptState> {
        self.records.get(&attempt).map(|record| &record.state)
    }

    /// Bars an unknown attempt from ever starting.
    ///
    /// Does nothing if the ledger is full: the attempt stays unknown, and the requester
    /// repeats its request.
    pub fn bar(&mut self, attempt: ids::Attempt) {
        if self.records.len() < MAX_RECORDS {
            self.set(attempt, AttemptState::Barred(codes::Code::Fenced));
        }
    }

    /// Records the state of an attempt.
    pub fn set(&mut self, attempt: ids::Attempt, state: AttemptState) {
        let tag = self.epochs.current();
        self.records.insert(attempt, Record { tag, state });
    }

    /// Starts a new epoch once the current one has lasted `retain_ms`, and then drops the
    /// settled attempts that are no longer needed.
    ///
    /// Two epochs are kept, so a settled attempt is remembered for at least `retain_ms` and at
    /// most twice that.
    pub fn advance(&mut self, now_ms: u64, retain_ms: u64) {
        if self.epochs.advance(now_ms, retain_ms) {
            let epochs = self.epochs;
            self.records
                .retain(|_, record| !record.state.is_settled() || epochs.contains(record.tag));
        }
    }
}
