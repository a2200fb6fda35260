//! Choice of the runners that an entry watches.

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

/// Number of availability zones, and of entries and runners in each.
const ZONES: usize = 6;
const ENTRIES_PER_ZONE: u64 = 9;
const RUNNERS_PER_ZONE: usize = 40;

/// Time after opening a watch during which its runner counts as accepting work, in milliseconds.
const OPENING_GRACE_MS: u64 = 300;

/// Silence after which a runner receives no more work, in milliseconds.
const SILENT_MS: u64 = 450;

/// Interval between an entry's ticks, in milliseconds.
const TICK_MS: u64 = 10;

/// Returns the times of an entry's ticks.
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
    let all = zones.flat_map(|zone| (0..RUNNERS_PER_ZONE).map(move |at| member(zone, at)));
    all.collect()
}

fn entry(incarnation: u64, zone_at: usize) -> dispatch::Dispatcher {
    dispatch::Dispatcher::new(ids::Incarnation(incarnation), zone(zone_at))
}

fn opened(actions: &[dispatch::Action]) -> Vec<runners::RunnerKey> {
    let key = |action: &dispatch::Action| match action {
        dispatch::Action::Watch(key) => Some(*key),
        _ => None,
    };
    actions.iter().filter_map(key).collect()
}

/// Sends a watch to each of the runners and returns their addresses.
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

/// Builds the report of a runner at `address` with `used_milli` in use.
fn report(address: &str, sequence: u64, used_milli: u32) -> messages::Report {
    let zone = address.split('.').nth(2).expect("a zone in the address");
    let mut report = fixtures::report(sequence, used_milli, &[]);
    report.load.zone = smol_str::format_smolstr!("zone-{zone}");
    report
}

/// Creates an entry that always watches one of two runners and has received its report.
fn entry_with_two_runners(used_milli: u32) -> (dispatch::Dispatcher, runners::RunnerKey) {
    let mut entry = entry(1, 0).with_watch_set(1);
    let watched = opened(&entry.update_listing(START_MS, &[member(0, 0), member(0, 1)]));
    assert_eq!(watched.len(), 1);
    receive_report(&mut entry, START_MS, watched[0], used_milli);
    (entry, watched[0])
}

fn receive_report(
    entry: &mut dispatch::Dispatcher,
    now_ms: u64,
    key: runners::RunnerKey,
    used_milli: u32,
) {
    let (address, _) = entry.next_watch(now_ms, key).expect("a watch");
    entry.report_received(now_ms, key, report(&address, now_ms, used_milli));
}

fn submit(entry: &mut dispatch::Dispatcher, now_ms: u64, id: u64) -> Vec<dispatch::Action> {
    let job = fixtures::job(id, 1, 3_800, 60);
    entry.submit(now_ms, job, &fixtures::queue(), Some(1_500), id)
}

/// Guards against an entry whose cost grows with the number of runners.
#[test]
fn number_of_watches_is_independent_of_the_number_of_runners() {
    let few: Vec<_> = members().into_iter().take(60).collect();

    let of_few = opened(&entry(1, 0).update_listing(START_MS, &few));
    let of_many = opened(&entry(1, 0).update_listing(START_MS, &members()));

    assert_eq!(of_few.len(), watching::DEFAULT_SET_SIZE);
    assert_eq!(of_many.len(), watching::DEFAULT_SET_SIZE);
}

/// Guards against runners that are not watched although the set has space for all.
#[test]
fn all_runners_are_watched_if_there_are_fewer_than_the_set_size() {
    let few: Vec<_> = members().into_iter().take(11).collect();

    let watched = opened(&entry(1, 0).update_listing(START_MS, &few));

    assert_eq!(watched.len(), 11);
}

/// Guards against runners that are watched by every entry, or by none.
#[test]
fn runners_are_spread_evenly_over_the_sets() {
    let mut watched_by: collections::BTreeMap<SmolStr, usize> = collections::BTreeMap::new();
    for member in members() {
        watched_by.insert(member.address, 0);
    }

    for zone_at in 0..ZONES {
        for at in 0..ENTRIES_PER_ZONE {
            let mut entry = entry(1 + 100 * zone_at as u64 + at, zone_at);
            let watched = opened(&entry.update_listing(START_MS, &members()));
            for address in addresses(&mut entry, &watched) {
                *watched_by.entry(address).or_default() += 1;
            }
        }
    }

    let entries = ZONES as u64 * ENTRIES_PER_ZONE;
    let mean = entries as f64 * watching::DEFAULT_SET_SIZE as f64 / members().len() as f64;
    let most = *watched_by.values().max().expect("runners") as f64;
    let least = *watched_by.values().min().expect("runners");
    assert!(most <= 2.5 * mean, "{most} {mean}");
    assert!(least >= 1, "{least}");
}

