//! All submissions of one life of an entry, under small keys.

use std::collections;

use smol_str::SmolStr;

use crate::api;
use crate::codes;
use crate::ids;
use crate::jobs;
use crate::jobs::due;
use crate::window;

slotmap::new_key_type! {
    /// Key of a submission; never valid for another one.
    pub struct Key;
}

/// A submission in either part of its life.
#[derive(Clone, Debug)]
pub enum Submission {
    /// Not all tasks are decided.
    Open(jobs::Open),
    /// Over.
    Ended(jobs::Ended),
}

impl Submission {
    /// What stays the same through both parts.
    pub const fn header(&self) -> &jobs::Header {
        match self {
            Self::Open(open) => &open.header,
            Self::Ended(ended) => &ended.header,
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
    is_refusal: bool,
}

/// Most refusals remembered beside the submissions taken in.
pub const MAX_REFUSALS: usize = 20_000;

/// The submissions.
#[derive(Debug)]
pub struct Table {
    epochs: window::Epochs,
    lines: slotmap::SlotMap<Key, Line>,
    names: collections::HashMap<Name, Key>,
    due: due::Due,
    open: usize,
    refusals: usize,
}

impl Table {
    /// Starts empty, in the first epoch.
    pub fn new(now_ms: u64) -> Self {
        Self {
            epochs: window::Epochs::new(now_ms),
            lines: slotmap::SlotMap::with_key(),
            names: collections::HashMap::new(),
            due: due::Due::default(),
            open: 0,
            refusals: 0,
        }
    }

    /// The epochs by which tickets are minted and checked.
    pub const fn epochs(&self) -> window::Epochs {
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
            Submission::Ended(_) => None,
        }
    }

    /// Which submissions are to be looked at again.
    pub const fn due(&self) -> &due::Due {
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
        if let Some(verdict) = open.verdict() {
            self.due.give_up(key, open, verdict.at_ms);
        }
    }

    /// Changes an open submission; what may give it up goes through [`Table::give_up`]
    /// and [`Table::decide`].
    pub fn open_mut(&mut self, key: Key) -> Option<&mut jobs::Open> {
        match &mut self.lines.get_mut(key)?.submission {
            Submission::Open(open) => Some(open),
            Submission::Ended(_) => None,
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
                submission: Submission::Open(open),
                tag,
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
    pub fn refuse(&mut self, header: jobs::Header, answer: api::Answer) -> bool {
        if self.refusals >= MAX_REFUSALS {
            return false;
        }
        let name = (header.team.clone(), header.id.clone());
        let tag = self.epochs.current();
        let submission = Submission::Ended(jobs::Ended { header, answer });
        let key = self.lines.insert(Line {
            submission,
            tag,
            is_refusal: true,
        });
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
        line.submission = Submission::Ended(ended);
        line.tag = self.epochs.current();
        self.open -= 1;
        Some(answer)
    }

    /// Begins another epoch when it is time, and forgets what may be forgotten:
    /// what is over, and whose ticket would be refused if it came again.
    pub fn advance(&mut self, now_ms: u64, retain_ms: u64) {
        if !self.epochs.advance(now_ms, retain_ms) {
            return;
        }
        let epochs = self.epochs;
        let names = &mut self.names;
        let refusals = &mut self.refusals;
        self.lines.retain(|_, line| {
            let is_open = matches!(line.submission, Submission::Open(_));
            let is_kept = is_open || epochs.contains(line.tag);
            if !is_kept {
                let header = line.submission.header();
                names.remove(&(header.team.clone(), header.id.clone()));
                *refusals -= usize::from(line.is_refusal);
            }
            is_kept
        });
    }
}
