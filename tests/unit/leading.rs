//! Selection of the leading entry, and the stock of its tickets.

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

fn peer(name: &str, value: u64) -> wire::Peer {
    wire::Peer {
        role: wire::Role::Entry,
        name: SmolStr::new(name),
        incarnation: ids::Incarnation(value),
        zone: SmolStr::new("bento"),
        rack: SmolStr::new("a"),
        address: SmolStr::new(name),
    }
}

fn candidates<'a>(
    reports: &'a [(u64, bool, u32)],
    peers: &'a [wire::Peer],
) -> impl Iterator<Item = leading::Candidate<'a>> {
    let pairs = reports.iter().zip(peers);
    pairs.map(|((_, is_zone_out, slots), peer)| leading::Candidate {
        peer,
        is_zone_out: *is_zone_out,
        slots: *slots,
    })
}

/// The leader does not depend on the order of the candidates: it is the first eligible entry
/// when sorted by zone state, incarnation and name.
#[test]
fn entries_with_the_same_information_choose_the_same_leader() {
    let mut runner = fixtures::fixed_runner(CASES);
    let report = (0_u64..4, any::<bool>(), 0_u32..100);
    let input = (collection::vec(report, 0..6), 0_u32..100);

    let result = runner.run(&input, |(reports, slots)| {
        let named = reports.iter().enumerate();
        let peers: Vec<_> = named
            .map(|(at, one)| peer(&at.to_string(), one.0))
            .collect();
        let forward = leading::leader(candidates(&reports, &peers), slots);
        let all: Vec<_> = candidates(&reports, &peers).collect();
        let backward = leading::leader(all.iter().rev().copied(), slots);
        let mut model: Vec<_> = all
            .iter()
            .filter(|one| one.slots > 0 && u64::from(one.slots) * 4 >= u64::from(slots) * 3)
            .collect();
        model.sort_by_key(|one| (one.is_zone_out, one.peer.incarnation, one.peer.name.clone()));
        prop_assert_eq!(forward, model.first().map(|one| one.peer));
        prop_assert_eq!(forward, backward);
        Ok(())
    });

    result.unwrap();
}

#[rstest]
#[case::half_of_the_slots_stay_free(45, 1, 88, false)]
#[case::less_than_half_stay_free(45, 2, 88, true)]
#[case::large_job(88, 45, 88, true)]
#[case::backlog_exceeds_the_free_slots(-5, 0, 88, true)]
fn slots_are_scarce_below_the_free_fraction(
    #[case] free: i64,
    #[case] tasks: usize,
    #[case] slots: u32,
    #[case] is_scarce: bool,
) {
    assert_eq!(leading::is_scarce(free, tasks, slots, 0.5), is_scarce);
}

#[derive(Clone, Copy, Debug)]
enum Op {
    Wait { ms: u64 },
    Add { issuer: usize, count: u32 },
    Take { issuer: usize },
}

fn ops() -> impl Strategy<Value = Vec<Op>> {
    let op = prop_oneof![
        (1_u64..3_000).prop_map(|ms| Op::Wait { ms }),
        (0_usize..2, 0_u32..4).prop_map(|(issuer, count)| Op::Add { issuer, count }),
        (0_usize..2).prop_map(|issuer| Op::Take { issuer }),
    ];
    collection::vec(op, 1..60)
}

/// Each ticket is taken at most once, only for its issuer and not after its lifetime in the
/// stock. The model is a list of tickets with their times, cleared when the issuer changes.
#[test]
fn ticket_is_taken_once_and_not_after_its_lifetime() {
    let mut runner = fixtures::fixed_runner(CASES);
    let issuers = [peer("entry-0", 1), peer("entry-0", 2)];

    let result = runner.run(&ops(), |ops| {
        let mut stock = leading::TicketStock::default();
        let (mut now_ms, mut next) = (0, 0);
        let mut stocked = None;
        let mut model: collections::VecDeque<(u64, u64)> = collections::VecDeque::new();
        for op in ops {
            match op {
                Op::Wait { ms } => now_ms += ms,
                Op::Add { issuer, count } => {
                    let (epoch, first) = (1, next);
                    let tickets = wire::TicketRange {
                        epoch,
                        first,
                        count,
                    };
                    stock.add(now_ms, &issuers[issuer], tickets);
                    if stocked != Some(issuer) {
                        model.clear();
                        stocked = Some(issuer);
                    }
                    model.extend((0..u64::from(count)).map(|at| (next + at, now_ms)));
                    next += u64::from(count);
                }
                Op::Take { issuer } => {
                    let taken = stock.take(now_ms, &issuers[issuer]);
                    if stocked != Some(issuer) {
                        model.clear();
                    }
                    model.retain(|(_, at_ms)| at_ms + leading::STOCK_LIFETIME_MS > now_ms);
                    let expected = model.pop_front().map(|(number, _)| number);
                    let number = taken.map(|id| match id {
                        ids::SubmissionId::Ticket(ticket) => {
                            assert_eq!(ticket.incarnation, issuers[issuer].incarnation);
                            ticket.number
                        }
                        ids::SubmissionId::Own(_) => unreachable!("the stock holds only tickets"),
                    });
                    prop_assert_eq!(number, expected);
                }
            }
        }
        Ok(())
    });

    result.unwrap();
}
