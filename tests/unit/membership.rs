//! Contacts, incarnations and announcements, compared with simple reference models.

use std::collections;

use bulrushtiller::ids;
use bulrushtiller::membership;
use bulrushtiller::membership::announcements;
use bulrushtiller::membership::contacts;
use bulrushtiller::wire;
use proptest::prelude::*;
use smol_str::SmolStr;

use crate::settings::fixtures;

const CASES: u32 = 300;
const SILENT_MS: u64 = 100;
const OWN: &str = "address-0";
const SEED: &str = "address-1";

fn address(number: u64) -> SmolStr {
    smol_str::format_smolstr!("address-{number}")
}

/// One incarnation of a process; each has an address of its own.
fn peer(role: wire::Role, name: u64, incarnation: u64, place: u64) -> wire::Peer {
    wire::Peer {
        role,
        name: smol_str::format_smolstr!("name-{name}"),
        incarnation: ids::Incarnation(incarnation),
        zone: SmolStr::new_static("caxias"),
        rack: SmolStr::new_static("rack"),
        address: address(place),
    }
}

fn reply(sender: wire::Peer, entries: Vec<wire::Peer>) -> wire::HeartbeatReply {
    wire::HeartbeatReply {
        version: wire::VERSION,
        sender,
        leaving: false,
        revision: None,
        evidence: wire::Evidence::default(),
        entries,
        slots: 0,
        tickets: None,
        entries_digest: None,
        bad_runners: Vec::new(),
    }
}

#[derive(Clone, Copy, Debug)]
enum Op {
    Named(u64),
    Answered(u64, u64),
    Failed(u64),
    RemoveSilent,
}

fn op() -> impl Strategy<Value = Op> {
    let place = || 0..6_u64;
    prop_oneof![
        place().prop_map(Op::Named),
        (place(), place()).prop_map(|(from, named)| Op::Answered(from, named)),
        place().prop_map(Op::Failed),
        Just(Op::RemoveSilent),
    ]
}

/// Reference model: last-seen time by address. The seed's time has no effect.
#[derive(Default)]
struct ContactsModel {
    last_seen: collections::BTreeMap<SmolStr, u64>,
}

impl ContactsModel {
    fn add_place(&mut self, now_ms: u64, place: u64) {
        if address(place) != OWN {
            self.last_seen.entry(address(place)).or_insert(now_ms);
        }
    }

    fn apply(&mut self, now_ms: u64, op: Op) {
        match op {
            Op::Named(place) => self.add_place(now_ms, place),
            Op::Answered(from, named) => {
                if let Some(seen_ms) = self.last_seen.get_mut(&address(from)) {
                    *seen_ms = now_ms;
                }
                self.add_place(now_ms, named);
            }
            Op::Failed(_) => {}
            Op::RemoveSilent => self
                .last_seen
                .retain(|place, seen_ms| place == SEED || *seen_ms + SILENT_MS > now_ms),
        }
    }
}

fn apply(contacts: &mut contacts::Contacts, now_ms: u64, op: Op) {
    let entry = |place| peer(wire::Role::Entry, place, 1, place);
    match op {
        Op::Named(place) => contacts.add_peer(now_ms, &entry(place)),
        Op::Answered(from, named) => {
            let reply = reply(entry(from), vec![entry(named)]);
            contacts.record_reply(now_ms, &address(from), &reply);
        }
        Op::Failed(place) => contacts.record_failure(&address(place)),
        Op::RemoveSilent => contacts.remove_silent(now_ms, SILENT_MS),
    }
}

#[test]
fn contacts_match_the_reference_model() {
    let mut runner = fixtures::fixed_runner(CASES);
    let ops = prop::collection::vec((0..60_u64, op()), 1..80);

    let outcome = runner.run(&ops, |ops| {
        let seeds = [SmolStr::new(OWN), SmolStr::new(SEED)];
        let mut contacts = contacts::Contacts::new(SmolStr::new(OWN), &seeds);
        let mut model = ContactsModel::default();
        model.last_seen.insert(SmolStr::new(SEED), 0);
        let mut now_ms = 0;
        for (gap_ms, op) in ops {
            now_ms += gap_ms;
            apply(&mut contacts, now_ms, op);
            model.apply(now_ms, op);
            let targets = contacts.targets().into_iter().map(|target| target.address);
            let targets: Vec<_> = targets.collect();
            let expected: Vec<_> = model.last_seen.keys().cloned().collect();
            prop_assert_eq!(targets, expected);
        }
        Ok(())
    });

    outcome.expect("no counter-example");
}

