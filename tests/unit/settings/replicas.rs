//! Many readers under bad delivery against a naive replica that sees the whole log
//! and replays it from the start for every question.

use std::collections;

use bulrushtiller::settings;
use bulrushtiller::settings::merge;
use bulrushtiller::settings::reader;
use bulrushtiller::settings::record;
use proptest::prelude::Strategy;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::prop_oneof;
use proptest::test_runner;
use smol_str::SmolStr;

use super::fixtures;

const REPLICAS: usize = 3;
const FILES: [&str; 4] = ["10.toml", "20.toml", "30.toml", "Bad.toml"];
const TEXTS: [&str; 6] = [
    "[limits]\nmax_queued = 900\n",
    "[limits]\nmax_job_tasks = 850\n",
    "[limits]\nmax_queued = 0\n",
    "[zones.bento]\nout = true\n",
    "[zones.bento]\nout = false\nin = 1\n",
    "[broken",
];

/// What an operator bases a change on.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Base {
    Any,
    InForce,
    Older,
}

/// One thing that happens to the log or to a replica.
#[derive(Clone, Debug, PartialEq)]
enum Step {
    Change(u8, usize, Option<usize>, Base),
    Race([usize; 2]),
    Junk,
    Checkpoint(usize),
    Expire(usize),
    Deliver(usize, usize, usize, bool),
    Late(usize, usize),
    Peer(usize, usize),
    Restart(usize),
}

fn any_step() -> impl Strategy<Value = Step> {
    let base = proptest::sample::select(vec![Base::Any, Base::InForce, Base::Older]);
    let text = proptest::option::weighted(0.8, 0..TEXTS.len());
    let replica = 0..REPLICAS;
    prop_oneof![
        6 => (0_u8..24, 0..FILES.len(), text, base).prop_map(|(i, f, t, b)| Step::Change(i, f, t, b)),
        2 => [0..TEXTS.len(), 0..TEXTS.len()].prop_map(Step::Race),
        1 => proptest::strategy::Just(Step::Junk),
        2 => replica.clone().prop_map(Step::Checkpoint),
        2 => (1_usize..6).prop_map(Step::Expire),
        8 => (replica.clone(), 0_usize..4, 1_usize..6, proptest::bool::ANY)
            .prop_map(|(r, back, count, shuffle)| Step::Deliver(r, back, count, shuffle)),
        2 => (replica.clone(), 0_usize..8).prop_map(|(r, cut)| Step::Late(r, cut)),
        2 => (replica.clone(), replica.clone()).prop_map(|(to, from)| Step::Peer(to, from)),
        1 => replica.prop_map(Step::Restart),
    ]
}

/// The outcome of replaying a log.
#[derive(Clone, Debug, Default, PartialEq)]
struct Naive {
    files: merge::Files,
    revision: Option<u64>,
    seen: Vec<SmolStr>,
    /// Offsets of accepted changes by the base that they named.
    winners: collections::BTreeMap<u64, Vec<u64>>,
}

fn naive(log: &[serde_json::Value]) -> Naive {
    let mut naive = Naive::default();
    for (offset, document) in (0..).zip(log) {
        let Ok(change) = serde_json::from_value::<settings::Change>(document.clone()) else {
            continue;
        };
        if naive.seen.contains(&change.id) {
            continue;
        }
        naive.seen.push(change.id);
        let in_force = naive.revision.unwrap_or(record::BEFORE_FIRST);
        if change.base.is_some_and(|base| base != in_force) {
            continue;
        }
        let mut files = naive.files.clone();
        let known = files.remove(&change.file).is_some();
        if change.text.is_none() && !known {
            continue;
        }
        files.extend(change.text.map(|text| (change.file, text)));
        if settings::check_folder(&files).is_err() {
            continue;
        }
        naive.files = files;
        naive.revision = Some(offset);
        naive
            .winners
            .entry(change.base.unwrap_or(u64::MAX - 1))
            .or_default()
            .push(offset);
    }
    naive
}

/// A log that expires, and replicas that follow it.
struct World {
    log: Vec<serde_json::Value>,
    first: usize,
    races: u32,
    replicas: Vec<settings::Reader>,
}

fn new_replica() -> settings::Reader {
    settings::Reader::new(settings::State::new(), 0)
}

impl World {
    fn new() -> Self {
        Self {
            log: Vec::new(),
            first: 0,
            races: 0,
            replicas: (0..REPLICAS).map(|_| new_replica()).collect(),
        }
    }

    fn change(&mut self, id: &str, file: usize, text: Option<usize>, base: Option<u64>) {
        let text = text.map(|text| TEXTS[text]);
        let mut change = fixtures::change(id, text, base);
        change.file = SmolStr::new(FILES[file]);
        self.log.push(fixtures::change_document(change));
    }

    fn base(&self, base: Base) -> Option<u64> {
        let in_force = naive(&self.log).revision;
        match base {
            Base::Any => None,
            Base::InForce => Some(record::base_of(in_force)),
            Base::Older => Some(in_force.and_then(|r| r.checked_sub(1)).unwrap_or(0)),
        }
    }

    fn deliver(&mut self, replica: usize, batch: reader::Batch) {
        self.replicas[replica].apply_batch(0, batch);
    }

    fn batch(&self, from: usize, to: usize) -> reader::Batch {
        let to = to.min(self.log.len());
        let from = from.clamp(self.first, to.max(self.first));
        reader::Batch {
            first: self.first as u64,
            next: self.log.len() as u64,
            entries: fixtures::entries(from as u64, &self.log[from..to.max(from)]),
        }
    }

