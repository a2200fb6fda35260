//! How what operators ask for spreads between entries and runners.

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

/// Where the entry that has everything answers.
const HOLDER: &str = "10.0.0.1:7720";

/// Time that the store has to tell a change before another entry is asked.
const PATIENCE_MS: u64 = 700;

/// An entry that knows one runner.
fn entry() -> (dispatch::Dispatcher, runners::RunnerKey) {
    let mut entry = dispatch::Dispatcher::new(ENTRY, "bento".into());
    let actions = entry.add_runners(START_MS, &["10.0.0.9:7720".into()]);
    let Some(dispatch::Action::Watch(key)) = actions.first() else {
        panic!("no watch: {actions:?}");
    };
    (entry, *key)
}

fn watch_of(entry: &mut dispatch::Dispatcher, key: runners::RunnerKey) -> messages::Watch {
    let (_, watch) = entry.next_watch(START_MS, key).expect("a watch");
    watch
}

/// A watch of an entry that has the directives whole.
fn watch_of_holder(held: &directives::Directives) -> messages::Watch {
    messages::Watch {
        address: Some(HOLDER.into()),
        configuration: held.version,
        directives_position: held.position,
        notice: Some(held.into()),
        ..fixtures::watch(OTHER, START_MS, 0, &[])
    }
}

/// A report that says that a later configuration is in force elsewhere.
fn report_of_news(position: u64) -> messages::Report {
    messages::Report {
        notice: Some((&fixtures::directives(position)).into()),
        holder: Some(HOLDER.into()),
        ..fixtures::report(1, 0, &[])
    }
}

fn learned_from(actions: &[dispatch::Action]) -> Vec<&str> {
    let mut holders = Vec::new();
    for action in actions {
        if let dispatch::Action::Fetch(holder) = action {
            holders.push(holder.as_str());
        }
    }
    holders
}

/// Guards against watches and reports that grow with the configuration and are lost.
#[test]
fn messages_to_and_from_runners_do_not_grow_with_the_queues() {
    let size_with = |queues| {
        let held = fixtures::large_directives(9, queues);
        let (mut entry, key) = entry();
        entry.update_directives(held.clone());
        let watch = watch_of(&mut entry, key);
        let mut room = fixtures::ready_manager();
        room.watch(START_MS, &watch_of_holder(&held));
        room.watch(START_MS, &fixtures::watch(ENTRY, START_MS, 0, &[]));
        let report = room.report(START_MS, ENTRY);
        assert!(watch.notice.is_some() && report.notice.is_some());
        let watch = wire::encode(&watch).expect("written");
        (watch.len(), wire::encode(&report).expect("written").len())
    };

    let (few, many) = (size_with(1), size_with(1_400));

    assert_eq!(few, many);
}

/// Guards against an entry that is told of a change and finds nobody who has it.
#[test]
fn a_runner_names_the_entry_that_has_what_another_one_lacks() {
    let held = fixtures::directives(9);
    let mut room = fixtures::ready_manager();
    room.watch(START_MS, &watch_of_holder(&held));
    room.watch(START_MS, &fixtures::watch(ENTRY, START_MS, 0, &[]));

    let to_lacking = room.report(START_MS, ENTRY);
    let to_holder = room.report(START_MS, OTHER);

    assert_eq!(to_lacking.holder.as_deref(), Some(HOLDER));
    assert_eq!(to_lacking.notice, Some((&held).into()));
    assert_eq!((to_holder.notice, to_holder.holder), (None, None));
}

/// Guards against a runner that sends askers to an entry whose configuration is older.
#[test]
fn an_entry_that_only_heard_of_a_change_is_not_named() {
    let mut room = fixtures::ready_manager();
    room.watch(START_MS, &watch_of_holder(&fixtures::directives(9)));
    let relayed = messages::Watch {
        notice: Some((&fixtures::directives(11)).into()),
        ..watch_of_holder(&fixtures::directives(9))
    };
    room.watch(START_MS, &relayed);
    room.watch(START_MS, &fixtures::watch(ENTRY, START_MS, 0, &[]));

    let report = room.report(START_MS, ENTRY);

    assert_eq!(report.notice.map(|notice| notice.version), Some(11));
    assert_eq!(report.holder, None);
}

