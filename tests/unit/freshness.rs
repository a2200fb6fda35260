//! Freshness against a naive observer who sees everything.
//!
//! Processes of three zones ask the log and each other over a network that delays,
//! loses and re-orders, are frozen and thawed, and start with no settings. Each has a
//! clock of its own. The observer notes in global time whose knowledge of which
//! moment has reached whom; a process that deems itself fresh must be so by that.

use std::cell;
use std::collections;

use bulrushtiller::freshness;
use bulrushtiller::wire;
use proptest::prelude::*;
use rstest::rstest;

use crate::settings::fixtures;

const ZONES: usize = 3;
const PROCESSES: usize = 6;
/// Index of the log in what was heard.
const LOG: usize = PROCESSES;
const BOUND_MS: u64 = 1_500;
const CASES: u32 = 300;

/// Global times at which others' knowledge was as old as what is known of it here.
type Heard = [Option<u64>; PROCESSES + 1];

#[derive(Clone, Copy, Debug)]
enum Kind {
    AskLog,
    Ask(usize),
    Freeze(u64),
    Change,
}

/// One thing that happens, so long after the one before.
#[derive(Clone, Copy, Debug)]
struct Step {
    gap_ms: u64,
    process: usize,
    kind: Kind,
    there_ms: u64,
    back_ms: u64,
}

fn step() -> impl Strategy<Value = Step> {
    let kind = prop_oneof![
        2 => Just(Kind::AskLog),
        8 => (0..PROCESSES).prop_map(Kind::Ask),
        1 => (0..4_000_u64).prop_map(Kind::Freeze),
        1 => Just(Kind::Change),
    ];
    let delay = || prop_oneof![6 => 0..20_u64, 1 => 0..3_000_u64];
    let parts = (0..300_u64, 0..PROCESSES, kind, delay(), delay());
    parts.prop_map(|(gap_ms, process, kind, there_ms, back_ms)| Step {
        gap_ms,
        process,
        kind,
        there_ms,
        back_ms,
    })
}

#[derive(Clone, Debug)]
struct Reply {
    revision: u64,
    /// Absent: from the log.
    from: Option<(usize, wire::Evidence)>,
    heard: Heard,
}

#[derive(Clone, Debug)]
enum Event {
    Step(Step),
    Arrives {
        step: Step,
        sent_ms: u64,
    },
    Answered {
        process: usize,
        sent_ms: u64,
        reply: Reply,
    },
}

#[derive(Clone, Copy, Debug, Default)]
struct Process {
    freshness: freshness::Freshness,
    revision: u64,
    frozen_until_ms: u64,
    heard: Heard,
}

#[derive(Debug, Default)]
struct World {
    processes: [Process; PROCESSES],
    revision: u64,
    events: collections::BTreeMap<(u64, usize), Event>,
    scheduled: usize,
    fresh_seen: usize,
}

const fn zone(process: usize) -> usize {
    process % ZONES
}

/// Each process has a clock of its own.
const fn local(process: usize, global_ms: u64) -> u64 {
    global_ms + 1_000_000 * (process as u64 + 1)
}

impl World {
    fn schedule(&mut self, at_ms: u64, event: Event) {
        self.scheduled += 1;
        self.events.insert((at_ms, self.scheduled), event);
    }

    fn run(&mut self, steps: &[Step]) {
        let mut at_ms = 0;
        for step in steps {
            at_ms += step.gap_ms;
            self.schedule(at_ms, Event::Step(*step));
        }
        while let Some(((now_ms, _), event)) = self.events.pop_first() {
            self.happens(now_ms, event);
            self.check(now_ms);
        }
    }

    fn happens(&mut self, now_ms: u64, event: Event) {
        match event {
            Event::Step(step) => self.step(now_ms, step),
            Event::Arrives { step, sent_ms } => self.arrives(now_ms, step, sent_ms),
            Event::Answered {
                process,
                sent_ms,
                ref reply,
            } => {
                let thaw_ms = self.processes[process].frozen_until_ms;
                if thaw_ms > now_ms {
                    self.schedule(thaw_ms, event);
                } else {
                    self.answered(process, sent_ms, reply);
                }
            }
        }
    }

    fn step(&mut self, now_ms: u64, step: Step) {
        let process = &mut self.processes[step.process];
        match step.kind {
            Kind::Change => self.revision += 1,
            Kind::Freeze(ms) => process.frozen_until_ms = process.frozen_until_ms.max(now_ms + ms),
            Kind::Ask(to) if to == step.process => {}
            Kind::Ask(_) | Kind::AskLog if process.frozen_until_ms <= now_ms => {
                let sent_ms = now_ms;
                self.schedule(now_ms + step.there_ms, Event::Arrives { step, sent_ms });
            }
            Kind::Ask(_) | Kind::AskLog => {}
        }
    }

