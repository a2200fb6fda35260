//! Which runners an entry keeps a watch open at.

use std::collections;

use bulrushtiller::ids;
use bulrushtiller::leased::capacity;
use bulrushtiller::leased::dispatch;
use bulrushtiller::leased::dispatch::runners;
use bulrushtiller::leased::dispatch::watching;
use bulrushtiller::leased::messages;
use bulrushtiller::leased::ports;
use smol_str::SmolStr;

use super::fixtures;
use super::fixtures::ENTRY;
use super::fixtures::START_MS;

/// Availability zones, and how many entries and runners each has.
const ZONES: usize = 6;
const ENTRIES_A_ZONE: u64 = 9;
const RUNNERS_A_ZONE: usize = 40;

/// Time for a watch that was opened to be answered, in milliseconds.
const GRACE_MS: u64 = 300;

/// Silence after which a runner gets no work, in milliseconds.
const SILENT_MS: u64 = 450;

/// Pause of an entry's ticks, in milliseconds.
const TICK_MS: u64 = 10;

/// Moments at which an entry looks at the time.
fn ticks(begin_ms: u64, end_ms: u64) -> impl Iterator<Item = u64> {
    (begin_ms..end_ms).filter(|now_ms| now_ms.is_multiple_of(TICK_MS))
}

fn zone(at: usize) -> SmolStr {
    smol_str::format_smolstr!("zone-{at}")
}

fn member(zone_at: usize, at: usize) -> ports::Member {
    ports::Member {
        address: smol_str::format_smolstr!("10.0.{zone_at}.{at}:7720"),
        zone: zone(zone_at),
        service: "taipa".into(),
    }
}

fn members() -> Vec<ports::Member> {
    let zones = 0..ZONES;
    let all = zones.flat_map(|zone| (0..RUNNERS_A_ZONE).map(move |at| member(zone, at)));
    all.collect()
}

fn entry(me: u64, zone_at: usize) -> dispatch::Dispatcher {
    dispatch::Dispatcher::new(ids::Incarnation(me), zone(zone_at))
}

fn opened(actions: &[dispatch::Action]) -> Vec<runners::RunnerKey> {
    let key = |action: &dispatch::Action| match action {
        dispatch::Action::Watch(key) => Some(*key),
        _ => None,
    };
    actions.iter().filter_map(key).collect()
}

/// Asks each of the runners, and gives where they are.
fn addresses(
    entry: &mut dispatch::Dispatcher,
    keys: &[runners::RunnerKey],
) -> collections::BTreeSet<SmolStr> {
    let mut addresses = collections::BTreeSet::new();
    for key in keys {
        let (address, _) = entry.next_watch(START_MS, *key).expect("a watch");
        addresses.insert(address);
    }
    addresses
}

fn orders(actions: &[dispatch::Action]) -> Vec<(runners::RunnerKey, messages::Order)> {
    let order = |action: &dispatch::Action| match action {
        dispatch::Action::Order(key, _, order) => Some((*key, order.clone())),
        _ => None,
    };
    actions.iter().filter_map(order).collect()
}

/// The report of a runner at `address` of which so much is taken.
fn report(address: &str, sequence: u64, used_milli: u32) -> messages::Report {
    let zone = address.split('.').nth(2).expect("a zone in the address");
    let mut report = fixtures::report(sequence, used_milli, &[]);
    report.load.zone = smol_str::format_smolstr!("zone-{zone}");
    report
}

/// An entry that watches one runner of two in any case, and has heard it.
fn entry_beside_two(used_milli: u32) -> (dispatch::Dispatcher, runners::RunnerKey) {
    let mut entry = entry(1, 0).with_watch_set(1);
    let watched = opened(&entry.update_listing(START_MS, &[member(0, 0), member(0, 1)]));
    assert_eq!(watched.len(), 1);
    hear(&mut entry, START_MS, watched[0], used_milli);
    (entry, watched[0])
}

