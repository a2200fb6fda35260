//! Propagation of directives between entries and runners.

use bulrushtiller::leased::directives;
use bulrushtiller::leased::dispatch;
use bulrushtiller::leased::dispatch::directives_fetch;
use bulrushtiller::leased::dispatch::runners;
use bulrushtiller::leased::messages;
use bulrushtiller::wire;

use super::fixtures;
use super::fixtures::ENTRY;
use super::fixtures::OTHER;
use super::fixtures::START_MS;

/// Address of the entry that holds the configuration.
const HOLDER: &str = "10.0.0.1:7720";

/// Time that the store has to deliver a change before it is fetched from another entry, in
/// milliseconds.
const STORE_WAIT_MS: u64 = 700;

/// Creates an entry that knows one runner.
fn entry() -> (dispatch::Dispatcher, runners::RunnerKey) {
    let mut entry = dispatch::Dispatcher::new(ENTRY, "bento".into());
    let actions = entry.add_runners(START_MS, &["10.0.0.9:7720".into()]);
    let Some(dispatch::Action::Watch(key)) = actions.first() else {
        panic!("expected a watch, got {actions:?}");
    };
    (entry, *key)
}

fn watch_of(entry: &mut dispatch::Dispatcher, key: runners::RunnerKey) -> messages::Watch {
    let (_, watch) = entry.next_watch(START_MS, key).expect("a watch");
    watch
}

/// Builds a watch of an entry that holds the directives.
fn watch_of_holder(held: &directives::Directives) -> messages::Watch {
    messages::Watch {
        address: Some(HOLDER.into()),
        configuration: held.version,
        directives_position: held.position,
        notice: Some(held.into()),
        ..fixtures::watch(OTHER, START_MS, 0, &[])
    }
}

/// Builds a report that announces a newer configuration and an entry that holds it.
fn report_with_notice(position: u64) -> messages::Report {
    messages::Report {
        notice: Some((&fixtures::directives(position)).into()),
        holder: Some(HOLDER.into()),
        ..fixtures::report(1, 0, &[])
    }
}

fn fetched_from(actions: &[dispatch::Action]) -> Vec<&str> {
    let mut holders = Vec::new();
    for action in actions {
        if let dispatch::Action::Fetch(holder) = action {
            holders.push(holder.as_str());
        }
    }
    holders
}

/// Guards against watches and reports that grow with the configuration until they time out.
#[test]
fn size_of_watches_and_reports_is_independent_of_the_queues() {
    let size_with = |queues| {
        let held = fixtures::large_directives(9, queues);
        let (mut entry, key) = entry();
        entry.update_directives(held.clone());
        let watch = watch_of(&mut entry, key);
        let mut manager = fixtures::ready_manager();
        manager.watch(START_MS, &watch_of_holder(&held));
        manager.watch(START_MS, &fixtures::watch(ENTRY, START_MS, 0, &[]));
        let report = manager.report(START_MS, ENTRY);
        assert!(watch.notice.is_some() && report.notice.is_some());
        let watch = wire::encode(&watch).expect("encodable message");
        (
            watch.len(),
            wire::encode(&report).expect("encodable message").len(),
        )
    };

    let (few, many) = (size_with(1), size_with(1_400));

    assert_eq!(few, many);
}

/// Guards against an entry that learns of a change but of no entry that holds it.
#[test]
fn runner_names_a_holder_to_an_entry_that_lacks_the_configuration() {
    let held = fixtures::directives(9);
    let mut manager = fixtures::ready_manager();
    manager.watch(START_MS, &watch_of_holder(&held));
    manager.watch(START_MS, &fixtures::watch(ENTRY, START_MS, 0, &[]));

    let to_outdated = manager.report(START_MS, ENTRY);
    let to_holder = manager.report(START_MS, OTHER);

    assert_eq!(to_outdated.holder.as_deref(), Some(HOLDER));
    assert_eq!(to_outdated.notice, Some((&held).into()));
    assert_eq!((to_holder.notice, to_holder.holder), (None, None));
}

