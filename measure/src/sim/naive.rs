//! Naive dispatcher for comparison: random runner, first come first served, unbounded
//! queues, no knowledge of load or faults.

use std::cmp;
use std::collections;

use rand::Rng as _;
use rand::SeedableRng as _;

use bulrushtiller::api;
use bulrushtiller::codes;

use crate::sim;
use crate::workload;

type TaskEnd = cmp::Reverse<(u64, u64, usize, usize, u32)>;

/// Runs a workload to its end. Ignores zones, and waits forever for a task on a
/// suspended or stuck server.
pub fn run(
    site: &sim::Site,
    jobs: &[workload::Job],
    faults: &[sim::Fault],
    seed: u64,
) -> sim::Outcome {
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
    let mut free_at: Vec<Vec<u64>> = vec![vec![0; site.slots as usize]; site.runners];
    let mut ends: collections::BinaryHeap<TaskEnd> = collections::BinaryHeap::new();
    let never = |runner, at_us| never_ends(faults, runner, at_us);
    let mut outcome = sim::Outcome::default();
    for (index, job) in jobs.iter().enumerate() {
        let entry = rng.random_range(0..site.entries);
        let mut last_us = 0;
        let mut is_failed = false;
        let mut is_lost = false;
        for run_ms in &job.run_ms {
            let runner = rng.random_range(0..site.runners);
            let one_way_us = site.latency_us(entry, runner);
            let arrival_us = job.at_us + site.to_caller_us + one_way_us;
            let Some(slot) = free_at[runner].iter_mut().min() else {
                continue;
            };
            let start_us = (*slot).max(arrival_us);
            if never(runner, start_us) {
                is_lost = true;
                continue;
            }
            let (real_us, fails) = service(faults, runner, start_us, *run_ms);
            *slot = start_us + real_us;
            is_failed |= fails;
            last_us = last_us.max(*slot + one_way_us);
            outcome.started += 1;
            if !fails {
                ends.push(cmp::Reverse((*slot, 0, index, runner, *run_ms)));
            }
        }
        if is_lost {
            continue;
        }
        let task_outcome = if is_failed {
            api::TaskOutcome::Failed
        } else {
            api::TaskOutcome::Ran
        };
        let code = if is_failed {
            codes::Code::TaskFailed
        } else {
            codes::Code::Complete
        };
        outcome.received.push(sim::Received {
            job: index,
            at_us: last_us + site.to_caller_us,
            sent_us: job.at_us,
            code,
            outcomes: vec![task_outcome; job.run_ms.len()],
            retry_after_ms: None,
        });
    }
    while let Some(cmp::Reverse((at_us, _, job, runner, run_ms))) = ends.pop() {
        outcome.work.push(sim::Work {
            job,
            runner,
            at_us,
            run_ms,
        });
    }
    outcome
}

/// Whether the runner no longer completes tasks, so that their jobs are never answered.
fn never_ends(faults: &[sim::Fault], runner: usize, at_us: u64) -> bool {
    let mut active = faults.iter().filter(|fault| fault.at_ms() * 1_000 <= at_us);
    active.any(|fault| {
        matches!(fault, sim::Fault::Suspended { runner: faulty, .. }
            | sim::Fault::Stuck { runner: faulty, .. } if *faulty == runner)
    })
}

fn service(faults: &[sim::Fault], runner: usize, at_us: u64, run_ms: u32) -> (u64, bool) {
    let mut real_us = u64::from(run_ms) * 1_000;
    let mut is_failed = false;
    for fault in faults.iter().filter(|fault| fault.at_ms() * 1_000 <= at_us) {
        match fault {
            sim::Fault::Slow {
                runner: slow,
                factor,
                ..
            } if *slow == runner => {
                real_us = sim::world::micros(f64::from(run_ms) * factor);
            }
            sim::Fault::FailsAll {
                runner: failing, ..
            } if *failing == runner => {
                real_us = 1_000;
                is_failed = true;
            }
            sim::Fault::Recovered {
                runner: recovered, ..
            } if *recovered == runner => {
                real_us = u64::from(run_ms) * 1_000;
                is_failed = false;
            }
            _ => {}
        }
    }
    (real_us, is_failed)
}
