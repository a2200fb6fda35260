//! Shares of the teams: start-time fair queueing over slot time.
//!
//! Each team has a tag, the slot time it has received divided by its weight; the team with the
//! least tag goes next. A team that was idle continues at the tag of the last started task, so
//! it neither gets credit for unused time nor is put at a disadvantage. No slot is reserved
//! for a team that has nothing waiting.

use std::collections;

use smol_str::SmolStr;

use crate::settings;

slotmap::new_key_type! {
    /// Key of a team at one entry.
    pub struct TeamKey;
}

/// Tag units per millisecond of slot time at weight 1; fine enough that the largest weight,
/// 1000, still resolves a millisecond.
const TAG_UNITS_PER_MS: u64 = 1_000;

/// Share, backlog and running tasks of one team.
#[derive(Clone, Debug)]
pub struct Team {
    name: SmolStr,
    weight: u64,
    max_running: u32,
    /// Received slot time over the weight, in tag units.
    tag: u64,
    /// Tag under which the team is in `Teams::ready`.
    ready_tag: Option<u64>,
    /// Number of waiting tasks.
    pub waiting: usize,
    /// Expected slot time of the waiting tasks, in milliseconds.
    pub backlog_ms: u64,
    /// Number of tasks that were popped and have not been released.
    pub running: u32,
}

impl Team {
    fn cost(&self, ms: u64) -> u64 {
        ms.max(1).saturating_mul(TAG_UNITS_PER_MS) / self.weight
    }

    const fn is_ready(&self) -> bool {
        self.waiting > 0 && !self.is_at_quota()
    }

    /// Whether the team runs as many tasks as its quota allows.
    pub(super) const fn is_at_quota(&self) -> bool {
        self.running >= self.max_running
    }

    const fn is_idle(&self) -> bool {
        self.waiting == 0 && self.running == 0
    }
}

/// The teams of one entry.
#[derive(Debug, Default)]
pub struct Teams {
    teams: slotmap::SlotMap<TeamKey, Team>,
    by_name: collections::HashMap<SmolStr, TeamKey>,
    /// Teams that have a task to start, sorted by their tags.
    ready: collections::BTreeSet<(u64, TeamKey)>,
    /// Start tag of the last started task.
    virtual_time: u64,
}

impl Teams {
    /// Applies the weights and quotas of the settings, and drops idle teams that are no longer in
    /// them.
    pub fn configure(&mut self, settings: &collections::BTreeMap<SmolStr, settings::Team>) {
        for (name, team) in settings {
            let key = self.key(name);
            let current = &mut self.teams[key];
            current.weight = u64::from(team.weight).max(1);
            current.max_running = team.max_running;
            self.update_ready(key);
        }
        let is_gone = |team: &Team| !settings.contains_key(&team.name) && team.is_idle();
        self.by_name.retain(|_, key| !is_gone(&self.teams[*key]));
        self.teams.retain(|_, team| !is_gone(team));
    }

    /// Returns the key of a team; a team that is not in the settings is added with defaults.
    pub fn key(&mut self, name: &SmolStr) -> TeamKey {
        if let Some(key) = self.by_name.get(name) {
            return *key;
        }
        let default = settings::Team::default();
        let key = self.teams.insert(Team {
            name: name.clone(),
            weight: default.weight.into(),
            max_running: default.max_running,
            tag: self.virtual_time,
            ready_tag: None,
            waiting: 0,
            backlog_ms: 0,
            running: 0,
        });
        self.by_name.insert(name.clone(), key);
        key
    }

    /// Returns a team by its name.
    pub fn find(&self, name: &str) -> Option<&Team> {
        self.get(*self.by_name.get(name)?)
    }

    /// Returns a team by its key.
    pub fn get(&self, key: TeamKey) -> Option<&Team> {
        self.teams.get(key)
    }

    /// Returns the fraction of the slots that a team is entitled to now, above 0 and at most 1.
    pub fn share(&self, name: &str) -> f64 {
        let own = self.find(name).map_or(1, |team| team.weight);
        let is_other = |team: &&Team| team.waiting > 0 && team.name != name;
        let others = self.teams.values().filter(is_other);
        let others: u64 = others.map(|team| team.weight).sum();
        own as f64 / (own + others) as f64
    }

    /// Returns the team that goes next.
    pub fn next(&self) -> Option<TeamKey> {
        self.ready.first().map(|(_, key)| *key)
    }

    /// Raises the tag of a team to the virtual time, which drops the credit for slot time that
    /// it did not use.
    pub(super) fn raise_tag(&mut self, key: TeamKey) {
        let virtual_time = self.virtual_time;
        if let Some(team) = self.teams.get_mut(key) {
            team.tag = team.tag.max(virtual_time);
        }
        self.update_ready(key);
    }

    pub(super) fn task_added(&mut self, key: TeamKey, expected_ms: u64) {
        if let Some(team) = self.teams.get_mut(key) {
            team.waiting += 1;
            team.backlog_ms += expected_ms;
        }
        self.update_ready(key);
    }

    pub(super) fn task_removed(&mut self, key: TeamKey, expected_ms: u64) {
        if let Some(team) = self.teams.get_mut(key) {
            team.waiting -= 1;
            team.backlog_ms -= expected_ms;
        }
        self.update_ready(key);
    }

    pub(super) fn popped(&mut self, key: TeamKey, expected_ms: u64) {
        if let Some(team) = self.teams.get_mut(key) {
            team.running += 1;
            team.tag = team.tag.saturating_add(team.cost(expected_ms));
        }
        self.update_ready(key);
    }

    /// Advances the virtual time to the start tag of a started task.
    ///
    /// A task that was popped and put back does not advance it; otherwise its cost would
    /// set back teams that were idle.
    pub(super) fn started(&mut self, key: TeamKey, expected_ms: u64) {
        let Some(team) = self.teams.get(key) else {
            return;
        };
        let start_tag = team.tag.saturating_sub(team.cost(expected_ms));
        self.virtual_time = self.virtual_time.max(start_tag);
    }

    pub(super) fn released(&mut self, key: TeamKey) {
        if let Some(team) = self.teams.get_mut(key) {
            team.running = team.running.saturating_sub(1);
        }
        self.update_ready(key);
    }

    pub(super) fn adjust_charge(&mut self, key: TeamKey, charged_ms: u64, real_ms: u64) {
        if let Some(team) = self.teams.get_mut(key) {
            let real = if real_ms == 0 { 0 } else { team.cost(real_ms) };
            team.tag = team.tag.saturating_add(real);
            team.tag = team.tag.saturating_sub(team.cost(charged_ms));
        }
        self.update_ready(key);
    }

    /// Updates the position of a team in `Teams::ready`.
    fn update_ready(&mut self, key: TeamKey) {
        let Some(team) = self.teams.get_mut(key) else {
            return;
        };
        if let Some(tag) = team.ready_tag.take() {
            self.ready.remove(&(tag, key));
        }
        if team.is_ready() {
            team.ready_tag = Some(team.tag);
            self.ready.insert((team.tag, key));
        }
    }
}
