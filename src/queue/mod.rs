//! Tasks that wait at an entry, and whose turn it is.
//!
//! Load patterns answered: a hot caller beside well-behaved teams, long tasks among
//! short ones, bursts, and waves of cancellations. Between teams the slot time is
//! shared by weight ([`share`]); within a team the jobs go by the time at which they
//! should start ([`order`]). Without the first a team that sends ten times its share
//! gets ten times the slots; without the second a task of 50 ms waits behind minutes
//! of others. Nothing here looks at a clock. `docs/DECISIONS.md` has the figures.

pub mod order;
pub mod share;

use std::collections;

use smol_str::SmolStr;

use crate::jobs;
use crate::settings;

pub use share::TeamKey;

/// One waiting task.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Item {
    /// Which.
    pub task: jobs::TaskKey,
    /// Who pays.
    pub team: TeamKey,
    /// Expected run time in milliseconds.
    pub expected_ms: u64,
    /// Its place within its team, see [`order::rank_ms`]; the least goes first. A
    /// task that comes back unstarted has the same rank again, and so its place.
    pub rank_ms: u64,
}

/// Place of a task within its team's line.
type Place = (u64, jobs::Key, u32);

#[derive(Clone, Copy, Debug)]
struct Waiting {
    team: TeamKey,
    expected_ms: u64,
    rank_ms: u64,
}

/// All waiting tasks of one entry.
///
/// It takes whatever is pushed; [`crate::admission`] keeps it within its bounds.
#[derive(Debug, Default)]
pub struct Queue {
    teams: share::Teams,
    lines: slotmap::SecondaryMap<TeamKey, collections::BTreeSet<Place>>,
    /// By submission, so that one is removed in the time of its own tasks.
    waiting: collections::BTreeMap<(jobs::Key, u32), Waiting>,
    backlog_ms: u64,
}

impl Queue {
    /// Takes over weights and quotas.
    pub fn configure(&mut self, teams: &collections::BTreeMap<SmolStr, settings::Team>) {
        self.teams.configure(teams);
        let known = &self.teams;
        self.lines.retain(|key, _| known.get(key).is_some());
    }

    /// The key of a team.
    pub fn team_key(&mut self, name: &SmolStr) -> TeamKey {
        self.teams.key(name)
    }

    /// The teams, their shares and what waits for each.
    pub const fn teams(&self) -> &share::Teams {
        &self.teams
    }

    /// How many wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Slot time that all waiting tasks are expected to take, in milliseconds.
    pub const fn backlog_ms(&self) -> u64 {
        self.backlog_ms
    }

    /// Adds a task; one that waits already is not added twice.
    pub fn push(&mut self, item: Item) {
        let team = self.teams.get(item.team);
        if team.is_some_and(|team| team.waiting == 0) {
            self.teams.raise_tag(item.team);
        }
        self.insert(item);
    }

    fn insert(&mut self, item: Item) {
        let at = (item.task.submission, item.task.index);
        if self.waiting.contains_key(&at) {
            return;
        }
        let Item {
            team,
            expected_ms,
            rank_ms,
            ..
        } = item;
        let Some(line) = self.lines.entry(team) else {
            return;
        };
        line.or_default().insert((rank_ms, at.0, at.1));
        let waiting = Waiting {
            team,
            expected_ms,
            rank_ms,
        };
        self.waiting.insert(at, waiting);
        self.backlog_ms += expected_ms;
        self.teams.arrived(team, expected_ms);
    }

    /// Takes the task whose turn it is and counts it as running; `None` when nothing
    /// waits but tasks of teams at their quota.
    ///
    /// What becomes of it is told by [`Self::put_back`], or by [`Self::started`] and
    /// later [`Self::released`].
    pub fn pop(&mut self) -> Option<Item> {
        let team = self.teams.next()?;
        let (_, submission, index) = *self.lines.get(team)?.first()?;
        let item = self.take(submission, index)?;
        self.teams.taken(team, item.expected_ms);
        Some(item)
    }

    /// Puts back a task just popped, as if it had not been.
    pub fn put_back(&mut self, item: Item) {
        self.refund(&item);
        self.insert(item);
    }

    /// A popped task will not run: its team gets back what it was charged.
    pub fn refund(&mut self, item: &Item) {
        self.teams.released(item.team);
        self.teams.adjust_charge(item.team, item.expected_ms, 0);
    }

    /// A popped task was handed out.
    pub fn started(&mut self, item: &Item) {
        self.teams.started(item.team, item.expected_ms);
    }

    /// A task that was handed out is not running any more.
    ///
    /// A team that was at its quota saved up no turns by that: else it would take all
    /// slots for a while as soon as its quota is raised.
    pub fn released(&mut self, team: TeamKey) {
        let was_at_quota = self.teams.get(team).is_some_and(share::Team::is_at_quota);
        self.teams.released(team);
        if was_at_quota {
            self.teams.raise_tag(team);
        }
    }

    /// A task took another time than its team was charged for; 0 if it did not run.
    pub fn adjust_charge(&mut self, team: TeamKey, charged_ms: u64, real_ms: u64) {
        self.teams.adjust_charge(team, charged_ms, real_ms);
    }

    /// Takes out all tasks of a submission.
    pub fn remove_submission(&mut self, key: jobs::Key) -> Vec<Item> {
        let range = self.waiting.range((key, 0)..=(key, u32::MAX));
        let indices: Vec<u32> = range.map(|((_, index), _)| *index).collect();
        indices
            .into_iter()
            .filter_map(|index| self.take(key, index))
            .collect()
    }

    fn take(&mut self, submission: jobs::Key, index: u32) -> Option<Item> {
        let Waiting {
            team,
            expected_ms,
            rank_ms,
        } = self.waiting.remove(&(submission, index))?;
        if let Some(line) = self.lines.get_mut(team) {
            line.remove(&(rank_ms, submission, index));
        }
        self.backlog_ms -= expected_ms;
        self.teams.left(team, expected_ms);
        Some(Item {
            task: jobs::TaskKey { submission, index },
            team,
            expected_ms,
            rank_ms,
        })
    }
}
