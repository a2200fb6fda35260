//! An entry's decisions about jobs under leases.

use bulrushtiller::ids;
use bulrushtiller::leased::dispatch;
use bulrushtiller::leased::dispatch::runners;
use bulrushtiller::leased::messages;

use super::fixtures;
use super::fixtures::ENTRY;
use super::fixtures::OTHER;
use super::fixtures::START_MS;

/// An entry that knows one empty runner of 16 cores.
fn entry() -> (dispatch::Dispatcher, runners::RunnerKey) {
    let mut entry = dispatch::Dispatcher::new(ENTRY, "bento".into());
    entry.update_directives(fixtures::directives(3));
    let found = entry.add_runners(START_MS - 10, &["10.0.0.1:7720".into()]);
    let [dispatch::Action::Watch(key)] = found[..] else {
        panic!("one watch: {found:?}");
    };
    entry.next_watch(START_MS - 10, key);
    entry.report_received(START_MS, key, fixtures::report(1, 0, &[]));
    (entry, key)
}

fn orders(actions: &[dispatch::Action]) -> Vec<messages::Order> {
    let order = |action: &dispatch::Action| match action {
        dispatch::Action::Order(_, _, order) => Some(order.clone()),
        _ => None,
    };
    actions.iter().filter_map(order).collect()
}

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

/// Submits a job of so many tasks of 60 ms and 1.6 cores.
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
fn a_job_is_answered_when_its_last_task_is_done() {
    let (mut entry, key) = entry();
    let order = orders(&submit(&mut entry, START_MS, 1, 2)).remove(0);
    entry.order_answered(START_MS + 2, key, &order, fixtures::reply(2, 3_200));
    let first = end(1, &order.starts[0].id, messages::RunOutcome::Done);
    let second = end(2, &order.starts[1].id, messages::RunOutcome::Done);
    let still_runs = std::slice::from_ref(&order.starts[1].id);

    let early = messages::Report {
        ends: vec![first.clone()],
        ..fixtures::report(3, 1_600, still_runs)
    };
    let early = entry.report_received(START_MS + 60, key, early);
    let done = entry.report_received(START_MS + 70, key, report_ends(4, vec![first, second]));

    assert!(answers(&early).is_empty());
    assert_eq!(answers(&done), [dispatch::Outcome::Completed]);
    assert_eq!(entry.open_jobs(), 0);
}

/// A job can never be done. Its tasks fail as often as the queue allows, its caller is told,
/// and what still runs of it is taken back.
#[test]
fn a_hopeless_job_fails_after_the_allowed_runs() {
    let (mut entry, key) = entry();
    let order = orders(&submit(&mut entry, START_MS, 1, 2)).remove(0);
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
    let over = entry.report_received(START_MS + 60, key, report);

    assert_eq!(orders(&again)[0].starts[0].id, fixtures::run_id(1, 0, 2));
    assert_eq!(answers(&over), [dispatch::Outcome::Failed]);
    assert_eq!(orders(&over)[0].stops, [other]);
}

/// A caller hangs up. Its tasks are stopped at once, and the next watch leaves them out,
/// should the stop be lost on the way.
#[test]
fn what_a_caller_left_is_taken_back() {
    let (mut entry, key) = entry();
    let order = orders(&submit(&mut entry, START_MS, 1, 1)).remove(0);
    entry.order_answered(START_MS + 2, key, &order, fixtures::reply(2, 1_600));

    let actions = entry.remove_waiter(START_MS + 20, &fixtures::run_id(1, 0, 1).job, 1);
    let watch = entry.next_watch(START_MS + 21, key);

    assert_eq!(orders(&actions)[0].stops, [order.starts[0].id.clone()]);
    assert!(watch.is_some_and(|(_, watch)| watch.wanted.is_empty() && watch.ordered == 2));
}

