//! What could be earned at most.

use bulrushtiller_measure::ceiling;
use rstest::rstest;

/// Checks that take a core-second and are worth 4, and reports that take four and are worth 8.
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
#[case::room_for_all(15.0, 0.0, 80.0)]
#[case::what_is_worth_most_for_its_work_first(10.0, 0.0, 60.0)]
#[case::room_for_checks_alone(5.0, 0.0, 40.0)]
#[case::down_for_half(15.0, 1.0, 40.0)]
#[case::down_throughout(15.0, 2.0, 0.0)]
fn a_window_earns_up_to_its_room(#[case] cores: f64, #[case] down_s: f64, #[case] most: f64) {
    let earned = ceiling::window(&kinds(), &window(cores, down_s));

    assert!((earned.owed - 80.0).abs() < 1e-9, "{earned:?}");
    assert!((earned.most - most).abs() < 1e-9, "{earned:?}");
}

#[test]
fn a_day_is_the_sum_of_its_windows_and_has_two_worst_ones() {
    let day = ceiling::Day {
        kinds: kinds(),
        windows: vec![window(15.0, 0.0), window(15.0, 1.0), window(15.0, 2.0)],
    };

    let windows = ceiling::day(&day);

    assert!((ceiling::total(&windows).share() - 0.5).abs() < 1e-9);
    assert!((ceiling::worst_two(&windows) - 0.25).abs() < 1e-9);
}
