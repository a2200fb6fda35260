//! Placement, compared with a brute-force choice.

use bulrushtiller::health;
use bulrushtiller::membership;
use bulrushtiller::placement;
use bulrushtiller::settings;
use bulrushtiller::wire;
use proptest::collection;
use proptest::prelude::Strategy;
use rstest::rstest;

use crate::settings::fixtures;

const CASES: u32 = 512;

fn keys(count: usize) -> Vec<membership::RunnerKey> {
    let mut map = slotmap::SlotMap::with_key();
    (0..count).map(|_| map.insert(())).collect()
}

fn policy(park_per_runner: u32, near_zone_bias: u32) -> settings::Policy {
    settings::Policy {
        park_per_runner,
        near_zone_bias,
        ..settings::Policy::default()
    }
}

fn cpu(cpu_milli: u32) -> wire::Resources {
    wire::Resources {
        cpu_milli,
        ..wire::Resources::default()
    }
}

/// Returns an idle runner with 8 slots and 16 cores in another zone.
fn candidate(key: membership::RunnerKey) -> placement::Candidate {
    placement::Candidate {
        key,
        is_near: false,
        is_suspect: false,
        trust: health::Trust::Full,
        rack: membership::Rack(0),
        free_slots: 8,
        parked: 0,
        send_limit: None,
        free: cpu(16_000),
        size: cpu(16_000),
    }
}

fn pool_of(candidates: &[placement::Candidate]) -> placement::Pool {
    placement::Pool::new(candidates.to_vec())
}

type Raw = ((bool, bool, u32), (i64, u32, Option<u32>), (u32, u32));

fn raw() -> impl Strategy<Value = Raw> {
    let send_limit = proptest::option::of(0_u32..3);
    (
        (proptest::bool::ANY, proptest::bool::weighted(0.2), 0_u32..3),
        (-3_i64..5, 0_u32..3, send_limit),
        (0_u32..4, 0_u32..4),
    )
}

fn drawn(raw: &[Raw]) -> Vec<placement::Candidate> {
    let keys = keys(raw.len());
    let build = |(key, raw): (membership::RunnerKey, &Raw)| {
        let ((is_near, is_suspect, rack), (free_slots, parked, send_limit), (free, more)) = *raw;
        placement::Candidate {
            is_near,
            is_suspect,
            rack: membership::Rack(rack),
            free_slots,
            parked,
            send_limit,
            free: cpu(free),
            size: cpu(free + more),
            ..candidate(key)
        }
    };
    keys.into_iter().zip(raw).map(build).collect()
}

/// Whether the candidate can take a task with this need.
fn is_allowed(one: &placement::Candidate, need: u32, park: u32) -> bool {
    let has_slot = one.free_slots > 0 && need <= one.free.cpu_milli;
    match one.send_limit {
        Some(0) => false,
        Some(_) => has_slot,
        None if one.free_slots > 0 => has_slot,
        None => one.parked < park && need <= one.size.cpu_milli,
    }
}

/// Whether `a` is strictly better than `b`.
fn is_better(a: &placement::Candidate, b: &placement::Candidate, bias: u32) -> bool {
    if a.is_suspect != b.is_suspect {
        return b.is_suspect;
    }
    let (a_free, b_free) = (a.free_slots > 0, b.free_slots > 0);
    if a_free != b_free {
        return a_free;
    }
    let slots =
        |one: &placement::Candidate| one.free_slots + if one.is_near { i64::from(bias) } else { 0 };
    slots(a) > slots(b)
}

#[test]
fn chosen_candidate_is_allowed_and_no_other_is_better() {
    let mut runner = fixtures::fixed_runner(CASES);
    let input = (
        collection::vec(raw(), 0..8),
        0_u32..6,
        (0_u32..3, 0_u32..3),
        proptest::num::u64::ANY,
    );

    let result = runner.run(&input, |(raw, need, (park, bias), draw)| {
        let candidates = drawn(&raw);
        let pool = pool_of(&candidates);
        let spread = placement::RackSpread::default();
        let choice = pool.choose(&cpu(need), &spread, &policy(park, bias), draw);
        let allowed: Vec<_> = candidates
            .iter()
            .filter(|one| is_allowed(one, need, park))
            .collect();
        let fits = candidates.iter().any(|one| need <= one.size.cpu_milli);
        match choice {
            placement::Choice::Send(at) => {
                let chosen = &candidates[at];
                assert!(is_allowed(chosen, need, park));
                assert!(!allowed.iter().any(|one| is_better(one, chosen, bias)));
            }
            placement::Choice::Wait => assert!(allowed.is_empty() && fits),
            placement::Choice::NeverFits => assert!(!fits && !candidates.is_empty()),
            placement::Choice::NoCapacity => assert!(candidates.is_empty()),
        }
        Ok(())
    });

    result.unwrap();
}

#[test]
fn pool_sends_exactly_as_many_tasks_as_its_limits_allow() {
    let mut runner = fixtures::fixed_runner(CASES);
    let input = (collection::vec(raw(), 1..6), 0_u32..3);

    let result = runner.run(&input, |(raw, park)| {
        let candidates = drawn(&raw);
        let mut pool = pool_of(&candidates);
        let spread = placement::RackSpread::default();
        let mut sent = vec![0_i64; candidates.len()];
        while let placement::Choice::Send(at) = pool.choose(&cpu(0), &spread, &policy(park, 0), 7) {
            pool.sent(at, &cpu(0));
            sent[at] += 1;
        }
        assert!(pool.is_full(&policy(park, 0)));
        for (one, sent) in candidates.iter().zip(sent) {
            let slots = one.free_slots.max(0);
            let parkable = i64::from(park.saturating_sub(one.parked));
            let limit = one
                .send_limit
                .map_or(slots + parkable, |send_limit| slots.min(send_limit.into()));
            assert_eq!(sent, limit);
        }
        Ok(())
    });

    result.unwrap();
}

#[test]
fn free_slot_in_another_zone_is_preferred_to_waiting_in_the_own_zone() {
    let keys = keys(2);
    let near_and_full = placement::Candidate {
        is_near: true,
        free_slots: 0,
        ..candidate(keys[0])
    };
    let far = placement::Candidate {
        free_slots: 1,
        ..candidate(keys[1])
    };
    let pool = pool_of(&[near_and_full, far]);
    let spread = placement::RackSpread::default();

    let choice = pool.choose(&cpu(100), &spread, &policy(1, 64), 0);

    assert_eq!(choice, placement::Choice::Send(1));
}

#[rstest]
#[case::first_rack(0)]
#[case::second_rack(1)]
fn among_equal_candidates_the_rack_with_fewer_tasks_of_the_job_is_chosen(#[case] crowded: u32) {
    let keys = keys(2);
    let in_rack = |at: usize| placement::Candidate {
        rack: membership::Rack(u32::try_from(at).unwrap_or(0)),
        ..candidate(keys[at])
    };
    let pool = pool_of(&[in_rack(0), in_rack(1)]);
    let mut spread = placement::RackSpread::default();
    spread.add(membership::Rack(crowded));

    let choices: Vec<_> = (0..4)
        .map(|draw| pool.choose(&cpu(1), &spread, &policy(1, 0), draw))
        .collect();

    let other = placement::Choice::Send(1 - crowded as usize);
    assert_eq!(choices, vec![other; 4]);
}
