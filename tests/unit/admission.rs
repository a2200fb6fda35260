//! Who is refused, and when to come back.

use bulrushtiller::admission;
use bulrushtiller::admission::drain;
use bulrushtiller::admission::retry_after;
use bulrushtiller::codes::Code;
use bulrushtiller::queue;
use bulrushtiller::settings;
use bulrushtiller::wire;
use rstest::rstest;
use smol_str::SmolStr;

fn asked() -> admission::Demand {
    admission::Demand {
        tasks: 10,
        work_ms: 1_000,
        learned_longest_ms: Some(200),
        deadline_ms: 4_000,
    }
}

/// Alone on 10 slots, with a second of work waiting for each of them.
fn view() -> admission::LoadSnapshot {
    admission::LoadSnapshot {
        queued: 100,
        team_queued: 100,
        backlog_ms: 10_000,
        team_backlog_ms: 10_000,
        share: 1.0,
        drain_rate: 10.0,
        no_runner_ms: 0,
    }
}

fn team() -> settings::Team {
    settings::Team {
        max_queued: 1_000,
        ..settings::Team::default()
    }
}

#[rstest]
#[case::taken_in(asked(), view(), None)]
#[case::waits_too_long_for_its_deadline(
    admission::Demand { deadline_ms: 2_400, ..asked() }, view(), Some(Code::DeadlineUnreachable))]
#[case::a_run_time_only_declared_does_not_count(
    admission::Demand { deadline_ms: 2_400, learned_longest_ms: None, ..asked() }, view(), None)]
#[case::an_empty_queue_takes_what_might_be_in_time(
    admission::Demand { deadline_ms: 10, ..asked() },
    admission::LoadSnapshot { backlog_ms: 0, team_backlog_ms: 0, ..view() }, None)]
#[case::waits_too_long_by_policy(
    admission::Demand { deadline_ms: 60_000, ..asked() },
    admission::LoadSnapshot { drain_rate: 1.0, ..view() }, Some(Code::TeamQueueFull))]
#[case::others_backlog_counts_only_up_to_the_share(
    asked(), admission::LoadSnapshot { backlog_ms: 900_000, team_backlog_ms: 1_000, share: 0.5, ..view() }, None)]
#[case::larger_than_the_quota(
    admission::Demand { tasks: 1_001, ..asked() }, view(), Some(Code::OverQuota))]
#[case::team_full(asked(), admission::LoadSnapshot { team_queued: 991, ..view() }, Some(Code::TeamQueueFull))]
#[case::entry_full(asked(), admission::LoadSnapshot { queued: 19_991, ..view() }, Some(Code::EntryQueueFull))]
#[case::no_runner_for_a_moment(asked(), admission::LoadSnapshot { no_runner_ms: 2_000, ..view() }, None)]
#[case::no_runner_for_long(
    asked(), admission::LoadSnapshot { no_runner_ms: 3_001, ..view() }, Some(Code::NoCapacity))]
fn a_submission_is_refused_for_its_reason(
    #[case] asked: admission::Demand,
    #[case] view: admission::LoadSnapshot,
    #[case] expected: Option<Code>,
) {
    let settings = settings::Settings::default();

    let code = admission::refusal(&asked, &view, &team(), &settings);

    assert_eq!(code, expected);
}

#[rstest]
#[case::no_worker_known(8_000, &[], false)]
#[case::one_is_large_enough(8_000, &[4_000, 8_000], false)]
#[case::none_is(8_001, &[4_000, 8_000], true)]
fn what_fits_no_worker_is_told(#[case] cpu: u32, #[case] sizes: &[u32], #[case] expected: bool) {
    let resources = |cpu_milli| wire::Resources {
        cpu_milli,
        ..wire::Resources::default()
    };
    let sizes: Vec<_> = sizes.iter().copied().map(resources).collect();

    let never_fits = admission::never_fits(&[resources(1), resources(cpu)], &sizes);

    assert_eq!(never_fits, expected);
}

#[rstest]
#[case::only_declared(10, None, false)]
#[case::might_be_in_time(100, Some(200), false)]
#[case::too_late(99, Some(200), true)]
fn a_waiting_submission_is_given_up_when_hopeless(
    #[case] left_ms: u64,
    #[case] known: Option<u64>,
    #[case] expected: bool,
) {
    let is_hopeless = admission::is_infeasible(left_ms, known);

    assert_eq!(is_hopeless, expected);
}

/// Work of 100 ms each, expected to take `expected_ms`, ends on 8 slots while more
/// waits or not.
fn drained(expected_ms: u64, is_backlogged: bool) -> drain::DrainRate {
    let mut drain = drain::DrainRate::new(0);
    for now_ms in 1..=10_000 {
        if now_ms % 100 == 0 {
            (0..8).for_each(|_| drain.task_ended(expected_ms));
        }
        if now_ms % 20 == 0 {
            drain.tick(now_ms, 16.0, is_backlogged);
        }
    }
    drain
}

#[rstest]
#[case::as_expected(100, true, 8.0)]
#[case::expected_thrice_too_long(300, true, 24.0)]
#[case::nothing_waits(100, false, 16.0)]
fn the_drain_rate_is_what_was_really_done(
    #[case] expected_ms: u64,
    #[case] is_backlogged: bool,
    #[case] expected: f64,
) {
    let rate = drained(expected_ms, is_backlogged).rate();

    assert!((rate - expected).abs() < 0.1, "{rate}");
}

#[test]
fn the_refused_are_told_to_come_back_one_after_another() {
    let mut queue = queue::Queue::default();
    let hot = queue.team_key(&SmolStr::new("hot"));
    let other = queue.team_key(&SmolStr::new("other"));
    let mut returning = retry_after::RefusedWork::default();

    let mut after = |team| returning.retry_after_ms(0, team, 1_000, 1.0, 0.0, 0);
    let hots: Vec<_> = (0..20).map(|_| after(hot)).collect();
    let others = after(other);

    assert_eq!(&hots[..3], [1_000, 2_000, 3_000]);
    assert_eq!(hots[19], retry_after::MAX_MS);
    assert_eq!(others, 1_000);
}

#[test]
fn the_refused_are_forgotten_as_their_work_drains() {
    let mut queue = queue::Queue::default();
    let team = queue.team_key(&SmolStr::new("hot"));
    let mut returning = retry_after::RefusedWork::default();
    for _ in 0..5 {
        returning.retry_after_ms(0, team, 1_000, 1.0, 0.0, 0);
    }

    let after_ms = returning.retry_after_ms(4_000, team, 1_000, 1.0, 0.0, 0);

    assert_eq!(after_ms, 2_000);
}
