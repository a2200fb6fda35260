//! Decisions of an entry about jobs under leases.

use bulrushtiller::ids;
use bulrushtiller::leased::dispatch;
use bulrushtiller::leased::dispatch::runners;
use bulrushtiller::leased::messages;

use super::fixtures;
use super::fixtures::ENTRY;
use super::fixtures::OTHER;
use super::fixtures::START_MS;

fn answers(actions: &[dispatch::Action]) -> Vec<dispatch::Outcome> {
    let answer = |action: &dispatch::Action| match action {
        dispatch::Action::Answer(_, outcome) => Some(*outcome),
        _ => None,
    };
    actions.iter().filter_map(answer).collect()
}

fn end(number: u64, id: &messages::RunId, how: messages::RunOutcome) -> messages::End {
    messages::End {
        number,
        id: id.clone(),
        how,
        ran_ms: 60,
    }
}

fn report_ends(sequence: u64, ends: Vec<messages::End>) -> messages::Report {
    messages::Report {
        ends,
        ..fixtures::report(sequence, 0, &[])
    }
}

/// Submits a job of `tasks` tasks of 60 ms and 1.6 cores each.
fn submit(
    entry: &mut dispatch::Dispatcher,
    now_ms: u64,
    id: u64,
    tasks: u32,
) -> Vec<dispatch::Action> {
    let job = fixtures::job(id, tasks, 1_600, 60);
    entry.submit(now_ms, job, &fixtures::queue(), Some(1_500), id)
}

#[test]
fn job_is_answered_when_its_last_task_completes() {
    let (mut entry, key) = fixtures::entry();
    let order = fixtures::orders(&submit(&mut entry, START_MS, 1, 2)).remove(0);
    entry.order_answered(START_MS + 2, key, &order, fixtures::reply(2, 3_200));
    let first = end(1, &order.starts[0].id, messages::RunOutcome::Done);
    let second = end(2, &order.starts[1].id, messages::RunOutcome::Done);
    let still_running = std::slice::from_ref(&order.starts[1].id);

    let early = messages::Report {
        ends: vec![first.clone()],
        ..fixtures::report(3, 1_600, still_running)
    };
    let early = entry.report_received(START_MS + 60, key, early);
    let done = entry.report_received(START_MS + 70, key, report_ends(4, vec![first, second]));

    assert!(answers(&early).is_empty());
    assert_eq!(answers(&done), [dispatch::Outcome::Completed]);
    assert_eq!(entry.open_jobs(), 0);
}

/// Guards against a job that is retried for ever because its tasks always fail: after the allowed
/// number of failed runs it fails, and its remaining runs are stopped.
#[test]
fn job_fails_after_the_allowed_number_of_failed_runs() {
    let (mut entry, key) = fixtures::entry();
    let order = fixtures::orders(&submit(&mut entry, START_MS, 1, 2)).remove(0);
    entry.order_answered(START_MS + 2, key, &order, fixtures::reply(2, 3_200));
    let other = order.starts[1].id.clone();
    let failed = |number, run| {
        end(
            number,
            &fixtures::run_id(1, 0, run),
            messages::RunOutcome::Failed,
        )
    };

    let report = messages::Report {
        ends: vec![failed(1, 1)],
        ..fixtures::report(3, 1_600, std::slice::from_ref(&other))
    };
    let again = entry.report_received(START_MS + 30, key, report);
    let report = messages::Report {
        ends: vec![failed(2, 2)],
        ..fixtures::report(4, 1_600, std::slice::from_ref(&other))
    };
    let ended = entry.report_received(START_MS + 60, key, report);

    assert_eq!(
        fixtures::orders(&again)[0].starts[0].id,
        fixtures::run_id(1, 0, 2)
    );
    assert_eq!(answers(&ended), [dispatch::Outcome::Failed]);
    assert_eq!(fixtures::orders(&ended)[0].stops, [other]);
}

