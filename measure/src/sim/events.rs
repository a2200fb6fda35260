//! Events of the simulation and their order.

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
    Forwarded {
        from: usize,
        call: Submit,
    },
    ForwardRefused {
        job: usize,
        entry: usize,
    },
    ForwardTimedOut(usize),
    Resume(usize),
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

/// Call that submits a job to an entry.
#[derive(Debug)]
pub(super) struct Submit {
    pub(super) job: usize,
    pub(super) entry: usize,
    /// Ticket issued by that entry, if the submission was forwarded to it.
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

pub(super) struct ScheduledEvent {
    pub(super) at_us: u64,
    pub(super) sequence: u64,
    pub(super) event: Event,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        (self.at_us, self.sequence) == (other.at_us, other.sequence)
    }
}

impl Eq for ScheduledEvent {}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledEvent {
    /// Orders the earliest event as the greatest, for the max-heap.
    fn cmp(&self, other: &Self) -> cmp::Ordering {
        (other.at_us, other.sequence).cmp(&(self.at_us, self.sequence))
    }
}
