//! All submissions of one life of an entry, under small keys.

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
    /// Key of a submission; never valid for another one.
    pub struct Key;
}

/// A submission in any part of its life; boxed, so that most lines are small.
#[derive(Clone, Debug)]
pub enum Submission {
    /// Not all tasks are decided.
    Open(Box<jobs::Open>),
    /// Over, with the whole answer.
    Ended(Box<jobs::Ended>),
    /// Over for long.
    Summary(Box<summary::Summary>),
}

impl Submission {
    /// Tells a repeat from another submission under the same id.
    pub fn fingerprint(&self) -> u64 {
        match self {
            Self::Open(open) => open.header.fingerprint,
            Self::Ended(ended) => ended.fingerprint,
            Self::Summary(summary) => summary.fingerprint,
        }
    }

    /// The final answer, as far as it is kept, to a call that names this id.
    pub fn answer(&self, id: Option<&ids::SubmissionId>) -> Option<api::Answer> {
        match self {
            Self::Open(_) => None,
            Self::Ended(ended) => Some(ended.answer.clone()),
            Self::Summary(summary) => Some(summary.answer(id.cloned())),
        }
    }
}

/// Ids are a team's own: the same text from two teams names two submissions, so
/// no team can read or hit upon another's.
type Name = (SmolStr, ids::SubmissionId);

#[derive(Debug)]
struct Line {
    submission: Submission,
    tag: u64,
    /// When its answer was last told or asked for, without pauses of this process.
    told_ms: u64,
    is_refusal: bool,
}

/// Most refusals remembered beside the submissions taken in.
pub const MAX_REFUSALS: usize = 20_000;

/// The submissions.
#[derive(Debug)]
pub struct Table {
    epochs: epoch_window::EpochWindow,
    lines: slotmap::SlotMap<Key, Line>,
    names: collections::HashMap<Name, Key>,
    due: due::DueIndex,
    /// Whole answers, and when they were told.
    told: collections::VecDeque<(u64, Key)>,
    paused_ms: u64,
    open: usize,
    refusals: usize,
}

impl Table {
    /// Starts empty, in the first epoch.
    pub fn new(now_ms: u64) -> Self {
        Self {
            epochs: epoch_window::EpochWindow::new(now_ms),
            lines: slotmap::SlotMap::with_key(),
            names: collections::HashMap::new(),
            due: due::DueIndex::default(),
            told: collections::VecDeque::new(),
            paused_ms: 0,
            open: 0,
            refusals: 0,
        }
    }

    /// The epochs by which tickets are minted and checked.
    pub const fn epochs(&self) -> epoch_window::EpochWindow {
        self.epochs
    }

    /// How many submissions that were taken in are remembered.
    pub fn len(&self) -> usize {
        self.lines.len() - self.refusals
    }

    /// Whether none is remembered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// How many are open.
    pub const fn open(&self) -> usize {
        self.open
    }

    /// Finds a submission by its id.
    pub fn find(&self, team: &SmolStr, id: &ids::SubmissionId) -> Option<Key> {
        self.names.get(&(team.clone(), id.clone())).copied()
    }

    /// Looks at a submission.
    pub fn get(&self, key: Key) -> Option<&Submission> {
        self.lines.get(key).map(|line| &line.submission)
    }

    /// Looks at an open submission.
    pub fn open_at(&self, key: Key) -> Option<&jobs::Open> {
        match self.get(key)? {
            Submission::Open(open) => Some(open),
            Submission::Ended(_) | Submission::Summary(_) => None,
        }
    }

    /// Which submissions are to be looked at again.
    pub const fn due(&self) -> &due::DueIndex {
        &self.due
    }

    /// See [`jobs::Open::give_up`].
    pub fn give_up(&mut self, now_ms: u64, key: Key, code: codes::Code) {
        if let Some(open) = self.open_mut(key) {
            open.give_up(now_ms, code);
        }
        self.watch(key);
    }

    /// See [`jobs::Open::decide`].
    pub fn decide(&mut self, now_ms: u64, task: jobs::TaskKey, decided: jobs::Decided) {
        if let Some(open) = self.open_mut(task.submission) {
            open.decide(now_ms, task.index, decided);
        }
        self.watch(task.submission);
    }

    /// Notes when a submission that was given up is to be looked at again.
    fn watch(&mut self, key: Key) {
        let Some(Submission::Open(open)) = self.lines.get(key).map(|line| &line.submission) else {
            return;
        };
        if let Some(reason) = open.give_up_reason() {
            self.due.give_up(key, open, reason.at_ms);
        }
    }

