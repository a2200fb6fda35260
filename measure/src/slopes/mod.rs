//! Slopes for `docs/CAPACITY.md`: what one more of something costs.
//!
//! Each is measured at three sizes or more. Times are of this machine and noisy;
//! bytes on the wire are exact; memory is counted by the allocator.

pub mod entry;
pub mod fixtures;
pub mod runner;
pub mod settings;
pub mod wire;

use std::time;

/// One measured point.
#[derive(Clone, Debug)]
pub struct Point {
    /// What was measured.
    pub what: &'static str,
    /// At which size.
    pub size: u64,
    /// The cost of one, in the unit.
    pub each: f64,
    /// Nanoseconds or bytes.
    pub unit: &'static str,
}

/// The time that one of `count` repetitions takes, in nanoseconds.
pub fn time_each(count: u64, mut work: impl FnMut(u64)) -> f64 {
    let began = time::Instant::now();
    for at in 0..count {
        work(at);
    }
    began.elapsed().as_nanos() as f64 / count as f64
}

/// Prints points as rows of a table.
pub fn print(points: &[Point]) {
    println!("| what | size | each | unit |");
    println!("| --- | --- | --- | --- |");
    for point in points {
        let Point {
            what,
            size,
            each,
            unit,
        } = point;
        println!("| {what} | {size} | {each:.0} | {unit} |");
    }
}