/// Guards against sets that change completely whenever a runner is added or removed.
#[test]
fn set_changes_little_when_a_runner_is_removed() {
    let mut before = entry(1, 0);
    let watched = opened(&before.update_listing(START_MS, &members()));
    let before = addresses(&mut before, &watched);
    let removed = before.first().expect("a watched runner").clone();
    let remaining: Vec<_> = members()
        .into_iter()
        .filter(|member| member.address != removed)
        .collect();

    let mut after = entry(1, 0);
    let watched = opened(&after.update_listing(START_MS, &remaining));

    let after = addresses(&mut after, &watched);
    // A runner of another zone may swap places with the next one of the own zone.
    assert!(
        after.difference(&before).count() <= 2,
        "{before:?} {after:?}"
    );
}

/// Guards against an entry without usable runners while its whole set is unreachable or its
/// availability zone has failed.
#[test]
fn entry_with_a_silent_set_watches_others_within_a_second() {
    let mut entry = entry(1, 0);
    let set = opened(&entry.update_listing(START_MS, &members()));
    for key in &set {
        receive_report(&mut entry, START_MS, *key, 0);
    }

    let mut later = Vec::new();
    let end_ms = START_MS + SILENT_MS + 2 * TICK_MS;
    for now_ms in ticks(START_MS, end_ms) {
        later.extend(opened(&entry.tick(now_ms)));
    }
    for key in &later {
        receive_report(&mut entry, end_ms, *key, 0);
    }

    assert_eq!(later.len(), watching::DEFAULT_SET_SIZE);
    assert_eq!(entry.usable(end_ms), watching::DEFAULT_SET_SIZE);
}

/// Guards against an entry that finds no runner because it keeps trying the same silent ones.
#[test]
fn all_runners_are_tried_while_none_answers() {
    let mut entry = entry(1, 0);
    let mut tried = opened(&entry.update_listing(START_MS, &members()));

    let end_ms = START_MS + 11 * OPENING_GRACE_MS;
    for now_ms in ticks(START_MS, end_ms) {
        tried.extend(opened(&entry.tick(now_ms)));
    }

    assert_eq!(tried.len(), members().len());
}

/// Guards against a job that is refused although a runner outside the set has free capacity.
#[test]
fn job_that_does_not_fit_in_the_set_is_placed_outside_it() {
    let (mut entry, full) = entry_with_two_runners(16_000);

    let probed = opened(&submit(&mut entry, START_MS, 1));
    assert_eq!(probed.len(), 1, "expected one probe");
    assert_ne!(probed[0], full);
    let (address, _) = entry.next_watch(START_MS + 1, probed[0]).expect("a watch");
    let placed = orders(&entry.report_received(START_MS + 4, probed[0], report(&address, 1, 0)));

    assert_eq!(placed.len(), 1);
    assert_eq!(placed[0].0, probed[0]);
}

/// Guards against probes that start only after the last free capacity in the set is taken.
#[test]
fn others_are_probed_before_the_set_is_full() {
    let (mut entry, watched) = entry_with_two_runners(0);

    let actions = submit(&mut entry, START_MS, 1);

    assert_eq!(orders(&actions)[0].0, watched);
    assert_eq!(opened(&actions).len(), 1);
}

/// Guards against probes that cost more than the callers while no runner has free capacity.
#[test]
fn probes_become_rarer_while_no_runner_has_capacity() {
    let mut entry = entry(1, 0).with_watch_set(1);
    let mut probe_count = 0;
    entry.update_listing(START_MS, &members());

    for at in 0..100 {
        let now_ms = START_MS + at * TICK_MS;
        let mut actions = submit(&mut entry, now_ms, at + 1);
        actions.extend(entry.tick(now_ms));
        for key in opened(&actions) {
            receive_report(&mut entry, now_ms, key, 16_000);
            probe_count += 1;
        }
    }

    // One second without capacity, with pauses that double from 10 to 320 ms.
    assert!((12..=60).contains(&probe_count), "{probe_count}");
}

