//! What a caller's remaining patience tells.

use bulrushtiller::leased::dispatch::prior_wait;

use super::fixtures;

#[test]
fn who_grants_the_limit_or_more_or_says_nothing_comes_for_the_first_time() {
    let mut prior_wait = prior_wait::PriorWait::default();
    let queue = fixtures::queue();

    let waited = [None, Some(1_500), Some(2_400)].map(|ms| prior_wait.waited_ms(&queue, ms));

    assert_eq!(waited, [0, 0, 0]);
}

#[test]
fn who_has_less_time_than_the_limit_has_waited_the_rest() {
    let mut prior_wait = prior_wait::PriorWait::default();

    let waited_ms = prior_wait.waited_ms(&fixtures::queue(), Some(400));

    assert_eq!(waited_ms, 1_100);
}

/// A queue's callers all grant less than its limit, which operators have set high. None of
/// them has waited; called late, all would be served last, for ever.
#[test]
fn a_queue_whose_callers_are_all_in_a_hurry_has_no_late_ones() {
    let mut prior_wait = prior_wait::PriorWait::default();
    let queue = fixtures::queue();

    let waited: Vec<_> = (0..100)
        .map(|_| prior_wait.waited_ms(&queue, Some(900)))
        .collect();

    assert!(waited[60..].iter().all(|&waited_ms| waited_ms == 0));
}
