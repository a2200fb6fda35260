//! What goes wrong, and what operators do.

use std::sync;

use rand::Rng as _;
use smol_str::SmolStr;

use bulrushtiller::entry::attempts;
use bulrushtiller::ids;
use bulrushtiller::settings;

use crate::sim;
use crate::sim::events;
use crate::sim::world;

/// How long a settings change takes to be in force, at most: heartbeat and fetch.
const SETTINGS_US: u64 = 600_000;

impl world::World<'_> {
    pub(super) fn fault(&mut self, fault: sim::Fault) {
        match fault {
            sim::Fault::Slow { runner, factor, .. } => self.speeds[runner] = factor,
            sim::Fault::FailsAll { runner, .. } => self.fails_all[runner] = true,
            sim::Fault::Frozen { runner, .. } => self.frozen[runner] = true,
            sim::Fault::Died { runner, .. } => self.runner_dies(runner),
            sim::Fault::Stuck { runner, .. } => self.stuck[runner] = true,
            sim::Fault::Well { runner, .. } => {
                self.speeds[runner] = 1.0;
                self.fails_all[runner] = false;
                self.stuck[runner] = false;
            }
            sim::Fault::EntryKilled { entry, .. } => self.kill_entry(entry),
            sim::Fault::EntryFrozen { entry, for_ms, .. } => self.freeze_entry(entry, for_ms),
            sim::Fault::ZoneOut { zone, .. } => {
                self.out_since.insert(zone.clone(), self.now_us);
                self.change_zone(zone, true);
            }
            sim::Fault::ZoneIn { zone, .. } => {
                self.out_since.remove(&zone);
                self.change_zone(zone, false);
            }
        }
    }

    /// Every connection to the runner breaks, so the entries know at once that what ran
    /// on it may have run, and ask in vain what came of it.
    fn runner_dies(&mut self, runner: usize) {
        self.frozen[runner] = true;
        self.died[runner] = true;
        let mut running = self.runners[runner].running_attempts();
        running.sort_unstable();
        for attempt in running {
            self.call_fails(runner, attempt, attempts::DispatchError::Lost);
        }
    }

    pub(super) fn call_fails(
        &mut self,
        runner: usize,
        attempt: ids::Attempt,
        fault: attempts::DispatchError,
    ) {
        if let Some(entry) = self.owner_of(attempt) {
            self.reply(runner, entry, events::ToEntry::Failed(attempt, fault));
        }
    }

    /// Each process hears of the change at its own time.
    pub(super) fn change_zone(&mut self, zone: SmolStr, out: bool) {
        self.settings.zones.insert(zone, settings::Zone { out });
        self.revision += 1;
        let settings = sync::Arc::new(self.settings.clone());
        let entries = (0..self.entries.len()).map(events::Target::Entry);
        let targets: Vec<_> = entries
            .chain((0..self.runners.len()).map(events::Target::Runner))
            .collect();
        for target in targets {
            let at_us = self.now_us + self.rng.random_range(0..SETTINGS_US);
            let settings = sync::Arc::clone(&settings);
            let revision = self.revision;
            self.at(
                at_us,
                events::Event::ApplySettings {
                    target,
                    settings,
                    revision,
                },
            );
        }
    }

    pub(super) fn apply(
        &mut self,
        target: events::Target,
        settings: sync::Arc<settings::Settings>,
        revision: u64,
    ) {
        let now_ms = self.now_ms();
        match target {
            events::Target::Entry(entry) => {
                let actions = self.entries[entry].set_settings(now_ms, settings, Some(revision));
                self.act(entry, actions);
            }
            events::Target::Runner(index) => {
                self.applied[index] = revision;
                let actions = self.runners[index].set_settings(settings);
                self.runner_acts(index, actions);
            }
        }
    }
}
