//! A runner and its simulated backend server, in steps of a millisecond.

use std::collections;

use bulrushtiller::ids;
use bulrushtiller::leased::capacity;
use bulrushtiller::leased::messages;
use bulrushtiller::leased::ports;

use super::site;
use crate::leased::fixtures;
use crate::leased::fixtures::START_MS;

/// A listing call that the backend server has not answered yet.
#[derive(Clone, Copy, Debug)]
pub struct ListCall {
    pub sent_at_ms: u64,
    pub until_ms: u64,
    pub times_out_at_ms: u64,
    pub is_lost: bool,
}

pub struct Runner {
    pub capacity: capacity::CapacityManager,
    /// Open watches, each with the time by which it is answered and its number.
    pub watches: collections::HashMap<ids::Incarnation, (u64, u64)>,
    /// Running runs, each with its end time.
    pub running: collections::HashMap<messages::RunId, u64>,
    pub ended: Vec<ports::Ended>,
    pub last_end: u64,
    /// Answers to starts in flight, each with its time of arrival.
    pub start_answers: Vec<(u64, messages::RunId, ports::StartAnswer)>,
    /// Acknowledged stops in flight, each with its time of arrival.
    pub stop_answers: Vec<(u64, messages::RunId)>,
    pub list_call: ListCall,
}

impl Runner {
    /// Ends a run.
    pub fn end(&mut self, id: messages::RunId, how: messages::RunOutcome) {
        self.last_end += 1;
        self.ended.push(ports::Ended {
            number: self.last_end,
            id,
            how,
        });
    }

    /// Ends the runs whose time has come.
    pub fn end_due(&mut self, now_ms: u64) {
        let mut done: Vec<_> = self
            .running
            .extract_if(|_, end_ms| *end_ms <= now_ms)
            .collect();
        done.sort();
        for (id, _) in done {
            self.end(id, messages::RunOutcome::Done);
        }
    }

    /// Passes the answers that have arrived to the runner.
    pub fn receive_answers(&mut self, now_ms: u64) -> Vec<capacity::Action> {
        let mut actions = Vec::new();
        let started: Vec<_> = self
            .start_answers
            .extract_if(.., |(at_ms, _, _)| *at_ms <= now_ms)
            .collect();
        for (_, id, answer) in started {
            actions.extend(self.capacity.start_answered(now_ms, &id, answer));
        }
        let stopped: Vec<_> = self
            .stop_answers
            .extract_if(.., |(at_ms, _)| *at_ms <= now_ms)
            .collect();
        for (_, id) in stopped {
            self.capacity.stop_answered(now_ms, &id, true);
        }
        actions
    }

    /// Returns the answer to the listing call once there is one.
    pub fn list_answer(&self, now_ms: u64) -> Option<ports::ListAnswer> {
        let ListCall {
            sent_at_ms,
            until_ms,
            times_out_at_ms,
            is_lost,
        } = self.list_call;
        if is_lost {
            return (now_ms >= times_out_at_ms).then_some(ports::ListAnswer::Lost);
        }
        let has_ends = !self.ended.is_empty() && now_ms > sent_at_ms;
        (has_ends || now_ms >= until_ms).then(|| {
            let running: Vec<_> = self.running.keys().cloned().collect();
            let ports::ListAnswer::Listed(mut listing) =
                fixtures::listing(now_ms - START_MS + 5_000, &running)
            else {
                unreachable!("the fixture is a listing");
            };
            listing.ended.clone_from(&self.ended);
            ports::ListAnswer::Listed(listing)
        })
    }

    /// Sends the next listing call.
    pub fn send_list_call(&mut self, now_ms: u64, is_lost: bool) {
        let call = self.capacity.next_list(now_ms);
        if !is_lost {
            self.ended.retain(|ended| ended.number > call.acked);
        }
        let until_ms = now_ms + call.wait_ms;
        self.list_call = ListCall {
            sent_at_ms: now_ms,
            until_ms: until_ms.max(now_ms + 1),
            times_out_at_ms: until_ms + call.timeout_ms,
            is_lost,
        };
    }

    /// Returns the report to an entry's watch, and the number of the watch, if the report is due.
    pub fn due_report(
        &mut self,
        now_ms: u64,
        entry: ids::Incarnation,
    ) -> Option<(messages::Report, u64)> {
        let (until_ms, number) = *self.watches.get(&entry)?;
        if now_ms < until_ms && !self.capacity.has_update(entry) {
            return None;
        }
        self.watches.remove(&entry);
        Some((self.capacity.report(now_ms, entry), number))
    }
}

/// Creates a ready runner and its backend server.
pub fn new(site: &site::Site, at: usize) -> Runner {
    let mut capacity = capacity::CapacityManager::new(ids::Incarnation(1_000 + at as u64), 10);
    let announcement = ports::Announcement {
        zone: site.zone_of(at),
        ..fixtures::announcement(100, 1)
    };
    capacity.announced(START_MS, announcement);
    let mut runner = Runner {
        capacity,
        watches: collections::HashMap::new(),
        running: collections::HashMap::new(),
        ended: Vec::new(),
        last_end: 0,
        start_answers: Vec::new(),
        stop_answers: Vec::new(),
        list_call: ListCall {
            sent_at_ms: START_MS,
            until_ms: START_MS,
            times_out_at_ms: START_MS,
            is_lost: false,
        },
    };
    runner.send_list_call(START_MS, false);
    runner
}
