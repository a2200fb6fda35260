//! Calls that another entry answers: those about its submissions, and submissions
//! that are passed on to it because it leads.

use std::time;

use smol_str::SmolStr;

use crate::api;
use crate::codes;
use crate::entry::http;
use crate::entry::messages;
use crate::entry::passing;
use crate::ids;
use crate::jobs::answer;
use crate::outgoing;
use crate::wire;

/// How much longer than its wait a forwarded call may take.
const GRACE_MS: u64 = 1_000;

/// When to ask again for an answer whose owner is silent, in milliseconds.
const SILENT_RETRY_MS: u64 = 1_000;

/// Longest wait on a kept connection until a submission is taken in: many round trips.
const TAKEN_IN_KEPT: time::Duration = time::Duration::from_millis(300);

/// The same on a fresh connection, after which the caller is told that nothing is known.
const TAKEN_IN_AFRESH: time::Duration = time::Duration::from_secs(1);

/// Passes a call on to the owner; none: it did not answer.
pub(super) async fn forward(
    peer: &wire::Peer,
    team: SmolStr,
    call: wire::Call,
    wait_ms: u64,
) -> Option<api::Answer> {
    let id = http::call_id(&call);
    let message = message(peer, team, call);
    let limit = time::Duration::from_millis(wait_ms.saturating_add(GRACE_MS));
    let path = wire::FORWARD_PATH;
    let reply = outgoing::post_on_new_connection(&peer.address, path, &message, limit).await;
    let reply: Result<wire::ForwardReply, _> = reply;
    // It was not even read, and never will be: to ask again would not help.
    let too_large = codes::Code::TooLarge;
    if matches!(reply, Err(outgoing::CallError::Refused(status)) if status == too_large.http_status())
    {
        return Some(answer::bare(id, too_large, true));
    }
    if let Err(e) = &reply {
        let id = id.as_ref().map(ToString::to_string).unwrap_or_default();
        let to = peer.name.as_str();
        log::warn!(event = "forward.silent", submission = id, to = to; "{e}");
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

/// The owner may be frozen or cut off and go on later, so nobody else starts the
/// submission and the last word is not spoken.
pub(super) fn silent(
    id: Option<ids::SubmissionId>,
    (code, is_final): (codes::Code, bool),
) -> api::Answer {
    api::Answer {
        retry_after_ms: (!is_final).then_some(SILENT_RETRY_MS),
        ..answer::bare(id, code, is_final)
    }
}

/// Passes a submission without an id on to the leading entry, under a ticket of it.
///
/// It is asked twice: to take the submission in, which it answers at once, and then for
/// the answer. So a leading entry that is frozen costs the caller a second and not its
/// whole wait. Where it did not take the submission in, it is kept here.
pub(super) async fn pass_on(
    shared: &http::Shared,
    to: &wire::Peer,
    team: SmolStr,
    submission: api::Submission,
    ticket: ids::SubmissionId,
) -> api::Answer {
    let (id, name) = (ticket.to_string(), to.name.as_str());
    log::info!(event = "submission.passed_on", submission = id, to = name; "passed on");
    let unknown = (codes::Code::OwnerSilent, false);
    let wait_ms = submission.wait_ms;
    match take_in(to, &team, &submission, &ticket).await {
        passing::Passed::Declined => keep(shared, team, submission, &id).await,
        passing::Passed::Unknown => silent(Some(ticket), unknown),
        passing::Passed::Answer(answer) if answer.is_final || wait_ms == 0 => *answer,
        passing::Passed::Answer(_pending) => {
            let call = wire::Call::Fetch {
                submission: ticket.clone(),
                wait_ms,
            };
            let answer = forward(to, team, call, wait_ms).await;
            answer.unwrap_or_else(|| silent(Some(ticket), unknown))
        }
    }
}

/// Has the submission taken in, without waiting for its answer.
///
/// A kept connection may have gone silent for good while new ones work. It shows as no
/// answer within many round trips; a repeat on a fresh connection does no harm, since
/// both carry the same ticket.
async fn take_in(
    to: &wire::Peer,
    team: &SmolStr,
    submission: &api::Submission,
    ticket: &ids::SubmissionId,
) -> passing::Passed {
    let submission = api::Submission {
        submission: Some(ticket.clone()),
        wait_ms: 0,
        ..submission.clone()
    };
    let call = wire::Call::Submit(submission);
    let message = message(to, team.clone(), call);
    let (address, path) = (&to.address, wire::FORWARD_PATH);
    let kept = outgoing::thread_client();
    let reply = outgoing::post(&kept, address, path, &message, TAKEN_IN_KEPT).await;
    match reply.map(|reply: wire::ForwardReply| reply.answer) {
        Ok(answer) => return passing::first_word(answer),
        // Refused by its HTTP status it was not even read: too large for a message
        // between processes, for one, which the settings may allow callers.
        Err(outgoing::CallError::NotSent(_) | outgoing::CallError::Refused(_)) => {
            return passing::Passed::Declined;
        }
        Err(e) => {
            let (id, to) = (ticket.to_string(), to.name.as_str());
            log::warn!(event = "pass_on.silent", submission = id, to = to; "{e}");
        }
    }
    let reply = outgoing::post_on_new_connection(address, path, &message, TAKEN_IN_AFRESH).await;
    reply.map_or(passing::Passed::Unknown, |reply: wire::ForwardReply| {
        passing::second_word(reply.answer)
    })
}

/// Takes a submission in here after all; `declined` is the ticket that the other entry
/// did nothing with.
async fn keep(
    shared: &http::Shared,
    team: SmolStr,
    submission: api::Submission,
    declined: &str,
) -> api::Answer {
    let Ok(ticket) = shared.control.send(messages::WantOwnTicket).await else {
        return answer::bare(None, codes::Code::Leaving, true);
    };
    let id = ticket.to_string();
    log::info!(event = "pass_on.declined", submission = id, declined = declined; "kept here");
    let submission = api::Submission {
        submission: Some(ticket),
        ..submission
    };
    Box::pin(shared.call(team, wire::Call::Submit(submission))).await
}
