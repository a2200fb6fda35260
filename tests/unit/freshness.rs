//! Freshness, compared with an observer that sees all events in global time.
//!
//! Processes in three zones query the log and each other over a network that delays and
//! reorders messages. Processes are suspended and resumed, start without settings, and
//! have clocks with different offsets. The observer tracks, for each process, up to which
//! global time it has received information from each other process and from the log. A
//! process that considers itself fresh must be fresh by that record.

use std::cell;
use std::collections;

use bulrushtiller::freshness;
use bulrushtiller::wire;
use proptest::prelude::*;
use rstest::rstest;

use crate::settings::fixtures;

const ZONES: usize = 3;
const PROCESSES: usize = 6;
/// Index of the log in [`ReceivedUpTo`].
const LOG: usize = PROCESSES;
const MAX_AGE_MS: u64 = 1_500;
const CASES: u32 = 300;

/// Global times up to which information from each process and the log has been received.
type ReceivedUpTo = [Option<u64>; PROCESSES + 1];

#[derive(Clone, Copy, Debug)]
enum Action {
    QueryLog,
    Query(usize),
    Suspend(u64),
    Change,
}

/// An action, at `gap_ms` after the previous one.
#[derive(Clone, Copy, Debug)]
struct Step {
    gap_ms: u64,
    process: usize,
    action: Action,
    request_delay_ms: u64,
    reply_delay_ms: u64,
}

fn step() -> impl Strategy<Value = Step> {
    let action = prop_oneof![
        2 => Just(Action::QueryLog),
        8 => (0..PROCESSES).prop_map(Action::Query),
        1 => (0..4_000_u64).prop_map(Action::Suspend),
        1 => Just(Action::Change),
    ];
    let delay = || prop_oneof![6 => 0..20_u64, 1 => 0..3_000_u64];
    let parts = (0..300_u64, 0..PROCESSES, action, delay(), delay());
    parts.prop_map(
        |(gap_ms, process, action, request_delay_ms, reply_delay_ms)| Step {
            gap_ms,
            process,
            action,
            request_delay_ms,
            reply_delay_ms,
        },
    )
}

#[derive(Clone, Debug)]
struct Reply {
    revision: u64,
    /// The replying process and its evidence; `None` for the log.
    from: Option<(usize, wire::Evidence)>,
    received_up_to: ReceivedUpTo,
}

#[derive(Clone, Debug)]
enum Event {
    Step(Step),
    RequestArrives {
        step: Step,
        sent_ms: u64,
    },
    ReplyArrives {
        process: usize,
        sent_ms: u64,
        reply: Reply,
    },
}

#[derive(Clone, Copy, Debug, Default)]
struct Process {
    freshness: freshness::Freshness,
    revision: u64,
    resumes_at_ms: u64,
    received_up_to: ReceivedUpTo,
}

#[derive(Debug, Default)]
struct Simulation {
    processes: [Process; PROCESSES],
    revision: u64,
    events: collections::BTreeMap<(u64, usize), Event>,
    scheduled: usize,
    fresh_checks: usize,
}

const fn zone(process: usize) -> usize {
    process % ZONES
}

/// Converts a global time to the clock of a process, which has its own offset.
const fn local(process: usize, global_ms: u64) -> u64 {
    global_ms + 1_000_000 * (process as u64 + 1)
}

