//! Bounded buffer of one process's latest events.

use std::collections;

use serde::Deserialize;
use serde::Serialize;

use super::event;

/// Default number of events kept: about half an hour at 42,000 changes a day.
pub const DEFAULT_CAPACITY: usize = 1024;

/// Maximum number of events on one page.
pub const MAX_PAGE_EVENTS: usize = 256;

/// An event with its sequence number on this process.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Numbered {
    /// Sequence number within this incarnation of the process, from 0.
    pub number: u64,
    /// The event.
    #[serde(flatten)]
    pub event: event::Event,
}

/// Response to `GET /audit?from=N`.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Page {
    /// Number of the oldest event still kept.
    pub first: u64,
    /// Value of `from` for the next request.
    pub next: u64,
    /// The events, oldest first.
    pub events: Vec<Numbered>,
}

/// A bounded audit trail that discards its oldest events.
#[derive(Clone, Debug)]
pub struct Audit {
    events: collections::VecDeque<event::Event>,
    capacity: usize,
    /// Number of the oldest event kept.
    first: u64,
}

impl Default for Audit {
    fn default() -> Self {
        Self::new(DEFAULT_CAPACITY)
    }
}

impl Audit {
    /// Creates an empty trail that keeps at most `capacity` events, and at least one.
    pub fn new(capacity: usize) -> Self {
        Self {
            events: collections::VecDeque::new(),
            capacity: capacity.max(1),
            first: 0,
        }
    }

    /// Appends an event and returns its number.
    pub fn push(&mut self, event: event::Event) -> u64 {
        if self.events.len() == self.capacity {
            self.events.pop_front();
            self.first += 1;
        }
        self.events.push_back(event);
        self.next() - 1
    }

    /// Returns the number of the next event.
    pub fn next(&self) -> u64 {
        self.first + self.events.len() as u64
    }

    /// Returns up to [`MAX_PAGE_EVENTS`] events from `number` on, or from the oldest event kept.
    ///
    /// A number beyond the end was issued by an earlier incarnation of the process, so the
    /// page starts at the oldest event. Otherwise a follower would receive nothing until
    /// this incarnation reached that number.
    pub fn since(&self, number: u64) -> Page {
        let from = if number > self.next() {
            self.first
        } else {
            number.max(self.first)
        };
        let skipped = usize::try_from(from - self.first).unwrap_or(usize::MAX);
        let events = self.events.iter().skip(skipped).take(MAX_PAGE_EVENTS);
        let events: Vec<Numbered> = (from..)
            .zip(events.cloned())
            .map(|(number, event)| Numbered { number, event })
            .collect();
        Page {
            first: self.first,
            next: from + events.len() as u64,
            events,
        }
    }
}
