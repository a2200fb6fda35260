//! Who is found a bad backend server, and who is not.

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

/// Eleven runners and what one entry thinks of them.
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
    /// A task of a kind ended on a runner after so long, `code` telling how.
    fn end(&mut self, runner: usize, kind: usize, run_ms: u64, code: codes::Code) {
        self.attempts += 1;
        self.now_ms += 10;
        let (team, name) = KINDS[kind % KINDS.len()];
        let end = health::Observation {
            attempt: self.attempts,
            job: self.attempts,
            kind: self.health.intern_kind(team, name),
            sent_ms: self.now_ms.saturating_sub(5),
            run_ms,
            expected_ms: 100,
            code,
        };
        let key = self.keys[runner];
        if self.health.record_end(self.now_ms, key, &end, &self.policy) {
            self.health.eject(self.now_ms, key, RUNNERS, &self.policy);
        }
    }

    /// Every runner does a few tasks of each kind well.
    fn all_well(&mut self) {
        for runner in 0..RUNNERS {
            for kind in 0..KINDS.len() {
                self.end(runner, kind, 100, codes::Code::Complete);
            }
        }
    }

    fn all_well_but(&mut self, but: usize) {
        for runner in (0..RUNNERS).filter(|runner| *runner != but) {
            self.end(runner, 0, 100, codes::Code::Complete);
        }
    }

    fn fails(&mut self, runner: usize, kinds: &[usize], times: usize) {
        for at in 0..times {
            self.end(runner, kinds[at % kinds.len()], 1, codes::Code::TaskFailed);
        }
    }

    /// Tasks of as many jobs, of a kind that takes 100 ms, were sent then and are found
    /// running for so long.
    fn runs(&mut self, runners: &[usize], tasks: u64, sent_ms: u64, run_ms: u64) {
        self.now_ms = self.now_ms.max(sent_ms + run_ms);
        let kind = self.health.intern_kind(KINDS[0].0, KINDS[0].1);
        let end = |job| health::Observation {
            attempt: job,
            job,
            kind,
            sent_ms,
            run_ms,
            expected_ms: 100,
            code: codes::Code::Pending,
        };
        let keys = runners.iter().map(|runner| self.keys[*runner]);
        let all = keys.flat_map(|key| (0..tasks).map(move |job| (key, end(1_000_000 + job))));
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

    fn most(&self, runner: usize) -> Option<u32> {
        let key = self.keys[runner];
        self.health.allowance(self.now_ms, key).max_tasks
    }

    fn word(&self, runner: usize) -> Option<&'static str> {
        self.health.state(self.keys[runner]).label(self.now_ms)
    }
}

#[rstest]
#[case::two_kinds(&[0, 1], 5, Some("ejected"))]
#[case::two_teams(&[0, 2], 5, Some("ejected"))]
#[case::one_kind_only(&[0], 50, None)]
#[case::too_few(&[0, 1], 4, None)]
fn failures_in_a_row_of_two_kinds_eject(
    #[case] kinds: &[usize],
    #[case] times: usize,
    #[case] word: Option<&str>,
) {
    let mut site = site();
    site.all_well();

    site.fails(3, kinds, times);

    assert_eq!(site.word(3), word);
}

/// A user sends a burst of jobs whose tasks all fail. They fail wherever they run,
/// so every runner shows many failures in a row, of several kinds; the cause is the
/// tasks. Taking runners out for them would take the slots from everybody else.
#[test]
fn kinds_that_fail_everywhere_eject_nobody() {
    let mut site = site();
    site.all_well();

    for round in 0..20 {
        for runner in 0..RUNNERS {
            site.end(runner, round % 2, 1, codes::Code::TaskFailed);
        }
    }

    assert_eq!(site.health.ejections(), 0);
}

/// A server turns bad while it still runs tasks begun before; they end well after the
/// first failures. Without looking at when a task was sent each of them would start
/// the count of failures over, and the server would draw work for seconds more.
#[test]
fn a_success_sent_before_the_failures_does_not_excuse_them() {
    let mut site = site();
    site.all_well();
    site.fails(3, &[0, 1], 4);
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
    site.fails(3, &[0], 1);

    assert_eq!(site.word(3), Some("ejected"));
}

