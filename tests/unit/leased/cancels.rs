//! Cancels of jobs that other entries may hold: who is notified, and what callers are answered.

use std::collections;

use smol_str::SmolStr;

use bulrushtiller::leased::cancels;
use bulrushtiller::leased::cancels::kept;
use bulrushtiller::leased::cancels::messages;
use bulrushtiller::leased::cancels::open;
use bulrushtiller::leased::cancels::peer;
use bulrushtiller::leased::ports;

use super::fixtures::START_MS;

/// Cancel limit of the entry under test, in milliseconds.
const LIMIT_MS: u64 = 3_000;

/// Time after which a first message has certainly been sent, in milliseconds.
const SENT_MS: u64 = START_MS + cancels::COLLECT_MS;

fn id(number: u64) -> SmolStr {
    smol_str::format_smolstr!("{number:016x}")
}

fn peers(entries: &[(&str, &str)]) -> Vec<ports::Peer> {
    let peer = |(address, zone): &(&str, &str)| ports::Peer {
        address: (*address).into(),
        zone: (*zone).into(),
        cpu_milli: 500,
    };
    entries.iter().map(peer).collect()
}

/// Creates an entry of zone `bento` that knows other entries, given by address and zone.
fn entry(others: &[(&str, &str)]) -> cancels::Cancels {
    let mut entry = cancels::Cancels::new("bento".into(), LIMIT_MS);
    entry.update_peers(START_MS, &peers(others));
    entry
}

/// Splits actions into calls and answers.
fn split(actions: Vec<cancels::Action>) -> (Vec<cancels::Call>, Vec<cancels::Answer>) {
    let (mut calls, mut answers) = (Vec::new(), Vec::new());
    for action in actions {
        match action {
            cancels::Action::Call(call) => calls.push(call),
            cancels::Action::Answer(_, answer) => answers.push(answer),
        }
    }
    (calls, answers)
}

fn calls_at(entry: &mut cancels::Cancels, now_ms: u64) -> Vec<cancels::Call> {
    split(entry.tick(now_ms)).0
}

/// Address of an entry that no relaying entry reaches either.
const GONE: &str = "gone";

/// Answers a call; a notice is relayed to all but [`GONE`].
fn answer(
    entry: &mut cancels::Cancels,
    now_ms: u64,
    call: &cancels::Call,
    held: &[SmolStr],
) -> Vec<cancels::Answer> {
    let relayed = call.notice.relay_to.iter().filter(|to| **to != GONE);
    let reply = messages::Reply {
        held: held.to_vec(),
        relayed: relayed.cloned().collect(),
    };
    split(entry.answered(now_ms, call.number, Some(&reply))).1
}

/// Events with their times.
type Timed<E> = Vec<(u64, E)>;

/// Runs an entry for some time while `is_silent` decides which peers don't answer within their
/// time limit; returns the calls with their times, and the answers.
fn run(
    entry: &mut cancels::Cancels,
    period: std::ops::Range<u64>,
    is_silent: impl Fn(&str) -> bool,
) -> (Timed<cancels::Call>, Timed<cancels::Answer>) {
    let (mut sent, mut answered): (Timed<cancels::Call>, Timed<_>) = (Vec::new(), Vec::new());
    for now_ms in period.step_by(10) {
        let lost = sent
            .iter()
            .filter(|(at_ms, call)| is_silent(&call.to) && at_ms + call.limit_ms == now_ms);
        let lost: Vec<_> = lost.map(|(_, call)| call.number).collect();
        for number in lost {
            entry.answered(now_ms, number, None);
        }
        let (calls, answers) = split(entry.tick(now_ms));
        answered.extend(answers.into_iter().map(|answer| (now_ms, answer)));
        for call in calls {
            if !is_silent(&call.to) {
                let answers = answer(entry, now_ms, &call, &[]);
                answered.extend(answers.into_iter().map(|answer| (now_ms, answer)));
            }
            sent.push((now_ms, call));
        }
    }
    (sent, answered)
}

