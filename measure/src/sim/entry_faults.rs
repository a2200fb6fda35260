//! Killed and suspended entries, and their effect on callers and other entries.

use rand::Rng as _;

use bulrushtiller::codes;
use bulrushtiller::jobs::answer;

use crate::sim::callers;
use crate::sim::events;
use crate::sim::world;

/// Time during which the balancer still sends calls to an entry that is down.
const BALANCER_DELAY_US: u64 = 1_000_000;

/// Time limit for a forwarded submission to be accepted: 300 ms on a kept-alive
/// connection and 1 s on a new one, as in the entry.
const FORWARD_TIMEOUT_US: u64 = 1_300_000;

/// State of an entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum State {
    Up,
    /// Its machine refuses connections.
    Killed {
        since_us: u64,
    },
    /// Connections are accepted, but nothing is read before `end_us`.
    Suspended {
        since_us: u64,
        end_us: u64,
    },
}

impl State {
    pub(super) fn is_up(self) -> bool {
        self == Self::Up
    }

    /// Returns when the entry went down; `None` while it is up.
    const fn down_since_us(self) -> Option<u64> {
        match self {
            Self::Up => None,
            Self::Killed { since_us } | Self::Suspended { since_us, .. } => Some(since_us),
        }
    }
}

impl world::World<'_> {
    /// Kills an entry for good.
    ///
    /// The other entries answer that its open submissions may have run. Callers
    /// connected to it hold no ticket to query with, whichever entry owns their jobs.
    pub(super) fn kill_entry(&mut self, entry: usize) {
        let since_us = self.now_us;
        self.entry_states[entry] = State::Killed { since_us };
        let owned = self
            .submitted
            .iter()
            .filter(|((owner, _), _)| *owner == entry);
        let mut lost_jobs: Vec<usize> = owned.map(|(_, job)| *job).collect();
        let is_connected = |job: &usize| {
            self.connected_to[*job] == Some(entry)
                && self.caller_states[*job] == callers::CallerState::Waiting
        };
        lost_jobs.extend((0..self.jobs.len()).filter(is_connected));
        lost_jobs.sort_unstable();
        lost_jobs.dedup();
        self.submitted.retain(|(owner, _), _| *owner != entry);
        for job in lost_jobs {
            self.receive_code(job, codes::Code::OwnerGone);
            self.caller_states[job] = callers::CallerState::Disconnected;
        }
    }

    pub(super) fn suspend_entry(&mut self, entry: usize, for_ms: u64) {
        let since_us = self.now_us;
        let end_us = since_us + for_ms * 1_000;
        self.entry_states[entry] = State::Suspended { since_us, end_us };
        self.schedule(end_us, events::Event::Resume(entry));
    }

    /// Returns when the entry that holds the caller's connection reads the answer.
    pub(super) fn answer_read_us(&self, job: usize) -> u64 {
        let state = self.connected_to[job].map(|entry| self.entry_states[entry]);
        match state {
            Some(State::Suspended { end_us, .. }) => end_us,
            _ => self.now_us,
        }
    }

    pub(super) fn resume(&mut self, entry: usize) {
        self.entry_states[entry] = State::Up;
    }

    /// Picks the entry that a call goes to: at random among those not known to be down.
    pub(super) fn pick_entry(&mut self) -> usize {
        let is_known_down = |state: &State| {
            let since_us = state.down_since_us();
            since_us.is_some_and(|since_us| self.now_us >= since_us + BALANCER_DELAY_US)
        };
        let entry_states = self.entry_states.iter().enumerate();
        let candidates = entry_states.filter(|(_, state)| !is_known_down(state));
        let candidates: Vec<usize> = candidates.map(|(entry, _)| entry).collect();
        candidates[self.rng.random_range(0..candidates.len())]
    }

    /// Handles a call to an entry that is down.
    ///
    /// A killed entry refuses the connection, and the caller calls again. A suspended
    /// entry reads the call when it resumes.
    pub(super) fn deliver_to_down_entry(&mut self, call: events::Submit) {
        match self.entry_states[call.entry] {
            State::Up => {}
            State::Killed { .. } => {
                let retry_us = self.now_us + 2 * self.site.to_caller_us;
                self.schedule(retry_us, events::Event::Arrive(call.job));
            }
            State::Suspended { end_us, .. } => self.schedule(end_us, events::Event::Submit(call)),
        }
    }

    /// Handles the arrival of a forwarded submission at the leading entry.
    pub(super) fn forwarded(&mut self, from: usize, call: events::Submit) {
        let one_way_us = self.site.latency_us(from, call.entry);
        match self.entry_states[call.entry] {
            State::Up => self.submit(call),
            State::Killed { .. } => {
                let refused_us = self.now_us + one_way_us;
                self.caller_latency_us[call.job] = self.site.to_caller_us;
                self.schedule(
                    refused_us,
                    events::Event::ForwardRefused {
                        job: call.job,
                        entry: from,
                    },
                );
            }
            State::Suspended { end_us, .. } if end_us < self.now_us + FORWARD_TIMEOUT_US => {
                self.schedule(end_us, events::Event::Submit(call));
            }
            State::Suspended { .. } => {
                let timeout_us = self.now_us + FORWARD_TIMEOUT_US;
                self.schedule(timeout_us, events::Event::ForwardTimedOut(call.job));
            }
        }
    }

    /// Keeps a submission at the entry that tried to forward it, under a ticket of its
    /// own, since the connection was refused.
    pub(super) fn forward_refused(&mut self, job: usize, entry: usize) {
        let ticket = self.entries[entry].ticket();
        self.submit(events::Submit {
            job,
            entry,
            ticket: Some(ticket),
        });
    }

    /// Answers a submission whose forwarding timed out, so that its outcome is unknown.
    pub(super) fn forward_timed_out(&mut self, job: usize) {
        self.receive_code(job, codes::Code::OwnerSilent);
    }

    fn receive_code(&mut self, job: usize, code: codes::Code) {
        let answer = answer::bare(None, code, true);
        self.receive(job, &answer);
    }

    /// Returns the message if the entry can read it now. A suspended entry reads it on
    /// resuming; a killed one never does.
    pub(super) fn read_message(
        &mut self,
        entry: usize,
        message: events::ToEntry,
    ) -> Option<events::ToEntry> {
        match self.entry_states[entry] {
            State::Up => return Some(message),
            State::Killed { .. } => {}
            State::Suspended { end_us, .. } => {
                self.schedule(end_us, events::Event::ToEntry { entry, message });
            }
        }
        None
    }
}