/// Guards against runs that go on after their caller has disconnected. They are stopped at once,
/// and the next watch leaves them out in case the stop is lost.
#[test]
fn runs_of_a_disconnected_caller_are_stopped() {
    let (mut entry, key) = fixtures::entry();
    let order = fixtures::orders(&submit(&mut entry, START_MS, 1, 1)).remove(0);
    entry.order_answered(START_MS + 2, key, &order, fixtures::reply(2, 1_600));

    let actions = entry.remove_waiter(START_MS + 20, &fixtures::run_id(1, 0, 1).job, 1);
    let watch = entry.next_watch(START_MS + 21, key);

    assert_eq!(
        fixtures::orders(&actions)[0].stops,
        [order.starts[0].id.clone()]
    );
    assert!(watch.is_some_and(|(_, watch)| watch.wanted.is_empty() && watch.ordered == 2));
}

/// Guards against a second set of runs when a caller loses its connection and submits its job
/// again to the same entry while the first attempt is open there.
#[test]
fn repeated_submission_joins_the_open_job() {
    let (mut entry, key) = fixtures::entry();
    let order = fixtures::orders(&submit(&mut entry, START_MS, 1, 1)).remove(0);
    entry.order_answered(START_MS + 2, key, &order, fixtures::reply(2, 1_600));

    let job = fixtures::job(1, 1, 1_600, 60);
    let joined = entry.submit(START_MS + 30, job, &fixtures::queue(), Some(1_500), 77);
    entry.remove_waiter(START_MS + 31, &order.starts[0].id.job, 1);
    let ends = vec![end(1, &order.starts[0].id, messages::RunOutcome::Done)];
    let done = entry.report_received(START_MS + 60, key, report_ends(3, ends));

    assert!(fixtures::orders(&joined).is_empty());
    assert_eq!(answers(&done), [dispatch::Outcome::Completed]);
}

/// Guards against a task that runs twice because the answer to its order was lost. It starts
/// elsewhere only after the order has expired and the runner reports that it doesn't hold the run.
#[test]
fn run_of_an_unanswered_order_is_not_restarted_before_the_order_expires() {
    let (mut entry, key) = fixtures::entry();
    let order = fixtures::orders(&submit(&mut entry, START_MS, 1, 1)).remove(0);
    entry.order_lost(START_MS + 250, key, &order, false);

    let written_at = |clock_ms, sequence| messages::Report {
        clock_ms,
        ..fixtures::report(sequence, 0, &[])
    };
    let expiry_ms = START_MS + runners::ORDER_VALID_MS;
    let early = entry.report_received(expiry_ms, key, written_at(order.valid_until_ms, 2));
    let late = entry.report_received(expiry_ms + 1, key, written_at(order.valid_until_ms + 1, 3));

    assert!(fixtures::orders(&early).is_empty());
    assert_eq!(
        fixtures::orders(&late)[0].starts[0].id,
        fixtures::run_id(1, 0, 2)
    );
}

/// Guards against a run that counts as lost because a report without it, written before the
/// runner accepted the order, arrives after the answer to the order.
#[test]
fn report_older_than_the_order_ends_no_run() {
    let (mut entry, key) = fixtures::entry();
    let order = fixtures::orders(&submit(&mut entry, START_MS, 1, 1)).remove(0);
    entry.order_answered(START_MS + 3, key, &order, fixtures::reply(5, 1_600));

    let actions = entry.report_received(START_MS + 4, key, fixtures::report(4, 0, &[]));

    assert!(fixtures::orders(&actions).is_empty());
}

