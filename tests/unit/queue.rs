//! The fair queue, compared with exact fluid shares and with a plain list.

use std::collections;

use bulrushtiller::jobs;
use bulrushtiller::queue;
use bulrushtiller::queue::order;
use bulrushtiller::settings;
use proptest::prelude::Strategy;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::prop_oneof;
use proptest::test_runner;
use rstest::rstest;
use slotmap::KeyData;
use smol_str::SmolStr;

const TEAMS: [&str; 3] = ["a", "b", "c"];

fn runner() -> test_runner::TestRunner {
    let config = test_runner::Config {
        cases: 200,
        failure_persistence: None,
        ..test_runner::Config::default()
    };
    let rng = test_runner::TestRng::deterministic_rng(test_runner::RngAlgorithm::ChaCha);
    test_runner::TestRunner::new_with_rng(config, rng)
}

fn settings(weights: [u32; 3], max_running: u32) -> collections::BTreeMap<SmolStr, settings::Team> {
    let team = |weight| settings::Team {
        weight,
        max_running,
        ..settings::Team::default()
    };
    let teams = TEAMS.into_iter().zip(weights);
    teams
        .map(|(name, w)| (SmolStr::new(name), team(w)))
        .collect()
}

fn queue(weights: [u32; 3], max_running: u32) -> queue::Queue {
    let mut queue = queue::Queue::default();
    queue.configure(&settings(weights, max_running));
    queue
}

fn key(number: u32) -> jobs::Key {
    KeyData::from_ffi((1 << 32) | u64::from(number)).into()
}

fn item(queue: &mut queue::Queue, team: u32, job: u32, index: u32, ms: u64) -> queue::Item {
    queue::Item {
        task: jobs::TaskKey {
            submission: key(job),
            index,
        },
        team: queue.team_key(&SmolStr::new(TEAMS[team as usize])),
        expected_ms: ms,
        rank_ms: u64::from(job),
    }
}

#[derive(Clone, Debug)]
enum Step {
    Push(u32, u32, u32, u64),
    Pop,
    Undo,
    Release,
    Remove(u32),
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0_u32..3, 0_u32..6, 0_u32..8, 1_u64..1_000)
            .prop_map(|(team, job, index, ms)| Step::Push(team, job * 3 + team, index, ms)),
        4 => proptest::strategy::Just(Step::Pop),
        1 => proptest::strategy::Just(Step::Undo),
        2 => proptest::strategy::Just(Step::Release),
        1 => (0_u32..18).prop_map(Step::Remove),
    ]
}

/// Waiting and running tasks as plain lists.
#[derive(Default)]
struct Model {
    waiting: Vec<queue::Item>,
    running: Vec<queue::Item>,
}

impl Model {
    fn is_ready(&self, team: queue::TeamKey, max_running: usize) -> bool {
        let running = self.running.iter().filter(|one| one.team == team).count();
        running < max_running && self.waiting.iter().any(|one| one.team == team)
    }

    /// Whether this is the first waiting task of its team.
    fn is_first(&self, item: &queue::Item) -> bool {
        let sort_key = |one: &queue::Item| (one.rank_ms, one.task.submission, one.task.index);
        let tasks = self.waiting.iter().filter(|one| one.team == item.team);
        tasks.map(sort_key).min() == Some(sort_key(item))
    }
}

fn same(item: &queue::Item) -> impl Fn(&queue::Item) -> bool {
    let task = item.task;
    move |one| one.task == task
}

#[test]
fn tasks_are_popped_once_in_order_whenever_a_team_is_below_its_quota() {
    let steps = proptest::collection::vec(any_step(), 1..120);
    let max_running = 3;

    let outcome = runner().run(&steps, |steps| {
        let mut queue = queue([1, 2, 5], 3);
        let mut model = Model::default();
        for step in steps {
            apply_step(&mut queue, &mut model, &step, max_running)?;
            let backlog: u64 = model.waiting.iter().map(|one| one.expected_ms).sum();
            prop_assert_eq!(queue.len(), model.waiting.len());
            prop_assert_eq!(queue.backlog_ms(), backlog);
        }
        Ok(())
    });

    assert!(outcome.is_ok(), "{outcome:?}");
}

