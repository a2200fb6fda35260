//! Tasks that wait at an entry, and whose turn it is.

use std::collections;

use smol_str::SmolStr;

use crate::jobs;

/// One waiting task.
#[derive(Clone, Debug, PartialEq)]
pub struct Item {
    /// Which.
    pub task: jobs::TaskKey,
    /// Who pays.
    pub team: SmolStr,
    /// Expected run time in milliseconds.
    pub expected_ms: u64,
    /// When it came to wait, monotonic milliseconds.
    pub since_ms: u64,
}

/// All waiting tasks of one entry.
#[derive(Debug, Default)]
pub struct Queue {
    items: collections::VecDeque<Item>,
    by_team: collections::HashMap<SmolStr, usize>,
    backlog_ms: u64,
}

impl Queue {
    /// How many wait.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// How many wait for a team.
    pub fn len_of(&self, team: &str) -> usize {
        self.by_team.get(team).copied().unwrap_or(0)
    }

    /// Slot time that all waiting tasks are expected to take, in milliseconds.
    pub const fn backlog_ms(&self) -> u64 {
        self.backlog_ms
    }

    /// Adds a task.
    pub fn push(&mut self, item: Item) {
        self.count_in(&item);
        self.items.push_back(item);
    }

    /// Puts back a task whose turn it was.
    pub fn push_front(&mut self, item: Item) {
        self.count_in(&item);
        self.items.push_front(item);
    }

    /// Takes the task whose turn it is.
    pub fn pop(&mut self, _now_ms: u64) -> Option<Item> {
        let item = self.items.pop_front()?;
        self.count_out(&item);
        Some(item)
    }

    /// Takes out all tasks of a submission.
    pub fn remove_submission(&mut self, key: jobs::Key) -> Vec<Item> {
        let (gone, kept): (Vec<_>, Vec<_>) = self
            .items
            .drain(..)
            .partition(|item| item.task.submission == key);
        self.items = kept.into();
        for item in &gone {
            self.count_out(item);
        }
        gone
    }

    fn count_in(&mut self, item: &Item) {
        *self.by_team.entry(item.team.clone()).or_default() += 1;
        self.backlog_ms += item.expected_ms;
    }

    fn count_out(&mut self, item: &Item) {
        self.backlog_ms -= item.expected_ms;
        if let Some(count) = self.by_team.get_mut(&item.team) {
            *count -= 1;
            if *count == 0 {
                self.by_team.remove(&item.team);
            }
        }
    }
}