fn hear(entry: &mut dispatch::Dispatcher, now_ms: u64, key: runners::RunnerKey, used_milli: u32) {
    let (address, _) = entry.next_watch(now_ms, key).expect("a watch");
    entry.report_received(now_ms, key, report(&address, now_ms, used_milli));
}

fn submit(entry: &mut dispatch::Dispatcher, now_ms: u64, id: u64) -> Vec<dispatch::Action> {
    let job = fixtures::job(id, 1, 3_800, 60);
    entry.submit(now_ms, job, &fixtures::queue(), Some(1_500), id)
}

/// Guards against a cost of an entry that grows with the number of runners.
#[test]
fn an_entry_watches_as_many_of_many_runners_as_of_few() {
    let few: Vec<_> = members().into_iter().take(60).collect();

    let of_few = opened(&entry(1, 0).update_listing(START_MS, &few));
    let of_many = opened(&entry(1, 0).update_listing(START_MS, &members()));

    assert_eq!(of_few.len(), watching::DEFAULT_SET_SIZE);
    assert_eq!(of_many.len(), watching::DEFAULT_SET_SIZE);
}

/// Guards against less in sight where there are no more runners than the set holds.
#[test]
fn where_there_are_few_runners_all_are_watched() {
    let few: Vec<_> = members().into_iter().take(11).collect();

    let watched = opened(&entry(1, 0).update_listing(START_MS, &few));

    assert_eq!(watched.len(), 11);
}

/// Guards against runners that every entry watches, or none.
#[test]
fn each_runner_is_in_about_as_many_sets_as_any_other() {
    let mut watched_by: collections::BTreeMap<SmolStr, usize> = collections::BTreeMap::new();
    for member in members() {
        watched_by.insert(member.address, 0);
    }

    for zone_at in 0..ZONES {
        for at in 0..ENTRIES_A_ZONE {
            let mut entry = entry(1 + 100 * zone_at as u64 + at, zone_at);
            let watched = opened(&entry.update_listing(START_MS, &members()));
            for address in addresses(&mut entry, &watched) {
                *watched_by.entry(address).or_default() += 1;
            }
        }
    }

    let entries = ZONES as u64 * ENTRIES_A_ZONE;
    let mean = entries as f64 * watching::DEFAULT_SET_SIZE as f64 / members().len() as f64;
    let most = *watched_by.values().max().expect("runners") as f64;
    let least = *watched_by.values().min().expect("runners");
    assert!(most <= 2.5 * mean, "{most} {mean}");
    assert!(least >= 1, "{least}");
}

/// Guards against sets that are drawn anew whenever a runner comes or goes.
#[test]
fn a_set_moves_little_when_a_runner_goes() {
    let mut before = entry(1, 0);
    let watched = opened(&before.update_listing(START_MS, &members()));
    let before = addresses(&mut before, &watched);
    let gone = before.first().expect("a watched runner").clone();
    let left: Vec<_> = members()
        .into_iter()
        .filter(|member| member.address != gone)
        .collect();

    let mut after = entry(1, 0);
    let watched = opened(&after.update_listing(START_MS, &left));

    let after = addresses(&mut after, &watched);
    // One far runner may change its place with a near one behind it.
    assert!(
        after.difference(&before).count() <= 2,
        "{before:?} {after:?}"
    );
}

/// Guards against an entry without runners while its whole set is cut off, or its availability
/// zone is lost.
#[test]
fn an_entry_whose_set_is_silent_watches_others_within_a_second() {
    let mut entry = entry(1, 0);
    let set = opened(&entry.update_listing(START_MS, &members()));
    for key in &set {
        hear(&mut entry, START_MS, *key, 0);
    }

    let mut later = Vec::new();
    let end_ms = START_MS + SILENT_MS + 2 * TICK_MS;
    for now_ms in ticks(START_MS, end_ms) {
        later.extend(opened(&entry.tick(now_ms)));
    }
    for key in &later {
        hear(&mut entry, end_ms, *key, 0);
    }

    assert_eq!(later.len(), watching::DEFAULT_SET_SIZE);
    assert_eq!(entry.usable(end_ms), watching::DEFAULT_SET_SIZE);
}

