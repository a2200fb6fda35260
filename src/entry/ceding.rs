//! How an entry tells others what waits here, and cedes slots to them.

use crate::ceding;
use crate::entry::core;
use crate::ids;
use crate::membership;
use crate::wire;

impl core::Core {
    /// What waits here, as others are told; none where nothing waits for a slot.
    pub(crate) fn want(&self, now_ms: u64) -> Option<ceding::Want> {
        let item = self.queue.peek()?;
        let teams = self.queue.teams();
        let team = teams.get(item.team)?;
        let fair = teams.share_of(item.team) * self.part;
        let urgency = ceding::Urgency {
            is_over: f64::from(team.running) >= fair.max(1.0),
            start_by_ms: item.rank_ms,
        };
        let tasks = u32::try_from(self.queue.len()).unwrap_or(u32::MAX);
        let at_ms = now_ms;
        Some(ceding::Want {
            urgency,
            tasks,
            at_ms,
        })
    }

    /// Tells those entries that do not know it how urgent the work is that waits here.
    pub(crate) fn tell_want(&mut self, now_ms: u64) -> Vec<core::Action> {
        let Some(want) = self.want(now_ms) else {
            return Vec::new();
        };
        let mut actions = Vec::new();
        for peer in self.live_entries(now_ms) {
            let known = self.told.of(now_ms, peer.incarnation);
            if !ceding::is_worth_telling(now_ms, known, &want) {
                continue;
            }
            self.told.set(peer.incarnation, Some(want));
            actions.push(self.notify(now_ms, &peer, None));
            self.counts.told += 1;
        }
        actions
    }

    /// A heartbeat ahead of time, for what can't wait for the next one.
    fn notify(&self, now_ms: u64, peer: &wire::Peer, ceded: Option<wire::Ceded>) -> core::Action {
        let mut heartbeat = self.heartbeat_to_send(now_ms);
        heartbeat.ceded = ceded;
        core::Action::Notify {
            address: peer.address.clone(),
            heartbeat: Box::new(heartbeat),
        }
    }

    /// Cedes a slot that a task of this entry left to an entry with more urgent work.
    pub(crate) fn cede(
        &mut self,
        now_ms: u64,
        key: membership::RunnerKey,
        freed: wire::Resources,
    ) -> Option<core::Action> {
        let own = self.want(now_ms).map(|want| want.urgency);
        let to = self.wants.neediest(now_ms, own.as_ref())?;
        let peer = self.members.entry_of(to)?.peer.clone();
        let runner = self.members.runner_mut(key)?;
        if runner.free_slots() <= 0 || runner.is_leaving {
            return None;
        }
        runner.lent += 1;
        let ceded = wire::Ceded {
            runner: runner.peer.name.clone(),
            incarnation: runner.peer.incarnation,
            resources: freed,
        };
        self.wants.ceded(to);
        self.counts.ceded += 1;
        Some(self.notify(now_ms, &peer, Some(ceded)))
    }

    /// Another entry ceded a slot here: it is free, whatever was heard before.
    pub(crate) fn take_ceded(&mut self, ceded: &wire::Ceded) {
        let found = self.members.runner_of(&ceded.runner, ceded.incarnation);
        if let Some(runner) = found {
            runner.granted += 1;
            runner.granted_used = runner.granted_used.plus(&ceded.resources);
        }
    }

    /// A ceded slot was not used: it is free again here.
    pub(crate) fn take_back(&mut self, ceded: &wire::Ceded) {
        let found = self.members.runner_of(&ceded.runner, ceded.incarnation);
        if let Some(runner) = found {
            runner.lent = runner.lent.saturating_sub(1);
        }
    }

    /// What the others know of this entry's want, after one of them was answered.
    pub(crate) fn answered_want(
        &mut self,
        now_ms: u64,
        to: ids::Incarnation,
    ) -> Option<wire::Want> {
        let want = self.want(now_ms);
        self.told.set(to, want);
        want.map(|want| want.tell(now_ms))
    }
}