/// A caller lost its connection and sends its job again to the same entry while the first
/// try is still open there. One life goes on and answers both; no second one begins.
#[test]
fn a_second_try_joins_the_first() {
    let (mut entry, key) = entry();
    let order = orders(&submit(&mut entry, START_MS, 1, 1)).remove(0);
    entry.order_answered(START_MS + 2, key, &order, fixtures::reply(2, 1_600));

    let job = fixtures::job(1, 1, 1_600, 60);
    let joined = entry.submit(START_MS + 30, job, &fixtures::queue(), Some(1_500), 77);
    entry.remove_waiter(START_MS + 31, &order.starts[0].id.job, 1);
    let ends = vec![end(1, &order.starts[0].id, messages::RunOutcome::Done)];
    let done = entry.report_received(START_MS + 60, key, report_ends(3, ends));

    assert!(orders(&joined).is_empty());
    assert_eq!(answers(&done), [dispatch::Outcome::Completed]);
}

/// The answer to an order is lost. The run is not started elsewhere before the runner has
/// said that it doesn't hold it, after the order's time: it may still be on its way.
#[test]
fn a_run_whose_order_was_lost_is_not_started_again_at_once() {
    let (mut entry, key) = entry();
    let order = orders(&submit(&mut entry, START_MS, 1, 1)).remove(0);
    entry.order_lost(START_MS + 250, key, &order, false);

    let early = entry.report_received(START_MS + 260, key, fixtures::report(2, 0, &[]));
    let late = entry.report_received(
        START_MS + 2 * runners::ORDER_VALID_MS + 1,
        key,
        fixtures::report(3, 0, &[]),
    );

    assert!(orders(&early).is_empty());
    assert_eq!(orders(&late)[0].starts[0].id, fixtures::run_id(1, 0, 2));
}

/// A runner's report was written before it took an order in and arrives after the order's
/// answer. It doesn't hold the run, which is no proof that the run is lost.
#[test]
fn a_report_from_before_the_order_ends_nothing() {
    let (mut entry, key) = entry();
    let order = orders(&submit(&mut entry, START_MS, 1, 1)).remove(0);
    entry.order_answered(START_MS + 3, key, &order, fixtures::reply(5, 1_600));

    let actions = entry.report_received(START_MS + 4, key, fixtures::report(4, 0, &[]));

    assert!(orders(&actions).is_empty());
}

/// Only the way back from a runner is cut: it hears the entry and would renew its runs for
/// ever. The entry stops giving signs of life, waits until every lease is over, and only
/// then starts the task elsewhere.
#[test]
fn a_runner_that_is_not_heard_gets_no_signs_of_life() {
    let (mut entry, key) = entry();
    let job = fixtures::job(1, 1, 1_600, 60);
    let actions = entry.submit(START_MS, job, &fixtures::queue(), Some(5_000), 1);
    let order = orders(&actions).remove(0);
    entry.order_answered(START_MS + 2, key, &order, fixtures::reply(2, 1_600));
    let second = entry.add_runners(START_MS + 2, &["10.0.0.2:7720".into()]);
    let [dispatch::Action::Watch(other)] = second[..] else {
        panic!("one watch: {second:?}");
    };
    let alive = entry.next_watch(START_MS + 400, key);
    let silent = entry.next_watch(START_MS + 500, key);

    let gone_ms = START_MS + 400 + runners::RUN_EXPIRY_MS;
    entry.report_received(gone_ms - 5, other, fixtures::report(1, 0, &[]));
    let before = entry.tick(gone_ms);
    let after = entry.tick(gone_ms + 1);

    assert!(alive.is_some_and(|(_, watch)| watch.alive_at_ms.is_some()));
    assert!(silent.is_some_and(|(_, watch)| watch.alive_at_ms.is_none()));
    assert!(orders(&before).is_empty());
    assert_eq!(orders(&after)[0].starts[0].id, fixtures::run_id(1, 0, 2));
}

