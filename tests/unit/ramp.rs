//! Growth of a zone's usable slots after its return.

use bulrushtiller::ramp;
use bulrushtiller::settings;
use rstest::rstest;
use smol_str::SmolStr;

const RAMP_MS: u32 = 1_000;
const RETURN_MS: u64 = 5_000;

fn settings_with_zone(out: bool) -> settings::Settings {
    let mut settings = settings::Settings::default();
    let zone = settings::Zone { out };
    settings.zones.insert(SmolStr::new("bento"), zone);
    settings
}

/// Returns ramps for a zone that returned with revision 7.
fn returned() -> ramp::Ramps {
    let mut ramps = ramp::Ramps::default();
    ramps.settings_changed(
        RETURN_MS,
        &settings_with_zone(true),
        &settings_with_zone(false),
        Some(7),
    );
    ramps
}

#[rstest]
#[case::at_the_return(0, ramp::Share::Slots(1))]
#[case::a_quarter_of_the_ramp(250, ramp::Share::Slots(2))]
#[case::half_of_the_ramp(500, ramp::Share::Slots(4))]
#[case::just_before_the_end(999, ramp::Share::Slots(8))]
#[case::at_the_end(1_000, ramp::Share::All)]
fn share_grows_to_all_slots_over_the_ramp(#[case] after_ms: u64, #[case] share: ramp::Share) {
    let ramps = returned();

    let actual = ramps.share(RETURN_MS + after_ms, "bento", 8, Some(7), RAMP_MS);

    assert_eq!(actual, share);
}

/// When an entry learns of a zone's return before the runners there, they refuse every task
/// until they have the new settings, and each refusal costs the task a round trip.
#[rstest]
#[case::older_revision(Some(6), ramp::Share::Slots(0))]
#[case::no_revision(None, ramp::Share::Slots(0))]
#[case::revision_of_the_return(Some(7), ramp::Share::Slots(1))]
fn runner_with_older_settings_gets_no_slots(
    #[case] revision: Option<u64>,
    #[case] share: ramp::Share,
) {
    let ramps = returned();

    let actual = ramps.share(RETURN_MS, "bento", 8, revision, RAMP_MS);

    assert_eq!(actual, share);
}

#[test]
fn other_zones_and_later_changes_do_not_start_a_ramp() {
    let mut ramps = returned();
    let other = ramps.share(RETURN_MS, "caxias", 8, Some(1), RAMP_MS);

    ramps.settings_changed(
        RETURN_MS + 2_000,
        &settings_with_zone(false),
        &settings_with_zone(false),
        Some(8),
    );
    let later = ramps.share(RETURN_MS + 2_000, "bento", 8, Some(8), RAMP_MS);

    assert_eq!((other, later), (ramp::Share::All, ramp::Share::All));
}

#[test]
fn second_return_restarts_the_ramp() {
    let mut ramps = returned();

    ramps.settings_changed(
        RETURN_MS + 300,
        &settings_with_zone(false),
        &settings_with_zone(true),
        Some(8),
    );
    ramps.settings_changed(
        RETURN_MS + 400,
        &settings_with_zone(true),
        &settings_with_zone(false),
        Some(9),
    );
    let share = ramps.share(RETURN_MS + 400, "bento", 8, Some(9), RAMP_MS);

    assert_eq!(share, ramp::Share::Slots(1));
}

#[test]
fn all_slots_are_usable_at_once_without_a_ramp() {
    let ramps = returned();

    let share = ramps.share(RETURN_MS, "bento", 8, Some(7), 0);

    assert_eq!(share, ramp::Share::All);
}