/// Guards against a cancel that is answered 410 while another entry runs the job.
#[test]
fn cancel_is_accepted_as_soon_as_a_peer_held_the_job() {
    let mut entry = entry(&[("a", "bento"), ("b", "caxias")]);
    entry.cancel(START_MS, &id(1), false, 1);
    let calls = calls_at(&mut entry, SENT_MS);

    let answers = answer(&mut entry, SENT_MS, &calls[1], &[id(1)]);
    let repeated = split(entry.cancel(SENT_MS, &id(1), false, 2)).1;

    assert_eq!(answers, [cancels::Answer::Accepted]);
    assert_eq!(repeated, [cancels::Answer::Accepted]);
}

/// Guards against a 410 before every entry has answered.
#[test]
fn job_is_unknown_once_every_peer_has_answered() {
    let mut entry = entry(&[("a", "bento"), ("b", "caxias")]);
    entry.cancel(START_MS, &id(1), false, 1);
    let calls = calls_at(&mut entry, SENT_MS);

    let first = answer(&mut entry, SENT_MS, &calls[0], &[]);
    let second = answer(&mut entry, SENT_MS, &calls[1], &[]);

    assert_eq!((first.len(), second), (0, vec![cancels::Answer::Unknown]));
    assert!(entry.is_settled());
}

/// Guards against a caller that waits for a silent entry, and against one that is given up while it
/// may go on with the job, or called without end.
#[test]
fn silent_peer_is_tried_as_long_as_the_cancel_is_kept() {
    let mut entry = entry(&[("a", "caxias")]);
    entry.cancel(START_MS, &id(1), false, 1);

    let kept_ms = cancels::KEPT_LIMITS * LIMIT_MS;
    let (sent, answers) = run(&mut entry, START_MS..START_MS + 2 * kept_ms, |_| true);

    let accepted_ms = START_MS + open::ANSWER_LIMIT_MS;
    assert_eq!(answers, [(accepted_ms, cancels::Answer::Accepted)]);
    let (in_time, late): (Vec<_>, Vec<_>) = sent
        .into_iter()
        .partition(|(at_ms, _)| *at_ms < START_MS + LIMIT_MS);
    assert_eq!(in_time.len() as u64, LIMIT_MS / cancels::RETRY_MS);
    let late_calls = (kept_ms - LIMIT_MS) / cancels::LATE_RETRY_MS;
    assert_eq!(late.len() as u64, late_calls);
    assert!(late.iter().all(|(at_ms, _)| *at_ms < START_MS + kept_ms));
    assert_eq!(entry.counts().undelivered, 1);
    assert!(entry.is_settled());
}

/// Guards against a cut link between two zones that keeps a cancel from its entry.
#[test]
fn entry_of_a_third_zone_relays_to_a_silent_peer() {
    let others = [
        ("a", "bento"),
        ("b", "caxias"),
        ("c", "caxias"),
        ("d", "garibaldi"),
    ];
    let mut entry = entry(&others);
    entry.cancel(START_MS, &id(1), false, 1);

    let (sent, answers) = run(&mut entry, START_MS..START_MS + 1_000, |to| to == "b");

    let relays = sent
        .iter()
        .filter(|(_, call)| !call.notice.relay_to.is_empty());
    let relays: Vec<_> = relays
        .map(|(_, call)| (&*call.to, &*call.notice.relay_to[0]))
        .collect();
    assert_eq!(relays, [("d", "b")]);
    assert_eq!(
        answers,
        [(SENT_MS + cancels::RETRY_MS, cancels::Answer::Unknown)]
    );
}

/// Guards against one relaying entry that is asked again and again although it can't help.
#[test]
fn each_attempt_asks_another_entry_to_relay() {
    let mut entry = entry(&[("a", "bento"), ("b", "caxias"), ("d", "garibaldi")]);
    entry.cancel(START_MS, &id(1), false, 1);
    let is_silent = |to: &str| to == "b";
    let mut relayers = Vec::new();
    for now_ms in (START_MS..START_MS + 1_000).step_by(10) {
        for call in calls_at(&mut entry, now_ms) {
            if call.notice.relay_to.is_empty() && !is_silent(&call.to) {
                answer(&mut entry, now_ms, &call, &[]);
                continue;
            }
            if !call.notice.relay_to.is_empty() {
                relayers.push(call.to.clone());
            }
            entry.answered(now_ms, call.number, None);
        }
    }

    assert_eq!(relayers, ["d", "a", "d"]);
}

