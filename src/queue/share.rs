//! Whose turn it is between teams: start-time fair queuing over slot time.
//!
//! Each team has a tag, the slot time it was given over its weight; the least tag
//! goes next. A team that was idle starts at the tag of the task last handed out,
//! so it is neither owed the time it did not use nor behind those that did. Slots
//! are never kept for a team that has nothing waiting.

use std::collections;

use smol_str::SmolStr;

use crate::settings;

slotmap::new_key_type! {
    /// Key of a team at one entry.
    pub struct TeamKey;
}

/// Units of a tag per millisecond of slot time at weight 1; divisible enough that
/// the largest weight, 1000, still resolves a millisecond.
const UNITS_PER_MS: u64 = 1_000;

/// One team's share and what it has here.
#[derive(Clone, Debug)]
pub struct Team {
    name: SmolStr,
    weight: u64,
    max_running: u32,
    tag: u64,
    listed: Option<u64>,
    /// Tasks that wait.
    pub waiting: usize,
    /// Expected slot time of those, in milliseconds.
    pub backlog_ms: u64,
    /// Tasks handed out.
    pub running: u32,
}

impl Team {
    fn cost(&self, ms: u64) -> u64 {
        ms.max(1).saturating_mul(UNITS_PER_MS) / self.weight
    }

    const fn is_ready(&self) -> bool {
        self.waiting > 0 && !self.is_at_quota()
    }

    /// Whether it has as much handed out as it may.
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
    /// Teams with something to hand out, by their tags.
    ready: collections::BTreeSet<(u64, TeamKey)>,
    /// Tag of the task last handed out.
    virtual_time: u64,
}

impl Teams {
    /// Takes over weights and quotas, and forgets idle teams that are gone.
    pub fn configure(&mut self, settings: &collections::BTreeMap<SmolStr, settings::Team>) {
        for (name, team) in settings {
            let key = self.key(name);
            let known = &mut self.teams[key];
            known.weight = u64::from(team.weight).max(1);
            known.max_running = team.max_running;
            self.refresh(key);
        }
        let is_gone = |team: &Team| !settings.contains_key(&team.name) && team.is_idle();
        self.by_name.retain(|_, key| !is_gone(&self.teams[*key]));
        self.teams.retain(|_, team| !is_gone(team));
    }

    /// The key of a team, known from the settings or not.
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
            listed: None,
            waiting: 0,
            backlog_ms: 0,
            running: 0,
        });
        self.by_name.insert(name.clone(), key);
        key
    }

    /// Finds a team by its name.
    pub fn find(&self, name: &str) -> Option<&Team> {
        self.get(*self.by_name.get(name)?)
    }

    /// Looks at a team.
    pub fn get(&self, key: TeamKey) -> Option<&Team> {
        self.teams.get(key)
    }

    /// The part of the slots that a team would get now, above 0 and at most 1.
    pub fn share(&self, name: &str) -> f64 {
        let own = self.find(name).map_or(1, |team| team.weight);
        let is_other = |team: &&Team| team.waiting > 0 && team.name != name;
        let others = self.teams.values().filter(is_other);
        let others: u64 = others.map(|team| team.weight).sum();
        own as f64 / (own + others) as f64
    }

    /// The team whose turn it is.
    pub fn next(&self) -> Option<TeamKey> {
        self.ready.first().map(|(_, key)| *key)
    }

    /// A team had nothing that it was kept from handing out: it begins again at the
    /// virtual time, and what it did not use is not owed.
    pub(super) fn raise_tag(&mut self, key: TeamKey) {
        let virtual_time = self.virtual_time;
        if let Some(team) = self.teams.get_mut(key) {
            team.tag = team.tag.max(virtual_time);
        }
        self.refresh(key);
    }

    pub(super) fn arrived(&mut self, key: TeamKey, expected_ms: u64) {
        if let Some(team) = self.teams.get_mut(key) {
            team.waiting += 1;
            team.backlog_ms += expected_ms;
        }
        self.refresh(key);
    }

    pub(super) fn left(&mut self, key: TeamKey, expected_ms: u64) {
        if let Some(team) = self.teams.get_mut(key) {
            team.waiting -= 1;
            team.backlog_ms -= expected_ms;
        }
        self.refresh(key);
    }

    pub(super) fn taken(&mut self, key: TeamKey, expected_ms: u64) {
        if let Some(team) = self.teams.get_mut(key) {
            team.running += 1;
            team.tag = team.tag.saturating_add(team.cost(expected_ms));
        }
        self.refresh(key);
    }

    /// Only what was really handed out moves the virtual time: a task that was
    /// looked at and put back would else set returning teams back by its cost.
    pub(super) fn started(&mut self, key: TeamKey, expected_ms: u64) {
        let Some(team) = self.teams.get(key) else {
            return;
        };
        let began = team.tag.saturating_sub(team.cost(expected_ms));
        self.virtual_time = self.virtual_time.max(began);
    }

    pub(super) fn released(&mut self, key: TeamKey) {
        if let Some(team) = self.teams.get_mut(key) {
            team.running = team.running.saturating_sub(1);
        }
        self.refresh(key);
    }

    pub(super) fn adjust_charge(&mut self, key: TeamKey, charged_ms: u64, real_ms: u64) {
        if let Some(team) = self.teams.get_mut(key) {
            let real = if real_ms == 0 { 0 } else { team.cost(real_ms) };
            team.tag = team.tag.saturating_add(real);
            team.tag = team.tag.saturating_sub(team.cost(charged_ms));
        }
        self.refresh(key);
    }

    fn refresh(&mut self, key: TeamKey) {
        let Some(team) = self.teams.get_mut(key) else {
            return;
        };
        if let Some(tag) = team.listed.take() {
            self.ready.remove(&(tag, key));
        }
        if team.is_ready() {
            team.listed = Some(team.tag);
            self.ready.insert((team.tag, key));
        }
    }
}
