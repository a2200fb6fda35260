//! Learned run times and resource needs.

use bulrushtiller::learning;
use bulrushtiller::wire;
use rand::Rng as _;
use rand::SeedableRng as _;
use rstest::rstest;
use smol_str::SmolStr;

const DEFAULT_MS: u64 = 220;
const LARGEST: wire::Resources = wire::Resources {
    cpu_milli: 16_000,
    memory_mib: 32_000,
    accelerators: 0,
};

fn name(text: &str) -> SmolStr {
    SmolStr::new(text)
}

fn sample(declared_ms: u64, run_ms: u64) -> learning::Sample {
    learning::Sample {
        declared_ms,
        run_ms,
        peak: wire::Resources::default(),
    }
}

fn memory(memory_mib: u32) -> wire::Resources {
    wire::Resources {
        cpu_milli: 500,
        memory_mib,
        accelerators: 0,
    }
}

/// Returns a table that has observed these declared and real run times of one kind.
fn table(samples: impl IntoIterator<Item = (u64, u64)>) -> learning::Table {
    let mut table = learning::Table::default();
    for (declared_ms, run_ms) in samples {
        table.observe(&name("a"), &name("check"), &sample(declared_ms, run_ms));
    }
    table
}

fn run_time(table: &learning::Table, declared_ms: u64) -> learning::Estimate {
    table.run_time(&name("a"), &name("check"), declared_ms, DEFAULT_MS)
}

#[rstest]
#[case::declared(100, 100)]
#[case::not_declared(0, DEFAULT_MS)]
fn declared_time_is_used_before_enough_samples(#[case] declared: u64, #[case] expected: u64) {
    let table = table([(100, 900); learning::MIN_SAMPLES as usize - 1]);

    let estimate = run_time(&table, declared);

    assert_eq!(estimate.run_ms, expected);
    assert!(!estimate.is_learned);
}

#[test]
fn declarations_off_by_a_factor_are_scaled() {
    let table = table((0..100).map(|n| (10 + n % 10 * 10, 100 + n % 10 * 100)));

    let short = run_time(&table, 10).run_ms;
    let long = run_time(&table, 100).run_ms;

    assert!((95..=105).contains(&short), "{short}");
    assert!((950..=1_050).contains(&long), "{long}");
}

/// The learned run time is compared with the plain mean of all samples.
#[test]
fn declarations_without_information_are_ignored() {
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(7);
    let mut pair = || (rng.random_range(1..10_000), rng.random_range(200..400));
    let samples: Vec<(u64, u64)> = (0..500).map(|_| pair()).collect();
    let mean = samples.iter().map(|(_, run)| run).sum::<u64>() / 500;
    let table = table(samples);

    let learned = run_time(&table, 10_000).run_ms;

    assert!(learned.abs_diff(mean) <= mean / 5, "{learned} {mean}");
}

#[test]
fn memory_estimate_follows_the_larger_tasks() {
    let mut table = learning::Table::default();
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(7);
    for _ in 0..2_000 {
        let peak = memory(rng.random_range(1_000..2_000));
        let observed = learning::Sample {
            peak,
            ..sample(100, 100)
        };
        table.observe(&name("a"), &name("check"), &observed);
    }

    let need = table.need(&name("a"), &name("check"), memory(1), || LARGEST);

    assert!((1_700..2_000).contains(&need.memory_mib), "{need:?}");
    assert_eq!(need.cpu_milli, 500);
}

#[rstest]
#[case::another_team("b", "check")]
#[case::another_kind("a", "copy")]
fn samples_of_another_team_or_kind_are_not_used(#[case] team: &str, #[case] kind: &str) {
    let table = table([(100, 900); 20]);

    let estimate = table.run_time(&name(team), &name(kind), 100, DEFAULT_MS);

    assert_eq!(estimate.run_ms, 100);
}

#[test]
fn learned_need_fits_the_largest_worker() {
    let mut table = learning::Table::default();
    for _ in 0..20 {
        let observed = learning::Sample {
            peak: memory(64_000),
            ..sample(100, 100)
        };
        table.observe(&name("a"), &name("check"), &observed);
    }

    let need = table.need(&name("a"), &name("check"), memory(1), || LARGEST);

    assert!(need.fits_in(&LARGEST));
}

#[test]
fn full_table_evicts_the_least_recently_observed_kind() {
    let mut table = table([(100, 900); 20]);
    let busy = name("busy");
    for _ in 0..20 {
        table.observe(&busy, &busy, &sample(100, 900));
    }

    for number in 0..learning::MAX_KINDS {
        let kind = smol_str::format_smolstr!("kind-{number}");
        table.observe(&name("a"), &kind, &sample(100, 100));
        table.observe(&busy, &busy, &sample(100, 900));
    }

    assert_eq!(table.len(), learning::MAX_KINDS);
    assert!(!run_time(&table, 100).is_learned);
    assert!(table.run_time(&busy, &busy, 100, DEFAULT_MS).is_learned);
}