/// Guards against a task that runs twice while only the link from its runner is broken. The
/// runner still receives watches and would keep its runs, so the entry stops renewing the lease
/// and starts the task elsewhere only after every lease has expired.
#[test]
fn lease_at_a_silent_runner_is_not_renewed() {
    let (mut entry, key) = fixtures::entry();
    let job = fixtures::job(1, 1, 1_600, 60);
    let actions = entry.submit(START_MS, job, &fixtures::queue(), Some(5_000), 1);
    let order = fixtures::orders(&actions).remove(0);
    entry.order_answered(START_MS + 2, key, &order, fixtures::reply(2, 1_600));
    let second = entry.add_runners(START_MS + 2, &["10.0.0.2:7720".into()]);
    let [dispatch::Action::Watch(other)] = second[..] else {
        panic!("expected one watch, got {second:?}");
    };
    let alive = entry.next_watch(START_MS + 400, key);
    let silent = entry.next_watch(START_MS + 500, key);

    let expiry_ms = START_MS + 400 + runners::RUN_EXPIRY_MS;
    entry.report_received(expiry_ms - 5, other, fixtures::report(1, 0, &[]));
    let before = entry.tick(expiry_ms);
    let after = entry.tick(expiry_ms + 1);

    assert!(alive.is_some_and(|(_, watch)| watch.alive_at_ms.is_some()));
    assert!(silent.is_some_and(|(_, watch)| watch.alive_at_ms.is_none()));
    assert!(fixtures::orders(&before).is_empty());
    assert_eq!(
        fixtures::orders(&after)[0].starts[0].id,
        fixtures::run_id(1, 0, 2)
    );
}

/// Guards against a wide job that starves: if the most urgent job waited for all its capacity at
/// once, smaller jobs would take each piece that becomes free.
#[test]
fn most_urgent_wide_job_takes_capacity_piece_by_piece() {
    let (mut entry, key) = fixtures::entry();
    entry.report_received(START_MS + 1, key, fixtures::report(2, 16_000, &[]));
    submit(&mut entry, START_MS + 2, 1, 8);
    let small = fixtures::job(2, 2, 1_600, 200);
    entry.submit(START_MS + 3, small, &fixtures::queue(), Some(1_500), 2);

    let first = entry.report_received(START_MS + 20, key, fixtures::report(3, 12_000, &[]));
    let held: Vec<_> = fixtures::orders(&first)[0]
        .starts
        .iter()
        .map(|start| start.id.clone())
        .collect();
    entry.order_answered(
        START_MS + 21,
        key,
        &fixtures::orders(&first)[0],
        fixtures::reply(4, 15_200),
    );
    let second = entry.report_received(START_MS + 40, key, fixtures::report(5, 3_200, &held));

    let jobs = |actions: &[dispatch::Action]| -> Vec<_> {
        let starts = fixtures::orders(actions)
            .into_iter()
            .flat_map(|order| order.starts);
        starts.map(|start| start.id.job).collect()
    };
    let wide = fixtures::run_id(1, 0, 1).job;
    assert_eq!(jobs(&first), [wide.clone(), wide.clone()]);
    assert_eq!(jobs(&second).iter().filter(|job| **job == wide).count(), 6);
    assert_eq!(jobs(&second).len(), 8);
}

/// Guards against a caller that is left without a retry time when no capacity is free in time.
#[test]
fn job_without_capacity_in_time_is_refused_as_not_run() {
    let (mut entry, key) = fixtures::entry();
    entry.report_received(START_MS + 1, key, fixtures::report(2, 16_000, &[]));
    submit(&mut entry, START_MS + 2, 1, 2);

    let actions = entry.tick(START_MS + 1_600);

    let [dispatch::Outcome::NotRun { retry_after_ms }] = answers(&actions)[..] else {
        panic!("expected one refusal, got {actions:?}");
    };
    assert!(retry_after_ms >= 1_000);
    assert!(fixtures::orders(&actions).is_empty());
}

/// Guards against tasks placed in a zone that operators have taken out of service, even if only
/// that zone has free capacity.
#[test]
fn no_task_is_placed_in_a_zone_that_is_out() {
    let (mut entry, _key) = fixtures::entry();
    let mut directives = fixtures::directives(4);
    directives.zones_out.push("bento".into());
    entry.update_directives(directives);

    let actions = submit(&mut entry, START_MS + 2, 1, 1);

    assert!(fixtures::orders(&actions).is_empty());
    assert_eq!(entry.pending("checks"), 1);
}

/// Creates an entry with three empty runners.
fn entry_with_three() -> (dispatch::Dispatcher, Vec<runners::RunnerKey>) {
    let (mut entry, first) = fixtures::entry();
    let found = entry.add_runners(START_MS, &["10.0.0.2:7720".into(), "10.0.0.3:7720".into()]);
    let mut keys = vec![first];
    for action in &found {
        if let dispatch::Action::Watch(key) = action {
            keys.push(*key);
        }
    }
    (entry, keys)
}

