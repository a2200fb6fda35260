//! Index of due submissions, compared with a scan of all submissions.

use std::collections;

use bulrushtiller::api;
use bulrushtiller::codes;
use bulrushtiller::ids;
use bulrushtiller::jobs;
use proptest::collection;
use proptest::prelude::Strategy;
use proptest::prop_assert_eq;
use proptest::prop_oneof;
use proptest::test_runner;
use smol_str::SmolStr;

use crate::fixed_seed;

const SETTLE_MS: u64 = 200;
const KINDS: [&str; 3] = ["fit", "trace", "copy"];

/// Index of a task's kind in [`KINDS`], and its declared run time in milliseconds.
type Task = (usize, u32);

#[derive(Clone, Debug, PartialEq)]
enum Step {
    Insert { deadline_ms: u64, tasks: Vec<Task> },
    GiveUp(usize),
    Decide(usize, u32, api::TaskOutcome),
    Settle(usize),
    Learn([Option<u64>; 3], u64),
    Wait(u64),
}

fn any_step() -> impl Strategy<Value = Step> {
    let task_outcome = proptest::sample::select(vec![
        api::TaskOutcome::Ran,
        api::TaskOutcome::Ran,
        api::TaskOutcome::Failed,
    ]);
    let tasks = collection::vec((0_usize..3, 0_u32..400), 1..4);
    let learned = proptest::array::uniform3(proptest::option::of(0_u64..900));
    prop_oneof![
        4 => (1_u64..1_500, tasks).prop_map(|(deadline_ms, tasks)| Step::Insert {
            deadline_ms,
            tasks
        }),
        1 => (0_usize..40).prop_map(Step::GiveUp),
        6 => (0_usize..40, 0_u32..4, task_outcome).prop_map(|(at, index, task_outcome)| {
            Step::Decide(at, index, task_outcome)
        }),
        2 => (0_usize..40).prop_map(Step::Settle),
        1 => (learned, 0_u64..4).prop_map(|(means, ratio)| Step::Learn(means, ratio)),
        3 => (0_u64..300).prop_map(Step::Wait),
    ]
}

/// Learned run times: the mean of a kind, or the scaled declared run time.
#[derive(Clone, Copy, Debug, Default)]
struct Learned {
    means: [Option<u64>; 3],
    ratio: u64,
}

impl Learned {
    fn run_ms(&self, kind: &str, declared_ms: u64) -> Option<u64> {
        let at = KINDS.iter().position(|known| *known == kind)?;
        let mean = self.means[at]?;
        let is_scaled = declared_ms > 0 && self.ratio > 0;
        Some(if is_scaled {
            declared_ms * self.ratio
        } else {
            mean
        })
    }
}

struct Tester {
    table: jobs::Table,
    keys: Vec<jobs::Key>,
    learned: Learned,
    now_ms: u64,
}

impl Tester {
    fn new() -> Self {
        Self {
            table: jobs::Table::new(0),
            keys: Vec::new(),
            learned: Learned::default(),
            now_ms: 0,
        }
    }

    fn step(&mut self, step: &Step) {
        let at = |at: &usize| self.keys.get(*at).copied().unwrap_or_default();
        match step {
            Step::Insert { deadline_ms, tasks } => self.insert(self.now_ms + deadline_ms, tasks),
            Step::GiveUp(which) => {
                let code = codes::Code::CancelledNotRun;
                self.table.give_up(self.now_ms, at(which), code);
            }
            Step::Decide(which, index, task_outcome) => {
                let task = jobs::TaskKey {
                    submission: at(which),
                    index: *index,
                };
                self.table.decide(self.now_ms, task, decided(*task_outcome));
            }
            Step::Settle(which) => drop(self.table.settle(at(which), self.now_ms)),
            Step::Learn(means, ratio) => {
                self.learned = Learned {
                    means: *means,
                    ratio: *ratio,
                };
            }
            Step::Wait(ms) => self.now_ms += ms,
        }
    }

