//! What an entry knows of the runners' slots.

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

fn heartbeat(name: &str, rack: &str, life: u64, load: wire::Load) -> wire::Heartbeat {
    let sender = wire::Peer {
        role: wire::Role::Runner,
        name: SmolStr::new(name),
        incarnation: ids::Incarnation(life),
        zone: SmolStr::new("bento"),
        rack: SmolStr::new(rack),
        address: SmolStr::new("192.0.2.1:1"),
    };
    wire::Heartbeat {
        load: Some(load),
        ..wire::Heartbeat::new(sender)
    }
}

fn known(name: &str, rack: &str) -> membership::Members {
    let mut members = membership::Members::default();
    members.record_runner(0, &heartbeat(name, rack, 1, load(1, 0, 0)));
    members
}

fn only(members: &mut membership::Members) -> &mut membership::Runner {
    let key = members.runners().next().map(|(key, _)| key).unwrap();
    members.runner_mut(key).unwrap()
}

/// The entry's own part of a load is replaced by what it has in flight: told in any
/// order, the slots free are those that the others leave, less the own.
#[test]
fn free_slots_are_what_others_leave_less_the_own_in_flight() {
    let mut runner = fixtures::fixed_runner(CASES);
    let told = (1_u64..20, 0_u32..9, 0_u32..9);
    let input = (collection::vec(told, 1..12), 0_u32..9);

    let verdict = runner.run(&input, |(told, sent)| {
        let mut members = known("r", "a");
        let runner = only(&mut members);
        for (sequence, busy, mine) in &told {
            runner.update_load(load(*sequence, *busy, *mine));
        }
        for _ in 0..sent {
            runner.add_in_flight(&wire::Resources::default());
        }
        // Naive: the first told of those with the greatest sequence number.
        let later = told.iter().filter(|(sequence, _, _)| *sequence > 1);
        let newest = later.rev().max_by_key(|(sequence, _, _)| *sequence);
        let (_, busy, mine) = newest.copied().unwrap_or((1, 0, 0));
        let others = busy.saturating_sub(mine);
        let free = i64::from(SLOTS) - i64::from(others) - i64::from(sent);
        assert_eq!(runner.free_slots(), free);
        Ok(())
    });

    verdict.unwrap();
}

#[rstest]
#[case::same_rack("a", true)]
#[case::other_rack("b", false)]
fn runners_of_one_rack_share_its_number(#[case] rack: &str, #[case] is_same: bool) {
    let mut members = known("one", "a");

    members.record_runner(0, &heartbeat("two", rack, 1, load(1, 0, 0)));

    let racks: Vec<_> = members.runners().map(|(_, runner)| runner.rack).collect();
    assert_eq!(racks[0] == racks[1], is_same);
}

#[test]
fn closing_a_zone_closes_its_runners_and_no_others() {
    let mut members = known("one", "a");
    let mut far = heartbeat("two", "a", 1, load(1, 0, 0));
    far.sender.zone = SmolStr::new("caxias");
    members.record_runner(0, &far);

    members.back_off_zone("bento", 700);

    let closed = members
        .runners()
        .filter(|(_, runner)| runner.backoff_until_ms == 700);
    let zones: Vec<_> = closed
        .map(|(_, runner)| runner.peer.zone.as_str())
        .collect();
    assert_eq!(zones, ["bento"]);
}
