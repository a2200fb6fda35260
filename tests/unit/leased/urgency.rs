//! Order and refusal among waiting jobs.

use bulrushtiller::leased::dispatch::urgency;

fn view(arrived_ms: u64, remaining_ms: u64) -> urgency::View {
    let objective_ms = remaining_ms * 16 / 10 + 60;
    urgency::View {
        has_started: false,
        precedence: 0,
        due_ms: arrived_ms + objective_ms,
        hold_until_ms: arrived_ms + objective_ms,
        deadline_ms: arrived_ms + 5_000,
        remaining_ms,
    }
}

#[test]
fn the_one_that_must_start_soonest_goes_first() {
    let long = urgency::rank(&view(1_000, 900), 1_010);
    let short = urgency::rank(&view(1_005, 60), 1_010);

    assert!(short < long);
}

#[test]
fn one_that_will_be_late_anyway_goes_after_those_in_time() {
    let late = urgency::rank(&view(1_000, 60), 1_200);
    let in_time = urgency::rank(&view(1_150, 900), 1_200);

    assert!(in_time < late);
}

#[test]
fn one_that_has_started_goes_first_also_when_it_is_late() {
    let started = urgency::View {
        has_started: true,
        ..view(1_000, 900)
    };
    let fresh = view(1_690, 60);

    assert!(urgency::rank(&started, 1_400) < urgency::rank(&fresh, 1_400));
    assert!(urgency::rank(&started, 1_700) < urgency::rank(&fresh, 1_700));
}

/// A long report came first and must start soon; a check whose caller stands waiting has just
/// come. Operators put the checks first, also where the report has less time left.
#[test]
fn the_queue_that_operators_put_first_goes_first() {
    let report = urgency::View {
        precedence: 1,
        ..view(1_000, 200)
    };
    let check = view(1_100, 60);

    assert!(urgency::rank(&check, 1_110) < urgency::rank(&report, 1_110));
}

/// More comes than there is room for. Who can't be in time any more hears so at once, and
/// doesn't take room from those behind it, who then would be late as well.
#[test]
fn one_that_can_not_be_in_time_is_refused() {
    let waiting = view(1_000, 200);

    assert!(!urgency::is_infeasible(&waiting, 1_180));
    assert!(urgency::is_infeasible(&waiting, 1_181));
}

/// Room is short, and each job starts in the last moment that its declared time leaves. Its
/// order and its answer take their ways, tasks run a little longer than declared, and all
/// are late by some milliseconds. One that is so near goes after those with time in hand.
#[test]
fn one_that_could_only_just_be_in_time_goes_after_those_with_time_in_hand() {
    let tight = view(1_000, 200);
    let ample = view(1_100, 200);

    assert!(urgency::rank(&tight, 1_135) < urgency::rank(&ample, 1_135));
    assert!(urgency::rank(&ample, 1_136) < urgency::rank(&tight, 1_136));
}

/// A report's tasks wait in the lines of several runners while room comes free at others, and
/// the slowest line makes it late. It stays at its entry, which sends it where room is; a check
/// that comes first everywhere, and whatever has begun, wait where the room comes free.
#[test]
fn only_what_is_urgent_or_begun_waits_at_a_runner() {
    let check = view(1_000, 60);
    let report = urgency::View {
        precedence: 1,
        ..view(1_000, 200)
    };
    let begun = urgency::View {
        has_started: true,
        ..report
    };

    let most_ms = [check, report, begun].map(|view| urgency::wait(&view, 1_010).most_ms);

    // Until its end is due, not at all, and until its caller is gone.
    assert_eq!(most_ms, [86, 0, 4_790]);
}