#[test]
fn process_is_isolated_until_a_contact_answers() {
    let seed = SmolStr::new(SEED);
    let mut contacts = contacts::Contacts::new(SmolStr::new(OWN), std::slice::from_ref(&seed));
    contacts.add_peer(10, &peer(wire::Role::Entry, 2, 1, 2));
    let before = contacts.is_isolated(0);

    let sender = peer(wire::Role::Entry, 1, 1, 1);
    contacts.record_reply(20, &seed, &reply(sender, Vec::new()));

    assert!(before, "a contact that was only named has not answered");
    assert!(!contacts.is_isolated(20));
    assert!(contacts.is_isolated(21));
}

fn heartbeat(sender: wire::Peer, sequence: u64) -> wire::Heartbeat {
    let load = wire::Load {
        sequence,
        ..wire::Load::default()
    };
    wire::Heartbeat {
        load: Some(load),
        ..wire::Heartbeat::new(sender)
    }
}

// Heartbeats of several incarnations of a runner arrive late and out of order. If an earlier
// incarnation replaced the current one, tasks would be sent to a process that has ended.
#[test]
fn latest_incarnation_is_kept_in_any_order_of_heartbeats() {
    let mut runner = fixtures::fixed_runner(CASES);
    let beats = prop::collection::vec((0..3_u64, 0..5_u64, 0..20_u64), 1..60);

    let outcome = runner.run(&beats, |beats| {
        let mut members = membership::Members::default();
        let mut latest = collections::BTreeMap::new();
        for (now_ms, (name, incarnation, sequence)) in (0..).zip(beats) {
            let sender = peer(wire::Role::Runner, name, incarnation, incarnation);
            let known = latest.get(&sender.name).copied();
            let expected = match known {
                None => "new",
                Some(known) if known > incarnation => "stale",
                Some(known) if known < incarnation => "replaced",
                Some(_) => "same",
            };
            latest.insert(
                sender.name.clone(),
                known.max(Some(incarnation)).unwrap_or(0),
            );
            let update = match members.record_runner(now_ms, &heartbeat(sender, sequence)) {
                membership::Update::New => "new",
                membership::Update::Stale => "stale",
                membership::Update::Replaced(_) => "replaced",
                membership::Update::Unchanged => "same",
            };
            prop_assert_eq!(update, expected);
        }
        Ok(())
    });

    outcome.expect("no counter-example");
}

fn expected_entries(announced: &[announcements::Announcement], own: &SmolStr) -> Vec<wire::Peer> {
    let mut chosen: Vec<wire::Peer> = Vec::new();
    for announcement in announced.iter().rev() {
        let peer = &announcement.peer;
        let is_latest = announced
            .iter()
            .filter(|other| other.peer.name == peer.name)
            .all(|other| other.peer.incarnation <= peer.incarnation);
        let is_first = chosen.iter().all(|one| one.name != peer.name);
        if is_latest && is_first && peer.name != *own {
            chosen.push(peer.clone());
        }
    }
    chosen.truncate(announcements::MAX_ENTRIES);
    chosen
}

#[test]
fn latest_entries_match_the_reference_selection() {
    let mut runner = fixtures::fixed_runner(CASES);
    let announced = prop::collection::vec((0..25_u64, 0..4_u64), 0..100);
    let own = SmolStr::new_static("name-0");

    let outcome = runner.run(&announced, |announced| {
        let announced: Vec<_> = announced
            .into_iter()
            .map(|(name, incarnation)| announcements::Announcement {
                version: wire::VERSION,
                peer: peer(
                    wire::Role::Entry,
                    name,
                    incarnation,
                    name * 10 + incarnation,
                ),
            })
            .collect();
        let selected = announcements::latest_entries(&announced, &own);
        prop_assert_eq!(selected, expected_entries(&announced, &own));
        Ok(())
    });

    outcome.expect("no counter-example");
}

#[test]
fn search_pauses_double_up_to_a_limit_and_reset_when_a_contact_answers() {
    let mut backoff = announcements::IsolationBackoff::new(0, 0);
    let due: Vec<u64> = (0..200_000)
        .filter(|now_ms| backoff.is_due(*now_ms, true))
        .collect();

    let due_with_contact = backoff.is_due(200_000, false);
    let due_without = backoff.is_due(200_000 + announcements::MAX_PAUSE_MS, true);

    let pauses: Vec<u64> = due.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert_eq!(pauses[..5], [1_000, 2_000, 4_000, 8_000, 16_000]);
    assert!(
        pauses[5..]
            .iter()
            .all(|pause_ms| *pause_ms == announcements::MAX_PAUSE_MS)
    );
    assert_eq!((due_with_contact, due_without), (false, true));
}
