//! Prints the slopes on which `docs/CAPACITY.md` is based.

use std::alloc;

use bulrushtiller_measure::slopes;

#[global_allocator]
static ALLOCATOR: &stats_alloc::StatsAlloc<alloc::System> = &stats_alloc::INSTRUMENTED_SYSTEM;

/// Measures the memory that each of `count` items holds while it is kept.
fn memory<T>(name: &'static str, count: u64, make: impl Fn(u64) -> T) -> slopes::Point {
    let empty = allocated_bytes(|| make(0));
    let full = allocated_bytes(|| make(count));
    let cost = (full - empty) / count as f64;
    slopes::Point {
        name,
        size: count,
        cost,
        unit: "bytes kept",
    }
}

fn allocated_bytes<T>(make: impl FnOnce() -> T) -> f64 {
    let region = stats_alloc::Region::new(ALLOCATOR);
    let kept = make();
    let change = region.change();
    drop(kept);
    change.bytes_allocated as f64 - change.bytes_deallocated as f64
}

fn main() {
    let mut points = Vec::new();
    points.extend([10, 100, 1_000].map(slopes::entry::tasks));
    points.extend([1, 28, 280].map(slopes::entry::jobs));
    points.extend([10, 100, 1_000].map(slopes::entry::heartbeats));
    points.extend([1_000, 10_000, 100_000].map(slopes::entry::ticks));
    points.extend([1_000, 10_000, 100_000].map(slopes::runner::tasks));
    points.extend([1, 4, 8].map(slopes::runner::loads));
    points.extend([10, 50, 250].map(slopes::settings::changes));
    for count in [1_000, 10_000, 100_000] {
        let name = "entry: one submission of one task remembered, whole";
        points.push(memory(name, count, |count| {
            slopes::entry::with_remembered(count, 1)
        }));
        let name = "entry: one submission of one task remembered, summary";
        let summarised = |count| slopes::entry::with_summaries(count, 1);
        points.push(memory(name, count, summarised));
    }
    for count in [100, 1_000, 10_000] {
        let name = "entry: one submission of 20 tasks remembered, whole";
        points.push(memory(name, count, |count| {
            slopes::entry::with_remembered(count, 20)
        }));
        let name = "entry: one submission of 20 tasks remembered, summary";
        let summarised = |count| slopes::entry::with_summaries(count, 20);
        points.push(memory(name, count, summarised));
    }
    for count in [1_000, 10_000, 100_000] {
        points.push(memory(
            "entry: one waiting task",
            count,
            slopes::entry::with_waiting,
        ));
    }
    for count in [10, 100, 1_000] {
        points.push(memory(
            "entry: one runner known",
            count,
            slopes::fixtures::entry,
        ));
    }
    for count in [1_000, 10_000, 100_000] {
        points.push(memory(
            "runner: one remembered attempt",
            count,
            slopes::runner::with_remembered,
        ));
    }
    for count in [10, 50, 250] {
        points.push(memory(
            "any: one file of the folder",
            count,
            slopes::settings::state,
        ));
    }
    points.push(slopes::settings::change_bytes());
    points.extend([10, 50, 250].map(slopes::settings::checkpoint_bytes));
    points.extend(slopes::wire::all());
    slopes::print(&points);
}
