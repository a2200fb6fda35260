//! Reports that an entry reads long after the runner has written them.

use bulrushtiller::leased::dispatch;
use bulrushtiller::leased::dispatch::runners;
use bulrushtiller::leased::messages;

use super::fixtures;
use super::fixtures::START_MS;

/// Returns an entry that has ordered one run, and the order.
fn entry_with_order() -> (dispatch::Dispatcher, runners::RunnerKey, messages::Order) {
    let (mut entry, key) = fixtures::entry();
    let job = fixtures::job(1, 1, 1_600, 60);
    let actions = entry.submit(START_MS, job, &fixtures::queue(), Some(1_500), 1);
    let order = fixtures::orders(&actions).remove(0);
    (entry, key, order)
}

/// Returns a report without runs that the runner wrote at `clock_ms` on its own clock.
fn written_at(clock_ms: u64) -> messages::Report {
    messages::Report {
        clock_ms,
        ..fixtures::report(2, 0, &[])
    }
}

/// Guards against a task that runs twice: the report was written before the order arrived.
#[test]
fn report_written_while_the_order_is_valid_ends_no_run_however_late_it_is_read() {
    let (mut entry, key, order) = entry_with_order();
    let read_ms = START_MS + 2 * runners::ORDER_VALID_MS + 1;

    let actions = entry.report_received(read_ms, key, written_at(order.valid_until_ms));

    assert!(fixtures::orders(&actions).is_empty(), "{actions:?}");
}

/// Guards against a task that waits for nothing: no copy of its order is accepted any more.
#[test]
fn report_written_after_the_order_has_expired_frees_its_task_at_once() {
    let (mut entry, key, order) = entry_with_order();
    let read_ms = START_MS + runners::ORDER_VALID_MS + 1;

    let actions = entry.report_received(read_ms, key, written_at(order.valid_until_ms + 1));

    assert_eq!(
        fixtures::orders(&actions)[0].starts[0].id,
        fixtures::run_id(1, 0, 2)
    );
}
