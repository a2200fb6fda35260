//! When open submissions are to be looked at again.
//!
//! Load pattern answered: a long queue. Without it every tick looks through all open
//! submissions, so the control thread pays most for the time when it has most to do.
//! Here a tick costs what is due, and one look for each kind of task that waits.

use std::collections;

use smol_str::SmolStr;

use crate::jobs;
use crate::jobs::table;

/// A time in monotonic milliseconds and the submission that it is about.
type Moment = (u64, table::Key);

/// A team's kind of tasks.
type Kind = (SmolStr, SmolStr);

/// Submissions with tasks of one kind.
#[derive(Debug, Default)]
struct Group {
    by_deadline: collections::BTreeSet<Moment>,
    /// Greatest run time declared by one that was in it since it was empty.
    longest_declared_ms: u64,
}

/// Open submissions, by the time at which something is due.
#[derive(Debug, Default)]
pub struct DueIndex {
    by_deadline: collections::BTreeSet<Moment>,
    by_kind: collections::HashMap<Kind, Group>,
    given_up: collections::BTreeSet<Moment>,
}

impl DueIndex {
    /// A submission was taken in.
    pub fn insert(&mut self, key: table::Key, open: &jobs::Open) {
        let moment = (open.header.deadline_ms, key);
        self.by_deadline.insert(moment);
        for task in distinct(open) {
            let kind = (open.header.team.clone(), task.kind.clone());
            let group = self.by_kind.entry(kind).or_default();
            group.by_deadline.insert(moment);
            let declared_ms = task.run_ms.into();
            group.longest_declared_ms = group.longest_declared_ms.max(declared_ms);
        }
    }

    /// A submission was given up, perhaps once more: its deadline counts no longer.
    pub fn give_up(&mut self, key: table::Key, open: &jobs::Open, at_ms: u64) {
        if self.forget_deadline(key, open) {
            self.given_up.insert((at_ms, key));
        }
    }

    /// A submission is over.
    pub fn remove(&mut self, key: table::Key, open: &jobs::Open) {
        self.forget_deadline(key, open);
        if let Some(reason) = open.give_up_reason() {
            self.given_up.remove(&(reason.at_ms, key));
        }
    }

    fn forget_deadline(&mut self, key: table::Key, open: &jobs::Open) -> bool {
        let moment = (open.header.deadline_ms, key);
        if !self.by_deadline.remove(&moment) {
            return false;
        }
        for task in distinct(open) {
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

    /// Submissions not given up whose deadline is over.
    pub fn overdue(&self, now_ms: u64) -> Vec<table::Key> {
        until(&self.by_deadline, now_ms).collect()
    }

    /// Submissions given up at that time or before.
    pub fn given_up_by(&self, at_ms: u64) -> Vec<table::Key> {
        until(&self.given_up, at_ms).collect()
    }

    /// Submissions not given up that have less time left than half of what one of their
    /// tasks may take, by `learned_ms` of a team, a kind and a declared run time.
    ///
    /// No estimate of a kind is greater than that of the greatest declaration or that
    /// of none, so what this leaves out has enough time left whatever it declared.
    pub fn near_deadline(
        &self,
        now_ms: u64,
        learned_ms: impl Fn(&SmolStr, &SmolStr, u64) -> Option<u64>,
    ) -> Vec<table::Key> {
        let mut found = collections::BTreeSet::new();
        for ((team, kind), group) in &self.by_kind {
            let declared = [0, group.longest_declared_ms];
            let longest = declared.map(|ms| learned_ms(team, kind, ms).unwrap_or(0));
            let half_ms = longest.into_iter().max().unwrap_or(0) / 2;
            if half_ms > 0 {
                let last_ms = now_ms.saturating_add(half_ms - 1);
                found.extend(until(&group.by_deadline, last_ms));
            }
        }
        found.into_iter().collect()
    }
}

/// Tasks of a submission that differ from the one before in kind or run time; of jobs
/// of equal tasks this is one.
fn distinct(open: &jobs::Open) -> impl Iterator<Item = &crate::api::Task> {
    let first = open.tasks.first().into_iter();
    let others = open.tasks.windows(2).filter_map(|pair| match pair {
        [before, task] if task.kind != before.kind || task.run_ms != before.run_ms => Some(task),
        _ => None,
    });
    first.chain(others)
}

fn until(
    moments: &collections::BTreeSet<Moment>,
    last_ms: u64,
) -> impl Iterator<Item = table::Key> {
    let due = moments
        .iter()
        .take_while(move |(at_ms, _)| *at_ms <= last_ms);
    due.map(|(_, key)| *key)
}