    /// Changes an open submission; what may give it up goes through [`Table::give_up`]
    /// and [`Table::decide`].
    pub fn open_mut(&mut self, key: Key) -> Option<&mut jobs::Open> {
        match &mut self.lines.get_mut(key)?.submission {
            Submission::Open(open) => Some(open),
            Submission::Ended(_) | Submission::Summary(_) => None,
        }
    }

    /// Keys of all open submissions.
    pub fn open_keys(&self) -> Vec<Key> {
        let is_open = |line: &Line| matches!(line.submission, Submission::Open(_));
        self.lines
            .iter()
            .filter(|(_, line)| is_open(line))
            .map(|(key, _)| key)
            .collect()
    }

    /// Takes in a new submission.
    pub fn insert(&mut self, open: jobs::Open) -> Key {
        let name = (open.header.team.clone(), open.header.id.clone());
        let tag = self.epochs.current();
        let key = self.lines.insert_with_key(|key| {
            self.due.insert(key, &open);
            Line {
                submission: Submission::Open(Box::new(open)),
                tag,
                told_ms: 0,
                is_refusal: false,
            }
        });
        self.names.insert(name, key);
        self.open += 1;
        key
    }

    /// Remembers that an id was refused, so that it never starts under this life.
    ///
    /// A refusal says that nothing will be started. The same submission may be on
    /// its way a second time, and would start when it finds room; its caller, who
    /// trusted the refusal, has submitted anew by then. Gives whether there was room
    /// to remember it.
    pub fn insert_refusal(&mut self, header: jobs::Header, answer: api::Answer) -> bool {
        if self.refusals >= MAX_REFUSALS {
            return false;
        }
        let name = (header.team, header.id);
        let tag = self.epochs.current();
        let told_ms = header.arrived_ms.saturating_sub(self.paused_ms);
        let ended = jobs::Ended {
            fingerprint: header.fingerprint,
            answer,
        };
        let key = self.lines.insert(Line {
            submission: Submission::Ended(Box::new(ended)),
            tag,
            told_ms,
            is_refusal: true,
        });
        self.told.push_back((told_ms, key));
        self.names.insert(name, key);
        self.refusals += 1;
        true
    }

    /// Ends a submission if all its tasks are decided, and gives its answer then.
    pub fn settle(&mut self, key: Key, now_ms: u64) -> Option<api::Answer> {
        let line = self.lines.get_mut(key)?;
        let Submission::Open(open) = &line.submission else {
            return None;
        };
        let ended = open.end(now_ms)?;
        self.due.remove(key, open);
        let answer = ended.answer.clone();
        line.submission = Submission::Ended(Box::new(ended));
        line.tag = self.epochs.current();
        line.told_ms = now_ms.saturating_sub(self.paused_ms);
        self.told.push_back((line.told_ms, key));
        self.open -= 1;
        Some(answer)
    }

    /// A caller asks for the answer: it stays whole for a while longer.
    pub fn touch(&mut self, now_ms: u64, key: Key) {
        if let Some(line) = self.lines.get_mut(key) {
            line.told_ms = now_ms.saturating_sub(self.paused_ms);
        }
    }

    /// This process stood still for so long, and nobody could ask for an answer.
    pub const fn exclude_pause(&mut self, paused_ms: u64) {
        self.paused_ms += paused_ms;
    }

    /// Keeps only summaries of answers that nobody was told or asked for in that time.
    pub fn compact(&mut self, now_ms: u64, whole_ms: u64) {
        let now_ms = now_ms.saturating_sub(self.paused_ms);
        while let Some((told_ms, key)) = self.told.front().copied() {
            if told_ms.saturating_add(whole_ms) > now_ms {
                return;
            }
            self.told.pop_front();
            let Some(line) = self.lines.get_mut(key) else {
                continue;
            };
            if line.told_ms > told_ms {
                self.told.push_back((line.told_ms, key));
            } else if let Submission::Ended(ended) = &line.submission {
                let summary = summary::Summary::from(ended.as_ref());
                line.submission = Submission::Summary(Box::new(summary));
            }
        }
    }

    /// Begins another epoch when it is time, and forgets what may be forgotten:
    /// what is over, and whose ticket would be refused if it came again.
    pub fn advance(&mut self, now_ms: u64, retain_ms: u64) {
        if !self.epochs.advance(now_ms, retain_ms) {
            return;
        }
        let epochs = self.epochs;
        let refusals = &mut self.refusals;
        self.lines.retain(|_, line| {
            let is_open = matches!(line.submission, Submission::Open(_));
            let is_kept = is_open || epochs.contains(line.tag);
            if !is_kept {
                *refusals -= usize::from(line.is_refusal);
            }
            is_kept
        });
        let lines = &self.lines;
        self.names.retain(|_, key| lines.contains_key(*key));
    }
}