fn apply_step(
    queue: &mut queue::Queue,
    model: &mut Model,
    step: &Step,
    max_running: usize,
) -> Result<(), test_runner::TestCaseError> {
    match *step {
        Step::Push(team, job, index, ms) => {
            let item = item(queue, team, job, index, ms);
            let is_known = model.running.iter().chain(&model.waiting).any(same(&item));
            if !is_known {
                model.waiting.push(item);
                queue.push(item);
            }
        }
        Step::Pop => {
            let popped = queue.pop();
            let teams: Vec<_> = model.waiting.iter().map(|one| one.team).collect();
            let is_any_ready = teams.iter().any(|team| model.is_ready(*team, max_running));
            prop_assert_eq!(popped.is_some(), is_any_ready);
            if let Some(item) = popped {
                prop_assert!(model.is_first(&item));
                prop_assert!(model.is_ready(item.team, max_running));
                model.waiting.retain(|one| one.task != item.task);
                model.running.push(item);
                queue.started(&item);
            }
        }
        Step::Undo => {
            if let Some(item) = queue.pop() {
                queue.put_back(item);
                let again = queue.pop().map(|again| {
                    queue.put_back(again);
                    again.task
                });
                prop_assert_eq!(again, Some(item.task));
            }
        }
        Step::Release => {
            if let Some(item) = model.running.pop() {
                queue.released(item.team);
            }
        }
        Step::Remove(job) => {
            let removed = queue.remove_submission(key(job)).len();
            let before = model.waiting.len();
            model.waiting.retain(|one| one.task.submission != key(job));
            prop_assert_eq!(removed, before - model.waiting.len());
        }
    }
    Ok(())
}

#[test]
fn backlogged_teams_get_their_fluid_share_within_one_task() {
    let weights = proptest::array::uniform3(1_u32..10);
    let sizes = proptest::array::uniform3(1_u64..1_000);

    let outcome = runner().run(&(weights, sizes), |(weights, sizes)| {
        let mut queue = queue(weights, u32::MAX);
        let mut received = [0_u64; 3];
        for (team, size) in (0..3).zip(sizes) {
            for index in 0..200 {
                let item = item(&mut queue, team, team, index, size);
                queue.push(item);
            }
        }

        while !queue.is_empty() {
            let item = queue.pop().expect("the queue is not empty");
            queue.started(&item);
            let team = (0..3).position(|team| key(team) == item.task.submission);
            received[team.expect("known")] += item.expected_ms;
            if received
                .iter()
                .zip(sizes)
                .any(|(sum, size)| *sum == 200 * size)
            {
                break;
            }
        }

        for (one, other) in [(0, 1), (0, 2), (1, 2)] {
            let share = |team: usize| received[team] as f64 / f64::from(weights[team]);
            let quantum = |team: usize| sizes[team] as f64 / f64::from(weights[team]);
            let bound = quantum(one).max(quantum(other)) + 1.0;
            prop_assert!((share(one) - share(other)).abs() <= bound);
        }
        Ok(())
    });

    assert!(outcome.is_ok(), "{outcome:?}");
}

#[test]
fn idle_team_earns_no_credit() {
    let mut queue = queue([1, 1, 1], u32::MAX);
    for index in 0..100 {
        let hot = item(&mut queue, 0, 0, index, 100);
        queue.push(hot);
    }
    for _ in 0..50 {
        let hot = queue.pop().expect("the queue is not empty");
        queue.started(&hot);
    }
    for index in 0..20 {
        let late = item(&mut queue, 1, 1, index, 100);
        queue.push(late);
    }

    let next: Vec<_> = (0..20).filter_map(|_| queue.pop()).collect();

    let late = next.iter().filter(|one| one.task.submission == key(1));
    assert_eq!(late.count(), 10);
}

#[test]
fn team_is_charged_for_the_real_run_time() {
    let mut queue = queue([1, 1, 1], u32::MAX);
    for index in 0..20 {
        let underestimated = item(&mut queue, 0, 0, index, 10);
        let exact = item(&mut queue, 1, 1, index, 100);
        queue.push(underestimated);
        queue.push(exact);
    }
    let mut starts = 0;

    for _ in 0..20 {
        let item = queue.pop().expect("the queue is not empty");
        queue.started(&item);
        queue.released(item.team);
        queue.adjust_charge(item.team, item.expected_ms, 100);
        starts += u32::from(item.task.submission == key(0));
    }

    assert_eq!(starts, 10);
}

/// Compares the ranks of two single-task jobs.
#[rstest]
#[case::short_job_before_slightly_older_long_job(1_000, 50, 900, 1_000, 2_000)]
#[case::old_long_job_before_new_short_job(100, 1_000, 900, 50, 2_000)]
#[case::age_limits_the_rank_of_a_long_job(100, 10_000, 700, 10, 500)]
#[case::arrival_order_without_age(100, 1_000, 101, 10, 0)]
fn first_job_ranks_before_the_second(
    #[case] first_at: u64,
    #[case] first_ms: u64,
    #[case] second_at: u64,
    #[case] second_ms: u64,
    #[case] age_ms: u64,
) {
    let estimate = |ms| order::JobEstimate {
        longest_ms: ms,
        work_ms: ms,
        slots: 8,
    };

    let first = order::rank_ms(first_at, &estimate(first_ms), first_ms, age_ms);
    let second = order::rank_ms(second_at, &estimate(second_ms), second_ms, age_ms);

    assert!(first < second, "{first} {second}");
}

#[test]
fn longest_task_of_a_job_ranks_first() {
    let estimate = order::JobEstimate {
        longest_ms: 800,
        work_ms: 1_000,
        slots: 8,
    };

    let long = order::rank_ms(0, &estimate, 800, 2_000);
    let short = order::rank_ms(0, &estimate, 200, 2_000);

    assert!(long < short);
}
