//! An entry is cut off from all other machines of the system, and a job that is open there is
//! cancelled at another entry.

use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::late_copy;
use crate::world::{self, Log, Reply, World};

/// Time for which the entry is cut off, in milliseconds.
const CUT_MS: u64 = 5_000;
/// Time after the cut that the script waits, in milliseconds.
const AFTER_MS: u64 = 8_000;
/// Time from the end of the cut from which the entry is in touch again (`contact_ms`).
const CONTACT_MS: f64 = 3_000.0;
/// Work of a task of each step, in milliseconds.
const WORK_MS: u64 = 900;
const STEPS: usize = 12;
/// Time that the client waits for its job, in milliseconds.
const DEADLINE_MS: u64 = 13_000;

pub fn play(has_trouble: bool) -> (Log, Verdict) {
    let world = World::start(4, 4);
    let log = world.log.clone();
    if !world.wait_until_serving() {
        return (log, Verdict::NotRun("the entries don't serve".to_owned()));
    }
    world::sleep_ms(4_000);
    let entries: Vec<_> = world.entries.iter().map(|entry| entry.callers).collect();
    let id = world.new_id();
    let (client_log, client_id, client_entries) = (log.clone(), id.clone(), entries.clone());
    let client = thread::spawn(move || {
        let deadline = Duration::from_millis(DEADLINE_MS);
        world::submit(&client_log, &client_entries, 0, &client_id, &body(), deadline, 1)
    });
    world::sleep_ms(1_000);
    if has_trouble {
        log.add("entry 0 is cut off from all other processes");
        world.is_cut.store(true, Ordering::SeqCst);
    }
    world::sleep_ms(300);
    let reply = world::cancel(&log, entries[1], 1, &id);
    let acked_ms = log.ms();
    if !matches!(reply, Reply::Status(200..=299, _)) {
        return (
            log,
            Verdict::NotRun("the cancel was not acknowledged with 2xx".to_owned()),
        );
    }
    world::sleep_ms(CUT_MS - 300);
    world.is_cut.store(false, Ordering::SeqCst);
    let healed_ms = log.ms();
    log.add("entry 0 reaches all other processes");
    world::sleep_ms(AFTER_MS);
    late_copy::late_starts(&world, &[(id, acked_ms)]);
    let of_job = world.runs();
    let in_touch = of_job
        .iter()
        .filter(|run| run.began > acked_ms && run.began > healed_ms + CONTACT_MS)
        .count();
    log.add(format!(
        "{in_touch} tasks of the cancelled job started by an entry that was in touch again"
    ));
    drop(client.join());
    (
        log,
        if in_touch == 0 {
            Verdict::Held
        } else {
            Verdict::Broken
        },
    )
}

/// Body of a job whose steps follow one another.
fn body() -> String {
    let step = |at: usize| {
        let after = if at == 0 {
            String::new()
        } else {
            format!(",\"depends_on\":[{}]", at - 1)
        };
        format!("{{\"count\":2,\"cpu\":1600,\"mem_mb\":64,\"estimate_ms\":{WORK_MS}{after}}}")
    };
    let steps: Vec<_> = (0..STEPS).map(step).collect();
    format!(
        "{{\"spec\":\"{WORK_MS} 1600\",\"best_effort\":true,\"steps\":[{}]}}",
        steps.join(",")
    )
}