/// Guards against watches that stay open for ever after a probe.
#[test]
fn runner_outside_the_set_is_watched_only_while_it_is_used() {
    let (mut entry, full) = entry_with_two_runners(16_000);
    let other = opened(&submit(&mut entry, START_MS, 1))[0];
    let (address, _) = entry.next_watch(START_MS + 1, other).expect("a watch");
    let placed = orders(&entry.report_received(START_MS + 4, other, report(&address, 1, 0)));
    let run = placed[0].1.starts[0].id.clone();

    // The lease is renewed until the run has ended, however long that takes.
    let late_ms = START_MS + 2_000;
    let (_, watch) = entry
        .next_watch(late_ms, other)
        .expect("a watch for the run");
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
fn runner_without_a_watch_receives_no_work() {
    let (mut entry, full) = entry_with_two_runners(16_000);
    let other = opened(&submit(&mut entry, START_MS, 1))[0];
    receive_report(&mut entry, START_MS + 1, other, 16_000);
    assert!(entry.next_watch(START_MS + 600, other).is_none());
    receive_report(&mut entry, START_MS + 600, full, 0);

    let placed = orders(&submit(&mut entry, START_MS + 601, 2));

    assert!(placed.iter().all(|(key, _)| *key == full), "{placed:?}");
}

/// Guards against entries that keep a leaving runner from exiting, and against entries that never
/// watch its next incarnation.
#[test]
fn leaving_runner_is_not_watched_until_the_pause_is_over() {
    let mut entry = entry(1, 0);
    let key = opened(&entry.update_listing(START_MS, &[member(0, 0)]))[0];
    let (address, _) = entry.next_watch(START_MS, key).expect("a watch");
    let mut leaving = report(&address, 1, 0);
    leaving.load.readiness = messages::Readiness::Leaving;
    entry.report_received(START_MS + 2, key, leaving);

    let while_leaving = entry.next_watch(START_MS + 3, key);
    let soon = opened(&entry.tick(START_MS + 200));
    let later = opened(&entry.tick(START_MS + 600));
    let next_incarnation = entry.next_watch(START_MS + 601, key);

    assert!(while_leaving.is_none());
    assert!(soon.is_empty());
    assert_eq!(later, [key]);
    assert!(next_incarnation.is_some());
}

/// Guards against a runner that is back after a minute and is never found again.
#[test]
fn listed_runner_is_kept_however_long_it_is_silent() {
    let mut entry = entry(1, 0);
    entry.update_listing(START_MS, &[member(0, 0)]);

    entry.tick(START_MS + 120_000);

    assert_eq!(entry.runners(), 1);
}

/// Guards against watches that go on for ever at runners of instances that are gone for good.
#[test]
fn silent_runner_that_is_no_longer_listed_is_removed() {
    let mut entry = entry(1, 0);
    entry.update_listing(START_MS, &[member(0, 0), member(0, 1)]);
    entry.update_listing(START_MS + 1_000, &[member(0, 0)]);

    entry.tick(START_MS + 62_000);

    assert_eq!(entry.runners(), 1);
}

/// Guards against ends that an entry skips, so that their runs are started again, when it returns
/// to a runner that has removed it. The numbers of ends have to continue where they stopped.
#[test]
fn ends_are_numbered_consecutively_for_an_entry_that_was_removed() {
    let mut manager = fixtures::ready_manager();
    let first = fixtures::run_id(1, 0, 1);
    manager.watch(START_MS, &fixtures::watch(ENTRY, START_MS, 0, &[]));
    manager.order(
        START_MS,
        fixtures::order(ENTRY, 1, START_MS, &[(first.clone(), 1_000)]),
    );
    end_of(&mut manager, START_MS + 100, 1, first);
    let first_ends = manager.report(START_MS + 101, ENTRY).ends;
    assert_eq!(first_ends.len(), 1);
    let later_ms = START_MS + 60_000;
    manager.next_list(later_ms);
    manager.listed(later_ms, later_ms, fixtures::listing(65_000, &[]));
    manager.tick(later_ms);

    let back = messages::Watch {
        acked: first_ends[0].number,
        ..fixtures::watch(ENTRY, later_ms, 1, &[])
    };
    manager.watch(later_ms, &back);
    let second = fixtures::run_id(2, 0, 1);
    manager.order(
        later_ms,
        fixtures::order(ENTRY, 2, later_ms, &[(second.clone(), 1_000)]),
    );
    end_of(&mut manager, later_ms + 100, 2, second.clone());

    let second_ends = manager.report(later_ms + 101, ENTRY).ends;
    assert_eq!(second_ends.len(), 1, "{second_ends:?}");
    assert_eq!(second_ends[0].id, second);
    assert!(
        second_ends[0].number > first_ends[0].number,
        "{second_ends:?}"
    );
}

/// Makes the backend server list the end of a run.
fn end_of(manager: &mut capacity::CapacityManager, now_ms: u64, number: u64, id: messages::RunId) {
    manager.start_answered(now_ms - 90, &id, ports::StartAnswer::Started);
    manager.next_list(now_ms - 50);
    let clock_ms = 5_000 + now_ms - START_MS;
    let listing = fixtures::listing_with_end(clock_ms, number, id, messages::RunOutcome::Done);
    manager.listed(now_ms, now_ms - 50, listing);
}
