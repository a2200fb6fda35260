//! Detection and ejection of bad backend servers.

use bulrushtiller::codes;
use bulrushtiller::health;
use bulrushtiller::ids;
use bulrushtiller::membership;
use bulrushtiller::settings;
use proptest::collection;
use rstest::rstest;

use crate::settings::fixtures;

const CASES: u32 = 256;
const RUNNERS: usize = 11;
const KINDS: [(&str, &str); 3] = [
    ("escola", "check"),
    ("escola", "lineage"),
    ("oficina", "check"),
];

/// Eleven runners and their health at one entry.
struct Site {
    health: health::Health,
    keys: Vec<membership::RunnerKey>,
    policy: settings::Policy,
    now_ms: u64,
    attempts: u64,
}

fn site() -> Site {
    let mut map = slotmap::SlotMap::with_key();
    Site {
        health: health::Health::default(),
        keys: (0..RUNNERS).map(|_| map.insert(())).collect(),
        policy: settings::Policy::default(),
        now_ms: 1_000_000,
        attempts: 0,
    }
}

impl Site {
    /// Ends a task of a kind on a runner after `run_ms` with the given result.
    fn end_task(&mut self, runner: usize, kind: usize, run_ms: u64, code: codes::Code) {
        self.attempts += 1;
        self.now_ms += 10;
        let (team, name) = KINDS[kind % KINDS.len()];
        let observation = health::Observation {
            attempt: self.attempts,
            job: self.attempts,
            kind: self.health.intern_kind(team, name),
            sent_ms: self.now_ms.saturating_sub(5),
            run_ms,
            expected_ms: 100,
            code,
        };
        let key = self.keys[runner];
        if self
            .health
            .record_end(self.now_ms, key, &observation, &self.policy)
        {
            self.health.eject(self.now_ms, key, RUNNERS, &self.policy);
        }
    }

    /// Completes one task of each kind on every runner, in the expected time.
    fn complete_on_all(&mut self) {
        for runner in 0..RUNNERS {
            for kind in 0..KINDS.len() {
                self.end_task(runner, kind, 100, codes::Code::Complete);
            }
        }
    }

    fn complete_on_others(&mut self, excluded: usize) {
        for runner in (0..RUNNERS).filter(|runner| *runner != excluded) {
            self.end_task(runner, 0, 100, codes::Code::Complete);
        }
    }

    fn fail_tasks(&mut self, runner: usize, kinds: &[usize], times: usize) {
        for at in 0..times {
            self.end_task(runner, kinds[at % kinds.len()], 1, codes::Code::TaskFailed);
        }
    }

    /// Reports tasks of an expected 100 ms, each of another job, as sent at `sent_ms` and
    /// still running after `run_ms`.
    fn report_running(&mut self, runners: &[usize], tasks: u64, sent_ms: u64, run_ms: u64) {
        self.now_ms = self.now_ms.max(sent_ms + run_ms);
        let kind = self.health.intern_kind(KINDS[0].0, KINDS[0].1);
        let observation = |job| health::Observation {
            attempt: job,
            job,
            kind,
            sent_ms,
            run_ms,
            expected_ms: 100,
            code: codes::Code::Pending,
        };
        let keys = runners.iter().map(|runner| self.keys[*runner]);
        let all =
            keys.flat_map(|key| (0..tasks).map(move |job| (key, observation(1_000_000 + job))));
        let all: Vec<_> = all.collect();
        let slow = self
            .health
            .check_running(self.now_ms, all.into_iter(), &self.policy);
        for key in slow {
            self.health.eject(self.now_ms, key, RUNNERS, &self.policy);
        }
    }

    fn trust(&self, runner: usize) -> health::Trust {
        let key = self.keys[runner];
        self.health.allowance(self.now_ms, key).trust
    }

    fn max_tasks(&self, runner: usize) -> Option<u32> {
        let key = self.keys[runner];
        self.health.allowance(self.now_ms, key).max_tasks
    }

    fn label(&self, runner: usize) -> Option<&'static str> {
        self.health.state(self.keys[runner]).label(self.now_ms)
    }
}

#[rstest]
#[case::two_kinds(&[0, 1], 5, Some("ejected"))]
#[case::two_teams(&[0, 2], 5, Some("ejected"))]
#[case::one_kind_only(&[0], 50, None)]
#[case::too_few(&[0, 1], 4, None)]
fn consecutive_failures_of_two_kinds_eject_a_runner(
    #[case] kinds: &[usize],
    #[case] times: usize,
    #[case] label: Option<&str>,
) {
    let mut site = site();
    site.complete_on_all();

    site.fail_tasks(3, kinds, times);

    assert_eq!(site.label(3), label);
}

