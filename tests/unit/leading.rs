//! Which entry leads, and the tickets kept of it.

use std::collections;

use bulrushtiller::ids;
use bulrushtiller::leading;
use bulrushtiller::wire;
use proptest::collection;
use proptest::prelude::*;
use rstest::rstest;
use smol_str::SmolStr;

use crate::settings::fixtures;

const CASES: u32 = 512;

fn peer(name: &str, life: u64) -> wire::Peer {
    wire::Peer {
        role: wire::Role::Entry,
        name: SmolStr::new(name),
        incarnation: ids::Incarnation(life),
        zone: SmolStr::new("bento"),
        rack: SmolStr::new("a"),
        address: SmolStr::new(name),
    }
}

fn candidates<'a>(
    told: &'a [(u64, bool, u32)],
    peers: &'a [wire::Peer],
) -> impl Iterator<Item = leading::Candidate<'a>> {
    let both = told.iter().zip(peers);
    both.map(|((_, is_zone_out, slots), peer)| leading::Candidate {
        peer,
        is_zone_out: *is_zone_out,
        slots: *slots,
    })
}

/// Whoever asks, and in whatever order it knows the others, those with the same view have
/// the same leader: naively, the first of a list sorted by zone, life and name.
#[test]
fn entries_with_the_same_view_have_the_same_leader() {
    let mut runner = fixtures::fixed_runner(CASES);
    let told = (0_u64..4, any::<bool>(), 0_u32..100);
    let input = (collection::vec(told, 0..6), 0_u32..100);

    let verdict = runner.run(&input, |(told, slots)| {
        let named = told.iter().enumerate();
        let peers: Vec<_> = named
            .map(|(at, one)| peer(&at.to_string(), one.0))
            .collect();
        let forth = leading::leader(candidates(&told, &peers), slots);
        let all: Vec<_> = candidates(&told, &peers).collect();
        let back = leading::leader(all.iter().rev().copied(), slots);
        let mut naive: Vec<_> = all
            .iter()
            .filter(|one| one.slots > 0 && u64::from(one.slots) * 4 >= u64::from(slots) * 3)
            .collect();
        naive.sort_by_key(|one| (one.is_zone_out, one.peer.incarnation, one.peer.name.clone()));
        prop_assert_eq!(forth, naive.first().map(|one| one.peer));
        prop_assert_eq!(forth, back);
        Ok(())
    });

    verdict.unwrap();
}

#[rstest]
#[case::half_is_left(45, 1, 88, false)]
#[case::less_than_half_is_left(45, 2, 88, true)]
#[case::a_large_job(88, 45, 88, true)]
#[case::more_waits_than_is_free(-5, 0, 88, true)]
fn slots_are_scarce_below_a_part(
    #[case] free: i64,
    #[case] tasks: usize,
    #[case] slots: u32,
    #[case] is_scarce: bool,
) {
    assert_eq!(leading::is_scarce(free, tasks, slots, 0.5), is_scarce);
}

#[derive(Clone, Copy, Debug)]
enum Op {
    Pass { ms: u64 },
    Add { minter: usize, count: u32 },
    Take { minter: usize },
}

fn ops() -> impl Strategy<Value = Vec<Op>> {
    let op = prop_oneof![
        (1_u64..3_000).prop_map(|ms| Op::Pass { ms }),
        (0_usize..2, 0_u32..4).prop_map(|(minter, count)| Op::Add { minter, count }),
        (0_usize..2).prop_map(|minter| Op::Take { minter }),
    ];
    collection::vec(op, 1..60)
}

/// A ticket is given once, by the minter asked for, and never when it is old: against a
/// plain list of tickets with their times, emptied when another entry's come.
#[test]
fn stock_gives_each_ticket_once_and_no_old_ones() {
    let mut runner = fixtures::fixed_runner(CASES);
    let minters = [peer("entry-0", 1), peer("entry-0", 2)];

    let verdict = runner.run(&ops(), |ops| {
        let mut stock = leading::TicketStock::default();
        let (mut now_ms, mut next) = (0, 0);
        let mut of = None;
        let mut naive: collections::VecDeque<(u64, u64)> = collections::VecDeque::new();
        for op in ops {
            match op {
                Op::Pass { ms } => now_ms += ms,
                Op::Add { minter, count } => {
                    let (epoch, first) = (1, next);
                    let tickets = wire::TicketRange {
                        epoch,
                        first,
                        count,
                    };
                    stock.add(now_ms, &minters[minter], tickets);
                    if of != Some(minter) {
                        naive.clear();
                        of = Some(minter);
                    }
                    naive.extend((0..u64::from(count)).map(|at| (next + at, now_ms)));
                    next += u64::from(count);
                }
                Op::Take { minter } => {
                    let taken = stock.take(now_ms, &minters[minter]);
                    if of != Some(minter) {
                        naive.clear();
                    }
                    naive.retain(|(_, at_ms)| at_ms + leading::STOCK_LIFETIME_MS > now_ms);
                    let expected = naive.pop_front().map(|(number, _)| number);
                    let number = taken.map(|id| match id {
                        ids::SubmissionId::Ticket(ticket) => {
                            assert_eq!(ticket.incarnation, minters[minter].incarnation);
                            ticket.number
                        }
                        ids::SubmissionId::Own(_) => unreachable!("a ticket"),
                    });
                    prop_assert_eq!(number, expected);
                }
            }
        }
        Ok(())
    });

    verdict.unwrap();
}
