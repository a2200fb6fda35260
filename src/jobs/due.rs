//! Index of open submissions by the time at which a tick has to act on them.
//!
//! Without the index every tick scans all open submissions, which costs the control thread
//! most when the queue is long. With it the cost of a tick grows with the number of due
//! submissions and of kinds of tasks, not with the length of the queue.

use std::collections;

use smol_str::SmolStr;

use crate::jobs;
use crate::jobs::table;

/// Time in monotonic milliseconds and the submission that is due at it.
type Moment = (u64, table::Key);

/// Team and kind of tasks.
type Kind = (SmolStr, SmolStr);

/// Submissions that have tasks of one kind.
#[derive(Debug, Default)]
struct Group {
    by_deadline: collections::BTreeSet<Moment>,
    /// Longest run time declared by any submission in the group since it was last empty.
    longest_declared_ms: u64,
}

/// Open submissions, sorted by the time at which they are due.
#[derive(Debug, Default)]
pub struct DueIndex {
    by_deadline: collections::BTreeSet<Moment>,
    by_kind: collections::HashMap<Kind, Group>,
    given_up: collections::BTreeSet<Moment>,
}

impl DueIndex {
    /// Adds a submission.
    pub fn insert(&mut self, key: table::Key, open: &jobs::Open) {
        let moment = (open.header.deadline_ms, key);
        self.by_deadline.insert(moment);
        for task in distinct_tasks(open) {
            let kind = (open.header.team.clone(), task.kind.clone());
            let group = self.by_kind.entry(kind).or_default();
            group.by_deadline.insert(moment);
            let declared_ms = task.run_ms.into();
            group.longest_declared_ms = group.longest_declared_ms.max(declared_ms);
        }
    }

    /// Moves a submission from the deadlines to the given-up set, unless it is there already.
    pub fn give_up(&mut self, key: table::Key, open: &jobs::Open, at_ms: u64) {
        if self.remove_deadline(key, open) {
            self.given_up.insert((at_ms, key));
        }
    }

    /// Removes a submission that has ended.
    pub fn remove(&mut self, key: table::Key, open: &jobs::Open) {
        self.remove_deadline(key, open);
        if let Some(reason) = open.give_up_reason() {
            self.given_up.remove(&(reason.at_ms, key));
        }
    }

    fn remove_deadline(&mut self, key: table::Key, open: &jobs::Open) -> bool {
        let moment = (open.header.deadline_ms, key);
        if !self.by_deadline.remove(&moment) {
            return false;
        }
        for task in distinct_tasks(open) {
            let kind = (open.header.team.clone(), task.kind.clone());
            let Some(group) = self.by_kind.get_mut(&kind) else {
                continue;
            };
            group.by_deadline.remove(&moment);
            if group.by_deadline.is_empty() {
                self.by_kind.remove(&kind);
            }
        }
        true
    }

    /// Returns the submissions that are past their deadline and not given up.
    pub fn overdue(&self, now_ms: u64) -> Vec<table::Key> {
        due_until(&self.by_deadline, now_ms).collect()
    }

    /// Returns the submissions that were given up at `at_ms` or earlier.
    pub fn given_up_by(&self, at_ms: u64) -> Vec<table::Key> {
        due_until(&self.given_up, at_ms).collect()
    }

    /// Returns the submissions whose remaining time may be below half of the learned run time
    /// of one of their tasks, and that are not given up.
    ///
    /// `learned_ms` returns the learned run time for a team, a kind and a declared run time.
    /// The estimate for a kind is greatest either for the longest declaration or for none, so
    /// a submission that is not returned has enough time left whatever it declared. The
    /// caller checks the returned ones against their own tasks.
    pub fn near_deadline(
        &self,
        now_ms: u64,
        learned_ms: impl Fn(&SmolStr, &SmolStr, u64) -> Option<u64>,
    ) -> Vec<table::Key> {
        let mut keys = collections::BTreeSet::new();
        for ((team, kind), group) in &self.by_kind {
            let declared = [0, group.longest_declared_ms];
            let longest = declared.map(|ms| learned_ms(team, kind, ms).unwrap_or(0));
            let half_ms = longest.into_iter().max().unwrap_or(0) / 2;
            if half_ms > 0 {
                let last_ms = now_ms.saturating_add(half_ms - 1);
                keys.extend(due_until(&group.by_deadline, last_ms));
            }
        }
        keys.into_iter().collect()
    }
}

/// Returns the first task of a submission and each that differs from its predecessor in kind
/// or declared run time; for a job of equal tasks this is a single task.
fn distinct_tasks(open: &jobs::Open) -> impl Iterator<Item = &crate::api::Task> {
    let first = open.tasks.first().into_iter();
    let others = open.tasks.windows(2).filter_map(|pair| match pair {
        [before, task] if task.kind != before.kind || task.run_ms != before.run_ms => Some(task),
        _ => None,
    });
    first.chain(others)
}

fn due_until(
    moments: &collections::BTreeSet<Moment>,
    last_ms: u64,
) -> impl Iterator<Item = table::Key> {
    let due = moments
        .iter()
        .take_while(move |(at_ms, _)| *at_ms <= last_ms);
    due.map(|(_, key)| *key)
}