/// Guards against a job that overtook its cancel's caller and starts although it was cancelled.
#[test]
fn job_that_arrives_after_its_cancel_is_intercepted() {
    let mut entry = entry(&[]);
    let notice = messages::Notice::direct(vec![id(1)]);
    entry.receive(START_MS, &notice, &collections::HashSet::new());

    let kept_ms = cancels::KEPT_LIMITS * LIMIT_MS;
    let other = entry.intercept(START_MS, &id(2));
    let in_time = entry.intercept(START_MS + kept_ms - 1, &id(1));
    entry.tick(START_MS + kept_ms);
    let later = entry.intercept(START_MS + kept_ms, &id(1));

    assert!(other.is_none() && in_time.is_some() && later.is_none());
    assert_eq!(entry.kept(), 0);
}

/// Guards against a cancel that ends with the first copy of a job, and is told to nobody else.
#[test]
fn job_that_was_held_here_and_submitted_elsewhere_is_cancelled_there() {
    let mut entry = entry(&[("a", "bento")]);
    entry.cancel(START_MS, &id(1), true, 1);
    let first = calls_at(&mut entry, SENT_MS);

    answer(&mut entry, SENT_MS, &first[0], &[]);
    let answers = split(entry.cancel(SENT_MS, &id(1), false, 2)).1;
    let second = calls_at(&mut entry, SENT_MS + cancels::COLLECT_MS);

    assert_eq!(answers, [cancels::Answer::Accepted]);
    assert_eq!((first.len(), second.len()), (1, 1));
    assert_eq!(first[0].notice.ids, [id(1)]);
}

/// Guards against a second cancel that lapses with the first one of the same id.
#[test]
fn later_cancel_is_kept_for_its_own_time() {
    let mut entry = entry(&[]);
    let notice = messages::Notice::direct(vec![id(1)]);
    entry.receive(START_MS, &notice, &collections::HashSet::new());
    entry.receive(
        START_MS + cancels::KEPT_LIMITS * LIMIT_MS - 100,
        &notice,
        &collections::HashSet::new(),
    );

    let kept_ms = cancels::KEPT_LIMITS * LIMIT_MS;
    entry.tick(START_MS + kept_ms);

    let later_ms = START_MS + kept_ms + LIMIT_MS;
    assert!(entry.intercept(later_ms, &id(1)).is_some());
}

/// Guards against a false 410 after the answer to a first copy of the message was lost.
#[test]
fn repeated_notice_is_answered_like_the_first() {
    let mut entry = entry(&[]);
    let notice = messages::Notice::direct(vec![id(1), id(2)]);

    let first = entry.receive(START_MS, &notice, &[id(1)].into());
    let second = entry.receive(START_MS + 250, &notice, &collections::HashSet::new());

    assert_eq!(first.held, [id(1)]);
    assert_eq!(first, second);
    assert_eq!(entry.kept(), 2);
}

/// Guards against a cancel that ends with the entry that received it first.
#[test]
fn caller_that_asks_a_second_entry_is_answered_by_it() {
    let mut holder = entry(&[]);
    let notice = messages::Notice::direct(vec![id(1)]);
    holder.receive(START_MS, &notice, &[id(1)].into());
    let mut second = entry(&[("first", "bento"), ("holder", "caxias")]);
    second.cancel(START_MS + 600, &id(1), false, 1);

    let calls = calls_at(&mut second, SENT_MS + 600);
    let reply = holder.receive(
        SENT_MS + 600,
        &calls[1].notice,
        &collections::HashSet::new(),
    );
    let answers = answer(&mut second, SENT_MS + 600, &calls[1], &reply.held);

    assert_eq!(answers, [cancels::Answer::Accepted]);
}

