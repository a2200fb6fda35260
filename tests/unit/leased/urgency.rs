//! Ranking and refusal of waiting jobs.

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
fn job_that_must_start_first_goes_first() {
    let long = urgency::rank(&view(1_000, 900), 1_010);
    let short = urgency::rank(&view(1_005, 60), 1_010);

    assert!(short < long);
}

#[test]
fn late_job_goes_after_jobs_in_time() {
    let late = urgency::rank(&view(1_000, 60), 1_200);
    let in_time = urgency::rank(&view(1_150, 900), 1_200);

    assert!(in_time < late);
}

#[test]
fn started_job_goes_first_even_if_it_is_late() {
    let started = urgency::View {
        has_started: true,
        ..view(1_000, 900)
    };
    let recent = view(1_690, 60);

    assert!(urgency::rank(&started, 1_400) < urgency::rank(&recent, 1_400));
    assert!(urgency::rank(&started, 1_700) < urgency::rank(&recent, 1_700));
}

/// Guards against long jobs with little time left that delay short ones of the queue that
/// operators put first.
#[test]
fn job_of_the_queue_with_the_highest_priority_goes_first() {
    let report = urgency::View {
        precedence: 1,
        ..view(1_000, 200)
    };
    let check = view(1_100, 60);

    assert!(urgency::rank(&check, 1_110) < urgency::rank(&report, 1_110));
}

/// Guards against a job that is held under overload although it cannot be in time: it would take
/// capacity from the jobs behind it and make them late as well.
#[test]
fn job_that_cannot_be_in_time_is_infeasible() {
    let waiting = view(1_000, 200);

    assert!(!urgency::is_infeasible(&waiting, 1_180));
    assert!(urgency::is_infeasible(&waiting, 1_181));
}

/// Guards against jobs that all start at the last moment under overload. Latency and tasks that
/// run slightly longer than declared would make each of them late by some milliseconds.
#[test]
fn job_without_margin_goes_after_jobs_with_margin() {
    let tight = view(1_000, 200);
    let relaxed = view(1_100, 200);

    assert!(urgency::rank(&tight, 1_135) < urgency::rank(&relaxed, 1_135));
    assert!(urgency::rank(&relaxed, 1_136) < urgency::rank(&tight, 1_136));
}

/// Guards against a less urgent job whose tasks wait at several runners while others have free
/// capacity: the slowest wait queue would make it late.
#[test]
fn only_started_jobs_and_the_most_urgent_queue_wait_at_a_runner() {
    let check = view(1_000, 60);
    let report = urgency::View {
        precedence: 1,
        ..view(1_000, 200)
    };
    let running = urgency::View {
        has_started: true,
        ..report
    };

    let most_ms = [check, report, running].map(|view| urgency::wait(&view, 1_010).most_ms);

    // Until it cannot be in time, not at all, and until the caller stops waiting.
    assert_eq!(most_ms, [86, 0, 4_790]);
}