/// Guards against a backend server that fails every task, is therefore always empty, and so
/// attracts all work.
#[test]
fn server_that_fails_every_task_gets_no_more_work() {
    let (mut entry, keys) = entry_with_three();
    let bad = keys[0];
    let mut sequence = 10_u64;
    let mut sent_to_bad = Vec::new();
    for id in 0..60_u64 {
        let now_ms = START_MS + 100 + id * 100;
        sequence += 1;
        for (at, key) in keys.iter().enumerate() {
            // At first the bad server is full, and the others show how such tasks fare.
            let is_full = id < 10 && u64::try_from(at).is_ok_and(|at| at != 1 + id / 2 % 2);
            let used_milli = if is_full { 16_000 } else { 0 };
            entry.next_watch(now_ms, *key);
            entry.report_received(now_ms, *key, fixtures::report(sequence, used_milli, &[]));
        }
        let mut queue = fixtures::queue();
        queue.name = smol_str::format_smolstr!("kind-{}", id % 2);
        let job = fixtures::job(id, 1, 1_600, 60);
        let mut actions = entry.submit(now_ms, job, &queue, Some(1_500), id);
        // A failed task is retried at once; each attempt is answered until the job has ended.
        for _ in 0..3 {
            let Some(dispatch::Action::Order(key, _, order)) = actions.first().cloned() else {
                break;
            };
            sequence += 1;
            entry.order_answered(now_ms + 2, key, &order, fixtures::reply(sequence, 1_600));
            let how = if key == bad {
                messages::RunOutcome::Failed
            } else {
                messages::RunOutcome::Done
            };
            sent_to_bad.extend((key == bad).then_some(id));
            let ends = vec![end(sequence, &order.starts[0].id, how)];
            sequence += 1;
            actions = entry.report_received(now_ms + 50, key, report_ends(sequence, ends));
        }
    }

    let late = sent_to_bad.iter().filter(|id| **id >= 40).count();
    assert!(late <= 4, "{sent_to_bad:?}");
    assert!(entry.counts().completed >= 50);
}

/// Creates an entry that knows ten empty runners of 16 cores.
fn entry_with_ten(incarnation: ids::Incarnation) -> dispatch::Dispatcher {
    let mut entry = dispatch::Dispatcher::new(incarnation, "bento".into());
    entry.update_directives(fixtures::directives(3));
    let addresses: Vec<_> = (1..=10)
        .map(|at| smol_str::format_smolstr!("10.0.0.{at}:7720"))
        .collect();
    for action in entry.add_runners(START_MS - 10, &addresses) {
        let dispatch::Action::Watch(key) = action else {
            panic!("expected a watch, got {action:?}");
        };
        entry.next_watch(START_MS - 10, key);
        entry.report_received(START_MS, key, fixtures::report(1, 0, &[]));
    }
    entry
}

/// Guards against two entries with the same view of ten runners that both fill the one that looks
/// best, so that half of their orders are refused and callers wait a round trip for nothing.
#[test]
fn entries_with_the_same_view_fill_different_runners() {
    let targets = |incarnation| {
        let mut entry = entry_with_ten(incarnation);
        let mut target = |id| match submit(&mut entry, START_MS + 1, id, 1).as_slice() {
            [dispatch::Action::Order(_, address, _)] => address.clone(),
            other => panic!("expected one order, got {other:?}"),
        };
        (1..=20).map(&mut target).collect::<Vec<_>>()
    };

    let (one, other) = (targets(ENTRY), targets(OTHER));

    // Ten tasks of 1.6 cores fill a runner of 16.
    let used = |targets: &[smol_str::SmolStr]| {
        targets
            .iter()
            .cloned()
            .collect::<std::collections::HashSet<_>>()
    };
    assert_eq!((used(&one).len(), used(&other).len()), (2, 2));
    assert!(used(&one).is_disjoint(&used(&other)), "{one:?} {other:?}");
}