#[test]
fn a_suspect_is_sent_one_task_at_a_time() {
    let mut site = site();
    site.all_well();

    site.fails(3, &[0], 1);

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
#[case::half_more(150, None)]
fn a_slow_server_is_ejected(#[case] run_ms: u64, #[case] word: Option<&str>) {
    let mut site = site();
    for _ in 0..8 {
        site.all_well();
    }

    for at in 0..20 {
        site.end(3, at, run_ms, codes::Code::Complete);
        site.all_well_but(3);
    }

    assert_eq!(site.word(3), word);
}

/// A server turns slow; callers see every job with a task on it late. Its tasks take
/// seconds to end, and until then it draws as many as it has slots. Tasks that are still
/// running beyond what their kind takes show it before.
#[rstest]
#[case::three_jobs(3, 400, Some("ejected"))]
#[case::two_jobs(2, 400, None)]
#[case::in_time(8, 90, None)]
fn tasks_that_run_on_eject_before_they_end(
    #[case] tasks: u64,
    #[case] run_ms: u64,
    #[case] word: Option<&str>,
) {
    let mut site = site();
    for _ in 0..20 {
        site.all_well();
    }

    site.runs(&[3], tasks, site.now_ms, run_ms);

    assert_eq!(site.word(3), word);
}

/// A few tasks of a healthy server run on by chance. What it was sent later ends well, so
/// it is not the server; ejected, its slots would be missing to everybody.
#[test]
fn stragglers_before_tasks_that_ended_well_eject_nobody() {
    let mut site = site();
    for _ in 0..20 {
        site.all_well();
    }

    let sent_ms = site.now_ms;
    for _ in 0..7 {
        site.end(3, 0, 100, codes::Code::Complete);
    }
    site.runs(&[3], 8, sent_ms, 400);

    assert_eq!((site.word(3), site.trust(3)), (None, health::Trust::Full));
}

/// A user sends a burst of jobs whose tasks take far longer than such tasks do. They run
/// on wherever they are, so the cause is the tasks and not a server.
#[test]
fn tasks_that_run_on_everywhere_eject_nobody() {
    let mut site = site();
    for _ in 0..20 {
        site.all_well();
    }

    let all: Vec<_> = (0..RUNNERS).collect();
    site.runs(&all, 8, site.now_ms, 400);

    assert_eq!(site.health.ejections(), 0);
}

/// A caller gives each job a kind of its own. The shortest tasks of a job end first, and
/// beside these all others look late; runners were ejected for it without any fault.
#[test]
fn a_kind_of_which_little_ended_ejects_nobody() {
    let mut site = site();
    site.all_well();

    site.runs(&[3], 8, site.now_ms, 400);

    assert_eq!((site.word(3), site.trust(3)), (None, health::Trust::Full));
}

#[rstest]
#[case::one(1, health::Trust::SuspectedSlow)]
#[case::none(0, health::Trust::Full)]
fn a_task_that_runs_on_has_others_preferred(#[case] tasks: u64, #[case] trust: health::Trust) {
    let mut site = site();
    for _ in 0..20 {
        site.all_well();
    }

    site.runs(&[3], tasks, site.now_ms, 400);

    assert_eq!((site.trust(3), site.most(3)), (trust, None));
}

#[test]
fn the_first_probe_waits_a_while_for_a_task_with_time_to_spare() {
    let mut site = site();
    site.all_well();
    site.fails(3, &[0, 1], 5);

    site.now_ms += u64::from(site.policy.eject_ms);
    let first = site.trust(3);
    site.now_ms += 1_000;

    let trust = [first, site.trust(3)];
    assert_eq!(trust, [health::Trust::FirstProbe, health::Trust::Full]);
}

#[test]
fn a_warning_holds_until_it_is_taken_back_or_its_entry_is_silent() {
    let mut warnings = health::warnings::Warnings::default();
    let (entry, runner) = ("entry-1".into(), ids::Incarnation(7));

    warnings.record_report(1_000, &entry, &[runner]);
    warnings.expire(1_000);
    let mut is_named = vec![warnings.is_reported(runner)];
    warnings.expire(1_001);
    is_named.push(warnings.is_reported(runner));
    warnings.record_report(2_000, &entry, &[runner]);
    warnings.record_report(2_500, &entry, &[]);
    is_named.push(warnings.is_reported(runner));

    assert_eq!(is_named, [true, false, false]);
}

#[test]
fn an_ejected_server_is_probed_with_one_task_and_then_more() {
    let mut site = site();
    site.all_well();
    site.fails(3, &[0, 1], 5);
    let out = site.most(3);
    site.now_ms += u64::from(site.policy.eject_ms);

    let mut most = vec![out, site.most(3)];
    for _ in 0..3 {
        site.end(3, 0, 100, codes::Code::Complete);
        most.push(site.most(3));
    }

    assert_eq!(most, [Some(0), Some(1), Some(2), Some(4), None]);
}

#[test]
fn a_failed_probe_doubles_the_time_out() {
    let mut site = site();
    site.all_well();
    site.fails(3, &[0, 1], 5);
    let eject_ms = u64::from(site.policy.eject_ms);
    site.now_ms += eject_ms;
    site.all_well_but(3);

    site.fails(3, &[0], 1);

    site.now_ms += eject_ms;
    assert_eq!(site.word(3), Some("ejected"));
    site.now_ms += eject_ms;
    assert_eq!(site.word(3), Some("probing"));
}

#[rstest]
#[case::none(0, 0.3, 0)]
#[case::never_the_last(1, 0.9, 0)]
#[case::one_of_two(2, 0.3, 1)]
#[case::a_third_of_eleven(11, 0.3, 3)]
#[case::most_of_ten(10, 0.9, 9)]
fn the_floor_is_a_part_and_never_the_last(
    #[case] runners: usize,
    #[case] fraction: f64,
    #[case] most: usize,
) {
    let out = health::max_ejected(runners, fraction);

    assert_eq!(out, most);
}

#[test]
fn never_more_are_out_than_the_floor_allows() {
    let mut runner = fixtures::fixed_runner(CASES);
    let step = (0..RUNNERS, 0..KINDS.len(), 0_u8..8);
    let input = (collection::vec(step, 0..400), 0.0..0.9_f64);

    let verdict = runner.run(&input, |(steps, fraction)| {
        let mut site = site();
        site.policy.eject_fraction = fraction;
        site.policy.eject_failures = 2;
        site.all_well();
        for (server, kind, what) in steps {
            match what {
                0..5 => site.end(server, kind, 1, codes::Code::TaskFailed),
                5 => site.end(server, kind, 2_000, codes::Code::Complete),
                _ => site.end(server, kind, 100, codes::Code::Complete),
            }
            let out = (0..RUNNERS)
                .filter(|one| site.most(*one) == Some(0))
                .count();
            assert!(out <= health::max_ejected(RUNNERS, fraction));
            assert_eq!(out, site.health.ejected(site.now_ms));
        }
        Ok(())
    });

    verdict.unwrap();
}

#[test]
fn a_fraction_of_nothing_switches_it_off() {
    let mut site = site();
    site.policy.eject_fraction = 0.0;
    site.all_well();

    site.fails(3, &[0, 1], 50);

    assert_eq!((site.word(3), site.most(3)), (None, None));
}
