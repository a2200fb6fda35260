//! Runs many patterns, a few at a time.

use std::sync;
use std::sync::atomic;
use std::thread;

use crate::patterns;
use crate::sim;

/// Runs at one time.
const THREADS: usize = 4;

/// One run of a pattern.
#[derive(Clone, Debug)]
pub struct Run {
    /// Which.
    pub pattern: patterns::Pattern,
    /// At which deployment.
    pub site: sim::Site,
    /// Load as a part of the slots, for the patterns that take one.
    pub load: f64,
    /// Seed of its draws.
    pub seed: u64,
}

/// The rows of each run, in the order of the runs.
pub fn all(runs: &[Run]) -> Vec<Vec<patterns::Row>> {
    let next = atomic::AtomicUsize::new(0);
    let done = sync::Mutex::new(vec![Vec::new(); runs.len()]);
    let work = || {
        loop {
            let number = next.fetch_add(1, atomic::Ordering::Relaxed);
            let Some(run) = runs.get(number) else {
                return;
            };
            let rows = (run.pattern)(&run.site, run.load, run.seed);
            let mut done = done.lock().unwrap_or_else(sync::PoisonError::into_inner);
            done[number] = rows;
        }
    };
    thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(work);
        }
    });
    let done = done.into_inner();
    done.unwrap_or_else(sync::PoisonError::into_inner)
}
