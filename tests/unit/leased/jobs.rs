//! Validation of jobs, lookup of queues and replacement of directives.

use bulrushtiller::leased::directives;
use bulrushtiller::leased::job;
use bulrushtiller::leased::queues;

use super::fixtures;

fn raw(steps: Vec<job::RawStep>) -> job::RawJob {
    job::RawJob {
        id: "5c0e7a21d94b36f8".into(),
        spec: "check".to_owned(),
        steps,
        unsupported: None,
    }
}

fn step(tasks: u32, after: &[u16]) -> job::RawStep {
    job::RawStep {
        tasks,
        estimate_ms: 100,
        after: after.to_vec(),
        ..job::RawStep::default()
    }
}

#[rstest::rstest]
#[case::no_step(vec![], job::JobError::Size)]
#[case::empty_step(vec![step(0, &[])], job::JobError::Size)]
#[case::too_many_tasks(vec![step(400, &[]), step(400, &[])], job::JobError::Size)]
#[case::task_count_overflows(vec![step(u32::MAX, &[]), step(2, &[])], job::JobError::Size)]
#[case::depends_on_itself(vec![step(1, &[0])], job::JobError::Order)]
#[case::depends_on_a_later_step(vec![step(1, &[1]), step(1, &[])], job::JobError::Order)]
fn invalid_steps_are_rejected(#[case] steps: Vec<job::RawStep>, #[case] expected: job::JobError) {
    let checked = job::Job::try_from(raw(steps));

    assert_eq!(checked.err(), Some(expected));
}

#[rstest::rstest]
#[case::short("5c0e")]
#[case::not_hexadecimal("5c0e7a21d94b36fz")]
#[case::long("5c0e7a21d94b36f85c0e7a21d94b36f8")]
fn malformed_id_is_rejected(#[case] id: &str) {
    let job = job::RawJob {
        id: id.into(),
        ..raw(vec![step(1, &[])])
    };

    assert_eq!(job::Job::try_from(job).err(), Some(job::JobError::Id));
}

#[test]
fn critical_path_is_the_longest_chain_of_steps() {
    let job = job::Job::try_from(raw(vec![step(1, &[]), step(4, &[0]), step(1, &[])]));

    assert_eq!(job.expect("a valid job").critical_path_ms(), 200);
}

#[test]
fn longest_matching_prefix_of_the_host_is_found() {
    let long = queues::Queue {
        name: "long".into(),
        prefix: "/checks/urgent/".into(),
        ..fixtures::queue()
    };
    let queues = queues::Queues::new(&[fixtures::queue(), long], queues::Bounds::default());

    let found = queues
        .find("school.example", "/checks/urgent/ab")
        .map(|(queue, rest)| (queue.name.as_str(), rest));

    assert_eq!(found, Some(("long", "ab")));
    assert!(queues.find("other.example", "/checks/ab").is_none());
    assert!(queues.find("school.example", "/else/ab").is_none());
}

/// Guards against serving a removed queue: a process that was partitioned for long may send an
/// older configuration after a later one is in force.
#[test]
fn older_directives_are_rejected() {
    let mut in_force = directives::InForce::default();
    in_force.advance(fixtures::directives(9));

    let is_applied = in_force.advance(fixtures::directives(8));

    assert!(!is_applied);
    assert_eq!(in_force.get().position, 9);
    assert_eq!(in_force.latest().get().position, 9);
    assert!(in_force.latest().notice_since(9).is_none());
}
