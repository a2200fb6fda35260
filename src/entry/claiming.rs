//! What claims on the clients' own submission ids come to at an entry.

use smol_str::SmolStr;

use crate::api;
use crate::claims;
use crate::codes;
use crate::entry::core;
use crate::ids;
use crate::jobs::answer;

/// When to come back with an id that could not be claimed, in milliseconds.
const CLAIM_RETRY_MS: u64 = 1_000;

impl core::Core {
    /// How far the stream of claims was read.
    pub const fn claims_position(&self) -> u64 {
        self.claims.position()
    }

    /// The stream of claims was read, or did not answer.
    pub fn claims_read(&mut self, now_ms: u64, page: Option<&claims::Page>) -> Vec<core::Action> {
        let mut actions = self.wake(now_ms);
        if let Some(page) = page {
            let settled = self.claims.apply(now_ms, page);
            actions.extend(settled.into_iter().map(core::Action::ClaimSettled));
        } else {
            self.claims.mark_unreachable();
        }
        actions.extend(self.append_claims(now_ms));
        actions
    }

    /// An append of claims ended.
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
        let over = self.claims.expire(now_ms);
        over.into_iter().map(core::Action::ClaimSettled).collect()
    }

    /// The call started nothing. That is not the last word on the id unless this life
    /// owns it: the same id may have been claimed through another entry.
    pub(crate) fn claim_unavailable(
        &mut self,
        team: &SmolStr,
        id: ids::SubmissionId,
    ) -> api::Answer {
        let standing = self.standing(team, &id);
        let is_final = standing == Some(claims::ClaimState::Barred { is_mine: true });
        self.counts.refused += 1;
        api::Answer {
            retry_after_ms: Some(CLAIM_RETRY_MS),
            ticket: Some(self.ticket()),
            ..answer::bare(Some(id), codes::Code::ClaimUnavailable, is_final)
        }
    }

    /// How an own id stands; none: it is a ticket.
    pub(crate) fn standing(
        &self,
        team: &SmolStr,
        id: &ids::SubmissionId,
    ) -> Option<claims::ClaimState> {
        let name = claim_name(team, id)?;
        Some(self.claims.state(&name))
    }
}

/// The name under which an own id is claimed.
pub(crate) fn claim_name(team: &SmolStr, id: &ids::SubmissionId) -> Option<claims::ScopedId> {
    match id {
        ids::SubmissionId::Own(text) => Some((team.clone(), text.clone())),
        ids::SubmissionId::Ticket(_) => None,
    }
}
