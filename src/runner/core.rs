//! A runner's decisions, without network or clock: what to start, refuse, hand back.

use std::collections;
use std::sync;

use crate::codes;
use crate::freshness;
use crate::ids;
use crate::runner::wait_queue;
use crate::settings;
use crate::starts;
use crate::wire;

/// What the runner's surroundings must do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start this at the backend server, now.
    Start(wire::Dispatch),
    /// Stop this at the backend server.
    Stop(ids::Attempt),
    /// Tell all who wait for the attempt.
    Answer(ids::Attempt, wire::Outcome),
    /// Send all entries a heartbeat now.
    SendHeartbeats,
}

/// How a task ended at the backend server.
#[derive(Clone, Debug, PartialEq)]
pub enum End {
    /// The connection could not be made: the task did not start.
    Unreachable,
    /// It ended.
    Ended {
        /// [`codes::Code::Complete`], or why it failed.
        code: codes::Code,
        /// What the backend server answered.
        output: String,
        /// The most it was seen to use.
        peak: wire::Resources,
    },
}

#[derive(Debug)]
struct Running {
    resources: wire::Resources,
    since_ms: u64,
    limit_at_ms: u64,
    stop_code: Option<codes::Code>,
}

/// What a runner is made of.
#[derive(Clone, Debug)]
pub struct Parts {
    /// Who it is.
    pub me: wire::Peer,
    /// Its slots.
    pub slots: u32,
    /// Its worker's size.
    pub size: wire::Resources,
}

/// The state of one runner.
#[derive(Debug)]
pub struct Core {
    parts: Parts,
    settings: sync::Arc<settings::Settings>,
    freshness: freshness::Freshness,
    ledger: starts::Ledger,
    parked: wait_queue::WaitQueue,
    running: collections::HashMap<ids::Attempt, Running>,
    used: wire::Resources,
    observed: wire::Resources,
    is_leaving: bool,
    sequence: u64,
}

impl Core {
    /// A runner that has heard nothing yet and so starts nothing.
    pub fn new(parts: Parts, settings: sync::Arc<settings::Settings>, now_ms: u64) -> Self {
        Self {
            parts,
            settings,
            freshness: freshness::Freshness::default(),
            ledger: starts::Ledger::new(now_ms),
            parked: wait_queue::WaitQueue::default(),
            running: collections::HashMap::new(),
            used: wire::Resources::default(),
            observed: wire::Resources::default(),
            is_leaving: false,
            sequence: 0,
        }
    }

    /// Who this is.
    pub const fn me(&self) -> &wire::Peer {
        &self.parts.me
    }

    /// What was heard of the settings' freshness.
    pub const fn freshness(&mut self) -> &mut freshness::Freshness {
        &mut self.freshness
    }

    /// Whether tasks may be started on what was heard.
    pub fn is_fresh(&self, now_ms: u64) -> bool {
        self.freshness
            .is_fresh(now_ms, self.settings.timeouts.fresh_ms.into())
    }

    /// Whether the runner is stopping.
    pub const fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// How many tasks run.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// How many dispatches wait for a slot.
    pub const fn waiting(&self) -> usize {
        self.parked.len()
    }

    /// How many attempts are remembered.
    pub fn remembered(&self) -> usize {
        self.ledger.len()
    }

    /// The load to send to an entry, with a number that tells a later one from
    /// an earlier.
    pub fn load_for(&mut self, entry: ids::Incarnation) -> wire::Load {
        self.sequence += 1;
        let running = self
            .running
            .iter()
            .filter(|(attempt, _)| attempt.owner == entry);
        let mine_running = running.clone().count();
        let mine_used = running.fold(wire::Resources::default(), |sum, (_, running)| {
            sum.plus(&running.resources)
        });
        wire::Load {
            slots: self.parts.slots,
            busy: count(self.running.len()),
            parked: count(self.parked.len()),
            size: self.parts.size,
            used: self.used.max(self.observed),
            mine: count(mine_running + self.parked.len_of(entry)),
            mine_used,
            epoch: self.ledger.epoch(),
            sequence: self.sequence,
        }
    }

    /// The worker's own report of what is in use; it lags.
    pub const fn observe(&mut self, observed: wire::Resources) {
        self.observed = observed;
    }

    /// New settings are in force; a zone taken out hands back what waits.
    ///
    /// Entries send nothing to a zone that comes back before its runners have shown that
    /// they know; until the next heartbeat its slots would stand idle.
    pub fn set_settings(&mut self, settings: sync::Arc<settings::Settings>) -> Vec<Action> {
        let was_out = self.settings.is_zone_out(&self.parts.me.zone);
        self.settings = settings;
        let is_back = was_out && !self.settings.is_zone_out(&self.parts.me.zone);
        let mut actions = self.hand_back_if_closed();
        actions.extend(is_back.then_some(Action::SendHeartbeats));
        actions
    }