/// Room comes free in small pieces. A wide job that must start soonest takes each piece as
/// it comes; left to wait for all at once, it would see smaller jobs take them one by one.
#[test]
fn a_wide_job_takes_room_piece_by_piece_before_smaller_ones() {
    let (mut entry, key) = entry();
    entry.report_received(START_MS + 1, key, fixtures::report(2, 16_000, &[]));
    submit(&mut entry, START_MS + 2, 1, 8);
    let small = fixtures::job(2, 2, 1_600, 200);
    entry.submit(START_MS + 3, small, &fixtures::queue(), Some(1_500), 2);

    let first = entry.report_received(START_MS + 20, key, fixtures::report(3, 12_000, &[]));
    let held: Vec<_> = orders(&first)[0]
        .starts
        .iter()
        .map(|start| start.id.clone())
        .collect();
    entry.order_answered(
        START_MS + 21,
        key,
        &orders(&first)[0],
        fixtures::reply(4, 15_200),
    );
    let second = entry.report_received(START_MS + 40, key, fixtures::report(5, 3_200, &held));

    let jobs = |actions: &[dispatch::Action]| -> Vec<_> {
        let starts = orders(actions).into_iter().flat_map(|order| order.starts);
        starts.map(|start| start.id.job).collect()
    };
    let wide = fixtures::run_id(1, 0, 1).job;
    assert_eq!(jobs(&first), [wide.clone(), wide.clone()]);
    assert_eq!(jobs(&second).iter().filter(|job| **job == wide).count(), 6);
    assert_eq!(jobs(&second).len(), 8);
}

/// No room comes in time. The caller is told that nothing ran, and when to come back.
#[test]
fn a_job_without_room_is_refused_truthfully() {
    let (mut entry, key) = entry();
    entry.report_received(START_MS + 1, key, fixtures::report(2, 16_000, &[]));
    submit(&mut entry, START_MS + 2, 1, 2);

    let actions = entry.tick(START_MS + 1_600);

    let [dispatch::Outcome::NotRun { retry_after_ms }] = answers(&actions)[..] else {
        panic!("refused: {actions:?}");
    };
    assert!(retry_after_ms >= 1_000);
    assert!(orders(&actions).is_empty());
}

/// Operators take the only availability zone with room out of service: nothing goes there.
#[test]
fn nothing_is_placed_in_a_zone_that_is_out() {
    let (mut entry, _key) = entry();
    let mut directives = fixtures::directives(4);
    directives.zones_out.push("bento".into());
    entry.update_directives(directives);

    let actions = submit(&mut entry, START_MS + 2, 1, 1);

    assert!(orders(&actions).is_empty());
    assert_eq!(entry.pending("checks"), 1);
}

/// An entry with three empty runners, of which it knows how two kinds of tasks fare.
fn entry_with_three() -> (dispatch::Dispatcher, Vec<runners::RunnerKey>) {
    let (mut entry, first) = entry();
    let found = entry.add_runners(START_MS, &["10.0.0.2:7720".into(), "10.0.0.3:7720".into()]);
    let mut keys = vec![first];
    for action in &found {
        if let dispatch::Action::Watch(key) = action {
            keys.push(*key);
        }
    }
    (entry, keys)
}

/// A backend server fails whatever it starts, and so is always empty. After some failures of
/// tasks that do well elsewhere it gets nothing for a while, and jobs are answered again.
#[test]
fn a_server_that_fails_everything_gets_nothing_more() {
    let (mut entry, keys) = entry_with_three();
    let bad = keys[0];
    let mut sequence = 10_u64;
    let mut to_bad = Vec::new();
    for id in 0..60_u64 {
        let now_ms = START_MS + 100 + id * 100;
        sequence += 1;
        for (at, key) in keys.iter().enumerate() {
            // At first the bad one is full, and the others show how such tasks fare.
            let is_full = id < 10 && u64::try_from(at).is_ok_and(|at| at != 1 + id / 2 % 2);
            let used_milli = if is_full { 16_000 } else { 0 };
            entry.next_watch(now_ms, *key);
            entry.report_received(now_ms, *key, fixtures::report(sequence, used_milli, &[]));
        }
        let mut queue = fixtures::queue();
        queue.name = smol_str::format_smolstr!("kind-{}", id % 2);
        let job = fixtures::job(id, 1, 1_600, 60);
        let mut actions = entry.submit(now_ms, job, &queue, Some(1_500), id);
        // A failed task goes on at once; each try is answered until the job has ended.
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
            to_bad.extend((key == bad).then_some(id));
            let ends = vec![end(sequence, &order.starts[0].id, how)];
            sequence += 1;
            actions = entry.report_received(now_ms + 50, key, report_ends(sequence, ends));
        }
    }

    let late = to_bad.iter().filter(|id| **id >= 40).count();
    assert!(late <= 4, "{to_bad:?}");
    assert!(entry.counts().completed >= 50);
}

