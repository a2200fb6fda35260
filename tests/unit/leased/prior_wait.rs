//! Estimates of a caller's prior wait from its timeout.

use bulrushtiller::leased::dispatch::prior_wait;

use super::fixtures;

#[test]
fn caller_without_a_short_timeout_has_not_waited() {
    let mut prior_wait = prior_wait::PriorWait::default();
    let queue = fixtures::queue();

    let waited = [None, Some(1_500), Some(2_400)].map(|ms| prior_wait.waited_ms(&queue, ms));

    assert_eq!(waited, [0, 0, 0]);
}

#[test]
fn caller_with_a_short_timeout_has_waited_the_difference_to_the_limit() {
    let mut prior_wait = prior_wait::PriorWait::default();

    let waited_ms = prior_wait.waited_ms(&fixtures::queue(), Some(400));

    assert_eq!(waited_ms, 1_100);
}

/// Guards against a queue whose jobs are always served last: if operators set its limit far above
/// the timeouts of all its callers, each caller would seem to have waited.
#[test]
fn habitually_short_timeouts_of_a_queue_are_not_prior_waits() {
    let mut prior_wait = prior_wait::PriorWait::default();
    let queue = fixtures::queue();

    let waited: Vec<_> = (0..100)
        .map(|_| prior_wait.waited_ms(&queue, Some(900)))
        .collect();

    assert!(waited[60..].iter().all(|&waited_ms| waited_ms == 0));
}
