//! Decisions of a runner: which tasks to start, refuse or return. No network and no clock.

use std::collections;
use std::sync;

use crate::codes;
use crate::freshness;
use crate::ids;
use crate::runner::wait_queue;
use crate::settings;
use crate::starts;
use crate::wire;

/// Action for the caller of this module to execute.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start the task at the backend server now.
    Start(wire::Dispatch),
    /// Stop the task at the backend server.
    Stop(ids::Attempt),
    /// Send the outcome to all requests that wait for the attempt.
    Answer(ids::Attempt, wire::Outcome),
    /// Send a heartbeat to all entries now.
    SendHeartbeats,
}

/// How a task ended at the backend server.
#[derive(Clone, Debug, PartialEq)]
pub enum End {
    /// No connection could be made, so the task did not start.
    Unreachable,
    /// The task ended, or its end is unknown and it counts as lost.
    Ended {
        /// [`codes::Code::Complete`], or the reason of the failure.
        code: codes::Code,
        /// Output returned by the backend server.
        output: String,
        /// Peak resource usage.
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

/// Configuration of a runner.
#[derive(Clone, Debug)]
pub struct Parts {
    /// Its name, incarnation, place and address.
    pub me: wire::Peer,
    /// Number of tasks that it runs at a time.
    pub slots: u32,
    /// Size of its worker.
    pub size: wire::Resources,
}

/// The state of one runner.
#[derive(Debug)]
pub struct Core {
    parts: Parts,
    settings: sync::Arc<settings::Settings>,
    freshness: freshness::Freshness,
    ledger: starts::Ledger,
    wait_queue: wait_queue::WaitQueue,
    running: collections::HashMap<ids::Attempt, Running>,
    /// Declared resources of the running tasks.
    reserved: wire::Resources,
    /// Resource usage last reported by the worker.
    reported: wire::Resources,
    is_leaving: bool,
    sequence: u64,
}

impl Core {
    /// Creates a runner without evidence of current settings, which starts no task yet.
    pub fn new(parts: Parts, settings: sync::Arc<settings::Settings>, now_ms: u64) -> Self {
        Self {
            parts,
            settings,
            freshness: freshness::Freshness::default(),
            ledger: starts::Ledger::new(now_ms),
            wait_queue: wait_queue::WaitQueue::default(),
            running: collections::HashMap::new(),
            reserved: wire::Resources::default(),
            reported: wire::Resources::default(),
            is_leaving: false,
            sequence: 0,
        }
    }

    /// Name, incarnation, place and address of this runner.
    pub const fn me(&self) -> &wire::Peer {
        &self.parts.me
    }

    /// Evidence that the settings are current, for modification.
    pub const fn freshness(&mut self) -> &mut freshness::Freshness {
        &mut self.freshness
    }

    /// Returns whether the evidence is recent enough to start tasks.
    pub fn is_fresh(&self, now_ms: u64) -> bool {
        self.freshness
            .is_fresh(now_ms, self.settings.timeouts.fresh_ms.into())
    }

    /// Returns whether the runner is stopping.
    pub const fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// Number of running tasks.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Number of dispatches that wait for a slot.
    pub const fn waiting(&self) -> usize {
        self.wait_queue.len()
    }

    /// Number of remembered attempts.
    pub fn remembered(&self) -> usize {
        self.ledger.len()
    }

    /// Returns the load to report to an entry, with a sequence number by which the entry
    /// recognizes the latest one.
    pub fn load_for(&mut self, entry: ids::Incarnation) -> wire::Load {
        self.sequence += 1;
        let running = self
            .running
            .iter()
            .filter(|(attempt, _)| attempt.owner == entry);
        let running_count = running.clone().count();
        let mine_used = running.fold(wire::Resources::default(), |sum, (_, running)| {
            sum.plus(&running.resources)
        });
        wire::Load {
            slots: self.parts.slots,
            busy: saturating_u32(self.running.len()),
            parked: saturating_u32(self.wait_queue.len()),
            size: self.parts.size,
            used: self.reserved.max(self.reported),
            mine: saturating_u32(running_count + self.wait_queue.len_of(entry)),
            mine_used,
            epoch: self.ledger.epoch(),
            sequence: self.sequence,
        }
    }

    /// Records the resource usage that the worker reports, which lags behind the actual usage.
    pub const fn record_usage(&mut self, reported: wire::Resources) {
        self.reported = reported;
    }

    /// Applies new settings; if they take the zone out, all waiting dispatches are returned.
    ///
    /// Entries send no tasks to a returning zone until its runners have reported the new
    /// settings. Without a heartbeat at once its slots would stay idle until the next one.
    pub fn set_settings(&mut self, settings: sync::Arc<settings::Settings>) -> Vec<Action> {
        let was_zone_out = self.settings.is_zone_out(&self.parts.me.zone);
        self.settings = settings;
        let is_zone_back = was_zone_out && !self.settings.is_zone_out(&self.parts.me.zone);
        let mut actions = self.return_waiting_if_unavailable();
        actions.extend(is_zone_back.then_some(Action::SendHeartbeats));
        actions
    }

    /// Begins to stop: starts no further task and returns all waiting dispatches.
    pub fn leave(&mut self) -> Vec<Action> {
        self.is_leaving = true;
        self.return_waiting_if_unavailable()
    }

    /// Accepts or refuses a task from an entry.
    pub fn dispatch(&mut self, now_ms: u64, dispatch: wire::Dispatch) -> Vec<Action> {
        let attempt = dispatch.attempt;
        if dispatch.incarnation != self.parts.me.incarnation {
            return vec![not_started(attempt, codes::Code::StaleDispatch)];
        }
        match self.ledger.admit(attempt, dispatch.epoch) {
            starts::Admission::Refused(code) => vec![not_started(attempt, code)],
            starts::Admission::Known(state) if state.is_settled() => {
                vec![Action::Answer(attempt, state.outcome(now_ms))]
            }
            starts::Admission::Known(_) => Vec::new(),
            starts::Admission::New => self.accept(now_ms, dispatch),
        }
    }

    fn accept(&mut self, now_ms: u64, dispatch: wire::Dispatch) -> Vec<Action> {
        if let Some(code) = self.refusal_code(now_ms, &dispatch) {
            return vec![self.settle_not_started(dispatch.attempt, code)];
        }
        self.wait_queue.push(dispatch, now_ms);
        self.start_waiting(now_ms)
    }

    fn refusal_code(&self, now_ms: u64, dispatch: &wire::Dispatch) -> Option<codes::Code> {
        if let Some(code) = self.unavailable_code() {
            return Some(code);
        }
        if !self.is_fresh(now_ms) {
            return Some(codes::Code::NotFresh);
        }
        if !dispatch.resources.fits_in(&self.parts.size) {
            return Some(codes::Code::NeverFits);
        }
        let is_full = self.wait_queue.len() >= self.parts.slots as usize;
        is_full.then_some(codes::Code::RunnerFull)
    }

    fn unavailable_code(&self) -> Option<codes::Code> {
        if self.is_leaving {
            return Some(codes::Code::Leaving);
        }
        let is_out = self.settings.is_zone_out(&self.parts.me.zone);
        is_out.then_some(codes::Code::ZoneOut)
    }

    fn return_waiting_if_unavailable(&mut self) -> Vec<Action> {
        let Some(code) = self.unavailable_code() else {
            return Vec::new();
        };
        let returned = self.wait_queue.remove(|_| true);
        returned
            .iter()
            .map(|dispatch| self.settle_not_started(dispatch.attempt, code))
            .collect()
    }

    fn settle_not_started(&mut self, attempt: ids::Attempt, code: codes::Code) -> Action {
        self.ledger.set(attempt, starts::AttemptState::Barred(code));
        not_started(attempt, code)
    }

    /// Starts waiting dispatches while slots are free.
    ///
    /// This is the only place that starts tasks. It checks again that the evidence is recent:
    /// the settings may have changed while the process was suspended with tasks waiting.
    fn start_waiting(&mut self, now_ms: u64) -> Vec<Action> {
        let mut actions = Vec::new();
        if !self.is_fresh(now_ms) || self.unavailable_code().is_some() {
            return actions;
        }
        while self.running.len() < self.parts.slots as usize {
            let free = self.parts.size.minus(&self.reserved);
            let is_idle = self.running.is_empty();
            let Some(dispatch) = self.wait_queue.pop(|need| is_idle || need.fits_in(&free)) else {
                break;
            };
            actions.push(self.start(now_ms, dispatch));
        }
        actions
    }

    fn start(&mut self, now_ms: u64, dispatch: wire::Dispatch) -> Action {
        let state = starts::AttemptState::Running { since_ms: now_ms };
        self.ledger.set(dispatch.attempt, state);
        self.reserved = self.reserved.plus(&dispatch.resources);
        let running = Running {
            resources: dispatch.resources,
            since_ms: now_ms,
            limit_at_ms: now_ms.saturating_add(dispatch.limit_ms),
            stop_code: None,
        };
        self.running.insert(dispatch.attempt, running);
        Action::Start(dispatch)
    }

    /// Returns whether a task that was chosen to start may still be started.
    pub fn may_start(&self, now_ms: u64, attempt: ids::Attempt) -> bool {
        let Some(running) = self.running.get(&attempt) else {
            return false;
        };
        running.stop_code.is_none() && self.is_fresh(now_ms) && self.unavailable_code().is_none()
    }

    /// Records the end of a task at the backend server and starts waiting dispatches.
    pub fn ended(&mut self, now_ms: u64, attempt: ids::Attempt, end: End) -> Vec<Action> {
        let Some(running) = self.running.remove(&attempt) else {
            return Vec::new();
        };
        self.reserved = self.reserved.minus(&running.resources);
        let mut actions = vec![self.settle_ended(now_ms, attempt, &running, end)];
        actions.extend(self.start_waiting(now_ms));
        actions
    }

    fn settle_ended(
        &mut self,
        ended_ms: u64,
        attempt: ids::Attempt,
        running: &Running,
        end: End,
    ) -> Action {
        let End::Ended { code, output, peak } = end else {
            return self.settle_not_started(attempt, codes::Code::BackendUnreachable);
        };
        // A stop that this runner did not request means that the worker stopped the task when
        // its lease expired, for instance while this process was suspended.
        let code = match (running.stop_code, code) {
            (_, codes::Code::Complete) => codes::Code::Complete,
            (Some(requested), _) => requested,
            (None, codes::Code::Cancelled) => codes::Code::LeaseLapsed,
            (None, code) => code,
        };
        let run_ms = ended_ms.saturating_sub(running.since_ms);
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

    /// Returns the outcomes of attempts, and bars or stops them if the fence asks for it.
    ///
    /// The outcome is `None` for an attempt that is unknown and not barred, and for all
    /// attempts if the fence is for another incarnation. A barred attempt never starts.
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
            outcomes.push(self.fence_attempt(now_ms, *attempt, fence, &mut actions));
        }
        (outcomes, actions)
    }

    fn fence_attempt(
        &mut self,
        now_ms: u64,
        attempt: ids::Attempt,
        fence: &wire::Fence,
        actions: &mut Vec<Action>,
    ) -> Option<wire::Outcome> {
        match self.ledger.get(attempt) {
            None if fence.bar => self.ledger.bar(attempt),
            Some(starts::AttemptState::Parked) if fence.bar => {
                self.wait_queue.remove_attempt(attempt);
                actions.push(self.settle_not_started(attempt, codes::Code::Fenced));
            }
            Some(starts::AttemptState::Running { .. }) if fence.stop => {
                actions.extend(self.stop(attempt, codes::Code::Cancelled));
            }
            _ => {}
        }
        self.ledger.get(attempt).map(|state| state.outcome(now_ms))
    }

    fn stop(&mut self, attempt: ids::Attempt, code: codes::Code) -> Option<Action> {
        let running = self.running.get_mut(&attempt)?;
        if running.stop_code.is_some() {
            return None;
        }
        running.stop_code = Some(code);
        Some(Action::Stop(attempt))
    }

    /// Performs the periodic work.
    ///
    /// Advances the ledger's epochs, returns dispatches that waited too long, stops tasks at
    /// their time limit, and starts waiting dispatches that new evidence permits.
    pub fn tick(&mut self, now_ms: u64) -> Vec<Action> {
        self.ledger
            .advance(now_ms, self.settings.timeouts.retain_ms.into());
        let mut actions = self.return_waiting_if_unavailable();
        for dispatch in self.wait_queue.remove(|waiting| waiting.until_ms <= now_ms) {
            let code = codes::Code::WaitedTooLong;
            actions.push(self.settle_not_started(dispatch.attempt, code));
        }
        actions.extend(self.stop_overdue(now_ms));
        actions.extend(self.start_waiting(now_ms));
        actions
    }

    fn stop_overdue(&mut self, now_ms: u64) -> Vec<Action> {
        let is_overdue = |running: &Running| running.limit_at_ms <= now_ms;
        let overdue = self
            .running
            .iter()
            .filter(|(_, running)| is_overdue(running));
        let overdue: Vec<_> = overdue.map(|(attempt, _)| *attempt).collect();
        let stop = |attempt| self.stop(attempt, codes::Code::TaskTimedOut);
        overdue.into_iter().filter_map(stop).collect()
    }

    /// Returns the running attempts, for the renewal of their leases.
    pub fn running_attempts(&self) -> Vec<ids::Attempt> {
        self.running.keys().copied().collect()
    }
}

const fn not_started(attempt: ids::Attempt, code: codes::Code) -> Action {
    Action::Answer(attempt, wire::Outcome::NotStarted { code })
}

fn saturating_u32(len: usize) -> u32 {
    u32::try_from(len).unwrap_or(u32::MAX)
}