/// Guards against a runner that refers entries to one whose configuration is older.
#[test]
fn entry_that_only_relayed_a_notice_is_not_named_as_holder() {
    let mut manager = fixtures::ready_manager();
    manager.watch(START_MS, &watch_of_holder(&fixtures::directives(9)));
    let relayed = messages::Watch {
        notice: Some((&fixtures::directives(11)).into()),
        ..watch_of_holder(&fixtures::directives(9))
    };
    manager.watch(START_MS, &relayed);
    manager.watch(START_MS, &fixtures::watch(ENTRY, START_MS, 0, &[]));

    let report = manager.report(START_MS, ENTRY);

    assert_eq!(report.notice.map(|notice| notice.version), Some(11));
    assert_eq!(report.holder, None);
}

/// Guards against a runner that answers each watch at once while an entry fetches the
/// configuration.
#[test]
fn notified_entry_is_not_notified_again_while_it_lacks_the_configuration() {
    let held = fixtures::directives(9);
    let mut manager = fixtures::ready_manager();
    manager.watch(START_MS, &watch_of_holder(&held));
    manager.report(START_MS, ENTRY);
    let notified = messages::Watch {
        directives_position: held.position,
        ..fixtures::watch(ENTRY, START_MS, 0, &[])
    };
    manager.watch(START_MS, &notified);

    let (answers_at_once, report) = (manager.has_update(ENTRY), manager.report(START_MS, ENTRY));

    assert!(!answers_at_once);
    assert_eq!(report.holder.as_deref(), Some(HOLDER));
}

/// Guards against tasks that start in a zone that is out before the new queues have arrived.
#[test]
fn zone_out_takes_effect_before_the_configuration_arrives() {
    let (mut entry, key) = entry();
    entry.update_directives(fixtures::directives(3));
    let with_notice = messages::Report {
        notice: Some(fixtures::notice(9, "bento")),
        ..fixtures::report(1, 0, &[])
    };
    entry.report_received(START_MS, key, with_notice);

    let actions = entry.submit(
        START_MS,
        fixtures::job(1, 1, 1_600, 60),
        &fixtures::queue(),
        Some(1_500),
        1,
    );

    assert!(actions.is_empty(), "{actions:?}");
}

/// Guards against an entry that keeps an old configuration because the store refuses it.
#[test]
fn entry_fetches_from_a_holder_if_the_store_does_not_deliver_in_time() {
    let (mut entry, key) = entry();
    entry.update_directives(fixtures::directives(3));
    entry.report_received(START_MS, key, report_with_notice(9));

    let first = entry.tick(START_MS);
    let early = entry.tick(START_MS + STORE_WAIT_MS - 1);
    let due = entry.tick(START_MS + STORE_WAIT_MS);
    let after_due = entry.tick(START_MS + STORE_WAIT_MS + 1);

    assert!(fetched_from(&first).is_empty() && fetched_from(&early).is_empty());
    assert_eq!(fetched_from(&due), [HOLDER]);
    assert!(
        fetched_from(&after_due).is_empty(),
        "more than one fetch pending"
    );
}

/// Guards against a second transfer, over a low-bandwidth link, of what the store delivers.
#[test]
fn entry_does_not_fetch_if_the_store_delivers_in_time() {
    let (mut entry, key) = entry();
    entry.update_directives(fixtures::directives(3));
    entry.report_received(START_MS, key, report_with_notice(9));
    entry.tick(START_MS);
    entry.update_directives(fixtures::directives(9));

    let actions = entry.tick(START_MS + STORE_WAIT_MS);

    assert!(fetched_from(&actions).is_empty(), "{actions:?}");
}

/// Guards against an entry without any configuration that waits for an unreachable store.
#[test]
fn entry_without_any_configuration_fetches_at_once() {
    let (mut entry, key) = entry();
    entry.report_received(START_MS, key, report_with_notice(9));

    let actions = entry.tick(START_MS);

    assert_eq!(fetched_from(&actions), [HOLDER]);
}

/// Guards against fetching over and over from one holder that is down or unreachable.
#[test]
fn holders_are_asked_in_turn() {
    let mut directives_fetch = directives_fetch::DirectivesFetch::default();
    directives_fetch.add_holder("a".into());
    directives_fetch.add_holder("b".into());

    let mut holders = Vec::new();
    for at in 0..3 {
        let now_ms = START_MS + at * 1_000;
        holders.extend(directives_fetch.next_holder(now_ms, true, false));
        directives_fetch.answered(now_ms);
    }

    assert_eq!(holders, ["a", "b", "a"]);
}
