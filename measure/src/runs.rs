//! Runs many patterns on a few threads.

use std::sync;
use std::sync::atomic;
use std::thread;

use crate::patterns;
use crate::sim;

/// Number of concurrent runs.
const THREADS: usize = 4;

/// One run of a pattern.
#[derive(Clone, Debug)]
pub struct Run {
    /// Pattern to run.
    pub pattern: patterns::Pattern,
    /// Deployment to simulate.
    pub site: sim::Site,
    /// Load relative to the slots, for patterns that take one.
    pub load: f64,
    /// Seed of the random draws.
    pub seed: u64,
}

/// Runs all patterns and returns their rows, in the order of the runs.
pub fn run_all(runs: &[Run]) -> Vec<Vec<patterns::Row>> {
    let next = atomic::AtomicUsize::new(0);
    let results = sync::Mutex::new(vec![Vec::new(); runs.len()]);
    let work = || {
        loop {
            let number = next.fetch_add(1, atomic::Ordering::Relaxed);
            let Some(run) = runs.get(number) else {
                return;
            };
            let rows = (run.pattern)(&run.site, run.load, run.seed);
            let mut results = results.lock().unwrap_or_else(sync::PoisonError::into_inner);
            results[number] = rows;
        }
    };
    thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(work);
        }
    });
    let results = results.into_inner();
    results.unwrap_or_else(sync::PoisonError::into_inner)
}