    fn insert(&mut self, deadline_ms: u64, tasks: &[Task]) {
        let header = jobs::Header {
            id: ids::SubmissionId::Own(smol_str::format_smolstr!("{}", self.keys.len())),
            team: "escola".into(),
            fingerprint: 1,
            arrived_ms: self.now_ms,
            deadline_ms,
            is_idempotent: false,
        };
        let task = |(kind, run_ms): &Task| api::Task {
            kind: SmolStr::new_static(KINDS[*kind]),
            run_ms: *run_ms,
            ..api::Task::default()
        };
        let tasks = tasks.iter().map(task).collect();
        let key = self.table.insert(jobs::Open::new(header, tasks));
        self.keys.push(key);
    }

    /// Scans all open submissions and returns the keys of those that match.
    fn scan(&self, is_due: impl Fn(&jobs::Open) -> bool) -> collections::BTreeSet<jobs::Key> {
        let keys = self.table.open_keys().into_iter();
        let is_due = |key: &jobs::Key| self.table.open_at(*key).is_some_and(&is_due);
        keys.filter(is_due).collect()
    }

    /// Whether the remaining time is below half of the longest learned run time of its tasks.
    fn is_near(&self, open: &jobs::Open) -> bool {
        let learned = |task: &api::Task| self.learned.run_ms(&task.kind, task.run_ms.into());
        let longest = open.tasks.iter().filter_map(learned).max();
        let left_ms = open.header.deadline_ms.saturating_sub(self.now_ms);
        open.give_up_reason().is_none() && longest.is_some_and(|longest| left_ms < longest / 2)
    }

    fn expected_overdue(&self) -> collections::BTreeSet<jobs::Key> {
        self.scan(|open| open.give_up_reason().is_none() && open.header.deadline_ms <= self.now_ms)
    }

    fn expected_unsettled(&self) -> collections::BTreeSet<jobs::Key> {
        let is_due = |reason: jobs::GiveUpReason| reason.at_ms + SETTLE_MS <= self.now_ms;
        self.scan(|open| open.give_up_reason().is_some_and(is_due))
    }

    fn unsettled(&self) -> collections::BTreeSet<jobs::Key> {
        let last_ms = self.now_ms.checked_sub(SETTLE_MS);
        let due = last_ms.map(|last_ms| self.table.due().given_up_by(last_ms));
        due.unwrap_or_default().into_iter().collect()
    }

    /// Returns the result of [`jobs::due::DueIndex::near_deadline`], filtered as an entry does.
    fn near_deadline(&self) -> collections::BTreeSet<jobs::Key> {
        let learned_ms =
            |_: &SmolStr, kind: &SmolStr, declared_ms| self.learned.run_ms(kind, declared_ms);
        let found = self
            .table
            .due()
            .near_deadline(self.now_ms, learned_ms)
            .into_iter();
        let is_near = |key: &jobs::Key| {
            let open = self.table.open_at(*key);
            open.is_some_and(|open| self.is_near(open))
        };
        found.filter(is_near).collect()
    }
}

fn decided(task_outcome: api::TaskOutcome) -> jobs::Decided {
    jobs::Decided {
        task_outcome,
        ..jobs::Decided::not_run(codes::Code::TaskFailed)
    }
}

// A submission that the index misses gets no answer at its deadline. Here submissions are
// added, given up, settled and left waiting while the learned run times change.
#[test]
fn due_submissions_equal_a_scan_of_all_submissions() {
    let steps = collection::vec(any_step(), 1..120);
    let mut runner = test_runner::TestRunner::new(fixed_seed::cases(400));

    let result = runner.run(&steps, |steps| {
        let mut tester = Tester::new();
        for step in &steps {
            tester.step(step);
            let overdue: collections::BTreeSet<_> = tester
                .table
                .due()
                .overdue(tester.now_ms)
                .into_iter()
                .collect();
            let near = tester.scan(|open| tester.is_near(open));
            prop_assert_eq!(&overdue, &tester.expected_overdue());
            prop_assert_eq!(tester.unsettled(), tester.expected_unsettled());
            prop_assert_eq!(tester.near_deadline(), near);
        }
        Ok(())
    });

    assert_eq!(result, Ok(()));
}
