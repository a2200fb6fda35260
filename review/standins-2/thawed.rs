//! An entry stands still for a while, and some of its callers' connections are reset meanwhile. The
//! callers come back at other entries.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::world::{self, Log, World};

/// Time for which the entry stands still, in milliseconds.
const FROZEN_MS: u64 = 1_800;
/// Time from the beginning of the freeze until the connections are reset, in milliseconds.
const RESET_AFTER_MS: u64 = 100;
/// Jobs in progress at the entry.
const JOBS: usize = 24;
/// Connections of other callers of the entry, which are idle.
const IDLE: usize = 180;
/// Share of the connections that is reset.
const RESET_SHARE: f64 = 0.55;
const WORK_MS: u64 = 2_500;
const ROUNDS: usize = 5;

struct OpenJob {
    id: String,
    body: String,
    stream: TcpStream,
}

pub fn play(has_trouble: bool) -> (Log, Verdict) {
    let world = World::start(3, 6);
    let log = world.log.clone();
    if !world.wait_until_serving() {
        return (log, Verdict::NotRun("the entries don't serve".to_owned()));
    }
    world::sleep_ms(500);
    for round in 0..ROUNDS {
        log.add(format!("round {round}"));
        if let Err(e) = play_round(&world, has_trouble) {
            return (log, Verdict::NotRun(e.to_string()));
        }
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

fn play_round(world: &World, has_trouble: bool) -> std::io::Result<()> {
    let log = &world.log;
    let entries: Vec<_> = world.entries.iter().map(|entry| entry.callers).collect();
    let idle = (0..IDLE)
        .map(|_| idle_connection(entries[0]))
        .collect::<Result<Vec<_>, _>>()?;
    let jobs = (0..JOBS)
        .map(|_| submit(world, entries[0]))
        .collect::<Result<Vec<_>, _>>()?;
    world::sleep_ms(200);
    let has = |part: &str| has_trouble && std::env::var(part).map_or(true, |value| value != "0");
    let (freezes, resets) = (has("FREEZE"), has("RESET"));
    if freezes {
        world.entries[0].process.signal(world::SIGSTOP);
    }
    world::sleep_ms(RESET_AFTER_MS);
    let share = |count: usize| {
        if resets {
            (count as f64 * RESET_SHARE) as usize
        } else {
            0
        }
    };
    log.add(format!(
        "{} idle connections and {} with a job are reset",
        share(IDLE),
        share(JOBS)
    ));
    let mut idle = idle;
    idle.drain(..share(IDLE)).for_each(world::reset);
    let mut kept = jobs;
    let broken = kept.drain(..share(JOBS)).collect::<Vec<_>>();
    let returning: Vec<_> = broken
        .into_iter()
        .enumerate()
        .map(|(at, job)| {
            world::reset(job.stream);
            let (log, entries) = (log.clone(), entries.clone());
            thread::spawn(move || {
                thread::sleep(world::RESEND);
                world::submit(
                    &log,
                    &entries,
                    1 + at % 2,
                    &job.id,
                    &job.body,
                    Duration::from_secs(8),
                    1,
                )
            })
        })
        .collect();
    world::sleep_ms(FROZEN_MS - RESET_AFTER_MS);
    if freezes {
        world.entries[0].process.signal(world::SIGCONT);
    }
    for thread in returning {
        drop(thread.join());
    }
    for mut job in kept {
        job.stream.set_read_timeout(Some(Duration::from_secs(8)))?;
        let mut buf = [0; 256];
        let length = job.stream.read(&mut buf).unwrap_or(0);
        let line = String::from_utf8_lossy(&buf[..length.min(12)]).into_owned();
        log.add(format!("answer  job {} from entry 0: {line}", job.id));
    }
    world::sleep_ms(500);
    Ok(())
}

/// Opens a connection, and leaves it open after a response.
fn idle_connection(to: SocketAddr) -> std::io::Result<TcpStream> {
    let mut stream = TcpStream::connect(to)?;
    let request = format!("GET {} HTTP/1.1\r\nHost: school.example\r\n\r\n", world::PREFIX);
    stream.write_all(request.as_bytes())?;
    stream.read(&mut [0; 1_024])?;
    Ok(stream)
}

fn submit(world: &World, to: SocketAddr) -> std::io::Result<OpenJob> {
    let (id, body) = (world.new_id(), world::job(1, WORK_MS, 1_600, ""));
    world.log.add(format!("submit  job {id} at entry 0"));
    let mut stream = TcpStream::connect(to)?;
    let head = format!(
        "POST {}{id} HTTP/1.1\r\nHost: school.example\r\nContent-Type: application/json\r\nDeadline-Ms: 8000\r\nContent-Length: {}\r\n\r\n",
        world::PREFIX,
        body.len()
    );
    stream.write_all((head + &body).as_bytes())?;
    Ok(OpenJob { id, body, stream })
}
