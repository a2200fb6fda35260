//! Queue of the tasks that wait at an entry.
//!
//! Slot time is shared between teams by weight ([`share`]); within a team, tasks are ordered
//! by the time at which they should start ([`order`]). Without the shares a team that submits
//! ten times its share gets ten times the slots; without the order a task of 50 ms waits
//! behind minutes of other work. Both hold under a hot caller, a mix of long and short tasks,
//! bursts and waves of cancellations. The queue does not read the clock.
//! `docs/DECISIONS.md` has the measurements.

pub mod order;
pub mod share;

use std::collections;

use smol_str::SmolStr;

use crate::jobs;
use crate::settings;

pub use share::TeamKey;

/// A waiting task.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Item {
    /// The task.
    pub task: jobs::TaskKey,
    /// Team that is charged for its slot time.
    pub team: TeamKey,
    /// Expected run time in milliseconds.
    pub expected_ms: u64,
    /// Rank within the team, least first, see [`order::rank_ms`]. A task that comes back
    /// unstarted keeps its rank, and so its position.
    pub rank_ms: u64,
}

/// Rank, submission and index, by which the tasks of a team are sorted.
type Position = (u64, jobs::Key, u32);

#[derive(Clone, Copy, Debug)]
struct Waiting {
    team: TeamKey,
    expected_ms: u64,
    rank_ms: u64,
}

/// All waiting tasks of one entry.
///
/// The queue itself is unbounded; [`crate::admission`] limits what is pushed.
#[derive(Debug, Default)]
pub struct Queue {
    teams: share::Teams,
    by_team: slotmap::SecondaryMap<TeamKey, collections::BTreeSet<Position>>,
    /// Sorted by submission, so that removing one costs only its own tasks.
    waiting: collections::BTreeMap<(jobs::Key, u32), Waiting>,
    backlog_ms: u64,
}

impl Queue {
    /// Applies the weights and quotas of the settings.
    pub fn configure(&mut self, teams: &collections::BTreeMap<SmolStr, settings::Team>) {
        self.teams.configure(teams);
        let known = &self.teams;
        self.by_team.retain(|key, _| known.get(key).is_some());
    }

    /// Returns the key of a team, which is added if it is unknown.
    pub fn team_key(&mut self, name: &SmolStr) -> TeamKey {
        self.teams.key(name)
    }

    /// Returns the teams with their shares and backlogs.
    pub const fn teams(&self) -> &share::Teams {
        &self.teams
    }

    /// Number of waiting tasks.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no task waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Expected slot time of all waiting tasks, in milliseconds.
    pub const fn backlog_ms(&self) -> u64 {
        self.backlog_ms
    }

    /// Adds a task unless it is waiting already.
    pub fn push(&mut self, item: Item) {
        let team = self.teams.get(item.team);
        if team.is_some_and(|team| team.waiting == 0) {
            self.teams.raise_tag(item.team);
        }
        self.insert(item);
    }

    fn insert(&mut self, item: Item) {
        let id = (item.task.submission, item.task.index);
        if self.waiting.contains_key(&id) {
            return;
        }
        let Item {
            team,
            expected_ms,
            rank_ms,
            ..
        } = item;
        let Some(tasks) = self.by_team.entry(team) else {
            return;
        };
        tasks.or_default().insert((rank_ms, id.0, id.1));
        let waiting = Waiting {
            team,
            expected_ms,
            rank_ms,
        };
        self.waiting.insert(id, waiting);
        self.backlog_ms += expected_ms;
        self.teams.task_added(team, expected_ms);
    }

    /// Removes the next task and counts it as running.
    ///
    /// Returns `None` if no task waits, or only tasks of teams at their quota. The caller has
    /// to report the result: [`Self::put_back`] or [`Self::refund`] if the task was not sent,
    /// or else [`Self::started`] and later [`Self::released`].
    pub fn pop(&mut self) -> Option<Item> {
        let team = self.teams.next()?;
        let (_, submission, index) = *self.by_team.get(team)?.first()?;
        let item = self.remove_task(submission, index)?;
        self.teams.popped(team, item.expected_ms);
        Some(item)
    }

    /// Puts a popped task back and reverts the charge.
    pub fn put_back(&mut self, item: Item) {
        self.refund(&item);
        self.insert(item);
    }

    /// Refunds the charge for a popped task that will not run.
    pub fn refund(&mut self, item: &Item) {
        self.teams.released(item.team);
        self.teams.adjust_charge(item.team, item.expected_ms, 0);
    }

    /// Records that a popped task was sent to a runner.
    pub fn started(&mut self, item: &Item) {
        self.teams.started(item.team, item.expected_ms);
    }

    /// Records that a started task is no longer running.
    ///
    /// A team that was at its quota earns no credit for the time it could not use; otherwise
    /// it would take all slots for a while as soon as its quota is raised.
    pub fn released(&mut self, team: TeamKey) {
        let was_at_quota = self.teams.get(team).is_some_and(share::Team::is_at_quota);
        self.teams.released(team);
        if was_at_quota {
            self.teams.raise_tag(team);
        }
    }

    /// Corrects the charge for a task to its real run time in milliseconds, 0 if it did not run.
    pub fn adjust_charge(&mut self, team: TeamKey, charged_ms: u64, real_ms: u64) {
        self.teams.adjust_charge(team, charged_ms, real_ms);
    }

    /// Removes all waiting tasks of a submission.
    pub fn remove_submission(&mut self, key: jobs::Key) -> Vec<Item> {
        let range = self.waiting.range((key, 0)..=(key, u32::MAX));
        let indices: Vec<u32> = range.map(|((_, index), _)| *index).collect();
        indices
            .into_iter()
            .filter_map(|index| self.remove_task(key, index))
            .collect()
    }

    fn remove_task(&mut self, submission: jobs::Key, index: u32) -> Option<Item> {
        let Waiting {
            team,
            expected_ms,
            rank_ms,
        } = self.waiting.remove(&(submission, index))?;
        if let Some(tasks) = self.by_team.get_mut(team) {
            tasks.remove(&(rank_ms, submission, index));
        }
        self.backlog_ms -= expected_ms;
        self.teams.task_removed(team, expected_ms);
        Some(Item {
            task: jobs::TaskKey { submission, index },
            team,
            expected_ms,
            rank_ms,
        })
    }
}
