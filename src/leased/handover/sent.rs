//! Jobs that an entry has handed over to peers, and for whose callers it awaits the ends.

use std::collections;
use std::sync;

use smol_str::SmolStr;

use crate::ids;
use crate::leased::dispatch::jobs;
use crate::leased::handover::contacts;
use crate::leased::handover::messages;
use crate::leased::job;
use crate::leased::queues;
use crate::wire;

/// Largest number of jobs that an entry has handed over at a time.
const MAX_SENT: usize = 256;

/// Time after a caller's deadline for which the peer's answer is awaited, in milliseconds.
const ANSWER_GRACE_MS: u64 = 200;

/// Time since a peer first reported a job as missing after which the handover or its answer counts as
/// lost, in milliseconds: a lost packet is retransmitted within 200 ms.
const MISSING_AFTER_MS: u64 = 250;

/// Job that was handed over.
#[derive(Clone, Debug)]
pub struct SentJob {
    /// Job as submitted.
    pub job: job::Job,
    /// Its queue.
    pub queue: queues::Queue,
    /// Callers that await the answer.
    pub waiters: Vec<jobs::Waiter>,
    /// Address of the peer.
    pub peer: SmolStr,
    /// Sequence number of the handover.
    pub number: u64,
    /// Time at which the job arrived and was handed over.
    pub sent_ms: u64,
    /// Time at which the caller stops waiting.
    deadline_ms: u64,
    /// Time that the caller had waited before, in milliseconds.
    prior_ms: u64,
    /// Time of the first of the latest signals that found the peer without the job.
    missing_since_ms: Option<u64>,
}

impl SentJob {
    /// Returns the time for which the caller waits on, in milliseconds.
    pub const fn left_ms(&self, now_ms: u64) -> u64 {
        self.deadline_ms.saturating_sub(now_ms)
    }

    /// Returns the time for which the caller has waited, in milliseconds.
    pub const fn waited_ms(&self, now_ms: u64) -> u64 {
        self.prior_ms + now_ms.saturating_sub(self.sent_ms)
    }

    fn is_lost(&self, asked_ms: u64) -> bool {
        self.missing_since_ms
            .is_some_and(|since_ms| asked_ms >= since_ms + MISSING_AFTER_MS)
    }
}

/// Job to be handed over.
#[derive(Debug)]
pub struct NewJob {
    /// The job.
    pub job: job::Job,
    /// Its queue.
    pub queue: queues::Queue,
    /// Longest time that the caller waits, in milliseconds, if it gives one.
    pub timeout_ms: Option<u64>,
    /// Time that the caller had waited before, in milliseconds.
    pub prior_ms: u64,
    /// Identifies the caller's wait.
    pub waiter: jobs::Waiter,
}

/// The entry that hands jobs over.
#[derive(Clone, Debug)]
pub struct Origin {
    /// Its incarnation.
    pub incarnation: ids::Incarnation,
    /// Its address for other entries.
    pub address: SmolStr,
}

/// Jobs that were handed over and have not ended.
#[derive(Clone, Debug, Default)]
pub struct SentJobs {
    by_id: collections::HashMap<SmolStr, SentJob>,
    last_number: u64,
}

impl SentJobs {
    /// Returns the number of jobs.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Returns whether there are no jobs.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// Returns whether as many jobs are out as an entry hands over.
    pub fn is_full(&self) -> bool {
        self.by_id.len() >= MAX_SENT
    }

    /// Returns whether a job was handed over and has not ended.
    pub fn contains(&self, id: &str) -> bool {
        self.by_id.contains_key(id)
    }

    /// Returns the number of the last handover.
    pub const fn last_number(&self) -> u64 {
        self.last_number
    }

