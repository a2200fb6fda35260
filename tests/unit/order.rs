//! What is expected of a job as a whole.

use bulrushtiller::queue::order;
use rand::Rng as _;
use rand::SeedableRng as _;
use rstest::rstest;

const DRAWS: u32 = 20_000;

fn log_even(rng: &mut rand_chacha::ChaCha8Rng) -> f64 {
    50.0 * 20.0_f64.powf(rng.random::<f64>())
}

fn exponential(rng: &mut rand_chacha::ChaCha8Rng) -> f64 {
    -300.0 * (1.0 - rng.random::<f64>()).ln()
}

fn mean(mut draw: impl FnMut() -> f64) -> f64 {
    let sum: f64 = (0..DRAWS).map(|_| draw()).sum();
    sum / f64::from(DRAWS)
}

/// The expectation and its error of a kind whose run times are drawn like that.
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

/// The formula against the naive way, drawing many jobs.
#[rstest]
#[case::spread_evenly_on_a_log_scale(log_even, 0.1)]
#[case::exponential(exponential, 0.2)]
fn longest_of_tasks_known_in_the_mean(
    #[case] run: fn(&mut rand_chacha::ChaCha8Rng) -> f64,
    #[case] tolerance: f64,
) {
    let expected = learned(run);
    for tasks in 1..=20 {
        let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(2);
        let mut longest = || (0..tasks).map(|_| run(&mut rng)).fold(0.0, f64::max);
        let drawn = mean(&mut longest);

        let formula = order::longest_ms(&vec![expected; tasks]) as f64;

        let off = (formula / drawn - 1.0).abs();
        assert!(off <= tolerance, "{tasks} tasks: {formula} for {drawn}");
    }
}

#[rstest]
#[case::none(&[], 0)]
#[case::one(&[(100, 50)], 100)]
#[case::known_each(&[(100, 0), (400, 0), (400, 0)], 400)]
#[case::the_longest_stands_out(&[(100, 90), (400, 90)], 400)]
#[case::alike(&[(100, 50), (100, 50)], 137)]
fn longest_where_the_others_differ(#[case] tasks: &[(u64, u64)], #[case] longest: u64) {
    let expected = tasks.iter().map(|(run_ms, error_ms)| order::TaskEstimate {
        run_ms: *run_ms,
        error_ms: *error_ms,
    });
    let expected: Vec<_> = expected.collect();

    assert_eq!(order::longest_ms(&expected), longest);
}
