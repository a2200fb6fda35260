//! A runner and its simulated backend server, in steps of a millisecond.

use std::collections;

use bulrushtiller::ids;
use bulrushtiller::leased::capacity;
use bulrushtiller::leased::messages;
use bulrushtiller::leased::ports;
use bulrushtiller::wire;
use smol_str::SmolStr;

use crate::leased::START_MS;
use crate::leased::site;

/// Start time of every backend server by its own clock, in milliseconds.
const BORN_MS: u64 = 100;

/// Reading of every backend server's clock at [`START_MS`], in milliseconds.
const CLOCK_AT_START_MS: u64 = 5_000;

/// A listing call that the backend server has not answered yet.
#[derive(Clone, Copy, Debug)]
pub struct ListCall {
    /// When the call was sent.
    pub sent_at_ms: u64,
    /// When it is answered at the latest.
    pub until_ms: u64,
    /// When it counts as lost.
    pub times_out_at_ms: u64,
    /// Whether it stays without an answer.
    pub is_lost: bool,
}

/// A runner and its backend server.
#[derive(Debug)]
pub struct Runner {
    /// Decisions of the runner.
    pub capacity: capacity::CapacityManager,
    /// Open watches, each with the time by which it is answered and its number.
    pub watches: collections::HashMap<ids::Incarnation, (u64, u64)>,
    /// Running runs, each with its end time.
    pub running: collections::BTreeMap<messages::RunId, u64>,
    /// Ended runs that the runner has not acknowledged.
    pub ended: Vec<ports::Ended>,
    /// Number of the last ended run.
    pub last_end: u64,
    /// Answers to starts in flight, each with its time of arrival.
    pub start_answers: Vec<(u64, messages::RunId, ports::StartAnswer)>,
    /// Acknowledged stops in flight, each with its time of arrival.
    pub stop_answers: Vec<(u64, messages::RunId)>,
    /// The open listing call.
    pub list_call: ListCall,
    /// When each running run started.
    pub started: collections::HashMap<messages::RunId, u64>,
    /// Runs of which the backend server fails the task when they end.
    pub failing: collections::HashSet<messages::RunId>,
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
        let running = self.running.iter();
        let due = running.filter(|(_, end_ms)| **end_ms <= now_ms);
        let due: Vec<_> = due.map(|(id, _)| id.clone()).collect();
        for id in due {
            self.running.remove(&id);
            self.started.remove(&id);
            let how = if self.failing.remove(&id) {
                messages::RunOutcome::Failed
            } else {
                messages::RunOutcome::Done
            };
            self.end(id, how);
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
            self.capacity
                .stop_answered(now_ms, &id, ports::StopAnswer::Acknowledged);
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
        (has_ends || now_ms >= until_ms).then(|| ports::ListAnswer::Listed(self.listing(now_ms)))
    }

    fn listing(&self, now_ms: u64) -> ports::Listing {
        let running = self.running.keys().map(|id| ports::Running {
            id: id.clone(),
            percent: 10,
        });
        ports::Listing {
            started_at_ms: BORN_MS,
            clock_ms: now_ms - START_MS + CLOCK_AT_START_MS,
            running: running.collect(),
            ended: self.ended.clone(),
        }
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

fn announcement(site: &site::Site, at: usize) -> ports::Announcement {
    ports::Announcement {
        incarnation: ports::BackendIncarnation {
            name: smol_str::format_smolstr!("backend-{at}"),
            started_at_ms: BORN_MS,
        },
        sequence: 1,
        is_leaving: false,
        size: wire::Resources {
            cpu_milli: site.size_milli(at),
            memory_mib: 0,
            accelerators: 0,
        },
        service: SmolStr::new_static(site::SERVICE),
        zone: site.zone_of(at),
        labels: [SmolStr::new_static("a")].into(),
    }
}

/// Creates a ready runner and its backend server.
pub fn new(site: &site::Site, at: usize) -> Runner {
    let mut capacity = capacity::CapacityManager::new(ids::Incarnation(1_000 + at as u64), 10);
    capacity.announced(START_MS, announcement(site, at));
    let mut runner = Runner {
        capacity,
        watches: collections::HashMap::new(),
        running: collections::BTreeMap::new(),
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
        started: collections::HashMap::new(),
        failing: collections::HashSet::new(),
    };
    runner.send_list_call(START_MS, false);
    runner
}
