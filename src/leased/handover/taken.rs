//! Jobs that an entry has taken in from origins, and the origins' liveness.

use std::collections;

use smol_str::SmolStr;

use crate::ids;
use crate::leased::dispatch::jobs;
use crate::leased::handover;
use crate::leased::handover::messages;

/// Largest number of jobs of other entries that an entry has at a time.
pub const MAX_TAKEN: usize = 256;

/// Own lag from which an entry takes in no jobs, in milliseconds.
///
/// It is lower than the lag at which an origin leaves a peer, so that a peer does not become
/// overloaded first.
pub const MAX_OWN_LAG_MS: u32 = 10;

/// Time for which an origin without jobs is remembered, in milliseconds.
const ORIGIN_RETENTION_MS: u64 = 10_000;

/// Job that was taken in.
#[derive(Clone, Copy, Debug)]
struct TakenJob {
    waiter: jobs::Waiter,
    number: u64,
}

/// Entry that has handed jobs over to this one.
#[derive(Clone, Debug, Default)]
struct Origin {
    /// Time at which it was alive, by its last signal.
    alive_ms: u64,
    heard_ms: u64,
    /// Number of the last handover that it had sent when it sent its last signal.
    handed: u64,
    wanted: collections::HashSet<SmolStr>,
    jobs: collections::HashMap<SmolStr, TakenJob>,
}

impl Origin {
    /// Returns whether the origin no longer wanted a job when it sent its last signal.
    fn is_withdrawn(&self, id: &str, number: u64) -> bool {
        number <= self.handed && !self.wanted.contains(id)
    }
}

/// Job that its origin no longer wants, or whose origin seems to be gone.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Withdrawn {
    /// The job's id.
    pub id: SmolStr,
    /// Identifies the wait of the origin.
    pub waiter: jobs::Waiter,
    /// Incarnation of the origin.
    pub origin: ids::Incarnation,
    /// Age of the origin's last signal, in milliseconds.
    pub silence_ms: u64,
}

/// Jobs that an entry has taken in and that have not ended.
#[derive(Clone, Debug)]
pub struct TakenJobs {
    me: ids::Incarnation,
    origins: collections::HashMap<ids::Incarnation, Origin>,
    by_waiter: collections::HashMap<jobs::Waiter, (ids::Incarnation, SmolStr)>,
}

impl TakenJobs {
    /// Creates the state of an entry that has taken in nothing.
    pub fn new(me: ids::Incarnation) -> Self {
        Self {
            me,
            origins: collections::HashMap::new(),
            by_waiter: collections::HashMap::new(),
        }
    }

    /// Returns the number of jobs.
    pub fn len(&self) -> usize {
        self.by_waiter.len()
    }

    /// Returns whether there are no jobs.
    pub fn is_empty(&self) -> bool {
        self.by_waiter.is_empty()
    }

    /// Returns why a handover has to be declined, if it has to be.
    pub fn refusal(&self, now_ms: u64, handover: &messages::Handover) -> Option<messages::Decline> {
        let Some(alive_at_ms) = handover.alive_at_ms else {
            return Some(messages::Decline::Incarnation);
        };
        if handover.peer != Some(self.me) {
            return Some(messages::Decline::Incarnation);
        }
        if alive_at_ms.saturating_add(handover::MAX_HANDOVER_AGE_MS) < now_ms {
            return Some(messages::Decline::Late);
        }
        let origin = self.origins.get(&handover.origin);
        if origin.is_some_and(|origin| origin.is_withdrawn(&handover.job, handover.number)) {
            return Some(messages::Decline::Unwanted);
        }
        (self.len() >= MAX_TAKEN).then_some(messages::Decline::Full)
    }

