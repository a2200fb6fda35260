//! Handing out what waits, and ending what can't complete any more.

use rand::RngCore as _;

use crate::codes;
use crate::entry::core;
use crate::jobs;
use crate::membership;
use crate::placement;
use crate::queue;
use crate::wire;

/// How many tasks that can't be placed now one round looks past.
const MAX_PASSED_OVER: usize = 16;

impl core::Core {
    /// Hands out waiting tasks while there is somewhere to send them.
    pub(crate) fn pump(&mut self, now_ms: u64) -> Vec<core::Action> {
        let mut actions = Vec::new();
        let mut passed_over = Vec::new();
        while passed_over.len() < MAX_PASSED_OVER {
            let Some(item) = self.queue.pop() else {
                break;
            };
            match self.place(now_ms, &item) {
                Placed::Sent(action) => {
                    self.queue.started(&item);
                    actions.push(action);
                }
                Placed::Ended(more) => {
                    self.queue.unused(&item);
                    actions.extend(more);
                }
                Placed::Waits => passed_over.push(item),
            }
        }
        for item in passed_over.into_iter().rev() {
            self.queue.undo(item);
        }
        actions
    }

    fn place(&mut self, now_ms: u64, item: &queue::Item) -> Placed {
        let Some(need) = self.need(item.task) else {
            return Placed::Ended(Vec::new());
        };
        let candidates = self.candidates(now_ms);
        let draw = self.rng.next_u64();
        match placement::choose(&need, &candidates, &self.settings.policy, draw) {
            placement::Choice::Send(runner) => match self.send(now_ms, item, runner, need) {
                Some(action) => Placed::Sent(action),
                None => Placed::Waits,
            },
            placement::Choice::Wait | placement::Choice::NoCapacity => Placed::Waits,
            placement::Choice::NeverFits => {
                let decided = jobs::Decided::not_run(codes::Code::NeverFits);
                Placed::Ended(self.decide(now_ms, item.task, decided))
            }
        }
    }

    fn need(&self, task: jobs::TaskKey) -> Option<wire::Resources> {
        let open = self.jobs.open_at(task.submission)?;
        let declared = open.task(task.index)?;
        Some(self.need_of(&open.header.team, declared))
    }

    /// Runners that may be sent something now.
    pub(crate) fn candidates(&self, now_ms: u64) -> Vec<placement::Candidate> {
        let dead_after = u64::from(self.settings.timeouts.dead_after_ms);
        let usable = self.members.runners().filter(|(_, runner)| {
            !runner.is_leaving
                && runner.closed_until_ms <= now_ms
                && runner.heard_ms.saturating_add(dead_after) > now_ms
                && !self.settings.is_zone_out(&runner.peer.zone)
        });
        usable
            .map(|(key, runner)| self.candidate(key, runner))
            .collect()
    }

    fn candidate(
        &self,
        key: membership::RunnerKey,
        runner: &membership::Runner,
    ) -> placement::Candidate {
        let free_slots = runner.free_slots();
        let waiting = u32::try_from(-free_slots.min(0)).unwrap_or(u32::MAX);
        placement::Candidate {
            key,
            is_near: runner.peer.zone == self.me.zone,
            free_slots,
            parked: waiting.min(runner.in_flight),
            free: runner.free(),
            size: runner.load.size,
        }
    }

    fn send(
        &mut self,
        now_ms: u64,
        item: &queue::Item,
        key: membership::RunnerKey,
        need: wire::Resources,
    ) -> Option<core::Action> {
        let attempt = self.attempt();
        let open = self.jobs.open_mut(item.task.submission)?;
        let task = open.task(item.task.index)?.clone();
        let runner = self.members.runner_mut(key)?;
        open.dispatched(item.task.index, attempt);
        runner.sent(&need);
        let timeouts = &self.settings.timeouts;
        let dispatch = wire::Dispatch {
            version: wire::VERSION,
            attempt,
            incarnation: runner.peer.incarnation,
            epoch: runner.load.epoch,
            entry: self.me.name.clone(),
            team: open.header.team.clone(),
            kind: task.kind,
            payload: task.payload,
            resources: need,
            wait_ms: u64::from(timeouts.park_ms)
                .min(open.header.deadline_ms.saturating_sub(now_ms)),
            limit_ms: timeouts.run_limit_ms.into(),
            submission: smol_str::format_smolstr!("{}", open.header.id),
            index: item.task.index,
        };
        let address = runner.peer.address.clone();
        let expected = item.expected_ms + u64::from(timeouts.query_after_ms);
        let in_flight = core::InFlight {
            task: item.task,
            runner: key,
            epoch: runner.load.epoch,
            team: item.team,
            need,
            expected_ms: item.expected_ms,
            rank_ms: item.rank_ms,
            sent_ms: now_ms,
            ask_ms: now_ms.saturating_add(expected),
            is_lost: false,
            is_stopping: false,
        };
        self.in_flight.insert(attempt.number, in_flight);
        self.counts.dispatches += 1;
        Some(core::Action::Dispatch {
            address,
            dispatch: Box::new(dispatch),
        })
    }

    /// Decides a task's fate; a fate other than success ends its whole submission.
    pub(crate) fn decide(
        &mut self,
        now_ms: u64,
        task: jobs::TaskKey,
        decided: jobs::Decided,
    ) -> Vec<core::Action> {
        let Some(open) = self.jobs.open_mut(task.submission) else {
            return Vec::new();
        };
        let was_given_up = open.verdict().is_some();
        open.decide(now_ms, task.index, decided);
        if !was_given_up && open.verdict().is_some() && !open.is_decided() {
            return self.give_up(now_ms, task.submission, codes::Code::NotNeeded);
        }
        self.settle(now_ms, task.submission)
    }

    /// Ends a submission early: what waits is not run, what runs is stopped, and
    /// the answer follows as soon as the fate of the latter is known.
    pub(crate) fn give_up(
        &mut self,
        now_ms: u64,
        key: jobs::Key,
        code: codes::Code,
    ) -> Vec<core::Action> {
        self.queue.remove_submission(key);
        let Some(open) = self.jobs.open_mut(key) else {
            return Vec::new();
        };
        open.give_up(now_ms, code);
        let mut dispatched = Vec::new();
        let mut queued = Vec::new();
        for (index, progress) in open.all() {
            match progress {
                jobs::Progress::Queued => queued.push(index),
                jobs::Progress::Dispatched(attempt) => dispatched.push(*attempt),
                jobs::Progress::Decided(_) => {}
            }
        }
        for index in queued {
            open.decide(now_ms, index, jobs::Decided::not_run(code));
        }
        let mut actions = Vec::new();
        for attempt in dispatched {
            actions.extend(self.stop(now_ms, attempt));
        }
        actions.extend(self.settle(now_ms, key));
        actions
    }

    /// Gives the answer if every task is decided.
    pub(crate) fn settle(&mut self, now_ms: u64, key: jobs::Key) -> Vec<core::Action> {
        let Some(answer) = self.jobs.settle(key, now_ms) else {
            return Vec::new();
        };
        self.retries.forget(key);
        match answer.code {
            codes::Code::Complete => self.counts.complete += 1,
            _ => self.counts.failed += 1,
        }
        vec![core::Action::Answer {
            submission: key,
            answer: Box::new(answer),
        }]
    }
}

enum Placed {
    Sent(core::Action),
    Ended(Vec<core::Action>),
    Waits,
}
