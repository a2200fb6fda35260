//! How a runner starts runs at the backend server.

use crate::leased::capacity;
use crate::leased::capacity::evidence;
use crate::leased::messages;
use crate::leased::ports;

/// Age of a start up to which it is sent again if it is unanswered, in milliseconds. An older one
/// would make its job late in any case, and a backend server that answers so slowly is unlikely to
/// answer the second call in time.
const MAX_RESEND_AGE_MS: u64 = 100;

/// Longest time from the decision to start a run until the call is sent, in milliseconds. After a
/// suspension of the instance the deadline on the backend server's clock proves nothing, as that clock
/// stood still as well.
const MAX_SEND_DELAY_MS: u64 = 200;

/// A call to start a run that has not been answered yet.
#[derive(Clone, Debug)]
pub struct UnansweredStart {
    start: messages::Start,
    sent_at_ms: u64,
    /// Whether an earlier call for the same run was unanswered.
    is_repeat: bool,
}

impl capacity::CapacityManager {
    /// Starts a run that fits in the free capacity.
    pub(super) fn start_run(
        &mut self,
        now_ms: u64,
        id: &messages::RunId,
    ) -> Option<capacity::Action> {
        self.backend.as_ref()?;
        let run = self.runs.get_mut(id)?;
        let start = run.queued.take()?.start;
        let waited_ms = now_ms.saturating_sub(run.ordered_at_ms);
        run.ordered_at_ms = now_ms;
        let owner = run.owner;
        self.wait_queue
            .subtract(start.wait.class, start.need.cpu_milli);
        self.used = self.used.plus(&start.need);
        let free_milli = self.free_milli();
        for owner in self.owners.values_mut() {
            owner.capacity_taken(free_milli);
        }
        log::info!(event = "run.start", run:% = start.id, owner:% = owner, waited_ms = waited_ms, cpu_milli = start.need.cpu_milli, used_milli = self.used.cpu_milli; "starting the run");
        self.send_start(now_ms, start, false)
    }

    fn send_start(
        &mut self,
        now_ms: u64,
        start: messages::Start,
        is_repeat: bool,
    ) -> Option<capacity::Action> {
        let incarnation = self.backend.as_ref()?.incarnation.clone();
        let lease_until_ms = self.backend_clock.grant(now_ms, self.lease_ms(now_ms));
        self.last_start_ms = now_ms;
        let run = self.runs.get_mut(&start.id)?;
        run.unanswered_start = Some(UnansweredStart {
            start: start.clone(),
            sent_at_ms: now_ms,
            is_repeat,
        });
        Some(capacity::Action::Start(ports::StartCall {
            start,
            incarnation,
            fence: self.fence,
            lease_until_ms,
            send_by_ms: now_ms + MAX_SEND_DELAY_MS,
            timeout_ms: self.call_timeout.timeout_ms(),
        }))
    }

    /// Handles the answer to a start, or its absence.
    ///
    /// A refusal of the first call means that the run will not start. A refusal of the second does
    /// not, as the first may still be carried out.
    pub fn start_answered(
        &mut self,
        now_ms: u64,
        id: &messages::RunId,
        answer: ports::StartAnswer,
    ) -> Vec<capacity::Action> {
        let mut actions = self.tick(now_ms);
        let Some(run) = self.runs.get_mut(id) else {
            return actions;
        };
        let call = run.unanswered_start.take();
        let sent_at_ms = call
            .as_ref()
            .map_or(run.ordered_at_ms, |call| call.sent_at_ms);
        run.has_lost_start |= answer == ports::StartAnswer::Lost;
        match answer {
            ports::StartAnswer::Lost => self.call_timeout.record_timeout(),
            _ => self
                .call_timeout
                .record_response(now_ms.saturating_sub(sent_at_ms)),
        }
        let is_repeat = call.as_ref().is_some_and(|call| call.is_repeat);
        match answer {
            ports::StartAnswer::Started => run.settled_at_ms = Some(now_ms),
            // The earlier call started the run, which has ended; a listing tells how.
            ports::StartAnswer::Refused(ports::StartRefusal::OldRun) if is_repeat => {
                run.settled_at_ms = Some(now_ms);
            }
            ports::StartAnswer::Refused(why) if !is_repeat => {
                log::warn!(event = "run.refused", run:% = id, why:? = why; "backend server refused to start the run; returning it to its entry");
                self.end_unstarted(now_ms, id, evidence::Evidence::StartRefused);
            }
            // The run may start at any time until its lease expires, unless the backend server
            // acknowledges a stop.
            ports::StartAnswer::Refused(_) | ports::StartAnswer::Lost => {
                let action = self
                    .resend_start(now_ms, id, call)
                    .or_else(|| self.stop(now_ms, id, "start unanswered"));
                actions.extend(action);
            }
        }
        actions
    }

    /// Sends a start again that was unanswered the first time.
    ///
    /// A busy backend server answers some calls late, and some calls are lost. It starts a run
    /// once, however often it is told to, whereas a stop would discard the work of the run if it
    /// has started.
    fn resend_start(
        &mut self,
        now_ms: u64,
        id: &messages::RunId,
        call: Option<UnansweredStart>,
    ) -> Option<capacity::Action> {
        let call = call.filter(|call| !call.is_repeat)?;
        let run = self.runs.get(id)?;
        let age_ms = now_ms.saturating_sub(run.ordered_at_ms);
        let is_unwanted = run.stop.is_some() || run.must_stop;
        if is_unwanted || age_ms > MAX_RESEND_AGE_MS || !self.may_start(now_ms) {
            return None;
        }
        log::info!(event = "run.start_again", run:% = id, owner:% = run.owner, age_ms = age_ms; "start unanswered; sending it again");
        self.send_start(now_ms, call.start, true)
    }

    /// Returns whether the backend server may be told to start runs now.
    pub(super) fn may_start(&self, now_ms: u64) -> bool {
        let is_zone_out = |backend: &ports::Announcement| self.latest.is_zone_out(&backend.zone);
        self.readiness(now_ms) == messages::Readiness::Ready
            && !self.backend.as_ref().is_some_and(is_zone_out)
    }
}
