//! What happens in the made-up clock, and in which order.

use std::cmp;
use std::sync;

use bulrushtiller::entry::attempts;
use bulrushtiller::ids;
use bulrushtiller::settings;
use bulrushtiller::wire;

use crate::sim;
use crate::sim::workers;

#[derive(Debug)]
pub(super) enum Event {
    Arrive(usize),
    Submit(Submit),
    PassedOn {
        from: usize,
        call: Submit,
    },
    Keep {
        job: usize,
        entry: usize,
    },
    Silent(usize),
    Thaw(usize),
    Cancel(usize),
    Tick,
    Heartbeats,
    Fault(sim::Fault),
    ApplySettings {
        target: Target,
        settings: sync::Arc<settings::Settings>,
        revision: u64,
    },
    ToRunner {
        runner: usize,
        entry: usize,
        message: ToRunner,
    },
    ToEntry {
        entry: usize,
        message: ToEntry,
    },
    TaskEnd {
        runner: usize,
        end: workers::End,
    },
    /// A worker stopped a task.
    Stopped {
        runner: usize,
        attempt: ids::Attempt,
    },
}

/// A call by which a job comes to an entry.
#[derive(Debug)]
pub(super) struct Submit {
    pub(super) job: usize,
    pub(super) entry: usize,
    /// Minted by that entry, where it was passed on.
    pub(super) ticket: Option<ids::SubmissionId>,
}

#[derive(Clone, Copy, Debug)]
pub(super) enum Target {
    Entry(usize),
    Runner(usize),
}

#[derive(Debug)]
pub(super) enum ToRunner {
    Dispatch(wire::Dispatch),
    Fence(wire::Fence),
}

#[derive(Debug)]
pub(super) enum ToEntry {
    Reply(wire::DispatchReply),
    Failed(ids::Attempt, attempts::DispatchError),
    Fenced(wire::Fence, wire::FenceReply),
    Heartbeat(wire::Heartbeat),
    HeartbeatReply(wire::HeartbeatReply),
}

pub(super) struct Timed {
    pub(super) at_us: u64,
    pub(super) number: u64,
    pub(super) event: Event,
}

impl PartialEq for Timed {
    fn eq(&self, other: &Self) -> bool {
        (self.at_us, self.number) == (other.at_us, other.number)
    }
}

impl Eq for Timed {}

impl PartialOrd for Timed {
    fn partial_cmp(&self, other: &Self) -> Option<cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Timed {
    /// The earliest is the greatest, for the heap.
    fn cmp(&self, other: &Self) -> cmp::Ordering {
        (other.at_us, other.number).cmp(&(self.at_us, self.number))
    }
}
