//! Deterministic configuration of property tests.

use proptest::test_runner;

/// Seed of the property tests that use [`cases`].
const SEED: u64 = 20_261_202;

/// Returns a configuration with `count` cases from a fixed seed and without a failure file.
pub fn cases(count: u32) -> test_runner::Config {
    test_runner::Config {
        cases: count,
        failure_persistence: None,
        rng_seed: test_runner::RngSeed::Fixed(SEED),
        ..test_runner::Config::default()
    }
}
