//! Delays between the calls of a process to the store.

use std::time;

use bulrushtiller::leased::store_calls;

const MIN: time::Duration = time::Duration::from_millis(100);
const MAX: time::Duration = time::Duration::from_secs(1);

/// Guards against a fleet whose calls all failed at once and all return at once.
#[test]
fn delays_after_failures_grow_and_differ_between_processes() {
    let processes = 200;

    let firsts: Vec<_> = (0..processes)
        .map(|seed| store_calls::Backoff::new(MIN, MAX, seed).fail())
        .collect();
    let mut backoff = store_calls::Backoff::new(MIN, MAX, 7);
    let delays: Vec<_> = (0..10).map(|_| backoff.fail()).collect();

    let early = firsts.iter().filter(|delay| **delay < MIN * 3 / 2).count();
    assert!((60..140).contains(&early), "{early} of {processes}");
    assert!(delays[0] >= MIN && delays[0] < 2 * MIN, "{delays:?}");
    assert!(delays[9] >= MAX && delays[9] <= 2 * MAX, "{delays:?}");
}

#[test]
fn success_resets_the_delays() {
    let mut backoff = store_calls::Backoff::new(MIN, MAX, 7);
    for _ in 0..5 {
        backoff.fail();
    }

    backoff.succeed();

    assert_eq!(backoff.failures(), 0);
    assert!(backoff.fail() < 2 * MIN);
}
