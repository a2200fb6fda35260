//! Prints the slopes that `docs/CAPACITY.md` is worked out from.

use std::alloc;

use bulrushtiller_measure::slopes;

#[global_allocator]
static ALLOCATOR: &stats_alloc::StatsAlloc<alloc::System> = &stats_alloc::INSTRUMENTED_SYSTEM;

/// Bytes that one of `count` things takes for as long as it is kept.
fn memory<T>(what: &'static str, count: u64, make: impl Fn(u64) -> T) -> slopes::Point {
    let empty = held(|| make(0));
    let full = held(|| make(count));
    let each = (full - empty) / count as f64;
    slopes::Point {
        what,
        size: count,
        each,
        unit: "bytes kept",
    }
}

fn held<T>(make: impl FnOnce() -> T) -> f64 {
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
        let what = "entry: one submission of one task remembered, whole";
        points.push(memory(what, count, |count| {
            slopes::entry::remember(count, 1)
        }));
        let what = "entry: one submission of one task remembered, summary";
        let remember = |count| slopes::entry::remember_long(count, 1);
        points.push(memory(what, count, remember));
    }
    for count in [100, 1_000, 10_000] {
        let what = "entry: one submission of 20 tasks remembered, whole";
        points.push(memory(what, count, |count| {
            slopes::entry::remember(count, 20)
        }));
        let what = "entry: one submission of 20 tasks remembered, summary";
        let remember = |count| slopes::entry::remember_long(count, 20);
        points.push(memory(what, count, remember));
    }
    for count in [1_000, 10_000, 100_000] {
        points.push(memory(
            "entry: one waiting task",
            count,
            slopes::entry::hold,
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
            slopes::runner::remember,
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
