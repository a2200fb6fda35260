//! An entry's view of the runners' slots, racks and zones.

use bulrushtiller::ids;
use bulrushtiller::membership;
use bulrushtiller::wire;
use proptest::collection;
use rstest::rstest;
use smol_str::SmolStr;

use crate::settings::fixtures;

const CASES: u32 = 512;
const SLOTS: u32 = 8;

fn load(sequence: u64, busy: u32, mine: u32) -> wire::Load {
    wire::Load {
        slots: SLOTS,
        busy,
        mine,
        sequence,
        ..wire::Load::default()
    }
}

fn heartbeat(name: &str, rack: &str, number: u64, load: wire::Load) -> wire::Heartbeat {
    let sender = wire::Peer {
        role: wire::Role::Runner,
        name: SmolStr::new(name),
        incarnation: ids::Incarnation(number),
        zone: SmolStr::new("bento"),
        rack: SmolStr::new(rack),
        address: SmolStr::new("192.0.2.1:1"),
    };
    wire::Heartbeat {
        load: Some(load),
        ..wire::Heartbeat::new(sender)
    }
}

fn members_with_runner(name: &str, rack: &str) -> membership::Members {
    let mut members = membership::Members::default();
    members.record_runner(0, &heartbeat(name, rack, 1, load(1, 0, 0)));
    members
}

fn only_runner(members: &mut membership::Members) -> &mut membership::Runner {
    let key = members.runners().next().map(|(key, _)| key).unwrap();
    members.runner_mut(key).unwrap()
}

// Loads arrive in any order. The entry's own share in a load lags behind its dispatches, so
// free slots are the slots not used by other entries minus the attempts in flight here.
#[test]
fn free_slots_exclude_other_entries_and_own_in_flight() {
    let mut runner = fixtures::fixed_runner(CASES);
    let loads = (1_u64..20, 0_u32..9, 0_u32..9);
    let input = (collection::vec(loads, 1..12), 0_u32..9);

    let result = runner.run(&input, |(loads, sent)| {
        let mut members = members_with_runner("r", "a");
        let runner = only_runner(&mut members);
        for (sequence, busy, mine) in &loads {
            runner.update_load(load(*sequence, *busy, *mine));
        }
        for _ in 0..sent {
            runner.add_in_flight(&wire::Resources::default());
        }
        // Model: of the loads with the highest sequence number, the first one counts.
        let later = loads.iter().filter(|(sequence, _, _)| *sequence > 1);
        let newest = later.rev().max_by_key(|(sequence, _, _)| *sequence);
        let (_, busy, mine) = newest.copied().unwrap_or((1, 0, 0));
        let others = busy.saturating_sub(mine);
        let free = i64::from(SLOTS) - i64::from(others) - i64::from(sent);
        assert_eq!(runner.free_slots(), free);
        Ok(())
    });

    result.unwrap();
}

#[rstest]
#[case::same_rack("a", true)]
#[case::other_rack("b", false)]
fn runners_in_one_rack_share_its_key(#[case] rack: &str, #[case] is_same: bool) {
    let mut members = members_with_runner("one", "a");

    members.record_runner(0, &heartbeat("two", rack, 1, load(1, 0, 0)));

    let racks: Vec<_> = members.runners().map(|(_, runner)| runner.rack).collect();
    assert_eq!(racks[0] == racks[1], is_same);
}

#[test]
fn closing_a_zone_closes_only_its_runners() {
    let mut members = members_with_runner("one", "a");
    let mut other_zone = heartbeat("two", "a", 1, load(1, 0, 0));
    other_zone.sender.zone = SmolStr::new("caxias");
    members.record_runner(0, &other_zone);

    members.back_off_zone("bento", 700);

    let closed = members
        .runners()
        .filter(|(_, runner)| runner.backoff_until_ms == 700);
    let zones: Vec<_> = closed
        .map(|(_, runner)| runner.peer.zone.as_str())
        .collect();
    assert_eq!(zones, ["bento"]);
}
