//! Expected run time of a job's longest task.

use bulrushtiller::queue::order;
use rand::Rng as _;
use rand::SeedableRng as _;
use rstest::rstest;

const DRAWS: u32 = 20_000;

fn log_uniform(rng: &mut rand_chacha::ChaCha8Rng) -> f64 {
    50.0 * 20.0_f64.powf(rng.random::<f64>())
}

fn exponential(rng: &mut rand_chacha::ChaCha8Rng) -> f64 {
    -300.0 * (1.0 - rng.random::<f64>()).ln()
}

fn mean(mut draw: impl FnMut() -> f64) -> f64 {
    let sum: f64 = (0..DRAWS).map(|_| draw()).sum();
    sum / f64::from(DRAWS)
}

/// Returns the mean and the mean absolute error of run times from a distribution.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "run times are small and not negative"
)]
fn learned(run: fn(&mut rand_chacha::ChaCha8Rng) -> f64) -> order::TaskEstimate {
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(1);
    let run_ms = mean(|| run(&mut rng));
    let error_ms = mean(|| (run(&mut rng) - run_ms).abs());
    order::TaskEstimate {
        run_ms: run_ms as u64,
        error_ms: error_ms as u64,
    }
}

/// Compares the formula with the mean over many drawn jobs.
#[rstest]
#[case::log_uniform_run_times(log_uniform, 0.1)]
#[case::exponential_run_times(exponential, 0.2)]
fn longest_of_equal_estimates_is_close_to_the_drawn_mean(
    #[case] run: fn(&mut rand_chacha::ChaCha8Rng) -> f64,
    #[case] tolerance: f64,
) {
    let expected = learned(run);
    for tasks in 1..=20 {
        let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(2);
        let mut longest = || (0..tasks).map(|_| run(&mut rng)).fold(0.0, f64::max);
        let drawn = mean(&mut longest);

        let formula = order::longest_ms(&vec![expected; tasks]) as f64;

        let error = (formula / drawn - 1.0).abs();
        assert!(
            error <= tolerance,
            "{tasks} tasks: formula {formula}, drawn {drawn}"
        );
    }
}

#[rstest]
#[case::no_tasks(&[], 0)]
#[case::one_task(&[(100, 50)], 100)]
#[case::exact_estimates(&[(100, 0), (400, 0), (400, 0)], 400)]
#[case::one_longest_estimate(&[(100, 90), (400, 90)], 400)]
#[case::equal_estimates(&[(100, 50), (100, 50)], 137)]
fn longest_exceeds_the_estimate_only_among_equal_tasks(
    #[case] tasks: &[(u64, u64)],
    #[case] longest: u64,
) {
    let expected = tasks.iter().map(|(run_ms, error_ms)| order::TaskEstimate {
        run_ms: *run_ms,
        error_ms: *error_ms,
    });
    let expected: Vec<_> = expected.collect();

    assert_eq!(order::longest_ms(&expected), longest);
}
