//! Claims of three entries on one log, compared with a replay of the whole log.

use bulrushtiller::claims;
use bulrushtiller::ids;
use proptest::prelude::Strategy;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::prop_oneof;
use proptest::test_runner;
use smol_str::SmolStr;

use crate::settings::fixtures;

const ENTRIES: usize = 3;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Step {
    /// A call with an id arrives at an entry.
    Claim(usize, usize),
    /// An entry appends its record, which takes effect now, later or never.
    Append(usize, Effect),
    /// A delayed record takes effect.
    Deliver,
    /// An entry reads this number of records, the first of them for the second time.
    Read(usize, usize),
    /// Time passes and claims expire.
    Wait(u64),
    /// An entry restarts as a new incarnation without state.
    Restart(usize),
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Effect {
    Now,
    Later,
    Never,
}

fn any_step() -> impl Strategy<Value = Step> {
    let entry = 0..ENTRIES;
    let effect =
        proptest::sample::select(vec![Effect::Now, Effect::Now, Effect::Later, Effect::Never]);
    prop_oneof![
        6 => (entry.clone(), 0_usize..4).prop_map(|(entry, id)| Step::Claim(entry, id)),
        6 => (entry.clone(), effect).prop_map(|(entry, effect)| Step::Append(entry, effect)),
        2 => proptest::strategy::Just(Step::Deliver),
        8 => (entry.clone(), 0_usize..4).prop_map(|(entry, count)| Step::Read(entry, count)),
        3 => (0_u64..1_500).prop_map(Step::Wait),
        1 => entry.prop_map(Step::Restart),
    ]
}

fn scoped_id(id: usize) -> claims::ScopedId {
    ("escola".into(), SmolStr::from(format!("id-{id}")))
}

fn claimer(entry: usize, value: u64) -> claims::Claimer {
    claims::Claimer {
        entry: SmolStr::from(format!("entry-{entry}")),
        incarnation: ids::Incarnation(value),
    }
}

struct World {
    log: Vec<claims::Record>,
    delayed: Vec<claims::Record>,
    tables: Vec<claims::Table>,
    claimers: Vec<claims::Claimer>,
    refused: Vec<(claims::Claimer, claims::ScopedId)>,
    incarnations: u64,
    now_ms: u64,
}

impl World {
    fn new() -> Self {
        let claimers: Vec<_> = (0..ENTRIES).map(|entry| claimer(entry, 0)).collect();
        let mut tables: Vec<_> = claimers.iter().cloned().map(claims::Table::new).collect();
        for table in &mut tables {
            table.apply(0, &claims::Page::default());
        }
        Self {
            log: Vec::new(),
            delayed: Vec::new(),
            tables,
            claimers,
            refused: Vec::new(),
            incarnations: 0,
            now_ms: 0,
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Claim(entry, id) => {
                if self.tables[entry].state(&scoped_id(id)) == claims::ClaimState::Unclaimed {
                    self.tables[entry].claim(self.now_ms, scoped_id(id));
                }
            }
            Step::Append(entry, effect) => {
                if let Some(record) = self.tables[entry].next_record() {
                    match effect {
                        Effect::Now => self.log.push(record),
                        Effect::Later => self.delayed.push(record),
                        Effect::Never => {}
                    }
                    self.tables[entry].append_ended();
                }
            }
            Step::Deliver => self.log.extend(self.delayed.pop()),
            Step::Read(entry, count) => self.read(entry, count),
            Step::Wait(ms) => {
                self.now_ms += ms;
                for (table, me) in self.tables.iter_mut().zip(&self.claimers) {
                    let expired = table.expire(self.now_ms);
                    self.refused
                        .extend(expired.into_iter().map(|id| (me.clone(), id)));
                }
            }
            Step::Restart(entry) => {
                self.incarnations += 1;
                self.claimers[entry] = claimer(entry, self.incarnations);
                self.tables[entry] = claims::Table::new(self.claimers[entry].clone());
                self.tables[entry].apply(self.now_ms, &claims::Page::default());
            }
        }
    }

    /// Reads from one record before the position, so that the first record is a repeat.
    fn read(&mut self, entry: usize, count: usize) {
        let position = usize::try_from(self.tables[entry].position()).expect("small");
        let from = position.saturating_sub(1);
        let records = self.log.iter().enumerate().skip(from).take(count);
        let page = claims::Page {
            first: 0,
            records: records
                .map(|(offset, record)| (offset as u64, Some(record.clone())))
                .collect(),
        };
        self.tables[entry].apply(self.now_ms, &page);
    }

    /// Returns the maker of the first claim on an id in the whole log.
    fn owner(&self, claimed: &claims::ScopedId) -> Option<&claims::Claimer> {
        let first = self
            .log
            .iter()
            .find(|record| record.claims.contains(claimed));
        first.map(|record| &record.claimer)
    }

    fn check(&self) -> Result<(), test_runner::TestCaseError> {
        for id in (0..4).map(scoped_id) {
            for (table, me) in self.tables.iter().zip(&self.claimers) {
                match table.state(&id) {
                    claims::ClaimState::Mine { .. } => {
                        prop_assert_eq!(
                            self.owner(&id),
                            Some(me),
                            "started by an entry that does not own the id"
                        );
                        let refusal = (me.clone(), id.clone());
                        prop_assert!(
                            !self.refused.contains(&refusal),
                            "started after the caller was answered 'not run'"
                        );
                    }
                    claims::ClaimState::Other(by) => prop_assert_eq!(self.owner(&id), Some(&by)),
                    claims::ClaimState::Barred { is_owner: true } => {
                        prop_assert_eq!(self.owner(&id), Some(me));
                    }
                    _ => {}
                }
            }
        }
        Ok(())
    }
}

// If two entries both take an id as theirs, its submission runs twice. Here entries claim the
// same ids at once, appends are lost, delayed or take effect after the claim has expired,
// records are read twice, and entries restart.
#[test]
fn every_entry_takes_the_first_claim_in_the_log_as_the_owner() {
    let mut runner = fixtures::fixed_runner(2_000);
    let steps = proptest::collection::vec(any_step(), 1..80);

    let result = runner.run(&steps, |steps| {
        let mut world = World::new();
        for step in steps {
            world.step(step);
            world.check()?;
        }
        for entry in 0..ENTRIES {
            world.read(entry, usize::MAX);
        }
        world.check()?;
        for id in (0..4).map(scoped_id) {
            let is_claimed = world.owner(&id).is_some();
            let knows_owner = |table: &claims::Table| {
                let state = table.state(&id);
                let is_open = matches!(
                    state,
                    claims::ClaimState::Unclaimed | claims::ClaimState::Barred { is_owner: false }
                );
                !is_claimed || !is_open
            };
            prop_assert!(
                world.tables.iter().all(knows_owner),
                "an entry missed a claim"
            );
        }
        Ok(())
    });

    assert_eq!(result, Ok(()));
}

#[test]
fn pending_claim_is_barred_when_unread_records_expire() {
    let mut table = claims::Table::new(claimer(0, 0));
    table.apply(0, &claims::Page::default());
    table.claim(0, scoped_id(0));

    let page = claims::Page {
        first: 5,
        records: Vec::new(),
    };
    let settled = table.apply(1, &page);

    assert_eq!(settled, vec![scoped_id(0)]);
    let barred = claims::ClaimState::Barred { is_owner: false };
    assert_eq!(table.state(&scoped_id(0)), barred);
}

#[test]
fn claims_are_dropped_with_the_expired_records() {
    let mut table = claims::Table::new(claimer(0, 0));
    let record = |id| {
        let by = claimer(1, 1);
        Some(claims::Record {
            version: claims::VERSION,
            claimer: by,
            claims: vec![scoped_id(id)],
        })
    };
    let records = (0..10).map(|at| (at as u64, record(at))).collect();
    table.apply(0, &claims::Page { first: 0, records });

    let page = claims::Page {
        first: 8,
        records: Vec::new(),
    };
    table.apply(1, &page);

    assert_eq!(table.len(), 2);
}

#[test]
fn claim_is_not_started_while_the_log_does_not_answer() {
    let mut table = claims::Table::new(claimer(0, 0));
    table.apply(0, &claims::Page::default());
    table.mark_unreachable();

    let is_started = table.claim(0, scoped_id(0));

    assert!(!is_started);
    assert_eq!(table.state(&scoped_id(0)), claims::ClaimState::Unclaimed);
}