/// Guards against a set that never comes to an end while nothing in it answers.
#[test]
fn where_nobody_answers_all_are_tried_in_turn() {
    let mut entry = entry(1, 0);
    let mut tried = opened(&entry.update_listing(START_MS, &members()));

    let end_ms = START_MS + 11 * GRACE_MS;
    for now_ms in ticks(START_MS, end_ms) {
        tried.extend(opened(&entry.tick(now_ms)));
    }

    assert_eq!(tried.len(), members().len());
}

/// Guards against a caller that is refused beside a runner with room that is in no set.
#[test]
fn a_job_without_room_in_the_set_gets_it_elsewhere() {
    let (mut entry, full) = entry_beside_two(16_000);

    let asked = opened(&submit(&mut entry, START_MS, 1));
    assert_eq!(asked.len(), 1, "nobody else was asked");
    assert_ne!(asked[0], full);
    let (address, _) = entry.next_watch(START_MS + 1, asked[0]).expect("a watch");
    let placed = orders(&entry.report_received(START_MS + 4, asked[0], report(&address, 1, 0)));

    assert_eq!(placed.len(), 1);
    assert_eq!(placed[0].0, asked[0]);
}

/// Guards against a pause before the last room in sight is taken, when others should be asked.
#[test]
fn others_are_asked_before_the_last_room_in_the_set_is_taken() {
    let (mut entry, watched) = entry_beside_two(0);

    let actions = submit(&mut entry, START_MS, 1);

    assert_eq!(orders(&actions)[0].0, watched);
    assert_eq!(opened(&actions).len(), 1);
}

/// Guards against probes that cost more than the callers while there is no room anywhere.
#[test]
fn while_nobody_has_room_ever_fewer_are_asked() {
    let mut entry = entry(1, 0).with_watch_set(1);
    let mut asked = 0;
    entry.update_listing(START_MS, &members());

    for at in 0..100 {
        let now_ms = START_MS + at * TICK_MS;
        let mut actions = submit(&mut entry, now_ms, at + 1);
        actions.extend(entry.tick(now_ms));
        for key in opened(&actions) {
            hear(&mut entry, now_ms, key, 16_000);
            asked += 1;
        }
    }

    // A second of shortage, with pauses that double from 10 to 320 ms.
    assert!((12..=60).contains(&asked), "{asked}");
}

/// Guards against watches that stay open for ever once a runner beyond the set was asked.
#[test]
fn a_runner_beyond_the_set_is_watched_only_while_it_is_used() {
    let (mut entry, full) = entry_beside_two(16_000);
    let other = opened(&submit(&mut entry, START_MS, 1))[0];
    let (address, _) = entry.next_watch(START_MS + 1, other).expect("a watch");
    let placed = orders(&entry.report_received(START_MS + 4, other, report(&address, 1, 0)));
    let run = placed[0].1.starts[0].id.clone();

    // As long as the run isn't over its lease is renewed, however long that takes.
    let late_ms = START_MS + 2_000;
    let (_, watch) = entry.next_watch(late_ms, other).expect("runs are watched");
    assert!(watch.wanted.iter().eq([&run]));
    let ended = messages::Report {
        ends: vec![messages::End {
            number: 1,
            id: run,
            how: messages::RunOutcome::Done,
            ran_ms: 60,
        }],
        ..report(&address, 2, 0)
    };
    entry.report_received(late_ms, other, ended);

    assert!(entry.next_watch(late_ms + 1, other).is_none());
    assert!(entry.next_watch(late_ms + 1, full).is_some());
}

/// Guards against work for a runner whose watch is closed: its lease would not be renewed.
#[test]
fn a_runner_without_a_watch_gets_no_work() {
    let (mut entry, full) = entry_beside_two(16_000);
    let other = opened(&submit(&mut entry, START_MS, 1))[0];
    hear(&mut entry, START_MS + 1, other, 16_000);
    assert!(entry.next_watch(START_MS + 600, other).is_none());
    hear(&mut entry, START_MS + 600, full, 0);

    let placed = orders(&submit(&mut entry, START_MS + 601, 2));

    assert!(placed.iter().all(|(key, _)| *key == full), "{placed:?}");
}