/// Guards against the cost of idle watches: with 57 runners watched at the short interval, an
/// entry with an eighth of a core spends a quarter of it on watches without changes.
#[test]
fn runner_without_runs_is_watched_at_a_longer_interval() {
    let (mut entry, key) = fixtures::entry();

    let idle = entry.next_watch(START_MS + 1, key).expect("a watch").1;
    submit(&mut entry, START_MS + 2, 1, 1);
    let busy = entry.next_watch(START_MS + 3, key).expect("a watch").1;

    assert_eq!(idle.wait_ms, dispatch::IDLE_WATCH_WAIT_MS);
    assert_eq!(busy.wait_ms, dispatch::WATCH_WAIT_MS);
}

/// Guards against a job that counts as started although its only order was refused: it would go
/// before all others, be held until its caller's deadline and be reported as possibly run.
#[test]
fn job_with_only_refused_orders_is_refused_as_not_run() {
    let (mut entry, key) = fixtures::entry();
    let order = fixtures::orders(&submit(&mut entry, START_MS, 1, 1)).remove(0);
    let refused = messages::OrderReply {
        refused: vec![(order.starts[0].id.clone(), messages::Refusal::Room)],
        ..fixtures::reply(2, 16_000)
    };
    entry.order_answered(START_MS + 2, key, &order, refused);

    // 60 ms of work have an objective of 156 ms.
    let in_time = entry.tick(START_MS + 96);
    let too_late = entry.tick(START_MS + 97);

    assert!(answers(&in_time).is_empty());
    assert!(
        matches!(answers(&too_late)[..], [dispatch::Outcome::NotRun { .. }]),
        "{too_late:?}"
    );
}

/// Guards against a task that stays at its entry although a runner's wait queue has space, and
/// against a wrong answer when the run comes back unstarted and too late for another runner.
#[test]
fn task_without_free_capacity_waits_at_a_runner() {
    let (mut entry, key) = fixtures::entry();
    let mut full = fixtures::report(2, 16_000, &[]);
    full.load.line = messages::WaitQueue::default();
    entry.report_received(START_MS + 1, key, full);

    let order = fixtures::orders(&submit(&mut entry, START_MS + 2, 1, 3)).remove(0);
    let waiting: Vec<_> = order.starts.iter().map(|start| start.id.clone()).collect();
    entry.order_answered(START_MS + 4, key, &order, fixtures::reply(3, 16_000));
    let ends = waiting.iter().zip(1..);
    let ends = ends.map(|(id, number)| end(number, id, messages::RunOutcome::NotStarted));
    let returned = entry.report_received(START_MS + 100, key, report_full(4, ends.collect()));
    let ended = entry.tick(START_MS + 100);

    // A quarter of 16 cores may wait: two of the three tasks.
    assert_eq!(waiting.len(), 2);
    // 60 ms of work have an objective of 156 ms, so the tasks may wait for 96 ms.
    assert_eq!(order.starts[0].wait.most_ms, 96);
    let answered = [returned, ended].concat();
    assert!(
        matches!(answers(&answered)[..], [dispatch::Outcome::NotRun { .. }]),
        "{answered:?}"
    );
}

fn report_full(sequence: u64, ends: Vec<messages::End>) -> messages::Report {
    messages::Report {
        ends,
        ..fixtures::report(sequence, 16_000, &[])
    }
}

/// Another incarnation of the runner, started after the one of the fixtures was killed.
const NEXT_RUNNER: ids::Incarnation = ids::Incarnation(8);

/// Returns the next incarnation's reply, which refuses the order of the former one.
fn refusal_by_next_incarnation(order: &messages::Order) -> messages::OrderReply {
    let refused = order.starts.iter();
    let refused = refused.map(|start| (start.id.clone(), messages::Refusal::Late));
    messages::OrderReply {
        runner: NEXT_RUNNER,
        refused: refused.collect(),
        ..fixtures::reply(1, 0)
    }
}

/// Returns the next incarnation's report, without runs.
fn next_report(sequence: u64, readiness: messages::Readiness) -> messages::Report {
    let mut report = fixtures::report(sequence, 0, &[]);
    report.runner = NEXT_RUNNER;
    report.load.readiness = readiness;
    report
}

