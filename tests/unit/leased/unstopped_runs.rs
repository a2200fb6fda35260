//! Runs that should end, at a backend server that fails most of its requests.

use bulrushtiller::leased::capacity;
use bulrushtiller::leased::messages;
use bulrushtiller::leased::ports;
use rstest::rstest;

use super::fixtures;
use super::fixtures::ENTRY;
use super::fixtures::START_MS;

/// Reading of the backend server's clock at [`START_MS`].
const CLOCK_MS: u64 = 5_000;

/// How a runner hears that a run is no longer wanted.
#[derive(Clone, Copy, Debug)]
enum News {
    Order,
    Watch,
}

/// Returns a runner with a run that is wanted and one that was withdrawn at [`START_MS`] + 10.
fn manager_with_withdrawn_run(
    news: News,
) -> (capacity::CapacityManager, messages::RunId, messages::RunId) {
    let mut manager = fixtures::ready_manager();
    let (wanted, withdrawn) = (fixtures::run_id(1, 0, 1), fixtures::run_id(2, 0, 1));
    let starts = [(wanted.clone(), 1_600), (withdrawn.clone(), 1_600)];
    manager.order(START_MS, fixtures::order(ENTRY, 1, START_MS, &starts));
    for id in [&wanted, &withdrawn] {
        manager.start_answered(START_MS + 1, id, ports::StartAnswer::Started);
    }
    let now_ms = START_MS + 10;
    match news {
        News::Order => {
            let mut order = fixtures::order(ENTRY, 2, now_ms, &[]);
            order.stops.push(withdrawn.clone());
            manager.order(now_ms, order);
        }
        News::Watch => {
            let still = std::slice::from_ref(&wanted);
            manager.watch(now_ms, &fixtures::watch(ENTRY, now_ms, 1, still));
        }
    }
    (manager, wanted, withdrawn)
}

/// Renews and lists the runs every 50 ms from `from_ms` to `to_ms`, while stops are answered with
/// `answer`; returns the latest end of a lease that was granted, since [`CLOCK_MS`].
fn play(
    manager: &mut capacity::CapacityManager,
    [wanted, withdrawn]: [&messages::RunId; 2],
    [from_ms, to_ms]: [u64; 2],
    answer: ports::StopAnswer,
) -> u64 {
    let mut latest_ms = 0;
    for at_ms in (from_ms..to_ms).step_by(50) {
        let now_ms = START_MS + at_ms;
        let still = std::slice::from_ref(wanted);
        manager.watch(now_ms, &fixtures::watch(ENTRY, now_ms, 2, still));
        manager.stop_answered(now_ms, withdrawn, answer);
        let running = [wanted.clone(), withdrawn.clone()];
        let listing = fixtures::listing(CLOCK_MS + at_ms, &running);
        manager.listed(now_ms, now_ms - 1, listing);
        let until_ms = manager.next_list(now_ms).lease_until_ms.unwrap_or(0);
        latest_ms = latest_ms.max(until_ms.saturating_sub(CLOCK_MS));
    }
    latest_ms
}

/// Guards against two runs of a task at a time: the stop of a run whose caller got a 504 fails again
/// and again, its lease is renewed with those of others, and the caller is back after 1.3 s.
#[rstest]
#[case::told_by_an_order(News::Order, ports::StopAnswer::Refused)]
#[case::told_by_a_watch(News::Watch, ports::StopAnswer::Refused)]
#[case::stop_unanswered(News::Order, ports::StopAnswer::Lost)]
fn lease_ends_in_time_for_a_withdrawn_run_that_cannot_be_stopped(
    #[case] news: News,
    #[case] answer: ports::StopAnswer,
) {
    let (mut manager, wanted, withdrawn) = manager_with_withdrawn_run(news);

    let latest_ms = play(&mut manager, [&wanted, &withdrawn], [20, 1_500], answer);

    assert!(
        latest_ms <= 10 + capacity::OWNER_LEASE_MS,
        "a lease ends {latest_ms} ms after the start"
    );
}

/// Guards against work that is lost for nothing: a run that ends by itself bounds no lease.
#[test]
fn lease_is_renewed_beside_a_run_whose_stop_was_acknowledged() {
    let (mut manager, wanted, withdrawn) = manager_with_withdrawn_run(News::Order);
    let acknowledged = ports::StopAnswer::Acknowledged;

    let latest_ms = play(
        &mut manager,
        [&wanted, &withdrawn],
        [20, 1_500],
        acknowledged,
    );

    assert!(
        latest_ms > 1_450 + capacity::LEASE_MS / 2,
        "the last lease ends {latest_ms} ms after the start"
    );
}

/// Guards against few attempts at a stop within a lease: a backend server that refuses has answered
/// at once, and need not be given the time for an answer.
#[rstest]
#[case::refused(ports::StopAnswer::Refused, 1)]
#[case::unanswered(ports::StopAnswer::Lost, 0)]
fn refused_stop_is_repeated_at_once(#[case] answer: ports::StopAnswer, #[case] repeats: usize) {
    let (mut manager, _, withdrawn) = manager_with_withdrawn_run(News::Order);
    manager.stop_answered(START_MS + 11, &withdrawn, answer);

    let actions = manager.tick(START_MS + 14);

    assert_eq!(fixtures::stopped(&actions).len(), repeats);
}

/// Guards against work that ends with the lease of others: a runner takes none while it cannot stop
/// a run, and takes some again once the run is gone.
#[test]
fn no_work_is_taken_while_the_lease_is_running_out() {
    let (mut manager, wanted, withdrawn) = manager_with_withdrawn_run(News::Order);
    let ids = [&wanted, &withdrawn];
    play(&mut manager, ids, [20, 300], ports::StopAnswer::Refused);
    let at_first = manager.readiness(START_MS + 300);
    play(&mut manager, ids, [320, 900], ports::StopAnswer::Refused);
    let at_last = manager.readiness(START_MS + 900);

    let now_ms = START_MS + 920;
    let stopped = messages::RunOutcome::Stopped;
    let clock_ms = CLOCK_MS + 920;
    let end = fixtures::listing_with_end(clock_ms, 1, withdrawn.clone(), stopped);
    manager.listed(now_ms, now_ms - 1, end);

    assert_eq!(at_first, messages::Readiness::Ready);
    assert_eq!(at_last, messages::Readiness::Unreachable);
    assert_eq!(manager.readiness(now_ms), messages::Readiness::Ready);
}
