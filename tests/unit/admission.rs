//! Admission decisions, drain rate and retry times.

use bulrushtiller::admission;
use bulrushtiller::admission::drain;
use bulrushtiller::admission::retry_after;
use bulrushtiller::codes::Code;
use bulrushtiller::queue;
use bulrushtiller::settings;
use bulrushtiller::wire;
use rstest::rstest;
use smol_str::SmolStr;

fn demand() -> admission::Demand {
    admission::Demand {
        tasks: 10,
        work_ms: 1_000,
        learned_longest_ms: Some(200),
        deadline_ms: 4_000,
    }
}

/// A single team on 10 slots, with a second of waiting work for each slot.
fn load() -> admission::LoadSnapshot {
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
#[case::accepted(demand(), load(), None)]
#[case::deadline_is_too_short_for_the_wait(
    admission::Demand { deadline_ms: 2_400, ..demand() }, load(), Some(Code::DeadlineUnreachable))]
#[case::declared_run_time_is_ignored(
    admission::Demand { deadline_ms: 2_400, learned_longest_ms: None, ..demand() }, load(), None)]
#[case::empty_queue_accepts_a_short_deadline(
    admission::Demand { deadline_ms: 10, ..demand() },
    admission::LoadSnapshot { backlog_ms: 0, team_backlog_ms: 0, ..load() }, None)]
#[case::wait_exceeds_the_policy(
    admission::Demand { deadline_ms: 60_000, ..demand() },
    admission::LoadSnapshot { drain_rate: 1.0, ..load() }, Some(Code::TeamQueueFull))]
#[case::backlog_of_others_is_limited_by_the_share(
    demand(),
    admission::LoadSnapshot {
        backlog_ms: 900_000, team_backlog_ms: 1_000, share: 0.5, ..load()
    }, None)]
#[case::more_tasks_than_the_quota(
    admission::Demand { tasks: 1_001, ..demand() }, load(), Some(Code::OverQuota))]
#[case::team_queue_is_full(
    demand(), admission::LoadSnapshot { team_queued: 991, ..load() }, Some(Code::TeamQueueFull))]
#[case::entry_queue_is_full(
    demand(), admission::LoadSnapshot { queued: 19_991, ..load() }, Some(Code::EntryQueueFull))]
#[case::no_runner_for_a_short_time(
    demand(), admission::LoadSnapshot { no_runner_ms: 2_000, ..load() }, None)]
#[case::no_runner_for_a_long_time(
    demand(), admission::LoadSnapshot { no_runner_ms: 3_001, ..load() }, Some(Code::NoCapacity))]
fn submission_is_refused_with_the_expected_code(
    #[case] demand: admission::Demand,
    #[case] load: admission::LoadSnapshot,
    #[case] expected: Option<Code>,
) {
    let settings = settings::Settings::default();

    let code = admission::refusal(&demand, &load, &team(), &settings);

    assert_eq!(code, expected);
}

#[rstest]
#[case::no_worker_known(8_000, &[], false)]
#[case::one_worker_is_large_enough(8_000, &[4_000, 8_000], false)]
#[case::every_worker_is_too_small(8_001, &[4_000, 8_000], true)]
fn task_larger_than_every_worker_never_fits(
    #[case] cpu: u32,
    #[case] sizes: &[u32],
    #[case] expected: bool,
) {
    let resources = |cpu_milli| wire::Resources {
        cpu_milli,
        ..wire::Resources::default()
    };
    let sizes: Vec<_> = sizes.iter().copied().map(resources).collect();

    let never_fits = admission::never_fits(&[resources(1), resources(cpu)], &sizes);

    assert_eq!(never_fits, expected);
}

#[rstest]
#[case::run_time_is_only_declared(10, None, false)]
#[case::half_of_the_run_time_is_left(100, Some(200), false)]
#[case::less_than_half_of_the_run_time_is_left(99, Some(200), true)]
fn waiting_submission_is_infeasible_below_half_of_its_run_time(
    #[case] left_ms: u64,
    #[case] learned_ms: Option<u64>,
    #[case] expected: bool,
) {
    let is_infeasible = admission::is_infeasible(left_ms, learned_ms);

    assert_eq!(is_infeasible, expected);
}

/// Returns the drain rate after tasks of 100 ms, estimated at `expected_ms`, have run on 8 of
/// 16 slots for 10 s.
fn drain_rate_after_run(expected_ms: u64, is_backlogged: bool) -> drain::DrainRate {
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
#[case::estimate_is_exact(100, true, 8.0)]
#[case::estimate_is_three_times_too_long(300, true, 24.0)]
#[case::no_backlog(100, false, 16.0)]
fn drain_rate_is_the_completed_slot_time(
    #[case] expected_ms: u64,
    #[case] is_backlogged: bool,
    #[case] expected: f64,
) {
    let rate = drain_rate_after_run(expected_ms, is_backlogged).rate();

    assert!((rate - expected).abs() < 0.1, "{rate}");
}

#[test]
fn retry_times_of_refused_submissions_are_staggered_per_team() {
    let mut queue = queue::Queue::default();
    let hot = queue.team_key(&SmolStr::new("hot"));
    let other = queue.team_key(&SmolStr::new("other"));
    let mut refused = retry_after::RefusedWork::default();

    let mut retry_ms = |team| refused.retry_after_ms(0, team, 1_000, 1.0, 0.0, 0);
    let hot_retries: Vec<_> = (0..20).map(|_| retry_ms(hot)).collect();
    let other_retry = retry_ms(other);

    assert_eq!(&hot_retries[..3], [1_000, 2_000, 3_000]);
    assert_eq!(hot_retries[19], retry_after::MAX_MS);
    assert_eq!(other_retry, 1_000);
}

#[test]
fn refused_work_drains_with_time() {
    let mut queue = queue::Queue::default();
    let team = queue.team_key(&SmolStr::new("hot"));
    let mut refused = retry_after::RefusedWork::default();
    for _ in 0..5 {
        refused.retry_after_ms(0, team, 1_000, 1.0, 0.0, 0);
    }

    let after_ms = refused.retry_after_ms(4_000, team, 1_000, 1.0, 0.0, 0);

    assert_eq!(after_ms, 2_000);
}
