//! Entries that are killed or stand still, and what callers and other entries then
//! meet with.

use rand::Rng as _;

use bulrushtiller::codes;
use bulrushtiller::jobs::answer;

use crate::sim::callers;
use crate::sim::events;
use crate::sim::world;

/// For how long the balancer goes on sending calls to an entry that is down.
const BALANCER_US: u64 = 1_000_000;

/// Longest wait until a passed-on submission is taken in: 300 ms on a kept connection
/// and 1 s on a fresh one, as in the entry.
const TAKEN_IN_US: u64 = 1_300_000;

/// How an entry is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Life {
    Up,
    /// Its machine refuses connections.
    Killed {
        since_us: u64,
    },
    /// Connections are made, but nothing is read before the end.
    Frozen {
        since_us: u64,
        until_us: u64,
    },
}

impl Life {
    pub(super) fn is_up(self) -> bool {
        self == Self::Up
    }

    /// When it went down, if so.
    const fn down_since_us(self) -> Option<u64> {
        match self {
            Self::Up => None,
            Self::Killed { since_us } | Self::Frozen { since_us, .. } => Some(since_us),
        }
    }
}

impl world::World<'_> {
    /// What it had open may have run, and is answered so by the others. Callers whose
    /// connections it held have no ticket to ask with, wherever their jobs are.
    pub(super) fn kill_entry(&mut self, entry: usize) {
        let since_us = self.now_us;
        self.lives[entry] = Life::Killed { since_us };
        let owned = self.submitted.iter().filter(|((of, _), _)| *of == entry);
        let mut lost: Vec<usize> = owned.map(|(_, job)| *job).collect();
        let is_held = |job: &usize| {
            self.called[*job] == Some(entry) && self.heard[*job] == callers::Heard::Nothing
        };
        lost.extend((0..self.jobs.len()).filter(is_held));
        lost.sort_unstable();
        lost.dedup();
        self.submitted.retain(|(of, _), _| *of != entry);
        for job in lost {
            self.receive_code(job, codes::Code::OwnerGone);
            self.heard[job] = callers::Heard::Break;
        }
    }

    pub(super) fn freeze_entry(&mut self, entry: usize, for_ms: u64) {
        let since_us = self.now_us;
        let until_us = since_us + for_ms * 1_000;
        self.lives[entry] = Life::Frozen { since_us, until_us };
        self.at(until_us, events::Event::Thaw(entry));
    }

    /// When the entry that holds the caller's connection reads the answer.
    pub(super) fn heard_us(&self, job: usize) -> u64 {
        let life = self.called[job].map(|entry| self.lives[entry]);
        match life {
            Some(Life::Frozen { until_us, .. }) => until_us,
            _ => self.now_us,
        }
    }

    pub(super) fn thaw(&mut self, entry: usize) {
        self.lives[entry] = Life::Up;
    }

    /// The entry to which the balancer sends a call: at random, and not one that is
    /// known to be down.
    pub(super) fn balance(&mut self) -> usize {
        let is_known_down = |life: &Life| {
            let since_us = life.down_since_us();
            since_us.is_some_and(|since_us| self.now_us >= since_us + BALANCER_US)
        };
        let lives = self.lives.iter().enumerate();
        let open = lives.filter(|(_, life)| !is_known_down(life));
        let open: Vec<usize> = open.map(|(entry, _)| entry).collect();
        open[self.rng.random_range(0..open.len())]
    }

    /// A call comes to an entry that is down.
    ///
    /// A killed one refuses the connection, and the caller calls again. What comes to a
    /// frozen one is read when it goes on.
    pub(super) fn not_taken(&mut self, call: events::Submit) {
        match self.lives[call.entry] {
            Life::Up => {}
            Life::Killed { .. } => {
                let again_us = self.now_us + 2 * self.site.to_caller_us;
                self.at(again_us, events::Event::Arrive(call.job));
            }
            Life::Frozen { until_us, .. } => self.at(until_us, events::Event::Submit(call)),
        }
    }

    /// A submission passed on comes to the leading entry.
    pub(super) fn passed_on(&mut self, from: usize, call: events::Submit) {
        let way_us = self.site.latency_us(from, call.entry);
        match self.lives[call.entry] {
            Life::Up => self.submit(call),
            Life::Killed { .. } => {
                let back_us = self.now_us + way_us;
                self.ways_us[call.job] = self.site.to_caller_us;
                self.at(
                    back_us,
                    events::Event::Keep {
                        job: call.job,
                        entry: from,
                    },
                );
            }
            Life::Frozen { until_us, .. } if until_us < self.now_us + TAKEN_IN_US => {
                self.at(until_us, events::Event::Submit(call));
            }
            Life::Frozen { .. } => {
                let given_up_us = self.now_us + TAKEN_IN_US;
                self.at(given_up_us, events::Event::Silent(call.job));
            }
        }
    }

    /// The connection was refused: the submission stays with the entry that had it,
    /// under a ticket of its own.
    pub(super) fn keep(&mut self, job: usize, entry: usize) {
        let ticket = self.entries[entry].ticket();
        self.submit(events::Submit {
            job,
            entry,
            ticket: Some(ticket),
        });
    }

    /// Nothing is known of what was passed on.
    pub(super) fn silent(&mut self, job: usize) {
        self.receive_code(job, codes::Code::OwnerSilent);
    }

    fn receive_code(&mut self, job: usize, code: codes::Code) {
        let answer = answer::bare(None, code, true);
        self.receive(job, &answer);
    }

    /// A message to an entry; none: it is not read now.
    pub(super) fn read(
        &mut self,
        entry: usize,
        message: events::ToEntry,
    ) -> Option<events::ToEntry> {
        match self.lives[entry] {
            Life::Up => return Some(message),
            Life::Killed { .. } => {}
            Life::Frozen { until_us, .. } => {
                self.at(until_us, events::Event::ToEntry { entry, message });
            }
        }
        None
    }
}