/// Guards against a task that runs twice at a time: the answer to its order is lost, the runner's
/// process is killed, and the next one refuses the copy of the order. The former one may have
/// started the run, so it stays placed until the next one is ready.
#[test]
fn refusal_of_a_resent_order_by_the_next_incarnation_does_not_free_its_runs() {
    let (mut entry, key) = fixtures::entry();
    let order = fixtures::orders(&submit(&mut entry, START_MS, 1, 1)).remove(0);

    entry.order_resent(key, &order);
    let refusal = refusal_by_next_incarnation(&order);
    let refused = entry.order_answered(START_MS + 260, key, &order, refusal);
    let starting = next_report(2, messages::Readiness::Starting);
    let starting = entry.report_received(START_MS + 270, key, starting);
    let ready = next_report(3, messages::Readiness::Ready);
    let ready = entry.report_received(START_MS + 280, key, ready);

    assert!(fixtures::orders(&refused).is_empty(), "{refused:?}");
    assert!(fixtures::orders(&starting).is_empty(), "{starting:?}");
    assert_eq!(
        fixtures::orders(&ready)[0].starts[0].id,
        fixtures::run_id(1, 0, 2)
    );
}

/// Guards against a caller that is told that nothing ran although the killed process of a runner
/// may have started its task.
#[test]
fn job_refused_by_the_next_incarnation_may_have_run() {
    let (mut entry, key) = fixtures::entry();
    let order = fixtures::orders(&submit(&mut entry, START_MS, 1, 1)).remove(0);
    entry.order_resent(key, &order);
    let refusal = messages::OrderReply {
        load: fixtures::load(16_000),
        ..refusal_by_next_incarnation(&order)
    };
    entry.order_answered(START_MS + 260, key, &order, refusal);
    let mut ready = next_report(2, messages::Readiness::Ready);
    ready.load = fixtures::load(16_000);
    entry.report_received(START_MS + 280, key, ready);

    let ended = entry.tick(START_MS + 1_501);

    assert_eq!(answers(&ended), [dispatch::Outcome::GivenUp]);
}

/// Guards against a task that waits for nothing: an order that was sent once only and was refused
/// by the next incarnation cannot have reached the former one.
#[test]
fn refusal_of_an_order_sent_once_frees_its_runs_at_once() {
    let (mut entry, key) = fixtures::entry();
    let order = fixtures::orders(&submit(&mut entry, START_MS, 1, 1)).remove(0);

    let refusal = refusal_by_next_incarnation(&order);
    let refused = entry.order_answered(START_MS + 5, key, &order, refusal);

    assert_eq!(
        fixtures::orders(&refused)[0].starts[0].id,
        fixtures::run_id(1, 0, 2)
    );
}

/// Guards against a task that waits for nothing: the incarnation that an order was sent to counts
/// only the first copy, so its refusal of a copy is proof.
#[test]
fn refusal_of_a_resent_order_by_its_own_incarnation_frees_its_runs_at_once() {
    let (mut entry, key) = fixtures::entry();
    let order = fixtures::orders(&submit(&mut entry, START_MS, 1, 1)).remove(0);
    let refusal = messages::OrderReply {
        runner: fixtures::RUNNER,
        sequence: 2,
        ..refusal_by_next_incarnation(&order)
    };

    entry.order_resent(key, &order);
    let refused = entry.order_answered(START_MS + 260, key, &order, refusal);

    assert_eq!(
        fixtures::orders(&refused)[0].starts[0].id,
        fixtures::run_id(1, 0, 2)
    );
}

/// Guards against runs that count as lost, and orders that are refused, because a message that the
/// killed incarnation of a runner had sent is read after the next one has reported.
#[test]
fn late_messages_of_a_former_incarnation_change_nothing() {
    let (mut entry, key) = fixtures::entry();
    let former = fixtures::orders(&submit(&mut entry, START_MS, 1, 1)).remove(0);
    let ready = next_report(1, messages::Readiness::Ready);
    let replaced = entry.report_received(START_MS + 200, key, ready);
    let placed = fixtures::orders(&replaced)[0].starts[0].id.clone();

    entry.order_answered(START_MS + 210, key, &former, fixtures::reply(50, 1_600));
    let late = entry.report_received(START_MS + 211, key, fixtures::report(51, 0, &[]));
    let next_order = fixtures::orders(&submit(&mut entry, START_MS + 212, 2, 1)).remove(0);

    assert_eq!(placed, fixtures::run_id(1, 0, 2));
    assert!(fixtures::orders(&late).is_empty(), "{late:?}");
    assert_eq!(next_order.runner, NEXT_RUNNER);
}