    fn step(&mut self, step: &Step) {
        match *step {
            Step::Change(id, file, text, base) => {
                let base = self.base(base);
                self.change(&format!("id{id}"), file, text, base);
            }
            Step::Race(texts) => {
                let base = self.base(Base::InForce);
                self.races += 1;
                for (who, text) in ["ana", "bia"].into_iter().zip(texts) {
                    self.change(&format!("{who}{}", self.races), 0, Some(text), base);
                }
            }
            Step::Junk => self.log.push(serde_json::json!({"type": "other"})),
            Step::Checkpoint(replica) => {
                let checkpoint = self.replicas[replica].state().checkpoint("entry");
                self.log.push(fixtures::checkpoint_document(checkpoint));
            }
            Step::Expire(count) => self.expire(count),
            Step::Deliver(replica, back, count, shuffle) => {
                let from = usize::try_from(self.replicas[replica].read_from()).unwrap_or(0);
                let mut batch = self.batch(from.saturating_sub(back), from + count);
                if shuffle {
                    batch.entries.extend(batch.entries.clone());
                    batch.entries.reverse();
                }
                self.deliver(replica, batch);
            }
            Step::Late(replica, cut) => {
                let mut batch = self.batch(self.first, self.log.len().saturating_sub(cut));
                batch.next = batch.first.max(batch.next.saturating_sub(cut as u64));
                self.deliver(replica, batch);
            }
            Step::Peer(to, from) => {
                let offered = self.replicas[from].state().checkpoint("entry");
                let adopted = self.replicas[to].adopt(&offered);
                assert!(adopted.is_ok(), "{adopted:?}");
            }
            Step::Restart(replica) => {
                if self.is_recoverable(self.first, Some(replica)) {
                    self.replicas[replica] = new_replica();
                }
            }
        }
    }

    /// Whether the state can still be had by one that starts, from a replica other
    /// than `without` or from a checkpoint on the log.
    fn is_recoverable(&self, first: usize, without: Option<usize>) -> bool {
        let first = first as u64;
        let others = (0..REPLICAS).filter(|replica| Some(*replica) != without);
        let mut positions = others.map(|replica| self.replicas[replica].state().position());
        let kept = self
            .log
            .iter()
            .skip(usize::try_from(first).unwrap_or(usize::MAX));
        let mut marks = kept.filter_map(|document| document["position"].as_u64());
        first == 0 || positions.any(|p| p >= first) || marks.any(|p| p >= first)
    }

    /// Records expire no faster than states are handed on.
    fn expire(&mut self, count: usize) {
        for _ in 0..count {
            let first = self.first + 1;
            if first <= self.log.len() && self.is_recoverable(first, None) {
                self.first = first;
            }
        }
    }

    /// Lets everyone read to the end, with the help of the replica furthest on.
    fn settle(&mut self) {
        self.deliver_all();
        let furthest = self.replicas.iter().map(settings::Reader::state);
        let furthest = furthest.max_by_key(|state| state.position());
        let offered = furthest.expect("there are replicas").checkpoint("entry");
        for replica in &mut self.replicas {
            replica.adopt(&offered).expect("a replica's state is good");
        }
        self.deliver_all();
    }

    fn deliver_all(&mut self) {
        for replica in 0..REPLICAS {
            let batch = self.batch(0, self.log.len());
            self.deliver(replica, batch);
        }
    }
}

fn check_replica(
    world: &World,
    replica: &settings::Reader,
) -> Result<(), test_runner::TestCaseError> {
    let state = replica.state();
    let position = usize::try_from(state.position()).unwrap_or(usize::MAX);
    prop_assert!(position <= world.log.len());
    let expected = naive(&world.log[..position]);
    prop_assert_eq!(state.revision(), expected.revision);
    prop_assert_eq!(state.files(), &expected.files);
    let seen: Vec<SmolStr> = state.recent().map(|recent| recent.id.clone()).collect();
    prop_assert_eq!(seen, expected.seen);
    let settings = settings::check_folder(&expected.files);
    prop_assert_eq!(settings.as_ref(), Ok(&**state.settings()));
    Ok(())
}

fn run(steps: &[Step]) -> Result<(), test_runner::TestCaseError> {
    let mut world = World::new();
    for step in steps {
        let before: Vec<_> = world
            .replicas
            .iter()
            .map(|r| r.state().revision())
            .collect();
        world.step(step);
        for (index, replica) in world.replicas.iter().enumerate() {
            check_replica(&world, replica)?;
            let restarted = matches!(step, Step::Restart(r) if *r == index);
            prop_assert!(restarted || replica.state().revision() >= before[index]);
        }
    }
    world.settle();
    for replica in &world.replicas {
        prop_assert_eq!(replica.read_status(), reader::ReadStatus::AtEnd);
        prop_assert_eq!(replica.state(), world.replicas[0].state());
        check_replica(&world, replica)?;
    }
    let winners = naive(&world.log).winners;
    let raced = winners.iter().filter(|(base, _)| **base != u64::MAX - 1);
    for (_base, accepted) in raced {
        prop_assert_eq!(accepted.len(), 1);
    }
    Ok(())
}

// Records are delivered twice, out of order, late and not at all; replicas restart
// and take states from each other; operators race. What a user would see if this
// went wrong: a zone that is out here and in service there, or an older folder that
// comes back.
#[test]
fn replicas_equal_the_naive_replay_at_every_step() {
    let mut runner = fixtures::fixed_runner(256);
    let steps = proptest::collection::vec(any_step(), 1..60);

    let result = runner.run(&steps, |steps| run(&steps));

    assert_eq!(result, Ok(()));
}
