//! Claims at three entries that read one log, against a naive replay of the log.

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
    /// A caller comes to an entry with an id.
    Claim(usize, usize),
    /// The entry's record goes to the log: it takes effect now, later, or never.
    Append(usize, Fate),
    /// A record that was held up takes effect after all.
    Late,
    /// The entry reads so many records, some of them again.
    Read(usize, usize),
    /// Time passes and claims are given up.
    Wait(u64),
    /// The entry is replaced by another life, which knows nothing.
    Restart(usize),
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fate {
    Now,
    Later,
    Never,
}

fn any_step() -> impl Strategy<Value = Step> {
    let entry = 0..ENTRIES;
    let fate = proptest::sample::select(vec![Fate::Now, Fate::Now, Fate::Later, Fate::Never]);
    prop_oneof![
        6 => (entry.clone(), 0_usize..4).prop_map(|(entry, id)| Step::Claim(entry, id)),
        6 => (entry.clone(), fate).prop_map(|(entry, fate)| Step::Append(entry, fate)),
        2 => proptest::strategy::Just(Step::Late),
        8 => (entry.clone(), 0_usize..4).prop_map(|(entry, count)| Step::Read(entry, count)),
        3 => (0_u64..1_500).prop_map(Step::Wait),
        1 => entry.prop_map(Step::Restart),
    ]
}

fn name(id: usize) -> claims::ScopedId {
    ("escola".into(), SmolStr::from(format!("id-{id}")))
}

fn claimer(entry: usize, life: u64) -> claims::Claimer {
    claims::Claimer {
        entry: SmolStr::from(format!("entry-{entry}")),
        incarnation: ids::Incarnation(life),
    }
}

struct World {
    log: Vec<claims::Record>,
    late: Vec<claims::Record>,
    tables: Vec<claims::Table>,
    me: Vec<claims::Claimer>,
    refused: Vec<(claims::Claimer, claims::ScopedId)>,
    lives: u64,
    now_ms: u64,
}

impl World {
    fn new() -> Self {
        let me: Vec<_> = (0..ENTRIES).map(|entry| claimer(entry, 0)).collect();
        let mut tables: Vec<_> = me.iter().cloned().map(claims::Table::new).collect();
        for table in &mut tables {
            table.apply(0, &claims::Page::default());
        }
        Self {
            log: Vec::new(),
            late: Vec::new(),
            tables,
            me,
            refused: Vec::new(),
            lives: 0,
            now_ms: 0,
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Claim(entry, id) => {
                if self.tables[entry].state(&name(id)) == claims::ClaimState::Unclaimed {
                    self.tables[entry].claim(self.now_ms, name(id));
                }
            }
            Step::Append(entry, fate) => {
                if let Some(record) = self.tables[entry].next_record() {
                    match fate {
                        Fate::Now => self.log.push(record),
                        Fate::Later => self.late.push(record),
                        Fate::Never => {}
                    }
                    self.tables[entry].append_ended();
                }
            }
            Step::Late => self.log.extend(self.late.pop()),
            Step::Read(entry, count) => self.read(entry, count),
            Step::Wait(ms) => {
                self.now_ms += ms;
                for (table, me) in self.tables.iter_mut().zip(&self.me) {
                    let over = table.expire(self.now_ms);
                    self.refused
                        .extend(over.into_iter().map(|id| (me.clone(), id)));
                }
            }
            Step::Restart(entry) => {
                self.lives += 1;
                self.me[entry] = claimer(entry, self.lives);
                self.tables[entry] = claims::Table::new(self.me[entry].clone());
                self.tables[entry].apply(self.now_ms, &claims::Page::default());
            }
        }
    }

    /// Reads from one record before the position on: the first comes a second time.
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

    /// The first claim on an id, by replaying the whole log.
    fn owner(&self, name: &claims::ScopedId) -> Option<&claims::Claimer> {
        let first = self.log.iter().find(|record| record.claims.contains(name));
        first.map(|record| &record.claimer)
    }

    fn check(&self) -> Result<(), test_runner::TestCaseError> {
        for id in (0..4).map(name) {
            for (table, me) in self.tables.iter().zip(&self.me) {
                match table.state(&id) {
                    claims::ClaimState::Mine { .. } => {
                        prop_assert_eq!(self.owner(&id), Some(me), "started by who is not first");
                        let refusal = (me.clone(), id.clone());
                        prop_assert!(!self.refused.contains(&refusal), "started after 'not run'");
                    }
                    claims::ClaimState::Other(by) => prop_assert_eq!(self.owner(&id), Some(&by)),
                    claims::ClaimState::Barred { is_mine: true } => {
                        prop_assert_eq!(self.owner(&id), Some(me));
                    }
                    _ => {}
                }
            }
        }
        Ok(())
    }
}

// Entries claim the same ids at once, appends are lost, answered late or take effect after
// they were given up, records are read twice, entries are replaced. What a user would see if
// two of them thought that an id is theirs: a certified copy issued twice.
#[test]
fn owner_is_the_first_in_the_log_everywhere() {
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
        for id in (0..4).map(name) {
            let is_claimed = world.owner(&id).is_some();
            let knows = |table: &claims::Table| {
                let standing = table.state(&id);
                let is_open = matches!(
                    standing,
                    claims::ClaimState::Unclaimed | claims::ClaimState::Barred { is_mine: false }
                );
                !is_claimed || !is_open
            };
            prop_assert!(world.tables.iter().all(knows), "a claim was overlooked");
        }
        Ok(())
    });

    assert_eq!(result, Ok(()));
}

#[test]
fn records_that_expired_unread_bar_what_is_pending() {
    let mut table = claims::Table::new(claimer(0, 0));
    table.apply(0, &claims::Page::default());
    table.claim(0, name(0));

    let page = claims::Page {
        first: 5,
        records: Vec::new(),
    };
    let settled = table.apply(1, &page);

    assert_eq!(settled, vec![name(0)]);
    let barred = claims::ClaimState::Barred { is_mine: false };
    assert_eq!(table.state(&name(0)), barred);
}

#[test]
fn expired_claims_are_forgotten() {
    let mut table = claims::Table::new(claimer(0, 0));
    let record = |id| {
        let by = claimer(1, 1);
        Some(claims::Record {
            version: claims::VERSION,
            claimer: by,
            claims: vec![name(id)],
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
fn nothing_is_claimed_while_the_log_is_silent() {
    let mut table = claims::Table::new(claimer(0, 0));
    table.apply(0, &claims::Page::default());
    table.mark_unreachable();

    let is_begun = table.claim(0, name(0));

    assert!(!is_begun);
    assert_eq!(table.state(&name(0)), claims::ClaimState::Unclaimed);
}
