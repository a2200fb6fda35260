//! Numbers from other processes that no sum holds.

use bulrushtiller::leased::messages;
use bulrushtiller::wire;

use super::fixtures;
use super::fixtures::ENTRY;
use super::fixtures::START_MS;

const MOST: wire::Resources = wire::Resources {
    cpu_milli: u32::MAX,
    memory_mib: u32::MAX,
    accelerators: u32::MAX,
};

/// Returns a wait queue in which all classes are full.
fn full_queue() -> messages::WaitQueue {
    let mut queue = messages::WaitQueue::default();
    for class in 0..5 {
        queue.add(class, u32::MAX);
        queue.add(class, u32::MAX);
    }
    queue
}

/// Guards against an entry that ends as it reads a report: sums of capacities, and of times.
#[test]
fn report_with_the_largest_numbers_ends_no_entry() {
    let (mut entry, key) = fixtures::entry();
    let other = entry.add_runners(START_MS, &["10.0.0.2:7720".into()]);
    let report = |sequence| messages::Report {
        clock_ms: u64::MAX,
        load: messages::Load {
            size: MOST,
            line: full_queue(),
            ..fixtures::load(0)
        },
        sequence,
        ..fixtures::report(2, 0, &[])
    };

    entry.report_received(START_MS + 1, key, report(u64::MAX - 1));
    for number in 1..4 {
        let job = fixtures::job(number, 300, u32::MAX, u64::MAX);
        let timeout_ms = Some(u64::MAX);
        entry.submit(START_MS + 2, job, &fixtures::queue(), timeout_ms, number);
    }
    entry.report_received(START_MS + 3, key, report(u64::MAX));
    entry.tick(START_MS + 10_000);
    entry.next_watch(START_MS + 10_001, key);

    assert_eq!(other.len(), 1);
    assert!(entry.runners() > 0);
}

/// Guards against a runner that ends as it reads a watch or an order.
#[test]
fn watch_and_order_with_the_largest_numbers_end_no_runner() {
    let mut manager = fixtures::ready_manager();
    let watch = messages::Watch {
        wait_ms: u64::MAX,
        alive_at_ms: Some(u64::MAX),
        ordered: u64::MAX - 1,
        acked: u64::MAX - 1,
        wanted_milli: u32::MAX,
        ..fixtures::watch(ENTRY, START_MS, 0, &[])
    };
    let runs = [
        (fixtures::run_id(1, 0, u32::MAX), u32::MAX),
        (fixtures::run_id(1, u32::MAX, u32::MAX), u32::MAX),
    ];
    let mut order = fixtures::order(ENTRY, u64::MAX, START_MS, &runs);
    order.alive_at_ms = u64::MAX;
    order.valid_until_ms = u64::MAX;
    for start in &mut order.starts {
        start.expected_ms = u64::MAX;
        start.wait.most_ms = u64::MAX;
        start.wait.start_within_ms = u64::MAX;
    }

    manager.watch(START_MS + 1, &watch);
    let (reply, _) = manager.order(START_MS + 2, order);
    manager.report(START_MS + 3, ENTRY);
    manager.tick(START_MS + 4);
    manager.next_list(START_MS + 5);

    assert_eq!(reply.refused.len(), runs.len());
}