/// Guards against a runner that answers at once, again and again, for as long as an entry
/// fetches what it lacks.
#[test]
fn an_entry_that_was_told_is_not_woken_until_it_has_the_configuration() {
    let held = fixtures::directives(9);
    let mut room = fixtures::ready_manager();
    room.watch(START_MS, &watch_of_holder(&held));
    room.report(START_MS, ENTRY);
    let told = messages::Watch {
        directives_position: held.position,
        ..fixtures::watch(ENTRY, START_MS, 0, &[])
    };
    room.watch(START_MS, &told);

    let (has_news, report) = (room.has_update(ENTRY), room.report(START_MS, ENTRY));

    assert!(!has_news);
    assert_eq!(report.holder.as_deref(), Some(HOLDER));
}

/// Guards against tasks that start in a zone that is out while the queues are on their way.
#[test]
fn a_zone_that_is_out_holds_before_the_configuration_is_here() {
    let (mut entry, key) = entry();
    entry.update_directives(fixtures::directives(3));
    let news = messages::Report {
        notice: Some(fixtures::notice(9, "bento")),
        ..fixtures::report(1, 0, &[])
    };
    entry.report_received(START_MS, key, news);

    let actions = entry.submit(
        START_MS,
        fixtures::job(1, 1, 1_600, 60),
        &fixtures::queue(),
        Some(1_500),
        1,
    );

    assert!(actions.is_empty(), "{actions:?}");
}

/// Guards against an entry that the store turns away and that keeps an old configuration.
#[test]
fn an_entry_asks_a_holder_once_the_store_has_had_its_time() {
    let (mut entry, key) = entry();
    entry.update_directives(fixtures::directives(3));
    entry.report_received(START_MS, key, report_of_news(9));

    let first = entry.tick(START_MS);
    let early = entry.tick(START_MS + PATIENCE_MS - 1);
    let due = entry.tick(START_MS + PATIENCE_MS);
    let asked = entry.tick(START_MS + PATIENCE_MS + 1);

    assert!(learned_from(&first).is_empty() && learned_from(&early).is_empty());
    assert_eq!(learned_from(&due), [HOLDER]);
    assert!(learned_from(&asked).is_empty(), "one question at a time");
}

/// Guards against fetching twice over a narrow link what the store brings anyway.
#[test]
fn an_entry_that_the_store_tells_in_time_asks_nobody() {
    let (mut entry, key) = entry();
    entry.update_directives(fixtures::directives(3));
    entry.report_received(START_MS, key, report_of_news(9));
    entry.tick(START_MS);
    entry.update_directives(fixtures::directives(9));

    let actions = entry.tick(START_MS + PATIENCE_MS);

    assert!(learned_from(&actions).is_empty(), "{actions:?}");
}

/// Guards against an entry that starts with the store away and waits for nothing.
#[test]
fn an_entry_without_any_configuration_asks_at_once() {
    let (mut entry, key) = entry();
    entry.report_received(START_MS, key, report_of_news(9));

    let actions = entry.tick(START_MS);

    assert_eq!(learned_from(&actions), [HOLDER]);
}

/// Guards against asking one holder for ever that has died or can't be reached.
#[test]
fn holders_are_asked_in_turn() {
    let mut directives_fetch = directives_fetch::DirectivesFetch::default();
    directives_fetch.add_holder("a".into());
    directives_fetch.add_holder("b".into());

    let mut asked = Vec::new();
    for at in 0..3 {
        let now_ms = START_MS + at * 1_000;
        asked.extend(directives_fetch.next_holder(now_ms, true, false));
        directives_fetch.answered(now_ms);
    }

    assert_eq!(asked, ["a", "b", "a"]);
}