impl Simulation {
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
            self.process_event(now_ms, event);
            self.check(now_ms);
        }
    }

    fn process_event(&mut self, now_ms: u64, event: Event) {
        match event {
            Event::Step(step) => self.step(now_ms, step),
            Event::RequestArrives { step, sent_ms } => self.request_arrives(now_ms, step, sent_ms),
            Event::ReplyArrives {
                process,
                sent_ms,
                ref reply,
            } => {
                let resume_ms = self.processes[process].resumes_at_ms;
                if resume_ms > now_ms {
                    self.schedule(resume_ms, event);
                } else {
                    self.reply_arrives(process, sent_ms, reply);
                }
            }
        }
    }

    fn step(&mut self, now_ms: u64, step: Step) {
        let process = &mut self.processes[step.process];
        match step.action {
            Action::Change => self.revision += 1,
            Action::Suspend(ms) => process.resumes_at_ms = process.resumes_at_ms.max(now_ms + ms),
            Action::Query(to) if to == step.process => {}
            Action::Query(_) | Action::QueryLog if process.resumes_at_ms <= now_ms => {
                let sent_ms = now_ms;
                self.schedule(
                    now_ms + step.request_delay_ms,
                    Event::RequestArrives { step, sent_ms },
                );
            }
            Action::Query(_) | Action::QueryLog => {}
        }
    }

    fn request_arrives(&mut self, now_ms: u64, step: Step, sent_ms: u64) {
        let reply = if let Action::Query(to) = step.action {
            let other = &self.processes[to];
            if other.resumes_at_ms > now_ms {
                let resume_ms = other.resumes_at_ms;
                self.schedule(resume_ms, Event::RequestArrives { step, sent_ms });
                return;
            }
            let mut received_up_to = other.received_up_to;
            received_up_to[to] = Some(now_ms);
            let evidence = other.freshness.evidence(local(to, now_ms));
            Reply {
                revision: other.revision,
                from: Some((to, evidence)),
                received_up_to,
            }
        } else {
            let mut received_up_to = ReceivedUpTo::default();
            received_up_to[LOG] = Some(now_ms);
            Reply {
                revision: self.revision,
                from: None,
                received_up_to,
            }
        };
        let reply_arrives = Event::ReplyArrives {
            process: step.process,
            sent_ms,
            reply,
        };
        self.schedule(now_ms + step.reply_delay_ms, reply_arrives);
    }

    /// Applies a reply as the control threads do: a later revision of a peer is adopted and
    /// is no evidence, while an answer of the log is applied in full.
    fn reply_arrives(&mut self, index: usize, sent_ms: u64, reply: &Reply) {
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
        for (known, received_up_to) in node.received_up_to.iter_mut().zip(reply.received_up_to) {
            *known = (*known).max(received_up_to);
        }
    }

    fn check(&mut self, now_ms: u64) {
        for (index, process) in self.processes.iter().enumerate() {
            if process.resumes_at_ms > now_ms {
                continue;
            }
            if process.freshness.has_evidence() {
                assert!(
                    process.received_up_to[LOG].is_some(),
                    "a process has evidence without any information from the log"
                );
            }
            if !process.freshness.is_fresh(local(index, now_ms), MAX_AGE_MS) {
                continue;
            }
            self.fresh_checks += 1;
            let counts = |other: &usize| *other == LOG || zone(*other) != zone(index);
            let received_up_to = (0..=LOG)
                .filter(counts)
                .filter_map(|source| process.received_up_to[source]);
            let latest_ms = received_up_to
                .max()
                .expect("a fresh process has received information");
            assert!(
                latest_ms + MAX_AGE_MS >= now_ms,
                "process {index} has received nothing newer than {latest_ms} ms but is fresh at {now_ms} ms"
            );
        }
    }
}

#[test]
fn fresh_process_has_recent_information() {
    let mut runner = fixtures::fixed_runner(CASES);
    let fresh_checks = cell::Cell::new(0);

    let outcome = runner.run(&prop::collection::vec(step(), 1..150), |steps| {
        let mut simulation = Simulation::default();
        simulation.run(&steps);
        fresh_checks.set(fresh_checks.get() + simulation.fresh_checks);
        Ok(())
    });

    outcome.expect("no failing case");
    assert!(
        fresh_checks.get() > 1_000,
        "too few fresh processes to be meaningful"
    );
}

const EVIDENCE: wire::Evidence = wire::Evidence {
    log_age_ms: Some(100),
    foreign_age_ms: None,
};

#[rstest]
#[case::at_the_bound(5_000 + MAX_AGE_MS, true)]
#[case::past_the_bound(5_000 + MAX_AGE_MS + 1, false)]
fn reply_from_another_zone_is_evidence_from_its_request_time(
    #[case] now_ms: u64,
    #[case] fresh: bool,
) {
    let mut freshness = freshness::Freshness::default();

    freshness.record_peer_reply(5_000, true, EVIDENCE);

    assert_eq!(freshness.is_fresh(now_ms, MAX_AGE_MS), fresh);
}

#[test]
fn reply_from_the_same_zone_is_as_old_as_its_evidence() {
    let mut freshness = freshness::Freshness::default();

    freshness.record_peer_reply(5_000, false, EVIDENCE);

    assert!(freshness.is_fresh(4_900 + MAX_AGE_MS, MAX_AGE_MS));
    assert!(!freshness.is_fresh(4_901 + MAX_AGE_MS, MAX_AGE_MS));
}

// All processes are replaced while the log is down, and two of them in different zones
// exchange requests without ever having received settings. If the replies were evidence,
// both would start work with default settings, in zones that are out of service.
#[test]
fn reply_of_a_process_without_settings_is_no_evidence() {
    let mut freshness = freshness::Freshness::default();

    freshness.record_peer_reply(5_000, true, wire::Evidence::default());

    assert!(!freshness.has_evidence());
    assert!(!freshness.is_fresh(5_000, MAX_AGE_MS));
}
