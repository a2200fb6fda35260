//! A client cancels its job, and a copy of the request that submitted it arrives seconds later at
//! another entry.

use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::world::{self, Log, Reply, World};

/// Bound of the rule: no task starts later than this after the acknowledgement (`cancel_ms`).
const CANCEL_MS: f64 = 3_000.0;
/// Time from the 2xx responses until the copy arrives, in milliseconds.
const COPY_AFTER_MS: u64 = 4_000;
/// Calm time before the first job; it is above `contact_ms`, so that all machines are in touch.
const CALM_MS: u64 = 4_000;
const WORK_MS: u64 = 2_000;
const JOBS: usize = 6;

pub fn play(has_trouble: bool) -> (Log, Verdict) {
    let world = World::start(3, 4);
    let log = world.log.clone();
    if !world.wait_until_serving() {
        return (log, Verdict::NotRun("the entries don't serve".to_owned()));
    }
    world::sleep_ms(CALM_MS);
    let cancelled: Vec<_> = thread::scope(|scope| {
        let world = &world;
        let jobs: Vec<_> = (0..JOBS)
            .map(|at| scope.spawn(move || play_job(world, at, has_trouble)))
            .collect();
        jobs.into_iter()
            .filter_map(|job| job.join().ok().flatten())
            .collect()
    });
    if cancelled.len() < JOBS {
        return (
            log,
            Verdict::NotRun("a job or its cancel was not answered with 2xx".to_owned()),
        );
    }
    let late = late_starts(&world, &cancelled);
    (log, if late == 0 { Verdict::Held } else { Verdict::Broken })
}

/// Submits a job and cancels it at the same entry; returns its id and when the cancel was acknowledged.
fn play_job(world: &World, at: usize, has_trouble: bool) -> Option<(String, f64)> {
    let entries: Vec<_> = world.entries.iter().map(|entry| entry.callers).collect();
    let (first, id) = (at % entries.len(), world.new_id());
    let body = world::job(2, WORK_MS, 1_600, "");
    let submit = |to| world::submit(&world.log, &entries, to, &id, &body, Duration::from_secs(8), 1);
    let is_ok = |reply: &Reply| matches!(reply, Reply::Status(200..=299, _));
    let acked_ms = thread::scope(|scope| {
        let client = scope.spawn(|| submit(first));
        world::sleep_ms(500);
        let reply = world::cancel(&world.log, entries[first], first, &id);
        let acked_ms = world.log.ms();
        let answers = client.join().ok()?;
        (is_ok(&reply) && answers.last().is_some_and(is_ok)).then_some(acked_ms)
    })?;
    world::sleep_ms(COPY_AFTER_MS);
    if has_trouble {
        world
            .log
            .add(format!("a copy of the request for job {id} arrives"));
        submit(first + 1);
    }
    Some((id, acked_ms))
}

/// Records the tasks that started too long after the cancel of their job was acknowledged.
pub fn late_starts(world: &World, cancelled: &[(String, f64)]) -> usize {
    let mut found = 0;
    for run in world.runs() {
        let job = cancelled.iter().find(|(id, _)| run.task.starts_with(id.as_str()));
        if let Some((_, acked_ms)) = job.filter(|(_, acked_ms)| run.began > acked_ms + CANCEL_MS) {
            found += 1;
            world.log.add(format!(
                "UNASKED {} run {} started at backend {} {:.1} ms after the cancel of its job was acknowledged, ended {:?}",
                run.task,
                run.run,
                run.backend,
                run.began - acked_ms,
                run.ended
            ));
        }
    }
    found
}
