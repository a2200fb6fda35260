//! Several readers under unreliable delivery, compared with a reference that replays the
//! whole log from its start.

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

/// Base revision of an operator's change.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Base {
    Any,
    InForce,
    Older,
}

/// One action on the log or a replica.
#[derive(Clone, Debug, PartialEq)]
enum Step {
    Change(u8, usize, Option<usize>, Base),
    Conflict([usize; 2]),
    Junk,
    Checkpoint(usize),
    Expire(usize),
    Deliver(usize, usize, usize, bool),
    DeliverLate(usize, usize),
    AdoptFromPeer(usize, usize),
    Restart(usize),
}

fn any_step() -> impl Strategy<Value = Step> {
    let base = proptest::sample::select(vec![Base::Any, Base::InForce, Base::Older]);
    let text = proptest::option::weighted(0.8, 0..TEXTS.len());
    let replica = 0..REPLICAS;
    prop_oneof![
        6 => (0_u8..24, 0..FILES.len(), text, base).prop_map(|(i, f, t, b)| Step::Change(i, f, t, b)),
        2 => [0..TEXTS.len(), 0..TEXTS.len()].prop_map(Step::Conflict),
        1 => proptest::strategy::Just(Step::Junk),
        2 => replica.clone().prop_map(Step::Checkpoint),
        2 => (1_usize..6).prop_map(Step::Expire),
        8 => (replica.clone(), 0_usize..4, 1_usize..6, proptest::bool::ANY)
            .prop_map(|(r, back, count, shuffle)| Step::Deliver(r, back, count, shuffle)),
        2 => (replica.clone(), 0_usize..8).prop_map(|(r, missing)| Step::DeliverLate(r, missing)),
        2 => (replica.clone(), replica.clone()).prop_map(|(to, from)| Step::AdoptFromPeer(to, from)),
        1 => replica.prop_map(Step::Restart),
    ]
}

/// Result of replaying a log.
#[derive(Clone, Debug, Default, PartialEq)]
struct Replay {
    files: merge::Files,
    revision: Option<u64>,
    seen: Vec<SmolStr>,
    /// Offsets of accepted changes by their base.
    accepted_by_base: collections::BTreeMap<u64, Vec<u64>>,
}

fn replay(log: &[serde_json::Value]) -> Replay {
    let mut replay = Replay::default();
    for (offset, document) in (0..).zip(log) {
        let Ok(change) = serde_json::from_value::<settings::Change>(document.clone()) else {
            continue;
        };
        if replay.seen.contains(&change.id) {
            continue;
        }
        replay.seen.push(change.id);
        let in_force = replay.revision.unwrap_or(record::BEFORE_FIRST);
        if change.base.is_some_and(|base| base != in_force) {
            continue;
        }
        let mut files = replay.files.clone();
        let known = files.remove(&change.file).is_some();
        if change.text.is_none() && !known {
            continue;
        }
        files.extend(change.text.map(|text| (change.file, text)));
        if settings::check_folder(&files).is_err() {
            continue;
        }
        replay.files = files;
        replay.revision = Some(offset);
        replay
            .accepted_by_base
            .entry(change.base.unwrap_or(u64::MAX - 1))
            .or_default()
            .push(offset);
    }
    replay
}

/// A log with expiring records, and replicas that follow it.
struct Simulation {
    log: Vec<serde_json::Value>,
    first: usize,
    conflict_count: u32,
    replicas: Vec<settings::Reader>,
}

fn new_replica() -> settings::Reader {
    settings::Reader::new(settings::State::new(), 0)
}

impl Simulation {
    fn new() -> Self {
        Self {
            log: Vec::new(),
            first: 0,
            conflict_count: 0,
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
        let in_force = replay(&self.log).revision;
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
            Step::Conflict(texts) => {
                let base = self.base(Base::InForce);
                self.conflict_count += 1;
                for (operator, text) in ["ana", "bia"].into_iter().zip(texts) {
                    self.change(
                        &format!("{operator}{}", self.conflict_count),
                        0,
                        Some(text),
                        base,
                    );
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
            Step::DeliverLate(replica, missing) => {
                let mut batch = self.batch(self.first, self.log.len().saturating_sub(missing));
                batch.next = batch.first.max(batch.next.saturating_sub(missing as u64));
                self.deliver(replica, batch);
            }
            Step::AdoptFromPeer(to, from) => {
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

    /// Returns whether a starting replica can obtain the state, from a replica other than
    /// `without`, from a checkpoint on the log or from the complete log.
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

    /// Expires records as long as a starting replica can still obtain the state.
    fn expire(&mut self, count: usize) {
        for _ in 0..count {
            let first = self.first + 1;
            if first <= self.log.len() && self.is_recoverable(first, None) {
                self.first = first;
            }
        }
    }

    /// Brings every replica to the end of the log, using the state of the one furthest ahead.
    fn settle(&mut self) {
        self.deliver_all();
        let furthest = self.replicas.iter().map(settings::Reader::state);
        let furthest = furthest.max_by_key(|state| state.position());
        let offered = furthest.expect("there are replicas").checkpoint("entry");
        for replica in &mut self.replicas {
            replica.adopt(&offered).expect("a replica's state is valid");
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
    simulation: &Simulation,
    replica: &settings::Reader,
) -> Result<(), test_runner::TestCaseError> {
    let state = replica.state();
    let position = usize::try_from(state.position()).unwrap_or(usize::MAX);
    prop_assert!(position <= simulation.log.len());
    let expected = replay(&simulation.log[..position]);
    prop_assert_eq!(state.revision(), expected.revision);
    prop_assert_eq!(state.files(), &expected.files);
    let seen: Vec<SmolStr> = state.recent().map(|recent| recent.id.clone()).collect();
    prop_assert_eq!(seen, expected.seen);
    let settings = settings::check_folder(&expected.files);
    prop_assert_eq!(settings.as_ref(), Ok(&**state.settings()));
    Ok(())
}

fn run(steps: &[Step]) -> Result<(), test_runner::TestCaseError> {
    let mut simulation = Simulation::new();
    for step in steps {
        let before: Vec<_> = simulation
            .replicas
            .iter()
            .map(|r| r.state().revision())
            .collect();
        simulation.step(step);
        for (index, replica) in simulation.replicas.iter().enumerate() {
            check_replica(&simulation, replica)?;
            let restarted = matches!(step, Step::Restart(r) if *r == index);
            prop_assert!(restarted || replica.state().revision() >= before[index]);
        }
    }
    simulation.settle();
    for replica in &simulation.replicas {
        prop_assert_eq!(replica.read_status(), reader::ReadStatus::AtEnd);
        prop_assert_eq!(replica.state(), simulation.replicas[0].state());
        check_replica(&simulation, replica)?;
    }
    let accepted_by_base = replay(&simulation.log).accepted_by_base;
    let conflicts = accepted_by_base
        .iter()
        .filter(|(base, _)| **base != u64::MAX - 1);
    for (_base, accepted) in conflicts {
        prop_assert_eq!(accepted.len(), 1);
    }
    Ok(())
}

// Records are duplicated, reordered, delayed and lost; replicas restart and adopt each
// other's states; operators make conflicting changes. A failure would show as a zone that is
// out of service on one process and in service on another, or as a restored older folder.
#[test]
fn replicas_match_the_reference_replay_at_every_step() {
    let mut runner = fixtures::fixed_runner(256);
    let steps = proptest::collection::vec(any_step(), 1..60);

    let result = runner.run(&steps, |steps| run(&steps));

    assert_eq!(result, Ok(()));
}
