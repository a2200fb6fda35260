//! Claims on submission ids that clients choose themselves.

use smol_str::SmolStr;

use crate::api;
use crate::claims;
use crate::codes;
use crate::entry::core;
use crate::ids;
use crate::jobs::answer;

/// Retry delay given to callers whose id could not be claimed, in milliseconds.
const CLAIM_RETRY_MS: u64 = 1_000;

impl core::Core {
    /// Returns the position up to which the claims stream was read.
    pub const fn claims_position(&self) -> u64 {
        self.claims.position()
    }

    /// Handles a page read from the claims stream, or `None` if the log did not respond.
    pub fn claims_read(&mut self, now_ms: u64, page: Option<&claims::Page>) -> Vec<core::Action> {
        let mut actions = self.catch_up(now_ms);
        if let Some(page) = page {
            let settled = self.claims.apply(now_ms, page);
            actions.extend(settled.into_iter().map(core::Action::ClaimSettled));
        } else {
            self.claims.mark_unreachable();
        }
        actions.extend(self.append_claims(now_ms));
        actions
    }

    /// Handles the end of an append to the claims stream.
    pub fn claims_appended(&mut self, now_ms: u64) -> Vec<core::Action> {
        self.claims.append_ended();
        self.append_claims(now_ms).into_iter().collect()
    }

    pub(crate) fn append_claims(&mut self, now_ms: u64) -> Option<core::Action> {
        if !self.claim_pace.is_due(now_ms) {
            return None;
        }
        let record = self.claims.next_record()?;
        let entries = self.live_entries(now_ms).len() as u64 + 1;
        self.claim_pace.append_started(now_ms, entries);
        Some(core::Action::AppendClaims(record))
    }

    pub(crate) fn expire_claims(&mut self, now_ms: u64) -> Vec<core::Action> {
        let expired = self.claims.expire(now_ms);
        expired
            .into_iter()
            .map(core::Action::ClaimSettled)
            .collect()
    }

    /// Builds the refusal for an id that could not be claimed; the call started nothing.
    ///
    /// The refusal is final only if this incarnation owns the id. Otherwise the same id
    /// may have been claimed through another entry.
    pub(crate) fn claim_unavailable(
        &mut self,
        team: &SmolStr,
        id: ids::SubmissionId,
    ) -> api::Answer {
        let claim_state = self.claim_state(team, &id);
        let is_final = claim_state == Some(claims::ClaimState::Barred { is_owner: true });
        self.counts.refused += 1;
        api::Answer {
            retry_after_ms: Some(CLAIM_RETRY_MS),
            ticket: Some(self.ticket()),
            ..answer::bare(Some(id), codes::Code::ClaimUnavailable, is_final)
        }
    }

    /// Returns the state of the claim on a client-chosen id, or `None` for a ticket.
    pub(crate) fn claim_state(
        &self,
        team: &SmolStr,
        id: &ids::SubmissionId,
    ) -> Option<claims::ClaimState> {
        let name = claim_name(team, id)?;
        Some(self.claims.state(&name))
    }
}

/// Returns the name under which a client-chosen id is claimed, or `None` for a ticket.
pub(crate) fn claim_name(team: &SmolStr, id: &ids::SubmissionId) -> Option<claims::ScopedId> {
    match id {
        ids::SubmissionId::Own(text) => Some((team.clone(), text.clone())),
        ids::SubmissionId::Ticket(_) => None,
    }
}
