//! Delays between the calls of a process to the store.

use std::time;

use bulrushtiller::leased::pacing;

const MIN: time::Duration = time::Duration::from_millis(100);
const MAX: time::Duration = time::Duration::from_secs(1);

/// Guards against a fleet whose calls all failed at once and all return at once.
#[test]
fn delays_after_failures_grow_and_differ_between_processes() {
    let processes = 200;

    let firsts: Vec<_> = (0..processes)
        .map(|seed| pacing::Backoff::new(MIN, MAX, seed).next_delay())
        .collect();
    let mut backoff = pacing::Backoff::new(MIN, MAX, 7);
    let delays: Vec<_> = (0..10).map(|_| backoff.next_delay()).collect();

    let early = firsts.iter().filter(|delay| **delay < MIN * 3 / 2).count();
    assert!((60..140).contains(&early), "{early} of {processes}");
    assert!(delays[0] >= MIN && delays[0] < 2 * MIN, "{delays:?}");
    assert!(delays[9] >= MAX && delays[9] <= 2 * MAX, "{delays:?}");
}

#[test]
fn reset_returns_to_the_shortest_delay() {
    let mut backoff = pacing::Backoff::new(MIN, MAX, 7);
    for _ in 0..5 {
        backoff.next_delay();
    }

    backoff.reset();

    assert_eq!(backoff.failures(), 0);
    assert!(backoff.next_delay() < 2 * MIN);
}

/// Guards against reads without any pause while every one of them finds a record.
#[test]
fn reads_follow_one_another_at_the_interval() {
    let interval = time::Duration::from_millis(500);
    let mut pace = pacing::ReadPace::new(interval, 7);

    let mut now = time::Duration::ZERO;
    let mut waits = Vec::new();
    for _ in 0..1_000 {
        let delay = pace.delay(now);
        now += delay;
        waits.push(delay);
    }

    assert_eq!(waits[0], time::Duration::ZERO);
    assert!(waits[1..].iter().all(|wait| *wait >= interval / 2));
    let mean = now / 999;
    assert!(mean.abs_diff(interval) < interval / 10, "{mean:?}");
}

#[test]
fn read_after_a_long_wait_is_not_delayed() {
    let interval = time::Duration::from_millis(500);
    let mut pace = pacing::ReadPace::new(interval, 7);
    pace.delay(time::Duration::ZERO);

    let delay = pace.delay(interval * 2);

    assert_eq!(delay, time::Duration::ZERO);
}
