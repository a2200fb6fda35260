//! What time ends at a runner: runs of silent entries, stops that were not heard, and leases.

use std::collections;

use crate::leased::capacity;
use crate::leased::capacity::owners;
use crate::leased::messages;

/// Time after which an entry without runs and signs of life is forgotten, in milliseconds.
const FORGET_OWNER_MS: u64 = 10_000;

impl capacity::CapacityManager {
    /// Time passes: silent entries lose their runs, unheard stops are sent again, and
    /// leases lapse.
    pub fn tick(&mut self, now_ms: u64) -> Vec<capacity::Action> {
        self.forget_owners(now_ms);
        if !self.runs.is_empty() && self.clock.has_lapsed(now_ms) {
            self.end_life(now_ms, "every lease has lapsed");
        }
        let mut actions = Vec::new();
        let due: Vec<_> = self
            .runs
            .iter()
            .filter_map(|(id, run)| self.due(now_ms, id, run))
            .collect();
        for (id, why) in due {
            actions.extend(self.stop(now_ms, &id, why));
        }
        self.note_readiness(now_ms);
        actions.extend(self.serve_line(now_ms));
        actions
    }

    /// Whether a run has to be stopped now.
    ///
    /// An entry that is dead, frozen or cut off renews nothing; its callers send their
    /// jobs again elsewhere, and what it started must be gone by then.
    fn due(
        &self,
        now_ms: u64,
        id: &messages::RunId,
        run: &capacity::Run,
    ) -> Option<(messages::RunId, &'static str)> {
        if let Some(stop) = run.stop {
            let is_due =
                !stop.is_acknowledged && now_ms >= stop.called_ms + capacity::STOP_AGAIN_MS;
            return is_due.then(|| (id.clone(), "not noted yet"));
        }
        let alive_at_ms = self
            .owners
            .get(&run.owner)
            .map_or(0, owners::Owner::alive_at_ms);
        let is_silent = now_ms > alive_at_ms + capacity::OWNER_TIMEOUT_MS;
        if run.must_stop {
            return Some((id.clone(), "meant for a former life"));
        }
        is_silent.then(|| (id.clone(), "entry silent"))
    }

    fn forget_owners(&mut self, now_ms: u64) {
        let busy: collections::HashSet<_> = self.runs.values().map(|run| run.owner).collect();
        self.owners.retain(|entry, owner| {
            let last_ms = owner.alive_at_ms().max(owner.told_ms);
            busy.contains(entry) || now_ms < last_ms + FORGET_OWNER_MS
        });
    }
}