/// A user submits a burst of jobs whose tasks all fail. They fail on every runner, so each
/// one shows many consecutive failures of several kinds. Ejecting runners for them would
/// take slots from all other users.
#[test]
fn kinds_that_fail_everywhere_eject_no_runner() {
    let mut site = site();
    site.complete_on_all();

    for round in 0..20 {
        for runner in 0..RUNNERS {
            site.end_task(runner, round % 2, 1, codes::Code::TaskFailed);
        }
    }

    assert_eq!(site.health.ejections(), 0);
}

/// A server starts to fail while it still runs earlier tasks, which succeed after the first
/// failures. If these successes reset the count of failures, the server would attract
/// tasks for seconds more.
#[test]
fn success_sent_before_the_failures_does_not_reset_them() {
    let mut site = site();
    site.complete_on_all();
    site.fail_tasks(3, &[0, 1], 4);
    let early = health::Observation {
        attempt: 0,
        job: 0,
        kind: site.health.intern_kind("escola", "check"),
        sent_ms: site.now_ms - 500,
        run_ms: 100,
        expected_ms: 100,
        code: codes::Code::Complete,
    };

    site.health
        .record_end(site.now_ms, site.keys[3], &early, &site.policy);
    site.fail_tasks(3, &[0], 1);

    assert_eq!(site.label(3), Some("ejected"));
}

#[test]
fn suspect_runner_is_limited_to_one_task() {
    let mut site = site();
    site.complete_on_all();

    site.fail_tasks(3, &[0], 1);

    let allowance = site.health.allowance(site.now_ms, site.keys[3]);
    let suspect = health::Allowance {
        is_suspect: true,
        trust: health::Trust::Full,
        max_tasks: Some(1),
    };
    assert_eq!(allowance, suspect);
}

#[rstest]
#[case::four_times(400, Some("ejected"))]
#[case::one_and_a_half_times(150, None)]
fn slow_runner_is_ejected(#[case] run_ms: u64, #[case] label: Option<&str>) {
    let mut site = site();
    for _ in 0..8 {
        site.complete_on_all();
    }

    for at in 0..20 {
        site.end_task(3, at, run_ms, codes::Code::Complete);
        site.complete_on_others(3);
    }

    assert_eq!(site.label(3), label);
}

/// A server turns slow, and every job with a task on it is late. Its tasks take seconds to
/// end, and until then it attracts as many as it has slots. Tasks that run longer than their
/// kind does must reveal it earlier.
#[rstest]
#[case::three_jobs(3, 400, Some("ejected"))]
#[case::two_jobs(2, 400, None)]
#[case::in_time(8, 90, None)]
fn overdue_running_tasks_eject_a_runner_before_they_end(
    #[case] tasks: u64,
    #[case] run_ms: u64,
    #[case] label: Option<&str>,
) {
    let mut site = site();
    for _ in 0..20 {
        site.complete_on_all();
    }

    site.report_running(&[3], tasks, site.now_ms, run_ms);

    assert_eq!(site.label(3), label);
}

/// A few tasks of a healthy server take long by chance. Tasks sent to it later end in time,
/// so the server is not the cause, and ejecting it would only cost its slots.
#[test]
fn stragglers_sent_before_tasks_that_end_in_time_eject_no_runner() {
    let mut site = site();
    for _ in 0..20 {
        site.complete_on_all();
    }

    let sent_ms = site.now_ms;
    for _ in 0..7 {
        site.end_task(3, 0, 100, codes::Code::Complete);
    }
    site.report_running(&[3], 8, sent_ms, 400);

    assert_eq!((site.label(3), site.trust(3)), (None, health::Trust::Full));
}

/// A user submits a burst of jobs whose tasks take far longer than their kind usually does.
/// They do so on every runner, so the cause is the tasks and not a server.
#[test]
fn tasks_overdue_on_all_runners_eject_no_runner() {
    let mut site = site();
    for _ in 0..20 {
        site.complete_on_all();
    }

    let all: Vec<_> = (0..RUNNERS).collect();
    site.report_running(&all, 8, site.now_ms, 400);

    assert_eq!(site.health.ejections(), 0);
}

/// A caller gives each job a kind of its own. The shortest tasks of a job end first;
/// compared with those alone all others look slow, and healthy runners would be ejected.
#[test]
fn kind_with_few_samples_ejects_no_runner() {
    let mut site = site();
    site.complete_on_all();

    site.report_running(&[3], 8, site.now_ms, 400);

    assert_eq!((site.label(3), site.trust(3)), (None, health::Trust::Full));
}

