//! A backend server fails most of its requests, while callers leave at their deadlines and come back.

use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::world::{self, Log, World};

/// Runners; one of them is hit, which is a share of 0.125.
const RUNNERS: usize = 8;
/// Share of the requests that fail.
const BUSY_SHARE: f64 = 0.95;
/// Time for which they fail, in milliseconds.
const BUSY_MS: u64 = 5_000;
/// Work of a task, and time that its caller waits, in milliseconds.
const WORK_MS: u64 = 3_600;
const DEADLINE_MS: u64 = 1_500;
const JOBS: usize = 20;
const ROUNDS: usize = 5;

pub fn play(has_trouble: bool) -> (Log, Verdict) {
    let world = World::start(2, RUNNERS);
    let log = world.log.clone();
    if !world.wait_until_serving() {
        return (log, Verdict::NotRun("the entries don't serve".to_owned()));
    }
    world::sleep_ms(500);
    for _ in 0..ROUNDS {
        let jobs: Vec<_> = (0..JOBS).map(|at| start_job(&world, at)).collect();
        world::sleep_ms(300);
        // The runner that has most tasks.
        let running = |index: usize| {
            world.backends[index]
                .backend
                .runs()
                .iter()
                .filter(|run| run.ended.is_none())
                .count()
        };
        let hit = (0..RUNNERS).max_by_key(|index| running(*index)).unwrap_or(0);
        if has_trouble {
            log.add(format!(
                "backend {hit} fails {BUSY_SHARE} of its requests; it has {} runs",
                running(hit)
            ));
            world::lock(&world.backends[hit].backend.state).busy_share = BUSY_SHARE;
        }
        world::sleep_ms(BUSY_MS);
        world::lock(&world.backends[hit].backend.state).busy_share = 0.0;
        for job in jobs {
            drop(job.join());
        }
        world::sleep_ms(1_000);
    }
    let overlaps = world.overlaps();
    world.record_overlaps(&overlaps);
    (
        log,
        if overlaps.is_empty() {
            Verdict::Held
        } else {
            Verdict::Broken
        },
    )
}

fn start_job(world: &World, at: usize) -> thread::JoinHandle<Vec<world::Reply>> {
    let entries: Vec<_> = world.entries.iter().map(|entry| entry.callers).collect();
    let (log, id) = (world.log.clone(), world.new_id());
    thread::spawn(move || {
        let body = world::job(1, WORK_MS, 1_600, "");
        world::submit(
            &log,
            &entries,
            at % 2,
            &id,
            &body,
            Duration::from_millis(DEADLINE_MS),
            3,
        )
    })
}