/// Guards against a task that waits for its job's deadline: the next incarnation of its runner
/// answers but does not become ready, and the watches there renew no lease of the former one.
#[test]
fn runs_of_a_former_incarnation_end_with_its_leases() {
    let (mut entry, key) = fixtures::entry();
    let job = fixtures::job(1, 1, 1_600, 60);
    let actions = entry.submit(START_MS, job, &fixtures::queue(), Some(5_000), 1);
    let order = fixtures::orders(&actions).remove(0);
    entry.order_answered(START_MS + 2, key, &order, fixtures::reply(2, 1_600));
    let second = entry.add_runners(START_MS + 2, &["10.0.0.2:7720".into()]);
    let [dispatch::Action::Watch(other)] = second[..] else {
        panic!("expected one watch, got {second:?}");
    };

    let expiry_ms = START_MS + runners::RUN_EXPIRY_MS;
    let sequences = 1..;
    for (sequence, now_ms) in sequences.zip((START_MS + 100..expiry_ms).step_by(100)) {
        let starting = next_report(sequence, messages::Readiness::Starting);
        entry.report_received(now_ms, key, starting);
        entry.next_watch(now_ms, key);
    }
    entry.report_received(expiry_ms - 5, other, fixtures::report(1, 0, &[]));
    let before = entry.tick(expiry_ms);
    let after = entry.tick(expiry_ms + 1);

    assert!(fixtures::orders(&before).is_empty());
    assert_eq!(
        fixtures::orders(&after)[0].starts[0].id,
        fixtures::run_id(1, 0, 2)
    );
}

/// Guards against a runner that is passed over until its next restart because an answer of a killed
/// incarnation, of which nothing was read before, is read after the next one has reported.
#[test]
fn late_answer_of_an_unknown_former_incarnation_changes_nothing() {
    let (mut entry, key) = fixtures::entry();
    let order = fixtures::orders(&submit(&mut entry, START_MS, 1, 1)).remove(0);
    entry.order_resent(key, &order);
    let next = next_report(1, messages::Readiness::Ready);
    entry.report_received(START_MS + 280, key, next);

    let late = messages::OrderReply {
        runner: ids::Incarnation(70),
        ..refusal_by_next_incarnation(&order)
    };
    entry.order_answered(START_MS + 290, key, &order, late);
    let next = next_report(2, messages::Readiness::Ready);
    entry.report_received(START_MS + 300, key, next);
    let later = submit(&mut entry, START_MS + 310, 2, 1);

    assert_eq!(fixtures::orders(&later)[0].runner, NEXT_RUNNER);
}

/// Guards against a task that runs twice at a time because a killed incarnation, of which nothing
/// was read before, is taken for the successor of the one that runs it.
#[test]
fn late_report_of_an_unknown_former_incarnation_ends_no_run() {
    let (mut entry, key) = fixtures::entry();
    let order = fixtures::orders(&submit(&mut entry, START_MS, 1, 1)).remove(0);
    entry.next_watch(START_MS + 1, key);
    entry.order_resent(key, &order);
    let refusal = refusal_by_next_incarnation(&order);
    entry.order_answered(START_MS + 260, key, &order, refusal);
    let placed = fixtures::orders(&submit(&mut entry, START_MS + 270, 2, 1)).remove(0);

    let late = messages::Report {
        runner: ids::Incarnation(70),
        ..next_report(2, messages::Readiness::Ready)
    };
    let freed = entry.report_received(START_MS + 280, key, late);

    assert_eq!(placed.runner, NEXT_RUNNER);
    assert!(fixtures::orders(&freed).is_empty(), "{freed:?}");
}
