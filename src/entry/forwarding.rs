//! Calls that another entry answers: calls about its submissions, and new submissions
//! passed on to it because it leads.

use std::time;

use smol_str::SmolStr;

use crate::api;
use crate::codes;
use crate::entry::http;
use crate::entry::messages;
use crate::entry::pass_on;
use crate::ids;
use crate::jobs::answer;
use crate::outgoing;
use crate::wire;

/// Time that a forwarded call may take beyond its wait, in milliseconds.
const FORWARD_GRACE_MS: u64 = 1_000;

/// Retry delay given to callers when the owner does not reply, in milliseconds.
const UNANSWERED_RETRY_MS: u64 = 1_000;

/// Time-out for the acceptance of a submission over a kept connection: many round trips.
const KEPT_CONNECTION_TIMEOUT: time::Duration = time::Duration::from_millis(300);

/// Time-out for the acceptance over a fresh connection, after which the answer to the
/// caller says that the state of its submission is unknown.
const FRESH_CONNECTION_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Forwards a call to the owner; returns `None` if it does not reply.
pub(super) async fn forward(
    peer: &wire::Peer,
    team: SmolStr,
    call: wire::Call,
    wait_ms: u64,
) -> Option<api::Answer> {
    let id = http::call_id(&call);
    let message = message(peer, team, call);
    let limit = time::Duration::from_millis(wait_ms.saturating_add(FORWARD_GRACE_MS));
    let path = wire::FORWARD_PATH;
    let reply = outgoing::post_on_new_connection(&peer.address, path, &message, limit).await;
    let reply: Result<wire::ForwardReply, _> = reply;
    // The body was not read and a retry would be refused as well.
    let too_large = codes::Code::TooLarge;
    if matches!(reply, Err(outgoing::CallError::Refused(status)) if status == too_large.http_status())
    {
        return Some(answer::bare(id, too_large, true));
    }
    if let Err(e) = &reply {
        let id = id.as_ref().map(ToString::to_string).unwrap_or_default();
        let to = peer.name.as_str();
        log::warn!(event = "forward.silent", submission = id, to = to; "owner did not answer a forwarded call: {e}; its outcome is unknown to the caller");
    }
    Some(reply.ok()?.answer)
}

const fn message(peer: &wire::Peer, team: SmolStr, call: wire::Call) -> wire::Forward {
    wire::Forward {
        version: wire::VERSION,
        incarnation: peer.incarnation,
        team,
        call,
    }
}

/// Builds the answer for a call whose owner did not reply.
///
/// An owner that is suspended or partitioned may continue later, so no other entry starts
/// the submission, and the answer is not final unless the owner is known to have ended.
pub(super) fn unanswered(
    id: Option<ids::SubmissionId>,
    (code, is_final): (codes::Code, bool),
) -> api::Answer {
    api::Answer {
        retry_after_ms: (!is_final).then_some(UNANSWERED_RETRY_MS),
        ..answer::bare(id, code, is_final)
    }
}

/// Passes a submission without an id on to the leading entry, under one of its tickets.
///
/// The first call has the submission accepted, which is confirmed at once; the second
/// fetches the answer. A suspended leading entry thus costs the caller about a second
/// instead of its whole wait. If the submission is not accepted, it is placed here.
pub(super) async fn pass_on_submission(
    shared: &http::Shared,
    to: &wire::Peer,
    team: SmolStr,
    submission: api::Submission,
    ticket: ids::SubmissionId,
) -> api::Answer {
    let (id, name) = (ticket.to_string(), to.name.as_str());
    log::info!(event = "submission.passed_on", submission = id, to = name; "submission passed on to the leading entry");
    let unknown = (codes::Code::OwnerSilent, false);
    let wait_ms = submission.wait_ms;
    match submit_to_leader(to, &team, &submission, &ticket).await {
        pass_on::Outcome::Declined => submit_here(shared, team, submission, &id).await,
        pass_on::Outcome::Unknown => unanswered(Some(ticket), unknown),
        pass_on::Outcome::Answer(answer) if answer.is_final || wait_ms == 0 => *answer,
        pass_on::Outcome::Answer(_pending) => {
            let call = wire::Call::Fetch {
                submission: ticket.clone(),
                wait_ms,
            };
            let answer = forward(to, team, call, wait_ms).await;
            answer.unwrap_or_else(|| unanswered(Some(ticket), unknown))
        }
    }
}

/// Submits to the leading entry without waiting for the task outcomes.
///
/// A kept connection may be dead without having been closed while new ones work, so no
/// reply within [`KEPT_CONNECTION_TIMEOUT`] leads to a repeat on a fresh connection. The
/// repeat is safe because both copies carry the same ticket.
async fn submit_to_leader(
    to: &wire::Peer,
    team: &SmolStr,
    submission: &api::Submission,
    ticket: &ids::SubmissionId,
) -> pass_on::Outcome {
    let submission = api::Submission {
        submission: Some(ticket.clone()),
        wait_ms: 0,
        ..submission.clone()
    };
    let call = wire::Call::Submit(submission);
    let message = message(to, team.clone(), call);
    let (address, path) = (&to.address, wire::FORWARD_PATH);
    let kept = outgoing::thread_client();
    let reply = outgoing::post(&kept, address, path, &message, KEPT_CONNECTION_TIMEOUT).await;
    match reply.map(|reply: wire::ForwardReply| reply.answer) {
        Ok(answer) => return pass_on::first_copy_outcome(answer),
        // Refused by HTTP status, the body was not read. It may exceed the limit for
        // messages between processes, which can be below the callers' limit in the settings.
        Err(outgoing::CallError::NotSent(_) | outgoing::CallError::Refused(_)) => {
            return pass_on::Outcome::Declined;
        }
        Err(e) => {
            let (id, to) = (ticket.to_string(), to.name.as_str());
            log::warn!(event = "pass_on.silent", submission = id, to = to; "no reply on a kept connection: {e}; repeating on a fresh one");
        }
    }
    let reply =
        outgoing::post_on_new_connection(address, path, &message, FRESH_CONNECTION_TIMEOUT).await;
    reply.map_or(pass_on::Outcome::Unknown, |reply: wire::ForwardReply| {
        pass_on::second_copy_outcome(reply.answer)
    })
}

/// Submits to this entry after the leading one declined; `declined` is the unused ticket.
async fn submit_here(
    shared: &http::Shared,
    team: SmolStr,
    submission: api::Submission,
    declined: &str,
) -> api::Answer {
    let Ok(ticket) = shared.control.send(messages::IssueOwnTicket).await else {
        return answer::bare(None, codes::Code::Leaving, true);
    };
    let id = ticket.to_string();
    log::info!(event = "pass_on.declined", submission = id, declined = declined; "leading entry declined the submission; placing it here");
    let submission = api::Submission {
        submission: Some(ticket),
        ..submission
    };
    Box::pin(shared.call(team, wire::Call::Submit(submission))).await
}
