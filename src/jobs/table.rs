//! All submissions that one incarnation of an entry remembers.

use std::collections;

use smol_str::SmolStr;

use crate::api;
use crate::codes;
use crate::epoch_window;
use crate::ids;
use crate::jobs;
use crate::jobs::due;
use crate::jobs::summary;

slotmap::new_key_type! {
    /// Key of a submission; never reused for another one.
    pub struct Key;
}

/// A submission in any state; the states are boxed to keep the records of the table small.
#[derive(Clone, Debug)]
pub enum Submission {
    /// Has undecided tasks.
    Open(Box<jobs::Open>),
    /// Ended, with the whole answer.
    Ended(Box<jobs::Ended>),
    /// Ended, with an answer that is reduced to the outcomes.
    Summary(Box<summary::Summary>),
}

impl Submission {
    /// Returns the hash of the content.
    pub fn fingerprint(&self) -> u64 {
        match self {
            Self::Open(open) => open.header.fingerprint,
            Self::Ended(ended) => ended.fingerprint,
            Self::Summary(summary) => summary.fingerprint,
        }
    }

    /// Returns the final answer as far as it is kept; `id` is the id that the call named.
    pub fn answer(&self, id: Option<&ids::SubmissionId>) -> Option<api::Answer> {
        match self {
            Self::Open(_) => None,
            Self::Ended(ended) => Some(ended.answer.clone()),
            Self::Summary(summary) => Some(summary.answer(id.cloned())),
        }
    }
}

/// Team and id: the same id from two teams names two submissions, so that no team can read
/// or collide with the submissions of another.
type ScopedId = (SmolStr, ids::SubmissionId);

#[derive(Debug)]
struct Record {
    submission: Submission,
    /// Epoch in which the submission was added or ended.
    tag: u64,
    /// Time at which the answer was last sent or requested, in milliseconds without pauses.
    accessed_ms: u64,
    is_refusal: bool,
}

/// Maximum number of refusals that are remembered besides the accepted submissions.
pub const MAX_REFUSALS: usize = 20_000;

/// Submissions by key and by id.
#[derive(Debug)]
pub struct Table {
    epochs: epoch_window::EpochWindow,
    records: slotmap::SlotMap<Key, Record>,
    by_id: collections::HashMap<ScopedId, Key>,
    due: due::DueIndex,
    /// Whole answers in the order of their last known access.
    accesses: collections::VecDeque<(u64, Key)>,
    /// Total time for which this process was suspended.
    paused_ms: u64,
    open: usize,
    refusals: usize,
}

impl Table {
    /// Creates an empty table in the first epoch.
    pub fn new(now_ms: u64) -> Self {
        Self {
            epochs: epoch_window::EpochWindow::new(now_ms),
            records: slotmap::SlotMap::with_key(),
            by_id: collections::HashMap::new(),
            due: due::DueIndex::default(),
            accesses: collections::VecDeque::new(),
            paused_ms: 0,
            open: 0,
            refusals: 0,
        }
    }

    /// Returns the epochs by which tickets are issued and checked.
    pub const fn epochs(&self) -> epoch_window::EpochWindow {
        self.epochs
    }

    /// Number of remembered submissions, without refusals.
    pub fn len(&self) -> usize {
        self.records.len() - self.refusals
    }

    /// Whether no submission is remembered, refusals aside.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Number of open submissions.
    pub const fn open(&self) -> usize {
        self.open
    }

    /// Finds a submission by its id.
    pub fn find(&self, team: &SmolStr, id: &ids::SubmissionId) -> Option<Key> {
        self.by_id.get(&(team.clone(), id.clone())).copied()
    }

    /// Returns a submission.
    pub fn get(&self, key: Key) -> Option<&Submission> {
        self.records.get(key).map(|record| &record.submission)
    }

    /// Returns a submission if it is open.
    pub fn open_at(&self, key: Key) -> Option<&jobs::Open> {
        match self.get(key)? {
            Submission::Open(open) => Some(open),
            Submission::Ended(_) | Submission::Summary(_) => None,
        }
    }

    /// Returns the index of submissions by due time.
    pub const fn due(&self) -> &due::DueIndex {
        &self.due
    }

    /// Gives a submission up, see [`jobs::Open::give_up`].
    pub fn give_up(&mut self, now_ms: u64, key: Key, code: codes::Code) {
        if let Some(open) = self.open_mut(key) {
            open.give_up(now_ms, code);
        }
        self.update_due(key);
    }

    /// Records the outcome of a task, see [`jobs::Open::decide`].
    pub fn decide(&mut self, now_ms: u64, task: jobs::TaskKey, decided: jobs::Decided) {
        if let Some(open) = self.open_mut(task.submission) {
            open.decide(now_ms, task.index, decided);
        }
        self.update_due(task.submission);
    }

    /// Updates the due index if the submission has been given up.
    fn update_due(&mut self, key: Key) {
        let Some(Submission::Open(open)) = self.records.get(key).map(|record| &record.submission)
        else {
            return;
        };
        if let Some(reason) = open.give_up_reason() {
            self.due.give_up(key, open, reason.at_ms);
        }
    }