    /// Adds a job and builds its handover.
    pub fn add(
        &mut self,
        now_ms: u64,
        new: NewJob,
        origin: Origin,
        configuration: u64,
        target: &contacts::Target,
    ) -> messages::Handover {
        self.last_number += 1;
        let timeout_ms = new.timeout_ms.unwrap_or(new.queue.timeout_ms);
        let timeout_ms = timeout_ms.min(job::MAX_TIME_MS);
        let handover = messages::Handover {
            version: wire::VERSION,
            origin: origin.incarnation,
            from: origin.address,
            peer: Some(target.incarnation),
            alive_at_ms: Some(target.alive_at_ms),
            number: self.last_number,
            configuration,
            queue: new.queue.name.clone(),
            job: new.job.id.clone(),
            spec: sync::Arc::clone(&new.job.spec),
            steps: new.job.steps.iter().map(messages::Step::from).collect(),
            timeout_ms,
            waited_ms: new.prior_ms,
        };
        let sent = SentJob {
            job: new.job,
            queue: new.queue,
            waiters: vec![new.waiter],
            peer: target.address.clone(),
            number: self.last_number,
            sent_ms: now_ms,
            deadline_ms: now_ms + timeout_ms,
            prior_ms: new.prior_ms,
            missing_since_ms: None,
        };
        self.by_id.insert(handover.job.clone(), sent);
        handover
    }

    /// Adds a caller to a job; returns `false` if the job is not open here.
    pub fn join(&mut self, id: &str, waiter: jobs::Waiter) -> bool {
        let Some(sent) = self.by_id.get_mut(id) else {
            return false;
        };
        sent.waiters.push(waiter);
        true
    }

    /// Removes a caller that disconnected; returns the job if no other caller waits for it.
    pub fn remove_waiter(&mut self, id: &str, waiter: jobs::Waiter) -> Option<SentJob> {
        let sent = self.by_id.get_mut(id)?;
        sent.waiters.retain(|other| *other != waiter);
        if !sent.waiters.is_empty() {
            return None;
        }
        self.by_id.remove(id)
    }

    /// Removes a job, unless it was handed over again since the handover with this number.
    pub fn remove_handed(&mut self, id: &str, number: u64) -> Option<SentJob> {
        let is_same = self.by_id.get(id)?.number == number;
        if is_same { self.by_id.remove(id) } else { None }
    }

    /// Removes a job that is cancelled.
    pub fn remove(&mut self, id: &str) -> Option<SentJob> {
        self.by_id.remove(id)
    }

    /// Removes all jobs at a peer.
    pub fn remove_all_at(&mut self, address: &str) -> Vec<SentJob> {
        self.remove_where(|sent| sent.peer == address)
    }

    /// Removes the jobs whose peer has not answered by the callers' deadline.
    pub fn remove_overdue(&mut self, now_ms: u64) -> Vec<SentJob> {
        self.remove_where(|sent| now_ms >= sent.deadline_ms + ANSWER_GRACE_MS)
    }

    /// Applies the answer to a signal that was sent at `asked_ms`; removes the jobs that the peer
    /// has not had for too long.
    ///
    /// Its answer to a job that has just ended, or the handover itself, may be on its way.
    pub fn remove_missing(
        &mut self,
        asked_ms: u64,
        address: &str,
        missing: &[SmolStr],
    ) -> Vec<SentJob> {
        let at_peer = self.by_id.values_mut().filter(|sent| sent.peer == address);
        let mut is_any_lost = false;
        for sent in at_peer {
            let is_missing = asked_ms > sent.sent_ms && missing.contains(&sent.job.id);
            sent.missing_since_ms = is_missing.then(|| sent.missing_since_ms.unwrap_or(asked_ms));
            is_any_lost |= sent.is_lost(asked_ms);
        }
        if !is_any_lost {
            return Vec::new();
        }
        self.remove_where(|sent| sent.is_lost(asked_ms))
    }

    fn remove_where(&mut self, is_removed: impl Fn(&SentJob) -> bool) -> Vec<SentJob> {
        let removed = self.by_id.extract_if(|_, sent| is_removed(sent));
        removed.map(|(_, sent)| sent).collect()
    }

    /// Returns the addresses of the peers that have jobs of this entry.
    pub fn peers(&self) -> collections::BTreeSet<SmolStr> {
        self.by_id.values().map(|sent| sent.peer.clone()).collect()
    }

    /// Returns the ids of the jobs at a peer.
    pub fn wanted_at(&self, address: &str) -> Vec<SmolStr> {
        let at_peer = self.by_id.values().filter(|sent| sent.peer == address);
        at_peer.map(|sent| sent.job.id.clone()).collect()
    }
}
