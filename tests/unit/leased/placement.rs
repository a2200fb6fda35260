//! Which runners a job's tasks go to.

use bulrushtiller::leased::dispatch::placement;
use bulrushtiller::leased::dispatch::runners;
use bulrushtiller::leased::messages;
use slotmap::SlotMap;
use smol_str::SmolStr;

use super::fixtures;

fn candidates(free: &[(u32, bool, &str)]) -> Vec<placement::Candidate> {
    let mut keys: SlotMap<runners::RunnerKey, ()> = SlotMap::with_key();
    let candidate = |&(cpu_milli, is_same_zone, rack): &(u32, bool, &str)| placement::Candidate {
        key: keys.insert(()),
        free: fixtures::cores(cpu_milli),
        size_milli: 16_000,
        queue_free_milli: [0; messages::URGENCY_CLASSES],
        queue_taken_milli: 0,
        is_suspect: false,
        task_allowance: u32::MAX,
        is_same_zone,
        preference: cpu_milli.into(),
        labels: [SmolStr::new(rack)].into(),
    };
    free.iter().map(candidate).collect()
}

fn asks(count: usize, cpu_milli: u32) -> Vec<placement::Request<'static>> {
    let ask = |task| placement::Request {
        task,
        step: 0,
        need: fixtures::cores(cpu_milli),
        label: None,
        rack: None,
        max_per_server: u32::MAX,
        may_wait: false,
        class: 1,
    };
    (0..count).map(ask).collect()
}

#[test]
fn the_nearest_and_then_the_first_in_the_entrys_own_order_is_taken() {
    let mut free = candidates(&[
        (9_000, false, "r1"),
        (8_000, true, "r2"),
        (2_000, true, "r3"),
    ]);

    let placed = placement::place(&asks(2, 1_600), &mut free);

    let keys: Vec<_> = placed.iter().map(|target| target.runner).collect();
    assert_eq!(keys, [free[2].key, free[1].key]);
}

#[test]
fn a_rack_near_the_data_goes_before_a_near_zone() {
    let rack = SmolStr::new("r1");
    let mut free = candidates(&[(9_000, false, "r1"), (8_000, true, "r2")]);
    let mut asks = asks(1, 1_600);
    asks[0].rack = Some(&rack);

    let placed = placement::place(&asks, &mut free);

    let target = placement::Target {
        task: 0,
        runner: free[0].key,
        waits: false,
    };
    assert_eq!(placed, [target]);
}

#[test]
fn a_label_and_the_most_on_one_server_are_kept() {
    let label = SmolStr::new("gpu");
    let mut free = candidates(&[(9_000, true, "gpu"), (9_000, true, "r2")]);
    let mut asks = asks(3, 1_000);
    for ask in &mut asks {
        ask.label = Some(&label);
        ask.max_per_server = 2;
    }

    let placed = placement::place(&asks, &mut free);

    assert_eq!(placed.len(), 2);
    assert!(placed.iter().all(|target| target.runner == free[0].key));
}

#[test]
fn one_whose_tasks_fare_badly_comes_last_and_gets_no_more_than_allowed() {
    let mut free = candidates(&[(8_000, true, "r1"), (9_000, false, "r2")]);
    free[0].is_suspect = true;
    free[1].task_allowance = 2;

    let placed = placement::place(&asks(3, 1_600), &mut free);

    let keys: Vec<_> = placed.iter().map(|target| target.runner).collect();
    assert_eq!(keys, [free[1].key, free[1].key, free[0].key]);
}

/// There is more work than room, and a report of three tasks finds two places. Begun in part,
/// it holds both for an answer that comes too late for want of the third; left alone, they
/// serve others.
#[test]
fn a_job_that_finds_no_place_for_all_its_tasks_takes_none() {
    let mut free = candidates(&[(1_600, true, "r1"), (0, true, "r2")]);
    free[1].queue_free_milli = [1_600; messages::URGENCY_CLASSES];
    let mut asks = asks(3, 1_600);
    for ask in &mut asks {
        ask.may_wait = true;
    }

    let none = placement::place_all(&asks, &mut free);
    let two = placement::place_all(&asks[..2], &mut free);

    assert!(none.is_empty(), "{none:?}");
    assert_eq!(two.iter().filter(|target| target.waits).count(), 1);
    assert_eq!(two.len(), 2);
}

/// Every line is full of runs that have time in hand. To one that is more urgent they are not.
#[test]
fn a_line_full_of_less_urgent_runs_has_a_place() {
    let mut free = candidates(&[(0, true, "r1")]);
    free[0].queue_free_milli = [4_000, 1_600, 0, 0, 0];
    let mut asks = asks(1, 1_600);
    asks[0].may_wait = true;

    let urgent = placement::place(&asks, &mut free.clone());
    asks[0].class = 2;
    let calm = placement::place(&asks, &mut free);

    assert_eq!(urgent.len(), 1);
    assert!(calm.is_empty());
}