    /// Returns an open submission for changes.
    ///
    /// Changes that may give it up have to go through [`Table::give_up`] and
    /// [`Table::decide`], which keep the due index up to date.
    pub fn open_mut(&mut self, key: Key) -> Option<&mut jobs::Open> {
        match &mut self.records.get_mut(key)?.submission {
            Submission::Open(open) => Some(open),
            Submission::Ended(_) | Submission::Summary(_) => None,
        }
    }

    /// Returns the keys of all open submissions.
    pub fn open_keys(&self) -> Vec<Key> {
        let is_open = |record: &Record| matches!(record.submission, Submission::Open(_));
        self.records
            .iter()
            .filter(|(_, record)| is_open(record))
            .map(|(key, _)| key)
            .collect()
    }

    /// Adds a new submission.
    pub fn insert(&mut self, open: jobs::Open) -> Key {
        let scoped_id = (open.header.team.clone(), open.header.id.clone());
        let tag = self.epochs.current();
        let key = self.records.insert_with_key(|key| {
            self.due.insert(key, &open);
            Record {
                submission: Submission::Open(Box::new(open)),
                tag,
                accessed_ms: 0,
                is_refusal: false,
            }
        });
        self.by_id.insert(scoped_id, key);
        self.open += 1;
        key
    }

    /// Remembers a refused submission, so that this incarnation never starts it.
    ///
    /// A refusal promises that nothing is started. Another copy of the same submission may
    /// still be in transit and would start once there is free capacity, after the caller has
    /// relied on the refusal and submitted the work again. Returns `false` if
    /// [`MAX_REFUSALS`] are remembered already.
    pub fn insert_refusal(&mut self, header: jobs::Header, answer: api::Answer) -> bool {
        if self.refusals >= MAX_REFUSALS {
            return false;
        }
        let scoped_id = (header.team, header.id);
        let tag = self.epochs.current();
        let accessed_ms = header.arrived_ms.saturating_sub(self.paused_ms);
        let ended = jobs::Ended {
            fingerprint: header.fingerprint,
            answer,
        };
        let key = self.records.insert(Record {
            submission: Submission::Ended(Box::new(ended)),
            tag,
            accessed_ms,
            is_refusal: true,
        });
        self.accesses.push_back((accessed_ms, key));
        self.by_id.insert(scoped_id, key);
        self.refusals += 1;
        true
    }

    /// Ends a submission and returns its final answer, or `None` while tasks are undecided.
    pub fn settle(&mut self, key: Key, now_ms: u64) -> Option<api::Answer> {
        let record = self.records.get_mut(key)?;
        let Submission::Open(open) = &record.submission else {
            return None;
        };
        let ended = open.end(now_ms)?;
        self.due.remove(key, open);
        let answer = ended.answer.clone();
        record.submission = Submission::Ended(Box::new(ended));
        record.tag = self.epochs.current();
        record.accessed_ms = now_ms.saturating_sub(self.paused_ms);
        self.accesses.push_back((record.accessed_ms, key));
        self.open -= 1;
        Some(answer)
    }

    /// Records that a caller requested the answer, which extends its retention.
    pub fn touch(&mut self, now_ms: u64, key: Key) {
        if let Some(record) = self.records.get_mut(key) {
            record.accessed_ms = now_ms.saturating_sub(self.paused_ms);
        }
    }

    /// Excludes a suspension of this process from the retention period, since callers could
    /// not request answers during it.
    pub const fn exclude_pause(&mut self, paused_ms: u64) {
        self.paused_ms += paused_ms;
    }

    /// Reduces answers to summaries that were neither sent nor requested for `whole_ms`.
    pub fn compact(&mut self, now_ms: u64, whole_ms: u64) {
        let now_ms = now_ms.saturating_sub(self.paused_ms);
        while let Some((accessed_ms, key)) = self.accesses.front().copied() {
            if accessed_ms.saturating_add(whole_ms) > now_ms {
                return;
            }
            self.accesses.pop_front();
            let Some(record) = self.records.get_mut(key) else {
                continue;
            };
            if record.accessed_ms > accessed_ms {
                self.accesses.push_back((record.accessed_ms, key));
            } else if let Submission::Ended(ended) = &record.submission {
                let summary = summary::Summary::from(ended.as_ref());
                record.submission = Submission::Summary(Box::new(summary));
            }
        }
    }

    /// Starts a new epoch once the current one has lasted `retain_ms`, and then drops the
    /// ended submissions whose ticket would be refused if it came again.
    pub fn advance(&mut self, now_ms: u64, retain_ms: u64) {
        if !self.epochs.advance(now_ms, retain_ms) {
            return;
        }
        let epochs = self.epochs;
        let refusals = &mut self.refusals;
        self.records.retain(|_, record| {
            let is_open = matches!(record.submission, Submission::Open(_));
            let is_kept = is_open || epochs.contains(record.tag);
            if !is_kept {
                *refusals -= usize::from(record.is_refusal);
            }
            is_kept
        });
        let records = &self.records;
        self.by_id.retain(|_, key| records.contains_key(*key));
    }
}