/// An entry that has heard from ten runners of 16 cores, all empty.
fn entry_with_ten(me: ids::Incarnation) -> dispatch::Dispatcher {
    let mut entry = dispatch::Dispatcher::new(me, "bento".into());
    entry.update_directives(fixtures::directives(3));
    let addresses: Vec<_> = (1..=10)
        .map(|at| smol_str::format_smolstr!("10.0.0.{at}:7720"))
        .collect();
    for action in entry.add_runners(START_MS - 10, &addresses) {
        let dispatch::Action::Watch(key) = action else {
            panic!("a watch: {action:?}");
        };
        entry.next_watch(START_MS - 10, key);
        entry.report_received(START_MS, key, fixtures::report(1, 0, &[]));
    }
    entry
}

/// Two entries see the same ten runners and get a job of one task each, again and again
/// between two words of the runners. Both fill the runner that looks best to both, and half
/// of their orders are refused for room: the callers wait a way and back for nothing.
#[test]
fn two_entries_with_the_same_view_fill_different_runners() {
    let targets = |me| {
        let mut entry = entry_with_ten(me);
        let mut at = |id| match submit(&mut entry, START_MS + 1, id, 1).as_slice() {
            [dispatch::Action::Order(_, address, _)] => address.clone(),
            other => panic!("one order: {other:?}"),
        };
        (1..=20).map(&mut at).collect::<Vec<_>>()
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

/// At 57 runners an entry with an eighth of a core spent a quarter of it on watches that had
/// nothing to tell. It asks less often where it has no runs, and as often as its lease
/// needs where it has.
#[test]
fn a_runner_without_runs_is_asked_less_often() {
    let (mut entry, key) = entry();

    let idle = entry.next_watch(START_MS + 1, key).expect("a watch").1;
    submit(&mut entry, START_MS + 2, 1, 1);
    let busy = entry.next_watch(START_MS + 3, key).expect("a watch").1;

    assert_eq!(idle.wait_ms, dispatch::IDLE_WATCH_WAIT_MS);
    assert_eq!(busy.wait_ms, dispatch::WATCH_WAIT_MS);
}

/// Room is short, and a job's order is refused because another entry's came first. Nothing of it
/// ran. It used to go before all others from then on, and was held until its caller's deadline
/// and then called given up; now it stays in line and is refused, truly, when it can't be in time.
#[test]
fn a_job_whose_orders_were_all_refused_is_refused_truly() {
    let (mut entry, key) = entry();
    let order = orders(&submit(&mut entry, START_MS, 1, 1)).remove(0);
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

/// Every backend server is full, and its line is not. A task waits there with the time that it
/// has left; given back unstarted, and too late for another place, its caller is told the truth.
#[test]
fn a_task_without_room_waits_at_a_runner() {
    let (mut entry, key) = entry();
    let mut full = fixtures::report(2, 16_000, &[]);
    full.load.line = messages::WaitQueue::default();
    entry.report_received(START_MS + 1, key, full);

    let order = orders(&submit(&mut entry, START_MS + 2, 1, 3)).remove(0);
    let waiting: Vec<_> = order.starts.iter().map(|start| start.id.clone()).collect();
    entry.order_answered(START_MS + 4, key, &order, fixtures::reply(3, 16_000));
    let ends = waiting.iter().zip(1..);
    let ends = ends.map(|(id, number)| end(number, id, messages::RunOutcome::NotStarted));
    let given_back = entry.report_received(START_MS + 100, key, report_full(4, ends.collect()));
    let over = entry.tick(START_MS + 100);

    // A quarter of 16 cores may wait: two of the three tasks.
    assert_eq!(waiting.len(), 2);
    // 60 ms of work have an objective of 156 ms, so they may wait for 96.
    assert_eq!(order.starts[0].wait.most_ms, 96);
    let answered = [given_back, over].concat();
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
