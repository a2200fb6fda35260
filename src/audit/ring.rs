//! The latest events of one process.

use std::collections;

use serde::Deserialize;
use serde::Serialize;

use super::event;

/// Events kept by default; at 42,000 changes a day about half an hour of them.
pub const DEFAULT_CAPACITY: usize = 1024;

/// Most events of one page.
pub const MAX_PAGE: usize = 256;

/// An event and its number at this process.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Numbered {
    /// Counts the events of this life of the process, from 0.
    pub number: u64,
    /// The event.
    #[serde(flatten)]
    pub event: event::Event,
}

/// Answer to `GET /audit?from=N`.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Page {
    /// The oldest number still kept.
    pub first: u64,
    /// The number from which to ask next.
    pub next: u64,
    /// The events.
    pub events: Vec<Numbered>,
}

/// A bounded trail; the oldest events give way.
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
    /// An empty trail that keeps at most `capacity` events, at least one.
    pub fn new(capacity: usize) -> Self {
        Self {
            events: collections::VecDeque::new(),
            capacity: capacity.max(1),
            first: 0,
        }
    }

    /// Adds an event and gives its number.
    pub fn push(&mut self, event: event::Event) -> u64 {
        if self.events.len() == self.capacity {
            self.events.pop_front();
            self.first += 1;
        }
        self.events.push_back(event);
        self.next() - 1
    }

    /// The number that the next event will get.
    pub fn next(&self) -> u64 {
        self.first + self.events.len() as u64
    }

    /// The events from `number` on, at most [`MAX_PAGE`], or the oldest kept.
    ///
    /// A number beyond the end is that of an earlier life of the process, and starts
    /// over; else a follower would wait for numbers that are long in coming.
    pub fn since(&self, number: u64) -> Page {
        let from = if number > self.next() {
            self.first
        } else {
            number.max(self.first)
        };
        let skipped = usize::try_from(from - self.first).unwrap_or(usize::MAX);
        let events = self.events.iter().skip(skipped).take(MAX_PAGE);
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