    fn arrives(&mut self, now_ms: u64, step: Step, sent_ms: u64) {
        let reply = if let Kind::Ask(to) = step.kind {
            let other = &self.processes[to];
            if other.frozen_until_ms > now_ms {
                let thaw_ms = other.frozen_until_ms;
                self.schedule(thaw_ms, Event::Arrives { step, sent_ms });
                return;
            }
            let mut heard = other.heard;
            heard[to] = Some(now_ms);
            let evidence = other.freshness.evidence(local(to, now_ms));
            Reply {
                revision: other.revision,
                from: Some((to, evidence)),
                heard,
            }
        } else {
            let mut heard = Heard::default();
            heard[LOG] = Some(now_ms);
            Reply {
                revision: self.revision,
                from: None,
                heard,
            }
        };
        let answered = Event::Answered {
            process: step.process,
            sent_ms,
            reply,
        };
        self.schedule(now_ms + step.back_ms, answered);
    }

    /// The rule of the control threads: a later revision is taken over and is no
    /// evidence; the log's answer is applied whole.
    fn answered(&mut self, index: usize, sent_ms: u64, reply: &Reply) {
        let node = &mut self.processes[index];
        let sent_ms = local(index, sent_ms);
        let is_behind = reply.revision > node.revision;
        match reply.from {
            None if reply.revision >= node.revision => node.freshness.record_log_read(sent_ms),
            Some((from, evidence)) if !is_behind => {
                let is_foreign = zone(from) != zone(index);
                node.freshness
                    .record_peer_reply(sent_ms, is_foreign, evidence);
            }
            None | Some(_) => {}
        }
        node.revision = node.revision.max(reply.revision);
        for (known, heard) in node.heard.iter_mut().zip(reply.heard) {
            *known = (*known).max(heard);
        }
    }

    fn check(&mut self, now_ms: u64) {
        for (index, process) in self.processes.iter().enumerate() {
            if process.frozen_until_ms > now_ms {
                continue;
            }
            if process.freshness.has_evidence() {
                assert!(process.heard[LOG].is_some(), "settings out of nothing");
            }
            if !process.freshness.is_fresh(local(index, now_ms), BOUND_MS) {
                continue;
            }
            self.fresh_seen += 1;
            let counts = |other: &usize| *other == LOG || zone(*other) != zone(index);
            let heard = (0..=LOG)
                .filter(counts)
                .filter_map(|one| process.heard[one]);
            let latest_ms = heard.max().expect("fresh without having heard anything");
            assert!(
                latest_ms + BOUND_MS >= now_ms,
                "process {index} heard nothing since {latest_ms} and is fresh at {now_ms}"
            );
        }
    }
}

#[test]
fn whoever_is_fresh_could_have_heard_of_a_change() {
    let mut runner = fixtures::fixed_runner(CASES);
    let fresh_seen = cell::Cell::new(0);

    let outcome = runner.run(&prop::collection::vec(step(), 1..150), |steps| {
        let mut world = World::default();
        world.run(&steps);
        fresh_seen.set(fresh_seen.get() + world.fresh_seen);
        Ok(())
    });

    outcome.expect("no counter-example");
    assert!(fresh_seen.get() > 1_000, "few were ever fresh");
}

const KNOWS: wire::Evidence = wire::Evidence {
    log_age_ms: Some(100),
    foreign_age_ms: None,
};

#[rstest]
#[case::at_the_bound(5_000 + BOUND_MS, true)]
#[case::past_the_bound(5_000 + BOUND_MS + 1, false)]
fn evidence_of_another_zone_lasts_from_the_question_on(#[case] now_ms: u64, #[case] fresh: bool) {
    let mut freshness = freshness::Freshness::default();

    freshness.record_peer_reply(5_000, true, KNOWS);

    assert_eq!(freshness.is_fresh(now_ms, BOUND_MS), fresh);
}

#[test]
fn evidence_of_the_same_zone_ages_on_its_way() {
    let mut freshness = freshness::Freshness::default();

    freshness.record_peer_reply(5_000, false, KNOWS);

    assert!(freshness.is_fresh(4_900 + BOUND_MS, BOUND_MS));
    assert!(!freshness.is_fresh(4_901 + BOUND_MS, BOUND_MS));
}

// All processes are replaced while the log is down. Two of them, in different zones,
// ask each other and neither has ever had settings. Were that evidence, both would
// start work on defaults, in zones that are out.
#[test]
fn process_without_settings_is_no_evidence() {
    let mut freshness = freshness::Freshness::default();

    freshness.record_peer_reply(5_000, true, wire::Evidence::default());

    assert!(!freshness.has_evidence());
    assert!(!freshness.is_fresh(5_000, BOUND_MS));
}
