//! Tests of `load` and of its plan, tally and counters.

use std::time;

use bulrushtiller::cmd::load::counters;
use bulrushtiller::cmd::load::plan;
use bulrushtiller::cmd::load::tally;
use bulrushtiller::codes;
use bulrushtiller_standins::naive;
use bulrushtiller_standins::worker;

use super::fake_entry;
use super::workdir;

fn plan(seed: u64) -> plan::Plan {
    plan::Plan {
        rate: 100.0,
        duration: time::Duration::from_secs(100),
        job_size: 4,
        mix: "mixed".parse().unwrap(),
        seed,
    }
}

fn sample(outcome: tally::Outcome, response_ms: u64) -> tally::Sample {
    tally::Sample {
        outcome,
        response: time::Duration::from_millis(response_ms),
        ideal_ms: 100,
        work_ms: 400,
        repeats: 1,
    }
}

#[test]
fn arrivals_depend_on_seed_only() {
    let first: Vec<_> = plan(7).arrivals().collect();
    let again: Vec<_> = plan(7).arrivals().collect();
    let other: Vec<_> = plan(8).arrivals().collect();

    assert_eq!(first, again);
    assert_ne!(first, other);
}

#[test]
fn arrivals_match_rate_and_mix() {
    let arrivals: Vec<_> = plan(1).arrivals().collect();

    let tasks: Vec<_> = arrivals.iter().flat_map(|arrival| &arrival.tasks).collect();
    let long = tasks.iter().filter(|task| task.kind == "long").count();
    let in_range = |task: &&bulrushtiller::api::Task| match task.kind.as_str() {
        "long" => (2000..=6000).contains(&task.run_ms),
        _ => (50..=1000).contains(&task.run_ms),
    };
    assert!(
        (9_700..=10_300).contains(&arrivals.len()),
        "{}",
        arrivals.len()
    );
    assert!(tasks.iter().all(in_range));
    assert!((1_800..=2_200).contains(&long), "{long} of {}", tasks.len());
}

#[test]
fn only_complete_jobs_count_as_completed_work() {
    let mut tally = tally::Tally::default();
    tally.add(&sample(
        tally::Outcome::Answered(codes::Code::Complete),
        150,
    ));
    tally.add(&sample(
        tally::Outcome::Answered(codes::Code::TaskFailed),
        50,
    ));
    tally.add(&sample(
        tally::Outcome::Unanswered(codes::Code::TimedOut),
        9_000,
    ));
    tally.add(&sample(tally::Outcome::NotSent, 0));

    let report = tally.report(time::Duration::from_secs(1), Some(2));

    let over = report.over_ideal.unwrap();
    assert_eq!((report.jobs, report.not_sent, report.repeats), (4, 1, 4));
    assert_eq!(report.by_code, [(0, 1), (200, 1)].into());
    assert_eq!(report.unanswered, [(602, 1)].into());
    assert!((over.max - 1.5).abs() < 0.01, "{over:?}");
    assert_eq!(report.goodput, Some(0.2));
}

#[test]
fn counters_are_summed_over_labels_and_exclude_longer_names() {
    let before = counters::Counters::default();
    let text = "# TYPE bulrushtiller_wasted_messages counter\n\
        bulrushtiller_wasted_messages_total{why=\"full\"} 3\n\
        bulrushtiller_wasted_messages_total{why=\"late\"} 2 1700000000\n\
        bulrushtiller_tasks_started_total 100\n\
        bulrushtiller_tasks_started_total_created 5\n";

    let wasted = counters::Counters::parse(text).since(before);

    assert_eq!(
        (wasted.messages, wasted.tasks, wasted.per_task),
        (5.0, 100.0, Some(0.05))
    );
}

#[actix_rt::test]
async fn report_counts_answers_of_all_jobs() {
    let behaviour = fake_entry::Behaviour::Answer(codes::Code::Complete);
    let entry = fake_entry::FakeEntry::start("e1", behaviour);
    let dir = workdir::Workdir::new();
    let address = entry.address();
    let rest = [
        "--rate",
        "50",
        "--seconds",
        "0.5",
        "--mix",
        "tiny=1..2",
        "--json",
    ];

    let args = ["load", "--entries", &address, "--token", workdir::TOKEN];
    let run = dir.run_async(&[&args[..], &rest].concat()).await;

    let jobs = entry.calls_starting_with("POST /v1/jobs").len() as u64;
    let report = run.json();
    assert_eq!(run.status, 0, "{run:?}");
    assert!(jobs > 0);
    assert_eq!(
        (&report["jobs"], &report["by_code"]["0"]),
        (&jobs.into(), &jobs.into())
    );
    assert!(report["over_ideal"]["p99"].as_f64().unwrap() > 0.0);
}

#[test]
fn load_without_any_answer_fails() {
    let dir = workdir::Workdir::new();
    let rest = ["--rate", "50", "--seconds", "0.2", "--deadline-ms", "50"];

    let args = [
        "load",
        "--entries",
        workdir::UNUSED_ADDRESS,
        "--token",
        workdir::TOKEN,
    ];
    let run = dir.run(&[&args[..], &rest].concat());

    assert_eq!(run.status, 7, "{run:?}");
    assert!(
        run.stderr.contains("no job received a final answer"),
        "{run:?}"
    );
}

#[test]
fn submissions_sent_on_are_counted_since_start() {
    let before = counters::Counters::parse("bulrushtiller_passed_on_total 3\n");
    let text = "bulrushtiller_passed_on_total 8\n\
        bulrushtiller_submissions_forwarded_total 2\n";

    let sent_on = counters::Counters::parse(text).sent_on_since(before);

    assert_eq!((sent_on.passed_on, sent_on.forwarded), (5.0, 2.0));
}

/// Guards against a goodput of infinity, which JSON shows as null: it is divided by the slots.
#[test]
fn zero_slots_are_rejected() {
    let dir = workdir::Workdir::new();

    let run = dir.run(&["load", "--slots", "0"]);

    assert_eq!(run.status, 2, "{run:?}");
    assert!(run.stderr.contains("--slots must be at least 1"), "{run:?}");
}

/// Guards the comparison with the naive dispatcher, which needs the same driver to work with
/// both.
#[actix_rt::test]
async fn driver_works_with_naive_dispatcher() {
    let worker = worker::Worker::start(worker::Options::default()).unwrap();
    let options = naive::Options {
        workers: vec![worker.address()],
        ..naive::Options::default()
    };
    let naive = naive::Naive::start(&options).unwrap();
    let dir = workdir::Workdir::new();
    let address = naive.address().to_string();

    let args = ["load", "--entries", &address, "--token", workdir::TOKEN];
    let rest = [
        "--rate",
        "40",
        "--seconds",
        "0.5",
        "--mix",
        "t=1..5",
        "--json",
    ];
    let run = dir.run_async(&[&args[..], &rest].concat()).await;

    let report = run.json();
    let jobs = report["jobs"].as_u64().unwrap();
    assert!(jobs > 0, "{run:?}");
    assert_eq!(report["by_code"]["0"], jobs, "{run:?}");
    assert_eq!(report["wasted"]["tasks"], 4.0 * jobs as f64, "{run:?}");
}
