//! What a runner remembers of the attempts to start tasks.
//!
//! Every start passes [`Ledger::admit`] once. An attempt that was admitted or
//! barred is remembered for as long as a repeat of its message could still be
//! taken in, see [`crate::epoch_window`].

use std::collections;

use crate::codes;
use crate::epoch_window;
use crate::ids;
use crate::wire;

/// Most attempts remembered; beyond it nothing is admitted.
pub const MAX_RECORDS: usize = 200_000;

/// How an attempt stands in the ledger.
#[derive(Clone, Debug, PartialEq)]
pub enum AttemptState {
    /// Never to be started.
    Barred(codes::Code),
    /// Accepted, and waiting for a slot.
    Parked,
    /// Started at this time.
    Running {
        /// Monotonic milliseconds.
        since_ms: u64,
    },
    /// Ended like this.
    Ended(wire::Outcome),
}

impl AttemptState {
    /// The same in the words of the wire.
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

    /// Whether it can change no more.
    pub const fn is_settled(&self) -> bool {
        matches!(self, Self::Barred(_) | Self::Ended(_))
    }
}

#[derive(Debug)]
struct Record {
    tag: u64,
    state: AttemptState,
}

/// What became of a dispatch at the door.
#[derive(Clone, Debug, PartialEq)]
pub enum Admission {
    /// New: it now stands as parked.
    New,
    /// The same attempt came before and stands like this.
    Known(AttemptState),
    /// Refused for good; it will not start under this attempt.
    Refused(codes::Code),
}

/// The attempts of one life of one runner.
#[derive(Debug)]
pub struct Ledger {
    epochs: epoch_window::EpochWindow,
    records: collections::HashMap<ids::Attempt, Record>,
}

impl Ledger {
    /// Starts with nothing remembered.
    pub fn new(now_ms: u64) -> Self {
        Self {
            epochs: epoch_window::EpochWindow::new(now_ms),
            records: collections::HashMap::new(),
        }
    }

    /// The epoch for entries to stamp on their dispatches.
    pub const fn epoch(&self) -> u64 {
        self.epochs.current()
    }

    /// How many attempts are remembered.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Takes in a dispatch, unless it came before, was barred or is too old to know.
    ///
    /// The epoch check is the guard against a dispatch that spent minutes on the
    /// way or in a frozen entry: its attempt could have been barred, and the bar
    /// forgotten, in the meantime.
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

    /// Says how an attempt stands.
    pub fn get(&self, attempt: ids::Attempt) -> Option<&AttemptState> {
        self.records.get(&attempt).map(|record| &record.state)
    }

    /// Promises that an attempt never heard of will never start.
    ///
    /// Without room to remember the promise none is given: the attempt then stays
    /// unknown, and the asker asks again.
    pub fn bar(&mut self, attempt: ids::Attempt) {
        if self.records.len() < MAX_RECORDS {
            self.set(attempt, AttemptState::Barred(codes::Code::Fenced));
        }
    }

    /// Writes how an attempt stands now.
    pub fn set(&mut self, attempt: ids::Attempt, state: AttemptState) {
        let tag = self.epochs.current();
        self.records.insert(attempt, Record { tag, state });
    }

    /// Begins another epoch when it is time, and forgets what may be forgotten.
    ///
    /// Two epochs are remembered, so `retain_ms` is the least time for which a
    /// settled attempt is kept, and twice that the most.
    pub fn advance(&mut self, now_ms: u64, retain_ms: u64) {
        if self.epochs.advance(now_ms, retain_ms) {
            let epochs = self.epochs;
            self.records
                .retain(|_, record| !record.state.is_settled() || epochs.contains(record.tag));
        }
    }
}