/// Guards against callers that wait for an entry that is gone for good.
#[test]
fn peer_without_an_answer_for_long_is_notified_but_not_awaited() {
    let mut entry = entry(&[("a", "bento"), (GONE, "caxias")]);
    let mut answered = Vec::new();
    let mut is_notified = false;
    for round in 0..3 {
        let period_ms = peer::GONE_MS + LIMIT_MS;
        let start_ms = START_MS + round * period_ms;
        let end_ms = start_ms + period_ms;
        entry.cancel(start_ms, &id(round), false, round);
        let (sent, answers) = run(&mut entry, start_ms..end_ms, |to| to == GONE);
        answered.extend(
            answers
                .into_iter()
                .map(|(at_ms, answer)| (at_ms - start_ms, answer)),
        );
        is_notified = sent.iter().any(|(_, call)| call.to == GONE);
    }

    let unconfirmed = (open::ANSWER_LIMIT_MS, cancels::Answer::Accepted);
    let unknown = (cancels::COLLECT_MS, cancels::Answer::Unknown);
    assert_eq!(answered, [unconfirmed, unconfirmed, unknown]);
    assert!(is_notified);
}

/// Guards against an entry that calls a job unknown before it knows the other entries.
#[test]
fn cancel_before_the_list_of_entries_reaches_them_later() {
    let mut entry = cancels::Cancels::new("bento".into(), LIMIT_MS);
    let at_once = split(entry.cancel(START_MS, &id(1), false, 1)).1;
    let listed_ms = START_MS + 100;
    entry.update_peers(listed_ms, &peers(&[("a", "bento")]));

    let calls = calls_at(&mut entry, listed_ms + cancels::COLLECT_MS);
    let answers = answer(
        &mut entry,
        listed_ms + cancels::COLLECT_MS,
        &calls[0],
        &[id(1)],
    );

    assert!(at_once.is_empty());
    assert_eq!(answers, [cancels::Answer::Accepted]);
}

/// Guards against messages that grow as entries times cancels.
#[test]
fn number_of_messages_is_bounded_by_entries_and_time() {
    let others: Vec<_> = (0..9).map(|at| format!("10.0.0.{at}:7720")).collect();
    let others: Vec<_> = others.iter().map(|address| (&**address, "bento")).collect();
    let mut entry = entry(&others);
    let (period_ms, cancels_per_tick) = (1_000, 50);
    let mut messages = 0_u64;
    for now_ms in (START_MS..START_MS + period_ms).step_by(10) {
        for number in 0..cancels_per_tick {
            entry.cancel(now_ms, &id((now_ms << 8) + number), false, number);
        }
        for call in calls_at(&mut entry, now_ms) {
            messages += 1;
            answer(&mut entry, now_ms, &call, &[]);
        }
    }

    assert!(
        messages <= 9 * period_ms / cancels::COLLECT_MS,
        "{messages}"
    );
    assert!(messages >= 9 * 30, "{messages}");
}

/// Guards against memory that grows with the number of cancels.
#[test]
fn oldest_ids_are_dropped_beyond_the_bound() {
    let mut entry = entry(&[("a", "bento")]);
    let max = kept::MAX_KEPT as u64;
    for number in 0..=max {
        entry.cancel(START_MS + number / 100, &id(number), false, number);
    }

    let first = entry.intercept(START_MS + 100, &id(0));
    let last = entry.intercept(START_MS + 100, &id(max));
    let calls = calls_at(&mut entry, START_MS + 100);

    assert_eq!((entry.kept(), entry.counts().dropped), (kept::MAX_KEPT, 1));
    assert!(first.is_none() && last.is_some());
    assert!(calls[0].notice.ids.len() <= 1_000);
}

/// Guards against ids in memory that no job can have.
#[test]
fn notice_with_an_invalid_id_is_refused() {
    let notice = messages::Notice::direct(vec!["x".repeat(5_000).into()]);

    let received = messages::Notice::try_from(messages::CancelJobs::from(notice));

    assert_eq!(received, Err(messages::MessageError::InvalidId));
}