/// Guards against entries that hold up a runner which is leaving, and against one whose next
/// life nobody asks.
#[test]
fn a_runner_that_is_leaving_is_left_alone_for_a_while() {
    let mut entry = entry(1, 0);
    let key = opened(&entry.update_listing(START_MS, &[member(0, 0)]))[0];
    let (address, _) = entry.next_watch(START_MS, key).expect("a watch");
    let mut leaving = report(&address, 1, 0);
    leaving.load.readiness = messages::Readiness::Leaving;
    entry.report_received(START_MS + 2, key, leaving);

    let on_the_way = entry.next_watch(START_MS + 3, key);
    let soon = opened(&entry.tick(START_MS + 200));
    let later = opened(&entry.tick(START_MS + 600));
    let next_life = entry.next_watch(START_MS + 601, key);

    assert!(on_the_way.is_none());
    assert!(soon.is_empty());
    assert_eq!(later, [key]);
    assert!(next_life.is_some());
}

/// Guards against a runner that is back after a minute and never found again.
#[test]
fn a_runner_that_is_listed_is_known_however_long_it_is_silent() {
    let mut entry = entry(1, 0);
    entry.update_listing(START_MS, &[member(0, 0)]);

    entry.tick(START_MS + 120_000);

    assert_eq!(entry.runners(), 1);
}

/// Guards against runners of instances that are gone for good, which are asked for ever.
#[test]
fn a_runner_that_is_not_listed_any_more_is_forgotten() {
    let mut entry = entry(1, 0);
    entry.update_listing(START_MS, &[member(0, 0), member(0, 1)]);
    entry.update_listing(START_MS + 1_000, &[member(0, 0)]);

    entry.tick(START_MS + 62_000);

    assert_eq!(entry.runners(), 1);
}

/// Guards against ends that an entry passes over, and runs that are started again in vain,
/// when it comes back to a runner that has forgotten it.
#[test]
fn ends_are_numbered_on_for_an_entry_that_was_forgotten() {
    let mut room = fixtures::ready_manager();
    let first = fixtures::run_id(1, 0, 1);
    room.watch(START_MS, &fixtures::watch(ENTRY, START_MS, 0, &[]));
    room.order(
        START_MS,
        fixtures::order(ENTRY, 1, START_MS, &[(first.clone(), 1_000)]),
    );
    end_of(&mut room, START_MS + 100, 1, first);
    let heard = room.report(START_MS + 101, ENTRY).ends;
    assert_eq!(heard.len(), 1);
    let later_ms = START_MS + 60_000;
    room.next_list(later_ms);
    room.listed(later_ms, later_ms, fixtures::listing(65_000, &[]));
    room.tick(later_ms);

    let back = messages::Watch {
        acked: heard[0].number,
        ..fixtures::watch(ENTRY, later_ms, 1, &[])
    };
    room.watch(later_ms, &back);
    let second = fixtures::run_id(2, 0, 1);
    room.order(
        later_ms,
        fixtures::order(ENTRY, 2, later_ms, &[(second.clone(), 1_000)]),
    );
    end_of(&mut room, later_ms + 100, 2, second.clone());

    let told = room.report(later_ms + 101, ENTRY).ends;
    assert_eq!(told.len(), 1, "{told:?}");
    assert_eq!(told[0].id, second);
    assert!(told[0].number > heard[0].number, "{told:?}");
}

/// The backend server lists a run's end.
fn end_of(room: &mut capacity::CapacityManager, now_ms: u64, number: u64, id: messages::RunId) {
    room.start_answered(now_ms - 90, &id, ports::StartAnswer::Started);
    room.next_list(now_ms - 50);
    let clock_ms = 5_000 + now_ms - START_MS;
    let listing = fixtures::listing_with_end(clock_ms, number, id, messages::RunOutcome::Done);
    room.listed(now_ms, now_ms - 50, listing);
}