    /// The runner is to stop: nothing starts any more, what waits is handed back.
    pub fn leave(&mut self) -> Vec<Action> {
        self.is_leaving = true;
        self.hand_back_if_closed()
    }

    /// An entry hands over a task.
    pub fn dispatch(&mut self, now_ms: u64, dispatch: wire::Dispatch) -> Vec<Action> {
        let attempt = dispatch.attempt;
        if dispatch.incarnation != self.parts.me.incarnation {
            return vec![not_started(attempt, codes::Code::StaleDispatch)];
        }
        match self.ledger.admit(attempt, dispatch.epoch) {
            starts::Admission::Refused(code) => vec![not_started(attempt, code)],
            starts::Admission::Known(entry) if entry.is_settled() => {
                vec![Action::Answer(attempt, entry.outcome(now_ms))]
            }
            starts::Admission::Known(_) => Vec::new(),
            starts::Admission::New => self.accept(now_ms, dispatch),
        }
    }

    fn accept(&mut self, now_ms: u64, dispatch: wire::Dispatch) -> Vec<Action> {
        if let Some(code) = self.refusal(now_ms, &dispatch) {
            return vec![self.settle_unstarted(dispatch.attempt, code)];
        }
        self.parked.push(dispatch, now_ms);
        self.fill(now_ms)
    }

    fn refusal(&self, now_ms: u64, dispatch: &wire::Dispatch) -> Option<codes::Code> {
        if let Some(code) = self.closed() {
            return Some(code);
        }
        if !self.is_fresh(now_ms) {
            return Some(codes::Code::NotFresh);
        }
        if !dispatch.resources.fits_in(&self.parts.size) {
            return Some(codes::Code::NeverFits);
        }
        let is_full = self.parked.len() >= self.parts.slots as usize;
        is_full.then_some(codes::Code::RunnerFull)
    }

    fn closed(&self) -> Option<codes::Code> {
        if self.is_leaving {
            return Some(codes::Code::Leaving);
        }
        let is_out = self.settings.is_zone_out(&self.parts.me.zone);
        is_out.then_some(codes::Code::ZoneOut)
    }

    fn hand_back_if_closed(&mut self) -> Vec<Action> {
        let Some(code) = self.closed() else {
            return Vec::new();
        };
        let out = self.parked.remove(|_| true);
        out.iter()
            .map(|dispatch| self.settle_unstarted(dispatch.attempt, code))
            .collect()
    }

    fn settle_unstarted(&mut self, attempt: ids::Attempt, code: codes::Code) -> Action {
        self.ledger.set(attempt, starts::AttemptState::Barred(code));
        not_started(attempt, code)
    }

    /// Starts what waits while slots are free.
    ///
    /// This is the only place that starts anything. The freshness is looked at
    /// here again: a runner that was frozen wakes up with tasks waiting, and the
    /// settings may have changed while it slept.
    fn fill(&mut self, now_ms: u64) -> Vec<Action> {
        let mut actions = Vec::new();
        if !self.is_fresh(now_ms) || self.closed().is_some() {
            return actions;
        }
        while self.running.len() < self.parts.slots as usize {
            let free = self.parts.size.minus(&self.used);
            let is_idle = self.running.is_empty();
            let Some(dispatch) = self.parked.pop(|need| is_idle || need.fits_in(&free)) else {
                break;
            };
            actions.push(self.start(now_ms, dispatch));
        }
        actions
    }

    fn start(&mut self, now_ms: u64, dispatch: wire::Dispatch) -> Action {
        let entry = starts::AttemptState::Running { since_ms: now_ms };
        self.ledger.set(dispatch.attempt, entry);
        self.used = self.used.plus(&dispatch.resources);
        let running = Running {
            resources: dispatch.resources,
            since_ms: now_ms,
            limit_at_ms: now_ms.saturating_add(dispatch.limit_ms),
            stop_code: None,
        };
        self.running.insert(dispatch.attempt, running);
        Action::Start(dispatch)
    }

    /// Whether a task whose start was decided may still be started.
    pub fn may_start(&self, now_ms: u64, attempt: ids::Attempt) -> bool {
        let Some(running) = self.running.get(&attempt) else {
            return false;
        };
        running.stop_code.is_none() && self.is_fresh(now_ms) && self.closed().is_none()
    }

