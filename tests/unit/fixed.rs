//! Property tests with the same cases every time.

use proptest::test_runner;

/// Seed of every property test here.
const SEED: u64 = 20_261_202;

/// So many cases, always the same ones, and no file of earlier failures.
pub fn cases(count: u32) -> test_runner::Config {
    test_runner::Config {
        cases: count,
        failure_persistence: None,
        rng_seed: test_runner::RngSeed::Fixed(SEED),
        ..test_runner::Config::default()
    }
}
