//! The machine of a runner and its backend server is suspended for 4 s. 6 s later the backend server
//! is cut off: it refuses connections for 3 s and runs on.

use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::world::{self, Log, World};

/// Time for which the machine is suspended, in milliseconds.
const SUSPENDED_MS: u64 = 4_000;
/// Time from then until the first cut, in milliseconds: the machine is in touch again.
const CALM_MS: u64 = 6_000;
/// Time for which the backend server is cut off, in milliseconds.
const CUT_MS: u64 = 3_000;
/// Work of a task, in milliseconds.
const WORK_MS: u64 = 3_000;
/// Runners; one of them is hit, which is a share of 0.167.
const RUNNERS: usize = 6;
const JOBS: usize = 24;

pub fn play(has_trouble: bool) -> (Log, Verdict) {
    let suspends = has_trouble && std::env::var("SUSPEND").map_or(true, |value| value != "0");
    let world = World::start(2, RUNNERS);
    let log = world.log.clone();
    if !world.wait_until_serving() {
        return (log, Verdict::NotRun("the entries don't serve".to_owned()));
    }
    let hit = &world.backends[0];
    if suspends {
        // The processes of the machine stand still, and so does the steady clock of its backend server.
        world.runners[0].signal(world::SIGSTOP);
        hit.backend.suspend(true);
        world::sleep_ms(SUSPENDED_MS);
        hit.backend.suspend(false);
        world.runners[0].signal(world::SIGCONT);
    }
    world::sleep_ms(CALM_MS);
    let played_ms = log.ms();
    let jobs: Vec<_> = (0..JOBS).map(|at| start_job(&world, at)).collect();
    world::sleep_ms(800);
    if has_trouble {
        log.add("backend 0 is cut off: it refuses connections and runs on");
        lock_beats(&world, false);
        hit.port.refuse(true);
        world::sleep_ms(CUT_MS);
        hit.port.refuse(false);
        lock_beats(&world, true);
        log.add("backend 0 accepts connections");
    }
    for job in jobs {
        drop(job.join());
    }
    world::sleep_ms(500);
    let on_hit = world
        .runs()
        .iter()
        .filter(|run| run.backend == 0 && run.began > played_ms)
        .count();
    if on_hit == 0 {
        return (log, Verdict::NotRun("no task ran at backend 0".to_owned()));
    }
    let overlaps = world.overlaps();
    world.record_overlaps(&overlaps);
    let verdict = if overlaps.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    };
    (log, verdict)
}

fn lock_beats(world: &World, beats: bool) {
    world::lock(&world.backends[0].backend.state).beats = beats;
}

fn start_job(world: &World, at: usize) -> thread::JoinHandle<Vec<world::Reply>> {
    let entries: Vec<_> = world.entries.iter().map(|entry| entry.callers).collect();
    let (log, id) = (world.log.clone(), world.new_id());
    thread::spawn(move || {
        let body = world::job(2, WORK_MS, 1_600, "");
        world::submit(&log, &entries, at % 2, &id, &body, Duration::from_secs(10), 2)
    })
}
