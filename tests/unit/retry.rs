//! The retry budget, compared with an integer count, and the schedule of retries.

use bulrushtiller::jobs;
use bulrushtiller::queue;
use bulrushtiller::retry;
use bulrushtiller::settings;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use rstest::rstest;

use crate::settings::fixtures;

fn policy(retry_burst: u32, retry_ratio: f64) -> settings::Policy {
    settings::Policy {
        retry_burst,
        retry_ratio,
        ..settings::Policy::default()
    }
}

fn item(index: u32) -> queue::Item {
    let task = jobs::TaskKey {
        submission: jobs::Key::default(),
        index,
    };
    queue::Item {
        task,
        team: queue::TeamKey::default(),
        expected_ms: 100,
        rank_ms: 0,
    }
}

#[test]
fn budget_equals_a_count_in_quarters() {
    let mut runner = fixtures::fixed_runner(512);
    let steps = proptest::collection::vec((0_usize..6, 0_usize..4), 1..60);
    let policy = policy(5, 0.25);

    let result = runner.run(&steps, |steps| {
        let mut budget = retry::Budget::new(&policy);
        let mut quarters = 20;
        for (earned, wanted) in steps {
            budget.earn(earned, &policy);
            quarters = (quarters + earned).min(20);
            for _ in 0..wanted {
                let is_allowed = quarters >= 4;
                prop_assert_eq!(budget.take(), is_allowed);
                quarters -= if is_allowed { 4 } else { 0 };
            }
        }
        Ok(())
    });

    assert_eq!(result, Ok(()));
}

#[test]
fn retry_is_due_once_and_never_at_or_after_the_deadline() {
    let mut runner = fixtures::fixed_runner(256);
    let plans = proptest::collection::vec((0_u64..500, 0_u64..3_000, 0_u32..8), 1..40);
    let policy = policy(10_000, 0.0);

    let result = runner.run(&plans, |plans| {
        let mut retries = retry::Retries::new(&policy);
        let mut now_ms = 0;
        let mut scheduled = 0;
        let mut due = 0;
        let mut latest_ms = 0;
        for (elapsed_ms, left_ms, index) in plans {
            now_ms += elapsed_ms;
            due += retries.due(now_ms).len();
            if retries.schedule(now_ms, now_ms + left_ms, item(index), u64::from(index)) {
                scheduled += 1;
                latest_ms = latest_ms.max(now_ms + left_ms - 1);
            }
        }
        due += retries.due(latest_ms).len();
        prop_assert_eq!(due, scheduled);
        prop_assert!(retries.due(u64::MAX).is_empty());
        Ok(())
    });

    assert_eq!(result, Ok(()));
}

#[rstest]
#[case::first_retry(0, 20, 40)]
#[case::second_retry(1, 40, 80)]
#[case::last_retry(7, 1_000, 2_000)]
fn delays_double_and_have_jitter(#[case] retry: usize, #[case] least: u64, #[case] most: u64) {
    let delays: Vec<u64> = (0..50)
        .filter_map(|seed| retry::delay_ms(retry, seed))
        .collect();

    assert_eq!(delays.len(), 50);
    assert!(
        delays.iter().all(|delay| (least..=most).contains(delay)),
        "{delays:?}"
    );
    assert!(
        delays.iter().any(|delay| *delay != delays[0]),
        "all delays are equal"
    );
    assert_eq!(retry::delay_ms(retry, 3), Some(delays[3]));
}

#[test]
fn task_is_not_retried_beyond_the_maximum() {
    assert_eq!(retry::delay_ms(retry::MAX_RETRIES, 1), None);
}
