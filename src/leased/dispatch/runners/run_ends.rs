//! Ends of runs at a runner, and what shows them.

use std::collections;

use crate::leased::dispatch::runners;
use crate::leased::dispatch::runners::runs;
use crate::leased::messages;

impl runners::Runner {
    /// Ends the runs that the runner neither holds nor reported as ended.
    ///
    /// The answer to an order may be lost, or the runner may have restarted and lost its state.
    /// A new incarnation accepts work only when no run of the previous one is left.
    ///
    /// `clock_ms` is the time on the runner's clock at which it wrote the report. The runner accepts
    /// an order up to its last valid millisecond, so only a report written after that shows that no
    /// copy of the order is still to arrive.
    pub(super) fn reconcile(
        &mut self,
        clock_ms: u64,
        sequence: u64,
        held: &[messages::RunId],
    ) -> Vec<runs::EndedRun> {
        let held: collections::HashSet<_> = held.iter().collect();
        let is_ready = self.load.readiness == messages::Readiness::Ready;
        let incarnation = self.incarnation;
        let mut lost = Vec::new();
        for (id, placed) in &mut self.placed {
            if Some(placed.incarnation) != incarnation {
                if is_ready {
                    lost.push((id.clone(), runs::Evidence::NextIncarnation));
                }
            } else if held.contains(id) {
                placed.first_sequence.get_or_insert(sequence);
            } else if let Some(first_sequence) = placed.first_sequence {
                if first_sequence < sequence {
                    lost.push((id.clone(), runs::Evidence::NoLongerHeld));
                }
            } else if clock_ms > placed.valid_until_ms {
                lost.push((id.clone(), runs::Evidence::NeverHeld));
            }
        }
        let ended = lost
            .iter()
            .filter_map(|(id, evidence)| self.end_stopped(id, *evidence));
        ended.collect()
    }

    /// Ends the runs whose last lease renewal is older than [`runners::RUN_EXPIRY_MS`].
    ///
    /// A watch at the present incarnation renews no lease of a former one.
    pub fn expire_runs(&mut self, now_ms: u64) -> Vec<runs::EndedRun> {
        let is_expired = |(_, placed): &(&messages::RunId, &runs::PlacedRun)| {
            let is_present = Some(placed.incarnation) == self.incarnation;
            let renewed_ms = if is_present {
                self.renewed_ms
            } else {
                self.former_renewed_ms
            };
            now_ms > renewed_ms + runners::RUN_EXPIRY_MS
        };
        let expired = self.placed.iter().filter(is_expired);
        let expired: Vec<_> = expired.map(|(id, _)| id.clone()).collect();
        let ended = expired
            .iter()
            .filter_map(|id| self.end_stopped(id, runs::Evidence::LeaseExpired));
        ended.collect()
    }

    pub(super) fn end_not_started(
        &mut self,
        id: &messages::RunId,
        evidence: runs::Evidence,
    ) -> Option<runs::EndedRun> {
        self.end_run(id, messages::RunOutcome::NotStarted, 0, evidence)
    }

    fn end_stopped(
        &mut self,
        id: &messages::RunId,
        evidence: runs::Evidence,
    ) -> Option<runs::EndedRun> {
        self.end_run(id, messages::RunOutcome::Stopped, 0, evidence)
    }

    pub(super) fn end_run(
        &mut self,
        id: &messages::RunId,
        how: messages::RunOutcome,
        ran_ms: u64,
        evidence: runs::Evidence,
    ) -> Option<runs::EndedRun> {
        let placed = self.placed.remove(id)?;
        Some(runs::EndedRun {
            id: id.clone(),
            placed,
            how,
            ran_ms,
            evidence,
        })
    }
}
