//! A runner and its backend server, played a millisecond a step.

use std::collections;

use bulrushtiller::ids;
use bulrushtiller::leased::capacity;
use bulrushtiller::leased::messages;
use bulrushtiller::leased::ports;

use super::site;
use crate::leased::fixtures;
use crate::leased::fixtures::START_MS;

/// A question what runs that a backend server has yet to answer.
#[derive(Clone, Copy, Debug)]
pub struct Listing {
    pub asked_ms: u64,
    pub until_ms: u64,
    pub lost_ms: u64,
    pub is_lost: bool,
}

pub struct Runner {
    pub room: capacity::CapacityManager,
    pub watches: collections::HashMap<ids::Incarnation, (u64, u64)>,
    pub running: collections::HashMap<messages::RunId, u64>,
    pub ended: Vec<ports::Ended>,
    pub ends: u64,
    pub started: Vec<(u64, messages::RunId, ports::StartAnswer)>,
    pub stopped: Vec<(u64, messages::RunId)>,
    pub listing: Listing,
}

impl Runner {
    pub fn end(&mut self, id: messages::RunId, how: messages::RunOutcome) {
        self.ends += 1;
        self.ended.push(ports::Ended {
            number: self.ends,
            id,
            how,
        });
    }

    pub fn finish(&mut self, now_ms: u64) {
        let mut done: Vec<_> = self
            .running
            .extract_if(|_, end_ms| *end_ms <= now_ms)
            .collect();
        done.sort();
        for (id, _) in done {
            self.end(id, messages::RunOutcome::Done);
        }
    }

    pub fn hear_answers(&mut self, now_ms: u64) -> Vec<capacity::Action> {
        let mut actions = Vec::new();
        let started: Vec<_> = self
            .started
            .extract_if(.., |(at_ms, _, _)| *at_ms <= now_ms)
            .collect();
        for (_, id, answer) in started {
            actions.extend(self.room.start_answered(now_ms, &id, answer));
        }
        let stopped: Vec<_> = self
            .stopped
            .extract_if(.., |(at_ms, _)| *at_ms <= now_ms)
            .collect();
        for (_, id) in stopped {
            self.room.stop_answered(now_ms, &id, true);
        }
        actions
    }

    /// The answer to the question what runs, once there is one.
    pub fn take_listing(&self, now_ms: u64) -> Option<ports::ListAnswer> {
        let Listing {
            asked_ms,
            until_ms,
            lost_ms,
            is_lost,
        } = self.listing;
        if is_lost {
            return (now_ms >= lost_ms).then_some(ports::ListAnswer::Lost);
        }
        let has_news = !self.ended.is_empty() && now_ms > asked_ms;
        (has_news || now_ms >= until_ms).then(|| {
            let running: Vec<_> = self.running.keys().cloned().collect();
            let ports::ListAnswer::Listed(mut listing) =
                fixtures::listing(now_ms - START_MS + 5_000, &running)
            else {
                unreachable!("a list");
            };
            listing.ended.clone_from(&self.ended);
            ports::ListAnswer::Listed(listing)
        })
    }

    pub fn ask_backend(&mut self, now_ms: u64, is_lost: bool) {
        let call = self.room.next_list(now_ms);
        if !is_lost {
            self.ended.retain(|ended| ended.number > call.acked);
        }
        let until_ms = now_ms + call.wait_ms;
        self.listing = Listing {
            asked_ms: now_ms,
            until_ms: until_ms.max(now_ms + 1),
            lost_ms: until_ms + call.timeout_ms,
            is_lost,
        };
    }

    pub fn report_due(
        &mut self,
        now_ms: u64,
        entry: ids::Incarnation,
    ) -> Option<(messages::Report, u64)> {
        let (until_ms, number) = *self.watches.get(&entry)?;
        if now_ms < until_ms && !self.room.has_update(entry) {
            return None;
        }
        self.watches.remove(&entry);
        Some((self.room.report(now_ms, entry), number))
    }
}

/// A runner that takes work, and its backend server.
pub fn new(site: &site::Site, at: usize) -> Runner {
    let mut room = capacity::CapacityManager::new(ids::Incarnation(1_000 + at as u64), 10);
    let announcement = ports::Announcement {
        zone: site.zone_of(at),
        ..fixtures::announcement(100, 1)
    };
    room.announced(START_MS, announcement);
    let mut runner = Runner {
        room,
        watches: collections::HashMap::new(),
        running: collections::HashMap::new(),
        ended: Vec::new(),
        ends: 0,
        started: Vec::new(),
        stopped: Vec::new(),
        listing: Listing {
            asked_ms: START_MS,
            until_ms: START_MS,
            lost_ms: START_MS,
            is_lost: false,
        },
    };
    runner.ask_backend(START_MS, false);
    runner
}
