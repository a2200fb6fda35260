//! Runs the patterns of many tables, a few at a time.

use std::sync;
use std::sync::atomic;
use std::thread;

use crate::pages;
use crate::patterns;

/// Runs at one time.
const THREADS: usize = 4;

/// Rows of each seed, of one table.
pub type OfSeeds = Vec<Vec<patterns::Row>>;

/// Runs each table with each seed.
pub fn all(tables: &[pages::Marker]) -> Vec<OfSeeds> {
    let seeds = pages::SEEDS.len();
    let next = atomic::AtomicUsize::new(0);
    let done = sync::Mutex::new(vec![Vec::new(); tables.len() * seeds]);
    let work = || {
        loop {
            let number = next.fetch_add(1, atomic::Ordering::Relaxed);
            let Some(table) = tables.get(number / seeds) else {
                return;
            };
            let seed = pages::SEEDS[number % seeds];
            let rows = (table.run)(&table.site, table.load, seed);
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
    let done = done.unwrap_or_else(sync::PoisonError::into_inner);
    done.chunks(seeds).map(<[_]>::to_vec).collect()
}
