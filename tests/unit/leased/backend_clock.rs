//! A runner's estimate of its backend server's clock.

use bulrushtiller::leased::capacity;
use bulrushtiller::leased::capacity::backend_clock;
use bulrushtiller::leased::clock_estimate;
use rstest::rstest;

use super::fixtures::START_MS;

/// Reading of the backend server's clock at [`START_MS`].
const READING_MS: u64 = 5_000;

/// Time in which the system recovers, as the platform bounds it, in milliseconds.
const RECOVERY_MS: u64 = 12_000;

/// Rate of the slowest clock that the platform allows, in percent.
const SLOWEST_PERCENT: u64 = 98;

/// Returns a reading with the answer to a call, at times since [`START_MS`].
fn reading(clock_ms: u64, sent_at_ms: u64, received_at_ms: u64) -> clock_estimate::Reading {
    clock_estimate::Reading {
        clock_ms: READING_MS + clock_ms,
        sent_at_ms: START_MS + sent_at_ms,
        received_at_ms: START_MS + received_at_ms,
    }
}

/// Returns a clock with one reading.
fn known_clock() -> backend_clock::BackendClock {
    let mut clock = backend_clock::BackendClock::default();
    clock.record(&reading(0, 0, 0));
    clock
}

/// Guards against leases that end too early: a reading that waited in a socket while the runner
/// was suspended is not one of now.
#[test]
fn reading_that_waited_in_a_socket_does_not_set_the_estimate_back() {
    let mut clock = known_clock();

    clock.record(&reading(50, 5, 600));
    let until_ms = clock.grant(START_MS + 600, 700);

    // 600 ms on the slowest clock are 588 ms.
    assert_eq!(until_ms, READING_MS + 588 + 700);
}

/// Guards against an estimate that falls ever further behind: a reading that is ahead of it is
/// taken.
#[test]
fn reading_ahead_of_the_estimate_is_taken() {
    let mut clock = known_clock();

    clock.record(&reading(599, 590, 600));

    assert_eq!(clock.estimate_ms(START_MS + 600), READING_MS + 599);
}

/// Guards against an estimate that goes back without need, whatever readings arrive late and in which
/// order.
#[rstest]
#[case::all_late(&[(100, 10), (200, 20), (900, 30), (1_000, 980)])]
#[case::in_between(&[(100, 100), (150, 120), (800, 130), (810, 805)])]
fn estimate_never_goes_back(#[case] readings: &[(u64, u64)]) {
    let mut clock = known_clock();

    for &(received_ms, reading_ms) in readings {
        let now_ms = START_MS + received_ms;
        let before_ms = clock.estimate_ms(now_ms);
        clock.record(&reading(
            reading_ms,
            reading_ms.saturating_sub(10),
            received_ms,
        ));

        assert!(clock.estimate_ms(now_ms) >= before_ms, "at {received_ms}");
        assert!(clock.estimate_ms(now_ms) <= READING_MS + received_ms);
    }
}

/// Guards against a task that runs twice at a time: on the slowest clock allowed, a lease must not
/// end later than it was granted for, however old the last reading is.
#[rstest]
#[case::fresh_reading(0)]
#[case::reading_before_a_pause(550)]
#[case::listings_unanswered_for_long(5_000)]
fn lease_ends_in_time_on_the_slowest_clock(#[case] reading_age_ms: u64) {
    let mut clock = known_clock();
    let now_ms = START_MS + reading_age_ms;

    let until_ms = clock.grant(now_ms, capacity::OWNER_LEASE_MS);

    // What the backend server's clock shows `OWNER_LEASE_MS` later, and 2 % of that.
    let latest_ms = reading_age_ms + capacity::OWNER_LEASE_MS * 100 / SLOWEST_PERCENT;
    assert!(until_ms <= READING_MS + latest_ms * SLOWEST_PERCENT / 100 + 1);
}

/// Guards against two runs of a task at a time: the instance of a backend server was suspended, its
/// steady clock did not count that time, and a later refusal counts as the end of all leases.
#[test]
fn estimate_that_counts_a_suspension_is_set_back() {
    let mut clock = known_clock();
    let before_ms = clock.estimate_ms(START_MS + 4_100);

    clock.record(&reading(30, 5, 4_030));
    let by_a_call_of_before_ms = clock.estimate_ms(START_MS + 4_100);
    clock.record(&reading(90, 4_060, 4_100));
    let until_ms = clock.grant(START_MS + 4_100, 700);

    assert!(before_ms > READING_MS + 4_000);
    assert_eq!(by_a_call_of_before_ms, before_ms);
    assert_eq!(until_ms, READING_MS + 90 + 700);
    assert!(!clock.has_expired(START_MS + 4_100 + 700));
    assert!(clock.has_expired(START_MS + 4_100 + 720));
}

/// Guards against an estimate that is set back although the clock may be there: a reading may have
/// been taken at any time since its call was sent, and the clock may be fast.
#[rstest]
#[case::within(537, 588)]
#[case::beyond(536, 536)]
fn estimate_is_set_back_only_beyond_what_the_clock_can_show(
    #[case] clock_ms: u64,
    #[case] expected_ms: u64,
) {
    let mut clock = known_clock();

    // The call took 50 ms, so the clock shows 51 ms more than the reading at most.
    clock.record(&reading(clock_ms, 550, 600));

    assert_eq!(clock.estimate_ms(START_MS + 600), READING_MS + expected_ms);
}

/// Guards against runs that count as ended under a lease that was granted while the estimate was
/// ahead.
#[test]
fn lease_granted_ahead_counts_until_it_ends_on_the_clock() {
    let mut clock = known_clock();
    let until_ms = clock.grant(START_MS + 4_000, 700);
    clock.record(&reading(10, 4_001, 4_003));

    let left_ms = until_ms - (READING_MS + 10);

    assert!(!clock.has_expired(START_MS + 4_003 + left_ms));
    assert!(clock.has_expired(START_MS + 4_003 + left_ms * 100 / SLOWEST_PERCENT + 2));
}

/// Guards against runs that count as ended while the instance was suspended with them: nothing shows
/// that the clock of the backend server went on.
#[test]
fn suspension_of_this_process_ends_no_lease() {
    let mut clock = known_clock();
    clock.grant(START_MS, 700);
    let before_the_pause = clock.has_expired(START_MS + 2_000);

    clock.resume(START_MS + 2_000);
    let after_it = clock.has_expired(START_MS + 2_000);
    let without_an_answer = clock.has_expired(START_MS + 2_000 + 720);

    assert!(before_the_pause);
    assert!(!after_it);
    assert!(without_an_answer);
}

/// Guards against leases that outlast their runner: those that are granted right after a suspension of
/// the instance, before the backend server has answered.
#[test]
fn suspended_time_is_not_counted_before_the_next_reading() {
    let mut clock = known_clock();

    clock.instance_suspended(START_MS + 4_000, 4_000);
    let until_ms = clock.grant(START_MS + 4_000, 700);

    assert_eq!(until_ms, READING_MS + 700);
}

/// Guards against runs that are held for ever: a runner that is short of processor time stands still
/// again and again, and its backend server works on and cannot be reached.
#[test]
fn leases_are_over_in_time_at_a_runner_that_stands_still_again_and_again() {
    let mut clock = known_clock();
    clock.grant(START_MS, 700);

    for at_ms in (300..RECOVERY_MS).step_by(300) {
        clock.resume(START_MS + at_ms);
    }

    assert!(clock.has_expired(START_MS + RECOVERY_MS));
}
