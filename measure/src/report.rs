//! Figures computed from the answers that callers received.

use hdrhistogram::Histogram;

use bulrushtiller::codes;

use crate::sim;
use crate::workload;

/// Figures of one run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Figures {
    /// Number of jobs.
    pub jobs: usize,
    /// Jobs that completed.
    pub complete: usize,
    /// Jobs that were refused or ended without a start.
    pub not_run: usize,
    /// Jobs that failed or may have run.
    pub failed: usize,
    /// Jobs without an answer.
    pub unanswered: usize,
    /// Median ratio of response time to ideal response time, of complete jobs.
    pub ratio_p50: f64,
    /// 99th percentile of the same ratio.
    pub ratio_p99: f64,
    /// Complete jobs that took more than twice the ideal.
    pub over_twice: usize,
    /// Work done in the window relative to the slots' capacity.
    pub goodput: f64,
    /// Work of jobs completed within the window and their deadline, relative to the
    /// slots' capacity.
    pub useful: f64,
    /// Refusals per job, including jobs that were resubmitted.
    pub refusals: f64,
    /// Number of "not run" answers for jobs of which a task had started.
    pub false_not_run: u64,
    /// Wasted messages per started task.
    pub wasted: f64,
    /// Number of times an entry ejected a runner because of its tasks' outcomes.
    pub ejections: u64,
    /// Number of repeated starts of a task in jobs that are not idempotent.
    pub double_starts: u64,
    /// Number of starts in a zone long after it was taken out of service.
    pub late_starts: u64,
}

/// Histogram units per 1.0 of the ratio.
const SCALE: f64 = 1_000.0;

/// Highest ratio that the histogram resolves, in its units: 100,000 times the ideal.
/// The bound has to be set, because an auto-resizing histogram starts small and
/// saturating records never resize it.
const MAX_SCALED: u64 = 100_000_000;

/// Computes the figures of the jobs for which `counts` returns true. Goodput is taken
/// over the window in milliseconds, relative to `capacity` slots.
pub fn figures(
    site: &sim::Site,
    jobs: &[workload::Job],
    outcome: &sim::Outcome,
    window_ms: (u64, u64),
    capacity: f64,
    counts: impl Fn(&workload::Job) -> bool,
) -> Figures {
    let mut ratios =
        Histogram::<u64>::new_with_bounds(1, MAX_SCALED, 3).unwrap_or_else(|e| unreachable!("{e}"));
    let mut figures = Figures {
        jobs: jobs.iter().filter(|job| counts(job)).count(),
        ..Figures::default()
    };
    let mut useful_ms = 0;
    for answer in &outcome.received {
        let job = &jobs[answer.job];
        if !counts(job) {
            continue;
        }
        match answer.code.class() {
            codes::Class::Complete => {
                figures.complete += 1;
                useful_ms += useful(job, answer, window_ms);
                let ratio = ratio(site, job, answer.at_us);
                figures.over_twice += usize::from(ratio > 2.0);
                ratios.saturating_record(scaled(ratio));
            }
            codes::Class::NotRun => figures.not_run += 1,
            _ => figures.failed += 1,
        }
    }
    figures.unanswered = figures.jobs - figures.complete - figures.not_run - figures.failed;
    figures.ratio_p50 = ratios.value_at_quantile(0.5) as f64 / SCALE;
    figures.ratio_p99 = ratios.value_at_quantile(0.99) as f64 / SCALE;
    figures.goodput = goodput(outcome, window_ms, capacity);
    figures.useful = useful_ms as f64 / ((window_ms.1 - window_ms.0) as f64 * capacity);
    figures.refusals = outcome.refusals as f64 / jobs.len().max(1) as f64;
    figures.false_not_run = outcome.false_not_run;
    figures.wasted = outcome.wasted as f64 / outcome.started.max(1) as f64;
    figures.ejections = outcome.ejections;
    figures.double_starts = outcome.double_starts;
    figures.late_starts = outcome.late_starts;
    figures
}

/// Returns the slot time of a complete job that was answered in the window and in time.
/// An answer after the deadline is of no use to the caller.
fn useful(job: &workload::Job, answer: &sim::Received, window_ms: (u64, u64)) -> u64 {
    let is_late = |deadline_ms| answer.at_us > answer.sent_us + deadline_ms * 1_000;
    let in_window = (window_ms.0..window_ms.1).contains(&(answer.at_us / 1_000));
    if !in_window || job.deadline_ms.is_some_and(is_late) {
        return 0;
    }
    job.run_ms.iter().map(|ms| u64::from(*ms)).sum()
}

/// Returns the response time relative to the ideal: the longest task and the shortest
/// round trip.
fn ratio(site: &sim::Site, job: &workload::Job, at_us: u64) -> f64 {
    let longest = job.run_ms.iter().copied().max().unwrap_or(0);
    let round_trip_us = 2 * (site.to_caller_us + site.within_zone_us);
    let ideal_us = u64::from(longest) * 1_000 + round_trip_us;
    (at_us - job.at_us) as f64 / ideal_us as f64
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "ratios are small and not negative"
)]
fn scaled(ratio: f64) -> u64 {
    (ratio * SCALE).round() as u64
}

fn goodput(outcome: &sim::Outcome, window_ms: (u64, u64), capacity: f64) -> f64 {
    let in_window = |work: &&sim::Work| {
        let at_ms = work.at_us / 1_000;
        (window_ms.0..window_ms.1).contains(&at_ms)
    };
    let done: f64 = outcome
        .work
        .iter()
        .filter(in_window)
        .map(|work| f64::from(work.run_ms))
        .sum();
    done / ((window_ms.1 - window_ms.0) as f64 * capacity)
}

/// Header of the table.
pub const TABLE_HEADER: &str = "| version | jobs | complete | not run | failed | unanswered | p50 ratio | p99 ratio | over 2 | goodput | useful | wasted/task | refusals/job | untrue | ejections | double | late |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |";

/// Formats one row of the table.
pub fn row(name: &str, figures: &Figures) -> String {
    let Figures {
        jobs,
        complete,
        not_run,
        failed,
        unanswered,
        ..
    } = figures;
    let Figures {
        ratio_p50,
        ratio_p99,
        over_twice,
        goodput,
        useful,
        wasted,
        refusals,
        false_not_run,
        ejections,
        double_starts,
        late_starts,
        ..
    } = figures;
    format!(
        "| {name} | {jobs} | {complete} | {not_run} | {failed} | {unanswered} | {ratio_p50:.2} | {ratio_p99:.2} | {over_twice} | {goodput:.3} | {useful:.3} | {wasted:.3} | {refusals:.2} | {false_not_run} | {ejections} | {double_starts} | {late_starts} |"
    )
}
