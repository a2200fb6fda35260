//! Slopes for `docs/CAPACITY.md`: the cost of one more task, runner, entry or setting.
//!
//! Each is measured at three sizes or more. Times depend on the machine and are noisy;
//! message sizes are exact; memory is counted by the allocator.

pub mod entry;
pub mod fixtures;
pub mod runner;
pub mod settings;
pub mod wire;

use std::time;

/// One measured point.
#[derive(Clone, Debug)]
pub struct Point {
    /// Name of the measurement.
    pub name: &'static str,
    /// Size at which it was measured.
    pub size: u64,
    /// Cost of one item, in `unit`.
    pub cost: f64,
    /// Nanoseconds or bytes.
    pub unit: &'static str,
}

/// Returns the mean time of `count` repetitions, in nanoseconds.
pub fn mean_time_ns(count: u64, mut work: impl FnMut(u64)) -> f64 {
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
            name,
            size,
            cost,
            unit,
        } = point;
        println!("| {name} | {size} | {cost:.0} | {unit} |");
    }
}
