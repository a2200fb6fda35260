//! What time brings: deadlines, silence, dead runners, forgetting.

use crate::codes;
use crate::entry::core;
use crate::jobs;
use crate::membership;

/// A gap between two ticks that means this process itself stood still.
const PAUSE_MS: u64 = 1_000;

/// Longest wait for the fate of what ran when a submission was given up: a
/// question to a runner and its answer, with room for a busy one.
const SETTLE_MS: u64 = 200;

/// Silent processes are forgotten after so many times the time after which they
/// count as dead.
pub(crate) const FORGET_FACTOR: u64 = 20;

impl core::Core {
    /// Time passes; called several times a second.
    pub fn tick(&mut self, now_ms: u64) -> Vec<core::Action> {
        self.mind_pause(now_ms);
        let timeouts = self.settings.timeouts;
        self.jobs.advance(now_ms, timeouts.retain_ms.into());
        self.jobs.compact(now_ms, timeouts.answer_ms.into());
        let dead_after = u64::from(timeouts.dead_after_ms);
        self.tick_load(now_ms);
        let mut actions = self.end_overdue(now_ms);
        actions.extend(self.end_hopeless(now_ms));
        actions.extend(self.end_unsettled(now_ms));
        actions.extend(self.end_dead_runners(now_ms, dead_after));
        actions.extend(self.ask_silent(now_ms));
        self.start_due_again(now_ms);
        actions.extend(self.expire_claims(now_ms));
        actions.extend(self.append_claims(now_ms));
        self.members
            .remove_silent(now_ms, dead_after * FORGET_FACTOR);
        let members = &self.members;
        self.health
            .retain(|runner| members.runner(runner).is_some());
        let silent_after_ms = self.silent_after_ms();
        self.warnings.expire(now_ms.saturating_sub(silent_after_ms));
        self.judge_all_running(now_ms);
        actions.extend(self.pump(now_ms));
        actions
    }

    /// Comes before anything else that happens: a process that was frozen may be
    /// thawed by a message, and must find out that it was frozen before it acts on
    /// what it held. Deadlines that passed meanwhile would be overlooked, and a
    /// sender's silence be counted from before the pause.
    pub(crate) fn wake(&mut self, now_ms: u64) -> Vec<core::Action> {
        if now_ms.saturating_sub(self.last_tick_ms) <= PAUSE_MS {
            return Vec::new();
        }
        self.tick(now_ms)
    }

    /// A process that was frozen wakes up to old times of hearing. Taking its own
    /// pause for everybody's silence it would give up all that runs; so the pause
    /// is taken out of the silence.
    fn mind_pause(&mut self, now_ms: u64) {
        let gap = now_ms.saturating_sub(self.last_tick_ms);
        self.last_tick_ms = now_ms;
        if gap > PAUSE_MS {
            self.members.shift_last_seen(gap);
            self.jobs.exclude_pause(gap);
        }
    }

    fn end_overdue(&mut self, now_ms: u64) -> Vec<core::Action> {
        let mut actions = Vec::new();
        for key in self.jobs.due().overdue(now_ms) {
            actions.extend(self.give_up(now_ms, key, codes::Code::DeadlineNotRun));
        }
        actions
    }

    /// A submission that was given up gets its answer at once: the fate of what
    /// was running is waited for only so long as a question to its runner takes.
    fn end_unsettled(&mut self, now_ms: u64) -> Vec<core::Action> {
        let Some(last_ms) = now_ms.checked_sub(SETTLE_MS) else {
            return Vec::new();
        };
        let due = self.jobs.due().given_up_by(last_ms);
        due.into_iter()
            .flat_map(|key| self.end_unknown(now_ms, key))
            .collect()
    }

    fn end_unknown(&mut self, now_ms: u64, key: jobs::Key) -> Vec<core::Action> {
        let Some(open) = self.jobs.open_at(key) else {
            return Vec::new();
        };
        let undecided = open
            .iter_progress()
            .filter(|(_, p)| !matches!(p, jobs::Progress::Decided(_)));
        let undecided: Vec<u32> = undecided.map(|(index, _)| index).collect();
        for index in undecided {
            let decided = jobs::Decided::may_have_run(codes::Code::StillRunning, None);
            let task = jobs::TaskKey {
                submission: key,
                index,
            };
            self.jobs.decide(now_ms, task, decided);
        }
        self.settle(now_ms, key)
    }

    /// The process ends now: what waits is not run, and what runs is answered for.
    pub fn abandon(&mut self, now_ms: u64) -> Vec<core::Action> {
        let mut actions = Vec::new();
        for key in self.jobs.open_keys() {
            actions.extend(self.give_up(now_ms, key, codes::Code::Leaving));
            actions.extend(self.end_unknown(now_ms, key));
        }
        actions
    }

    fn end_dead_runners(&mut self, now_ms: u64, dead_after: u64) -> Vec<core::Action> {
        let is_dead = |runner: &membership::Runner| {
            runner.in_flight > 0 && runner.last_seen_ms.saturating_add(dead_after) <= now_ms
        };
        let dead = self.members.runners().filter(|(_, runner)| is_dead(runner));
        let dead: Vec<_> = dead.map(|(key, _)| key).collect();
        dead.into_iter()
            .flat_map(|key| self.runner_over(now_ms, key))
            .collect()
    }

    fn start_due_again(&mut self, now_ms: u64) {
        for item in self.retries.due(now_ms) {
            self.requeue(item);
        }
    }

    fn ask_silent(&mut self, now_ms: u64) -> Vec<core::Action> {
        let due = self.in_flight.to_ask(now_ms);
        due.into_iter()
            .filter_map(|number| self.ask(now_ms, number))
            .collect()
    }
}