    /// The backend server answered for a task, or could not be reached.
    pub fn ended(&mut self, now_ms: u64, attempt: ids::Attempt, end: End) -> Vec<Action> {
        let Some(running) = self.running.remove(&attempt) else {
            return Vec::new();
        };
        self.used = self.used.minus(&running.resources);
        let mut actions = vec![self.settle(now_ms, attempt, &running, end)];
        actions.extend(self.fill(now_ms));
        actions
    }

    fn settle(&mut self, now: u64, attempt: ids::Attempt, running: &Running, end: End) -> Action {
        let End::Ended { code, output, peak } = end else {
            return self.settle_unstarted(attempt, codes::Code::BackendUnreachable);
        };
        // Stopped without being asked: the worker did it when the lease lapsed, as it
        // does while this process stands still.
        let code = match (running.stop_code, code) {
            (_, codes::Code::Complete) => codes::Code::Complete,
            (Some(stopped), _) => stopped,
            (None, codes::Code::Cancelled) => codes::Code::LeaseLapsed,
            (None, code) => code,
        };
        let run_ms = now.saturating_sub(running.since_ms);
        let outcome = wire::Outcome::Ended {
            code,
            output,
            run_ms,
            peak,
        };
        self.ledger
            .set(attempt, starts::AttemptState::Ended(outcome.clone()));
        Action::Answer(attempt, outcome)
    }

    /// An entry asks about attempts, and may have the unstarted ones barred.
    pub fn fence(
        &mut self,
        now_ms: u64,
        fence: &wire::Fence,
    ) -> (Vec<Option<wire::Outcome>>, Vec<Action>) {
        if fence.incarnation != self.parts.me.incarnation {
            return (vec![None; fence.attempts.len()], Vec::new());
        }
        let mut actions = Vec::new();
        let mut outcomes = Vec::new();
        for attempt in &fence.attempts {
            outcomes.push(self.fence_one(now_ms, *attempt, fence, &mut actions));
        }
        (outcomes, actions)
    }

    fn fence_one(
        &mut self,
        now_ms: u64,
        attempt: ids::Attempt,
        fence: &wire::Fence,
        actions: &mut Vec<Action>,
    ) -> Option<wire::Outcome> {
        match self.ledger.get(attempt) {
            None if fence.bar => self.ledger.bar(attempt),
            Some(starts::AttemptState::Parked) if fence.bar => {
                self.parked.remove_attempt(attempt);
                actions.push(self.settle_unstarted(attempt, codes::Code::Fenced));
            }
            Some(starts::AttemptState::Running { .. }) if fence.stop => {
                actions.extend(self.stop(attempt, codes::Code::Cancelled));
            }
            _ => {}
        }
        self.ledger.get(attempt).map(|entry| entry.outcome(now_ms))
    }

    fn stop(&mut self, attempt: ids::Attempt, code: codes::Code) -> Option<Action> {
        let running = self.running.get_mut(&attempt)?;
        if running.stop_code.is_some() {
            return None;
        }
        running.stop_code = Some(code);
        Some(Action::Stop(attempt))
    }

    /// Time passes: limits, waits that are over, epochs, and slots that can be
    /// filled because evidence came in.
    pub fn tick(&mut self, now_ms: u64) -> Vec<Action> {
        self.ledger
            .advance(now_ms, self.settings.timeouts.retain_ms.into());
        let mut actions = self.hand_back_if_closed();
        for dispatch in self.parked.remove(|parked| parked.until_ms <= now_ms) {
            let code = codes::Code::WaitedTooLong;
            actions.push(self.settle_unstarted(dispatch.attempt, code));
        }
        actions.extend(self.stop_overdue(now_ms));
        actions.extend(self.fill(now_ms));
        actions
    }

    fn stop_overdue(&mut self, now_ms: u64) -> Vec<Action> {
        let is_over = |running: &Running| running.limit_at_ms <= now_ms;
        let overdue = self.running.iter().filter(|(_, running)| is_over(running));
        let overdue: Vec<_> = overdue.map(|(attempt, _)| *attempt).collect();
        let stop = |attempt| self.stop(attempt, codes::Code::TaskTimedOut);
        overdue.into_iter().filter_map(stop).collect()
    }

    /// Attempts that run, for the renewal of their leases.
    pub fn running_attempts(&self) -> Vec<ids::Attempt> {
        self.running.keys().copied().collect()
    }
}

const fn not_started(attempt: ids::Attempt, code: codes::Code) -> Action {
    Action::Answer(attempt, wire::Outcome::NotStarted { code })
}

fn count(len: usize) -> u32 {
    u32::try_from(len).unwrap_or(u32::MAX)
}
