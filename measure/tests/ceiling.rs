//! Upper bound of what a day can earn.

use bulrushtiller_measure::ceiling;
use rstest::rstest;

/// Returns two kinds: checks that take 1 core-second and are worth 4, and reports that
/// take 4 core-seconds and are worth 8.
fn kinds() -> Vec<ceiling::Kind> {
    vec![
        ceiling::Kind {
            worth: 4.0,
            core_s: 1.0,
        },
        ceiling::Kind {
            worth: 8.0,
            core_s: 4.0,
        },
    ]
}

fn window(cores: f64, down_s: f64) -> ceiling::Window {
    ceiling::Window {
        seconds: 2.0,
        cores,
        down_s,
        calls: vec![10.0, 5.0],
    }
}

#[rstest]
#[case::capacity_for_all(15.0, 0.0, 80.0)]
#[case::highest_worth_per_core_second_first(10.0, 0.0, 60.0)]
#[case::capacity_for_checks_only(5.0, 0.0, 40.0)]
#[case::down_for_half(15.0, 1.0, 40.0)]
#[case::down_throughout(15.0, 2.0, 0.0)]
fn window_bound_is_limited_by_capacity(
    #[case] cores: f64,
    #[case] down_s: f64,
    #[case] attainable: f64,
) {
    let bound = ceiling::window(&kinds(), &window(cores, down_s));

    assert!((bound.offered - 80.0).abs() < 1e-9, "{bound:?}");
    assert!((bound.attainable - attainable).abs() < 1e-9, "{bound:?}");
}

#[test]
fn day_sums_its_windows_and_averages_worst_two() {
    let day = ceiling::Day {
        kinds: kinds(),
        windows: vec![window(15.0, 0.0), window(15.0, 1.0), window(15.0, 2.0)],
    };

    let windows = ceiling::day(&day);

    assert!((ceiling::total(&windows).share() - 0.5).abs() < 1e-9);
    assert!((ceiling::worst_two(&windows) - 0.25).abs() < 1e-9);
}
