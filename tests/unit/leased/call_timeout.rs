//! Adaptive time-outs for calls to the backend server.

use bulrushtiller::leased::capacity;
use bulrushtiller::leased::capacity::call_timeout;
use bulrushtiller::leased::messages;
use bulrushtiller::leased::ports;

use crate::leased::fixtures;
use crate::leased::fixtures::START_MS;

/// Returns the time-out after the fast answers of a healthy backend server.
fn after_fast_answers() -> call_timeout::CallTimeout {
    let mut timeout = call_timeout::CallTimeout::default();
    for _ in 0..20 {
        timeout.record_response(1);
    }
    timeout
}

#[test]
fn timeout_rises_with_slow_answers_and_falls_with_fast_ones() {
    let mut timeout = after_fast_answers();
    let before_ms = timeout.timeout_ms();

    timeout.record_response(30);
    let slow_ms = timeout.timeout_ms();
    for _ in 0..40 {
        timeout.record_response(1);
    }

    assert_eq!(before_ms, 20);
    assert_eq!(slow_ms, 120);
    assert_eq!(timeout.timeout_ms(), 20);
}

#[test]
fn timeout_reaches_a_slow_response_time_within_four_calls() {
    // An instance becomes so slow that each answer takes 150 ms. With a fixed short time-out no
    // answer would arrive in time, the response time would remain unknown, and a healthy backend
    // server would count as unreachable.
    let mut timeout = after_fast_answers();
    let mut calls = 0;

    while timeout.timeout_ms() < 150 {
        timeout.record_timeout();
        calls += 1;
    }
    timeout.record_response(150);

    assert!(calls <= 4, "{calls} calls");
    assert!(timeout.timeout_ms() >= 150);
}

/// Returns a runner with one started run.
fn manager_with_run() -> (capacity::CapacityManager, messages::RunId) {
    let mut manager = fixtures::ready_manager();
    manager.watch(
        START_MS,
        &fixtures::watch(fixtures::ENTRY, START_MS, 0, &[]),
    );
    let id = fixtures::run_id(1, 0, 1);
    let order = fixtures::order(fixtures::ENTRY, 1, START_MS, &[(id.clone(), 1_600)]);
    manager.order(START_MS, order);
    manager.start_answered(START_MS + 1, &id, ports::StartAnswer::Started);
    (manager, id)
}

#[test]
fn lost_listing_delays_an_end_by_less_than_100_ms() {
    // Backend servers leave one call in twenty unanswered, listings included. While a runner
    // waits for a lost listing it receives no ends and counts free capacity as used: with a long
    // time-out, half of all capacity stays idle and every job is late.
    let (mut manager, id) = manager_with_run();

    let first = manager.next_list(START_MS + 5);
    let lost_ms = START_MS + 5 + first.wait_ms + first.timeout_ms;
    manager.listed(lost_ms, START_MS + 5, ports::ListAnswer::Lost);
    let again = manager.next_list(lost_ms);
    let ended = fixtures::listing_with_end(5_010, 1, id, messages::RunOutcome::Done);
    manager.listed(lost_ms + 1, lost_ms, ended);

    assert!(
        lost_ms < START_MS + 100,
        "lost listing noticed after {} ms",
        lost_ms - START_MS - 5
    );
    assert!(again.timeout_ms > first.timeout_ms);
    assert_eq!(manager.runs(), 0);
}

#[test]
fn idle_runner_polls_listings_with_the_longest_wait() {
    let mut manager = fixtures::ready_manager();

    let call = manager.next_list(START_MS + 5);

    assert_eq!(call.wait_ms, 200);
}
