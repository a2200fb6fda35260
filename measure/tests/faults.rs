//! What is said of lost entries and runners, sizes and stragglers, at one seed;
//! `docs/MEASUREMENTS-FAULTS.md` has the whole tables.

use bulrushtiller_measure::patterns;
use bulrushtiller_measure::report;
use bulrushtiller_measure::sim;
use rstest::rstest;

const SEED: u64 = 1;
const LOAD: f64 = 0.7;
const HIGH_LOAD: f64 = 0.9;

/// Goals of the project: ratio at 0.7 load, wasted messages a task.
const MOST_RATIO_P99: f64 = 1.5;
const MOST_WASTED: f64 = 0.05;

/// Part of the work that is done with all entries.
const LEAST_OF_WORK: f64 = 0.95;

fn rows(pattern: &str, load: f64) -> Vec<patterns::Row> {
    let run = patterns::find(pattern).unwrap();
    run(&sim::Site::taipa(), load, SEED)
}

fn row(rows: &[patterns::Row], name: &str) -> report::Figures {
    let found = rows.iter().find(|(known, _)| known == name);
    found.unwrap_or_else(|| panic!("no row {name}")).1
}

// Callers have jobs open at an entry that is killed, or stands still for 5 s. They see
// those fail or wait; new ones go to the other entries, which must not wait for one
// that led and is gone, and no job may be called "not run" of which something started.
#[rstest]
#[case::leading_killed("ours, leading one killed")]
#[case::another_killed("ours, another killed")]
#[case::leading_frozen("ours, leading one frozen")]
#[case::another_frozen("ours, another frozen")]
fn work_goes_on_without_an_entry(#[case] lost: &str) {
    let rows = rows("entry-lost", LOAD);

    let all = row(&rows, "ours, none lost");
    let lost = row(&rows, lost);

    assert!(lost.goodput >= all.goodput * LEAST_OF_WORK, "{lost:?}");
    assert_eq!(lost.complete + lost.failed, lost.jobs, "{lost:?}");
    assert_eq!((lost.untrue, lost.double_starts), (0, 0), "{lost:?}");
}

#[rstest]
#[case::leading("ours, leading one killed")]
#[case::another("ours, another killed")]
fn answers_beside_a_killed_entry_are_near_the_ideal(#[case] lost: &str) {
    let rows = rows("entry-lost", LOAD);

    let lost = row(&rows, lost);

    assert!(lost.ratio_p99 <= MOST_RATIO_P99, "{lost:?}");
}

// Two of eleven runners die with idempotent tasks on them. Without retries their callers
// see failed jobs; a flood of retries would delay everybody else's.
#[test]
fn idempotent_jobs_survive_the_death_of_two_runners() {
    let rows = rows("retry-storm", HIGH_LOAD);

    let ours = row(&rows, "ours");
    let without = row(&rows, "no retries");

    assert!(ours.complete > without.complete, "{ours:?} {without:?}");
    assert!(ours.useful > without.useful, "{ours:?} {without:?}");
    assert!(ours.wasted <= MOST_WASTED, "{ours:?}");
}

#[test]
fn declared_sizes_that_are_far_off_cost_nothing() {
    let rows = rows("sizes", LOAD);

    let ours = row(&rows, "ours");
    let at_their_word = row(&rows, "declared sizes at their word");
    let unaccounted = row(&rows, "no accounting");

    assert_eq!(ours.complete, ours.jobs, "{ours:?}");
    assert!(ours.ratio_p99 <= MOST_RATIO_P99, "{ours:?}");
    assert!(
        ours.ratio_p99 < at_their_word.ratio_p99,
        "{at_their_word:?}"
    );
    assert!(ours.ratio_p99 < unaccounted.ratio_p99, "{unaccounted:?}");
}

#[test]
fn stragglers_eject_nobody() {
    let rows = rows("stragglers", LOAD);

    let ours = row(&rows, "ours");

    assert_eq!(ours.ejections, 0, "{ours:?}");
    assert_eq!(ours.complete, ours.jobs, "{ours:?}");
    assert!(ours.ratio_p99 <= MOST_RATIO_P99, "{ours:?}");
    assert!(ours.wasted <= MOST_WASTED, "{ours:?}");
}
