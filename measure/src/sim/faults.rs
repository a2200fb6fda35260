//! Faults and operator actions.

use std::sync;

use rand::Rng as _;
use smol_str::SmolStr;

use bulrushtiller::entry::attempts;
use bulrushtiller::ids;
use bulrushtiller::settings;

use crate::sim;
use crate::sim::events;
use crate::sim::world;

/// Maximum time until a settings change is in force: one heartbeat and one fetch.
const MAX_SETTINGS_DELAY_US: u64 = 600_000;

impl world::World<'_> {
    pub(super) fn fault(&mut self, fault: sim::Fault) {
        match fault {
            sim::Fault::Slow { runner, factor, .. } => self.slowdowns[runner] = factor,
            sim::Fault::FailsAll { runner, .. } => self.fails_all[runner] = true,
            sim::Fault::Suspended { runner, .. } => self.suspended[runner] = true,
            sim::Fault::Crashed { runner, .. } => self.crash_runner(runner),
            sim::Fault::Stuck { runner, .. } => self.stuck[runner] = true,
            sim::Fault::Recovered { runner, .. } => {
                self.slowdowns[runner] = 1.0;
                self.fails_all[runner] = false;
                self.stuck[runner] = false;
            }
            sim::Fault::EntryKilled { entry, .. } => self.kill_entry(entry),
            sim::Fault::EntrySuspended { entry, for_ms, .. } => self.suspend_entry(entry, for_ms),
            sim::Fault::ZoneOut { zone, .. } => {
                self.zone_out_since_us.insert(zone.clone(), self.now_us);
                self.set_zone(zone, true);
            }
            sim::Fault::ZoneIn { zone, .. } => {
                self.zone_out_since_us.remove(&zone);
                self.set_zone(zone, false);
            }
        }
    }

    /// Crashes a runner. All connections to it break, so the entries learn at once that
    /// its running tasks may have run, and their fence requests get no answer.
    fn crash_runner(&mut self, runner: usize) {
        self.suspended[runner] = true;
        self.crashed[runner] = true;
        let mut running = self.runners[runner].running_attempts();
        running.sort_unstable();
        for attempt in running {
            self.fail_dispatch(runner, attempt, attempts::DispatchError::Lost);
        }
    }

    pub(super) fn fail_dispatch(
        &mut self,
        runner: usize,
        attempt: ids::Attempt,
        error: attempts::DispatchError,
    ) {
        if let Some(entry) = self.owner_of(attempt) {
            self.reply(runner, entry, events::ToEntry::Failed(attempt, error));
        }
    }

    /// Changes a zone in the settings; each process applies the change after its own
    /// delay.
    pub(super) fn set_zone(&mut self, zone: SmolStr, out: bool) {
        self.settings.zones.insert(zone, settings::Zone { out });
        self.revision += 1;
        let settings = sync::Arc::new(self.settings.clone());
        let entries = (0..self.entries.len()).map(events::Target::Entry);
        let targets: Vec<_> = entries
            .chain((0..self.runners.len()).map(events::Target::Runner))
            .collect();
        for target in targets {
            let at_us = self.now_us + self.rng.random_range(0..MAX_SETTINGS_DELAY_US);
            let settings = sync::Arc::clone(&settings);
            let revision = self.revision;
            self.schedule(
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
                self.perform(entry, actions);
            }
            events::Target::Runner(index) => {
                self.applied_revisions[index] = revision;
                let actions = self.runners[index].set_settings(settings);
                self.perform_runner_actions(index, actions);
            }
        }
    }
}
