//! How long a backend server's answers are waited for.

use bulrushtiller::leased::capacity;
use bulrushtiller::leased::capacity::call_timeout;
use bulrushtiller::leased::messages;
use bulrushtiller::leased::ports;

use crate::leased::fixtures;
use crate::leased::fixtures::START_MS;

/// Answers within a millisecond, as a sound backend server gives them.
fn usual() -> call_timeout::CallTimeout {
    let mut times = call_timeout::CallTimeout::default();
    for _ in 0..20 {
        times.record_response(1);
    }
    times
}

#[test]
fn a_slow_instance_gets_longer_limits_and_a_fast_one_short_ones_again() {
    let mut times = usual();
    let before_ms = times.timeout_ms();

    times.record_response(30);
    let slow_ms = times.timeout_ms();
    for _ in 0..40 {
        times.record_response(1);
    }

    assert_eq!(before_ms, 20);
    assert_eq!(slow_ms, 120);
    assert_eq!(times.timeout_ms(), 20);
}

#[test]
fn an_instance_that_turned_slow_is_heard_within_a_few_calls() {
    // An instance turns so slow that each answer takes 150 ms. Under a fixed short limit no
    // call would ever be answered in time, nothing would tell how slow it is, and a sound
    // backend server would be taken for unreachable.
    let mut times = usual();
    let mut calls = 0;

    while times.timeout_ms() < 150 {
        times.record_timeout();
        calls += 1;
    }
    times.record_response(150);

    assert!(calls <= 4, "{calls} calls");
    assert!(times.timeout_ms() >= 150);
}

/// Room after a second of starts that were answered at once and ended, asked by a list that
/// gets no answer.
fn busy_room() -> (capacity::CapacityManager, messages::RunId) {
    let mut room = fixtures::ready_manager();
    room.watch(
        START_MS,
        &fixtures::watch(fixtures::ENTRY, START_MS, 0, &[]),
    );
    let id = fixtures::run_id(1, 0, 1);
    let order = fixtures::order(fixtures::ENTRY, 1, START_MS, &[(id.clone(), 1_600)]);
    room.order(START_MS, order);
    room.start_answered(START_MS + 1, &id, ports::StartAnswer::Started);
    (room, id)
}

#[test]
fn a_list_without_an_answer_hides_an_end_for_less_than_a_tenth_of_a_second() {
    // Callers find every job late while backend servers leave one call in twenty unanswered:
    // the question what runs is one of them, the runner waits for it in vain and hears of no
    // end, so that half of all room stands empty and is taken for used.
    let (mut room, id) = busy_room();

    let first = room.next_list(START_MS + 5);
    let missed_ms = START_MS + 5 + first.wait_ms + first.timeout_ms;
    room.listed(missed_ms, START_MS + 5, ports::ListAnswer::Lost);
    let again = room.next_list(missed_ms);
    let ended = fixtures::listing_with_end(5_010, 1, id, messages::RunOutcome::Done);
    room.listed(missed_ms + 1, missed_ms, ended);

    assert!(
        missed_ms < START_MS + 100,
        "{} ms in vain",
        missed_ms - START_MS - 5
    );
    assert!(again.timeout_ms > first.timeout_ms);
    assert_eq!(room.runs(), 0);
}

#[test]
fn a_runner_with_nothing_to_hear_of_asks_seldom() {
    let mut room = fixtures::ready_manager();

    let call = room.next_list(START_MS + 5);

    assert_eq!(call.wait_ms, 200);
}