    /// Adds a job.
    pub fn add(&mut self, now_ms: u64, handover: &messages::Handover, waiter: jobs::Waiter) {
        let origin = self.origins.entry(handover.origin).or_default();
        let alive_ms = handover.alive_at_ms.unwrap_or(0).min(now_ms);
        origin.alive_ms = origin.alive_ms.max(alive_ms);
        origin.heard_ms = now_ms;
        let number = handover.number;
        let id = handover.job.clone();
        origin.jobs.insert(id.clone(), TakenJob { waiter, number });
        self.by_waiter.insert(waiter, (handover.origin, id));
    }

    /// Applies a signal; returns the jobs that the origin no longer wants.
    ///
    /// A time ahead of this entry's clock counts as now.
    pub fn heartbeat_received(
        &mut self,
        now_ms: u64,
        heartbeat: &messages::OriginHeartbeat,
    ) -> Vec<Withdrawn> {
        let Some(alive_at_ms) = heartbeat.alive_at_ms else {
            return Vec::new();
        };
        if heartbeat.peer != Some(self.me) {
            return Vec::new();
        }
        let origin = self.origins.entry(heartbeat.origin).or_default();
        origin.heard_ms = now_ms;
        origin.alive_ms = origin.alive_ms.max(alive_at_ms.min(now_ms));
        if heartbeat.handed < origin.handed {
            return Vec::new();
        }
        origin.handed = heartbeat.handed;
        origin.wanted = heartbeat.wanted.iter().cloned().collect();
        let jobs = origin.jobs.iter();
        let withdrawn = jobs.filter(|(id, taken)| origin.is_withdrawn(id, taken.number));
        withdrawn
            .map(|(id, taken)| Withdrawn {
                id: id.clone(),
                waiter: taken.waiter,
                origin: heartbeat.origin,
                silence_ms: now_ms - origin.alive_ms,
            })
            .collect()
    }

    /// Returns those of the wanted jobs that this entry doesn't have.
    pub fn missing(&self, heartbeat: &messages::OriginHeartbeat) -> Vec<SmolStr> {
        let origin = self.origins.get(&heartbeat.origin);
        let is_missing = |id: &&SmolStr| origin.is_none_or(|origin| !origin.jobs.contains_key(*id));
        heartbeat
            .wanted
            .iter()
            .filter(is_missing)
            .cloned()
            .collect()
    }

    /// Returns the jobs of origins whose last signal is too old, and forgets those without jobs.
    pub fn expire(&mut self, now_ms: u64) -> Vec<Withdrawn> {
        if self.origins.is_empty() {
            return Vec::new();
        }
        self.origins.retain(|_, origin| {
            !origin.jobs.is_empty() || now_ms < origin.heard_ms + ORIGIN_RETENTION_MS
        });
        let silent = self
            .origins
            .iter()
            .filter(|(_, origin)| now_ms > origin.alive_ms + handover::ORIGIN_TIMEOUT_MS);
        let withdrawn = silent.flat_map(|(incarnation, origin)| {
            origin.jobs.iter().map(|(id, taken)| Withdrawn {
                id: id.clone(),
                waiter: taken.waiter,
                origin: *incarnation,
                silence_ms: now_ms - origin.alive_ms,
            })
        });
        withdrawn.collect()
    }

    /// Removes a job that has ended or was withdrawn; returns whether there was one.
    pub fn remove(&mut self, waiter: jobs::Waiter) -> bool {
        let Some((incarnation, id)) = self.by_waiter.remove(&waiter) else {
            return false;
        };
        if let Some(origin) = self.origins.get_mut(&incarnation)
            && origin
                .jobs
                .get(&id)
                .is_some_and(|taken| taken.waiter == waiter)
        {
            origin.jobs.remove(&id);
        }
        true
    }

    /// Returns the time at which the oldest origin with open jobs here was alive.
    pub fn oldest_origin_ms(&self) -> Option<u64> {
        let with_jobs = self
            .origins
            .values()
            .filter(|origin| !origin.jobs.is_empty());
        with_jobs.map(|origin| origin.alive_ms).min()
    }
}
