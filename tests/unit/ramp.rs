//! How a zone's share grows after its return.

use bulrushtiller::ramp;
use bulrushtiller::settings;
use rstest::rstest;
use smol_str::SmolStr;

const RAMP_MS: u32 = 1_000;
const BACK_MS: u64 = 5_000;

fn zone(out: bool) -> settings::Settings {
    let mut settings = settings::Settings::default();
    let zone = settings::Zone { out };
    settings.zones.insert(SmolStr::new("bento"), zone);
    settings
}

/// The zone came back with revision 7.
fn returned() -> ramp::Ramps {
    let mut ramps = ramp::Ramps::default();
    ramps.change(BACK_MS, &zone(true), &zone(false), Some(7));
    ramps
}

#[rstest]
#[case::at_once(0, ramp::Share::Slots(1))]
#[case::a_quarter(250, ramp::Share::Slots(2))]
#[case::half(500, ramp::Share::Slots(4))]
#[case::nearly(999, ramp::Share::Slots(8))]
#[case::over(1_000, ramp::Share::Whole)]
fn the_share_grows_to_the_whole(#[case] after_ms: u64, #[case] share: ramp::Share) {
    let ramps = returned();

    let found = ramps.share(BACK_MS + after_ms, "bento", 8, Some(7), RAMP_MS);

    assert_eq!(found, share);
}

/// Operators bring a zone back and the entry hears of it first. It sends work there;
/// the runners, on the settings before, refuse all of it, and each refusal costs the
/// task two ways. So a runner gets nothing until it shows the revision itself.
#[rstest]
#[case::before(Some(6), ramp::Share::Slots(0))]
#[case::never_heard(None, ramp::Share::Slots(0))]
#[case::the_same(Some(7), ramp::Share::Slots(1))]
fn a_runner_that_has_not_heard_of_the_return_gets_nothing(
    #[case] revision: Option<u64>,
    #[case] share: ramp::Share,
) {
    let ramps = returned();

    let found = ramps.share(BACK_MS, "bento", 8, revision, RAMP_MS);

    assert_eq!(found, share);
}

#[test]
fn other_zones_and_other_changes_have_no_ramp() {
    let mut ramps = returned();
    let other = ramps.share(BACK_MS, "caxias", 8, Some(1), RAMP_MS);

    ramps.change(BACK_MS + 2_000, &zone(false), &zone(false), Some(8));
    let later = ramps.share(BACK_MS + 2_000, "bento", 8, Some(8), RAMP_MS);

    assert_eq!((other, later), (ramp::Share::Whole, ramp::Share::Whole));
}

#[test]
fn a_second_return_starts_over() {
    let mut ramps = returned();

    ramps.change(BACK_MS + 300, &zone(false), &zone(true), Some(8));
    ramps.change(BACK_MS + 400, &zone(true), &zone(false), Some(9));
    let share = ramps.share(BACK_MS + 400, "bento", 8, Some(9), RAMP_MS);

    assert_eq!(share, ramp::Share::Slots(1));
}

#[test]
fn without_a_ramp_the_whole_share_is_there_at_once() {
    let ramps = returned();

    let share = ramps.share(BACK_MS, "bento", 8, Some(7), 0);

    assert_eq!(share, ramp::Share::Whole);
}
