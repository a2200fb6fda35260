//! Capacity that less urgent jobs leave free for the most urgent queue.

use bulrushtiller::leased::dispatch::headroom;
use rstest::rstest;
use smol_str::SmolStr;

const NOW_MS: u64 = 1_000;

/// Returns the headroom after jobs with this work arrived.
fn after(urgent_work: u64, other_work: u64) -> headroom::Headroom {
    let mut headroom = headroom::Headroom::default();
    let service = SmolStr::new_static("taipa");
    headroom.record(NOW_MS, &service, true, urgent_work);
    headroom.record(NOW_MS, &service, false, other_work);
    headroom
}

#[rstest]
#[case::no_urgent_work(0, 1_000, 0.0)]
#[case::little_urgent_work(100, 900, 0.05)]
#[case::much_urgent_work(900, 100, 0.125)]
fn headroom_follows_urgent_share(#[case] urgent: u64, #[case] other: u64, #[case] expected: f64) {
    let headroom = after(urgent, other);

    let share = headroom.share("taipa");

    assert!((share - expected).abs() < 1e-9, "{share}");
}

#[test]
fn headroom_shrinks_when_urgent_work_ends() {
    let mut headroom = after(1_000, 1_000);

    let later_ms = NOW_MS + 10_000;
    headroom.record(later_ms, &SmolStr::new_static("taipa"), false, 1_000);

    assert!(headroom.share("taipa") < 0.01);
}

#[test]
fn services_do_not_share_headroom() {
    let headroom = after(1_000, 1_000);

    let share = headroom.share("contratos");

    assert!(share.abs() < 1e-9, "{share}");
}

/// Guards against a large task that headroom keeps from every backend server.
#[test]
fn task_as_large_as_the_server_fits_when_it_is_idle() {
    let reserve_milli = headroom::reserve_milli(0.125, 16_000, 15_500);

    assert_eq!(reserve_milli, 500);
}
