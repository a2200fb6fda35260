//! Goals for lost entries and runners, memory sizes and stragglers, at one seed.
//! `docs/MEASUREMENTS-FAULTS.md` has the full tables.

use bulrushtiller_measure::patterns;
use bulrushtiller_measure::report;
use bulrushtiller_measure::sim;
use rstest::rstest;

const SEED: u64 = 1;
const LOAD: f64 = 0.7;
const HIGH_LOAD: f64 = 0.9;

/// Goals: response time relative to the ideal at load 0.7, and wasted messages per
/// task.
const MAX_RATIO_P99: f64 = 1.5;
const MAX_WASTED: f64 = 0.05;

/// Goodput required, as a fraction of the goodput with all entries.
const MIN_GOODPUT_SHARE: f64 = 0.95;

fn rows(pattern: &str, load: f64) -> Vec<patterns::Row> {
    let run = patterns::find(pattern).unwrap();
    run(&sim::Site::taipa(), load, SEED)
}

fn row(rows: &[patterns::Row], name: &str) -> report::Figures {
    let found = rows.iter().find(|(known, _)| known == name);
    found.unwrap_or_else(|| panic!("no row {name}")).1
}

// An entry with open jobs is killed, or suspended for 5 s. Its jobs fail or wait. New
// jobs go to the other entries, which must not wait for a leading entry that is gone.
// No job may be answered "not run" if one of its tasks started.
#[rstest]
#[case::leading_killed("ours, leading one killed")]
#[case::another_killed("ours, another killed")]
#[case::leading_suspended("ours, leading one frozen")]
#[case::another_suspended("ours, another frozen")]
fn lost_entry_costs_little_goodput(#[case] lost: &str) {
    let rows = rows("entry-lost", LOAD);

    let all = row(&rows, "ours, none lost");
    let lost = row(&rows, lost);

    assert!(lost.goodput >= all.goodput * MIN_GOODPUT_SHARE, "{lost:?}");
    assert_eq!(lost.complete + lost.failed, lost.jobs, "{lost:?}");
    assert_eq!((lost.false_not_run, lost.double_starts), (0, 0), "{lost:?}");
}

#[rstest]
#[case::leading("ours, leading one killed")]
#[case::another("ours, another killed")]
fn response_ratio_beside_killed_entry_meets_goal(#[case] lost: &str) {
    let rows = rows("entry-lost", LOAD);

    let lost = row(&rows, lost);

    assert!(lost.ratio_p99 <= MAX_RATIO_P99, "{lost:?}");
}

// Two of eleven runners crash while they run idempotent tasks. Without retries their
// callers' jobs fail; unlimited retries would delay all other jobs.
#[test]
fn retries_complete_more_jobs_after_two_runners_crash() {
    let rows = rows("retry-storm", HIGH_LOAD);

    let ours = row(&rows, "ours");
    let without = row(&rows, "no retries");

    assert!(ours.complete > without.complete, "{ours:?} {without:?}");
    assert!(ours.useful > without.useful, "{ours:?} {without:?}");
    assert!(ours.wasted <= MAX_WASTED, "{ours:?}");
}

#[test]
fn learned_sizes_compensate_wrong_declarations() {
    let rows = rows("sizes", LOAD);

    let ours = row(&rows, "ours");
    let declared = row(&rows, "declared sizes at their word");
    let unaccounted = row(&rows, "no accounting");

    assert_eq!(ours.complete, ours.jobs, "{ours:?}");
    assert!(ours.ratio_p99 <= MAX_RATIO_P99, "{ours:?}");
    assert!(ours.ratio_p99 < declared.ratio_p99, "{declared:?}");
    assert!(ours.ratio_p99 < unaccounted.ratio_p99, "{unaccounted:?}");
}

#[test]
fn stragglers_cause_no_ejection() {
    let rows = rows("stragglers", LOAD);

    let ours = row(&rows, "ours");

    assert_eq!(ours.ejections, 0, "{ours:?}");
    assert_eq!(ours.complete, ours.jobs, "{ours:?}");
    assert!(ours.ratio_p99 <= MAX_RATIO_P99, "{ours:?}");
    assert!(ours.wasted <= MAX_WASTED, "{ours:?}");
}