#[rstest]
#[case::one(1, health::Trust::SuspectedSlow)]
#[case::none(0, health::Trust::Full)]
fn one_overdue_task_makes_a_runner_suspected_slow(
    #[case] tasks: u64,
    #[case] trust: health::Trust,
) {
    let mut site = site();
    for _ in 0..20 {
        site.complete_on_all();
    }

    site.report_running(&[3], tasks, site.now_ms, 400);

    assert_eq!((site.trust(3), site.max_tasks(3)), (trust, None));
}

#[test]
fn first_probe_waits_one_second_for_a_task_with_time_to_spare() {
    let mut site = site();
    site.complete_on_all();
    site.fail_tasks(3, &[0, 1], 5);

    site.now_ms += u64::from(site.policy.eject_ms);
    let at_first = site.trust(3);
    site.now_ms += 1_000;

    let trust = [at_first, site.trust(3)];
    assert_eq!(trust, [health::Trust::FirstProbe, health::Trust::Full]);
}

#[test]
fn warning_ends_when_its_entry_withdraws_it_or_is_silent() {
    let mut warnings = health::warnings::Warnings::default();
    let (entry, runner) = ("entry-1".into(), ids::Incarnation(7));

    warnings.record_report(1_000, &entry, &[runner]);
    warnings.expire(1_000);
    let mut was_reported = vec![warnings.is_reported(runner)];
    warnings.expire(1_001);
    was_reported.push(warnings.is_reported(runner));
    warnings.record_report(2_000, &entry, &[runner]);
    warnings.record_report(2_500, &entry, &[]);
    was_reported.push(warnings.is_reported(runner));

    assert_eq!(was_reported, [true, false, false]);
}

#[test]
fn ejected_runner_is_probed_with_one_task_and_then_twice_as_many() {
    let mut site = site();
    site.complete_on_all();
    site.fail_tasks(3, &[0, 1], 5);
    let while_ejected = site.max_tasks(3);
    site.now_ms += u64::from(site.policy.eject_ms);

    let mut max_tasks = vec![while_ejected, site.max_tasks(3)];
    for _ in 0..3 {
        site.end_task(3, 0, 100, codes::Code::Complete);
        max_tasks.push(site.max_tasks(3));
    }

    assert_eq!(max_tasks, [Some(0), Some(1), Some(2), Some(4), None]);
}

#[test]
fn failed_probe_doubles_the_ejection_time() {
    let mut site = site();
    site.complete_on_all();
    site.fail_tasks(3, &[0, 1], 5);
    let eject_ms = u64::from(site.policy.eject_ms);
    site.now_ms += eject_ms;
    site.complete_on_others(3);

    site.fail_tasks(3, &[0], 1);

    site.now_ms += eject_ms;
    assert_eq!(site.label(3), Some("ejected"));
    site.now_ms += eject_ms;
    assert_eq!(site.label(3), Some("probing"));
}

#[rstest]
#[case::none(0, 0.3, 0)]
#[case::never_the_last(1, 0.9, 0)]
#[case::one_of_two(2, 0.3, 1)]
#[case::three_of_eleven(11, 0.3, 3)]
#[case::most_of_ten(10, 0.9, 9)]
fn ejection_limit_is_a_fraction_and_spares_the_last_runner(
    #[case] runners: usize,
    #[case] fraction: f64,
    #[case] expected: usize,
) {
    let limit = health::max_ejected(runners, fraction);

    assert_eq!(limit, expected);
}

#[test]
fn number_of_ejected_runners_never_exceeds_the_limit() {
    let mut runner = fixtures::fixed_runner(CASES);
    let step = (0..RUNNERS, 0..KINDS.len(), 0_u8..8);
    let input = (collection::vec(step, 0..400), 0.0..0.9_f64);

    let verdict = runner.run(&input, |(steps, fraction)| {
        let mut site = site();
        site.policy.eject_fraction = fraction;
        site.policy.eject_failures = 2;
        site.complete_on_all();
        for (server, kind, result) in steps {
            match result {
                0..5 => site.end_task(server, kind, 1, codes::Code::TaskFailed),
                5 => site.end_task(server, kind, 2_000, codes::Code::Complete),
                _ => site.end_task(server, kind, 100, codes::Code::Complete),
            }
            let ejected_runners = (0..RUNNERS)
                .filter(|index| site.max_tasks(*index) == Some(0))
                .count();
            assert!(ejected_runners <= health::max_ejected(RUNNERS, fraction));
            assert_eq!(ejected_runners, site.health.ejected(site.now_ms));
        }
        Ok(())
    });

    verdict.unwrap();
}

#[test]
fn eject_fraction_of_zero_disables_ejection() {
    let mut site = site();
    site.policy.eject_fraction = 0.0;
    site.complete_on_all();

    site.fail_tasks(3, &[0, 1], 50);

    assert_eq!((site.label(3), site.max_tasks(3)), (None, None));
}
